"""Checks the paths to endpoints, and decides whether a failure is an endpoint's or a path's."""

import asyncio
import logging
import random
from collections.abc import Callable

import anyio

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.figures import Level
from saffronworks.forwarding.paths.connector import Connector
from saffronworks.forwarding.paths.direct import DirectConnections
from saffronworks.forwarding.paths.peer_calls import PeerCalls, read_relay_reply
from saffronworks.forwarding.paths.peers import PeerChoice
from saffronworks.forwarding.paths.table import PathState, PathTable
from saffronworks.forwarding.paths.tuning import (
    ASK_PEERS_AFTER_MS,
    CHECK_ROUND_MS,
    CHECK_TIMEOUT_MS,
    CONFIRMED_MS,
    PROBE_TIMEOUT_MS,
    UNACKNOWLEDGED_MS,
    UNANSWERED_MS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.overload.connect_delay import ConnectDelay

__all__ = ["PathService", "make_paths"]

logger = logging.getLogger(__name__)

# Failures that a cut path can cause.
_PATH_CAUSES = frozenset(
    [
        ExchangeErrorCause.CONNECT,
        ExchangeErrorCause.SILENT,
        ExchangeErrorCause.CLOSED,
        ExchangeErrorCause.RESET,
        ExchangeErrorCause.UNREACHABLE,
    ]
)
# Causes by the name under which a relaying node reports them; its other reasons have none.
_CAUSES = {cause.value: cause for cause in ExchangeErrorCause}
_SITES = {
    PathState.DIRECT: FaultSite.ENDPOINT,
    PathState.SUSPECT: FaultSite.UNKNOWN,
    PathState.RELAYED: FaultSite.PATH,
    PathState.DOWN: FaultSite.ENDPOINT,
}


class PathService:
    """Owns the path table of a node."""

    def __init__(
        self,
        directory: Directory,
        direct: DirectConnections,
        peers: PeerCalls,
        table: PathTable,
        rng: random.Random,
        now_ms: Callable[[], int],
    ):
        self._rng = rng
        self.table = table
        self.connector = Connector(table, direct, peers, now_ms)
        self.peers = peers
        self._directory = directory
        self._direct = direct
        self._now_ms = now_ms
        self._checks: dict[tuple[StartId, bool], asyncio.Task[OSError | None]] = {}
        self._probes: dict[StartId, asyncio.Task[bool]] = {}
        self._partitioned = False
        self._active = anyio.Event()
        direct.on_change = self._wake

    async def run(self) -> None:
        """Check the paths that are not used, until cancelled."""
        while True:
            if not self.table.has_checks and not self._partitioned:
                self._active = anyio.Event()
                await self._active.wait()
            await anyio.sleep(CHECK_ROUND_MS / 1000)
            for instance in self.table.due_checks(self._now_ms()):
                endpoint = self._directory.endpoints.get(instance)
                if endpoint is not None:
                    self._start_check(endpoint, periodic=True)
            self._log_partition()

    def _wake(self) -> None:
        self._active.set()

    def _log_partition(self) -> None:
        partitioned = self.is_partitioned()
        if partitioned == self._partitioned:
            return
        self._partitioned = partitioned
        counts = self.table.count_states(self._now_ms())
        logger.warning(
            "event=%s direct=%d suspect=%d relayed=%d down=%d peers=%d",
            "node_partitioned" if partitioned else "node_reconnected",
            counts["direct"],
            counts["suspect"],
            counts["relayed"],
            counts["down"],
            len(self.peers.choice.peers),
        )

    def is_partitioned(self) -> bool:
        """Return whether this node reaches no endpoint, though others do."""
        return self.table.is_partitioned(self._now_ms())

    def is_path_proven(self, instance: StartId, within_ms: int) -> bool:
        """Return whether the silence of an endpoint for `within_ms` is its own.

        Either this node has reached it since, or other nodes don't reach it either. If neither is
        known, the path is checked, so that a later call knows more.
        """
        now_ms = self._now_ms()
        state = self.table.state(instance, now_ms)
        if state is PathState.DOWN:
            return True
        if self.table.was_reached(instance, within_ms, now_ms):
            return state is PathState.DIRECT
        endpoint = self._directory.endpoints.get(instance)
        if endpoint is not None and self.table.wants_answer_check(instance, False, now_ms):
            self._start_check(endpoint)
        return False

    @property
    def connect_delay(self) -> ConnectDelay:
        """The times that new direct connections took."""
        return self._direct.delay

    def levels(self) -> list[Level]:
        """Return the number of endpoints by the state of their paths, for the metrics page."""
        counts = self.table.count_states(self._now_ms())
        return [Level(count, {"path": state}) for state, count in counts.items()]

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of endpoints that are not in `instances`."""
        self.table.forget_all_but(instances)
        self.peers.forget_all_but(instances)

    # Checks.

    def _watch_answer(
        self, endpoint: ServiceEndpoint, connection: EndpointConnection
    ) -> Callable[[], None]:
        """Check the path if no answer begins soon; returns a function that ends the watch."""
        loop = asyncio.get_running_loop()
        timers: list[asyncio.TimerHandle] = []

        def begin(after_ms: float, limit_ms: int) -> None:
            timers.append(loop.call_later(after_ms / 1000, check, limit_ms))

        def check(limit_ms: int) -> None:
            left_ms = connection.sent_ms + extend_for_lag(limit_ms) - self._now_ms()
            if left_ms > 0:
                begin(left_ms, limit_ms)
            else:
                self._check_unanswered(endpoint, connection, limit_ms)

        def end() -> None:
            for timer in timers:
                timer.cancel()

        for limit_ms in (UNACKNOWLEDGED_MS, UNANSWERED_MS):
            begin(limit_ms, limit_ms)
        return end

    async def read_head(
        self, endpoint: ServiceEndpoint, connection: EndpointConnection, timeout_ms: float
    ) -> ResponseHead:
        """Return the head of the endpoint's answer; raises ExchangeError.

        If another node relays the request, its own field is removed from the answer.
        """
        end_watch = self._watch_answer(endpoint, connection)
        try:
            head = await connection.head(timeout_ms)
        finally:
            end_watch()
        peer = connection.relayed_by
        if peer is None:
            return head
        reply = read_relay_reply(head)
        if reply.failure:
            self.peers.choice.record_unreached(peer, endpoint.instance)
            cause = _CAUSES.get(reply.failure, ExchangeErrorCause.CONNECT)
            raise ExchangeError(cause, reply.sent, peer)
        connection.framed_by_endpoint = reply.framed
        self.peers.choice.record_reaches(peer, endpoint.instance, self._now_ms())
        return head

    def _check_unanswered(
        self, endpoint: ServiceEndpoint, connection: EndpointConnection, limit_ms: int
    ) -> None:
        if connection.answering:
            return
        now_ms, acknowledged = self._now_ms(), not connection.unacknowledged_bytes
        is_late = limit_ms == UNANSWERED_MS
        if connection.relayed_by is not None:
            if is_late and not acknowledged:
                self.peers.drop(connection.relayed_by)
            return
        if acknowledged and not is_late:
            return
        if self.table.wants_answer_check(endpoint.instance, acknowledged, now_ms):
            self._start_check(endpoint)

    def _start_check(
        self, endpoint: ServiceEndpoint, periodic: bool = False
    ) -> asyncio.Task[OSError | None]:
        """Check a path; at the same time at most once."""
        key = endpoint.instance, periodic
        task = self._checks.get(key)
        if task is None:
            task = self._checks[key] = asyncio.create_task(self._check(endpoint, periodic))
            task.add_done_callback(lambda _: self._checks.pop(key, None))
        return task

    async def _check(self, endpoint: ServiceEndpoint, periodic: bool) -> OSError | None:
        """Connect directly, and ask other nodes if that takes long; returns the problem.

        A periodic check goes by what they said recently, as each question costs a connection.
        """
        instance = endpoint.instance
        since_ms = self._now_ms() - (CONFIRMED_MS if periodic else 0)
        timeout_ms = extend_for_lag(CHECK_TIMEOUT_MS)
        attempt = asyncio.create_task(self._direct.open(endpoint, timeout_ms, check=True))
        await asyncio.wait([attempt], timeout=extend_for_lag(ASK_PEERS_AFTER_MS) / 1000)
        asking = None
        if not attempt.done():
            asking = asyncio.create_task(self.peers.find_reaching(instance, since_ms))
        opened = await attempt
        if isinstance(opened, EndpointConnection):
            self._direct.release(endpoint, opened)
            return None
        found = await (asking or self.peers.find_reaching(instance, since_ms))
        if found.reached_by is not None:
            self.table.record_relayed(instance, found.reached_by, self._now_ms())
            self._direct.log_changes()
        else:
            self.connector.record_unreached(instance, found)
        return opened

    async def connects(self, endpoint: ServiceEndpoint) -> bool:
        """Return whether a direct connection succeeds, for another node that asks.

        A failure does not change the state of the path: otherwise this node would ask others in
        turn, and each endpoint that ends would be asked for by the whole fleet.
        """
        task = self._probes.get(endpoint.instance)
        if task is None:
            task = asyncio.create_task(self._probe(endpoint))
            self._probes[endpoint.instance] = task
            task.add_done_callback(lambda _: self._probes.pop(endpoint.instance, None))
        return await asyncio.shield(task)

    async def proves_own_paths(self, other_than: ServiceEndpoint) -> bool:
        """Return whether this node reaches another endpoint, by a new connection if need be."""
        return self.table.opened_any(self._now_ms()) or await self._reaches_another(other_than)

    async def _reaches_another(self, other_than: ServiceEndpoint) -> bool:
        """Return whether a new connection to another endpoint succeeds.

        Where no other node can say whether it reaches `other_than`, this shows that this node's
        paths work.
        """
        others = [one for one in self._directory.endpoints.values() if one != other_than]
        return bool(others) and await self.connects(self._rng.choice(others))

    async def _probe(self, endpoint: ServiceEndpoint) -> bool:
        opened = await self._direct.open(
            endpoint, extend_for_lag(PROBE_TIMEOUT_MS), check=True, record_failure=False
        )
        if isinstance(opened, EndpointConnection):
            self._direct.release(endpoint, opened)
            return True
        return False

    async def find_site(self, endpoint: ServiceEndpoint, broken: ExchangeError) -> FaultSite:
        """Return whether the endpoint failed, or the path to it.

        The failure of an endpoint counts against it at all nodes, that of a path must not.
        """
        if broken.cause not in _PATH_CAUSES:
            return FaultSite.ENDPOINT
        if broken.relayed_by is not None:
            return await self._find_relayed_site(endpoint, broken.relayed_by, broken.cause)
        if not self.peers.choice.peers:
            return FaultSite.ENDPOINT
        instance = endpoint.instance
        state = self.table.state(instance, self._now_ms())
        checked = broken.cause is ExchangeErrorCause.CONNECT
        if checked and state is PathState.DIRECT:
            # A late node stops waiting for a connection before the attempt has ended.
            return FaultSite.UNKNOWN
        if not checked and state in (PathState.DIRECT, PathState.SUSPECT):
            await asyncio.shield(self._start_check(endpoint))
            state = self.table.state(instance, self._now_ms())
        if state is PathState.SUSPECT and await self._reaches_another(endpoint):
            return FaultSite.ENDPOINT
        return _SITES[state]

    async def _find_relayed_site(
        self, endpoint: ServiceEndpoint, peer: str, cause: ExchangeErrorCause
    ) -> FaultSite:
        """Return the endpoint if it has ended, else the path, of which the peer is a part.

        A silent exchange doesn't show which of the two was silent.
        """
        if cause is ExchangeErrorCause.UNREACHABLE:
            self.peers.drop(peer)
        self.peers.choice.record_unreached(peer, endpoint.instance)
        await asyncio.shield(self._start_check(endpoint))
        down = self.table.state(endpoint.instance, self._now_ms()) is PathState.DOWN
        return FaultSite.ENDPOINT if down else FaultSite.PATH

    async def listens(self, endpoint: ServiceEndpoint) -> bool | None:
        """Return whether an endpoint accepts connections, from this node or from another one.

        None if nothing replies, or if this node's path may be cut.
        """
        problem = await asyncio.shield(self._start_check(endpoint))
        if problem is None:
            return True
        state = self.table.state(endpoint.instance, self._now_ms())
        if state is PathState.RELAYED:
            return True
        if not isinstance(problem, (ConnectionRefusedError, ConnectionResetError)):
            return None
        known = state is PathState.DOWN or not self.peers.choice.peers
        return False if known or await self._reaches_another(endpoint) else None


def make_paths(
    directory: Directory,
    id_field: str,
    zone: str,
    rng: random.Random,
    now_ms: Callable[[], int],
) -> PathService:
    """Return the path service of a node in an availability zone, without peers so far.

    `id_field` is the header field in which endpoints echo the id of a request.
    """
    table = PathTable()
    direct = DirectConnections(ConnectionPool(id_field), table, now_ms)
    peers = PeerCalls(PeerChoice(zone), ConnectionPool(id_field), rng, now_ms)
    return PathService(directory, direct, peers, table, rng, now_ms)
