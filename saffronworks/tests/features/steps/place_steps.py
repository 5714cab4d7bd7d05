"""Steps on what a generation reports to the planner, without sockets."""

from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when
from result import Err, Ok

from saffronworks.bundles import Role
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
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
from saffronworks.tests.endpoint_fixtures import (
    eligibility_of_one_node,
    endpoints,
    limits_of_one_node,
    route,
    wide_budget,
)
from saffronworks.tests.revisions import at

PROMPT = PromptSize(3000, 700, 600)


def node_state(reports, grants, holds):
    """Return a node whose planner and engines give these answers; `reports` records its calls."""
    (decoder,) = endpoints(1, Role.DECODE, "d")
    (reader,) = endpoints(1, Role.PREFILL, "p")
    directory = Directory()
    directory.replace([decoder, reader], at(1), now_ms=0)
    memory = Mock(own_address="n")
    memory.ask = AsyncMock(side_effect=lambda ask: (reports.append("ask"), grants.pop(0))[1])
    memory.begin = lambda *_: reports.append("begin")
    memory.end_prefill = lambda ended: reports.append("read" if ended.whole else "not read")
    memory.end = lambda _: reports.append("end")
    calls = Mock()
    calls.take_hold = AsyncMock(side_effect=holds)
    calls.prefill = AsyncMock(return_value=Ok(KvHandle(reader, "h", 3000)))
    calls.find_fault_site = AsyncMock(return_value=FaultSite.ENDPOINT)
    calls.open_stream = AsyncMock(side_effect=ExchangeError(ExchangeErrorCause.CONNECT, sent=False))
    budget, quarantine = wide_budget(), Mock(blocks=lambda *_: False)
    loads, idle = LoadTable("z"), Mock()
    identities, quotas = Authenticator(lambda: True), Mock()
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
        identities,
        quotas,
        limits,
        eligibility_of_one_node(directory, limits),
    )


def reports_of(grants, holds):
    reports = []
    node = node_state(reports, grants, holds)
    request = CallerRequest("r1", "POST", "/a/1", "h", (), b"", 0, 14_000, PROMPT)
    job = Job(request, route(timeout_ms=14_000, target_ms=900), "s", Mock(refuse=AsyncMock()), 1)
    anyio.run(run_generation, node, job, PROMPT, EngineSpec(64, 41_000, 9, 2000), 14_000)
    return reports


def hold():
    return Ok(KvHold(endpoints(1, Role.DECODE, "d")[0], "k", 2000))


@when("the planner grants memory, the prompt is prefilled, and the decode endpoint is unreachable")
def grant_then_fail(context):
    grant, refusal = MemoryGrant("r1", "d0", "p0"), MemoryRefusal("r1", 2000)
    context.reports = reports_of([grant, refusal], [hold()])


@then("the prefill is reported to the planner, and the end only when the memory is released")
def check_end_reported_once(context):
    assert context.reports == ["ask", "begin", "read", "end", "ask", "end"], context.reports


@then("after a rejected hold the planner is asked again without reporting an end")
def check_asks_again(context):
    grants = [MemoryGrant("r1", "d0", "p0"), MemoryRefusal("r1", 2000)]
    assert reports_of(grants, [Err(NotExecuted("full"))]) == ["ask", "ask", "end"]
