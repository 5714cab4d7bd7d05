"""Steps on routes, plain requests, retries, loads and endpoints, without sockets or clock."""

from unittest.mock import Mock

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.event_streams import EventSplitter
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import (
    Begin,
    Refuse,
)
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.routing import RoutingTable, Split
from saffronworks.forwarding.tuning import (
    AVERAGE_HALF_LIFE_MS,
    BUDGET_USED_SHARE,
    MAX_REDIRECTS,
)
from saffronworks.tests.endpoint_fixtures import (
    MOST_STEPS,
    REPLIES,
    endpoints,
    head_of,
    route,
    wide_budget,
)
from saffronworks.tests.revisions import at


@given("a routing table with nested prefixes and a split of nine to one")
def nested_routes(context):
    split = (Split("s", 90), Split("t", 10))
    routes = (route("short"), route("long", "/a/b/"), route("split", "/c/", split))
    context.routing = RoutingTable(1, routes, {})


@then("the route with the longest matching prefix is found, and none for another host")
def check_longest_prefix(context):
    assert context.routing.find("h", "/a/b/c").name == "long"
    assert context.routing.find("h", "/a/x").name == "short"
    assert context.routing.find("h", "/ab/") is None
    assert context.routing.find("other", "/a/b/c") is None


@then("about one request in ten goes to the service of smaller weight, always the same ones")
def check_split(context):
    split = context.routing.find("h", "/c/")
    first = [split.choose_service(f"r{index}") for index in range(2000)]
    assert first == [split.choose_service(f"r{index}") for index in range(2000)]
    assert 140 <= first.count("t") <= 260, first.count("t")


def simulate_plain(may_repeat, replies):
    """Return the endpoints that ran the request, in order, the rejections, and the last command."""
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
    "whatever endpoints answer, an unrepeatable request is sent again only if it was not executed"
)
def check_unrepeatable(context):
    @forall(REPLIES)
    def check(replies):
        ran, refused, _ = simulate_plain(False, replies)
        assert len(ran) <= 1, ran
        assert refused <= MAX_REDIRECTS + 1

    check()


@then("only the refusal of a request that was not executed promises so")
def check_refusals(context):
    @forall(st.booleans(), REPLIES)
    def check(may_repeat, replies):
        ran, _, end = simulate_plain(may_repeat, replies)
        if isinstance(end, Refuse):
            assert end.not_run == (not ran), (ran, end)
            assert plain.promises_not_run(end.status) == end.not_run, end

    check()


@then("whatever endpoints answer, it runs on two endpoints at most, and on none twice")
def check_repeatable(context):
    @forall(REPLIES)
    def check(replies):
        ran, _, _ = simulate_plain(True, replies)
        assert len(ran) <= 2 and len(set(ran)) == len(ran), ran

    check()


@then("for any arrivals, the retries in any window stay below the node's share of the budget")
def check_retry_budget(context):
    @forall(st.lists(st.tuples(st.integers(0, 900), st.booleans()), max_size=120))
    def check(arrivals):
        budget = RetryBudget(0.2, 8.0, 2000, nodes=NodeCount(2))
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


CUTS = st.lists(st.integers(0, 120), max_size=6)


@then("for any split of the bytes only complete events are passed on, with their ids")
def check_event_boundaries(context):
    @forall(st.sampled_from(["\n", "\r\n"]), CUTS, st.integers(0, 12))
    def check(newline, cuts, missing):
        lines = [f"id: {n}\ndata: {'x' * n}\n\n" for n in range(1, 6)]
        events = [text.replace("\n", newline).encode() for text in lines]
        whole = b"".join(events)
        sent = whole[: len(whole) - missing]
        edges = [0, *sorted(min(cut, len(sent)) for cut in cuts), len(sent)]
        cutter, out, ids = EventSplitter(), b"", ()
        for start, end in zip(edges, edges[1:], strict=False):
            mark = cutter.feed(sent[start:end])
            if mark is not None:
                out += mark.data
                ids += mark.ids
        assert out + cutter.remainder() == sent
        count = out.count(b"id: ")
        assert out == b"".join(events[:count]) and ids == tuple(range(1, count + 1))

    check()


@given("three endpoints, of which one fails and one is much slower")
def uneven_endpoints(context):
    context.loads = LoadTable("z")
    context.three = endpoints(3)
    for turn in range(12):
        context.loads.of("e0").record_failure(turn * 100)
        context.loads.of("e1").record_success(900.0, turn * 100)
        context.loads.of("e2").record_success(70.0, turn * 100)


@then("the healthy one ranks first, and after a while the others are tried again")
def check_healthy_first(context):
    ranked = context.loads.rank(context.three, 1200)
    assert ranked[0].instance == "e2", ranked
    later_ms = 1200 + 8 * AVERAGE_HALF_LIFE_MS
    context.loads.of("e2").outstanding = 1
    ranked = context.loads.rank(context.three, later_ms)
    assert ranked[-1].instance == "e2", ranked


@then("an unreachable endpoint ranks last after its first failure")
def check_unreachable_last(context):
    loads, three = LoadTable("z"), endpoints(3)
    loads.of("e1").outstanding = loads.of("e2").outstanding = 9
    assert loads.rank(three, 0)[0].instance == "e0"
    loads.of("e0").record_failure(0)
    assert loads.rank(three, 1)[0].instance == "e0", "one failure excludes no endpoint"
    loads.of("e0").record_failure(2, unreachable=True)
    assert loads.rank(three, 3)[-1].instance == "e0"


def is_usable(directory, instance, now_ms):
    return any(endpoint.instance == instance for endpoint in directory.usable("s", now_ms))


@given("a directory that was listed before an outage of the store")
def listed_directory(context):
    context.directory = Directory()
    context.two = endpoints(2)
    context.directory.replace(context.two, at(5), now_ms=0)


@then("an entry missing right after the outage stays usable for two seconds")
def check_stays_usable(context):
    context.directory.replace(context.two[:1], at(9), now_ms=100, lapse_until_ms=2100)
    assert is_usable(context.directory, "e1", 2099)
    assert not is_usable(context.directory, "e1", 2100)


@then("a draining entry, or one removed at another time, is dropped at once")
def check_dropped_at_once(context):
    directory = context.directory
    directory.replace(context.two, at(11), now_ms=5000)
    directory.remove("e1", now_ms=5000)
    assert not is_usable(directory, "e1", 5000)
    leaving = ServiceEndpoint("e0", "s", "127.0.0.1:0", "z", draining=True)
    directory.put(leaving)
    assert not is_usable(directory, "e0", 5000)
    directory.remove("e0", now_ms=5000, lapse_until_ms=7000)
    assert "e0" not in directory.endpoints


@then("an entry whose address another endpoint has stays removed, even if the store lists it")
def check_stays_removed(context):
    directory, lost = Directory(), endpoints(1)[0]
    directory.replace([lost], at(1), now_ms=0)
    directory.mark_replaced("e0")
    directory.put(lost)
    directory.replace([lost], at(2), now_ms=10)
    assert not is_usable(directory, "e0", 20)


@given("a forwarder that applied version five")
def forwarder_with_version_five(context):
    context.forwarder = Forwarder(Mock(), 0)
    assert context.forwarder.apply_table(RoutingTable(5, (), {}))


@then("version four is rejected, and version six is applied")
def check_only_newer_applied(context):
    assert not context.forwarder.apply_table(RoutingTable(4, (), {}))
    assert not context.forwarder.apply_table(RoutingTable(5, (), {}))
    assert context.forwarder.apply_table(RoutingTable(6, (), {}))
    assert context.forwarder.table.version == 6
