"""Jittered backoff for endpoints whose limit is exhausted."""

import random
from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import (
    BACKOFF_FACTOR,
    BACKOFF_FIRST_MS,
    MAX_BACKOFF_MS,
    MIN_BACKOFF_MS,
)
from saffronworks.forwarding.shares.tuning import MAX_RETRY_AFTER_MS
from saffronworks.forwarding.starts import StartId

__all__ = ["LimitBackoff"]


@attrs.define
class _Backoff:
    until_ms: int
    span_ms: int


@attrs.define
class LimitBackoff:
    """Backoff per endpoint, during which requests go to other endpoints at once.

    `nodes` is the number of nodes that compete for permits.
    """

    rng: random.Random
    nodes: int = 1
    _backoffs: dict[StartId, _Backoff] = attrs.Factory(dict)

    def remaining_ms(self, instance: StartId, now_ms: int) -> int:
        """Return an endpoint's remaining backoff; 0 if a permit may be requested."""
        known = self._backoffs.get(instance)
        return max(0, known.until_ms - now_ms) if known is not None else 0

    def record_rejection(self, instance: StartId, retry_after_ms: int, now_ms: int) -> int:
        """Back off after a rejection, longer each time; return the remaining backoff.

        Rejections that arrive during a backoff belong to earlier asks and don't extend it.
        """
        known = self._backoffs.get(instance)
        if known is not None and now_ms < known.until_ms:
            return known.until_ms - now_ms
        span_ms = BACKOFF_FIRST_MS * self.nodes
        if known is not None:
            span_ms = BACKOFF_FACTOR * known.span_ms
        span_ms = min(span_ms, MAX_BACKOFF_MS)
        remaining_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS) + self.rng.randrange(span_ms)
        self._backoffs[instance] = _Backoff(now_ms + remaining_ms, span_ms)
        return remaining_ms

    def record_permit(self, instance: StartId) -> None:
        """Shorten the next backoff after a holder has granted a permit."""
        known = self._backoffs.get(instance)
        if known is not None:
            known.span_ms = max(MIN_BACKOFF_MS, known.span_ms // BACKOFF_FACTOR)

    def clear(self, instance: StartId) -> None:
        """End the backoff of an endpoint whose limit was raised or removed."""
        self._backoffs.pop(instance, None)

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop endpoints that are not in `instances`."""
        for instance in self._backoffs.keys() - set(instances):
            del self._backoffs[instance]
