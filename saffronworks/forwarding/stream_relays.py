"""Relays a stream to one caller, from one run or from several consecutive ones."""

import logging

import attrs

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.buffered_answers import TrackedBody
from saffronworks.forwarding.event_streams import EventSequence
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.generation_state import GenerationState
from saffronworks.forwarding.messages import AnswerHead, EventMark
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.replacements import Replacement
from saffronworks.forwarding.reservations import Reservation, StreamPace
from saffronworks.forwarding.runners import Job, NodeState, start_answer
from saffronworks.forwarding.stalls import replacement_holds, take_over
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.forwarding.tuning import (
    PROCESS_CHECK_LEAD_MS,
    STALL_CHECK_INTERVAL_MS,
    STALL_POLL_MS,
    STALL_TIMEOUT_GAPS,
    STALL_TIMEOUT_MIN_MS,
)

__all__ = ["StreamRelay"]

logger = logging.getLogger(__name__)


class StreamRelay:
    """Relays the events of runs to a caller and records which were sent."""

    def __init__(
        self,
        node: NodeState,
        job: Job,
        state: GenerationState,
        reservation: Reservation,
        tokens_per_event: int,
    ):
        self._node = node
        self._job = job
        self._state = state
        self._tokens_per_event = tokens_per_event
        self._sent = EventSequence(job.request.after_event)
        self._body: TrackedBody | None = None
        self._status: int | None = None
        self._pace_from: tuple[int, int] | None = None
        self._first_ms = 0
        self.replacement = Replacement(reservation)

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has, if known."""
        return self._sent.last_id

    @property
    def first_event_ms(self) -> int:
        """Return how long after the request's arrival its answer began, 0 before."""
        return max(0, self._first_ms - self._job.request.arrived_ms)

    async def await_first(self, run: StreamRun, status: int) -> None:
        """Wait for the first events of a run; raises ExchangeError.

        A run that does not resume directly after the caller's last event, from this or an earlier
        answer, counts as failed: relaying it would repeat or omit text in a stream that looks
        complete.
        """
        state, now_ms = self._state, self._node.now_ms()
        first = await run.read_first(max(1, state.deadline_at_ms - now_ms))
        if first is None:
            await self._check_end(run)
        else:
            run.writing_since_ms = self._node.now_ms()
        self._pace_from = None
        if state.answer_started or (state.may_repeat and self.last_event is not None):
            self._require_continuation(run, first, status)
        if first is not None and first.ids:
            self._pace_from = (first.ids[-1], self._node.now_ms())

    def _require_continuation(self, run: StreamRun, first: EventMark | None, status: int) -> None:
        resumes_after = self._status in (None, status) and run.resumes_after(self._sent)
        logger.info(
            "event=stream_continues request=%s after_event=%s first_event=%s framed=%s follows=%s",
            self._job.request.request_id,
            self.last_event,
            first.ids[0] if first is not None and first.ids else None,
            run.exchange.framed,
            resumes_after,
        )
        if not resumes_after:
            raise ExchangeError(ExchangeErrorCause.OUT_OF_ORDER, sent=True)

    async def start(self, head: AnswerHead) -> None:
        """Send the head of the stream, without Content-Length if another run may complete it."""
        self._first_ms = self._node.now_ms()
        self._status = head.status
        if self._may_resume:
            kept = tuple(field for field in head.headers if field[0].lower() != "content-length")
            head = attrs.evolve(head, headers=kept)
        self._body = await start_answer(self._node, self._job, head)

    async def send_events(self, run: StreamRun) -> None:
        """Relay a run's events to its regular end and finish the answer; raises ExchangeError."""
        assert self._body is not None
        self._body.attach(run.exchange)
        try:
            while (mark := await self._next_events(run)) is not None:
                self._record_events(mark.ids)
                self._node.observe_progress(self._job.request, run)
                await self._body.write(mark.data)
            if run.remainder():
                await self._body.write(run.remainder())
            proven = await self._check_end(run)
        finally:
            self._body.detach()
        await self._body.finish()
        self._node.quarantine.record_success(self._job.request, proven)
        self._log_end(run)

    async def _next_events(self, run: StreamRun) -> EventMark | None:
        """Return the next events of a run, None at its end; raises ExchangeError.

        A silent run is read until another one may replace it and has memory, at most to the
        deadline.
        """
        limit_ms, checks = self._stall_timeout_ms(), 0
        logged: ProcessState | None = None
        stall_ms = None if limit_ms is None else limit_ms - PROCESS_CHECK_LEAD_MS
        while True:
            try:
                mark = await run.next_events(self._left_ms(), stall_ms)
                if mark is None or mark.ids:
                    self.replacement.drop()
                return mark
            except ExchangeError as broken:
                silent = broken.cause is ExchangeErrorCause.SILENT
                in_time = self._node.now_ms() < self._state.deadline_at_ms
                if not silent or limit_ms is None or not in_time:
                    raise
                process = self._check_process(run)
                if run.quiet_ms < limit_ms:
                    stall_ms = limit_ms
                    continue
                if self._take_over(run, process):
                    raise
            if not checks:
                self._node.figures.count_send("stream", "stalled")
            if not checks or process not in (None, logged):
                self._log_stall(run, process, taken_over=False)
                logged = process
            checks += 1
            awaited = self.replacement.asking or process is None
            pause_ms = STALL_POLL_MS if awaited else STALL_CHECK_INTERVAL_MS
            stall_ms = int(run.quiet_ms) + pause_ms

    def _check_process(self, run: StreamRun) -> ProcessState | None:
        """Return the state of a silent run's process, None if a check is under way.

        That of a relayed run is not asked for, as the node that relays it may be the silent one.
        """
        assert self._state.hold is not None
        if run.exchange.connection.relayed_by is not None:
            return ProcessState.UNREACHABLE
        return self._node.processes.find(self._state.hold.endpoint)

    def _take_over(self, run: StreamRun, process: ProcessState | None) -> bool:
        """Return whether another run takes over from a silent one.

        Without a hold elsewhere, other endpoints are asked for one and the run is read on. A
        suspended endpoint would go on with it as well, so its run is read on in any case.
        """
        node, state, now_ms = self._node, self._state, self._node.now_ms()
        allowed = (
            self.last_event is not None
            and node.denial(self._job, answer_started=state.answer_started) is None
        )
        # The new run could be cut at this node's end, the silent one may still end in time.
        allowed = allowed and node.has_time_for_run(self._job)
        if self.replacement.hold is not None and process is not None:
            taken_over = allowed and take_over(state, process, node.budget, now_ms)
            self._log_stall(run, process, taken_over=taken_over)
            if taken_over:
                return True
            self.replacement.drop()
        if allowed and self.replacement.due:
            self._ask_others(run, process)
        return False

    def _ask_others(self, run: StreamRun, process: ProcessState | None) -> None:
        """Ask the usable endpoints for a hold in the background."""
        node, state = self._node, self._state
        assert state.hold is not None
        pools = node.rank_pools(state.service, state.tokens, state.version)
        relayed = run.exchange.connection.relayed_by is not None
        silent = None if relayed else state.hold.endpoint.instance
        commands = replacement_holds(state, silent, process, pools, node.budget, node.now_ms())
        self.replacement.usable = len(commands)
        if commands:
            self.replacement.begin_round(commands)

    def _log_stall(self, run: StreamRun, process: ProcessState | None, taken_over: bool) -> None:
        state, now_ms, hold = self._state, self._node.now_ms(), self.replacement.hold
        assert state.hold is not None
        logger.info(
            "event=stream_stalled request=%s endpoint=%s quiet_ms=%d last_event=%s left_ms=%d "
            "connected=%s process=%s budget=%s usable=%d next_endpoint=%s taken_over=%s",
            self._job.request.request_id,
            state.hold.endpoint.instance,
            run.quiet_ms,
            self.last_event,
            state.deadline_at_ms - now_ms,
            run.exchange.connection.is_open,
            process,
            self._node.budget.allows(state.service, now_ms),
            self.replacement.usable,
            hold.endpoint.instance if hold else None,
            taken_over,
        )

    def _record_events(self, ids: tuple[int, ...]) -> None:
        self._sent.record(ids)
        if ids:
            made_tokens = self._count_tokens(ids[-1])
            self._node.memory.progress(self._job.request.request_id, made_tokens)

    def _count_tokens(self, events: int) -> int:
        """Return the tokens of so many events, at most those that the request allows.

        A spoiled event id must not distort what planners learn.
        """
        tokens, prompt = events * self._tokens_per_event, self._job.request.prompt
        if prompt is None:
            return tokens
        return min(tokens, prompt.most_answer_tokens + self._tokens_per_event)

    async def _check_end(self, run: StreamRun) -> bool:
        assert self._state.hold is not None
        return await self._node.check_end(self._state.hold.endpoint, run.exchange)

    @property
    def _may_resume(self) -> bool:
        """Return whether another run may follow the current one."""
        return self._state.may_repeat and self._state.runs < self._state.max_attempts

    def _left_ms(self) -> int:
        return max(1, self._state.deadline_at_ms - self._node.now_ms())

    def _stall_timeout_ms(self) -> int | None:
        """Return the longest time without an event, None if no other run may follow."""
        if not self._may_resume:
            return None
        gaps_ms = STALL_TIMEOUT_GAPS * self._job.route.gap_target_ms
        return int(extend_for_lag(max(STALL_TIMEOUT_MIN_MS, gaps_ms)))

    def pace(self) -> StreamPace:
        """Return the pace of the last run, zeros if too few events were seen."""
        if self._pace_from is None or self.last_event is None:
            return StreamPace()
        from_event, from_ms = self._pace_from
        tokens = self._count_tokens(max(0, self.last_event - from_event))
        whole = self._job.reply.finished
        length_tokens = self._count_tokens(self.last_event) if whole else 0
        return StreamPace(tokens, self._node.now_ms() - from_ms, length_tokens)

    def _log_end(self, run: StreamRun) -> None:
        node, job, now_ms = self._node, self._job, self._node.now_ms()
        first_ms, took_ms = self._first_ms - job.request.arrived_ms, now_ms - job.request.arrived_ms
        node.figures.count("answered", job.route.name)
        node.figures.record(job.route.name, first_ms, took_ms)
        logger.info(
            "event=answered request=%s route=%s first_ms=%d took_ms=%d target_ms=%d runs=%d "
            "reads=%d last_event=%s framed=%s",
            job.request.request_id,
            job.route.name,
            first_ms,
            took_ms,
            job.route.target_ms,
            self._state.runs,
            self._state.reads,
            self.last_event,
            run.exchange.framed,
        )
