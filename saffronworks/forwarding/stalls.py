"""Decides whether another run takes over from an endpoint that is silent in a stream."""

from saffronworks.forwarding.generation_events import TakeHold
from saffronworks.forwarding.generation_state import GenerationState, Pools
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import CALL_TIMEOUT_MS, HOLD_TTL_MS, RESUME_MIN_LEFT_MS

__all__ = ["replacement_holds", "take_over"]


def replacement_holds(
    state: GenerationState,
    silent: StartId | None,
    process: ProcessState | None,
    pools: Pools,
    budget: RetryBudget,
    now_ms: int,
) -> tuple[TakeHold, ...]:
    """Return the holds to try for a run that may replace the silent one, best first.

    `silent` is the endpoint of that run, None if the path to it may be the cause. `process` is its
    state, None if not known yet. There are none if no other run is allowed.
    """
    left_ms = state.deadline_at_ms - now_ms
    if not _ends_when_closed(process):
        return ()
    if left_ms <= RESUME_MIN_LEFT_MS or not budget.allows(state.service, now_ms):
        return ()
    ttl_ms = min(HOLD_TTL_MS, state.hold_most_ms, left_ms)
    return tuple(
        TakeHold(endpoint, state.tokens, state.headroom_tokens, ttl_ms, CALL_TIMEOUT_MS)
        for endpoint in pools.of_version(state.version).decoders
        if endpoint.instance != silent and not pools.blocked(endpoint.instance)
    )


def _ends_when_closed(process: ProcessState | None) -> bool:
    """Return whether a silent run does not go on for long once its exchange is closed."""
    return process in (ProcessState.RUNS, ProcessState.UNREACHABLE)


def take_over(
    state: GenerationState, process: ProcessState | None, budget: RetryBudget, now_ms: int
) -> bool:
    """Return whether a run with a hold may replace the silent one, and count it as a retry."""
    left_ms = state.deadline_at_ms - now_ms
    if not _ends_when_closed(process):
        return False
    if left_ms <= RESUME_MIN_LEFT_MS or not budget.withdraw(state.service, now_ms):
        return False
    state.run_counted = True
    return True
