"""How often each priority asks, as far as several of them were heard lately."""

import math

import attrs

from saffronworks.forwarding.planning.tuning import (
    MAX_PASSES,
    PRIORITY_LAPSE_MS,
    RATE_WEIGHT,
    RATE_WINDOW_MS,
)

__all__ = ["RequestRates"]


@attrs.define
class _Rate:
    """Asks in a window: the running mean and variance, and those of the present window."""

    last_request_ms: int
    mean: float = 0.0
    variance: float = 0.0
    count: int = 0

    def close(self) -> None:
        """The present window is over."""
        deviation = self.count - self.mean
        self.mean += RATE_WEIGHT * deviation
        self.variance = (1 - RATE_WEIGHT) * (self.variance + RATE_WEIGHT * deviation**2)
        self.count = 0


@attrs.define
class RequestRates:
    """The asks of each priority that was heard lately, counted in windows."""

    _rates: dict[int, _Rate] = attrs.Factory(dict)
    _window_ends_ms: int = 0

    def record(self, priority: int, now_ms: int) -> None:
        """A request asked for the first time."""
        self._roll(now_ms)
        rate = self._rates.setdefault(priority, _Rate(now_ms))
        rate.last_request_ms = now_ms
        rate.count += 1

    def is_mixed(self, now_ms: int) -> bool:
        """Whether more than one priority was heard lately; else priorities have no effect."""
        self._roll(now_ms)
        return len(self._rates) > 1

    def per_s(self, more_urgent_than: float, now_ms: int) -> float:
        """Asks a second of all priorities that are more urgent than this one."""
        self._roll(now_ms)
        return self._mean(more_urgent_than) * 1000 / RATE_WINDOW_MS

    def max_passes(self, priority: int, now_ms: int) -> float:
        """After how many grants in succession to more urgent ones it is this priority's turn.

        A class that asks less often than these gets no greater share of what it asks for.
        """
        self._roll(now_ms)
        own = self._rates.get(priority)
        if own is None or not own.mean:
            return MAX_PASSES
        return max(MAX_PASSES, self._mean(priority) / own.mean)

    def _mean(self, more_urgent_than: float) -> float:
        return sum(rate.mean for name, rate in self._rates.items() if name < more_urgent_than)

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
            for _ in range(min(over, math.ceil(PRIORITY_LAPSE_MS / RATE_WINDOW_MS))):
                rate.close()
        kept = {
            k: rate
            for k, rate in self._rates.items()
            if now_ms - rate.last_request_ms <= PRIORITY_LAPSE_MS
        }
        self._rates = kept
