"""Tells those whose turn is not foreseen in time when to return, and foresees that turn."""

import math
from collections import Counter

from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.plans import PlanState, Reply, Waiter
from saffronworks.forwarding.planning.tuning import (
    DECIDE_AFTER_MS,
    DECIDE_SHARE,
    OVERLOAD_LASTS_MS,
    READ_MS,
    RETURN_SHARE,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
)

__all__ = ["ends_per_s", "refuse"]


def ends_per_s(state: PlanState, now_ms: int) -> float:
    """How many places come free each second, as the present runs end.

    The rate of the latest grants is no forecast: while memory fills at the start of a burst it is
    higher, but no run ends for that.
    """
    run_ms = [READ_MS + run.likely_tokens * state.ms_per_token for run in state.runs.values()]
    if not run_ms:
        return 1.0
    return max(1.0, _endpoints_pace(state, now_ms) * 1000 * len(run_ms) ** 2 / sum(run_ms))


def _endpoints_pace(state: PlanState, now_ms: int) -> float:
    """How much faster than at the service's average speed the runs end where they are."""
    usual_ms = state.ms_per_token
    runs = Counter(run.instance for run in state.runs.values())
    paces = (
        count * (usual_ms / state.speeds.ms_per_token(name, usual_ms, now_ms))
        for name, count in runs.items()
    )
    return sum(paces) / runs.total()


def refuse(state: PlanState, decoders: dict[StartId, str], now_ms: int) -> list[Reply]:
    """Once, when a first refusal must go out: those whose turn is not foreseen in time.

    The forecast counts on what a grant may use: readers, and those decode endpoints that have the
    memory to read by themselves. When it counted on all decode endpoints, 5 in 100 first callers of
    a burst were kept waiting and then late, where an early word would have had them back in time;
    now 1 in 100. Where memory binds, 10 in 100 before and 4 now (`planner_load`).
    Whoever is told to return takes nothing from those behind.
    """
    mixed = state.order.rates.is_mixed(now_ms)
    if not any(_is_pending(waiter, mixed, now_ms) for waiter in state.waiters.values()):
        return []
    per_s, usable = ends_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    own_readers = state.own_readers(usable)
    reading_at_ms = now_ms + state.reading.wait_ms(own_readers, now_ms)
    replies, before = [], Counter[int]()
    for waiter in state.order.forecast(state.waiters.values(), now_ms):
        fits = state.fit(waiter.ask, usable) is not None
        memory_at_ms = now_ms + (0.0 if fits else _wait_ms(state, waiter, before, per_s, now_ms))
        turn_ms = max(reading_at_ms, memory_at_ms)
        if _must_return(waiter, turn_ms, mixed, now_ms):
            del state.waiters[waiter.ask.request_id]
            after_ms = _return_after_ms(state, waiter, turn_ms, per_s, now_ms)
            refusal = MemoryRefusal(waiter.ask.request_id, after_ms)
            replies.append(Reply(waiter.ask.reply_to, refusal, waiter.priority))
            continue
        before[waiter.priority] += 1
        reading_at_ms += state.reading.turn_ms(waiter.ask.prompt_tokens, own_readers)
    return replies


def _is_pending(waiter: Waiter, mixed: bool, now_ms: int) -> bool:
    """Whether it may have to be told now.

    While several priorities are heard, those are asked about at once whose turn may come after
    they have left; they may return, and those who did so before are done.
    """
    return not waiter.decided and (mixed or _is_due(waiter, mixed, now_ms))


def _is_due(waiter: Waiter, mixed: bool, now_ms: int) -> bool:
    """Whether a first refusal must go out, for the caller to return in time."""
    after_ms: float = DECIDE_AFTER_MS
    if mixed and waiter.ask.target_ms > 0:
        after_ms = min(after_ms, DECIDE_SHARE * waiter.ask.target_ms)
    return now_ms - waiter.arrived_ms >= after_ms


def _granted_per_s(state: PlanState, priority: int, per_s: float, now_ms: int) -> float:
    """The places a second that this priority can get: the more urgent ones leave them.

    The bound against starvation leaves it one of so many.
    """
    if not state.order.rates.is_mixed(now_ms):
        return per_s
    most_passes = state.order.rates.most_passes(priority, now_ms)
    return max(per_s - state.order.rates.per_s(priority, now_ms), per_s / (most_passes + 1))


def _wait_ms(
    state: PlanState, waiter: Waiter, before: Counter[int], per_s: float, now_ms: int
) -> float:
    """How long until memory is free for it, when so many waiters of each priority are before it.

    The bound against starvation gives a priority one place of so many, however often others ask.
    Counted on for those before it of all priorities, its places would seem too late for nearly all
    of it, and those that the bound lets in would be rejected as well.

    Once it is late, all who can be in time come before it: it gets nothing while more ask than
    there are places.
    """
    left_per_s = per_s
    if state.order.rates.is_mixed(now_ms):
        left_per_s -= state.order.rates.per_s(waiter.priority, now_ms)
    in_order_ms = 1000 * (before.total() + 1) / left_per_s if left_per_s > 0 else math.inf
    most_passes = state.order.rates.most_passes(waiter.priority, now_ms)
    in_turn_ms = 1000 * (before[waiter.priority] + 1) * (most_passes + 1) / per_s
    wait_ms = min(in_order_ms, max(in_turn_ms, 1000 * (before.total() + 1) / per_s))
    if now_ms + wait_ms <= waiter.in_time_until_ms or not state.order.rates.is_mixed(now_ms):
        return wait_ms
    overloaded = state.order.rates.per_s(math.inf, now_ms) >= per_s
    return wait_ms + OVERLOAD_LASTS_MS if overloaded else wait_ms


def _must_return(waiter: Waiter, turn_ms: float, mixed: bool, now_ms: int) -> bool:
    """Whether a caller's turn comes too late; asked until it is decided.

    One who returned is told at the first look or never: after it has waited, a refusal is worth
    less than a late turn.
    """
    if not _is_pending(waiter, mixed, now_ms):
        return False
    returned = waiter.ask.returned
    leaves_before = mixed and turn_ms > waiter.patient_until_ms
    waiter.decided = returned or leaves_before or _is_due(waiter, mixed, now_ms)
    late = waiter.decided and not returned and turn_ms > waiter.in_time_until_ms
    return leaves_before or late


def _return_after_ms(
    state: PlanState, waiter: Waiter, turn_ms: float, per_s: float, now_ms: int
) -> int:
    """Returns are spread so that they take a part of what the endpoints grant to the priority."""
    priority = waiter.priority
    earliest_ms: float = now_ms + RETRY_AFTER_MIN_MS
    if state.order.rates.is_mixed(now_ms):
        earliest_ms = max(earliest_ms, turn_ms)
    granted_per_s = _granted_per_s(state, priority, per_s, now_ms)
    next_ms = state.next_return_ms.get(priority, 0.0) + 1000 / (RETURN_SHARE * granted_per_s)
    at_ms = min(max(earliest_ms, next_ms), now_ms + RETRY_AFTER_MAX_MS)
    state.next_return_ms[priority] = at_ms
    return int(at_ms - now_ms)
