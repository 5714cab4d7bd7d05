"""One endpoint's run of a stream, read event by event."""

from saffronworks.forwarding.event_streams import EventSequence, EventSplitter
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import AnswerHead, EventMark
from saffronworks.forwarding.ports import Exchange

__all__ = ["StreamRun"]


class StreamRun:
    """Whatever an endpoint sent lives and ends with its run.

    So no byte of a run that broke, such as the start of an event, can stand in the answer of the
    endpoint that is tried next.
    """

    def __init__(self, exchange: Exchange):
        self.exchange = exchange
        self._splitter = EventSplitter()
        self._first: EventMark | None = None

    async def head(self, timeout_ms: float) -> AnswerHead:
        """The start of the answer; raises ExchangeError."""
        return await self.exchange.head(timeout_ms)

    async def read_first(self, timeout_ms: float) -> EventMark | None:
        """Wait for events to pass on, so that an early break can be mended; raises ExchangeError.

        They stay the next ones. A whole answer may have none.
        """
        self._first = await self._next(timeout_ms)
        return self._first

    def resumes_after(self, sent: EventSequence) -> bool:
        """Whether this run, whose first events are at hand, goes on right after what was sent.

        One without events does where its endpoint told its end: then all was sent before.
        """
        if self._first is not None:
            return sent.continues(self._first.ids)
        return self.exchange.framed and not self.remainder()

    async def next_events(self, timeout_ms: float) -> EventMark | None:
        """The next whole events, None at a good end; raises ExchangeError."""
        if self._first is not None:
            first, self._first = self._first, None
            return first
        return await self._next(timeout_ms)

    async def _next(self, timeout_ms: float) -> EventMark | None:
        while (chunk := await self.exchange.next_chunk(timeout_ms)) is not None:
            mark = self._splitter.feed(chunk)
            if mark is not None:
                return mark
        if self._splitter.remainder() and not self.exchange.framed:
            raise ExchangeError(ExchangeErrorCause.CLOSED, sent=True)
        return None

    def remainder(self) -> bytes:
        """What follows the last whole event at a good end, as the endpoint sent it."""
        return self._splitter.remainder()
