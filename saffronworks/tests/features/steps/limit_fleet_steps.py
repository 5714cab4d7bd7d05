"""Steps on endpoint limits of many simulated nodes in virtual time."""

from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings as limits
from hypothesis import strategies as st

from saffronworks.tests.limit_plays import ENDPOINT, LimitFleet
from saffronworks.tests.virtual_fleet import FAULTS

SEEDS = range(1, 5)
CALM_MS, HELD_MS, FAULT_MS, AFTER_MS = 1000, 8000, 6000, 10_000
# Served requests count from then on, when all nodes have the limit and holders are established.
SETTLED_MS = 5000


def part(fleet, share):
    return fleet.rng.sample(fleet.live, int(len(fleet.live) * share))


FAULT_INJECTIONS = {
    "no fault occurs": lambda fleet: None,
    "all holders crash": lambda fleet: fleet.kill(fleet.holders(ENDPOINT), 2000),
    "half of the nodes crash": lambda fleet: fleet.kill(part(fleet, 0.5), 2000),
    "two holders freeze": lambda fleet: fleet.freeze(fleet.holders(ENDPOINT)[:2], 3000),
    "a third is partitioned off": lambda fleet: fleet.cut([part(fleet, 0.33)], FAULT_MS),
    "the halves are partitioned": lambda fleet: fleet.cut([part(fleet, 0.5)], FAULT_MS),
    "a third is isolated": lambda fleet: fleet.cut(
        [[node] for node in part(fleet, 0.33)], FAULT_MS
    ),
}


@given(
    "a fleet of {nodes:d} nodes, {busy:d} of them with callers, and an endpoint that takes "
    "{per_s:g} requests per second"
)
def fleet_of(context, nodes, busy, per_s):
    context.per_s = per_s
    context.fleets = [LimitFleet(nodes, None, seed, busy) for seed in SEEDS]


@when("it advertises that limit while {fault}")
def names_limit(context, fault):
    for fleet in context.fleets:
        fleet.play(CALM_MS)
        fleet.per_s = context.per_s
        fleet.play(HELD_MS)
        FAULT_INJECTIONS[fault](fleet)
        fleet.play(AFTER_MS)


@when("{count:d} of its holders leave, which nodes notice within {within_s:d} s")
def holders_leave(context, count, within_s):
    for fleet in context.fleets:
        per_s = 10 * context.per_s
        fleet.play(CALM_MS, per_s)
        fleet.per_s = context.per_s
        fleet.play(HELD_MS, per_s)
        fleet.lose_holders(ENDPOINT, count, 1000 * within_s)
        fleet.play(1000 * within_s + AFTER_MS, per_s)


@then("in no 4 s does it get more requests than it tolerates, from all nodes, with four seeds")
def within_tolerated(context):
    shares = [fleet.worst_window(of_all=True) for fleet in context.fleets]
    assert max(shares) <= 1.0, shares


@then("it gets at least {least:g} of its limit")
def gets_its_part(context, least):
    shares = [fleet.served_share(SETTLED_MS, fleet.now_ms) for fleet in context.fleets]
    assert sum(shares) / len(shares) >= least, shares


@then(
    "in no 4 s are more requests sent than tolerated, whatever nodes crash, freeze or are "
    "partitioned"
)
def any_faults(context):
    fault = st.tuples(
        st.integers(500, 9000),
        st.sampled_from(FAULTS),
        st.floats(0.05, 0.6),
        st.integers(500, 6000),
    )

    @limits(max_examples=40)
    @forall(
        st.integers(0, 10_000),
        st.sampled_from([3, 8, 20, 60]),
        st.sampled_from([0.4, 1.0, 2.4, 8.0, 30.0]),
        st.lists(fault, min_size=1, max_size=5),
    )
    def check(seed, count, per_s, faults):
        fleet = LimitFleet(count, None, seed)
        fleet.play(CALM_MS)
        fleet.per_s = per_s
        for at_ms, kind, share, for_ms in faults:
            names = part(fleet, share)
            fleet.at(at_ms, fleet.inject_fault, ENDPOINT, kind, names, for_ms)
        fleet.play(12_000)
        assert fleet.worst_window() <= 1.0, (seed, count, per_s, faults)

    check()


@then("a second later nearly all nodes have it")
def all_know(context):
    for fleet in context.fleets:
        again = LimitFleet(len(fleet.live), context.per_s, 9)
        again.play(1500)
        assert again.informed_share() >= 0.95, again.informed_share()


@then("two seconds after the limit ends it gets nearly all requests")
def need_is_over(context):
    for fleet in context.fleets:
        fleet.per_s = None
        fleet.play(2000)
        reached, asked = len(fleet.arrivals), fleet.asked
        fleet.play(3000)
        reached, asked = len(fleet.arrivals) - reached, fleet.asked - asked
        assert reached >= 0.9 * asked, (reached, asked)


@then(
    "it still gets occasional requests within the tolerance, so that it can advertise a new limit"
)
def takes_nothing(context):
    for seed in SEEDS:
        fleet = LimitFleet(60, 0.0, seed)
        fleet.play(20_000)
        later = [arrival for arrival in fleet.arrivals if arrival.at_ms >= SETTLED_MS]
        assert later and fleet.worst_window(of_all=True) <= 1.0
        fleet.per_s = None
        fleet.play(15_000)
        assert fleet.informed_share() >= 0.95


@then("the messages of a node grow neither with the callers nor with the nodes")
def messages_bounded(context):
    def of_a_node_per_s(count, requests_per_s):
        fleet = LimitFleet(count, 2.4, 1)
        fleet.play(5000, requests_per_s)
        before = fleet.messages
        fleet.play(10_000, requests_per_s)
        return (fleet.messages - before) / 10 / count

    usual = of_a_node_per_s(60, 40.0)
    for count, requests_per_s in ((60, 160.0), (240, 160.0), (240, 640.0)):
        found = of_a_node_per_s(count, requests_per_s)
        assert found <= usual, (count, requests_per_s, usual, found)
