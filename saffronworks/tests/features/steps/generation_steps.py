"""Steps on the state machine of generations, without sockets or clock."""

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.bundles import Role
from saffronworks.forwarding import generation_events as gen
from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    KvHandle,
    KvHold,
    Refuse,
)
from saffronworks.tests.endpoint_fixtures import REPLIES, head_of
from saffronworks.tests.generation_simulation import (
    POOLS,
    RELAY_BREAKS,
    generation,
    simulate_generation,
    step_generation,
)


@given("a generation, two full decode endpoints and a free one")
def given_full_decoders(context):
    context.state = generation()


@then("it asks them in order, prefills once, and opens the stream where memory is reserved")
def check_order(context):
    state = context.state
    command = step_generation(state, Begin())
    for full in ("d0", "d1"):
        assert command.endpoint.instance == full, command
        command = step_generation(state, gen.HoldFailed(full, broken=False))
    assert command.endpoint.instance == "d2" and command.tokens == 9000
    command = step_generation(state, gen.HoldTaken(KvHold(command.endpoint, "k", 2000)))
    assert isinstance(command, gen.ReadPrompt) and command.endpoint.role is Role.PREFILL
    command = step_generation(state, gen.PromptRead(KvHandle(command.endpoint, "h", 5000)))
    assert command == gen.OpenStream(POOLS.decoders[2]), command
    assert state.reads == 1


@then("a decode endpoint chosen for the prefill reads the prompt itself, until the next restart")
def check_prefill_at_decoder(context):
    state = generation()
    state.plans_left = 2
    assert isinstance(step_generation(state, Begin()), gen.AskPlanner)
    hold = step_generation(state, gen.PlanGranted("d0", "d0"))
    taken = gen.HoldTaken(KvHold(hold.endpoint, "k", 2000))
    assert step_generation(state, taken) == gen.OpenStream(POOLS.decoders[0])
    again = step_generation(state, gen.StreamBroken("d0", sent=False))
    assert isinstance(again, gen.AskPlanner) and state.reader is None


@then("a caller's first attempt is refused early, and a retry waits longer for memory")
def check_waiting_time(context):
    def refused_at_ms(returned):
        state, now_ms = generation(returned=returned), 0
        command = step_generation(state, Begin(), now_ms)
        while not isinstance(command, Refuse):
            if isinstance(command, gen.Wait):
                now_ms += command.pause_ms
                command = step_generation(state, gen.Waited(), now_ms)
            else:
                failed = gen.HoldFailed(command.endpoint.instance, broken=False)
                command = step_generation(state, failed, now_ms)
        assert command.status == 503 and command.not_run
        return now_ms

    assert refused_at_ms(False) <= 900 / 4
    assert 2500 < refused_at_ms(True) < 3600


def prefill_in_progress(state, now_ms=1700):
    """Return the command that sends the prompt, 300 ms before the end of the hold."""
    return step_generation(state, gen.HoldTaken(KvHold(POOLS.decoders[0], "k", 2000)), now_ms)


@given("a generation whose hold is about to expire when its prompt is sent")
def send_prompt_late(context):
    context.state = generation()
    context.command = prefill_in_progress(context.state)


@then("the prefill has the time of any other")
def check_prefill_time(context):
    in_time = prefill_in_progress(generation(), 0)
    assert context.command.timeout_ms == in_time.timeout_ms > 1900, context.command


@then("memory is reserved again before the prompt or its KV cache is used")
def check_hold_renewed(context):
    handle = KvHandle(POOLS.prefillers[0], "h", 5000)
    for event in (gen.PromptRead(handle), gen.ReadFailed("p0", broken=True)):
        state = generation()
        prefill_in_progress(state)
        renewed = step_generation(state, event, 3000)
        assert isinstance(renewed, gen.TakeHold), renewed
        assert renewed.endpoint == POOLS.decoders[0]
        hold = KvHold(POOLS.decoders[0], "k2", 5000)
        command = step_generation(state, gen.HoldTaken(hold), 3010)
        read = isinstance(event, gen.PromptRead)
        assert isinstance(command, gen.OpenStream if read else gen.ReadPrompt), command
        assert state.handle == (handle if read else None) and state.hold == hold


@then("a KV cache is not used after a failed reservation, and nothing is sent after the deadline")
def check_prefill_ends(context):
    step_generation(context.state, gen.PromptRead(KvHandle(POOLS.prefillers[0], "h", 5000)), 3000)
    command = step_generation(context.state, gen.HoldFailed("d0", broken=True), 3400)
    assert command.endpoint == POOLS.decoders[1] and context.state.handle is None
    state = generation()
    prefill_in_progress(state, state.deadline_at_ms - 100)
    command = step_generation(state, gen.ReadFailed("p0", broken=True), state.deadline_at_ms)
    assert isinstance(command, Refuse) and command.not_run, command


@then("the request is refused as not run if the endpoint may go on, with a time to come again")
def check_silent_prefill(context):
    state = generation()
    prefill_in_progress(state, 0)
    command = step_generation(state, gen.ReadFailed("p0", broken=True, silent=True), 2000)
    assert isinstance(command, Refuse) and command.not_run and command.retry_after_ms, command
    assert state.pop_broken() == ("p0",)


@then("it goes elsewhere if the endpoint has ended, or the answer has begun")
def check_ended_prefill(context):
    ended = generation()
    prefill_in_progress(ended, 0)
    command = step_generation(ended, gen.ReadFailed("p0", broken=True), 1000)
    assert command.endpoint == POOLS.prefillers[1], command
    begun = streaming(may_repeat=True)
    step_generation(begun, gen.RelayBroken("d0", position_known=True), 500)
    step_generation(begun, gen.HoldTaken(KvHold(POOLS.decoders[1], "k2", 2500)), 510)
    command = step_generation(begun, gen.ReadFailed("p0", broken=True, silent=True), 2000)
    assert command.endpoint == POOLS.prefillers[1], command


@given("a generation rejected by one prefill endpoint and broken off by the next")
def fail_prefills(context):
    state = context.state = generation()
    hold = KvHold(POOLS.decoders[0], "k", 2000)
    assert step_generation(state, gen.HoldTaken(hold)).endpoint.instance == "p0"
    assert step_generation(state, gen.ReadFailed("p0", broken=False)).endpoint.instance == "p1"
    assert isinstance(step_generation(state, gen.ReadFailed("p1", broken=True)), gen.OpenStream)


@then("the one that broke off is reported to the planner, and only once")
def check_reported_once(context):
    context.state.plans_left = 1
    command = step_generation(context.state, gen.StreamBroken("d0", sent=False))
    assert isinstance(command, gen.AskPlanner), command
    assert command.broken == ("d0", "p1") and set(command.avoid) == {"d0", "p0", "p1"}
    assert context.state.pop_broken() == ()


@then("after a lost KV handle, the prefill endpoint that held it is reported")
def check_lost_handle(context):
    state = generation()
    state.hold = KvHold(POOLS.decoders[0], "k", 2000)
    state.handle = KvHandle(POOLS.prefillers[1], "h", 5000)
    refusal = AnswerHead(503, (), Executed.NO, signed=False, reason="status-503")
    step_generation(state, gen.StreamAnswered("d0", refusal))
    assert state.pop_broken() == ("p1",)


@then("whatever endpoints answer, an unrepeatable generation runs at most once")
def check_runs_once(context):
    @forall(REPLIES, RELAY_BREAKS)
    def check(replies, breaks):
        assert simulate_generation(False, replies, breaks).runs <= 1
        assert simulate_generation(True, replies, breaks).runs <= 2

    check()


@then("the refusal of a generation that was executed never promises that it was not")
def check_refusals(context):
    @forall(st.booleans(), REPLIES, RELAY_BREAKS)
    def check(may_repeat, replies, breaks):
        simulated = simulate_generation(may_repeat, replies, breaks)
        end = simulated.end
        if isinstance(end, Refuse):
            assert not simulated.resumed, "an answer that started is cut, not refused"
            assert end.not_run == (simulated.runs == 0), simulated
            assert plain.promises_not_run(end.status) == end.not_run, end

    check()


def streaming(may_repeat):
    state = generation(may_repeat)
    state.hold = KvHold(POOLS.decoders[0], "k", 2000)
    state.streams = 1
    command = step_generation(state, gen.StreamAnswered("d0", head_of("ok")), 400)
    assert command == gen.StartStream(head_of("ok")), command
    return state


@given("a resumable stream that broke after some events")
def break_off_stream(context):
    context.state = streaming(may_repeat=True)
    context.command = step_generation(
        context.state, gen.RelayBroken("d0", position_known=True), 500
    )


@then("memory is reserved at another endpoint, and the stream continues there")
def check_stream_continues(context):
    assert context.command.endpoint.instance == "d1", context.command
    hold = KvHold(context.command.endpoint, "k2", 2500)
    command = step_generation(context.state, gen.HoldTaken(hold), 510)
    command = step_generation(
        context.state, gen.PromptRead(KvHandle(command.endpoint, "h", 5000)), 600
    )
    assert command == gen.OpenStream(POOLS.decoders[1])


@then("a stream that is not resumable is cut")
def check_stream_cut(context):
    command = step_generation(
        streaming(may_repeat=False), gen.RelayBroken("d0", position_known=True), 500
    )
    assert isinstance(command, gen.Cut), command
