"""Steps for circuits: how failed endpoints are taken out of use and readmitted."""

from behave import given, then, when
from cells_steps import LEASE_MS, MODEL, make_state

from saffronworks.breakers import FIRST_OPEN_MS, SLOW_START_MS, TRIAL_MS
from saffronworks.bundles import Endpoint, Pool, Role
from saffronworks.messages import Release, RequestKey
from saffronworks.owner import cell_events, cells
from saffronworks.owner.ledgers import EndpointLedger, LoadReport
from saffronworks.ownership import Cell


@given("a decode endpoint whose connection was refused")
def refused_endpoint(context):
    context.ledger = EndpointLedger(Endpoint("d1", "127.0.0.1:2", "z", Role.DECODE, slots=10))
    context.ledger.circuit.fail("connect", 0)


@then("it takes no work until its circuit is half open, and then a single trial")
def single_trial(context):
    ledger = context.ledger
    assert ledger.free_slots(FIRST_OPEN_MS - 1) == 0
    assert ledger.free_slots(FIRST_OPEN_MS) == 1
    ledger.circuit.take_trial(FIRST_OPEN_MS)
    assert ledger.free_slots(FIRST_OPEN_MS + 1) == 0


@then("a trial without a recorded outcome times out and allows another one")
def another_trial(context):
    assert context.ledger.free_slots(FIRST_OPEN_MS + TRIAL_MS) == 1


@then("after a success its usable slots grow to all of them by slow start")
def bit_by_bit(context):
    context.ledger.circuit.succeed(10_000)
    free = [context.ledger.free_slots(10_000 + at_ms) for at_ms in (0, SLOW_START_MS // 2)]
    assert free == [1, 5], free
    assert context.ledger.free_slots(10_000 + SLOW_START_MS) == 10


@given("a cell whose decode endpoint refused a connection")
def cell_refused(context):
    context.state = make_state(slots=10)
    context.ledger = context.state.ledgers["d1"]
    cells.step(context.state, cell_events.EndpointGone("d1"), 0)
    cells.step(context.state, cell_events.Reported("d1", LoadReport(0, 100)), FIRST_OPEN_MS - 1)
    assert context.ledger.free_slots(FIRST_OPEN_MS - 1) == 0


@when("it answers a load report after the open time of its circuit")
def answers_report(context):
    cells.step(context.state, cell_events.Reported("d1", LoadReport(0, 100)), FIRST_OPEN_MS)


@then("it takes work again by slow start")
def by_slow_start(context):
    middle_ms = FIRST_OPEN_MS + SLOW_START_MS // 2
    free = [context.ledger.free_slots(at_ms) for at_ms in (FIRST_OPEN_MS, middle_ms)]
    assert free == [1, 5], free


@then("a refused connection in slow start doubles the open time of its circuit")
def flapping(context):
    cells.step(context.state, cell_events.EndpointGone("d1"), FIRST_OPEN_MS)
    for at_ms, free in ((2 * FIRST_OPEN_MS, 0), (3 * FIRST_OPEN_MS, 1)):
        cells.step(context.state, cell_events.Reported("d1", LoadReport(0, 100)), at_ms)
        assert context.ledger.free_slots(at_ms) == free, at_ms


@given("a cell with four decode endpoints")
def four_decoders(context):
    names = ("d1", "d2", "d3", "d4")
    endpoints = tuple(Endpoint(name, "127.0.0.1:2", "z", Role.DECODE) for name in names)
    endpoints += (Endpoint("p1", "127.0.0.1:1", "z", Role.PREFILL),)
    cell = Cell("b/p/0", Pool("p", endpoints), endpoints, (MODEL,))
    context.state = cells.new_cell(cell, "owner", LEASE_MS, 0, 0)
    context.names = names


@when("all of them fail repeatedly")
def all_fail(context):
    for turn in range(20):
        key = RequestKey(f"r{turn}", 1)
        release = Release(key, "n", "b/p/0", failed=context.names, failure="stalled")
        cells.step(context.state, release, 10)


@then("two of them still take work")
def two_open(context):
    ledgers = context.state.ledgers
    assert [name for name in context.names if ledgers[name].open(10)] == ["d3", "d4"]


@then("when their connections are refused none of them takes work")
def none_open(context):
    for name in context.names:
        cells.step(context.state, cell_events.EndpointGone(name), 20)
    assert not any(context.state.ledgers[name].open(20) for name in context.names)
