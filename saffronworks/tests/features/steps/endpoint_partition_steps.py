"""Steps on nodes that reach no endpoint, on the whole path over loopback."""

import time

import anyio
from behave import given, then, when

from saffronworks.tests.cut_paths import Cut, CutPaths
from saffronworks.tests.platform_place import engines, on_platform, web_servers

NODES = 4
# The paths are cut this long after the first request, when nodes have open connections.
CUT_AFTER_S = 1.5
CUT_S = 5.0
# From this long after the cut on, nodes must serve their callers.
RECOVERED_S = 1.0
SERVED_RATIO = 0.9
REQUESTS_PER_S = 30
HOW = {
    "their connections hang": Cut.HANG,
    "their connections are reset": Cut.RESET,
    "only new connections are refused": Cut.REFUSE_NEW,
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
