"""The server's side of callers' HTTP connections: bounds on heads, and when one is closed."""

import asyncio
import contextlib
import enum
import logging
from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from saffronworks.sockets import unread_bytes

__all__ = [
    "HEADER_TIMEOUT_MS",
    "MAX_HEADER_BYTES",
    "CloseNow",
    "CloseReason",
    "ConnectionPolicy",
    "HttpConnection",
    "LookAgain",
    "count_field_bytes",
    "decide_close",
]

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 65_536
HEADER_TIMEOUT_MS = 10_000
# Bytes of a header field besides its name and value: colon, space, CR and LF.
FIELD_OVERHEAD_BYTES = 4
# Bytes of a request line besides its target, and of the line that ends a head.
REQUEST_LINE_BYTES = 64

# How long a server that stops waits for the next request on a connection that was just in use.
LAST_REQUEST_MS = 250
# When to look again at a connection that has unread bytes.
UNREAD_LOOK_MS = 10
# Bounds on reading and discarding the rest of a refused request. The kernel resets a connection
# that is closed unread, and its caller could lose the refusal.
LINGER_MS = 1000
MAX_LINGER_BYTES = 1_048_576
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
    HEADER_TIMEOUT = "header_timeout"
    HEADER_TOO_LARGE = "header_too_large"
    TRAILER_TOO_LARGE = "trailer_too_large"
    # After an answer with `connection: close`.
    ANSWER = "answer"
    # In the middle of a request or of its answer.
    CUT = "cut"
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
    closed: ClosedConnections = attrs.Factory(ClosedConnections)

    @property
    def rest_ms(self) -> float:
        """How long a connection may rest between two requests."""
        return LAST_REQUEST_MS if self.stopping else self.idle_ms

    def decide_rest(self, rested_ms: float, promised_ms: float) -> CloseNow | LookAgain:
        """Decide whether a connection that has rested so long may be closed."""
        return decide_close(rested_ms, 0 if self.stopping else promised_ms, self.rest_ms)


class HttpConnection(HttpToolsProtocol):
    """One connection of a caller.

    The timer of the base class stands for all waits for the caller. It is armed whenever no request
    is being served.
    """

    def __init__(self, policy: ConnectionPolicy, **uvicorn_arguments: Any):
        super().__init__(**uvicorn_arguments)
        self._policy = policy
        self._wait_began_ms = 0.0
        self._promised_ms = 0.0
        self._in_head = False
        self._in_message = False
        self._message_ended = False
        self._head_bytes = 0
        self._head_too_large = False
        # Bytes of chunk extensions and trailers since the last part of a body.
        self._framing_bytes = 0
        # Whether the last part that was read ended a head or held a part of a body.
        self._progressed = False
        # The next request is the last one.
        self._closing = False
        # A request was refused, and the rest of it is discarded.
        self._lingering = False
        self._discarded_bytes = 0
        self._close_reason: CloseReason | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request."""
        super().connection_made(transport)
        self._begin_wait()
        self._arm_timer(self._promised_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close."""
        self._policy.closed.record(
            self._close_reason or self._find_close_reason(exc),
            self._waited_ms,
            unread_bytes(self.transport.get_extra_info("socket")),
            self.loop.time() * 1000,
        )
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """Let the transport close the connection that its caller has closed."""
        self._close_reason = self._close_reason or CloseReason.CALLER

    def data_received(self, data: bytes) -> None:
        """Read parts of requests."""
        if self._head_too_large or self._lingering:
            self._discard(data)
            return
        self._message_ended = self._progressed = False
        super().data_received(data)
        if self._in_head:
            self._count_head_bytes(data)
        elif self._in_message:
            # A caller that sends a body doesn't rest, even if its answer is complete.
            self._begin_wait()
            self._count_framing_bytes(data)
        self._watch()

    def on_message_begin(self) -> None:
        """Record the begin of a head."""
        self._in_head = self._in_message = True
        self._head_bytes = 0
        if not self._is_serving:
            self._begin_wait()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of a head; those of trailers are ignored."""
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, or queue it."""
        self._in_head = False
        self._progressed = True
        if max(count_field_bytes(self.headers), len(self.url)) > self._policy.header_bytes:
            self._head_too_large = True
            return
        super().on_headers_complete()
        if self._closing or self._policy.stopping:
            self._announce_close()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of a request's body."""
        self._progressed = True
        if not self._head_too_large:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        self._in_message = False
        self._message_ended = True
        if not self._head_too_large:
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request if one is queued, else let the connection rest."""
        self._begin_wait()
        # The base class arms the timer with it.
        self.timeout_keep_alive = self._promised_ms / 1000  # type: ignore[assignment]
        super().on_response_complete()
        if self._head_too_large:
            self._watch()

    def shutdown(self) -> None:
        """Close the connection after its last request.

        An answer that has begun told its caller to go on using the connection.
        """
        if self._lingering:
            return
        if not self._is_serving:
            self._watch()
        elif not self.cycle.response_started:
            self._announce_close()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection if it has waited long enough, else look again later."""
        if self._is_serving or self.transport.is_closing():
            return
        if self._lingering:
            self.transport.close()
            return
        if self._head_too_large:
            self._refuse(431, CloseReason.HEADER_TOO_LARGE)
            return
        match self._decide():
            case LookAgain(after_ms):
                self._arm_timer(after_ms)
            case CloseNow() if unread_bytes(self.transport.get_extra_info("socket")):
                # The event loop reads them in its next turn.
                self._closing = True
                self._arm_timer(UNREAD_LOOK_MS)
            case CloseNow() if self._in_head:
                self._refuse(408, CloseReason.HEADER_TIMEOUT)
            case CloseNow():
                self._close(CloseReason.STOP if self._policy.stopping else CloseReason.IDLE)

    def _decide(self) -> CloseNow | LookAgain:
        if self._in_head:
            return decide_close(self._waited_ms, self._promised_ms, self._policy.header_ms)
        return self._policy.decide_rest(self._waited_ms, self._promised_ms)

    @property
    def _is_serving(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _waited_ms(self) -> float:
        return self.loop.time() * 1000 - self._wait_began_ms

    def _begin_wait(self) -> None:
        self._wait_began_ms = self.loop.time() * 1000
        self._promised_ms = self._policy.header_ms if self._in_head else self._policy.rest_ms

    def _announce_close(self) -> None:
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _watch(self) -> None:
        """Arm the timer for the present wait, if there is one."""
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_handler()

    def _arm_timer(self, after_ms: float) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            after_ms / 1000, self.timeout_keep_alive_handler
        )

    def _count_head_bytes(self, data: bytes) -> None:
        """Count a part of a head that is not complete."""
        # The part in which another request ended isn't counted, as it is unknown how much is its.
        if not self._message_ended:
            self._head_bytes += len(data)
        max_bytes = self._policy.header_bytes
        rest_bytes = self._head_bytes - len(self.url) - REQUEST_LINE_BYTES
        self._head_too_large = max(rest_bytes, len(self.url)) > max_bytes

    def _count_framing_bytes(self, data: bytes) -> None:
        """Abort the connection if a chunk extension or the trailers of a request don't end."""
        self._framing_bytes = 0 if self._progressed else self._framing_bytes + len(data)
        if self._framing_bytes > self._policy.header_bytes:
            logger.info("event=bad_request reason=trailer-too-large bytes=%d", self._framing_bytes)
            self._close_reason = CloseReason.TRAILER_TOO_LARGE
            self.transport.abort()

    def _refuse(self, status: int, close_reason: CloseReason) -> None:
        """Answer a request whose head can't be accepted, and close the connection."""
        self._close_reason = close_reason
        reason = close_reason.replace("_", "-")
        logger.info("event=bad_request reason=%s bytes=%d", reason, self._head_bytes)
        body = msgspec.json.encode({"error": reason})
        fields = [
            *self.server_state.default_headers,
            *((name, value) for name, value in self.headers if name == self._policy.echoed_field),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        head = b"".join(b"%s: %s\r\n" % field for field in fields)
        self.transport.write(b"%s%s\r\n%s" % (STATUS_LINE[status], head, body))
        self._lingering = True
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self._arm_timer(LINGER_MS)

    def _discard(self, data: bytes) -> None:
        self._discarded_bytes += len(data)
        if self._lingering and self._discarded_bytes > MAX_LINGER_BYTES:
            self.transport.close()
        elif not self._lingering:
            self.flow.pause_reading()

    def _find_close_reason(self, exc: Exception | None) -> CloseReason:
        if exc is not None:
            return CloseReason.RESET
        if self._is_serving:
            return CloseReason.CUT
        if self._policy.stopping and (self.cycle is None or self.cycle.keep_alive):
            return CloseReason.STOP
        return CloseReason.ANSWER

    def _close(self, reason: CloseReason) -> None:
        self._close_reason = reason
        with contextlib.suppress(OSError):
            # The transport itself is closed a turn of the event loop later.
            self.transport.write_eof()
        self.transport.close()
