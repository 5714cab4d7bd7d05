"""One run of a stream at one endpoint, read event by event."""

from saffronworks.forwarding.event_streams import EventSequence, EventSplitter
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import AnswerHead, EventMark
from saffronworks.forwarding.ports import Exchange

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

    async def next_events(self, timeout_ms: float) -> EventMark | None:
        """Return the next whole events, None at a regular end; raises ExchangeError."""
        if self._first is not None:
            first, self._first = self._first, None
            return first
        return await self._next(timeout_ms)

    def report_progress(self, now_ms: int) -> int | None:
        """Return how long the run has been writing, None until the next report is due."""
        if self.writing_since_ms is None or now_ms < self._progress_due_ms:
            return None
        self._progress_due_ms = now_ms + PROGRESS_INTERVAL_MS
        return now_ms - self.writing_since_ms

    async def _next(self, timeout_ms: float) -> EventMark | None:
        while (chunk := await self.exchange.next_chunk(timeout_ms)) is not None:
            mark = self._splitter.feed(chunk)
            if mark is not None:
                return mark
        if self._splitter.remainder().strip():
            raise ExchangeError(ExchangeErrorCause.CLOSED, sent=True)
        return None

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event at a regular end."""
        return self._splitter.remainder()
