"""Scenarios on following the store: bursts of changes, cut connections and timeouts."""

import json
import random
from itertools import product
from unittest.mock import Mock

import anyio
from behave import then, when
from result import Err, Ok

from saffronworks.clocks import monotonic_ms, wall_ms
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.followers import Follower
from saffronworks.forwarding.ports import HistoryGone, Listing, ObjectStoreFailure, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import (
    LAPSE_AFTER_MS,
    LAPSED_GRACE_MS,
)
from saffronworks.platform.servers import ServerSink
from saffronworks.platform.settings import read_platform_settings
from saffronworks.platform.store import ANSWER_TIMEOUT_S
from saffronworks.tests.platform_fakes import FakeServer, settings_text
from saffronworks.tests.revisions import at

WAIT_MS = 1000
# As on the users' small sites: 3 s until a node is in contact, and 2 s more.
KNOWN_WITHIN_MS = 5000
SILENT = ObjectStoreFailure("ReadTimeout")
# A listing takes 4 ms per answer, and longer while many nodes call the store.
LIST_ANEW_MS = 500
# With less time, watches have their minimum length, which suffices for polling.
SHORTEST_KNOWN_MS = 2000


class Sink:
    def __init__(self):
        self.revisions = []
        self.lapse_until_ms = []

    def replace_all(self, listing, lapse_until_ms):
        self.lapse_until_ms.append(lapse_until_ms)

    def apply(self, changes, lapse_until_ms):
        self.revisions.append(changes.revision.number)


class ChangingSource:
    """A store that changes every few milliseconds."""

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
        return Ok(Listing((), at(self.revision)))

    async def watch(self, kind, revision, wait_ms):
        self.watches += 1
        with anyio.move_on_after(wait_ms / 1000):
            while self.revision == revision.number:
                await self.changed.wait()
        revisions = range(revision.number, self.revision)
        changes = tuple(StoredObject("n", at(number), b"") for number in revisions)
        return Ok(Listing(changes, at(self.revision)))


@when("a follower hears thirty changes within half a second")
def burst_of_changes(context):
    context.source, context.sink = ChangingSource(), Sink()

    async def main():
        follower = Follower(
            "servers",
            context.source,
            context.sink,
            random.Random(1),
            monotonic_ms,
            WAIT_MS,
            KNOWN_WITHIN_MS,
            StoreEpoch(),
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
    assert context.first, "the first change was not applied at once"
    assert context.sink.revisions[-1] == context.source.revision
    assert context.source.watches <= 6, context.source.watches


class FailingSource:
    """A store that lists an endpoint, fails one watch, and then lists no endpoint.

    The watch fails after `gone_ms` of virtual time; then `failing_lists` listings fail, each after
    a second.
    """

    def __init__(self, failure, gone_ms, failing_lists=0):
        self.now_ms = 0
        self._failure = failure
        self._gone_ms = gone_ms
        self._failing_lists = failing_lists
        self._failed = False

    async def list_objects(self, kind, stale=False):
        if self._failed and self._failing_lists:
            self._failing_lists -= 1
            self.now_ms += 1000
            return Err(self._failure)
        entry = json.dumps(FakeServer("e0", "s").entry()).encode()
        return Ok(Listing(() if self._failed else (StoredObject("e0", at(1), entry),), at(1)))

    async def watch(self, kind, revision, wait_ms):
        if self._failed:
            await anyio.sleep_forever()
        self._failed = True
        self.now_ms += self._gone_ms
        return Err(self._failure)


def usable_for_ms(failure, gone_ms, failing_lists=0):
    """Return how long an entry stays usable after the listing from which it is missing."""
    source, directory = FailingSource(failure, gone_ms, failing_lists), Directory()

    def clock():
        return source.now_ms

    async def main():
        sink = ServerSink(directory, clock, wall_ms, lambda: None, Mock())
        follower = Follower(
            "servers", source, sink, random.Random(1), clock, WAIT_MS, KNOWN_WITHIN_MS, StoreEpoch()
        )
        with anyio.move_on_after(0.15):
            await follower.run()

    anyio.run(main)
    listed_ms = source.now_ms
    ends = (ms for ms in range(0, 10_000, 100) if not directory.usable("s", listed_ms + ms))
    return next(ends)


@then("after a watch that was cut, entries that are missing are gone")
def cut(context):
    assert usable_for_ms(ObjectStoreFailure("ReadError", cut=True), LAPSE_AFTER_MS + 1) == 0


@then("after a watch that stayed silent for long, they may have lapsed")
def silent(context):
    assert usable_for_ms(SILENT, LAPSE_AFTER_MS + 1) == LAPSED_GRACE_MS


@then("a watch that was lost lets them be used no longer than what is known has to be followed")
def within_bound(context):
    for gone_ms in range(LAPSE_AFTER_MS, 6000, 400):
        used_until_ms = gone_ms + usable_for_ms(SILENT, gone_ms)
        assert used_until_ms <= max(gone_ms, KNOWN_WITHIN_MS), (gone_ms, used_until_ms)


@then("a store that still fails when it is asked anew has been away until then")
def still_away(context):
    assert usable_for_ms(SILENT, 4500, failing_lists=1) == LAPSED_GRACE_MS


@then("a watch that is lost ends early enough to list anew")
def ends_early(context):
    for contact_ms, drain_ms in product((500, 3000, 4000, 5000), (500, 2000, 3000, 4000)):
        bounds = {"contact_ms": contact_ms, "drain_ms": drain_ms, "config_apply_ms": 2000}
        bounds |= {"grace_s": 8, "retry_budget_ratio": 0.2, "retry_slack": 9, "budget_window_s": 9}
        text = settings_text("127.0.0.1:1", bounds=bounds)
        settings = read_platform_settings(text, "node.yaml").ok_value
        known_ms = contact_ms + min(drain_ms, 2000)
        over_ms = settings.watch_wait_ms + ANSWER_TIMEOUT_S * 1000
        assert over_ms + LIST_ANEW_MS <= known_ms or known_ms < SHORTEST_KNOWN_MS, bounds


def read_latest(reply, during=lambda follower: None):
    """Return whether a follower at revision 5 has read the latest changes, it, and its sink."""

    async def main():
        sink, source = Sink(), Mock()

        async def read_changes(kind, revision):
            assert revision == at(5)
            during(follower)
            return reply

        source.read_changes = read_changes
        follower = Follower(
            "servers", source, sink, random.Random(1), lambda: 9, 3000, 5000, StoreEpoch()
        )
        follower._revision, follower._needs_listing = at(5), False
        return await follower.read_latest(), follower, sink

    return anyio.run(main)


@then("it applies what the store has changed since the last update")
def applies_latest(_):
    change = StoredObject("n", at(7), b"")
    succeeded, follower, sink = read_latest(Ok(Listing((change,), at(7))))
    assert succeeded and sink.revisions == [7] and follower._revision == at(7)
    assert read_latest(Ok(Listing((), at(5))))[0], "nothing has changed"

    def overtake(follower):
        follower._revision = at(9)

    succeeded, follower, sink = read_latest(Ok(Listing((change,), at(7))), overtake)
    assert succeeded and not sink.revisions and follower._revision == at(9)


@then("it fails if the store is silent, has lost its history or was restored meanwhile")
def fails_latest(_):
    def require_listing(follower):
        follower._needs_listing = True

    def restore(follower):
        follower._revision = at(2, epoch=2)

    current = Ok(Listing((), at(5)))
    for reply, during in (
        (Err(SILENT), lambda _: None),
        (Err(HistoryGone()), lambda _: None),
        (Ok(Listing((), at(6, epoch=2))), lambda _: None),
        (Ok(Listing((), at(4))), lambda _: None),
        (current, require_listing),
        (current, restore),
    ):
        succeeded, _, sink = read_latest(reply, during)
        assert not succeeded and not sink.revisions, (reply, sink.revisions)
