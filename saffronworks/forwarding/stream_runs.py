"""One run of a stream at one endpoint, read event by event."""

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.event_streams import EventSequence, EventSplitter
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import AnswerHead, EventMark
from saffronworks.forwarding.ports import Exchange
from saffronworks.forwarding.tuning import MAX_EVENT_BYTES

__all__ = ["StreamRun"]

# A run that goes on is reported to the quarantine at this interval.
PROGRESS_INTERVAL_MS = 250


class StreamRun:
    """The bytes that one endpoint sent for a stream.

    Each run has its own buffer, so that no byte of a broken run, such as the start of an event, can
    get into the answer of the next endpoint.
    """

    def __init__(self, exchange: Exchange, writing_since_ms: int | None = None):
        self.exchange = exchange
        # Time of the first event, None before it.
        self.writing_since_ms = writing_since_ms
        self._progress_due_ms = 0
        self._splitter = EventSplitter()
        self._first: EventMark | None = None
        # Time waited since the last event with an id, and whether there was one.
        self._quiet_ms = 0
        self._has_ids = False

    async def head(self, timeout_ms: float) -> AnswerHead:
        """Return the head of the answer; raises ExchangeError."""
        return await self.exchange.head(timeout_ms)

    async def read_first(self, timeout_ms: float) -> EventMark | None:
        """Wait for the first events without consuming them; raises ExchangeError.

        If this fails, the request can still be retried. A complete answer may have no events.
        """
        self._first = await self._next(timeout_ms)
        return self._first

    def resumes_after(self, sent: EventSequence) -> bool:
        """Return whether the run's first events resume directly after those sent.

        A run without events does if its answer is framed: then all events were sent before.
        """
        if self._first is not None:
            return sent.continues(self._first.ids)
        return self.exchange.framed and not self.remainder()

    async def next_events(self, timeout_ms: float, stall_ms: int | None = None) -> EventMark | None:
        """Return the next whole events, None at a regular end; raises ExchangeError.

        With `stall_ms` the run fails if it sends nothing but comments, events without an id or
        parts of an event for that long.
        """
        if self._first is not None:
            first, self._first = self._first, None
            return first
        return await self._next(timeout_ms, stall_ms)

    def report_progress(self, now_ms: int) -> int | None:
        """Return how long the run has been writing, None until the next report is due."""
        if self.writing_since_ms is None or now_ms < self._progress_due_ms:
            return None
        self._progress_due_ms = now_ms + PROGRESS_INTERVAL_MS
        return now_ms - self.writing_since_ms

    @property
    def quiet_ms(self) -> float:
        """Return the time waited since the last event with an id, or since the start."""
        return self._quiet_ms

    async def _next(self, timeout_ms: float, stall_ms: int | None = None) -> EventMark | None:
        while (chunk := await self._next_chunk(timeout_ms, stall_ms)) is not None:
            mark = self._splitter.feed(chunk)
            if mark is not None:
                self._record_progress(mark)
                return mark
            if self._splitter.buffered_bytes > MAX_EVENT_BYTES:
                raise ExchangeError(ExchangeErrorCause.OVERSIZED, sent=True)
        if self._splitter.remainder().strip():
            raise ExchangeError(ExchangeErrorCause.CLOSED, sent=True)
        return None

    async def _next_chunk(self, timeout_ms: float, stall_ms: int | None) -> bytes | None:
        if stall_ms is None:
            return await self.exchange.next_chunk(timeout_ms)
        left_ms = stall_ms - self._quiet_ms
        if left_ms <= 0:
            raise ExchangeError(ExchangeErrorCause.SILENT, sent=True)
        began_ms = monotonic_ms()
        try:
            return await self.exchange.next_chunk(min(timeout_ms, left_ms))
        finally:
            # While reading is paused, the endpoint is not the cause of the silence.
            self._quiet_ms += monotonic_ms() - max(
                began_ms, self.exchange.connection.received.resumed_ms
            )

    def _record_progress(self, mark: EventMark) -> None:
        self._has_ids = self._has_ids or bool(mark.ids)
        if mark.ids or not self._has_ids:
            self._quiet_ms = 0

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event at a regular end."""
        return self._splitter.remainder()
