"""Prefill of a generation's prompt at a prefill endpoint."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

import attrs
from result import Err, Result

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding import generation_events as events
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_limits.permits import NoPermit
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.messages import KvHandle, NotExecuted
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.runners import Job, NodeState
from saffronworks.forwarding.tuning import STALL_CHECK_INTERVAL_MS

__all__ = ["Prefill"]

logger = logging.getLogger(__name__)

# Records a failed call to an endpoint; returns where it failed.
RecordBreak = Callable[[str, ServiceEndpoint, ExchangeError], Awaitable[FaultSite]]


@attrs.define
class Prefill:
    """The prefills of one generation, and the KV handle of the last one until a run uses it.

    `begin_trial` is called before each call to an endpoint.
    """

    node: NodeState
    job: Job
    begin_trial: Callable[[], None]
    record_break: RecordBreak
    _unused_handle: KvHandle | None = None

    async def run(self, command: events.ReadPrompt) -> events.Event:
        """Prefill the prompt at an endpoint and return the outcome as an event."""
        node, job, endpoint = self.node, self.job, command.endpoint
        permit = await node.limits.acquire_permit(endpoint, job.request.request_id)
        if isinstance(permit, NoPermit):
            return events.ReadFailed(endpoint.instance, broken=False, sent=False)
        load = node.loads.of(endpoint.instance)
        began_ms = node.now_ms()
        self.begin_trial()
        load.outstanding += 1
        job.runs.begin_read()
        try:
            answer = await self._call(command)
        except ExchangeError as broken:
            if not broken.sent:
                job.runs.uncount_read()
                node.limits.release_permit(permit)
            site = await self.record_break("prefill", endpoint, broken)
            tried = not broken.withheld
            failed = site is FaultSite.ENDPOINT and tried
            silent = failed and await self._may_go_on(endpoint, broken)
            return events.ReadFailed(endpoint.instance, broken=failed, sent=tried, silent=silent)
        finally:
            load.outstanding -= 1
        if isinstance(answer, Err):
            return self._record_rejection(endpoint, answer.err_value)
        load.record_success(node.now_ms() - began_ms, node.now_ms())
        node.figures.count_send("prefill", "read")
        self._unused_handle = answer.ok_value
        return events.PromptRead(answer.ok_value)

    async def _call(self, command: events.ReadPrompt) -> Result[KvHandle, NotExecuted]:
        """Call the endpoint, and wait on while its process is suspended; raises ExchangeError."""
        node, endpoint = self.node, command.endpoint
        longest_ms = command.suspended_timeout_ms
        call = node.calls.prefill(endpoint, self.job.request, longest_ms)
        if longest_ms <= command.timeout_ms:
            return await call
        reading = asyncio.create_task(call)
        timeout_ms = extend_for_lag(command.timeout_ms)
        try:
            while True:
                await asyncio.wait([reading], timeout=timeout_ms / 1000)
                if reading.done():
                    return await reading
                process = await node.processes.check(endpoint)
                if process is not ProcessState.SUSPENDED and not reading.done():
                    raise ExchangeError(ExchangeErrorCause.SILENT, sent=True)
                timeout_ms = STALL_CHECK_INTERVAL_MS
        finally:
            if reading.cancel():
                await asyncio.wait([reading])

    async def _may_go_on(self, endpoint: ServiceEndpoint, broken: ExchangeError) -> bool:
        """Return whether an endpoint was silent but has not ended."""
        silent = broken.sent and broken.cause is ExchangeErrorCause.SILENT
        return silent and await self.node.calls.listens(endpoint) is True

    def _record_rejection(self, endpoint: ServiceEndpoint, rejection: NotExecuted) -> events.Event:
        node = self.node
        self.job.runs.uncount_read()
        if not rejection.asks_pause:
            node.loads.of(endpoint.instance).record_failure(node.now_ms())
        node.figures.count_send("prefill", "refused")
        logger.info(
            "event=prefill_refused request=%s endpoint=%s reason=%s",
            self.job.request.request_id,
            endpoint.instance,
            rejection.reason,
        )
        return events.ReadFailed(endpoint.instance, broken=False, rejected=True)

    def mark_used(self) -> None:
        """Mark the handle as used by a run, so that it is not dropped."""
        self._unused_handle = None

    def release(self) -> None:
        """Drop a handle that no run has used."""
        if self._unused_handle is not None:
            self.node.spawn(self.node.calls.drop_handle, self._unused_handle)
            self._unused_handle = None
