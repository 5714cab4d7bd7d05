"""Decides which new connections a node accepts."""

import asyncio
import enum
import logging
from collections.abc import Callable

from saffronworks.loop_meter import LoopMeter
from saffronworks.overload.connect_delay import ConnectDelay
from saffronworks.overload.link_budget import LinkBudget
from saffronworks.overload.start_queue import StartQueue

__all__ = ["ConnectionGate"]

logger = logging.getLogger(__name__)

# At least one connection is accepted in this time, so that a caller without another node is served.
MIN_ACCEPT_INTERVAL_MS = 250
# An overload has ended when no connection was rejected for this long.
RECOVERED_MS = 1000
CHECK_INTERVAL_S = 0.25
# Longest time that packets may wait at the link; each request takes several round trips.
MAX_LINK_QUEUE_MS = 20.0


class Resource(enum.StrEnum):
    """What a node has too little of for one more connection."""

    PROCESSOR = "processor"
    LINK = "link"


class ConnectionGate:
    """Rejects new connections that a node could not serve in time.

    A caller whose connection is closed before its request is read retries at another node at once.
    One whose request waits behind others may reach its deadline.
    """

    def __init__(
        self,
        queue: StartQueue,
        link: LinkBudget,
        delay: ConnectDelay,
        meter: LoopMeter,
        now_ms: Callable[[], int],
    ):
        self.link = link
        self.rejected = 0
        self._queue = queue
        self._delay = delay
        self._meter = meter
        self._now_ms = now_ms
        self._last_accepted_ms = 0
        self._last_rejected_ms = 0
        # Times at which the open connections were accepted.
        self._accepted_ms: dict[int, int] = {}
        # Start of the present overload, or of the last one.
        self._began_ms = 0
        self._rejected_before = 0
        self._overloaded = asyncio.Event()

    def accept(self, key: int) -> bool:
        """Return whether to accept the new connection `key`, and count it."""
        now_ms = self._now_ms()
        lacks = self._find_shortage(now_ms)
        if lacks is not None and now_ms - self._last_accepted_ms < MIN_ACCEPT_INTERVAL_MS:
            self._record_rejected(lacks, now_ms)
            return False
        self._last_accepted_ms = self._accepted_ms[key] = now_ms
        self._queue.add(key, now_ms)
        return True

    @property
    def last_accepted_ms(self) -> int:
        """When the last new connection was accepted."""
        return self._last_accepted_ms

    def begin_request(self, key: int) -> None:
        """Record that a request of a connection begins."""
        self._queue.begin(key)
        self._queue.cost.begin(self._now_ms(), self._meter.busy_ms)

    def send_on(self, key: int) -> None:
        """Record that the request of a connection is sent on."""
        self._queue.send_on(key)
        self._queue.cost.send_on(self._now_ms(), self._meter.busy_ms)

    def end_request(self, key: int) -> None:
        """Record that the request of a connection has ended."""
        self._queue.send_on(key)
        self._queue.cost.end(self._now_ms(), self._meter.busy_ms)

    def close(self, key: int) -> None:
        """Record that a connection was closed."""
        self._accepted_ms.pop(key, None)
        self._queue.close(key)

    def closes(self, key: int) -> bool:
        """Return whether a connection is to be closed after its next answer.

        Requests on open connections are not seen by the gate, so those that were accepted during an
        overload come through it again. Connections that were open before are served on.
        """
        if not self._overloaded.is_set():
            return False
        accepted_ms = self._accepted_ms.get(key, 0)
        return accepted_ms > self._began_ms and self._find_shortage(self._now_ms()) is not None

    def _find_shortage(self, now_ms: int) -> Resource | None:
        if not self._queue.has_room(now_ms, self._meter.idle_ms):
            return Resource.PROCESSOR
        return None if self._link_has_room(now_ms) else Resource.LINK

    def _link_has_room(self, now_ms: int) -> bool:
        if self.link_queue_ms(now_ms) > MAX_LINK_QUEUE_MS:
            return False
        return self.link.has_room(len(self._queue), now_ms)

    def link_queue_ms(self, now_ms: int) -> float:
        """Return how long packets wait at the link, as far as this node is not late itself."""
        return max(0.0, self._delay.queue_ms(now_ms) - self._meter.reply_lag_ms(now_ms))

    def _record_rejected(self, lacks: Resource, now_ms: int) -> None:
        self.rejected += 1
        self.link.reject(now_ms)
        self._last_rejected_ms = now_ms
        if self._overloaded.is_set():
            return
        self._began_ms = now_ms
        self._overloaded.set()
        logger.warning(
            "event=overloaded lacks=%s waiting=%d backlog_ms=%d cost_ms=%.1f turn_ms=%d "
            "busy_for_ms=%d link_backlog_ms=%d link_queue_ms=%d",
            lacks,
            len(self._queue),
            self._queue.backlog_ms(now_ms, self._meter.idle_ms),
            self._queue.cost.mean_ms,
            self._meter.longest_turn_ms(now_ms),
            self._meter.busy_for_ms(now_ms),
            self.link.backlog_ms(now_ms),
            self.link_queue_ms(now_ms),
        )

    async def run(self) -> None:
        """Log the end of each overload, until cancelled."""
        while True:
            await self._overloaded.wait()
            while self._now_ms() - self._last_rejected_ms < RECOVERED_MS:
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._overloaded.clear()
            rejected = self.rejected - self._rejected_before
            self._rejected_before = self.rejected
            logger.warning(
                "event=overload_ended rejected_connections=%d cost_ms=%.1f",
                rejected,
                self._queue.cost.mean_ms,
            )
