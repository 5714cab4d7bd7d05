"""The open connections of one listener, and which of them gives way to a new one."""

import enum
import logging

import attrs

__all__ = [
    "ConnectionTable",
    "EvictableConnection",
    "ListenerLimits",
    "UnreadConnections",
    "Wait",
    "limit_listeners",
    "limit_unread",
]

logger = logging.getLogger(__name__)

# Interval of the log lines on a full table.
LOG_INTERVAL_MS = 1000
# Descriptors that a process keeps for files.
FILE_DESCRIPTORS = 200
# Parts of the other descriptors, by listener. The rest is for connections to endpoints, the store
# and other nodes.
CALLER_SHARE, RELAY_SHARE, PROBE_SHARE = 1 / 2, 1 / 8, 1 / 32
MIN_PROBE_CONNECTIONS = 16
# Part of the memory beside a node without requests that callers' connections may take, and the
# memory of one that rests.
CONNECTION_MEMORY_SHARE = 1 / 5
CONNECTION_BYTES = 12_288
MIN_CALLER_CONNECTIONS = 64
# Evicted connections whose descriptors are not closed yet, before others are accepted.
MAX_CLOSING = 16
# Connections that are looked at for one without unread bytes.
MAX_LOOKS = 8
# Part of the memory beside a node without requests for connections that are left unread, and what
# one may have: bytes in the kernel, which count as the process's, a full write buffer, and an
# answer that waits for it.
UNREAD_MEMORY_SHARE = 1 / 10
UNREAD_CONNECTION_BYTES = 131_072 + 65_536 + 262_144
MIN_UNREAD_CONNECTIONS = 32
# Silence within a body after which its connection may give way.
STALLED_BODY_MS = 2000


class Wait(enum.Enum):
    """What a connection waits for; the first kinds give way first."""

    FIRST_REQUEST = enum.auto()
    NEXT_REQUEST = enum.auto()
    # More of a body.
    BODY = enum.auto()


@attrs.frozen
class ListenerLimits:
    """Most open connections of each listener of a node; None without a limit."""

    callers: int | None = None
    relays: int | None = None
    probes: int | None = None


def limit_listeners(max_descriptors: int | None, spare_bytes: int | None) -> ListenerLimits:
    """Share a process's descriptors, files included, and the memory that it has for requests."""
    callers = relays = probes = None
    if max_descriptors is not None:
        sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
        callers = max(MIN_CALLER_CONNECTIONS, int(CALLER_SHARE * sockets))
        relays, probes = (
            max(MIN_PROBE_CONNECTIONS, int(share * sockets)) for share in (RELAY_SHARE, PROBE_SHARE)
        )
    if spare_bytes is not None:
        fitting = int(CONNECTION_MEMORY_SHARE * spare_bytes / CONNECTION_BYTES)
        callers = max(MIN_CALLER_CONNECTIONS, min(fitting, callers or fitting))
    return ListenerLimits(callers, relays, probes)


def limit_unread(spare_bytes: int | None) -> int | None:
    """Return how many connections may leave bytes unread; None without a memory limit."""
    if spare_bytes is None:
        return None
    return max(
        MIN_UNREAD_CONNECTIONS, int(UNREAD_MEMORY_SHARE * spare_bytes / UNREAD_CONNECTION_BYTES)
    )


class EvictableConnection:
    """A connection that may be closed while it waits for its caller."""

    def evict(self) -> None:
        """Close it, to make room for another one."""
        raise NotImplementedError

    def close_unread(self) -> None:
        """Close it at once, although a request is being served."""
        raise NotImplementedError

    @property
    def has_unread(self) -> bool:
        """Whether a request may have arrived."""
        raise NotImplementedError


@attrs.define
class UnreadConnections:
    """Connections that are not read, as their clients send ahead of the answers.

    A client that waits for its answer before it sends the next request has none. Beyond the limit
    the one that was left unread first is closed.
    """

    limit: int | None = None
    _unread: dict[EvictableConnection, None] = attrs.Factory(dict)

    def add(self, connection: EvictableConnection) -> None:
        """Record that a connection is not read from now on."""
        self._unread.setdefault(connection)
        while self.limit is not None and len(self._unread) > self.limit:
            oldest = next(iter(self._unread))
            del self._unread[oldest]
            oldest.close_unread()

    def remove(self, connection: EvictableConnection) -> None:
        """Record that a connection is read again, or closed."""
        self._unread.pop(connection, None)


class ConnectionTable:
    """Counts the connections of a listener; at its limit, the one that waits longest gives way.

    Connections without any request so far go first, then those that rest, then those whose body has
    stopped. One whose request has arrived whole never does. If all are such, the new connection is
    rejected: its caller knows that nothing was read, and can go elsewhere.
    """

    def __init__(self, limit: int | None = None, name: str = ""):
        # Of the listener, for log lines.
        self.name = name
        self.limit = limit
        self.open = 0
        self.admitted = self.evicted = self.rejected = 0
        # When they began to wait, in this order.
        self._waiting: dict[Wait, dict[EvictableConnection, float]] = {wait: {} for wait in Wait}
        self._closing: set[EvictableConnection] = set()
        self._logged_ms: int | None = None

    @property
    def accepts(self) -> bool:
        """Whether to accept now; if not, evicted connections are closed in the next turn."""
        return len(self._closing) < MAX_CLOSING

    def admit(self, now_ms: int) -> bool:
        """Return whether to keep a new connection, and count it."""
        if self.limit is not None and self.open - len(self._closing) >= self.limit:
            evicted = self._evict(now_ms)
            self._log_full(now_ms)
            if not evicted:
                return False
        self.open += 1
        self.admitted += 1
        return True

    def _evict(self, now_ms: int) -> bool:
        chosen = self._choose(now_ms)
        if chosen is None:
            self.rejected += 1
            return False
        self.end_wait(chosen)
        self._closing.add(chosen)
        self.evicted += 1
        chosen.evict()
        return True

    def _log_full(self, now_ms: int) -> None:
        if self._logged_ms is None or now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._logged_ms = now_ms
            logger.warning(
                "event=connections_full listener=%s open=%d limit=%s evicted=%d rejected=%d",
                self.name,
                self.open,
                self.limit,
                self.evicted,
                self.rejected,
            )

    def begin_wait(self, connection: EvictableConnection, wait: Wait, now_ms: float) -> None:
        """Record that a connection waits for its caller from now on."""
        self.end_wait(connection)
        self._waiting[wait][connection] = now_ms

    def end_wait(self, connection: EvictableConnection) -> None:
        """Record that the request of a connection has arrived whole."""
        for waiting in self._waiting.values():
            waiting.pop(connection, None)

    def close(self, connection: EvictableConnection) -> None:
        """Record that a connection is closed."""
        self.end_wait(connection)
        self._closing.discard(connection)
        self.open -= 1

    def _choose(self, now_ms: int) -> EvictableConnection | None:
        unused, resting, reading = (self._waiting[wait] for wait in Wait)
        for connection in unused:
            return connection
        for connection, _ in zip(resting, range(MAX_LOOKS), strict=False):
            if not connection.has_unread:
                return connection
        for connection, since_ms in reading.items():
            return connection if now_ms - since_ms >= STALLED_BODY_MS else None
        return None
