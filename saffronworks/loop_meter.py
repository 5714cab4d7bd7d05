"""Measures how long the turns of the event loop take, and when it last had nothing to do."""

import attrs

__all__ = ["LoopMeter"]

# A shorter wait for events is the cost of the system call, not idle time.
MIN_IDLE_MS = 0.5
# The longest turn is kept for one to two of these spans.
SPAN_MS = 500
# A longer turn is a suspended process, which tells nothing about the next turns.
MAX_TURN_MS = 500.0
# Turns from the arrival of a reply until the task that waits for it has read it, and the length
# from which a turn counts.
REPLY_TURNS = 4
LONG_TURN_MS = 5.0


@attrs.define
class LoopMeter:
    """Turns of one event loop; times are in ms of the steady clock.

    A turn runs everything that was ready at its start. Whatever becomes ready meanwhile waits for
    the next turn, so an exchange of several steps is late by several turns.
    """

    # Time spent in turns since the start.
    busy_ms: float = 0.0
    # End of the last wait for events.
    idle_ms: float = 0.0
    _turn_began_ms: float = 0.0
    _wait_began_ms: float = 0.0
    _span_began_ms: float = 0.0
    _longest_ms: float = 0.0
    _longest_before_ms: float = 0.0

    def begin_wait(self, now_ms: float) -> None:
        """Record that a turn has ended, and the loop waits for events."""
        if self._turn_began_ms:
            turn_ms = min(MAX_TURN_MS, now_ms - self._turn_began_ms)
            self.busy_ms += turn_ms
            self._shift_span(now_ms)
            self._longest_ms = max(self._longest_ms, turn_ms)
        self._wait_began_ms = now_ms

    def end_wait(self, now_ms: float, waited: bool) -> None:
        """Record that a turn begins; `waited` if nothing was ready before."""
        if waited and now_ms - self._wait_began_ms >= MIN_IDLE_MS:
            self.idle_ms = now_ms
        self._turn_began_ms = now_ms

    def longest_turn_ms(self, now_ms: float) -> float:
        """Return the longest turn of the last half second or more."""
        self._shift_span(now_ms)
        return max(self._longest_ms, self._longest_before_ms)

    def reply_lag_ms(self, now_ms: float) -> float:
        """Return how late a reply may be noticed; 0 for turns of the usual length."""
        turn_ms = self.longest_turn_ms(now_ms)
        return REPLY_TURNS * turn_ms if turn_ms >= LONG_TURN_MS else 0.0

    def busy_for_ms(self, now_ms: float) -> float:
        """Return for how long there has been something to do without a pause."""
        return now_ms - self.idle_ms if self._turn_began_ms else 0.0

    def _shift_span(self, now_ms: float) -> None:
        spans = (now_ms - self._span_began_ms) // SPAN_MS
        if spans >= 1:
            self._longest_before_ms = self._longest_ms if spans < 2 else 0.0
            self._longest_ms = 0.0
            self._span_began_ms = now_ms
