"""Scenarios on what a generation tells the planner about its place, without sockets."""

from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when
from result import Err, Ok

from saffronworks.bundles import Role
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.generation_runner import run_generation
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import (
    CallerRequest,
    KvHandle,
    KvHold,
    NotExecuted,
    PromptSize,
)
from saffronworks.forwarding.planning.messages import MemoryGrant, MemoryRefusal
from saffronworks.forwarding.routing import EngineSpec
from saffronworks.forwarding.runners import Job, NodeState
from saffronworks.tests.endpoint_plays import (
    eligibility_of_one_node,
    endpoints,
    limits_of_one_node,
    route,
    wide_budget,
)
from saffronworks.tests.revisions import at

PROMPT = PromptSize(3000, 700, 600)


def node_state(told, grants, holds):
    """A node whose planner and engines give these answers; `told` notes what the planner hears."""
    (decoder,) = endpoints(1, Role.DECODE, "d")
    (reader,) = endpoints(1, Role.PREFILL, "p")
    directory = Directory()
    directory.replace([decoder, reader], at(1), now_ms=0)
    memory = Mock(own_address="n")
    memory.ask = AsyncMock(side_effect=lambda ask: (told.append("ask"), grants.pop(0))[1])
    memory.begin = lambda *_: told.append("begin")
    memory.end_reading = lambda ended: told.append("read" if ended.whole else "not read")
    memory.end = lambda _: told.append("end")
    calls = Mock()
    calls.take_hold = AsyncMock(side_effect=holds)
    calls.prefill = AsyncMock(return_value=Ok(KvHandle(reader, "h", 3000)))
    calls.open_stream = AsyncMock(side_effect=ExchangeError(ExchangeErrorCause.CONNECT, sent=False))
    budget, quarantine = wide_budget(), Mock(blocks=lambda *_: False)
    loads, idle = LoadTable("z"), Mock()
    whose, quotas = Authenticator(lambda: True), Mock()
    limits = limits_of_one_node()
    return NodeState(
        "z",
        directory,
        loads,
        budget,
        calls,
        Mock(),
        lambda: 10,
        idle,
        memory,
        quarantine,
        whose,
        quotas,
        limits,
        eligibility_of_one_node(directory, limits),
    )


def told_of(grants, holds):
    told = []
    node = node_state(told, grants, holds)
    request = CallerRequest("r1", "POST", "/a/1", "h", (), b"", 0, 14_000, PROMPT)
    job = Job(request, route(timeout_ms=14_000, target_ms=900), "s", Mock(refuse=AsyncMock()), 1)
    anyio.run(run_generation, node, job, PROMPT, EngineSpec(64, 41_000, 9, 2000), 14_000)
    return told


def hold():
    return Ok(KvHold(endpoints(1, Role.DECODE, "d")[0], "k", 2000))


@when("a node is granted a place, has the prompt read there, and then finds no way to the endpoint")
def granted_then_broken(context):
    grant, refusal = MemoryGrant("r1", "d0", "p0"), MemoryRefusal("r1", 2000)
    context.told = told_of([grant, refusal], [hold()])


@then("the planner hears of the reading, and of the end only when the place is given up")
def end_once(context):
    assert context.told == ["ask", "begin", "read", "end", "ask", "end"], context.told


@then("a place without room is asked for again without telling an end")
def asks_again(context):
    grants = [MemoryGrant("r1", "d0", "p0"), MemoryRefusal("r1", 2000)]
    assert told_of(grants, [Err(NotExecuted("full"))]) == ["ask", "ask", "end"]
