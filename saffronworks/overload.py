"""Decides which new connections to close because the event loop is overloaded."""

import asyncio
import logging
import statistics
from collections import deque
from collections.abc import Callable

import attrs

from saffronworks.clocks import LOOP_METER

__all__ = ["ConnectionGate", "LoopLag"]

logger = logging.getLogger(__name__)

# Interval of the timer whose delay is measured, and the number of delays that are compared. A
# process that was suspended once has one long delay, which is no overload.
SAMPLE_INTERVAL_MS = 50
SAMPLES = 5
# Above this median delay new connections are closed, until one delay is below the lower bound. A
# process whose share of the processor is throttled is delayed by up to 100 ms without an overload.
OVERLOAD_LAG_MS = 100
RECOVERED_LAG_MS = 20
# The event loop is measured while so many connections come within this time.
BUSY_CONNECTIONS, BUSY_MS = 10, 1000
# At least one connection is accepted in this time, so that a caller without another node is served.
MIN_ACCEPT_INTERVAL_MS = 250


@attrs.define
class LoopLag:
    """The recent delays of an event loop's timers."""

    overloaded: bool = False
    _lags_ms: deque[float] = attrs.Factory(lambda: deque(maxlen=SAMPLES))

    def record(self, lag_ms: float) -> None:
        """Record the delay of one timer, in ms."""
        self._lags_ms.append(lag_ms)
        if self.overloaded:
            self.overloaded = lag_ms > RECOVERED_LAG_MS
        elif len(self._lags_ms) == SAMPLES:
            self.overloaded = statistics.median(self._lags_ms) > OVERLOAD_LAG_MS


class ConnectionGate:
    """Rejects most new connections while the event loop is overloaded.

    A caller whose connection is closed before its request is read retries at another node at once.
    One whose request waits behind others may reach its deadline.
    """

    def __init__(self, now_ms: Callable[[], int]):
        self.lag = LoopLag()
        self.rejected = 0
        self._now_ms = now_ms
        self._accepted_ms = 0
        self._rejected_before = 0
        self._opened_ms: deque[int] = deque(maxlen=BUSY_CONNECTIONS)
        self._busy = asyncio.Event()

    def accepts(self) -> bool:
        """Return whether to accept a new connection, and count it."""
        now_ms = self._now_ms()
        self._opened_ms.append(now_ms)
        if self._is_busy(now_ms):
            self._busy.set()
        if self.lag.overloaded and now_ms - self._accepted_ms < MIN_ACCEPT_INTERVAL_MS:
            self.rejected += 1
            return False
        self._accepted_ms = now_ms
        return True

    def _is_busy(self, now_ms: int) -> bool:
        opened_ms = self._opened_ms
        return len(opened_ms) == BUSY_CONNECTIONS and now_ms - opened_ms[0] < BUSY_MS

    async def run(self) -> None:
        """Measure the event loop while many connections come, until cancelled."""
        while True:
            await self._busy.wait()
            await self._measure()
            self._busy.clear()

    async def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        while self.lag.overloaded or self._is_busy(self._now_ms()):
            due_s = loop.time() + SAMPLE_INTERVAL_MS / 1000
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)
            was_overloaded = self.lag.overloaded
            lag_ms = (loop.time() - due_s) * 1000
            self.lag.record(lag_ms)
            if self.lag.overloaded != was_overloaded:
                self._log_change(lag_ms)

    def _log_change(self, lag_ms: float) -> None:
        rejected = self.rejected - self._rejected_before
        self._rejected_before = self.rejected
        event = "overloaded" if self.lag.overloaded else "overload_ended"
        logger.warning(
            "event=%s lag_ms=%d turn_ms=%d rejected_connections=%d",
            event,
            lag_ms,
            LOOP_METER.longest_turn_ms(self._now_ms()),
            rejected,
        )
