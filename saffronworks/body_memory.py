"""The memory that the request bodies of a node take together, and the bound on it; pure.

A body is counted from before it is read until its request has ended. Small and large bodies may
each take a part of the bound, so that neither kind leaves the other without memory.
"""

from collections import Counter
from collections.abc import Callable

import attrs

__all__ = ["BodyHold", "BodyMemory", "BodyMemoryFull", "body_bound", "spare_memory_bytes"]

# Memory of a node without requests.
NODE_MEMORY_BYTES = 64_000_000
# Share of the rest for bodies; socket buffers, copies of the bodies being read and fragmentation
# take the other.
BODY_MEMORY_SHARE = 0.6
# Share of a node's whole memory for bodies where that is more.
MIN_BODY_MEMORY_SHARE = 0.0625
# Bodies up to this size are small.
SMALL_BODY_BYTES = 131_072
# Share of the bound that bodies of one kind, small or large, may take.
KIND_SHARE = 0.8
# While bodies are refused, those that arrive more slowly than this are given up, the slowest first,
# until there is room for the refused one; and all of which nothing has arrived for some time.
MIN_BODY_BYTES_PER_S = 32_768
SLOW_BODY_GRACE_MS = 2000
# Interval at which the bodies are searched for slow ones while others are refused.
SLOW_BODY_CHECK_INTERVAL_MS = 100
# Refused requests that are logged, a second at most.
MAX_LOGGED_REFUSALS_PER_S = 20
# Time for which a large body is held, assumed until it is measured, and the weight of a sample.
INITIAL_HOLD_MS = 1000.0
HOLD_SAMPLE_WEIGHT = 0.1


def body_bound(memory_bytes: int | None, answer_bytes: int = 0) -> int | None:
    """Return the bound in bytes for a node's memory limit; None if it has none.

    `answer_bytes` of that memory are for buffered answers.
    """
    if memory_bytes is None:
        return None
    free_bytes = memory_bytes - answer_bytes - NODE_MEMORY_BYTES
    return int(max(BODY_MEMORY_SHARE * free_bytes, MIN_BODY_MEMORY_SHARE * memory_bytes))


def spare_memory_bytes(memory_bytes: int | None) -> int | None:
    """Return what a node's memory limit leaves beside a node without requests."""
    return None if memory_bytes is None else max(0, memory_bytes - NODE_MEMORY_BYTES)


class BodyMemoryFull(Exception):
    """There is no memory for a body."""


@attrs.define(eq=False)
class BodyHold:
    """The memory of one body. `on_slow` ends the reading of the body, if it arrives too slowly."""

    _memory: "BodyMemory"
    _began_ms: int
    on_slow: Callable[[], None] | None = None
    reserved_bytes: int = 0
    _received_bytes: int = 0
    _received_ms: int = attrs.Factory(lambda self: self._began_ms, takes_self=True)

    def reserve(self, size_bytes: int, now_ms: int) -> None:
        """Reserve memory for a body of this size; raises BodyMemoryFull."""
        if size_bytes > self.reserved_bytes:
            self._memory.resize(self, size_bytes, now_ms)
            self.reserved_bytes = size_bytes

    def receive(self, size_bytes: int, now_ms: int) -> None:
        """Count a part of the body that has arrived; raises BodyMemoryFull."""
        self._received_bytes += size_bytes
        self._received_ms = now_ms
        self.reserve(self._received_bytes, now_ms)

    def release(self, now_ms: int) -> None:
        """Free the memory, as the request has ended."""
        self._memory.release(self, now_ms)
        self.reserved_bytes = 0

    @property
    def large(self) -> bool:
        """Return whether the body is a large one."""
        return self.reserved_bytes > SMALL_BODY_BYTES

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the reading began."""
        return now_ms - self._began_ms

    def is_slow(self, now_ms: int) -> bool:
        """Return whether the body is still being read and arrives too slowly."""
        age_ms = self.age_ms(now_ms)
        late = self._received_bytes < MIN_BODY_BYTES_PER_S * age_ms / 1000
        return self.on_slow is not None and age_ms >= SLOW_BODY_GRACE_MS and late

    def is_stalled(self, now_ms: int) -> bool:
        """Return whether nothing has arrived of a slow body for some time."""
        return now_ms - self._received_ms >= SLOW_BODY_GRACE_MS

    def bytes_per_ms(self, now_ms: int) -> float:
        """Return how fast the body arrives."""
        return self._received_bytes / max(1, self.age_ms(now_ms))


class BodyMemory:
    """The bodies of a node. Without a bound they are counted, and none is refused."""

    def __init__(self, bound_bytes: int | None = None):
        self.bound_bytes = bound_bytes
        self.refused: Counter[str] = Counter()
        self._refusal_log = _RefusalLog()
        # In the order in which they began.
        self._holds: dict[BodyHold, None] = {}
        self._small_bytes = self._large_bytes = 0
        self._hold_ms = INITIAL_HOLD_MS
        self._next_check_ms = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory of all bodies."""
        return self._small_bytes + self._large_bytes

    @property
    def max_body_bytes(self) -> int | None:
        """Return the size of the largest body that ever fits; None without a bound."""
        if self.bound_bytes is None:
            return None
        return max(SMALL_BODY_BYTES, int(KIND_SHARE * self.bound_bytes))

    def begin(self, now_ms: int) -> BodyHold:
        """Return the hold of a body, without memory at first."""
        return BodyHold(self, now_ms)

    def resize(self, hold: BodyHold, size_bytes: int, now_ms: int) -> None:
        """Change the memory of a hold; raises BodyMemoryFull, and gives up slow bodies then."""
        if not self._fits(hold, size_bytes):
            self._give_up_slow(size_bytes, now_ms)
            raise BodyMemoryFull
        self._add(hold.large, -hold.reserved_bytes)
        self._add(size_bytes > SMALL_BODY_BYTES, size_bytes)
        self._holds.setdefault(hold)

    def release(self, hold: BodyHold, now_ms: int) -> None:
        """Free the memory of a hold."""
        if hold not in self._holds:
            return
        del self._holds[hold]
        self._add(hold.large, -hold.reserved_bytes)
        if hold.large:
            self._hold_ms += HOLD_SAMPLE_WEIGHT * (hold.age_ms(now_ms) - self._hold_ms)

    def count_refusal(self, reason: str) -> None:
        """Count a refused request."""
        self.refused[reason] += 1

    def limit_refusal_log(self, now_ms: int) -> int | None:
        """Return how many refusals before this one were not logged; None to not log this one."""
        return self._refusal_log.record(now_ms)

    def room_after_ms(self, size_bytes: int, now_ms: int) -> int:
        """Estimate when there is memory for a body: large ones are released in their order."""
        missing_bytes = self._missing_bytes(size_bytes)
        if missing_bytes <= 0:
            return 0
        if missing_bytes > self._large_bytes:
            return round(self._hold_ms)
        for hold in self._holds:
            missing_bytes -= hold.reserved_bytes if hold.large else 0
            if missing_bytes <= 0:
                return max(0, round(self._hold_ms - hold.age_ms(now_ms)))
        return round(self._hold_ms)

    def _missing_bytes(self, size_bytes: int) -> float:
        if self.bound_bytes is None:
            return 0
        over_bytes = self.held_bytes + size_bytes - self.bound_bytes
        return max(self._over_kind_bytes(size_bytes), over_bytes)

    def _over_kind_bytes(self, size_bytes: int) -> float:
        """Return by how much another body of this size would exceed the share of its kind."""
        if self.bound_bytes is None:
            return 0
        kind_bytes = self._large_bytes if size_bytes > SMALL_BODY_BYTES else self._small_bytes
        return kind_bytes + size_bytes - KIND_SHARE * self.bound_bytes

    def _fits(self, hold: BodyHold, size_bytes: int) -> bool:
        if self.bound_bytes is None:
            return True
        large = size_bytes > SMALL_BODY_BYTES
        kind_bytes = self._large_bytes if large else self._small_bytes
        kind_bytes += size_bytes - (hold.reserved_bytes if large == hold.large else 0)
        total_bytes = self.held_bytes + size_bytes - hold.reserved_bytes
        return kind_bytes <= KIND_SHARE * self.bound_bytes and total_bytes <= self.bound_bytes

    def _add(self, large: bool, added_bytes: int) -> None:
        if large:
            self._large_bytes += added_bytes
        else:
            self._small_bytes += added_bytes

    def _give_up_slow(self, size_bytes: int, now_ms: int) -> None:
        """Give up slow bodies, until one of this size has room; all of those that are stalled.

        Many bodies at once are slow because they share a link: the rest is faster without some.
        """
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + SLOW_BODY_CHECK_INTERVAL_MS
        large, freed_bytes = size_bytes > SMALL_BODY_BYTES, 0
        missing_bytes = self._missing_bytes(size_bytes)
        kind_is_full = self._over_kind_bytes(size_bytes) > 0
        slow = [hold for hold in self._holds if hold.is_slow(now_ms)]
        slow.sort(key=lambda hold: (not hold.is_stalled(now_ms), hold.bytes_per_ms(now_ms)))
        for hold in slow:
            frees_room = freed_bytes < missing_bytes and (hold.large == large or not kind_is_full)
            if hold.on_slow is not None and (frees_room or hold.is_stalled(now_ms)):
                hold.on_slow()
                freed_bytes += hold.reserved_bytes if frees_room else 0


@attrs.define
class _RefusalLog:
    """Bounds the log lines on refusals."""

    _second: int = 0
    _logged: int = 0
    _not_logged: int = 0

    def record(self, now_ms: int) -> int | None:
        """Return the count of refusals that were not logged before this one; None if it isn't."""
        second = now_ms // 1000
        if second != self._second:
            self._second, self._logged = second, 0
        if self._logged >= MAX_LOGGED_REFUSALS_PER_S:
            self._not_logged += 1
            return None
        self._logged += 1
        not_logged, self._not_logged = self._not_logged, 0
        return not_logged
