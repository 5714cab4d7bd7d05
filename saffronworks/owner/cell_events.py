"""Events and commands of the owner of a cell (`cells.py`)."""

import attrs

from saffronworks.bundles import Role
from saffronworks.messages import (
    Ask,
    HeldList,
    LeaseRenewal,
    Prefilled,
    Release,
    RequestKey,
)
from saffronworks.owner.ledgers import CacheEvents, LoadReport
from saffronworks.ownership import Cell

__all__ = [
    "CacheReported",
    "CancelAcknowledged",
    "CancelStream",
    "CellChanged",
    "Command",
    "EndpointGone",
    "EndpointsLeaving",
    "Event",
    "FenceTaken",
    "OrderRole",
    "Reported",
    "RoleOrdered",
    "StreamsListed",
    "TakeFence",
    "Tell",
    "Tick",
]


@attrs.frozen
class Reported:
    """An endpoint's load report arrived."""

    endpoint: str
    report: LoadReport


@attrs.frozen
class CacheReported:
    """An endpoint told which prefixes it evicted."""

    endpoint: str
    events: CacheEvents


@attrs.frozen
class StreamsListed:
    """The live streams of an endpoint, each with the node that it belongs to."""

    endpoint: str
    streams: tuple[tuple[RequestKey, str], ...]


@attrs.frozen
class CancelAcknowledged:
    """The endpoint holds the attempt no more."""

    endpoint: str
    key: RequestKey


@attrs.frozen
class EndpointGone:
    """Nobody listens at the endpoint; a process that is gone holds no memory."""

    endpoint: str


@attrs.frozen
class EndpointsLeaving:
    """The endpoints that get no new work."""

    names: frozenset[str]


@attrs.frozen
class CellChanged:
    """A newer bundle version describes the cell anew."""

    cell: Cell


@attrs.frozen
class FenceTaken:
    """The store gave this owner a fencing token for the orders of the cell."""

    fence: int


@attrs.frozen
class RoleOrdered:
    """An endpoint answered an order; one that is not accepted came with an old fence."""

    endpoint: str
    accepted: bool


@attrs.frozen
class Tick:
    """Time passes."""


@attrs.frozen
class Tell:
    """Send a message to an entry node."""

    node: str
    message: object


@attrs.frozen
class CancelStream:
    """Cancel an attempt at an endpoint; answered by `CancelAcknowledged` or `EndpointGone`."""

    endpoint: str
    key: RequestKey


@attrs.frozen
class TakeFence:
    """Take a new fencing token for the cell; answered by `FenceTaken`, or not at all."""

    cell: str


@attrs.frozen
class OrderRole:
    """Order an endpoint to take a role; answered by `RoleOrdered`, or not at all.

    With `recheck`, the endpoint does not check fences: look in the store just before.
    """

    endpoint: str
    role: Role
    fence: int
    sequence: int
    recheck: bool


Event = (
    Ask
    | Prefilled
    | Release
    | LeaseRenewal
    | HeldList
    | Reported
    | CacheReported
    | StreamsListed
    | CancelAcknowledged
    | EndpointGone
    | EndpointsLeaving
    | CellChanged
    | FenceTaken
    | RoleOrdered
    | Tick
)


Command = Tell | CancelStream | TakeFence | OrderRole
