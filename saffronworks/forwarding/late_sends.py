"""The late exchange of a plain request, which goes on beside the next one."""

from collections.abc import Callable

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.messages import AnswerHead
from saffronworks.forwarding.ports import Exchange

__all__ = ["LateSend", "LateSendKeeper"]


@attrs.frozen
class LateSend:
    """A send without an answer in time, whose exchange goes on while the next one begins."""

    endpoint: ServiceEndpoint
    exchange: Exchange
    sent_ms: int
    first_ms: int
    head: AnswerHead | None
    start_of_body: bytes


class LateSendKeeper:
    """Keeps the late send before the current one, if there is one; `send` is None otherwise."""

    def __init__(self) -> None:
        self.send: LateSend | None = None

    @property
    def answered(self) -> bool:
        """True if there is a late send, and its answer is whole."""
        return self.send is not None and self.send.exchange.connection.answered

    def may_answer(self, now_ms: int, deadline_at_ms: int) -> bool:
        """Return whether the late exchange goes on, or its answer is whole."""
        if self.send is None:
            return False
        connection = self.send.exchange.connection
        in_time = now_ms < deadline_at_ms
        return connection.answered or (in_time and connection.may_answer)

    async def succeeded(self, now_ms: Callable[[], int]) -> bool:
        """Return whether the late exchange has a whole answer for the caller."""
        late = self.send
        if late is None or not (late.exchange.connection.answered and late.exchange.framed):
            return False
        head = late.head
        if head is None:
            try:
                head = await late.exchange.head(1)
            except ExchangeError:
                return False
            self.send = attrs.evolve(late, head=head, first_ms=now_ms())
        return head.success and head.signed

    def pop(self) -> LateSend | None:
        """Return the late send, and keep it no longer."""
        late, self.send = self.send, None
        return late

    def end_overlap(self) -> None:
        """End a late exchange, unless its answer has arrived: the next endpoint may still fail."""
        if self.send is not None and not self.send.exchange.connection.answered:
            self.end()

    def end(self) -> None:
        """End the late exchange, if there is one."""
        late = self.pop()
        if late is not None:
            late.exchange.end()
