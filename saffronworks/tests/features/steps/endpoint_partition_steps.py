"""Steps on nodes that reach no endpoint, on the whole path over loopback."""

import asyncio
import time
from collections import Counter
from unittest import mock

import anyio
from behave import given, then, when

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.paths.table import PathState
from saffronworks.forwarding.paths.tuning import MAX_RELAYED_BODY_BYTES, MAX_RELAYED_REQUESTS
from saffronworks.loop_meter import LoopMeter
from saffronworks.standins.sites import wait_until
from saffronworks.tests.cpu_waits import cpu_wait_s
from saffronworks.tests.cut_paths import Cut, CutPaths
from saffronworks.tests.platform_place import (
    CONFIG,
    ENGINE,
    engines,
    make_route,
    on_platform,
    web_servers,
)

NODES = 4
# The paths are cut this long after the first request, when nodes have open connections.
CUT_AFTER_S = 1.5
CUT_S = 5.0
# From this long after the cut on, nodes must serve their callers.
RECOVERED_S = 1.0
SERVED_RATIO = 0.9
REQUESTS_PER_S = 30
# Longer than a node waits before it refuses a request that it can't send.
SUSPENDED_S = 0.9
# A node that reaches no endpoint has been told by others whether they do.
PEERS_ANSWER_S = 0.4
# An engine has room for all requests at once, however long a busy machine makes them.
ROOMY = {"slots": 128, "kv_capacity_tokens": 2_000_000}
ROOMY_CONFIG = CONFIG | {
    "services": [CONFIG["services"][0], {"name": "llm", "engine": ENGINE | ROOMY}]
}
HOW = {
    "their connections hang": Cut.HANG,
    "their connections are reset": Cut.RESET,
    "only new connections are refused": Cut.REFUSE_NEW,
    "only answers are lost": Cut.ONE_WAY,
}


def is_served(asked):
    """Return whether a caller got a whole answer."""
    ends = (b"0\r\n\r\n", b"\r\n\r\n" + asked.request_id.encode())
    return asked.raw.startswith(b"HTTP/1.1 200") and asked.raw.endswith(ends)


async def ask_one(place, request_id, node):
    """Send a plain request, a repeatable one or a generation, by turns of the nodes."""
    number = int(request_id[1:]) // NODES
    path = ("/once/", "/again/", "/res/")[number % 3]
    if path == "/res/":
        return await place.generate(path, request_id, node=node)
    return await place.ask(path, request_id, node=node)


def ejected_by(place):
    """Return the endpoints that the planners have ejected."""
    plans = [node._kernel.find("memory-planner").plans.values() for node in place.nodes]
    return [name for own in plans for plan in own for name in plan.ejections._ejections]


def play_cut(context, nodes, how):
    """Send requests to all nodes, and cut off those of these numbers."""

    async def play(place):
        paths = CutPaths(place)

        async def cut():
            await anyio.sleep(CUT_AFTER_S)
            context.cut_s = time.monotonic()
            for number in nodes:
                paths.cut(number, how)
            await anyio.sleep(CUT_S)
            for number in nodes:
                paths.heal(number)

        async def ask(request_id, node):
            return await ask_one(place, request_id, node)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cut)
            context.asked = await place.ask_evenly(REQUESTS_PER_S, CUT_AFTER_S + CUT_S, ask)
        context.ejected = ejected_by(place)
        context.suspected = sum(len(node._quarantine._state.table) for node in place.nodes)

    context.cut_nodes = set(nodes)
    on_platform(context.servers, play, count=NODES)


@given("four nodes, two plain endpoints and three engines")
def a_place(context):
    context.servers = [*web_servers(2), *engines()]


@given("four nodes, two plain endpoints that work for 250 ms and three engines")
def a_slow_place(context):
    a_place(context)
    for server in context.servers[:2]:
        server.work_s = 0.25


@when("three nodes lose their paths to all endpoints for 5 s, and {how}")
def three_cut(context, how):
    play_cut(context, range(3), HOW[how])


@then("from a second after that they serve their callers nine tenths as often as the other node")
def served_as_often(context):
    since_s = context.cut_s + RECOVERED_S
    late = [one for one in context.asked if one.sent_s >= since_s]
    cut = [one for one in late if one.node in context.cut_nodes]
    others = [one for one in late if one.node not in context.cut_nodes]
    share, expected = (sum(map(is_served, ones)) / len(ones) for ones in (cut, others))
    lost = [(one.request_id, one.took_s, one.raw[:200]) for one in cut if not is_served(one)]
    assert share >= SERVED_RATIO * expected > 0.5, (share, expected, len(cut), lost[:8])


@then("the other node serves its callers")
def others_served(context):
    others = [one for one in context.asked if one.node not in context.cut_nodes]
    assert sum(map(is_served, others)) >= SERVED_RATIO * len(others), len(others)


@then("no planner ejects an endpoint, and no content is suspected")
def nothing_ejected(context):
    assert context.ejected == [] and context.suspected == 0, (context.ejected, context.suspected)


@when("a decode engine ends in the middle of many requests")
def engine_ends(context):
    async def play(place, paths):
        ended = place.servers["d0"]
        context.states = [set() for _ in place.nodes]
        context.relayed = set()

        async def end():
            await anyio.sleep(CUT_AFTER_S)
            context.cut_s = time.monotonic()
            for number in range(NODES):
                paths.end_server(number, ended)
            # A path is down for a second, so each state is seen while it lasts.
            while True:
                now_ms = monotonic_ms()
                for node, seen in zip(place.nodes, context.states, strict=True):
                    seen.add(node._paths.table.state(ended.instance, now_ms))
                    context.relayed.add(node._paths.table.count_states(now_ms)["relayed"])
                await anyio.sleep(0.02)

        async def ask(request_id, node):
            return await place.generate("/res/", request_id, node=node)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(end)
            context.asked = await place.ask_evenly(REQUESTS_PER_S, CUT_AFTER_S + 1.0, ask)
            await anyio.sleep(PEERS_ANSWER_S)
            tasks.cancel_scope.cancel()
        context.ejected = ejected_by(place)
        context.rejected = [node._gate.rejected for node in place.nodes]

    play_paths(context, play, ROOMY_CONFIG)


@then("every node that used it knows it as down, no path as cut, and a planner ejects it")
def known_as_down(context):
    used = [seen for seen in context.states if PathState.SUSPECT in seen or PathState.DOWN in seen]
    assert used and all(PathState.DOWN in seen for seen in used), context.states
    assert context.relayed == {0} and set(context.ejected) == {"d0"}, (
        context.relayed,
        context.ejected,
    )


@when("a decode engine ends, and the node that used it gets no answer from other nodes")
def ends_alone(context):
    async def play(place, paths):
        ended, node = place.servers["d0"], place.node
        for other in place.nodes[1:]:
            other._relays.stop()
        await anyio.sleep(0.2)
        paths.end_server(0, ended)
        (endpoint,) = [e for e in node._directory.endpoints.values() if e.name == "d0"]
        broken = ExchangeError(ExchangeErrorCause.RESET, sent=True)
        context.sites = [await node._paths.find_site(endpoint, broken)]
        paths.cut(0, Cut.RESET)
        context.sites.append(await node._paths.find_site(endpoint, broken))

    play_paths(context, play)


@then("the failure counts as the endpoint's, and with no path to any endpoint as unknown")
def judged_alone(context):
    assert context.sites == [FaultSite.ENDPOINT, FaultSite.UNKNOWN], context.sites


@then("callers are served by the other engine")
def served_elsewhere(context):
    """Nine tenths are served of those that a node reads; its gate closes the others unread."""
    unread = Counter(one.node for one in context.asked if not one.raw)
    assert [unread[node] for node in range(NODES)] == context.rejected, (unread, context.rejected)
    late = [one for one in context.asked if one.sent_s > context.cut_s]
    read = [one for one in late if one.raw]
    lost = [(one.request_id, one.took_s, one.raw[-80:]) for one in read if not is_served(one)]
    assert len(read) > len(late) / 2 and len(lost) <= (1 - SERVED_RATIO) * len(read), (
        len(late),
        len(read),
        lost,
    )


@given("four nodes and one plain endpoint")
@given("one plain endpoint")
def one_endpoint(context):
    context.servers = web_servers(1)


def play_paths(context, play, config=CONFIG):
    """Run `play(place, paths)` on four nodes that have seen each other."""

    async def main(place):
        paths = CutPaths(place)
        assert await wait_until(
            lambda: all(len(peers_of(node)) == NODES - 1 for node in place.nodes)
        )
        await play(place, paths)

    on_platform(context.servers, main, config, count=NODES)


def peers_of(node):
    return node._paths.peers.choice.peers


async def settle(place, paths, number, how=Cut.RESET):
    """Cut a node off, and wait until it relays its requests."""
    paths.cut(number, how)
    for attempt in range(5):
        await place.ask("/again/", f"settle{attempt}", node=place.nodes[number])
    assert place.nodes[number]._paths.is_partitioned()


REQUESTS = (
    ("POST", "/once/a%20b;c/?x=%2F&x=2", {"X-Two": "a, b", "Saffronworks-Relay": "own"}, b"\0body"),
    ("GET", "/again/?q", {"Authorization": "caller"}, b""),
    ("HEAD", "/again/", {}, b""),
)


@when("a node that reaches no endpoint relays requests of several kinds")
def relays_kinds(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        server.seen.clear()
        context.answers = {}
        for node in (0, 1):
            for number, (method, target, headers, body) in enumerate(REQUESTS):
                context.answers[node, number] = await place.ask(
                    target, f"k{number}", headers, body, method, node=place.nodes[node]
                )
        for fault in ("error", "unframed", "unframed-reset", "shed", "short"):
            for node in (0, 1):
                server.script = [fault]
                answer = await place.ask("/once/", "same", node=place.nodes[node])
                context.answers[node, fault] = answer
        context.seen = server.seen

    play_paths(context, play)


def without_times(headers):
    return {key: value for key, value in headers.items() if key != "deadline-ms"}


@then("the endpoint sees them as those of a node that reaches it")
def seen_alike(context):
    relayed, direct = context.seen[: len(REQUESTS)], context.seen[len(REQUESTS) :][: len(REQUESTS)]
    for one, other in zip(relayed, direct, strict=True):
        assert one[:2] + one[3:] == other[:2] + other[3:], (one, other)
        assert without_times(one[2]) == without_times(other[2]), (one, other)
        assert abs(int(other[2]["deadline-ms"]) - int(one[2]["deadline-ms"])) < 500


def without_date(raw):
    return [line for line in raw.split(b"\r\n") if not line.startswith((b"date:", b"retry-after:"))]


@then("the callers get the same answers")
def same_answers(context):
    for (node, kind), answer in context.answers.items():
        if node == 0:
            other = context.answers[1, kind]
            assert without_date(answer) == without_date(other), (kind, answer, other)


@when("the caller of a relayed request leaves while the endpoint works on it")
def relayed_caller_leaves(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        server.work_s = 5.0
        await place.ask("/once/", "gone", leaves_after_s=0.3)
        context.noticed = await wait_until(lambda: server.left == ["gone"], limit_s=0.5)

    play_paths(context, play)


@then("the endpoint sees the end of the connection within half a second")
def end_seen(context):
    assert context.noticed


@when("a node relays a request to an endpoint that has asked that node for a pause")
def relays_into_pause(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        for node in place.nodes[1:]:
            (instance,) = node._directory.endpoints
            node._directory.advertised.record_pause(instance, 5000, monotonic_ms())
        server.seen.clear()
        context.raw = await place.ask("/once/", "paused")
        context.seen = list(server.seen)

    play_paths(context, play)


@then("the endpoint gets nothing, and the caller is told that it was not run")
def nothing_in_pause(context):
    assert not context.seen and context.raw.startswith(b"HTTP/1.1 503"), (context.seen, context.raw)


@when("the node that relays a request closes all its connections")
def relaying_node_stops(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        context.answers = {}
        for path in ("/once/", "/again/"):
            server.work_s = 1.0

            async def ask(path=path):
                context.answers[path] = await place.ask(path, path.strip("/"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.15)
                server.work_s = 0.0
                for node in place.nodes:
                    for connection in list(node._relays._server.server_state.connections):
                        connection.transport.abort()
        context.ran = list(server.ran)

    play_paths(context, play)


@then("an unrepeatable request ends as unknown and ran once, and a repeatable one is served")
def ends_truly(context):
    assert context.answers["/once/"].startswith(b"HTTP/1.1 502"), context.answers
    assert context.ran.count("once") == 1, context.ran
    assert context.answers["/again/"].startswith(b"HTTP/1.1 200"), context.answers


@when("many requests with large bodies are relayed at once")
def large_bodies(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        server.work_s, context.held = 0.3, []
        context.raw = []

        async def ask(number):
            context.raw.append(await place.ask("/again/", f"b{number}", body=b"x" * 90_000))

        async with anyio.create_task_group() as tasks:
            for number in range(60):
                tasks.start_soon(ask, number)
            for _ in range(40):
                await anyio.sleep(0.02)
                relays = [node._relay_server for node in place.nodes]
                context.held += [(one.open_requests, one.open_body_bytes) for one in relays]

        context.left = [(one.open_requests, one.open_body_bytes) for one in relays]

    play_paths(context, play)


@then("no node relays more than its bounds at a time, and none keeps a count in the end")
def within_bounds(context):
    requests, body_bytes = (max(values) for values in zip(*context.held, strict=True))
    assert 0 < requests <= MAX_RELAYED_REQUESTS, requests
    assert 0 < body_bytes <= MAX_RELAYED_BODY_BYTES, body_bytes
    assert set(context.left) == {(0, 0)}, context.left


@when("a node that relays a request does not answer, and the endpoint listens")
def relaying_node_is_silent(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (endpoint,) = place.node._directory.endpoints.values()
        (relaying, *_) = peers_of(place.node)
        broken = ExchangeError(ExchangeErrorCause.SILENT, sent=True, relayed_by=relaying)
        context.site = await place.node._paths.find_site(endpoint, broken)

    play_paths(context, play)


@then("the failure counts as the path's")
def judged_as_path(context):
    assert context.site is FaultSite.PATH, context.site


@when("a node without a path to it gets no connection in time, as it notices replies 1 s late")
def connects_too_late(context):
    async def play(place, paths):
        for number in range(NODES):
            paths.cut(number, Cut.HANG)
        (endpoint,) = place.node._directory.endpoints.values()
        try:
            await place.node._paths.connector.acquire(endpoint, "n0")
        except ExchangeError as broken:
            context.site = await place.node._paths.find_site(endpoint, broken)

    with mock.patch.object(LoopMeter, "reply_lag_ms", return_value=1000.0):
        play_paths(context, play)


@then("the failure counts as nobody's")
def judged_as_unknown(context):
    assert context.site is FaultSite.UNKNOWN, context.site


@when("a node that relays a request is stopped, and further requests follow")
def relaying_node_is_stopped(context):
    async def play(place, paths):
        await settle(place, paths, 0)
        (server,) = place.servers.values()
        server.work_s = 0.8
        context.raw, context.relays = {}, []

        async def ask(name):
            context.raw[name] = await place.ask("/once/", name)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "first")
            await anyio.sleep(0.3)
            (relaying,) = [node for node in place.nodes if node._relay_server.open_requests]
            relaying.stop()
            server.work_s = 0.0
            for number in range(10):
                await ask(f"later-{number}")
                context.relays.append(relaying._relay_server.open_requests)

    play_paths(context, play)


@then("all of them are served, and none by the node that stops after the first")
def served_across_stop(context):
    lost = {name: raw for name, raw in context.raw.items() if not raw.startswith(b"HTTP/1.1 200")}
    assert not lost and len(context.raw) == 11, lost
    assert max(context.relays) <= 1, context.relays


def play_refused(context, place, nodes):
    """Send twenty requests in turn to these nodes."""

    async def play():
        context.asked, context.waits_s = [], []
        for number in range(20):
            began_s, waited_s = time.monotonic(), cpu_wait_s()
            raw = await place.ask("/once/", f"n{number}", node=nodes[number % len(nodes)])
            context.asked.append((raw, time.monotonic() - began_s))
            context.waits_s.append(cpu_wait_s() - waited_s)
        context.ready = await place.ready()

    return play()


@when("all nodes lose their paths to all endpoints")
def all_cut(context):
    async def play(place, paths):
        for number in range(NODES):
            paths.cut(number, Cut.HANG)
        served = [node._relays._server.server_state for node in place.nodes]
        before = sum(state.total_requests for state in served)
        await play_refused(context, place, place.nodes)
        context.messages = sum(state.total_requests for state in served) - before

    play_paths(context, play)


@when("all nodes lose their paths to all endpoints, and take replies for up to 250 ms late")
def all_cut_late(context):
    with mock.patch.object(LoopMeter, "reply_lag_ms", return_value=250.0):
        all_cut(context)


def suspend_in_call(peers):
    """Suspend the process while the first call to another node waits for its reply."""
    check = peers._check

    async def check_suspended(*arguments):
        peers._check = check
        asyncio.get_running_loop().call_soon(time.sleep, SUSPENDED_S)
        return await check(*arguments)

    peers._check = check_suspended


@when("one of two nodes reaches no endpoint, and is suspended for 900 ms {when}")
def cut_node_is_suspended(context, when):
    async def play(place):
        async def ask(number):
            context.asked.append(await place.ask("/once/", f"n{number}"))

        paths = CutPaths(place)
        assert await wait_until(lambda: peers_of(place.node))
        paths.cut(0, Cut.HANG)
        if when == "before its requests":
            time.sleep(SUSPENDED_S)
        else:
            suspend_in_call(place.node._paths.peers)
        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(ask, number)

    context.asked = []
    once = make_route("once", "/once/", "non_idempotent", "web", max_attempts=1)
    on_platform(context.servers, play, CONFIG | {"routes": [once]}, count=2)


@then("its callers are served through the other node")
def served_through_other(context):
    assert len(context.asked) == 4
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.asked), context.asked


@when("a node reaches no endpoint and no other node relays requests")
def no_relays(context):
    async def play(place, paths):
        for node in place.nodes:
            node._paths.peers.choice.update({})
        paths.cut(0, Cut.HANG)
        await play_refused(context, place, place.nodes[:1])

    play_paths(context, play)


@when("the deadline of a request passes while a node without others connects to its endpoint")
def deadline_passes(context):
    async def play(place):
        CutPaths(place).cut(0, Cut.HANG)
        context.raw = await place.ask("/once/", "n0", {"Deadline-Ms": "300"})

    on_platform(context.servers, play)


@then("it is refused as not run")
def refused_as_not_run(context):
    raw = context.raw.lower()
    assert raw.startswith(b"http/1.1 503") and b"\r\nretry-after: " in raw, raw


@when("a node reaches no endpoint, no other relays requests, and replies are noticed 1 s late")
def no_relays_late(context):
    with mock.patch.object(LoopMeter, "reply_lag_ms", return_value=1000.0):
        no_relays(context)


@then("requests are refused as not run within a second, and all nodes stay ready")
def refused_soon(context):
    """A process that waits for a processor is late, and waits for a reply as much longer."""
    for (raw, took_s), wait_s in zip(context.asked, context.waits_s, strict=True):
        in_time = took_s < 1.0 + 2 * wait_s
        assert raw.startswith(b"HTTP/1.1 503") and in_time, (raw, took_s, wait_s)
    assert context.ready


@then("each node asks each other one at most 2.5 times a second")
def few_messages(context):
    pairs, took_s = NODES * (NODES - 1), sum(took_s for _, took_s in context.asked)
    assert context.messages <= 2.5 * pairs * took_s, (context.messages, took_s)
