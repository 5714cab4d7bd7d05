"""The clocks of a node: a steady one, which steps of the time of day do not move, and that time."""

import time

__all__ = ["monotonic_ms", "wall_ms"]


def monotonic_ms() -> int:
    """The steady clock, in ms."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Unix time in ms; it may jump, and differs between VMs."""
    return time.time_ns() // 1_000_000
