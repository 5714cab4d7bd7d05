"""Serves one plain request: executes the commands of `plain_core`."""

import asyncio
import logging
import math
from collections.abc import Awaitable

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding import plain_core
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_limits.permits import UNCOUNTED_PERMIT, Permit
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.late_sends import LateSend, LateSendKeeper
from saffronworks.forwarding.messages import AnswerHead, Begin, Executed, Refuse
from saffronworks.forwarding.plain_core import (
    AcquirePermit,
    Answered,
    AwaitAnswer,
    Broken,
    NotPermitted,
    Overtaken,
    Permitted,
    PlainState,
    SendTo,
)
from saffronworks.forwarding.ports import AnswerBody, Exchange
from saffronworks.forwarding.runners import (
    PLAIN,
    Job,
    NodeState,
    relay_rest,
    send_refusal,
)
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.forwarding.tuning import HEDGE_OVERLAP_MS, MAX_PREREAD_BODY_BYTES

__all__ = ["run_plain"]

logger = logging.getLogger(__name__)


async def run_plain(node: NodeState, job: Job) -> None:
    """Serve a request of a service without engines."""
    await _PlainRun(node, job).run()


class _PlainRun:
    def __init__(self, node: NodeState, job: Job):
        self._node = node
        self._job = job
        self._exchange: Exchange | None = None
        self._endpoint: ServiceEndpoint | None = None
        # The permit for the next send.
        self._permit = UNCOUNTED_PERMIT
        self._head: AnswerHead | None = None
        self._start_of_body = b""
        self._body_whole = False
        # Whether it is proven that no crash has cut off the answer.
        self._proven = False
        self._sent_ms = 0
        self._first_ms = 0
        # Whether the current exchange is late, and the late one before it.
        self._is_late = False
        self._late = LateSendKeeper()
        self._body = node.buffers.track(job.request.request_id, job.reply)
        route = job.route
        self._state = PlainState(
            service=job.service,
            may_repeat=route.may_repeat,
            max_attempts=route.max_attempts,
            target_ms=route.target_ms,
            deadline_at_ms=job.deadline_at_ms,
        )

    async def run(self) -> None:
        """Execute commands until the answer is complete, refused or cut."""
        command = self._decide(Begin())
        try:
            while isinstance(command, SendTo | AcquirePermit | AwaitAnswer):
                command = self._decide(await self._execute(command))
            if isinstance(command, Refuse):
                await send_refusal(self._node, self._job, command)
            else:
                self._late.end()
                await self._relay()
        finally:
            self._end_exchange()
            self._late.end()
            self._release_permit()

    async def _execute(self, command: SendTo | AcquirePermit | AwaitAnswer) -> plain_core.Event:
        match command:
            case AcquirePermit(endpoint):
                return await self._acquire_permit(endpoint)
            case SendTo():
                return await self._send(command)
            case AwaitAnswer():
                return await self._await_answer()

    async def _acquire_permit(self, endpoint: ServiceEndpoint) -> plain_core.Event:
        self._release_permit()
        taken = await self._node.limits.acquire_permit(endpoint, self._job.request.request_id)
        if isinstance(taken, Permit):
            self._permit = taken
            return Permitted(endpoint.instance)
        return NotPermitted(endpoint.instance, taken.after_ms)

    def _release_permit(self) -> None:
        """Release an unused permit; a request that was sent has used its own, even if rejected."""
        self._node.limits.release_permit(self._permit)
        self._permit = UNCOUNTED_PERMIT

    def _decide(self, event: plain_core.Event) -> plain_core.Command:
        node, now_ms = self._node, self._node.now_ms()
        usable = node.eligibility.usable(self._job.service, version=self._job.version)
        if self._job.version is not None:
            usable = [endpoint for endpoint in usable if node.origins.is_certain(endpoint)]
        ranked = node.loads.rank(usable, now_ms)
        denial, eligibility = node.denial(self._job), node.eligibility.eligibility_of(usable)
        command = plain_core.step(
            self._state, event, ranked, node.budget, now_ms, denial, eligibility
        )
        if isinstance(command, SendTo):
            logger.info(
                "event=send request=%s route=%s endpoint=%s after=%s sends=%d wait_ms=%d "
                "usable=%d limit_per_s=%s advertised=%s endpoints_rev=%s config=%d",
                self._job.request.request_id,
                self._job.route.name,
                command.endpoint.instance,
                type(event).__name__,
                self._state.sends,
                command.wait_ms,
                len(usable),
                node.limits.find(command.endpoint.instance),
                node.eligibility.describe(command.endpoint.instance),
                node.directory.revision,
                self._job.config_version,
            )
        return command

    async def _send(self, command: SendTo) -> plain_core.Event:
        self._set_late_aside()
        self._end_exchange()
        node, endpoint = self._node, command.endpoint
        if not self._permit.covers(endpoint.instance):
            self._release_permit()
        self._endpoint = endpoint
        if self._job.on_trial and self._state.sends == 1:
            node.quarantine.record_trial(self._job.request)
        self._sent_ms = node.now_ms()
        node.loads.of(endpoint.instance).circuit.take_trial(self._sent_ms)
        node.begin_run(self._job)
        return await self._finish(endpoint, self._exchange_with(endpoint, command.wait_ms))

    async def _await_answer(self) -> plain_core.Event:
        """Go on waiting for a late answer, that of the earlier send if there is one."""
        self._resume_late()
        self._release_permit()
        assert self._endpoint is not None
        logger.info(
            "event=await_answer request=%s route=%s endpoint=%s waited_ms=%d",
            self._job.request.request_id,
            self._job.route.name,
            self._endpoint.instance,
            self._node.now_ms() - self._sent_ms,
        )
        return await self._finish(self._endpoint, self._read_answer(self._job.deadline_at_ms))

    async def _finish(
        self, endpoint: ServiceEndpoint, answer: Awaitable[AnswerHead | None]
    ) -> plain_core.Event:
        """Wait for an answer, record it and return the outcome as an event."""
        node = self._node
        load = node.loads.of(endpoint.instance)
        load.outstanding += 1
        self._is_late = False
        try:
            head = await answer
        except ExchangeError as broken:
            if not broken.sent:
                self._job.runs.uncount_run()
                self._release_permit()
            site = await node.note_break(PLAIN, self._job.request, endpoint, broken)
            silent = broken.cause is ExchangeErrorCause.SILENT
            self._is_late = silent and self._may_answer()
            earlier = self._late.may_answer(node.now_ms(), self._job.deadline_at_ms)
            return Broken(endpoint.instance, broken.sent, silent, site, self._is_late, earlier)
        finally:
            load.outstanding -= 1
            self._permit = UNCOUNTED_PERMIT
        if head is None:
            return Overtaken(endpoint.instance)
        if head.executed is Executed.NO:
            self._job.runs.uncount_run()
        took_ms = node.now_ms() - self._sent_ms
        if head.success and head.signed:
            load.record_success(took_ms, node.now_ms())
            node.figures.count_send(PLAIN, "answered")
        else:
            if not head.asks_pause:
                load.record_failure(node.now_ms())
            node.figures.count_send(PLAIN, f"status-{head.status}")
            node.note_misdirected(endpoint, head)
            logger.info(
                "event=endpoint_failed request=%s endpoint=%s status=%d executed=%s reason=%s",
                self._job.request.request_id,
                endpoint.instance,
                head.status,
                head.executed,
                head.reason,
            )
        earlier = self._late.may_answer(node.now_ms(), self._job.deadline_at_ms)
        return Answered(endpoint.instance, head, earlier)

    def _may_answer(self) -> bool:
        """Return whether an exchange without a complete answer so far goes on."""
        in_time = self._node.now_ms() < self._job.deadline_at_ms
        return in_time and self._exchange is not None and self._exchange.connection.may_answer

    def _set_late_aside(self) -> None:
        """Keep a late exchange until the next endpoint has had the time to reject the request."""
        if not self._is_late or self._exchange is None or self._endpoint is None:
            return
        if self._late.answered:
            return
        self._late.end()
        self._body.detach()
        self._late.send = LateSend(
            self._endpoint,
            self._exchange,
            self._sent_ms,
            self._first_ms,
            self._head,
            self._start_of_body,
        )
        self._exchange, self._is_late = None, False

    async def _exchange_with(self, endpoint: ServiceEndpoint, wait_ms: int) -> AnswerHead | None:
        """Send the request; return None if the late answer of an earlier send comes first."""
        node, job = self._node, self._job
        began_ms = node.now_ms()
        left_ms = job.deadline_at_ms - began_ms
        try:
            self._exchange = await node.calls.send(endpoint, job.request, left_ms)
        except asyncio.CancelledError:
            # It was not sent: nothing is awaited after that.
            job.runs.uncount_run()
            raise
        self._body.attach(self._exchange)
        self._head, self._start_of_body, self._body_whole = None, b"", False
        loop = asyncio.get_running_loop()
        overlap = loop.call_later(HEDGE_OVERLAP_MS / 1000, self._late.end_overlap)
        overlap_until_ms = math.inf if self._late.send is None else node.now_ms() + HEDGE_OVERLAP_MS
        try:
            while True:
                until_ms = began_ms + min(left_ms, self._extended_wait_ms(wait_ms))
                try:
                    return await self._read_answer(min(until_ms, overlap_until_ms))
                except ExchangeError as broken:
                    # The node may have become later since the request was sent.
                    extended_ms = began_ms + min(left_ms, self._extended_wait_ms(wait_ms))
                    silent = broken.cause is ExchangeErrorCause.SILENT
                    if silent and overlap_until_ms <= node.now_ms():
                        overlap_until_ms = math.inf
                        if await self._late.succeeded(node.now_ms):
                            return None
                    if not silent or extended_ms <= node.now_ms():
                        raise
        finally:
            overlap.cancel()

    def _extended_wait_ms(self, wait_ms: float) -> float:
        """Return the time limit of a send; a new connection takes a reply of its own to open."""
        assert self._exchange is not None
        is_new = self._exchange.connection.uses <= 1
        return extend_for_lag(wait_ms, replies=2 if is_new else 1)

    async def _read_answer(self, until_ms: float) -> AnswerHead:
        """Read the head, and the body unless it is streamed or long; raises ExchangeError."""
        node, job, endpoint = self._node, self._job, self._endpoint
        assert self._exchange is not None and endpoint is not None
        if self._head is None:
            self._head = await self._exchange.head(max(1, until_ms - node.now_ms()))
            self._first_ms = node.now_ms()
        if job.route.streams and self._head.success:
            node.check_version(endpoint, continues=job.version is not None)
        while not job.route.streams and len(self._start_of_body) < MAX_PREREAD_BODY_BYTES:
            chunk = await self._exchange.next_chunk(max(1, until_ms - node.now_ms()))
            if chunk is None:
                self._proven = await node.check_end(endpoint, self._exchange)
                self._body_whole = True
                break
            self._start_of_body += chunk
            self._body.set_preread_bytes(len(self._start_of_body))
        return self._head

    async def _relay(self) -> None:
        assert self._exchange is not None and self._head is not None and self._endpoint is not None
        reply, node, job = self._job.reply, self._node, self._job
        body = self._body
        if job.route.streams and self._head.success:
            logger.info(
                "event=stream_started request=%s endpoint=%s version=%s first_request=%s "
                "after_event=%s runs=%d",
                job.request.request_id,
                self._endpoint.instance,
                self._endpoint.version,
                job.request.first_request_id,
                job.request.after_event,
                self._state.runs,
            )
            await node.record_origin(job, self._endpoint)
        body.begin(await reply.start(self._head))
        try:
            if self._start_of_body:
                await body.write(self._start_of_body)
            if job.route.streams and self._head.success:
                await self._relay_events(StreamRun(self._exchange, self._first_ms), body)
                self._proven = await node.check_end(self._endpoint, self._exchange)
            elif not self._body_whole:
                self._proven = await relay_rest(node, job, self._endpoint, self._exchange, body)
        except ExchangeError as broken:
            await node.note_break(PLAIN, job.request, self._endpoint, broken, self._first_ms)
            logger.log(
                node.end_level,
                "event=cut request=%s route=%s reason=answer-broke cause=%s waited_ms=%d "
                "since_stop_ms=%s",
                job.request.request_id,
                job.route.name,
                broken.cause,
                node.now_ms() - job.request.arrived_ms,
                node.since_stop_ms,
            )
            node.figures.count("cut", job.route.name, broken.cause.value)
            reply.cut()
            return
        finally:
            body.detach()
        await body.finish()
        if self._head.success:
            node.quarantine.record_success(job.request, self._proven)
        arrived_ms = job.request.arrived_ms
        node.figures.count("answered", job.route.name)
        node.figures.record(job.route.name, self._first_ms - arrived_ms, node.now_ms() - arrived_ms)
        logger.info(
            "event=answered request=%s route=%s status=%d sends=%d took_ms=%d target_ms=%d",
            job.request.request_id,
            job.route.name,
            self._head.status,
            self._state.sends,
            node.now_ms() - arrived_ms,
            job.route.target_ms,
        )

    async def _relay_events(self, run: StreamRun, body: AnswerBody) -> None:
        """Relay complete events; raises ExchangeError if the stream ends early or in an event."""
        job, now_ms = self._job, self._node.now_ms
        while (mark := await run.next_events(max(1, job.deadline_at_ms - now_ms()))) is not None:
            self._node.observe_progress(job.request, run)
            await body.write(mark.data)
        if run.remainder():
            await body.write(run.remainder())

    def _end_exchange(self) -> None:
        if self._exchange is not None:
            self._body.detach()
            self._exchange.end()
            self._exchange = None

    def _resume_late(self) -> None:
        """Make the late exchange the current one again, if another send followed it."""
        late = self._late.pop()
        if late is None:
            return
        self._end_exchange()
        self._endpoint, self._exchange = late.endpoint, late.exchange
        self._sent_ms, self._first_ms = late.sent_ms, late.first_ms
        self._head, self._start_of_body = late.head, late.start_of_body
        self._body.attach(late.exchange)
        self._body.set_preread_bytes(len(late.start_of_body))
