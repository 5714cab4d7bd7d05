"""Steps on the quarantine state of nodes, without network or clock."""

import random
from unittest.mock import AsyncMock, Mock

import anyio
from behave import then
from hypothesis import given as forall
from hypothesis import settings as limits
from hypothesis import strategies as st

from saffronworks.forwarding import generation_events as gen
from saffronworks.forwarding import plain_core
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.generation_core import step as generation_step
from saffronworks.forwarding.generation_state import Delivered
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import ENDS_ENDPOINTS, Begin, CallerRequest, KvHandle, KvHold
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quarantine.core import QuarantineState, step
from saffronworks.forwarding.quarantine.events import ProbeResult
from saffronworks.forwarding.quarantine.messages import Suspicion, SuspicionNews
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quarantine.suspicions import Admission, SuspicionTable
from saffronworks.forwarding.quarantine.tuning import (
    EARLY_TRIAL_MS,
    ENDS_TO_QUARANTINE,
    IDLE_GOSSIP_INTERVAL_MS,
    MAX_SUSPICIONS,
    MAX_SUSPICIONS_PER_MESSAGE,
    RECENT_CHANGE_MS,
    REPROBE_REFUSED_MS,
    REPROBE_SILENT_MS,
    SILENT_PROBES,
    TRIAL_AFTER_MS,
)
from saffronworks.forwarding.runners import NodeState
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.concurrent_runs import Traffic, play_service
from saffronworks.tests.endpoint_fixtures import REPLY_KINDS, endpoints, head_of, wide_budget
from saffronworks.tests.generation_simulation import POOLS, generation
from saffronworks.tests.quarantine_plays import CRASHING, endpoint_at, quarantined_fleet
from saffronworks.wire import Codec

SEEDS = range(10)
CONTACT_MS = 3000
QUARANTINED_BY = tuple(f"i-5b2a2b434{number}@1796248012000" for number in range(4))
DAY_MS = 24 * 3_600_000


@then("without a suspicion nothing is computed or sent")
def idle(context):
    state = QuarantineState("n1", random.Random(1))
    state.update_nodes(["n1", "n2"])
    assert state.idle and not step(state, events.Tick(), 10_000)
    assert not step(state, events.RunSucceeded(CRASHING), 1000) and state.idle


@then("a fleet with a quarantined content sends fewer than five messages per second and node")
def tells_little(context):
    fleet = quarantined_fleet(85)
    assert fleet.messages / 85 / 10 < 10, "while it is new"
    before = fleet.messages
    fleet.run(20_000)
    assert 0 < (fleet.messages - before) / 85 / 10 < 5, fleet.messages


def message_at(state, now_ms):
    (command,) = [c for c in step(state, events.Tick(), now_ms) if isinstance(c, events.SendNews)]
    return command.news


@then(
    "with thousands of suspicions the table and messages stay bounded and keep quarantined contents"
)
def bounded_table(context):
    state = QuarantineState("n1", random.Random(1))
    state.update_nodes([f"n{number}" for number in range(1, 8)])
    for number in range(30):
        step(state, events.RecordRead(Suspicion(f"{number:031x}b", QUARANTINED_BY)), number)
    codec = Codec(planning_messages, quarantine_messages)
    for number in range(3 * MAX_SUSPICIONS):
        instances = ("e1@1796248012000", "e2@1796248012000")[: 1 + number % 2]
        heard = Suspicion(f"{number:032x}", instances)
        step(state, SuspicionNews("n2", (heard,)), 100 + number)
    assert len(state.table) <= MAX_SUSPICIONS
    last_ms = 100 + 3 * MAX_SUSPICIONS
    judged = [state.table.admission(f"{number:031x}b", last_ms) for number in range(30)]
    assert Admission.ALLOWED not in judged
    news = message_at(state, last_ms)
    assert len(news.suspicions) == MAX_SUSPICIONS_PER_MESSAGE and len(codec.encode(news)) < 3500
    news = message_at(state, last_ms + RECENT_CHANGE_MS + 1)
    most_bytes_s = len(codec.encode(news)) * 1000 / IDLE_GOSSIP_INTERVAL_MS
    assert len(news.suspicions) == MAX_SUSPICIONS_PER_MESSAGE // 2 and most_bytes_s < 4000, (
        most_bytes_s
    )


def broke(content=CRASHING, number=1, cause=ExchangeErrorCause.CLOSED, **changes):
    return events.RunFailed(content, endpoint_at(number), cause, **changes)


def new_state():
    return QuarantineState("n1", random.Random(1))


def record_ends(state, content, *numbers, now_ms=0):
    """Let a node record ends of endpoints while they run a content."""
    for number in numbers:
        instance = endpoint_at(number).instance
        step(state, broke(content, number, ExchangeErrorCause.RESTARTED), now_ms)
        assert instance in state.table.find(content).ended


@then("two refused connections, a restart, or silence without an entry prove a crash")
def shows_end(context):
    instance = endpoint_at(1).instance
    for found, shows in (
        ((ProbeResult.REFUSES, ProbeResult.REFUSES), True),
        ((ProbeResult.RESTARTED,), True),
        ((ProbeResult.REFUSES, ProbeResult.RESTARTED), True),
        ((ProbeResult.REFUSES, ProbeResult.LISTENS), False),
        ((ProbeResult.LISTENS,), False),
        ((ProbeResult.SILENT, ProbeResult.LISTENS), False),
        ((ProbeResult.SILENT,) * SILENT_PROBES, False),
        ((ProbeResult.SILENT, ProbeResult.SILENT, ProbeResult.GONE), True),
        ((ProbeResult.SILENT, ProbeResult.REFUSES, ProbeResult.REFUSES), True),
    ):
        state = new_state()
        assert step(state, broke(), 0) == [events.Probe(endpoint_at(1), 0)]
        for number, seen in enumerate(found, 1):
            commands = step(state, events.ProbeFinished(instance, seen), 300)
            pause_ms = REPROBE_SILENT_MS if seen is ProbeResult.SILENT else REPROBE_REFUSED_MS
            again = [events.Probe(endpoint_at(1), pause_ms)]
            assert (commands == again) is (number < len(found)), (found, commands)
        assert (state.table.find(CRASHING) is not None) is shows, found
        assert not state.probes
    for cause in (
        ExchangeErrorCause.CONNECT,
        ExchangeErrorCause.NOT_HTTP,
        ExchangeErrorCause.OUT_OF_ORDER,
    ):
        assert not step(new_state(), broke(cause=cause), 0), cause


@then("an endpoint that leaves as planned causes no suspicion")
def planned(context):
    for cause in ExchangeErrorCause:
        state = new_state()
        assert not step(state, broke(cause=cause, leaving=True), 0) and state.idle


@then("an endpoint that only reserved memory, or received no byte, causes no suspicion")
def worked_on(context):
    request = CallerRequest("r", "POST", "/a", "h", (), b"", 0, 900)
    for kind, sent, noted in (
        ("hold", True, False),
        ("stream", False, False),
        ("stream", True, True),
        ("prefill", True, True),
        ("plain", True, True),
    ):
        quarantine, loads = Mock(), LoadTable("z")
        node = NodeState(
            "z",
            Directory(),
            loads,
            wide_budget(),
            Mock(find_fault_site=AsyncMock(return_value=FaultSite.ENDPOINT)),
            Mock(),
            lambda: 10,
            Mock(),
            Mock(),
            quarantine,
            Authenticator(lambda: True),
            Mock(),
            Mock(),
            Mock(),
        )
        broken = ExchangeError(ExchangeErrorCause.RESET, sent)
        anyio.run(node.note_break, kind, request, endpoint_at(1), broken)
        assert node.quarantine.record_failure.called is noted, (kind, sent)


@then("runs that broke together share one probe")
def one_look(context):
    state = new_state()
    commands = [step(state, broke(f"c{number}"), 0) for number in range(64)]
    assert sum(map(len, commands)) == 1
    for _ in range(2):
        step(state, events.ProbeFinished(endpoint_at(1).instance, ProbeResult.REFUSES), 300)
    assert len(state.table) == 64


@then("a successful run clears a content at all nodes, before and after its quarantine")
def good_run(context):
    early = new_state()
    record_ends(early, CRASHING, 1, 2)
    step(early, events.RunSucceeded(CRASHING), 10)
    record_ends(early, CRASHING, 3, 4)
    assert early.admission(CRASHING, 20) is Admission.ALLOWED
    fleet = quarantined_fleet()
    assert fleet.refusing() == 7 and CRASHING in fleet.stored
    fleet.take(fleet.names[0], events.RunSucceeded(CRASHING))
    fleet.run(fleet.now_ms + CONTACT_MS)
    assert fleet.refusing() == 0 and CRASHING not in fleet.stored


@then("an answer that ends with a closed connection is no success, as a crash closes it too")
def unframed(context):
    request = CallerRequest("r", "POST", "/a", "h", (), b"", 0, 900)
    quarantine = Quarantine(
        "n1", Directory(), Mock(), Mock(), random.Random(1), StoreEpoch(), lambda: 10
    )
    record_ends(quarantine._state, request.content, 1, 2, 3)
    quarantine.record_success(request, proven=False)
    assert quarantine.blocks(request)
    quarantine.record_success(request, proven=True)
    assert not quarantine.blocks(request)


@then("a node that missed the successful run is informed when it sends its own view")
def missed_run(context):
    fleet = quarantined_fleet()
    missed = fleet.names[5]
    fleet.nodes[missed].away = True
    fleet.take(fleet.names[0], events.RunSucceeded(CRASHING))
    fleet.run(fleet.now_ms + 30_000)
    assert fleet.refusing() == 1
    fleet.nodes[missed].away = False
    fleet.run(fleet.now_ms + CONTACT_MS)
    assert fleet.refusing() == 0


# Guards against an entry node that goes on sending a content which the nodes it reports to refuse.
@then("a node that reports an end, and that no list has, is informed of the quarantine")
def unlisted_reporter(context):
    state = new_state()
    state.update_nodes(["n1", "n2"])
    step(state, SuspicionNews("n2", (Suspicion(CRASHING, QUARANTINED_BY[:2]),)), 1000)
    reported = SuspicionNews("n9", (Suspicion(CRASHING, QUARANTINED_BY[2:3]),))
    for now_ms in (1000, 9000):
        sent = [c for c in step(state, reported, now_ms) if isinstance(c, events.SendNews)]
        (reply,) = [each.news for each in sent if each.nodes == ("n9",)]
        assert [each.ended for each in reply.suspicions] == [QUARANTINED_BY[:3]], reply
    known = SuspicionNews("n9", reply.suspicions)
    assert not step(state, known, 9100)


@then(
    "few requests that ran beside a crashing content are quarantined, and those have an early trial"
)
def requests_beside(context):
    often, seldom = Traffic(), Traffic(most_runs=3, comes_every_ms=1000)
    for traffic, count, runs_each, most_of_100 in (
        (often, 4, 16, 0),
        (often, 16, 32, 0),
        (seldom, 4, 8, 4),
        (seldom, 4, 64, 10),
        (seldom, 16, 8, 0),
        (seldom, 45, 16, 0),
    ):
        played = [play_service(count, runs_each, seed, traffic) for seed in SEEDS]
        broken = sum(one.broken for one in played)
        wrongly = sum(one.quarantined for one in played)
        assert broken > 50 and all(one.ends >= ENDS_TO_QUARANTINE for one in played), played
        assert 100 * wrongly <= most_of_100 * broken, (traffic, count, runs_each, broken, wrongly)
    state = new_state()
    state.update_nodes(["n1"])
    for content in ("beside", CRASHING):
        record_ends(state, content, 1, 2, 3)
    assert state.admission("beside", EARLY_TRIAL_MS - 1) is Admission.REFUSED
    assert state.admission("beside", EARLY_TRIAL_MS) is Admission.TRIAL


@then("only an owner admits it, once after ten minutes, to one endpoint")
def one_trial(context):
    fleet = quarantined_fleet()
    fleet.run(TRIAL_AFTER_MS + 10_000)
    ends = len(fleet.ends)
    admissions = [node.state.admission(CRASHING, fleet.now_ms) for node in fleet.nodes.values()]
    assert sorted(v.value for v in admissions) == ["refused"] * 4 + ["trial"] * 3, admissions
    fleet.repeat(100, fleet.now_ms + 5000)
    fleet.run(fleet.now_ms + 10_000)
    assert len(fleet.ends) == ends + 1, fleet.ends
    context.fleet = fleet


def old_view(age_ms):
    return Suspicion(CRASHING, ("e1@1", "e2@2", "e3@3", "e4@4"), trials=1, age_ms=age_ms)


@then("while endpoints crash for another cause, contents have a trial every ten minutes")
def failing_release(context):
    state, rng = new_state(), random.Random(5)
    state.update_nodes(["n1"])
    contents = [f"c{number}" for number in range(60)]
    for content in contents:
        record_ends(state, content, *rng.sample(range(1, 13), 3))
    record_ends(state, CRASHING, 1, 2, 50)
    now_ms = EARLY_TRIAL_MS
    for _ in range(3):
        admissions = {state.admission(content, now_ms) for content in contents}
        assert admissions == {Admission.TRIAL}, admissions
        assert state.admission(CRASHING, now_ms) is Admission.REFUSED
        for content in contents:
            step(state, events.TrialStarted(content), now_ms)
            record_ends(state, content, rng.randint(1, 12), now_ms=now_ms)
        admissions = {state.admission(content, now_ms + EARLY_TRIAL_MS) for content in contents}
        assert admissions == {Admission.REFUSED}, admissions
        now_ms += TRIAL_AFTER_MS
        # The crashing content has its own trial meanwhile, and crashes one more endpoint.
        if state.admission(CRASHING, now_ms) is Admission.TRIAL:
            step(state, events.TrialStarted(CRASHING), now_ms)
            record_ends(state, CRASHING, 51, now_ms=now_ms)


@then("a success ends the quarantine, and a further crash confirms it")
def after_trial(context):
    for node in context.fleet.nodes.values():
        assert node.state.admission(CRASHING, DAY_MS - 60_000) is Admission.REFUSED
        step(node.state, events.Tick(), 2 * DAY_MS)
        assert node.state.idle, "a quarantine expires after a day"
    receiver = new_state()
    step(receiver, SuspicionNews("n2", (old_view(DAY_MS),)), 10)
    assert receiver.idle, "an expired quarantine does not return by gossip of another node"
    step(receiver, SuspicionNews("n2", (old_view(DAY_MS - 60_000),)), 10)
    assert receiver.admission(CRASHING, 50_000) is Admission.REFUSED
    step(receiver, events.Tick(), 70_000)
    assert receiver.idle, "a receiver continues from the sender's age"
    freed = new_state()
    freed.update_nodes(["n1"])
    record_ends(freed, CRASHING, 1, 2, 3)
    assert freed.admission(CRASHING, TRIAL_AFTER_MS) is Admission.TRIAL
    step(freed, events.TrialStarted(CRASHING), TRIAL_AFTER_MS)
    assert freed.admission(CRASHING, TRIAL_AFTER_MS + 1) is Admission.REFUSED
    step(freed, events.RunSucceeded(CRASHING), TRIAL_AFTER_MS + 2)
    assert freed.admission(CRASHING, TRIAL_AFTER_MS + 3) is Admission.ALLOWED


VIEWS = st.builds(
    Suspicion,
    content=st.sampled_from(["a", "b"]),
    ended=st.sets(st.sampled_from(["e1", "e2", "e3", "e4"]), max_size=3).map(
        lambda starts: tuple(sorted(starts))
    ),
    ran_well=st.booleans(),
    trials=st.integers(0, 2),
)


@then("the result is the same in any order and with repetitions")
def any_order(context):
    @limits(max_examples=300)
    @forall(st.lists(VIEWS, max_size=8), st.randoms(use_true_random=False))
    def check(views, rng):
        one, other = SuspicionTable(), SuspicionTable()
        again = [*views, *views]
        rng.shuffle(again)
        for view in views:
            one.merge(view, 0)
        for view in again:
            other.merge(view, 0)
        for content in ("a", "b"):
            assert one.find(content) == other.find(content)
        assert not any(one.merge(view, 0) for view in views)

    check()


HOLD = KvHold(POOLS.decoders[0], "k", 2000)
GENERATION_EVENTS = [
    Begin(),
    gen.PlanGranted(POOLS.decoders[0].instance),
    gen.PlanRefused(100),
    gen.PlanSilent(),
    gen.Waited(),
    gen.HoldTaken(HOLD),
    gen.HoldFailed(POOLS.decoders[0].instance, broken=True),
    gen.PromptRead(KvHandle(POOLS.prefillers[0], "h", 5)),
    gen.ReadFailed(POOLS.prefillers[0].instance, broken=True),
    gen.StreamBroken(POOLS.decoders[0].instance, sent=True),
    gen.StreamBroken(POOLS.decoders[0].instance, sent=False),
    *(
        gen.StreamAnswered(POOLS.decoders[0].instance, head_of(kind))
        for kind in REPLY_KINDS
        if head_of(kind) is not None
    ),
]


@then("a generation ends once its content is quarantined, whatever the last event")
def generation_ends(context):
    refusals = 0
    for event in GENERATION_EVENTS:
        for may_repeat in (False, True):
            state = generation(may_repeat)
            state.hold = HOLD
            command = generation_step(state, event, POOLS, wide_budget(), 10, denial=ENDS_ENDPOINTS)
            assert not isinstance(command, gen.AttemptCommand), (event, command)
            refusals += command == ENDS_ENDPOINTS
    assert refusals > len(GENERATION_EVENTS), refusals
    begun = generation(may_repeat=True)
    begun.hold, begun.delivered = HOLD, Delivered.STREAM
    lost = gen.RelayBroken(POOLS.decoders[0].instance, position_known=True)
    assert generation_step(begun, lost, POOLS, wide_budget(), 10, denial=ENDS_ENDPOINTS) == gen.Cut(
        "ends-endpoints"
    )


@then("so does a plain request")
def plain_ends(context):
    ranked = endpoints(3, None, "w")
    for kind in (None, *REPLY_KINDS):
        head = head_of(kind) if kind else None
        events = [Begin()] if kind is None else []
        events += [plain_core.Answered("w0", head)] if head is not None else []
        events += [plain_core.Broken("w0", sent) for sent in (False, True)]
        for event in events:
            state = plain_core.PlainState("s", True, 3, 900, 5000)
            command = plain_core.step(
                state, event, ranked, wide_budget(), 10, denial=ENDS_ENDPOINTS
            )
            assert not isinstance(command, plain_core.SendTo), (event, command)
