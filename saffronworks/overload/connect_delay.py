"""Time that packets wait at the node's network link, from the times of new connections."""

from collections import deque

import attrs

__all__ = ["ConnectDelay"]

# Samples of this span are compared, and at least so many.
RECENT_MS = 300
MIN_SAMPLES = 3
# The shortest time of one to two of these spans is the time without a queue.
BASE_SPAN_MS = 30_000


@attrs.define
class ConnectDelay:
    """How much longer new connections take than they did before.

    A full link delays all of them, in either direction; an endpoint that is slow or far away delays
    its own alone. So the shortest times are compared. Connections that fail are no sign: the path
    to their endpoints may be cut.
    """

    _recent: deque[tuple[int, float]] = attrs.Factory(deque)
    _base_began_ms: int = 0
    _base_ms: float = float("inf")
    _base_before_ms: float = float("inf")

    def record(self, took_ms: float, now_ms: int) -> None:
        """Record a connection that was opened, and the time that it took."""
        if now_ms - self._base_began_ms >= BASE_SPAN_MS:
            self._base_before_ms, self._base_ms = self._base_ms, float("inf")
            self._base_began_ms = now_ms
        self._base_ms = min(self._base_ms, took_ms)
        self._recent.append((now_ms, took_ms))
        self._drop_old(now_ms)

    def queue_ms(self, now_ms: int) -> float:
        """Return the present delay; 0 without enough recent connections."""
        self._drop_old(now_ms)
        if len(self._recent) < MIN_SAMPLES:
            return 0.0
        base_ms = min(self._base_ms, self._base_before_ms)
        return max(0.0, min(took_ms for _, took_ms in self._recent) - base_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._recent and self._recent[0][0] <= now_ms - RECENT_MS:
            self._recent.popleft()
