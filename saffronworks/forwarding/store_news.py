"""Updates of the store that nodes of an availability zone publish to each other.

Calls to the store are priced by number. Two publishers in a zone watch it for all its nodes, so
calls grow with zones, not with nodes. A node that receives nothing for a while watches by itself.
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

# Nodes of a zone that watch the store for the others. Tolerates one failure without a delay.
PUBLISHERS = 2
# Smaller zones share nothing: two publishers, which watch often, make as many calls as the nodes.
MIN_SHARED_NODES = 9
# Shares of the time within which a change has to be followed: the longest wait of a publisher's
# watch, and the silence after which a node makes a call of its own.
WATCH_SHARE = 0.35
SILENT_SHARE = 0.6
# Delay after which the next pair of nodes publishes while those before it are silent.
NEXT_PUBLISHERS_MS = 500
# Answers that took this much longer than the watch waits are not published: the node was suspended
# or the path to the store is slow.
LATE_MS = 300
# Larger objects are left out of updates; receivers ask the store.
MAX_NEWS_BYTES = 65_536


@attrs.frozen
class ObjectNews:
    """One object of the store in an update; `content` is None where it was removed."""

    name: str
    revision: int
    content: bytes | None


@attrs.frozen
class StoreNews:
    """Publisher to the nodes of its zone: the store was at `revision` a moment ago.

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
    """The wait of a publisher's watch, and the silence after which a node asks by itself."""

    watch_wait_ms: int
    silent_ms: int

    @classmethod
    def within(cls, follow_within_ms: int) -> "NewsPace":
        """The pace at which a change is followed within this time, whoever falls silent."""
        return cls(int(WATCH_SHARE * follow_within_ms), int(SILENT_SHARE * follow_within_ms))


class NewsFeed:
    """Publishes answers of the store to the nodes of the zone, and receives theirs."""

    name = "store-news"

    def __init__(self, turns: Turns, pace: NewsPace, epoch: StoreEpoch, now_ms: Callable[[], int]):
        self.turns = turns
        self.pace = pace
        self._epoch = epoch
        self._nodes: Collection[str] = ()
        self._now_ms = now_ms
        self._kernel: Kernel | None = None
        self._subscribers: dict[str, Callable[[StoreNews], None]] = {}
        # When a node ranked before this one last published, by kind.
        self._ahead_published_ms: dict[str, int] = {}
        self._publishing: dict[str, bool] = {}

    def subscribe(self, kind: str, on_news: Callable[[StoreNews], None]) -> None:
        """Call `on_news` for each update of one kind of object."""
        self._subscribers[kind] = on_news
        self._ahead_published_ms[kind] = self._now_ms()

    def update_zone(self, cores: dict[str, float]) -> None:
        """Set the nodes of this zone with their cores; strong ones publish first.

        Silence is counted from when the zone became large enough.
        """
        self.turns.take(cores, strong_nodes(cores))
        was_shared, self._nodes = self.shared, cores.keys()
        if not was_shared:
            self._ahead_published_ms = dict.fromkeys(self._subscribers, self._now_ms())

    @property
    def shared(self) -> bool:
        """Whether the zone is large enough for publishers."""
        return len(self._nodes) >= MIN_SHARED_NODES

    def is_publisher(self, kind: str) -> bool:
        """Whether this node is a publisher now: it ranks first, or those before it are silent."""
        if not self.shared:
            return False
        place = self.turns.place(kind)
        if place < PUBLISHERS:
            return True
        wait_ms = self.pace.silent_ms + place // PUBLISHERS * NEXT_PUBLISHERS_MS
        return self._now_ms() - self._ahead_published_ms[kind] >= wait_ms

    def follows_peers(self) -> bool:
        """Whether other nodes of the zone watch the store for this one."""
        return self.shared and not any(self.is_publisher(kind) for kind in self._subscribers)

    def publish(
        self, kind: str, heard: Listing, since: StoreRevision | None, lapse_ms: int, took_ms: int
    ) -> None:
        """Send an answer of the store that took `took_ms` to the zone, if this is a publisher.

        `since` is None for a whole listing.
        """
        publishing = self.is_publisher(kind) and self._kernel is not None
        if publishing is not self._publishing.get(kind, False):
            self._publishing[kind] = publishing
            logger.info("event=store_publisher kind=%s publishing=%s", kind, publishing)
        if not publishing or took_ms > self.pace.watch_wait_ms + LATE_MS:
            return
        assert self._kernel is not None
        news = StoreNews.from_listing(self.turns.own, kind, heard, since, lapse_ms)
        size = sum(len(item.content or b"") for item in heard.objects)
        if size > MAX_NEWS_BYTES:
            news = attrs.evolve(news, objects=None)
        for node in self._nodes:
            if node != self.turns.own:
                self._kernel.post("peers", Outgoing(node, news))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Receive updates until cancelled."""
        self._kernel = kernel
        async for news in mailbox:
            self._handle(news)

    def _handle(self, news: StoreNews) -> None:
        if news.kind not in self._subscribers:
            return
        if self.turns.place(news.kind, news.sender) < self.turns.place(news.kind):
            self._ahead_published_ms[news.kind] = self._now_ms()
        self._epoch.observe(news.epoch)
        self._subscribers[news.kind](news)
