"""Steps on how a quarantine spreads through a simulated fleet, without network or clock."""

from behave import given, then, when

from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.quarantine.tuning import (
    ENDS_TO_QUARANTINE,
)
from saffronworks.tests.quarantine_plays import CRASHING, Fleet, quarantined_fleet

SEEDS = range(10)
CONTACT_MS = 3000
PLAYED_MS = 15_000


@given("{nodes:d} live nodes, {dead:d} dead nodes, and {lost:d} of 100 messages lost")
def fleet_of(context, nodes, dead, lost):
    context.fleets = [Fleet(nodes, seed, lost / 100, dead) for seed in SEEDS]


@when("a crashing content arrives every {every:d} ms at random nodes, with ten seeds")
def comes(context, every):
    for fleet in context.fleets:
        fleet.repeat(every, PLAYED_MS)


@then("all nodes refuse it within {within:d} ms of the third crash, and none sends it later")
def refused_in_time(context, within):
    for fleet in context.fleets:
        while len(fleet.ends) < ENDS_TO_QUARANTINE:
            fleet.run(fleet.now_ms + 10)
        fleet.run(fleet.ends[2] + within)
        assert fleet.refusing() == len(fleet.nodes), (fleet.refusing(), fleet.now_ms)
        fleet.run(PLAYED_MS)
        assert not fleet.late_sends(within), fleet.late_sends(within)


@then("each of two hundred live nodes refuses the content within three seconds")
def half_gone(context):
    for seed in SEEDS:
        fleet = Fleet(200, seed, dead=200)
        fleet.repeat(300, 3000)
        while len(fleet.ends) < ENDS_TO_QUARANTINE:
            fleet.run(fleet.now_ms + 10)
        fleet.run(fleet.ends[2] + CONTACT_MS)
        assert fleet.refusing() == 200, (seed, fleet.refusing())


@then("a node that was partitioned refuses the content within three seconds of its return")
def returns(context):
    for seed in SEEDS:
        fleet = Fleet(7, seed)
        cut = fleet.names[seed % 7]
        fleet.nodes[cut].away = True
        others = [name for name in fleet.names if name != cut]
        for at_ms in range(0, 4000, 300):
            fleet.at(at_ms, fleet.ask, others[at_ms // 300 % 6])
        fleet.run(20_000)
        assert fleet.refusing() == 6, fleet.refusing()
        fleet.nodes[cut].away = False
        fleet.run(20_000 + CONTACT_MS)
        assert fleet.refusing() == 7, (seed, cut)


@then("so does a restarted node that reaches only the store")
def starts_again(context):
    fleet = quarantined_fleet()
    name = fleet.names[0]
    for other in fleet.names[1:]:
        fleet.nodes[other].away = True
    fleet.restart(name)
    fleet.run(fleet.now_ms + CONTACT_MS)
    assert fleet.nodes[name].state.admission(CRASHING, fleet.now_ms) is Admission.REFUSED


@then("so do all nodes after all have restarted")
def all_again(context):
    fleet = quarantined_fleet()
    sends = len(fleet.sends)
    for name in fleet.names:
        fleet.restart(name)
    fleet.run(fleet.now_ms + 300)
    fleet.repeat(100, fleet.now_ms + 5000)
    fleet.run(fleet.now_ms + 10_000)
    assert len(fleet.sends) == sends and fleet.refusing() == 7, fleet.sends
