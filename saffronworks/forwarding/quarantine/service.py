"""The service that stops sending contents that crash endpoints; it runs `core`."""

import logging
import random
from collections.abc import Callable, Collection, Coroutine
from functools import partial
from typing import Any, TypeVar

import anyio

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.endpoint_identity import AddressAnswer, IdentityChecks
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.ports import EndpointCalls, ObjectStore
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine.core import QuarantineState, step
from saffronworks.forwarding.quarantine.end_proofs import judge_end
from saffronworks.forwarding.quarantine.events import ProbeResult
from saffronworks.forwarding.quarantine.messages import (
    PartNews,
    PartSuspicion,
    Suspicion,
    SuspicionNews,
)
from saffronworks.forwarding.quarantine.records import QuarantineRecords
from saffronworks.forwarding.quarantine.suspicions import Admission, is_quarantined
from saffronworks.forwarding.quarantine.tuning import (
    END_DELAY_MS,
    END_PROOF_MS,
    GOSSIP_INTERVAL_MS,
    LEAVING_END_DELAY_MS,
    RECORD_ATTEMPTS,
    RECORD_READ_DELAYS_S,
    RECORD_RETRY_S,
    REPROBE_REFUSED_MS,
)
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import RESTORE_JITTER_MS
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["Quarantine"]

logger = logging.getLogger(__name__)

_Written = TypeVar("_Written")


class Quarantine:
    """Decides for each request whether it may be sent, and records how its runs end.

    While nothing is suspected, a request's content identity isn't computed.
    """

    name = "quarantine"

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        calls: EndpointCalls,
        store: ObjectStore,
        rng: random.Random,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
    ):
        epoch.subscribe(self._on_store_restored)
        self._state = QuarantineState(own_address, rng)
        self._directory = directory
        self._calls = calls
        self._identities = IdentityChecks(calls, now_ms)
        self._records = QuarantineRecords(store)
        self._now_ms = now_ms
        self._kernel: Kernel | None = None
        self._active = anyio.Event()

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Exchange suspicions with other nodes until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            tasks.start_soon(self._read_records, kernel)
            await kernel.dispatch(self.name, mailbox, self._handle)

    def update_nodes(self, nodes: Collection[str]) -> None:
        """Replace the list of node addresses."""
        self._state.update_nodes(nodes)

    # Called for requests.

    def admit(self, request: CallerRequest) -> Admission:
        """Return whether a request may be sent to endpoints."""
        if self._state.idle:
            return Admission.ALLOWED
        admission = self._admission(request)
        if admission is not Admission.ALLOWED:
            logger.info(
                "event=content_admission request=%s content=%s parts=%s admission=%s "
                "known_contents=%d known_parts=%d",
                request.request_id,
                request.content,
                ",".join(
                    part for part in request.parts if part in self._state.parts.table.quarantined()
                ),
                admission.value,
                len(self._state.table),
                len(self._state.parts.table),
            )
        return admission

    def _admission(self, request: CallerRequest) -> Admission:
        return self._state.admission(request.content, self._now_ms(), request.parts)

    def quarantined_parts(self) -> int:
        """Return the number of prompt parts whose requests are refused."""
        return len(self._state.parts.table.quarantined())

    def blocks(self, request: CallerRequest, on_trial: bool = False) -> bool:
        """Return whether a request must not be sent again; `on_trial`: it runs as a trial."""
        if self._state.idle:
            return False
        admission = self._admission(request)
        return admission is Admission.REFUSED or (admission is Admission.TRIAL and not on_trial)

    def record_trial(self, request: CallerRequest) -> None:
        """Record that a trial is being sent, so that no other request is admitted as one."""
        self._handle(events.TrialStarted(request.content, request.parts))

    def record_failure(
        self,
        request: CallerRequest,
        endpoint: ServiceEndpoint,
        broken: ExchangeError,
        waited_for: bool,
        writing_ms: int = 0,
    ) -> None:
        """Record that an endpoint that may have run a request gave no complete answer.

        `writing_ms`: how long it had been writing an answer. A timeout counts only if `waited_for`:
        a plain request that moves on after a short timeout doesn't show that the first endpoint
        failed, and a probe costs a connection.
        """
        if broken.cause is ExchangeErrorCause.SILENT and not waited_for:
            return
        leaving = self._is_leaving(endpoint)
        failed = events.RunFailed(
            request.content, endpoint, broken.cause, leaving, request.parts, writing_ms
        )
        self._handle(failed)

    def _is_leaving(self, endpoint: ServiceEndpoint) -> bool:
        known = self._directory.endpoints.get(endpoint.instance)
        return known is None or known.draining

    async def has_ended(self, endpoint: ServiceEndpoint) -> bool | None:
        """Return whether an endpoint has ended or restarted; None if nothing replies for a while.

        An endpoint that drains or is no longer listed runs on until its own end.
        """
        closed_ms, refused = self._now_ms(), 0
        gives_up_ms = closed_ms + extend_for_lag(END_PROOF_MS)
        # A process that ends closes its listener some time after the connection of the answer.
        leaving = self._is_leaving(endpoint)
        await anyio.sleep((LEAVING_END_DELAY_MS if leaving else END_DELAY_MS) / 1000)
        while True:
            found = await self._identities.identify(endpoint)
            refused += found.answer is AddressAnswer.REFUSES
            latest = self._directory.named(endpoint.name)
            restarted = latest is not None and latest.instance != endpoint.instance
            ended = True if restarted else judge_end(found, closed_ms, refused)
            logger.info(
                "event=end_probed endpoint=%s found=%s connected_ms=%s refused=%d restarted=%s "
                "leaving=%s ended=%s",
                endpoint.instance,
                found.answer.value,
                None if found.connected_ms is None else found.connected_ms - closed_ms,
                refused,
                restarted,
                leaving,
                ended,
            )
            if ended is not None:
                return ended
            if self._now_ms() >= gives_up_ms:
                gone = found.answer is AddressAnswer.SILENT and latest is None
                return True if gone else None
            await anyio.sleep(REPROBE_REFUSED_MS / 1000)

    def record_success(self, request: CallerRequest, proven: bool) -> None:
        """Record a complete answer, if it is proven that no crash has cut it off."""
        if not proven:
            return
        if self._state.idle:
            self._state.parts.remember_sound(request.parts, self._now_ms())
        else:
            self._handle(events.RunSucceeded(request.content, request.parts))

    @property
    def suspects_parts(self) -> bool:
        """Return whether any prompt part is suspected."""
        return not self._state.parts.idle

    def record_progress(self, request: CallerRequest, writing_ms: int) -> None:
        """Record that a run of a request goes on after writing for this long."""
        if request.shared_parts:
            self._handle(events.RunProgressed(request.parts, writing_ms))

    # Events and commands of the core.

    def _handle(self, event: events.Event) -> None:
        for command in step(self._state, event, self._now_ms()):
            self._execute(command)
        if not self._state.idle:
            self._active.set()

    def _execute(self, command: events.Command) -> None:
        match command:
            case events.Probe(endpoint, after_ms):
                self._start(self._probe, endpoint, after_ms)
            case events.SendNews(nodes, news):
                self._send_news(nodes, news)
            case events.WriteRecord(suspicion):
                self._start(self._write_with_retry, self._records.write, suspicion)
            case events.RemoveRecord(suspect, is_part):
                self._start(
                    self._write_with_retry, partial(self._records.remove, is_part=is_part), suspect
                )
            case events.EndpointEnded(instance, contents, result):
                logger.info(
                    "event=endpoint_ended endpoint=%s contents=%d found=%s endpoints_rev=%s",
                    instance,
                    contents,
                    result.value,
                    self._directory.revision,
                )
            case events.SuspicionChanged(suspicion):
                _log_suspicion(suspicion)
            case events.PartChanged(suspicion, quarantined):
                _log_part(suspicion, quarantined)

    def _start(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Start a background task; no effect before the service runs, as there are no requests."""
        if self._kernel is not None:
            self._kernel.spawn(function, *arguments)

    def _send_news(self, nodes: tuple[str, ...], news: SuspicionNews | PartNews) -> None:
        if self._kernel is not None:
            for node in nodes:
                self._kernel.post("peers", Outgoing(node, news))

    async def _probe(self, endpoint: ServiceEndpoint, after_ms: int) -> None:
        await anyio.sleep(after_ms / 1000)
        try:
            result = await self._probe_once(endpoint)
        except Exception:
            # The failed runs of the endpoint wait for a result.
            logger.exception("event=probe_failed endpoint=%s", endpoint.instance)
            result = ProbeResult.SILENT
        if result is not ProbeResult.REFUSES:
            logger.info(
                "event=endpoint_probed endpoint=%s found=%s", endpoint.instance, result.value
            )
        self._handle(events.ProbeFinished(endpoint.instance, result))

    async def _probe_once(self, endpoint: ServiceEndpoint) -> ProbeResult:
        """Probe the address of an endpoint; a newer start under its name proves that it ended."""
        listens = await self._calls.listens(endpoint)
        latest = self._directory.named(endpoint.name)
        if latest is not None and latest.instance != endpoint.instance:
            return ProbeResult.RESTARTED
        if listens is None:
            return ProbeResult.GONE if latest is None else ProbeResult.SILENT
        return ProbeResult.LISTENS if listens else ProbeResult.REFUSES

    async def _write_with_retry(
        self, write: Callable[[_Written], Coroutine[Any, Any, bool]], what: _Written
    ) -> None:
        """Call `write` until the store has answered or the attempts are used up."""
        for _ in range(RECORD_ATTEMPTS):
            if await write(what):
                return
            await anyio.sleep(RECORD_RETRY_S)

    async def _read_records(self, kernel: Kernel) -> None:
        """Load the contents that were quarantined before this node started."""
        for pause_s in RECORD_READ_DELAYS_S:
            await anyio.sleep(pause_s)
            while (records := await self._records.list_all()) is None:
                await anyio.sleep(RECORD_RETRY_S)
            for suspicion in records:
                kernel.attempt(self.name, self._handle, events.RecordRead(suspicion))

    def _on_store_restored(self) -> None:
        if not self._state.idle:
            self._start(self._rewrite_records)

    async def _rewrite_records(self) -> None:
        await anyio.sleep(RESTORE_JITTER_MS / 1000 * self._state.rng.random())
        self._handle(events.RecordsLost())

    async def _tick(self, kernel: Kernel) -> None:
        """Apply ticks while something is suspected."""
        while True:
            await self._active.wait()
            await anyio.sleep(GOSSIP_INTERVAL_MS / 1000)
            kernel.attempt(self.name, self._handle, events.Tick())
            if self._state.idle:
                self._active = anyio.Event()


def _log_suspicion(suspicion: Suspicion) -> None:
    known = "quarantined" if is_quarantined(suspicion) else "suspected"
    if suspicion.ran_well:
        known = "cleared"
    logger.info(
        "event=content_known content=%s known=%s ended=%s trials=%d",
        suspicion.content,
        known,
        ",".join(suspicion.ended),
        suspicion.trials,
    )


def _log_part(suspicion: PartSuspicion, quarantined: bool) -> None:
    known = "quarantined" if quarantined else "suspected"
    if not suspicion.ends:
        known = "cleared"
    logger.info(
        "event=part_known part=%s known=%s depth=%d ended=%s sound_age_ms=%s trials=%d",
        suspicion.part,
        known,
        suspicion.depth,
        ",".join(end.instance for end in suspicion.ends),
        suspicion.sound_age_ms,
        suspicion.trials,
    )
