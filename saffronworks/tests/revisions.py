"""Shorthand for store revisions in scenarios."""

from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["at"]


def at(number, epoch=1):
    """Return a revision of the store, by default in its first epoch."""
    return StoreRevision(epoch, number)
