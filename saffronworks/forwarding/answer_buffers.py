"""Decides which answers wait when what is buffered for callers reaches the node's bound.

The bound covers what was read from endpoints and has not left this process: bytes that wait for
their relay, that are being written, and that the caller's connection has not taken yet.
"""

from collections.abc import Sequence

import attrs

from saffronworks.forwarding.tuning import (
    BUFFER_HIGH_WATERMARK,
    BUFFER_LOW_WATERMARK,
    BUFFER_MEMORY_SHARE,
    UNREAD_TIMEOUT_MS,
)

__all__ = ["BufferBound", "BufferedAnswer", "Decision", "buffer_bound"]


def buffer_bound(memory_bytes: int | None) -> int | None:
    """The bound for a node with this memory limit; None where none is known."""
    return None if memory_bytes is None else int(BUFFER_MEMORY_SHARE * memory_bytes)


@attrs.frozen
class BufferedAnswer:
    """What is buffered of one answer.

    `unread_since_ms`: since when its caller has taken nothing of what waits, None where nothing
    waits. `endpoint_waits`: its endpoint is not read from at present; `may_wait`: it may be so.
    """

    key: int
    buffered_bytes: int
    unread_since_ms: int | None = None
    endpoint_paused: bool = False
    can_pause: bool = True


@attrs.frozen
class Decision:
    """Answers whose endpoints are not to be read from, and those whose callers are to go."""

    paused: frozenset[int] = frozenset()
    disconnected: tuple[int, ...] = ()


@attrs.define
class BufferBound:
    """One bound over all answers of a node. `reached` lasts until well below the bound.

    `margin_bytes` are left free for what is read between two decisions, half of the bound at most.
    """

    bound_bytes: int
    margin_bytes: int = 0
    reached: bool = False

    @property
    def _usable_bytes(self) -> int:
        return max(self.bound_bytes // 2, self.bound_bytes - self.margin_bytes)

    def decide(self, answers: Sequence[BufferedAnswer], now_ms: int) -> Decision:
        """What is to be done, from what is buffered now."""
        total_bytes = sum(answer.buffered_bytes for answer in answers)
        share = BUFFER_LOW_WATERMARK if self.reached else BUFFER_HIGH_WATERMARK
        self.reached = total_bytes >= share * self._usable_bytes
        paused = self._choose_paused(answers, total_bytes) if self.reached else frozenset()
        disconnected = tuple(a.key for a in answers if self._reads_nothing(a, now_ms))
        return Decision(paused, disconnected)

    def next_check_bytes(self, total_bytes: int) -> float:
        """At which total the next decision is due: half of what is left may be used until then."""
        if not self.reached:
            return BUFFER_HIGH_WATERMARK * self._usable_bytes
        return total_bytes + max(0, self._usable_bytes - total_bytes) / 2

    def _choose_paused(self, answers: Sequence[BufferedAnswer], total_bytes: int) -> frozenset[int]:
        """Those with the most bytes, until the others can double theirs within the bound."""
        paused: set[int] = set()
        others_bytes = total_bytes
        can_pause = [answer for answer in answers if answer.can_pause]
        for answer in sorted(can_pause, key=lambda a: a.buffered_bytes, reverse=True):
            if not answer.buffered_bytes or total_bytes + others_bytes <= self._usable_bytes:
                break
            paused.add(answer.key)
            others_bytes -= answer.buffered_bytes
        return frozenset(paused)

    def _reads_nothing(self, answer: BufferedAnswer, now_ms: int) -> bool:
        """Whether a caller holds up an endpoint, or memory that others need, for too long."""
        if answer.unread_since_ms is None or not (answer.endpoint_paused or self.reached):
            return False
        return now_ms - answer.unread_since_ms >= UNREAD_TIMEOUT_MS
