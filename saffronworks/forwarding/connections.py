"""HTTP/1.1 connections to endpoints, one request at a time on each.

These are asyncio protocols over httptools, because httpcore does not expose whether any byte of a
request was sent, whether bytes arrived that belong to no request, and whether an answer without a
length ended by a close or by a reset.
"""

import asyncio
import contextlib
import socket

import attrs
import httptools
from result import Ok

from saffronworks.clocks import monotonic_ms
from saffronworks.field_numbers import read_whole
from saffronworks.forwarding.answer_matching import AnswerMatcher
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.receive_buffer import ReceiveBuffer
from saffronworks.forwarding.request_writer import RequestWriter
from saffronworks.forwarding.tuning import (
    KEEP_ALIVE_DEFAULT_MS,
    KEEP_ALIVE_SHARE,
    LATE_COPY_MS,
    MAX_CALL_BODY_BYTES,
    MAX_DISCARDED_BYTES,
    MAX_HEAD_BYTES,
    PROBE_INTERVAL_S,
    SECOND_ANSWER_MS,
    USER_TIMEOUT_MS,
)
from saffronworks.forwarding.unmatched_answers import Mismatch
from saffronworks.sockets import has_input, unacknowledged_bytes

__all__ = ["EndpointConnection", "ResponseHead"]

_NO_BODY = frozenset([204, 304])
_MIN_FAILURE_STATUS = 400
# Lower ones don't exist, and those below the second are interim answers, which have no body.
_MIN_STATUS, _MIN_FINAL_STATUS = 100, 200
_PARSED_BYTES = MAX_HEAD_BYTES // 4


@attrs.define
class ResponseHead:
    """Status and header fields of an answer, in order, with names as received."""

    status: int = 0
    fields: list[tuple[str, str]] = attrs.Factory(list)

    def get(self, name: str) -> str | None:
        """Return the first field of that name, ignoring case."""
        wanted = name.lower()
        return next((value for key, value in self.fields if key.lower() == wanted), None)


def _states_body(head: ResponseHead) -> bool:
    return head.get("content-length") is not None or head.get("transfer-encoding") is not None


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint; discards answers whose id differs from the request's."""

    def __init__(self, id_field: str):
        self._id_field = id_field
        self._transport: asyncio.Transport | None = None
        self._writer = RequestWriter()
        self._changed = asyncio.Event()
        self.received = ReceiveBuffer()
        self._parser: httptools.HttpResponseParser | None = None
        self.matcher = AnswerMatcher()
        self._incoming = ResponseHead()
        self._head: ResponseHead | None = None
        self._discarding = False
        # The answer has a status that no answer can have.
        self._impossible = False
        # Bytes received since the last part of a body, and bytes of discarded bodies.
        self._framing_bytes = 0
        self._discarded_bytes = 0
        self._bodiless = False
        self._complete = False
        self.framed = False
        self._loss_cause: ExchangeErrorCause | None = None
        self.opened_ms = 0
        self.idle_since_ms = 0
        self.keep_alive_ms = float(KEEP_ALIVE_DEFAULT_MS)
        self.reusable = True
        # If true, the connection is closed after its exchange.
        self.single_use = False
        # If true, only the router's own control calls may follow; their requests carry no id.
        self.control_calls_only = False
        # Not before: if a copy answered the last control call, its own answer is still to come.
        self.control_calls_from_ms = 0
        self.uses = 0
        self.sent_ms = 0
        # Address of the node that this connection leads to, if that node relays the request.
        self.relayed_by: str | None = None
        # False if only a close ended the endpoint's answer, which that node has framed.
        self.framed_by_endpoint = True

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set TCP options, among them the timeout of unacknowledged data and probes."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Probes notice a cut path while the answer to an acknowledged request is awaited.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they belong to no request."""
        unparsed = memoryview(data)
        # The parser bounds neither heads nor framing, so it gets less than their limit at a time.
        while unparsed:
            part, unparsed = unparsed[:_PARSED_BYTES], unparsed[_PARSED_BYTES:]
            if not self._parse(part):
                self.reusable = False
                self.close()
                break
        self._changed.set()

    def _parse(self, data: memoryview) -> bool:
        """Parse a part of the received bytes; return whether the connection stays usable."""
        if self._parser is None or self._complete:
            self.matcher.record(Mismatch.UNREQUESTED)
            return False
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._complete:
                self._record_loss(ExchangeErrorCause.NOT_HTTP)
            return False
        if self._impossible:
            self._record_loss(ExchangeErrorCause.NOT_HTTP)
            return False
        if self._complete or not self._is_oversized:
            return True
        self._record_loss(ExchangeErrorCause.OVERSIZED)
        return False

    @property
    def _is_oversized(self) -> bool:
        exceeds_head = self._framing_bytes > MAX_HEAD_BYTES
        return exceeds_head or self._discarded_bytes > MAX_DISCARDED_BYTES

    def eof_received(self) -> bool:
        """Handle a close by the endpoint, which completes an answer without a length."""
        self.reusable = False
        if self._head is not None and not self.framed and not self._discarding:
            self._complete = True
        self._record_loss(ExchangeErrorCause.CLOSED)
        return False

    def pause_writing(self) -> None:
        """Write no more of a request while the transport's buffer is full."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Write the rest of a request as the transport's buffer empties."""
        self._writer.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle a reset, the end after a close, or unacknowledged data (ETIMEDOUT)."""
        self.reusable = False
        self._writer.discard()
        if exc is None:
            self._record_loss(ExchangeErrorCause.CLOSED)
        else:
            timed_out = isinstance(exc, TimeoutError)
            self._record_loss(
                ExchangeErrorCause.UNREACHABLE if timed_out else ExchangeErrorCause.RESET
            )

    @property
    def is_open(self) -> bool:
        """Return whether neither side has closed the connection."""
        closing = self._transport is None or self._transport.is_closing()
        return not closing and self._loss_cause is None

    @property
    def answered(self) -> bool:
        """Return whether the whole answer has arrived."""
        return self._complete

    @property
    def may_answer(self) -> bool:
        """Return whether the whole answer has arrived, or may still arrive."""
        return self._complete or self.is_open

    def _record_loss(self, cause: ExchangeErrorCause) -> None:
        if self._loss_cause is None:
            self._loss_cause = cause
        self._changed.set()

    # httptools' callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; one after a complete answer belongs to no request."""
        if self._complete:
            self.reusable = False
        self._incoming = ResponseHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self._incoming.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Accept the head, or discard an interim answer or one to another request."""
        assert self._parser is not None
        if self._complete:
            return
        # Trailer fields, which follow the body, are not part of the head.
        head, self._incoming = self._incoming, ResponseHead()
        head.status = self._parser.get_status_code()
        interim = head.status < _MIN_FINAL_STATUS
        if head.status < _MIN_STATUS or (interim and _states_body(head)):
            self._impossible = self._discarding = True
            return
        mismatch = None
        if not interim:
            answer_id = head.get(self._id_field)
            mismatch = self.matcher.accept(head.status, answer_id, monotonic_ms())
        self._discarding = interim or mismatch is not None
        if mismatch is not None:
            self.reusable = False
            self._limit_wait(mismatch, head.status)
        if self._discarding:
            return
        self._head = head
        if head.get(self._id_field) is None:
            self._restrict_reuse(head.status)
        self.framed = _states_body(head) or head.status in _NO_BODY
        self._complete = self._bodiless
        self._read_keep_alive(head)

    def _limit_wait(self, mismatch: Mismatch, status: int) -> None:
        """End the exchange soon if the discarded answer may have been the awaited one."""
        if mismatch is Mismatch.NO_ID and not self.matcher.resembles_control_answer(status):
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_COPY_MS / 1000, self._end_unanswered, self.uses)

    def _end_unanswered(self, uses: int) -> None:
        if self.uses == uses and self._head is None:
            self.abort_exchange(ExchangeErrorCause.UNMATCHED)

    def _restrict_reuse(self, status: int) -> None:
        """Restrict reuse after an answer without an id, or a failed control call.

        A late duplicate of that answer would be taken for the answer to the next request, and could
        report that this request was not run. The next control call may be answered by it.
        """
        if self.matcher.awaited_id is not None:
            self.reusable = False
        elif status >= _MIN_FAILURE_STATUS:
            self.control_calls_only = True
            if not self.matcher.to_node:
                self.control_calls_from_ms = monotonic_ms() + SECOND_ANSWER_MS

    def _read_keep_alive(self, head: ResponseHead) -> None:
        if "close" in (head.get("connection") or "").lower():
            self.reusable = False
        for part in (head.get("keep-alive") or "").split(","):
            key, _, value = part.strip().partition("=")
            timeout_s = read_whole(value)
            if key == "timeout" and isinstance(timeout_s, Ok):
                self.keep_alive_ms = timeout_s.ok_value * 1000.0 * KEEP_ALIVE_SHARE

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body for the reader."""
        self._framing_bytes = 0
        if self._discarding:
            self._discarded_bytes += len(data)
            return
        if self._complete:
            self.reusable = False
            return
        self.received.append(data)

    def on_message_complete(self) -> None:
        """Complete the answer, unless it was discarded."""
        if self._discarding:
            self._discarding = False
        elif self._head is not None:
            self._complete = True

    # Exchange

    def send(
        self, head: bytes, awaited_id: str | None, bodiless: bool = False, body: bytes = b""
    ) -> None:
        """Start an exchange; `bodiless` if the answer has no body (method HEAD).

        The body is written as the endpoint takes it, and kept until then.
        Raises ExchangeError if the connection is already lost.
        """
        if self._loss_cause is not None or self._transport is None or self._transport.is_closing():
            raise self._error(ExchangeErrorCause.CLOSED, sent=False)
        self._parser = httptools.HttpResponseParser(self)
        self._bodiless = bodiless
        self._head = None
        self._complete = self._discarding = self._impossible = self.framed = False
        self._framing_bytes = self._discarded_bytes = 0
        self.framed_by_endpoint = True
        self.received.begin(self._transport)
        self.uses += 1
        self.sent_ms = monotonic_ms()
        self.matcher.begin(awaited_id, self.sent_ms)
        self._writer.write(self._transport, head, body)

    async def head(self, timeout_ms: float | None) -> ResponseHead:
        """Return the head of the answer; raises ExchangeError if there is none in time."""
        try:
            async with asyncio.timeout(None if timeout_ms is None else timeout_ms / 1000):
                while self._head is None:
                    if self._loss_cause is not None:
                        raise self._error(self._loss_cause)
                    await self._wait()
        except TimeoutError:
            # A node that was suspended reads the head in the turn in which the timeout ends.
            if self._head is None:
                raise self._error(ExchangeErrorCause.SILENT) from None
        return self._head

    async def next_chunk(self, timeout_ms: float | None = None) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raises ExchangeError if the body ends early or stalls.
        """
        while not await self._wait_for_chunks(timeout_ms):
            if self._complete:
                return None
            # While reading is paused, the endpoint is not the cause of the silence.
            if not self.received.paused_by_bound:
                raise self._error(ExchangeErrorCause.SILENT)
        return self.received.read()

    async def _wait_for_chunks(self, timeout_ms: float | None) -> bool:
        """Wait for a part of the body; False at its end or after the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if timeout_ms is None else timeout_ms / 1000):
                while self.received.empty and not self._complete:
                    if self._loss_cause is not None:
                        raise self._error(self._loss_cause)
                    await self._wait()
        return not self.received.empty

    async def body(self, timeout_ms: float | None) -> bytes:
        """Return the rest of the body of a small answer, all of which must arrive in time.

        Raises ExchangeError if it ends early, stalls or has more than MAX_CALL_BODY_BYTES.
        """
        body = bytearray()
        try:
            async with asyncio.timeout(None if timeout_ms is None else timeout_ms / 1000):
                await self._read_body(body)
        except TimeoutError:
            # The rest may have been read in the turn in which the timeout ended.
            if self._complete:
                await self._read_body(body)
                return bytes(body)
            began = body or not self.received.empty
            cause = ExchangeErrorCause.ENDLESS if began else ExchangeErrorCause.SILENT
            raise self._error(cause) from None
        return bytes(body)

    async def _read_body(self, body: bytearray) -> None:
        while (chunk := await self.next_chunk()) is not None:
            body += chunk
            if len(body) > MAX_CALL_BODY_BYTES:
                raise self._error(ExchangeErrorCause.OVERSIZED)

    def _error(self, cause: ExchangeErrorCause, sent: bool = True) -> ExchangeError:
        return ExchangeError(cause, sent, self.relayed_by)

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    @property
    def finished(self) -> bool:
        """Return whether an exchange may follow: the last one, if any, is complete."""
        # An endpoint may answer early; the next request must not follow half of a body.
        complete = self._writer.written and (self._complete or not self.uses)
        return complete and self.reusable and self._loss_cause is None

    @property
    def answering(self) -> bool:
        """Return whether the head of the answer has arrived, or the connection is lost."""
        return self._head is not None or self._loss_cause is not None

    @property
    def has_input(self) -> bool:
        """Return whether the endpoint has sent bytes, or closed, and it is not read yet."""
        if self._transport is None or self._transport.is_closing():
            return True
        return has_input(self._transport.get_extra_info("socket"))

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the bytes of the request that the endpoint's machine has not acknowledged."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return unacknowledged_bytes(self._transport.get_extra_info("socket"))

    def abort_exchange(self, cause: ExchangeErrorCause) -> None:
        """Abort an exchange whose endpoint will not answer any more."""
        self.reusable = False
        self._record_loss(cause)
        self.close()

    def close(self) -> None:
        """Close at once; the endpoint detects this and stops its work."""
        if self._transport is not None:
            self._transport.abort()
