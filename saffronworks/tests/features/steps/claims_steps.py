"""Scenarios on claims: the core under store faults, and a site with two entry nodes."""

import anyio
import attrs
import httpcore
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st
from site_steps import QUICK, SLOW, loaded_engine, on_site

from saffronworks import claims
from saffronworks.callers import ask, expected_answer
from saffronworks.claims import Claim, ClaimRecord, ClaimState
from saffronworks.sites import SiteShape

KEYED = {"x-unrepeatable": "true", "idempotency-key": "bill-17", "x-organisation": "o"}


@attrs.define
class FaultyStore:
    """One object. Each fault is used up by one call."""

    faults: list
    version: int = 0
    record: ClaimRecord | None = None

    def act(self, command, request_id):
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            return claims.Outage()
        if not isinstance(command, claims.Write):
            return claims.Found(self.version, self.record) if self.record else claims.Missing()
        if command.expected != self.version:
            return claims.Moved()
        if fault == "drop":
            return claims.Lost()
        self.version, self.record = self.version + 1, ClaimRecord(request_id, "n")
        return claims.Lost() if fault == "lose" else claims.Written(self.version)


@given("any order of claims, lost replies and outages on one key")
def any_claims(context):
    faults = st.lists(st.sampled_from(("none", "lose", "drop", "down")), max_size=20)
    order = st.lists(st.integers(0, 3), min_size=1, max_size=40)
    context.plans = st.tuples(faults, order, st.sets(st.integers(0, 3)))


@then("at most one of the requests may run, and a settled one makes room")
def at_most_one(context):
    runs = []

    @forall(context.plans)
    def run(plan):
        faults, order, refused = plan
        store = FaultyStore(list(faults))
        states = [Claim(f"r{index}") for index in range(4)]
        commands = [claims.start(state) for state in states]
        ran = set()
        for index in [*order, *sorted(list(range(4)) * 12)]:
            command = commands[index]
            if isinstance(command, claims.Claimed):
                settled = index in refused and store.record.request_id == f"r{index}"
                if settled and store.record.state is ClaimState.OPEN and index not in ran:
                    store.version += 1
                    store.record = ClaimRecord(f"r{index}", "n", ClaimState.NOT_RUN)
                elif index not in refused:
                    ran.add(index)
            elif isinstance(command, claims.Read | claims.Write | claims.BackOff):
                commands[index] = claims.step(states[index], store.act(command, f"r{index}"))
        assert len(ran) <= 1, (ran, commands)
        runs.append(len(ran))

    run()
    assert any(runs), "no order let any request run"


def send(context, name, address, prompt="bill me", tokens=400):
    async def go():
        async with httpcore.AsyncConnectionPool() as pool:
            setattr(context, name, await ask(pool, address, prompt, tokens, headers=KEYED))

    return go


def count_dispatches(site):
    return sum(count for engine in site.engines.values() for count in engine.dispatches.values())


@when("an unrepeatable request with a key loses its node and is sent to another")
def loses_node(context):
    async def play(site, tasks):
        first, second = site.nodes[0], site.nodes[1]
        async with anyio.create_task_group() as both:
            both.start_soon(send(context, "first", first.caller_address))
            await loaded_engine(site)
            first.kill()
        await send(context, "second", second.caller_address)()
        context.dispatches = [count_dispatches(site)]

    on_site(context, SiteShape(profile=SLOW, max_tokens=400), play)


@then("the second is told unknown")
def second_unknown(context):
    assert context.second.outcome == "unknown", context.second


@when("an unrepeatable request with a key comes in a store outage")
def in_outage(context):
    async def play(site, tasks):
        address = site.nodes[0].caller_address
        site.store.outage = True
        await send(context, "refused", address, tokens=16)()
        context.dispatches = [count_dispatches(site)]
        site.store.outage = False
        await send(context, "answer", address, tokens=16)()

    on_site(context, SiteShape(profile=QUICK), play)


@then("it is told not run and nothing was dispatched")
def told_not_run(context):
    assert context.refused.outcome == "not-run", context.refused
    assert context.dispatches == [0]


@then("when the store is back the same key runs")
@then("it is answered whole")
def answered(context):
    assert context.answer.text == expected_answer("bill me", 16), context.answer


@when("an unrepeatable request with a key comes while the store loses a reply")
def loses_reply(context):
    async def play(site, tasks):
        site.store.lose_replies = 1
        await send(context, "answer", site.nodes[0].caller_address, tokens=16)()

    on_site(context, SiteShape(profile=QUICK), play)


@when("one plain call with a key is sent through two nodes")
def plain_twice(context):
    async def play(site, tasks):
        context.replies = []
        async with httpcore.AsyncConnectionPool() as pool:
            for node in site.nodes[:2]:
                url = f"http://{node.caller_address}/profiles/1"
                headers = [(k.encode(), v.encode()) for k, v in KEYED.items()]
                headers.append((b"x-call-id", b"once"))
                reply = await pool.request("POST", url, headers=headers, content=b"{}")
                outcome = dict(reply.headers).get(b"saffronworks-outcome", b"").decode()
                context.replies.append((reply.status, outcome))
        context.runs = sum(plain.calls.get("once", 0) for plain in site.plains)

    on_site(context, SiteShape(), play)


@then("the service ran it once and the second is told unknown")
def plain_once(context):
    assert context.runs == 1, context.runs
    assert context.replies == [(200, "completed"), (409, "unknown")], context.replies
