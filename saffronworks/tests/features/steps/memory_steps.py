"""Scenarios on the core of the planner of decode memory."""

from unittest.mock import Mock, patch

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding.planning import core, messages, plans, runs
from saffronworks.forwarding.planning.prefill import PrefillPlan
from saffronworks.forwarding.planning.tuning import (
    EJECTION_MS,
    FIRST_REJECTION_MS,
    LOCAL_PREFILL_FACTOR,
    LOCAL_PREFILL_GAP_MS,
    LOCAL_PREFILL_MEMORY_SHARE,
    MARGIN_ANSWERS,
    MAX_MARGIN_SHARE,
    MAX_RESEND_MS,
    PLAN_EVERY_MS,
    PREFILL_MS_PER_TOKEN,
    REPORT_EVERY_MS,
    REPORT_LAPSE_MS,
    REPORTS_RETRY_MS,
    REPORTS_WAIT_MS,
    WAITER_LAPSE_MS,
    WARM_UP_MS,
)
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_MIN_MS,
)

CAPACITY = 90_000
START_MS = 10_000
SLOTS = 64
MANY_PREFILLERS = 200
# The size of a prompt of which two fit into an endpoint's planned memory, but not three.
TWO_FIT = int(0.34 * CAPACITY)


def ask(request_id, prompt=5000, likely=4000, **changes):
    values = {
        "reply_to": "n1",
        "service": "s",
        "most_tokens": 10_000,
        "waited_ms": 0,
        "in_time_ms": 700,
        "patience_ms": 3000,
        "returned": False,
    }
    return messages.MemoryAsk(
        request_id, prompt_tokens=prompt, likely_tokens=likely, **{**values, **changes}
    )


def warm_plan():
    return core.PlanState(
        began_ms=0,
        capacity_tokens=CAPACITY,
        slots=SLOTS,
        last_event_ms=START_MS,
        prefill=PrefillPlan({f"p{index}": "z" for index in range(MANY_PREFILLERS)}),
    )


def granted(replies):
    return [r.message for r in replies if isinstance(r.message, messages.MemoryGrant)]


def rejected(replies):
    return [r.message for r in replies if isinstance(r.message, messages.MemoryRefusal)]


SIZES = st.lists(st.tuples(st.integers(1, 40), st.integers(0, 30)), min_size=1, max_size=7)


@then("for any runs the forecast peak is that of a token-by-token simulation")
def peak_of_simulation(context):
    @forall(SIZES)
    def check(sizes):
        peak = 0
        for tick in range(32):
            alive = [now + tick for now, more in sizes if tick <= more]
            peak = max(peak, sum(alive))
        forecast = runs.projected_peak([(float(now), float(more)) for now, more in sizes])
        assert forecast == peak, (forecast, peak)

    check()


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "release", "wait"]),
        st.integers(200, 12_000),
        st.integers(100, 9000),
    ),
    max_size=40,
)


@then("for any requests, releases and ticks, forecast peaks leave the margin free")
def peaks_within_margin(context):
    @forall(EVENTS)
    def check(events):
        plan, now_ms, last = warm_plan(), START_MS, 0
        for kind, prompt, likely in events:
            now_ms += 5
            match kind:
                case "ask":
                    last += 1
                    event = ask(f"r{last}", prompt, likely)
                case "release":
                    event = messages.MemoryRelease(f"r{last}", "s")
                case _:
                    now_ms += 40
                    event = core.Tick()
            replies = core.step(plan, event, {"d0": "z", "d1": "z"}, now_ms)
            for grant in granted(replies):
                present = [
                    run.growth(plan.lengths, plan.ms_per_token, now_ms)
                    for run in plan.runs.values()
                    if run.instance == grant.instance
                ]
                peak = runs.projected_peak(present)
                assert peak <= plan.limit_tokens + 1 or len(present) == 1, peak

    check()


@then("the margin holds the same number of answers for a small memory as for a large one")
def same_margin(context):
    for capacity in (60_000, 200_000):
        plan = core.PlanState(0, capacity, SLOTS, mean_answer_tokens=4000.0)
        assert capacity - plan.limit_tokens == MARGIN_ANSWERS * 4000
    plan = core.PlanState(0, 10_000, SLOTS, mean_answer_tokens=4000.0)
    assert plan.limit_tokens == (1 - MAX_MARGIN_SHARE) * 10_000


@given("a plan whose only endpoint is full")
def full_plan(context):
    plan = context.plan = warm_plan()
    for index in range(40):
        core.step(plan, ask(f"full{index}", returned=True), {"d0": "z"}, START_MS)
    plan.waiters.clear()
    context.granted = len(plan.runs)
    assert 5 <= context.granted <= 12, context.granted


def free_one(plan, now_ms):
    return core.step(plan, messages.MemoryRelease("full0", "s"), {"d0": "z"}, now_ms)


@then("a retry is ordered among first attempts by its deadline")
def retry_by_deadline(context):
    for returned_ms, first_ms, expected in ((500, 800, "returned"), (800, 500, "first")):
        plan = warm_plan()
        for index in range(40):
            core.step(plan, ask(f"full{index}", returned=True), {"d0": "z"}, START_MS)
        plan.waiters.clear()
        retry = ask("returned", returned=True, in_time_ms=returned_ms)
        core.step(plan, retry, {"d0": "z"}, START_MS + 1)
        core.step(plan, ask("first", in_time_ms=first_ms), {"d0": "z"}, START_MS + 2)
        grants = granted(free_one(plan, START_MS + 3))
        assert [grant.request_id for grant in grants] == [expected], grants


@then("a late request is not granted before an in-time one")
def late_after_in_time(context):
    plan = context.plan
    core.step(plan, ask("late", returned=True, in_time_ms=-500), {"d0": "z"}, START_MS + 1)
    core.step(plan, ask("in-time"), {"d0": "z"}, START_MS + 2)
    assert [grant.request_id for grant in granted(free_one(plan, START_MS + 3))] == ["in-time"]


@then("requests forecast too late are rejected, with ever longer retry delays")
def rejected_with_delays(context):
    plan = context.plan
    for index in range(4):
        core.step(
            plan, ask(f"new{index}", in_time_ms=FIRST_REJECTION_MS), {"d0": "z"}, START_MS + 10
        )
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + 11 + FIRST_REJECTION_MS)
    times = [rejection.retry_after_ms for rejection in rejected(replies)]
    assert len(times) == 4 and times == sorted(times), times
    assert times[0] >= RETRY_AFTER_MIN_MS


@then("a late retry is not rejected")
def retry_not_rejected(context):
    plan = context.plan
    for after_ms in (200, 900, 1500):
        assert not rejected(core.step(plan, core.Tick(), {"d0": "z"}, START_MS + after_ms))
    assert "late" in plan.waiters


@given("a plan with free memory and a single prefiller")
def single_prefiller(context):
    context.plan = warm_plan()
    context.plan.prefill.prefillers = {"p0": "z"}


@then("a request that fits is not rejected while its prefill is forecast in time")
def not_rejected(context):
    plan = warm_plan()
    plan.prefill.prefillers = {"p0": "z"}
    for index in range(5):
        core.step(plan, ask(f"r{index}"), {"d0": "z"}, START_MS)
    waiting = set(plan.waiters)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + FIRST_REJECTION_MS)
    assert waiting and not rejected(replies), replies


@then("a request is rejected if only endpoints short of memory could prefill it in time")
def no_prefill_in_time(context):
    plan = warm_plan()
    plan.prefill.prefillers = {"p0": "z"}
    plan.prefill.add("busy", "p0", 100_000, START_MS)
    taken = int((LOCAL_PREFILL_MEMORY_SHARE + 0.05) * plan.limit_tokens)
    plan.runs["old"] = runs.Run("d0", "n1", taken, 10, 10, START_MS)
    core.step(plan, ask("a", 5000, 500), {"d0": "z"}, START_MS)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + FIRST_REJECTION_MS)
    assert [rejection.request_id for rejection in rejected(replies)] == ["a"], replies


@then("memory is granted at the rate of prefill, the earliest deadline first")
def granted_at_prefill_rate(context):
    plan, grants = context.plan, []
    for index in range(6):
        grants += granted(
            core.step(plan, ask(f"r{index}", in_time_ms=900 - index), {"d0": "z"}, START_MS)
        )
    first_count = len(grants)
    assert 1 < first_count < 6, grants
    now_ms = START_MS + int(2 * 5000 * PREFILL_MS_PER_TOKEN)
    grants += granted(core.step(plan, core.Tick(), {"d0": "z"}, now_ms))
    assert [grant.request_id for grant in grants[first_count:]][0] == "r5", grants


@then("an endpoint without a free slot gets no grant, however much memory is free")
def slots_are_limited(context):
    plan = warm_plan()
    plan.slots = 2
    replies = []
    for index in range(3):
        replies += core.step(plan, ask(f"r{index}", 100, 100), {"d0": "z"}, START_MS)
    assert len(granted(replies)) == 2 and list(plan.waiters) == ["r2"]


@given("a plan with two prefillers in different zones")
def two_prefillers(context):
    context.plan = warm_plan()
    context.plan.prefill.prefillers = {"far": "y", "near": "z"}


@then("prompts go to the prefiller in the same zone first, then to the one that is free first")
def same_zone_first(context):
    prefillers = []
    for index in range(4):
        replies = core.step(context.plan, ask(f"r{index}"), {"d0": "z"}, START_MS)
        prefillers += [grant.reader for grant in granted(replies)]
    assert prefillers == ["near", "far", "near", "far"], prefillers


@then("without prefillers each decode endpoint prefills one prompt at a time")
def one_prefill_at_a_time(context):
    plan = warm_plan()
    plan.prefill.prefillers = {}
    decoders = {"d0": "z", "d1": "z"}
    grants = []
    for index in range(4):
        grants += granted(core.step(plan, ask(f"r{index}"), decoders, START_MS))
    assert sorted(grant.instance for grant in grants) == ["d0", "d1"], grants
    assert all(grant.reader == grant.instance for grant in grants)
    later_ms = (
        START_MS
        + int(LOCAL_PREFILL_FACTOR * PREFILL_MS_PER_TOKEN * 5000 + LOCAL_PREFILL_GAP_MS)
        + 1
    )
    assert len(granted(core.step(plan, core.Tick(), decoders, later_ms))) == 2


@then("local prefill is used while prefillers are busy, on endpoints with much free memory only")
def local_prefill_with_free_memory(context):
    for taken_share, grants in ((0.4, 1), (LOCAL_PREFILL_MEMORY_SHARE, 0)):
        plan = warm_plan()
        plan.prefill.prefillers = {"p0": "z"}
        plan.prefill.add("busy", "p0", 50_000, START_MS)
        plan.runs["old"] = runs.Run("d0", "n1", int(taken_share * CAPACITY), 10, 10, START_MS)
        got = granted(core.step(plan, ask("a", 5000, 500), {"d0": "z"}, START_MS))
        assert [grant.reader for grant in got] == ["d0"] * grants, (taken_share, got)


@then("an endpoint that failed a request gets no grant for a while")
def ejected(context):
    plan = warm_plan()
    failed = ask("a", avoid=("d0",), broken=("d0",))
    first = granted(core.step(plan, failed, {"d0": "z", "d1": "z"}, START_MS))
    second = granted(core.step(plan, ask("b"), {"d0": "z", "d1": "z"}, START_MS + 1))
    assert [grant.instance for grant in first + second] == ["d1", "d1"]
    later = granted(core.step(plan, ask("c"), {"d0": "z", "d1": "z"}, START_MS + EJECTION_MS))
    assert later[0].instance == "d0"


@given("a plan with many full endpoints and many waiters")
def many_full_endpoints(context):
    plan = context.plan = warm_plan()
    context.decoders = {f"d{index}": "z" for index in range(14)}
    for index in range(14 * 7):
        run = runs.Run(f"d{index % 14}", "n1", 8000, 4000, 9000, START_MS)
        plan.runs[f"full{index}"] = run
    for index in range(40):
        core.step(plan, ask(f"r{index}", in_time_ms=0), context.decoders, START_MS)
    assert len(plan.waiters) == 40


def count_peaks(plan, event, decoders, now_ms):
    """Return how many peaks a step computes."""
    compute_peaks = Mock(wraps=runs.projected_peak)
    with (
        patch.object(plans, "projected_peak", compute_peaks),
        patch.object(runs, "projected_peak", compute_peaks),
    ):
        core.step(plan, event, decoders, now_ms)
    return compute_peaks.call_count


@then("a tick computes a few peaks for each endpoint at most, and a report none")
def few_peaks(context):
    plan, decoders = context.plan, context.decoders
    assert count_peaks(plan, report("n1", "full0"), decoders, START_MS + 1) == 0
    deciding_ms = START_MS + FIRST_REJECTION_MS
    assert count_peaks(plan, core.Tick(), decoders, deciding_ms) <= 3 * len(decoders)


@given("a planner that receives its first request")
def first_request(context):
    context.plan = core.PlanState(
        began_ms=START_MS, capacity_tokens=CAPACITY, slots=SLOTS, last_event_ms=START_MS
    )


def answer_to(plan, request_id, now_ms):
    replies = core.step(plan, ask(request_id), {"d0": "z"}, now_ms)
    return type(replies[0].message)


@then("until the warm-up is over it lets requests go on without it")
def goes_on_without_plan(context):
    assert answer_to(context.plan, "a", START_MS) is messages.MemoryDirect
    assert answer_to(context.plan, "b", START_MS + WARM_UP_MS - 1) is messages.MemoryDirect
    assert answer_to(context.plan, "c", START_MS + WARM_UP_MS) is messages.MemoryGrant


def granted_in(replies):
    return [r.message.request_id for r in replies if isinstance(r.message, messages.MemoryGrant)]


@then("it plans as soon as each node has reported, with or without runs")
def all_have_reported(context):
    plan = core.PlanState(START_MS, CAPACITY, SLOTS, "s", "n1:1", nodes=("n1:1", "n2:1"))
    first, second, waits = core.step(plan, ask("a"), {"d0": "z"}, START_MS)
    wanted = messages.ReportWanted("s", "n1:1")
    assert (first.message, second.message) == (wanted, wanted)
    assert (first.address, second.address) == plan.nodes
    assert isinstance(waits.message, messages.MemoryQueued)
    core.step(plan, messages.MemoryReport("n1:1", "s", ()), {"d0": "z"}, START_MS + 1)
    core.step(plan, messages.MemoryReport("n2:1", "s", ()), {"d0": "z"}, START_MS + 2)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + 3)
    assert granted_in(replies) == ["a"], "a waiter is granted once all nodes have reported"
    core.step(plan, messages.MemoryRelease("a", "s"), {"d0": "z"}, START_MS + 4)
    assert answer_to(plan, "b", START_MS + WARM_UP_MS - 1) is messages.MemoryGrant


@then("requests that wait for the report of a lost node go on without the planner after a moment")
def lost_node(context):
    plan = core.PlanState(START_MS, CAPACITY, SLOTS, "s", "n1:1", nodes=("n1:1", "n2:1"))
    core.step(plan, ask("a"), {"d0": "z"}, START_MS)
    core.step(plan, messages.MemoryReport("n1:1", "s", ()), {"d0": "z"}, START_MS + 1)
    assert not core.step(plan, core.Tick(), {"d0": "z"}, START_MS + REPORTS_RETRY_MS - 1)
    (again,) = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + REPORTS_RETRY_MS)
    assert again == core.Reply("n2:1", messages.ReportWanted("s", "n1:1")), "asked once more"
    assert not core.step(plan, core.Tick(), {"d0": "z"}, START_MS + REPORTS_WAIT_MS - 1)
    (reply,) = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + REPORTS_WAIT_MS)
    assert reply.message == messages.MemoryDirect("a") and not plan.waiters
    assert answer_to(plan, "b", START_MS + REPORTS_WAIT_MS) is messages.MemoryDirect


@then("after a suspension it warms up again")
def suspended(context):
    later_ms = START_MS + WARM_UP_MS + REPORT_LAPSE_MS + 1
    assert answer_to(context.plan, "d", later_ms) is messages.MemoryDirect


def report(node, request_id):
    run = messages.LiveRun(request_id, "d0", 5000, 4000, 9000, age_ms=300)
    return messages.MemoryReport(node, "s", (run,))


@given("a standby planner with the reports of many short runs")
def short_runs(context):
    """Runs end within a quarter of a second, so each report lists other ones."""
    context.plan = plan = warm_plan()
    for number in range(4):
        context.now_ms = START_MS + number * REPORT_EVERY_MS
        core.step(plan, report("n1", f"short{number}"), {"d0": "z"}, context.now_ms)


@then("it counts the runs of the latest report only")
def latest_report_only(context):
    assert list(context.plan.runs) == ["short3"], context.plan.runs


@then("a grant that is newer than a report still counts")
def newer_than_report(context):
    decoders, now_ms = {"d0": "z"}, context.now_ms
    assert granted(core.step(context.plan, ask("crossed"), decoders, now_ms))
    core.step(context.plan, report("n1", "short4"), decoders, now_ms + 1)
    assert set(context.plan.runs) == {"crossed", "short4"}, context.plan.runs
    core.step(context.plan, report("n1", "crossed"), decoders, now_ms + REPORT_EVERY_MS)
    core.step(context.plan, report("n1", "short5"), decoders, now_ms + 2 * REPORT_EVERY_MS)
    assert set(context.plan.runs) == {"short5"}, "the report without the run ends it"


@given("a plan with runs of two nodes, of which one no longer reports")
def two_nodes(context):
    plan = context.plan = warm_plan()
    core.step(plan, report("n1", "a"), {"d0": "z"}, START_MS)
    for now_ms in range(START_MS, START_MS + 2 * REPORT_LAPSE_MS, 400):
        core.step(plan, report("n2", "b"), {"d0": "z"}, now_ms)
        core.step(plan, core.Tick(), {"d0": "z"}, now_ms)


@given("a full plan, and a request that waits for it")
def waits_for_full_plan(context):
    context.plan = plan = warm_plan()
    for name in ("full0", "full1"):
        core.step(plan, ask(name, TWO_FIT, reply_to="n2"), {"d0": "z"}, START_MS)
    core.step(plan, ask("waits", TWO_FIT), {"d0": "z"}, START_MS)
    assert list(plan.waiters) == ["waits"]


@then("it stops waiting when its node reports its run, which stays where it is")
def stops_waiting(context):
    plan = context.plan
    run = messages.LiveRun("waits", "d1", 5000, 4000, 9000, age_ms=1)
    core.step(plan, messages.MemoryReport("n2", "s", (run,)), {"d0": "z"}, START_MS + 1)
    assert plan.waiters, "another request with this id runs at another node"
    core.step(plan, messages.MemoryReport("n1", "s", (run,)), {"d0": "z"}, START_MS + 1)
    replies = core.step(plan, messages.MemoryRelease("full0", "s"), {"d0": "z"}, START_MS + 2)
    assert not granted(replies) and not plan.waiters, (replies, plan.waiters)
    assert plan.runs["waits"].instance == "d1"


@given("a full plan, and requests of two nodes, of which one no longer asks for its own")
def waiters_of_lost_node(context):
    """The lost node asks first, and the other one every second."""
    plan, decoders = warm_plan(), {"d0": "z"}
    context.plan, context.lapsed_ms = plan, START_MS + WAITER_LAPSE_MS + PLAN_EVERY_MS
    for name in ("full0", "full1"):
        core.step(plan, ask(name, TWO_FIT), decoders, START_MS)
    changes = {"patience_ms": 8000, "in_time_ms": 4000, "returned": True}
    for name in ("lost0", "lost1", "lost2"):
        core.step(plan, ask(name, TWO_FIT, reply_to="n2", **changes), decoders, START_MS)
    for now_ms in range(START_MS, context.lapsed_ms, PLAN_EVERY_MS):
        core.step(plan, core.Tick(), decoders, now_ms)
        if (now_ms - START_MS) % MAX_RESEND_MS == 0:
            runs_of_n1 = report("n1", "full0").runs + report("n1", "full1").runs
            core.step(plan, messages.MemoryReport("n1", "s", runs_of_n1), decoders, now_ms)
            core.step(plan, ask("waits", TWO_FIT, **changes), decoders, now_ms)
    assert "lost0" in plan.waiters, "its node may be late"


@then("memory that becomes free goes to the request of the other node at once")
def granted_to_other(context):
    plan, decoders = context.plan, {"d0": "z"}
    core.step(plan, core.Tick(), decoders, context.lapsed_ms)
    replies = core.step(plan, messages.MemoryRelease("full0", "s"), decoders, context.lapsed_ms)
    assert granted_in(replies) == ["waits"], (replies, plan.waiters)


@then("only the runs of the other node remain")
def only_other(context):
    assert list(context.plan.runs) == ["b"], context.plan.runs
