"""Steps on what nodes know of the origins of streams, without network."""

from unittest.mock import AsyncMock, Mock

import anyio
import attrs
from behave import then, when

from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.origins.certainty import BegunStream, Knowledge, VersionCertainty
from saffronworks.forwarding.origins.decisions import (
    ORIGIN_AMBIGUOUS,
    ORIGIN_UNKNOWN,
    SERVICE_REMOVED,
    Resolved,
    resolve,
)
from saffronworks.forwarding.origins.history import OriginHistory
from saffronworks.forwarding.origins.messages import OriginAnswer
from saffronworks.forwarding.origins.records import Origin, OriginTable, stream_key
from saffronworks.forwarding.origins.service import StreamOrigins
from saffronworks.forwarding.origins.tuning import (
    ENTRIES_FRESH_MS,
    ENTRY_WRITE_MS,
    MAX_RECORD_TTL_MS,
    MAX_REMEMBERED,
    MIN_RESUME_WINDOW_MS,
    RESTORED_ENTRIES_MS,
)
from saffronworks.forwarding.routing import RoutingTable, Split
from saffronworks.forwarding.shared_reads import SharedRead
from saffronworks.tests.endpoint_fixtures import route

WINDOW_MS = 60_000


@then("a version that left counts for as long as its streams can be resumed")
def version_that_left(context):
    history = OriginHistory(from_first_start=True)
    history.observe_table(RoutingTable(1, (route(streams=True),), {}), 0)
    history.observe_versions({"s": {"v1"}, "other": {"v9"}}, 0)
    history.observe_versions({"s": {"v1", "v2"}}, 1000)
    history.observe_versions({"s": {"v2"}}, 500_000)
    both = frozenset([Origin("s", "v1"), Origin("s", "v2")])
    assert history.candidates("r", WINDOW_MS, 500_000 + WINDOW_MS - 1) == both
    assert history.candidates("r", WINDOW_MS, 500_000 + WINDOW_MS) == {Origin("s", "v2")}
    moved = RoutingTable(2, (route(splits=(Split("other", 1.0),), streams=True),), {})
    history.observe_table(moved, 600_000)
    history.observe_versions({"s": {"v2"}, "other": {"v9"}}, 600_000)
    found = history.candidates("r", WINDOW_MS, 600_001)
    assert found == {Origin("s", "v2"), Origin("other", "v9")}, found


def answer(*candidates, covers=True, records=(), ambiguous=False):
    return OriginAnswer("", "n", records, 5, candidates, covers, ambiguous, latest=covers)


V1, V2 = Origin("s", "v1"), Origin("s", "v2")


@then("a node that has just started knows only what other nodes can confirm")
def just_started(context):
    history = OriginHistory()
    assert not history.covers(WINDOW_MS, 10**9)
    history.observe_table(RoutingTable(1, (route(streams=True),), {}), 1000)
    assert not history.covers(WINDOW_MS, 10**9), "no endpoints were listed"
    history.observe_versions({"s": {"v1"}}, 2000)
    assert not history.covers(WINDOW_MS, 2000 + WINDOW_MS - 1)
    assert history.covers(WINDOW_MS, 2000 + WINDOW_MS)
    own, peer = answer(V1, covers=False), answer(V1, covers=True)
    assert resolve([own], route()) == ORIGIN_UNKNOWN
    assert resolve([own, peer], route()) == Resolved(V1, by_record=False)


@then("a node that has started learns from another one what served before")
def learns_history(context):
    old, new = OriginHistory(from_first_start=True), OriginHistory()
    table = RoutingTable(1, (route(streams=True),), {})
    for history, began_ms in ((old, 0), (new, 100_000)):
        history.observe_table(table, began_ms)
        history.observe_versions({"s": {"v1"}}, began_ms)
    old.observe_versions({"s": {"v2"}}, 50_000)
    new.observe_versions({"s": {"v2"}}, 100_001)
    # The clocks of the two nodes differ.
    new.merge(old.export(200_000), 100_010)
    assert new.covers(MAX_RECORD_TTL_MS, 100_010)
    assert new.candidates("r", 160_000, 100_010) == {V1, V2}
    assert new.candidates("r", 140_000, 240_020) == {V2}
    unborn = OriginHistory()
    unborn.merge(old.export(200_000), 100_010)
    assert not unborn.covers(1, 100_010), "its own present is unknown"


@then("a stream continues without a record only if a single origin is possible")
def single_origin(context):
    assert resolve([answer()], route()) == ORIGIN_UNKNOWN
    assert resolve([answer(V1, V2)], route()) == ORIGIN_UNKNOWN
    # A version may have come since the sender's last update.
    late = attrs.evolve(answer(V1), latest=False)
    assert resolve([late], route()) == ORIGIN_UNKNOWN
    assert resolve([late, answer(V1)], route()) == Resolved(V1, by_record=False)
    assert resolve([late, answer(V1, V2)], route()) == ORIGIN_UNKNOWN
    assert resolve([answer(V1), answer(V2, covers=False)], route()) == ORIGIN_UNKNOWN
    assert resolve([answer(V2), answer(records=(V1,))], route()).origin == V1
    assert resolve([answer(records=(V2,)), answer(records=(V1,))], route()) == ORIGIN_AMBIGUOUS
    assert resolve([answer(records=(V1,)), answer(ambiguous=True)], route()) == ORIGIN_AMBIGUOUS
    uncertain = attrs.evolve(answer(ambiguous=True), settles_in_ms=700)
    refusal = resolve([answer(), uncertain], route())
    assert (refusal.reason, refusal.not_before_ms) == ("stream-origin-uncertain", 700), refusal
    moved = route(splits=(Split("other", 1.0),))
    assert resolve([answer(records=(V1,))], moved) == SERVICE_REMOVED
    shared = route(splits=(Split("other", 0.9), Split("s", 0.1)))
    assert resolve([answer(records=(V1,))], shared).origin == V1


@then("a node that had to forget versions does not claim to know them all")
def forgotten_versions(context):
    history = OriginHistory(from_first_start=True)
    history.observe_table(RoutingTable(1, (route(streams=True),), {}), 0)
    for number in range(MAX_REMEMBERED + 3):
        history.observe_versions({"s": {f"v{number}"}}, number)
    last_ms = MAX_REMEMBERED + 3
    assert not history.covers(WINDOW_MS, last_ms)
    assert history.covers(WINDOW_MS, last_ms + WINDOW_MS)


@then("a full table drops its oldest records, and no record outlives its time")
def bounded_table(context):
    table = OriginTable(max_records=3)
    for number in range(5):
        table.store(f"k{number}", V1, 1000, number)
    assert len(table) == 3 and table.find("k1", 5) is None
    assert table.find("k4", 5).origin == V1 and table.find("k4", 1004) is None
    table.store("k2", V1, 10**12, 500)
    assert table.find("k2", 500 + MAX_RECORD_TTL_MS - 1).recorded_ms == 2
    assert table.find("k2", 500 + MAX_RECORD_TTL_MS) is None


@then("an uncertain origin may become certain, unless it was withdrawn")
def uncertain_record(context):
    table = OriginTable()
    for origin in (None, None, V1):
        table.store("k", origin, 1000, 0)
    assert table.find("k", 1).origin == V1
    for origin in (None, V1):
        table.store("k", origin, 1000, 0)
        assert table.find("k", 1).origin is None


@then("one id for two streams with different origins makes the record ambiguous")
def ambiguous_record(context):
    table = OriginTable()
    for origin in (V1, V2, V1):
        table.store("k", origin, 1000, 0)
    assert table.find("k", 1).origin is None


@then("a request of another caller, or with another id, has another key")
def keys_differ(context):
    def key(request_id, caller="", organisation=None):
        request = CallerRequest("x", "POST", "/", "h", (), b"", 0, 0, caller=caller)
        named = organisation and Mock()
        if named:
            named.name = organisation
        return stream_key(attrs.evolve(request, organisation=named), request_id)

    keys = {key("a"), key("b"), key("a", "me"), key("a", "", "org"), key("a", "", "org2")}
    assert len(keys) == 5 and key("a", "me") == key("a", "me")


NAMED = ServiceEndpoint("e", "s", "127.0.0.1:1", "z", born_ms=5, version="v1")


def is_certain(certainty, updated_ms=10_000, age_ms=0, connected_since_ms=None):
    known = Knowledge(updated_ms, connected_since_ms)
    return certainty.is_certain(NAMED, known, updated_ms + age_ms)


@then("it is uncertain after a broken connection, until the store has shown its entry again")
def uncertain_after_break(context):
    certainty = VersionCertainty()
    assert is_certain(certainty, 1000)
    certainty.record_break(NAMED, ExchangeErrorCause.WITHHELD)
    assert is_certain(certainty, 1000), "nothing was sent"
    certainty.record_break(NAMED, ExchangeErrorCause.RESET)
    assert not is_certain(certainty, 60_000), "it may restart at any time until it is connected"
    assert not is_certain(certainty, 60_000, connected_since_ms=59_900)
    assert not is_certain(certainty, 59_900 + ENTRY_WRITE_MS - 1, connected_since_ms=61_000)
    assert is_certain(certainty, 59_900 + ENTRY_WRITE_MS, connected_since_ms=61_500)
    later = attrs.evolve(NAMED, born_ms=6)
    certainty.record_break(NAMED, ExchangeErrorCause.RESET)
    assert certainty.is_certain(later, Knowledge(1000), 1000), "the store shows it"
    certainty.forget_all_but([later.instance])
    assert not certainty._doubts and list(certainty._proven_ms) == [later.instance]


@then("a connection that was open while it was certain proves it")
def proven_by_connection(context):
    certainty = VersionCertainty()
    stale_ms = ENTRIES_FRESH_MS + 1
    assert not is_certain(certainty, 1000, stale_ms, connected_since_ms=900)
    assert is_certain(certainty, 1000)
    certainty.record_break(NAMED, ExchangeErrorCause.RESET)
    assert is_certain(certainty, 1200, connected_since_ms=900)
    assert not is_certain(certainty, 1200, connected_since_ms=1150)
    # A failure of an older connection that is noticed late says nothing of the present process.
    certainty.record_break(NAMED, ExchangeErrorCause.SILENT)
    assert is_certain(certainty, 1150 + ENTRY_WRITE_MS, connected_since_ms=1150)


@then("a connection that is older than fresh entries proves it, however old these are")
def proven_by_entries(context):
    certainty, shown_ms = VersionCertainty(), 1000 + ENTRY_WRITE_MS
    age_ms = 2 * ENTRIES_FRESH_MS
    assert not is_certain(certainty, shown_ms - 1, age_ms, connected_since_ms=1000)
    assert is_certain(certainty, shown_ms, age_ms, connected_since_ms=1000)
    restored = VersionCertainty()
    restored.record_restore(shown_ms)
    assert not is_certain(restored, shown_ms + 1, age_ms, connected_since_ms=1000)


@then("it is uncertain after a restore of the store, and while updates are missing")
def uncertain_after_restore(context):
    certainty = VersionCertainty()
    assert not is_certain(certainty, 1000, ENTRIES_FRESH_MS + 1)
    certainty.record_restore(1000)
    assert not is_certain(certainty, 1000 + RESTORED_ENTRIES_MS - 1)
    assert is_certain(certainty, 1000 + RESTORED_ENTRIES_MS)


@then("the version of an endpoint whose name is new after each start is certain")
def certain_by_name(context):
    certainty, unnamed = VersionCertainty(), attrs.evolve(NAMED, born_ms=None)
    certainty.record_restore(1000)
    certainty.record_break(unnamed, ExchangeErrorCause.RESET)
    assert certainty.is_certain(unnamed, Knowledge(0), 10**6) and not certainty._doubts


@then("streams that began shortly before a later start was listed are doubtful")
def doubtful_streams(context):
    certainty, later = VersionCertainty(), attrs.evolve(NAMED, born_ms=6, version="v2")
    begun = BegunStream("k", NAMED, 1000, at_ms=100)
    certainty.record_stream(begun, 100)
    assert certainty.find_doubtful(later, 100 + ENTRY_WRITE_MS - 1) == [begun]
    assert certainty.find_doubtful(later, 100 + ENTRY_WRITE_MS) == []
    assert certainty.find_doubtful(attrs.evolve(later, version="v1"), 101) == []
    assert certainty.find_doubtful(attrs.evolve(later, name="other"), 101) == []
    for number in range(3):
        at_ms = 200 + number
        certainty.record_stream(attrs.evolve(begun, at_ms=at_ms), at_ms)
    certainty.record_stream(attrs.evolve(begun, at_ms=10_000), 10_000)
    assert len(certainty._begun) == 1, "streams that began long before are forgotten"


@then("each gets the result of a read that began after it had asked, and few reads are made")
def shared_reads(_):
    began, results = [], []

    async def read():
        began.append(anyio.current_time())
        await anyio.sleep(0.05)
        return len(began) != 2

    async def main():
        shared = SharedRead(read)

        async def ask(after_s):
            await anyio.sleep(after_s)
            asked_s, before = anyio.current_time(), len(began)
            with anyio.move_on_after(0.02 if after_s == 0 else 9) as scope:
                results.append((asked_s, before, await shared.run()))
            assert scope.cancelled_caught is (after_s == 0)

        async with anyio.create_task_group() as tasks:
            for after_s in (0, 0.01, 0.015, 0.03, 0.04, 0.05):
                tasks.start_soon(ask, after_s)

    anyio.run(main)
    # The first read is cancelled with its caller; the second one fails.
    assert len(began) == 3 and len(results) == 5, (began, results)
    for asked_s, before, succeeded in results:
        first = next(number for number, at_s in enumerate(began) if at_s >= asked_s)
        assert before <= first and succeeded is (first != 1), (asked_s, began, succeeded)


@then("the history has their version")
def joined_and_left(_):
    directory, now_ms = Directory(), [1000]
    origins = make_origins(directory, now_ms)
    origins.observe_table(RoutingTable(1, (route(streams=True),), {}))
    directory.put(attrs.evolve(NAMED, version="v1"))
    origins.observe_endpoints(directory.pop_added())
    directory.put(attrs.evolve(NAMED, name="e9", version="v2"))
    directory.remove("e9", 1000)
    now_ms[0] = 2000
    origins.observe_endpoints(directory.pop_added())
    assert origins.history.candidates("r", WINDOW_MS, 2000) == {V1, V2}
    assert origins.history.candidates("r", WINDOW_MS, 2000 + WINDOW_MS) == {V1}


@then("a node that can't read the latest updates gives no other node its history for complete")
def history_of_latest(_):
    for succeeds in (True, False):
        sent = []

        async def read(succeeds=succeeds):
            return succeeds

        origins = make_origins(Directory(), [1000], read)
        origins.observe_endpoints()
        origins.observe_table(RoutingTable(1, (route(streams=True),), {}))
        origins._send = lambda _, message, sent=sent: sent.append(message)
        anyio.run(origins._reply_history, "b")
        assert [answer.covers_ms for answer in sent] == [MAX_RECORD_TTL_MS * succeeds], sent


@then("a node that has started lately reads nothing for another one's history")
def short_history(_):
    for age_ms, reads in ((MIN_RESUME_WINDOW_MS - 1, 0), (MIN_RESUME_WINDOW_MS, 1)):
        sent, read, now_ms = [], AsyncMock(return_value=True), [1000]
        origins = make_origins(Directory(), now_ms, read)
        origins.history = OriginHistory()
        origins.observe_endpoints()
        origins.observe_table(RoutingTable(1, (route(streams=True),), {}))
        origins._send = lambda _, message, sent=sent: sent.append(message)
        now_ms[0] += age_ms
        anyio.run(origins._reply_history, "b")
        assert read.await_count == reads, (age_ms, read.await_count)
        assert [answer.covers_ms for answer in sent] == [age_ms * reads], sent


def make_origins(directory, now_ms, *read_latest):
    """Return the origins of node `a`, up to date at any time; `now_ms` holds the present time."""
    return StreamOrigins(
        "a",
        directory,
        Mock(),
        lambda: now_ms[0],
        lambda: True,
        lambda: now_ms[0],
        Mock(),
        True,
        *read_latest,
    )


@when("an entry shows a later start of an endpoint while the record of its stream is on its way")
def restart_while_stored(context):
    origins = StreamOrigins(
        "a", Directory(), Mock(), lambda: 0, lambda: True, lambda: 0, connected_since_ms=Mock()
    )
    origins.update_nodes(["a", "b"])
    request = CallerRequest("x", "POST", "/", "h", (), b"", 0, 0)

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(origins.record_start, request, route(streams=True), "s", NAMED)
            await anyio.wait_all_tasks_blocked()
            origins.handle_restart(attrs.evolve(NAMED, born_ms=6, version="v2"))

    anyio.run(main)
    context.record = origins.table.find(stream_key(request, "x"), 0)


@then("the record is withdrawn")
def record_withdrawn(context):
    assert context.record.origin is None and context.record.final, context.record
