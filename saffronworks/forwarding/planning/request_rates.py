"""The rates of requests by priority."""

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
    """Requests per window: the running mean and variance, and the count of the present window."""

    last_request_ms: int
    mean: float = 0.0
    variance: float = 0.0
    count: int = 0

    def close(self) -> None:
        """Update the mean and the variance by the present window, and restart its count."""
        deviation = self.count - self.mean
        self.mean += RATE_WEIGHT * deviation
        self.variance = (1 - RATE_WEIGHT) * (self.variance + RATE_WEIGHT * deviation**2)
        self.count = 0


@attrs.define
class RequestRates:
    """The request rates of all priorities with recent requests, counted in windows."""

    _rates: dict[int, _Rate] = attrs.Factory(dict)
    _window_ends_ms: int = 0

    def record(self, priority: int, now_ms: int) -> None:
        """Count a new request."""
        self._roll(now_ms)
        rate = self._rates.setdefault(priority, _Rate(now_ms))
        rate.last_request_ms = now_ms
        rate.count += 1

    def has_several_priorities(self, now_ms: int) -> bool:
        """Return whether several priorities had recent requests; otherwise they have no effect."""
        self._roll(now_ms)
        return len(self._rates) > 1

    def per_s(self, more_urgent_than: float, now_ms: int) -> float:
        """Return the requests per second of all priorities more urgent than this one."""
        self._roll(now_ms)
        return self._mean(more_urgent_than) * 1000 / RATE_WINDOW_MS

    def max_passes(self, priority: int, now_ms: int) -> float:
        """Return the number of successive grants to more urgent priorities until this one is due.

        It is higher for a priority with few requests, so that the bound against starvation does
        not serve a greater share of its requests than of the more urgent ones.
        """
        self._roll(now_ms)
        own = self._rates.get(priority)
        if own is None or not own.mean:
            return MAX_PASSES
        return max(MAX_PASSES, self._mean(priority) / own.mean)

    def _mean(self, more_urgent_than: float) -> float:
        return sum(rate.mean for name, rate in self._rates.items() if name < more_urgent_than)

    def expected(self, more_urgent_than: float, span_ms: float, now_ms: int) -> float:
        """Return the expected more urgent requests in a span, plus one standard deviation."""
        self._roll(now_ms)
        windows = span_ms / RATE_WINDOW_MS
        rates = [rate for name, rate in self._rates.items() if name < more_urgent_than]
        spread = math.sqrt(sum(rate.variance for rate in rates) * windows)
        return sum(rate.mean for rate in rates) * windows + spread

    def _roll(self, now_ms: int) -> None:
        """Close the windows that are over, at most as many as `PRIORITY_LAPSE_MS` holds."""
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
