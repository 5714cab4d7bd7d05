"""Steps on nodes that get more connections than they can serve."""

import asyncio
import time
from unittest import mock

import anyio
from behave import given, then, when

from saffronworks import clocks
from saffronworks.clocks import LOOP_METER, extend_for_lag, monotonic_ms
from saffronworks.loop_meter import MAX_TURN_MS, REPLY_TURNS, LoopMeter
from saffronworks.overload.connect_delay import ConnectDelay
from saffronworks.overload.gate import ConnectionGate
from saffronworks.overload.link_budget import LinkBudget, bytes_per_ms
from saffronworks.overload.request_cost import RequestCost
from saffronworks.overload.start_queue import StartQueue
from saffronworks.tests.platform_place import on_platform, web_servers
from saffronworks.tests.surge_model import CONNECTION_MS, LoopModel
from saffronworks.tests.surge_play import play_surge

BLOCK_S = 0.2
# Calm before and after a surge in virtual time, and what is offered then.
CALM_MS, CALM_SHARE = 3000, 0.3
IN_TIME_MS = 900
CONNECT_EVERY_MS = 20
BLOCKED_FOR_S = 3.0
SURGE_S = 4.0
REQUEST = (
    b"GET /again/a HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nDeadline-Ms: 3000\r\n\r\n"
)


@given("event loops on which a request takes 2, 6 and 50 ms, some with half of their processor")
def loops(context):
    context.shapes = [(2, 0.0), (6, 0.0), (50, 0.0), (6, 0.5)]
    context.surges = []


@when("they are offered 1.2, 2, 8 and 60 times what they can serve, in surges of 3 and 8 seconds")
def surges(context):
    for cost_ms, throttled in context.shapes:
        per_s = 1000 / cost_ms * (1 - throttled)
        for times in (1.2, 2, 8, 60):
            loop = LoopModel(cost_ms, throttled)
            for surge_ms in (3000, 8000) if times < 60 else (3000,):
                loop.play(CALM_SHARE * per_s, CALM_MS)
                began_ms, rejected = loop.now_ms, loop.rejected
                loop.play(times * per_s, surge_ms)
                surge = began_ms, loop.now_ms, loop.rejected - rejected
                loop.play(CALM_SHARE * per_s, CALM_MS)
                context.surges.append((loop, per_s, *surge))


def _read(loop, from_ms, to_ms):
    return [one for one in loop.requests if one.accepted and from_ms <= one.at_ms < to_ms]


def _is_in_time(request):
    return request.ended_ms is not None and request.ended_ms - request.at_ms <= IN_TIME_MS


@then("from half a second on, 95 in 100 of the requests that are read are served in time")
def model_serves(context):
    for loop, _, began_ms, ended_ms, _ in context.surges:
        read = _read(loop, began_ms + 500, ended_ms)
        assert sum(map(_is_in_time, read)) >= 0.95 * len(read) > 0, (began_ms, len(read))


@then("nine tenths of the processor that rejections leave serve requests")
def model_busy(context):
    for loop, per_s, began_ms, ended_ms, rejected in context.surges:
        throttled = loop.throttled_share
        span_s = (ended_ms - began_ms) / 1000
        left = 1 - rejected * CONNECTION_MS / 1000 / span_s / (1 - throttled)
        served = sum(map(_is_in_time, _read(loop, began_ms, ended_ms)))
        assert served >= 0.9 * left * per_s * span_s, (served, left, per_s, span_s)


@then("no request that was read is open a second after a surge")
def model_ends(context):
    for loop, _, _, ended_ms, _ in context.surges:
        for one in _read(loop, 0, ended_ms):
            assert one.ended_ms and one.ended_ms <= ended_ms + 1000, one


@when("they are offered 0.8 of what they can serve, and bursts of connections at once")
def calm(context):
    for cost_ms, throttled in context.shapes:
        loop = LoopModel(cost_ms, throttled)
        per_s = 1000 / cost_ms * (1 - throttled)
        loop.play(0.8 * per_s, 10_000)
        # A burst that the loop can serve within a tenth of a second.
        loop.play(0.2 * per_s, 10_000, at_once=max(1, int(per_s / 20)))
        context.surges.append(loop)


@when("they are suspended for 150, 300 and 1000 ms while pairs of connections come")
def suspended(context):
    for cost_ms, throttled in context.shapes:
        per_s = 1000 / cost_ms * (1 - throttled)
        for suspended_ms in (150, 300, 1000):
            loop = LoopModel(cost_ms, throttled)
            loop.play(CALM_SHARE * per_s, CALM_MS)
            # No more comes meanwhile than the loop can serve within a tenth of a second.
            loop.play(0.05 * per_s, CALM_MS, at_once=2)
            loop.suspend(suspended_ms)
            loop.play(0.05 * per_s, CALM_MS, at_once=2)
            context.surges.append(loop)


@then("nothing is rejected")
def none_rejected(context):
    rejected = [loop.rejected for loop in context.surges]
    assert not any(rejected), rejected


@then("a caller that asks again as soon as it is answered is never rejected")
def one_by_one(context):
    now_ms, queue = 1000.0, StartQueue(RequestCost(60.0))
    for number in range(50):
        assert queue.has_room(now_ms, idle_ms=0.0), number
        queue.add(number, now_ms)
        queue.begin(number)
        queue.cost.begin(now_ms, now_ms)
        now_ms += 5
        queue.send_on(number)
        queue.cost.send_on(now_ms, now_ms)
        queue.cost.end(now_ms, now_ms)


@when("a node reads requests that send more than its link can carry")
def full_link(context):
    context.link = LinkBudget(bytes_per_ms(10.0))
    context.now_ms = 1000
    queue = StartQueue(RequestCost(1.0))
    context.gate = ConnectionGate(
        queue, context.link, ConnectDelay(), LoopMeter(), lambda: context.now_ms
    )
    for _ in range(30):
        context.link.end("r", context.link.begin("r", 5000, 1000), 33_000, 1000)
    assert context.gate.accept(1) and not context.gate.accept(2)
    context.now_ms += 250
    assert context.gate.accept(3) and not context.gate.accept(4)


@then("it rejects connections until the link has carried that, and closes those accepted since")
def link_recovers(context):
    # The first one was open before.
    assert context.gate.closes(3) and not context.gate.closes(1)
    accepted = []
    for context.now_ms in range(1251, 3250):
        if context.gate.accept(context.now_ms):
            accepted.append(context.now_ms)
            context.gate.close(context.now_ms)
            expected = context.link.begin("r", 5000, context.now_ms)
            context.link.end("r", expected, 33_000, context.now_ms)
    # The link carries 37 such requests a second, and some of its capacity is left for others.
    late = [at_ms for at_ms in accepted if at_ms >= 2250]
    assert 25 <= len(late) <= 37, late


@then("what requests are found to send corrects what was expected of them")
def corrected(context):
    context.now_ms += 10_000
    assert context.link.backlog_ms(context.now_ms) == 0
    expected = context.link.begin("r", 5000, context.now_ms)
    assert abs(expected - 33_500) < 500, expected
    context.link.end("r", expected, 0, context.now_ms)
    assert context.link.backlog_ms(context.now_ms) < 1 and not context.gate.closes(3)


@given("connections to endpoints that take 1 to 4 ms, and one endpoint that takes 200 ms")
def usual_delays(context):
    context.delay, context.now_ms = ConnectDelay(), 0
    _connect(context, 5000, 0)


def _connect(context, for_ms, longer_ms):
    """Open connections for a time; return the delays that were found."""
    found = []
    for number in range(for_ms // CONNECT_EVERY_MS):
        context.now_ms += CONNECT_EVERY_MS
        took_ms = 200 if number % 5 == 4 else 1 + number % 4
        context.delay.record(f"e{number % 5}", took_ms + longer_ms, context.now_ms)
        found.append(context.delay.queue_ms(context.now_ms))
    return found


@when("all of them take 50 ms longer for a while")
def longer(context):
    context.found = _connect(context, 2000, 0)[-1], _connect(context, 2000, 50)[-1]


@then("the link is found full until they take as long as before, or none succeeds")
def found_full(context):
    before, during = context.found
    assert before < 1 and 45 <= during <= 55, context.found
    assert max(_connect(context, 1000, 0)[10:]) < 1
    context.now_ms += 1000
    assert context.delay.queue_ms(context.now_ms) == 0


@then("endpoints further away that are used from now on show nothing")
def further_away(context):
    for _ in range(50):
        context.now_ms += CONNECT_EVERY_MS
        context.delay.record("far", 60, context.now_ms)
        assert context.delay.queue_ms(context.now_ms) == 0


def _turns(meter, now_ms, turn_ms, count):
    """Record turns of the same length without a pause; return the time after them."""
    for _ in range(count):
        meter.end_wait(now_ms, waited=False)
        now_ms += turn_ms
        meter.begin_wait(now_ms)
    return now_ms


@then("turns of 50 ms extend them by those that a reply needs, for up to a second")
def extended(context):
    meter = LoopMeter()
    now_ms = _turns(meter, 1000.0, 50, 10)
    assert meter.reply_lag_ms(now_ms) == REPLY_TURNS * 50
    assert meter.reply_lag_ms(now_ms + 1000) == 0


@then("turns of the usual length, and one of a suspended process, extend them by little")
def hardly_extended(context):
    meter = LoopMeter()
    now_ms = _turns(meter, 1000.0, 2, 100)
    assert meter.reply_lag_ms(now_ms) == 0
    now_ms = _turns(meter, now_ms, 30_000, 1)
    assert meter.reply_lag_ms(now_ms) <= REPLY_TURNS * MAX_TURN_MS
    assert meter.reply_lag_ms(now_ms + 1000) == 0


@when("turns of an event loop take 50 ms until it ends")
def late_loop(context):
    async def block():
        await anyio.sleep(0)
        time.sleep(0.05)
        await anyio.sleep(0)
        return extend_for_lag(0)

    context.extended_ms = clocks.run(block)


@then("they extend limits while it runs, and neither limits nor busy times after its end")
def ended_loop_extends_nothing(context):
    assert context.extended_ms >= REPLY_TURNS * 50, context.extended_ms
    left_ms, busy_ms = extend_for_lag(0), LOOP_METER.busy_for_ms(monotonic_ms())
    assert (left_ms, busy_ms) == (0, 0), (left_ms, busy_ms)


@when("turns of a node's event loop take {turn_ms:d} ms while it serves requests")
def late_node(context, turn_ms):
    servers = web_servers(2)

    async def block():
        while True:
            time.sleep(turn_ms / 1000)
            await anyio.sleep(0)

    async def play(place):
        place.tasks.start_soon(block)
        await anyio.sleep(2 * turn_ms / 1000)
        options = {"method": "GET"}
        context.asked = await place.ask_evenly(
            4, 2.5, lambda request_id, node: place.ask("/again/a", request_id, node=node, **options)
        )
        context.states = [node._paths.table.count_states(monotonic_ms()) for node in place.nodes]

    on_platform(servers, play, count=2)
    context.ran = [request_id for server in servers for request_id in server.ran]


@then("each request is sent once, all are answered, and no path is in doubt")
def nothing_suspected(context):
    assert {asked.status for asked in context.asked} == {200}, context.asked
    assert sorted(context.ran) == sorted(asked.request_id for asked in context.asked), context.ran
    for states in context.states:
        assert not states["suspect"] + states["relayed"] + states["down"], states


@when("an endpoint takes 600 ms for a repeatable request, and replies are noticed {how_late}")
def answered_late(context, how_late):
    servers = web_servers(2)
    for server in servers:
        server.work_s = 0.6
    sent_ms = []

    def reply_lag_ms(_):
        if "new connection" in how_late:
            return 200.0
        return 400.0 if sent_ms and monotonic_ms() >= sent_ms[0] + 200 else 0.0

    async def play(place):
        sent_ms.append(monotonic_ms())
        context.raw = await place.ask("/again/a", "r0", method="GET")

    with mock.patch.object(LoopMeter, "reply_lag_ms", side_effect=reply_lag_ms):
        on_platform(servers, play)
    context.ran = [request_id for server in servers for request_id in server.ran]


@then("the request is sent once")
def is_sent_once(context):
    assert context.raw.startswith(b"HTTP/1.1 200") and context.ran == ["r0"], (
        context.raw,
        context.ran,
    )


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


@when("six requests of 4 ms wait in the first turn of an event loop")
def first_turn(context):
    context.meter, context.queue = LoopMeter(), StartQueue(RequestCost(4.0))
    context.began_ms = 1_000_000.0
    context.meter.end_wait(context.began_ms, waited=False)
    for key in range(6):
        context.queue.add(key, context.began_ms)


@then("it has room for another one, and none once it had no pause for a second")
def not_saturated(context):
    idle_ms, began_ms = context.meter.idle_ms, context.began_ms
    assert context.queue.has_room(began_ms + 10, idle_ms)
    for key in range(6, 12):
        context.queue.add(key, began_ms + 990)
    assert not context.queue.has_room(began_ms + 1000, idle_ms)
