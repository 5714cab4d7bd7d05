"""Turns of a node's event loop that take long, as in a process that is short of processor time."""

import signal
import time

__all__ = ["LONG_TURN_S", "LONG_TURN_SIGNAL", "add_long_turns"]

LONG_TURN_SIGNAL = signal.SIGUSR1
LONG_TURN_S = 0.5


def add_long_turns():
    """Make the main thread busy for `LONG_TURN_S` at each signal."""
    signal.signal(LONG_TURN_SIGNAL, lambda *_: _spend(LONG_TURN_S))


def _spend(for_s):
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        pass
