"""How often each priority asks, and the places that are kept from less urgent waiters for it."""

import math

import attrs

from saffronworks.forwarding.planning.order import Waiter
from saffronworks.forwarding.planning.runs import Occupancies
from saffronworks.forwarding.planning.tuning import (
    HEARD_MS,
    KEPT_SHARE,
    RATE_WEIGHT,
    RATE_WINDOW_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["AskRates", "Reserve"]


@attrs.define
class _Rate:
    """Asks in a window: the running mean and variance, and those of the present window."""

    heard_ms: int
    mean: float = 0.0
    variance: float = 0.0
    count: int = 0

    def close(self) -> None:
        """The present window is over."""
        off = self.count - self.mean
        self.mean += RATE_WEIGHT * off
        self.variance = (1 - RATE_WEIGHT) * (self.variance + RATE_WEIGHT * off**2)
        self.count = 0


@attrs.define
class AskRates:
    """The asks of each priority that was heard lately, counted in windows."""

    _rates: dict[int, _Rate] = attrs.Factory(dict)
    _window_ends_ms: int = 0

    def note(self, priority: int, now_ms: int) -> None:
        """A request asked for the first time."""
        self._roll(now_ms)
        rate = self._rates.setdefault(priority, _Rate(now_ms))
        rate.heard_ms = now_ms
        rate.count += 1

    def is_mixed(self, now_ms: int) -> bool:
        """Whether more than one priority was heard lately; else priorities have no effect."""
        self._roll(now_ms)
        return len(self._rates) > 1

    def per_s(self, more_urgent_than: float, now_ms: int) -> float:
        """Asks a second of all priorities that are more urgent than this one."""
        self._roll(now_ms)
        asks = sum(rate.mean for name, rate in self._rates.items() if name < more_urgent_than)
        return asks * 1000 / RATE_WINDOW_MS

    def expected(self, more_urgent_than: float, span_ms: float, now_ms: int) -> float:
        """Asks of more urgent priorities within a span: their mean and one deviation."""
        self._roll(now_ms)
        windows = span_ms / RATE_WINDOW_MS
        rates = [rate for name, rate in self._rates.items() if name < more_urgent_than]
        spread = math.sqrt(sum(rate.variance for rate in rates) * windows)
        return sum(rate.mean for rate in rates) * windows + spread

    def _roll(self, now_ms: int) -> None:
        """Close the windows that are over; those before the rates are forgotten are enough."""
        if now_ms < self._window_ends_ms:
            return
        over = 1 + (now_ms - self._window_ends_ms) // RATE_WINDOW_MS
        self._window_ends_ms += over * RATE_WINDOW_MS
        for rate in self._rates.values():
            for _ in range(min(over, math.ceil(HEARD_MS / RATE_WINDOW_MS))):
                rate.close()
        kept = {k: rate for k, rate in self._rates.items() if now_ms - rate.heard_ms <= HEARD_MS}
        self._rates = kept


@attrs.define
class Reserve:
    """What one look at the waiters keeps from less urgent ones.

    `kept` are endpoints where a waiter of that priority is to get the next memory: it may need more
    than others. While less urgent ones took whatever became free, 7 in 100 urgent callers beside
    twice the capacity of bulk waited in vain, now 3, for as many of the bulk in time. Places kept
    for urgent callers that are only expected left 5 in 100 of the memory idle (`planner_load`).
    """

    rates: AskRates
    next_place_ms: float
    now_ms: int
    kept: dict[StartId, int] = attrs.Factory(dict)

    def places(self, priority: int) -> int:
        """How many places a priority and more urgent ones need before another place is free."""
        return math.ceil(self.rates.expected(priority + 1, self.next_place_ms, self.now_ms))

    def open_to(self, priority: int, usable: Occupancies) -> Occupancies:
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
