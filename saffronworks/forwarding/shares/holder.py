"""Admits requests within one node's shares: `step(state, event, limit, now_ms)` answers asks.

The limit of a subject is divided equally among three holders, chosen by hash. Each admits within
its own share without messages to the others, so that partitioned nodes together never admit more
than the limit. A holder's state isn't persisted. One that has just started assumes that its share
was used up, except for a part of the tolerance.
"""

import attrs

from saffronworks.forwarding.shares.buckets import LeakyBucket
from saffronworks.forwarding.shares.events import Answer, Ask, ChargeAgain, Refund
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.forwarding.shares.tuning import (
    BUCKET_EXPIRY_INTERVAL_MS,
    EARLY_SHARE,
    MAX_RETRY_AFTER_MS,
    NEW_HOLDER_SHARE,
    RECOVERED_SHARE,
)

__all__ = ["Event", "HolderState", "ShareChanged", "step"]


@attrs.frozen
class ShareChanged:
    """A subject has used up its share at this holder, or is well within it again."""

    subject: str
    exceeded: bool
    level: float
    share: Limit


Event = Ask | ChargeAgain | Refund


@attrs.define
class HolderState:
    """Leaky buckets by subject; `since_ms`: when this node began to count all requests.

    `stagger_retries`: each refused caller gets a later retry time than the one before.
    """

    tolerance: Tolerance
    since_ms: int
    stagger_retries: bool = True
    buckets: dict[str, LeakyBucket] = attrs.Factory(dict)
    _expired_ms: int = 0

    def on_nodes_changed(self, now_ms: int) -> None:
        """Start counting anew after nodes changed, as shares may have moved to this node."""
        self.since_ms = now_ms

    def bucket(self, event: Event, share: Limit, now_ms: int) -> LeakyBucket:
        """Return the bucket of a subject, drained up to now; create it if it is missing."""
        self._expire_idle(now_ms)
        name = event.subject
        if name not in self.buckets:
            first_level = self._first_level(share, event.holders, now_ms)
            self.buckets[name] = LeakyBucket(first_level, share.per_s, now_ms)
        bucket = self.buckets[name]
        bucket.drain(now_ms)
        bucket.per_s = share.per_s
        return bucket

    def capacity(self, share: Limit, holders: int) -> float:
        """Return the level up to which the bucket of a subject may be filled."""
        return share.burst + EARLY_SHARE * self.tolerance.share(holders).spare(share)

    def _first_level(self, share: Limit, holders: int, now_ms: int) -> float:
        if now_ms - self.since_ms >= self.tolerance.window_ms:
            return 0.0
        spare = self.tolerance.share(holders).spare(share)
        return max(0.0, self.capacity(share, holders) - NEW_HOLDER_SHARE * spare)

    def _expire_idle(self, now_ms: int) -> None:
        if now_ms - self._expired_ms < BUCKET_EXPIRY_INTERVAL_MS:
            return
        self._expired_ms = now_ms
        for name, bucket in list(self.buckets.items()):
            bucket.drain(now_ms)
            if bucket.idle:
                del self.buckets[name]


def step(
    state: HolderState, event: Event, limit: Limit, now_ms: int
) -> list[Answer | ShareChanged]:
    """Apply an event; return the answer to an ask, and a change of the share if there is one.

    `limit` is the subject's whole limit.
    """
    share = limit.share(event.holders)
    bucket = state.bucket(event, share, now_ms)
    match event:
        case Ask():
            return _answer(state, bucket, event, share, now_ms)
        case ChargeAgain():
            if bucket.may_ever_fit(event.cost, state.capacity(share, event.holders)):
                bucket.count(event.ask_id, event.cost, now_ms)
        case Refund():
            bucket.refund(event.ask_id)
    return []


def _answer(
    state: HolderState, bucket: LeakyBucket, ask: Ask, share: Limit, now_ms: int
) -> list[Answer | ShareChanged]:
    capacity = state.capacity(share, ask.holders)
    admitted = bucket.has_counted(ask.ask_id) or bucket.fits(ask.cost, capacity)
    after_ms = 0
    if admitted:
        bucket.count(ask.ask_id, ask.cost, now_ms)
    elif not bucket.may_ever_fit(ask.cost, capacity):
        after_ms = MAX_RETRY_AFTER_MS
    else:
        after_ms = bucket.room_after_ms(ask.cost, capacity)
        if state.stagger_retries:
            after_ms = bucket.next_return_ms(ask.cost, after_ms, now_ms)
    answer = Answer(ask.ask_id, admitted, after_ms)
    within = admitted and bucket.level <= RECOVERED_SHARE * capacity
    changes = within if bucket.exceeded else not admitted
    if not changes:
        return [answer]
    bucket.exceeded = not bucket.exceeded
    return [answer, ShareChanged(ask.subject, bucket.exceeded, bucket.level, share)]
