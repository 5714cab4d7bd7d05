"""Decisions on one plain request: where it goes, when again, what the caller is told.

`step(state, event, ranked, budget, now_ms)` gives the next command. A request that may not run
twice is sent again only after an endpoint said that it did not run it, or when no byte left.
"""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    Refuse,
)
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    HEDGE_SHARE,
    MOST_REDIRECTS,
)

__all__ = [
    "Answered",
    "Broken",
    "Command",
    "Event",
    "PlainState",
    "Relay",
    "SendTo",
    "promises_not_run",
    "step",
]

_NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


def promises_not_run(status: int) -> bool:
    """Whether callers take this status as a promise that the request never ran."""
    return status in _NOT_RUN_STATUSES


@attrs.define
class PlainState:
    """What happened so far. `runs` counts sends that may have been executed."""

    service: str
    may_repeat: bool
    max_attempts: int
    target_ms: int
    deadline_at_ms: int
    runs: int = 0
    redirects: int = 0
    sends: int = 0
    tried: set[StartId] = attrs.Factory(set)


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
class Relay:
    """Pass the answer on."""


Event = Begin | Answered | Broken
Command = SendTo | Relay | Refuse


def step(
    state: PlainState,
    event: Event,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
    barred: Refuse | None = None,
) -> Command:
    """The next command; `ranked` lists the usable endpoints, best first.

    `barred`: no endpoint is to get the request any more, and why.
    """
    command = _advance(state, event, ranked, budget, now_ms)
    return barred if barred is not None and isinstance(command, SendTo) else command


def _advance(
    state: PlainState,
    event: Event,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
) -> Command:
    match event:
        case Begin():
            return _send(state, ranked, budget, now_ms, "no-endpoint")
        case Answered(_, head) if head.executed is Executed.NO:
            return _redirect(state, ranked, budget, now_ms, head.reason)
        case Answered(_, head):
            state.runs += 1
            if head.success and head.signed:
                return Relay()
            return _after_run(state, head, ranked, budget, now_ms)
        case Broken(_, sent=False):
            return _redirect(state, ranked, budget, now_ms, "unreachable")
        case Broken(_, silent=silent):
            state.runs += 1
            return _after_run(state, None, ranked, budget, now_ms, silent)


def _redirect(
    state: PlainState,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
    reason: str,
) -> Command:
    """The last endpoint did not run it: another may."""
    state.redirects += 1
    if state.redirects > MOST_REDIRECTS:
        return _give_up(state, reason)
    return _send(state, ranked, budget, now_ms, reason)


def _after_run(
    state: PlainState,
    head: AnswerHead | None,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
    silent: bool = False,
) -> Command:
    """The last endpoint ran it, or may have: only a repeatable request goes on."""
    final = head is not None and head.signed and head.status < 500
    if not final and state.may_repeat and state.runs < state.max_attempts:
        again = _send(state, ranked, budget, now_ms, "failed")
        if isinstance(again, SendTo):
            return again
    if head is not None and head.signed and not promises_not_run(head.status):
        return Relay()
    if silent:
        return Refuse(504, "no-answer-in-time", not_run=False)
    return Refuse(502, "broken-answer", not_run=False)


def _send(
    state: PlainState,
    ranked: list[ServiceEndpoint],
    budget: RetryBudget,
    now_ms: int,
    reason: str,
) -> Command:
    left_ms = state.deadline_at_ms - now_ms
    fresh = [endpoint for endpoint in ranked if endpoint.instance not in state.tried]
    if left_ms <= 0 or not fresh:
        return _give_up(state, reason)
    if state.sends and not budget.withdraw(state.service, now_ms):
        return _give_up(state, f"{reason}:retry-budget")
    state.sends += 1
    state.tried.add(fresh[0].instance)
    hedges = state.may_repeat and state.runs + 1 < state.max_attempts and len(fresh) > 1
    wait_ms = min(left_ms, int(HEDGE_SHARE * state.target_ms)) if hedges else left_ms
    return SendTo(fresh[0], wait_ms)


def _give_up(state: PlainState, reason: str) -> Command:
    if state.runs:
        return Refuse(502, reason, not_run=False)
    return Refuse(503, reason, not_run=True)
