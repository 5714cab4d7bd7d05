"""Membership, documents, sign-off and ownership."""

import bisect

from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings as limits
from hypothesis import strategies as st

from saffronworks import documents
from saffronworks.budgets import ReadBudget
from saffronworks.documents import Document, DocumentPush, DocumentStore, Fetched, InForce
from saffronworks.membership import Status, live_members
from saffronworks.standins.sites import SiteShape, wait_until
from saffronworks.tests.plays import on_site
from tools.fleet_bench import DEAD_MS, HEARTBEAT_MS, Fleet

KEYS = ("bundles/a", "bundles/b", "vms")


@given("any order of pushes, pulls and comparisons between nodes")
def any_pushes(context):
    moves = st.lists(
        st.tuples(st.sampled_from(KEYS), st.integers(1, 6), st.booleans()), max_size=30
    )

    @forall(moves)
    def run(items):
        store = DocumentStore("n1")
        highest = {}
        for key, version, relay in items:
            document = Document(key, version, f"{key}{version}")
            event = DocumentPush(document, relay) if relay else Fetched((document,), False)
            commands = documents.step(store, event, ("n1", "n2", "n3"))
            taken = [c.document.version for c in commands if isinstance(c, InForce)]
            assert taken == ([version] if version > highest.get(key, 0) else [])
            highest[key] = max(version, highest.get(key, 0))
        found = {key: document.version for key, document in store.documents.items()}
        assert found == highest

    context.property = run


@then("no node ever accepts an older version")
def never_older(context):
    context.property()


@given("any spread of versions over nodes")
def any_spread(context):
    context.spreads = st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from(KEYS), st.integers(1, 5)), max_size=25
    )


@when("they exchange heartbeats for a while")
def exchange(context):
    pass


@then("every node has the highest version of each document")
def all_highest(context):
    @forall(context.spreads)
    def run(spread):
        stores = {f"n{i}": DocumentStore(f"n{i}") for i in range(5)}
        highest = {}
        for index, key, version in spread:
            document = Document(key, version, "x")
            documents.step(stores[f"n{index}"], Fetched((document,), False), ())
            highest[key] = max(version, highest.get(key, 0))
        for _ in range(6):
            _gossip_round(stores)
        for store in stores.values():
            assert {k: d.version for k, d in store.documents.items()} == highest

    run()


def _gossip_round(stores):
    names = sorted(stores)
    for index, name in enumerate(names):
        peer = names[(index + 1) % len(names)]
        digest = documents.overall_digest(stores[name])
        inbox = [(peer, documents.PeerDigest(name, digest))]
        while inbox:
            target, event = inbox.pop(0)
            for command in documents.step(stores[target], event, names):
                if isinstance(command, documents.SendTo):
                    inbox.append((command.member, command.message))


def views(fleet):
    return {
        node.name: tuple(live_members(node.member)) for node in fleet.nodes.values() if node.alive
    }


def all_alive(fleet):
    everyone = tuple(sorted(node.name for node in fleet.nodes.values() if node.alive))
    return all(view == everyone for view in views(fleet).values())


@given("a fleet of {count:d} nodes")
def fleet(context, count):
    context.fleet = Fleet(count)
    context.fleet.run(5000)
    assert all_alive(context.fleet)


@when("one node is silent for 10 s")
def one_silent(context):
    context.fleet.cut = {"n2"}
    context.fleet.run(10_000)


@then("all others consider it dead")
def held_dead(context):
    for node in context.fleet.nodes.values():
        if node.name != "n2":
            assert node.member.members["n2"].update.status is Status.DEAD


@then("once it responds again all consider it alive")
def responds_again(context):
    context.fleet.cut = set()
    context.fleet.run(20_000)
    assert all_alive(context.fleet), views(context.fleet)


@when("one node is paused for 10 s")
def one_paused(context):
    context.fleet.nodes["n2"].alive = False
    context.fleet.run(10_000)
    context.fleet.nodes["n2"].alive = True


@then("after a few heartbeats every node sees all members alive")
def soon_alive(context):
    context.fleet.run(15_000)
    assert all_alive(context.fleet), views(context.fleet)


@when("all process their messages {least:d} to {most:d} ms late for 60 s")
def starved(context, least, most):
    fleet = context.fleet
    fleet.late_ms = {name: (least, most) for name in fleet.nodes}
    fleet.run(60_000)
    fleet.late_ms = {}


@then("no member was declared dead")
def nobody_dead(context):
    assert context.fleet.held_dead == 0
    assert all_alive(context.fleet)


@then("once the delay ends a death is detected within the usual time")
def known_soon(context):
    fleet = context.fleet
    fleet.run(10_000)
    killed_ms = fleet.clock.now_ms
    fleet.kill("n2")
    fleet.run(10_000)
    known_ms = [node.knows_dead_ms for node in fleet.nodes.values() if node.alive]
    assert min(known_ms) > 0
    assert max(known_ms) - killed_ms <= DEAD_MS + 2 * HEARTBEAT_MS, max(known_ms) - killed_ms


@when("one zone is cut off for 30 s")
def zone_cut(context):
    context.fleet.cut = {"n0", "n3", "n6"}
    context.fleet.run(30_000)
    assert not all_alive(context.fleet)
    context.fleet.cut = set()


@then("after 30 s every node sees all members alive")
def alive_again(context):
    context.fleet.run(30_000)
    assert all_alive(context.fleet), views(context.fleet)


@given("any pauses and cuts in a fleet")
def any_faults(context):
    context.moves = st.lists(
        st.tuples(st.sampled_from(("pause", "cut", "heal", "accept")), st.integers(0, 5)),
        max_size=8,
    )


@then("after quiet time all live nodes agree on members and versions")
def one_view(context):
    @limits(max_examples=15)
    @forall(context.moves)
    def run(moves):
        fleet = Fleet(6)
        fleet.run(3000)
        version = 0
        for kind, index in moves:
            node = fleet.nodes[f"n{index}"]
            if kind == "pause":
                node.alive = not node.alive
            elif kind == "cut":
                fleet.cut = fleet.cut ^ {node.name}
            elif kind == "heal":
                fleet.cut = set()
            elif node.alive:
                version += 1
                document = Document("bundles/b", version, "x")
                fleet._document_step(node, Fetched((document,)))
            fleet.run(2500)
        fleet.cut = set()
        for node in fleet.nodes.values():
            node.alive = True
        fleet.run(40_000)
        assert all_alive(fleet), views(fleet)
        versions = {
            tuple(sorted((d.key, d.version) for d in node.store.documents.values()))
            for node in fleet.nodes.values()
        }
        assert len(versions) == 1, versions

    run()


@when("a node starts while the store is down")
def starts_in_outage(context):
    async def play(site, tasks):
        site.store.outage = True
        node = site.add_node()
        context.ready = await wait_until(node.frontend.ready)
        context.models = list(node.entry.routes.models)

    on_site(context, SiteShape(), play)


@then("it becomes ready with the version of its peers")
def ready_in_outage(context):
    assert context.ready
    assert context.models == ["opening-line"], context.models


@when("a bundle is signed off while the store loses its reply")
def lost_reply(context):
    async def play(site, tasks):
        site.store.lose_replies = 1
        context.before = site.store.objects["config/bundles/letters"].version
        context.status, _ = await site.sign_off(site.bundle_text() + "# again\n", "ada", 1)
        context.after = site.store.objects["config/bundles/letters"].version
        context.in_force = site.in_force(context.after)

    on_site(context, SiteShape(), play)


@then("the version is in force on every node")
def in_force_everywhere(context):
    assert context.status == 200
    assert context.in_force


@then("the version increased by one")
def one_up(context):
    assert context.after == context.before + 1


def read_times(nodes, reads, now_ms=5000.0):
    times = []
    for _ in range(nodes):
        budget = ReadBudget(2000)
        budget.share_among(nodes)
        times += [now_ms + budget.take(now_ms) for _ in range(reads)]
    return sorted(times)


@given("{nodes:d} nodes that each want to read {reads:d} times at once")
def returning(context, nodes, reads):
    context.reads = reads
    context.times = read_times(nodes, reads)


@then("the store gets no more than {most:d} reads in any second")
def within_rate(context, most):
    times = context.times
    ends = [bisect.bisect_left(times, at_ms + 1000) for at_ms in times]
    assert max(end - begin for begin, end in enumerate(ends)) <= most


@then("{nodes:d} nodes that do the same are not delayed")
def no_wait(context, nodes):
    assert set(read_times(nodes, context.reads)) == {5000.0}
