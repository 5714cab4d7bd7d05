"""Reasons and durations for which endpoints may not be sent requests."""

import enum
from collections.abc import Mapping, Set

import attrs

from saffronworks.forwarding.starts import StartId

__all__ = ["ALL_ELIGIBLE", "Block", "BlockReason", "Eligibility"]


class BlockReason(enum.StrEnum):
    """Why an endpoint may not be sent a request."""

    # The endpoint is no longer listed, or another one has its address.
    GONE = "gone"
    DRAINING = "draining"
    # The endpoint rejected a request of this node and asked for a pause.
    PAUSED = "paused"
    RATE_LIMITED = "rate_limited"


@attrs.frozen
class Block:
    """A block of an endpoint; it ends after `for_ms`, None if that is unknown."""

    reason: BlockReason
    for_ms: int | None = None


@attrs.frozen
class Eligibility:
    """The eligibility of a service's endpoints for one request.

    Endpoints in `blocks` may not be sent the request; those in `limited` require a permit.
    """

    blocks: Mapping[StartId, Block] = attrs.Factory(dict)
    limited: Set[StartId] = frozenset()


ALL_ELIGIBLE = Eligibility()
