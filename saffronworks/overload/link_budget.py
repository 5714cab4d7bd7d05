"""What a node's requests will send over its network link."""

import attrs

__all__ = ["LinkBudget", "bytes_per_ms"]

# Share of the link that requests may fill; the rest is for other nodes, the store and probes.
LINK_SHARE = 0.85
# Packet headers and handshakes of one request, on the connections to its caller and its endpoint.
PACKET_BYTES = 500
# Longest time that the link may need for what has been promised.
MAX_BACKLOG_MS = 500.0
# Assumed for a request of a route that has ended none yet.
UNKNOWN_ROUTE_BYTES = 16_384.0
# Weight of the newest request in the moving averages of bytes.
SAMPLE_WEIGHT = 0.1
BITS_PER_BYTE = 8


@attrs.define
class LinkBudget:
    """Bytes that the requests read so far will send, less those that the link has sent since.

    A full link shows in no delay of the event loop: the kernel buffers what is written. Answers
    last seconds, so a request counts with the mean of its route as soon as it is read.
    `bytes_per_ms` is the capacity of the link, None if it is not limited.
    """

    bytes_per_ms: float | None
    _backlog_bytes: float = 0.0
    _updated_ms: float = 0.0
    # Over all routes, for connections whose request is not known yet.
    _mean_bytes: float = UNKNOWN_ROUTE_BYTES / 4
    _mean_body_bytes: float = 0.0
    _route_bytes: dict[str, float] = attrs.Factory(dict)

    def has_room(self, waiting: int, now_ms: float) -> bool:
        """Return whether the link can take one request more than the `waiting` ones."""
        if self.bytes_per_ms is None:
            return True
        self._drain(now_ms)
        promised = self._backlog_bytes + waiting * self._mean_bytes
        return promised <= MAX_BACKLOG_MS * self.bytes_per_ms

    def reject(self, now_ms: float) -> None:
        """Count a rejected connection, on which the caller has sent its request already."""
        if self.bytes_per_ms is not None:
            self._drain(now_ms)
            most = max(self._backlog_bytes, MAX_BACKLOG_MS * self.bytes_per_ms)
            self._backlog_bytes = min(
                most, self._backlog_bytes + self._mean_body_bytes + PACKET_BYTES
            )

    def begin(self, route: str, body_bytes: int, now_ms: float) -> float:
        """Count a request that was read; returns the bytes that it is expected to send."""
        self._drain(now_ms)
        self._mean_body_bytes += SAMPLE_WEIGHT * (body_bytes - self._mean_body_bytes)
        expected = max(body_bytes, self._route_bytes.get(route, UNKNOWN_ROUTE_BYTES))
        self._backlog_bytes += expected
        return expected

    def end(self, route: str, expected: float, sent: int, now_ms: float) -> None:
        """Correct the count of a request by the bytes that it has `sent`."""
        self._drain(now_ms)
        sent += PACKET_BYTES
        self._backlog_bytes = max(0.0, self._backlog_bytes + sent - expected)
        before = self._route_bytes.get(route, sent)
        self._route_bytes[route] = before + SAMPLE_WEIGHT * (sent - before)
        self._mean_bytes += SAMPLE_WEIGHT * (sent - self._mean_bytes)

    def keep_routes(self, names: set[str]) -> None:
        """Drop the averages of routes that are not in `names`."""
        self._route_bytes = {
            name: mean for name, mean in self._route_bytes.items() if name in names
        }

    def backlog_ms(self, now_ms: float) -> float:
        """Return the time that the link needs for what has been promised."""
        if self.bytes_per_ms is None:
            return 0.0
        self._drain(now_ms)
        return self._backlog_bytes / self.bytes_per_ms

    def _drain(self, now_ms: float) -> None:
        if self.bytes_per_ms is not None:
            sent = LINK_SHARE * self.bytes_per_ms * (now_ms - self._updated_ms)
            self._backlog_bytes = max(0.0, self._backlog_bytes - sent)
        self._updated_ms = now_ms


def bytes_per_ms(mbps: float) -> float | None:
    """Return the capacity of a link of `mbps` Mbit/s in bytes per ms; None for 0, no limit."""
    return mbps * 1000 / BITS_PER_BYTE if mbps > 0 else None
