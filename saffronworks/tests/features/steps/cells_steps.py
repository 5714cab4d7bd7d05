"""Steps for the scheduler of a cell: grants, assignments, leases and reclaim."""

from unittest import mock

import attrs
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.breakers import BUDGET_FLOOR
from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.messages import (
    Ask,
    Assign,
    Grant,
    HeldKey,
    HeldList,
    LeaseRenewal,
    Prefilled,
    Refusal,
    Release,
    RequestKey,
)
from saffronworks.owner import cell_events, cells
from saffronworks.owner.leases import ORPHAN_GRACE_MS, hash_key
from saffronworks.owner.ledgers import EndpointLedger, Held, LoadReport
from saffronworks.owner.policies import Policy
from saffronworks.owner.queues import QUEUE_LENGTH, WaitQueue
from saffronworks.ownership import Cell

LEASE_MS = 2000
MODEL = Model("m", "p", ttft_ms=1000, patience_ms=60_000)
MARGIN_MS = Policy().slack_margin_share * MODEL.ttft_ms


def make_cell(slots=2):
    endpoints = (
        Endpoint("p1", "127.0.0.1:1", "z", Role.PREFILL),
        Endpoint("d1", "127.0.0.1:2", "z", Role.DECODE, slots=slots),
    )
    return Cell("b/p/0", Pool("p", endpoints), endpoints, (MODEL,))


def make_state(slots=2, rebuild_ms=0):
    return cells.new_cell(make_cell(slots), "owner", LEASE_MS, rebuild_ms, 0)


def make_ask(request_id="r", attempt=1, node="n", organisation="o", retry=False, waited_ms=0):
    key = RequestKey(request_id, attempt)
    return Ask(key, node, "b/p/0", "m", organisation, 100, "x", 50, 1, waited_ms, retry)


def make_prefilled(key, node="n"):
    return Prefilled(key, node, "b/p/0", 5, 0, 800)


def sent_messages(commands, kind):
    return [
        c.message
        for c in commands
        if isinstance(c, cell_events.SendMessage) and isinstance(c.message, kind)
    ]


def cancels(commands):
    return [(c.endpoint, c.key) for c in commands if isinstance(c, cell_events.CancelStream)]


@given("a cell with a request that was granted")
def granted(context):
    context.state = make_state()
    context.commands = cells.step(context.state, make_ask(), 0)
    assert sent_messages(context.commands, Grant)


@given("a cell with a request that decodes")
def decoding(context):
    granted(context)
    context.key = RequestKey("r", 1)
    assert sent_messages(cells.step(context.state, make_prefilled(context.key), 10), Assign)


@when("the first heartbeat of its node arrives")
def first_heartbeat(context):
    renewal = LeaseRenewal("n", "b/p/0", 123_456, 1, hash_key(context.key))
    context.commands = cells.step(context.state, renewal, 20)
    context.commands += cells.step(context.state, cell_events.Tick(), 30)


@then("no stream is cancelled")
def none_cancelled(context):
    assert not cancels(context.commands)


@when("its node sends no heartbeat until its lease has lapsed")
def silent(context):
    context.at_ms = LEASE_MS + 100
    context.commands = cells.step(context.state, cell_events.Tick(), context.at_ms)


@when("its node heartbeats with a new incarnation")
def restarted(context):
    context.at_ms = 100
    for incarnation in (1, 2):
        renewal = LeaseRenewal("n", "b/p/0", incarnation, 1, hash_key(context.key))
        cells.step(context.state, renewal, context.at_ms)
    context.commands = cells.step(context.state, cell_events.Tick(), context.at_ms)


@then("the cancel of its decode stream is repeated until acknowledged")
def cancelled_again(context):
    assert ("d1", context.key) in cancels(context.commands)
    again = cells.step(context.state, cell_events.Tick(), context.at_ms + 1000)
    assert ("d1", context.key) in cancels(again)
    for endpoint in ("d1", "p1"):
        event = cell_events.CancelAcknowledged(endpoint, context.key)
        cells.step(context.state, event, context.at_ms + 1100)
    assert not cancels(cells.step(context.state, cell_events.Tick(), context.at_ms + 5000))


@then("its slot is not free before the engine acknowledges the cancel")
def not_free(context):
    ledger = context.state.ledgers["d1"]
    assert ledger.free_slots(context.at_ms) == 1
    cells.step(context.state, cell_events.CancelAcknowledged("d1", context.key), context.at_ms)
    assert ledger.free_slots(context.at_ms) == 2


@when("the request is released and its ask arrives late")
def late_ask(context):
    release = Release(context.key, "n", "b/p/0", finished=True, output_tokens=5, decode_ms=50)
    cells.step(context.state, release, 50)
    context.commands = cells.step(context.state, make_ask(), 60)


@then("nothing is granted and nothing is queued")
def nothing_back(context):
    assert not sent_messages(context.commands, Grant)
    assert not context.state.queue.items
    assert not context.state.held


@when("the same ask arrives a second time")
def same_ask(context):
    context.again = cells.step(context.state, make_ask(), 400)


@then("the same grant is sent again")
def same_grant(context):
    assert sent_messages(context.again, Grant) == sent_messages(context.commands, Grant)
    assert context.state.granted == 1


@given("a new owner of a cell whose slots are full")
def new_owner(context):
    context.state = make_state(slots=2, rebuild_ms=500)


@when("the entry node lists its held attempts")
def list_held(context):
    held = tuple(HeldKey(RequestKey(f"h{i}", 1), "d1", "decode", "o", 3) for i in range(2))
    context.commands = cells.step(context.state, make_ask(), 100)
    context.commands += cells.step(context.state, HeldList("n", "b/p/0", held), 200)
    context.commands += cells.step(context.state, cell_events.Tick(), 700)


@then("no prefill is granted for a slot that is taken")
def none_granted(context):
    assert not sent_messages(context.commands, Grant)
    assert len(context.state.ledgers["d1"].decodes) == 2


@given("a new owner of a cell with one claimed and one orphan stream")
def orphan_cell(context):
    context.state = make_state()
    held = (HeldKey(RequestKey("claimed", 1), "d1", "decode", "o", 3),)
    cells.step(context.state, HeldList("n", "b/p/0", held), 0)


@when("the engine lists both for longer than the grace period")
def list_streams(context):
    rows = ((RequestKey("claimed", 1), "n"), (RequestKey("orphan", 1), "gone"))
    context.commands = []
    for now_ms in range(0, ORPHAN_GRACE_MS + 2000, 500):
        renewal = LeaseRenewal("n", "b/p/0", 1, 1, hash_key(RequestKey("claimed", 1)))
        cells.step(context.state, renewal, now_ms)
        context.commands += cells.step(context.state, cell_events.StreamsListed("d1", rows), now_ms)
        context.commands += cells.step(context.state, cell_events.Tick(), now_ms)


@then("only the orphan is cancelled")
def only_orphan(context):
    assert {key for _, key in cancels(context.commands)} == {RequestKey("orphan", 1)}


@attrs.define
class CellWorld:
    """A model of the entry nodes; messages either way may be lost, and ticks send them again."""

    state: cells.CellState
    now_ms: int = 0
    waiting: dict = attrs.Factory(dict)
    granted: set = attrs.Factory(set)
    assigned: dict = attrs.Factory(dict)
    serial: int = 0

    def feed(self, event, lose=False):
        for command in cells.step(self.state, event, self.now_ms):
            if lose or not isinstance(command, cell_events.SendMessage):
                continue
            self.receive(command.message)

    def receive(self, message):
        match message:
            case Grant() if message.key in self.waiting:
                self.granted.add(message.key)
            case Assign() if message.key in self.granted:
                self.assigned[message.key] = message.endpoint

    def act(self, move, lose):
        self.now_ms += 50
        kind = move % 4
        if kind == 0:
            self.serial += 1
            ask = make_ask(f"r{self.serial}", organisation=f"o{self.serial % 3}")
            self.waiting[ask.key] = ask
            self.feed(ask, lose)
        elif kind == 1 and self.granted - self.assigned.keys():
            key = sorted(self.granted - self.assigned.keys())[0]
            self.feed(make_prefilled(key), lose)
        elif kind == 2 and self.assigned:
            key = sorted(self.assigned)[0]
            self.end(key)
        else:
            for ask in list(self.waiting.values()):
                if ask.key not in self.granted:
                    self.feed(ask)
            self.feed(cell_events.Tick(), lose)
            self.renew()

    def renew(self):
        digest = 0
        for key in self.granted:
            digest ^= hash_key(key)
        self.feed(LeaseRenewal("n", "b/p/0", 1, len(self.granted), digest))

    def end(self, key):
        self.waiting.pop(key, None)
        self.granted.discard(key)
        self.assigned.pop(key, None)
        self.feed(Release(key, "n", "b/p/0", finished=True, output_tokens=9, decode_ms=300))


@given("any order of asks, releases, lost messages and ticks")
def any_order(context):
    context.worlds = []

    @forall(st.lists(st.tuples(st.integers(0, 11), st.booleans()), max_size=80))
    def run(moves):
        world = CellWorld(make_state(slots=2))
        for move, lose in moves:
            world.act(move, lose and move > 5)
            ledger = world.state.ledgers["d1"]
            assert len(ledger.decodes) <= 2, ledger.decodes
        context.worlds.append(world)

    run()


@then("no endpoint is ever assigned more than its slots")
def never_more(context):
    assert any(world.assigned for world in context.worlds)
    for world in context.worlds:
        assert len(world.assigned) <= 2


@then("when all attempts are released none is held")
def drains(context):
    for world in context.worlds:
        for key in list(world.waiting):
            world.end(key)
        assert not world.state.held
        assert not world.state.queue.items


def wide_state():
    endpoints = (
        Endpoint("p1", "127.0.0.1:1", "z", Role.PREFILL),
        Endpoint("p2", "127.0.0.1:2", "z", Role.PREFILL),
        Endpoint("d1", "127.0.0.1:3", "z", Role.DECODE, slots=2),
        Endpoint("d2", "127.0.0.1:4", "z", Role.DECODE, slots=2),
    )
    cell = Cell("b/p/0", Pool("p", endpoints), endpoints, (MODEL,))
    return cells.new_cell(cell, "owner", LEASE_MS, 0, 0)


@given("a cell with two decode endpoints of which one is draining")
def one_leaving(context):
    context.state = wide_state()
    cells.step(context.state, cell_events.EndpointsLeaving(frozenset({"d1"})), 0)


@when("more requests arrive than the other endpoint has slots")
def too_many(context):
    context.assigned = []
    for index in range(5):
        commands = cells.step(context.state, make_ask(f"r{index}"), index * 50)
        for grant in sent_messages(commands, Grant):
            commands = cells.step(context.state, make_prefilled(grant.key), index * 50 + 9)
            context.assigned += [assign.endpoint for assign in sent_messages(commands, Assign)]


@then("the draining endpoint is assigned nothing")
def only_the_other(context):
    assert context.assigned == ["d2", "d2"], context.assigned


@given("a cell with two equal prefill endpoints")
def two_alike(context):
    context.make_state = wide_state


@then("a request that one of them failed is granted the other")
def granted_other(context):
    for failed, other in (("p1", "p2"), ("p2", "p1")):
        ask = attrs.evolve(make_ask(), avoid=(failed,))
        assert sent_messages(cells.step(context.make_state(), ask, 0), Grant)[0].endpoint == other


@given("a decode endpoint to which this owner has just assigned three requests")
def three_placed(context):
    context.ledger = EndpointLedger(Endpoint("d1", "127.0.0.1:2", "z", Role.DECODE, slots=8))
    context.ledger.record_occupancy(0)
    for index in range(3):
        held = Held(RequestKey(f"r{index}", 1), "n", "m", "o", "decode", "p1", 1000)
        context.ledger.decodes[f"r{index}"] = held
        context.ledger.record_occupancy(1000 + index)


@when("reports are late, some are lost, and then two in a row show decodes of another owner")
def reports_come(context):
    context.foreign = []
    # Each report describes the load of 1 s before; the reports at 1500 and 1750 ms are lost.
    for now_ms, running in ((1250, 0), (2000, 0), (2250, 3), (2500, 3), (2750, 5), (3000, 5)):
        context.ledger.apply_report(LoadReport(running, age_ms=1000), now_ms)
        context.foreign.append(context.ledger.foreign)


@then("only the decodes of the other owner are counted as foreign")
def foreign_right(context):
    assert context.foreign == [0, 0, 0, 0, 0, 2], context.foreign
    assert context.ledger.free_slots(3000) == 3


@given("a cell whose prefill endpoint is busy and whose queue is long")
def long_queue(context):
    context.state = make_state(slots=50)
    context.asks = [attrs.evolve(make_ask(f"r{i}"), prompt_tokens=50_000) for i in range(100)]
    for ask in context.asks:
        cells.step(context.state, ask, 0)
    assert len(context.state.queue.items) > 20, len(context.state.queue.items)


@when("asks are repeated and ticks pass")
def asks_again(context):
    with mock.patch.object(WaitQueue, "select", autospec=True) as select:
        for now_ms in range(100, 300, 20):
            cells.step(context.state, cell_events.Tick(), now_ms)
            for ask in context.asks:
                cells.step(context.state, ask, now_ms)
    context.searches = select.call_count


@then("the queue was not searched")
def not_searched(context):
    assert context.searches == 0, context.searches


@given("a cell whose requests have all failed and are retried")
def all_fail(context):
    state = context.state = make_state(slots=1)
    context.refused = []
    for index in range(QUEUE_LENGTH + 40):
        request_id = f"r{index}"
        state.ended[request_id] = (1, 0)
        commands = cells.step(state, make_ask(request_id, attempt=2, retry=True), index)
        context.refused += sent_messages(commands, Refusal)


@then("the retries that go first are bounded by the retry budget")
def bounded(context):
    first = [item for item in context.state.queue.items.values() if item.first]
    assert len(first) + context.state.granted <= BUDGET_FLOOR + 1, len(first)


@then("the other retries wait, and are refused only when the queue is full")
def others_wait(context):
    assert len(context.state.queue.items) == QUEUE_LENGTH
    assert {refusal.reason for refusal in context.refused} == {"queue full"}
