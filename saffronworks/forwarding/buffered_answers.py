"""Watches what is buffered for callers; pauses endpoints and disconnects callers by a bound."""

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
    """The body of an answer on its way to the caller, and what is buffered of it."""

    def __init__(self, buffers: "AnswerBuffers", request_id: str, reply: CallerReply):
        self.request_id = request_id
        self.reply = reply
        self.counted_bytes = 0
        self.unread_since_ms: int | None = None
        self.held = False
        self._buffers = buffers
        self._body: AnswerBody | None = None
        self._kept_bytes = 0
        self._connection: EndpointConnection | None = None
        self._writing_bytes = 0
        self._written_bytes = 0
        self._taken_bytes = 0

    def set_preread_bytes(self, kept_bytes: int) -> None:
        """So many bytes were taken from the exchange, and wait for the answer to begin."""
        self._kept_bytes = kept_bytes
        self._note()

    def begin(self, body: AnswerBody) -> None:
        """Status and headers are out; what was kept is about to be written."""
        self._body = body
        self._kept_bytes = 0

    def attach(self, exchange: Exchange) -> None:
        """The next bytes come from this exchange."""
        if self._buffers.bounded:
            self._connection = exchange.connection
            self._connection.on_buffered_change = self._note
            self._note()

    def detach(self) -> None:
        """The exchange is over, or no longer passed on."""
        if self._connection is not None:
            self.set_reading_paused(False)
            self._connection.on_buffered_change = None
            self._connection = None
            self._kept_bytes = 0
            self._note()

    async def write(self, data: bytes) -> None:
        """Send a part."""
        assert self._body is not None
        self._writing_bytes = len(data)
        try:
            await self._body.write(data)
            self._written_bytes += len(data)
        finally:
            self._writing_bytes = 0
            self._note()
        if self._buffers.reached:
            # Its endpoint may go on as soon as the caller has taken all, not at the next look.
            await self.reply.drain()
            self._note()

    async def finish(self) -> None:
        """End it, so that the answer looks complete."""
        assert self._body is not None
        await self._body.finish()

    def set_reading_paused(self, held: bool) -> None:
        """Read from the endpoint no further, or again."""
        if self._connection is not None:
            self.held = held
            self._connection.set_reading_paused(held)

    @property
    def buffered_bytes(self) -> int:
        """All bytes of it that are in this process."""
        waiting_bytes = self._connection.buffered_bytes if self._connection else 0
        return waiting_bytes + self._kept_bytes + self._writing_bytes + self.reply.buffered_bytes

    @property
    def can_pause(self) -> bool:
        """Whether its endpoint may be held up: the answer needs no more bytes to begin."""
        return self._body is not None or self.counted_bytes >= MAX_PREREAD_BODY_BYTES

    @property
    def endpoint_paused(self) -> bool:
        """Whether its endpoint is not read from at present."""
        return self._connection is not None and self._connection.paused

    @property
    def unread(self) -> bool:
        """Whether its exchange is over, and its caller has not taken all."""
        return self._connection is None and self.counted_bytes > 0

    @property
    def over(self) -> bool:
        """Whether nothing of it is left to pass on."""
        return self._connection is None and not self.counted_bytes

    def look(self, now_ms: int) -> None:
        """Note whether the caller has taken anything since the last look."""
        taken_bytes = self._written_bytes - self.reply.unread_bytes
        if not self.buffered_bytes:
            self.unread_since_ms = None
        elif self.unread_since_ms is None or taken_bytes > self._taken_bytes:
            self.unread_since_ms = now_ms
        self._taken_bytes = taken_bytes

    def _note(self) -> None:
        self._buffers.note(self)


class AnswerBuffers:
    """What is buffered of all answers of a node; without a bound bodies are only passed on.

    An answer that was written whole counts until its caller has taken it.
    """

    def __init__(
        self, bound_bytes: int | None, figures: MetricsRecorder, now_ms: Callable[[], int]
    ) -> None:
        self.total_bytes = 0
        self._bound = None if bound_bytes is None else BufferBound(bound_bytes, ENDPOINT_READ_BYTES)
        self._figures = figures
        self._now_ms = now_ms
        # By the caller's connection: a later answer counts what is left of an earlier one.
        self._answers: dict[int, TrackedBody] = {}
        self._next_look_bytes = self._bound.next_check_bytes(0) if self._bound else 0.0
        self._wanted = anyio.Event()
        figures.register_gauge("saffronworks_buffered_bytes", lambda: [Level(self.total_bytes, {})])

    @property
    def bounded(self) -> bool:
        """Whether the node has a memory limit, and so a bound."""
        return self._bound is not None

    @property
    def reached(self) -> bool:
        """Whether the bound is reached."""
        return self._bound is not None and self._bound.reached

    def track(self, request_id: str, reply: CallerReply) -> TrackedBody:
        """The body of an answer that is to begin."""
        return TrackedBody(self, request_id, reply)

    def note(self, answer: TrackedBody) -> None:
        """What is buffered of an answer has changed."""
        if self._bound is None:
            return
        self._count(answer)
        if answer.held and not answer.counted_bytes:
            # It may go on at once: its caller has taken all.
            answer.set_reading_paused(False)
        if self.total_bytes >= self._next_look_bytes:
            self._decide()
        else:
            # Less is buffered than at the last decision: the next one is due earlier.
            next_check_bytes = self._bound.next_check_bytes(self.total_bytes)
            self._next_look_bytes = min(self._next_look_bytes, next_check_bytes)
        if self._bound.reached or answer.endpoint_paused or answer.unread:
            self._wanted.set()

    async def run(self) -> None:
        """Look at callers from time to time, while one of them leaves something unread."""
        while True:
            await self._wanted.wait()
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
        if answer.over:
            del self._answers[key]

    def _decide(self) -> None:
        assert self._bound is not None
        now_ms, was_reached = self._now_ms(), self._bound.reached
        for answer in list(self._answers.values()):
            self._count(answer)
            answer.look(now_ms)
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
        self._next_look_bytes = self._bound.next_check_bytes(self.total_bytes)
        if self._bound.reached != was_reached:
            self._log_change(len(decision.paused))
        for key, answer in list(self._answers.items()):
            self._apply(answer, key in decision.paused)
        for key in decision.disconnected:
            self._disconnect(self._answers[key], now_ms)
        answers = self._answers.values()
        if not self._bound.reached and not any(a.endpoint_paused or a.unread for a in answers):
            self._wanted = anyio.Event()

    def _apply(self, answer: TrackedBody, paused: bool) -> None:
        if paused and not answer.held:
            self._figures.count_buffers("paused")
        if paused != answer.held:
            answer.set_reading_paused(paused)

    def _disconnect(self, answer: TrackedBody, now_ms: int) -> None:
        """End an answer that its caller does not read; what runs for it ends with it."""
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
