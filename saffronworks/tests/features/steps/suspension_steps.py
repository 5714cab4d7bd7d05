"""Scenarios on a suspended VM, simulated by the clocks of this process."""

import asyncio
import re
import time
from contextlib import contextmanager
from pathlib import Path
from random import Random
from unittest.mock import Mock, patch

import anyio
from behave import then, when

import saffronworks
from saffronworks import clocks
from saffronworks.bundles import Role
from saffronworks.forwarding import role_core
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.paths.peers import RelayPeer
from saffronworks.forwarding.paths.service import make_paths
from saffronworks.forwarding.paths.table import PathState
from saffronworks.forwarding.planning.core import PlanState, Tick
from saffronworks.forwarding.planning.core import step as plan_step
from saffronworks.tests.endpoint_fixtures import endpoints

SUSPENDED_S = 30
# A node has periodic work at least this often, so that its event loop reads the clock.
TICK_S = 0.02
CLOCKS = re.compile(
    r"time\.(monotonic|perf_counter|time|clock_gettime)(_ns)?\(|asyncio\.run\(|anyio\.run\("
)
# Stand-ins and tests are not part of the product. The wall time of an answer's `created` field is
# not used to measure a duration.
OUTSIDE = ("tests", "standins")
WALL_TIME = '"created": int(time.time())'


@contextmanager
def suspended(for_s):
    """Advance the clocks that include suspensions by `for_s` within the context."""
    read_s, read_ns = time.clock_gettime, time.clock_gettime_ns

    def ahead_s(clock):
        return read_s(clock) + (for_s if clock == time.CLOCK_BOOTTIME else 0)

    def ahead_ns(clock):
        return read_ns(clock) + (for_s * 10**9 if clock == time.CLOCK_BOOTTIME else 0)

    with patch("time.clock_gettime", ahead_s), patch("time.clock_gettime_ns", ahead_ns):
        yield


@when("a VM is suspended for 30 seconds")
def suspend(context):
    context.before_ms = clocks.monotonic_ms()
    context.pool = ConnectionPool("id")
    (context.endpoint,) = endpoints(1, Role.DECODE, "d")
    context.connection = Mock(finished=True, reusable=True, has_input=False, keep_alive_ms=10_000.0)
    context.connection.matcher.carried.full = False
    context.pool.release(context.endpoint, context.connection)
    with suspended(SUSPENDED_S):
        context.after_ms = clocks.monotonic_ms()
        context.idle = context.pool._find_idle(context.endpoint, None, False)


@then("the clock of its node includes them")
def clock_shows(context):
    passed_ms = context.after_ms - context.before_ms
    assert SUSPENDED_S * 1000 <= passed_ms < SUSPENDED_S * 1000 + 500, passed_ms


@then("a duty, a plan and an idle connection of its node have expired")
def all_expired(context):
    before_ms, after_ms = context.before_ms, context.after_ms
    state = role_core.RoleState("n", 3000, 300)
    role_core.step(state, role_core.DutyTaken(7, took_over=False), before_ms)
    assert after_ms - state.duty_changed_ms > role_core.CONFIRMATION_VALID_MS
    plan = PlanState(before_ms - 5000, 90_000, 8)
    plan.last_event_ms = before_ms
    assert plan.is_complete(before_ms)
    plan_step(plan, Tick(), {}, after_ms)
    assert not plan.is_complete(after_ms), "the plan is used although it missed the suspension"
    assert context.idle is None, "the connection is reused although the endpoint has closed it"


@when("a VM is suspended for 30 seconds while a node waits for 30")
def suspend_wait(context):
    async def main():
        began_s = time.monotonic()
        with anyio.move_on_after(SUSPENDED_S):
            await anyio.sleep(TICK_S)
            with suspended(SUSPENDED_S), anyio.move_on_after(SUSPENDED_S / 2):
                await anyio.sleep(SUSPENDED_S)
        context.took_s = time.monotonic() - began_s

    with suspended(0):
        clocks.run(main)


@then("the wait ends at once")
def wait_over(context):
    assert context.took_s < 1, context.took_s


@then("no module of the product except clocks.py reads a clock or starts an event loop")
def one_clock(context):
    root = Path(saffronworks.__file__).parent
    found = []
    for path in sorted(root.rglob("*.py")):
        if path.relative_to(root).parts[0] in OUTSIDE or path.name == "clocks.py":
            continue
        lines = path.read_text(encoding="utf-8").splitlines()
        found += [
            f"{path.relative_to(root)}: {line.strip()}"
            for line in lines
            if CLOCKS.search(line) and WALL_TIME not in line
        ]
    assert not found, "\n".join(found)


@when("a node is suspended for 700, 900 and 1500 ms while it connects to an endpoint that accepts")
def suspended_while_connecting(context):
    context.connected, context.states = [], []

    async def accept(reader, writer):
        await reader.read()
        writer.close()

    async def connect(port, suspended_s):
        paths = make_paths(Directory(), "Request-Id", "z", Random(1), clocks.monotonic_ms)
        paths.peers.update_peers({"127.0.0.1:1": RelayPeer("127.0.0.1:1", 1.0, "z")})
        endpoint = ServiceEndpoint(f"i-{suspended_s}", "web", f"127.0.0.1:{port}", "z")
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(acquire, paths, endpoint, f"r{number}")
            await anyio.sleep(0)
            time.sleep(suspended_s)
        context.states.append(paths.table.state(endpoint.instance, clocks.monotonic_ms()))

    async def acquire(paths, endpoint, request_id):
        try:
            connection = await paths.connector.acquire(endpoint, request_id)
        except ExchangeError as error:
            context.connected.append(error.cause)
            return
        context.connected.append("direct" if connection.relayed_by is None else "relayed")
        connection.close()

    async def play():
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        for suspended_s in (0.7, 0.9, 1.5):
            await connect(server.sockets[0].getsockname()[1], suspended_s)
        server.close()

    clocks.run(play)


@then("each request gets a direct connection, and the path stays in use")
def connected_after_all(context):
    assert context.connected == ["direct"] * 15, context.connected
    assert context.states == [PathState.DIRECT] * 3, context.states


@when("a process is suspended for {span_ms:d} ms {often} while nothing replies for 300 ms")
def suspended_again(context, span_ms, often):
    async def suspend_often():
        while True:
            await anyio.sleep(0.01)
            time.sleep(span_ms / 1000)
            if often == "once":
                break

    async def play():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(suspend_often)
            began_ms = clocks.monotonic_ms()
            try:
                async with clocks.running_timeout(300):
                    await anyio.sleep_forever()
            except TimeoutError:
                context.ended_ms = clocks.monotonic_ms() - began_ms
            tasks.cancel_scope.cancel()

    clocks.run(play)


@then("its timeout ends within {limit_ms:d} ms")
def ends_after_all(context, limit_ms):
    assert context.ended_ms < limit_ms, context.ended_ms
