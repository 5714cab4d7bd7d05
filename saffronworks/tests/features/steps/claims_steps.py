"""Claims: the state machine under store faults, and a site with two entry nodes."""

from unittest.mock import Mock

import anyio
import attrs
import httpcore
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from saffronworks import claims
from saffronworks.claim_service import ClaimService
from saffronworks.claims import ClaimRecord, ClaimShard
from saffronworks.messages import ClaimReply, ClaimSettle
from saffronworks.standins.callers import ask, expected_answer
from saffronworks.standins.sites import SiteShape
from saffronworks.tests.plays import QUICK, SLOW, loaded_engine, on_site

MOST_CALLS = 50
KEYED = {"x-unrepeatable": "true", "idempotency-key": "bill-17", "x-organisation": "o"}


@attrs.define
class FaultyStore:
    """A store of one object. Each call consumes one fault; a late write applies after others."""

    faults: list
    version: int = 0
    records: dict = attrs.Factory(dict)
    late: list = attrs.Factory(list)
    writes: int = 0

    def act(self, command):
        fault = self.faults.pop(0) if self.faults else "none"
        if fault == "down":
            return claims.Unavailable()
        if isinstance(command, claims.Read):
            return claims.ReadDone(self.version, dict(self.records))
        if fault == "late":
            self.late.append(command)
            return claims.WriteLost()
        if fault == "drop":
            return claims.WriteLost()
        done = self.apply(command)
        return claims.WriteLost() if fault == "lose" else done

    def apply(self, command):
        if command.expected != self.version:
            return claims.WriteConflict()
        self.writes += 1
        self.version += 1
        self.records = dict(command.records)
        return claims.WriteDone(self.version)


@attrs.define
class ClaimWorld:
    """Two owners of one shard, four requests on two keys, and messages in any order."""

    store: FaultyStore
    refused: set
    owners: list = attrs.Factory(lambda: [ClaimShard(), ClaimShard()])
    calls: list = attrs.Factory(list)
    answers: list = attrs.Factory(list)
    decided: dict = attrs.Factory(dict)
    ran: list = attrs.Factory(list)
    now_ms: int = 1_000_000

    def feed(self, owner, event):
        for command in claims.step(self.owners[owner], event, self.now_ms):
            if isinstance(command, claims.Answer):
                self.answers.append(command)
            else:
                self.calls.append((owner, command))

    def settle_calls(self):
        """Answer all store calls; owners with conflicting writes must finish in `MOST_CALLS`."""
        for _ in range(MOST_CALLS):
            if not self.calls:
                return
            caller, command = self.calls.pop(0)
            self.feed(caller, self.store.act(command))
        raise AssertionError("the owners keep calling the store")

    def act(self, action, number):
        key, request_id = f"k{number % 2}", f"r{number % 4}"
        owner = number // 4 % 2
        self.now_ms += 40
        match action:
            case "ask" if request_id not in self.decided:
                self.feed(owner, claims.ClaimRequested(key, request_id, "n"))
            case "store" if self.calls:
                caller, command = self.calls.pop(number % len(self.calls))
                self.feed(caller, self.store.act(command))
            case "answer" if self.answers:
                self.receive_answer(self.answers.pop(number % len(self.answers)), owner)
            case "wait":
                self.now_ms += 400
                self.feed(owner, claims.Tick())
            case "late" if self.store.late:
                self.store.apply(self.store.late.pop(0))

    def receive_answer(self, answer, owner):
        """Act as the entry node: the first answer counts, and is settled if nothing ran."""
        if answer.request_id in self.decided:
            return
        self.decided[answer.request_id] = answer.result
        if isinstance(answer.result, claims.Claimed) and answer.request_id not in self.refused:
            self.ran.append((answer.key, answer.request_id))
        elif not isinstance(answer.result, claims.Denied):
            self.feed(owner, claims.Settled(answer.key, answer.request_id))


FAULTS = st.lists(st.sampled_from(("none", "none", "lose", "drop", "down", "late")), max_size=20)
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(("ask", "ask", "store", "store", "answer", "wait", "late")),
        st.integers(0, 7),
    ),
    min_size=10,
    max_size=120,
)


@given("any order of claims, lost replies, late writes and outages at two shard owners")
def any_claims(context):
    context.plans = st.tuples(FAULTS, ACTIONS, st.sets(st.sampled_from(("r0", "r1"))))


@then("at most one request of a key may run, and a settled claim frees its key")
def at_most_one(context):
    runs = []

    @settings(max_examples=400)
    @forall(context.plans)
    def run(plan):
        faults, actions, refused = plan
        world = ClaimWorld(FaultyStore(list(faults)), refused)
        for action, number in [*actions, *[("ask", 2), ("store", 0), ("answer", 0)] * 4]:
            world.act(action, number)
        keys = [key for key, _ in world.ran]
        assert len(keys) == len(set(keys)), world.ran
        runs.append((len(keys), bool(refused & world.decided.keys())))

    run()
    assert any(count for count, _ in runs), "no order let any request run"
    assert any(count and settled for count, settled in runs), "no settled key was claimed again"


@when("{count:d} requests with keys of one shard arrive while the shard is read")
def group(context, count):
    state, now_ms = ClaimShard(), 1_000_000
    context.store = FaultyStore([])
    calls, answers = [], []

    def feed(event):
        for command in claims.step(state, event, now_ms):
            (answers if isinstance(command, claims.Answer) else calls).append(command)

    for index in range(count):
        feed(claims.ClaimRequested(f"k{index}", f"r{index}", "n"))
    while calls:
        feed(context.store.act(calls.pop(0)))
    context.results = answers
    context.state = state


@then("all are recorded by one write")
def one_write(context):
    assert context.store.writes == 1
    assert all(answer.result == claims.Claimed() for answer in context.results)
    assert len(context.results) == len(context.store.records)


@then("the next batch is written only after the write interval")
def gathered(context):
    early = claims.step(context.state, claims.ClaimRequested("next", "r", "n"), 1_000_000 + 1)
    assert not early, early
    due_ms = 1_000_000 + claims.WRITE_INTERVAL_MS
    (write,) = claims.step(context.state, claims.Tick(), due_ms)
    claims.step(context.state, context.store.act(write), due_ms)
    assert "next" in context.store.records


@given("a shard with two owners")
def two_owners(context):
    context.world = ClaimWorld(FaultyStore([]), set())


@when("both owners get claims in turn")
def asked_in_turn(context):
    world = context.world
    for number in range(6):
        world.feed(number % 2, claims.ClaimRequested(f"k{number}", f"r{number}", "n"))
        world.settle_calls()
        world.now_ms += claims.WRITE_INTERVAL_MS


@then("both record their claims, and each sees those of the other")
def both_record(context):
    world = context.world
    assert [answer.result for answer in world.answers] == [claims.Claimed()] * 6
    world.feed(0, claims.ClaimRequested("k5", "other", "n"))
    world.settle_calls()
    assert world.answers[-1].result == claims.Denied("r5", "n")


@then("the next write after the retention time omits expired claims")
def pruned(context):
    later_ms = 1_000_000 + claims.WRITE_INTERVAL_MS + claims.CLAIM_KEPT_MS
    commands = claims.step(context.state, claims.ClaimRequested("new", "r", "n"), later_ms)
    assert [list(command.records) for command in commands] == [["new"]], commands


@then("an expired key is free even if no write has removed it")
def old_key_free(context):
    state = ClaimShard(version=3, records={"k": ClaimRecord("r", "n", 0)})
    early = claims.step(state, claims.ClaimRequested("k", "other", "n"), claims.CLAIM_KEPT_MS - 1)
    assert [command.result for command in early] == [claims.Denied("r", "n")]
    (write,) = claims.step(state, claims.ClaimRequested("k", "other", "n"), claims.CLAIM_KEPT_MS)
    assert write.records["k"].request_id == "other"


@then("a full shard rejects new keys and still answers recorded ones")
def full_shard(context):
    records = {f"k{i}": ClaimRecord(f"r{i}", "n", 0) for i in range(claims.MAX_CLAIMS)}
    state = ClaimShard(version=3, records=records)
    new = claims.step(state, claims.ClaimRequested("new", "r", "n"), 10)
    assert [command.result for command in new] == [claims.Unrecorded()]
    known = claims.step(state, claims.ClaimRequested("k7", "other", "n"), 10)
    assert [command.result for command in known] == [claims.Denied("r7", "n")]


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


@when("a claim is cancelled before and after its reply has come")
def cancelled(context):
    kernel, service = Mock(node="n"), ClaimService(Mock())
    service._kernel, context.service = kernel, service
    context.sent = kernel.find.return_value.send

    async def play():
        for replied in (False, True):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.claim, claims.claim_key("o", "k"), f"r{replied}")
                await anyio.wait_all_tasks_blocked()
                if replied:
                    service._handle(kernel, ClaimReply(claims.claim_key("o", "k"), "rTrue", True))
                tasks.cancel_scope.cancel()

    anyio.run(play)


@then("the owner of the key is told each time that the request did not run")
def told_not_run(context):
    messages = [call.args[2] for call in context.sent.call_args_list]
    settled = [each.request_id for each in messages if isinstance(each, ClaimSettle)]
    assert settled == ["rFalse", "rTrue"], messages
    assert not context.service._results, "a reply that nobody reads is kept"
