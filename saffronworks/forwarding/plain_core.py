"""Decisions on one plain request: where it goes, when again, what the caller is told.

`step(state, event, ranked, budget, now_ms)` gives the next command. A request that may not run
twice is sent again only after an endpoint said that it did not run it, or when no byte left. To an
endpoint that names a limit it goes only with a permit; without one to the next best, at once.
"""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import (
    ALL_ELIGIBLE,
    Block,
    BlockReason,
    Eligibility,
)
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    Refuse,
    refuse_blocked,
)
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    HEDGE_SHARE,
    MAX_REDIRECTS,
)

__all__ = [
    "Answered",
    "Broken",
    "Command",
    "Event",
    "NotPermitted",
    "Permitted",
    "PlainState",
    "Relay",
    "SendTo",
    "AcquirePermit",
    "promises_not_run",
    "step",
]

_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


def promises_not_run(status: int) -> bool:
    """Whether callers take this status as a promise that the request never ran."""
    return status in _NOT_RUN_STATUSES


@attrs.define
class PlainState:
    """What happened so far. `runs` counts sends that may have been executed.

    `used_up`: the endpoints whose limit left no room for this request.
    `reason`: why an endpoint is sought; `otherwise`: what the caller is told of the last run if
    none is found.
    """

    service: str
    may_repeat: bool
    max_attempts: int
    target_ms: int
    deadline_at_ms: int
    runs: int = 0
    redirects: int = 0
    sends: int = 0
    tried: set[StartId] = attrs.Factory(set)
    used_up: dict[StartId, Block] = attrs.Factory(dict)
    reason: str = ""
    otherwise: "Relay | Refuse | None" = None


@attrs.frozen
class Permitted:
    """The request may be sent to an endpoint that names a limit."""

    instance: StartId


@attrs.frozen
class NotPermitted:
    """The limit of an endpoint is used up; there may be room after `after_ms`."""

    instance: StartId
    after_ms: int


@attrs.frozen
class Answered:
    """An endpoint answered; where a success is to be relayed, its body is at hand."""

    instance: StartId
    head: AnswerHead


@attrs.frozen
class Broken:
    """No whole answer came; `sent` tells whether the endpoint may have seen the request."""

    instance: StartId
    sent: bool
    silent: bool = False


@attrs.frozen
class SendTo:
    """Send to this endpoint and wait so long for its answer."""

    endpoint: ServiceEndpoint
    wait_ms: int


@attrs.frozen
class AcquirePermit:
    """Ask for leave to send to this endpoint, which names a limit."""

    endpoint: ServiceEndpoint


@attrs.frozen
class Relay:
    """Pass the answer on."""


Event = Begin | Permitted | NotPermitted | Answered | Broken
Command = AcquirePermit | SendTo | Relay | Refuse


@attrs.frozen
class _Choice:
    """What the next endpoint is chosen from, and with which limits."""

    ranked: list[ServiceEndpoint]
    eligibility: Eligibility
    budget: RetryBudget
    permitted: StartId | None = None


def step(
    state: PlainState,
    event: Event,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
    barred: Refuse | None = None,
    eligibility: Eligibility = ALL_ELIGIBLE,
) -> Command:
    """The next command; `ranked` lists the usable endpoints, best first.

    `barred`: no endpoint is to get the request any more, and why. `eligibility`: which of them are
    blocked for now.
    """
    permitted = event.instance if isinstance(event, Permitted) else None
    command = _advance(state, event, _Choice(ranked, eligibility, budget, permitted), now_ms)
    if barred is None or not isinstance(command, SendTo | AcquirePermit):
        return command
    if state.runs and barred.not_run:
        return Refuse(502, barred.reason, not_run=False)
    return barred


def _advance(state: PlainState, event: Event, choice: _Choice, now_ms: int) -> Command:
    match event:
        case Begin():
            return _send(state, choice, now_ms, "no-endpoint")
        case Permitted():
            return _send_permitted(state, choice, now_ms)
        case NotPermitted(instance, after_ms):
            state.used_up[instance] = Block(BlockReason.RATE_LIMITED, after_ms)
            return _send_permitted(state, choice, now_ms)
        case Answered(_, head) if head.executed is Executed.NO:
            return _redirect(state, choice, now_ms, head.reason)
        case Answered(_, head):
            state.runs += 1
            if head.success and head.signed:
                return Relay()
            return _after_run(state, head, choice, now_ms)
        case Broken(_, sent=False):
            return _redirect(state, choice, now_ms, "unreachable")
        case Broken(_, silent=silent):
            state.runs += 1
            return _after_run(state, None, choice, now_ms, silent)


def _redirect(state: PlainState, choice: _Choice, now_ms: int, reason: str) -> Command:
    """The last endpoint did not run it: another may."""
    state.redirects += 1
    if state.redirects > MAX_REDIRECTS:
        return _give_up(state, choice, reason)
    return _send(state, choice, now_ms, reason)


def _after_run(
    state: PlainState,
    head: AnswerHead | None,
    choice: _Choice,
    now_ms: int,
    silent: bool = False,
) -> Command:
    """The last endpoint ran it, or may have: only a repeatable request goes on."""
    end = _end_of_run(head, silent)
    final = head is not None and head.signed and head.status < 500
    if not final and state.may_repeat and state.runs < state.max_attempts:
        state.otherwise = end
        again = _send(state, choice, now_ms, "failed")
        if isinstance(again, SendTo | AcquirePermit):
            return again
    return end


def _end_of_run(head: AnswerHead | None, silent: bool) -> Relay | Refuse:
    """What the caller is told of a run that failed, if no other one follows."""
    if head is not None and head.signed and not promises_not_run(head.status):
        return Relay()
    if silent:
        return Refuse(504, "no-answer-in-time", not_run=False)
    return Refuse(502, "broken-answer", not_run=False)


def _send_permitted(state: PlainState, choice: _Choice, now_ms: int) -> Command:
    """It is known whether the request may go to an endpoint that names a limit."""
    command = _send(state, choice, now_ms, state.reason)
    if state.otherwise is not None and isinstance(command, Refuse):
        return state.otherwise
    return command


def _send(state: PlainState, choice: _Choice, now_ms: int, reason: str) -> Command:
    state.reason = reason
    left_ms = state.deadline_at_ms - now_ms
    fresh = _fresh(state, choice)
    if left_ms <= 0 or not fresh:
        return _give_up(state, choice, reason)
    if state.sends and not choice.budget.allows(state.service, now_ms):
        return _give_up(state, choice, f"{reason}:retry-budget")
    endpoint = next((e for e in fresh if e.instance == choice.permitted), fresh[0])
    if endpoint.instance in choice.eligibility.limited and endpoint.instance != choice.permitted:
        return AcquirePermit(endpoint)
    if state.sends:
        choice.budget.withdraw(state.service, now_ms)
    state.sends += 1
    state.otherwise = None
    state.tried.add(endpoint.instance)
    hedges = state.may_repeat and state.runs + 1 < state.max_attempts and len(fresh) > 1
    wait_ms = min(left_ms, int(HEDGE_SHARE * state.target_ms)) if hedges else left_ms
    return SendTo(endpoint, wait_ms)


def _fresh(state: PlainState, choice: _Choice) -> list[ServiceEndpoint]:
    """The endpoints that were not tried and are not blocked."""
    left_out = state.tried | _find_blocks(state, choice).keys()
    return [endpoint for endpoint in choice.ranked if endpoint.instance not in left_out]


def _find_blocks(state: PlainState, choice: _Choice) -> dict[StartId, Block]:
    """Why endpoints may not be sent this request now."""
    blocks = {**choice.eligibility.blocks, **state.used_up}
    permitted = choice.permitted
    # A permit outdoes the limit that it was granted within, and nothing else.
    if permitted in blocks and blocks[permitted].reason is BlockReason.RATE_LIMITED:
        del blocks[permitted]
    return blocks


def _give_up(state: PlainState, choice: _Choice, reason: str) -> Refuse:
    if state.runs:
        return Refuse(502, reason, not_run=False)
    blocks = _find_blocks(state, choice)
    left = [blocks[e.instance] for e in choice.ranked if e.instance in blocks.keys() - state.tried]
    if left and not _fresh(state, choice):
        return refuse_blocked(left)
    return Refuse(503, reason, not_run=True)
