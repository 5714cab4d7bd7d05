"""State machine of one generation: reserve memory, prefill, stream, resume after a failure.

Memory at a decode endpoint is reserved before the prefill, so that every prefilled prompt has room
there. `step(state, event, pools, budget, now_ms)` returns the next command. Which commands are
valid depends on what was already sent to the caller. Two functions map each result to a command,
one before the first byte of the answer and one after it.
"""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.generation_events import (
    AdoptHold,
    AskPlanner,
    AttemptCommand,
    Command,
    ContinueStream,
    Cut,
    Event,
    FollowUpCommand,
    HoldFailed,
    HoldTaken,
    OpenStream,
    PlanGranted,
    PlanRefused,
    PlanSilent,
    PromptRead,
    ReadFailed,
    ReadPrompt,
    RelayBroken,
    RelayFailure,
    StartCommand,
    StartStream,
    StreamAnswered,
    StreamBroken,
    StreamWithheld,
    TakeHold,
    Wait,
    Waited,
)
from saffronworks.forwarding.generation_state import (
    UNCERTAIN_VERSION,
    Delivered,
    GenerationState,
    Pools,
)
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    KvHold,
    Refuse,
    refuse_blocked,
)
from saffronworks.forwarding.plain_core import promises_not_run
from saffronworks.forwarding.planning.tuning import (
    FIRST_EVENT_MS,
)
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    CALL_TIMEOUT_MS,
    FAILED_RETRY_MS,
    HOLD_MARGIN_MS,
    HOLD_POLL_MS,
    HOLD_POLL_PER_ENDPOINT_MS,
    HOLD_TTL_MS,
    LAST_CALL_TIMEOUT_MS,
    MAX_REDIRECTS,
    OTHER_NODE_RETRY_AFTER_MS,
    PREFILL_TIMEOUT_MS,
    RESUME_MIN_LEFT_MS,
)

__all__ = ["step"]


@attrs.frozen
class _StreamReady:
    """An endpoint has started a stream for the caller."""

    head: AnswerHead


@attrs.frozen
class _GiveUp:
    """No endpoint is tried any more; `failure` is the signed error response of an endpoint."""

    refusal: Refuse
    failure: AnswerHead | None = None


# The outcome of a step, before it is mapped to a command depending on what the caller has received.
_Result = AttemptCommand | _StreamReady | _GiveUp


def step(
    state: GenerationState,
    event: Event,
    pools: Pools,
    budget: RetryBudget,
    now_ms: int,
    denial: Refuse | None = None,
) -> Command:
    """Return the next command. A `denial` forbids any further attempt and is sent instead.

    It is also sent in place of a refusal that asks the caller to return, which would be in vain.

    A stream continues only at endpoints with the software version of its first event.
    """
    budget = budget if denial is None else budget.uncounted()
    result = _advance(state, event, pools.of_version(state.version), budget, now_ms)
    if denial is not None and (isinstance(result, AttemptCommand) or _asks_to_return(result)):
        result = _GiveUp(denial)
    if state.answer_started:
        return _after_first_byte(result)
    return _before_first_byte(state, result)


def _asks_to_return(result: _Result) -> bool:
    return isinstance(result, _GiveUp) and result.refusal.not_run


def _before_first_byte(state: GenerationState, result: _Result) -> AttemptCommand | StartCommand:
    """Before any byte was sent, start a stream, relay a failure or send a refusal."""
    match result:
        case _StreamReady(head):
            assert state.hold is not None
            version = state.hold.endpoint.version
            state.version = version if state.version_certain else UNCERTAIN_VERSION
            state.delivered = Delivered.STREAM
            return StartStream(head)
        case _GiveUp(_, AnswerHead() as failure):
            state.delivered = Delivered.FAILURE
            return RelayFailure(failure)
        case _GiveUp(refusal) if state.runs and refusal.not_run:
            return Refuse(502, refusal.reason, not_run=False)
        case _GiveUp(refusal):
            return refusal
    return result


def _after_first_byte(result: _Result) -> AttemptCommand | FollowUpCommand:
    """The answer has started: only further events of the stream or a closed connection may follow.

    The bytes of a refusal or of an endpoint's failure would be appended to the events, and the
    proper end after them would make a truncated stream look complete.
    """
    match result:
        case _StreamReady():
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
            if now_ms >= state.deadline_at_ms:
                return _GiveUp(_deadline_refusal(state))
            return _use_hold(state, pools, budget, now_ms)
        case PromptRead(handle):
            state.handle = handle
            return _end_prefill(state, pools, budget, now_ms)
        case ReadFailed(instance, broken, sent, rejected, silent):
            if not sent:
                state.reads -= 1
            state.read_rejected = state.read_rejected or rejected
            state.failed.add(instance)
            if broken:
                state.broken.add(instance)
            if silent and not state.runs and now_ms < state.deadline_at_ms:
                return _GiveUp(Refuse(503, "prefill-silent", True, OTHER_NODE_RETRY_AFTER_MS))
            return _end_prefill(state, pools, budget, now_ms)
    return _step_reservation(state, event, pools, now_ms)


def _step_reservation(
    state: GenerationState,
    event: Begin | PlanGranted | PlanRefused | PlanSilent | Waited | HoldFailed,
    pools: Pools,
    now_ms: int,
) -> _Result:
    """Handle the events that lead to a reservation at a decode endpoint."""
    match event:
        case Begin():
            return _ask_planner(state, pools, now_ms)
        case PlanGranted(instance, reader):
            state.granted, state.reader = instance, reader
            return _take_granted(state, instance, pools, now_ms)
        case PlanRefused(retry_after_ms):
            return _GiveUp(Refuse(503, "memory-full", True, retry_after_ms or None))
        case PlanSilent():
            state.plans_left = 0
        case Waited():
            state.asked.clear()
        case HoldFailed(instance, broken):
            # A KV cache lives too short for another round.
            state.handle = None
            if broken:
                state.mark_broken(instance)
            state.asked.add(instance)
            if state.granted is not None:
                state.granted = None
                return _ask_planner(state, pools, now_ms)
    return _take_next(state, pools, now_ms)


def _step_stream(
    state: GenerationState,
    event: StreamAnswered | StreamBroken | StreamWithheld | RelayBroken,
    pools: Pools,
    now_ms: int,
) -> _Result:
    """Handle the events after the request was sent to a decode endpoint."""
    match event:
        case StreamAnswered(instance, head):
            return _step_answer(state, instance, head, pools, now_ms)
        case StreamBroken(instance, sent, silent, site):
            state.mark_broken(instance, site)
            if not sent:
                return _redirect(state, pools, now_ms, "unreachable")
            state.runs += 1
            late = Refuse(504, "no-answer-in-time", not_run=False)
            return _retry_run(state, pools, now_ms, _GiveUp(late) if silent else _broken_answer())
        case StreamWithheld(instance):
            state.failed.add(instance)
            return _redirect(state, pools, now_ms, "endpoint-leaves")
        case RelayBroken(instance, position_known, site, hold):
            state.mark_broken(instance, site)
            if state.delivered is Delivered.FAILURE:
                return _broken_answer()
            if not position_known:
                return _GiveUp(Refuse(502, "no-event-id", not_run=False))
            return _retry_run(state, pools, now_ms, _broken_answer(), hold)


def _broken_answer(failure: AnswerHead | None = None) -> _GiveUp:
    return _GiveUp(Refuse(502, "broken-answer", not_run=False), failure)


def _ask_planner(state: GenerationState, pools: Pools, now_ms: int) -> _Result:
    """Ask the planner, up to a limit; after that, ask the endpoints directly."""
    patience_ms = int(state.max_wait_at_ms - now_ms)
    blocked = bool(pools.decoder_blocks)
    if not state.plans_left or patience_ms <= 0 or not pools.decoders or blocked:
        return _take_next(state, pools, now_ms)
    avoid = state.asked | state.failed | pools.eligibility.blocks.keys() | pools.other_versions
    if state.version is not None and all(e.instance in avoid for e in pools.decoders):
        return _take_next(state, pools, now_ms)
    state.plans_left -= 1
    in_time_ms = state.arrived_ms + state.target_ms - FIRST_EVENT_MS - now_ms
    return AskPlanner(in_time_ms, patience_ms, tuple(sorted(avoid)), state.pop_broken())


def _hold_ttl_ms(state: GenerationState, now_ms: int) -> int:
    """Return the requested lifetime of a hold, at least 1 ms as the deadline may have passed."""
    return min(HOLD_TTL_MS, state.hold_most_ms, max(1, state.deadline_at_ms - now_ms))


def _hold_timeout_ms(
    state: GenerationState, endpoint: ServiceEndpoint, pools: Pools, now_ms: int
) -> int:
    """Return the longest wait for a hold: longer where no other endpoint is left to ask.

    A sound endpoint may be silent for a second or so.
    """
    left_out = state.asked | state.failed | {endpoint.instance}
    others = {e.instance for e in pools.decoders if not pools.blocked(e.instance)} - left_out
    left_ms = int(state.max_wait_at_ms - now_ms)
    return CALL_TIMEOUT_MS if others else max(CALL_TIMEOUT_MS, min(LAST_CALL_TIMEOUT_MS, left_ms))


def _take_granted(state: GenerationState, instance: StartId, pools: Pools, now_ms: int) -> _Result:
    """Take a hold at the granted endpoint, or at another one if it is not usable from this node."""
    granted = next((e for e in pools.decoders if e.instance == instance), None)
    if granted is None:
        state.granted = None
        return _take_next(state, pools, now_ms)
    ttl_ms, timeout_ms = (
        _hold_ttl_ms(state, now_ms),
        _hold_timeout_ms(state, granted, pools, now_ms),
    )
    return TakeHold(granted, state.planned_tokens, 0, ttl_ms, timeout_ms)


def _take_next(state: GenerationState, pools: Pools, now_ms: int) -> _Result:
    """Take a hold at the best decode endpoint not asked in this round; else wait or give up."""
    if now_ms >= state.deadline_at_ms:
        return _GiveUp(_deadline_refusal(state))
    if state.version is not None and not pools.decoders:
        return _GiveUp(_refusal(state, "version-unavailable"))
    for endpoint in pools.decoders:
        if pools.blocked(endpoint.instance):
            continue
        if endpoint.instance not in state.asked | state.failed:
            ttl_ms = _hold_ttl_ms(state, now_ms)
            timeout_ms = _hold_timeout_ms(state, endpoint, pools, now_ms)
            return TakeHold(endpoint, state.tokens, state.headroom_tokens, ttl_ms, timeout_ms)
    if blocks := pools.decoder_blocks:
        refusal = refuse_blocked(blocks)
        if now_ms + refusal.not_before_ms >= state.waits_until_ms:
            return _GiveUp(refusal)
    pause_ms = max(HOLD_POLL_MS, HOLD_POLL_PER_ENDPOINT_MS * len(pools.decoders))
    if state.version is not None and all(e.instance in state.failed for e in pools.decoders):
        pause_ms = max(pause_ms, FAILED_RETRY_MS)
    if now_ms + pause_ms < state.waits_until_ms:
        state.failed.clear()
        return Wait(pause_ms)
    reason = "memory-full" if pools.decoders else "no-endpoint"
    return _GiveUp(Refuse(503, reason, not_run=True))


def _refusal(state: GenerationState, reason: str) -> Refuse:
    return Refuse(502 if state.runs else 503, reason, not_run=state.runs == 0)


def _deadline_refusal(state: GenerationState) -> Refuse:
    return Refuse(504 if state.runs else 503, "deadline", not_run=state.runs == 0)


def _end_prefill(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    """Go on after a prefill, which may have outlasted the hold: memory is reserved again then."""
    assert state.hold is not None
    if now_ms >= state.deadline_at_ms:
        return _GiveUp(_deadline_refusal(state))
    if state.hold.until_ms - now_ms > HOLD_MARGIN_MS:
        return _use_hold(state, pools, budget, now_ms)
    instance, state.hold = state.hold.endpoint.instance, None
    if state.granted == instance:
        return _take_granted(state, instance, pools, now_ms)
    return _take_next(state, pools, now_ms)


def _use_hold(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    if state.handle is not None:
        return _open_stream(state, pools, budget, now_ms)
    return _prefill(state, pools, budget, now_ms)


def _prefill(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    """Send the prompt to a prefill endpoint, if any.

    The decode endpoint prefills by itself where the planner chose it or no prefill endpoint is
    usable.
    """
    assert state.hold is not None
    if state.reader == state.hold.endpoint.instance:
        return _open_stream(state, pools, budget, now_ms)
    left_ms = state.deadline_at_ms - now_ms
    named_first = sorted(pools.prefillers, key=lambda e: e.instance != state.reader)
    for endpoint in named_first:
        if endpoint.instance in state.failed or pools.blocked(endpoint.instance):
            continue
        if state.reads and not budget.withdraw(state.service, now_ms):
            break
        state.reads += 1
        timeout_ms = min(PREFILL_TIMEOUT_MS, left_ms)
        # A request that nothing has run is refused, so that its caller can repeat it sooner.
        return ReadPrompt(endpoint, timeout_ms, left_ms if state.runs else timeout_ms)
    return _open_stream(state, pools, budget, now_ms)


def _open_stream(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> _Result:
    assert state.hold is not None
    decoder = state.hold.endpoint
    if all(decoder.instance != usable.instance for usable in pools.decoders):
        return _redirect(state, pools, now_ms, "endpoint-leaves")
    counted, state.run_counted = state.run_counted, False
    if state.streams and not counted and not budget.withdraw(state.service, now_ms):
        return _GiveUp(_refusal(state, "retry-budget"))
    if not state.streams and state.read_rejected and state.handle is None:
        # The rejected prefill was the request's first arrival, so that this one is a further one.
        budget.charge(state.service, now_ms)
    state.streams += 1
    return OpenStream(decoder)


def _step_answer(
    state: GenerationState, instance: StartId, head: AnswerHead, pools: Pools, now_ms: int
) -> _Result:
    if head.executed is Executed.NO and head.asks_pause:
        state.failed.add(instance)
        return _redirect(state, pools, now_ms, head.reason)
    if head.executed is Executed.NO:
        lost_handle = state.handle if not head.misdirected else None
        state.mark_broken(lost_handle.endpoint.instance if lost_handle else instance)
        return _redirect(state, pools, now_ms, head.reason)
    state.runs += 1
    if head.success and head.signed:
        return _StreamReady(head)
    state.mark_broken(instance)
    signed = head.signed and not promises_not_run(head.status)
    return _retry_run(state, pools, now_ms, _broken_answer(head if signed else None))


def _redirect(state: GenerationState, pools: Pools, now_ms: int, reason: str) -> _Result:
    """The request was not executed: start over, up to `MAX_REDIRECTS` times."""
    state.redirects += 1
    if state.redirects > MAX_REDIRECTS:
        return _GiveUp(_refusal(state, reason))
    return _start_over(state, pools, now_ms)


def _retry_run(
    state: GenerationState,
    pools: Pools,
    now_ms: int,
    fallback: _GiveUp,
    hold: KvHold | None = None,
) -> _Result:
    """Start another run after a failed one where that is allowed, else return `fallback`."""
    # A run that has taken over was allowed while the silent one went on, which is closed since.
    min_left_ms = 0 if state.run_counted else RESUME_MIN_LEFT_MS
    in_time = state.deadline_at_ms - now_ms > min_left_ms
    if state.may_repeat and state.runs < state.max_attempts and in_time:
        return _start_over(state, pools, now_ms, hold)
    return fallback


def _start_over(
    state: GenerationState, pools: Pools, now_ms: int, hold: KvHold | None = None
) -> _Result:
    state.hold = None
    state.handle = None
    state.asked.clear()
    state.granted = state.reader = None
    if hold is not None and hold.until_ms > now_ms:
        return AdoptHold(hold)
    return _ask_planner(state, pools, now_ms)
