"""Holds shares of limits: `step(state, event, limit, now_ms)` answers entry nodes.

The limit of a subject lies in equal shares with three nodes, chosen by hash. Each admits by its own
share and needs no word of the others, so that nodes which don't hear each other never admit more
than the limit together. What a holder knows is soft state: one that just started takes it that all
of its share was used up but for a part of what is tolerated beyond the limit.
"""

import attrs

from saffronworks.forwarding.shares.buckets import LeakyBucket
from saffronworks.forwarding.shares.events import Answer, Ask, ChargeAgain, Refund
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.forwarding.shares.tuning import (
    BUCKET_EXPIRY_INTERVAL_MS,
    EARLY_SHARE,
    NEW_HOLDER_SHARE,
    RECOVERED_SHARE,
)

__all__ = ["Event", "HolderState", "ShareChanged", "step"]


@attrs.frozen
class ShareChanged:
    """Told once: a subject used up its share here, or is well within it again."""

    subject: str
    exceeded: bool
    level: float
    share: Limit


Event = Ask | ChargeAgain | Refund


@attrs.define
class HolderState:
    """The accounts of subjects that were heard of; `began_ms`: since when all were.

    `in_turn`: who is refused is told a time to return that no other one was told.
    """

    tolerance: Tolerance
    began_ms: int
    stagger_retries: bool = True
    buckets: dict[str, LeakyBucket] = attrs.Factory(dict)
    _forgot_ms: int = 0

    def update_nodes(self, now_ms: int) -> None:
        """Other nodes are there: this one may hold shares that another one held until now."""
        self.began_ms = now_ms

    def bucket(self, event: Event, share: Limit, now_ms: int) -> LeakyBucket:
        """What is known of a subject up to now."""
        self._forget_idle(now_ms)
        name = event.subject
        if name not in self.buckets:
            first_level = self._first_level(share, event.holders, now_ms)
            self.buckets[name] = LeakyBucket(first_level, share.per_s, now_ms)
        bucket = self.buckets[name]
        bucket.drain(now_ms)
        bucket.per_s = share.per_s
        return bucket

    def capacity(self, share: Limit, holders: int) -> float:
        """The most that a subject may owe here when an ask of it has been admitted."""
        return share.burst + EARLY_SHARE * self.tolerance.share(holders).spare(share)

    def _first_level(self, share: Limit, holders: int, now_ms: int) -> float:
        if now_ms - self.began_ms >= self.tolerance.window_ms:
            return 0.0
        spare = self.tolerance.share(holders).spare(share)
        return max(0.0, self.capacity(share, holders) - NEW_HOLDER_SHARE * spare)

    def _forget_idle(self, now_ms: int) -> None:
        if now_ms - self._forgot_ms < BUCKET_EXPIRY_INTERVAL_MS:
            return
        self._forgot_ms = now_ms
        for name, bucket in list(self.buckets.items()):
            bucket.drain(now_ms)
            if bucket.idle:
                del self.buckets[name]


def step(
    state: HolderState, event: Event, limit: Limit, now_ms: int
) -> list[Answer | ShareChanged]:
    """The answer to an ask, and what changed; `limit` is the subject's whole limit."""
    share = limit.share(event.holders)
    bucket = state.bucket(event, share, now_ms)
    match event:
        case Ask():
            return _answer(state, bucket, event, share, now_ms)
        case ChargeAgain():
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
