"""Scenarios on values from outside that must not take effect beyond what they belong to."""

import random
from types import SimpleNamespace
from unittest.mock import patch

import anyio
import msgspec
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st
from result import Err

from saffronworks.explain import read_lines, read_stories
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.endpoint_limits.backoff import LimitBackoff
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.planning import core
from saffronworks.forwarding.planning.messages import LiveRun, MemoryAsk, MemoryGrant, MemoryReport
from saffronworks.forwarding.planning.service import MemoryPlanner
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import NODE_AVOID_MS
from saffronworks.kernel import Kernel
from saffronworks.platform.configuration import read_configuration
from saffronworks.tests.platform_place import CONFIG, engines, on_platform, web_servers
from saffronworks.tests.revisions import at
from saffronworks.tests.service_nodes import MODULES, TABLE, make_endpoints, make_request
from saffronworks.tests.spoiled_plays import VALUES, Spoil, find_fields, find_spread, play, put
from saffronworks.wire import Codec

# Each took effect on other requests once.
KNOWN = (
    Spoil("StoreNews", ("revision",), 10**15),
    Spoil("LimitNews", ("limits", 0, "age_ms"), -(2**53)),
    Spoil("SendAsk", ("limit", "age_ms"), -(2**53)),
    Spoil("SendAnswer", ("retry_after_ms",), 2**53),
    Spoil("QuotaRunAgain", ("cost",), 10**15, number=1),
    Spoil("QuotaAsk", ("cost",), 10**15),
    Spoil("MemoryReport", ("runs", 0, "age_ms"), 2**64 - 1),
    Spoil("MemoryAsk", ("likely_tokens",), 2**53 + 1),
    Spoil("MemoryAsk", ("likely_tokens",), 10**15),
    Spoil("SuspicionNews", ("suspicions", 0, "age_ms"), -(2**53)),
    Spoil("PartNews", ("parts", 0, "sound_age_ms"), -(2**53)),
    Spoil("ReportWanted", ("service",), 10**15, number=2),
)
DRAWN_PLAYS = 24
SEED = 7


@when("one field of a message between three nodes is spoiled, for each value known to spread")
def spoil_known(context):
    context.base = play()
    context.plays = [(spoil, play(spoil)) for spoil in KNOWN]
    missed = [spoil for spoil, found in context.plays if spoil.kind not in found.spoiled]
    assert not missed, missed


@when("one field of a message is spoiled, in plays drawn with a fixed seed")
def spoil_drawn(context):
    rng, context.base = random.Random(SEED), play()
    samples = context.base.samples
    fields = [(kind, path) for kind in sorted(samples) for path in find_fields(samples[kind])]
    drawn = [Spoil(*rng.choice(fields), rng.choice(VALUES), 2) for _ in range(DRAWN_PLAYS)]
    context.plays = [(spoil, play(spoil)) for spoil in drawn]


@then("all other requests end as without it, and no node keeps an effect of it")
def no_spread(context):
    spread = {
        spoil: effects
        for spoil, found in context.plays
        if (effects := find_spread(context.base, spoil, found))
    }
    assert not spread, spread


QUOTA = {
    "name": "o",
    "api_keys": ["key-o"],
    "unit": "tokens",
    "rate_per_s": 10**6,
    "burst": 10**6,
}
HUGE = "9" * 15


@given("a service whose endpoints hold 90,000 tokens, one organisation with a quota, one without")
def token_quota(context):
    context.organised = CONFIG | {"tenants": [QUOTA, {"name": "free", "api_keys": ["key-f"]}]}
    assert CONFIG["services"][1]["engine"]["kv_capacity_tokens"] == 90_000


@when("a caller states a prompt or an answer of 10^15 tokens, between other requests")
def ask_huge(context):
    async def play_requests(place):
        async def ask(name, counts, hint="300", key="key-o"):
            fields = {"Key": key, "Token-Counts": counts, "Length-Hint": hint}
            return await place.ask("/gen/", name, fields, b"prompt")

        # Until its first census a node knows no holder of a quota, and refuses what has one.
        await place.wait_for_planners()
        planner = place.node._kernel.find("memory-planner")
        for number in range(20):
            await ask(f"w{number}", "5000,300")
            if planner.plans:
                break
        context.planner, context.huge, context.others = planner, [], []
        for number in range(2):
            context.huge.append(await ask(f"p{number}", f"{HUGE},300"))
            context.others.append(await ask(f"a{number}", "5000,300"))
            context.huge.append(await ask(f"m{number}", f"100,{HUGE}", HUGE))
            context.others.append(await ask(f"b{number}", "5000,300"))
            context.others.append(await ask(f"f{number}", f"100,{HUGE}", HUGE, "key-f"))

    on_platform([*engines(), *web_servers()], play_requests, config=context.organised)


@then("a prompt that fits nowhere is refused at once, and all other requests are served")
def refused_at_once(context):
    prompts, answers = context.huge[::2], context.huge[1::2]
    for raw in prompts:
        assert raw.startswith(b"HTTP/1.1 413 ") and b"prompt-too-long" in raw, raw
        assert b"retry-after" not in raw.lower(), raw
    # Its counts are beyond any quota of the organisation.
    assert all(raw.startswith(b"HTTP/1.1 429 ") for raw in answers), answers
    assert all(raw.startswith(b"HTTP/1.1 200 ") for raw in context.others), context.others


@then("the planner expects answers that fit into an endpoint")
def plausible_answers(context):
    means = [plan.mean_answer_tokens for plan in context.planner.plans.values()]
    assert means and all(mean <= 90_000 for mean in means), means


def make_ask(name):
    return MemoryAsk(name, "10.0.0.2:7660", "llm", 2000, 400, 600, 0, 500, 2500, False)


def run_planner(context, messages):
    """Send messages to a planner that raises at each step while it knows the request `bad`."""
    table = read_configuration(msgspec.json.encode(TABLE)).ok_value
    directory = Directory()
    for endpoint in make_endpoints():
        directory.put_listed(endpoint, at(1), 0)
    planner = MemoryPlanner(directory, lambda: table, lambda: (), "n", MetricsRecorder("n"))
    step, context.sent, context.planner = core.step, [], planner

    def step_and_raise(state, event, *arguments):
        replies = step(state, event, *arguments)
        if "bad" in {*state.waiters, *state.runs}:
            raise OverflowError
        return replies

    async def main():
        now_ms = SimpleNamespace(value=10_000)
        kernel = context.kernel = Kernel("n", lambda: now_ms.value)
        kernel.register(planner, MemoryAsk, MemoryReport)
        kernel.post = lambda _, message: context.sent.append(message.message)
        outbox = kernel._outboxes[planner.name]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(planner.run, kernel, kernel._inboxes[planner.name])
            outbox.send_nowait(MemoryReport("10.0.0.2:7660", "llm", ()))
            await anyio.wait_all_tasks_blocked()
            # The plan is complete by now.
            now_ms.value += 1000
            for message in messages:
                outbox.send_nowait(message)
            await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    with patch.object(core, "step", step_and_raise):
        anyio.run(main)


@when("one of several requests makes the planner raise before any of them is granted")
def planner_raises(context):
    run_planner(context, [make_ask(name) for name in ("bad", "one", "two")])


@then("the planner grants the others")
def granted_others(context):
    granted = {one.request_id for one in context.sent if isinstance(one, MemoryGrant)}
    assert granted == {"one", "two"}, context.sent


@when("a report brings a run that makes each step of its plan raise")
def report_raises(context):
    run_planner(
        context, [MemoryReport("10.0.0.2:7660", "llm", (LiveRun("bad", "d0@1", 1, 1, 1, 0),))]
    )


@then("the plan is dropped, so that a later request begins a new one")
def plan_dropped(context):
    assert context.kernel.dropped["memory-planner"] == 1 and not context.planner.plans


@when("each node reads a record that raises, between two others")
def read_records(context):
    records = [Suspicion(name, ("e1", "e2", "e3")) for name in ("first", "bad", "last")]
    context.kernel = kernel = Kernel("n", lambda: 0)
    calls, store = SimpleNamespace(), SimpleNamespace()
    context.quarantine = quarantine = Quarantine(
        "n", Directory(), calls, store, random.Random(1), StoreEpoch(), lambda: 0
    )
    handle = quarantine._handle

    def raise_for_bad(event):
        if getattr(getattr(event, "suspicion", None), "content", "") == "bad":
            raise OverflowError
        handle(event)

    async def list_all():
        return records

    quarantine._handle, quarantine._records.list_all = raise_for_bad, list_all
    quarantine._start = lambda *_: None
    kernel.register(quarantine)

    async def main():
        async with anyio.create_task_group() as tasks:
            kernel.start(tasks)
            await anyio.sleep(0.4)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("both others are applied, and no service fails")
def applied_others(context):
    table = context.quarantine._state.table
    assert [bool(table.find(name)) for name in ("first", "bad", "last")] == [True, False, True]
    assert not context.kernel.failures and context.kernel.dropped["quarantine"] == 1
    assert context.quarantine.admit(make_request("r")) is Admission.ALLOWED


@then("it is avoided, unless it has answered others since")
def avoided_if_silent(context):
    choice = NodeChoice({"a": 1.0, "b": 1.0})
    choice.record_answer("a", 95)
    assert choice.record_silence("a", asked_ms=100, now_ms=160) == NODE_AVOID_MS
    assert choice.is_avoided("a", 161)
    choice.record_answer("a", 170)
    assert choice.record_silence("a", asked_ms=165, now_ms=225) == 0
    assert not choice.is_avoided("a", 226)


@then("a message with a negative age or a wait beyond a day is not read")
def out_of_range(context):
    codec, checked = Codec(*MODULES), set()
    for name, body in play().samples.items():
        for path in find_fields(body):
            bad = {"age_ms": -1, "quiet_ms": -1, "waited_ms": -1, "retry_after_ms": 86_400_001}
            if path[-1] not in bad:
                continue
            spoiled = msgspec.msgpack.decode(msgspec.msgpack.encode(body))
            put(spoiled, path, bad[path[-1]])
            found = codec.decode(msgspec.msgpack.encode((name, spoiled)))
            assert isinstance(found, Err), (name, path, found)
            checked.add((name, path[-1]))
    kinds = {kind for kind, _ in checked}
    assert {"LimitNews", "SendAnswer", "QuotaAnswer", "MemoryReport", "PartNews"} <= kinds, checked


@then("a permit that is refused for a day is asked for again within a minute")
def asked_again(context):
    backoff = LimitBackoff(random.Random(1), 3)
    assert 0 < backoff.record_rejection("e", 86_400_000, 0) <= 60_000


LINE = "time=2026-01-01 00:00:00,000 event=answered request=r1 route=a status=200 took_ms=5 "
ODD_LINES = [
    "event=",
    "event= request=r1",
    "re-event=x",
    "\x00event=\ud800",
    "event=refuse request=r1",
]
NUMBERS = st.sampled_from(["", "-", "--5", "\u00b2", "9" * 5000, "1e9", "\u0665", "0x1", "nan"])


@then("requests are explained from all other lines, whatever bytes a line has")
def explained(context):
    @forall(st.lists(st.text() | st.sampled_from(ODD_LINES), max_size=4), NUMBERS)
    def check(odd, number):
        lines = [
            *odd,
            LINE + f"target_ms=9 first_ms={number}",
            f"event=decide request=r1 x={number}",
        ]
        assert all(line.number("x") in (0,) for line in read_lines(lines) if "x" in line.pairs)
        story = read_stories(lines)["r1"]
        assert story.outcome in ("in time", "late") and story.cause is not None
        assert story.waits_ms == {}

    check()
