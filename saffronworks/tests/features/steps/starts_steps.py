"""Scenarios on restarts of endpoints under one name, on the directory, planner and role core."""

import attrs
from behave import then
from hypothesis import given as forall
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from saffronworks.bundles import Role
from saffronworks.forwarding.answer_matching import AnswerMatcher
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.directory import (
    OBSOLETE_START_TTL_MS,
    Directory,
    EntryUpdate,
    ServiceEndpoint,
)
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.planning import messages
from saffronworks.forwarding.planning.plans import PlanState
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.role_core import (
    EndpointsObserved,
    OpenOrder,
    OrderAnswered,
    RoleState,
    step,
)
from saffronworks.forwarding.starts import StartId, is_later, start_id
from saffronworks.kernel import Kernel
from saffronworks.tests.revisions import at


def start(name="e0", born_ms=None, address="127.0.0.1:1", **changes):
    return ServiceEndpoint(name, "s", address, "z", born_ms=born_ms, **changes)


def usable(directory, now_ms=0):
    return {endpoint.instance for endpoint in directory.usable("s", now_ms)}


def directory_with(*endpoints):
    directory = Directory()
    directory.replace(list(endpoints), at(1), now_ms=0)
    return directory


@then("it is usable at once if the earlier start drained, was replaced or was removed")
def usable_at_once(context):
    later = start(born_ms=9)
    drained = directory_with(start(born_ms=5, draining=True))
    replaced = directory_with(start(born_ms=5))
    replaced.mark_replaced("e0@5")
    gone = directory_with(start(born_ms=5))
    gone.remove("e0", now_ms=10)
    for directory in (drained, replaced, gone):
        assert usable(directory) == set()
        assert directory.put(later) is EntryUpdate.RESTARTED
        assert usable(directory) == {"e0@9"}
        assert directory.take_ended() == ["e0@5"] and not directory.take_ended()


@then("it inherits no state of the earlier start")
def inherits_no_state(context):
    before, later = start_id("e0", 5), start_id("e0", 9)
    loads, plan = LoadTable("z"), PlanState(0, 90_000, 8)
    loads.of(before).record_failure(0, unreachable=True)
    plan.ejections.record_failure(before, 0)
    plan.full_until_ms[before] = 5000
    plan.prefill.prefillers = {before: "z", later: "z"}
    plan.prefill.add("r1", before, 5000, 0)
    plan.prefill.pace.learn(before, 5000, 900.0)
    assert loads.of(later).circuit.admits(0) and not loads.of(before).circuit.admits(0)
    assert plan.ejections.usable([before, later], 1) == [later]
    assert set(plan.occupancies({later: "z"}, 1)) == {later}
    assert plan.prefill.backlog_ms(later, 1) == 0 < plan.prefill.backlog_ms(before, 1)
    assert set(plan.prefill.pace._by_prefiller) == {before}


@then("a late entry of an earlier start never replaces it")
def never_replaced(context):
    early, late = start(born_ms=5), start(born_ms=9)
    directory = directory_with(early)
    directory.put(late)
    assert directory.put(early) is EntryUpdate.OBSOLETE
    directory.replace([early], at(2), now_ms=10)
    assert usable(directory) == {"e0@9"}
    directory.remove("e0", now_ms=20)
    assert directory.put(early) is EntryUpdate.OBSOLETE and not usable(directory)
    assert directory.put(late) is EntryUpdate.CHANGED and usable(directory) == {"e0@9"}


@then("an entry without a start time is identified by its name")
def identified_by_name(context):
    plain, timed = start(), start(born_ms=5)
    directory = directory_with(plain)
    assert usable(directory) == {"e0"}
    assert directory.put(timed) is EntryUpdate.RESTARTED
    assert directory.put(attrs.evolve(plain, draining=True)) is EntryUpdate.CHANGED
    assert directory.named("e0").instance == "e0@5" and not usable(directory)
    replaced = directory_with(plain)
    replaced.mark_replaced("e0")
    assert replaced.put(plain) is EntryUpdate.OBSOLETE
    assert replaced.put(start(address="127.0.0.1:2")) is EntryUpdate.CHANGED


@then("two entries may have one address until the endpoint there answers")
def one_address(context):
    directory = directory_with(start("e0", 5), start("e1", 9), start("e2"))
    assert usable(directory) == {"e0@5", "e1@9", "e2"}
    directory.mark_replaced(StartId("e1@9"))
    assert directory.put(start("e1", 9)) is EntryUpdate.OBSOLETE
    assert usable(directory) == {"e0@5", "e2"}
    assert directory.put(start("e1", 9, address="127.0.0.1:2")) is EntryUpdate.CHANGED


NAMES = ("a", "b", "c")
ENTRIES = st.builds(
    start,
    name=st.sampled_from(NAMES),
    born_ms=st.one_of(st.none(), st.integers(1, 6)),
    address=st.sampled_from(["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"]),
    draining=st.booleans(),
    role=st.sampled_from(Role),
)
EVENTS = st.one_of(
    st.tuples(st.just("put"), ENTRIES),
    st.tuples(st.just("gone"), st.sampled_from(NAMES)),
    st.tuples(st.just("lapse"), st.sampled_from(NAMES)),
    st.tuples(st.just("replaced"), st.sampled_from(NAMES)),
    st.tuples(st.just("list"), st.lists(ENTRIES, max_size=4)),
    st.tuples(st.just("wait"), st.integers(1, OBSOLETE_START_TTL_MS // 2)),
)
LAPSE_MS = 2000


class Model:
    """A reference model: the latest start time received under each name."""

    def __init__(self):
        self.latest = {}
        self.replaced_at = {}

    def receive(self, endpoint):
        if is_later(endpoint.born_ms, self.latest.get(endpoint.name)):
            self.latest[endpoint.name] = endpoint.born_ms


def apply_event(directory, model, event, now_ms):
    match event:
        case "put", endpoint:
            model.receive(endpoint)
            directory.put(endpoint)
        case "gone", name:
            directory.remove(name, now_ms)
        case "lapse", name:
            directory.remove(name, now_ms, now_ms + LAPSE_MS)
        case "replaced", name:
            known = directory.named(name)
            if known is not None:
                model.replaced_at[name] = known.address
                directory.mark_replaced(known.instance)
        case "list", listed:
            for endpoint in listed:
                model.receive(endpoint)
            directory.replace(listed, at(1), now_ms)


class Connection:
    """The part of a connection that the pool uses."""

    finished = True
    idle_since_ms = 0.0
    control_calls_only = False
    single_use = False

    def __init__(self):
        self.closed = self.cause = None
        self.matcher = AnswerMatcher()

    def close(self):
        self.closed = True

    def abort_exchange(self, cause):
        self.cause = cause


class ClientState:
    """A planner, loads and connections that are used along with the directory."""

    def __init__(self, directory):
        self.directory = directory
        self.planner, self.plan = planner_of(directory)
        self.kernel, self.answers = Kernel("n", lambda: self.now_ms), []
        self.kernel.announce = self.answers.append
        self.pool, self.loads = ConnectionPool("id"), LoadTable("z")
        self.busy, self.now_ms, self.asked, self.granted = {}, 0, 0, 0

    def act(self, now_ms):
        """Process ended starts, use each usable start once, and ask for a reservation."""
        self.now_ms = now_ms
        ended = self.directory.take_ended()
        for instance in ended:
            self.pool.close_instance(instance)
        known = set(self.directory.endpoints)
        self.pool.close_except(known)
        self.loads.forget_all_but(known)
        for instance in ended:
            for connection in self.busy.pop(instance, []):
                assert connection.cause is ExchangeErrorCause.RESTARTED
        assert not set(self.pool._idle) - known and not set(self.pool._busy) & set(ended)
        self._connect()
        self._ask()

    def _connect(self):
        for endpoint in self.directory.usable("s", self.now_ms):
            idle, busy = Connection(), Connection()
            self.pool._busy.setdefault(endpoint.instance, set()).add(busy)
            self.busy.setdefault(endpoint.instance, []).append(busy)
            self.pool.release(endpoint, idle)

    def _ask(self):
        self.asked += 1
        sizes = {"prompt_tokens": 5000, "likely_tokens": 600, "most_tokens": 900}
        times = {"waited_ms": 0, "in_time_ms": 500, "patience_ms": 900}
        ask = messages.MemoryAsk(
            f"r{self.asked}", "127.0.0.1:9", "s", **sizes, **times, returned=False
        )
        self.plan.began_ms, self.plan.last_event_ms = -9999, self.now_ms
        self.planner._handle(self.kernel, "s", ask)
        self.plan.waiters.clear()
        for answer in self.answers:
            if isinstance(answer, messages.MemoryGrant):
                self.granted += 1
                offered = usable(self.directory, self.now_ms)
                assert {answer.instance, answer.reader} <= offered, answer
                self.planner._handle(
                    self.kernel, "s", messages.MemoryRelease(answer.request_id, "s")
                )
        self.answers.clear()


@then("the directory never offers an ended start, and offers every usable one")
@then("no connection or reservation of an ended start is used for a later one")
def any_sequence(context):
    client_states = []

    @hypothesis_settings(max_examples=300)
    @forall(st.lists(EVENTS, max_size=30))
    def check(events):
        directory, model, now_ms = Directory(), Model(), 0
        client_state = ClientState(directory)
        client_states.append(client_state)
        for event in events:
            now_ms += event[1] if event[0] == "wait" else 100
            apply_event(directory, model, event, now_ms)
            offered = directory.usable("s", now_ms)
            names = [endpoint.name for endpoint in offered]
            assert len(set(names)) == len(names), offered
            for endpoint in offered:
                assert not is_later(model.latest.get(endpoint.name), endpoint.born_ms), event
            client_state.act(now_ms)
            if event[0] == "put":
                check_latest_used(directory, model, event[1], now_ms)

    check()
    granted = sum(client_state.granted for client_state in client_states)
    assert granted > len(client_states) // 2, f"{granted} grants in {len(client_states)} series"


def check_latest_used(directory, model, endpoint, now_ms):
    """Check that the start received last is used, unless it has ended for a known reason."""
    if endpoint.draining or endpoint.born_ms != model.latest.get(endpoint.name):
        return
    known = directory.named(endpoint.name)
    if known is not None:
        assert known.address == endpoint.address
        assert known.instance in usable(directory, now_ms)
        return
    # The only valid reason: another endpoint answered at its address.
    assert model.replaced_at.get(endpoint.name) == endpoint.address, endpoint


def planner_of(directory):
    planner = MemoryPlanner(
        directory, lambda: None, lambda: (), "127.0.0.1:9", MetricsRecorder("n")
    )
    planner.plans["s"] = PlanState(0, 90_000, 8)
    return planner, planner.plans["s"]


@then("a planner resolves such a name to the latest start, in all its messages")
def resolves_names(context):
    directory = directory_with(start(born_ms=5, role=Role.DECODE))
    planner, plan = planner_of(directory)
    kernel = Kernel("n", lambda: 2000)
    live = messages.LiveRun("r1", StartId("e0"), 5000, 600, 900, 100)
    planner._handle(kernel, "s", messages.MemoryReport("127.0.0.1:8", "s", (live,)))
    assert plan.runs["r1"].instance == "e0@5"
    planner._handle(kernel, "s", messages.MemoryRelease("r2", "s", broken=(StartId("e0"),)))
    assert plan.ejections.is_ejected(StartId("e0@5"), 2000)
    other = messages.LiveRun("r3", StartId("e0@4"), 5000, 600, 900, 100)
    planner._handle(kernel, "s", messages.MemoryReport("127.0.0.1:7", "s", (other,)))
    assert plan.runs["r3"].instance == "e0@4", "a run of an earlier start is none of this one"


@then("an entry node resolves the name in a grant likewise")
def resolves_grant(context):
    directory = directory_with(start(born_ms=5))
    assert directory.resolve(StartId("e0")) == "e0@5"
    assert directory.resolve(StartId("e0@5")) == "e0@5"
    assert directory.resolve(StartId("e0@4")) == "e0@4"
    assert directory.resolve(StartId("e9")) == "e9"


@then("the order is dropped, and the later start's own role counts")
def order_dropped(context):
    state = RoleState("n", 3000, 300)
    before = start("e0", 5, role=Role.PREFILL)
    state.orders[before.instance] = OpenOrder(Role.DECODE, ordered_ms=0)
    step(state, OrderAnswered(before.instance, None), 100)
    others = [
        start(f"d{index}", 5, f"127.0.0.1:{index + 2}", role=Role.DECODE) for index in range(4)
    ]
    later = start("e0", 9, role=Role.PREFILL)
    assert step(state, EndpointsObserved([later, *others]), 3000) is None
    assert not state.orders, "the later start was given no order"
