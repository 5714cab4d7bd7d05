"""Backpressure: decides which answers pause when buffered bytes reach the node's bound.

The bound covers bytes read from endpoints that are still in this process: waiting to be relayed,
being written, or in the write buffer of the caller's connection.
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
    """Return the bound in bytes for a node's memory limit; None if it has none."""
    return None if memory_bytes is None else int(BUFFER_MEMORY_SHARE * memory_bytes)


@attrs.frozen
class BufferedAnswer:
    """Buffer state of one answer.

    `unread_since_ms`: since when its caller has read none of the buffered bytes, None if there are
    none. `endpoint_paused`: reading from its endpoint is paused; `can_pause`: it may be paused.
    """

    key: int
    buffered_bytes: int
    unread_since_ms: int | None = None
    endpoint_paused: bool = False
    can_pause: bool = True


@attrs.frozen
class Decision:
    """Answers whose endpoints to pause, and answers whose callers to disconnect, by key."""

    paused: frozenset[int] = frozenset()
    disconnected: tuple[int, ...] = ()


@attrs.define
class BufferBound:
    """The bound over all answers of a node.

    `reached` becomes true at the high watermark, and false again below the low one.
    `margin_bytes`, at most half of the bound, stay free for bytes read between two decisions.
    """

    bound_bytes: int
    margin_bytes: int = 0
    reached: bool = False

    @property
    def _usable_bytes(self) -> int:
        return max(self.bound_bytes // 2, self.bound_bytes - self.margin_bytes)

    def decide(self, answers: Sequence[BufferedAnswer], now_ms: int) -> Decision:
        """Decide which answers to pause and which callers to disconnect."""
        total_bytes = sum(answer.buffered_bytes for answer in answers)
        share = BUFFER_LOW_WATERMARK if self.reached else BUFFER_HIGH_WATERMARK
        self.reached = total_bytes >= share * self._usable_bytes
        paused = self._choose_paused(answers, total_bytes) if self.reached else frozenset()
        disconnected = tuple(a.key for a in answers if self._is_stalled(a, now_ms))
        return Decision(paused, disconnected)

    def next_check_bytes(self, total_bytes: int) -> float:
        """Return the total at which the next decision is due.

        This is the high watermark, or if `reached`, the total at which half of the rest is used.
        """
        if not self.reached:
            return BUFFER_HIGH_WATERMARK * self._usable_bytes
        return total_bytes + max(0, self._usable_bytes - total_bytes) / 2

    def _choose_paused(self, answers: Sequence[BufferedAnswer], total_bytes: int) -> frozenset[int]:
        """Choose the largest answers until all others can double within the bound."""
        paused: set[int] = set()
        others_bytes = total_bytes
        can_pause = [answer for answer in answers if answer.can_pause]
        for answer in sorted(can_pause, key=lambda a: a.buffered_bytes, reverse=True):
            if not answer.buffered_bytes or total_bytes + others_bytes <= self._usable_bytes:
                break
            paused.add(answer.key)
            others_bytes -= answer.buffered_bytes
        return frozenset(paused)

    def _is_stalled(self, answer: BufferedAnswer, now_ms: int) -> bool:
        """Return whether a caller that reads nothing has blocked an endpoint or memory too long."""
        if answer.unread_since_ms is None or not (answer.endpoint_paused or self.reached):
            return False
        return now_ms - answer.unread_since_ms >= UNREAD_TIMEOUT_MS
