"""The endpoints that are kept from less urgent waiters for those who fit nowhere yet."""

import math

import attrs

from saffronworks.forwarding.planning.order import Waiter
from saffronworks.forwarding.planning.request_rates import RequestRates
from saffronworks.forwarding.planning.runs import Occupancies
from saffronworks.forwarding.planning.tuning import (
    KEPT_SHARE,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["Reserve"]


@attrs.define
class Reserve:
    """What one look at the waiters keeps from less urgent ones.

    `kept` are endpoints where a waiter of that priority is to get the next memory: it may need more
    than others, and would wait in vain while they took whatever becomes free. Nothing is kept for
    callers that are only expected: that left memory idle.
    """

    rates: RequestRates
    next_place_ms: float
    now_ms: int
    kept: dict[StartId, int] = attrs.Factory(dict)

    def places(self, priority: int) -> int:
        """How many places a priority and more urgent ones need before another place is free."""
        return math.ceil(self.rates.expected(priority + 1, self.next_place_ms, self.now_ms))

    def eligible(self, priority: int, usable: Occupancies) -> Occupancies:
        """The endpoints that may get a run of this priority."""
        if not self.kept:
            return usable
        return {k: held for k, held in usable.items() if self.kept.get(k, priority) >= priority}

    def keep(self, waiter: Waiter, usable: Occupancies) -> None:
        """A waiter fits nowhere: the endpoint with most room is kept for it."""
        most = min(self.places(waiter.priority), KEPT_SHARE * len(usable))
        left = usable.keys() - self.kept.keys() - set(waiter.ask.avoid)
        if left and len(self.kept) < most:
            first = min(left, key=lambda name: (usable[name].peak_tokens, name))
            self.kept[first] = waiter.priority
