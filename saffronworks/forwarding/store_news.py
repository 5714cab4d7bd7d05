"""What nodes of an availability zone tell each other of the store, so that few have to ask it.

Calls to the store cost by number. Where each node follows it by itself, their number goes with the
nodes: 195 nodes made 1.5 calls a second each, and every change brought one from each of them. Here
two nodes of a zone ask and tell the others. A node that hears nothing for a while asks by itself.
"""

import logging
from collections.abc import Callable, Collection

import attrs

from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.turns import Turns, strong_nodes
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["NewsFeed", "NewsPace", "ObjectNews", "StoreNews"]

logger = logging.getLogger(__name__)

# So many nodes of a zone ask the store for all: the second one's word holds when the first is gone.
TELLERS = 2
# Fewer nodes in a zone each ask by themselves: two that ask often make as many calls as they do.
LEAST_NODES = 9
# Parts of the time within which a change has to be followed: a teller's watch waits at most for the
# first, a node that hears nothing asks by itself after the second. The rest is for its own call.
WATCH_SHARE = 0.35
SILENT_SHARE = 0.6
# How much later each next pair of nodes tells the others, as long as those before it are silent.
NEXT_TELLERS_MS = 500
# An answer that took so much longer than its watch waits is no news: this node stood still, or the
# way to the store is slow.
LATE_MS = 300
# Larger news are not sent: who hears that there are some asks the store.
MOST_NEWS_BYTES = 65_536


@attrs.frozen
class ObjectNews:
    """One object of the store as nodes tell each other; `content` is None where it was removed."""

    name: str
    revision: int
    content: bytes | None


@attrs.frozen
class StoreNews:
    """Teller to the nodes of its zone: the store stood at `revision` a moment ago.

    `objects` changed since `since`, or are all there are (`whole`); None where they are too large
    to send. Until `lapse_ms` from now entries may be missing that still hold. All numbers are of
    the same `epoch`, 0 from a node that knows none.
    """

    sender: str
    kind: str
    since: int
    revision: int
    objects: tuple[ObjectNews, ...] | None
    whole: bool = False
    lapse_ms: int = 0
    epoch: int = 0

    @classmethod
    def from_listing(
        cls, sender: str, kind: str, heard: Listing, since: StoreRevision | None, lapse_ms: int
    ) -> "StoreNews":
        """An answer of the store; `since` None tells that it is all there is."""
        objects = tuple(
            ObjectNews(item.name, item.revision.number, item.content) for item in heard.objects
        )
        return cls(
            sender,
            kind,
            since.number if since else 0,
            heard.revision.number,
            objects,
            whole=since is None,
            lapse_ms=lapse_ms,
            epoch=heard.revision.epoch,
        )

    @property
    def at(self) -> StoreRevision:
        """Where the store stood."""
        return StoreRevision(self.epoch, self.revision)

    @property
    def after(self) -> StoreRevision:
        """From where on the changes are complete."""
        return StoreRevision(self.epoch, self.since)

    @property
    def listing(self) -> Listing:
        """The objects as the store lists them."""
        objects = (
            StoredObject(item.name, StoreRevision(self.epoch, item.revision), item.content)
            for item in self.objects or ()
        )
        return Listing(tuple(objects), self.at)


@attrs.frozen
class NewsPace:
    """How long a teller's watch waits, and after how long without news a node asks by itself."""

    watch_wait_ms: int
    silent_ms: int

    @classmethod
    def within(cls, follow_within_ms: int) -> "NewsPace":
        """The pace at which a change is followed within this time, whoever falls silent."""
        return cls(int(WATCH_SHARE * follow_within_ms), int(SILENT_SHARE * follow_within_ms))


class NewsFeed:
    """Tells others of the zone what this node heard from the store, and hears what they tell."""

    name = "store-news"

    def __init__(self, turns: Turns, pace: NewsPace, epoch: StoreEpoch, now_ms: Callable[[], int]):
        self.turns = turns
        self.pace = pace
        self._epoch = epoch
        self._nodes: Collection[str] = ()
        self._now_ms = now_ms
        self._kernel: Kernel | None = None
        self._takers: dict[str, Callable[[StoreNews], None]] = {}
        # When one of those who tell before this node was last heard, by kind.
        self._heard_ahead_ms: dict[str, int] = {}
        self._telling: dict[str, bool] = {}

    def subscribe(self, kind: str, take: Callable[[StoreNews], None]) -> None:
        """Hand on what is told of one kind of object."""
        self._takers[kind] = take
        self._heard_ahead_ms[kind] = self._now_ms()

    def take_zone(self, cores: dict[str, float]) -> None:
        """The nodes of this zone with their cores; the strong ones tell before the others.

        Nobody can have told before there were enough: the wait for them begins then.
        """
        self.turns.take(cores, strong_nodes(cores))
        was_shared, self._nodes = self.shared, cores.keys()
        if not was_shared:
            self._heard_ahead_ms = dict.fromkeys(self._takers, self._now_ms())

    @property
    def shared(self) -> bool:
        """Whether there are enough nodes here for some to ask for all."""
        return len(self._nodes) >= LEAST_NODES

    def tells(self, kind: str) -> bool:
        """Whether this node asks for the others now: it is among the first, or those are silent."""
        if not self.shared:
            return False
        place = self.turns.place(kind)
        if place < TELLERS:
            return True
        wait_ms = self.pace.silent_ms + place // TELLERS * NEXT_TELLERS_MS
        return self._now_ms() - self._heard_ahead_ms[kind] >= wait_ms

    def hears_others(self) -> bool:
        """Whether others of the zone ask the store for this node too."""
        return self.shared and not any(self.tells(kind) for kind in self._takers)

    def tell(self, news: StoreNews, took_ms: int) -> None:
        """Pass on an answer of the store, `took_ms` after it was asked for."""
        telling = self.tells(news.kind) and self._kernel is not None
        if telling is not self._telling.get(news.kind, False):
            self._telling[news.kind] = telling
            logger.info("event=store_news kind=%s telling=%s", news.kind, telling)
        if not telling or took_ms > self.pace.watch_wait_ms + LATE_MS:
            return
        assert self._kernel is not None
        size = sum(len(item.content or b"") for item in news.objects or ())
        if size > MOST_NEWS_BYTES:
            news = attrs.evolve(news, objects=None)
        for node in self._nodes:
            if node != self.turns.own:
                self._kernel.post("peers", Outgoing(node, news))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Hear the others until cancelled."""
        self._kernel = kernel
        async for news in mailbox:
            self._hear(news)

    def _hear(self, news: StoreNews) -> None:
        if news.kind not in self._takers:
            return
        if self.turns.place(news.kind, news.sender) < self.turns.place(news.kind):
            self._heard_ahead_ms[news.kind] = self._now_ms()
        self._epoch.observe(news.epoch)
        self._takers[news.kind](news)
