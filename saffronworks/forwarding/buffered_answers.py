"""Counts the bytes buffered for callers, and enforces the node's bound on them."""

import logging
from collections.abc import Callable

import anyio

from saffronworks.forwarding.answer_buffers import BufferBound, BufferedAnswer
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.figures import Level, MetricsRecorder
from saffronworks.forwarding.ports import AnswerBody, CallerReply, Exchange
from saffronworks.forwarding.tuning import (
    BUFFER_CHECK_INTERVAL_MS,
    ENDPOINT_READ_BYTES,
    MAX_PREREAD_BODY_BYTES,
)

__all__ = ["AnswerBuffers", "TrackedBody"]

logger = logging.getLogger(__name__)


class TrackedBody:
    """The body of an answer that is relayed to a caller, and the count of its buffered bytes."""

    def __init__(self, buffers: "AnswerBuffers", request_id: str, reply: CallerReply):
        self.request_id = request_id
        self.reply = reply
        self.counted_bytes = 0
        self.unread_since_ms: int | None = None
        self.reading_paused = False
        self._buffers = buffers
        self._body: AnswerBody | None = None
        self._preread_bytes = 0
        self._connection: EndpointConnection | None = None
        self._writing_bytes = 0
        self._written_bytes = 0
        self._read_bytes = 0

    def set_preread_bytes(self, preread_bytes: int) -> None:
        """Record how many bytes were read from the exchange before the answer begins."""
        self._preread_bytes = preread_bytes
        self._update()

    def begin(self, body: AnswerBody) -> None:
        """Begin the body after the head was sent; the preread bytes are written next."""
        self._body = body
        self._preread_bytes = 0

    def attach(self, exchange: Exchange) -> None:
        """Count the bytes of the exchange that supplies the body."""
        if self._buffers.bounded:
            self._connection = exchange.connection
            self._connection.received.on_buffered_change = self._update
            self._update()

    def detach(self) -> None:
        """Stop counting the exchange, which is over or no longer relayed."""
        if self._connection is not None:
            self.set_reading_paused(False)
            self._connection.received.on_buffered_change = None
            self._connection = None
            self._preread_bytes = 0
            self._update()

    async def write(self, data: bytes) -> None:
        """Write a part of the body to the caller."""
        assert self._body is not None
        self._writing_bytes = len(data)
        try:
            await self._body.write(data)
            self._written_bytes += len(data)
        finally:
            self._writing_bytes = 0
            self._update()
        if self._buffers.reached:
            # Resume the endpoint as soon as the caller has read everything, not at the next check.
            await self.reply.drain()
            self._update()

    async def finish(self) -> None:
        """End the body, which marks the answer as complete."""
        assert self._body is not None
        await self._body.finish()

    def set_reading_paused(self, reading_paused: bool) -> None:
        """Pause or resume reading from the endpoint."""
        if self._connection is not None:
            self.reading_paused = reading_paused
            self._connection.received.set_reading_paused(reading_paused)

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of the answer that are in this process."""
        waiting_bytes = self._connection.received.buffered_bytes if self._connection else 0
        return waiting_bytes + self._preread_bytes + self._writing_bytes + self.reply.buffered_bytes

    @property
    def can_pause(self) -> bool:
        """Return whether reading may be paused: the answer can begin without more bytes."""
        return self._body is not None or self.counted_bytes >= MAX_PREREAD_BODY_BYTES

    @property
    def endpoint_paused(self) -> bool:
        """Return whether reading from the endpoint is paused."""
        return self._connection is not None and self._connection.received.paused

    @property
    def unread(self) -> bool:
        """Return whether the exchange is over but the caller has not read everything."""
        return self._connection is None and self.counted_bytes > 0

    @property
    def done(self) -> bool:
        """Return whether nothing is left to relay."""
        return self._connection is None and not self.counted_bytes

    def update_unread(self, now_ms: int) -> None:
        """Restart `unread_since_ms` if the caller has read more; clear it if no byte is left."""
        read_bytes = self._written_bytes - self.reply.unread_bytes
        if not self.buffered_bytes:
            self.unread_since_ms = None
        elif self.unread_since_ms is None or read_bytes > self._read_bytes:
            self.unread_since_ms = now_ms
        self._read_bytes = read_bytes

    def _update(self) -> None:
        self._buffers.update(self)


class AnswerBuffers:
    """The buffered bytes of all answers of a node; without a bound nothing is counted.

    A fully written answer counts until its caller has read it.
    """

    def __init__(
        self, bound_bytes: int | None, figures: MetricsRecorder, now_ms: Callable[[], int]
    ) -> None:
        self.total_bytes = 0
        self._bound = None if bound_bytes is None else BufferBound(bound_bytes, ENDPOINT_READ_BYTES)
        self._figures = figures
        self._now_ms = now_ms
        # By caller's connection: a later answer includes the rest of an earlier one.
        self._answers: dict[int, TrackedBody] = {}
        self._next_check_bytes = self._bound.next_check_bytes(0) if self._bound else 0.0
        self._check_needed = anyio.Event()
        figures.register_gauge("saffronworks_buffered_bytes", lambda: [Level(self.total_bytes, {})])

    @property
    def bounded(self) -> bool:
        """Return whether the node has a memory limit, and so a bound."""
        return self._bound is not None

    @property
    def reached(self) -> bool:
        """Return whether the high watermark was reached, and since then the low one not passed."""
        return self._bound is not None and self._bound.reached

    def track(self, request_id: str, reply: CallerReply) -> TrackedBody:
        """Return a tracked body for a new answer."""
        return TrackedBody(self, request_id, reply)

    def update(self, answer: TrackedBody) -> None:
        """Update the count of an answer, and decide if the total has reached the next check."""
        if self._bound is None:
            return
        self._count(answer)
        if answer.reading_paused and not answer.counted_bytes:
            # The caller has read everything, so the endpoint may resume at once.
            answer.set_reading_paused(False)
        if self.total_bytes >= self._next_check_bytes:
            self._decide()
        else:
            # Less may be buffered than at the last decision: the next one is then due earlier.
            next_check_bytes = self._bound.next_check_bytes(self.total_bytes)
            self._next_check_bytes = min(self._next_check_bytes, next_check_bytes)
        if self._bound.reached or answer.endpoint_paused or answer.unread:
            self._check_needed.set()

    async def run(self) -> None:
        """Check callers while the bound is reached, an endpoint paused or an answer unread."""
        while True:
            await self._check_needed.wait()
            await anyio.sleep(BUFFER_CHECK_INTERVAL_MS / 1000)
            self._decide()

    def _count(self, answer: TrackedBody) -> None:
        key = answer.reply.connection_key
        earlier = self._answers.get(key)
        if earlier is not None and earlier is not answer:
            self.total_bytes -= earlier.counted_bytes
            earlier.counted_bytes = 0
        self._answers[key] = answer
        buffered_bytes = answer.buffered_bytes
        self.total_bytes += buffered_bytes - answer.counted_bytes
        answer.counted_bytes = buffered_bytes
        if answer.done:
            del self._answers[key]

    def _decide(self) -> None:
        assert self._bound is not None
        now_ms, was_reached = self._now_ms(), self._bound.reached
        for answer in list(self._answers.values()):
            self._count(answer)
            answer.update_unread(now_ms)
        buffered = [
            BufferedAnswer(
                key,
                answer.counted_bytes,
                answer.unread_since_ms,
                answer.endpoint_paused,
                answer.can_pause,
            )
            for key, answer in self._answers.items()
        ]
        decision = self._bound.decide(buffered, now_ms)
        self._next_check_bytes = self._bound.next_check_bytes(self.total_bytes)
        if self._bound.reached != was_reached:
            self._log_change(len(decision.paused))
        for key, answer in list(self._answers.items()):
            self._apply(answer, key in decision.paused)
        for key in decision.disconnected:
            self._disconnect(self._answers[key], now_ms)
        answers = self._answers.values()
        if not self._bound.reached and not any(a.endpoint_paused or a.unread for a in answers):
            self._check_needed = anyio.Event()

    def _apply(self, answer: TrackedBody, paused: bool) -> None:
        if paused and not answer.reading_paused:
            self._figures.count_buffers("paused")
        if paused != answer.reading_paused:
            answer.set_reading_paused(paused)

    def _disconnect(self, answer: TrackedBody, now_ms: int) -> None:
        """Disconnect a caller that does not read, which also ends the work for its answer."""
        assert answer.unread_since_ms is not None
        logger.info(
            "event=caller_disconnected request=%s reason=reads-nothing unread_ms=%d "
            "buffered_bytes=%d",
            answer.request_id,
            now_ms - answer.unread_since_ms,
            answer.counted_bytes,
        )
        self._figures.count_buffers("disconnected")
        answer.reply.disconnect()

    def _log_change(self, paused: int) -> None:
        assert self._bound is not None
        logger.info(
            "event=%s buffered_bytes=%d bound_bytes=%d answers=%d paused=%d",
            "buffers_full" if self._bound.reached else "buffers_free",
            self.total_bytes,
            self._bound.bound_bytes,
            len(self._answers),
            paused,
        )
