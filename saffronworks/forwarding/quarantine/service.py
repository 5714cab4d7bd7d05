"""The service that keeps contents which end endpoints from being sent on: runs `core`."""

import logging
import random
from collections.abc import Callable, Collection, Coroutine
from typing import Any, TypeVar

import anyio
from anyio.abc import TaskGroup

from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.ports import EndpointCalls, ObjectSource
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine.core import QuarantineState, step
from saffronworks.forwarding.quarantine.events import Found
from saffronworks.forwarding.quarantine.messages import Suspicion, SuspicionNews
from saffronworks.forwarding.quarantine.records import QuarantineRecords
from saffronworks.forwarding.quarantine.suspicions import Admission, is_quarantined
from saffronworks.forwarding.quarantine.tuning import (
    READ_RECORDS_PAUSES_S,
    RECORD_AGAIN_S,
    RECORD_TRIES,
    TELL_EVERY_MS,
)
from saffronworks.forwarding.store_revisions import StoreEpoch
from saffronworks.forwarding.tuning import RESTORE_JITTER_MS
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["Quarantine"]

logger = logging.getLogger(__name__)

_Written = TypeVar("_Written")


class Quarantine:
    """Tells for each request whether it may be sent, and hears how its runs end.

    While nothing is suspected a request costs nothing here: its content isn't even worked out.
    """

    name = "quarantine"

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        calls: EndpointCalls,
        store: ObjectSource,
        rng: random.Random,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
    ):
        epoch.subscribe(self._note_restore)
        self._state = QuarantineState(own_address, rng)
        self._directory = directory
        self._calls = calls
        self._records = QuarantineRecords(store)
        self._now_ms = now_ms
        self._kernel: Kernel | None = None
        self._tasks: TaskGroup | None = None
        self._suspects = anyio.Event()

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Hear other nodes and tell them, until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._tick)
            tasks.start_soon(self._read_records)
            async for message in mailbox:
                self._take(message)

    def take_nodes(self, nodes: Collection[str]) -> None:
        """Which nodes there are, by their addresses."""
        self._state.take_nodes(nodes)

    # What requests ask and tell.

    def admit(self, request: CallerRequest) -> Admission:
        """Whether a request may be sent to endpoints."""
        if self._state.idle:
            return Admission.FREE
        admission = self._state.admission(request.content, self._now_ms())
        if admission is not Admission.FREE:
            logger.info(
                "event=content_admission request=%s content=%s admission=%s known_contents=%d",
                request.request_id,
                request.content,
                admission.value,
                len(self._state.table),
            )
        return admission

    def blocks(self, request: CallerRequest, on_trial: bool = False) -> bool:
        """Whether a request under way is to be sent on no more, a trial not even once."""
        if self._state.idle:
            return False
        admission = self._state.table.admission(request.content, self._now_ms())
        return admission is Admission.REFUSED or (admission is Admission.TRIAL and not on_trial)

    def begin_trial(self, request: CallerRequest) -> None:
        """A request on trial is sent to its endpoint now: no other one is."""
        self._take(events.TrialBegan(request.content))

    def note_break(
        self,
        request: CallerRequest,
        endpoint: ServiceEndpoint,
        broken: ExchangeError,
        waited_for: bool,
    ) -> None:
        """An endpoint that may have worked on a request gave no whole answer to it.

        Silence counts where it was `waited_for`: a request that is sent elsewhere when a little
        time has passed says nothing of the first endpoint, and a look at it costs a connection.
        """
        if broken.cause is ExchangeErrorCause.SILENT and not waited_for:
            return
        known = self._directory.endpoints.get(endpoint.instance)
        leaving = known is None or known.draining
        self._take(events.RunBroke(request.content, endpoint, broken.cause, leaving))

    def note_whole(self, request: CallerRequest, framed: bool) -> None:
        """A success came whole. Only if its endpoint told the end: a close may be its own end."""
        if framed and not self._state.idle:
            self._take(events.RanWell(request.content))

    # What follows.

    def _take(self, event: events.Event) -> None:
        for command in step(self._state, event, self._now_ms()):
            self._execute(command)
        if not self._state.idle:
            self._suspects.set()

    def _execute(self, command: events.Command) -> None:
        match command:
            case events.Look(endpoint, after_ms):
                self._start(self._look, endpoint, after_ms)
            case events.Tell(nodes, news):
                self._tell(nodes, news)
            case events.Record(suspicion):
                self._start(self._until_done, self._records.write, suspicion)
            case events.Unrecord(content):
                self._start(self._until_done, self._records.remove, content)
            case events.EndpointEnded(instance, contents, found):
                logger.info(
                    "event=endpoint_ended endpoint=%s contents=%d found=%s endpoints_rev=%s",
                    instance,
                    contents,
                    found.value,
                    self._directory.revision,
                )
            case events.Learned(suspicion):
                _log_learned(suspicion)

    def _start(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Do something that waits; before the service runs there are no requests."""
        if self._tasks is not None:
            self._tasks.start_soon(function, *arguments)

    def _tell(self, nodes: tuple[str, ...], news: SuspicionNews) -> None:
        if self._kernel is not None:
            for node in nodes:
                self._kernel.post("peers", Outgoing(node, news))

    async def _look(self, endpoint: ServiceEndpoint, after_ms: int) -> None:
        await anyio.sleep(after_ms / 1000)
        found = await self._find(endpoint)
        if found is not Found.REFUSES:
            logger.info(
                "event=endpoint_looked_at endpoint=%s found=%s", endpoint.instance, found.value
            )
        self._take(events.Looked(endpoint.instance, found))

    async def _find(self, endpoint: ServiceEndpoint) -> Found:
        """What there is at the address; a later start there shows the end of this one."""
        listens = await self._calls.listens(endpoint)
        latest = self._directory.named(endpoint.name)
        if latest is not None and latest.instance != endpoint.instance:
            return Found.STARTED_AGAIN
        if listens is None:
            return Found.GONE if latest is None else Found.SILENT
        return Found.LISTENS if listens else Found.REFUSES

    async def _until_done(
        self, write: Callable[[_Written], Coroutine[Any, Any, bool]], what: _Written
    ) -> None:
        """Ask the store until it has answered, some times at most."""
        for _ in range(RECORD_TRIES):
            if await write(what):
                return
            await anyio.sleep(RECORD_AGAIN_S)

    async def _read_records(self) -> None:
        """What was quarantined before this node started."""
        for pause_s in READ_RECORDS_PAUSES_S:
            await anyio.sleep(pause_s)
            while (found := await self._records.list_all()) is None:
                await anyio.sleep(RECORD_AGAIN_S)
            for suspicion in found:
                self._take(events.RecordRead(suspicion))

    def _note_restore(self) -> None:
        if not self._state.idle:
            self._start(self._record_again)

    async def _record_again(self) -> None:
        await anyio.sleep(RESTORE_JITTER_MS / 1000 * self._state.rng.random())
        self._take(events.RecordsLost())

    async def _tick(self) -> None:
        """Let time pass while something is suspected."""
        while True:
            await self._suspects.wait()
            await anyio.sleep(TELL_EVERY_MS / 1000)
            self._take(events.Tick())
            if self._state.idle:
                self._suspects = anyio.Event()


def _log_learned(suspicion: Suspicion) -> None:
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
