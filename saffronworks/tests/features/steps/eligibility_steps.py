"""Steps on the recorded drains and pauses of endpoints, and the check before each send."""

import anyio
import attrs
from behave import then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding import generation_core
from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.connections import ResponseHead
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.eligibility.advertisements import Advertisement
from saffronworks.forwarding.eligibility.blocks import Block, BlockReason, Eligibility
from saffronworks.forwarding.eligibility.service import PAUSE_GRACE_MS
from saffronworks.forwarding.eligibility.table import KEEP_GONE_MS, AdvertisedTable
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.generation_events import (
    AskPlanner,
    HoldTaken,
    OpenStream,
    PlanSilent,
    PromptRead,
    ReadPrompt,
    StreamAnswered,
    StreamWithheld,
    TakeHold,
    Wait,
)
from saffronworks.forwarding.generation_state import GenerationState, Pools
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    CallerRequest,
    Executed,
    KvHandle,
    KvHold,
    Refuse,
)
from saffronworks.platform.answer_fields import (
    MAX_PAUSE_MS,
    UnknownFields,
    read_advertisement,
)
from saffronworks.tests.endpoint_fixtures import (
    DRAIN_MS,
    REPLIES,
    calls_of_one_node,
    eligibility_of_one_node,
    endpoints,
    head_of,
    wide_budget,
)
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.revisions import at

NO_LIMIT = AdvertisedLimit(None, 0)
DRAINS = Advertisement(NO_LIMIT, draining=True)
SAYS_NOTHING = Advertisement(NO_LIMIT)
# Sun, 06 Nov 1994 08:49:37 GMT
DATE, DATE_MS = "Sun, 06 Nov 1994 08:49:37 GMT", 784_111_777_000


def listed_one(born_ms=None, name="e0"):
    return ServiceEndpoint(name, "s", "127.0.0.1:1", "z", born_ms=born_ms)


LATER = st.lists(
    st.sampled_from(["list", "unlist", "lapse", "empty", "answer", "wait"]), max_size=20
)


@then("only a restart of the endpoint ends it, whatever the store lists or the endpoint answers")
def drains_for_good(context):
    @forall(LATER)
    def check(later):
        now_ms = [1000]
        directory = Directory()
        eligibility = eligibility_of_one_node(directory, now_ms=lambda: now_ms[0])
        endpoint = listed_one(born_ms=5)
        directory.replace([endpoint], at(1), 0)
        eligibility.observe(endpoint, DRAINS)
        for step in later:
            match step:
                case "list":
                    directory.replace([endpoint], at(2), now_ms[0])
                case "unlist":
                    directory.remove("e0", now_ms[0])
                case "lapse":
                    directory.remove("e0", now_ms[0], now_ms[0] + 3000)
                case "empty":
                    directory.replace([], at(2), now_ms[0])
                case "answer":
                    eligibility.observe(endpoint, SAYS_NOTHING)
                case "wait":
                    now_ms[0] += 2500
            eligibility.forget_all_but(set(directory.endpoints))
            assert not directory.usable("s", now_ms[0])
        now_ms[0] += DRAIN_MS + 1
        assert not eligibility.usable("s") and eligibility.find_block(endpoint)
        later_start = listed_one(born_ms=6)
        directory.replace([later_start], at(3), now_ms[0])
        assert directory.usable("s", now_ms[0]) == [later_start]
        assert eligibility.find_block(later_start) is None

    check()
    assert KEEP_GONE_MS >= 20 * 2500


@then("another endpoint at the same address takes requests")
def other_name(context):
    directory = Directory()
    now_ms = [10]
    eligibility = eligibility_of_one_node(directory, now_ms=lambda: now_ms[0])
    directory.replace([listed_one()], at(1), 0)
    eligibility.observe(listed_one(), DRAINS)
    other = listed_one(name="e1")
    directory.replace([other], at(2), 0)
    assert directory.usable("s", 10) == [other]
    now_ms[0] = 10_000
    assert eligibility.find_block(other) is None


def advertised(status=200, *fields, wall_ms=DATE_MS):
    return read_advertisement(ResponseHead(status, [("Request-Id", "r"), *fields]), 7, wall_ms)


def leaving(*values):
    return advertised(200, *(("Server-Leaving", value) for value in values))


@then("a server drains if the field is 1; any other value is logged once and ignored")
def reads_drain(context):
    assert leaving("1").draining and leaving(" 1 ").draining and leaving("0", "1").draining
    assert not leaving().draining and not leaving("0").draining and not leaving("0").malformed
    for odd in ("", "true", "2", "1.0", "-1", "yes", "1,1"):
        assert not leaving(odd).draining and leaving(odd).malformed, odd
    assert leaving("true", "1").draining
    directory = Directory()
    directory.replace([listed_one()], at(1), 0)
    eligibility = eligibility_of_one_node(directory)
    with LogLines("saffronworks.forwarding.eligibility.service") as lines:
        for _ in range(3):
            eligibility.observe(listed_one(), leaving("true"))
    assert len(lines) == 1 and "server-leaving: true" in lines[0]
    assert directory.usable("s", 10)


def pause(*values, status=503):
    return advertised(status, *(("Retry-After", value) for value in values))


@then("a pause is a plain number of seconds or a date, the longest of several")
def reads_pause(context):
    assert pause("3").pause_ms == 3000 and pause("0.25").pause_ms == 250
    assert pause("2", "5", "1").pause_ms == 5000 and pause("3", status=429).pause_ms == 3000
    assert pause("0").pause_ms == 0 and pause().pause_ms == 0
    assert pause("3", status=200).pause_ms == 0 and pause("3", status=500).pause_ms == 0
    assert pause("999999999999").pause_ms == MAX_PAUSE_MS
    assert advertised(503, ("Retry-After", DATE), wall_ms=DATE_MS - 4000).pause_ms == 4000
    assert advertised(503, ("Retry-After", DATE), wall_ms=DATE_MS + 4000).pause_ms == 0
    for odd in ("-1", "1e9", "nan", "inf", "soon", "", "9" * 400, "\xb2", "3 s", DATE[:-4]):
        assert pause(odd).pause_ms == 0 and pause(odd).malformed, odd
    assert pause("soon", "2").pause_ms == 2000


@then("an answer from another server at the address is ignored")
def misdirected(context):
    fields = (("Server-Leaving", "1"), ("Retry-After", "3"), ("Instance-Id", "e9"))
    assert advertised(421, *fields) is None


@then("no field value raises an exception")
def no_raise(context):
    names = st.sampled_from(["Server-Leaving", "Retry-After", "Server-Limit", "Date"])
    texts = st.text(st.characters(max_codepoint=255), max_size=60)

    @forall(st.sampled_from([200, 429, 500, 503]), st.lists(st.tuples(names, texts), max_size=4))
    def check(status, fields):
        found = advertised(status, *fields)
        assert 0 <= found.pause_ms <= MAX_PAUSE_MS

    check()


@then("each unknown field is logged once, up to a limit")
def unknown_fields(context):
    unknown = UnknownFields()
    with LogLines("saffronworks.platform.answer_fields") as lines:
        for _ in range(2):
            unknown.check(ResponseHead(200, [("Server-Mood", "calm"), ("Request-Id", "r")]), "e0")
        for number in range(200):
            unknown.check(ResponseHead(200, [(f"X-{number}", "v")]), "e0")
    assert len(lines) == UnknownFields.MAX_NAMES and "server-mood" in lines[0]


def request():
    return CallerRequest("r1", "POST", "/a", "h", (), b"", 0, 9000)


@then("it is never sent later than the drain time after the drain began, however long it waited")
def waited_too_long(context):
    now_ms, directory = [0], Directory()
    eligibility = eligibility_of_one_node(directory, now_ms=lambda: now_ms[0])
    directory.replace([listed_one()], at(1), 0)
    eligibility.observe(listed_one(), DRAINS)
    for now_ms[0] in range(0, 3 * DRAIN_MS, 50):
        in_time = now_ms[0] <= DRAIN_MS
        assert bool(eligibility.usable("s")) is in_time, now_ms
        assert (eligibility.find_block(listed_one()) is None) is in_time, now_ms


@then("nothing is sent, the endpoint does not count as failed, and its connection is reused")
def withheld(context):
    server = FakeServer("e0", "s")
    endpoint = ServiceEndpoint("e0", "s", server.address, "z")
    directory = Directory()
    directory.replace([endpoint], at(1), 0)
    now_ms = [0]
    eligibility = eligibility_of_one_node(directory, now_ms=lambda: now_ms[0])
    calls = calls_of_one_node(eligibility, directory)

    async def play():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            await anyio.sleep(0.05)
            exchange = await calls.send(endpoint, request(), 900)
            assert (await exchange.head(900)).success
            while await exchange.next_chunk(900) is not None:
                pass
            exchange.end()
            eligibility.observe(endpoint, DRAINS)
            now_ms[0] = DRAIN_MS + 1
            # A connection never carries the same request twice.
            later = attrs.evolve(request(), request_id="later")
            for attempt in (
                calls.send(endpoint, later, 900),
                calls.prefill(endpoint, later, 900),
                calls.take_hold(endpoint, later, 100, 900, 0),
                calls.open_stream(endpoint, later, 900, None, None, None),
            ):
                try:
                    await attempt
                except ExchangeError as broken:
                    assert broken.withheld and not broken.sent and not broken.unreachable
                else:
                    raise AssertionError("it was sent")
            # A call that frees memory at the endpoint is sent in any case.
            await calls.drop_hold(KvHold(endpoint, "h1", 0))
            tasks.cancel_scope.cancel()

    anyio.run(play)
    assert [method for method, *_ in server.seen] == ["POST", "DELETE"]
    assert server.connections == 1


@then("a generation is sent to another engine, without reporting a failure to the planner")
def generation_withheld(context):
    decoders, readers = endpoints(2, Role.DECODE, "d"), endpoints(1, Role.PREFILL, "p")
    state, pools, budget = generation(), Pools(decoders, readers), wide_budget()
    assert isinstance(generation_core.step(state, Begin(), pools, budget, 0), AskPlanner)
    hold = KvHold(decoders[0], "h", 2000)
    read = generation_core.step(state, HoldTaken(hold), pools, budget, 1)
    assert isinstance(read, ReadPrompt)
    again = generation_core.step(state, StreamWithheld("d0"), pools, budget, 2)
    assert isinstance(again, AskPlanner) and "d0" in again.avoid and not again.broken
    assert not state.runs and ExchangeError(ExchangeErrorCause.WITHHELD, sent=False).withheld


BLOCKS = st.dictionaries(
    st.sampled_from(["e0", "e1", "e2", "e3"]),
    st.builds(
        Block,
        st.sampled_from([BlockReason.PAUSED, BlockReason.DRAINING, BlockReason.RATE_LIMITED]),
        st.one_of(st.none(), st.integers(1, 5000)),
    ),
)


def play_blocked(may_repeat, replies, blocks):
    """Run a request with the given replies; return the endpoints it was sent to and its end."""
    state = plain.PlainState("s", may_repeat, 2, 300, 1500)
    budget, eligibility, sent = wide_budget(), Eligibility(blocks), []
    waiting = list(replies)
    command = plain.step(state, Begin(), endpoints(4), budget, 0, None, eligibility)
    while isinstance(command, plain.SendTo):
        instance = command.endpoint.instance
        sent.append(instance)
        reply = waiting.pop(0) if waiting else "ok"
        head = head_of(reply)
        event = plain.Answered(instance, head) if head else None
        event = event or plain.Broken(instance, sent=reply != "unsent", silent=reply == "silent")
        command = plain.step(state, event, endpoints(4), budget, 0, None, eligibility)
    return sent, command


@then("it is never sent to a blocked endpoint, whatever the blocks and the answers")
def none_blocked(context):
    @forall(st.booleans(), REPLIES, BLOCKS)
    def check(may_repeat, replies, blocks):
        sent, end = play_blocked(may_repeat, replies, blocks)
        assert not set(sent) & blocks.keys()
        assert isinstance(end, plain.Relay | Refuse)

    check()


@then(
    "if all endpoints are blocked it is refused at once, with the time until the first block ends"
)
def all_blocked(context):
    def refusal(*blocks):
        named = {f"e{number}": block for number, block in enumerate(blocks)}
        sent, end = play_blocked(True, [], named)
        assert not sent
        return end

    drains, limited = Block(BlockReason.DRAINING), Block(BlockReason.RATE_LIMITED, 900)
    first, last = Block(BlockReason.PAUSED, 700), Block(BlockReason.PAUSED, 3000)
    assert refusal(drains, last, limited, first) == Refuse(503, "endpoints-paused", True, None, 700)
    assert refusal(drains, last, limited, last) == Refuse(503, "endpoints-limited", True, None, 900)
    assert refusal(*[drains] * 4) == Refuse(503, "endpoints-draining", True)


def generation():
    return GenerationState("s", 100, True, 2, 900, 0, 14_000, 2000, plans_left=2)


@then("a generation avoids paused engines, and none of them counts as failed")
def generation_paused(context):
    decoders, readers = endpoints(2, Role.DECODE, "d"), endpoints(2, Role.PREFILL, "p")
    pauses = {"d0": Block(BlockReason.PAUSED, 3000), "p0": Block(BlockReason.PAUSED, 3000)}
    pools, budget = Pools(decoders, readers, Eligibility(pauses)), wide_budget()
    state = generation()
    ask = generation_core.step(state, Begin(), pools, budget, 0)
    assert isinstance(ask, AskPlanner) and set(ask.avoid) == {"d0", "p0"}
    hold = generation_core.step(state, PlanSilent(), pools, budget, 0)
    assert isinstance(hold, TakeHold) and hold.endpoint.instance == "d1"
    taken = HoldTaken(KvHold(decoders[1], "h", 2000))
    read = generation_core.step(state, taken, pools, budget, 0)
    assert isinstance(read, ReadPrompt) and read.endpoint.instance == "p1"
    open_stream = generation_core.step(
        state, PromptRead(KvHandle(readers[1], "k", 5)), pools, budget, 0
    )
    assert open_stream == OpenStream(decoders[1])
    rejects = AnswerHead(503, (), Executed.NO, False, "status-503", asks_pause=True)
    waits = generation_core.step(state, StreamAnswered("d1", rejects), pools, budget, 0)
    # Neither the decode engine nor the prefill engine is reported to the planner as broken.
    assert isinstance(waits, Wait) and not state.broken and not state.runs


@then("it lasts until the latest end that was advertised, for one start of an endpoint")
def pause_holds(context):
    @forall(st.lists(st.tuples(st.integers(0, 900), st.integers(0, 5000)), max_size=8))
    def check(asked):
        table, now_ms, until_ms = AdvertisedTable(), 0, 0
        for after_ms, pause_ms in asked:
            now_ms += after_ms
            table.record_pause("e0", pause_ms, now_ms)
            until_ms = max(until_ms, now_ms + pause_ms)
            table.forget_all_but({"e0"}, now_ms)
            pause = table.pause("e0", now_ms)
            assert (pause is not None) == (now_ms < until_ms)
            assert pause is None or pause.until_ms == until_ms
            assert table.pause("e0", until_ms) is None and table.pause("e0@7", now_ms) is None

    check()


@then("only a request with a reservation may be sent right after the pause began")
def reserved_follows(context):
    now_ms = [0]
    directory = Directory()
    directory.replace([listed_one()], at(1), 0)
    eligibility = eligibility_of_one_node(directory, now_ms=lambda: now_ms[0])
    eligibility.observe(listed_one(), pause("3"))
    paused = Block(BlockReason.PAUSED, 3000)
    assert eligibility.find_block(listed_one()) == paused
    assert eligibility.find_block(listed_one(), reserved=True) is None
    assert eligibility.eligibility_of([listed_one()]).blocks == {"e0": paused}
    # A pause that is advertised again starts no new grace period.
    now_ms[0] = PAUSE_GRACE_MS
    eligibility.observe(listed_one(), pause("5"))
    assert eligibility.find_block(listed_one(), reserved=True) == Block(BlockReason.PAUSED, 5000)
    now_ms[0] = PAUSE_GRACE_MS + 5000
    assert eligibility.find_block(listed_one()) is None
    assert not eligibility.eligibility_of([listed_one()]).blocks
