"""Rejects waiters whose forecast grant is too late, and spreads their retries."""

import math
from collections import Counter

from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.plans import PlanState, Reply, Waiter
from saffronworks.forwarding.planning.tuning import (
    FIRST_REJECTION_MS,
    FIRST_REJECTION_SHARE,
    FIRST_TOKEN_MS,
    OVERLOAD_LASTS_MS,
    RETRY_SHARE,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
)

__all__ = ["run_ends_per_s", "reject"]


def run_ends_per_s(state: PlanState, now_ms: int) -> float:
    """Return the rate at which present runs are expected to end, per second; at least 1.

    The rate of recent grants is no substitute: it is higher while memory fills at the start of a
    burst, but no run ends then.
    """
    run_ms = [
        FIRST_TOKEN_MS + run.likely_tokens * state.ms_per_token for run in state.runs.values()
    ]
    if not run_ms:
        return 1.0
    return max(1.0, _relative_speed(state, now_ms) * 1000 * len(run_ms) ** 2 / sum(run_ms))


def _relative_speed(state: PlanState, now_ms: int) -> float:
    """Return the mean speed of the runs' endpoints, relative to the service's average."""
    average_ms = state.ms_per_token
    runs = Counter(run.instance for run in state.runs.values())
    paces = (
        count * (average_ms / state.speeds.ms_per_token(name, average_ms, now_ms))
        for name, count in runs.items()
    )
    return sum(paces) / runs.total()


def reject(state: PlanState, decoders: dict[StartId, str], now_ms: int) -> list[Reply]:
    """Reject the waiters whose grant is forecast too late, once a rejection is due.

    The forecast assumes only the endpoints that a grant may use: prefillers, and decode endpoints
    with memory for a local prefill. When it assumed all decode endpoints, 5 instead of 1 in 100
    first attempts of a burst waited and were late, although an early rejection would have let their
    callers retry in time; where memory is the bottleneck, 10 instead of 4 in 100 (`planner_load`).
    Rejected waiters do not count in the forecast of others.
    """
    several_priorities = state.order.rates.has_several_priorities(now_ms)
    if not any(
        _is_pending(waiter, several_priorities, now_ms) for waiter in state.waiters.values()
    ):
        return []
    per_s, usable = run_ends_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    local_prefillers = state.local_prefillers(usable)
    prefill_at_ms = now_ms + state.prefill.wait_ms(local_prefillers, now_ms)
    replies, ahead = [], Counter[int]()
    for waiter in state.order.forecast(state.waiters.values(), now_ms):
        candidates = state.candidates(waiter.ask, usable, decoders, now_ms)
        fits = state.best_fit(waiter.ask, candidates) is not None
        memory_at_ms = now_ms + (0.0 if fits else _wait_ms(state, waiter, ahead, per_s, now_ms))
        grant_at_ms = max(prefill_at_ms, memory_at_ms)
        if _must_reject(waiter, grant_at_ms, several_priorities, now_ms):
            del state.waiters[waiter.ask.request_id]
            after_ms = _retry_after_ms(state, waiter, grant_at_ms, per_s, now_ms)
            rejection = MemoryRefusal(waiter.ask.request_id, after_ms)
            replies.append(Reply(waiter.ask.reply_to, rejection, waiter.priority))
            continue
        ahead[waiter.priority] += 1
        prefill_at_ms += state.prefill.added_wait_ms(waiter.ask.prompt_tokens, local_prefillers)
    return replies


def _is_pending(waiter: Waiter, several_priorities: bool, now_ms: int) -> bool:
    """Return whether a waiter may be rejected now.

    With several priorities this holds from the first tick on, since a waiter's turn may come only
    after its caller has left.
    """
    return not waiter.decided and (
        several_priorities or _is_due(waiter, several_priorities, now_ms)
    )


def _is_due(waiter: Waiter, several_priorities: bool, now_ms: int) -> bool:
    """Return whether a first rejection is due, so that the caller can retry in time."""
    after_ms: float = FIRST_REJECTION_MS
    if several_priorities and waiter.ask.target_ms > 0:
        after_ms = min(after_ms, FIRST_REJECTION_SHARE * waiter.ask.target_ms)
    return now_ms - waiter.arrived_ms >= after_ms


def _granted_per_s(state: PlanState, priority: int, per_s: float, now_ms: int) -> float:
    """Return the grants per second that more urgent priorities leave to this one.

    The bound against starvation guarantees it one grant after every `max_passes` others.
    """
    if not state.order.rates.has_several_priorities(now_ms):
        return per_s
    max_passes = state.order.rates.max_passes(priority, now_ms)
    return max(per_s - state.order.rates.per_s(priority, now_ms), per_s / (max_passes + 1))


def _wait_ms(
    state: PlanState, waiter: Waiter, ahead: Counter[int], per_s: float, now_ms: int
) -> float:
    """Return the forecast time until a waiter gets memory.

    `ahead` counts the waiters ahead of it, by priority.

    The bound against starvation grants a priority its turns, however many more urgent requests
    there are. A forecast from the number of all waiters ahead would reject requests that get such
    a turn in time.

    Once a waiter is late, all in-time waiters go first, so it gets nothing while requests arrive
    faster than runs end.
    """
    left_per_s = per_s
    if state.order.rates.has_several_priorities(now_ms):
        left_per_s -= state.order.rates.per_s(waiter.priority, now_ms)
    in_order_ms = 1000 * (ahead.total() + 1) / left_per_s if left_per_s > 0 else math.inf
    max_passes = state.order.rates.max_passes(waiter.priority, now_ms)
    in_turn_ms = 1000 * (ahead[waiter.priority] + 1) * (max_passes + 1) / per_s
    wait_ms = min(in_order_ms, max(in_turn_ms, 1000 * (ahead.total() + 1) / per_s))
    if (
        now_ms + wait_ms <= waiter.target_deadline_ms
        or not state.order.rates.has_several_priorities(now_ms)
    ):
        return wait_ms
    overloaded = state.order.rates.per_s(math.inf, now_ms) >= per_s
    return wait_ms + OVERLOAD_LASTS_MS if overloaded else wait_ms


def _must_reject(waiter: Waiter, grant_at_ms: float, several_priorities: bool, now_ms: int) -> bool:
    """Return whether a waiter's grant is forecast too late, and mark the waiter as decided.

    A retry is rejected at the first check or never: once it has waited, a late grant is worth more
    than a rejection.
    """
    if not _is_pending(waiter, several_priorities, now_ms):
        return False
    returned = waiter.ask.returned
    leaves_before = several_priorities and grant_at_ms > waiter.patience_deadline_ms
    waiter.decided = returned or leaves_before or _is_due(waiter, several_priorities, now_ms)
    late = waiter.decided and not returned and grant_at_ms > waiter.target_deadline_ms
    return leaves_before or late


def _retry_after_ms(
    state: PlanState, waiter: Waiter, grant_at_ms: float, per_s: float, now_ms: int
) -> int:
    """Return the retry delay; retries are spread to take `RETRY_SHARE` of the grants."""
    priority = waiter.priority
    earliest_ms: float = now_ms + RETRY_AFTER_MIN_MS
    if state.order.rates.has_several_priorities(now_ms):
        earliest_ms = max(earliest_ms, grant_at_ms)
    granted_per_s = _granted_per_s(state, priority, per_s, now_ms)
    next_ms = state.next_retry_ms.get(priority, 0.0) + 1000 / (RETRY_SHARE * granted_per_s)
    at_ms = min(max(earliest_ms, next_ms), now_ms + RETRY_AFTER_MAX_MS)
    state.next_retry_ms[priority] = at_ms
    return int(at_ms - now_ms)
