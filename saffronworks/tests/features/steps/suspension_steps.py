"""Scenarios on a suspended VM, simulated by the clocks of this process."""

import re
import time
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import Mock, patch

import anyio
from behave import then, when

import saffronworks
from saffronworks import clocks
from saffronworks.bundles import Role
from saffronworks.forwarding import role_core
from saffronworks.forwarding.connection_pool import ConnectionPool
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
