"""Scenarios on the limits that endpoints name: what a node knows, and the path over loopback."""

import time

import anyio
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding.connections import RawHead
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.endpoint_limits.table import LimitTable, LimitWord, NamedLimit
from saffronworks.forwarding.endpoint_limits.tuning import KEEP_ENDED_MS
from saffronworks.platform.calls import read_limit
from saffronworks.standins.sites import wait_until
from saffronworks.tests.endpoint_plays import endpoints
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_place import on_platform, web_servers

# What an endpoint tolerates in any 4 s, of nodes that were told half a second ago or earlier.
WINDOW_S, TOLD_S = 4.0, 0.5
TOLERATED_FACTOR, TOLERATED_MORE = 1.5, 5
PLAY_S = 8.0
LEAST_SERVED_SHARE = 0.8


def most_in_window(arrived_s):
    return max((sum(at <= one < at + WINDOW_S for one in arrived_s) for at in arrived_s), default=0)


def tolerated(per_s):
    return TOLERATED_FACTOR * per_s * WINDOW_S + TOLERATED_MORE


@given("three endpoints of which one names a limit of {per_s:g} request a second")
def one_limited(context, per_s):
    context.per_s = per_s
    context.web = web_servers(3)
    context.web[0].limit = f"{per_s:g}"


async def ask_each(place, statuses, per_s):
    """Callers at all nodes in turn, evenly, for `PLAY_S`."""

    async def ask(number):
        node = place.nodes[number % len(place.nodes)]
        raw = await place.ask("/again/", f"r{number}", method="GET", node=node)
        statuses.append(int(raw.split(b" ")[1]))

    async with anyio.create_task_group() as tasks:
        for number in range(int(PLAY_S * per_s)):
            tasks.start_soon(ask, number)
            await anyio.sleep(1 / per_s)


@when("callers ask for {per_s:d} requests a second at {count} nodes")
def callers_ask(context, per_s, count):
    context.statuses = []

    async def play(place):
        choices = [node._quotas.bound.entry.choice for node in place.nodes]
        assert await wait_until(lambda: all(len(c.cores) == 3 for c in choices), limit_s=6)
        context.began_s = time.monotonic()
        await ask_each(place, context.statuses, per_s)

    on_platform(context.web, play, count=3)


@then("no 4 s have more requests at the limited one than it tolerates of nodes that were told")
def within_limit(context):
    told = [at for at in context.web[0].arrived_s if at >= context.began_s + 2 * TOLD_S]
    assert most_in_window(told) <= tolerated(context.per_s), most_in_window(told)


@then("it gets {share:g} of what it takes, and all callers are served")
def gets_its_part(context, share):
    asked_s = time.monotonic() - context.began_s
    assert len(context.web[0].arrived_s) >= share * context.per_s * min(PLAY_S, asked_s)
    assert set(context.statuses) == {200}, context.statuses


WORDS = st.builds(
    LimitWord,
    per_s=st.sampled_from([None, 1.0, 2.4]),
    sent_ms=st.integers(0, 50),
    ran=st.booleans(),
)


@then("whatever answers say, and in whatever order, a limit ends only by an answer made after it")
def ends_truly(context):
    @forall(st.lists(WORDS, max_size=12))
    def check(words):
        table, named_ms = LimitTable(), None
        for now_ms, word in enumerate(words, 40):
            table.take_word("e", word, now_ms)
            if word.per_s is not None:
                named_ms, per_s = now_ms, word.per_s
            elif word.ran and named_ms is not None and word.sent_ms > named_ms:
                named_ms = None
            assert table.find("e") == (None if named_ms is None else per_s)

    check()


@then("nodes that tell each other what they heard end up with the newest")
def newest_wins(context):
    heard = st.builds(NamedLimit, st.sampled_from([None, 1.0, 2.4]), st.integers(0, 50))

    @forall(st.lists(heard, min_size=1, max_size=6, unique_by=lambda one: one.heard_ms), st.data())
    def check(news, data):
        table = LimitTable()
        for one in data.draw(st.permutations(news)):
            table.take_news("e", one)
        assert table.find("e") == max(news, key=lambda one: one.heard_ms).per_s

    check()


@then("endpoints that are gone are forgotten")
def forgets(context):
    table = LimitTable()
    for instance in ("a", "b", "c"):
        table.take_word(instance, LimitWord(1.0, 0), 10)
    table.take_word("b", LimitWord(None, 20), 21)
    table.forget_all_but({"a", "b"}, 22)
    assert [table.entry(one) is not None for one in "abc"] == [True, True, False]
    table.forget_all_but({"a", "b"}, 20 + KEEP_ENDED_MS)
    assert [table.entry(one) is not None for one in "abc"] == [True, False, False]


def read(*values):
    return read_limit(RawHead(200, [("server-limit", value) for value in values]), 7)


@then("a limit is a plain number, of several the least, and anything else leaves what was known")
def reads_limits(context):
    assert read() == LimitWord(None, 7)
    assert [read(text).per_s for text in ("2.4", " 1 ", "0", "0.05")] == [2.4, 1.0, 0.0, 0.05]
    assert read("3", "2.4").per_s == 2.4
    odd = ["", " ", "-1", "1e3", "nan", "inf", "²", "1,2", "9" * 400, "1_0", "0x1", "+1"]
    for text in odd:
        word = read("2", text)
        assert word.per_s is None and word.unreadable is not None and len(word.unreadable) < 50

    @forall(st.text(st.characters(max_codepoint=255), max_size=30))
    def check(text):
        word = read(text)
        assert (word.per_s is None) == (word.unreadable is not None)
        assert word.per_s is None or 0 <= word.per_s < 1e15

    check()


@then("what can't be read is told once, with what is known")
def told_once(context):
    with LogLines("saffronworks.forwarding.endpoint_limits.service") as lines:
        limits, endpoint = EndpointLimits(lambda: 10), endpoints(1)[0]
        limits.hear(endpoint, read("2.4"))
        for _ in range(5):
            limits.hear(endpoint, read("many"))
    unreadable = [line for line in lines if "unreadable" in line]
    assert len(unreadable) == 1 and "'many'" in unreadable[0] and "per_s=2.4" in unreadable[0]
    assert limits.find(endpoint.instance) == 2.4
