"""Steps on role changes and the duty, the lock that permits a node to order them."""

import anyio
from behave import given, then
from result import Ok

from saffronworks.bundles import Role
from saffronworks.forwarding import role_core as roles
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.ports import StoredObject
from saffronworks.forwarding.role_keeper import RoleKeeper
from saffronworks.forwarding.routing import EngineSpec, RoutingTable, Service
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.endpoint_fixtures import (
    endpoints,
)
from saffronworks.tests.revisions import at


@given("two prefill endpoints out of five engines")
def five_engines(context):
    context.engines = endpoints(3, Role.DECODE, "d") + endpoints(2, Role.PREFILL, "p")


def observe_until(state, engines, from_ms, until_ms):
    """Return the first command and its time, or None and the end of the interval."""
    for now_ms in range(from_ms, until_ms, 500):
        command = roles.step(state, roles.EndpointsObserved(engines), now_ms)
        if command is not None:
            return command, now_ms
    return None, until_ms


@then("after two seconds the duty is taken, and one engine is ordered to decode")
def check_one_order(context):
    state = roles.RoleState("n", 3000, 300)
    command, at_ms = observe_until(state, context.engines, 0, 10_000)
    assert command == roles.TakeDuty(None) and at_ms >= roles.SURPLUS_MS
    order = roles.step(state, roles.DutyTaken(at(19), took_over=False), at_ms)
    assert order.role is Role.DECODE and order.fence == at(19).fence
    assert order.endpoint.role is Role.PREFILL
    roles.step(state, roles.OrderAnswered(order.endpoint.instance, True), at_ms)
    again, _ = observe_until(state, context.engines, at_ms, at_ms + roles.ORDER_TIMEOUT_MS)
    assert again is None, "a second order while the first is open"


@then("a node that finds the duty taken gives no order")
def check_duty_taken(context):
    state = roles.RoleState("m", 3000, 300)
    _, at_ms = observe_until(state, context.engines, 0, 10_000)
    assert roles.step(state, roles.DutyHeldByOther(at(19)), at_ms) is None
    command, at_ms = observe_until(state, context.engines, at_ms, at_ms + 10_000)
    assert command == roles.TakeDuty(None), "the duty of a live holder may not be replaced"


@then("a node that takes over the duty waits for the lease to expire before it orders")
def check_waits_for_lease(context):
    state = roles.RoleState("m", 3000, 300)
    _, at_ms = observe_until(state, context.engines, 0, 10_000)
    roles.step(state, roles.DutyHeldByOther(at(19)), at_ms)
    free_ms = at_ms + roles.DUTY_EXPIRY_MS
    command, at_ms = observe_until(state, context.engines, free_ms, free_ms + 10_000)
    assert command == roles.TakeDuty(at(19)), command
    assert roles.step(state, roles.DutyTaken(at(25), took_over=True), at_ms) is None
    command, later_ms = observe_until(state, context.engines, at_ms, at_ms + 10_000)
    assert command == roles.TakeDuty(None) and later_ms - at_ms >= 3300
    assert (
        roles.step(state, roles.DutyTaken(at(31), took_over=False), later_ms).fence == at(31).fence
    )


@then("of two hundred nodes a few try to take the duty, and the others only after a delay")
def check_few_ask(context):
    asked_ms = []
    for place in range(200):
        state, now_ms = roles.RoleState(f"n{place}", 3000, 300), 0
        while roles.step(state, roles.EndpointsObserved(context.engines, place), now_ms) is None:
            now_ms += 500
        asked_ms.append(now_ms)
    assert asked_ms == sorted(asked_ms), "a node asked before one of lower position"
    assert asked_ms.count(asked_ms[0]) == roles.GROUP_NODES
    assert asked_ms[roles.GROUP_NODES] - asked_ms[0] == roles.GROUP_DELAY_MS


@then("an unanswered order is repeated to the same engine with a higher fencing token")
def check_order_repeated(context):
    state = roles.RoleState("n", 3000, 300)
    _, at_ms = observe_until(state, context.engines, 0, 10_000)
    order = roles.step(state, roles.DutyTaken(at(19), took_over=False), at_ms)
    roles.step(state, roles.OrderAnswered(order.endpoint.instance, None), at_ms)
    command, again_ms = observe_until(state, context.engines, at_ms, at_ms + 10_000)
    assert isinstance(command, roles.TakeDuty) and again_ms - at_ms >= roles.ORDER_RETRY_MS
    again = roles.step(state, roles.DutyTaken(at(23), took_over=False), again_ms)
    assert (
        again.endpoint == order.endpoint
        and again.role is order.role
        and again.fence == at(23).fence
    )


@then("several surplus prefill endpoints are ordered in turn, without waiting for each change")
def check_surplus_ordered(context):
    engines = endpoints(11, Role.DECODE, "d") + endpoints(7, Role.PREFILL, "p")
    state, now_ms, ordered = roles.RoleState("n", 3000, 300), 0, []
    while now_ms < 6000:
        command, now_ms = observe_until(state, engines, now_ms, now_ms + 500)
        if command is not None:
            order = roles.step(state, roles.DutyTaken(at(now_ms + 1), took_over=False), now_ms)
            roles.step(state, roles.OrderAnswered(order.endpoint.instance, True), now_ms)
            ordered.append(order.endpoint.instance)
        now_ms += 500
    surplus = 7 - roles.target_prefillers(18)
    assert len(ordered) == len(set(ordered)) == surplus, ordered


@given("a service whose only prefill endpoint has left")
def without_prefill_endpoint(context):
    context.engines = endpoints(4, Role.DECODE, "d")


@then("one of its decode engines is ordered to prefill shortly after, if enough others remain")
def check_ordered_to_prefill(context):
    state = roles.RoleState("n", 3000, 300)
    command, at_ms = observe_until(state, context.engines, 0, 10_000)
    assert isinstance(command, roles.TakeDuty) and at_ms < 3000, at_ms
    order = roles.step(state, roles.DutyTaken(at(5), took_over=False), at_ms)
    assert order.role is Role.PREFILL
    alone, _ = observe_until(roles.RoleState("n", 3000, 300), context.engines[:2], 0, 10_000)
    assert alone is None


@given("a service whose only decode engine has left, with prefill endpoints remaining")
def without_decode_endpoint(context):
    context.services = [endpoints(count, Role.PREFILL, "p") for count in (1, 2, 3)]


@then("one of them is ordered to decode shortly after, even if it is the last engine")
def check_ordered_to_decode(context):
    for engines in context.services:
        state = roles.RoleState("n", 3000, 300)
        assert (
            roles.step(
                state, roles.EndpointsObserved(endpoints(1, Role.DECODE, "d") + engines[:1]), 0
            )
            is None
        )
        command, at_ms = observe_until(state, engines, 500, 10_000)
        assert isinstance(command, roles.TakeDuty) and at_ms < 3000, (engines, at_ms)
        order = roles.step(state, roles.DutyTaken(at(5), took_over=False), at_ms)
        assert order.role is Role.DECODE and order.endpoint in engines, order


@then("at a start, prefill endpoints that register first wait for others to register")
def check_waits_at_start(context):
    for engines in context.services:
        command, at_ms = observe_until(roles.RoleState("n", 3000, 300), engines, 0, 10_000)
        assert isinstance(command, roles.TakeDuty) and at_ms >= 4500, (engines, at_ms)


@then("once the last engine decodes, no further order is given")
def check_no_further_order(context):
    alone = endpoints(1, Role.DECODE, "p")
    command, _ = observe_until(roles.RoleState("n", 3000, 300), alone, 0, 10_000)
    assert command is None, command


@then("an order ends when its engine has left")
def check_order_ends(context):
    state = roles.RoleState("n", 3000, 300)
    _, at_ms = observe_until(state, context.engines, 0, 10_000)
    order = roles.step(state, roles.DutyTaken(at(5), took_over=False), at_ms)
    roles.step(state, roles.OrderAnswered(order.endpoint.instance, True), at_ms)
    rest = [e for e in context.engines if e != order.endpoint]
    command, _ = observe_until(state, rest, at_ms, at_ms + 5000)
    assert isinstance(command, roles.TakeDuty)


class SlowStore:
    """A store that confirms the duty late, as the clock jumps while the process is suspended."""

    def __init__(self):
        self.now_ms = 0
        self.asked = 0
        self.orders = []

    async def create(self, kind, name, content):
        self.asked += 1
        return Ok(StoredObject(name, at(19), content))

    def clock(self):
        suspended_ms = roles.CONFIRMATION_VALID_MS + 1 if self.asked else 0
        self.now_ms += suspended_ms
        return self.now_ms

    async def order_role(self, endpoint, role, holder, fence, send_until_ms):
        self.orders.append(endpoint.instance)
        return Ok(None)


@given("a role keeper whose confirmation of the duty is too old")
def suspended_keeper(context):
    run_keeper(context)


@given("a role keeper whose node reaches no endpoint")
def partitioned_keeper(context):
    run_keeper(context, is_partitioned=lambda: True)


def run_keeper(context, **options):
    world = context.world = SlowStore()
    directory = Directory()
    engines = endpoints(3, Role.DECODE, "d") + endpoints(2, Role.PREFILL, "p")
    directory.replace(engines, at(1), now_ms=0)
    spec = EngineSpec(64, 90_000, 64, 2000)
    table = RoutingTable(1, (), {"s": Service("s", 10, spec)})
    state = roles.RoleState("n", 3000, 300, unbalanced_since_ms=-roles.SURPLUS_MS)
    node_order = NodeOrder("n", ["n"])
    keeper = RoleKeeper(
        lambda: state,
        directory,
        world,
        world,
        lambda: table,
        node_order,
        StoreEpoch(),
        world.clock,
        **options,
    )

    async def look():
        with anyio.move_on_after(1.0):
            await keeper.run()

    anyio.run(look)


@then("no order reaches the engine")
def check_no_order(context):
    assert context.world.asked >= 1
    assert context.world.orders == []


@then("it doesn't write to the duty")
def writes_nothing(context):
    assert context.world.asked == 0
