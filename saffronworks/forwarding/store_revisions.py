"""Revisions of the store, and epochs that separate them across restores."""

import logging
from collections.abc import Callable

import attrs

__all__ = ["StoreEpoch", "StoreRevision"]

logger = logging.getLogger(__name__)

# More than the writes of one epoch, yet small enough for tokens that are exact as JSON numbers.
FENCES_PER_EPOCH = 2**32


@attrs.frozen(order=True)
class StoreRevision:
    """A point in the store's history.

    A restore from a copy begins the next epoch, in which numbers are issued again. Numbers are
    comparable within one epoch only, so the epoch is compared first.
    """

    epoch: int
    number: int

    @property
    def fence(self) -> int:
        """Return a fencing token, which increases across restores although numbers repeat."""
        return self.epoch * FENCES_PER_EPOCH + self.number

    def is_reverted_from(self, known: "StoreRevision") -> bool:
        """Return whether an object may come from a copy made before it reached `known`.

        Only a number above that of `known` proves that it was written after the restore.
        """
        return self.epoch > known.epoch and self.number <= known.number

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


class StoreEpoch:
    """The newest epoch of the store that was observed in answers or updates from peers."""

    def __init__(self) -> None:
        self.newest: int | None = None
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, on_restore: Callable[[], None]) -> None:
        """Call `on_restore` whenever a later epoch is observed."""
        self._subscribers.append(on_restore)

    def observe(self, epoch: int) -> int:
        """Record an epoch from an answer or a peer unless it is older; returns the newest."""
        if self.newest is not None and epoch <= self.newest:
            return self.newest
        before, self.newest = self.newest, epoch
        logger.info("event=store_epoch_observed epoch=%d before=%s", epoch, before)
        if before is not None:
            for on_restore in self._subscribers:
                on_restore()
        return epoch
