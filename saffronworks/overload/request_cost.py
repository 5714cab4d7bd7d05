"""Measures how much time of the event loop one request takes."""

import attrs

__all__ = ["RequestCost"]

WINDOW_MS = 200.0
# From this busy share on, requests take all the time of the event loop, and what the node does
# beside them is a part of what they cost.
FULL_SHARE = 0.7
# Weights of a sample in the moving average. Requests count when they are sent on, before the rest
# of their work, so the first samples of a burst are too low.
RISE_WEIGHT, FALL_WEIGHT = 0.5, 0.4
# The cost under load holds for this long after the last sample of a full loop.
FULL_HOLD_MS = 1000.0
# Weight, and bound relative to the average, of a sample of a loop that is not full: work beside the
# requests may have fallen into the window.
CALM_WEIGHT, CALM_BOUND = 0.1, 3.0
# A gap without requests counts in full from this length on.
FULL_GAP_MS = 1000.0
GAP_WEIGHT = 0.5
MIN_COST_MS = 0.5


@attrs.define
class RequestCost:
    """The mean time of the event loop for one request, from its busy time and the requests.

    Times are in ms of the steady clock; `busy_ms` is the time that the event loop has spent in
    turns since its start.
    """

    mean_ms: float
    # Busy share of the event loop while no request is open.
    base_share: float = 0.0
    _calm_ms: float = attrs.field()
    _full_until_ms: float = 0.0
    _open: int = 0
    _sent: int = 0
    _window_began_ms: float = 0.0
    _window_busy_ms: float = 0.0
    _gap_began_ms: float | None = None
    _gap_busy_ms: float = 0.0

    @_calm_ms.default
    def _begin_calm(self) -> float:
        return self.mean_ms

    @property
    def any_open(self) -> bool:
        """Return whether a request has begun and not ended."""
        return self._open > 0

    def begin(self, now_ms: float, busy_ms: float) -> None:
        """Record that a request begins; measures the gap without requests before it."""
        self._open += 1
        if self._gap_began_ms is None:
            return
        gap_ms = now_ms - self._gap_began_ms
        if gap_ms > 0:
            share = (busy_ms - self._gap_busy_ms) / gap_ms
            weight = GAP_WEIGHT * min(1.0, gap_ms / FULL_GAP_MS)
            self.base_share += weight * (min(1.0, share) - self.base_share)
        self._gap_began_ms = None

    def send_on(self, now_ms: float, busy_ms: float) -> None:
        """Record that a request is sent on; takes a sample at the end of a window."""
        self._sent += 1
        window_ms = now_ms - self._window_began_ms
        if window_ms < WINDOW_MS:
            return
        spent_ms = busy_ms - self._window_busy_ms
        if spent_ms >= FULL_SHARE * window_ms:
            change_ms = spent_ms / self._sent - self.mean_ms
            self.mean_ms += (RISE_WEIGHT if change_ms > 0 else FALL_WEIGHT) * change_ms
            self._full_until_ms = now_ms + FULL_HOLD_MS
        else:
            own_ms = max(0.0, spent_ms - self.base_share * window_ms) / self._sent
            bounded_ms = min(own_ms, CALM_BOUND * self._calm_ms)
            self._calm_ms += CALM_WEIGHT * (bounded_ms - self._calm_ms)
            if now_ms >= self._full_until_ms:
                self.mean_ms = self._calm_ms
        self.mean_ms = max(MIN_COST_MS, self.mean_ms)
        self._sent, self._window_began_ms, self._window_busy_ms = 0, now_ms, busy_ms

    def end(self, now_ms: float, busy_ms: float) -> None:
        """Record that a request has ended."""
        self._open -= 1
        if not self._open:
            self._gap_began_ms, self._gap_busy_ms = now_ms, busy_ms
