"""HTTP/1.1 connections to endpoints, one request at a time on each.

httpcore hides what decides here: whether any byte of a request left, whether bytes came that
belong to no request, and whether an answer without a length ended by a close or by a reset. So
these are asyncio protocols over httptools.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable

import attrs
import httptools
from result import Ok

from saffronworks.field_numbers import read_whole
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.tuning import (
    KEEP_ALIVE_DEFAULT_MS,
    KEEP_ALIVE_SHARE,
    MOST_BUFFERED_BYTES,
    USER_TIMEOUT_MS,
)

__all__ = ["EndpointConnection", "ResponseHead"]

_NO_BODY = frozenset([204, 304])
_FIRST_FAILURE = 400


@attrs.define
class ResponseHead:
    """Status and header fields of an answer, in order, names as they came."""

    status: int = 0
    fields: list[tuple[str, str]] = attrs.Factory(list)

    def get(self, name: str) -> str | None:
        """The first field of that name, in any case."""
        wanted = name.lower()
        return next((value for key, value in self.fields if key.lower() == wanted), None)


class EndpointConnection(asyncio.Protocol):
    """One connection. An answer whose id differs from the request's is read over and dropped."""

    def __init__(self, id_field: str):
        self._id_field = id_field
        self._transport: asyncio.Transport | None = None
        self._changed = asyncio.Event()
        self._chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        # Called when `buffered_bytes` has changed, while an answer is passed on.
        self.on_buffered_change: Callable[[], None] | None = None
        self._full = False
        self._held = False
        self.paused = False
        self._parser: httptools.HttpResponseParser | None = None
        self._awaited_id: str | None = None
        self._earlier_id: str | None = None
        self._incoming = ResponseHead()
        self._head: ResponseHead | None = None
        self._dropping = False
        self._bodiless = False
        self._whole = False
        self.framed = False
        self._lost: ExchangeErrorCause | None = None
        self.idle_since_ms = 0
        self.keep_alive_ms = float(KEEP_ALIVE_DEFAULT_MS)
        self.reusable = True
        # Whether no request may follow, but calls of the router's own, which carry no id either.
        self.control_calls_only = False
        self.uses = 0

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long unacknowledged bytes and a silent path are borne."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that no request waits for spoil the connection."""
        if self._parser is None or self._whole:
            self.reusable = False
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reusable = False
            if not self._whole:
                self._lose(ExchangeErrorCause.NOT_HTTP)
            self.close()
        self._changed.set()

    def eof_received(self) -> bool:
        """The endpoint closed: that ends an answer without a length."""
        self.reusable = False
        if self._head is not None and not self.framed and not self._dropping:
            self._whole = True
        self._lose(ExchangeErrorCause.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """A reset, the end after a close, or bytes that nobody acknowledged (ETIMEDOUT)."""
        self.reusable = False
        if exc is None:
            self._lose(ExchangeErrorCause.CLOSED)
        else:
            timed_out = isinstance(exc, TimeoutError)
            self._lose(ExchangeErrorCause.UNREACHABLE if timed_out else ExchangeErrorCause.RESET)

    def _lose(self, cause: ExchangeErrorCause) -> None:
        if self._lost is None:
            self._lost = cause
        self._changed.set()

    # httptools' callbacks

    def on_message_begin(self) -> None:
        """A new answer; a second one after a whole answer belongs to no request."""
        if self._whole:
            self.reusable = False
        self._incoming = ResponseHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a field."""
        self._incoming.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decide whose answer this is."""
        assert self._parser is not None
        if self._whole:
            return
        # Fields that follow the body are none of the head.
        head, self._incoming = self._incoming, ResponseHead()
        head.status = self._parser.get_status_code()
        self._dropping = head.status < 200 or self._answers_another(head.get(self._id_field))
        if self._dropping:
            self.reusable = self.reusable and head.status < 200
            return
        self._head = head
        if head.get(self._id_field) is None:
            self._note_unidentified(head.status)
        self.framed = (
            head.get("content-length") is not None
            or head.get("transfer-encoding") is not None
            or head.status in _NO_BODY
        )
        self._whole = self._bodiless
        self._read_keep_alive(head)

    def _note_unidentified(self, status: int) -> None:
        """No later request may follow an answer without an id, or a refused call of our own.

        A copy of it that comes late would be taken for the answer to that request, as whose
        refusal to run it counts.
        """
        if self._awaited_id is not None:
            self.reusable = False
        elif status >= _FIRST_FAILURE:
            self.control_calls_only = True

    def _answers_another(self, answer_id: str | None) -> bool:
        """Whether an answer belongs to another request; of a call without an id, to one before."""
        if answer_id is None:
            return False
        if self._awaited_id is None:
            return answer_id == self._earlier_id
        return answer_id != self._awaited_id

    def _read_keep_alive(self, head: ResponseHead) -> None:
        if "close" in (head.get("connection") or "").lower():
            self.reusable = False
        for part in (head.get("keep-alive") or "").split(","):
            key, _, value = part.strip().partition("=")
            timeout_s = read_whole(value)
            if key == "timeout" and isinstance(timeout_s, Ok):
                self.keep_alive_ms = timeout_s.ok_value * 1000.0 * KEEP_ALIVE_SHARE

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body for the reader."""
        if self._dropping:
            return
        if self._whole:
            self.reusable = False
            return
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._full = self.buffered_bytes > MOST_BUFFERED_BYTES
        self._update_reading()
        if self.on_buffered_change is not None:
            self.on_buffered_change()

    def set_reading_paused(self, held: bool) -> None:
        """Read no further, whatever is buffered, or read on; for the bound of the whole node."""
        self._held = held
        self._update_reading()

    def _update_reading(self) -> None:
        paused = self._full or self._held
        if paused == self.paused or self._transport is None:
            return
        self.paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def on_message_complete(self) -> None:
        """The answer is whole, unless it was one to drop."""
        if self._dropping:
            self._dropping = False
        elif self._head is not None:
            self._whole = True

    # The exchange

    def send(self, data: bytes, awaited_id: str | None, bodiless: bool = False) -> None:
        """Start an exchange; `bodiless` where the answer is a head alone (the method HEAD).

        ExchangeError when the connection is gone already.
        """
        if self._lost is not None or self._transport is None or self._transport.is_closing():
            raise ExchangeError(ExchangeErrorCause.CLOSED, sent=False)
        self._parser = httptools.HttpResponseParser(self)
        if self._awaited_id is not None:
            self._earlier_id = self._awaited_id
        self._awaited_id = awaited_id
        self._bodiless = bodiless
        self._head = None
        self._whole = self._dropping = self.framed = False
        self._chunks.clear()
        self.buffered_bytes = 0
        # An answer that nobody read to its end may have left the connection paused.
        self._full = self._held = False
        self._update_reading()
        self.uses += 1
        self._transport.write(data)

    async def head(self, timeout_ms: float) -> ResponseHead:
        """The status and fields of the answer; ExchangeError when there is none in time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._head is None:
                    if self._lost is not None:
                        raise ExchangeError(self._lost, sent=True)
                    await self._wait()
        except TimeoutError:
            raise ExchangeError(ExchangeErrorCause.SILENT, sent=True) from None
        return self._head

    async def next_chunk(self, timeout_ms: float | None = None) -> bytes | None:
        """The next part of the body, None at its end; ExchangeError if it ends early or stalls."""
        while not await self._has_chunks(timeout_ms):
            if self._whole:
                return None
            # An endpoint that is not read from is not silent.
            if not self._held:
                raise ExchangeError(ExchangeErrorCause.SILENT, sent=True)
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0
        self._full = False
        self._update_reading()
        return data

    async def _has_chunks(self, timeout_ms: float | None) -> bool:
        """Wait for a part of the body; False at its end, or when none comes in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if timeout_ms is None else timeout_ms / 1000):
                while not self._chunks and not self._whole:
                    if self._lost is not None:
                        raise ExchangeError(self._lost, sent=True)
                    await self._wait()
        return bool(self._chunks)

    async def body(self, timeout_ms: float) -> bytes:
        """The rest of the body; for small answers."""
        parts = []
        while (chunk := await self.next_chunk(timeout_ms)) is not None:
            parts.append(chunk)
        return b"".join(parts)

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    @property
    def finished(self) -> bool:
        """Whether the exchange ended whole and another may follow."""
        return self._whole and self.reusable and self._lost is None

    def abort_exchange(self, cause: ExchangeErrorCause) -> None:
        """End an exchange whose endpoint will not answer any more."""
        self.reusable = False
        self._lose(cause)
        self.close()

    def close(self) -> None:
        """Close at once; the endpoint sees it and stops its work."""
        if self._transport is not None:
            self._transport.abort()
