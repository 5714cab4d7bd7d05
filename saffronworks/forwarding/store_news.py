"""Store updates that nodes of an availability zone publish to each other.

Each call to the store has a price. Two publishers per zone watch it for all nodes of the zone, so
the number of calls grows with zones, not with nodes. A node that receives no updates for a while
watches the store itself.
"""

import logging
from collections.abc import Callable, Collection

import attrs

from saffronworks.forwarding.node_order import NodeOrder, strong_nodes
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing
from saffronworks.wire import Size

__all__ = ["NewsFeed", "NewsPace", "ObjectNews", "StoreNews"]

logger = logging.getLogger(__name__)

# Nodes of a zone that watch the store for the others; two tolerate one failure without a delay.
PUBLISHERS = 2
# Nodes of smaller zones watch the store themselves: two publishers, which watch more often, would
# make as many calls.
MIN_SHARED_NODES = 9
# Shares of the time limit within which nodes must apply a change: the longest wait of a publisher's
# watch, and the silence of publishers after which a node calls the store itself.
WATCH_SHARE = 0.35
SILENT_SHARE = 0.6
# Delay until the next pair of nodes takes over from silent publishers.
NEXT_PUBLISHERS_MS = 500
# An answer that exceeds the watch's wait by more than this is not published, because the node was
# suspended or its path to the store is slow.
LATE_MS = 300
# Updates with more content than this omit the objects; receivers read them from the store.
MAX_NEWS_BYTES = 65_536


@attrs.frozen
class ObjectNews:
    """One object of the store in an update; `content` is None if it was removed."""

    name: str
    revision: Size
    content: bytes | None


@attrs.frozen
class StoreNews:
    """Update from a publisher to the nodes of its zone: the store is at `revision`.

    `objects` are the changes since `since`, or all objects if `whole`; None if they are too large
    to send. For another `lapse_ms`, entries that are missing may still be valid. All revisions are
    of the same `epoch`, which is 0 if the publisher knows none.
    """

    sender: str
    kind: str
    since: Size
    revision: Size
    objects: tuple[ObjectNews, ...] | None
    whole: bool = False
    lapse_ms: Size = 0
    epoch: Size = 0

    @classmethod
    def from_listing(
        cls, sender: str, kind: str, answer: Listing, since: StoreRevision | None, lapse_ms: int
    ) -> "StoreNews":
        """Build the update for an answer of the store; `since` is None for a complete listing."""
        objects = tuple(
            ObjectNews(item.name, item.revision.number, item.content) for item in answer.objects
        )
        return cls(
            sender,
            kind,
            since.number if since else 0,
            answer.revision.number,
            objects,
            whole=since is None,
            lapse_ms=lapse_ms,
            epoch=answer.revision.epoch,
        )

    @property
    def at(self) -> StoreRevision:
        """Return the revision of the store at this update."""
        return StoreRevision(self.epoch, self.revision)

    @property
    def after(self) -> StoreRevision:
        """Return the revision after which the update has all changes."""
        return StoreRevision(self.epoch, self.since)

    @property
    def listing(self) -> Listing:
        """Return the objects in the form of a store listing."""
        objects = (
            StoredObject(item.name, StoreRevision(self.epoch, item.revision), item.content)
            for item in self.objects or ()
        )
        return Listing(tuple(objects), self.at)


@attrs.frozen
class NewsPace:
    """Longest wait of a publisher's watch, and silence after which a node calls the store."""

    watch_wait_ms: int
    silent_ms: int

    @classmethod
    def within(cls, follow_within_ms: int) -> "NewsPace":
        """Return the pace that meets this time limit for a change even if publishers fail."""
        return cls(int(WATCH_SHARE * follow_within_ms), int(SILENT_SHARE * follow_within_ms))


class NewsFeed:
    """Publishes answers of the store to the nodes of the zone, and receives theirs."""

    name = "store-news"

    def __init__(
        self, turns: NodeOrder, pace: NewsPace, epoch: StoreEpoch, now_ms: Callable[[], int]
    ):
        self.turns = turns
        self.pace = pace
        self._epoch = epoch
        self._nodes: Collection[str] = ()
        self._now_ms = now_ms
        self._kernel: Kernel | None = None
        self._subscribers: dict[str, Callable[[StoreNews], None]] = {}
        # When a node ranked ahead of this one last published, by kind.
        self._ahead_published_ms: dict[str, int] = {}
        self._publishing: dict[str, bool] = {}

    def subscribe(self, kind: str, on_news: Callable[[StoreNews], None]) -> None:
        """Call `on_news` for each update of one kind of object."""
        self._subscribers[kind] = on_news
        self._ahead_published_ms[kind] = self._now_ms()

    def update_zone(self, cores: dict[str, float]) -> None:
        """Set the nodes of this zone with their cores; nodes with more cores publish first.

        The silence of publishers is measured from when the zone became large enough.
        """
        self.turns.update(cores, strong_nodes(cores))
        was_shared, self._nodes = self.shared, cores.keys()
        if not was_shared:
            self._ahead_published_ms = dict.fromkeys(self._subscribers, self._now_ms())

    @property
    def shared(self) -> bool:
        """Return whether the zone is large enough for publishers."""
        return len(self._nodes) >= MIN_SHARED_NODES

    def is_publisher(self, kind: str) -> bool:
        """Return whether this node publishes: it ranks first, or those ahead of it are silent."""
        if not self.shared:
            return False
        place = self.turns.position(kind)
        if place < PUBLISHERS:
            return True
        wait_ms = self.pace.silent_ms + place // PUBLISHERS * NEXT_PUBLISHERS_MS
        return self._now_ms() - self._ahead_published_ms[kind] >= wait_ms

    def follows_peers(self) -> bool:
        """Return whether other nodes of the zone watch the store for this one."""
        return self.shared and not any(self.is_publisher(kind) for kind in self._subscribers)

    def publish(
        self, kind: str, answer: Listing, since: StoreRevision | None, lapse_ms: int, took_ms: int
    ) -> None:
        """Send an answer of the store to the zone's other nodes if this node is a publisher.

        An answer that arrived too late (`took_ms` after the call) is not sent. `since` is None for
        a complete listing.
        """
        publishing = self.is_publisher(kind) and self._kernel is not None
        if publishing is not self._publishing.get(kind, False):
            self._publishing[kind] = publishing
            logger.info("event=store_publisher kind=%s publishing=%s", kind, publishing)
        if not publishing or took_ms > self.pace.watch_wait_ms + LATE_MS:
            return
        assert self._kernel is not None
        news = StoreNews.from_listing(self.turns.own, kind, answer, since, lapse_ms)
        size = sum(len(item.content or b"") for item in answer.objects)
        if size > MAX_NEWS_BYTES:
            news = attrs.evolve(news, objects=None)
        for node in self._nodes:
            if node != self.turns.own:
                self._kernel.post("peers", Outgoing(node, news))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Process updates from peers until cancelled."""
        self._kernel = kernel
        await kernel.dispatch(self.name, mailbox, self._handle)

    def _handle(self, news: StoreNews) -> None:
        if news.kind not in self._subscribers:
            return
        if self.turns.position(news.kind, news.sender) < self.turns.position(news.kind):
            self._ahead_published_ms[news.kind] = self._now_ms()
        self._epoch.observe(news.epoch)
        self._subscribers[news.kind](news)
