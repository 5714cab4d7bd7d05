"""Scenarios on fair shares of decode memory, in virtual time."""

import math
import time
from functools import cache
from itertools import pairwise
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.explain import read_stories
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.planning import core, messages
from saffronworks.forwarding.planning.fair_shares import MAX_CLAIMANTS, FairShares
from saffronworks.forwarding.planning.runs import Run
from saffronworks.forwarding.planning.service import MemoryPlanner, _format_share
from saffronworks.forwarding.planning.share_counts import Decision
from saffronworks.recent_service import fair_level
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.share_load import CAPACITY_TOKENS, DECODERS, START_MS, ShareLoad

USUAL_PER_S = 0.8
USUAL = {f"usual-{index}": USUAL_PER_S for index in range(13)}
LARGE = {f"large-{index}": 6 * USUAL_PER_S for index in range(3)}
SEEDS = (1, 2)
EXCESS = "saffronworks.forwarding.planning.fair_shares.FairShares.excess"


def simulate(rates, **changes):
    return [ShareLoad(rates, seed, 16_000, **changes).run() for seed in SEEDS]


@cache
def simulate_large():
    return simulate(USUAL | LARGE)


def held(loads, names):
    return sum(load.held_ms[name] for load in loads for name in names)


def in_time(loads, names):
    served = sum(load.in_time[name] for load in loads for name in names)
    return served / sum(load.asked[name] for load in loads for name in names)


@given("three large organisations with six times the load of thirteen usual ones")
def three_large(context):
    context.loads = simulate_large()


@then("nine in ten requests of the usual organisations are granted in time")
def usual_in_time(context):
    assert in_time(context.loads, USUAL) >= 0.9, in_time(context.loads, USUAL)
    assert min(in_time(context.loads, [name]) for name in USUAL) >= 0.75


@then("each large organisation holds at least as much memory as a usual one, at all times")
def large_share(context):
    each = [held(context.loads, [name]) for name in LARGE]
    assert min(each) >= held(context.loads, USUAL) / len(USUAL), each
    assert max(each) <= 1.5 * min(each), each
    for load in context.loads:
        for name in LARGE:
            gaps = [b - a for a, b in pairwise(load.granted_ms[name])]
            assert max(gaps) <= 3000, (name, gaps)


@then("as much memory is used as without shares")
def utilised(context):
    with patch(EXCESS, return_value=0):
        without = simulate(USUAL | LARGE)
    everyone = USUAL | LARGE
    assert held(context.loads, everyone) >= 0.98 * held(without, everyone)
    assert in_time(without, USUAL) <= in_time(context.loads, USUAL) - 0.15


@given("a large organisation, and one with the same load under two names")
def split(context):
    context.whole = simulate(USUAL | {"large-0": 12.0})
    context.split = simulate(USUAL | {"part-0": 6.0, "part-1": 6.0})


@then("the usual organisations are served nearly as before")
def split_does_not_harm(context):
    before, after = in_time(context.whole, USUAL), in_time(context.split, USUAL)
    assert after >= before - 0.05, (before, after)


@then("neither name holds more memory than the large organisation")
def split_does_not_gain(context):
    whole = held(context.whole, ["large-0"])
    parts = [held(context.split, [f"part-{index}"]) for index in (0, 1)]
    assert max(parts) <= whole and sum(parts) <= 1.1 * whole, (whole, parts)


@given("an organisation that starts while others overload the service")
def newcomer(context):
    context.loads = simulate(USUAL | LARGE | {"new": USUAL_PER_S}, starts_ms={"new": 5000})


@then("its requests are granted in time from the first one on")
def newcomer_in_time(context):
    assert in_time(context.loads, ["new"]) >= 0.9, in_time(context.loads, ["new"])


@given("many requests without an organisation beside usual organisations")
def without_organisation(context):
    context.loads = simulate(USUAL | {"": 16.0})


@then("they share as one organisation, and the usual organisations are in time")
def without_organisation_share(context):
    assert in_time(context.loads, USUAL) >= 0.9, in_time(context.loads, USUAL)
    assert held(context.loads, [""]) >= 3 * held(context.loads, USUAL) / len(USUAL)


@given("two organisations above their shares, one of which retries five times")
def many_retries(context):
    rates = USUAL | {"large-0": 6.0, "large-1": 6.0}
    context.loads = simulate(rates, retries={"large-0": 5, "large-1": 0})


@then("it holds hardly more memory")
def retries_gain_nothing(context):
    insists, other = (held(context.loads, [name]) for name in ("large-0", "large-1"))
    assert insists <= 1.2 * other, (insists, other)
    assert in_time(context.loads, USUAL) >= 0.9


@given("three large organisations while a second planner takes over")
def taken_over(context):
    context.loads = simulate(USUAL | LARGE, take_over_ms=5000)


@then("the usual organisations are still in time")
def in_time_after(context):
    assert in_time(context.loads, USUAL) >= in_time(simulate_large(), USUAL) - 0.05


@then("the memory of reported runs counts from the start")
def reported_memory_counts(context):
    plan = core.PlanState(0, CAPACITY_TOKENS, 12, last_event_ms=START_MS)
    runs = tuple(
        messages.LiveRun(f"{index}", f"d{index % 4}", 3200, 640, 999, 0, organisation="large")
        for index in range(44)
    )
    core.step(plan, messages.MemoryReport("n", "s", runs), DECODERS, START_MS)
    asks = [make_ask(f"a{index}", ("large", "usual")[index % 2]) for index in range(20)]
    for ask in asks:
        core.step(plan, ask, DECODERS, START_MS + 1)
    offers = plan.order.offers(plan.waiters.values(), START_MS + 60)
    assert [w.ask.organisation for w in offers][:2] == ["usual", "usual"]
    assert plan.shares.excess("large", 55, START_MS + 60) >= 1


def make_ask(request_id, organisation, priority=55, tokens=3200):
    sizes = (tokens, 640, 999, 0, 500, 3000, False)
    return messages.MemoryAsk(
        request_id, "n", "s", *sizes, priority=priority, organisation=organisation
    )


EVENTS = st.lists(
    st.tuples(st.integers(0, 60), st.integers(0, 3), st.integers(1, 9000), st.booleans()),
    max_size=60,
)


def run_events(events, organisations, capacity=12_000, slots=12, prefillers=()):
    """Return the replies to requests, each followed by a tick or the end of the oldest run."""
    plan = core.PlanState(0, capacity, slots, last_event_ms=START_MS)
    plan.prefill.prefillers = dict.fromkeys(prefillers, "z")
    now_ms, replies = START_MS, []
    for index, (gap_ms, which, tokens, ends) in enumerate(events):
        now_ms += gap_ms
        priority = 55 if organisations > 1 else which * 11
        ask = make_ask(f"r{index}", f"o{which % organisations}", priority, tokens)
        replies.append(core.step(plan, ask, DECODERS, now_ms))
        event = core.Tick()
        if ends and plan.runs:
            event = messages.MemoryRelease(next(iter(plan.runs)), "s")
        replies.append(core.step(plan, event, DECODERS, now_ms))
    return replies


@then("requests of one organisation with any priorities are planned as without shares")
def one_organisation(context):
    @forall(EVENTS)
    def check(events):
        with patch(EXCESS, return_value=0):
            without = run_events(events, 1)
        assert run_events(events, 1) == without

    check()


@then("requests of many organisations are also planned so while there is room for all")
def room_for_all(context):
    room = {"capacity": 10**9, "slots": 99, "prefillers": [f"p{index}" for index in range(99)]}

    @forall(EVENTS)
    def check(events):
        with patch(EXCESS, return_value=0):
            without = run_events(events, 4, **room)
        assert run_events(events, 4, **room) == without

    check()


def roomy_plan(**changes):
    plan = core.PlanState(START_MS, 10**9, 99, last_event_ms=START_MS, **changes)
    plan.prefill.prefillers = {"p0": "z"}
    return plan


@then("requests that waited for a new plan are granted in the order of their arrival")
def not_scarce(context):
    plan = roomy_plan(nodes=("n",))
    for name in ("large", "usual"):
        core.step(plan, make_ask(name, name), DECODERS, START_MS + 1)
    sizes = ("d0", 3200, 640, 999, 0)
    runs = tuple(messages.LiveRun(f"{i}", *sizes, organisation="large") for i in range(9))
    core.step(plan, messages.MemoryReport("n", "s", runs), DECODERS, START_MS + 2)
    granted = core.step(plan, core.Tick(), DECODERS, START_MS + 3)
    assert [reply.message.request_id for reply in granted] == ["large", "usual"], granted


@then("a grant that found no room is charged once")
def charged_once(context):
    plan = roomy_plan()
    plan.began_ms = 0
    for _ in range(3):
        core.step(plan, make_ask("r", "a"), DECODERS, START_MS)
        plan.full_until_ms.clear()
    assert plan.runs and plan.shares._granted.of((55, "a"), START_MS) == 1.0


AMOUNTS = st.floats(0, 1e6)


@then("the level for unknown demands is the mean times a factor")
def unknown_demands(context):
    @forall(AMOUNTS, st.integers(1, 99), st.floats(0.1, 9))
    def check(total, count, factor):
        assert fair_level(total, [math.inf] * count, factor) == max(1.0, factor * total / count)

    check()


@then("the level for known demands divides the whole service by max-min fairness")
def known_demands(context):
    @forall(st.lists(st.floats(1, 1e6), min_size=1), st.floats(0.01, 1))
    def shared(demands, part):
        total = part * sum(demands)
        level = fair_level(total, demands)
        given_out = sum(min(demand, level) for demand in demands)
        assert level == 1.0 or math.isclose(given_out, total, rel_tol=1e-6)

    shared()


@given("a plan with requests of 29,000 organisations")
def many(context):
    context.shares, context.names = FairShares(), [f"o{index}" for index in range(29_000)]
    waiting = core.PlanState(0, 1, 1)
    for index, name in enumerate(context.names):
        ask = make_ask(name, name)
        context.shares.record_request(ask, index // 20)
        context.shares.record_grant(ask, index // 20)
    for name in context.names[:400]:
        core._enqueue(waiting, make_ask(name, name), 1500)
    context.runs = {name: Run("d0", "n", 1, 1, 1, 0, organisation=name) for name in DECODERS}
    context.waiters = waiting.waiters


@then("its state is bounded, and an update takes some milliseconds")
def bounded(context):
    shares = context.shares
    assert len(shares._granted.served) <= MAX_CLAIMANTS
    assert len(shares.counts.granted) <= MAX_CLAIMANTS and len(shares.counts.decisions) <= 512
    shares.record_unserved(context.waiters)
    took_s = []
    for at_ms in range(2000, 8000, 500):
        began_s = time.process_time()
        shares.update(context.runs, context.waiters, at_ms)
        took_s.append(time.process_time() - began_s)
    assert 0 < min(took_s) < 0.02, took_s
    shares.update(context.runs, {}, 60_000)
    assert not shares._granted.served


@then("its log lines and metrics are bounded")
def bounded_output(context):
    planner = MemoryPlanner(SimpleNamespace(revision=0), None, None, "n", MetricsRecorder("n"))
    plan = core.PlanState(0, 1, 1, "s", shares=context.shares, waiters=context.waiters)
    with LogLines("saffronworks.forwarding.planning.service") as lines:
        planner._log_shares(plan, 10_000)
    assert len(lines) == 8 and all("event=plan_share service=s" in text for text in lines), lines
    assert len(planner._figures.counts) <= 2 * 65 and len(planner._figures.share_levels) <= 2 * 65
    waiting = [
        v for (name, _), v in planner._figures.share_levels.items() if name.endswith("waiting")
    ]
    assert sum(waiting) == len(context.waiters), sum(waiting)
    plan.waiters = {}
    planner._log_shares(plan, 10_020, last=True)
    assert not any(planner._figures.share_levels.values()), "an idle planner left values"


@then("the planner's log line and saffronctl explain show the excess of its organisation")
def explained(context):
    decision = Decision("r", 55, "acme", 2)
    line = f"event=plan request=r do=MemoryRefusal(request_id='r'){_format_share(decision)}"
    rejection = "event=refuse request=r status=503 reason=memory-full"
    story = read_stories([line, rejection])["r"]
    assert (story.organisation, story.excess) == ("acme", 2)
    assert story.cause == "memory-full, planned, organisation beyond its share", story.cause
    assert _format_share(Decision("r", 55, "", 0)) == ""
