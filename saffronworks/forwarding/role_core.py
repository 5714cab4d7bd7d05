"""Decides which engine changes its role, and when this node may order it.

Too many prefill endpoints leave decode memory scarce; none at all leaves decode endpoints to read
prompts by themselves. One node at a time holds the duty to give orders: an object of the store
whose revision is the fence. Endpoints may not check fences, so the next holder waits until every
order of the one before must have happened. `step(state, event, now_ms)` gives the next command or
None.
"""

import math

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

# A prompt of 5,000 tokens takes 90 ms to read, its answer a ninth of a decode endpoint's memory for
# 2.7 s: in balance, a fifth to a quarter of the engines read. Decode endpoints can read, too.
PREFILL_SHARE = 0.18
# An excess that lasts this long is real: endpoints enter themselves within 4.5 s of the start.
EXCESS_MS = 2000
# Endpoints enter themselves within 4.5 s of the start: readers that came first are not alone yet.
STARTUP_GRACE_MS = 5000
# A lack that lasts this long: a crashed endpoint's entry goes after 3.6 s, and most are back by
# then or a moment later. Without a reader, worth on two days fell to 0.26 and 0.04.
SHORTAGE_MS = 1500
# Endpoints that must remain to decode when one of them is to read. With fewer, the six seconds
# and more of a change cost more than reading beside the runs (one day with two engines left).
MIN_DECODERS = 2
# An order without an answer may still be carried out for this long.
ORDER_TIMEOUT_MS = 13_000
# It is given again after this pause, to the same endpoint, where it changes nothing twice.
ORDER_RETRY_MS = 2500
# A duty whose object did not change for this long is free: all orders of its holder are over.
DUTY_EXPIRY_MS = 13_000
# An order goes out at most this long after the duty was confirmed.
CONFIRMATION_VALID_MS = 300
# So many nodes ask for a duty that all see undone, each next group only when that lasts longer: one
# of them is enough. Of 195 nodes all asked in the same half second, twice in the first ten seconds.
GROUP_NODES = 4
GROUP_DELAY_MS = 2000
# Pause after a failed try at the duty.
DUTY_RETRY_MS = 4000


@attrs.define
class OpenOrder:
    """An order whose endpoint does not show the new role yet."""

    role: Role
    ordered_ms: int
    unanswered: bool = False


@attrs.define
class RoleState:
    """What this node knows of roles and of the duty; `orders` by the endpoint's instance."""

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
    """The usable endpoints of one service with engines, as the directory has them now.

    `place` is this node's among all that may ask for the duty; 0 asks first.
    """

    endpoints: list[ServiceEndpoint]
    position: int = 0


@attrs.frozen
class DutyTaken:
    """The store confirmed this node as the holder; `took_over` if another held it before."""

    revision: StoreRevision
    took_over: bool


@attrs.frozen
class DutyHeldByOther:
    """Another node holds the duty; its object is at this revision."""

    revision: StoreRevision


@attrs.frozen
class DutyUnknown:
    """The store did not answer."""


@attrs.frozen
class StoreRestored:
    """The store was restored from a copy, and may have lost who holds the duty."""


@attrs.frozen
class OrderAnswered:
    """The endpoint answered the order, or (`accepted` None) gave no answer."""

    instance: StartId
    accepted: bool | None


@attrs.frozen
class TakeDuty:
    """Confirm or take the duty; over another holder's object only at `free_revision`."""

    free_revision: StoreRevision | None


@attrs.frozen
class OrderRole:
    """Order an endpoint into a role."""

    endpoint: ServiceEndpoint
    role: Role
    fence: int


Event = (
    EndpointsObserved | DutyTaken | DutyHeldByOther | DutyUnknown | StoreRestored | OrderAnswered
)
Command = TakeDuty | OrderRole


def target_prefillers(engines: int) -> int:
    """How many of so many engines should read prompts."""
    return max(1, math.ceil(PREFILL_SHARE * engines))


def step(state: RoleState, event: Event, now_ms: int) -> Command | None:
    """The next command, or None when there is nothing to do."""
    match event:
        case EndpointsObserved(endpoints, position):
            turn_ms = 0 if state.is_holder else position // GROUP_NODES * GROUP_DELAY_MS
            return _look(state, endpoints, turn_ms, now_ms)
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
            _forget_duty(state, now_ms)
        case OrderAnswered(instance, accepted):
            if accepted is False:
                state.orders.pop(instance, None)
                state.retry_at_ms = now_ms + DUTY_RETRY_MS
            elif instance in state.orders:
                state.orders[instance].unanswered = accepted is None
    return None


def _forget_duty(state: RoleState, now_ms: int) -> None:
    """The holder may claim it again at once; others wait until all its orders are over."""
    state.duty_revision, state.duty_changed_ms = None, now_ms
    if not state.is_holder:
        state.may_order_from_ms = max(state.may_order_from_ms, now_ms + DUTY_EXPIRY_MS)


def _look(
    state: RoleState, endpoints: list[ServiceEndpoint], turn_ms: int, now_ms: int
) -> Command | None:
    _settle_orders(state, endpoints, now_ms)
    chosen = _order_again(state, endpoints, now_ms)
    chosen = chosen or _unbalanced(state, endpoints, turn_ms, now_ms)
    if chosen is None or now_ms < max(state.retry_at_ms, state.may_order_from_ms):
        return None
    state.chosen = chosen
    free = not state.is_holder and now_ms - state.duty_changed_ms >= DUTY_EXPIRY_MS
    return TakeDuty(state.duty_revision if free else None)


def _settle_orders(state: RoleState, endpoints: list[ServiceEndpoint], now_ms: int) -> None:
    """An order is over when its endpoint shows the new role, is gone, or never will change."""
    shown = {endpoint.instance: endpoint.role for endpoint in endpoints}
    for instance, order in list(state.orders.items()):
        done = shown.get(instance) in (None, order.role)
        if done or now_ms - order.ordered_ms >= ORDER_TIMEOUT_MS:
            del state.orders[instance]


def _order_again(
    state: RoleState, endpoints: list[ServiceEndpoint], now_ms: int
) -> ServiceEndpoint | None:
    """An endpoint that was ordered and gave no answer."""
    for endpoint in endpoints:
        order = state.orders.get(endpoint.instance)
        if order and order.unanswered and now_ms - order.ordered_ms >= ORDER_RETRY_MS:
            return endpoint
    return None


def _unbalanced(
    state: RoleState, endpoints: list[ServiceEndpoint], turn_ms: int, now_ms: int
) -> ServiceEndpoint | None:
    """The endpoint that should change, once the imbalance has lasted."""
    chosen = _choose(state, endpoints)
    if chosen is None:
        state.unbalanced_since_ms = None
        return None
    shortage = chosen.role is Role.DECODE
    if state.unbalanced_since_ms is None or shortage is not state.shortage:
        state.unbalanced_since_ms, state.shortage = now_ms, shortage
    lasted_ms = now_ms - state.unbalanced_since_ms
    return chosen if lasted_ms >= _wait_ms(state, shortage) + turn_ms else None


def _wait_ms(state: RoleState, shortage: bool) -> int:
    """How long an imbalance has to last."""
    if not state.decoder_seen:
        return STARTUP_GRACE_MS
    return SHORTAGE_MS if shortage else EXCESS_MS


def _choose(state: RoleState, endpoints: list[ServiceEndpoint]) -> ServiceEndpoint | None:
    """The endpoint that should change, or None in balance; open orders count as carried out.

    Where nothing decodes, a reader changes even if it is the last engine: it then reads as well,
    while readers alone serve nobody. A day whose engines left one by one ended with a reader that
    waited for 14 s, and 96 callers were told that there is no endpoint.
    """
    by_role: dict[Role, list[ServiceEndpoint]] = {Role.PREFILL: [], Role.DECODE: []}
    for endpoint in endpoints:
        order = state.orders.get(endpoint.instance)
        role = order.role if order else endpoint.role
        if role is not None:
            by_role[role].append(endpoint)
    prefillers, decoders = by_role[Role.PREFILL], by_role[Role.DECODE]
    state.decoder_seen = state.decoder_seen or bool(decoders)
    free = [e for e in (*prefillers, *decoders) if e.instance not in state.orders]
    if len(prefillers) > (target_prefillers(len(endpoints)) if decoders else 0):
        surplus = [e for e in free if e.role is Role.PREFILL]
        return max(surplus, key=lambda e: e.instance, default=None)
    if not prefillers and len(decoders) > MIN_DECODERS:
        spare = [e for e in free if e.role is Role.DECODE]
        return max(spare, key=lambda e: e.instance, default=None)
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
