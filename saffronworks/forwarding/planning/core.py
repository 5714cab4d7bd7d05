"""Plans the decode memory of one service: grants, queues and rejects requests for it.

An engine knows its present memory use, but not how far its runs will grow. The planner knows every
run of the service, so it forecasts the peak of each endpoint and orders all waiting requests. Its
state is soft: entry nodes report their runs, the engines' own reservations are authoritative, and
an entry node without an answer goes on without the planner.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

import attrs

from saffronworks.forwarding.planning.messages import (
    LiveRun,
    MemoryAsk,
    MemoryDirect,
    MemoryGrant,
    MemoryQueued,
    MemoryRelease,
    MemoryReport,
    ReadingEnded,
    ReportWanted,
)
from saffronworks.forwarding.planning.plans import Message, Occupancies, PlanState, Reply, Waiter
from saffronworks.forwarding.planning.priorities import clip_rank
from saffronworks.forwarding.planning.rejections import reject, run_ends_per_s
from saffronworks.forwarding.planning.reserves import Reserve
from saffronworks.forwarding.planning.runs import Run
from saffronworks.forwarding.planning.speeds import is_plausible_pace
from saffronworks.forwarding.planning.tuning import (
    FULL_ENDPOINT_MS,
    LENGTH_SAMPLE_WEIGHT,
    MAX_EXAMINED,
    MAX_SLOWDOWN,
    REPORT_LAPSE_MS,
    REPORTS_RETRY_MS,
    STALLED_RUN_MS,
    WAITER_LAPSE_MS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    SAMPLE_WEIGHT,
)

__all__ = ["Event", "PlanState", "Reply", "Tick", "forget_request", "step"]


@attrs.frozen
class Tick:
    """Triggers expiries and rejections; the planner's service sends one every `PLAN_EVERY_MS`."""


Event = MemoryAsk | MemoryRelease | MemoryReport | ReadingEnded | Tick


def step(state: PlanState, event: Event, decoders: dict[StartId, str], now_ms: int) -> list[Reply]:
    """Apply an event to the plan and return the replies to entry nodes.

    `decoders` maps the usable decode endpoints to their zones. A report causes no grants, and
    rejections are sent at ticks only: in a burst there are several hundred events a second, and a
    pass over all waiters takes a millisecond of a small VM.
    """
    replies: list[Reply] = []
    if now_ms - state.last_event_ms > REPORT_LAPSE_MS:
        state.began_ms, state.reports_repeated = now_ms, False
        replies += _request_reports(state, state.nodes)
    state.last_event_ms = now_ms
    match event:
        case MemoryAsk():
            if not state.is_complete(now_ms) and not state.awaits_reports(now_ms):
                return [*replies, Reply(event.reply_to, MemoryDirect(event.request_id))]
            repeated = event.request_id in state.waiters
            _enqueue(state, event, now_ms)
            replies.append(Reply(event.reply_to, MemoryQueued(event.request_id)))
            # A repeated request frees no memory. In a burst there are hundreds a second, and a
            # search for an endpoint at each of them kept the planner busy most of the time.
            if repeated and state.is_complete(now_ms):
                return replies
        case MemoryRelease():
            _release(state, event, now_ms)
        case MemoryReport():
            _apply_report(state, event, now_ms)
            return replies
        case ReadingEnded():
            _end_prefill(state, event, now_ms)
        case Tick():
            _expire(state, now_ms)
            replies += _repeat_report_requests(state, now_ms)
    if not state.is_complete(now_ms):
        return replies if state.awaits_reports(now_ms) else [*replies, *_release_waiters(state)]
    state.shares.update(state.runs, state.waiters, now_ms)
    granted = _grant(state, decoders, now_ms)
    state.shares.record_unserved(state.waiters)
    rejected = reject(state, decoders, now_ms) if isinstance(event, Tick) else []
    state.shares.record_rejections((reply.message for reply in rejected), now_ms)
    return [*_drop_superseded(replies, granted), *granted, *rejected]


def forget_request(state: PlanState, request_id: str) -> None:
    """Remove a request that waits or runs, without a reply."""
    state.waiters.pop(request_id, None)
    _remove_run(state, request_id)


def _request_reports(state: PlanState, nodes: Iterable[str]) -> list[Reply]:
    """Request reports from nodes; a new plan is complete once all have answered."""
    message = ReportWanted(state.service, state.own_address)
    return [Reply(node, message) for node in nodes]


def _repeat_report_requests(state: PlanState, now_ms: int) -> list[Reply]:
    """Request the missing reports of a new plan once more; a lost message would end the wait."""
    due = now_ms - state.began_ms >= REPORTS_RETRY_MS and state.awaits_reports(now_ms)
    if state.reports_repeated or not due:
        return []
    state.reports_repeated = True
    return _request_reports(state, state.missing_reports())


def _release_waiters(state: PlanState) -> list[Reply]:
    """Let all waiters go on without the planner, since a node has not sent its report in time."""
    waiting = [waiter.ask for waiter in state.waiters.values()]
    state.waiters.clear()
    return [Reply(ask.reply_to, MemoryDirect(ask.request_id)) for ask in waiting]


def _drop_superseded(replies: list[Reply], granted: list[Reply]) -> list[Reply]:
    """Drop each `MemoryQueued` reply whose request is granted in the same step."""
    messages = [reply.message for reply in granted]
    settled = {message.request_id for message in messages if isinstance(message, MemoryGrant)}

    def is_current(message: Message) -> bool:
        return not (isinstance(message, MemoryQueued) and message.request_id in settled)

    return [reply for reply in replies if is_current(reply.message)]


def _enqueue(state: PlanState, ask: MemoryAsk, now_ms: int) -> None:
    _revoke_grant(state, ask.request_id, now_ms)
    known = state.waiters.get(ask.request_id)
    if known is None:
        _learn_from_request(state, ask, now_ms)
        state.shares.record_request(ask, now_ms)
    state.waiters[ask.request_id] = Waiter(
        ask,
        now_ms - ask.waited_ms,
        now_ms + ask.in_time_ms,
        now_ms + ask.patience_ms,
        now_ms,
        decided=known.decided if known else False,
    )


def _learn_from_request(state: PlanState, ask: MemoryAsk, now_ms: int) -> None:
    """Add a new request to the statistics; a repeated one is not counted again."""
    state.order.rates.record(clip_rank(ask.priority), now_ms)
    # Longer answers fit into no endpoint; such a hint must not distort what others get.
    likely_tokens = min(ask.likely_tokens, state.capacity_tokens)
    mean_tokens = state.mean_answer_tokens or float(likely_tokens)
    state.mean_answer_tokens = mean_tokens + LENGTH_SAMPLE_WEIGHT * (likely_tokens - mean_tokens)
    for instance in ask.broken:
        state.ejections.record_failure(instance, now_ms)


def _revoke_grant(state: PlanState, request_id: str, now_ms: int) -> None:
    """Remove the run of a request that was sent again.

    If the run has no tokens, the endpoint had no room for it.
    """
    run = _remove_run(state, request_id)
    if run is not None and not run.made_tokens:
        state.full_until_ms[run.instance] = now_ms + FULL_ENDPOINT_MS
        state.shares.record_revoked_grant(run, now_ms)


def _remove_run(state: PlanState, request_id: str) -> Run | None:
    """Remove a run, and its prompt from the prefill queue; None if the run is unknown."""
    run = state.runs.pop(request_id, None)
    if run is not None and run.reader is not None:
        state.prefill.remove(request_id, run.reader)
    return run


def _release(state: PlanState, event: MemoryRelease, now_ms: int) -> None:
    for instance in event.broken:
        state.ejections.record_failure(instance, now_ms)
    state.waiters.pop(event.request_id, None)
    run = _remove_run(state, event.request_id)
    if run is not None:
        state.full_until_ms.pop(run.instance, None)
        state.lengths.learn(run.likely_tokens, event.length_tokens)
        state.speeds.learn_run(run.instance, event.answer_tokens, event.stream_ms, now_ms)
    if is_plausible_pace(event.answer_tokens, event.stream_ms):
        sample = event.stream_ms / event.answer_tokens
        sample = min(sample, MAX_SLOWDOWN * state.ms_per_token)
        state.ms_per_token += SAMPLE_WEIGHT * (sample - state.ms_per_token)


def _end_prefill(state: PlanState, event: ReadingEnded, now_ms: int) -> None:
    """Remove the prompt from the prefill queue, as finished or as cancelled."""
    run = state.runs.get(event.request_id)
    if run is None or run.reader is None:
        return
    if event.whole and event.reader == run.reader:
        state.prefill.finish(event.request_id, run.reader, now_ms)
    else:
        state.prefill.remove(event.request_id, run.reader)


def _apply_report(state: PlanState, report: MemoryReport, now_ms: int) -> None:
    """Replace the known runs of a node by the reported ones.

    A recent run that no report has named stays, since the report may have been sent before its
    grant. A standby planner learns only from reports which runs have ended. When it kept runs that
    take a quarter of a second until they expired, it counted 40 runs instead of 6 after a takeover,
    and rejected callers while memory was free.
    """
    state.reported_ms[report.reply_to] = now_ms
    state.speeds.count_runs((run.instance for run in state.runs.values()), now_ms)
    reported = {run.request_id for run in report.runs}
    for request_id, run in list(state.runs.items()):
        may_be_newer = not run.reported and now_ms - run.began_ms < REPORT_LAPSE_MS
        if run.reply_to == report.reply_to and request_id not in reported and not may_be_newer:
            _remove_run(state, request_id)
    for live in report.runs:
        waiter = state.waiters.get(live.request_id)
        if waiter is not None and waiter.ask.reply_to == report.reply_to:
            # The node got no reply in time and began the run without the planner.
            del state.waiters[live.request_id]
        known = state.runs.get(live.request_id)
        if known is None or known.instance != live.instance:
            known = state.runs[live.request_id] = _make_run(live, report.reply_to, now_ms)
        if live.made_tokens and known.reader is not None:
            state.prefill.remove(live.request_id, known.reader)
        known.reported = True
        _apply_progress(state, known, live, now_ms)
        if live.made_tokens and live.quiet_ms >= STALLED_RUN_MS:
            state.ejections.record_failure(live.instance, now_ms)


def _apply_progress(state: PlanState, run: Run, live: LiveRun, now_ms: int) -> None:
    """Update a run's tokens; those since the last report are a sample of its endpoint's speed."""
    made_tokens, made_ms = max(0, live.made_tokens), now_ms - max(0, live.quiet_ms)
    if run.made_tokens:
        tokens, span_ms = made_tokens - run.made_tokens, made_ms - run.made_ms
        state.speeds.learn_progress(run.instance, tokens, span_ms, now_ms)
    run.made_tokens, run.made_ms = made_tokens, made_ms


def _make_run(live: LiveRun, reply_to: str, now_ms: int) -> Run:
    return Run(
        live.instance,
        reply_to,
        live.prompt_tokens,
        live.likely_tokens,
        live.most_tokens,
        now_ms - live.age_ms,
        priority=live.priority,
        organisation=live.organisation,
    )


def _expire(state: PlanState, now_ms: int) -> None:
    """Remove the runs of nodes that no longer report, and the waiters of nodes that no longer ask.

    A node repeats its ask for each waiting request, unless it has ended or is suspended. Memory
    that is granted to such a waiter would stay reserved until the run expires.
    """
    for request_id, run in list(state.runs.items()):
        last_known_ms = max(run.began_ms, state.reported_ms.get(run.reply_to, 0))
        if now_ms - last_known_ms > REPORT_LAPSE_MS:
            _remove_run(state, request_id)
    for request_id, waiter in list(state.waiters.items()):
        if now_ms > waiter.patience_deadline_ms or now_ms - waiter.asked_ms > WAITER_LAPSE_MS:
            del state.waiters[request_id]


def _grant(state: PlanState, decoders: dict[StartId, str], now_ms: int) -> list[Reply]:
    """Grant memory to the first waiters, as far as they fit.

    At most `MAX_EXAMINED` are examined, and as many that avoid endpoints: these may fit nowhere
    while others do.
    """
    state.kept = {}
    if not state.waiters or not decoders:
        return []
    usable = state.occupancies(decoders, now_ms)
    replies = []
    reserve = _make_reserve(state, now_ms)
    offers = state.order.offers(state.waiters.values(), now_ms)
    for waiter in _examined(offers):
        ask = waiter.ask
        candidates = state.candidates(ask, usable, decoders, now_ms)
        uses_local_prefill = state.prefill.uses_local_prefill(now_ms)
        eligible = _eligible(state, reserve, waiter, candidates)
        instance = _choose_endpoint(state, ask, eligible, uses_local_prefill, now_ms)
        if instance is None:
            if reserve is not None and not waiter.is_late(now_ms):
                reserve.keep(waiter, candidates)
            continue
        reader = instance
        if not uses_local_prefill:
            reader = state.prefill.choose(decoders[instance], ask.prompt_tokens, now_ms)
        run = Run(
            instance,
            ask.reply_to,
            ask.prompt_tokens,
            ask.likely_tokens,
            ask.most_tokens,
            now_ms,
            reader,
            priority=ask.priority,
            organisation=ask.organisation,
        )
        held = candidates[instance]
        held.add(run.growth(state.lengths, held.ms_per_token, now_ms))
        held.update_peak()
        state.runs[ask.request_id] = run
        del state.waiters[ask.request_id]
        state.order.record_grant(waiter, state.waiters.values(), now_ms)
        state.shares.record_grant(ask, now_ms)
        state.prefill.add(ask.request_id, reader, ask.prompt_tokens, now_ms)
        grant = MemoryGrant(ask.request_id, instance, reader)
        replies.append(Reply(ask.reply_to, grant, waiter.priority))
    if reserve is not None:
        state.kept = reserve.kept
    return replies


def _examined(offers: Iterable[Waiter]) -> Iterator[Waiter]:
    """Yield the first `MAX_EXAMINED` waiters, and as many that avoid endpoints, in order."""
    counts = Counter[bool]()
    for waiter in offers:
        avoids = bool(waiter.ask.avoid)
        if counts[avoids] < MAX_EXAMINED:
            counts[avoids] += 1
            yield waiter
        elif not avoids:
            return


def _make_reserve(state: PlanState, now_ms: int) -> Reserve | None:
    """Return an empty reserve for this step; None while there is only one priority."""
    if not state.order.rates.has_several_priorities(now_ms) or not state.runs:
        return None
    return Reserve(state.order.rates, 1000 / run_ends_per_s(state, now_ms), now_ms)


def _eligible(
    state: PlanState, reserve: Reserve | None, waiter: Waiter, usable: Occupancies
) -> Occupancies:
    """Return the endpoints that may get the run; a priority that is due may use them all."""
    if reserve is None or state.order.is_due(waiter.priority, reserve.now_ms):
        return usable
    return reserve.eligible(waiter.priority, usable)


def _choose_endpoint(
    state: PlanState, ask: MemoryAsk, usable: Occupancies, uses_local_prefill: bool, now_ms: int
) -> StartId | None:
    """Choose the endpoint for a run; with local prefill, one without a prefill backlog."""
    if not uses_local_prefill:
        return state.best_fit(ask, usable)
    idle = {
        name: held for name, held in usable.items() if state.prefill.backlog_ms(name, now_ms) == 0
    }
    return state.best_fit(ask, idle, state.local_prefill_share)
