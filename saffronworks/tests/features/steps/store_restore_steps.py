"""Scenarios on a store that is restored from an older copy."""

import anyio
from behave import given, then, when
from result import Ok

from saffronworks.forwarding.census import NODE_KIND
from saffronworks.forwarding.ports import ObjectStoreFailure
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.platform.store import PlatformStore
from saffronworks.standins.sites import wait_until
from saffronworks.tests.fake_store import PAGE, FakeStore
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_place import CONFIG, make_route, on_platform, web_servers

# Time within which nodes have to apply a change, and an allowance for a busy machine.
FOLLOW_S, SLACK_S = 2.0, 0.5
# Writes that a restore reverts, and later writes whose revisions exceed theirs.
LOST_WRITES, MORE_WRITES = 6, 9
REQUESTS = 12
# Time after a restore within which all nodes have to register again.
REGISTERED_AGAIN_S = 5.0


@given("two nodes that know more revisions than a copy of the store has")
def two_nodes(context):
    context.servers_used = web_servers(2)
    context.draining = context.servers_used[0]


def write_others(store, count):
    """Write objects of a kind that no node follows."""
    for number in range(count):
        store.put("others", f"o{store.revision}-{number}", {})


async def lose_writes(place):
    """Return a copy of the store, after changes that it lacks and both nodes know."""
    copy = place.store.snapshot()
    write_others(place.store, LOST_WRITES)
    lost = place.servers["w1"].entry() | {"version": "lost"}
    place.store.put("servers", "w1", lost)
    place.store.put("config", "main", CONFIG | {"version": 4})
    await anyio.sleep(0.6)
    return copy


async def count_reached(place, server):
    """Return how many of `REQUESTS` requests, alternating over the nodes, reach a server."""
    before = len(server.seen)
    for number in range(REQUESTS):
        node = place.nodes[number % len(place.nodes)]
        raw = await place.ask("/again/", f"a{number}", node=node)
        assert raw.startswith(b"HTTP/1.1 200"), raw
    return len(server.seen) - before


@when("the store is restored from the copy and a new configuration adds a route")
def new_configuration(context):
    async def play(place):
        copy = await lose_writes(place)
        place.store.restore(copy)
        await anyio.sleep(0.3)
        added = make_route("added", "/added/", "idempotent", "web")
        place.store.put("config", "main", CONFIG | {"version": 5, "routes": [added]})
        await anyio.sleep(FOLLOW_S + SLACK_S)
        asked = [await place.ask("/added/", "r1", node=node) for node in place.nodes]
        context.statuses = [int(raw.split(b" ")[1]) for raw in asked]

    on_platform(context.servers_used, play, count=2)


@then("both nodes serve the new route within two seconds")
def serve_route(context):
    assert context.statuses == [200, 200], context.statuses


@when("an endpoint drains before the restored store has passed the revision that nodes know")
def drains_below(context):
    async def play(place):
        copy = await lose_writes(place)
        store, name = place.store, context.draining.instance
        # The store is unavailable while its revisions are lower than those that nodes know.
        store.fault = "busy"
        store.restore(copy)
        store.put("servers", name, context.draining.entry("draining"))
        write_others(store, MORE_WRITES)
        store.fault = None
        await anyio.sleep(FOLLOW_S + SLACK_S)
        context.reached = await count_reached(place, context.draining)

    on_platform(context.servers_used, play, count=2)


@then("two seconds later no request reaches that endpoint")
@then("no request reaches that endpoint")
def not_reached(context):
    assert context.reached == 0, context.reached


@when("the store is restored from a copy in which a draining endpoint is ready")
def drained_before(context):
    async def play(place):
        copy = place.store.snapshot()
        draining = context.draining
        place.store.put("servers", draining.instance, draining.entry("draining"))
        assert await wait_until(lambda: all(known_to_drain(n) for n in place.nodes), FOLLOW_S)
        place.store.restore(copy)
        write_others(place.store, MORE_WRITES)
        # Forces the nodes to list again.
        place.store.forget_history()
        await anyio.sleep(FOLLOW_S)
        context.reached = await count_reached(place, draining)

    def known_to_drain(node):
        known = node._directory.named(context.draining.instance)
        return known is not None and known.draining

    on_platform(context.servers_used, play, count=2)


@then("they count as answers of the newest known epoch, and each malformed value is logged once")
def malformed_epochs(context):
    async def main():
        store, epoch = FakeStore(), StoreEpoch()
        store.era = 3
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.run)
            client = PlatformStore(store.address, epoch)
            assert (await client.list_objects("k")).ok_value.revision.epoch == 3
            for malformed_value in (None, "", "x", "-4", "4.0", "9" * 5000, "\u00b2"):
                store.era = malformed_value
                for _ in range(2):
                    assert (await client.list_objects("k")).ok_value.revision.epoch == 3, (
                        malformed_value
                    )
            await client.close()
            tasks.cancel_scope.cancel()

    with LogLines("saffronworks.platform.store") as lines:
        anyio.run(main)
    malformed = [line for line in lines if "event=store_epoch_malformed" in line]
    assert len(malformed) == 6, malformed


@when("the store is restored from a copy made before two of three nodes registered")
def nodes_lost(context):
    async def play(place):
        store = place.store

        def entered():
            return sum(kind == NODE_KIND for kind, _ in store.objects)

        def counted():
            return [node._listed_nodes for node in place.nodes]

        assert await wait_until(lambda: entered() == 3 and counted() == [3, 3, 3], 15)
        copy_revision, copy = store.snapshot()
        kept = {key: copy[key] for key in copy if key[0] != NODE_KIND}
        first = next(key for key in copy if key[0] == NODE_KIND)
        store.restore((copy_revision - 2, kept | {first: copy[first]}))
        context.counts = []
        with anyio.move_on_after(REGISTERED_AGAIN_S):
            while True:
                context.counts += counted()
                await anyio.sleep(0.1)
        context.entered = entered()

    on_platform(web_servers(), play, count=3)


@then("all nodes have registered again within five seconds")
def registered_again(context):
    assert context.entered == 3, context.entered


@then("no node counts fewer than three nodes meanwhile")
def counted_all(context):
    assert min(context.counts) == 3, min(context.counts)


def list_while(change):
    """Run `change(store)` between two pages of a listing; return names in the next watch."""

    async def main():
        store = FakeStore()
        for number in range(PAGE + 1):
            store.put("k", f"n{number}", {})
        client = PlatformStore(store.address, StoreEpoch())
        list_page = store._list

        async def list_and_change(call, kind, query):
            await list_page(call, kind, query)
            if "after" not in query:
                change(store)

        store._list = list_and_change
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.run)
            listing = await client.list_objects("k")
            if isinstance(listing, Ok):
                changes = (await client.watch("k", listing.ok_value.revision, 50)).ok_value
                result = [item.name for item in changes.objects]
            else:
                result = listing.err_value
            await client.close()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


@then("the next watch contains a change to an earlier page")
def earlier_page(context):
    assert list_while(lambda store: store.put("k", "n0", {"changed": 1})) == ["n0"]


@then("pages of different epochs are rejected")
def pages_of_epochs(context):
    failure = list_while(lambda store: store.restore(store.snapshot()))
    assert isinstance(failure, ObjectStoreFailure), failure
