"""Decisions on one generation: reserve memory, read the prompt, stream, go on after a break.

A decode endpoint's memory is reserved first, so that no prompt is read whose result finds no
room. `step(state, event, pools, budget, now_ms)` gives the next command.
"""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.generation_events import (
    AskHold,
    AskPlanner,
    Command,
    Cut,
    Event,
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
    RelayStream,
    StreamAnswered,
    StreamBroken,
    Wait,
    Waited,
)
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    KvHandle,
    KvHold,
    PromptSize,
    Refuse,
)
from saffronworks.forwarding.plain_core import promises_not_run
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.tuning import (
    GIVE_UP_LEAST_MS,
    HINT_RESERVE,
    HOLD_MS,
    HOLD_POLL_MS,
    IN_TIME_MS,
    MOST_PLANS,
    MOST_REDIRECTS,
    PATIENCE_SHARE,
    PLANNED_RESERVE,
    PREFILL_TIMEOUT_MS,
    RESUME_LEAST_LEFT_MS,
    RETURNED_PATIENCE_SHARE,
)

__all__ = ["GenerationState", "Pools", "planned_tokens", "reserve_tokens", "step"]


def planned_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Memory to reserve where the plan provides for the growth."""
    return min(prompt.prompt_tokens + int(PLANNED_RESERVE * prompt.likely_tokens), capacity_tokens)


def reserve_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Memory to reserve: the prompt and a likely length of the answer, the most at most."""
    answer = min(prompt.most_answer_tokens, int(HINT_RESERVE * prompt.likely_tokens))
    return min(prompt.prompt_tokens + answer, capacity_tokens)


@attrs.frozen
class Pools:
    """The usable endpoints of both roles, best first."""

    decoders: list[ServiceEndpoint]
    prefillers: list[ServiceEndpoint]


@attrs.define
class GenerationState:
    """What happened so far. `runs` counts streams that may have been executed.

    `headroom_tokens` must be free beside the reservation; callers leave when `gives_up_ms` after
    their arrival no event has come. `planned_tokens` are reserved where the planner of the
    service's memory granted a place; `plans_left` is how often it may still be asked. Endpoints in
    `failed` are not used again for this request; those in `broken` did more than refuse it, which
    the planner is to hear once.
    """

    service: str
    tokens: int
    may_repeat: bool
    max_attempts: int
    target_ms: int
    arrived_ms: int
    deadline_at_ms: int
    hold_most_ms: int
    headroom_tokens: int = 0
    gives_up_ms: int = GIVE_UP_LEAST_MS
    returned: bool = False
    runs: int = 0
    redirects: int = 0
    reads: int = 0
    streams: int = 0
    answering: bool = False
    planned_tokens: int = 0
    plans_left: int = MOST_PLANS
    granted: str | None = None
    reader: str | None = None
    hold: KvHold | None = None
    handle: KvHandle | None = None
    asked: set[str] = attrs.Factory(set)
    failed: set[str] = attrs.Factory(set)
    broken: set[str] = attrs.Factory(set)

    def note_broken(self, instance: str) -> None:
        """An endpoint gave no answer, or a wrong one."""
        self.failed.add(instance)
        self.broken.add(instance)

    def take_broken(self) -> tuple[str, ...]:
        """What the planner has not heard yet."""
        broken = tuple(sorted(self.broken))
        self.broken.clear()
        return broken

    @property
    def gives_up_at_ms(self) -> float:
        """When waiting for memory has no more use, as the caller is about to leave."""
        if self.answering:
            return self.deadline_at_ms - RESUME_LEAST_LEFT_MS
        gives_up_ms = min(self.gives_up_ms, self.deadline_at_ms - self.arrived_ms)
        return self.arrived_ms + RETURNED_PATIENCE_SHARE * gives_up_ms

    @property
    def patience_until_ms(self) -> float:
        """Until when a request that finds no memory waits for it."""
        if self.answering or self.returned:
            return self.gives_up_at_ms
        return self.arrived_ms + PATIENCE_SHARE * self.target_ms


def step(
    state: GenerationState, event: Event, pools: Pools, budget: RetryBudget, now_ms: int
) -> Command:
    """The next command."""
    match event:
        case StreamAnswered() | StreamBroken() | RelayBroken():
            return _step_stream(state, event, pools, now_ms)
        case HoldTaken(hold):
            state.hold = hold
            return _read(state, pools, budget, now_ms)
        case PromptRead(handle):
            state.handle = handle
            return _stream(state, pools, budget, now_ms)
        case ReadFailed(instance, broken):
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
) -> Command:
    """On the way to a place in a decode endpoint's memory."""
    match event:
        case Begin():
            return _plan(state, pools, now_ms)
        case PlanGranted(instance, reader):
            state.granted, state.reader = instance, reader
            return _take_place(state, instance, pools, now_ms)
        case PlanRefused(retry_after_ms):
            return _end(state, Refuse(503, "memory-full", True, retry_after_ms or None))
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
    event: StreamAnswered | StreamBroken | RelayBroken,
    pools: Pools,
    now_ms: int,
) -> Command:
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
            return _go_on(state, pools, now_ms, late if silent else _broken())
        case RelayBroken(instance, known):
            state.note_broken(instance)
            state.answering = True
            if not known:
                return Cut("break-inside-first-event")
            return _go_on(state, pools, now_ms, _broken())


def _broken() -> Refuse:
    return Refuse(502, "broken-answer", not_run=False)


def _plan(state: GenerationState, pools: Pools, now_ms: int) -> Command:
    """Ask the planner, a few times at most; then the endpoints themselves."""
    patience_ms = int(state.gives_up_at_ms - now_ms)
    if not state.plans_left or patience_ms <= 0 or not pools.decoders:
        return _ask(state, pools, now_ms)
    state.plans_left -= 1
    in_time_ms = state.arrived_ms + state.target_ms - IN_TIME_MS - now_ms
    avoid = tuple(sorted(state.asked | state.failed))
    return AskPlanner(in_time_ms, patience_ms, avoid, state.take_broken())


def _hold_ms(state: GenerationState, now_ms: int) -> int:
    """How long a reservation is asked for; the deadline may be a moment past already."""
    return min(HOLD_MS, state.hold_most_ms, max(1, state.deadline_at_ms - now_ms))


def _take_place(state: GenerationState, instance: str, pools: Pools, now_ms: int) -> Command:
    """Reserve where the planner said; elsewhere if that endpoint is not usable here."""
    place = next((e for e in pools.decoders if e.instance == instance), None)
    if place is None:
        state.granted = None
        return _ask(state, pools, now_ms)
    return AskHold(place, state.planned_tokens, 0, _hold_ms(state, now_ms))


def _ask(state: GenerationState, pools: Pools, now_ms: int) -> Command:
    """The best decode endpoint not yet asked in this round."""
    if now_ms >= state.deadline_at_ms:
        return _end(state, _late(state))
    for endpoint in pools.decoders:
        if endpoint.instance not in state.asked | state.failed:
            ttl_ms = _hold_ms(state, now_ms)
            return AskHold(endpoint, state.tokens, state.headroom_tokens, ttl_ms)
    if now_ms + HOLD_POLL_MS < state.patience_until_ms:
        state.failed.clear()
        return Wait(HOLD_POLL_MS)
    reason = "memory-full" if pools.decoders else "no-endpoint"
    return _end(state, Refuse(503, reason, not_run=True))


def _late(state: GenerationState) -> Refuse:
    return Refuse(504 if state.runs else 503, "deadline", not_run=state.runs == 0)


def _read(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> Command:
    """A prefill endpoint for the prompt, unless the decode endpoint reads it by itself.

    It does where the planner said so, and where there is no other.
    """
    assert state.hold is not None
    if state.reader == state.hold.endpoint.instance:
        return _stream(state, pools, budget, now_ms)
    left_ms = min(state.hold.until_ms, state.deadline_at_ms) - now_ms
    named_first = sorted(pools.prefillers, key=lambda e: e.instance != state.reader)
    for endpoint in named_first:
        if endpoint.instance in state.failed or left_ms <= 0:
            continue
        if state.reads and not budget.withdraw(state.service, now_ms):
            break
        state.reads += 1
        return ReadPrompt(endpoint, min(PREFILL_TIMEOUT_MS, left_ms))
    return _stream(state, pools, budget, now_ms)


def _stream(state: GenerationState, pools: Pools, budget: RetryBudget, now_ms: int) -> Command:
    assert state.hold is not None
    decoder = state.hold.endpoint
    if all(decoder.instance != usable.instance for usable in pools.decoders):
        return _redirect(state, pools, now_ms, "endpoint-leaves")
    if state.streams and not budget.withdraw(state.service, now_ms):
        return _end(state, Refuse(502 if state.runs else 503, "retry-budget", state.runs == 0))
    state.streams += 1
    return OpenStream(decoder)


def _take_answer(
    state: GenerationState, instance: str, head: AnswerHead, pools: Pools, now_ms: int
) -> Command:
    if head.executed is Executed.NO:
        lost_handle = state.handle if not head.misdirected else None
        state.note_broken(lost_handle.endpoint.instance if lost_handle else instance)
        return _redirect(state, pools, now_ms, head.reason)
    state.runs += 1
    if head.success and head.signed:
        return RelayStream()
    state.note_broken(instance)
    signed = head.signed and not promises_not_run(head.status)
    return _go_on(state, pools, now_ms, RelayStream() if signed else _broken())


def _redirect(state: GenerationState, pools: Pools, now_ms: int, reason: str) -> Command:
    """No endpoint runs it: start over, a few times, while it is worth it."""
    state.redirects += 1
    if state.redirects > MOST_REDIRECTS:
        return _end(state, Refuse(502 if state.runs else 503, reason, state.runs == 0))
    return _start_over(state, pools, now_ms)


def _go_on(
    state: GenerationState, pools: Pools, now_ms: int, otherwise: Refuse | RelayStream
) -> Command:
    """After a run that failed: another run where that is allowed, else `otherwise`."""
    left_ms = state.deadline_at_ms - now_ms
    if state.may_repeat and state.runs < state.max_attempts and left_ms > RESUME_LEAST_LEFT_MS:
        return _start_over(state, pools, now_ms)
    return _end(state, otherwise)


def _start_over(state: GenerationState, pools: Pools, now_ms: int) -> Command:
    state.hold = None
    state.handle = None
    state.asked.clear()
    state.granted = state.reader = None
    return _plan(state, pools, now_ms)


def _end(state: GenerationState, otherwise: Refuse | RelayStream) -> Command:
    """The last word to the caller: once the answer has begun, only a cut is truthful."""
    if state.answering and isinstance(otherwise, Refuse):
        return Cut(otherwise.reason)
    if isinstance(otherwise, Refuse) and state.runs and otherwise.not_run:
        return Refuse(502, otherwise.reason, not_run=False)
    return otherwise
