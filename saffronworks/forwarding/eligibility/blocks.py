"""Why an endpoint may not be sent a request now."""

import enum

import attrs

__all__ = ["Block", "BlockReason"]


class BlockReason(enum.StrEnum):
    """What keeps requests from an endpoint."""

    # It is not listed any more, or another endpoint has its address.
    GONE = "gone"
    DRAINING = "draining"


@attrs.frozen
class Block:
    """An endpoint may not be sent a request."""

    reason: BlockReason
