"""Steps on endpoints that fall silent for a while and go on, over loopback."""

import asyncio
import time
from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import Eligibility
from saffronworks.forwarding.endpoint_limits.permits import Permit
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.generation_events import AdoptHold, Cut, HoldTaken, RelayBroken
from saffronworks.forwarding.generation_state import Delivered
from saffronworks.forwarding.identity import KEY_REVOKED
from saffronworks.forwarding.messages import ENDS_ENDPOINTS, Begin, KvHold, Refuse
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.plain_core import (
    AcquirePermit,
    Answered,
    AwaitAnswer,
    Broken,
    NotPermitted,
    Overtaken,
    Permitted,
    PlainState,
    Relay,
    SendTo,
    step,
)
from saffronworks.forwarding.plain_runner import _PlainRun
from saffronworks.forwarding.planned_ends import DEREGISTRATION_MS, NO_TIME_LEFT
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.replacements import Replacement
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.stalls import replacement_holds, take_over
from saffronworks.forwarding.tuning import PREFILL_TIMEOUT_MS, RESUME_MIN_LEFT_MS
from saffronworks.tests.connection_fakes import connect
from saffronworks.tests.endpoint_fixtures import endpoints, head_of
from saffronworks.tests.generation_simulation import POOLS, generation, step_generation
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import BOUNDS, FakeServer
from saffronworks.tests.platform_place import (
    CONFIG,
    ENGINE,
    engines,
    make_route,
    on_platform,
    web_servers,
)
from saffronworks.tests.soak.suspensions import SuspendableReader, SuspendableWriter

SILENT_S = 1.3
# Work of the other endpoint, beyond the time in which the late exchange is kept.
OVERLAPPED_S = 0.3
# Beyond the time after which another run takes over.
LONG_SILENT_S = 2.4
ROUTES = [
    make_route("once", "/once/", "non_idempotent", "web", timeout_ms=6000, max_attempts=1),
    make_route("again", "/again/", "idempotent", "web", timeout_ms=6000),
    make_route("gen", "/gen/", "streaming", "llm", sticky=True, timeout_ms=6000),
    make_route("res", "/res/", "streaming", "llm", sticky=True, resumable=True, timeout_ms=6000),
]
PATHS = {
    "stream": "/gen/",
    "resumable stream": "/res/",
    "page": "/once/",
    "repeatable page": "/again/",
}
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\n"
LIMITED = Eligibility(limited=frozenset(["e1"]))
GENERATION = {"Token-Counts": "5000,9000", "Length-Hint": "3000"}


@when("the only endpoint is silent before its {step} of a {kind}")
def silent_in_a_step(context, step, kind):
    servers = [
        *web_servers(),
        FakeServer("d0", "llm", "decode"),
        FakeServer("p0", "llm", "prefill"),
    ]
    play_silence(context, servers, step, kind, SILENT_S)


@when("one of two prefill endpoints is silent for {silent_s:g} s, and holds last {hold_s:g} s")
def silent_in_prefill(context, silent_s, hold_s):
    context.readers = [FakeServer(name, "llm", "prefill") for name in ("p0", "p1")]
    context.decoder = FakeServer("d0", "llm", "decode")
    servers = [*web_servers(), context.decoder, *context.readers]
    llm = {"name": "llm", "engine": ENGINE | {"hold_ms": 1000 * hold_s}}
    services = [{"name": "web", "max_conns": 9}, llm]
    play_silence(context, servers, "prefill", "stream", silent_s, once=True, services=services)


@then("one endpoint alone read its prompt")
def one_read(context):
    seen = [[seen[2].get("request-id") for seen in each.seen] for each in context.readers]
    assert sum("r1" in requests for requests in seen) == 1, (seen, list(context.lines))


@then("one endpoint alone read its prompt, and the run has the newest hold")
def one_read_newest_hold(context):
    one_read(context)
    seen = context.decoder.seen
    (at,) = [at for at, each in enumerate(seen) if each[2].get("request-id") == "r1"]
    granted = sum(target.endswith("hold-take") for _, target, _, _ in seen[:at])
    # One for the request before it.
    assert granted == 3, list(context.lines)
    assert seen[at][2]["kv-hold"] == "h1-3" and "kv-source" in seen[at][2], seen[at]


@then("the caller is told to come again, and the next one is served")
def told_to_come_again(context):
    head = context.raw.partition(b"\r\n\r\n")[0].lower()
    assert head.startswith(b"http/1.1 503") and b"\nretry-after:" in head, context.raw
    assert context.next.startswith(b"HTTP/1.1 200") and context.ran == ["r2"], context.ran


@when("one of two endpoints is silent for {silent_s:g} s in a {kind}, and no retry is left")
def silent_without_retry(context, silent_s, kind):
    bounds = BOUNDS | {"retry_budget_ratio": 0.0, "retry_slack": 0}
    servers, step = [*web_servers(2), *engines()], "event" if "stream" in kind else "answer"
    play_silence(context, servers, step, kind, silent_s, bounds=bounds)


@when(
    "one of two endpoints is silent for {silent_s:g} s in a repeatable page, and the other one "
    "{ends} it"
)
def silent_and_rejected(context, silent_s, ends):
    servers = context.servers = web_servers(2)
    # The first send gets the first entry, and the next send the second one.
    script = [None, {"rejects": "shed", "resets": "reset", "serves": None}[ends]]

    async def play(place):
        await place.ask("/again/", "before")
        silences = {"answer": silent_s}
        for server in servers:
            server.script, server.silences = script, silences
            server.work_s = OVERLAPPED_S if ends == "serves" else 0.0
            server.ran.clear()
        context.raw = await place.ask("/again/", "r1", {"Deadline-Ms": "4500"})
        await asyncio.sleep(silent_s)
        context.readers = [server.callers.get("r1") for server in servers]
        context.next = await place.ask("/again/", "r2")
        context.ran = [request_id for server in servers for request_id in server.ran]

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, CONFIG | {"routes": ROUTES})


@then("the answer is that of the {which} endpoint, and the other exchange is closed")
def answered_by(context, which):
    stamp = next(line for line in context.raw.split(b"\r\n") if b"stamp-" in line)
    silent = [s for s in context.servers if s.instance.encode() in stamp]
    lines = [line for line in context.lines if "r1" in line]
    awaited = any("event=await_answer" in line for line in lines)
    assert len(silent) == 1 and awaited == (which == "silent"), (stamp, lines)
    closed = [reader.at_eof() or reader.exception() is not None for reader in context.readers]
    assert any(closed) or which == "silent", (closed, lines)


def run_with_late(body):
    """Return the run of a page with a late exchange, whose answer has come so far, and its end."""
    connection = connect()
    connection.send(b"", "r1")
    connection.data_received(WHOLE_HEAD + body)
    run = _PlainRun(Mock(now_ms=lambda: 0), Mock(deadline_at_ms=900))
    run._late.send = Mock(exchange=Mock(connection=connection))
    return run, connection


@then("the late exchange may answer if its answer is whole, but not if it was cut off")
def closed_after_answer(_):
    for body, expected in ((b"own", True), (b"ow", False)):
        run, connection = run_with_late(body)
        assert run._late.may_answer(0, 900)
        connection.eof_received()
        connection.connection_lost(None)
        assert run._late.may_answer(0, 900) == expected, body


@then("a whole answer is kept however long the next endpoint takes, and no other one")
def kept_after_overlap(_):
    for body, expected in ((b"own", True), (b"ow", False)):
        run, _ = run_with_late(body)
        late = run._late.send
        run._late.end_overlap()
        run._is_late, run._exchange, run._endpoint = expected, Mock(), Mock()
        run._set_late_aside()
        assert (run._late.send is late) == expected, body
        assert late.exchange.end.called != expected, body


async def send_beside_late(body, kind):
    """Return the event of a silent send of 300 ms, during which the late answer has come so far."""
    run, _ = run_with_late(body)
    run._node.now_ms = monotonic_ms
    run._node.note_break = AsyncMock()
    run._node.loads.of.return_value = Mock(outstanding=0)
    run._endpoint, run._late.send.head = Mock(), head_of(kind)
    run._job.deadline_at_ms = monotonic_ms() + 300

    async def be_silent(timeout_ms):
        await asyncio.sleep(timeout_ms / 1000)
        raise ExchangeError(ExchangeErrorCause.SILENT, sent=True)

    exchange = Mock(head=be_silent, connection=Mock(uses=2, may_answer=False))
    run._node.calls.send = AsyncMock(return_value=exchange)
    return await run._finish(Mock(instance="e1"), run._exchange_with(Mock(), 300)), run


@then("it is delivered at the end of the overlap if it is a success that is whole")
def delivered_at_overlap(_):
    for body, kind, delivered in (
        (b"own", "ok", True),
        (b"own", "500", False),
        (b"o", "ok", False),
    ):
        event, run = asyncio.run(send_beside_late(body, kind))
        assert (event == Overtaken("e1")) == delivered, (body, kind, event)
        # An endpoint that was silent no longer than the overlap has not failed.
        assert run._node.note_break.called != delivered
    state, ranked, budget = late_before_permit()
    step(state, Permitted("e1"), ranked, budget, 340, eligibility=LIMITED)
    assert step(state, Overtaken("e1"), ranked, budget, 440) == AwaitAnswer()
    assert step(state, Answered("e0", head_of("ok")), ranked, budget, 440) == Relay()
    assert (state.sends, state.runs) == (2, 2), state


@then("a failure that is whole is delivered at the deadline")
def failure_at_deadline(_):
    event, _ = asyncio.run(send_beside_late(b"own", "500"))
    assert isinstance(event, Broken) and event.earlier_may_answer, event
    state, ranked, budget = late_before_permit()
    step(state, Permitted("e1"), ranked, budget, 340, eligibility=LIMITED)
    silent = Broken("e1", sent=True, silent=True, earlier_may_answer=True)
    assert step(state, silent, ranked, budget, 3000) == AwaitAnswer()
    assert step(state, Answered("e0", head_of("500")), ranked, budget, 3000) == Relay()


def close_after_take_over(after_ms):
    """Return the state, the hold and the command once the silent run of a take-over is closed.

    It is closed `after_ms` after the take-over, which is just allowed.
    """
    state, hold = generation(True), KvHold(POOLS.decoders[1], "k2", 99_000)
    state.delivered, state.streams = Delivered.STREAM, 1
    state.hold = KvHold(POOLS.decoders[0], "k", 2000)
    budget = RetryBudget(1.0, 100, 10_000, NodeCount(1))
    left_ms = RESUME_MIN_LEFT_MS + 1
    assert take_over(state, ProcessState.RUNS, budget, state.deadline_at_ms - left_ms)
    closed_ms = state.deadline_at_ms - left_ms + after_ms
    broken = RelayBroken(POOLS.decoders[0].instance, position_known=True, hold=hold)
    return state, hold, step_generation(state, broken, closed_ms)


@then("it begins although less time is left when the silent run has been closed")
def begins_in_any_case(_):
    for after_ms in (100, RESUME_MIN_LEFT_MS):
        _, hold, command = close_after_take_over(after_ms)
        assert command == AdoptHold(hold), command


@then("from the deadline on neither its hold is adopted nor its prompt read")
def given_up_at_deadline(_):
    for late_ms in (0, 40):
        state, hold, command = close_after_take_over(RESUME_MIN_LEFT_MS + 1 + late_ms)
        assert isinstance(command, Cut), command
    for late_ms in (0, 1, 150):
        state, hold, _ = close_after_take_over(100)
        command = step_generation(state, HoldTaken(hold), state.deadline_at_ms + late_ms)
        assert command == Cut("deadline"), command


@then("memory is reserved and a retry counted only if the silent run ends with its exchange")
def replaced_if_it_ends(_):
    ends = {ProcessState.RUNS, ProcessState.UNREACHABLE}
    for process in (None, *ProcessState):
        state, budget = generation(True), RetryBudget(1.0, 100, 10_000, NodeCount(1))
        state.version = POOLS.decoders[0].version
        silent = POOLS.decoders[0].instance
        holds = replacement_holds(state, silent, process, POOLS, budget, 10)
        expected = POOLS.decoders[1:] if process in ends else []
        assert [hold.endpoint for hold in holds] == expected, (process, holds)
        assert take_over(state, process, budget, 10) == (process in ends), process
        assert state.run_counted == (process in ends), process


@then("a prefill lasts up to the deadline while its endpoint is suspended if the request has run")
def prefill_lasts(_):
    for runs, lasts_ms in ((0, PREFILL_TIMEOUT_MS), (1, 13_000)):
        state = generation(True)
        state.runs = runs
        held = HoldTaken(KvHold(POOLS.decoders[0], "k", 3000))
        command = step_generation(state, held, 1000)
        assert command.timeout_ms == PREFILL_TIMEOUT_MS, command
        assert command.suspended_timeout_ms == lasts_ms, command


@then("rounds that ask 3, 40 and 100 endpoints begin 250, 400 and 1000 ms apart")
def rounds_apart(_):
    for count, apart_ms in ((3, 250), (40, 400), (100, 1000)):
        node = Mock(now_ms=Mock(return_value=0))
        replacement = Replacement(Mock(node=node))
        replacement.begin_round((Mock(),) * count)
        replacement.asking = False
        due = []
        for node.now_ms.return_value in (apart_ms - 1, apart_ms):
            due.append(replacement.due)
        assert due == [False, True], (count, due)


@then("a late answer is awaited while no other send is allowed, and no retry is counted")
def awaited_without_sends(_):
    endpoints = [ServiceEndpoint(f"i-{number}", "web", f"h:{number}", "z") for number in (1, 2)]
    budget = RetryBudget(10.0, 1000, 10_000, NodeCount(1))
    state = PlainState("web", True, 2, 400, 2000)
    sent = step(state, Begin(), endpoints, budget, 0)
    late = Broken(sent.endpoint.instance, sent=True, silent=True, may_answer=True)
    assert step(state, late, endpoints, budget, 320, NO_TIME_LEFT) == AwaitAnswer()
    assert (state.sends, state.runs) == (1, 0), state
    again = step(state, late, endpoints, budget, 330)
    assert isinstance(again, SendTo) and again.endpoint != sent.endpoint, again


def late_before_permit():
    """Return a late page for whose next send a permit is needed, its endpoints and budget."""
    budget = RetryBudget(10.0, 1000, 10_000, NodeCount(1))
    state, ranked = PlainState("s", True, 3, 400, 3000), endpoints(3)
    assert isinstance(step(state, Begin(), ranked, budget, 0, eligibility=LIMITED), SendTo)
    late = Broken("e0", sent=True, silent=True, may_answer=True)
    command = step(state, late, ranked, budget, 330, eligibility=LIMITED)
    assert command == AcquirePermit(ranked[1]), command
    return state, ranked, budget


@then("its late answer is awaited, whether the permit was granted or not, and no retry is counted")
def awaited_after_permit(_):
    for denial in (NO_TIME_LEFT, KEY_REVOKED, ENDS_ENDPOINTS):
        for event in (Permitted("e1"), NotPermitted("e1", 500)):
            state, ranked, budget = late_before_permit()
            withdrawn = Mock(wraps=budget)
            command = step(state, event, ranked, withdrawn, 340, denial, LIMITED)
            assert command == AwaitAnswer(), (denial, event, command)
            assert (state.sends, state.runs) == (1, 0), state
            assert not withdrawn.withdraw.called
            # Nothing goes on any more.
            ended = step(state, Broken("e0", sent=True), ranked, budget, 350, denial, LIMITED)
            expected = denial if denial != NO_TIME_LEFT else Refuse(502, "node-draining", False)
            assert ended == expected and not ended.not_run, ended


@then("so it is if the next endpoint has rejected the page, and a further one grants no permit")
def awaited_after_rejection(_):
    state, ranked, budget = late_before_permit()
    command = step(state, NotPermitted("e1", 500), ranked, budget, 340, eligibility=LIMITED)
    assert isinstance(command, SendTo) and command.endpoint == ranked[2], command
    limited = Eligibility(limited=frozenset(["e3"]))
    ranked = endpoints(4)
    rejected = Answered("e2", head_of("not-run"), earlier_may_answer=True)
    command = step(state, rejected, ranked, budget, 350, eligibility=limited)
    assert command == AcquirePermit(ranked[3]), command
    command = step(state, NotPermitted("e3", 500), ranked, budget, 360, eligibility=limited)
    assert command == AwaitAnswer() and state.runs == 0, (command, state)


@then("a permit that is not used is released while the late answer is awaited")
def permit_released(_):
    run, _ = run_with_late(b"own")
    run._permit = permit = Permit(ask=Mock())
    run._late.send, run._endpoint = None, Mock()
    run._finish, run._read_answer = AsyncMock(), Mock()
    asyncio.run(run._execute(AwaitAnswer()))
    run._node.limits.release_permit.assert_called_once_with(permit)


@when("a node is stopped during a resumable stream, and the endpoint is silent beyond the notice")
def silent_beyond_notice(context):
    servers = [*web_servers(), *engines()]
    for server in servers:
        server.events, server.event_s = 5, 0.3
    # Its deadline lies behind the end of the node.
    slow = make_route("res", "/res/", "streaming", "llm", resumable=True, timeout_ms=20_000)

    async def play(place):
        async def ask():
            context.raw = await place.ask("/res/", "r1", GENERATION | {"Deadline-Ms": "20000"})

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.2)
            place.node.stop()
            # The stream would be taken over 2 s later, after the notice.
            await anyio.sleep(DEREGISTRATION_MS / 1000 - 1.6)
            for server in servers:
                server.silences = {"event": LONG_SILENT_S}
        context.ran = [request_id for server in servers for request_id in server.ran]

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, CONFIG | {"routes": [slow]})


@then("the stream is whole and ran once")
def stream_is_whole(context):
    lines = [line for line in context.lines if "r1" in line]
    whole = context.raw.startswith(b"HTTP/1.1 200") and context.raw.endswith(b"0\r\n\r\n")
    assert whole and context.ran == ["r1"], (context.raw, context.ran, lines)
    assert any("event=stream_stalled" in line for line in lines), list(context.lines)


@when("one of two endpoints is silent for {silent_s:g} s in a resumable stream, and {room} room")
def silent_beside_another(context, silent_s, room):
    context.decoders = engines()[:2]
    servers = [*web_servers(), *context.decoders, FakeServer("p0", "llm", "prefill")]
    for server in context.decoders:
        server.event_s = 0.05
    fills = room == "none has"
    play_silence(context, servers, "event", "resumable stream", silent_s, fills, once=True)


class SuspendableServer(FakeServer):
    """A server that can be suspended like a process; `hangs_s` is for how long, from an event on.

    `listener` accepts its connections, and is closed when it hangs if `closes` is set.
    """

    def __init__(self, instance, stage):
        super().__init__(instance, "llm", stage)
        self.awake = asyncio.Event()
        self.awake.set()
        self.hangs, self.closes, self.listener = {}, False, None

    async def run(self):
        host, port = self.address.split(":")
        self.listener = await asyncio.start_server(self._serve, host, int(port))
        await asyncio.sleep(60)

    async def _serve(self, reader, writer):
        await super()._serve(
            SuspendableReader(reader, self.awake, time.monotonic),
            SuspendableWriter(writer, self.awake),
        )

    async def _be_silent(self, step):
        hangs_s = self.hangs.pop(step, 0)
        if hangs_s and self.closes:
            self.listener.close()
            await asyncio.sleep(hangs_s)
        elif hangs_s:
            self.awake.clear()
            asyncio.get_running_loop().call_later(hangs_s, self.awake.set)
            await self.awake.wait()


@when("one of two decode endpoints is suspended for 3 s in a resumable stream")
def suspended_in_stream(context):
    play_suspension(context, {"event": 3.0})


@when("one of two decode endpoints accepts no connection and is silent in a resumable stream")
def gone_in_stream(context):
    play_suspension(context, {"event": 6.0}, closes=True)


@when("a resumable stream breaks, and one of two prefill endpoints is suspended for 2.8 s then")
def suspended_in_second_prefill(context):
    play_suspension(context, {"prefill": 2.8}, script=["break-2"])


def play_suspension(context, hangs, closes=False, script=()):
    """Send r1, and then r2; once it runs, an endpoint hangs at the first of the given steps.

    `script` has the faults of the runs.
    """
    context.decoders = [SuspendableServer(name, "decode") for name in ("d0", "d1")]
    context.readers = [SuspendableServer(name, "prefill") for name in ("p0", "p1")]
    servers, faults = [*context.decoders, *context.readers], list(script)

    async def hang():
        while not any("r1" in server.ran for server in servers):
            await asyncio.sleep(0.005)
        for server in servers:
            server.hangs = hangs

    async def play(place):
        for server in servers:
            server.closes, server.event_s, server.script = closes, 0.1, faults
        hanging = asyncio.create_task(hang())
        context.raw = await place.ask("/res/", "r1", GENERATION | {"Deadline-Ms": "5500"})
        await hanging
        context.next = await place.ask("/res/", "r2", GENERATION)
        context.ran = [request_id for server in servers for request_id in server.ran]

    with LogLines("saffronworks") as context.lines:
        on_platform([*web_servers(), *servers], play, CONFIG | {"routes": ROUTES})


@then("it ran again once its prompt was read again, at one endpoint")
def read_again_once(context):
    assert sorted(context.ran) == ["r1", "r1", "r2"], (context.ran, list(context.lines))
    reads = [seen[2].get("request-id") for server in context.readers for seen in server.seen]
    assert reads.count("r1") == 2, (reads, list(context.lines))


@then("it went on at the other endpoint once memory was reserved there")
def went_on_at_once(context):
    assert context.ran == ["r1", "r1", "r2"], (context.ran, list(context.lines))
    stalls = [line for line in context.lines if "event=stream_stalled" in line]
    assert len(stalls) == 2 and "process=unreachable" in stalls[0], stalls
    assert "taken_over=True" in stalls[1], stalls


async def fill(decoders):
    """Let the decode endpoints reject holds as soon as one of them runs r1."""
    while not any("r1" in server.ran for server in decoders):
        await asyncio.sleep(0.01)
    for server in decoders:
        server.full = True


async def watch_closing(context):
    """Record whether r1's first exchange is closed when its second one begins."""
    first, ran = None, []
    while len(ran) < 2:
        await asyncio.sleep(0.001)
        ran = [server for server in context.decoders if "r1" in server.ran]
        first = first or next(iter(ran), None)
    reader = first.callers["r1"]
    context.closed_first = reader.at_eof() or reader.exception() is not None


def play_silence(
    context, servers, step, kind, silent_s, fills=False, once=False, services=None, **settings
):
    """Send r1, before whose `step` its endpoint falls silent, and then r2.

    With `once` only the first server that gets to the step is silent.
    """
    fields = GENERATION if "stream" in kind else {}
    deadline_ms = "4500" if once else "6000"

    async def play(place):
        # Without a planner, a node reserves headroom as well, which the steps do not expect.
        await place.wait_for_planners()
        await place.ask(PATHS[kind], "before", fields)
        first = {step: silent_s}
        for server in servers:
            server.silences = first if once else {step: silent_s}
            server.ran.clear()
        watching = None
        if once and step == "event":
            beside = fill(context.decoders) if fills else watch_closing(context)
            watching = asyncio.create_task(beside)
        context.raw = await place.ask(PATHS[kind], "r1", fields | {"Deadline-Ms": deadline_ms})
        if watching is not None:
            await asyncio.wait_for(watching, 1)
        for server in servers:
            server.full = False
        context.next = await place.ask(PATHS[kind], "r2", fields)
        context.ran = [request_id for server in servers for request_id in server.ran]

    with LogLines("saffronworks") as context.lines:
        config = CONFIG | {"routes": ROUTES, "services": services or CONFIG["services"]}
        on_platform(servers, play, config, **settings)


@then("the caller gets one whole answer, and the next caller too")
def whole_answers(context):
    lines = [line for line in context.lines if "r1" in line or "r2" in line]
    for raw, request_id in ((context.raw, b"r1"), (context.next, b"r2")):
        whole = raw.endswith((b"0\r\n\r\n", b"\r\n\r\n" + request_id))
        assert raw.startswith(b"HTTP/1.1 200") and whole, (raw, lines)
    assert set(context.ran) == {"r1", "r2"}, context.ran


@then("it ran once")
def ran_once(context):
    assert context.ran == ["r1", "r2"], context.ran


@then("it went on at the other endpoint, after the first exchange was closed")
def went_on(context):
    assert context.ran == ["r1", "r1", "r2"], (context.ran, list(context.lines))
    assert all("r1" in server.ran for server in context.decoders)
    assert context.closed_first
