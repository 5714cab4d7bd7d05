"""The clock of a node: a steady one, which steps of the time of day do not move."""

import time

__all__ = ["monotonic_ms"]


def monotonic_ms() -> int:
    """The steady clock, in ms."""
    return time.monotonic_ns() // 1_000_000
