"""Scenarios on streams whose first endpoint broke off."""

import re
import time
from itertools import product
from types import SimpleNamespace

import anyio
from behave import given, then, when

from saffronworks.forwarding.event_streams import EventSequence, EventSplitter
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.generation_events import Cut, RelayBroken, StartStream, StreamAnswered
from saffronworks.forwarding.generation_state import Out
from saffronworks.forwarding.messages import CallerRequest, KvHold, Refuse
from saffronworks.forwarding.places import StreamPace
from saffronworks.forwarding.routing import Route
from saffronworks.forwarding.runners import Job
from saffronworks.forwarding.stream_relays import StreamRelay
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.tests.endpoint_plays import REPLY_KINDS, head_of
from saffronworks.tests.generation_plays import POOLS, gen_step, generation, play_generation
from saffronworks.tests.platform_place import engines, on_platform


def play_resumable(context, *faults, events=3, headers=None):
    """Each run of a resumable generation meets the next of the faults, wherever it goes."""
    servers = engines()
    for server in servers:
        server.events = events

    async def play(place):
        servers[0].script = servers[1].script = list(faults)
        fields = {"Token-Counts": "5000,9000", "Length-Hint": "3000"} | (headers or {})
        context.raw = await place.ask("/res/", "g1", fields, b"prompt")

    on_platform(servers, play)
    context.runs = sum(len(server.ran) for server in servers)


@when("one endpoint breaks a resumable stream off and the next one fails its run")
def broke_then_failed(context):
    play_resumable(context, "break-2", "error")


@then("the caller has the events that were whole, nothing of the failure, and no good end")
def short_and_cut(context):
    assert context.runs == 2, context.runs
    assert b"id: 1\n" in context.raw, context.raw
    assert b"failed" not in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("whatever endpoints answer, nothing but events of the stream follows its first one")
def only_events(context):
    """All cases, since draws of a property missed the one that broke the promise."""
    replies, breaks = product(REPLY_KINDS, repeat=3), product([False, True], repeat=2)
    for may_repeat, answers, broken in product([False, True], replies, breaks):
        played = play_generation(may_repeat, answers, broken)
        first, *later = played.relayed or [None]
        assert all(head.success for head in later), (answers, broken, played)
        if first is not None:
            assert not isinstance(played.end, Refuse), (answers, broken, played)


@when("one endpoint breaks off inside the first event and the next one fails its run")
def broke_at_once(context):
    play_resumable(context, "break-1", "error")


@then("the caller gets the failure as its endpoint gave it")
def only_failure(context):
    assert context.runs == 2, context.runs
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500") and body == b"failed", context.raw


def event_ids(raw):
    return [int(number) for number in re.findall(rb"\nid: (\d+)\n", raw)]


@when("a resumable stream breaks after event {last:d} and the next run is at fault by {fault}")
def next_run_at_fault(context, last, fault):
    play_resumable(context, f"break-{last + 1}", fault, events=5)


@then("the caller has the events up to {last:d}, each once, and no good end")
def events_up_to(context, last):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == list(range(1, last + 1)), context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("a resumable stream breaks after its last event and the next run has none left")
def none_left(context):
    play_resumable(context, "break-4")


@then("the caller gets each event once, with a good end")
def whole(context):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == [1, 2, 3], context.raw
    assert context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("of all ways to go on, only the next id follows ids that count, and any higher one others")
def sequences(context):
    def following(*sent):
        sequence = EventSequence()
        sequence.record(sent)
        return [first for first in range(12) if sequence.continues((first,))]

    assert following(1, 2, 3) == [4] and following(7, 8) == [9]
    assert following(2, 4) == [5, 6, 7, 8, 9, 10, 11] and following(1, 2, 9) == [10, 11]
    assert following(9) == [10, 11], "one id alone doesn't tell that they count"
    assert following() == [], "what went out is not known"
    sequence = EventSequence()
    sequence.record((1, 2))
    assert not sequence.continues(()), "a run whose events have no id may be any run"


@when("a resumable stream with a length breaks, and the events of the next run are longer")
def longer_run(context):
    play_resumable(context, "sized-break", "sized-wide")


@when("a caller goes on after event 2, and the first run repeats it")
def caller_goes_on(context):
    play_resumable(context, "repeat", events=4, headers={"Last-Event-Id": "2"})


@then("the caller gets the events after it from the next run")
def only_new_events(context):
    assert event_ids(context.raw) == [3, 4], context.raw
    assert context.runs == 2 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("a resumable stream has an id of five thousand digits")
def long_id(context):
    play_resumable(context, "long-id")


@then("the caller gets all of it, with a good end")
def all_of_it(context):
    assert context.raw.count(b"\nid: ") == 4, context.raw
    assert context.raw.endswith(b"0\r\n\r\n"), context.raw


class AnewExchange:
    """An answer that begins with event 1."""

    framed = True

    async def next_chunk(self, timeout_ms=None):
        return b"id: 1\ndata: x\n\n"


@given("a stream of which events went out, and a run that starts anew at once")
def starts_anew(context):
    now_ms = [400]
    node = SimpleNamespace(now_ms=lambda: now_ms[0])
    request = CallerRequest("g1", "POST", "/res/", "h", (), b"", 0, 14_000, after_event=9)
    route = Route("res", "h", "/res/", (), False, True, True, 3000, 400, 2)
    job = Job(request, route, "llm", SimpleNamespace(finished=False), 1)
    state = generation(may_repeat=True)
    state.out = Out.STREAM
    context.relay = StreamRelay(node, job, state, 64)

    async def play():
        try:
            await context.relay.await_first(StreamRun(AnewExchange()), 200)
        except ExchangeError:
            now_ms[0] += 1
            return
        raise AssertionError("a run that starts anew is sent on")

    anyio.run(play)


@then("no pace is told of the run that starts anew")
def no_pace(context):
    assert context.relay.pace() == StreamPace(), context.relay.pace()


@then("twenty-six megabytes of an event that does not end take no second of the node's time")
def searched_once(context):
    """0.1 s; 18 s where all that is held back is searched anew with each part."""
    cutter, began_s = EventSplitter(), time.process_time()
    for _ in range(400):
        assert cutter.feed(b"x" * 65_536) is None
        assert time.process_time() - began_s < 1.0


@when("a stream of a service without engines stops inside an event")
def plain_stops(context):
    servers = engines()

    async def play(place):
        for server in servers:
            server.script = ["unframed-break"]
        context.raw = await place.ask("/gen/", "g1")

    on_platform(servers, play)


@then("the caller has its whole events, and no good end")
def whole_no_end(context):
    assert event_ids(context.raw) == [1], context.raw
    assert b"id: 2" not in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("a resumable stream that breaks with no event's id known is cut for that")
def unknown_cut(context):
    state = generation(may_repeat=True)
    state.hold, state.streams = KvHold(POOLS.decoders[0], "k", 2000), 1
    command = gen_step(state, StreamAnswered("d0", head_of("ok")), 400)
    assert command == StartStream(head_of("ok")), command
    command = gen_step(state, RelayBroken("d0", known=False), 700)
    assert command == Cut("no-event-id"), command


@when("an endpoint breaks the body of its failure off")
def failure_breaks(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["error-break"]
        context.raw = await place.generate("/gen/", "g1")

    on_platform(servers, play)


@then("the caller has the start of the failure, and no good end")
def failure_cut(context):
    assert context.raw.startswith(b"HTTP/1.1 500") and b"failed" in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw
