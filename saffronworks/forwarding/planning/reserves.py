"""Reserves endpoints for urgent waiters that fit on none yet."""

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
    """The endpoints that one step of the planner reserves.

    `kept` maps each to the priority of the waiter that is to get its next free memory. That waiter
    may need more memory than others, and would never fit while less urgent ones took all memory
    that becomes free. Nothing is reserved for expected requests, since that left memory idle.
    """

    rates: RequestRates
    next_end_ms: float
    now_ms: int
    kept: dict[StartId, int] = attrs.Factory(dict)

    def expected_requests(self, priority: int) -> int:
        """Return how many requests at least as urgent are expected before the next run ends."""
        return math.ceil(self.rates.expected(priority + 1, self.next_end_ms, self.now_ms))

    def eligible(self, priority: int, usable: Occupancies) -> Occupancies:
        """Return the endpoints that may get a run of this priority."""
        if not self.kept:
            return usable
        return {k: held for k, held in usable.items() if self.kept.get(k, priority) >= priority}

    def keep(self, waiter: Waiter, usable: Occupancies) -> None:
        """Reserve the endpoint with the lowest peak for a waiter that fits nowhere."""
        most = min(self.expected_requests(waiter.priority), KEPT_SHARE * len(usable))
        left = usable.keys() - self.kept.keys() - set(waiter.ask.avoid)
        if left and len(self.kept) < most:
            first = min(left, key=lambda name: (usable[name].peak_tokens, name))
            self.kept[first] = waiter.priority
