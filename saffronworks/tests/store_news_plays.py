"""Plays of a node's followers and census behind the circuit breaker, in virtual time."""

import random

import anyio
import attrs
from result import Err, Ok

from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.ports import Listing, ObjectStoreFailure, StoredObject
from saffronworks.forwarding.store_circuit import GuardedSource
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.revisions import at
from saffronworks.tests.virtual_loop import run_virtual

__all__ = ["KINDS", "news_delay_ms", "outage_calls"]

KINDS = ("config", "servers")
# As with the users' bounds on their small sites.
WATCH_WAIT_MS, KNOWN_WITHIN_MS = 3500, 5000
# Answer of the store, and the timeout of its client.
ANSWER_MS, TIMEOUT_MS = 4, 800
START_MS, CENSUS_INTERVAL_MS, OUTAGE_MS = 1000, 500, 10_000


@attrs.define(eq=False)
class _Watch:
    kind: str
    ended: anyio.Event = attrs.Factory(anyio.Event)
    cut: bool = False


class Store:
    """A store with an object of each kind; while `failure` is set, each call ends with it."""

    def __init__(self, now_ms):
        self._now_ms, self.failure, self.called_ms, self._watches = now_ms, None, [], []
        self.revisions = dict.fromkeys(KINDS, 1)

    def change(self, kind):
        self.revisions[kind] += 1
        self.end_watches(kind, cut=False)

    def end_watches(self, kind, cut):
        for watch in self._watches:
            if watch.kind == kind:
                watch.cut = cut
                watch.ended.set()

    async def list_objects(self, kind, stale=False):
        self.called_ms.append(self._now_ms())
        return await self._answer(kind)

    async def watch(self, kind, revision, wait_ms):
        self.called_ms.append(self._now_ms())
        watch = _Watch(kind)
        if self.failure is None and self.revisions[kind] == revision.number:
            self._watches.append(watch)
            with anyio.move_on_after(wait_ms / 1000):
                await watch.ended.wait()
            self._watches.remove(watch)
        if watch.cut:
            return Err(ObjectStoreFailure("ReadError", cut=True))
        return await self._answer(kind)

    async def _answer(self, kind):
        failure = self.failure
        silent = failure is not None and failure.reason == "ReadTimeout"
        await anyio.sleep((TIMEOUT_MS if silent else ANSWER_MS) / 1000)
        revision = at(self.revisions.get(kind, 1))
        return (
            Err(failure) if failure else Ok(Listing((StoredObject(kind, revision, b""),), revision))
        )


class Sink:
    """Records when each revision was in force."""

    def __init__(self, now_ms):
        self._now_ms, self.in_force_ms = now_ms, {}

    def replace_all(self, listing, lapse_until_ms):
        self.in_force_ms.setdefault(listing.revision.number, self._now_ms())

    def apply(self, changes, lapse_until_ms):
        self.replace_all(changes, lapse_until_ms)


def _play(seed, disturb):
    """Run a node beside `disturb(store, now_ms)`; returns the result of that, and the sinks."""

    async def main(now_ms):
        store, rng = Store(now_ms), random.Random(seed)
        source = GuardedSource(store, rng, now_ms, lambda: False)
        sinks = {kind: Sink(now_ms) for kind in KINDS}

        async def census():
            while True:
                await source.list_objects("nodes", stale=True)
                await anyio.sleep(CENSUS_INTERVAL_MS / 1000 * (0.5 + rng.random()))

        async with anyio.create_task_group() as tasks:
            for kind, sink in sinks.items():
                bounds = (WATCH_WAIT_MS, KNOWN_WITHIN_MS)
                follower = Follower(kind, source, sink, rng, now_ms, *bounds, StoreEpoch())
                tasks.start_soon(follower.run)
            tasks.start_soon(census)
            await anyio.sleep(START_MS / 1000)
            result = await disturb(store, now_ms)
            tasks.cancel_scope.cancel()
        return result, sinks

    return run_virtual(main)


def news_delay_ms(seed, kind, reset_after_ms, news_after_ms):
    """Return how late a change of `kind` is in force after a change of the other and a reset.

    A watch of `kind` is reset that long after the change of the other kind, and `kind` changes
    `news_after_ms` after the reset.
    """
    other = next(one for one in KINDS if one != kind)

    async def disturb(store, now_ms):
        store.change(other)
        await anyio.sleep(reset_after_ms / 1000)
        store.end_watches(kind, cut=True)
        await anyio.sleep(news_after_ms / 1000)
        store.change(kind)
        changed_ms = now_ms()
        await anyio.sleep(KNOWN_WITHIN_MS / 1000)
        return store.revisions[kind], changed_ms

    (revision, changed_ms), sinks = _play(seed, disturb)
    return sinks[kind].in_force_ms[revision] - changed_ms


def outage_calls(seed, failure):
    """Return the calls during an outage that begins with the end of both watches, or silently."""

    async def disturb(store, now_ms):
        store.failure = failure
        if failure.reason != "ReadTimeout":
            for kind in KINDS:
                store.end_watches(kind, cut=True)
        began_ms = now_ms()
        await anyio.sleep(OUTAGE_MS / 1000)
        return sum(at_ms >= began_ms for at_ms in store.called_ms)

    return _play(seed, disturb)[0]
