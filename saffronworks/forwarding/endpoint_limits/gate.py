"""When a node asks again for an endpoint whose limit was used up: soon, but not all at once."""

import random
from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import (
    CLOSED_FACTOR,
    CLOSED_FIRST_MS,
    CLOSED_LEAST_MS,
    CLOSED_MOST_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["SendGate"]


@attrs.define
class _Closed:
    until_ms: int
    span_ms: int


@attrs.define
class SendGate:
    """The endpoints that are left alone for a moment, so that requests go elsewhere at once.

    `nodes` is how many nodes ask.
    """

    rng: random.Random
    nodes: int = 1
    _closed: dict[StartId, _Closed] = attrs.Factory(dict)

    def closed_ms(self, instance: StartId, now_ms: int) -> int:
        """For how long an endpoint is left alone; 0 where it may be asked for now."""
        known = self._closed.get(instance)
        return max(0, known.until_ms - now_ms) if known is not None else 0

    def refuse(self, instance: StartId, room_after_ms: int, now_ms: int) -> int:
        """No holder had room. Returns for how long the endpoint is left alone.

        Asks that were under way when it was closed say nothing new.
        """
        known = self._closed.get(instance)
        if known is not None and now_ms < known.until_ms:
            return known.until_ms - now_ms
        span_ms = CLOSED_FIRST_MS * self.nodes
        if known is not None:
            span_ms = CLOSED_FACTOR * known.span_ms
        span_ms = min(span_ms, CLOSED_MOST_MS)
        closed_ms = room_after_ms + self.rng.randrange(span_ms)
        self._closed[instance] = _Closed(now_ms + closed_ms, span_ms)
        return closed_ms

    def admit(self, instance: StartId) -> None:
        """A holder had room."""
        known = self._closed.get(instance)
        if known is not None:
            known.span_ms = max(CLOSED_LEAST_MS, known.span_ms // CLOSED_FACTOR)

    def open(self, instance: StartId) -> None:
        """The endpoint takes more than before."""
        self._closed.pop(instance, None)

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        for instance in self._closed.keys() - set(instances):
            del self._closed[instance]
