"""Plays of nodes that share store updates, in virtual time, with drawn series of trouble.

Checked for all nodes in touch: a change is in force within two seconds of its acknowledgement. A
node is in touch if nothing has struck its own connections for three seconds; trouble of publishers
does not excuse the nodes that they publish to.
"""

import asyncio
import random

import anyio
import attrs
from result import Err, Ok

from saffronworks.forwarding import store_news
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectStoreFailure, StoredObject
from saffronworks.forwarding.store_circuit import GuardedSource
from saffronworks.forwarding.store_news import NewsFeed, NewsPace, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.tests.virtual_loop import run_virtual
from saffronworks.tests.virtual_nodes import Switch, VirtualNode, make_failing
from saffronworks.wire import Codec

__all__ = ["KINDS", "TROUBLES", "Late", "play_news"]

KINDS = ("config", "servers")
# As with the users' bounds on their small sites.
IN_FORCE_MS, CONTACT_MS = 2000, 3000
WATCH_WAIT_MS, KNOWN_WITHIN_MS = 3500, 5000
ANSWER_MS, TIMEOUT_MS = 4, 800
# Detection of a connection that a cut path holds open (TCP_USER_TIMEOUT, keep-alive probes).
CUT_NOTICED_MS = 2500
# A listing of a megabyte over a link of 5 Mbit/s.
LARGE_ANSWER_MS = 1600
START_MS, CENSUS_INTERVAL_MS = 3000, 10_000
BURSTS, BURST_GAP_S = 5, (0.5, 6.0)
TROUBLES = ("reset", "reset_one", "refuse", "silent", "freeze", "large", "history", "fail")


@attrs.define(eq=False)
class _Watch:
    kind: str
    ended: anyio.Event = attrs.Factory(anyio.Event)
    failure: ObjectStoreFailure | None = None


@attrs.define
class World:
    """The store's content; `acknowledged` has the time of each revision of a kind."""

    now_ms: object
    number: int = 1
    changed: dict = attrs.field(factory=lambda: dict.fromkeys(KINDS, 1))
    acknowledged: dict = attrs.field(factory=lambda: {kind: [] for kind in KINDS})
    history_from: int = 0
    large: set = attrs.Factory(set)
    sources: list = attrs.Factory(list)

    def change(self, kind):
        """Write one object of a kind; each write raises the one counter of the store."""
        self.number += 1
        self.changed[kind] = self.number
        self.acknowledged[kind].append((self.number, self.now_ms()))
        for source in self.sources:
            source.end_watches(kind)


class Source:
    """The connections of one node to the store."""

    def __init__(self, world, now_ms):
        self._world, self._now_ms, self._watches = world, now_ms, []
        self.failure, self.until_ms, self.calls = None, 0, 0
        self.on_answer = lambda: None
        world.sources.append(self)

    def end_watches(self, kind=None, failure=None):
        for watch in self._watches:
            if kind in (None, watch.kind):
                watch.failure = failure
                watch.ended.set()

    def fail(self, failure, for_ms):
        """Let each call end with a failure for a while."""
        self.failure, self.until_ms = failure, self._now_ms() + for_ms

    async def list_objects(self, kind, stale=False):
        return await self._answer(kind, -1)

    async def watch(self, kind, revision, wait_ms):
        if revision.number < self._world.history_from:
            await anyio.sleep(ANSWER_MS / 1000)
            return Err(HistoryGone())
        if self._now_ms() >= self.until_ms and self._world.changed[kind] <= revision.number:
            watch = _Watch(kind)
            self._watches.append(watch)
            with anyio.move_on_after(wait_ms / 1000):
                await watch.ended.wait()
            self._watches.remove(watch)
            if watch.failure is not None:
                return Err(watch.failure)
        return await self._answer(kind, revision.number)

    async def _answer(self, kind, after):
        self.calls += 1
        if self._now_ms() < self.until_ms:
            silent = self.failure.reason == "ReadTimeout"
            await anyio.sleep((TIMEOUT_MS if silent else ANSWER_MS) / 1000)
            return Err(self.failure)
        changed, number = self._world.changed.get(kind, 1), self._world.number
        large = kind in self._world.large and changed > after
        await anyio.sleep(ANSWER_MS / 1000)
        self.on_answer()
        if large:
            await anyio.sleep(LARGE_ANSWER_MS / 1000)
        item = StoredObject(kind, StoreRevision(1, changed), b"%d" % changed)
        return Ok(Listing((item,) if changed > after else (), StoreRevision(1, number)))


class Sink:
    """Records when each change was in force at one node."""

    def __init__(self, now_ms):
        self._now_ms, self.in_force_ms = now_ms, {}

    def replace_all(self, listing, lapse_until_ms):
        for item in listing.objects:
            self.in_force_ms.setdefault(int(item.content), self._now_ms())

    def apply(self, changes, lapse_until_ms):
        self.replace_all(changes, lapse_until_ms)


class Node(VirtualNode):
    """The followers of one node, its census and its store updates."""

    def __init__(self, address, zone, switch, now_ms, world, rng):
        super().__init__(address, Codec(store_news), switch, now_ms)
        self.zone, self._rng, self._now_ms = zone, rng, now_ms
        self.source, self.struck_ms = Source(world, now_ms), []
        pace, epoch = NewsPace.within(IN_FORCE_MS), StoreEpoch()
        self.news = NewsFeed(NodeOrder(address), pace, epoch, now_ms)
        self.guarded = GuardedSource(self.source, rng, now_ms, self.news.follows_peers)
        self.source.on_answer = self.guarded.record_answer_begun
        self.sinks = {kind: Sink(now_ms) for kind in KINDS}
        self.followers = [
            Follower(
                kind,
                self.guarded,
                sink,
                rng,
                now_ms,
                WATCH_WAIT_MS,
                KNOWN_WITHIN_MS,
                epoch,
                self.news,
            )
            for kind, sink in self.sinks.items()
        ]
        self.kernel.register(self.news, StoreNews)
        self.failing = [make_failing(one) for one in (self.news, self.peers)]

    async def census(self):
        """List the nodes now and then."""
        while True:
            await self.guarded.list_objects("nodes", stale=True)
            await anyio.sleep(CENSUS_INTERVAL_MS / 1000 * (0.5 + self._rng.random()))

    def strike(self, for_ms):
        """Record that the node is out of touch for a while."""
        self.struck_ms.append((self._now_ms(), self._now_ms() + for_ms))

    def in_touch_from(self, at_ms):
        """Return when the node is in touch, at `at_ms` or later, by the trouble until then."""
        ends = [end + CONTACT_MS for began, end in self.struck_ms if began <= at_ms]
        later = max([at_ms, *ends])
        return later if later == at_ms else self.in_touch_from(later)


@attrs.frozen
class Late:
    """A change that a node in touch did not have in force in time."""

    node: str
    kind: str
    acknowledged_ms: int
    due_ms: int
    in_force_ms: int | None


class Play:
    """One play of `count` nodes in `zones` zones, with trouble of the given kinds."""

    def __init__(self, seed, count, zones, troubles, now_ms):
        self._rng, self._now_ms, self._troubles = random.Random(seed), now_ms, troubles
        self.world = World(now_ms)
        self._switch = Switch(asyncio.get_running_loop(), seed)
        self.nodes = [
            Node(
                f"10.{number % zones}.{number // 250}.{number % 250}:1",
                f"z{number % zones}",
                self._switch,
                now_ms,
                self.world,
                random.Random(seed * 1000 + number),
            )
            for number in range(count)
        ]

    async def run(self):
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                zone = {one.address: 1.0 for one in self.nodes if one.zone == node.zone}
                node.news.update_zone(zone)
                node.kernel.start(tasks)
                tasks.start_soon(node.census)
                for follower in node.followers:
                    tasks.start_soon(follower.run)
            await anyio.sleep(START_MS / 1000)
            calls = sum(node.source.calls for node in self.nodes)
            for _ in range(BURSTS):
                await self._burst()
                await anyio.sleep(self._rng.uniform(*BURST_GAP_S))
            await anyio.sleep((IN_FORCE_MS + 2 * CONTACT_MS) / 1000)
            calls = sum(node.source.calls for node in self.nodes) - calls
            tasks.cancel_scope.cancel()
        return self._find_late(), calls

    async def _burst(self):
        """Change both kinds and strike nodes, in any order, within a second or so."""
        events = [lambda: self.world.change(self._rng.choice(KINDS)) for _ in range(3)]
        for _ in range(self._rng.choice((1, 1, 2, 4))):
            events.append(lambda: self._strike(self._rng.choice(self._troubles)))
        self._rng.shuffle(events)
        for event in events:
            event()
            await anyio.sleep(self._rng.choice((0.0, 0.05, 0.2, 0.5)))

    def _choose_node(self):
        """Return a node, mostly one that publishes."""
        publishers = [one for one in self.nodes if any(map(one.news.is_publisher, KINDS))]
        return self._rng.choice(
            publishers if publishers and self._rng.random() < 0.7 else self.nodes
        )

    def _strike(self, trouble):
        node = self._choose_node()
        cut = ObjectStoreFailure("ReadError", cut=True)
        for_ms = self._rng.choice((100, 400, 1000, 2500, 8000))
        match trouble:
            case "reset":
                node.strike(0)
                node.source.end_watches(failure=cut)
            case "reset_one":
                node.strike(0)
                node.source.end_watches(self._rng.choice(KINDS), cut)
            case "refuse":
                node.strike(for_ms)
                node.source.fail(ObjectStoreFailure("status 503"), for_ms)
                node.source.end_watches(failure=cut)
            case "silent":
                node.strike(for_ms)
                node.source.fail(ObjectStoreFailure("ReadTimeout"), for_ms)
            case "freeze":
                node.strike(for_ms)
                self._switch.away.add(node.address)
                node.source.fail(ObjectStoreFailure("ReadTimeout"), for_ms)
                loop = asyncio.get_running_loop()
                loop.call_later(for_ms / 1000, self._switch.away.discard, node.address)
            case "large":
                self.world.large = {"config"}
            case "history":
                self.world.history_from = self.world.number
            case "fail":
                self._fail_service(node)

    def _fail_service(self, node):
        """Let a service of a node raise; the kernel restarts it after a pause."""
        self._rng.choice(node.failing).set()

    def _find_late(self):
        late = []
        for node in self.nodes:
            for kind, sink in node.sinks.items():
                # Two large answers in a row take longer than a change may.
                changes = [] if kind in self.world.large else self.world.acknowledged[kind]
                for number, at_ms in changes:
                    due_ms = node.in_touch_from(at_ms + IN_FORCE_MS)
                    if due_ms > self._now_ms():
                        continue
                    times = [ms for known, ms in sink.in_force_ms.items() if known >= number]
                    in_force_ms = min(times, default=None)
                    if in_force_ms is None or in_force_ms > due_ms:
                        late.append(Late(node.address, kind, at_ms, due_ms, in_force_ms))
        return late


def play_news(seed, count, zones=1, troubles=TROUBLES):
    """Run a play; returns the late changes and the number of calls to the store."""

    async def main(now_ms):
        return await Play(seed, count, zones, troubles, now_ms).run()

    return run_virtual(main)
