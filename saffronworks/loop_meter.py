"""Measures how long the turns of the event loop take, and when it last had nothing to do."""

import math

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
# A turn that is longer than a quota of the processor holds a thread up, and for most of which the
# thread did not run, is a suspended process. If another one follows soon, the node is short of the
# processor.
SUSPENDED_TURN_MS = 100.0
MAX_SUSPENDED_SHARE = 0.1
SUSPENDED_AGAIN_MS = 2000.0
# A wait for events that ends so late is the delay of a wake-up, not a process that was held up.
WAKE_UP_MS = 20.0
# Any thread of a process may take its signal. After a suspension the loop's thread may run for this
# long before it handles a signal that another thread has taken.
SIGNAL_DELAY_MS = 100.0


@attrs.define
class LoopMeter:
    """Turns of one event loop; times are in ms of the steady clock.

    A turn runs everything that was ready at its start. Whatever becomes ready meanwhile waits for
    the next turn, so an exchange of several steps is late by several turns.
    """

    # Time spent in turns since the start, without that of a suspension.
    busy_ms: float = 0.0
    # End of the last wait for events, or begin of the first turn; a suspension makes it later.
    idle_ms: float = 0.0
    _resumed_ms: float = -math.inf
    _turn_began_ms: float = 0.0
    _wait_began_ms: float = 0.0
    _wait_limit_ms: float = 0.0
    # Processor time of the loop's thread at the last recorded moment.
    _cpu_ms: float = 0.0
    _span_began_ms: float = 0.0
    _longest_ms: float = 0.0
    _longest_before_ms: float = 0.0
    # The last span in which the loop's thread was held up.
    _held_up_from_ms: float = -math.inf
    _held_up_to_ms: float = -math.inf

    def reset(self) -> None:
        """Forget the turns of a loop that has ended, so that another one begins like the first."""
        for field in attrs.fields(LoopMeter):
            setattr(self, field.name, field.default)

    def begin_wait(self, now_ms: float, cpu_ms: float | None = None, limit_ms: float = 0.0) -> None:
        """Record that a turn has ended, and the loop waits for events up to `limit_ms`.

        `cpu_ms` is the processor time that the loop's thread has used; None if it isn't measured.
        """
        cpu_ms = now_ms if cpu_ms is None else cpu_ms
        self._record_held_up(now_ms, cpu_ms)
        if self._turn_began_ms:
            suspended_ms = self._find_suspended_ms(now_ms, cpu_ms)
            self.idle_ms += suspended_ms
            turn_ms = min(MAX_TURN_MS, now_ms - self._turn_began_ms)
            self.busy_ms += min(turn_ms, now_ms - self._turn_began_ms - suspended_ms)
            self._shift_span(now_ms)
            self._longest_ms = max(self._longest_ms, turn_ms)
        self._wait_began_ms, self._wait_limit_ms, self._cpu_ms = now_ms, limit_ms, cpu_ms

    def end_wait(self, now_ms: float, waited: bool, cpu_ms: float | None = None) -> None:
        """Record that a turn begins; `waited` if nothing was ready before."""
        cpu_ms = now_ms if cpu_ms is None else cpu_ms
        self._record_held_up(now_ms, cpu_ms)
        first = not self._turn_began_ms
        if first or (waited and now_ms - self._wait_began_ms >= MIN_IDLE_MS):
            self.idle_ms = now_ms
        self._turn_began_ms, self._wait_limit_ms, self._cpu_ms = now_ms, 0.0, cpu_ms

    def held_up_ms(self, now_ms: float, cpu_ms: float) -> float:
        """Return for how long at most a signal that is handled now can have been pending.

        A signal is handled as soon as the loop's thread runs, in the middle of a turn too, and ends
        a wait for events. It is pending while the thread does not run: the steady time since the
        last recorded moment less the thread's processor time since then. If it was held up right
        before, the signal may be one of that time.
        """
        held_up_ms = self._find_held_up_ms(now_ms, cpu_ms)
        if now_ms - self._held_up_to_ms > SIGNAL_DELAY_MS:
            return held_up_ms
        return max(held_up_ms, now_ms - self._held_up_from_ms)

    def _record_held_up(self, now_ms: float, cpu_ms: float) -> None:
        held_up_ms = self._find_held_up_ms(now_ms, cpu_ms)
        if held_up_ms <= WAKE_UP_MS:
            return
        before_ms = self._held_up_to_ms - self._held_up_from_ms
        if now_ms - self._held_up_to_ms > SIGNAL_DELAY_MS or held_up_ms > before_ms:
            self._held_up_from_ms, self._held_up_to_ms = now_ms - held_up_ms, now_ms

    def _find_held_up_ms(self, now_ms: float, cpu_ms: float) -> float:
        last_ran_ms = max(self._wait_began_ms, self._turn_began_ms)
        held_up_ms = (now_ms - last_ran_ms) - (cpu_ms - self._cpu_ms)
        expected_ms = self._wait_limit_ms + WAKE_UP_MS if self._wait_limit_ms else 0.0
        return held_up_ms if last_ran_ms and held_up_ms > expected_ms else 0.0

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

    def _find_suspended_ms(self, now_ms: float, cpu_ms: float) -> float:
        """Return for how long the process was suspended in the turn that ends."""
        turn_ms, ran_ms = now_ms - self._turn_began_ms, cpu_ms - self._cpu_ms
        if turn_ms < SUSPENDED_TURN_MS or ran_ms > MAX_SUSPENDED_SHARE * turn_ms:
            return 0.0
        before_ms, self._resumed_ms = self._resumed_ms, now_ms
        return turn_ms - ran_ms if self._turn_began_ms - before_ms > SUSPENDED_AGAIN_MS else 0.0

    def _shift_span(self, now_ms: float) -> None:
        spans = (now_ms - self._span_began_ms) // SPAN_MS
        if spans >= 1:
            self._longest_before_ms = self._longest_ms if spans < 2 else 0.0
            self._longest_ms = 0.0
            self._span_began_ms = now_ms
