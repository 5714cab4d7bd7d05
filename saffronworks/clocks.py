"""The clocks of a node: a steady one, which steps of the time of day do not move, and that time.

All spans are counted on the steady clock, waits of the event loop too. Where the system has it, it
runs on while a VM is suspended: what was heard, promised or reserved before is then as old as it
is. On a clock that stands still meanwhile a node would act on a duty that others have taken over,
and wait for what is long over.
"""

import asyncio
import selectors
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio

from saffronworks.loop_meter import LoopMeter

__all__ = [
    "LOOP_METER",
    "extend_for_lag",
    "held_up_ms",
    "monotonic_ms",
    "run",
    "running_timeout",
    "wall_ms",
]

_STEADY = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> int:
    """The steady clock, in ms."""
    return time.clock_gettime_ns(_STEADY) // 1_000_000


def wall_ms() -> int:
    """Unix time in ms; it may jump, and differs between VMs."""
    return time.time_ns() // 1_000_000


# The selector sleeps on a clock that stands still during a suspension, so a longer sleep would go
# on for its rest after the resume.
MAX_SELECT_S = 0.1

# The turns of this process's event loop. Stays empty under a loop that `run` did not make.
LOOP_METER = LoopMeter()


def _steady_ms() -> float:
    return time.clock_gettime(_STEADY) * 1000


def _cpu_ms() -> float:
    """The processor time of this thread; where it isn't measured, as if it ran all the time."""
    return time.thread_time() * 1000 if hasattr(time, "thread_time") else _steady_ms()


class _BoundedSelector(selectors.DefaultSelector):  # type: ignore[valid-type, misc]
    """Wakes the event loop now and then, so that it reads the steady clock; measures its turns."""

    def select(self, timeout: float | None = None) -> Any:
        """Ready files; none after `MAX_SELECT_S` at most."""
        bounded_s = MAX_SELECT_S if timeout is None else min(timeout, MAX_SELECT_S)
        LOOP_METER.begin_wait(_steady_ms(), _cpu_ms(), bounded_s * 1000)
        ready = super().select(bounded_s)
        LOOP_METER.end_wait(_steady_ms(), bounded_s > 0, _cpu_ms())
        return ready


class _SteadyLoop(asyncio.SelectorEventLoop):
    """Counts its waits on the steady clock; they end within `MAX_SELECT_S` of a resume."""

    def __init__(self) -> None:
        super().__init__(_BoundedSelector())

    def time(self) -> float:
        """The steady clock, in s."""
        return time.clock_gettime(_STEADY)


def extend_for_lag(limit_ms: float, replies: int = 1) -> float:
    """Return a time limit for replies of another process, longer by this process's own lag.

    Each of `replies` is awaited after the one before it. A reply that has arrived is noticed some
    turns of the event loop later, and a timer that fires late has proved nothing about the other
    side.
    """
    return limit_ms + replies * LOOP_METER.reply_lag_ms(_steady_ms())


# A timer that fires later than this has waited for a process that did not run.
LATE_TIMER_S = 0.1


@asynccontextmanager
async def running_timeout(limit_ms: float) -> AsyncIterator[None]:
    """Raise TimeoutError after `limit_ms`, extended once by a suspension of this process.

    After a suspension replies wait in the kernel, and the timers that are due would fire first. The
    extension is `limit_ms` at most, however long the suspension was.
    """
    loop = asyncio.get_running_loop()
    timers: list[asyncio.TimerHandle] = []
    async with asyncio.timeout(None) as timeout:

        def expire(due_s: float) -> None:
            late_s = loop.time() - due_s
            if late_s <= LATE_TIMER_S:
                timeout.reschedule(loop.time())
                return
            until_s = loop.time() + min(late_s, limit_ms / 1000)
            timers.append(loop.call_at(until_s, timeout.reschedule, until_s))

        due_s = loop.time() + limit_ms / 1000
        timers.append(loop.call_at(due_s, expire, due_s))
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()


def held_up_ms() -> float:
    """Return for how long a signal that the loop's thread handles now can have been pending."""
    return LOOP_METER.held_up_ms(_steady_ms(), _cpu_ms())


def run(main: Callable[..., Awaitable[Any]], *arguments: object) -> Any:
    """Run a program's main coroutine on an event loop of the steady clock."""
    try:
        return anyio.run(main, *arguments, backend_options={"loop_factory": _SteadyLoop})
    finally:
        LOOP_METER.reset()
