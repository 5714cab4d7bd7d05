"""Reserves memory for the next run of a stream while its silent endpoint may still go on."""

import logging

import attrs

from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.generation_events import TakeHold
from saffronworks.forwarding.messages import KvHold
from saffronworks.forwarding.reservations import Reservation
from saffronworks.forwarding.runners import HOLD
from saffronworks.forwarding.tuning import HOLD_POLL_PER_ENDPOINT_MS, STALL_CHECK_INTERVAL_MS

__all__ = ["Replacement"]

logger = logging.getLogger(__name__)


@attrs.define
class Replacement:
    """At most one hold, taken in the background and unknown to the planner until it is adopted.

    `asking` is True during a round, in which endpoints are asked one after the other; `usable` is
    how many could be asked for the latest one. A hold that is granted after its round was dropped
    is released at once.
    """

    reservation: Reservation
    hold: KvHold | None = None
    _round: int = 0
    asking: bool = False
    usable: int = 0
    _next_round_ms: int = 0

    @property
    def due(self) -> bool:
        """Return whether the endpoints may be asked now."""
        now_ms = self.reservation.node.now_ms()
        return self.hold is None and not self.asking and now_ms >= self._next_round_ms

    def begin_round(self, commands: tuple[TakeHold, ...]) -> None:
        """Ask the endpoints of the commands, one after the other, until one grants a hold."""
        self._round += 1
        self.asking = True
        node = self.reservation.node
        pause_ms = max(STALL_CHECK_INTERVAL_MS, HOLD_POLL_PER_ENDPOINT_MS * len(commands))
        self._next_round_ms = node.now_ms() + pause_ms
        node.spawn(self._ask, commands, self._round)

    async def _ask(self, commands: tuple[TakeHold, ...], number: int) -> None:
        hold = None
        for command in commands:
            hold = await self._request(command)
            if hold is not None or number != self._round:
                break
        node = self.reservation.node
        if number == self._round:
            self.hold, self.asking = hold, False
        elif hold is not None:
            node.spawn(node.calls.drop_hold, hold)

    async def _request(self, command: TakeHold) -> KvHold | None:
        try:
            return await self.reservation.request_hold(command)
        except ExchangeError as broken:
            request = self.reservation.job.request
            await self.reservation.node.note_break(HOLD, request, command.endpoint, broken)
        return None

    def hand_over(self) -> None:
        """Leave the hold to the next run, so that it is not released."""
        self.hold = None

    def drop(self) -> None:
        """Release the hold, and one that is being taken as soon as it is known."""
        self._round += 1
        self.asking = False
        if self.hold is not None:
            node = self.reservation.node
            logger.info(
                "event=replacement_dropped request=%s endpoint=%s",
                self.reservation.job.request.request_id,
                self.hold.endpoint.instance,
            )
            node.spawn(node.calls.drop_hold, self.hold)
            self.hold = None
