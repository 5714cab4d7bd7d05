"""State machine that changes the roles of engines between prefill and decode.

Too many prefill endpoints make decode memory scarce; without any, decode endpoints prefill by
themselves. Only the node that holds the duty, a lock in the store, orders role changes. The
revision of the lock's object is the fencing token. Some endpoints do not check it, so a new holder
waits until every order of the previous one has been carried out or has expired.
`step(state, event, now_ms)` returns the next command or None.
"""

import math
from collections import Counter

import attrs

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = [
    "Command",
    "DutyHeldByOther",
    "DutyTaken",
    "DutyUnknown",
    "Event",
    "OrderRole",
    "EndpointsObserved",
    "OrderAnswered",
    "RoleState",
    "StoreRestored",
    "TakeDuty",
    "step",
    "target_prefillers",
]

# Target share of prefill endpoints. A prompt of 5,000 tokens takes 90 ms to prefill, and its answer
# takes a ninth of a decode endpoint's memory for 2.7 s: demand balances if a fifth to a quarter of
# the engines prefill. The share is lower, as decode endpoints can prefill as well.
PREFILL_SHARE = 0.18
# A surplus of prefill endpoints must last this long, so that a transient one changes no role.
SURPLUS_MS = 2000
# Endpoints register within 4.5 s of the start; until then prefill endpoints may be listed alone.
STARTUP_GRACE_MS = 5000
# A shortage of prefill endpoints must last this long: a crashed endpoint's entry is removed after
# 3.6 s, and most endpoints are back by then or shortly after.
SHORTAGE_MS = 1500
# Decode endpoints change to prefill only if there are more than this many. With fewer, the change,
# which takes six seconds or more, costs more than prefill on decode endpoints.
MIN_DECODERS = 2
# An unanswered order may still be carried out for this long.
ORDER_TIMEOUT_MS = 13_000
# Pause before an unanswered order is repeated to the same endpoint; orders are idempotent.
ORDER_RETRY_MS = 2500
# A duty whose object did not change for this long may be taken: by then all orders of its holder
# have been carried out or have expired.
DUTY_EXPIRY_MS = 13_000
# An order is sent at most this long after the duty was confirmed.
CONFIRMATION_VALID_MS = 300
# Nodes try to take the duty in groups of this size, each group after a further delay, as one holder
# is enough: without groups, all 195 nodes of a fleet wrote to the store within half a second.
GROUP_NODES = 4
GROUP_DELAY_MS = 2000
# Pause after a failed attempt to take the duty.
DUTY_RETRY_MS = 4000


@attrs.define
class OpenOrder:
    """An order whose endpoint does not advertise the new role yet."""

    role: Role
    ordered_ms: int
    unanswered: bool = False


@attrs.define
class RoleState:
    """This node's view of the roles and the duty of a service; `orders` is keyed by instance.

    `duty_revision` is the last seen revision of the duty's object, and `duty_changed_ms` the time
    at which it was seen to change. A node that takes over the duty waits `lease_ms` and
    `thaw_slack_ms`, a margin for a suspended holder, before its first order.
    """

    node: str
    lease_ms: int
    thaw_slack_ms: int
    unbalanced_since_ms: int | None = None
    shortage: bool = False
    decoder_seen: bool = False
    orders: dict[StartId, OpenOrder] = attrs.Factory(dict)
    duty_revision: StoreRevision | None = None
    duty_changed_ms: int = 0
    is_holder: bool = False
    may_order_from_ms: int = 0
    retry_at_ms: int = 0
    chosen: ServiceEndpoint | None = None


@attrs.frozen
class EndpointsObserved:
    """The usable endpoints of one service with engines, as listed in the directory.

    `position` is this node's in the order of nodes that may take the duty; 0 tries first.
    """

    endpoints: list[ServiceEndpoint]
    position: int = 0


@attrs.frozen
class DutyTaken:
    """The store confirmed this node as the holder; `took_over` if another node may have held it."""

    revision: StoreRevision
    took_over: bool


@attrs.frozen
class DutyHeldByOther:
    """Another node holds the duty, whose object is at `revision`."""

    revision: StoreRevision


@attrs.frozen
class DutyUnknown:
    """The store did not answer."""


@attrs.frozen
class StoreRestored:
    """The store was restored from a backup, which may lack the current holder of the duty."""


@attrs.frozen
class OrderAnswered:
    """The endpoint accepted or rejected the order; `accepted` is None if it gave no answer."""

    instance: StartId
    accepted: bool | None


@attrs.frozen
class TakeDuty:
    """Confirm or take the duty; another holder's object is replaced only at `free_revision`."""

    free_revision: StoreRevision | None


@attrs.frozen
class OrderRole:
    """Order an endpoint to change to a role, with the fencing token `fence`."""

    endpoint: ServiceEndpoint
    role: Role
    fence: int


Event = (
    EndpointsObserved | DutyTaken | DutyHeldByOther | DutyUnknown | StoreRestored | OrderAnswered
)
Command = TakeDuty | OrderRole


def target_prefillers(engines: int) -> int:
    """Return the target number of prefill endpoints out of `engines`, at least one."""
    return max(1, math.ceil(PREFILL_SHARE * engines))


def step(state: RoleState, event: Event, now_ms: int) -> Command | None:
    """Return the next command, or None when there is nothing to do."""
    match event:
        case EndpointsObserved(endpoints, position):
            group_delay_ms = 0 if state.is_holder else position // GROUP_NODES * GROUP_DELAY_MS
            return _plan_change(state, endpoints, group_delay_ms, now_ms)
        case DutyTaken(revision, took_over):
            return _take_duty(state, revision, took_over, now_ms)
        case DutyHeldByOther(revision):
            state.is_holder = False
            if revision != state.duty_revision:
                state.duty_revision, state.duty_changed_ms = revision, now_ms
            state.retry_at_ms = now_ms + DUTY_RETRY_MS
        case DutyUnknown():
            state.retry_at_ms = now_ms + DUTY_RETRY_MS
        case StoreRestored():
            _reset_duty(state, now_ms)
        case OrderAnswered(instance, accepted):
            if accepted is False:
                state.orders.pop(instance, None)
                state.retry_at_ms = now_ms + DUTY_RETRY_MS
            elif instance in state.orders:
                state.orders[instance].unanswered = accepted is None
    return None


def _reset_duty(state: RoleState, now_ms: int) -> None:
    """Forget the duty's revision; nodes other than the holder wait until its orders expire."""
    state.duty_revision, state.duty_changed_ms = None, now_ms
    if not state.is_holder:
        state.may_order_from_ms = max(state.may_order_from_ms, now_ms + DUTY_EXPIRY_MS)


def _plan_change(
    state: RoleState, endpoints: list[ServiceEndpoint], group_delay_ms: int, now_ms: int
) -> Command | None:
    _close_orders(state, endpoints, now_ms)
    chosen = _find_unanswered(state, endpoints, now_ms)
    chosen = chosen or _find_imbalance(state, endpoints, group_delay_ms, now_ms)
    if chosen is None or now_ms < max(state.retry_at_ms, state.may_order_from_ms):
        return None
    state.chosen = chosen
    free = not state.is_holder and now_ms - state.duty_changed_ms >= DUTY_EXPIRY_MS
    return TakeDuty(state.duty_revision if free else None)


def _close_orders(state: RoleState, endpoints: list[ServiceEndpoint], now_ms: int) -> None:
    """Remove orders whose endpoint has the new role or is gone, and those that timed out."""
    shown = {endpoint.instance: endpoint.role for endpoint in endpoints}
    for instance, order in list(state.orders.items()):
        done = shown.get(instance) in (None, order.role)
        if done or now_ms - order.ordered_ms >= ORDER_TIMEOUT_MS:
            del state.orders[instance]


def _find_unanswered(
    state: RoleState, endpoints: list[ServiceEndpoint], now_ms: int
) -> ServiceEndpoint | None:
    """Return an endpoint whose order was not answered and is due for a repetition."""
    for endpoint in endpoints:
        order = state.orders.get(endpoint.instance)
        if order and order.unanswered and now_ms - order.ordered_ms >= ORDER_RETRY_MS:
            return endpoint
    return None


def _find_imbalance(
    state: RoleState, endpoints: list[ServiceEndpoint], group_delay_ms: int, now_ms: int
) -> ServiceEndpoint | None:
    """Return the endpoint that should change its role, once the imbalance lasts long enough."""
    chosen = _choose(state, endpoints)
    if chosen is None:
        state.unbalanced_since_ms = None
        return None
    shortage = chosen.role is Role.DECODE
    if state.unbalanced_since_ms is None or shortage is not state.shortage:
        state.unbalanced_since_ms, state.shortage = now_ms, shortage
    lasted_ms = now_ms - state.unbalanced_since_ms
    return chosen if lasted_ms >= _required_imbalance_ms(state, shortage) + group_delay_ms else None


def _required_imbalance_ms(state: RoleState, shortage: bool) -> int:
    """Return how long an imbalance has to last before a role changes."""
    if not state.decoder_seen:
        return STARTUP_GRACE_MS
    return SHORTAGE_MS if shortage else SURPLUS_MS


def _choose(state: RoleState, endpoints: list[ServiceEndpoint]) -> ServiceEndpoint | None:
    """Return the endpoint that should change, or None; open orders count as carried out.

    Without a decode endpoint, even the last prefill endpoint changes: it can prefill and decode
    then, while prefill endpoints alone serve no request and callers get `no-endpoint`. Streams can
    be continued only by decode endpoints of their software version, so the version that has the
    fewest of these gets one first, and the one that has most gives one up.
    """
    by_role: dict[Role, list[ServiceEndpoint]] = {Role.PREFILL: [], Role.DECODE: []}
    for endpoint in endpoints:
        order = state.orders.get(endpoint.instance)
        role = order.role if order else endpoint.role
        if role is not None:
            by_role[role].append(endpoint)
    prefillers, decoders = by_role[Role.PREFILL], by_role[Role.DECODE]
    state.decoder_seen = state.decoder_seen or bool(decoders)
    decoders_of = Counter(e.version for e in decoders)
    free = [e for e in (*prefillers, *decoders) if e.instance not in state.orders]
    if len(prefillers) > (target_prefillers(len(endpoints)) if decoders else 0):
        surplus = [e for e in free if e.role is Role.PREFILL]
        return max(surplus, key=lambda e: (-decoders_of[e.version], e.instance), default=None)
    if not prefillers and len(decoders) > MIN_DECODERS:
        spare = [e for e in free if e.role is Role.DECODE]
        return max(spare, key=lambda e: (decoders_of[e.version], e.instance), default=None)
    return None


def _take_duty(
    state: RoleState, revision: StoreRevision, took_over: bool, now_ms: int
) -> Command | None:
    state.is_holder = True
    state.duty_revision, state.duty_changed_ms = revision, now_ms
    if took_over:
        from_ms = now_ms + state.lease_ms + state.thaw_slack_ms
        state.may_order_from_ms = max(state.may_order_from_ms, from_ms)
        return None
    chosen, state.chosen = state.chosen, None
    if chosen is None or now_ms < state.may_order_from_ms:
        return None
    role = Role.DECODE if chosen.role is Role.PREFILL else Role.PREFILL
    state.orders[chosen.instance] = OpenOrder(role, now_ms)
    return OrderRole(chosen, role, revision.fence)
