"""Steps on the decisions about network paths, without sockets."""

import random
from collections import Counter
from unittest.mock import Mock

import anyio
from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronworks.forwarding.paths.peer_calls import PeerCalls, PeerReach
from saffronworks.forwarding.paths.peers import PeerChoice, RelayPeer
from saffronworks.forwarding.paths.table import PathState, PathTable
from saffronworks.forwarding.paths.tuning import MAX_CHECKS_PER_ROUND

ENDPOINTS = ("a", "b", "c")
EVENTS = st.tuples(
    st.sampled_from(["opened", "checked", "answered", "failed", "relayed", "unreached", "due"]),
    st.sampled_from(ENDPOINTS),
    st.sampled_from(["n1", "n2", "n3"]),
    st.integers(0, 700),
)


def apply(table, kind, endpoint, peer, now_ms):
    match kind:
        case "opened":
            table.record_opened(endpoint, now_ms)
        case "checked":
            table.record_opened(endpoint, now_ms, check=True)
        case "answered":
            table.record_answered(endpoint, now_ms)
        case "failed":
            table.record_failed(endpoint, now_ms)
        case "relayed":
            table.record_relayed(endpoint, peer, now_ms)
        case "unreached":
            table.record_unreached_by(endpoint, peer, now_ms)
        case "due":
            assert len(table.due_checks(now_ms)) <= MAX_CHECKS_PER_ROUND


@then("a path is relayed only while another node reaches the endpoint, and heals by checks")
def random_events(context):
    @settings(max_examples=200, deadline=None)
    @given(st.lists(EVENTS, max_size=40))
    def holds(events):
        table, now_ms = PathTable(), 0
        for kind, endpoint, peer, later_ms in events:
            now_ms += later_ms
            before = table.state(endpoint, now_ms)
            apply(table, kind, endpoint, peer, now_ms)
            after = table.state(endpoint, now_ms)
            if after is PathState.RELAYED and before is not PathState.RELAYED:
                assert kind == "relayed"
            if after is PathState.DIRECT and before is not PathState.DIRECT:
                assert kind in ("opened", "checked")
            if after is PathState.DOWN and before is not PathState.DOWN:
                assert kind == "unreached"
            dial = table.dial(endpoint, now_ms)
            assert dial.direct or dial.relay_after_ms == 0
            assert not (dial.reuse and after is not PathState.DIRECT)

    holds()


@then("an endpoint counts as down only if two nodes with working paths don't reach it")
def down_by_two(context):
    table = PathTable()
    table.record_unreached_by("a", "n1", 0)
    table.record_unreached_by("a", "n2", 0)
    assert table.state("a", 1) is PathState.DIRECT
    table.record_failed("a", 10)
    table.record_unreached_by("a", "n1", 20)
    table.record_unreached_by("a", "n1", 30)
    assert table.state("a", 40) is PathState.SUSPECT
    table.record_unreached_by("a", "n2", 50)
    assert table.state("a", 60) is PathState.DOWN and table.dial("a", 60).relay_after_ms is None
    assert table.state("a", 60 + 10_000) is PathState.SUSPECT


@then("a path that is cut again and again needs more checks to heal")
def flapping(context):
    table, now_ms, needed = PathTable(), 0, []
    for _ in range(3):
        table.record_failed("a", now_ms)
        table.record_relayed("a", "n1", now_ms)
        checks = 0
        while table.state("a", now_ms) is PathState.RELAYED:
            now_ms += 100
            table.record_opened("a", now_ms, check=True)
            checks += 1
        needed.append(checks)
    assert needed == [1, 2, 3], needed


@then("an endpoint that was slow to answer is checked as often as before once its path was cut")
def checks_reset(context):
    table = PathTable()
    asked = [table.wants_answer_check("a", True, at_ms) for at_ms in range(0, 60_000, 1000)]
    assert asked[1] and not asked[-1], "checks of a slow endpoint become rarer"
    table.record_failed("a", 60_000)
    table.record_opened("a", 60_100)
    table.wants_answer_check("a", True, 90_000)
    assert table.wants_answer_check("a", True, 92_000)


@then("nothing is kept of nodes that are gone")
def forgets_nodes(context):
    choice = make_choice(4)
    for name in choice.peers:
        choice.record_reaches(name, "e", 0)
    choice.update({"n1": choice.peers["n1"]})
    assert choice._confirmed_ms == {"e": {"n1": 0}} and set(choice._reached_any_ms) == {"n1"}


def make_choice(nodes):
    peers = {
        f"n{number}": RelayPeer(f"n{number}", 0.5 if number % 2 else 2.0, f"z{number % 3}")
        for number in range(nodes)
    }
    choice = PeerChoice("z0")
    choice.update(peers)
    return choice


@then("relayed requests are spread over 50 nodes by their cores")
def spread(context):
    choice, rng, counts = make_choice(50), random.Random(3), Counter()
    for name in choice.peers:
        choice.record_reaches(name, "e", 0)
    for _ in range(2000):
        peer = choice.confirmed("e", 0, 10, rng)
        choice.begin(peer.address)
        counts[peer.address] += 1
    by_cores = [count / choice.peers[name].cores for name, count in counts.items()]
    assert len(counts) == 50 and max(by_cores) < 2 * min(by_cores), counts


@then("of two nodes that are asked at once one is in another availability zone")
def two_zones(context):
    choice, rng = make_choice(50), random.Random(4)
    for _ in range(100):
        one, other = choice.candidates((), 2, 0, rng)
        assert one.zone != other.zone


@then("what nodes said before a failure does not count for it")
def older_statements(context):
    choice = make_choice(4)
    peers = PeerCalls(choice, Mock(), random.Random(5), lambda: 1000)
    found = PeerReach(None, ("n1", "n2"), asked_all=True)
    peers._record_unreached("e", found, began_ms=900)
    choice.record_reaches("n1", "f", 900)

    async def ask():
        for instance, known in (("e", found), ("f", PeerReach("n1"))):
            assert await peers.find_reaching(instance, since_ms=800) == known
        assert await peers.find_reaching("e", since_ms=950) == PeerReach()

    anyio.run(ask)
