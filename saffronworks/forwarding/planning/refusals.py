"""Tells those whose turn is not foreseen in time when to return, and foresees that turn."""

from collections import Counter

from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.plans import PlanState, Reply, Waiter
from saffronworks.forwarding.planning.tuning import (
    DECIDE_AFTER_MS,
    READ_MS,
    RETURN_SHARE,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_LEAST_MS,
    RETRY_AFTER_MOST_MS,
)

__all__ = ["refuse"]


def _ends_per_s(state: PlanState, now_ms: int) -> float:
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
    pending = [w for w in state.waiters.values() if not w.decided]
    if all(now_ms - waiter.arrived_ms < DECIDE_AFTER_MS for waiter in pending):
        return []
    per_s, usable = _ends_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    own_readers = state.own_readers(usable)
    reading_at_ms = now_ms + state.reading.wait_ms(own_readers, now_ms)
    replies, before = [], 0
    for waiter in state.order.forecast(state.waiters.values(), now_ms):
        memory_ms = 0.0 if state.fit(waiter.ask, usable) else (before + 1) * 1000 / per_s
        if _must_return(waiter, max(reading_at_ms, now_ms + memory_ms), now_ms):
            del state.waiters[waiter.ask.request_id]
            after_ms = _return_after_ms(state, per_s, now_ms)
            refusal = MemoryRefusal(waiter.ask.request_id, after_ms)
            replies.append(Reply(waiter.ask.reply_to, refusal))
            continue
        before += 1
        reading_at_ms += state.reading.turn_ms(waiter.ask.prompt_tokens, own_readers)
    return replies


def _must_return(waiter: Waiter, turn_ms: float, now_ms: int) -> bool:
    """Whether a first caller's turn comes too late; asked once, when it must be told."""
    if waiter.decided or now_ms - waiter.arrived_ms < DECIDE_AFTER_MS:
        return False
    waiter.decided = True
    return not waiter.ask.returned and turn_ms > waiter.in_time_until_ms


def _return_after_ms(state: PlanState, per_s: float, now_ms: int) -> int:
    """Returns are spread so that they take a part of what the endpoints grant."""
    earliest_ms = now_ms + RETRY_AFTER_LEAST_MS
    state.next_return_ms = max(earliest_ms, state.next_return_ms + 1000 / (RETURN_SHARE * per_s))
    state.next_return_ms = min(state.next_return_ms, now_ms + RETRY_AFTER_MOST_MS)
    return int(state.next_return_ms - now_ms)
