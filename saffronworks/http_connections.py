"""The server's side of callers' HTTP connections: bounds on heads, and when one is closed."""

import asyncio
import contextlib
import logging
from typing import Any

import msgspec
from result import Ok
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from saffronworks.clocks import monotonic_ms
from saffronworks.connection_policy import (
    CloseNow,
    CloseReason,
    ConnectionPolicy,
    LookAgain,
    count_field_bytes,
    decide_close,
)
from saffronworks.connection_table import EvictableConnection, Wait
from saffronworks.field_numbers import read_whole
from saffronworks.head_memory import HeadHolder, head_size
from saffronworks.request_parts import RequestParts
from saffronworks.sockets import unread_bytes

__all__ = ["HttpConnection"]

logger = logging.getLogger(__name__)

# Bytes of a request line besides its target, and of the line that ends a head.
REQUEST_LINE_BYTES = 64

# When to look again at a connection that has unread bytes.
UNREAD_LOOK_MS = 10
# Bounds on reading and discarding the rest of a refused request. The kernel resets a connection
# that is closed unread, and its caller could lose the refusal.
LINGER_MS = 1000
MAX_LINGER_BYTES = 1_048_576
# How long the rest of a body is read after its answer.
UNWANTED_BODY_MS = 10_000
# A refusal of what may be sent again, and when.
RETRY_STATUS = 503
RETRY_AFTER_S = b"1"


class _HeldFlow(FlowControl):
    """Flow control that reads nothing while it is held, whoever resumes it."""

    held = False

    def resume_reading(self) -> None:
        """Read on unless held."""
        if not self.held:
            super().resume_reading()


class HttpConnection(HttpToolsProtocol, asyncio.BufferedProtocol, EvictableConnection, HeadHolder):
    """One connection of a caller.

    The timer of the base class stands for all waits for the caller. It is armed whenever no request
    is being served.

    One request is parsed at a time. The base class parses all that it is given, queues each request
    that it finds, and reads on after each answer, so a caller that sends short requests without
    waiting fills the memory.
    """

    flow: _HeldFlow  # type: ignore[assignment]

    def __init__(self, policy: ConnectionPolicy, **uvicorn_arguments: Any):
        super().__init__(**uvicorn_arguments)
        self._policy = policy
        self._wait_began_ms = 0.0
        self._promised_ms = 0.0
        self._in_head = False
        self._in_message = False
        self._head_bytes = 0
        # Empty lines since the last request.
        self._blank_bytes = 0
        # Set while the write buffer is full.
        self._untaken_timer: asyncio.TimerHandle | None = None
        # Bytes of a body after its answer, and when that ended.
        self._unwanted_bytes = 0
        self._answered_ms = 0.0
        # The status and cause with which a head is refused.
        self._refusal: tuple[int, CloseReason] | None = None
        # Bytes of chunk extensions and trailers since the last part of a body.
        self._framing_bytes = 0
        # Whether the last part that was read ended a head or held a part of a body.
        self._progressed = False
        # The next request is the last one.
        self._closing = False
        # Received bytes that are not parsed yet, as a request before them is being served.
        self._ahead = b""
        self._parts = RequestParts()
        # A request was refused, and the rest of it is discarded.
        self._lingering = False
        self._discarded_bytes = 0
        self._close_reason: CloseReason | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request."""
        super().connection_made(transport)
        self.headers, self.url = [], b""
        self.flow = _HeldFlow(transport)
        self._wait_in_table(Wait.FIRST_REQUEST)
        self._begin_wait()
        self._arm_timer(self._promised_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close."""
        self._policy.table.close(self)
        self._policy.unread.remove(self)
        self._stop_untaken_timer()
        self._policy.heads.release(self)
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are read to."""
        return memoryview(self._policy.read_buffer)[: self._parts.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read."""
        self.data_received(bytes(memoryview(self._policy.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Read parts of requests."""
        if self._refusal or self._lingering:
            self._discard(data)
            return
        self._ahead += data
        self._parse_ahead()

    def _parse_ahead(self) -> None:
        """Parse what was received, up to the end of a request that is being served."""
        data, at = self._ahead, 0
        self._ahead = b""
        while at < len(data) and self._parses:
            if not self._in_message and (end := self._parts.skip_blank(data, at)) > at:
                self._count_blank(end - at)
            else:
                end = self._parts.find_end(data, at)
                self._parse(data[at:end])
            at = end
        if self._lingering or self._refusal:
            self._discard(data[at:])
        elif not self.transport.is_closing():
            self._ahead = data[at:]
        self.flow.held = bool(self._ahead)
        if self.flow.held:
            self.flow.pause_reading()
            self._policy.unread.add(self)

    @property
    def _parses(self) -> bool:
        """Whether the next bytes may be parsed: no whole request waits for its answer."""
        if self._refusal or self._lingering or self.transport.is_closing():
            return False
        return self._in_message or not self._is_serving

    def _parse(self, part: bytes) -> None:
        self._progressed = False
        super().data_received(part)
        self._parts.record_parsed(part)
        if self._in_head:
            self._count_head_bytes(part)
        elif self._in_message:
            # A caller that sends a body doesn't rest, even if its answer is complete.
            self._begin_wait()
            self._count_framing_bytes(part)
            if not self._is_serving:
                self._count_unwanted(len(part))
        self._watch()

    def on_message_begin(self) -> None:
        """Record the begin of a head."""
        self._in_head = self._in_message = True
        self._parts.begin_request()
        self._head_bytes = self._blank_bytes = 0
        if not self._is_serving:
            self._begin_wait()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of a head; those of trailers are ignored."""
        if self._in_head:
            super().on_header(name, value)
            if name.lower() == b"content-length":
                length = read_whole(value.decode("latin-1"))
                self._parts.stated_bytes = length.ok_value if isinstance(length, Ok) else None

    def on_headers_complete(self) -> None:
        """Start the request, or refuse it."""
        self._in_head = False
        self._progressed = True
        self._parts.begin_body()
        fields_bytes = count_field_bytes(self.headers)
        if max(fields_bytes, len(self.url)) > self._policy.header_bytes:
            self._refusal = 431, CloseReason.HEADER_TOO_LARGE
            return
        if not self._hold_head(fields_bytes, served=True):
            self._refusal = 503, CloseReason.HEADERS_FULL
            return
        self._wait_in_table(Wait.BODY)
        super().on_headers_complete()
        if self._closing or self._policy.stopping:
            self._announce_close()

    def on_body(self, body: bytes) -> None:
        """Buffer a part of a request's body."""
        self._progressed = True
        self._parts.add_body(len(body))
        if self._is_serving:
            self._wait_in_table(Wait.BODY)
        if not self._refusal:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        self._in_message = False
        self._parts.end_request()
        if self._is_serving:
            self._policy.table.end_wait(self)
        if not self._refusal:
            super().on_message_complete()
        # A refusal before the next head has no field of this one; the request keeps its list.
        self.headers, self.url = [], b""

    def on_response_complete(self) -> None:
        """Let the connection rest, or serve what was sent ahead."""
        self._begin_wait()
        self._wait_in_table(Wait.NEXT_REQUEST)
        self._policy.heads.release(self)
        self._unwanted_bytes, self._answered_ms = 0, self.loop.time() * 1000
        # The base class arms the timer with it.
        self.timeout_keep_alive = self._promised_ms / 1000  # type: ignore[assignment]
        super().on_response_complete()
        if self._ahead:
            # In a later turn: one caller's requests leave time for those of others.
            self.loop.call_soon(self._serve_ahead)

    def _serve_ahead(self) -> None:
        """Parse the next request, once its caller has taken the answers before it."""
        if self.transport.is_closing() or self._is_serving:
            return
        if self.transport.get_write_buffer_size():
            # The transport calls `resume_writing` when it has written all.
            self.transport.set_write_buffer_limits(0)
            return
        self.flow.held = False
        self._policy.unread.remove(self)
        self.flow.resume_reading()
        self._parse_ahead()

    def pause_writing(self) -> None:
        """Wait until the caller has taken most of what was written."""
        super().pause_writing()
        self._stop_untaken_timer()
        self._untaken_timer = self.loop.call_later(
            self._policy.untaken_ms / 1000, self._abort_untaken
        )

    def _abort_untaken(self) -> None:
        """End a connection, and the work for its answer, whose caller takes nothing."""
        self._close_reason = CloseReason.UNTAKEN
        self.transport.abort()

    def _stop_untaken_timer(self) -> None:
        if self._untaken_timer is not None:
            self._untaken_timer.cancel()
            self._untaken_timer = None

    def resume_writing(self) -> None:
        """Write on, and serve what waited for that."""
        super().resume_writing()
        self._stop_untaken_timer()
        if self._ahead and not self._is_serving:
            self.transport.set_write_buffer_limits()
            self.loop.call_soon(self._serve_ahead)

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
        if self._refusal:
            self._refuse(*self._refusal)
            return
        match self._decide():
            case LookAgain(after_ms):
                self._arm_timer(after_ms)
            case CloseNow() if self.transport.get_write_buffer_size() and self._ahead:
                self._abort_untaken()
            case CloseNow() if self.has_unread:
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

    def evict(self) -> None:
        """Close the connection, to make room for another one."""
        if self._is_serving or self.transport.get_write_buffer_size():
            self._close_reason = CloseReason.EVICTED
            self.transport.abort()
        else:
            self._close(CloseReason.EVICTED)

    def close_unread(self) -> None:
        """Close the connection at once, with the request that is being served."""
        self._close_reason = CloseReason.SENT_AHEAD
        self.transport.abort()

    def _wait_in_table(self, wait: Wait) -> None:
        self._policy.table.begin_wait(self, wait, monotonic_ms())

    @property
    def has_unread(self) -> bool:
        """Whether a request may have arrived."""
        return bool(self._ahead) or unread_bytes(self.transport.get_extra_info("socket")) > 0

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
        self._head_bytes += len(data)
        max_bytes = self._policy.header_bytes
        rest_bytes = self._head_bytes - len(self.url) - REQUEST_LINE_BYTES
        if max(rest_bytes, len(self.url)) > max_bytes:
            self._refusal = 431, CloseReason.HEADER_TOO_LARGE
        elif not self._hold_head(self._head_bytes, served=False):
            self._refusal = 503, CloseReason.HEADERS_FULL

    def _hold_head(self, wire_bytes: int, served: bool) -> bool:
        size_bytes = head_size(wire_bytes, len(self.headers), served)
        return self._policy.heads.hold(self, size_bytes)

    @property
    def awaits_caller(self) -> bool:
        """Whether the rest of its head or body has not arrived."""
        return self._in_message

    def give_up(self) -> None:
        """End a request of which the caller has not sent the rest."""
        if self._is_serving:
            self._close_reason = CloseReason.HEADERS_FULL
            self.transport.abort()
        else:
            self._refuse(503, CloseReason.HEADERS_FULL)

    def _count_blank(self, size_bytes: int) -> None:
        """Refuse empty lines without a request; one or a few are allowed before it."""
        self._blank_bytes += size_bytes
        if self._blank_bytes > self._policy.header_bytes:
            self._refusal = 400, CloseReason.MALFORMED
            self._watch()

    def _count_unwanted(self, size_bytes: int) -> None:
        """Close a connection whose body goes on after its answer.

        The rest of a body within the limits is read, as its caller could lose the answer.
        """
        self._unwanted_bytes += size_bytes
        answered_ms = self.loop.time() * 1000 - self._answered_ms
        if self._unwanted_bytes > self._policy.unwanted_bytes or answered_ms > UNWANTED_BODY_MS:
            self._close_reason = CloseReason.BODY_ENDLESS
            self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Refuse what is no request; uvicorn's own answer lacks the request's id."""
        if not self._in_message or self._in_head:
            self._refuse(400, CloseReason.MALFORMED)
            return
        # In a body, whose request may have its answer already.
        self._close_reason = CloseReason.MALFORMED
        if not self.cycle.response_started:
            self.transport.write(self._encode_refusal(400, CloseReason.MALFORMED))
        self.transport.close()

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
        self.transport.write(self._encode_refusal(status, close_reason))
        self.headers.clear()
        self._policy.heads.release(self)
        self._lingering = True
        self._unset_keepalive_if_required()
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self._arm_timer(LINGER_MS)

    def _encode_refusal(self, status: int, close_reason: CloseReason) -> bytes:
        body = msgspec.json.encode({"error": close_reason.replace("_", "-")})
        fields = [
            *self.server_state.default_headers,
            *((name, value) for name, value in self.headers if name == self._policy.echoed_field),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        if status == RETRY_STATUS:
            fields.append((b"retry-after", RETRY_AFTER_S))
        head = b"".join(b"%s: %s\r\n" % field for field in fields)
        return b"%s%s\r\n%s" % (STATUS_LINE[status], head, body)

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
