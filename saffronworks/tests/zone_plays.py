"""Followers of one zone with a store and a network in this process."""

import random

import anyio
from result import Err, Ok

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectStoreFailure, StoredObject
from saffronworks.forwarding.store_news import NewsFeed, NewsPace, StoreNews
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.kernel import Kernel
from saffronworks.tests.revisions import at

__all__ = ["FOLLOW_WITHIN_MS", "KIND", "ZoneNode", "ZoneStore", "play_zone"]

# Time within which each node has to know of a change.
FOLLOW_WITHIN_MS = 1000
KIND = "servers"


class ZoneStore:
    """A store of one kind that counts calls and wakes watches on changes."""

    def __init__(self):
        self.revision, self.epoch, self.calls = 1, 1, 0
        self.objects = {"e0": StoredObject("e0", at(1), b"0")}
        self.events = []
        self._changed = anyio.Event()

    def change(self, name, content):
        self.revision += 1
        item = StoredObject(name, self.at(), content)
        self.objects[name] = item
        self.events.append(item)
        self._changed.set()
        self._changed = anyio.Event()

    def restore(self, copy):
        """Restore a copy of objects and revision; later revisions are issued again."""
        self.objects, self.revision = dict(copy[0]), copy[1]
        self.events.clear()
        self.epoch += 1
        self._changed.set()
        self._changed = anyio.Event()

    def at(self):
        return at(self.revision, self.epoch)

    def listing(self):
        return Listing(tuple(self.objects.values()), self.at())

    async def since(self, revision, wait_ms):
        with anyio.move_on_after(wait_ms / 1000):
            while self.revision == revision.number:
                await self._changed.wait()
        if self.revision < revision.number:
            return Err(HistoryGone())
        changes = tuple(e for e in self.events if e.revision.number > revision.number)
        return Ok(Listing(changes, self.at()))


class ZoneNode:
    """A node with its follower, feed and faults; it is the source and sink of its follower."""

    def __init__(self, number, store, nodes):
        self.address = f"10.0.0.{number}:1"
        self.store, self.nodes = store, nodes
        self.cut = self.dead = False
        self.known, self.revisions = {}, []
        self.kernel = Kernel(self.address, monotonic_ms)
        pace = NewsPace.within(FOLLOW_WITHIN_MS)
        self.epoch = StoreEpoch()
        self.feed = NewsFeed(NodeOrder(self.address), pace, self.epoch, monotonic_ms)
        self.kernel.register(self.feed, StoreNews)
        self.kernel.post = self.post
        rng = random.Random(number)
        self.follower = Follower(
            KIND, self, self, rng, monotonic_ms, 5000, 9000, self.epoch, self.feed
        )

    # Network between the nodes

    def post(self, name, message):
        if name != "peers":
            return Kernel.post(self.kernel, name, message)
        target = self.nodes.get(message.address)
        if target is not None and not (self.dead or target.dead):
            target.kernel.announce(message.message)
        return True

    # Source of the follower

    async def list_objects(self, kind, stale=False):
        return await self._call(None, 0)

    async def watch(self, kind, revision, wait_ms):
        return await self._call(revision, wait_ms)

    async def _call(self, revision, wait_ms):
        if self.dead:
            await anyio.sleep_forever()
        if self.cut:
            await anyio.sleep(0.05)
            return Err(ObjectStoreFailure("ConnectTimeout"))
        self.store.calls += 1
        if revision is None:
            self.epoch.observe(self.store.epoch)
            return Ok(self.store.listing())
        answer = await self.store.since(revision, wait_ms)
        if self.cut:
            return Err(ObjectStoreFailure("ReadError", cut=True))
        if self.dead:
            await anyio.sleep(5)
        return answer

    # Sink of the follower

    def replace_all(self, listing, lapse_until_ms):
        self.known = {}
        self.apply(listing, lapse_until_ms)

    def apply(self, changes, lapse_until_ms):
        for item in changes.objects:
            self.known[item.name] = item.content
        self.revisions.append(changes.revision)

    def is_publisher(self):
        return self.feed.is_publisher(KIND)


def play_zone(count, play):
    """Start `count` nodes that know each other, run `play(store, nodes)`, and stop them."""

    async def main():
        store, nodes = ZoneStore(), {}
        for number in range(count):
            node = ZoneNode(number, store, nodes)
            nodes[node.address] = node
        for node in nodes.values():
            node.feed.update_zone(dict.fromkeys(nodes, 1.0))
        async with anyio.create_task_group() as tasks:
            for node in nodes.values():
                node.kernel.start(tasks)
                tasks.start_soon(node.follower.run)
            await anyio.sleep(0.2)
            await play(store, list(nodes.values()))
            tasks.cancel_scope.cancel()

    anyio.run(main)
