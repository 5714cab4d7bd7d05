"""What a holder knows of its share of one limit: what ran, and when there is room again."""

import math
from collections import OrderedDict

import attrs

from saffronworks.forwarding.shares.tuning import (
    COUNTED_RETENTION_MS,
    MAX_COUNTED_ASKS,
    MAX_RETRY_AFTER_MS,
)

__all__ = ["LeakyBucket"]


@attrs.frozen
class _Counted:
    cost: int
    at_ms: int


@attrs.define
class LeakyBucket:
    """What was counted and is not yet made up for by the time that passed: a debt.

    Asks are known by their ids for a while, so that a message that comes twice counts once and what
    was not run is given back once.
    """

    level: float
    per_s: float
    at_ms: int
    exceeded: bool = False
    _next_return_ms: float = 0.0
    _counted: OrderedDict[str, _Counted] = attrs.Factory(OrderedDict)

    @property
    def idle(self) -> bool:
        """Whether nothing is known that a new account wouldn't say as well."""
        return not self.level and not self._counted

    def drain(self, now_ms: int) -> None:
        """The debt falls at the share's rate."""
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
        """Whether a request is counted already."""
        return ask_id in self._counted

    def fits(self, cost: int, capacity: float) -> bool:
        """Whether a request fits; one larger than the whole capacity does when nothing is owed."""
        return self.level + cost <= capacity or not self.level

    def count(self, ask_id: str, cost: int, now_ms: int) -> None:
        """A request runs."""
        if ask_id not in self._counted:
            self.level += cost
            self._counted[ask_id] = _Counted(cost, now_ms)

    def refund(self, ask_id: str) -> None:
        """A request that was counted did not run."""
        counted = self._counted.pop(ask_id, None)
        if counted is not None:
            self.level = max(0.0, self.level - counted.cost)

    def room_after_ms(self, cost: int, capacity: float) -> int:
        """After how long there is room, if nothing else is admitted meanwhile."""
        # What is larger than the whole capacity fits when nothing is owed.
        excess = min(self.level, max(0.0, self.level + cost - capacity))
        return max(1, math.ceil(1000 * excess / self.per_s))

    def next_return_ms(self, cost: int, room_after_ms: int, now_ms: int) -> int:
        """After how long a refused caller may return: each in a turn of its own.

        When all were told when there is room for one, they came back together, and all but one were
        refused again.
        """
        turn_ms = self._next_return_ms + 1000 * cost / self.per_s
        turn_ms = max(now_ms + room_after_ms, turn_ms)
        self._next_return_ms = min(turn_ms, now_ms + MAX_RETRY_AFTER_MS)
        return max(1, int(self._next_return_ms - now_ms))
