"""Why endpoints may not be sent a request now, and for how long."""

import enum
from collections.abc import Mapping, Set

import attrs

from saffronworks.forwarding.starts import StartId

__all__ = ["ALL_ELIGIBLE", "Block", "BlockReason", "Eligibility"]


class BlockReason(enum.StrEnum):
    """What keeps requests from an endpoint."""

    # It is not listed any more, or another endpoint has its address.
    GONE = "gone"
    DRAINING = "draining"
    # It rejected a request of this node and wants none for some time.
    PAUSED = "paused"
    RATE_LIMITED = "rate_limited"


@attrs.frozen
class Block:
    """An endpoint may not be sent a request; after `for_ms` it may, None where that is unknown."""

    reason: BlockReason
    for_ms: int | None = None


@attrs.frozen
class Eligibility:
    """What a request knows of a service's endpoints when it chooses one.

    `blocks` has those that it may not be sent to; a send to one in `limited` needs a permit.
    """

    blocks: Mapping[StartId, Block] = attrs.Factory(dict)
    limited: Set[StartId] = frozenset()


ALL_ELIGIBLE = Eligibility()
