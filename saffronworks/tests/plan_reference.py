"""A reference order and rejection of waiters without priorities, to compare plans with."""

import contextlib
from unittest.mock import patch

from saffronworks.forwarding.planning import core, rejections
from saffronworks.forwarding.planning.messages import MemoryRefusal
from saffronworks.forwarding.planning.order import WaiterOrder
from saffronworks.forwarding.planning.plans import Reply
from saffronworks.forwarding.planning.tuning import FIRST_REJECTION_MS, RETRY_SHARE
from saffronworks.forwarding.tuning import RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS

__all__ = ["without_priorities"]


def _rank(waiter, now_ms):
    late = now_ms > waiter.target_deadline_ms
    return late, waiter.patience_deadline_ms if late else waiter.target_deadline_ms


def _sorted_waiters(order, waiters, now_ms):
    return iter(sorted(waiters, key=lambda waiter: _rank(waiter, now_ms)))


def _reject(state, decoders, now_ms):
    pending = [w for w in state.waiters.values() if not w.decided]
    if all(now_ms - waiter.arrived_ms < FIRST_REJECTION_MS for waiter in pending):
        return []
    per_s, usable = rejections.run_ends_per_s(state, now_ms), state.occupancies(decoders, now_ms)
    local_prefillers = state.local_prefillers(usable)
    prefill_at_ms = now_ms + state.prefill.wait_ms(local_prefillers, now_ms)
    replies, ahead = [], 0
    for waiter in _sorted_waiters(state.order, state.waiters.values(), now_ms):
        memory_ms = 0.0 if state.best_fit(waiter.ask, usable) else (ahead + 1) * 1000 / per_s
        if _must_reject(waiter, max(prefill_at_ms, now_ms + memory_ms), now_ms):
            del state.waiters[waiter.ask.request_id]
            after_ms = _retry_after_ms(state, per_s, now_ms)
            rejection = MemoryRefusal(waiter.ask.request_id, after_ms)
            replies.append(Reply(waiter.ask.reply_to, rejection, waiter.priority))
            continue
        ahead += 1
        prefill_at_ms += state.prefill.added_wait_ms(waiter.ask.prompt_tokens, local_prefillers)
    return replies


def _must_reject(waiter, grant_at_ms, now_ms):
    if waiter.decided or now_ms - waiter.arrived_ms < FIRST_REJECTION_MS:
        return False
    waiter.decided = True
    return not waiter.ask.returned and grant_at_ms > waiter.target_deadline_ms


def _retry_after_ms(state, per_s, now_ms):
    earliest_ms = now_ms + RETRY_AFTER_MIN_MS
    last_ms = state.next_retry_ms.get(0, 0.0)
    next_ms = max(earliest_ms, last_ms + 1000 / (RETRY_SHARE * per_s))
    state.next_retry_ms[0] = min(next_ms, now_ms + RETRY_AFTER_MAX_MS)
    return int(state.next_retry_ms[0] - now_ms)


@contextlib.contextmanager
def without_priorities():
    """Patch plans to order and reject waiters without priorities."""
    with (
        patch.object(WaiterOrder, "offers", _sorted_waiters),
        patch.object(core, "reject", _reject),
    ):
        yield
