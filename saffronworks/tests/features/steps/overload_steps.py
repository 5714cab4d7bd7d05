"""Steps on nodes that get more connections than they can serve."""

import asyncio
import time

import anyio
from behave import then, when

from saffronworks.overload import OVERLOAD_LAG_MS, RECOVERED_LAG_MS, SAMPLES, LoopLag
from saffronworks.tests.platform_place import on_platform, web_servers
from saffronworks.tests.surge_play import play_surge

BLOCK_S = 0.2
BLOCKED_FOR_S = 3.0
SURGE_S = 4.0
REQUEST = (
    b"GET /again/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nDeadline-Ms: 3000\r\n\r\n"
)


@then("timers that are late again and again show it, and one that was late once does not")
def late_timers(context):
    context.lag = LoopLag()
    for lag_ms in (0, 0, 5000, 0, 0, *[OVERLOAD_LAG_MS] * SAMPLES):
        context.lag.record(lag_ms)
        assert not context.lag.overloaded, lag_ms
    for _ in range(SAMPLES):
        context.lag.record(OVERLOAD_LAG_MS + 1)
    assert context.lag.overloaded


@then("it ends as soon as a timer is on time")
def ends(context):
    context.lag.record(RECOVERED_LAG_MS + 1)
    assert context.lag.overloaded
    context.lag.record(RECOVERED_LAG_MS)
    assert not context.lag.overloaded


async def ask_on(connection, number):
    """Send a request on a connection and return its status, or None if it was closed unread."""
    reader, writer = connection
    try:
        writer.write(REQUEST % number)
        await writer.drain()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
        return int(head.split(b" ")[1])
    except (ConnectionError, asyncio.IncompleteReadError):
        return None


@when("the event loop of a node is blocked again and again while many connections come")
def blocked(context):
    context.new, context.kept, context.later = [], [], []

    async def play(place):
        address = place.callers.split(":")

        async def ask_new(number, results):
            connection = await asyncio.open_connection(*address)
            results.append((time.monotonic(), await ask_on(connection, number)))
            connection[1].close()

        kept = await asyncio.open_connection(*address)
        async with anyio.create_task_group() as tasks:
            until_s = time.monotonic() + BLOCKED_FOR_S
            number = 0
            while time.monotonic() < until_s:
                for _ in range(5):
                    number += 1
                    tasks.start_soon(ask_new, number, context.new)
                context.kept.append(await ask_on(kept, 10_000 + number))
                time.sleep(BLOCK_S)
                await anyio.sleep(0)
        await anyio.sleep(1.0)
        for number in range(20):
            await ask_new(20_000 + number, context.later)

    on_platform(web_servers(), play)


@then("most new connections are closed unread, and one is taken every quarter of a second")
def mostly_closed(context):
    times_s = [at_s for at_s, status in context.new if status == 200]
    assert len(times_s) < len(context.new) / 2, (len(times_s), len(context.new))
    gaps_s = [later - earlier for earlier, later in zip(times_s, times_s[1:], strict=False)]
    # Two rounds of the blocked event loop may lie between.
    assert max(gaps_s) < 0.25 + 2 * BLOCK_S + 0.1, gaps_s


@then("a connection that was open before is served on")
def kept_served(context):
    assert context.kept and set(context.kept) == {200}, context.kept


@then("new connections are taken again after that")
def taken_again(context):
    assert {status for _, status in context.later} == {200}, context.later


@when("a node is offered {low:d} and {high:d} times what it can serve, on new connections alone")
def offered(context, low, high):
    context.surges = [anyio.run(play_surge, times, SURGE_S) for times in (low, high)]


@then("from half a second on, 95 in 100 of the requests that it reads are served in time")
def read_are_served(context):
    for surge in context.surges:
        read, share = surge.read(0.5, SURGE_S), surge.served_share(0.5, SURGE_S)
        assert read and share >= 0.95, (share, len(read), surge.log[-2000:])


@then("no request is left without an end a second after that")
def none_waiting(context):
    for surge in context.surges:
        waiting = [one for one in surge.requests if one.outcome == "waiting"]
        late = [one for one in surge.requests if one.at_s + one.took_s > SURGE_S + 1.0]
        late = [one for one in late if one.at_s < SURGE_S]
        assert not waiting and not late, (waiting[:3], late[:3])
