"""Tells those whose turn is not foreseen in time when to return, and foresees that turn."""

from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.plans import PlanState, Reply
from saffronworks.forwarding.tuning import (
    DECIDE_AFTER_MS,
    RATE_WINDOW_MS,
    READ_MS,
    RETRY_AFTER_LEAST_MS,
    RETRY_AFTER_MOST_MS,
    RETURN_SHARE,
)

__all__ = ["refuse"]


def _grants_per_s(state: PlanState, now_ms: int) -> float:
    """How many places come free: as seen lately, or as the present runs end, if that is more."""
    while state.grants_ms and state.grants_ms[0] <= now_ms - RATE_WINDOW_MS:
        state.grants_ms.popleft()
    seen = len(state.grants_ms) * 1000 / RATE_WINDOW_MS
    run_ms = [READ_MS + run.likely_tokens * state.ms_per_token for run in state.runs.values()]
    foreseen = 1000 * len(run_ms) ** 2 / sum(run_ms) if run_ms else 0.0
    return max(1.0, seen, foreseen)


def refuse(state: PlanState, decoders: dict[str, str], now_ms: int) -> list[Reply]:
    """Once, when a first refusal must go out: those whose turn is not foreseen in time."""
    pending = [w for w in state.waiters.values() if not w.decided]
    if all(now_ms - waiter.arrived_ms < DECIDE_AFTER_MS for waiter in pending):
        return []
    per_s, usable = _grants_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    reading_at_ms = now_ms + state.reading.wait_ms(usable, now_ms)
    replies = []
    for position, waiter in enumerate(state.ranked(now_ms)):
        memory_ms = 0.0 if state.fit(waiter.ask, usable) else (position + 1) * 1000 / per_s
        turn_ms = max(reading_at_ms, now_ms + memory_ms)
        reading_at_ms += state.reading.turn_ms(waiter.ask.prompt_tokens, usable)
        if waiter.decided or now_ms - waiter.arrived_ms < DECIDE_AFTER_MS:
            continue
        waiter.decided = True
        if waiter.ask.returned or turn_ms <= waiter.in_time_until_ms:
            continue
        del state.waiters[waiter.ask.request_id]
        refusal = MemoryRefusal(waiter.ask.request_id, _return_after_ms(state, per_s, now_ms))
        replies.append(Reply(waiter.ask.reply_to, refusal))
    return replies


def _return_after_ms(state: PlanState, per_s: float, now_ms: int) -> int:
    """Returns are spread so that they take a part of what the endpoints grant."""
    earliest_ms = now_ms + RETRY_AFTER_LEAST_MS
    state.next_return_ms = max(earliest_ms, state.next_return_ms + 1000 / (RETURN_SHARE * per_s))
    state.next_return_ms = min(state.next_return_ms, now_ms + RETRY_AFTER_MOST_MS)
    return int(state.next_return_ms - now_ms)
