"""Entries that have left the store, told from those that a restored copy brings back."""

import attrs

from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["RemovedEntries"]

# How long removals are remembered; a copy of the store is seconds old.
REMEMBER_MS = 60_000


@attrs.frozen
class _Removed:
    """The last revision of an entry, the epoch of its removal, and whether it was draining."""

    last: StoreRevision
    epoch: int
    draining: bool
    forget_at_ms: int


@attrs.define
class RemovedEntries:
    """Removals by name.

    An entry keeps its revision in a copy, and gets a later one when its endpoint writes it again.
    """

    _removed: dict[str, _Removed] = attrs.Factory(dict)

    def record(
        self, name: str, last: StoreRevision, epoch: int, draining: bool, now_ms: int
    ) -> None:
        """An entry went in that epoch; `last` is its own revision."""
        self._forget_old(now_ms)
        self._removed.pop(name, None)
        self._removed[name] = _Removed(last, epoch, draining, now_ms + REMEMBER_MS)

    def _forget_old(self, now_ms: int) -> None:
        while self._removed:
            oldest = next(iter(self._removed))
            if now_ms < self._removed[oldest].forget_at_ms:
                return
            del self._removed[oldest]

    def is_restored(self, name: str, revision: StoreRevision, now_ms: int) -> bool:
        """Whether an entry of that revision is the one that went, from a copy made before."""
        removed = self._removed.get(name)
        if removed is None or now_ms >= removed.forget_at_ms:
            return False
        last = StoreRevision(removed.epoch, removed.last.number)
        return revision.is_reverted_from(last)

    def was_draining(self, name: str) -> bool:
        """Whether the entry was draining when it went."""
        removed = self._removed.get(name)
        return removed is not None and removed.draining
