"""State machine of one plain request: choice of an endpoint, retries and the final answer.

`step(state, event, ranked, budget, now_ms)` returns the next command. A request that may not run
twice is sent again only if the endpoint said that it did not execute it, or if no byte was sent.
An endpoint with a rate limit needs a permit; without one the request goes to the next best
endpoint at once.
"""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import (
    ALL_ELIGIBLE,
    Block,
    BlockReason,
    Eligibility,
)
from saffronworks.forwarding.exchange_errors import FaultSite
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
    "AwaitAnswer",
    "Broken",
    "Command",
    "Event",
    "NotPermitted",
    "Overtaken",
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
    """Return True if callers take this status as a promise that the request was not executed."""
    return status in _NOT_RUN_STATUSES


@attrs.define
class PlainState:
    """State of one plain request. `runs` counts sends that may have been executed.

    `rate_limited`: endpoints whose rate limit rejected the request. `reason`: why another endpoint
    is needed. `fallback`: the answer to the last run if no other endpoint is found. `may_answer`:
    when the last send ended, it or an earlier one was late and might still be answered.
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
    rate_limited: dict[StartId, Block] = attrs.Factory(dict)
    reason: str = ""
    fallback: "AwaitAnswer | Relay | Refuse | None" = None
    may_answer: bool = False


@attrs.frozen
class Permitted:
    """A permit to send the request to a rate-limited endpoint was acquired."""

    instance: StartId


@attrs.frozen
class NotPermitted:
    """The rate limit of an endpoint was reached; requests may be accepted after `after_ms`."""

    instance: StartId
    after_ms: int


@attrs.frozen
class Answered:
    """An endpoint answered; the body of a success that is not streamed was received as well.

    `earlier_may_answer`: the exchange of an earlier send, whose answer is late, still goes on.
    """

    instance: StartId
    head: AnswerHead
    earlier_may_answer: bool = False


@attrs.frozen
class Broken:
    """No complete answer arrived. `sent`: the endpoint may have received the request.

    `silent`: the answer timed out. `site` is where it failed. `may_answer`: the answer is late, but
    the exchange goes on; `earlier_may_answer`: the same of an earlier send.
    """

    instance: StartId
    sent: bool
    silent: bool = False
    site: FaultSite = FaultSite.ENDPOINT
    may_answer: bool = False
    earlier_may_answer: bool = False


@attrs.frozen
class Overtaken:
    """An endpoint has not answered yet, but the late answer of an earlier send is whole."""

    instance: StartId


@attrs.frozen
class SendTo:
    """Send the request to an endpoint and wait for its answer for up to `wait_ms`."""

    endpoint: ServiceEndpoint
    wait_ms: int


@attrs.frozen
class AcquirePermit:
    """Acquire a permit to send the request to a rate-limited endpoint."""

    endpoint: ServiceEndpoint


@attrs.frozen
class AwaitAnswer:
    """Go on waiting for a late answer, up to the deadline."""


@attrs.frozen
class Relay:
    """Relay the endpoint's answer to the caller."""


Event = Begin | Permitted | NotPermitted | Answered | Broken | Overtaken
Command = AcquirePermit | AwaitAnswer | SendTo | Relay | Refuse


@attrs.frozen
class _Choice:
    """The input to the choice of the next endpoint; a permit is held for `permitted`."""

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
    denial: Refuse | None = None,
    eligibility: Eligibility = ALL_ELIGIBLE,
) -> Command:
    """Return the next command; `ranked` lists the usable endpoints, best first.

    A `denial` forbids any further send and is returned instead; a late answer of a send that was
    allowed is still awaited. `eligibility` has the endpoints that are blocked for now.
    """
    if denial is not None and isinstance(event, Broken) and event.may_answer:
        return AwaitAnswer()
    match event:
        case Answered():
            state.may_answer = event.earlier_may_answer
        case Broken():
            state.may_answer = (event.sent and event.may_answer) or event.earlier_may_answer
        case Permitted() | NotPermitted() if denial is not None and state.may_answer:
            state.runs -= 1
            return AwaitAnswer()
    permitted = event.instance if isinstance(event, Permitted) else None
    budget = budget if denial is None else budget.uncounted()
    command = _advance(state, event, _Choice(ranked, eligibility, budget, permitted), now_ms)
    sends = isinstance(command, SendTo | AcquirePermit)
    fails = isinstance(command, Refuse) or (denial is not None and sends)
    if fails and state.may_answer:
        command = AwaitAnswer()
    if isinstance(command, AwaitAnswer):
        # The run that is awaited is counted again at its end.
        state.runs -= 1
    if denial is None or not isinstance(command, SendTo | AcquirePermit):
        return command
    if state.runs and denial.not_run:
        return Refuse(502, denial.reason, not_run=False)
    return denial


def _advance(state: PlainState, event: Event, choice: _Choice, now_ms: int) -> Command:
    match event:
        case Begin():
            return _send(state, choice, now_ms, "no-endpoint")
        case Permitted():
            return _send_permitted(state, choice, now_ms)
        case NotPermitted(instance, after_ms):
            state.rate_limited[instance] = Block(BlockReason.RATE_LIMITED, after_ms)
            return _send_permitted(state, choice, now_ms)
        case Answered(_, head) if head.executed is Executed.NO:
            return _redirect(state, choice, now_ms, head.reason)
        case Answered(_, head):
            state.runs += 1
            if head.success and head.signed:
                return Relay()
            return _retry_run(state, head, choice, now_ms, _final_answer(head, silent=False))
        case Overtaken():
            # The endpoint may have run the request.
            state.runs += 1
            return AwaitAnswer()
        case Broken():
            return _handle_break(state, event, choice, now_ms)


def _handle_break(state: PlainState, broken: Broken, choice: _Choice, now_ms: int) -> Command:
    if broken.site is FaultSite.PATH:
        # The endpoint may be reached through another node.
        state.tried.discard(broken.instance)
    if not broken.sent:
        return _redirect(state, choice, now_ms, "unreachable")
    state.runs += 1
    end = AwaitAnswer() if broken.may_answer else _final_answer(None, broken.silent)
    return _retry_run(state, None, choice, now_ms, end)


def _redirect(state: PlainState, choice: _Choice, now_ms: int, reason: str) -> Command:
    """Send the request to another endpoint, as the last one did not execute it."""
    state.redirects += 1
    if state.redirects > MAX_REDIRECTS:
        return _give_up(state, choice, reason)
    return _send(state, choice, now_ms, reason)


def _retry_run(
    state: PlainState,
    head: AnswerHead | None,
    choice: _Choice,
    now_ms: int,
    end: AwaitAnswer | Relay | Refuse,
) -> Command:
    """Retry a request that was or may have been executed; return `end` if that is not possible."""
    final = head is not None and head.signed and head.status < 500
    if not final and state.may_repeat and state.runs < state.max_attempts:
        state.fallback = end
        again = _send(state, choice, now_ms, "failed")
        if isinstance(again, SendTo | AcquirePermit):
            return again
    return end


def _final_answer(head: AnswerHead | None, silent: bool) -> Relay | Refuse:
    """Return the command that answers the caller after a failed run that is not retried."""
    if head is not None and head.signed and not promises_not_run(head.status):
        return Relay()
    if silent:
        return Refuse(504, "no-answer-in-time", not_run=False)
    return Refuse(502, "broken-answer", not_run=False)


def _send_permitted(state: PlainState, choice: _Choice, now_ms: int) -> Command:
    """Send after a permit was acquired or denied; return the fallback if no endpoint is left."""
    command = _send(state, choice, now_ms, state.reason)
    if state.fallback is not None and isinstance(command, Refuse):
        return state.fallback
    return command


def _send(state: PlainState, choice: _Choice, now_ms: int, reason: str) -> Command:
    state.reason = reason
    left_ms = state.deadline_at_ms - now_ms
    untried = _untried(state, choice)
    if left_ms <= 0 or not untried:
        return _give_up(state, choice, reason)
    if state.sends and not choice.budget.allows(state.service, now_ms):
        return _give_up(state, choice, f"{reason}:retry-budget")
    endpoint = next((e for e in untried if e.instance == choice.permitted), untried[0])
    if endpoint.instance in choice.eligibility.limited and endpoint.instance != choice.permitted:
        return AcquirePermit(endpoint)
    if state.sends:
        choice.budget.withdraw(state.service, now_ms)
    state.sends += 1
    state.fallback = None
    state.tried.add(endpoint.instance)
    hedges = state.may_repeat and state.runs + 1 < state.max_attempts and len(untried) > 1
    wait_ms = min(left_ms, int(HEDGE_SHARE * state.target_ms)) if hedges else left_ms
    return SendTo(endpoint, wait_ms)


def _untried(state: PlainState, choice: _Choice) -> list[ServiceEndpoint]:
    """Return the endpoints that were not tried and are not blocked."""
    left_out = state.tried | _find_blocks(state, choice).keys()
    return [endpoint for endpoint in choice.ranked if endpoint.instance not in left_out]


def _find_blocks(state: PlainState, choice: _Choice) -> dict[StartId, Block]:
    """Return the endpoints that may not receive this request now, with the reasons."""
    blocks = {**choice.eligibility.blocks, **state.rate_limited}
    permitted = choice.permitted
    # A permit lifts the rate limit that it was granted under, and no other block.
    if permitted in blocks and blocks[permitted].reason is BlockReason.RATE_LIMITED:
        del blocks[permitted]
    return blocks


def _give_up(state: PlainState, choice: _Choice, reason: str) -> Refuse:
    if state.runs:
        return Refuse(502, reason, not_run=False)
    blocks = _find_blocks(state, choice)
    left = [blocks[e.instance] for e in choice.ranked if e.instance in blocks.keys() - state.tried]
    if left and not _untried(state, choice):
        return refuse_blocked(left)
    return Refuse(503, reason, not_run=True)
