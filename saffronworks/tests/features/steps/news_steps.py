"""Scenarios on store updates that nodes of a zone publish to each other."""

import anyio
from behave import then

from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_news import (
    LATE_MS,
    MAX_NEWS_BYTES,
    MIN_SHARED_NODES,
    NEXT_PUBLISHERS_MS,
    PUBLISHERS,
    NewsFeed,
    NewsPace,
    ObjectNews,
    StoreNews,
)
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.revisions import at
from saffronworks.tests.zone_plays import FOLLOW_WITHIN_MS, KIND, play_zone

MANY = 40


async def wait_until_known(nodes, name, content, within_ms=FOLLOW_WITHIN_MS):
    """Wait until all of these nodes know the object; fail after `within_ms`."""
    with anyio.move_on_after(within_ms / 1000):
        while any(node.known.get(name) != content for node in nodes):
            await anyio.sleep(0.01)
        return
    late = [node.address for node in nodes if node.known.get(name) != content]
    raise AssertionError(f"{len(late)} nodes do not know {name}: {late[:5]}")


@then("in a zone of forty nodes two call the store, and all know of a change at once")
def two_call(context):
    async def play(store, nodes):
        assert sum(node.is_publisher() for node in nodes) == PUBLISHERS
        await anyio.sleep(1.0)
        before = store.calls
        for turn in range(3):
            store.change("e1", b"%d" % turn)
            await wait_until_known(nodes, "e1", b"%d" % turn, within_ms=400)
            await anyio.sleep(0.3)
        # Two nodes with one watch after each change, and some watches that timed out.
        assert store.calls - before <= 12, store.calls - before

    play_zone(MANY, play)


@then("in a zone of eight each node calls the store itself, as often as without publishers")
def eight_call(context):
    async def play(store, nodes):
        assert not any(node.is_publisher() for node in nodes)
        store.change("e1", b"1")
        await wait_until_known(nodes, "e1", b"1", within_ms=200)
        before = store.calls
        await anyio.sleep(1.0)
        assert store.calls - before <= len(nodes)

    play_zone(MIN_SHARED_NODES - 1, play)


async def fail_publishers(store, nodes, how):
    """Let both publishers fail; then the store changes at once."""
    first = [node for node in nodes if node.is_publisher()]
    others = [node for node in nodes if node not in first]
    await anyio.sleep(0.5)
    for node in first:
        setattr(node, how, True)
    store.change("e1", b"1")
    await wait_until_known(others, "e1", b"1")
    await anyio.sleep(1.5)
    assert 1 <= sum(node.is_publisher() for node in others) <= PUBLISHERS
    before = store.calls
    store.change("e1", b"2")
    await wait_until_known(others, "e1", b"2", within_ms=400)
    await anyio.sleep(0.5)
    assert store.calls - before <= 12, "all nodes call the store although some publish"
    return first, others


@then("if both are dead, the others know of a change in time and the next pair publishes")
def publishers_dead(context):
    async def play(store, nodes):
        await fail_publishers(store, nodes, "dead")

    play_zone(MANY, play)


@then("the same holds if both are cut off from the store")
def publishers_cut(context):
    async def play(store, nodes):
        await fail_publishers(store, nodes, "cut")

    play_zone(MANY, play)


@then("when they are back they publish again, and the others stop calling the store")
def publishers_back(context):
    async def play(store, nodes):
        first, others = await fail_publishers(store, nodes, "cut")
        for node in first:
            node.cut = False
        await anyio.sleep(6.0)
        assert not any(node.is_publisher() for node in others)
        store.change("e1", b"3")
        await wait_until_known(nodes, "e1", b"3", within_ms=400)

    play_zone(MANY, play)


def make_feed(own, now_ms):
    return NewsFeed(NodeOrder(own), NewsPace.within(FOLLOW_WITHIN_MS), StoreEpoch(), now_ms)


def make_update(node, since, revision, **changes):
    values = {"objects": (ObjectNews("e1", revision, b"told"),), "epoch": 1}
    return StoreNews("10.0.0.99:1", KIND, since, revision, **(values | changes))


@then("old updates change nothing, and an update with a gap makes a node call the store")
def old_updates(context):
    async def play(store, nodes):
        node = next(node for node in nodes if not node.is_publisher())
        for turn in range(5):
            store.change("e1", b"%d" % turn)
        await wait_until_known([node], "e1", b"4", within_ms=400)
        node.follower.handle_news(make_update(node, 1, 3))
        node.follower.handle_news(make_update(node, 0, 3, whole=True))
        assert node.known["e1"] == b"4" and node.revisions == sorted(node.revisions)
        store.events.append(StoredObject("e2", at(store.revision + 1), b"2"))
        store.revision += 2
        node.follower.handle_news(make_update(node, store.revision - 1, store.revision))
        assert node.known["e1"] == b"4", "an update with a gap was applied"
        await wait_until_known([node], "e2", b"2", within_ms=400)

    play_zone(MANY, play)


@then("a node that missed an update calls the store once, and knows all changes")
def missed_update(context):
    async def play(store, nodes):
        node = next(node for node in nodes if not node.is_publisher())
        node.dead = True
        store.change("e1", b"1")
        await anyio.sleep(0.3)
        node.dead = False
        store.change("e2", b"2")
        await wait_until_known([node], "e2", b"2")
        assert node.known["e1"] == b"1"

    play_zone(MANY, play)


@then("objects too large for an update make nodes call the store")
def too_large(context):
    async def play(store, nodes):
        large = b"x" * (MAX_NEWS_BYTES + 1)
        store.change("e1", large)
        await wait_until_known(nodes, "e1", large, within_ms=400)

    play_zone(MIN_SHARED_NODES, play)


@then("a late answer is not published")
def late_answer(context):
    posted = []
    pace = NewsPace.within(FOLLOW_WITHIN_MS)
    feed = NewsFeed(NodeOrder("a"), pace, StoreEpoch(), lambda: 0)
    feed.subscribe(KIND, lambda news: None)
    feed.update_zone({"a": 2.0} | {f"n{index}": 1.0 for index in range(MIN_SHARED_NODES)})
    feed.turns.update(["a"])
    feed._kernel = type("K", (), {"post": lambda self, name, message: posted.append(message)})()
    in_time_ms = pace.watch_wait_ms + LATE_MS
    answer = Listing((StoredObject("e1", at(2), b"told"),), at(2))
    feed.publish(KIND, answer, at(1), 0, in_time_ms + 1)
    assert not posted
    feed.publish(KIND, answer, at(1), 0, in_time_ms)
    assert len(posted) == MIN_SHARED_NODES


@then("it follows the updates of its peers")
def cut_node(context):
    async def play(store, nodes):
        node = next(node for node in nodes if not node.is_publisher())
        node.cut = True
        store.change("e1", b"1")
        await wait_until_known(nodes, "e1", b"1", within_ms=400)
        await anyio.sleep(0.5)
        store.change("e1", b"2")
        await wait_until_known(nodes, "e1", b"2", within_ms=400)

    play_zone(MANY, play)


@then("a publisher that loses its watch follows the updates of the other publisher")
def cut_publisher(context):
    async def play(store, nodes):
        node = next(node for node in nodes if node.is_publisher())
        node.cut = True
        await anyio.sleep(0.6)
        store.change("e1", b"1")
        await wait_until_known(nodes, "e1", b"1", within_ms=400)
        # The node watches again and loses the watch again; this shows the effect of an update.
        follower = node.follower
        follower._needs_listing = True
        known = follower._revision.number
        follower.handle_news(make_update(node, known, known))
        assert follower._needs_listing is False, "an update did not replace the listing"

    play_zone(MANY, play)


@then("weak nodes publish only if there are too few strong ones")
def strong_publish(context):
    weak = {f"w{index}": 0.5 for index in range(MIN_SHARED_NODES)}
    for strong, expected in ((3, ["s", "s"]), (2, ["s", "s"]), (1, ["s", "w"])):
        cores = weak | {f"s{index}": 2.1 for index in range(strong)}
        publishers = []
        for own in cores:
            feed = make_feed(own, lambda: 0)
            feed.subscribe(KIND, lambda news: None)
            feed.update_zone(cores)
            if feed.turns.position(KIND) < PUBLISHERS:
                publishers.append(own)
        assert sorted(own[0] for own in publishers) == expected, publishers


@then("nodes that have just discovered each other do not all publish")
def not_all_publish(context):
    now_ms = 0
    cores = {f"w{index}": 0.5 for index in range(MANY)} | {f"s{index}": 2.1 for index in range(3)}
    feeds = []
    for own in cores:
        feed = make_feed(own, lambda: now_ms)
        feed.subscribe(KIND, lambda news: None)
        feeds.append(feed)
    # Nodes discover each other long after their start; then no updates arrive for a while.
    now_ms = 10 * FOLLOW_WITHIN_MS
    for feed in feeds:
        feed.update_zone(cores)
    assert sum(feed.is_publisher(KIND) for feed in feeds) == PUBLISHERS
    now_ms += FOLLOW_WITHIN_MS
    assert sum(feed.is_publisher(KIND) for feed in feeds) < 2 * PUBLISHERS
    now_ms += NEXT_PUBLISHERS_MS
    assert sum(feed.is_publisher(KIND) for feed in feeds) <= 3 * PUBLISHERS


async def restore_after(store, writes):
    """Restore the store so that it loses `writes` objects that all nodes know."""
    copy = dict(store.objects), store.revision
    for number in range(writes):
        store.change(f"lost{number}", b"x")
    # Wait until only publishers watch again: their delay after changes is nearly the silence limit.
    await anyio.sleep(1.2)
    store.restore(copy)


@then("few nodes list it again, and all know of its changes in time, whatever their revisions")
def few_list_anew(context):
    # The watches of publishers within the time limit for a change, and a listing for each.
    pace = NewsPace.within(FOLLOW_WITHIN_MS)
    max_calls = PUBLISHERS * 2 * (1 + FOLLOW_WITHIN_MS // pace.watch_wait_ms)

    async def play(store, nodes, writes_after):
        await restore_after(store, writes=5)
        calls_before = store.calls
        for number in range(writes_after):
            store.change(f"new{number}", b"y")
        store.change("e1", b"restored")
        await wait_until_known(nodes, "e1", b"restored")
        assert not any("lost0" in node.known for node in nodes), "objects of the lost epoch"
        assert store.calls - calls_before <= max_calls, store.calls - calls_before

    for writes_after in (0, 4, 9):
        play_zone(MANY, lambda store, nodes, n=writes_after: play(store, nodes, n))


@then("updates of an earlier epoch, or without an epoch, change nothing")
def earlier_epoch(context):
    async def play(store, nodes):
        await restore_after(store, writes=5)
        store.change("e1", b"restored")
        await wait_until_known(nodes, "e1", b"restored")
        node = next(node for node in nodes if not node.is_publisher())
        known = dict(node.known)
        for epoch in (0, 1):
            node.follower.handle_news(make_update(node, 0, 99, whole=True, epoch=epoch))
            node.follower.handle_news(make_update(node, 1, 99, epoch=epoch))
        assert node.known == known and node.follower._revision == store.at()

    play_zone(MANY, play)


@then("a watch in an earlier epoch ends once any answer shows the later one")
def waiting_watch(context):
    async def play(store, nodes):
        # The copy has the revision from which nodes watch, so that their watches continue.
        restored = StoredObject("e1", at(1, epoch=2), b"restored")
        store.restore((store.objects | {"e1": restored}, store.revision))
        await anyio.sleep(0.1)
        nodes[0].epoch.observe(store.epoch)
        await wait_until_known(nodes[:1], "e1", b"restored", within_ms=200)

    play_zone(MIN_SHARED_NODES - 1, play)
