"""Decisions on one generation: reserve memory, read the prompt, stream, go on after a break.

A decode endpoint's memory is reserved first, so that no prompt is read whose result finds no
room. `step(state, event, pools, budget, now_ms)` gives the next command. What is legal depends on
what the caller has: each way in which a request can end is decided in two functions, one for before
the first byte of an answer and one for after it, so that none is taken at the wrong time.
"""

import attrs

from saffronworks.forwarding.generation_events import (
    AskHold,
    AskPlanner,
    Command,
    ContinueStream,
    Cut,
    Event,
    Following,
    HoldFailed,
    HoldTaken,
    Opening,
    OpenStream,
    PlanGranted,
    PlanRefused,
    PlanSilent,
    PromptRead,
    ReadFailed,
    ReadPrompt,
    RelayBroken,
    RelayFailure,
    Seek,
    StartStream,
    StreamAnswered,
    StreamBroken,
    StreamWithheld,
    Wait,
    Waited,
)
from saffronworks.forwarding.generation_state import GenerationState, Out, Pools
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    Refuse,
    refuse_blocked,
)
from saffronworks.forwarding.plain_core import promises_not_run
from saffronworks.forwarding.planning.tuning import (
    IN_TIME_MS,
)
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    HOLD_POLL_MS,
    HOLD_POLL_PER_ENDPOINT_MS,
    HOLD_TTL_MS,
    MAX_REDIRECTS,
    PREFILL_TIMEOUT_MS,
    RESUME_MIN_LEFT_MS,
)

__all__ = ["step"]


@attrs.frozen
class _Serve:
    """An endpoint has a stream for the caller."""

    head: AnswerHead


@attrs.frozen
class _GiveUp:
    """No further run; `failure` is an endpoint's own signed word on the request."""

    refusal: Refuse
    failure: AnswerHead | None = None


# What is to be done, whatever the caller has by now.
_Result = Seek | _Serve | _GiveUp


def step(
    state: GenerationState,
    event: Event,
    pools: Pools,
    budget: RetryBudget,
    now_ms: int,
    barred: Refuse | None = None,
) -> Command:
    """The next command; `barred`: no endpoint is to get the request any more, and why."""
    result = _advance(state, event, pools, budget, now_ms)
    if barred is not None and isinstance(result, Seek):
        result = _GiveUp(barred)
    if state.begun:
        return _after_first_byte(result)
    return _before_first_byte(state, result)


def _before_first_byte(state: GenerationState, result: _Result) -> Seek | Opening:
    """Nothing is out: the caller gets the head of a stream, of a failure, or our own answer."""
    match result:
        case _Serve(head):
            state.out = Out.STREAM
            return StartStream(head)
        case _GiveUp(_, AnswerHead() as failure):
            state.out = Out.FAILURE
            return RelayFailure(failure)
        case _GiveUp(refusal) if state.runs and refusal.not_run:
            return Refuse(502, refusal.reason, not_run=False)
        case _GiveUp(refusal):
            return refusal
    return result


def _after_first_byte(result: _Result) -> Seek | Following:
    """An answer is out: only events that follow, or a cut, tell the caller the truth.

    Neither our own answer nor an endpoint's failure can be told any more: its bytes would stand
    behind the events, and the good end after them would make a short stream look whole.
    """
    match result:
        case _Serve():
            return ContinueStream()
        case _GiveUp(refusal):
            return Cut(refusal.reason)
    return result


def _advance(
    state: GenerationState, event: Event, pools: Pools, budget: RetryBudget, now_ms: int
) -> _Result:
    match event:
        case StreamAnswered() | StreamBroken() | StreamWithheld() | RelayBroken():
            return _step_stream(state, event, pools, now_ms)
        case HoldTaken(hold):
            state.hold = hold
            return _read(state, pools, budget, now_ms)
        case PromptRead(handle):
            state.handle = handle
            return _stream(state, pools, budget, now_ms)
        case ReadFailed(instance, broken, sent):
            if not sent:
                state.reads -= 1
            state.failed.add(instance)
            if broken:
                state.broken.add(instance)
            return _read(state, pools, budget, now_ms)
    return _step_place(state, event, pools, now_ms)


def _step_place(
    state: GenerationState,
    event: Begin | PlanGranted | PlanRefused | PlanSilent | Waited | HoldFailed,
    pools: Pools,
    now_ms: int,
) -> _Result:
    """On the way to a place in a decode endpoint's memory."""
    match event:
        case Begin():
            return _plan(state, pools, now_ms)
        case PlanGranted(instance, reader):
            state.granted, state.reader = instance, reader
            return _take_place(state, instance, pools, now_ms)
        case PlanRefused(retry_after_ms):
            return _GiveUp(Refuse(503, "memory-full", True, retry_after_ms or None))
        case PlanSilent():
            state.plans_left = 0
        case Waited():
            state.asked.clear()
        case HoldFailed(instance, broken):
            if broken:
                state.note_broken(instance)
            state.asked.add(instance)
            if state.granted is not None:
                state.granted = None
                return _plan(state, pools, now_ms)
    return _ask(state, pools, now_ms)


def _step_stream(
    state: GenerationState,
    event: StreamAnswered | StreamBroken | StreamWithheld | RelayBroken,
    pools: Pools,
    now_ms: int,
) -> _Result:
    """Once the request was sent to a decode endpoint."""
    match event:
        case StreamAnswered(instance, head):
            return _take_answer(state, instance, head, pools, now_ms)
        case StreamBroken(instance, sent, silent):
            state.note_broken(instance)
            if not sent:
                return _redirect(state, pools, now_ms, "unreachable")
            state.runs += 1
            late = Refuse(504, "no-answer-in-time", not_run=False)
            return _go_on(state, pools, now_ms, _GiveUp(late) if silent else _broken())
        case StreamWithheld(instance):
            state.failed.add(instance)
            return _redirect(state, pools, now_ms, "endpoint-leaves")
        case RelayBroken(instance, known):
            state.note_broken(instance)
            if state.out is Out.FAILURE:
                return _broken()
            if not known:
                return _GiveUp(Refuse(502, "no-event-id", not_run=False))
            return _go_on(state, pools, now_ms, _broken())


def _broken(failure: AnswerHead | None = None) -> _GiveUp:
    return _GiveUp(Refuse(502, "broken-answer", not_run=False), failure)


def _plan(state: GenerationState, pools: Pools, now_ms: int) -> _Result:
    """Ask the planner, a few times at most; then the endpoints themselves."""
    patience_ms = int(state.gives_up_at_ms - now_ms)
    blocked = bool(pools.decoder_blocks)
    if not state.plans_left or patience_ms <= 0 or not pools.decoders or blocked:
        return _ask(state, pools, now_ms)
    state.plans_left -= 1
    in_time_ms = state.arrived_ms + state.target_ms - IN_TIME_MS - now_ms
    avoid = tuple(sorted(state.asked | state.failed | pools.eligibility.blocks.keys()))
    return AskPlanner(in_time_ms, patience_ms, avoid, state.take_broken())


def _hold_ms(state: GenerationState, now_ms: int) -> int:
    """How long a reservation is asked for; the deadline may be a moment past already."""
    return min(HOLD_TTL_MS, state.hold_most_ms, max(1, state.deadline_at_ms - now_ms))


def _take_place(state: GenerationState, instance: StartId, pools: Pools, now_ms: int) -> _Result:
    """Reserve where the planner said; elsewhere if that endpoint is not usable here."""
    place = next((e for e in pools.decoders if e.instance == instance), None)
    if place is None:
        state.granted = None
        return _ask(state, pools, now_ms)
    return AskHold(place, state.planned_tokens, 0, _hold_ms(state, now_ms))


def _ask(state: GenerationState, pools: Pools, now_ms: int) -> _Result:
    """The best decode endpoint not yet asked in this round."""
    if now_ms >= state.deadline_at_ms:
        return _GiveUp(_late(state))
    for endpoint in pools.decoders:
        if pools.blocked(endpoint.instance):
            continue
        if endpoint.instance not in state.asked | state.failed:
            ttl_ms = _hold_ms(state, now_ms)
            return AskHold(endpoint, state.tokens, state.headroom_tokens, ttl_ms)
    if blocks := pools.decoder_blocks:
        refusal = refuse_blocked(blocks)
        if now_ms + refusal.not_before_ms >= state.patience_until_ms:
            return _GiveUp(refusal)
    pause_ms = max(HOLD_POLL_MS, HOLD_POLL_PER_ENDPOINT_MS * len(pools.decoders))
    if now_ms + pause_ms < state.patience_until_ms:
        state.failed.clear()
        return Wait(pause_ms)
    reason = "memory-full" if pools.decoders else "no-endpoint"
    return _GiveUp(Refuse(503, reason, not_run=True))


def _refusal(state: GenerationState, reason: str) -> Refuse:
    return Refuse(502 if state.runs else 503, reason, not_run=state.runs == 0)


def _late(state: GenerationState) -> Refuse:
    return Refuse(504 if state.runs else 503, "deadline", not_run=state.runs == 0)


def _read(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    """A prefill endpoint for the prompt, unless the decode endpoint reads it by itself.

    It does where the planner said so, and where there is no other.
    """
    assert state.hold is not None
    if state.reader == state.hold.endpoint.instance:
        return _stream(state, pools, budget, now_ms)
    left_ms = min(state.hold.until_ms, state.deadline_at_ms) - now_ms
    named_first = sorted(pools.prefillers, key=lambda e: e.instance != state.reader)
    for endpoint in named_first:
        if endpoint.instance in state.failed or left_ms <= 0 or pools.blocked(endpoint.instance):
            continue
        if state.reads and not budget.withdraw(state.service, now_ms):
            break
        state.reads += 1
        return ReadPrompt(endpoint, min(PREFILL_TIMEOUT_MS, left_ms))
    return _stream(state, pools, budget, now_ms)


def _stream(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    assert state.hold is not None
    decoder = state.hold.endpoint
    if all(decoder.instance != usable.instance for usable in pools.decoders):
        return _redirect(state, pools, now_ms, "endpoint-leaves")
    if state.streams and not budget.withdraw(state.service, now_ms):
        return _GiveUp(_refusal(state, "retry-budget"))
    state.streams += 1
    return OpenStream(decoder)


def _take_answer(
    state: GenerationState, instance: StartId, head: AnswerHead, pools: Pools, now_ms: int
) -> _Result:
    if head.executed is Executed.NO and head.asks_pause:
        state.failed.add(instance)
        return _redirect(state, pools, now_ms, head.reason)
    if head.executed is Executed.NO:
        lost_handle = state.handle if not head.misdirected else None
        state.note_broken(lost_handle.endpoint.instance if lost_handle else instance)
        return _redirect(state, pools, now_ms, head.reason)
    state.runs += 1
    if head.success and head.signed:
        return _Serve(head)
    state.note_broken(instance)
    signed = head.signed and not promises_not_run(head.status)
    return _go_on(state, pools, now_ms, _broken(head if signed else None))


def _redirect(state: GenerationState, pools: Pools, now_ms: int, reason: str) -> _Result:
    """No endpoint runs it: start over, a few times, while it is worth it."""
    state.redirects += 1
    if state.redirects > MAX_REDIRECTS:
        return _GiveUp(_refusal(state, reason))
    return _start_over(state, pools, now_ms)


def _go_on(state: GenerationState, pools: Pools, now_ms: int, otherwise: _GiveUp) -> _Result:
    """After a run that failed: another run where that is allowed, else `otherwise`."""
    left_ms = state.deadline_at_ms - now_ms
    if state.may_repeat and state.runs < state.max_attempts and left_ms > RESUME_MIN_LEFT_MS:
        return _start_over(state, pools, now_ms)
    return otherwise


def _start_over(state: GenerationState, pools: Pools, now_ms: int) -> _Result:
    state.hold = None
    state.handle = None
    state.asked.clear()
    state.granted = state.reader = None
    return _plan(state, pools, now_ms)
