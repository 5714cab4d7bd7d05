"""Records when the signal to stop a process can have been sent, and bounds the process's end."""

import logging
import os
import queue
import signal
import threading
import time
from collections.abc import Callable

from saffronworks.clocks import monotonic_ms
from saffronworks.logs import flush_logs

__all__ = ["STOP_SIGNALS", "ExitGuard", "StopSignal", "exit_now"]

logger = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# Longest wait for the last log lines of a process that is made to exit.
EXIT_FLUSH_MS = 150
# A sleep stands still while a VM is suspended, so a longer one would go on for its rest after it.
MAX_SLEEP_MS = 100


class StopSignal:
    """The first signal to stop; times are in ms of the steady clock.

    `sent_ms` is the earliest time at which it can have been sent: `held_up_ms` returns for how long
    a signal that is recorded now can have been pending. A process that was suspended or had no
    processor records its signal late. If `exit_ms` is given, a signal bounds the process's end to
    `exit_ms()`, also if its event loop hangs.
    """

    def __init__(
        self,
        held_up_ms: Callable[[], float],
        now_ms: Callable[[], int],
        on_record: Callable[[int], None],
        exit_ms: Callable[[], int] | None = None,
    ):
        self.sent_ms: int | None = None
        self.recorded_ms: int | None = None
        self._held_up_ms = held_up_ms
        self._now_ms = now_ms
        self._on_record = on_record
        self._exit_ms = exit_ms
        self._exit_guard = ExitGuard()

    def install(self) -> None:
        """Record signals from now on; call it after the event loop's own handlers were installed.

        The interpreter calls this handler as soon as the main thread runs, before any callback of
        the event loop. The loop is woken as before. `on_record` is called with `sent_ms` by the
        handler, so it may only set fields.
        """
        if self._exit_ms is not None:
            self._exit_guard.start()
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)

    def _handle(self, *_: object) -> None:
        self.record(self._now_ms() - self._held_up_ms())
        if self._exit_ms is not None:
            self._exit_guard.arm(self._exit_ms())

    def record(self, sent_ms: float = 0.0) -> None:
        """Record a signal that was sent at that time, or now; a second one changes nothing."""
        if self.sent_ms is None:
            self.recorded_ms = self._now_ms()
            self.sent_ms = min(self.recorded_ms, int(sent_ms or self.recorded_ms))
            self._on_record(self.sent_ms)


class ExitGuard:
    """Exits the process at a time, whatever its event loop and its exit handlers wait for.

    Its thread is started before it is needed, as a process that is starved may start none in time.
    """

    def __init__(self) -> None:
        self._armed = False
        # Unlike a lock, it may be used by a signal handler that interrupts a use of it.
        self._exits: queue.SimpleQueue[int] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the thread that waits."""
        threading.Thread(target=self._wait, name="exit-guard", daemon=True).start()

    def arm(self, at_ms: int) -> None:
        """Exit at this time of the steady clock; a second call changes nothing."""
        if not self._armed:
            self._armed = True
            self._exits.put(at_ms)

    def _wait(self) -> None:
        # Signals are for the main thread, which must not run on while this one handles them late.
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        at_ms = self._exits.get()
        while (left_ms := at_ms - monotonic_ms()) > 0:
            time.sleep(min(left_ms, MAX_SLEEP_MS) / 1000)
        logger.warning("event=exit_forced")
        exit_now()


def exit_now() -> None:
    """Exit with status 0 once the log lines are written.

    Nothing else of the interpreter's own end is awaited, which takes long on a busy machine and
    lets no other thread run.
    """
    flush_logs(EXIT_FLUSH_MS)
    os._exit(0)
