"""Scenarios on the planner of decode memory, its core and both of its services."""

from unittest.mock import Mock, patch

from behave import given, then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding.planning import core, messages, plans, runs
from saffronworks.forwarding.planning.reading import ReadingPlan
from saffronworks.forwarding.planning.tuning import (
    DECIDE_AFTER_MS,
    HEAR_MS,
    MARGIN_ANSWERS,
    MOST_MARGIN_SHARE,
    OWN_READ_FACTOR,
    OWN_READ_GAP_MS,
    OWN_READ_MEMORY_SHARE,
    READ_MS_PER_TOKEN,
    REPORT_EVERY_MS,
    REPORT_LAPSE_MS,
    SHUN_MS,
    WARM_UP_MS,
)
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_MIN_MS,
)

CAPACITY = 90_000
START_MS = 10_000
SLOTS = 64
MANY_READERS = 200
# A prompt of which two fit into an endpoint's planned memory, and no third.
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
        heard_ms=START_MS,
        reading=ReadingPlan({f"p{index}": "z" for index in range(MANY_READERS)}),
    )


def granted(replies):
    return [r.message for r in replies if isinstance(r.message, messages.MemoryGrant)]


def refused(replies):
    return [r.message for r in replies if isinstance(r.message, messages.MemoryRefusal)]


SIZES = st.lists(st.tuples(st.integers(1, 40), st.integers(0, 30)), min_size=1, max_size=7)


@then("for any runs the foreseen peak is that of a token by token play")
def same_peak(context):
    @forall(SIZES)
    def check(sizes):
        peak = 0
        for tick in range(32):
            alive = [now + tick for now, more in sizes if tick <= more]
            peak = max(peak, sum(alive))
        foreseen = runs.projected_peak([(float(now), float(more)) for now, more in sizes])
        assert foreseen == peak, (foreseen, peak)

    check()


MOVES = st.lists(
    st.tuples(
        st.sampled_from(["ask", "ask", "ask", "release", "wait"]),
        st.integers(200, 12_000),
        st.integers(100, 9000),
    ),
    max_size=40,
)


@then("whatever is asked, released and reported, foreseen peaks leave the margin free")
def within_share(context):
    @forall(MOVES)
    def check(moves):
        plan, now_ms, last = warm_plan(), START_MS, 0
        for what, prompt, likely in moves:
            now_ms += 5
            match what:
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


@then("a small memory keeps room for as many answers beyond the plan as a large one")
def same_margin(context):
    for capacity in (60_000, 200_000):
        plan = core.PlanState(0, capacity, SLOTS, usual_tokens=4000.0)
        assert capacity - plan.limit_tokens == MARGIN_ANSWERS * 4000
    plan = core.PlanState(0, 10_000, SLOTS, usual_tokens=4000.0)
    assert plan.limit_tokens == (1 - MOST_MARGIN_SHARE) * 10_000


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


@then("one who returned takes its turn with those who come first, by the time that each has left")
def returned_in_turn(context):
    for returned_ms, first_ms, expected in ((500, 800, "returned"), (800, 500, "first")):
        plan = warm_plan()
        for index in range(40):
            core.step(plan, ask(f"full{index}", returned=True), {"d0": "z"}, START_MS)
        plan.waiters.clear()
        back = ask("returned", returned=True, in_time_ms=returned_ms)
        core.step(plan, back, {"d0": "z"}, START_MS + 1)
        core.step(plan, ask("first", in_time_ms=first_ms), {"d0": "z"}, START_MS + 2)
        grants = granted(free_one(plan, START_MS + 3))
        assert [grant.request_id for grant in grants] == [expected], grants


@then("a late one does not pass one who can be in time")
def late_behind(context):
    plan = context.plan
    core.step(plan, ask("late", returned=True, in_time_ms=-500), {"d0": "z"}, START_MS + 1)
    core.step(plan, ask("in-time"), {"d0": "z"}, START_MS + 2)
    assert [grant.request_id for grant in granted(free_one(plan, START_MS + 3))] == ["in-time"]


@then("one whose turn is not foreseen in time is told to return, later ones later")
def told_to_return(context):
    plan = context.plan
    for index in range(4):
        core.step(plan, ask(f"new{index}", in_time_ms=DECIDE_AFTER_MS), {"d0": "z"}, START_MS + 10)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + 11 + DECIDE_AFTER_MS)
    times = [refusal.retry_after_ms for refusal in refused(replies)]
    assert len(times) == 4 and times == sorted(times), times
    assert times[0] >= RETRY_AFTER_MIN_MS


@then("one who returned is kept waiting")
def kept_waiting(context):
    plan = context.plan
    for after_ms in (200, 900, 1500):
        assert not refused(core.step(plan, core.Tick(), {"d0": "z"}, START_MS + after_ms))
    assert "late" in plan.waiters


@given("a plan with free memory and a single reader")
def single_reader(context):
    context.plan = warm_plan()
    context.plan.reading.readers = {"p0": "z"}


@then("one who fits is not refused while its reading is foreseen in time")
def not_refused(context):
    plan = warm_plan()
    plan.reading.readers = {"p0": "z"}
    for index in range(5):
        core.step(plan, ask(f"r{index}"), {"d0": "z"}, START_MS)
    waiting = set(plan.waiters)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + DECIDE_AFTER_MS)
    assert waiting and not refused(replies), replies


@then("one whom only endpoints short of memory could read for in time is told to return")
def not_read_in_time(context):
    plan = warm_plan()
    plan.reading.readers = {"p0": "z"}
    plan.reading.count("busy", "p0", 100_000, START_MS)
    taken = int((OWN_READ_MEMORY_SHARE + 0.05) * plan.limit_tokens)
    plan.runs["old"] = runs.Run("d0", "n1", taken, 10, 10, START_MS)
    core.step(plan, ask("a", 5000, 500), {"d0": "z"}, START_MS)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + DECIDE_AFTER_MS)
    assert [refusal.request_id for refusal in refused(replies)] == ["a"], replies


@then("places are granted as fast as prompts are read, the most pressing first")
def as_fast_as_read(context):
    plan, names = context.plan, []
    for index in range(6):
        names += granted(
            core.step(plan, ask(f"r{index}", in_time_ms=900 - index), {"d0": "z"}, START_MS)
        )
    early = len(names)
    assert 1 < early < 6, names
    now_ms = START_MS + int(2 * 5000 * READ_MS_PER_TOKEN)
    names += granted(core.step(plan, core.Tick(), {"d0": "z"}, now_ms))
    assert [grant.request_id for grant in names[early:]][0] == "r5", names


@then("an endpoint whose slots are taken gets nothing, however much memory is free")
def slots_count(context):
    plan = warm_plan()
    plan.slots = 2
    replies = []
    for index in range(3):
        replies += core.step(plan, ask(f"r{index}", 100, 100), {"d0": "z"}, START_MS)
    assert len(granted(replies)) == 2 and list(plan.waiters) == ["r2"]


@given("a plan with two readers in different zones")
def two_readers(context):
    context.plan = warm_plan()
    context.plan.reading.readers = {"far": "y", "near": "z"}


@then("prompts go to the nearer one first, then to the one that is free first")
def near_first(context):
    readers = []
    for index in range(4):
        replies = core.step(context.plan, ask(f"r{index}"), {"d0": "z"}, START_MS)
        readers += [grant.reader for grant in granted(replies)]
    assert readers == ["near", "far", "near", "far"], readers


@then("without readers each decode endpoint reads one prompt at a time")
def one_at_a_time(context):
    plan = warm_plan()
    plan.reading.readers = {}
    decoders = {"d0": "z", "d1": "z"}
    names = []
    for index in range(4):
        names += granted(core.step(plan, ask(f"r{index}"), decoders, START_MS))
    assert sorted(grant.instance for grant in names) == ["d0", "d1"], names
    assert all(grant.reader == grant.instance for grant in names)
    later_ms = START_MS + int(OWN_READ_FACTOR * READ_MS_PER_TOKEN * 5000 + OWN_READ_GAP_MS) + 1
    assert len(granted(core.step(plan, core.Tick(), decoders, later_ms))) == 2


@then("while readers are busy a decode endpoint reads by itself only if much of its memory is free")
def reads_with_free_memory(context):
    for taken_share, grants in ((0.4, 1), (OWN_READ_MEMORY_SHARE, 0)):
        plan = warm_plan()
        plan.reading.readers = {"p0": "z"}
        plan.reading.count("busy", "p0", 50_000, START_MS)
        plan.runs["old"] = runs.Run("d0", "n1", int(taken_share * CAPACITY), 10, 10, START_MS)
        got = granted(core.step(plan, ask("a", 5000, 500), {"d0": "z"}, START_MS))
        assert [grant.reader for grant in got] == ["d0"] * grants, (taken_share, got)


@then("an endpoint that failed a request gets nothing for a while")
def shunned(context):
    plan = warm_plan()
    failed = ask("a", avoid=("d0",), broken=("d0",))
    first = granted(core.step(plan, failed, {"d0": "z", "d1": "z"}, START_MS))
    second = granted(core.step(plan, ask("b"), {"d0": "z", "d1": "z"}, START_MS + 1))
    assert [grant.instance for grant in first + second] == ["d1", "d1"]
    later = granted(core.step(plan, ask("c"), {"d0": "z", "d1": "z"}, START_MS + SHUN_MS))
    assert later[0].instance == "d0"


@given("a plan with many endpoints that are all full, and many who wait")
def many_full(context):
    plan = context.plan = warm_plan()
    context.decoders = {f"d{index}": "z" for index in range(14)}
    for index in range(14 * 7):
        run = runs.Run(f"d{index % 14}", "n1", 8000, 4000, 9000, START_MS)
        plan.runs[f"full{index}"] = run
    for index in range(40):
        core.step(plan, ask(f"r{index}", in_time_ms=0), context.decoders, START_MS)
    assert len(plan.waiters) == 40


def looks_at(plan, event, decoders, now_ms):
    """How many peaks a step foresees."""
    foresee = Mock(wraps=runs.projected_peak)
    with (
        patch.object(plans, "projected_peak", foresee),
        patch.object(runs, "projected_peak", foresee),
    ):
        core.step(plan, event, decoders, now_ms)
    return foresee.call_count


@then("a tick looks at each endpoint a few times at most, and a report at none")
def few_looks(context):
    plan, decoders = context.plan, context.decoders
    assert looks_at(plan, report("n1", "full0"), decoders, START_MS + 1) == 0
    deciding_ms = START_MS + DECIDE_AFTER_MS
    assert looks_at(plan, core.Tick(), decoders, deciding_ms) <= 3 * len(decoders)


@given("a planner that is asked for the first time")
def first_ask(context):
    context.plan = core.PlanState(
        began_ms=START_MS, capacity_tokens=CAPACITY, slots=SLOTS, heard_ms=START_MS
    )


def answer_to(plan, request_id, now_ms):
    replies = core.step(plan, ask(request_id), {"d0": "z"}, now_ms)
    return type(replies[0].message)


@then("it sends the asker to the endpoints until it has heard the reports")
def sends_on(context):
    assert answer_to(context.plan, "a", START_MS) is messages.MemoryDirect
    assert answer_to(context.plan, "b", START_MS + WARM_UP_MS - 1) is messages.MemoryDirect
    assert answer_to(context.plan, "c", START_MS + WARM_UP_MS) is messages.MemoryGrant


def granted_in(replies):
    return [r.message.request_id for r in replies if isinstance(r.message, messages.MemoryGrant)]


@then("not any more once each node has told what runs there, be it nothing")
def each_has_told(context):
    plan = core.PlanState(START_MS, CAPACITY, SLOTS, "s", "n1:1", nodes=("n1:1", "n2:1"))
    first, second, waits = core.step(plan, ask("a"), {"d0": "z"}, START_MS)
    wanted = messages.ReportWanted("s", "n1:1")
    assert (first.message, second.message) == (wanted, wanted)
    assert (first.address, second.address) == plan.nodes
    assert isinstance(waits.message, messages.MemoryQueued)
    core.step(plan, messages.MemoryReport("n1:1", "s", ()), {"d0": "z"}, START_MS + 1)
    core.step(plan, messages.MemoryReport("n2:1", "s", ()), {"d0": "z"}, START_MS + 2)
    replies = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + 3)
    assert granted_in(replies) == ["a"], "who waited is served once all have told"
    core.step(plan, messages.MemoryRelease("a", "s"), {"d0": "z"}, START_MS + 4)
    assert answer_to(plan, "b", START_MS + WARM_UP_MS - 1) is messages.MemoryGrant


@then("who waited for a node that is gone is sent on in a moment")
def sent_on(context):
    plan = core.PlanState(START_MS, CAPACITY, SLOTS, "s", "n1:1", nodes=("n1:1", "n2:1"))
    core.step(plan, ask("a"), {"d0": "z"}, START_MS)
    core.step(plan, messages.MemoryReport("n1:1", "s", ()), {"d0": "z"}, START_MS + 1)
    assert not core.step(plan, core.Tick(), {"d0": "z"}, START_MS + HEAR_MS - 1)
    (sent_on,) = core.step(plan, core.Tick(), {"d0": "z"}, START_MS + HEAR_MS)
    assert sent_on.message == messages.MemoryDirect("a") and not plan.waiters
    assert answer_to(plan, "b", START_MS + HEAR_MS) is messages.MemoryDirect


@then("after it stood still it does so again")
def stood_still(context):
    later_ms = START_MS + WARM_UP_MS + REPORT_LAPSE_MS + 1
    assert answer_to(context.plan, "d", later_ms) is messages.MemoryDirect


def report(node, request_id):
    run = messages.LiveRun(request_id, "d0", 5000, 4000, 9000, age_ms=300)
    return messages.MemoryReport(node, "s", (run,))


@given("a second planner that heard the reports of many short runs")
def short_runs(context):
    """Of runs that end within a quarter of a second, each report lists others."""
    context.plan = plan = warm_plan()
    for number in range(4):
        context.now_ms = START_MS + number * REPORT_EVERY_MS
        core.step(plan, report("n1", f"short{number}"), {"d0": "z"}, context.now_ms)


@then("it counts those of the newest report alone")
def newest_alone(context):
    assert list(context.plan.runs) == ["short3"], context.plan.runs


@then("a grant that a report crossed on its way is counted on")
def crossed(context):
    decoders, now_ms = {"d0": "z"}, context.now_ms
    assert granted(core.step(context.plan, ask("crossed"), decoders, now_ms))
    core.step(context.plan, report("n1", "short4"), decoders, now_ms + 1)
    assert set(context.plan.runs) == {"crossed", "short4"}, context.plan.runs
    core.step(context.plan, report("n1", "crossed"), decoders, now_ms + REPORT_EVERY_MS)
    core.step(context.plan, report("n1", "short5"), decoders, now_ms + 2 * REPORT_EVERY_MS)
    assert set(context.plan.runs) == {"short5"}, "its end was told by the report, if not heard"


@given("a plan with runs of two nodes of which one reports no more")
def two_nodes(context):
    plan = context.plan = warm_plan()
    core.step(plan, report("n1", "a"), {"d0": "z"}, START_MS)
    for now_ms in range(START_MS, START_MS + 2 * REPORT_LAPSE_MS, 400):
        core.step(plan, report("n2", "b"), {"d0": "z"}, now_ms)
        core.step(plan, core.Tick(), {"d0": "z"}, now_ms)


@then("only the runs of the other one remain")
def only_other(context):
    assert list(context.plan.runs) == ["b"], context.plan.runs
