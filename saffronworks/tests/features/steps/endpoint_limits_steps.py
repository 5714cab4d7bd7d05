"""Steps on endpoint limits: the state of one node, and the whole path over loopback."""

import time
from functools import partial

import anyio
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding import generation_core
from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.connections import ResponseHead
from saffronworks.forwarding.eligibility.blocks import Block, BlockReason, Eligibility
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit, KnownLimit, LimitTable
from saffronworks.forwarding.endpoint_limits.tuning import ENDED_RETENTION_MS
from saffronworks.forwarding.generation_events import (
    AskPlanner,
    HoldTaken,
    OpenStream,
    ReadFailed,
    ReadPrompt,
    Wait,
)
from saffronworks.forwarding.generation_state import GenerationState, Pools
from saffronworks.forwarding.messages import Begin, KvHold, Refuse
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.tuning import BUDGET_USED_SHARE, HOLD_POLL_MS
from saffronworks.platform.answer_fields import read_limit
from saffronworks.standins.sites import wait_until
from saffronworks.tests.endpoint_fixtures import (
    MOST_STEPS,
    REPLY_KINDS,
    endpoints,
    head_of,
    limits_of_one_node,
    wide_budget,
)
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_place import engines, on_platform, web_servers

# What an endpoint tolerates in any 4 s from nodes that have had its limit for half a second.
WINDOW_S, INFORMED_AFTER_S = 4.0, 0.5
TOLERATED_FACTOR, TOLERATED_MORE = 1.5, 5
PLAY_S = 8.0


def most_in_window(arrived_s):
    return max((sum(at <= one < at + WINDOW_S for one in arrived_s) for at in arrived_s), default=0)


def tolerated(per_s):
    return TOLERATED_FACTOR * per_s * WINDOW_S + TOLERATED_MORE


@given("three endpoints, of which one advertises a limit of {per_s:g} request per second")
def one_limited(context, per_s):
    limit_servers(context, [per_s, None, None])


@given(
    "three endpoints that advertise limits of {first:g}, {second:g} and {third:g} requests "
    "per second"
)
def all_limited(context, first, second, third):
    limit_servers(context, [first, second, third])


def limit_servers(context, limits):
    context.web = web_servers(len(limits))
    context.limits = limits
    for server, per_s in zip(context.web, limits, strict=True):
        server.limit = None if per_s is None else f"{per_s:g}"


def limited(context):
    """Return the limited endpoints and their limits."""
    pairs = zip(context.web, context.limits, strict=True)
    return [(server, per_s) for server, per_s in pairs if per_s is not None]


@given(
    "a decode engine and a prefill engine with limits of {per_s:g} request per second, and a "
    "decode engine without"
)
def limited_engines(context, per_s):
    context.web = engines()
    context.limits = [per_s, None, per_s]
    for server in (context.web[0], context.web[2]):
        server.limit = f"{per_s:g}"


@when("callers send {per_s:d} generations per second to three nodes")
def callers_generate(context, per_s):
    play_callers(context, per_s, lambda place, *args, **on: place.generate("/res/", *args, **on))


@when("callers send {per_s:d} requests per second to three nodes")
def callers_ask(context, per_s):
    play_callers(context, per_s, lambda place, *args, **on: place.ask("/again/", *args, **on))


def play_callers(context, per_s, ask_one):
    async def play(place):
        choices = [node._limits.shared_limit.entry.choice for node in place.nodes]
        assert await wait_until(lambda: all(len(c.cores) == 3 for c in choices), limit_s=6)
        # Holders that have just started assume that their shares are used up.
        await anyio.sleep(WINDOW_S)
        context.began_s = time.monotonic()
        context.asked = await place.ask_evenly(per_s, PLAY_S, partial(ask_one, place))
        context.ended_s = time.monotonic()

    on_platform(context.web, play, count=3)


@then(
    "in no 4 s does a limited endpoint get more requests than it tolerates, once nodes have "
    "its limit"
)
def within_limit(context):
    for server, per_s in limited(context):
        counted = [at for at in server.arrived_s if at >= context.began_s + 2 * INFORMED_AFTER_S]
        assert most_in_window(counted) <= tolerated(per_s), (
            server.instance,
            most_in_window(counted),
        )


@then("all callers are served")
def all_served(context):
    assert {one.status for one in context.asked} == {200}


@then("each gets at least {share:g} of its limit")
def gets_its_part(context, share):
    for server, per_s in limited(context):
        owed = share * per_s * (context.ended_s - context.began_s)
        assert len(server.arrived_s) >= owed, (server.instance, len(server.arrived_s), owed)


@then("the other requests are rejected at once as not executed, with a retry time")
def rejected_at_once(context):
    refused = [one for one in context.asked if one.status != 200]
    assert {one.status for one in refused} == {503}
    assert all(b"endpoints-limited" in one.raw and b"retry-after" in one.raw for one in refused)
    ran = {request_id for server in context.web for request_id in server.ran}
    assert not ran & {one.request_id for one in refused}
    waits_s = sorted(one.took_s for one in refused)
    assert waits_s[len(waits_s) // 2] < 0.1, waits_s


def limited_to(with_limit, backoff_ms):
    """Return an eligibility with limited endpoints, some of them in backoff."""
    blocks = {one: Block(BlockReason.RATE_LIMITED, ms) for one, ms in backoff_ms.items()}
    return Eligibility(blocks, with_limit)


def refused(after_ms):
    return Refuse(503, "endpoints-limited", not_run=True, not_before_ms=after_ms)


SENDS = st.lists(st.sampled_from([*REPLY_KINDS, "used-up", "room"]), max_size=30)


def play_limited(may_repeat, replies, with_limit, in_backoff, budget=None):
    """Run a request; return the endpoints that ran it, those without a permit, and the end."""
    state = plain.PlainState("s", may_repeat, 2, 300, 1500)
    budget = budget or wide_budget()
    backoff_ms = {f"e{n}": 70 + n for n in with_limit & in_backoff}
    eligibility = limited_to({f"e{n}" for n in with_limit}, backoff_ms)
    ran, used_up, now_ms, waiting = [], [], 0, list(replies)
    command = plain.step(state, Begin(), endpoints(4), budget, now_ms, None, eligibility)
    permitted = last = None
    for _ in range(MOST_STEPS):
        if not isinstance(command, plain.SendTo | plain.AcquirePermit):
            # Only the last answer can be relayed.
            assert not isinstance(command, plain.Relay) or last in ("ok", "500"), last
            return ran, used_up, command
        instance = command.endpoint.instance
        reply = waiting.pop(0) if waiting else "ok"
        if isinstance(command, plain.AcquirePermit):
            assert instance in eligibility.limited
            refused = reply == "used-up"
            used_up += [instance] if refused else []
            permitted = None if refused else instance
            event = plain.NotPermitted(instance, 40) if refused else plain.Permitted(instance)
        else:
            assert instance not in eligibility.limited or permitted == instance
            permitted, head, last = None, head_of(reply), reply
            ran += [] if reply in ("unsent", "not-run") else [instance]
            event = plain.Answered(instance, head) if head else None
            silent, sent = reply == "silent", reply != "unsent"
            event = event or plain.Broken(instance, sent=sent, silent=silent)
        command = plain.step(state, event, endpoints(4), budget, now_ms, None, eligibility)
    raise AssertionError("no end")


NUMBERS = st.sets(st.integers(0, 3))


@then(
    "it is never sent to a limited endpoint without a permit, whatever endpoints and holders answer"
)
def needs_permit(context):
    @forall(st.booleans(), SENDS, NUMBERS, NUMBERS)
    def check(may_repeat, replies, with_limit, in_backoff):
        ran, used_up, _ = play_limited(may_repeat, replies, with_limit, in_backoff)
        assert not set(ran) & {f"e{n}" for n in with_limit & in_backoff}
        assert len(ran) <= (2 if may_repeat else 1) and len(set(used_up)) == len(used_up)

    check()


@then("it is refused as not executed only if it has not run, with the time until there is room")
def refused_truly(context):
    @forall(st.booleans(), SENDS, NUMBERS, NUMBERS)
    def check(may_repeat, replies, with_limit, in_backoff):
        ran, _, end = play_limited(may_repeat, replies, with_limit, in_backoff)
        if isinstance(end, Refuse):
            assert end.not_run == (not ran), (ran, end)

    check()
    _, _, end = play_limited(True, ["used-up"] * 2, {0, 1, 2, 3}, {2, 3})
    assert end == refused(40)
    _, _, end = play_limited(True, [], {0, 1, 2, 3}, {0, 1, 2, 3})
    assert end == refused(70)


@then("a refused permit costs nothing of the retry budget")
def spends_nothing(context):
    budget = RetryBudget(0.0, 2 / BUDGET_USED_SHARE, 10_000)
    for _ in range(5):
        play_limited(True, ["500", "used-up", "used-up", "used-up"], {1, 2, 3}, set(), budget)
    assert budget.withdraw("s", 0) and budget.withdraw("s", 0) and not budget.withdraw("s", 0)


@then("a failure signed by an endpoint is relayed if no other endpoint has room")
def passes_failure_on(context):
    ran, _, end = play_limited(True, ["500", "used-up"], {1}, {2, 3})
    assert ran == ["e0"] or isinstance(end, plain.Relay)
    ran, _, end = play_limited(True, ["500"] + ["used-up"] * 3, {1, 2, 3}, set())
    assert (ran, end) == (["e0"], plain.Relay())
    # The first answer can't be relayed once the next endpoint was asked.
    _, _, end = play_limited(True, ["500", "not-run", "used-up", "used-up"], {2, 3}, set())
    assert isinstance(end, Refuse) and end.status == 502, end


def generation(**changes):
    values = {"may_repeat": True, "max_attempts": 2, "target_ms": 900, "arrived_ms": 0}
    values |= {"deadline_at_ms": 5000, "hold_most_ms": 2000}
    return GenerationState("s", 9000, **(values | changes))


@then("it is refused at once if all engines are in backoff, or waits if there is room in time")
def engines_in_backoff(context):
    decoders, readers = endpoints(2, Role.DECODE, "d"), endpoints(1, Role.PREFILL, "p")
    for after_ms, expected in ((2000, refused(1500)), (20, Wait(HOLD_POLL_MS))):
        backoff_ms = {"d0": after_ms, "d1": min(after_ms, 1500)}
        pools = Pools(decoders, readers, limited_to(set(backoff_ms), backoff_ms))
        command = generation_core.step(generation(), Begin(), pools, wide_budget(), 0)
        assert command == expected, command
    half = Pools(decoders, readers, limited_to({"d0"}, {"d0": 2000}))
    command = generation_core.step(generation(), Begin(), half, wide_budget(), 0)
    assert isinstance(command, AskPlanner) and command.avoid == ("d0",), command


@then(
    "if the prefill engine has no room the decode engine runs the prefill, and no prefill is "
    "counted"
)
def prefill_in_backoff(context):
    decoders, readers = endpoints(1, Role.DECODE, "d"), endpoints(1, Role.PREFILL, "p")
    open_pools, state = Pools(decoders, readers), generation()
    taken = HoldTaken(KvHold(decoders[0], "h", 2000))
    command = generation_core.step(state, taken, open_pools, wide_budget(), 0)
    assert isinstance(command, ReadPrompt) and state.reads == 1
    unread = ReadFailed("p0", broken=False, sent=False)
    command = generation_core.step(state, unread, open_pools, wide_budget(), 0)
    assert command == OpenStream(decoders[0]) and state.reads == 0
    in_backoff = Pools(decoders, readers, limited_to({"p0"}, {"p0": 500}))
    command = generation_core.step(generation(), taken, in_backoff, wide_budget(), 0)
    assert command == OpenStream(decoders[0])


ANSWERS = st.builds(
    AdvertisedLimit,
    per_s=st.sampled_from([None, 1.0, 2.4]),
    sent_ms=st.integers(0, 50),
    ran=st.booleans(),
)


@then("only a later answer ends a limit, in whatever order answers arrive")
def ends_truly(context):
    @forall(st.lists(ANSWERS, max_size=12))
    def check(answers):
        table, limit_ms = LimitTable(), None
        for now_ms, answer in enumerate(answers, 40):
            table.record_answer("e", answer, now_ms)
            if answer.per_s is not None:
                limit_ms, per_s = now_ms, answer.per_s
            elif answer.ran and limit_ms is not None and answer.sent_ms > limit_ms:
                limit_ms = None
            assert table.find("e") == (None if limit_ms is None else per_s)

    check()


@then("nodes that exchange updates converge to the newest limit")
def newest_wins(context):
    heard = st.builds(KnownLimit, st.sampled_from([None, 1.0, 2.4]), st.integers(0, 50))

    @forall(
        st.lists(heard, min_size=1, max_size=6, unique_by=lambda one: one.observed_ms), st.data()
    )
    def check(news, data):
        table = LimitTable()
        for one in data.draw(st.permutations(news)):
            table.record_update("e", one)
        assert table.find("e") == max(news, key=lambda one: one.observed_ms).per_s

    check()


@then("removed endpoints are dropped")
def forgets(context):
    table = LimitTable()
    for instance in ("a", "b", "c"):
        table.record_answer(instance, AdvertisedLimit(1.0, 0), 10)
    table.record_answer("b", AdvertisedLimit(None, 20), 21)
    table.forget_all_but({"a", "b"}, 22)
    assert [table.entry(one) is not None for one in "abc"] == [True, True, False]
    table.forget_all_but({"a", "b"}, 20 + ENDED_RETENTION_MS)
    assert [table.entry(one) is not None for one in "abc"] == [True, False, False]


def read(*values):
    fields = [("server-limit", value) for value in values]
    return read_limit(ResponseHead(200, [("request-id", "r1"), *fields]), 7)


@then("a limit is a plain number, the smallest of several; any other value is ignored")
def reads_limits(context):
    assert read() == AdvertisedLimit(None, 7)
    assert [read(text).per_s for text in ("2.4", " 1 ", "0", "0.05")] == [2.4, 1.0, 0.0, 0.05]
    assert read("3", "2.4").per_s == 2.4
    for status, fields in (
        (500, [("request-id", "r1")]),
        (503, [("not-executed", "1")]),
        (200, []),
    ):
        assert not read_limit(ResponseHead(status, fields), 7).ran, status
    odd = ["", " ", "-1", "1e3", "nan", "inf", "²", "1,2", "9" * 400, "1_0", "0x1", "+1"]
    for text in odd:
        answer = read("2", text)
        assert answer.per_s is None and answer.malformed is not None and len(answer.malformed) < 50

    @forall(st.text(st.characters(max_codepoint=255), max_size=30))
    def check(text):
        answer = read(text)
        assert (answer.per_s is None) == (answer.malformed is not None)
        assert answer.per_s is None or 0 <= answer.per_s < 1e15

    check()


@then("a malformed value is logged once, with the current limit")
def told_once(context):
    with LogLines("saffronworks.forwarding.endpoint_limits.service") as lines:
        endpoint, limits = endpoints(1)[0], limits_of_one_node()
        limits.observe(endpoint, read("2.4"))
        for _ in range(5):
            limits.observe(endpoint, read("many"))
    unreadable = [line for line in lines if "unreadable" in line]
    assert len(unreadable) == 1 and "'many'" in unreadable[0] and "per_s=2.4" in unreadable[0]
    assert limits.find(endpoint.instance) == 2.4
