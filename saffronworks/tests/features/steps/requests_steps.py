"""Property tests of the request state machine against an endpoint with injected faults."""

import attrs
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks import request_events
from saffronworks import requests as core
from saffronworks.request_events import Phase
from saffronworks.requests import Request

TOTAL = 6
QUIET_MOVES = 100
ANSWER = tuple(f"t{index}" for index in range(TOTAL))


def new_request(unrepeatable=False):
    return Request("r", 100, TOTAL, 0, 4000, 400, stall_ms=900, unrepeatable=unrepeatable)


@attrs.define
class FaultyWorld:
    """Endpoints that execute commands with injected faults, and a record of what ran."""

    request: Request
    now_ms: int = 0
    delivered: list = attrs.Factory(list)
    inbox: list = attrs.Factory(list)
    executed: set = attrs.Factory(set)
    holding: set = attrs.Factory(set)
    cancelled: set = attrs.Factory(set)

    def feed(self, event):
        for command in core.step(self.request, event, self.now_ms):
            self.obey(command)

    def obey(self, command):
        match command:
            case request_events.Deliver():
                self.delivered += command.tokens
            case request_events.AskOwner():
                self.inbox.append(request_events.GrantReceived(command.attempt, "p"))
            case request_events.StartPrefill():
                self.inbox.append(("prefill", command.attempt))
            case request_events.TellPrefilled():
                self.inbox.append(request_events.AssignReceived(command.attempt, "d", 900))
            case request_events.StartDecode() if command.kv_id != f"kv{command.attempt}":
                raise AssertionError(f"the KV result of another attempt: {command}")
            case request_events.StartDecode() | request_events.ResumeDecode():
                self.inbox.append(("decode", command.attempt, command.offset))
            case request_events.CancelAt():
                self.cancelled.add((command.attempt, command.endpoint))

    def act(self, choice, fault):
        """Deliver one message from the inbox, with or without a fault."""
        if not self.inbox:
            self.now_ms += 300
            self.feed(request_events.Tick())
            return
        item = self.inbox[choice % len(self.inbox)]
        if fault == "leave":
            self.feed(request_events.CallerGone())
            return
        if fault != "double":
            self.inbox.remove(item)
        if fault == "lose":
            self.now_ms += 300
            self.feed(request_events.Tick())
        elif isinstance(item, tuple):
            self.run_endpoint(item, fault)
        else:
            self.feed(item)

    def run_endpoint(self, item, fault):
        kind, attempt = item[0], item[1]
        if kind == "prefill":
            if fault == "refuse":
                self.feed(request_events.PrefillFailed(attempt, executed=False, failure="connect"))
                return
            self.executed.add(attempt)
            self.holding.add((attempt, "p"))
            if fault == "break":
                self.feed(request_events.PrefillFailed(attempt, executed=True, failure="ReadError"))
            else:
                self.inbox.append(request_events.PrefillEnded(attempt, f"kv{attempt}", 10, 0, 800))
            return
        if fault == "refuse":
            self.feed(request_events.DecodeRefused(attempt, kv_lost=False, failure="slots full"))
            return
        self.holding.add((attempt, "d"))
        self.stream(attempt, item[2], fault)

    def stream(self, attempt, offset, fault):
        self.inbox.append(request_events.DecodeStarted(attempt, 5))
        middle = min(TOTAL, offset + 3)
        self.inbox.append(request_events.TokensArrived(attempt, offset, ANSWER[offset:middle]))
        if fault == "break":
            self.inbox.append(
                request_events.DecodeBroken(attempt, engine_alive=False, failure="gone")
            )
            return
        if fault == "cut":
            self.inbox.append(
                request_events.DecodeBroken(attempt, engine_alive=True, failure="cut")
            )
            return
        self.inbox.append(request_events.TokensArrived(attempt, middle, ANSWER[middle:]))
        self.inbox.append(request_events.DecodeEnded(attempt, TOTAL))


FAULTS = (*["none"] * 6, "lose", "double", "refuse", "break", "cut", "leave")
MOVES = st.lists(st.tuples(st.integers(0, 5), st.sampled_from(FAULTS)), min_size=1, max_size=60)


def for_all_orders(unrepeatable, check):
    @forall(MOVES)
    def run(moves):
        world = FaultyWorld(new_request(unrepeatable))
        world.feed(request_events.Started())
        for choice, fault in [*moves, *[(0, "none")] * QUIET_MOVES]:
            world.act(choice, fault)
            if world.request.phase is Phase.FINISHED:
                break
        assert world.request.phase is Phase.FINISHED, "no outcome after the faults"
        check(world)

    run()


@given("any order of events for a repeatable request")
def repeatable(context):
    context.unrepeatable = False


@given("any order of events for an unrepeatable request")
def unrepeatable(context):
    context.unrepeatable = True


@then("every token reaches the caller once and in order")
def once_in_order(context):
    finished = []

    def check(world):
        assert tuple(world.delivered) == ANSWER[: len(world.delivered)], world.delivered
        if isinstance(world.request.outcome, request_events.Completed):
            finished.append(world)
            assert tuple(world.delivered) == ANSWER

    for_all_orders(context.unrepeatable, check)
    assert finished, "no order of events gave a whole answer"


@then("a request with the outcome not-run was never accepted by an endpoint")
def not_run_is_true(context):
    def check(world):
        if isinstance(world.request.outcome, request_events.NotRun):
            assert not world.executed, world.executed

    for_all_orders(context.unrepeatable, check)


@then("at most one endpoint can have run it")
def at_most_once(context):
    def check(world):
        assert len(world.executed) <= 1, world.executed

    for_all_orders(context.unrepeatable, check)


@then("each endpoint that held work for a request without a whole answer got a cancel")
def all_cancelled(context):
    ended = []

    def check(world):
        if not isinstance(
            world.request.outcome,
            request_events.Unknown | request_events.NotRun | request_events.Cancelled,
        ):
            return
        ended.append(type(world.request.outcome))
        assert world.holding <= world.cancelled, (world.holding, world.cancelled)

    for_all_orders(context.unrepeatable, check)
    assert request_events.Cancelled in ended, "no caller disconnected before the end"


def run_commands(context, event, now_ms=10):
    context.commands = core.step(context.request, event, now_ms)
    return context.commands


@given("a request that waits for a grant")
def waiting(context):
    context.request = new_request()
    run_commands(context, request_events.Started())


@given("a request that streams from an engine")
def streaming(context):
    waiting(context)
    run_commands(context, request_events.GrantReceived(1, "p"))
    run_commands(context, request_events.PrefillEnded(1, "kv", 10, 0, 800))
    run_commands(context, request_events.AssignReceived(1, "d", 900))
    run_commands(context, request_events.DecodeStarted(1, 5))


@when("the engine dies after {count:d} tokens")
def engine_dies(context, count):
    run_commands(context, request_events.TokensArrived(1, 0, ANSWER[:count]))
    run_commands(context, request_events.DecodeBroken(1, engine_alive=False, failure="connect"))


@when("the connection breaks after {count:d} tokens")
def connection_breaks(context, count):
    run_commands(context, request_events.TokensArrived(1, 0, ANSWER[:count]))
    run_commands(context, request_events.DecodeBroken(1, engine_alive=True, failure="cut"))


@when("a grant of attempt {attempt:d} arrives")
def old_grant(context, attempt):
    run_commands(context, request_events.GrantReceived(attempt, "p"))


@when("the next attempt streams and the old stream breaks again")
def old_breaks(context):
    next_decode(context, 3)
    run_commands(context, request_events.DecodeStarted(2, 5))
    run_commands(context, request_events.DecodeBroken(1, engine_alive=False, failure="late"))


@when("its owner refuses it for overload")
def refused(context):
    run_commands(context, request_events.RefusalReceived(1, "overload", 700))


@then("a new attempt asks for a grant")
def asks_again(context):
    assert request_events.AskOwner(2, True) in context.commands, context.commands


@then("the next decode starts at offset {offset:d}")
def next_decode(context, offset):
    run_commands(context, request_events.GrantReceived(2, "p"))
    run_commands(context, request_events.PrefillEnded(2, "kv2", 10, 0, 800))
    commands = run_commands(context, request_events.AssignReceived(2, "d2", 900))
    limit_ms = 900 + core.IMPORT_GRACE_MS
    assert commands == [request_events.StartDecode(2, "d2", "p", "kv2", offset, limit_ms)], commands


@then("the stream is resumed at offset {offset:d}")
def resumed(context, offset):
    assert context.commands == [request_events.ResumeDecode(1, "d", offset)], context.commands


@then("no command is returned")
def nothing(context):
    assert context.commands == []


@then("the outcome is not run")
def not_run(context):
    assert context.request.outcome == request_events.NotRun("overload", 700)


@when("it is granted a prefill {left_ms:d} ms before its deadline")
def granted_late(context, left_ms):
    now_ms = context.request.deadline_ms - left_ms
    context.commands = core.step(context.request, request_events.GrantReceived(1, "p"), now_ms)


@then("the prefill order says to begin within {left_ms:d} ms")
def begin_within(context, left_ms):
    assert context.commands == [request_events.StartPrefill(1, "p", 0, left_ms)], context.commands
