"""Role changes: moves endpoints between prefill and decode as demand shifts.

Part of the scheduler of a cell, for pools whose bundle sets `change_roles`. One endpoint at a
time changes, when one role is saturated, the move would raise the capacity of the cell clearly
and for long enough, and the last change is not recent. The endpoint is drained first, and then
gets an order with a fencing token, so that an owner that was replaced can't order it.
"""

import attrs

from saffronworks.bundles import Role
from saffronworks.owner.cell_events import Command, FenceTaken, OrderRole, RoleOrdered, TakeFence
from saffronworks.owner.cell_states import CellState, RoleChange
from saffronworks.owner.ledgers import EndpointLedger, LoadReport

__all__ = ["apply_reported_role", "plan_roles", "handle_fence_taken", "handle_role_reply"]

EVALUATION_INTERVAL_MS = 250
MIN_UTILISATION = 0.92
MIN_CAPACITY_GAIN = 1.25
SUSTAIN_MS = 4000
COOLDOWN_MS = 5000
DRAIN_LIMIT_MS = 20_000
ORDER_LIMIT_MS = 10_000
RETRY_INTERVAL_MS = 1000
# A load report may be older than a role change and must not undo it.
REPORT_SETTLE_MS = 3000
# Assumed upper bound of a process pause between the check of the fence and the order.
MAX_PROCESS_PAUSE_MS = 2000


@attrs.frozen
class _RoleLoad:
    """The endpoints of each role, and the load of each role as a number of busy endpoints."""

    prefills: int
    decodes: int
    prefill_work: float
    decode_work: float

    def capacity(self, moved: int) -> float:
        """Returns the multiple of the present load that fits after a move.

        `moved` endpoints go from decode to prefill; a negative number goes the other way.
        """
        prefills, decodes = self.prefills + moved, self.decodes - moved
        if prefills < 1 or decodes < 1:
            return 0.0
        return min(prefills / max(0.01, self.prefill_work), decodes / max(0.01, self.decode_work))


def plan_roles(state: CellState, now_ms: int) -> list[Command]:
    """Measures both roles, and starts a role change or advances the current one."""
    plan = state.roles
    if not state.cell.pool.change_roles or now_ms - plan.evaluated_ms < EVALUATION_INTERVAL_MS:
        return []
    plan.evaluated_ms = now_ms
    split = _measure_load(state, now_ms)
    if plan.change is None and now_ms >= max(plan.cooldown_until_ms, state.grants_from_ms):
        _start_change_if_needed(state, split, now_ms)
    return _advance(state, plan.change, now_ms) if plan.change else []


def _measure_load(state: CellState, now_ms: int) -> _RoleLoad:
    prefillers = [ledger for ledger in _of_role(state, Role.PREFILL) if ledger.open(now_ms)]
    decoders = [ledger for ledger in _of_role(state, Role.DECODE) if ledger.open(now_ms)]
    slots = sum(ledger.endpoint.slots for ledger in decoders)
    busy = sum(1 for ledger in prefillers if ledger.prefills)
    running = sum(len(ledger.decodes) for ledger in decoders)
    plan = state.roles
    plan.prefill_utilisation.add(busy / len(prefillers) if prefillers else 1.0)
    plan.decode_utilisation.add(running / slots if slots else 1.0)
    return _RoleLoad(
        len(prefillers),
        len(decoders),
        plan.prefill_utilisation.value * max(1, len(prefillers)),
        plan.decode_utilisation.value * max(1, len(decoders)),
    )


def _of_role(state: CellState, role: Role) -> list[EndpointLedger]:
    return [ledger for ledger in state.ledgers.values() if ledger.role is role]


def _start_change_if_needed(state: CellState, split: _RoleLoad, now_ms: int) -> None:
    """Starts a change once the same role has been short of an endpoint for `SUSTAIN_MS`.

    Chooses the least loaded endpoint of the other role, which keeps at least one open endpoint.
    """
    plan = state.roles
    to_prefill = plan.prefill_utilisation.value >= plan.decode_utilisation.value
    wanted = Role.PREFILL if to_prefill else Role.DECODE
    now = split.capacity(0)
    gain = split.capacity(1 if to_prefill else -1) / now if now else float("inf")
    saturated = (
        max(plan.prefill_utilisation.value, plan.decode_utilisation.value) >= MIN_UTILISATION
    )
    if not saturated or gain < MIN_CAPACITY_GAIN or plan.wanted is not wanted:
        plan.wanted = wanted
        plan.wanted_since_ms = now_ms
        return
    if now_ms - plan.wanted_since_ms < SUSTAIN_MS:
        return
    other = Role.DECODE if to_prefill else Role.PREFILL
    candidates = [ledger for ledger in _of_role(state, other) if ledger.open(now_ms)]
    if len(candidates) < 2:
        return
    chosen = min(candidates, key=lambda c: (len(c.decodes) + len(c.prefills), c.endpoint.name))
    chosen.changing = True
    plan.change = RoleChange(chosen.endpoint.name, wanted, now_ms)


def _advance(state: CellState, change: RoleChange, now_ms: int) -> list[Command]:
    ledger = state.ledgers.get(change.endpoint)
    limit_ms = DRAIN_LIMIT_MS if change.ordered_ms is None else DRAIN_LIMIT_MS + ORDER_LIMIT_MS
    if ledger is None or now_ms - change.since_ms >= limit_ms:
        _end_change(state, now_ms)
        return []
    if change.ordered_ms is not None:
        return _order(state, change, ledger, now_ms)
    if not _is_drained(state, ledger):
        change.empty_since_ms = None
    elif change.empty_since_ms is None:
        change.empty_since_ms = now_ms
    if state.roles.fence == 0:
        return _ask_fence(state, now_ms)
    if change.empty_since_ms is None or not _may_order(state, ledger, now_ms):
        return []
    if now_ms - change.empty_since_ms < state.cell.pool.kv_kept_ms:
        return []
    state.roles.sequence += 1
    return _order(state, change, ledger, now_ms)


def _is_drained(state: CellState, ledger: EndpointLedger) -> bool:
    """Returns True when the endpoint runs nothing and holds no KV result to be transferred."""
    name = ledger.endpoint.name
    waits = any(held.prefill_endpoint == name for held in state.ready.values())
    return not (ledger.prefills or ledger.decodes or ledger.unacknowledged or waits)


def _may_order(state: CellState, ledger: EndpointLedger, now_ms: int) -> bool:
    """Returns True when no earlier owner can still order the endpoint.

    An endpoint that checks fences rejects an earlier owner itself. For any other, this owner
    waits after taking its fence for the length of a lease plus the longest process pause.
    """
    if ledger.endpoint.checks_fence:
        return True
    return now_ms - state.roles.fence_taken_ms >= state.leases.lease_ms + MAX_PROCESS_PAUSE_MS


def _ask_fence(state: CellState, now_ms: int) -> list[Command]:
    plan = state.roles
    if plan.fence_asked_ms is not None and now_ms - plan.fence_asked_ms < RETRY_INTERVAL_MS:
        return []
    plan.fence_asked_ms = now_ms
    return [TakeFence(state.cell.name)]


def _order(
    state: CellState, change: RoleChange, ledger: EndpointLedger, now_ms: int
) -> list[Command]:
    """Returns the order, or a repeat with the same sequence number until it is answered."""
    if change.ordered_ms is not None and now_ms - change.ordered_ms < RETRY_INTERVAL_MS:
        return []
    change.ordered_ms = now_ms
    plan = state.roles
    recheck = not ledger.endpoint.checks_fence
    return [OrderRole(change.endpoint, change.role, plan.fence, plan.sequence, recheck)]


def handle_fence_taken(state: CellState, event: FenceTaken, now_ms: int) -> None:
    """Records the fence that the store issued, which is higher than any before it."""
    state.roles.fence = event.fence
    state.roles.fence_taken_ms = now_ms
    state.roles.sequence = 0


def handle_role_reply(state: CellState, event: RoleOrdered, now_ms: int) -> None:
    """Ends the change when the endpoint accepted or rejected its order.

    A rejection means that the store has issued a higher fence, so this owner drops its own.
    """
    change = state.roles.change
    if change is None or change.endpoint != event.endpoint:
        return
    if event.accepted:
        _set_role(state.ledgers[change.endpoint], change.role, now_ms)
    else:
        state.roles.fence = 0
    _end_change(state, now_ms)


def apply_reported_role(
    state: CellState, ledger: EndpointLedger, report: LoadReport, now_ms: int
) -> None:
    """In pools that change roles, the reported role of an endpoint overrides the ledger's."""
    if not state.cell.pool.change_roles or report.role not in tuple(Role):
        return
    role = Role(report.role)
    change = state.roles.change
    mine = change is not None and change.endpoint == ledger.endpoint.name
    if mine and change is not None and change.ordered_ms is not None and role is change.role:
        _set_role(ledger, role, now_ms)
        _end_change(state, now_ms)
    elif role is not ledger.role and now_ms - ledger.role_set_ms >= REPORT_SETTLE_MS:
        _set_role(ledger, role, now_ms)


def _set_role(ledger: EndpointLedger, role: Role, now_ms: int) -> None:
    ledger.role = role
    ledger.role_set_ms = now_ms


def _end_change(state: CellState, now_ms: int) -> None:
    change = state.roles.change
    if change is not None and change.endpoint in state.ledgers:
        state.ledgers[change.endpoint].changing = False
    state.roles.change = None
    state.roles.cooldown_until_ms = now_ms + COOLDOWN_MS
    state.roles.wanted_since_ms = now_ms
