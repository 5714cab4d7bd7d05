"""The leaky bucket that a holder keeps for its share of one limit."""

import math
from collections import OrderedDict

import attrs

from saffronworks.forwarding.shares.tuning import (
    COUNTED_RETENTION_MS,
    MAX_COUNTED_ASKS,
    MAX_DEBT_MS,
    MAX_RETRY_AFTER_MS,
)

__all__ = ["LeakyBucket"]

# The longest wait that is stated; rates may be tiny.
MAX_WAIT_MS = 86_400_000


@attrs.frozen
class _Counted:
    cost: int
    at_ms: int


@attrs.define
class LeakyBucket:
    """A leaky bucket: `level` rises by the cost of each request and drains at `per_s`.

    Counted asks are kept by id for a while, so that a duplicate message counts once and a cost is
    refunded once.
    """

    level: float
    per_s: float
    at_ms: int
    exceeded: bool = False
    _next_return_ms: float = 0.0
    _counted: OrderedDict[str, _Counted] = attrs.Factory(OrderedDict)

    @property
    def idle(self) -> bool:
        """True if the bucket holds nothing that a new one would lack."""
        return not self.level and not self._counted

    def drain(self, now_ms: int) -> None:
        """Lower the level by what has drained since the last call, and drop old counted asks."""
        self.level = max(0.0, self.level - self.per_s * max(0, now_ms - self.at_ms) / 1000)
        self.at_ms = max(self.at_ms, now_ms)
        while self._counted:
            oldest = next(iter(self._counted.values()))
            if (
                now_ms - oldest.at_ms < COUNTED_RETENTION_MS
                and len(self._counted) <= MAX_COUNTED_ASKS
            ):
                return
            self._counted.popitem(last=False)

    def has_counted(self, ask_id: str) -> bool:
        """Return whether an ask is counted already."""
        return ask_id in self._counted

    def fits(self, cost: int, capacity: float) -> bool:
        """Return whether a request fits; one larger than the capacity fits an empty bucket."""
        if self.level:
            return self.level + cost <= capacity
        return self.may_ever_fit(cost, capacity)

    def may_ever_fit(self, cost: int, capacity: float) -> bool:
        """Return whether an empty bucket would make up for a request within `MAX_DEBT_MS`."""
        return cost - capacity <= self.per_s * MAX_DEBT_MS / 1000

    def count(self, ask_id: str, cost: int, now_ms: int) -> None:
        """Add the cost of an ask, once."""
        if ask_id not in self._counted:
            self.level += cost
            self._counted[ask_id] = _Counted(cost, now_ms)

    def refund(self, ask_id: str) -> None:
        """Subtract the cost of an ask whose request did not run."""
        counted = self._counted.pop(ask_id, None)
        if counted is not None:
            self.level = max(0.0, self.level - counted.cost)

    def room_after_ms(self, cost: int, capacity: float) -> int:
        """Return after how long a request fits if nothing else is admitted meanwhile."""
        # A request larger than the capacity fits once the bucket is empty.
        excess = min(self.level, max(0.0, self.level + cost - capacity))
        return max(1, math.ceil(min(1000 * excess / self.per_s, MAX_WAIT_MS)))

    def next_return_ms(self, cost: int, room_after_ms: int, now_ms: int) -> int:
        """Return after how long a refused caller may retry, later for each caller.

        With the same retry time for all, they would return together and all but one be refused.
        """
        turn_ms = self._next_return_ms + 1000 * cost / self.per_s
        turn_ms = max(now_ms + room_after_ms, turn_ms)
        self._next_return_ms = min(turn_ms, now_ms + MAX_RETRY_AFTER_MS)
        return max(1, int(self._next_return_ms - now_ms))
