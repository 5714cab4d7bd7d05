"""Scenarios on the deciding cores of forwarding: no sockets, no clock."""

import anyio
from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st
from result import Ok

from saffronworks.bundles import Role
from saffronworks.forwarding import generation_core
from saffronworks.forwarding import generation_events as gen
from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding import role_core as roles
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.event_streams import EventCutter
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    KvHandle,
    KvHold,
    Refuse,
)
from saffronworks.forwarding.ports import StoredObject
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.role_keeper import RoleKeeper
from saffronworks.forwarding.routing import EngineSpec, Route, RoutingTable, Service, Split
from saffronworks.forwarding.tuning import (
    BUDGET_USED_SHARE,
    FORGET_HALF_LIFE_MS,
    LAPSED_GRACE_MS,
    MOST_REDIRECTS,
)

MOST_STEPS = 60


ALL_TO_S = (Split("s", 1.0),)


def route(name="r", prefix="/a/", splits=ALL_TO_S, **changes):
    values = {
        "host": "h",
        "repeatable": False,
        "streams": False,
        "resumable": False,
        "timeout_ms": 1500,
        "target_ms": 300,
        "max_attempts": 2,
    }
    return Route(name=name, path_prefix=prefix, splits=splits, **{**values, **changes})


def endpoints(count, role=None, prefix="e"):
    return [
        ServiceEndpoint(f"{prefix}{index}", "s", f"127.0.0.1:{index}", "z", role=role)
        for index in range(count)
    ]


def wide_budget():
    return RetryBudget(1.0, 10_000, 10_000)


@given("a routing table with nested prefixes and a split of nine to one")
def nested(context):
    split = (Split("s", 90), Split("t", 10))
    routes = (route("short"), route("long", "/a/b/"), route("split", "/c/", split))
    context.routing = RoutingTable(1, routes, {})


@then("the most exact route is found, and none for another host")
def most_exact(context):
    assert context.routing.find("h", "/a/b/c").name == "long"
    assert context.routing.find("h", "/a/x").name == "short"
    assert context.routing.find("h", "/ab/") is None
    assert context.routing.find("other", "/a/b/c") is None


@then("about one request in ten goes to the lesser service, the same one each time")
def one_in_ten(context):
    split = context.routing.find("h", "/c/")
    first = [split.choose_service(f"r{index}") for index in range(2000)]
    assert first == [split.choose_service(f"r{index}") for index in range(2000)]
    assert 140 <= first.count("t") <= 260, first.count("t")


REPLIES = st.lists(
    st.sampled_from(["ok", "unsigned", "500", "503-run", "not-run", "unsent", "reset", "silent"]),
    max_size=12,
)


def head_of(reply):
    match reply:
        case "ok":
            return AnswerHead(200, (), Executed.YES, signed=True)
        case "unsigned":
            return AnswerHead(200, (), Executed.YES, signed=False)
        case "500":
            return AnswerHead(500, (), Executed.YES, signed=True)
        case "503-run":
            return AnswerHead(503, (), Executed.YES, signed=True)
        case "not-run":
            return AnswerHead(503, (), Executed.NO, signed=False)
    return None


def play_plain(may_repeat, replies):
    """Let endpoints answer in the given ways; returns who ran it, in order, and the end."""
    state = plain.PlainState("s", may_repeat, 2, 300, 1500)
    ran, refused, now_ms = [], 0, 0
    command = plain.step(state, Begin(), endpoints(5), wide_budget(), now_ms)
    waiting = list(replies)
    while isinstance(command, plain.SendTo):
        assert len(ran) + refused < MOST_STEPS
        reply = waiting.pop(0) if waiting else "ok"
        instance = command.endpoint.instance
        now_ms += command.wait_ms if reply == "silent" else 10
        head = head_of(reply)
        if reply in ("unsent", "not-run"):
            refused += 1
        else:
            ran.append(instance)
        if head is not None:
            event = plain.Answered(instance, head)
        else:
            event = plain.Broken(instance, sent=reply != "unsent", silent=reply == "silent")
        command = plain.step(state, event, endpoints(5), wide_budget(), now_ms)
    return ran, refused, command


@then(
    "whatever endpoints answer, a request that may not repeat is sent on only while it has not run"
)
def at_most_once(context):
    @forall(REPLIES)
    def check(replies):
        ran, refused, _ = play_plain(False, replies)
        assert len(ran) <= 1, ran
        assert refused <= MOST_REDIRECTS + 1

    check()


@then("only a request that has not run is refused with a promise")
def truthful(context):
    @forall(st.booleans(), REPLIES)
    def check(may_repeat, replies):
        ran, _, end = play_plain(may_repeat, replies)
        if isinstance(end, Refuse):
            assert end.not_run == (not ran), (ran, end)
            assert plain.promises_not_run(end.status) == end.not_run, end

    check()


@then("whatever endpoints answer, it runs on two at most, none of them twice")
def two_at_most(context):
    @forall(REPLIES)
    def check(replies):
        ran, _, _ = play_plain(True, replies)
        assert len(ran) <= 2 and len(set(ran)) == len(ran), ran

    check()


@then("whatever comes, extra sends in any window stay below the node's part")
def within_budget(context):
    @forall(st.lists(st.tuples(st.integers(0, 900), st.booleans()), max_size=120))
    def check(arrivals):
        budget = RetryBudget(0.2, 8.0, 2000, nodes=2)
        now_ms, requests, extras = 0, [], []
        for gap_ms, is_request in arrivals:
            now_ms += gap_ms
            if is_request:
                budget.count_request("s", now_ms)
                requests.append(now_ms)
            elif budget.withdraw("s", now_ms):
                extras.append(now_ms)
            recent = [sum(at > now_ms - 2000 for at in times) for times in (requests, extras)]
            assert recent[1] <= max(0.2 * recent[0] + 4.0, 4.0)
            assert recent[1] <= BUDGET_USED_SHARE * (0.2 * len(requests) + 4.0)

    check()


def generation(may_repeat=False, returned=False):
    return generation_core.GenerationState(
        "s",
        9000,
        may_repeat,
        2,
        900,
        0,
        14_000,
        2000,
        gives_up_ms=3600,
        returned=returned,
        plans_left=0,
    )


POOLS = generation_core.Pools(endpoints(3, Role.DECODE, "d"), endpoints(2, Role.PREFILL, "p"))


def gen_step(state, event, now_ms=10, pools=POOLS):
    return generation_core.step(state, event, pools, wide_budget(), now_ms)


@given("a generation for two full decode endpoints and a free one")
def full_decoders(context):
    context.state = generation()


@then("it asks them in order, reads once, and opens the stream where the memory is")
def asks_in_order(context):
    state = context.state
    command = gen_step(state, Begin())
    for full in ("d0", "d1"):
        assert command.endpoint.instance == full, command
        command = gen_step(state, gen.HoldFailed(full, broken=False))
    assert command.endpoint.instance == "d2" and command.tokens == 9000
    command = gen_step(state, gen.HoldTaken(KvHold(command.endpoint, "k", 2000)))
    assert isinstance(command, gen.ReadPrompt) and command.endpoint.role is Role.PREFILL
    command = gen_step(state, gen.PromptRead(KvHandle(command.endpoint, "h", 5000)))
    assert command == gen.OpenStream(POOLS.decoders[2]), command
    assert state.reads == 1


@then("a caller who comes first is refused early, one who returned waits longer")
def patience(context):
    def refused_at_ms(returned):
        state, now_ms = generation(returned=returned), 0
        command = gen_step(state, Begin(), now_ms)
        while not isinstance(command, Refuse):
            if isinstance(command, gen.Wait):
                now_ms += command.pause_ms
                command = gen_step(state, gen.Waited(), now_ms)
            else:
                failed = gen.HoldFailed(command.endpoint.instance, broken=False)
                command = gen_step(state, failed, now_ms)
        assert command.status == 503 and command.not_run
        return now_ms

    assert refused_at_ms(False) <= 900 / 4
    assert 2500 < refused_at_ms(True) < 3600


def play_generation(may_repeat, replies, relay_breaks):
    """Holds and reads succeed; streams answer in the given ways. Returns the runs and the end."""
    state, now_ms, runs, resumed = generation(may_repeat), 0, 0, 0
    waiting, breaks = list(replies), list(relay_breaks)
    command = gen_step(state, Begin(), now_ms)
    for _ in range(MOST_STEPS):
        now_ms += 10
        match command:
            case gen.AskHold(endpoint):
                event = gen.HoldTaken(KvHold(endpoint, "k", now_ms + 2000))
            case gen.ReadPrompt(endpoint):
                event = gen.PromptRead(KvHandle(endpoint, "h", 5000))
            case gen.OpenStream(endpoint):
                reply = waiting.pop(0) if waiting else "ok"
                head = head_of(reply)
                runs += reply not in ("unsent", "not-run")
                if head is not None:
                    event = gen.StreamAnswered(endpoint.instance, head)
                else:
                    sent, silent = reply != "unsent", reply == "silent"
                    event = gen.StreamBroken(endpoint.instance, sent, silent)
            case gen.RelayStream() if breaks and breaks.pop(0):
                resumed += 1
                event = gen.RelayBroken(state.hold.endpoint.instance, known=True)
            case gen.Wait(pause_ms):
                now_ms += pause_ms
                event = gen.Waited()
            case _:
                return runs, resumed, command
        command = gen_step(state, event, now_ms)
    raise AssertionError(f"no end: {command}")


BREAKS = st.lists(st.booleans(), max_size=3)


@then("whatever endpoints answer, a generation that may not repeat runs once at most")
def runs_once(context):
    @forall(REPLIES, BREAKS)
    def check(replies, breaks):
        runs, _, _ = play_generation(False, replies, breaks)
        assert runs <= 1, runs
        runs, _, _ = play_generation(True, replies, breaks)
        assert runs <= 2, runs

    check()


@then("a generation that has run is never refused with a promise")
def generation_truthful(context):
    @forall(st.booleans(), REPLIES, BREAKS)
    def check(may_repeat, replies, breaks):
        runs, resumed, end = play_generation(may_repeat, replies, breaks)
        if isinstance(end, Refuse):
            assert not resumed, "an answer that began is cut, not refused"
            assert end.not_run == (runs == 0), (runs, end)
            assert plain.promises_not_run(end.status) == end.not_run, end

    check()


def streaming(may_repeat):
    state = generation(may_repeat)
    state.hold = KvHold(POOLS.decoders[0], "k", 2000)
    state.runs = state.streams = 1
    return state


@given("a resumable stream that broke after some events")
def broke(context):
    context.state = streaming(may_repeat=True)
    context.command = gen_step(context.state, gen.RelayBroken("d0", known=True), 500)


@then("memory is reserved at another endpoint, and the stream goes on there")
def goes_on(context):
    assert context.command.endpoint.instance == "d1", context.command
    hold = KvHold(context.command.endpoint, "k2", 2500)
    command = gen_step(context.state, gen.HoldTaken(hold), 510)
    command = gen_step(context.state, gen.PromptRead(KvHandle(command.endpoint, "h", 5000)), 600)
    assert command == gen.OpenStream(POOLS.decoders[1])


@then("a stream that may not be resumed is cut")
def is_cut(context):
    command = gen_step(streaming(may_repeat=False), gen.RelayBroken("d0", known=True), 500)
    assert isinstance(command, gen.Cut), command


@then("for any split of the bytes only whole events go out, with the id of the last")
def any_split(context):
    events = [f"id: {n}\ndata: {'x' * n}\n\n".encode() for n in range(1, 6)]
    whole = b"".join(events)

    @forall(st.lists(st.integers(0, len(whole)), max_size=6), st.integers(0, 12))
    def check(cuts, missing):
        sent = whole[: len(whole) - missing]
        edges = [0, *sorted(min(cut, len(sent)) for cut in cuts), len(sent)]
        cutter, out, last = EventCutter(), b"", None
        for start, end in zip(edges, edges[1:], strict=False):
            mark = cutter.feed(sent[start:end])
            if mark is not None:
                out += mark.data
                last = mark.last_id
        assert out + cutter.rest() == sent
        count = out.count(b"\n\n")
        assert out == b"".join(events[:count]) and last == (count or None)

    check()


@given("three endpoints of which one fails and one is far slower")
def uneven(context):
    context.loads = LoadTable("z")
    context.three = endpoints(3)
    for turn in range(12):
        context.loads.of("e0").fail(turn * 100)
        context.loads.of("e1").succeed(900.0, turn * 100)
        context.loads.of("e2").succeed(70.0, turn * 100)


@then("the sound one is first, and after a while the others are tried again")
def sound_first(context):
    ranked = context.loads.rank(context.three, 1200)
    assert ranked[0].instance == "e2", ranked
    later_ms = 1200 + 8 * FORGET_HALF_LIFE_MS
    context.loads.of("e2").outstanding = 1
    ranked = context.loads.rank(context.three, later_ms)
    assert ranked[-1].instance == "e2", ranked


@then("an endpoint that cannot be reached is passed over at its first failure")
def first_failure(context):
    loads, three = LoadTable("z"), endpoints(3)
    loads.of("e1").outstanding = loads.of("e2").outstanding = 9
    assert loads.rank(three, 0)[0].instance == "e0"
    loads.of("e0").fail(0)
    assert loads.rank(three, 1)[0].instance == "e0", "one ordinary failure shuts nobody out"
    loads.of("e0").fail(2, unreachable=True)
    assert loads.rank(three, 3)[-1].instance == "e0"


@given("a directory that was listed before an outage of the store")
def listed(context):
    context.directory = Directory()
    context.two = endpoints(2)
    context.directory.replace(context.two, 5, lapsed=False, now_ms=0)


@then("an entry missing right after it stays usable for two seconds")
def stays_usable(context):
    context.directory.replace(context.two[:1], 9, lapsed=True, now_ms=100)
    assert context.directory.may_use("e1", 99 + LAPSED_GRACE_MS)
    assert not context.directory.may_use("e1", 100 + LAPSED_GRACE_MS)


@then("one that was draining, or that goes at another time, is gone at once")
def gone_at_once(context):
    directory = context.directory
    directory.replace(context.two, 11, lapsed=False, now_ms=5000)
    directory.remove("e1", lapsed=False, now_ms=5000)
    assert not directory.may_use("e1", 5000)
    leaving = ServiceEndpoint("e0", "s", "127.0.0.1:0", "z", draining=True)
    directory.put(leaving)
    assert not directory.may_use("e0", 5000)
    directory.remove("e0", lapsed=True, now_ms=5000)
    assert "e0" not in directory.endpoints


@then("one whose address another endpoint has stays gone, whatever the store still says")
def stays_gone(context):
    directory, lost = Directory(), endpoints(1)[0]
    directory.replace([lost], 1, lapsed=False, now_ms=0)
    directory.note_replaced("e0")
    directory.put(lost)
    directory.replace([lost], 2, lapsed=False, now_ms=10)
    assert not directory.may_use("e0", 20)


@given("a forwarder with version five in force")
def five(context):
    context.forwarder = Forwarder(None, 0)
    assert context.forwarder.take_table(RoutingTable(5, (), {}))


@then("version four is not taken, and version six is")
def only_newer(context):
    assert not context.forwarder.take_table(RoutingTable(4, (), {}))
    assert not context.forwarder.take_table(RoutingTable(5, (), {}))
    assert context.forwarder.take_table(RoutingTable(6, (), {}))
    assert context.forwarder.table.version == 6


@given("two of five engines read prompts")
def five_engines(context):
    context.engines = endpoints(3, Role.DECODE, "d") + endpoints(2, Role.PREFILL, "p")


def look_until(state, engines, from_ms, until_ms):
    """The first command, and when it came."""
    for now_ms in range(from_ms, until_ms, 500):
        command = roles.step(state, roles.Look(engines), now_ms)
        if command is not None:
            return command, now_ms
    return None, until_ms


@then("after two seconds the duty is asked for, and one engine is ordered")
def one_order(context):
    state = roles.RoleState("n", 3000, 300)
    command, at_ms = look_until(state, context.engines, 0, 10_000)
    assert command == roles.TakeDuty(None) and at_ms >= roles.EXCESS_MS
    order = roles.step(state, roles.DutyTaken(19, took_over=False), at_ms)
    assert order.role is Role.DECODE and order.fence == 19
    assert order.endpoint.role is Role.PREFILL
    roles.step(state, roles.Ordered(True), at_ms)
    again, _ = look_until(state, context.engines, at_ms, at_ms + roles.ORDER_OPEN_MS)
    assert again is None, "a second order while the first is open"


@then("another node that finds the duty taken gives no order")
def finds_taken(context):
    state = roles.RoleState("m", 3000, 300)
    _, at_ms = look_until(state, context.engines, 0, 10_000)
    assert roles.step(state, roles.DutyHeldByOther(19), at_ms) is None
    command, at_ms = look_until(state, context.engines, at_ms, at_ms + 10_000)
    assert command == roles.TakeDuty(None), "the object of a live holder is not taken over"


@then("a node that took the duty over waits out the lease before it orders")
def waits_out(context):
    state = roles.RoleState("m", 3000, 300)
    _, at_ms = look_until(state, context.engines, 0, 10_000)
    roles.step(state, roles.DutyHeldByOther(19), at_ms)
    free_ms = at_ms + roles.DUTY_FREE_MS
    command, at_ms = look_until(state, context.engines, free_ms, free_ms + 10_000)
    assert command == roles.TakeDuty(19), command
    assert roles.step(state, roles.DutyTaken(25, took_over=True), at_ms) is None
    command, later_ms = look_until(state, context.engines, at_ms, at_ms + 10_000)
    assert command == roles.TakeDuty(None) and later_ms - at_ms >= 3300
    assert roles.step(state, roles.DutyTaken(31, took_over=False), later_ms).fence == 31


class SlowDuty:
    """A store whose confirmation is late, and a clock that jumps after it, as in a freeze."""

    def __init__(self):
        self.now_ms = 0
        self.asked = 0
        self.orders = []

    async def create(self, kind, name, content):
        self.asked += 1
        return Ok(StoredObject(name, 19, content))

    def clock(self):
        frozen_ms = roles.CONFIRMED_MS + 1 if self.asked else 0
        self.now_ms += frozen_ms
        return self.now_ms

    async def order_role(self, endpoint, role, holder, fence):
        self.orders.append(endpoint.instance)
        return Ok(None)


@given("a role keeper whose confirmation took longer than allowed")
def frozen_keeper(context):
    world = context.world = SlowDuty()
    directory = Directory()
    engines = endpoints(3, Role.DECODE, "d") + endpoints(2, Role.PREFILL, "p")
    directory.replace(engines, 1, lapsed=False, now_ms=0)
    spec = EngineSpec(64, 90_000, 18_432, 64, 2000, 500, 6000)
    table = RoutingTable(1, (), {"s": Service("s", 10, spec)})
    state = roles.RoleState("n", 3000, 300, unbalanced_since_ms=-roles.EXCESS_MS)
    keeper = RoleKeeper(lambda: state, directory, world, world, lambda: table, world.clock)

    async def look():
        with anyio.move_on_after(1.0):
            await keeper.run()

    anyio.run(look)


@then("no order reaches the engine")
def no_order(context):
    assert context.world.asked >= 1
    assert context.world.orders == []
