"""Removed store entries, kept to detect those that a restored copy brings back."""

import attrs

from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["RemovedEntries"]

# How long removals are remembered; a copy that the store is restored from is seconds old.
RETENTION_MS = 60_000


@attrs.frozen
class _Removed:
    """An entry's last revision, the epoch of its removal, and whether it was draining."""

    last: StoreRevision
    epoch: int
    draining: bool
    expires_at_ms: int


@attrs.define
class RemovedEntries:
    """Removed entries by name.

    An entry of a later epoch counts as brought back by a copy unless its revision number is above
    the one that it had before its removal.
    """

    _removed: dict[str, _Removed] = attrs.Factory(dict)

    def record(
        self, name: str, last: StoreRevision, epoch: int, draining: bool, now_ms: int
    ) -> None:
        """Record the removal of an entry in `epoch`; `last` is the entry's own revision."""
        self._prune(now_ms)
        self._removed.pop(name, None)
        self._removed[name] = _Removed(last, epoch, draining, now_ms + RETENTION_MS)

    def _prune(self, now_ms: int) -> None:
        while self._removed:
            oldest = next(iter(self._removed))
            if now_ms < self._removed[oldest].expires_at_ms:
                return
            del self._removed[oldest]

    def is_restored(self, name: str, revision: StoreRevision, now_ms: int) -> bool:
        """Return whether the entry at `revision` is the removed one, restored from a copy."""
        removed = self._removed.get(name)
        if removed is None or now_ms >= removed.expires_at_ms:
            return False
        last = StoreRevision(removed.epoch, removed.last.number)
        return revision.is_reverted_from(last)

    def was_draining(self, name: str) -> bool:
        """Return whether the entry was draining when it was removed."""
        removed = self._removed.get(name)
        return removed is not None and removed.draining
