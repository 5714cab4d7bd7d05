"""Runs one request at its entry node: executes the state machine's commands, feeds it events."""

import logging
from typing import Protocol

import anyio
import attrs
import httpcore
from anyio.abc import TaskGroup
from result import Err

from saffronworks import request_events, requests
from saffronworks.bundles import Endpoint, Model
from saffronworks.cancels import CancelOrder
from saffronworks.engines import Decode, DecodeLine, EngineClient, EngineFailure, Prefill, Resume
from saffronworks.kernel import Kernel
from saffronworks.messages import Ask, HeldKey, Prefilled, Release, RequestKey
from saffronworks.owner.ledgers import Stage
from saffronworks.ownership import Cell
from saffronworks.request_events import Phase
from saffronworks.requests import Request
from saffronworks.wire import DECODE_ERRORS

__all__ = ["Job", "OwnerClient", "RequestRunner", "Sink"]

logger = logging.getLogger(__name__)

EVENT_QUEUE_SIZE = 1024
STREAM_IDLE_MS = 3000
_BROKEN = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
    *DECODE_ERRORS,
)


class Sink(Protocol):
    """Receiver of the answer's tokens."""

    async def deliver(self, tokens: tuple[str, ...]) -> None:
        """Deliver the next tokens, in order."""


class OwnerClient(Protocol):
    """Connection to the owners of cells."""

    def send_to_owner(self, cell: str, message: object) -> None:
        """Send a message to the cell's owner, which may be this node."""


@attrs.frozen
class Job:
    """A caller's request, with the model and the cell that serve it."""

    prompt: str
    prefix_key: str
    prefix_tokens: int
    organisation: str
    priority: int
    model: Model
    cell: Cell


class RequestRunner:
    """Drives one `Request` to its outcome."""

    def __init__(
        self, kernel: Kernel, owners: OwnerClient, engines: EngineClient, request: Request, job: Job
    ):
        self.request = request
        self.job = job
        self.owner: str | None = None
        self._kernel = kernel
        self._owners = owners
        self._engines = engines
        self._answered: list[str] = []
        self._endpoints = {endpoint.name: endpoint for endpoint in job.cell.endpoints}
        self._scope: anyio.CancelScope | None = None
        self.stopped = False
        self._outbox, self._inbox = anyio.create_memory_object_stream[request_events.Event](
            EVENT_QUEUE_SIZE
        )

    def post(self, event: request_events.Event) -> None:
        """Queue an event without blocking; a full queue drops it.

        Only events that may be lost are posted: requests to owners are resent, ticks recur, and a
        lost lease is ignored by a streaming request, the only kind whose queue fills up. Tokens and
        results of engine calls wait for room instead.
        """
        try:
            self._outbox.send_nowait(event)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            logger.warning("event=event_dropped request=%s", self.request.request_id)

    def begin_drain(self) -> None:
        """End the request if no engine has run it; begin no other run unless tokens are out."""
        self.request.draining = True
        if not self.request.dispatched:
            self.stop()

    def stop(self) -> None:
        """End the request, as its node ends; the caller is told the outcome."""
        self.stopped = True
        if self._scope is not None:
            self._scope.cancel()

    def held(self) -> HeldKey | None:
        """The grant that this request holds at its owner, or None."""
        request = self.request
        match request.phase:
            case Phase.PREFILLING:
                stage, endpoint = Stage.PREFILL, request.prefill_endpoint
            case Phase.ASSIGNING:
                stage, endpoint = Stage.READY, request.prefill_endpoint
            case Phase.TRANSFERRING | Phase.DECODING:
                stage, endpoint = Stage.DECODE, request.decode_endpoint
            case _:
                return None
        return HeldKey(request.key, endpoint, stage, self.job.organisation, request.delivered)

    async def run(self, sink: Sink) -> request_events.Outcome:
        """Run the request and return its outcome.

        Cancellation cancels the work at the engines, then propagates. An internal error is logged
        and becomes an outcome, since the caller still needs an answer.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._scope = tasks.cancel_scope
                if self.stopped:
                    self._scope.cancel()
                self.post(request_events.Started())
                async for event in self._inbox:
                    commands = requests.step(self.request, event, self._kernel.now_ms())
                    for command in commands:
                        await self._perform(command, tasks, sink)
                    if self.request.phase is Phase.FINISHED:
                        tasks.cancel_scope.cancel()
                        break
        except Exception:
            logger.exception("event=request_failed request=%s", self.request.request_id)
            self._end_early(request_events.RouterFailed())
        finally:
            self._end_early(
                request_events.NodeStopping() if self.stopped else request_events.CallerGone()
            )
        assert self.request.outcome is not None
        return self.request.outcome

    def _end_early(
        self,
        event: request_events.CallerGone
        | request_events.RouterFailed
        | request_events.NodeStopping,
    ) -> None:
        """Cancel engine work and release the grant when the task ends before the request."""
        for command in requests.step(self.request, event, self._kernel.now_ms()):
            self._perform_now(command)

    async def _perform(self, command: request_events.Command, tasks: TaskGroup, sink: Sink) -> None:
        match command:
            case request_events.Deliver():
                self._answered += command.tokens
                await sink.deliver(command.tokens)
            case request_events.StartPrefill():
                tasks.start_soon(self._prefill, command)
            case request_events.StartDecode():
                tasks.start_soon(self._decode, command)
            case request_events.ResumeDecode():
                tasks.start_soon(self._resume, command)
            case _:
                self._perform_now(command)

    def _perform_now(self, command: request_events.Command) -> None:
        match command:
            case request_events.AskOwner():
                self._send(self._ask(command))
            case request_events.TellPrefilled():
                self._send(self._prefilled(command))
            case request_events.ReleaseGrant():
                self._send(self._release(command))
            case request_events.CancelAt():
                self._cancel(command)

    def _cancel(self, command: request_events.CancelAt) -> None:
        """Queue a cancel order; skip an unknown endpoint, which was never sent any work."""
        endpoint = self._endpoints.get(command.endpoint)
        if endpoint is not None:
            key = RequestKey(self.request.request_id, command.attempt)
            order = CancelOrder(command.endpoint, endpoint.address, key)
            self._kernel.post("cancels", order)

    def _send(self, message: Ask | Prefilled | Release) -> None:
        self._owners.send_to_owner(self.job.cell.name, message)

    def _ask(self, command: request_events.AskOwner) -> Ask:
        request = self.request
        return Ask(
            key=RequestKey(request.request_id, command.attempt),
            node=self._kernel.node,
            cell=self.job.cell.name,
            model=self.job.model.name,
            organisation=self.job.organisation,
            prompt_tokens=request.prompt_tokens + request.delivered,
            prefix_key=self.job.prefix_key,
            max_tokens=max(1, request.max_tokens - request.delivered),
            priority=self.job.priority,
            waited_ms=self._kernel.now_ms() - request.arrived_ms,
            retry=command.retry,
            avoid=request.failed_endpoints,
        )

    def _prefilled(self, command: request_events.TellPrefilled) -> Prefilled:
        request = self.request
        return Prefilled(
            key=RequestKey(request.request_id, command.attempt),
            node=self._kernel.node,
            cell=self.job.cell.name,
            prefill_ms=request.prefill_ms,
            cached_tokens=request.cached_tokens,
            expires_in_ms=max(0, request.kv_expires_ms - self._kernel.now_ms()),
            refused_by=command.refused_by,
            failure=command.failure,
        )

    def _release(self, command: request_events.ReleaseGrant) -> Release:
        request = self.request
        decode_ms = 0
        if request.first_token_ms is not None:
            decode_ms = request.last_token_ms - request.first_token_ms
        return Release(
            key=RequestKey(request.request_id, command.attempt),
            node=self._kernel.node,
            cell=self.job.cell.name,
            organisation=self.job.organisation,
            output_tokens=request.delivered,
            decode_ms=decode_ms,
            transfer_ms=request.transfer_ms,
            finished=command.finished,
            failed=command.failed,
            failure=command.failure,
        )

    async def _prefill(self, command: request_events.StartPrefill) -> None:
        endpoint = self._endpoints.get(command.endpoint)
        if endpoint is None:
            event = request_events.PrefillFailed(command.attempt, executed=False, failure="unknown")
            await self._outbox.send(event)
            return
        call = Prefill(
            request_id=self.request.request_id,
            attempt=command.attempt,
            holder=self._kernel.node,
            prompt=self.job.prompt,
            prefix_key=self.job.prefix_key,
            prefix_tokens=self.job.prefix_tokens,
            delivered=command.delivered,
            begin_within_ms=command.begin_within_ms,
            answered=tuple(self._answered),
        )
        reply = await self._engines.prefill(endpoint.address, call, self.request.stall_ms)
        if isinstance(reply, Err):
            failure = reply.err_value
            event = request_events.PrefillFailed(command.attempt, failure.executed, failure.kind)
            await self._outbox.send(event)
            return
        done = reply.ok_value
        await self._outbox.send(
            request_events.PrefillEnded(
                command.attempt, done.kv_id, done.prefill_ms, done.cached_tokens, done.expires_in_ms
            )
        )

    async def _decode(self, command: request_events.StartDecode) -> None:
        call = Decode(
            request_id=self.request.request_id,
            attempt=command.attempt,
            holder=self._kernel.node,
            prompt=self.job.prompt,
            max_tokens=self.request.max_tokens,
            source=self._endpoints[command.source].address,
            kv_id=command.kv_id,
            offset=command.offset,
            import_within_ms=command.import_within_ms,
        )
        await self._read_stream(command.endpoint, call)

    async def _resume(self, command: request_events.ResumeDecode) -> None:
        call = Resume(self.request.request_id, command.attempt, command.offset)
        await self._read_stream(command.endpoint, call)

    async def _read_stream(self, name: str, call: Decode | Resume) -> None:
        """Read a decode stream to its end; any failure is reported as one event."""
        endpoint: Endpoint | None = self._endpoints.get(name)
        address = endpoint.address if endpoint else "127.0.0.1:0"
        opened_ok = isinstance(call, Resume)
        last: request_events.Event | None = None
        failure = "ended early"
        try:
            async with self._engines.open_decode(address, call, STREAM_IDLE_MS) as opened:
                if isinstance(opened, Err):
                    await self._outbox.send(_open_failure(call, opened.err_value))
                    return
                opened_ok = True
                async for line in opened.ok_value:
                    event = _read_line(call.attempt, line)
                    if line.done or line.cancelled:
                        # Read to the end of the body, so that the connection can be reused.
                        last = event
                    else:
                        await self._outbox.send(event)
        except _BROKEN as error:
            failure = type(error).__name__
        if last is None:
            last = request_events.DecodeBroken(
                call.attempt, engine_alive=opened_ok, failure=failure
            )
        await self._outbox.send(last)


def _read_line(attempt: int, line: DecodeLine) -> request_events.Event:
    if line.done:
        return request_events.DecodeEnded(attempt, line.total)
    if line.cancelled:
        return request_events.DecodeBroken(attempt, engine_alive=False, failure="cancelled")
    if line.imported:
        return request_events.DecodeStarted(attempt, line.transfer_ms)
    return request_events.TokensArrived(attempt, line.offset, line.tokens)


def _open_failure(call: Decode | Resume, failure: EngineFailure) -> request_events.Event:
    if isinstance(call, Resume):
        return request_events.DecodeBroken(call.attempt, engine_alive=False, failure=failure.kind)
    kv_lost = failure.status in (409, 410)
    if failure.executed:
        return request_events.DecodeBroken(call.attempt, engine_alive=False, failure=failure.kind)
    return request_events.DecodeRefused(call.attempt, kv_lost, failure.kind)
