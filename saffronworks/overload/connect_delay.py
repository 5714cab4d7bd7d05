"""Time that packets wait at the node's network link, from the times of new connections."""

from collections import deque

import attrs

__all__ = ["ConnectDelay"]

# Samples of this span are compared, and at least so many.
RECENT_MS = 300
MIN_SAMPLES = 3
# The shortest time of one to two of these spans is an endpoint's time without a queue.
BASE_SPAN_MS = 30_000


@attrs.define
class ConnectDelay:
    """How much longer new connections take than earlier ones to the same address.

    A full link delays all of them, in either direction; a slow endpoint delays its own alone. So
    the shortest delay counts. Connections that fail are no sign: the path to their endpoints may be
    cut.
    """

    # Times and delays of the recent connections.
    _recent: deque[tuple[int, float]] = attrs.Factory(deque)
    _span_began_ms: int = 0
    # Shortest times by address, of this span and of the one before.
    _shortest_ms: dict[str, float] = attrs.Factory(dict)
    _shortest_before_ms: dict[str, float] = attrs.Factory(dict)

    def record(self, address: str, took_ms: float, now_ms: int) -> None:
        """Record a connection that was opened, and the time that it took."""
        if now_ms - self._span_began_ms >= BASE_SPAN_MS:
            self._shortest_before_ms, self._shortest_ms = self._shortest_ms, {}
            self._span_began_ms = now_ms
        known_ms = [
            shortest[address]
            for shortest in (self._shortest_ms, self._shortest_before_ms)
            if address in shortest
        ]
        if known_ms:
            self._recent.append((now_ms, max(0.0, took_ms - min(known_ms))))
        self._shortest_ms[address] = min(took_ms, self._shortest_ms.get(address, took_ms))
        self._drop_old(now_ms)

    def queue_ms(self, now_ms: int) -> float:
        """Return the present delay; 0 without enough recent connections."""
        self._drop_old(now_ms)
        if len(self._recent) < MIN_SAMPLES:
            return 0.0
        return min(delay_ms for _, delay_ms in self._recent)

    def _drop_old(self, now_ms: int) -> None:
        while self._recent and self._recent[0][0] <= now_ms - RECENT_MS:
            self._recent.popleft()
