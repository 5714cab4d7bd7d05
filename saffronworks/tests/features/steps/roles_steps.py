"""Steps for role changes, in the scheduler of a cell and on a small site."""

import anyio
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.engines import EngineClient, Order
from saffronworks.fences import FenceKeeper
from saffronworks.messages import RequestKey
from saffronworks.owner import cell_events, cells
from saffronworks.owner.ledgers import Held, LoadReport, Stage
from saffronworks.owner.roles import (
    EVALUATION_INTERVAL_MS,
    MAX_PROCESS_PAUSE_MS,
    RETRY_INTERVAL_MS,
    SUSTAIN_MS,
)
from saffronworks.ownership import Cell
from saffronworks.standins.callers import LoadPlan, run_load
from saffronworks.standins.sites import SiteShape
from saffronworks.standins.standin_models import EngineProfile
from saffronworks.tests.plays import addresses, on_site

LEASE_MS = 2000
KV_KEPT_MS = 800
FENCE = 7


def make_state(checks_fence=True):
    endpoints = tuple(
        Endpoint(name, "127.0.0.1:1", "z", role, slots=2, checks_fence=checks_fence)
        for name, role in (
            ("p1", Role.PREFILL),
            ("p2", Role.PREFILL),
            ("p3", Role.PREFILL),
            ("d1", Role.DECODE),
        )
    )
    pool = Pool("p", endpoints, kv_kept_ms=KV_KEPT_MS, change_roles=True)
    cell = Cell("b/p/0", pool, endpoints, (Model("m", "p"),))
    return cells.new_cell(cell, "owner", LEASE_MS, 0, 0)


def hold(state, name, stage, source="", endpoint=""):
    held = Held(RequestKey(name, 1), "n", "m", "o", stage, source, 0, decode_endpoint=endpoint)
    held.expires_ms = 10**9
    state.held[name] = held
    if stage == Stage.READY:
        state.ready[name] = held
    elif stage == Stage.DECODE:
        state.ledgers[endpoint].decodes[name] = held
    else:
        state.ledgers[source].prefills[name] = held


def fill_decoders(state):
    for index in range(2):
        hold(state, f"r{index}", Stage.DECODE, "", "d1")


def run(context, for_ms, fence=FENCE):
    """Runs ticks for `for_ms`, answers fence requests with `fence`, and collects the orders."""
    state = context.state
    until_ms = context.now_ms + for_ms
    while context.now_ms < until_ms:
        context.now_ms += EVALUATION_INTERVAL_MS
        for command in cells.step(state, cell_events.Tick(), context.now_ms):
            match command:
                case cell_events.TakeFence() if fence is not None:
                    context.fences += 1
                    cells.step(state, cell_events.FenceTaken(fence), context.now_ms)
                case cell_events.OrderRole():
                    context.orders.append((context.now_ms, command))


@given("a cell whose decode slots are all taken and whose prefill endpoints are idle")
def pressed(context, checks_fence=True):
    context.state = make_state(checks_fence)
    context.now_ms = 0
    context.orders = []
    context.fences = 0
    fill_decoders(context.state)


@given("the same cell with endpoints that do not check fences")
def pressed_unchecked(context):
    pressed(context, checks_fence=False)


@when("the load lasts while a KV result waits at one of them")
def lasts_waiting(context):
    hold(context.state, "waits", Stage.READY, "p1")
    run(context, 3 * SUSTAIN_MS)


@when("the load lasts")
def lasts(context):
    run(context, 4 * SUSTAIN_MS)


@then("that prefill endpoint gets neither new work nor an order while its KV result waits")
def emptied_first(context):
    ledgers = context.state.ledgers.values()
    assert [ledger.endpoint.name for ledger in ledgers if ledger.changing] == ["p1"]
    assert not context.state.ledgers["p1"].open(context.now_ms)
    assert not context.orders


@then("once drained it gets an order to decode, with the fence that the store issued")
def ordered(context):
    del context.state.ready["waits"]
    run(context, KV_KEPT_MS + 2 * EVALUATION_INTERVAL_MS)
    _, order = context.orders[0]
    assert (order.endpoint, order.role, order.fence) == ("p1", Role.DECODE, FENCE), order


@then("it takes decodes only after it has accepted the order")
def accepts(context):
    ledger = context.state.ledgers["p1"]
    assert ledger.role is Role.PREFILL
    cells.step(context.state, cell_events.RoleOrdered("p1", True), context.now_ms)
    assert ledger.role is Role.DECODE
    assert ledger.free_slots(context.now_ms) == 2


@when("the load lasts for less time than a change needs")
def short_peak(context):
    # The moving averages need about SUSTAIN_MS to reach the threshold, hence the longer run.
    run(context, SUSTAIN_MS + SUSTAIN_MS // 2)
    context.state.ledgers["d1"].decodes.clear()
    run(context, 5 * SUSTAIN_MS)


@then("no endpoint changes its role")
def unchanged(context):
    assert not context.orders
    assert not any(ledger.changing for ledger in context.state.ledgers.values())


@given("a cell with a role change that was ordered")
def was_ordered(context):
    pressed(context)
    run(context, 3 * SUSTAIN_MS)
    assert context.orders


@when("the endpoint rejects the order because of a higher fence")
def refuses(context):
    cells.step(context.state, cell_events.RoleOrdered("p1", False), context.now_ms)


@then("the endpoint keeps its role and gets new work")
def keeps_role(context):
    ledger = context.state.ledgers["p1"]
    assert ledger.role is Role.PREFILL
    assert ledger.open(context.now_ms)


@then("the next change takes a new fence first")
def new_fence(context):
    context.orders.clear()
    run(context, 10 * SUSTAIN_MS, fence=FENCE + 2)
    assert context.orders[0][1].fence == FENCE + 2
    assert context.fences == 2


@when("the reply to the order is lost")
def answer_lost(context):
    context.first = context.orders[0][1]
    context.orders.clear()
    run(context, 2 * RETRY_INTERVAL_MS)


@then("the same order is sent again")
def same_order(context):
    assert context.orders[0][1] == context.first


@then("a report that shows the new role ends the change")
def report_ends(context):
    report = LoadReport(0, 100, "decode")
    cells.step(context.state, cell_events.Reported("p1", report), context.now_ms)
    assert context.state.ledgers["p1"].role is Role.DECODE
    assert context.state.roles.change is None


@then("no order is sent before the lease and the longest pause after the fence have passed")
def waits_out(context):
    at_ms, _ = context.orders[0]
    assert at_ms - context.state.roles.fence_taken_ms >= LEASE_MS + MAX_PROCESS_PAUSE_MS


@then("the order asks for a check of the fence just before it is sent")
def rechecks(context):
    assert context.orders[0][1].recheck


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("fill", "free", "busy", "idle", "accept", "refuse", "report")),
        st.integers(1, 40),
    ),
    max_size=25,
)


@then("over any load and replies both roles keep an endpoint and only idle ones get orders")
def promises(context):
    @forall(STEPS, st.booleans())
    def check(steps, checks_fence):
        pressed(context, checks_fence)
        state = context.state
        for action, looks in steps:
            act(state, action, context.now_ms)
            seen = len(context.orders)
            run(context, looks * EVALUATION_INTERVAL_MS)
            roles = {ledger.role for ledger in state.ledgers.values()}
            assert roles == {Role.PREFILL, Role.DECODE}
            assert sum(ledger.changing for ledger in state.ledgers.values()) <= 1
            for _, order in context.orders[seen:]:
                ledger = state.ledgers[order.endpoint]
                assert not ledger.prefills
                assert not ledger.decodes

    check()


def act(state, action, now_ms):
    ledgers = state.ledgers.items()
    change = state.roles.change
    match action:
        case "fill":
            for name, ledger in ledgers:
                if ledger.role is Role.DECODE and ledger.open(now_ms) and not ledger.decodes:
                    hold(state, f"{name}/1", Stage.DECODE, "", name)
                    hold(state, f"{name}/2", Stage.DECODE, "", name)
        case "busy":
            for name, ledger in ledgers:
                if ledger.role is Role.PREFILL and ledger.open(now_ms):
                    hold(state, name, Stage.PREFILL, name)
        case "free" | "idle":
            for _, ledger in ledgers:
                (ledger.decodes if action == "free" else ledger.prefills).clear()
        case "accept" | "refuse" if change is not None and change.ordered_ms is not None:
            answer = cell_events.RoleOrdered(change.endpoint, action == "accept")
            cells.step(state, answer, now_ms)
        case "report":
            for name, ledger in list(ledgers):
                report = LoadReport(0, 100, ledger.role.value)
                cells.step(state, cell_events.Reported(name, report), now_ms)


@when("two fences are taken for one cell and the earlier holder orders after the later one")
def two_owners(context):
    async def play(site, tasks):
        client = EngineClient()
        engine = site.engines["prefill-1"]
        fences = []
        for node in site.nodes[:2]:
            taken = await FenceKeeper(node.settings.name, node.store).acquire("c")
            fences.append(taken.unwrap())
        context.held = await FenceKeeper("x", site.nodes[0].store).is_current("c", fences[0])
        context.replies = []
        for fence, role in ((fences[1], "decode"), (fences[0], "prefill")):
            context.replies.append(await client.order(engine.address, Order(role, fence, 1)))
        context.role = engine.role
        await client.close()

    on_site(context, SiteShape(nodes=2), play)


@then("the engine has the role that the later holder gave")
def later_holder(context):
    assert context.role == "decode"
    assert context.replies[0].is_ok()
    assert context.replies[1].err().status == 412
    assert not context.held


@when("callers ask for long answers on a site that may change roles")
def shifted_load(context):
    profile = EngineProfile(slots=3, step_ms=12.0)
    shape = SiteShape(
        nodes=2, prefills=3, decodes=1, profile=profile, patience_ms=60_000, change_roles=True
    )

    async def play(site, tasks):
        def ordered():
            return any(engine.orders for engine in site.engines.values())

        async def load():
            plan = LoadPlan(4, 5.0, letter_characters=100)
            while not ordered():
                context.answers += await run_load(addresses(site.nodes), plan)

        with anyio.fail_after(60):
            async with anyio.create_task_group() as callers:
                for _ in range(4):
                    callers.start_soon(load)
        plan = LoadPlan(12, 5.0, letter_characters=100)
        context.answers += await run_load(addresses(site.nodes), plan)
        context.orders = {name: engine.orders for name, engine in site.engines.items()}
        context.decoded = {name: len(engine.decoded) for name, engine in site.engines.items()}
        context.fence = site.store.objects["fences/letters/suggestions/0"].version

    on_site(context, shape, play)


@then("an engine was ordered from prefill to decode under a fence of the store")
def site_ordered(context):
    changed = {name: orders for name, orders in context.orders.items() if orders}
    assert len(changed) == 1, changed
    name, orders = next(iter(changed.items()))
    assert orders[0] == (context.fence, 1, "decode"), orders
    assert context.decoded[name] > 0
