"""Steps on planned ends of nodes, and on answers that a planned end of an endpoint cuts off."""

import functools
import logging
import random
import time
from collections import Counter
from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding import generation_core, plain_core
from saffronworks.forwarding.answer_times import (
    PRIOR_MS_PER_TOKEN,
    RETRY_VALUE,
    ServiceTimes,
    may_begin,
)
from saffronworks.forwarding.generation_events import HoldTaken
from saffronworks.forwarding.messages import Begin, KvHold, PromptSize, Refuse
from saffronworks.forwarding.paths.relay_server import RelayServer
from saffronworks.forwarding.planned_ends import NO_TIME_LEFT
from saffronworks.forwarding.planning.tuning import FIRST_EVENT_MS, HINT_ERROR
from saffronworks.forwarding.runners import send_refusal
from saffronworks.forwarding.serving_nodes import ServingNodes
from saffronworks.forwarding.tuning import SHORTER_LIST_MS
from saffronworks.standins.sites import wait_until
from saffronworks.tests import generation_simulation
from saffronworks.tests.crashing_servers import CRASHING, Arrivals, CrashingServer
from saffronworks.tests.cut_paths import Cut, CutPaths
from saffronworks.tests.endpoint_fixtures import endpoints, wide_budget
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import BOUNDS, FakeServer
from saffronworks.tests.platform_place import CONFIG, engines, make_route, on_platform, web_servers

SLOW = {"timeout_ms": 20_000, "target_latency_ms": 15_000, "max_attempts": 1}
SLOW_ROUTES = [
    make_route("once", "/once/", "non_idempotent", "web", **SLOW),
    make_route("once-stream", "/gen/", "streaming", "llm", sticky=True, **SLOW),
]
SLOW_CONFIG = CONFIG | {"routes": SLOW_ROUTES}
SHORT_GRACE = BOUNDS | {"grace_s": 3.5}
# The deadline of a page, and the timeout of a route for streams.
DEADLINE_S = 3.0
# Until requests are relayed, and from the stop of the node that relays them until they have ended.
RELAYED_S, END_S = 10.0, 5.0
GENERATION = {"Token-Counts": "5000,9000", "Length-Hint": "3000", "Deadline-Ms": "20000"}


@when("a node is stopped while requests take longer than its grace")
def stopped_before_ends(context):
    servers = [*web_servers(), *engines()]
    servers[0].work_s = 10
    for server in servers[1:]:
        server.events, server.event_s = 100, 0.1
    context.raws = {}

    async def play(place):
        async def ask(request_id, path, headers):
            context.raws[request_id] = await place.ask(path, request_id, headers)

        place.tasks.start_soon(ask, "runs", "/once/", {"Deadline-Ms": "20000"})
        place.tasks.start_soon(ask, "streams", "/gen/", GENERATION)
        await anyio.sleep(0.5)
        for server in servers[1:]:
            server.full = True
        place.tasks.start_soon(ask, "waits", "/gen/", GENERATION)
        await anyio.sleep(0.2)
        place.node.stop()
        assert await wait_until(lambda: len(context.raws) == 3, limit_s=5)
        assert await wait_until(lambda: "event=stop " in context.lines[-1], limit_s=2)

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, SLOW_CONFIG, bounds=SHORT_GRACE)


@then("one that a server may have run gets 504 with its id, and one that waits a true refusal")
def answers_itself(context):
    runs, waits = context.raws["runs"].lower(), context.raws["waits"].lower()
    assert runs.startswith(b"http/1.1 504") and b"\r\nrequest-id: runs\r\n" in runs, runs
    assert b"retry-after" not in runs, runs
    assert waits.startswith(b"http/1.1 503") and b"\r\nretry-after: " in waits, waits


@then("a begun stream is cut, and the log gives the reason for each of the three")
def logs_ends(context):
    streams = context.raws["streams"]
    assert b"id: 2\n" in streams and not streams.endswith(b"0\r\n\r\n"), streams
    ends = [line for line in context.lines if "reason=stopping" in line]
    expected = [("cut", "streams"), ("refuse", "runs"), ("refuse", "waits")]
    found = sorted(tuple(line.split()[i].partition("=")[2] for i in (0, 1)) for line in ends)
    assert found == expected, ends
    assert context.lines[-1].endswith("open_requests=0"), context.lines[-1]


@then("the bound on lines applies to its true refusals, and not to requests that may have run")
def bounds_refusals(_):
    job = Mock(request=Mock(request_id="r", arrived_ms=0, left_ms=1000), config_version=1)
    job.reply.refuse = AsyncMock()
    node = Mock(now_ms=lambda: 10, end_level=logging.WARNING)
    with LogLines("saffronworks", logging.WARNING) as lines:
        anyio.run(send_refusal, node, job, NO_TIME_LEFT)
        assert not lines, lines
        anyio.run(send_refusal, node, job, Refuse(504, "stopping", not_run=False))
    assert len(lines) == 1 and "reason=stopping" in lines[0], lines


@then("the same holds for requests that it relays")
def bounds_relay_refusals(_):
    server = RelayServer(Mock(), Mock(), Mock(), Mock(), Mock())
    server.closing = True
    with LogLines("saffronworks", logging.WARNING) as lines:
        anyio.run(server._refuse, AsyncMock(), "stopping")
        assert not lines, lines
        anyio.run(server._refuse, AsyncMock(), "stopping", True)
    assert len(lines) == 1 and "sent=True" in lines[0], lines


def generation(answer_tokens, hint):
    counts = {"Token-Counts": f"500,{answer_tokens}", "Length-Hint": str(hint)}
    return counts | {"Deadline-Ms": "20000"}


@when("a node that other nodes can replace is stopped, and requests arrive meanwhile")
def requests_while_draining(context):
    servers = [*web_servers(), *engines()]
    context.raws = {}

    def play_with(name, nodes):
        async def play(place):
            known = place.node._memory.choice
            assert await wait_until(lambda: len(known.cores) == nodes, limit_s=5)
            place.node.stop()
            await anyio.sleep(0.1)
            context.raws[name, "short"] = await place.ask("/gen/", "short", generation(900, 100))
            context.raws[name, "plain"] = await place.ask(
                "/once/", "plain", {"Deadline-Ms": "1500"}
            )
            context.raws[name, "long"] = await place.ask("/gen/", "long", generation(9000, 9000))
            context.ran = [request_id for server in servers for request_id in server.ran]

        on_platform(servers, play, SLOW_CONFIG, count=nodes, bounds=SHORT_GRACE)

    play_with("two", 2)
    context.ran_by_two = context.ran
    play_with("one", 1)


@then("a generation that fits is served whole, and a plain request too")
def served_whole(context):
    short, plain = context.raws["two", "short"], context.raws["two", "plain"]
    assert short.startswith(b"HTTP/1.1 200") and short.endswith(b"0\r\n\r\n"), short
    assert plain.startswith(b"HTTP/1.1 200") and plain.endswith(b"plain"), plain


@then("one that is too long is refused at once, without a run, and its connection closed")
def refused_at_once(context):
    long = context.raws["two", "long"].lower()
    assert long.startswith(b"http/1.1 503") and b"node-draining" in long, long
    assert b"\r\nretry-after: 0.1" in long and b"\r\nconnection: close\r\n" in long, long
    assert context.ran_by_two == ["plain", "short"], context.ran_by_two


@then("it is served by a node without others")
def served_alone(context):
    long = context.raws["one", "long"]
    assert long.startswith(b"HTTP/1.1 200") and long.endswith(b"0\r\n\r\n"), long


@when("a node that started lately is stopped beside a serving one, and a long generation comes")
def restarted_node_stops(context):
    servers = engines()

    async def play(place):
        known = place.node._memory.choice
        assert await wait_until(lambda: len(known.cores) == 2, limit_s=5)
        place.node.stop()
        await anyio.sleep(0.1)
        context.raw = await place.ask("/gen/", "long", generation(9000, 9000))
        context.ran = [request_id for server in servers for request_id in server.ran]

    on_platform(servers, play, SLOW_CONFIG, count=2, bounds=SHORT_GRACE, first_start=False)


@then("it is refused without a run")
def refused_without_run(context):
    assert context.raw.startswith(b"HTTP/1.1 503") and b"node-draining" in context.raw, context.raw
    assert not context.ran, context.ran


@then("the share that serves is that of the latest lists, at 3 nodes as at 1600")
def share_of_listed(_):
    for others in (2, 1599):
        serving = ServingNodes()
        assert serving.share(0) == 1, "nothing speaks against the others yet"
        serving.update(others, 0)
        assert serving.share(1) == 1
        serving.update(others - 1, 1000)
        assert serving.share(1000) == (others - 1) / others
        assert serving.share(1000 + SHORTER_LIST_MS) == 1, "the node that left is forgotten"
        serving.update(0, 40_000)
        assert serving.share(40_000) == 0


@when("a node is stopped, and callers connect to it for four seconds")
def callers_come_on(context):
    context.raws, context.quiet_s = [], 0.0

    async def play(place):
        place.node.stop()
        began_s = time.monotonic()
        while time.monotonic() - began_s < 4:
            number = len(context.raws)
            raw = await place.ask("/again/", f"r{number}", {"Deadline-Ms": "900"})
            context.raws.append(raw)
            await anyio.sleep(0.2)
        context.long = await place.ask("/gen/", "long", generation(9000, 9000))
        quiet_from_s = time.monotonic()
        assert await wait_until(lambda: "event=stop " in context.lines[-1], limit_s=5)
        context.quiet_s = time.monotonic() - quiet_from_s

    with LogLines("saffronworks") as context.lines:
        routes = [make_route("again", "/again/", "idempotent", "web"), SLOW_ROUTES[1]]
        on_platform([*web_servers(), *engines()], play, CONFIG | {"routes": routes})


@then("each short request is answered, a generation that may not end in time is refused")
def short_ones_served(context):
    assert len(context.raws) > 10
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws
    assert context.long.startswith(b"HTTP/1.1 503") and b"node-draining" in context.long


@then("the node stops soon after they stay away")
def stops_soon(context):
    assert context.quiet_s < 2, context.quiet_s


SHARES = st.floats(0, 1)
TIMES_MS = st.floats(0, 60_000)
PROMPTS = st.builds(PromptSize, st.just(500), st.integers(1, 9000), st.integers(1, 9000))


@then("the surer it ends in time and the fewer other nodes serve, the rather it is begun")
def decides_begin(context):
    @forall(SHARES, SHARES, SHARES)
    def holds(chance, serving, more):
        assert may_begin(False, chance, 0, announced=False)
        assert may_begin(False, 0, serving, announced=False) is (serving == 0)
        begins = may_begin(False, chance, serving, announced=False)
        assert not begins or may_begin(False, min(1, chance + more), serving, announced=False)
        assert not begins or may_begin(False, chance, serving * more, announced=False)

    holds()


@then("after the notice it is begun only if its own deadline lies before the end")
def deadline_decides(context):
    @forall(SHARES, SHARES, st.booleans())
    def holds(chance, serving, announced):
        assert may_begin(True, chance, serving, announced)
        assert not may_begin(False, chance, serving, announced=True)
        assert not may_begin(False, 1, 0, announced=True)

    holds()


@then("its chance grows with the time that is left, and relies on no pace that was not measured")
def chance_grows(context):
    @forall(TIMES_MS, TIMES_MS, PROMPTS)
    def holds(left_ms, more_ms, prompt):
        times = ServiceTimes()
        chance = times.chance_within(left_ms, prompt, 0)
        assert 0 <= chance <= times.chance_within(left_ms + more_ms, prompt, 0)
        assert chance <= times.chance_within(left_ms, prompt, prompt.most_answer_tokens // 2)
        tokens = min(prompt.most_answer_tokens, prompt.likely_tokens)
        most_ms = FIRST_EVENT_MS + tokens * SLOW_MS_PER_TOKEN / 2
        assert times.chance_within(most_ms, prompt, 0) < RETRY_VALUE
        slowest_ms = FIRST_EVENT_MS + max(PRIOR_MS_PER_TOKEN) * (prompt.most_answer_tokens + 1)
        assert times.chance_within(slowest_ms, prompt, 0) == 1

    holds()


# Times per token of the endpoints of the users' sheets, and of a pause.
FAST_MS_PER_TOKEN, SLOW_MS_PER_TOKEN, PAUSE_MS = 0.6, 5.1, 1200
PACES = {
    "fast": lambda rng: (FAST_MS_PER_TOKEN, 0),
    "slow": lambda rng: (SLOW_MS_PER_TOKEN, 0),
    "mixed": lambda rng: (rng.uniform(FAST_MS_PER_TOKEN, SLOW_MS_PER_TOKEN), 0),
    "paused": lambda rng: (FAST_MS_PER_TOKEN, rng.choice([0, PAUSE_MS])),
}
SAMPLE_COUNTS = (0, 1, 3, 10, 40)


def draw_stream(rng, kind):
    """Return a stream's prompt, its length in tokens, and its times in ms."""
    hint = rng.randint(50, 2000)
    length = max(1, min(4000, int(hint * rng.lognormvariate(0, HINT_ERROR))))
    ms_per_token, pause_ms = PACES[kind](rng)
    span_ms = int(length * ms_per_token) + pause_ms
    return PromptSize(500, 4000, hint), length, rng.randint(100, 500), span_ms


@when("streams of {kind} endpoints are measured, and others are begun by their chance")
def begun_by_chance(context, kind):
    rng, context.begun, context.chances = random.Random(kind), {}, []
    for count in SAMPLE_COUNTS:
        begun = context.begun[count] = []
        for _ in range(400):
            times = ServiceTimes()
            for _ in range(count):
                prompt, length, first_ms, span_ms = draw_stream(rng, kind)
                times.learn_pace(first_ms, length, span_ms)
                times.learn_length(prompt.likely_tokens, length)
            prompt, _, first_ms, span_ms = draw_stream(rng, kind)
            left_ms = rng.uniform(500, 7200)
            ends, chance = first_ms + span_ms <= left_ms, times.chance_within(left_ms, prompt, 0)
            if may_begin(False, chance, 1, announced=False):
                begun.append(ends)
            if count == max(SAMPLE_COUNTS):
                context.chances.append((chance, ends))


@then("at least nine tenths of those that are begun end in time, with few samples and with many")
def begun_end_in_time(context):
    for count, begun in context.begun.items():
        assert begun and sum(begun) >= RETRY_VALUE * len(begun), (count, sum(begun), len(begun))


@then("with many samples their chance is the share that ends in time, and nowhere far above it")
def chance_is_share(context):
    def means(least, most):
        among = [pair for pair in context.chances if least <= pair[0] < most]
        return [sum(values) / len(among) for values in zip(*among, strict=True)]

    chance, share = means(0, 1.01)
    assert abs(chance - share) <= 1 - RETRY_VALUE, (chance, share)
    for least, most in ((0, 0.3), (0.3, 0.7), (0.7, 1.01)):
        chance, share = means(least, most)
        assert chance <= share + 1 - RETRY_VALUE, (least, chance, share)


@when("a node handles its signal to stop 2.5 s late, and requests come")
def late_signal(context):
    async def play(place):
        place.node._stop_signal.record(monotonic_ms() - 2500)
        place.node.stop()
        await anyio.sleep(0.05)
        context.long = await place.ask("/gen/", "long", generation(900, 100))
        context.near = await place.ask("/once/", "near", {"Deadline-Ms": "900"})
        context.ran = [request_id for server in place.servers.values() for request_id in server.ran]

    on_platform([*web_servers(), *engines()], play, SLOW_CONFIG)


@then("one without a near deadline is refused, and one with a near deadline is served")
def notice_counts_from_signal(context):
    assert context.long.startswith(b"HTTP/1.1 503") and b"node-draining" in context.long
    assert context.near.startswith(b"HTTP/1.1 200") and context.near.endswith(b"near")
    assert context.ran == ["near"], context.ran


@when("a node is stopped, and the notice passes while the prompt of a stream is read")
def read_beyond_notice(context):
    servers = [*web_servers(), *engines()]
    servers[-1].read_s = 1.0

    async def play(place):
        async def stop():
            await anyio.sleep(0.3)
            place.node._stop_signal.record(monotonic_ms() - 2000)
            place.node.stop()

        place.tasks.start_soon(stop)
        context.raw = await place.ask("/gen/", "reads", GENERATION)
        context.ran = [request_id for server in servers for request_id in server.ran]

    on_platform(servers, play, SLOW_CONFIG)


@then("the stream is refused without a run")
def refused_unrun(context):
    raw = context.raw.lower()
    assert raw.startswith(b"http/1.1 503") and b"node-draining" in raw, raw
    assert b"\r\nretry-after: " in raw and not context.ran, (raw, context.ran)


@when("a node is stopped, and runs of a page and a stream without an answer yet break later")
def runs_break_after_notice(context):
    servers = [*web_servers(2), *engines()]
    for server in servers:
        server.silences = {"answer": 1.0}
        server.script = ["reset" if server.stage is None else "break-1"]
    slow = SLOW | {"max_attempts": 3}
    routes = [
        make_route("again", "/again/", "idempotent", "web", **slow),
        make_route("resumable", "/res/", "streaming", "llm", resumable=True, **slow),
    ]
    context.raws = {}

    def ran():
        return sorted(request_id for server in servers for request_id in server.ran)

    async def play(place):
        async def ask(request_id, path, headers):
            context.raws[request_id] = await place.ask(path, request_id, headers)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, "page", "/again/", {"Deadline-Ms": "20000"})
            tasks.start_soon(ask, "stream", "/res/", GENERATION)
            assert await wait_until(lambda: ran() == ["page", "stream"], limit_s=2), ran()
            place.node._stop_signal.record(monotonic_ms() - 2300)
            place.node.stop()
        context.ran = ran()

    on_platform(servers, play, CONFIG | {"routes": routes})


@then("each gets 502 without another run")
def answered_without_another_run(context):
    assert context.ran == ["page", "stream"], (context.ran, context.raws)
    for raw in context.raws.values():
        assert raw.startswith(b"HTTP/1.1 502") and b"node-draining" in raw, context.raws
        assert b"\r\nretry-after: " not in raw.lower(), context.raws


@when("a node with a stream under way handles its signal to stop 1.5 s late")
def late_end(context):
    servers = [*web_servers(), *engines()]
    for server in servers[1:]:
        server.events, server.event_s = 100, 0.1

    async def play(place):
        async def stop():
            await anyio.sleep(0.5)
            context.stopped_s = time.monotonic()
            place.node._stop_signal.record(monotonic_ms() - 1500)
            place.node.stop()

        place.tasks.start_soon(stop)
        context.raw = await place.ask("/gen/", "streams", GENERATION)
        context.took_s = time.monotonic() - context.stopped_s

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, SLOW_CONFIG, bounds=SHORT_GRACE)


@then("the stream is cut within the rest of its grace, and the log says how late it was")
def ends_within_grace(context):
    assert b"id: 2\n" in context.raw and not context.raw.endswith(b"0\r\n\r\n"), context.raw
    assert context.took_s < SHORT_GRACE["grace_s"] - 1.5, context.took_s
    told = [line for line in context.lines if line.startswith("event=drain ")]
    assert len(told) == 1 and "recorded_late_ms=1500 handled_late_ms=15" in told[0], told


@when("a node with 3.5 s of grace handles its signal to stop {late_ms:d} ms late")
def handled_late(context, late_ms):
    async def play(place):
        place.node._stop_signal.record(monotonic_ms() - late_ms)
        place.node.stop()
        end = place.node._state.planned_end
        context.before_ms = SHORT_GRACE["grace_s"] * 1000 - (end.ends_ms - end.stop_sent_ms)

    on_platform(web_servers(), play, SLOW_CONFIG, bounds=SHORT_GRACE)


@then("its open requests are ended {before_ms:d} ms before SIGKILL")
def ended_before_kill(context, before_ms):
    # Two readings of a clock in ms.
    assert abs(context.before_ms - before_ms) <= 5, context.before_ms


@when("endpoints that are {listed} end in the middle of such answers, and others go on")
def leaving_endpoints_end(context, listed):
    ending = [CrashingServer("w0", "web", None, Arrivals(), down_s=9.0)]
    ending += [CrashingServer("d0", "llm", "decode", Arrivals(), down_s=9.0)]
    staying = [FakeServer("w1", "web"), FakeServer("d1", "llm", "decode")]
    for server in ending:
        server.head_first = server.unframed = True
        server.runs_s = 0.6
    staying[0].work_s, staying[0].script = 0.6, ["unframed"]
    staying[1].script = ["unframed"]
    context.raws = {}

    async def ask_both(place, name):
        async def ask(kind, asking):
            context.raws[kind, name] = await asking

        async with anyio.create_task_group() as tasks:
            page = place.ask("/once-slow/", f"{name}-page", body=CRASHING)
            tasks.start_soon(ask, "page", page)
            stream = place.generate("/gen/", f"{name}-stream", body=CRASHING)
            tasks.start_soon(ask, "stream", stream)
            await anyio.sleep(0.2)
            for server in ending if name == "ends" else staying:
                if listed == "no more":
                    place.store.remove("servers", server.instance)
                else:
                    place.store.put("servers", server.instance, server.entry("draining"))

    async def play(place):
        def known():
            return place.node._directory.endpoints.keys()

        for server in staying:
            place.store.remove("servers", server.instance)
        assert await wait_until(lambda: known() == {"w0", "d0", "p0"}, limit_s=3), known()
        await ask_both(place, "ends")
        for server in staying:
            place.store.put("servers", server.instance, server.entry())
        assert await wait_until(lambda: known() >= {"w1", "d1"}, limit_s=3), known()
        await ask_both(place, "goes-on")
        context.idle = place.node._quarantine._state.idle

    slow = make_route("once-slow", "/once-slow/", "non_idempotent", "web", max_attempts=1)
    config = CONFIG | {"routes": [slow, *CONFIG["routes"]]}
    on_platform([*ending, *staying, FakeServer("p0", "llm", "prefill")], play, config)


@then("the stream has no proper end, and the page is no success")
def ends_are_seen(context):
    stream, page = context.raws["stream", "ends"], context.raws["page", "ends"]
    assert b"id: 1" in stream and not stream.endswith(b"0\r\n\r\n"), stream
    assert page.startswith(b"HTTP/1.1 502"), page


@then("those that go on give whole answers, and no content is suspected")
def goes_on_whole(context):
    stream, page = context.raws["stream", "goes-on"], context.raws["page", "goes-on"]
    assert b"id: 3" in stream and stream.endswith(b"0\r\n\r\n"), stream
    assert page.startswith(b"HTTP/1.1 200") and b"goes-on-page" in page, page
    assert context.idle


@when("by seed {seed:d} a node is stopped while it and others serve and relay requests")
def stopped_in_all_phases(context, seed):
    rng = random.Random(seed)
    servers = context.servers = [*web_servers(2), *engines()]
    servers[0].limit = "60"
    for server in servers:
        server.work_s = rng.uniform(0.01, 0.4) if server.stage is None else 0.0
        server.read_s, server.event_s = rng.uniform(0, 0.4), rng.uniform(0, 0.3)
    # The node that is cut off from all endpoints: the one that stops, or another.
    cut_off = rng.randrange(2)

    async def play(place):
        async def signal_all():
            for at_s, send in sorted(events, key=lambda event: event[0]):
                await anyio.sleep(max(0, began_s + at_s - time.monotonic()))
                send()

        async def ask(request_id, node):
            if node is place.node and time.monotonic() > began_s + 3:
                return None
            kind = int(request_id[1:]) // len(place.nodes) % 4
            if kind < 2:
                return await place.ask(("/once/", "/again/")[kind], request_id, node=node)
            resumes = {"Last-Event-Id": "1", "Resumes": "r0"} if kind == 3 else {}
            path = "/res/" if kind == 3 else "/gen/"
            return await place.ask(path, request_id, GENERATION | resumes, node=node)

        cores = place.nodes[2]._memory.choice
        assert await wait_until(lambda: len(cores.cores) == 3, limit_s=5)
        CutPaths(place).cut(cut_off, Cut.HANG)
        await anyio.sleep(2)
        began_s, node, new_table = time.monotonic(), place.node, config | {"version": 4}
        events = [(1.0, node.stop), (rng.uniform(1, 3), node.stop)]
        events += [(rng.uniform(0.8, 2), node._settings_watch.reload)]
        put = functools.partial(place.store.put, "config", "main", new_table)
        events += [(rng.uniform(0.8, 1.5), put)]
        place.tasks.start_soon(signal_all)
        context.asked = await place.ask_evenly(45, 3.2, ask)
        context.rejected = [node._gate.rejected for node in place.nodes]

    # With the usual timeout of a second, a busy machine ends requests that no planned end touches.
    once = make_route("once", "/once/", "non_idempotent", "web", max_attempts=1, timeout_ms=4000)
    config = CONFIG | {"routes": [once, *CONFIG["routes"][1:]]}
    on_platform(servers, play, config, count=3)


def _reached_deadline(asked):
    """Whether a request had all of its time, and then failed as one that may have run, or was cut.

    A busy machine makes requests take longer than that.
    """
    begun = asked.raw.startswith((b"HTTP/1.1 504", b"HTTP/1.1 200"))
    return begun and asked.took_s >= DEADLINE_S


@then("each request gets a whole answer, or a true refusal")
def loses_none(context):
    """No request that a node has read is lost; all others were closed unread by their node's gate.

    A connection that the gate rejects is never read, so its caller gets nothing. If a node's count
    of them is that of its callers without a byte, each of these was rejected.
    """
    asked = [one for one in context.asked if one.raw is not None]
    ran = {request_id for server in context.servers for request_id in server.ran}
    unanswered = [one for one in asked if not one.raw]
    nodes = Counter(one.node for one in unanswered)
    assert [nodes[node] for node in range(3)] == context.rejected, (context.rejected, unanswered)
    assert not ran & {one.request_id for one in unanswered}, unanswered
    lost = []
    for one in asked:
        if not one.raw or _reached_deadline(one):
            continue
        raw = one.raw.lower()
        ends = (b"0\r\n\r\n", b"\r\n\r\n" + one.request_id.encode())
        whole = raw.startswith(b"http/1.1 200") and raw.endswith(ends)
        refused = raw.startswith(b"http/1.1 503") and b"\r\nretry-after: " in raw
        if not whole and not (refused and one.request_id not in ran):
            lost.append((one.request_id, one.node, one.took_s, one.raw[:300]))
    served = sum(one.raw.startswith(b"HTTP/1.1 200") for one in asked)
    assert not lost, (len(lost), len(asked), served, lost[:6])
    assert served > len(asked) / 3, (served, len(asked))


@when("a node is stopped that relays a stream and a page which take longer than its grace")
def relaying_node_stopped(context):
    servers = [*web_servers(), *engines()]
    servers[0].work_s = RELAYED_S + END_S
    for server in servers[1:]:
        server.events, server.event_s = int(10 * (RELAYED_S + END_S)), 0.1
    context.raws, stopped = {}, []

    def run_both():
        streams = any("stream" in server.ran for server in servers[1:])
        return servers[0].ran and streams

    async def play(place):
        async def ask(request_id, path, headers):
            node, limit_s = place.nodes[1], RELAYED_S + END_S
            while True:
                raw = await place.ask(path, request_id, headers, node=node, limit_s=limit_s)
                # A late node may refuse a request as not run, which its caller then repeats.
                if stopped or not raw.startswith(b"HTTP/1.1 503"):
                    break
            context.raws[request_id] = raw

        paths = CutPaths(place)
        cores = place.nodes[1]._memory.choice
        assert await wait_until(lambda: len(cores.cores) == 2, limit_s=5)
        paths.cut(1, Cut.HANG)
        place.tasks.start_soon(ask, "page", "/once/", {"Deadline-Ms": "20000"})
        place.tasks.start_soon(ask, "stream", "/gen/", GENERATION)
        relays = place.node._relay_server
        relayed = await wait_until(lambda: relays.open_requests == 2 and run_both(), RELAYED_S)
        assert relayed, (context.raws, relays.open_requests)
        stopped.append(True)
        place.node.stop()
        assert await wait_until(lambda: len(context.raws) == 2, limit_s=END_S)

    with LogLines("saffronworks") as context.lines:
        on_platform(servers, play, SLOW_CONFIG, count=2, bounds=SHORT_GRACE)


@then("the stream is cut, the page fails with its id, and the log has both")
def relayed_ends(context):
    stream, page = context.raws["stream"], context.raws["page"].lower()
    assert b"id: 2\n" in stream and not stream.endswith(b"0\r\n\r\n"), stream
    assert page.startswith(b"http/1.1 50") and b"\r\nrequest-id: page\r\n" in page, page
    assert b"retry-after" not in page, page
    relayed = [line for line in context.lines if line.startswith("event=relay_")]
    assert any("event=relay_cut request=stream" in line for line in relayed), relayed
    refused = "event=relay_refused request=page reason=stopping sent=True"
    assert any(refused in line for line in relayed), relayed


@then("a page and a generation that may not be sent again use up no retry")
def no_retry_used(_):
    budget, page = wide_budget(), plain_core.PlainState("s", True, 3, 400, 3000)
    sent = plain_core.step(page, Begin(), endpoints(2), budget, 0)
    broken = plain_core.Broken(sent.endpoint.instance, sent=True)
    ended = plain_core.step(page, broken, endpoints(2), budget, 10, NO_TIME_LEFT)
    assert ended == Refuse(502, "node-draining", not_run=False), ended
    # Its prompt was read once, and memory is reserved again.
    state, pools = generation_simulation.generation(), generation_simulation.POOLS
    state.reads = 1
    held = HoldTaken(KvHold(pools.decoders[0], "h", 2000))
    assert generation_core.step(state, held, pools, budget, 10, NO_TIME_LEFT) == NO_TIME_LEFT
    assert budget.counts("s", 10)[0] == 0, budget
