"""The scheduler state of one cell, and functions that update it."""

import attrs

from saffronworks.breakers import RetryBudget
from saffronworks.bundles import Model, Role
from saffronworks.owner.leases import CancelList, LeaseTable, OrphanWatch
from saffronworks.owner.ledgers import EndpointLedger, Held
from saffronworks.owner.policies import Policy
from saffronworks.owner.predictors import Average, LengthHistogram
from saffronworks.owner.queues import WaitQueue
from saffronworks.ownership import Cell

__all__ = [
    "CellState",
    "RoleChange",
    "RolePlan",
    "drop_held",
    "new_cell",
    "record_failure",
    "open_decoders",
    "set_cell",
]

INITIAL_SLOT_TIME_MS = 2000.0
MIN_OPEN_SHARE = 0.5


@attrs.define
class RoleChange:
    """A role change of one endpoint, which is drained before it gets the order.

    `empty_since_ms` and `ordered_ms` are None until the drain ended and the order was sent.
    """

    endpoint: str
    role: Role
    since_ms: int
    empty_since_ms: int | None = None
    ordered_ms: int | None = None


@attrs.define
class RolePlan:
    """Utilisation of both roles, the current role change, and the fence for its order.

    `wanted` is the role that is short of an endpoint. `fence` is 0 while this owner has none;
    `sequence` numbers the orders under one fence.
    """

    evaluated_ms: int = 0
    prefill_utilisation: Average = attrs.Factory(lambda: Average(0.0))
    decode_utilisation: Average = attrs.Factory(lambda: Average(0.0))
    wanted: Role | None = None
    wanted_since_ms: int = 0
    cooldown_until_ms: int = 0
    change: RoleChange | None = None
    fence: int = 0
    fence_asked_ms: int | None = None
    fence_taken_ms: int = 0
    sequence: int = 0


@attrs.define
class CellState:
    """The scheduler state of one cell.

    `grants_from_ms` is the end of the rebuild of a new owner. `held` has the granted attempts
    and `ready` those whose KV result waits for a decode slot, by request id. `ended` has the
    last ended attempt of a request and its time. `slot_time_ms` is the mean time that an attempt
    occupies a decode slot.
    """

    cell: Cell
    owner: str
    leases: LeaseTable
    grants_from_ms: int
    ledgers: dict[str, EndpointLedger] = attrs.Factory(dict)
    models: dict[str, Model] = attrs.Factory(dict)
    lengths: dict[str, LengthHistogram] = attrs.Factory(dict)
    queue: WaitQueue = attrs.Factory(WaitQueue)
    held: dict[str, Held] = attrs.Factory(dict)
    ready: dict[str, Held] = attrs.Factory(dict)
    ended: dict[str, tuple[int, int]] = attrs.Factory(dict)
    cancels: CancelList = attrs.Factory(CancelList)
    orphans: OrphanWatch = attrs.Factory(OrphanWatch)
    budget: RetryBudget = attrs.Factory(RetryBudget)
    slot_time_ms: Average = attrs.Factory(lambda: Average(INITIAL_SLOT_TIME_MS))
    transfer_ms: Average = attrs.Factory(lambda: Average(0.0))
    roles: RolePlan = attrs.Factory(RolePlan)
    granted: int = 0
    refused: int = 0
    withdrawn: int = 0


def new_cell(
    cell: Cell,
    owner: str,
    lease_ms: int,
    rebuild_ms: int,
    now_ms: int,
    policy: Policy | None = None,
) -> CellState:
    """Returns the state of a new owner.

    It grants nothing for `rebuild_ms`, in which entry nodes report the attempts that they hold.
    """
    queue = WaitQueue(policy or Policy())
    state = CellState(cell, owner, LeaseTable(lease_ms), now_ms + rebuild_ms, queue=queue)
    set_cell(state, cell)
    return state


def set_cell(state: CellState, cell: Cell) -> None:
    """Applies a newer bundle entry; ledgers of endpoints that stay keep their state."""
    state.cell = cell
    state.models = {model.name: model for model in cell.models}
    for name in state.models:
        state.lengths.setdefault(name, LengthHistogram())
    wanted = {endpoint.name: endpoint for endpoint in cell.endpoints}
    for name, endpoint in wanted.items():
        if name in state.ledgers:
            state.ledgers[name].update_endpoint(endpoint)
        else:
            state.ledgers[name] = EndpointLedger(endpoint)
    for name, ledger in state.ledgers.items():
        if name not in wanted:
            ledger.leaving = True


def drop_held(state: CellState, held: Held) -> None:
    """Removes an attempt from the state and from the ledgers of its endpoints."""
    state.held.pop(held.key.request_id, None)
    state.ready.pop(held.key.request_id, None)
    for ledger in state.ledgers.values():
        ledger.prefills.pop(held.key.request_id, None)
        ledger.decodes.pop(held.key.request_id, None)


def record_failure(state: CellState, name: str, failure: str, now_ms: int) -> None:
    """Counts a failure of an endpoint, which may open its circuit.

    Failures in a row open no circuit that would leave less than half of a role's endpoints. A
    refused connection opens it in any case, since nothing listens there.
    """
    ledger = state.ledgers.get(name)
    if ledger is None:
        return
    peers = [other for other in state.ledgers.values() if other.role is ledger.role]
    left = sum(1 for other in peers if other is not ledger and other.open(now_ms))
    may_open = left >= MIN_OPEN_SHARE * len(peers)
    ledger.circuit.fail(failure, now_ms, may_open)


def open_decoders(state: CellState, now_ms: int) -> list[EndpointLedger]:
    """Returns the decode endpoints that may get new work."""
    return [
        ledger
        for ledger in state.ledgers.values()
        if ledger.role is Role.DECODE and ledger.open(now_ms)
    ]
