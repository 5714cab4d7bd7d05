"""Scenarios on what nodes know of contents that end endpoints; no network, no clock."""

import random
from unittest.mock import Mock

from behave import then
from hypothesis import given as forall
from hypothesis import settings as limits
from hypothesis import strategies as st

from saffronworks.forwarding import generation_events as gen
from saffronworks.forwarding import plain_core
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.generation_core import step as generation_step
from saffronworks.forwarding.generation_state import Out
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import (
    ENDS_ENDPOINTS,
    Begin,
    CallerRequest,
    KvHandle,
    KvHold,
)
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine import messages as quarantine_messages
from saffronworks.forwarding.quarantine.core import QuarantineState, step
from saffronworks.forwarding.quarantine.events import Found
from saffronworks.forwarding.quarantine.messages import Suspicion, SuspicionNews
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quarantine.suspicions import Admission, SuspicionTable
from saffronworks.forwarding.quarantine.tuning import (
    ENDS_TO_QUARANTINE,
    FRESH_MS,
    LOOK_AGAIN_MS,
    MOST_SUSPICIONS,
    MOST_TOLD,
    SILENT_LOOK_AGAIN_MS,
    SILENT_LOOKS,
    TELL_REST_MS,
    TRIAL_AFTER_MS,
    TRIAL_SOON_MS,
)
from saffronworks.forwarding.runners import NodeState
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.tests.concurrent_runs import Habits, play_service
from saffronworks.tests.endpoint_plays import REPLY_KINDS, endpoints, head_of, wide_budget
from saffronworks.tests.generation_plays import POOLS, generation
from saffronworks.tests.quarantine_plays import DEADLY, endpoint_at, fleet_that_knows
from saffronworks.wire import Codec

SEEDS = range(10)
CONTACT_MS = 3000
QUARANTINED_BY = tuple(f"i-5b2a2b434{number}@1796248012000" for number in range(4))
DAY_MS = 24 * 3_600_000


@then("without a suspicion nothing is worked out or told")
def idle(context):
    state = QuarantineState("n1", random.Random(1))
    state.take_nodes(["n1", "n2"])
    assert state.idle and not step(state, events.Tick(), 10_000)
    assert not step(state, events.RanWell(DEADLY), 1000) and state.idle


@then("a fleet that knows of a content tells it five times a second and node at most")
def tells_little(context):
    fleet = fleet_that_knows(85)
    assert fleet.messages / 85 / 10 < 10, "while it is new"
    before = fleet.messages
    fleet.run(20_000)
    assert 0 < (fleet.messages - before) / 85 / 10 < 5, fleet.messages


def tell_at(state, now_ms):
    (told,) = [c for c in step(state, events.Tick(), now_ms) if isinstance(c, events.Tell)]
    return told.news


@then("thousands of suspects leave the table and messages bounded, the quarantined ones in it")
def bounded_table(context):
    state = QuarantineState("n1", random.Random(1))
    state.take_nodes([f"n{number}" for number in range(1, 8)])
    for number in range(30):
        step(state, events.RecordRead(Suspicion(f"{number:031x}b", QUARANTINED_BY)), number)
    codec = Codec(planning_messages, quarantine_messages)
    for number in range(3 * MOST_SUSPICIONS):
        instances = ("e1@1796248012000", "e2@1796248012000")[: 1 + number % 2]
        heard = Suspicion(f"{number:032x}", instances)
        step(state, SuspicionNews("n2", (heard,)), 100 + number)
    assert len(state.table) <= MOST_SUSPICIONS
    last_ms = 100 + 3 * MOST_SUSPICIONS
    judged = [state.table.admission(f"{number:031x}b", last_ms) for number in range(30)]
    assert Admission.FREE not in judged
    told = tell_at(state, last_ms)
    assert len(told.suspicions) == MOST_TOLD and len(codec.encode(told)) < 3500
    told = tell_at(state, last_ms + FRESH_MS + 1)
    most_bytes_s = len(codec.encode(told)) * 1000 / TELL_REST_MS
    assert len(told.suspicions) == MOST_TOLD // 2 and most_bytes_s < 4000, most_bytes_s


def broke(content=DEADLY, number=1, cause=ExchangeErrorCause.CLOSED, **changes):
    return events.RunBroke(content, endpoint_at(number), cause, **changes)


def alone():
    return QuarantineState("n1", random.Random(1))


def ended(state, content, *numbers, now_ms=0):
    """Let endpoints end under a content, as this node sees it."""
    for number in numbers:
        instance = endpoint_at(number).instance
        step(state, broke(content, number, ExchangeErrorCause.RESTARTED), now_ms)
        assert instance in state.table.find(content).ended


@then("two refused connections, a later start, or silence and no entry show an end")
def shows_end(context):
    instance = endpoint_at(1).instance
    for found, shows in (
        ((Found.REFUSES, Found.REFUSES), True),
        ((Found.STARTED_AGAIN,), True),
        ((Found.REFUSES, Found.STARTED_AGAIN), True),
        ((Found.REFUSES, Found.LISTENS), False),
        ((Found.LISTENS,), False),
        ((Found.SILENT, Found.LISTENS), False),
        ((Found.SILENT,) * SILENT_LOOKS, False),
        ((Found.SILENT, Found.SILENT, Found.GONE), True),
        ((Found.SILENT, Found.REFUSES, Found.REFUSES), True),
    ):
        state = alone()
        assert step(state, broke(), 0) == [events.Look(endpoint_at(1), 0)]
        for number, seen in enumerate(found, 1):
            commands = step(state, events.Looked(instance, seen), 300)
            pause_ms = SILENT_LOOK_AGAIN_MS if seen is Found.SILENT else LOOK_AGAIN_MS
            again = [events.Look(endpoint_at(1), pause_ms)]
            assert (commands == again) is (number < len(found)), (found, commands)
        assert (state.table.find(DEADLY) is not None) is shows, found
        assert not state.looks
    for cause in (
        ExchangeErrorCause.CONNECT,
        ExchangeErrorCause.NOT_HTTP,
        ExchangeErrorCause.OUT_OF_ORDER,
    ):
        assert not step(alone(), broke(cause=cause), 0), cause


@then("an endpoint that leaves as planned blames nobody")
def planned(context):
    for cause in ExchangeErrorCause:
        state = alone()
        assert not step(state, broke(cause=cause, leaving=True), 0) and state.idle


@then("an endpoint that was only asked for memory, or got no byte, has worked on nothing")
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
            Mock(),
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
        node.note_break(
            kind, request, endpoint_at(1), ExchangeError(ExchangeErrorCause.RESET, sent)
        )
        assert node.quarantine.note_break.called is noted, (kind, sent)


@then("one look serves all runs that broke together")
def one_look(context):
    state = alone()
    commands = [step(state, broke(f"c{number}"), 0) for number in range(64)]
    assert sum(map(len, commands)) == 1
    for _ in range(2):
        step(state, events.Looked(endpoint_at(1).instance, Found.REFUSES), 300)
    assert len(state.table) == 64


@then("a good run clears a content for all nodes, before it is quarantined and after")
def good_run(context):
    early = alone()
    ended(early, DEADLY, 1, 2)
    step(early, events.RanWell(DEADLY), 10)
    ended(early, DEADLY, 3, 4)
    assert early.admission(DEADLY, 20) is Admission.FREE
    fleet = fleet_that_knows()
    assert fleet.knowing() == 7 and DEADLY in fleet.stored
    fleet.take(fleet.names[0], events.RanWell(DEADLY))
    fleet.run(fleet.now_ms + CONTACT_MS)
    assert fleet.knowing() == 0 and DEADLY not in fleet.stored


@then("an answer that ends by a close is no good run, as an endpoint's end closes too")
def unframed(context):
    request = CallerRequest("r", "POST", "/a", "h", (), b"", 0, 900)
    quarantine = Quarantine(
        "n1", Directory(), Mock(), Mock(), random.Random(1), StoreEpoch(), lambda: 10
    )
    ended(quarantine._state, request.content, 1, 2, 3)
    quarantine.note_whole(request, framed=False)
    assert quarantine.blocks(request)
    quarantine.note_whole(request, framed=True)
    assert not quarantine.blocks(request)


@then("a node that missed the good run hears of it when it tells what it knows")
def missed_run(context):
    fleet = fleet_that_knows()
    missed = fleet.names[5]
    fleet.nodes[missed].away = True
    fleet.take(fleet.names[0], events.RanWell(DEADLY))
    fleet.run(fleet.now_ms + 30_000)
    assert fleet.knowing() == 1
    fleet.nodes[missed].away = False
    fleet.run(fleet.now_ms + CONTACT_MS)
    assert fleet.knowing() == 0


@then("of the requests beside a deadly content few are quarantined, and those have a trial soon")
def requests_beside(context):
    often, seldom = Habits(), Habits(most_runs=3, comes_every_ms=1000)
    for habits, count, runs_each, most_of_100 in (
        (often, 4, 16, 0),
        (often, 16, 32, 0),
        (seldom, 4, 8, 4),
        (seldom, 4, 64, 10),
        (seldom, 16, 8, 0),
        (seldom, 45, 16, 0),
    ):
        played = [play_service(count, runs_each, seed, habits) for seed in SEEDS]
        struck = sum(one.struck for one in played)
        wrongly = sum(one.quarantined for one in played)
        assert struck > 50 and all(one.ends >= ENDS_TO_QUARANTINE for one in played), played
        assert 100 * wrongly <= most_of_100 * struck, (habits, count, runs_each, struck, wrongly)
    state = alone()
    state.take_nodes(["n1"])
    for content in ("beside", DEADLY):
        ended(state, content, 1, 2, 3)
    assert state.admission("beside", TRIAL_SOON_MS - 1) is Admission.REFUSED
    assert state.admission("beside", TRIAL_SOON_MS) is Admission.TRIAL


@then("a owner lets it through once after ten minutes, to one endpoint, and no other node does")
def one_trial(context):
    fleet = fleet_that_knows()
    fleet.run(TRIAL_AFTER_MS + 10_000)
    ends = len(fleet.ends)
    admissions = [node.state.admission(DEADLY, fleet.now_ms) for node in fleet.nodes.values()]
    assert sorted(v.value for v in admissions) == ["refused"] * 4 + ["trial"] * 3, admissions
    fleet.come_again(100, fleet.now_ms + 5000)
    fleet.run(fleet.now_ms + 10_000)
    assert len(fleet.ends) == ends + 1, fleet.ends
    context.fleet = fleet


def old_view(age_ms):
    return Suspicion(DEADLY, ("e1@1", "e2@2", "e3@3", "e4@4"), trials=1, age_ms=age_ms)


@then("while endpoints end for a cause of their own, contents have a trial every ten minutes")
def failing_release(context):
    state, rng = alone(), random.Random(5)
    state.take_nodes(["n1"])
    contents = [f"c{number}" for number in range(60)]
    for content in contents:
        ended(state, content, *rng.sample(range(1, 13), 3))
    ended(state, DEADLY, 1, 2, 50)
    now_ms = TRIAL_SOON_MS
    for _ in range(3):
        admissions = {state.admission(content, now_ms) for content in contents}
        assert admissions == {Admission.TRIAL}, admissions
        assert state.admission(DEADLY, now_ms) is Admission.REFUSED
        for content in contents:
            step(state, events.TrialBegan(content), now_ms)
            ended(state, content, rng.randint(1, 12), now_ms=now_ms)
        admissions = {state.admission(content, now_ms + TRIAL_SOON_MS) for content in contents}
        assert admissions == {Admission.REFUSED}, admissions
        now_ms += TRIAL_AFTER_MS
        # Had its own trial meanwhile, and ended one more.
        if state.admission(DEADLY, now_ms) is Admission.TRIAL:
            step(state, events.TrialBegan(DEADLY), now_ms)
            ended(state, DEADLY, 51, now_ms=now_ms)


@then("a good run frees it, and another end settles it")
def after_trial(context):
    for node in context.fleet.nodes.values():
        assert node.state.admission(DEADLY, DAY_MS - 60_000) is Admission.REFUSED
        step(node.state, events.Tick(), 2 * DAY_MS)
        assert node.state.idle, "what callers have long given up is forgotten"
    told = alone()
    step(told, SuspicionNews("n2", (old_view(DAY_MS),)), 10)
    assert told.idle, "nor does it come back by a node that has not forgotten it yet"
    step(told, SuspicionNews("n2", (old_view(DAY_MS - 60_000),)), 10)
    assert told.admission(DEADLY, 50_000) is Admission.REFUSED
    step(told, events.Tick(), 70_000)
    assert told.idle, "who hears of it counts on from there"
    freed = alone()
    freed.take_nodes(["n1"])
    ended(freed, DEADLY, 1, 2, 3)
    assert freed.admission(DEADLY, TRIAL_AFTER_MS) is Admission.TRIAL
    step(freed, events.TrialBegan(DEADLY), TRIAL_AFTER_MS)
    assert freed.admission(DEADLY, TRIAL_AFTER_MS + 1) is Admission.REFUSED
    step(freed, events.RanWell(DEADLY), TRIAL_AFTER_MS + 2)
    assert freed.admission(DEADLY, TRIAL_AFTER_MS + 3) is Admission.FREE


VIEWS = st.builds(
    Suspicion,
    content=st.sampled_from(["a", "b"]),
    ended=st.sets(st.sampled_from(["e1", "e2", "e3", "e4"]), max_size=3).map(
        lambda starts: tuple(sorted(starts))
    ),
    ran_well=st.booleans(),
    trials=st.integers(0, 2),
)


@then("whatever the order and however often, the same is known in the end")
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


@then("whatever happened to a generation, once it is quarantined it ends")
def generation_ends(context):
    refusals = 0
    for event in GENERATION_EVENTS:
        for may_repeat in (False, True):
            state = generation(may_repeat)
            state.hold = HOLD
            command = generation_step(state, event, POOLS, wide_budget(), 10, barred=ENDS_ENDPOINTS)
            assert not isinstance(command, gen.Seek), (event, command)
            refusals += command == ENDS_ENDPOINTS
    assert refusals > len(GENERATION_EVENTS), refusals
    begun = generation(may_repeat=True)
    begun.hold, begun.out = HOLD, Out.STREAM
    lost = gen.RelayBroken(POOLS.decoders[0].instance, known=True)
    assert generation_step(begun, lost, POOLS, wide_budget(), 10, barred=ENDS_ENDPOINTS) == gen.Cut(
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
                state, event, ranked, wide_budget(), 10, barred=ENDS_ENDPOINTS
            )
            assert not isinstance(command, plain_core.SendTo), (event, command)
