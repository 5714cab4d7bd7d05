"""Steps of streams whose first endpoint broke off."""

import re
import time
from itertools import product
from types import SimpleNamespace

import anyio
from behave import given, then, when

from saffronworks.forwarding.event_streams import EventSequence, EventSplitter
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.generation_events import Cut, RelayBroken, StartStream, StreamAnswered
from saffronworks.forwarding.generation_state import Delivered
from saffronworks.forwarding.messages import CallerRequest, KvHold, Refuse
from saffronworks.forwarding.reservations import StreamPace
from saffronworks.forwarding.routing import Route
from saffronworks.forwarding.runners import Job
from saffronworks.forwarding.stream_relays import StreamRelay
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.tests.endpoint_fixtures import REPLY_KINDS, head_of
from saffronworks.tests.generation_simulation import (
    POOLS,
    generation,
    simulate_generation,
    step_generation,
)
from saffronworks.tests.platform_place import engines, on_platform


def run_resumable(context, *faults, events=3, headers=None):
    """Send a resumable generation; each of its runs has the next fault, at whichever endpoint."""
    servers = engines()
    for server in servers:
        server.events = events

    async def play(place):
        servers[0].script = servers[1].script = list(faults)
        fields = {"Token-Counts": "5000,9000", "Length-Hint": "3000"} | (headers or {})
        context.raw = await place.ask("/res/", "g1", fields, b"prompt")

    on_platform(servers, play)
    context.runs = sum(len(server.ran) for server in servers)


@when("one endpoint breaks off a resumable stream and the next one fails its run")
def break_off_then_fail(context):
    run_resumable(context, "break-2", "error")


@then("the caller gets the complete events, nothing of the failure, and no proper end")
def check_cut_before_failure(context):
    assert context.runs == 2, context.runs
    assert b"id: 1\n" in context.raw, context.raw
    assert b"failed" not in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("whatever endpoints answer, only events of the stream follow its first one")
def check_only_events_follow(context):
    """Check all cases, since random draws missed the case that failed."""
    replies, breaks = product(REPLY_KINDS, repeat=3), product([False, True], repeat=2)
    for may_repeat, answers, broken in product([False, True], replies, breaks):
        simulated = simulate_generation(may_repeat, answers, broken)
        first, *later = simulated.relayed or [None]
        assert all(head.success for head in later), (answers, broken, simulated)
        if first is not None:
            assert not isinstance(simulated.end, Refuse), (answers, broken, simulated)


@when("one endpoint breaks off inside the first event and the next one fails its run")
def break_off_in_first_event(context):
    run_resumable(context, "break-1", "error")


@then("the caller gets the endpoint's failure unchanged")
def check_failure_relayed(context):
    assert context.runs == 2, context.runs
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500") and body == b"failed", context.raw


def event_ids(raw):
    return [int(number) for number in re.findall(rb"\nid: (\d+)\n", raw)]


@when("a resumable stream breaks off after event {last:d} and the next run has the fault {fault}")
def break_off_then_fault(context, last, fault):
    run_resumable(context, f"break-{last + 1}", fault, events=5)


@then("the caller gets the events up to {last:d}, each once, and no proper end")
def check_events_up_to(context, last):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == list(range(1, last + 1)), context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("a resumable stream breaks off after its last event and the next run has no events")
def break_off_after_last_event(context):
    run_resumable(context, "break-4")


@then("the caller gets each event once, with a proper end")
def whole(context):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == [1, 2, 3], context.raw
    assert context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("only the next id continues consecutive ids, and any higher id continues others")
def check_sequences(context):
    def following(*sent):
        sequence = EventSequence()
        sequence.record(sent)
        return [first for first in range(12) if sequence.continues((first,))]

    assert following(1, 2, 3) == [4] and following(7, 8) == [9]
    assert following(2, 4) == [5, 6, 7, 8, 9, 10, 11] and following(1, 2, 9) == [10, 11]
    assert following(9) == [10, 11], "one id alone does not show that ids are consecutive"
    assert following() == [], "the id of the last event is unknown"
    sequence = EventSequence()
    sequence.record((1, 2))
    assert not sequence.continues(()), "events without ids may belong to any run"


@when("a resumable stream with a length breaks off, and the events of the next run are longer")
def continue_with_longer_events(context):
    run_resumable(context, "sized-break", "sized-wide")


@when("a caller resumes after event 2, and the first run repeats it")
def resume_after_event(context):
    run_resumable(context, "repeat", events=4, headers={"Last-Event-Id": "2"})


@then("the caller gets the later events from the next run")
def check_later_events(context):
    assert event_ids(context.raw) == [3, 4], context.raw
    assert context.runs == 2 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("a resumable stream has an event id of five thousand digits")
def stream_with_long_id(context):
    run_resumable(context, "long-id")


@then("the caller gets the whole stream, with a proper end")
def check_whole_stream(context):
    assert context.raw.count(b"\nid: ") == 4, context.raw
    assert context.raw.endswith(b"0\r\n\r\n"), context.raw


class RestartedExchange:
    """An answer that starts at event 1."""

    framed = True

    async def next_chunk(self, timeout_ms=None):
        return b"id: 1\ndata: x\n\n"


@given("a stream with events already sent, and a run that starts again at event 1")
def run_that_restarts(context):
    now_ms = [400]
    node = SimpleNamespace(now_ms=lambda: now_ms[0])
    request = CallerRequest("g1", "POST", "/res/", "h", (), b"", 0, 14_000, after_event=9)
    route = Route("res", "h", "/res/", (), False, True, True, 3000, 400, 2)
    job = Job(request, route, "llm", SimpleNamespace(finished=False), 1)
    state = generation(may_repeat=True)
    state.delivered = Delivered.STREAM
    context.relay = StreamRelay(node, job, state, None, 64)

    async def play():
        try:
            await context.relay.await_first(StreamRun(RestartedExchange()), 200)
        except ExchangeError:
            now_ms[0] += 1
            return
        raise AssertionError("a run that starts again was relayed")

    anyio.run(play)


@then("no pace is reported for the run that starts again")
def check_no_pace(context):
    assert context.relay.pace() == StreamPace(), context.relay.pace()


@then("26 MB of an unfinished event take less than a second of processor time")
def check_searched_once(context):
    """Takes 0.1 s; 18 s if all buffered bytes are searched again with each part."""
    cutter, began_s = EventSplitter(), time.process_time()
    for _ in range(400):
        assert cutter.feed(b"x" * 65_536) is None
        assert time.process_time() - began_s < 1.0


@when("a stream of a service without engines breaks off inside an event")
def break_off_plain_stream(context):
    servers = engines()

    async def play(place):
        for server in servers:
            server.script = ["unframed-break"]
        context.raw = await place.ask("/gen/", "g1")

    on_platform(servers, play)


@then("the caller gets the complete events, and no proper end")
def check_complete_events_and_cut(context):
    assert event_ids(context.raw) == [1], context.raw
    assert b"id: 2" not in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("a resumable stream that breaks off without a known event id is cut for that reason")
def check_cut_without_event_id(context):
    state = generation(may_repeat=True)
    state.hold, state.streams = KvHold(POOLS.decoders[0], "k", 2000), 1
    command = step_generation(state, StreamAnswered("d0", head_of("ok")), 400)
    assert command == StartStream(head_of("ok")), command
    command = step_generation(state, RelayBroken("d0", position_known=False), 700)
    assert command == Cut("no-event-id"), command


@when("an endpoint breaks off the body of its failure")
def break_off_failure(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["error-break"]
        context.raw = await place.generate("/gen/", "g1")

    on_platform(servers, play)


@then("the caller gets the start of the failure, and no proper end")
def check_failure_cut(context):
    assert context.raw.startswith(b"HTTP/1.1 500") and b"failed" in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw
