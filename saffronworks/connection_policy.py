"""What is in force for the callers' connections of a server, and why one is closed."""

import enum
import logging
from collections import Counter
from collections.abc import Iterable

import attrs

from saffronworks.connection_table import ConnectionTable, UnreadConnections
from saffronworks.head_memory import HeadMemory
from saffronworks.request_parts import BODY_READ_BYTES

__all__ = [
    "HEADER_TIMEOUT_MS",
    "MAX_HEADER_BYTES",
    "MAX_UNWANTED_BYTES",
    "UNTAKEN_MS",
    "CloseNow",
    "CloseReason",
    "ConnectionPolicy",
    "LookAgain",
    "count_field_bytes",
    "decide_close",
]

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 65_536
HEADER_TIMEOUT_MS = 10_000
# Bytes of a header field besides its name and value: colon, space, CR and LF.
FIELD_OVERHEAD_BYTES = 4
# How long a server that stops waits for the next request on a connection that was just in use.
LAST_REQUEST_MS = 250
# Longest time in which a caller leaves a full write buffer undrained.
UNTAKEN_MS = 30_000
# Bytes of a body that are read after its answer.
MAX_UNWANTED_BYTES = 16_777_216
# Interval of the log lines on closes that found unread bytes.
UNREAD_LOG_INTERVAL_MS = 1000


@attrs.frozen
class CloseNow:
    """The time is up."""


@attrs.frozen
class LookAgain:
    """The time is not up, at least not for so long."""

    after_ms: float


def decide_close(waited_ms: float, promised_ms: float, in_force_ms: float) -> CloseNow | LookAgain:
    """Decide whether a connection that has waited for its caller may be closed.

    `promised_ms` is the timeout that was in force when the wait began, and `in_force_ms` the
    present one. The longer one holds: the caller may know either.
    """
    left_ms = max(promised_ms, in_force_ms) - waited_ms
    return LookAgain(left_ms) if left_ms > 0 else CloseNow()


def count_field_bytes(fields: Iterable[tuple[str | bytes, str | bytes]]) -> int:
    """Return the size of header fields on the wire."""
    return sum(len(key) + len(value) + FIELD_OVERHEAD_BYTES for key, value in fields)


class CloseReason(enum.StrEnum):
    """Why a connection was closed."""

    IDLE = "idle"
    STOP = "stop"
    # Too many connections had sent requests ahead.
    SENT_AHEAD = "sent_ahead"
    # Another connection took its place.
    EVICTED = "evicted"
    HEADER_TIMEOUT = "header_timeout"
    HEADER_TOO_LARGE = "header_too_large"
    # There is no memory for the head, or it was given up for another one.
    HEADERS_FULL = "headers_full"
    TRAILER_TOO_LARGE = "trailer_too_large"
    # After an answer with `connection: close`.
    ANSWER = "answer"
    # The caller takes no answers.
    UNTAKEN = "untaken"
    # In the middle of a request or of its answer.
    CUT = "cut"
    # What came is no request.
    MALFORMED = "malformed"
    # A body that went on for too long after its answer.
    BODY_ENDLESS = "body_endless"
    # By the caller, with and without a reset.
    CALLER = "caller"
    RESET = "reset"


@attrs.define
class ClosedConnections:
    """Counts a server's closed connections, and logs those that lost bytes of their callers."""

    counts: Counter[CloseReason] = attrs.Factory(Counter)
    _logged_ms: float | None = None
    _not_logged: int = 0

    def record(self, reason: CloseReason, waited_ms: float, unread: int, now_ms: float) -> None:
        """Record a close that left `unread` bytes in the socket."""
        self.counts[reason] += 1
        if not unread:
            return
        if self._logged_ms is not None and now_ms - self._logged_ms < UNREAD_LOG_INTERVAL_MS:
            self._not_logged += 1
            return
        logger.warning(
            "event=connection_closed reason=%s unread_bytes=%d waited_ms=%d not_logged=%d",
            reason,
            unread,
            waited_ms,
            self._not_logged,
        )
        self._logged_ms, self._not_logged = now_ms, 0


@attrs.define
class ConnectionPolicy:
    """What is in force for all connections of a server.

    `echoed_field`: the header field of a request that its refusal repeats.
    """

    idle_ms: float
    header_bytes: int = MAX_HEADER_BYTES
    header_ms: float = HEADER_TIMEOUT_MS
    echoed_field: bytes = b""
    stopping: bool = False
    # How long a caller may leave a full write buffer undrained.
    untaken_ms: float = UNTAKEN_MS
    # Bytes of a body that are read after its answer.
    unwanted_bytes: int = MAX_UNWANTED_BYTES
    # Shared by the connections: what was read is parsed or copied in the same turn.
    read_buffer: bytearray = attrs.Factory(lambda: bytearray(BODY_READ_BYTES))
    table: ConnectionTable = attrs.Factory(ConnectionTable)
    heads: HeadMemory = attrs.Factory(HeadMemory)
    unread: UnreadConnections = attrs.Factory(UnreadConnections)
    closed: ClosedConnections = attrs.Factory(ClosedConnections)

    @property
    def rest_ms(self) -> float:
        """How long a connection may rest between two requests."""
        return LAST_REQUEST_MS if self.stopping else self.idle_ms

    def decide_rest(self, rested_ms: float, promised_ms: float) -> CloseNow | LookAgain:
        """Decide whether a connection that has rested so long may be closed."""
        return decide_close(rested_ms, 0 if self.stopping else promised_ms, self.rest_ms)
