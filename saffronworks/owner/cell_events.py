"""Events that the scheduler of a cell (`cells.py`) takes, and commands that it returns."""

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
    "SendMessage",
    "Tick",
]


@attrs.frozen
class Reported:
    """An endpoint's load report arrived."""

    endpoint: str
    report: LoadReport


@attrs.frozen
class CacheReported:
    """An endpoint reported the prefixes that it evicted."""

    endpoint: str
    events: CacheEvents


@attrs.frozen
class StreamsListed:
    """An endpoint listed its live streams, each with the entry node that it belongs to."""

    endpoint: str
    streams: tuple[tuple[RequestKey, str], ...]


@attrs.frozen
class CancelAcknowledged:
    """The endpoint no longer runs the attempt."""

    endpoint: str
    key: RequestKey


@attrs.frozen
class EndpointGone:
    """A connection to the endpoint was refused: its process ended, and its streams with it."""

    endpoint: str


@attrs.frozen
class EndpointsLeaving:
    """The set of endpoints that drain, and so get no new work, has changed."""

    names: frozenset[str]


@attrs.frozen
class CellChanged:
    """A newer version of the bundle is in force."""

    cell: Cell


@attrs.frozen
class FenceTaken:
    """The store issued a fencing token to this owner for role orders in the cell."""

    fence: int


@attrs.frozen
class RoleOrdered:
    """An endpoint accepted a role order, or rejected it because of a stale fence."""

    endpoint: str
    accepted: bool


@attrs.frozen
class Tick:
    """The timer fired, so leases, queued attempts, cancels and role changes are checked."""


@attrs.frozen
class SendMessage:
    """Sends a message to an entry node."""

    node: str
    message: object


@attrs.frozen
class CancelStream:
    """Cancels an attempt at an endpoint; answered by `CancelAcknowledged` or `EndpointGone`."""

    endpoint: str
    key: RequestKey


@attrs.frozen
class TakeFence:
    """Takes a new fencing token for the cell; answered by `FenceTaken`, or not at all."""

    cell: str


@attrs.frozen
class OrderRole:
    """Orders an endpoint to take a role; answered by `RoleOrdered`, or not at all.

    With `recheck`, the endpoint does not check fences, so the fence is compared with the store
    just before the order is sent.
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


Command = SendMessage | CancelStream | TakeFence | OrderRole
