"""Scenarios on the planner under load of several classes of traffic, in virtual time."""

import attrs
from behave import given, then

from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.tests.planner_load import (
    ENGINES_WITH_LITTLE_MEMORY,
    GRANT_TO_EVENT_MS,
    PlannerLoad,
    TrafficClass,
)

# With three prefillers memory is the bottleneck: four endpoints with twelve runs of 3.4 s each.
SHAPE = attrs.evolve(ENGINES_WITH_LITTLE_MEMORY, prefillers=3)
CAPACITY_PER_S = 4 * 12 / 3.4
LOAD_MS = 12_000
SEEDS = (1, 2, 3)
# Until this time memory is not scarce, since the first runs begin.
FILLED_MS = 4000


def urgent(share_of_capacity):
    return TrafficClass(50, 800, [(LOAD_MS, share_of_capacity * CAPACITY_PER_S)], 3200)


def bulk(share_of_capacity):
    return TrafficClass(52, 2000, [(LOAD_MS, share_of_capacity * CAPACITY_PER_S)], 8000)


def simulate(classes, lost_ms=None):
    """Return loads simulated with each seed; the planner is lost at `lost_ms`, if given."""
    loads = [PlannerLoad(SHAPE, seed, retry=True) for seed in SEEDS]
    for load in loads:
        if lost_ms is not None:
            load.lose_planner(lost_ms)
        load.run_classes(classes)
    return loads


def burst():
    """Return urgent callers at a steady rate, and four seconds of bulk at twice the capacity."""
    rates = [(4000, 0.6), (8000, 2.0), (LOAD_MS, 0.6)]
    bulk_rates = [(until_ms, share * CAPACITY_PER_S) for until_ms, share in rates]
    return [urgent(1 / 6), TrafficClass(52, 2000, bulk_rates, 8000)]


def simulate_without_classes(classes):
    """Return the same loads with the default priority for all requests."""
    return simulate([attrs.evolve(traffic, priority=DEFAULT_RANK) for traffic in classes])


def attempts_by_caller(loads, traffic):
    """Return the attempts of each caller of a class."""
    callers = {}
    for seed, load in enumerate(loads):
        for name, outcome in load.outcomes.items():
            if outcome.priority == traffic.priority:
                callers.setdefault((seed, name.removesuffix("-again")), []).append(outcome)
    return list(callers.values())


def share_within(loads, traffic, limit_ms):
    """Return the share of a class's callers with a first event in time after an attempt."""
    callers = attempts_by_caller(loads, traffic)
    return sum(any(o.first_within(limit_ms) for o in each) for each in callers) / len(callers)


def utilisation(loads):
    held = [share for load in loads for at_ms, share in load.memory_shares if at_ms <= LOAD_MS]
    return sum(held) / len(held)


@given("a load of few urgent callers beside bulk at twice the capacity")
def few_urgent(context):
    context.classes = [urgent(1 / 6), bulk(2)]
    context.loads = simulate(context.classes)


@given("a load of urgent callers above capacity beside bulk")
def many_urgent(context):
    context.classes = [urgent(3), bulk(0.5)]
    context.loads = simulate(context.classes)


@given("a load of few bulk callers beside urgent callers above capacity")
def few_bulk(context):
    context.classes = [urgent(3), bulk(0.1)]
    context.loads = simulate(context.classes)


@then("nine in ten urgent callers are served in time, and three in five of the bulk")
def in_time(context):
    """Guards the order by priority: without it 8 in 10 urgent callers were served in time."""
    shares = [share_within(context.loads, each, each.target_ms) for each in context.classes]
    assert shares[0] >= 0.9 and shares[1] >= 0.6, shares


@then("an urgent class is served no less often than a less urgent one")
def urgent_served_as_often(context):
    shares = [share_within(context.loads, each, each.patience_ms) for each in context.classes]
    assert shares[0] >= shares[1] - 0.05, shares


@then("a quarter of the bulk is served in time, by the bound against starvation")
def bulk_in_time(context):
    """Guards bulk that the bound admits against rejection: 8 in 100 were served in time."""
    (_, bulk_class) = context.classes
    share = share_within(context.loads, bulk_class, bulk_class.target_ms)
    assert share >= 0.25, share


@then("as much memory is used as without classes")
def memory_used(context):
    used, before = (
        utilisation(context.loads),
        utilisation(simulate_without_classes(context.classes)),
    )
    assert used >= before - 0.02, (used, before)


@then("a class gets grants as long as one of its requests waits in time")
def no_starvation(context):
    """Guards less urgent classes against starvation while urgent callers fill all memory."""
    for load in context.loads:
        for traffic in context.classes:
            of_class = [o for o in load.outcomes.values() if o.priority == traffic.priority]
            for since_ms in range(FILLED_MS, LOAD_MS, 100):
                until_ms = since_ms + 1200
                waits = any(_waits(o, since_ms) and _waits(o, until_ms) for o in of_class)
                served = any(since_ms <= (o.granted_ms or 0) <= until_ms for o in of_class)
                assert served or not waits, (traffic.priority, since_ms)


def _waits(outcome, at_ms):
    """Return whether a request has arrived, has no answer, and can still be in time."""
    until_ms = outcome.arrived_ms + outcome.target_ms - GRANT_TO_EVENT_MS
    ends = [ms for ms in (outcome.granted_ms, outcome.rejected_ms, until_ms) if ms is not None]
    return outcome.arrived_ms <= at_ms < min(ends)


@given("loads of bulk alone and of urgent callers alone, above capacity")
def alone(context):
    context.alone = [[bulk(1.5)], [urgent(1.5)]]


@then("the outcome of each request is the same as without classes")
def same_outcomes(context):
    for classes in context.alone:
        for load, before in zip(simulate(classes), simulate_without_classes(classes), strict=True):
            expected = {
                name: attrs.evolve(each, priority=classes[0].priority)
                for name, each in before.outcomes.items()
            }
            assert load.outcomes == expected


@given("a burst of bulk beside urgent callers, and rejected callers who retry")
def burst_retries(context):
    context.classes = burst()
    context.loads = simulate(context.classes)


@given("a burst of bulk beside urgent callers, during which the planner is lost")
def planner_lost(context):
    context.classes = burst()
    context.loads = simulate(context.classes, lost_ms=6000)


@then("fewer requests wait in vain than without classes")
def fewer_in_vain(context):
    """Guards the rejection of retries: without it they wait until their callers leave."""

    def waited_in_vain(loads):
        every = [o for load in loads for o in load.outcomes.values()]
        return sum(o.rejected_ms is None and not o.first_within(o.patience_ms) for o in every)

    before = waited_in_vain(simulate_without_classes(context.classes))
    assert waited_in_vain(context.loads) < before, (waited_in_vain(context.loads), before)
