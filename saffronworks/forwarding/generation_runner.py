"""Serves one generation: executes the commands of `generation_core`."""

import logging

import anyio

from saffronworks.forwarding import generation_core
from saffronworks.forwarding import generation_events as events
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import (
    ExchangeError,
    ExchangeErrorCause,
    FaultSite,
)
from saffronworks.forwarding.generation_state import (
    UNCERTAIN_VERSION,
    GenerationState,
    Pools,
    planned_tokens,
    reserve_tokens,
)
from saffronworks.forwarding.messages import (
    AnswerHead,
    Begin,
    Executed,
    KvHandle,
    PromptSize,
    Refuse,
)
from saffronworks.forwarding.planning.client import RunSize
from saffronworks.forwarding.prefills import Prefill
from saffronworks.forwarding.reservations import Reservation, StreamPace
from saffronworks.forwarding.routing import EngineSpec, Route
from saffronworks.forwarding.runners import (
    HOLD,
    Job,
    NodeState,
    relay_rest,
    send_refusal,
    start_answer,
)
from saffronworks.forwarding.stream_relays import StreamRelay
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.forwarding.tuning import (
    CALLER_TIMEOUT_GAPS,
    CALLER_TIMEOUT_MIN_MS,
    CALLER_TIMEOUT_TARGETS,
    HANDLE_FAILURE_COOLDOWN_MS,
    HEADROOM_SHARE,
    RETRY_TIME_LEFT_SHARE,
)

__all__ = ["run_generation"]

logger = logging.getLogger(__name__)


async def run_generation(
    node: NodeState, job: Job, prompt: PromptSize, engine: EngineSpec, usual_left_ms: int
) -> None:
    """Serve a request of a service with engines.

    `usual_left_ms` is the timeout that callers of the route set at their first attempt. A request
    with less time left is taken for a retry.
    """
    state = GenerationState(
        service=job.service,
        tokens=reserve_tokens(prompt, engine.kv_capacity_tokens),
        planned_tokens=planned_tokens(prompt, engine.kv_capacity_tokens),
        may_repeat=job.route.may_repeat,
        max_attempts=job.route.max_attempts,
        target_ms=job.route.target_ms,
        arrived_ms=job.request.arrived_ms,
        deadline_at_ms=job.deadline_at_ms,
        hold_most_ms=engine.hold_most_ms,
        headroom_tokens=int(HEADROOM_SHARE * engine.kv_capacity_tokens),
        first_event_timeout_ms=client_first_event_timeout_ms(job.route),
        returned=job.request.left_ms < RETRY_TIME_LEFT_SHARE * usual_left_ms,
        version=job.version,
    )
    size = RunSize(prompt.prompt_tokens, prompt.likely_tokens, prompt.most_answer_tokens)
    reservation = Reservation(node, job, size)
    relay = StreamRelay(node, job, state, reservation, engine.tokens_per_event)
    await _GenerationRun(node, job, state, reservation, relay).run()


def client_first_event_timeout_ms(route: Route) -> int:
    """Return the time after which callers of a route disconnect if no event has arrived."""
    by_target_ms = CALLER_TIMEOUT_TARGETS * route.target_ms
    return max(CALLER_TIMEOUT_MIN_MS, by_target_ms, CALLER_TIMEOUT_GAPS * route.gap_target_ms)


class _GenerationRun:
    def __init__(
        self,
        node: NodeState,
        job: Job,
        state: GenerationState,
        reservation: Reservation,
        relay: StreamRelay,
    ):
        self._node = node
        self._reservation = reservation
        self._relay = relay
        self._job = job
        self._state = state
        self._stream: StreamRun | None = None
        self._prefill = Prefill(node, job, self._begin_trial, self._record_break)
        self._trial_began = False
        self._run_began_ms = 0
        # The pace of a run whose path failed says nothing about its endpoint.
        self._path_failed = False

    async def run(self) -> None:
        """Execute commands until the answer is complete, refused or cut."""
        event: events.Event | None = Begin()
        try:
            while event is not None:
                event = await self._execute(self._decide(event))
        finally:
            self._release()

    def _decide(self, event: events.Event) -> events.Command:
        node, now_ms, answer_started = self._node, self._node.now_ms(), self._state.answer_started
        pools = node.rank_pools(self._job.service, self._state.tokens, self._state.version)
        denial = node.denial(self._job, self._trial_began, answer_started)
        command = generation_core.step(self._state, event, pools, node.budget, now_ms, denial)
        if not isinstance(command, events.Wait | events.TakeHold):
            self._log_decision(event, command, pools, answer_started, now_ms)
        return command

    def _log_decision(
        self,
        event: events.Event,
        command: events.Command,
        pools: Pools,
        answer_started: bool,
        now_ms: int,
    ) -> None:
        endpoint = getattr(command, "endpoint", None)
        logger.info(
            "event=decide request=%s after=%s do=%s endpoint=%s version=%s tokens=%d returned=%s "
            "waited_ms=%d left_ms=%d decoders=%d prefillers=%d runs=%d reads=%d begun=%s status=%s "
            "advertised=%s endpoints_rev=%s config=%d",
            self._job.request.request_id,
            type(event).__name__,
            type(command).__name__,
            endpoint.instance if endpoint else None,
            self._state.version,
            self._state.tokens,
            self._state.returned,
            now_ms - self._state.arrived_ms,
            self._state.deadline_at_ms - now_ms,
            len(pools.decoders),
            len(pools.prefillers),
            self._state.runs,
            self._state.reads,
            answer_started,
            event.head.status if isinstance(event, events.StreamAnswered) else None,
            self._node.eligibility.describe(endpoint.instance) if endpoint else None,
            self._node.directory.revision,
            self._job.config_version,
        )

    async def _execute(self, command: events.Command) -> events.Event | None:
        match command:
            case events.AskPlanner():
                return await self._ask_planner(command)
            case events.TakeHold():
                return await self._take_hold(command)
            case events.AdoptHold(hold):
                self._relay.replacement.hand_over()
                self._release_if_held()
                self._reservation.adopt(hold, self._state.tokens)
                return events.HoldTaken(hold)
            case events.ReadPrompt():
                return await self._read_prompt(command)
            case events.OpenStream(endpoint):
                return await self._open_stream(endpoint)
            case events.StartStream(head):
                self._log_stream("stream_started")
                await self._node.record_origin(self._job, self._started_at())
                await self._relay.start(head)
                return await self._send_events()
            case events.ContinueStream():
                self._log_stream("stream_continued")
                return await self._send_events()
            case events.RelayFailure(head):
                return await self._relay_failure(head)
            case events.Wait(pause_ms):
                await anyio.sleep(pause_ms / 1000)
                return events.Waited()
            case Refuse():
                self._release()
                await send_refusal(self._node, self._job, command)
            case events.Cut(reason):
                self._cut(reason)
        return None

    def _started_at(self) -> ServiceEndpoint:
        assert self._state.hold is not None
        return self._state.hold.endpoint

    def _log_stream(self, event: str) -> None:
        endpoint, request = self._started_at(), self._job.request
        logger.info(
            "event=%s request=%s endpoint=%s version=%s first_request=%s after_event=%s runs=%d",
            event,
            request.request_id,
            endpoint.instance,
            endpoint.version,
            request.first_request_id,
            self._relay.last_event,
            self._state.runs,
        )

    async def _ask_planner(self, command: events.AskPlanner) -> events.Event:
        self._release_if_held()
        returned = self._state.returned or self._state.answer_started
        return await self._reservation.ask_planner(command, returned)

    async def _take_hold(self, command: events.TakeHold) -> events.Event:
        self._release_if_held()
        try:
            return await self._reservation.reserve(command)
        except ExchangeError as broken:
            site = await self._record_break(HOLD, command.endpoint, broken)
            failed = site is FaultSite.ENDPOINT and not broken.withheld
            return events.HoldFailed(command.endpoint.instance, broken=failed)

    async def _read_prompt(self, command: events.ReadPrompt) -> events.Event:
        event, instance = await self._prefill.run(command), command.endpoint.instance
        self._reservation.report_reading_ended(instance, isinstance(event, events.PromptRead))
        if isinstance(event, events.ReadFailed) and event.rejected:
            self._reservation.report_rejected_prefill(instance)
        return event

    def _begin_trial(self) -> None:
        """Record the trial of quarantined content first, so that no two nodes start one at once."""
        if self._job.on_trial and not self._trial_began:
            self._trial_began = True
            self._node.quarantine.record_trial(self._job.request)

    async def _open_stream(self, endpoint: ServiceEndpoint) -> events.Event:
        node, state = self._node, self._state
        left_ms = state.deadline_at_ms - node.now_ms()
        hold, handle = state.hold, state.handle
        self._begin_trial()
        self._run_began_ms = node.now_ms()
        node.begin_run(self._job)
        try:
            exchange = await node.calls.open_stream(
                endpoint, self._job.request, left_ms, hold, handle, self._relay.last_event
            )
            self._stream = StreamRun(exchange)
            self._reservation.mark_used()
            self._prefill.mark_used()
            head = await self._stream.head(max(1, left_ms))
            if head.success and head.signed:
                await self._relay.await_first(self._stream, head.status)
                node.check_version(endpoint, continues=state.version is not None)
                state.version_certain = node.origins.is_certain(endpoint)
        except ExchangeError as broken:
            if not broken.sent:
                self._job.runs.uncount_run()
            site = await self._record_break("stream", endpoint, broken)
            if broken.withheld:
                return events.StreamWithheld(endpoint.instance)
            silent = broken.cause is ExchangeErrorCause.SILENT
            return events.StreamBroken(endpoint.instance, broken.sent, silent, site)
        if head.executed is Executed.NO:
            self._job.runs.uncount_run()
        self._record_answer(endpoint, head, handle)
        return events.StreamAnswered(endpoint.instance, head)

    def _record_answer(
        self, endpoint: ServiceEndpoint, head: AnswerHead, handle: KvHandle | None
    ) -> None:
        node = self._node
        load, now_ms = node.loads.of(endpoint.instance), node.now_ms()
        if head.success and head.signed:
            load.circuit.succeed(now_ms)
            node.figures.count_send("stream", "answered")
            return
        node.figures.count_send("stream", f"status-{head.status}")
        node.note_misdirected(endpoint, head)
        logger.info(
            "event=endpoint_failed request=%s endpoint=%s status=%d executed=%s reason=%s "
            "handle_at=%s",
            self._job.request.request_id,
            endpoint.instance,
            head.status,
            head.executed,
            head.reason,
            handle.endpoint.instance if handle else None,
        )
        if handle is not None and not head.misdirected and not head.asks_pause:
            distrust = node.loads.of(handle.endpoint.instance)
            distrust.no_prefill_until_ms = now_ms + HANDLE_FAILURE_COOLDOWN_MS

    async def _send_events(self) -> events.Event | None:
        assert self._stream is not None
        try:
            await self._relay.send_events(self._stream)
        except ExchangeError as broken:
            return await self._relay_broken(broken)
        return None

    async def _relay_failure(self, head: AnswerHead) -> events.Event | None:
        assert self._stream is not None and self._state.hold is not None
        node, job, exchange = self._node, self._job, self._stream.exchange
        body = await start_answer(node, job, head)
        body.attach(exchange)
        try:
            await relay_rest(node, job, self._state.hold.endpoint, exchange, body)
        except ExchangeError as broken:
            return await self._relay_broken(broken)
        finally:
            body.detach()
        await body.finish()
        node.figures.count("answered", job.route.name)
        logger.info(
            "event=answered request=%s route=%s status=%d took_ms=%d target_ms=%d runs=%d",
            job.request.request_id,
            job.route.name,
            head.status,
            node.now_ms() - job.request.arrived_ms,
            job.route.target_ms,
            self._state.runs,
        )
        return None

    async def _relay_broken(self, broken: ExchangeError) -> events.RelayBroken:
        assert self._state.hold is not None
        endpoint = self._state.hold.endpoint
        restarted = broken.cause is ExchangeErrorCause.RESTARTED
        if restarted and self._node.is_doubtful_run(endpoint, self._run_began_ms):
            self._state.version = UNCERTAIN_VERSION
        site = await self._record_break("stream", endpoint, broken)
        position_known = self._relay.last_event is not None
        hold = self._relay.replacement.hold
        return events.RelayBroken(endpoint.instance, position_known, site, hold)

    def _cut(self, reason: str) -> None:
        logger.log(
            self._node.end_level,
            "event=cut request=%s route=%s reason=%s last_event=%s waited_ms=%d since_stop_ms=%s",
            self._job.request.request_id,
            self._job.route.name,
            reason,
            self._relay.last_event,
            self._node.now_ms() - self._job.request.arrived_ms,
            self._node.since_stop_ms,
        )
        self._node.figures.count("cut", self._job.route.name, reason)
        self._job.reply.cut()

    async def _record_break(
        self, kind: str, endpoint: ServiceEndpoint, broken: ExchangeError
    ) -> FaultSite:
        writing_since_ms = self._stream.writing_since_ms if self._stream else None
        site = await self._node.note_break(
            kind, self._job.request, endpoint, broken, writing_since_ms
        )
        self._path_failed = self._path_failed or site is not FaultSite.ENDPOINT
        return site

    def _release_if_held(self) -> None:
        """Release a reservation that is held, before another one is taken.

        The KV cache of a prefill that outlasted its hold is kept for the run with the next one.
        A grant without a hold is kept: the planner counts it until the memory is reserved, and a
        new request to the planner replaces it. If its end were reported in between, the planner
        would drop the run until the next report and grant the same memory and prefiller again.
        """
        if self._reservation.held:
            self._end_run()
        if self._state.handle is None:
            self._prefill.release()

    def _release(self) -> None:
        """End the run, and release an unused KV handle."""
        self._end_run()
        self._prefill.release()

    def _end_run(self) -> None:
        """End the exchange, and release the reservation and an unused hold."""
        if self._stream is not None:
            self._stream.exchange.end()
            self._stream = None
        if self._reservation.known_to_planner:
            pace = StreamPace() if self._path_failed else self._relay.pace()
            self._reservation.report_end(pace, self._state.pop_broken())
            times = self._node.answer_times.of(self._job.service)
            times.learn_pace(self._relay.first_event_ms, pace.answer_tokens, pace.stream_ms)
            times.learn_length(self._reservation.size.likely_tokens, pace.length_tokens)
        self._relay.replacement.drop()
        self._reservation.release()
