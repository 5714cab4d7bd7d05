"""Scenarios on the services that plan decode memory, over sockets between nodes."""

import anyio
import attrs
from behave import given, then, when
from memory_steps import CAPACITY, MANY_PREFILLERS, TWO_FIT, ask

from saffronworks.bundles import Role
from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.planning import messages
from saffronworks.forwarding.planning.client import MemoryClient, RunSize
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.planning.tuning import (
    PLANNER_SILENT_MS,
    WARM_UP_MS,
)
from saffronworks.forwarding.routing import EngineSpec, RoutingTable, Service
from saffronworks.forwarding.tuning import (
    NODE_AVOID_MS,
    STARTUP_MS,
    STARTUP_NODE_AVOID_MS,
)
from saffronworks.kernel import Kernel
from saffronworks.peers import PeerService
from saffronworks.standins.addresses import free_address
from saffronworks.tests.revisions import at
from saffronworks.wire import Codec


@attrs.define
class Member:
    """One node's planner and client, with the sockets between nodes."""

    address: str
    directory: Directory
    kernel: Kernel
    client: MemoryClient
    planner: MemoryPlanner


def make_member(tasks, age_ms=STARTUP_MS):
    address, directory = free_address(), Directory()
    decoder = ServiceEndpoint("d0", "s", "127.0.0.1:1", "z", role=Role.DECODE)
    prefillers = [
        ServiceEndpoint(f"p{index}", "s", "127.0.0.1:2", "z", role=Role.PREFILL)
        for index in range(MANY_PREFILLERS)
    ]
    directory.replace([decoder, *prefillers], at(1), now_ms=0)
    spec = EngineSpec(64, CAPACITY, 64, 2000)
    table = RoutingTable(1, (), {"s": Service("s", 10, spec)})
    kernel, peers = Kernel(address, monotonic_ms), PeerService(address, Codec(messages))
    client = MemoryClient(address, monotonic_ms() - age_ms)
    planner = MemoryPlanner(
        directory, lambda: table, lambda: client.choice.cores, address, MetricsRecorder(address)
    )
    kernel.register(peers)
    kernel.register(planner, messages.MemoryAsk, messages.MemoryRelease, messages.MemoryReport)
    kernel.register(
        client,
        messages.MemoryGrant,
        messages.MemoryQueued,
        messages.MemoryDirect,
        messages.MemoryRefusal,
        messages.ReportWanted,
    )
    peers.listen()
    kernel.start(tasks)
    return Member(address, directory, kernel, client, planner)


@when("a node sends a request to a planner that is gone")
def lost_planner(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            member = make_member(tasks)
            await anyio.sleep(0.05)
            member.client.choice.cores = {free_address(): 1.0}
            began_ms = monotonic_ms()
            request = ask("a", reply_to=member.address)
            context.answer = await member.client.ask(request)
            context.took_ms = monotonic_ms() - began_ms
            began_ms = monotonic_ms()
            context.second = await member.client.ask(attrs.evolve(request, request_id="b"))
            context.second_ms = monotonic_ms() - began_ms
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it goes on without it within a tenth of a second, and avoids that planner")
def goes_on_without_planner(context):
    assert context.answer is None and PLANNER_SILENT_MS - 5 <= context.took_ms < 100
    assert context.second is None and context.second_ms < 20, context.second_ms


@when("a node sends two requests with one id to a planner that is gone")
def same_id(context):
    context.answers = []

    async def main():
        async with anyio.create_task_group() as tasks:
            member = make_member(tasks)
            await anyio.sleep(0.05)
            member.client.choice.cores = {free_address(): 1.0}

            async def send():
                request = ask("a", reply_to=member.address)
                context.answers.append(await member.client.ask(request))

            async with anyio.create_task_group() as both:
                both.start_soon(send)
                both.start_soon(send)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it goes on without it for both of them")
def goes_on_both(context):
    assert context.answers == [None, None], context.answers


@when("the first request reaches a planner that has just started with the other nodes")
def first_request_of_all(context):
    async def main():
        async with anyio.create_task_group() as tasks:
            planner, other = (make_member(tasks, age_ms=0) for _ in range(2))
            await anyio.sleep(0.05)
            cores = {planner.address: 2.0, other.address: 1.0}
            planner.client.choice.cores = other.client.choice.cores = cores
            began_ms = monotonic_ms()
            context.answer = await other.client.ask(ask("a", reply_to=other.address))
            context.took_ms = monotonic_ms() - began_ms
            context.plan = planner.planner.plans["s"]
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it grants at once, as each node has reported no runs")
def granted_without_warm_up(context):
    assert isinstance(context.answer, messages.MemoryGrant), context.answer
    assert len(context.plan.nodes) == 2 and context.took_ms < WARM_UP_MS / 3, context.took_ms


@then("a node that has just started avoids a silent planner for a moment only")
def avoided_for_a_moment(context):
    choice = NodeChoice({"a": 1.0, "b": 1.0}, starting_until_ms=STARTUP_MS)
    first = choice.choose("s", 0)
    assert choice.avoid(first, 0) == STARTUP_NODE_AVOID_MS
    assert choice.choose("s", STARTUP_NODE_AVOID_MS - 1) != first
    assert choice.choose("s", STARTUP_NODE_AVOID_MS) == first
    assert choice.avoid(first, STARTUP_MS) == NODE_AVOID_MS


@given("two nodes, one of which is the planner")
def two_members(context):
    context.granted = []


@when("the other node requests more memory than fits")
def requests_too_much(context):
    async def request_one(member, request_id):
        request = ask(
            request_id, prompt=TWO_FIT, likely=1000, reply_to=member.address, returned=True
        )
        answer = await member.client.ask(request)
        context.granted.append((request_id, type(answer)))
        size = RunSize(TWO_FIT, 1000, 10_000)
        member.client.begin(request_id, "s", "d0", size)

    async def main():
        async with anyio.create_task_group() as tasks:
            planner, other = make_member(tasks), make_member(tasks)
            await anyio.sleep(0.05)
            cores = {planner.address: 2.0, other.address: 1.0}
            planner.client.choice.cores = other.client.choice.cores = cores
            warm = await other.client.ask(ask("warm", reply_to=other.address))
            assert isinstance(warm, messages.MemoryGrant), warm
            for _ in range(4):
                await anyio.sleep(WARM_UP_MS / 3000)
                other.client.end(messages.MemoryRelease("warm", "s"))
            for request_id in ("a", "b", "c"):
                tasks.start_soon(request_one, other, request_id)
                await anyio.sleep(0.05)
            await anyio.sleep(0.4)
            context.before = list(context.granted)
            context.waiting = list(planner.planner.plans["s"].waiters)
            other.client.end(messages.MemoryRelease("a", "s", 1000, 800))
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it is granted what fits, and the rest after a release")
def granted_after(context):
    grant = messages.MemoryGrant
    assert context.before == [("a", grant), ("b", grant)], context.before
    assert context.waiting == ["c"], context.waiting
    assert context.granted[-1] == ("c", grant), context.granted
