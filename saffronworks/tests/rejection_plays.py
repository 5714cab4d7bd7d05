"""Runs the deciding cores while endpoints, limits, time and bars change at every step.

Each function returns the command that ended the request, and the number of sends that an endpoint
may have run: those that it did not state as not executed.
"""

import attrs
from hypothesis import strategies as st

from saffronworks.bundles import Role
from saffronworks.forwarding import generation_core
from saffronworks.forwarding import generation_events as gen
from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.eligibility.blocks import (
    ALL_ELIGIBLE,
    Block,
    BlockReason,
    Eligibility,
)
from saffronworks.forwarding.generation_state import GenerationState, Pools
from saffronworks.forwarding.messages import (
    ENDS_ENDPOINTS,
    AnswerHead,
    Begin,
    Executed,
    KvHandle,
    KvHold,
    Refuse,
)
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.tests.endpoint_fixtures import MOST_STEPS, endpoints

__all__ = ["GENERATION_TURNS", "PLAIN_TURNS", "End", "play_generation", "play_plain"]

STATUSES = (200, 204, 400, 404, 408, 421, 429, 500, 502, 503, 504)
HEADS = st.builds(
    AnswerHead,
    status=st.sampled_from(STATUSES),
    headers=st.just(()),
    executed=st.sampled_from(Executed),
    signed=st.booleans(),
    misdirected=st.booleans(),
    asks_pause=st.booleans(),
)
# The result of a send: an answer, or how the exchange broke.
REPLIES = HEADS | st.sampled_from(("unsent", "withheld", "broken", "silent"))
# Most turns let the request continue, so that runs reach the rare endings after a send.
BARS = st.sampled_from((None, ENDS_ENDPOINTS, Refuse(503, "barred", not_run=True)))
PASSED_MS = st.sampled_from((0, 1, 10, 20, 40, 40, 40, 400, 2000, 9000))
MOSTLY = st.sampled_from((True, True, True, False))
DECODERS, READERS = endpoints(3, Role.DECODE, "d"), endpoints(2, Role.PREFILL, "p")


def eligibilities(names):
    blocks = st.dictionaries(
        st.sampled_from(names),
        st.builds(Block, st.sampled_from(BlockReason), st.none() | st.integers(0, 5000)),
        max_size=len(names),
    )
    drawn = st.builds(Eligibility, blocks, st.frozensets(st.sampled_from(names)))
    return st.one_of(st.just(ALL_ELIGIBLE), st.just(ALL_ELIGIBLE), drawn)


@attrs.frozen
class Turn:
    """The conditions at one step; a command uses those that concern it."""

    reply: object
    passed_ms: int
    eligibility: Eligibility
    # Whether permits, reservations, prefills and plans are granted; whether a relay breaks.
    granted: bool
    breaks: bool
    known: bool
    listed: int


@attrs.define
class Turns:
    """The turns of one run; the last one repeats."""

    all: list[Turn]
    bar: Refuse | None
    barred_from: int
    taken: int = 0

    def next(self):
        turn = self.all[min(self.taken, len(self.all) - 1)]
        self.taken += 1
        return turn, self.bar if self.taken > self.barred_from else None


def turns(names):
    turn = st.builds(
        Turn,
        REPLIES,
        PASSED_MS,
        eligibilities(names),
        MOSTLY,
        st.booleans(),
        st.booleans(),
        st.sampled_from((3, 3, 3, 3, 3, 0)),
    )
    # The bar applies from one of the turns on.
    return st.builds(Turns, st.lists(turn, min_size=4, max_size=16), BARS, st.integers(0, 12))


PLAIN_TURNS = turns([f"e{number}" for number in range(3)])
GENERATION_TURNS = turns([endpoint.name for endpoint in (*DECODERS, *READERS)])


@attrs.frozen
class End:
    """How a request ended; `may_have_run` counts sends that no endpoint stated as not executed."""

    command: object
    may_have_run: int

    @property
    def status(self):
        """The status that the caller receives, None if its connection is closed."""
        return getattr(self.command, "status", None)


def may_have_run(reply):
    if isinstance(reply, AnswerHead):
        return reply.executed is Executed.YES
    return reply in ("broken", "silent")


def narrow_budget():
    """Return a budget for a few extra sends, so that a run may exhaust it."""
    return RetryBudget(0.0, 5.0, 100_000)


def play_plain(may_repeat, played):
    state = plain.PlainState("s", may_repeat, 3, 300, 3000)
    budget, now_ms, ran = narrow_budget(), 0, 0
    event, head = Begin(), None
    for _ in range(MOST_STEPS):
        turn, bar = played.next()
        now_ms += turn.passed_ms
        ranked = endpoints(turn.listed)
        command = plain.step(state, event, ranked, budget, now_ms, bar, turn.eligibility)
        match command:
            case plain.AcquirePermit(endpoint) if turn.granted:
                event = plain.Permitted(endpoint.instance)
            case plain.AcquirePermit(endpoint):
                event = plain.NotPermitted(endpoint.instance, 100)
            case plain.SendTo(endpoint):
                ran += may_have_run(turn.reply)
                event, head = _plain_event(endpoint.instance, turn.reply), turn.reply
            case plain.Relay():
                return End(head, ran)
            case _:
                return End(command, ran)
    raise AssertionError(f"no end: {command}")


def _plain_event(instance, reply):
    if isinstance(reply, AnswerHead):
        return plain.Answered(instance, reply)
    return plain.Broken(instance, reply in ("broken", "silent"), reply == "silent")


def play_generation(may_repeat, played):
    state = GenerationState(
        "s", 9000, may_repeat, 3, 900, 0, 14_000, 2000, first_event_timeout_ms=3600, plans_left=2
    )
    budget, now_ms, ran, answer = narrow_budget(), 0, 0, None
    event = Begin()
    for _ in range(8 * MOST_STEPS):
        turn, bar = played.next()
        now_ms += turn.passed_ms
        pools = Pools(DECODERS[: turn.listed], READERS, turn.eligibility)
        command = generation_core.step(state, event, pools, budget, now_ms, bar)
        match command:
            case gen.OpenStream():
                ran += may_have_run(turn.reply)
                event = _stream_event(state, turn.reply)
            case gen.StartStream(head) | gen.RelayFailure(head):
                answer = head
                event = _relay_event(state, turn)
            case gen.ContinueStream():
                event = _relay_event(state, turn)
            case gen.Wait(pause_ms):
                now_ms += pause_ms
                event = gen.Waited()
            case gen.AskPlanner() | gen.TakeHold() | gen.ReadPrompt():
                event = _place_event(command, turn, now_ms)
            case _:
                # Once an answer has begun, the caller has received its status.
                return End(answer or command, ran)
        if event is None:
            return End(answer, ran)
    raise AssertionError(f"no end: {command}")


def _relay_event(state, turn):
    """Return how a relay ended; None if the answer is complete."""
    return gen.RelayBroken(state.hold.endpoint.instance, turn.known) if turn.breaks else None


def _stream_event(state, reply):
    instance = state.hold.endpoint.instance
    match reply:
        case AnswerHead():
            return gen.StreamAnswered(instance, reply)
        case "withheld":
            return gen.StreamWithheld(instance)
    return gen.StreamBroken(instance, reply in ("broken", "silent"), reply == "silent")


def _place_event(command, turn, now_ms):
    match command:
        case gen.AskPlanner() if turn.granted:
            return gen.PlanGranted("d0", "p0" if turn.known else "d0")
        case gen.AskPlanner():
            return gen.PlanRefused(900) if turn.known else gen.PlanSilent()
        case gen.TakeHold(endpoint) if turn.granted:
            return gen.HoldTaken(KvHold(endpoint, "k", now_ms + 2000))
        case gen.TakeHold(endpoint):
            return gen.HoldFailed(endpoint.instance, turn.breaks)
        case gen.ReadPrompt(endpoint) if turn.granted:
            return gen.PromptRead(KvHandle(endpoint, "h", 5000))
    return gen.ReadFailed(command.endpoint.instance, turn.breaks, turn.known)
