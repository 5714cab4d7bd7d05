"""Revisions of a store as scenarios write them."""

from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["at"]


def at(number, epoch=1):
    """A revision of the store, in its first epoch unless named."""
    return StoreRevision(epoch, number)
