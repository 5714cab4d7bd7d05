"""Steps on quotas on the whole path over loopback."""

import anyio
from behave import then, when

from saffronworks.forwarding.shares.limits import Limit
from saffronworks.forwarding.shares.tuning import SETTLED_MS
from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_place import CONFIG, make_route, on_platform, web_servers

PER_S = 0.5
KEY, OTHER_KEY, FREE_KEY = "k-limited", "k-other", "k-free"
BURST = 30
# A holder that has just started admits less than its share for one window.
WINDOW_S = 1.0
LIMITED = {"name": "limited", "api_keys": [KEY], "rate_per_s": PER_S, "burst": BURST}
OTHER = {"name": "other", "api_keys": [OTHER_KEY], "rate_per_s": PER_S, "burst": BURST}
FREE = {"name": "free", "api_keys": [FREE_KEY]}
OPEN_ROUTE = make_route("open", "/open/", "non_idempotent", "web", public=True)
WITH_QUOTAS = CONFIG | {
    "routes": [*CONFIG["routes"], OPEN_ROUTE],
    "tenants": [LIMITED, OTHER, FREE],
}


async def wait_until_counted(place):
    """Wait until all nodes have counted each other, and treat their views as settled.

    Before that each node divides a quota by three.
    """
    nodes = [node._quotas.shared_limit.entry.choice for node in place.nodes]
    assert await wait_until(lambda: all(len(c.cores) == len(nodes) for c in nodes), limit_s=6)
    for node in place.nodes:
        node._quotas.shared_limit.entry.ring._changed_ms -= SETTLED_MS
    await anyio.sleep(WINDOW_S)


def status(raw):
    return int(raw.split(b" ")[1])


def total_level(place, name):
    """Return the sum of the levels of an organisation's buckets at all nodes."""
    buckets = [node._quotas.shared_limit.holder_state.buckets.get(name) for node in place.nodes]
    return sum(one.level for one in buckets if one is not None)


@when("an organisation sends four times its burst to two nodes in turn")
def asks_too_much(context):
    context.servers_used = web_servers()

    async def play(place):
        await wait_until_counted(place)
        context.raws, context.others = [], []
        for number in range(4 * BURST):
            node = place.nodes[number % 2]
            context.raws.append(await place.ask("/once/", f"r{number}", {"Key": KEY}, node=node))
            if number % 8 == 0:
                raw = await place.ask("/once/", f"o{number}", {"Key": OTHER_KEY}, node=node)
                context.others.append(raw)
        context.spare = place.node.settings.quota_bounds.spare(Limit(PER_S, BURST))

    on_platform(context.servers_used, play, config=WITH_QUOTAS, count=2)


@when("an organisation sends four times its burst under the same id")
def same_id(context):
    context.servers_used = web_servers()

    async def play(place):
        await wait_until_counted(place)
        for _ in range(4 * BURST):
            await place.ask("/once/", "r1", {"Key": KEY})
        context.spare = place.node.settings.quota_bounds.spare(Limit(PER_S, BURST))

    on_platform(context.servers_used, play, config=WITH_QUOTAS)


@then("endpoints run no more than its quota and the tolerance allow")
def no_more(context):
    ran = [r for r in context.servers_used[0].ran if r.startswith("r")]
    assert BURST - 1 <= len(ran) <= PER_S * WINDOW_S + BURST + context.spare, len(ran)


@then("the rest gets 429 with a retry time, and other organisations are served")
def the_rest(context):
    statuses = [status(raw) for raw in context.raws]
    refused = [raw for raw in context.raws if status(raw) != 200]
    assert set(statuses) == {200, 429}, statuses
    assert all(b"retry-after" in raw.lower() and b"over-quota" in raw for raw in refused)
    assert [status(raw) for raw in context.others] == [200] * len(context.others)


@when("a full endpoint rejects requests of an organisation with a small quota")
def turned_away(context):
    servers = web_servers()
    servers[0].script = ["shed"] * BURST

    async def play(place):
        await wait_until_counted(place)
        turned = [await place.ask("/once/", f"t{n}", {"Key": KEY}) for n in range(BURST)]
        await anyio.sleep(0.1)
        raws = [await place.ask("/once/", f"r{n}", {"Key": KEY}) for n in range(BURST)]
        context.turned = [status(raw) for raw in turned]
        context.served = [status(raw) for raw in raws].count(200)

    on_platform(servers, play, config=WITH_QUOTAS)


@then("as many are served as the quota allows once the endpoint has room")
def as_many(context):
    assert context.turned == [503] * BURST, context.turned
    assert context.served >= BURST - 1, context.served


@when("a request is run by two endpoints")
def run_twice(context):
    servers = web_servers(2)
    for server in servers:
        server.script = ["error"]

    async def play(place):
        await wait_until_counted(place)
        before = total_level(place, "limited")
        await place.ask("/again/", "r1", {"Key": KEY}, method="GET")
        await anyio.sleep(0.1)
        context.counted = total_level(place, "limited") - before
        context.runs = sum(len(server.ran) for server in servers)

    on_platform(servers, play, config=WITH_QUOTAS)


@then("both runs are counted for its organisation")
def both_counted(context):
    assert context.runs == 2
    assert 1.5 < context.counted <= 2, context.counted


@then("no holder is asked about their requests")
def none_asked(context):
    async def play(place):
        for path, fields in (("/open/", {}), ("/once/", {"Key": FREE_KEY})):
            assert status(await place.ask(path, f"r{path}", fields)) == 200
        assert not place.node._quotas.shared_limit.holder_state.buckets

    on_platform(web_servers(), play, config=WITH_QUOTAS)
