"""Scenarios on the planner's estimates: failures, full endpoints, prefill pace, progress."""

import attrs
from behave import given, then
from memory_steps import START_MS, ask, granted, warm_plan

from saffronworks.forwarding.planning import core, messages, runs
from saffronworks.forwarding.planning.prefill import PrefillPlan
from saffronworks.forwarding.planning.prefill_queues import PrefillPace
from saffronworks.forwarding.planning.tuning import (
    EJECTION_MS,
    PREFILL_MS_PER_TOKEN,
    STALLED_RUN_MS,
)


@given("a plan with a node's report that an endpoint failed its request")
def failure_reported(context):
    context.plan = warm_plan()
    fail_at(context.plan, START_MS)


def fail_at(plan, now_ms):
    failed = messages.MemoryRelease("a", "s", broken=("d0",))
    plan.last_event_ms = now_ms
    core.step(plan, failed, {"d0": "z", "d1": "z"}, now_ms)


def first_choice(plan, request_id, now_ms, decoders=("d0", "d1")):
    """Return the endpoint that a request gets while there are no other runs."""
    plan.runs.clear()
    plan.last_event_ms = now_ms
    grants = granted(core.step(plan, ask(request_id), dict.fromkeys(decoders, "z"), now_ms))
    return grants[0].instance


@then("requests of other nodes avoid the endpoint for a while, unless there is no other")
def avoids_endpoint(context):
    plan = context.plan
    assert first_choice(plan, "b", START_MS + 1) == "d1"
    assert first_choice(plan, "c", START_MS + 2, decoders=("d0",)) == "d0"
    assert first_choice(plan, "d", START_MS + EJECTION_MS) == "d0"


@then("when it fails again right after that, it is ejected for twice as long")
def ejected_twice_as_long(context):
    plan, again_ms = context.plan, START_MS + EJECTION_MS + 1
    fail_at(plan, again_ms)
    fail_at(plan, again_ms + 1)
    assert first_choice(plan, "e", again_ms + 2 * EJECTION_MS - 1) == "d1"
    assert first_choice(plan, "f", again_ms + 2 * EJECTION_MS) == "d0"


@then("the state of removed endpoints is dropped")
def removed_endpoint_dropped(context):
    fail_at(context.plan, START_MS + 9 * EJECTION_MS)
    context.plan.full_until_ms["d0"] = START_MS + 99 * EJECTION_MS
    context.plan.forget_all_but({"d1"})
    assert first_choice(context.plan, "g", START_MS + 9 * EJECTION_MS + 1) == "d0"


@then("a slow prefiller gets fewer prompts")
def slow_prefiller(context):
    plan = PrefillPlan({"quick": "z", "slow": "z"})
    for _ in range(9):
        plan.pace.learn("slow", 5000, 400)
        plan.pace.learn("quick", 5000, 100)
    chosen = []
    for index in range(5):
        chosen.append(plan.choose("z", 2000, START_MS))
        plan.add(f"r{index}", chosen[-1], 2000, START_MS)
    assert chosen.count("quick") == 4, chosen


@then("prompts without tokens do not change the estimated pace")
def prompts_without_tokens(context):
    pace = PrefillPace()
    for _ in range(5000):
        pace.learn("p0", 0, 20)
    assert pace.of("p0") == pace.ms_per_token == PREFILL_MS_PER_TOKEN


def run_report(instance, made_tokens, quiet_ms=0):
    run = messages.LiveRun(f"on-{instance}", instance, 20_000, 2000, 60_000, 3000)
    run = attrs.evolve(run, made_tokens=made_tokens, quiet_ms=quiet_ms)
    return messages.MemoryReport(f"n-{instance}", "s", (run,))


@given("a plan with a run that exceeds its expected length")
def longer_than_expected(context):
    context.plan = warm_plan()
    for instance, made_tokens in (("d0", 40_000), ("d1", 1000)):
        report_of_run = run_report(instance, made_tokens)
        assert core.step(context.plan, report_of_run, {"d0": "z", "d1": "z"}, START_MS) == []


@then("its endpoint has less room than one with a short run")
def less_room(context):
    decoders = {"d0": "z", "d1": "z"}
    grants = granted(core.step(context.plan, ask("a"), decoders, START_MS + 1))
    assert [grant.instance for grant in grants] == ["d1"]
    only = granted(core.step(context.plan, ask("b", prompt=25_000), {"d0": "z"}, START_MS + 2))
    assert only == [], "its run made 40,000 tokens where 2,000 were expected"


@then("an endpoint with a stalled run gets no grant for a while")
def stalled(context):
    plan, decoders = warm_plan(), {"d0": "z", "d1": "z"}
    core.step(plan, run_report("d0", 500, quiet_ms=STALLED_RUN_MS), decoders, START_MS)
    core.step(plan, run_report("d1", 30_000), decoders, START_MS)
    grants = granted(core.step(plan, ask("a"), decoders, START_MS + 1))
    assert [grant.instance for grant in grants] == ["d1"]
    assert plan.ejections.take_new() == [("d0", EJECTION_MS)]


@given("a plan with a grant on an endpoint that had no room")
def no_room(context):
    plan = context.plan = warm_plan()
    plan.prefill.prefillers = {"p0": "z"}
    plan.runs["old"] = runs.Run("d0", "n1", 100, 100, 100, START_MS)
    first = granted(core.step(plan, ask("a"), {"d0": "z"}, START_MS))
    assert first[0].instance == "d0" and plan.prefill.backlog_ms("p0", START_MS) > 0
    again = core.step(plan, ask("a", avoid=("d0",)), {"d0": "z"}, START_MS + 5)
    assert granted(again) == []


@then("the endpoint gets no grant until one of its runs ends")
def full_until_one_ends(context):
    plan = context.plan
    assert granted(core.step(plan, ask("b"), {"d0": "z"}, START_MS + 6)) == []
    ended = messages.MemoryRelease("old", "s")
    grants = granted(core.step(plan, ended, {"d0": "z"}, START_MS + 7))
    assert [grant.request_id for grant in grants] == ["b"]


@then("the prompt does not count in the prefill backlog")
def not_in_backlog(context):
    context.plan.runs.clear()
    one_prompt_ms = context.plan.prefill.prefill_ms("p0", 5000)
    assert context.plan.prefill.backlog_ms("p0", START_MS + 7) <= one_prompt_ms
