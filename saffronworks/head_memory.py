"""Memory of request heads: many short fields take a multiple of their bytes on the wire."""

import attrs

__all__ = ["HeadHolder", "HeadMemory", "head_memory_bound", "head_size"]

# Memory of a header field beside its bytes.
FIELD_BYTES = 128
# Copies of a head while its request is served.
SERVED_COPIES = 4
# Memory of a usual head while it is served. The limit on connections bounds the sum of these.
USUAL_HEAD_BYTES = 16_384
# Part of the memory beside a node without requests.
HEAD_MEMORY_SHARE = 1 / 8
MIN_HEAD_MEMORY_BYTES = 8_000_000


def head_memory_bound(spare_bytes: int | None) -> int | None:
    """Return the bound for a process that has so much memory for requests; None without a limit."""
    if spare_bytes is None:
        return None
    return max(MIN_HEAD_MEMORY_BYTES, int(HEAD_MEMORY_SHARE * spare_bytes))


def head_size(wire_bytes: int, fields: int, served: bool) -> int:
    """Estimate the memory in bytes of a head beyond that of a usual one."""
    size_bytes = (wire_bytes + FIELD_BYTES * fields) * (SERVED_COPIES if served else 1)
    return max(0, size_bytes - USUAL_HEAD_BYTES)


class HeadHolder:
    """A connection that holds a head."""

    @property
    def awaits_caller(self) -> bool:
        """Whether the rest of its head or body has not arrived."""
        raise NotImplementedError

    def give_up(self) -> None:
        """End its request, which was not run, and release its head."""
        raise NotImplementedError


@attrs.define
class HeadMemory:
    """The heads of all connections of a process. Without a bound they are only counted."""

    bound_bytes: int | None = None
    held_bytes: int = 0
    # In the order in which they began to hold more than a usual head.
    _holds: dict[HeadHolder, int] = attrs.Factory(dict)

    def hold(self, holder: HeadHolder, size_bytes: int) -> bool:
        """Set what a connection holds; return whether all fit.

        The oldest heads whose callers have not sent the rest of their requests are given up for it.
        """
        self._set(holder, size_bytes)
        for other in list(self._holds) if self._is_over else ():
            if other is not holder and other.awaits_caller:
                other.give_up()
                self.release(other)
                if not self._is_over:
                    break
        return not self._is_over

    def release(self, holder: HeadHolder) -> None:
        """Release what a connection holds."""
        self._set(holder, 0)

    @property
    def _is_over(self) -> bool:
        return self.bound_bytes is not None and self.held_bytes > self.bound_bytes

    def _set(self, holder: HeadHolder, size_bytes: int) -> None:
        self.held_bytes += size_bytes - self._holds.get(holder, 0)
        if size_bytes:
            self._holds[holder] = size_bytes
        else:
            self._holds.pop(holder, None)
