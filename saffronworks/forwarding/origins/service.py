"""The service that records the origins of streams at other nodes, and looks them up."""

import logging
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

import anyio
import attrs

from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.figures import Level, MetricsRecorder
from saffronworks.forwarding.messages import CallerRequest, Refuse
from saffronworks.forwarding.origins.certainty import BegunStream, Knowledge, VersionCertainty
from saffronworks.forwarding.origins.decisions import (
    Resolution,
    Resolved,
    candidates_of,
    is_settled,
    resolve,
)
from saffronworks.forwarding.origins.history import OriginHistory
from saffronworks.forwarding.origins.lookups import HolderLookups
from saffronworks.forwarding.origins.messages import (
    HistoryAnswer,
    HistoryRequest,
    OriginAnswer,
    OriginLookup,
    OriginNotice,
    OriginStored,
)
from saffronworks.forwarding.origins.records import (
    Origin,
    OriginTable,
    StreamKey,
    resume_window_ms,
    stream_key,
)
from saffronworks.forwarding.origins.tuning import (
    FIRST_HISTORY_MS,
    HISTORY_INTERVAL_MS,
    HISTORY_PEERS,
    HOLDER_GROUPS,
    HOLDERS,
    MAX_HISTORY_INTERVAL_MS,
    MAX_RECORD_TTL_MS,
    MIN_RESUME_WINDOW_MS,
    READ_TIMEOUT_MS,
    SETTLE_CHECKS,
    SETTLE_INTERVAL_MS,
    SETTLED_MS,
    STORE_BACKOFF_MS,
    STORE_TIMEOUT_MS,
)
from saffronworks.forwarding.routing import Route, RoutingTable
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.starts import StartId
from saffronworks.hashing import hash32
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["StreamOrigins"]

logger = logging.getLogger(__name__)

_Message = (
    OriginNotice | OriginStored | OriginLookup | OriginAnswer | HistoryRequest | HistoryAnswer
)

# The key of a lookup for a caller that names no request.
NO_KEY = StreamKey("")


async def _read_nothing() -> bool:
    return False


class StreamOrigins:
    """Keeps records of streams' origins, of this node and of other ones.

    Each record is at the node that began the stream and at up to three others, chosen by hash, so
    that it outlives that node. `is_current` tells whether this node has all recent updates of
    endpoints and configuration, `updated_ms` when the endpoints were last up to date, and
    `connected_since_ms` when the oldest open connection to an endpoint was opened. `read_latest`
    applies all updates made before its call, and returns whether it could read them.
    """

    name = "stream-origins"

    def __init__(
        self,
        own_address: str,
        directory: Directory,
        figures: MetricsRecorder,
        now_ms: Callable[[], int],
        is_current: Callable[[], bool],
        updated_ms: Callable[[], int],
        connected_since_ms: Callable[[StartId], int | None],
        from_first_start: bool = False,
        read_latest: Callable[[], Awaitable[bool]] = _read_nothing,
    ):
        self.table = OriginTable()
        self.history = OriginHistory(from_first_start)
        self._own_address = own_address
        self._directory = directory
        self._figures = figures
        self._now_ms = now_ms
        self._is_current = is_current
        self._updated_ms = updated_ms
        self._connected_since_ms = connected_since_ms
        self._read_latest = read_latest
        self.certainty = VersionCertainty()
        self._ring = HolderRing()
        self._rng = random.Random(own_address)
        self._kernel: Kernel | None = None
        self._lookups = HolderLookups(own_address, self._send)
        self._unstored: dict[StreamKey, anyio.Event] = {}
        self._no_wait_until_ms = 0
        figures.register_gauge("saffronworks_stream_records", lambda: [Level(len(self.table), {})])

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages of other nodes until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._request_history)
            await kernel.dispatch(self.name, mailbox, self._handle)

    async def _request_history(self) -> None:
        """Request the history before this node's start until another node knows it."""
        await anyio.sleep(FIRST_HISTORY_MS / 1000)
        interval_ms, asked = HISTORY_INTERVAL_MS, 1
        while not self.history.covers(MAX_RECORD_TTL_MS, self._now_ms()):
            others = self._others(self._ring.nodes())
            if not self.history.began or not others:
                await anyio.sleep(FIRST_HISTORY_MS / 1000)
                continue
            # Each one that is asked reads the store.
            for node in self._rng.sample(others, min(asked, len(others))):
                self._send(node, HistoryRequest(self._own_address))
            asked = HISTORY_PEERS
            await anyio.sleep(interval_ms / 1000)
            interval_ms = min(2 * interval_ms, MAX_HISTORY_INTERVAL_MS)

    def update_nodes(self, nodes: Iterable[str]) -> None:
        """Replace the list of node addresses."""
        self._ring.update(nodes, self._now_ms())

    def observe_endpoints(self, added: Iterable[ServiceEndpoint] = ()) -> None:
        """Record the versions of endpoints after a change of the directory.

        `added` has those that were added since the last call, also if they were removed again.
        """
        now_ms, present = self._now_ms(), self._directory.versions()
        passed = {service: set(versions) for service, versions in present.items()}
        for endpoint in added:
            passed.setdefault(endpoint.service, set()).add(endpoint.version)
        if passed != present:
            self.history.observe_versions(passed, now_ms)
        self.history.observe_versions(present, now_ms)

    def observe_table(self, table: RoutingTable) -> None:
        """Record the services of routes in a configuration that comes into force."""
        self.history.observe_table(table, self._now_ms())

    def has_versions(self) -> bool:
        """Return whether a service has, or recently had, several versions."""
        return max(self.history.count_versions(self._now_ms()).values(), default=0) > 1

    # Called for requests.

    def is_certain(self, endpoint: ServiceEndpoint) -> bool:
        """Return whether an endpoint runs the software version that the store lists for it.

        While its service has a single version, a restart with another one is not expected.
        """
        if self.history.count_versions(self._now_ms())[endpoint.service] <= 1:
            return True
        known = self._knowledge_of(endpoint.instance)
        return self.certainty.is_certain(endpoint, known, self._now_ms())

    def _knowledge_of(self, instance: StartId) -> Knowledge:
        return Knowledge(self._updated_ms(), self._connected_since_ms(instance))

    async def record_start(
        self, request: CallerRequest, route: Route, service: str, endpoint: ServiceEndpoint
    ) -> None:
        """Record the origin of a stream before its first event is sent to the caller.

        If the version is not certain, the stream can't be resumed until it is. Returns when another
        node has the record, or after a short time without one.
        """
        key, began_ms = stream_key(request, request.request_id), self._now_ms()
        certain = self.is_certain(endpoint)
        origin = Origin(service, endpoint.version) if certain else None
        waits = began_ms >= self._no_wait_until_ms
        holders = self._store(key, resume_window_ms(route), origin, waits)
        # Before the wait, as the store may show a restart during it.
        begun = self._record_stream(key, route, endpoint)
        stored = await self._await_stored(key) if holders and waits else False
        if holders and waits and not stored:
            self._no_wait_until_ms = self._now_ms() + STORE_BACKOFF_MS
        if not certain:
            self._spawn(self._settle, begun, service)
        logger.info(
            "event=origin_recorded request=%s service=%s version=%s certain=%s entries_age_ms=%d "
            "holders=%d stored=%s waited_ms=%d",
            request.request_id,
            service,
            endpoint.version,
            certain,
            began_ms - self._updated_ms(),
            holders,
            stored,
            self._now_ms() - began_ms,
        )

    def extend(
        self, request: CallerRequest, route: Route, service: str, endpoint: ServiceEndpoint
    ) -> None:
        """Keep the record of a stream that goes on for another window, also at new holders."""
        if request.first_request_id is None:
            return
        key = stream_key(request, request.first_request_id)
        self._store(key, resume_window_ms(route), Origin(service, endpoint.version), waits=False)
        self._record_stream(key, route, endpoint)

    def _record_stream(
        self, key: StreamKey, route: Route, endpoint: ServiceEndpoint
    ) -> BegunStream:
        now_ms = self._now_ms()
        begun = BegunStream(key, endpoint, resume_window_ms(route), now_ms)
        self.certainty.record_stream(begun, now_ms)
        return begun

    async def _settle(self, begun: BegunStream, service: str) -> None:
        """Record an uncertain origin once the store shows that its endpoint had not restarted."""
        for _ in range(SETTLE_CHECKS):
            await anyio.sleep(SETTLE_INTERVAL_MS / 1000)
            if self._directory.endpoints.get(begun.endpoint.instance) != begun.endpoint:
                return
            if self.certainty.is_settled(begun, self._knowledge_of(begun.endpoint.instance)):
                origin = Origin(service, begun.endpoint.version)
                self._store(begun.key, begun.ttl_ms, origin, waits=False)
                return

    def handle_restart(self, later: ServiceEndpoint) -> None:
        """Withdraw the origins of streams that a later start of an endpoint may have begun."""
        doubtful = self.certainty.find_doubtful(later, self._now_ms())
        for stream in doubtful:
            self._store(stream.key, stream.ttl_ms, None, waits=False)
        if doubtful:
            logger.info(
                "event=origins_withdrawn endpoint=%s version=%s streams=%d",
                later.instance,
                later.version,
                len(doubtful),
            )

    async def find(self, request: CallerRequest, route: Route) -> Origin | Refuse:
        """Return the origin of a stream that a caller resumes, or why it can't continue."""
        began_ms = self._now_ms()
        key = stream_key(request, request.first_request_id) if request.first_request_id else NO_KEY
        window_ms = resume_window_ms(route)
        answers = [self._answer("", key, route.name, window_ms)]
        if not is_settled(answers):
            first_nodes = self._ring.recent_first_nodes(
                _group(key or request.request_id), HOLDERS, began_ms
            )
            holders = self._others(first_nodes)
            if key:
                answers += await self._lookups.find_record(holders, key, route.name, window_ms)
            if not is_settled(answers) and len(candidates_of(answers)) <= 1:
                answers += await self._read_candidates(holders, key, route.name, window_ms)
        found = resolve(answers, route)
        self._log_found(request, found, answers, began_ms)
        return found if isinstance(found, Refuse) else found.origin

    async def _read_candidates(
        self, holders: list[str], key: StreamKey, route: str, window_ms: int
    ) -> list[OriginAnswer]:
        """Read the store's changes, and let holders do so if that doesn't name all candidates."""
        own = await self._answer_latest("", key, route, window_ms)
        if own.names_all_candidates or is_settled([own]):
            return [own]
        return [own, *await self._lookups.read_latest(holders, key, route, window_ms)]

    async def _read_in_time(self) -> bool:
        with anyio.move_on_after(READ_TIMEOUT_MS / 1000):
            return await self._read_latest()
        return False

    def _log_found(
        self,
        request: CallerRequest,
        found: Resolution,
        answers: list[OriginAnswer],
        began_ms: int,
    ) -> None:
        origin: Origin | None = None
        age_ms: int | None = None
        match found:
            case Resolved(origin, by_record, age_ms):
                outcome = "recorded" if by_record else "only-candidate"
            case Refuse():
                outcome = found.reason
        self._figures.count_resumed(outcome)
        logger.info(
            "event=origin_found request=%s first_request=%s outcome=%s service=%s version=%s "
            "age_ms=%s holder=%s answers=%d candidates=%d covers_window=%s latest=%s waited_ms=%d",
            request.request_id,
            request.first_request_id,
            outcome,
            origin.service if origin else None,
            origin.version if origin else None,
            age_ms,
            next((answer.holder for answer in answers if answer.records), None),
            len(answers),
            len(candidates_of(answers)),
            any(answer.covers_window for answer in answers),
            next((answer.holder for answer in answers if answer.latest), None),
            self._now_ms() - began_ms,
        )

    def _store(self, key: StreamKey, ttl_ms: int, origin: Origin | None, waits: bool) -> int:
        """Store a record here and send it to its holders; returns the number of these."""
        self.table.store(key, origin, ttl_ms, self._now_ms())
        notice = OriginNotice(key, origin, ttl_ms, self._own_address if waits else "")
        holders = self._others(self._ring.first_nodes(_group(key), HOLDERS))[: HOLDERS - 1]
        if waits and holders:
            self._unstored.setdefault(key, anyio.Event())
        for holder in holders:
            self._send(holder, notice)
        return len(holders)

    async def _await_stored(self, key: StreamKey) -> bool:
        try:
            with anyio.move_on_after(STORE_TIMEOUT_MS / 1000):
                await self._unstored[key].wait()
                return True
            return False
        finally:
            self._unstored.pop(key, None)

    def _others(self, nodes: Iterable[str]) -> list[str]:
        return [node for node in nodes if node != self._own_address]

    # Called as a holder.

    async def _answer_latest(
        self, lookup_id: str, key: StreamKey, route: str, window_ms: int
    ) -> OriginAnswer:
        """Return what this node knows of a stream after it has read the store's changes."""
        latest = await self._read_in_time()
        return self._answer(lookup_id, key, route, window_ms, latest)

    async def _reply_latest(self, lookup: OriginLookup) -> None:
        answer = await self._answer_latest(
            lookup.lookup_id, lookup.key, lookup.route, lookup.window_ms
        )
        self._send(lookup.reply_to, answer)

    def _answer(
        self, lookup_id: str, key: StreamKey, route: str, window_ms: int, latest: bool = False
    ) -> OriginAnswer:
        """Return what this node knows of a stream."""
        now_ms = self._now_ms()
        record = self.table.find(key, now_ms) if key else None
        if record is not None:
            known = () if record.origin is None else (record.origin,)
            age_ms, ambiguous = now_ms - record.recorded_ms, record.origin is None
            settles = ambiguous and not record.final
            return OriginAnswer(
                lookup_id,
                self._own_address,
                known,
                age_ms,
                ambiguous=ambiguous,
                settles_in_ms=max(0, SETTLED_MS - age_ms) if settles else 0,
            )
        candidates = self.history.candidates(route, window_ms, now_ms)
        return OriginAnswer(
            lookup_id,
            self._own_address,
            candidates=tuple(sorted(candidates)),
            covers_window=self._is_current() and self.history.covers(window_ms, now_ms),
            latest=latest,
        )

    async def _reply_history(self, reply_to: str) -> None:
        """Send the history up to now, so that nothing lies between it and the receiver's start.

        A short history would help no stream, so the store is not read for it.
        """
        useful = self.history.covers(MIN_RESUME_WINDOW_MS, self._now_ms())
        latest = useful and await self._read_in_time()
        exported = self.history.export(self._now_ms())
        self._send(reply_to, exported if latest else attrs.evolve(exported, covers_ms=0))

    def _merge_history(self, answer: HistoryAnswer) -> None:
        now_ms = self._now_ms()
        before_ms = self.history.covers_ms(now_ms)
        self.history.merge(answer, now_ms)
        if self.history.covers_ms(now_ms) == before_ms:
            return
        logger.info(
            "event=origin_history_merged versions=%d routes=%d covers_ms=%d before_ms=%d",
            len(answer.versions),
            len(answer.routes),
            self.history.covers_ms(now_ms),
            before_ms,
        )

    # Messages.

    def _handle(self, message: _Message) -> None:
        match message:
            case HistoryRequest(reply_to):
                self._spawn(self._reply_history, reply_to)
            case HistoryAnswer() if self.history.began:
                self._merge_history(message)
            case OriginNotice(key, origin, ttl_ms, reply_to):
                self.table.store(key, origin, ttl_ms, self._now_ms())
                if reply_to:
                    self._send(reply_to, OriginStored(key, self._own_address))
            case OriginStored(key) if key in self._unstored:
                self._unstored[key].set()
            case OriginLookup(latest=True):
                self._spawn(self._reply_latest, message)
            case OriginLookup(lookup_id, reply_to, key, route, window_ms):
                self._send(reply_to, self._answer(lookup_id, key, route, window_ms))
            case OriginAnswer():
                self._lookups.handle_answer(message)

    def _spawn(self, task: Callable[..., Coroutine[Any, Any, None]], *args: object) -> None:
        if self._kernel is not None:
            self._kernel.spawn(task, *args)

    def _send(self, node: str, message: _Message) -> None:
        if self._kernel is not None:
            self._kernel.post("peers", Outgoing(node, message))


def _group(key: str) -> str:
    """Return the group of streams whose records have the same holders."""
    return f"streams/{hash32(key) % HOLDER_GROUPS}"
