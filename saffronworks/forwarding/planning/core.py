"""Plans the decode memory of one service: who gets it, who waits, who is told to return when.

An engine knows what it holds now, but not what its runs will grow to; the planner knows every run,
so it foresees the peak of each endpoint and orders all who wait. It is soft state: entry nodes
report their runs, the engines' own reservations stay the truth, and an entry node that hears
nothing goes on without. `step(state, event, decoders, now_ms)` gives replies to entry nodes.
"""

from collections import deque

import attrs

from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.messages import (
    LiveRun,
    MemoryAsk,
    MemoryDirect,
    MemoryGrant,
    MemoryQueued,
    MemoryRefusal,
    MemoryRelease,
    MemoryReport,
    ReadingEnded,
)
from saffronworks.forwarding.planning.reading import ReadingPlan
from saffronworks.forwarding.planning.runs import Occupancy, Run, projected_peak
from saffronworks.forwarding.planning.shuns import ShunTable
from saffronworks.forwarding.tuning import (
    DECIDE_AFTER_MS,
    FULL_MS,
    MARGIN_ANSWERS,
    MOST_MARGIN_SHARE,
    MOST_SLOWER,
    MS_PER_TOKEN,
    QUEUE_LOOK,
    QUIET_RUN_MS,
    RATE_WINDOW_MS,
    READ_MS,
    REPORT_LAPSE_MS,
    RETRY_AFTER_LEAST_MS,
    RETRY_AFTER_MOST_MS,
    RETURN_SHARE,
    SAMPLE_WEIGHT,
    USUAL_WEIGHT,
    WARM_UP_MS,
)

__all__ = ["Event", "PlanState", "Reply", "Tick", "step"]


@attrs.define
class Waiter:
    """One request that wants memory; times by the planner's own clock."""

    ask: MemoryAsk
    arrived_ms: int
    in_time_until_ms: int
    patient_until_ms: int
    decided: bool = False

    def rank(self, now_ms: int) -> tuple[bool, int]:
        """Those who can be in time first, the most pressing of them before others.

        The target counts from a caller's first attempt: one who was refused is late whenever it is
        served, and takes what the others leave. In turn with them it took up to 8 of 20 places in
        two seconds of a burst, each from one who then was late as well: 0.016 of worth on five
        days.
        """
        late = self.ask.returned or now_ms > self.in_time_until_ms
        return late, self.patient_until_ms if late else self.in_time_until_ms


@attrs.define
class PlanState:
    """The plan of one service's decode memory.

    `began_ms` is when this node first was asked, or was asked again after it had heard nothing for
    long: it may have stood still meanwhile. Endpoints that failed a request are shunned for a
    while, those that had no room for a grant are full for a moment or until a run of theirs ends.
    `usual_tokens` is the running average of likely answers.
    """

    began_ms: int
    capacity_tokens: int
    slots: int
    ms_per_token: float = MS_PER_TOKEN
    runs: dict[str, Run] = attrs.Factory(dict)
    waiters: dict[str, Waiter] = attrs.Factory(dict)
    grants_ms: deque[int] = attrs.Factory(deque)
    reported_ms: dict[str, int] = attrs.Factory(dict)
    next_return_ms: float = 0.0
    heard_ms: int = 0
    reading: ReadingPlan = attrs.Factory(ReadingPlan)
    lengths: AnswerLengths = attrs.Factory(AnswerLengths)
    shuns: ShunTable = attrs.Factory(ShunTable)
    full_until_ms: dict[str, int] = attrs.Factory(dict)
    usual_tokens: float = 0.0

    @property
    def limit_tokens(self) -> float:
        """What foreseen peaks of an endpoint may take."""
        margin_tokens = MARGIN_ANSWERS * self.usual_tokens
        return self.capacity_tokens - min(margin_tokens, MOST_MARGIN_SHARE * self.capacity_tokens)

    def forget_all_but(self, instances: set[str]) -> None:
        """Drop what was learnt of endpoints that are gone."""
        self.shuns.forget_all_but(instances)
        self.reading.forget_all_but(instances)
        for instance in self.full_until_ms.keys() - instances:
            del self.full_until_ms[instance]


@attrs.frozen
class Tick:
    """Time passed."""


@attrs.frozen
class Reply:
    """Send a message to an entry node."""

    address: str
    message: MemoryGrant | MemoryQueued | MemoryDirect | MemoryRefusal


Occupancies = dict[str, Occupancy]
Event = MemoryAsk | MemoryRelease | MemoryReport | ReadingEnded | Tick


def step(state: PlanState, event: Event, decoders: dict[str, str], now_ms: int) -> list[Reply]:
    """Replies to entry nodes; `decoders` are the usable endpoints now, with their zones.

    A report brings no reply, and refusals go out at ticks: in a burst there are several hundred
    events a second, and a look at all who wait costs a millisecond of a small VM.
    """
    replies: list[Reply] = []
    if now_ms - state.heard_ms > REPORT_LAPSE_MS:
        state.began_ms = now_ms
    state.heard_ms = now_ms
    match event:
        case MemoryAsk():
            if now_ms - state.began_ms < WARM_UP_MS:
                return [Reply(event.reply_to, MemoryDirect(event.request_id))]
            _enqueue(state, event, now_ms)
            replies.append(Reply(event.reply_to, MemoryQueued(event.request_id)))
        case MemoryRelease():
            _release(state, event, now_ms)
        case MemoryReport():
            _take_report(state, event, now_ms)
            return []
        case ReadingEnded():
            _end_reading(state, event, now_ms)
        case Tick():
            _lapse(state, now_ms)
    granted = _grant(state, decoders, now_ms)
    known = {reply.message.request_id for reply in granted}
    replies = [reply for reply in replies if reply.message.request_id not in known]
    refused = _refuse(state, decoders, now_ms) if isinstance(event, Tick) else []
    return [*replies, *granted, *refused]


def _enqueue(state: PlanState, ask: MemoryAsk, now_ms: int) -> None:
    _take_back(state, ask.request_id, now_ms)
    known = state.waiters.get(ask.request_id)
    if known is None:
        _learn_from_ask(state, ask, now_ms)
    state.waiters[ask.request_id] = Waiter(
        ask,
        now_ms - ask.waited_ms,
        now_ms + ask.in_time_ms,
        now_ms + ask.patience_ms,
        decided=known.decided if known else False,
    )


def _learn_from_ask(state: PlanState, ask: MemoryAsk, now_ms: int) -> None:
    """What an ask says counts once, though it comes again while it waits."""
    known_tokens = state.usual_tokens or float(ask.likely_tokens)
    state.usual_tokens = known_tokens + USUAL_WEIGHT * (ask.likely_tokens - known_tokens)
    for instance in ask.broken:
        state.shuns.fail(instance, now_ms)


def _take_back(state: PlanState, request_id: str, now_ms: int) -> None:
    """A grant that found no room is asked for again: nothing is read for it, nothing runs."""
    run = _forget_run(state, request_id)
    if run is not None and not run.made_tokens:
        state.full_until_ms[run.instance] = now_ms + FULL_MS


def _forget_run(state: PlanState, request_id: str) -> Run | None:
    """A run that is over, with what was still to be read for it."""
    run = state.runs.pop(request_id, None)
    if run is not None and run.reader is not None:
        state.reading.uncount(request_id, run.reader, run.prompt_tokens)
    return run


def _release(state: PlanState, event: MemoryRelease, now_ms: int) -> None:
    for instance in event.broken:
        state.shuns.fail(instance, now_ms)
    state.waiters.pop(event.request_id, None)
    run = _forget_run(state, event.request_id)
    if run is not None:
        state.full_until_ms.pop(run.instance, None)
        state.lengths.learn(run.likely_tokens, event.length_tokens)
    if event.answer_tokens and event.stream_ms:
        seen = event.stream_ms / event.answer_tokens
        seen = min(seen, MOST_SLOWER * state.ms_per_token)
        state.ms_per_token += SAMPLE_WEIGHT * (seen - state.ms_per_token)


def _end_reading(state: PlanState, event: ReadingEnded, now_ms: int) -> None:
    """The reader is free for the next prompt."""
    run = state.runs.get(event.request_id)
    if run is None or run.reader is None:
        return
    if event.whole and event.reader == run.reader:
        state.reading.finish(event.request_id, run.reader, now_ms)
    else:
        state.reading.uncount(event.request_id, run.reader, run.prompt_tokens)


def _take_report(state: PlanState, report: MemoryReport, now_ms: int) -> None:
    """A node's own list replaces what was known of it, but for grants that crossed it."""
    state.reported_ms[report.reply_to] = now_ms
    listed = {run.request_id for run in report.runs}
    for request_id, run in list(state.runs.items()):
        fresh = now_ms - run.began_ms < REPORT_LAPSE_MS
        if run.reply_to == report.reply_to and request_id not in listed and not fresh:
            _forget_run(state, request_id)
    for live in report.runs:
        known = state.runs.get(live.request_id)
        if known is None or known.instance != live.instance:
            known = state.runs[live.request_id] = _from_report(live, report.reply_to, now_ms)
        if live.made_tokens and known.reader is not None:
            state.reading.uncount(live.request_id, known.reader, known.prompt_tokens)
        known.made_tokens, known.made_ms = live.made_tokens, now_ms - live.quiet_ms
        if live.made_tokens and live.quiet_ms >= QUIET_RUN_MS:
            state.shuns.fail(live.instance, now_ms)


def _from_report(live: LiveRun, reply_to: str, now_ms: int) -> Run:
    return Run(
        live.instance,
        reply_to,
        live.prompt_tokens,
        live.likely_tokens,
        live.most_tokens,
        now_ms - live.age_ms,
    )


def _lapse(state: PlanState, now_ms: int) -> None:
    """Forget what belongs to nodes that report nothing any more, and who gave up."""
    for request_id, run in list(state.runs.items()):
        heard_ms = max(run.began_ms, state.reported_ms.get(run.reply_to, 0))
        if now_ms - heard_ms > REPORT_LAPSE_MS:
            _forget_run(state, request_id)
    for request_id, waiter in list(state.waiters.items()):
        if now_ms > waiter.patient_until_ms:
            del state.waiters[request_id]


def _ranked(state: PlanState, now_ms: int) -> list[Waiter]:
    return sorted(state.waiters.values(), key=lambda waiter: waiter.rank(now_ms))


def _occupancies(state: PlanState, decoders: dict[str, str], now_ms: int) -> Occupancies:
    """The runs of each endpoint that may get work."""
    usable = {
        name: Occupancy([])
        for name in state.shuns.usable(decoders, now_ms)
        if state.full_until_ms.get(name, 0) <= now_ms
    }
    for run in state.runs.values():
        if run.instance in usable:
            usable[run.instance].add(run.growth(state.lengths, state.ms_per_token, now_ms))
    for occupancy in usable.values():
        occupancy.settle()
    return usable


def _grant(state: PlanState, decoders: dict[str, str], now_ms: int) -> list[Reply]:
    """Give memory to the first who fit; the foremost few are looked at."""
    if not state.waiters or not decoders:
        return []
    usable = _occupancies(state, decoders, now_ms)
    replies = []
    for waiter in _ranked(state, now_ms)[:QUEUE_LOOK]:
        open_to = state.reading.admitted(usable, now_ms)
        instance = _fit(state, waiter.ask, {name: usable[name] for name in open_to})
        if instance is None:
            continue
        ask = waiter.ask
        reader = state.reading.choose(instance, decoders[instance], ask.prompt_tokens, now_ms)
        run = Run(
            instance,
            ask.reply_to,
            ask.prompt_tokens,
            ask.likely_tokens,
            ask.most_tokens,
            now_ms,
            reader,
        )
        usable[instance].add(run.growth(state.lengths, state.ms_per_token, now_ms))
        usable[instance].settle()
        state.runs[ask.request_id] = run
        del state.waiters[ask.request_id]
        state.grants_ms.append(now_ms)
        state.reading.count(ask.request_id, reader, ask.prompt_tokens, now_ms)
        replies.append(Reply(ask.reply_to, MemoryGrant(ask.request_id, instance, reader)))
    return replies


def _fit(state: PlanState, ask: MemoryAsk, usable: Occupancies) -> str | None:
    """The endpoint whose foreseen peak with this run is lowest, if that is low enough."""
    limit = state.limit_tokens
    more = state.lengths.more_tokens(0.0, ask.likely_tokens, ask.most_tokens)
    own = (float(ask.prompt_tokens), more)
    best: tuple[float, str] | None = None
    for instance, present in usable.items():
        full = len(present.growths) >= state.slots
        if instance in ask.avoid or full or not present.may_fit(ask.prompt_tokens, limit):
            continue
        peak = projected_peak([*present.growths, own])
        fits = peak <= limit or not present.growths
        if fits and (best is None or (peak, instance) < best):
            best = (peak, instance)
    return best[1] if best else None


def _grants_per_s(state: PlanState, now_ms: int) -> float:
    """How many places come free: as seen lately, or as the present runs end, if that is more."""
    while state.grants_ms and state.grants_ms[0] <= now_ms - RATE_WINDOW_MS:
        state.grants_ms.popleft()
    seen = len(state.grants_ms) * 1000 / RATE_WINDOW_MS
    run_ms = [READ_MS + run.likely_tokens * state.ms_per_token for run in state.runs.values()]
    foreseen = 1000 * len(run_ms) ** 2 / sum(run_ms) if run_ms else 0.0
    return max(1.0, seen, foreseen)


def _refuse(state: PlanState, decoders: dict[str, str], now_ms: int) -> list[Reply]:
    """Once, when a first refusal must go out: those whose turn is not foreseen in time."""
    pending = [w for w in state.waiters.values() if not w.decided]
    if all(now_ms - waiter.arrived_ms < DECIDE_AFTER_MS for waiter in pending):
        return []
    per_s, usable = _grants_per_s(state, now_ms), _occupancies(state, decoders, now_ms)
    reading_at_ms = now_ms + state.reading.wait_ms(usable, now_ms)
    replies = []
    for position, waiter in enumerate(_ranked(state, now_ms)):
        memory_ms = 0.0 if _fit(state, waiter.ask, usable) else (position + 1) * 1000 / per_s
        turn_ms = max(reading_at_ms, now_ms + memory_ms)
        reading_at_ms += state.reading.turn_ms(waiter.ask.prompt_tokens, usable)
        if waiter.decided or now_ms - waiter.arrived_ms < DECIDE_AFTER_MS:
            continue
        waiter.decided = True
        if waiter.ask.returned or turn_ms <= waiter.in_time_until_ms:
            continue
        del state.waiters[waiter.ask.request_id]
        refusal = MemoryRefusal(waiter.ask.request_id, _return_after_ms(state, per_s, now_ms))
        replies.append(Reply(waiter.ask.reply_to, refusal))
    return replies


def _return_after_ms(state: PlanState, per_s: float, now_ms: int) -> int:
    """Returns are spread so that they take a part of what the endpoints grant."""
    earliest_ms = now_ms + RETRY_AFTER_LEAST_MS
    state.next_return_ms = max(earliest_ms, state.next_return_ms + 1000 / (RETURN_SHARE * per_s))
    state.next_return_ms = min(state.next_return_ms, now_ms + RETRY_AFTER_MOST_MS)
    return int(state.next_return_ms - now_ms)
