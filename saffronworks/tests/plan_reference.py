"""The order and the refusals of plans without priorities, kept to compare plans of one priority."""

import contextlib
from unittest.mock import patch

from saffronworks.forwarding.planning import core, refusals
from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.order import WaiterOrder
from saffronworks.forwarding.planning.plans import Reply
from saffronworks.forwarding.planning.tuning import DECIDE_AFTER_MS, RETURN_SHARE
from saffronworks.forwarding.tuning import RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS

__all__ = ["without_priorities"]


def _rank(waiter, now_ms):
    late = now_ms > waiter.in_time_until_ms
    return late, waiter.patient_until_ms if late else waiter.in_time_until_ms


def _ranked(order, waiters, now_ms):
    return iter(sorted(waiters, key=lambda waiter: _rank(waiter, now_ms)))


def _refuse(state, decoders, now_ms):
    pending = [w for w in state.waiters.values() if not w.decided]
    if all(now_ms - waiter.arrived_ms < DECIDE_AFTER_MS for waiter in pending):
        return []
    per_s, usable = refusals.ends_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    own_readers = state.own_readers(usable)
    reading_at_ms = now_ms + state.reading.wait_ms(own_readers, now_ms)
    replies, before = [], 0
    for waiter in _ranked(state.order, state.waiters.values(), now_ms):
        memory_ms = 0.0 if state.fit(waiter.ask, usable) else (before + 1) * 1000 / per_s
        if _must_return(waiter, max(reading_at_ms, now_ms + memory_ms), now_ms):
            del state.waiters[waiter.ask.request_id]
            after_ms = _return_after_ms(state, per_s, now_ms)
            refusal = MemoryRefusal(waiter.ask.request_id, after_ms)
            replies.append(Reply(waiter.ask.reply_to, refusal, waiter.priority))
            continue
        before += 1
        reading_at_ms += state.reading.turn_ms(waiter.ask.prompt_tokens, own_readers)
    return replies


def _must_return(waiter, turn_ms, now_ms):
    if waiter.decided or now_ms - waiter.arrived_ms < DECIDE_AFTER_MS:
        return False
    waiter.decided = True
    return not waiter.ask.returned and turn_ms > waiter.in_time_until_ms


def _return_after_ms(state, per_s, now_ms):
    earliest_ms = now_ms + RETRY_AFTER_MIN_MS
    last_ms = state.next_return_ms.get(0, 0.0)
    next_ms = max(earliest_ms, last_ms + 1000 / (RETURN_SHARE * per_s))
    state.next_return_ms[0] = min(next_ms, now_ms + RETRY_AFTER_MAX_MS)
    return int(state.next_return_ms[0] - now_ms)


@contextlib.contextmanager
def without_priorities():
    """Within it, plans order and refuse as they did before they knew priorities."""
    with patch.object(WaiterOrder, "offers", _ranked), patch.object(core, "refuse", _refuse):
        yield
