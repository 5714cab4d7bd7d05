"""Scenarios on following the store: swarms of changes, cuts and silence."""

import random

import anyio
from behave import then, when
from result import Err, Ok

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.ports import Listing, SourceFailure, StoredObject
from saffronworks.forwarding.tuning import LAPSE_AFTER_MS

WAIT_MS = 1000


class Sink:
    def __init__(self):
        self.revisions = []
        self.lapsed = []

    def replace_all(self, listing, lapsed):
        self.lapsed.append(lapsed)

    def apply(self, changes, lapsed):
        self.revisions.append(changes.revision)


class ChangingSource:
    """A store with a change every few milliseconds."""

    def __init__(self):
        self.watches = 0
        self.revision = 1
        self.changed = anyio.Event()

    async def change(self, times, gap_s):
        for _ in range(times):
            self.revision += 1
            self.changed.set()
            self.changed = anyio.Event()
            await anyio.sleep(gap_s)

    async def list_objects(self, kind, stale=False):
        return Ok(Listing((), self.revision))

    async def watch(self, kind, revision, wait_ms):
        self.watches += 1
        with anyio.move_on_after(wait_ms / 1000):
            while self.revision == revision:
                await self.changed.wait()
        changes = tuple(StoredObject("n", r, b"") for r in range(revision, self.revision))
        return Ok(Listing(changes, self.revision))


@when("a follower hears thirty changes within half a second")
def swarm(context):
    context.source, context.sink = ChangingSource(), Sink()

    async def main():
        follower = Follower(
            "servers", context.source, context.sink, random.Random(1), monotonic_ms, WAIT_MS
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(0.05)
            tasks.start_soon(context.source.change, 30, 0.5 / 30)
            await anyio.sleep(0.05)
            context.first = list(context.sink.revisions)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the first is known at once, and few calls bring the others")
def few_calls(context):
    assert context.first, "the first change was not heard at once"
    assert context.sink.revisions[-1] == context.source.revision
    assert context.source.watches <= 6, context.source.watches


class FailingSource:
    """A listing, a watch that fails once, and the listing again after `gone_ms` on the clock."""

    def __init__(self, failure, gone_ms):
        self.now_ms = 0
        self._failure = failure
        self._gone_ms = gone_ms
        self._failed = False

    async def list_objects(self, kind, stale=False):
        return Ok(Listing((), 1))

    async def watch(self, kind, revision, wait_ms):
        if self._failed:
            await anyio.sleep_forever()
        self._failed = True
        self.now_ms += self._gone_ms
        return Err(self._failure)


def lapsed_after(failure):
    source, sink = FailingSource(failure, LAPSE_AFTER_MS + 1), Sink()

    async def main():
        follower = Follower(
            "servers", source, sink, random.Random(1), lambda: source.now_ms, WAIT_MS
        )
        with anyio.move_on_after(0.3):
            await follower.run()

    anyio.run(main)
    return sink.lapsed


@then("after a watch that was cut, entries that are missing are gone")
def cut(context):
    assert lapsed_after(SourceFailure("ReadError", cut=True)) == [False, False]


@then("after a watch that stayed silent for long, they may have lapsed")
def silent(context):
    assert lapsed_after(SourceFailure("ReadTimeout")) == [False, True]
