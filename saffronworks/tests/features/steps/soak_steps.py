"""Scenarios on the soak: its faults, its checks, and a short run of it."""

import logging
import signal
import time
from tempfile import TemporaryDirectory

import anyio
import attrs
from behave import given, then, when

from saffronworks.standins.addresses import PORTS_PER_BLOCK, free_ports
from saffronworks.standins.sites import wait_until
from saffronworks.tests.fake_store import SLOW_S, FakeStore
from saffronworks.tests.platform_fakes import fetch
from saffronworks.tests.soak import faults, planned_faults, promises
from saffronworks.tests.soak.answer_lengths import EVENTS, LONG_KINDS, LONG_SERVICE, event_count
from saffronworks.tests.soak.disturbances import CONTACT_MS
from saffronworks.tests.soak.endpoint_promises import DRAIN_MS
from saffronworks.tests.soak.long_turns import LONG_TURN_S, LONG_TURN_SIGNAL, add_long_turns
from saffronworks.tests.soak.organisations import HOT, KEYS
from saffronworks.tests.soak.processes import GRACE_S, NodeProcess
from saffronworks.tests.soak.records import (
    Asked,
    ClosedEarly,
    Disturbance,
    EndlessAnswer,
    Lag,
    Need,
    Partition,
    Ran,
    Reached,
    Records,
    Rejected,
    Served,
    Surged,
)
from saffronworks.tests.soak.runs import run_soak
from saffronworks.tests.soak_stop_cases import STOP_CASES

# A third of the usual time has about a third of these faults.
SHORT = faults.Shape(
    nodes=2,
    plains=2,
    engines=3,
    callers=8,
    faults_ms=5000,
    rolls=1,
    silences=1,
    copies=1,
    short_handles=1,
    timeout_changes=1,
    long_callers=2,
    page_callers=1,
)
# Draws a pause, a kill and a planned stop, links that are reset and silent, a store that refuses,
# endpoints that vanish and are full, and new versions.
SHORT_SEED = 21
SENT_MS = 20_000.0


@then("the same seed draws the same faults, another one others")
def same_faults(context):
    shape = faults.Shape()
    for draw in (faults.draw_faults, planned_faults.draw_all_faults):
        assert draw(7, shape) == draw(7, shape)
        assert draw(7, shape) != draw(8, shape)


@then("a seed with long turns draws the same faults, and turns that lie apart")
def long_turns_drawn(context):
    shape, begins = faults.Shape(), set()
    for seed in range(1, 51):
        drawn = planned_faults.draw_all_faults(seed, attrs.evolve(shape, long_turns=True))
        rolls = [fault for fault in drawn if isinstance(fault, planned_faults.NodeRoll)]
        for roll in rolls:
            assert len(roll.turns) == roll.count, roll
            for turns in roll.turns:
                begins |= set(turns)
                gaps_ms = [after - before for before, after in zip(turns, turns[1:], strict=False)]
                assert turns and all(gap_ms >= 2000 * LONG_TURN_S for gap_ms in gaps_ms), turns
        without = [
            attrs.evolve(fault, turns=()) if isinstance(fault, planned_faults.NodeRoll) else fault
            for fault in drawn
        ]
        assert without == planned_faults.draw_all_faults(seed, shape)
    assert begins > set(planned_faults.TURNS_MS), begins


@then("a turn takes long after its signal")
def long_turn_taken(context):
    before = signal.getsignal(LONG_TURN_SIGNAL)
    try:
        add_long_turns()
        began_s = time.monotonic()
        signal.raise_signal(LONG_TURN_SIGNAL)
        assert time.monotonic() - began_s >= LONG_TURN_S
    finally:
        signal.signal(LONG_TURN_SIGNAL, before)


@then("over some seeds every kind of fault is drawn, and faults overlap")
def every_kind(context):
    kinds, overlaps = set(), 0
    for seed in range(1, 51):
        drawn = planned_faults.draw_all_faults(seed, faults.Shape())
        kinds |= {(type(fault).__name__, fault.kind) for fault in drawn}
        pairs = zip(drawn, drawn[1:], strict=False)
        overlaps += any(later.at_ms < fault.at_ms + fault.for_ms for fault, later in pairs)
    wanted = {
        *(("NodeFault", kind) for kind in faults.NODE_KINDS),
        *(("LinkFault", kind) for kind in faults.LINK_KINDS),
        *(("StoreFault", kind) for kind in faults.STORE_KINDS),
        *(("EndpointFault", kind) for kind in faults.ENDPOINT_KINDS),
        ("EndpointDrain", "drain-notice"),
        ("EndpointPause", "pause"),
        *(("EndpointPartition", kind) for kind in faults.CUTS),
        ("StoreRestore", "restore"),
        ("ConfigChange", "config"),
        ("IdleTimeoutChange", "idle"),
        *(("OddAnswers", kind) for kind in faults.ODD_KINDS),
        ("Surge", "surge"),
        ("OrganisationChange", "organisations"),
        ("NodeRoll", "roll"),
        *(("EndpointSilences", scope) for scope in planned_faults.SCOPES),
        ("AnswerCopies", "copies"),
        ("AnswerCopies", "relayed-copies"),
        ("ShortHandles", "handles"),
        ("TimeoutChange", "timeouts"),
        *(("SoftwareRelease", kind) for kind in faults.RELEASE_KINDS),
    }
    assert wanted <= kinds, wanted - kinds
    assert overlaps == 50, overlaps


async def ask_store(kind):
    """What a caller notices of a fault of the store: how its answer starts, and after how long."""
    store = FakeStore()
    store.put("servers", "a", {})
    watch = "/saffronworks/objects/servers?watch=1&wait_ms=10"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store.run)
        if kind == "forget":
            store.forget_history()
        else:
            store.fault = kind
        method, path = (
            ("DELETE", "/saffronworks/objects/servers/a") if kind == "lost" else ("GET", watch)
        )
        began_s = time.monotonic()
        raw = await fetch(store.address, method, path, {"Host": "x"}, leaves_after_s=1.0)
        took_s = time.monotonic() - began_s
        tasks.cancel_scope.cancel()
    return raw[:12], took_s


@then("a store that is at fault answers late, refuses, loses its answer or its history")
def store_faults(context):
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    seen = {kind: anyio.run(ask_store, kind) for kind in (None, *faults.STORE_KINDS)}
    starts = {kind: start for kind, (start, _) in seen.items()}
    assert starts == {
        None: b"HTTP/1.1 200",
        "busy": b"HTTP/1.1 503",
        "limited": b"HTTP/1.1 429",
        "silent": b"",
        "slow": b"HTTP/1.1 200",
        "lost": b"",
        "forget": b"HTTP/1.1 410",
    }, starts
    assert seen["slow"][1] >= SLOW_S > seen[None][1], seen


def events_of(request_id, numbers, version="v1"):
    return "".join(f"id: {n}\ndata: {request_id} {n} {version}\n\n" for n in numbers).encode()


def served(kind="once"):
    """The records of one request that an endpoint ran and whose caller got its answer."""
    records = Records(versions=[(0.0, "web-a"), (5000.0, "web-b")])
    streams = kind in ("gen", "res", *LONG_KINDS)
    events = events_of("r", range(1, event_count(kind, "r") + 1))
    asked = Asked("r", kind, 0, SENT_MS, 3000, "answered", 200, events if streams else b"r", True)
    asked.ended_ms = SENT_MS + 50
    services = {"moved": "web-b", "gen": "llm", "res": "llm"}
    service = (services | dict.fromkeys(LONG_KINDS, LONG_SERVICE)).get(kind, "web-a")
    run = Ran("r", "e", service, SENT_MS + 10, whole=True, ended_ms=SENT_MS + 40)
    records.asked["r"] = asked
    records.ran.append(run)
    records.arrived.append((service, "r", run.at_ms))
    return records


def half_stream(records):
    records.asked["r"].body = records.asked["r"].body[:40]


def unsigned(records):
    records.asked["r"].signed = False


def twice(records):
    records.ran.append(records.ran[0])


def refused(records):
    records.asked["r"].status = 503


def silent(records):
    records.asked["r"].ended_ms = SENT_MS + 4000


def runs_on(records):
    records.asked["r"].outcome = "left"
    records.ran[0].ended_ms = SENT_MS + 3000


def left_endpoint(records):
    records.left_ms["e"] = SENT_MS - DRAIN_MS - 1


def older(records):
    records.ran[0].service = "web-a"


def again(records):
    records.arrived += [("llm", "r", SENT_MS + number) for number in range(60)]


def stopped(records):
    records.stops.append((0, SENT_MS + 20, SENT_MS + 8000))
    records.disturbances.append(Disturbance(0, "stopped", SENT_MS + 45, SENT_MS + 2000))
    records.asked["r"].outcome = "broken"


def killed_across_stop(records):
    later = attrs.evolve(records.asked["r"], request_id="r2", body=b"r2", at_ms=SENT_MS + 9000)
    records.asked["r2"] = attrs.evolve(later, ended_ms=SENT_MS + 9050)
    records.calm_from_ms = SENT_MS + 8000
    stopped(records)
    records.stops[0] = (0, SENT_MS - 1500, SENT_MS + 6500)
    records.disturbances.append(Disturbance(0, "node", SENT_MS + 30, SENT_MS + 2000))


def deadly(records):
    records.asked["r"].kind = "deadly"
    records.deadly_ends_ms = [SENT_MS - 5000 + number * 500 for number in range(8)]
    records.arrived = [("llm", "r", SENT_MS + number * 500) for number in range(4)]
    records.calm_from_ms = SENT_MS


def one_part(records):
    deadly(records)
    records.asked["r"].kind = "part"
    records.part_ends_ms, records.deadly_ends_ms = records.deadly_ends_ms, []
    records.arrived.append(("llm", "r", SENT_MS + 2000))


def refused_late(records):
    records.calm_from_ms = SENT_MS
    records.ran.clear()
    refused(records)


def key_taken_away(records):
    asked = records.asked["r"]
    asked.organisation, asked.key = HOT, KEYS[HOT][1]
    since_ms = SENT_MS - promises.CONFIG_APPLY_MS - CONTACT_MS - 1
    records.taken_away = [(since_ms, frozenset(KEYS[HOT]))]


def beyond_quota(records):
    records.asked["r"].organisation = HOT
    records.ran += 40 * records.ran[:1]


def limited(records, sends):
    """The endpoint of the request takes 1 a second; so many reach it after its node was told."""
    run, asked = records.ran[0], records.asked["r"]
    records.needs = [Need(run.endpoint, 1.0, run.at_ms, run.at_ms + 20_000)]
    from_ms = asked.ended_ms + CONTACT_MS
    later = [from_ms + number * 300 for number in range(sends)]
    records.reached = [Reached(run.endpoint, "r", at_ms) for at_ms in (run.at_ms, *later)]


def drained(records, started=False):
    """The node of the request passed on before that its endpoint drains."""
    told = attrs.evolve(records.asked["r"], request_id="r0", body=b"r0", drains_at="e")
    told.at_ms, told.ended_ms = SENT_MS - 3000, SENT_MS - DRAIN_MS - 1
    records.asked["r0"] = told
    records.reached.append(Reached("e", "r", SENT_MS + 10))
    if started:
        records.disturbances.append(Disturbance(0, "node", SENT_MS - 1500, SENT_MS - 1000))


def paused(records, count):
    """An endpoint asked the node of the request for a pause, and it came so often in that time."""
    records.rejected.append(Rejected("e", 0, SENT_MS - 600, 3000))
    records.reached += [Reached("e", "r", SENT_MS + 10 + number) for number in range(count)]


def cut_off(records, count, nodes=(0,), since_ms=1500):
    """The paths of nodes were cut, and so many requests fail at node 0 some time later."""
    from_ms = SENT_MS + 100
    records.partitions.append(Partition(frozenset(nodes), from_ms, from_ms + 4000))
    records.calm_from_ms = from_ms + 4000
    times = [(from_ms + since_ms + number, 503) for number in range(count)]
    for at_ms, status in [*times, (from_ms + 5000, 200)]:
        for node in (0, 1):
            name = f"{node}-{at_ms}"
            asked = Asked(name, "again", node, at_ms, 3000, "answered", 200 if node else status)
            asked.ended_ms, asked.body, asked.signed = at_ms + 10, name.encode(), True
            records.asked[name] = asked


def refused_in_stop(records, count, node=0):
    """The same, and a node is stopped as planned meanwhile."""
    cut_off(records, count)
    records.stops.append((node, SENT_MS + 1000, SENT_MS + 9000))


def unread_at_cut(records, count):
    """The same, but an overloaded node closed the connections of a surge unread."""
    cut_off(records, count)
    for asked in records.asked.values():
        if asked.status == 503:
            asked.kind, asked.outcome, asked.status, asked.body = "surge", "unread", 0, b""


def surged(records, served):
    """A surge comes to node 0, which serves so many of the 30 requests that it reads."""
    from_ms = SENT_MS + 100
    records.surges.append(Surged(0, from_ms, from_ms + 3000))
    records.calm_from_ms = from_ms + 4000
    kinds = [(0, "surge", 200 if number < served else 503) for number in range(30)]
    for number, (node, kind, status) in enumerate([*kinds, (1, "again", 200)]):
        name, at_ms = f"s{number}", from_ms + 1000 + number
        asked = Asked(name, kind, node, at_ms, 1000, "answered", status, name.encode(), True)
        asked.ended_ms = at_ms + 10
        records.asked[name] = asked
    calm = attrs.evolve(records.asked["s30"], request_id="s31", body=b"s31")
    calm.at_ms, calm.ended_ms = from_ms + 5000, from_ms + 5010
    records.asked["s31"] = calm


def resumed(records, count=1, version="v1", status=200, endpoints=("e1", "e2")):
    """Callers lose their streams, and resume them at another node, so many of them."""
    records.served = [Served(name, "v1", 0.0) for name in endpoints]
    calm = attrs.evolve(records.asked["r"], request_id="r2", kind="again", body=b"r2")
    calm.at_ms, calm.ended_ms = SENT_MS + 9000, SENT_MS + 9050
    records.asked["r2"], records.calm_from_ms = calm, SENT_MS + 8000
    for number in range(count):
        first, later = f"l{number}", f"l{number}-1"
        lost = Asked(first, "res", 0, SENT_MS, 3000, "left", 200, events_of(first, [1, 2]), True)
        lost.ended_ms = SENT_MS + 50
        body = events_of(later, range(3, EVENTS + 1), version) if status == 200 else b""
        again = Asked(later, "res", 1, SENT_MS + 60, 3000, "answered", status, body, True)
        again.ended_ms, again.resumes, again.after_event = SENT_MS + 100, first, 2
        records.asked |= {first: lost, later: again}


def two_versions_in_one(records):
    body = events_of("r", range(1, 4)) + events_of("r", range(4, EVENTS + 1), "v2")
    records.asked["r"].body = body


def closed_early(records, stopped=False):
    records.closed_early.append(ClosedEarly(0, SENT_MS, SENT_MS + 900, 1200))
    if stopped:
        records.stops.append((0, SENT_MS + 800, SENT_MS + 1800))


def closed_after_lag(records, late_ms, nodes):
    """The connection was closed 301 ms too early for who read its answer in time."""
    closed_early(records)
    # Of the first one, only what lies in the last second counts.
    records.lags += [Lag(nodes, SENT_MS - 5000, SENT_MS - 1000), Lag(nodes, SENT_MS, SENT_MS + 500)]
    records.lags.append(Lag(nodes, SENT_MS - late_ms, SENT_MS))


def endless(records, closed_ms):
    records.endless.append(EndlessAnswer("r", "e", closed_ms))


def lost_in_pause(records):
    records.paused.add("r")
    records.asked["r"].status = 504


CASES = {
    "rested on a connection that its node closed early": ("once", closed_early),
    "rested on a connection that its node closed early, beside a small lag": (
        "once",
        lambda seen: closed_after_lag(seen, 299, range(1)),
    ),
    "rested on a connection that its node closed early, beside a lag of others": (
        "once",
        lambda seen: closed_after_lag(seen, 600, range(1, 2)),
    ),
    "rested on a connection whose last answer was read late": (
        "once",
        lambda seen: closed_after_lag(seen, 301, range(1)),
    ),
    "rested on a connection that a planned stop closed": (
        "once",
        lambda seen: closed_early(seen, stopped=True),
    ),
    "got an answer without end that was read on": ("once", lambda seen: endless(seen, None)),
    "got an answer without end that was closed": (
        "once",
        lambda seen: endless(seen, SENT_MS + 3000),
    ),
    "was lost while its endpoint paused": ("once", lost_in_pause),
    "got half of its stream": ("gen", half_stream),
    "got an answer without signature": ("once", unsigned),
    "may run once and ran twice": ("gen", twice),
    "was told that it did not run though it did": ("once", refused),
    "got nothing until long after its deadline": ("once", silent),
    "runs on though its caller left": ("res", runs_on),
    "reached an endpoint long after it left": ("once", left_endpoint),
    "went by an older configuration": ("moved", older),
    "was sent again and again": ("res", again),
    "broke while its node was stopped as planned": ("once", stopped),
    "was broken by a kill across a planned stop of its node": ("once", killed_across_stop),
    "was refused after all faults were over": ("again", refused_late),
    "ended endpoint after endpoint": ("res", deadly),
    "shared a part that ended endpoint after endpoint": ("res", one_part),
    "had a key that was taken away long before": ("again", key_taken_away),
    "ran far beyond the quota of its organisation": ("res", beyond_quota),
    "came again far beyond the limit of its endpoint": ("once", lambda seen: limited(seen, 12)),
    "came again within what its endpoint tolerates": ("once", lambda seen: limited(seen, 11)),
    "came long after its endpoint said that it drains": ("once", drained),
    "came long after that at a node that has started since": (
        "once",
        lambda seen: drained(seen, started=True),
    ),
    "came again and again in a pause of its endpoint": ("once", lambda seen: paused(seen, 3)),
    "came twice in a pause of its endpoint": ("once", lambda seen: paused(seen, 2)),
    "failed like many others as the paths of its node were cut": (
        "once",
        lambda seen: cut_off(seen, 11),
    ),
    "failed right after the paths of its node were cut": (
        "once",
        lambda seen: cut_off(seen, 11, since_ms=900),
    ),
    "failed as the paths of its node were cut and another one stopped": (
        "once",
        lambda seen: refused_in_stop(seen, 11, node=2),
    ),
    "failed in a planned stop of its node, whose paths were cut": (
        "once",
        lambda seen: refused_in_stop(seen, 11),
    ),
    "failed as the paths of all nodes were cut": (
        "once",
        lambda seen: cut_off(seen, 11, nodes=(0, 1)),
    ),
    "failed like many others that its node read in a surge": (
        "once",
        lambda seen: surged(seen, 22),
    ),
    "came unread in a surge as the paths of its node were cut": (
        "partitioned_serve",
        lambda seen: unread_at_cut(seen, 11),
    ),
    "was one of few that failed of those read in a surge": (
        "once",
        lambda seen: surged(seen, 23),
    ),
    "has events of two versions in one answer": ("res", two_versions_in_one),
    "was resumed at another version": ("res", lambda seen: resumed(seen, version="v2")),
    "was resumed at its version": ("res", lambda seen: resumed(seen, 12)),
    "was refused like many others that were resumed": (
        "res",
        lambda seen: resumed(seen, 12, status=503),
    ),
    "was resumed while one endpoint of its version served": (
        "res",
        lambda seen: resumed(seen, 12, status=503, endpoints=("e1",)),
    ),
    "was served": ("moved", lambda records: None),
}
CASES |= STOP_CASES


@given("what was seen of a request that {case}")
def seen_case(context, case):
    kind, change = CASES[case]
    context.records = served(kind)
    assert promises.check_all(context.records) == [], "the good case must break nothing"
    change(context.records)


@then("the soak tells that {promise} does not hold")
def tells(context, promise):
    found = promises.check_all(context.records)
    assert any(finding.startswith(f"{promise}:") for finding in found), found


@then("the soak finds nothing")
def finds_nothing(context):
    assert promises.check_all(context.records) == []


@when("a process is killed and another one started while it is stopped as planned")
def stop_across_kill(context):
    async def main():
        with TemporaryDirectory() as folder:
            node = NodeProcess(0, "127.0.0.1:1", folder)
            node.start()
            assert await wait_until(lambda: "event=store_lost" in node.log.read_text(), 20)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(replace_process, node)
                context.ended = await node.stop(GRACE_S)
                context.alive = node.alive
            node.end_now()

    anyio.run(main)


async def replace_process(node):
    await anyio.sleep(0.2)
    node.end_now()
    node.start()


@then("the stop has ended, and the other one runs on")
def stop_ended(context):
    assert context.ended and context.alive


@when("two nodes are soaked for some seconds")
def short_soak(context):
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    with TemporaryDirectory() as folder:
        context.result = anyio.run(run_soak, SHORT_SEED, SHORT, folder)


@then("no promise was broken, and callers were served")
def kept(context):
    assert context.result.findings == [], context.result.findings
    assert context.result.seen.get("res-200", 0) > 10, context.result.seen


@when("two runs draw more addresses than a block has, from the same block on")
def draw_addresses(context):
    one, other = free_ports(7), free_ports(7)
    context.drawn = [[next(one), next(other)] for _ in range(2 * PORTS_PER_BLOCK)]


@then("no address is drawn by both")
def none_by_both(context):
    one, other = (set(ports) for ports in zip(*context.drawn, strict=True))
    assert not one & other and len(one) == len(other) == len(context.drawn)
