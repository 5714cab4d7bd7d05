"""Opens connections to endpoints, directly or through a node that reaches them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from saffronworks.clocks import extend_for_lag, running_timeout
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.paths.direct import DirectConnections
from saffronworks.forwarding.paths.peer_calls import PeerCalls, PeerReach
from saffronworks.forwarding.paths.table import Dial, PathTable
from saffronworks.forwarding.paths.tuning import (
    CHECK_TIMEOUT_MS,
    CONFIRMED_MS,
    MAX_CONNECT_MS,
    MAX_RELAY_AFTER_MS,
    RELAY_AFTER_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["Connector"]

_Opened = EndpointConnection | None
_OpenTask = asyncio.Task[_Opened]


class Connector:
    """Gives callers' requests a connection over which their endpoint is reached."""

    def __init__(
        self,
        table: PathTable,
        direct: DirectConnections,
        peers: PeerCalls,
        now_ms: Callable[[], int],
    ):
        self._table = table
        self._direct = direct
        self._peers = peers
        self._now_ms = now_ms
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def pool(self) -> ConnectionPool:
        """The direct connections to endpoints."""
        return self._direct.pool

    async def acquire(
        self, endpoint: ServiceEndpoint, request_id: str | None, control_call: bool = False
    ) -> EndpointConnection:
        """Return a connection that has not carried this request.

        Raises ExchangeError if neither way reaches the endpoint within `MAX_CONNECT_MS`.

        `relayed_by` of the connection names the node that it leads through, if any.
        """
        dial = self._table.dial(endpoint.instance, self._now_ms())
        relays = dial.relay_after_ms is not None and bool(self._peers.choice.peers)
        if dial.reuse or not relays:
            idle = self.pool.acquire_idle(endpoint, request_id, control_call)
            if idle is not None:
                return idle
        try:
            async with running_timeout(MAX_CONNECT_MS):
                if relays:
                    return _require(await self._race(endpoint, request_id, dial))
                return _require(await self._open_alone(endpoint, dial.timeout_ms))
        except TimeoutError:
            raise ExchangeError(ExchangeErrorCause.CONNECT, sent=False) from None

    async def acquire_direct(
        self,
        endpoint: ServiceEndpoint,
        request_id: str | None,
        control_call: bool,
        timeout_ms: float,
    ) -> EndpointConnection:
        """Return a direct connection; raises ExchangeError if there is none in time."""
        idle = self.pool.acquire_idle(endpoint, request_id, control_call)
        return idle or _require(await self._open_direct(endpoint, timeout_ms))

    async def open_single_use(
        self, endpoint: ServiceEndpoint, timeout_ms: float
    ) -> EndpointConnection:
        """Open a direct connection for one exchange; raises ExchangeError if there is none in time.

        No copy of an earlier answer comes on it, and none of its answer on that of another call.
        """
        connection = _require(await self._open_direct(endpoint, timeout_ms))
        connection.single_use = True
        return connection

    def release(self, endpoint: ServiceEndpoint, connection: EndpointConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        if connection.relayed_by is None:
            self._direct.release(endpoint, connection)
        else:
            self._peers.release(connection)

    async def _open_direct(self, endpoint: ServiceEndpoint, timeout_ms: float) -> _Opened:
        # The timeout of a path that is not in doubt is long enough for a late node as well.
        limit_ms = max(timeout_ms, extend_for_lag(CHECK_TIMEOUT_MS))
        opened = await self._direct.open(endpoint, limit_ms)
        return opened if isinstance(opened, EndpointConnection) else None

    async def _open_alone(self, endpoint: ServiceEndpoint, timeout_ms: float) -> _Opened:
        """Connect directly; the attempt goes on in the background if its caller stops waiting."""
        attempts = [self._start(self._open_direct(endpoint, timeout_ms))]
        try:
            return self._detach(attempts, await _first_opened(attempts))
        finally:
            self._keep_opened(endpoint, attempts)

    async def _race(self, endpoint: ServiceEndpoint, request_id: str | None, dial: Dial) -> _Opened:
        """Connect directly and through another node, and return the first that succeeds.

        The other attempt goes on in the background, as its result tells the state of the path.
        """
        began_ms = self._now_ms()
        attempts: list[_OpenTask] = []
        try:
            if dial.direct:
                attempts.append(self._start(self._open_direct(endpoint, dial.timeout_ms)))
                await asyncio.wait(attempts, timeout=_relay_after_ms(dial) / 1000)
                if attempts[0].done() and (opened := attempts[0].result()) is not None:
                    return self._detach(attempts, opened)
            since_ms = began_ms if dial.direct else began_ms - CONFIRMED_MS
            attempts.append(self._start(self._open_relay(endpoint.instance, request_id, since_ms)))
            opened = await _first_opened(attempts)
            if opened is None and not dial.direct:
                attempts.append(self._start(self._open_direct(endpoint, dial.timeout_ms)))
                opened = await attempts[-1]
            if opened is not None and opened.relayed_by is not None and dial.direct:
                judge = self._judge(endpoint.instance, attempts[0], opened.relayed_by, began_ms)
                self._start(judge)
            return self._detach(attempts, opened)
        finally:
            self._keep_opened(endpoint, attempts)

    def _detach(self, attempts: list[_OpenTask], opened: _Opened) -> _Opened:
        """Give a connection to the caller: it is not kept as idle with those of the others."""
        attempts[:] = [one for one in attempts if not one.done() or one.result() is not opened]
        return opened

    def _keep_opened(self, endpoint: ServiceEndpoint, attempts: list[_OpenTask]) -> None:
        for attempt in attempts:
            attempt.add_done_callback(lambda done: self._keep(endpoint, done))

    def _keep(self, endpoint: ServiceEndpoint, attempt: _OpenTask) -> None:
        """Keep a connection that no request needs any more."""
        if attempt.cancelled() or attempt.exception() is not None:
            return
        if (opened := attempt.result()) is not None:
            self.release(endpoint, opened)

    async def _open_relay(
        self, instance: StartId, request_id: str | None, since_ms: int
    ) -> _Opened:
        """Return a connection to a node that has reached the endpoint since then, or None."""
        found = await self._peers.find_reaching(instance, since_ms)
        if found.reached_by is None:
            self.record_unreached(instance, found)
            return None
        try:
            return await self._peers.open(found.reached_by, request_id)
        except ExchangeError:
            self._peers.choice.avoid(found.reached_by, self._now_ms())
            return None

    def record_unreached(self, instance: StartId, found: PeerReach) -> None:
        """Record which nodes don't reach an endpoint either."""
        for peer in found.unreached_by:
            self._table.record_unreached_by(instance, peer, self._now_ms(), found.asked_all)
        self._direct.log_changes()

    async def _judge(self, instance: StartId, direct: _OpenTask, peer: str, began_ms: int) -> None:
        """Mark the path as cut if the direct attempt fails or takes too long."""
        left_ms = began_ms + extend_for_lag(RELAY_AFTER_MS) - self._now_ms()
        done, _ = await asyncio.wait([direct], timeout=max(0, left_ms) / 1000)
        if done and direct.result() is not None:
            return
        self._table.record_relayed(instance, peer, self._now_ms())
        self._direct.log_changes()

    def _start(self, attempt: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(attempt)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _relay_after_ms(dial: Dial) -> float:
    """Return when another node is used too; a late node has to wait longer for replies."""
    if not dial.relay_after_ms:
        return 0
    return min(extend_for_lag(dial.relay_after_ms), MAX_RELAY_AFTER_MS)


def _require(opened: _Opened) -> EndpointConnection:
    if opened is None:
        raise ExchangeError(ExchangeErrorCause.CONNECT, sent=False)
    return opened


async def _first_opened(attempts: list[_OpenTask]) -> _Opened:
    """Return the connection of the first attempt that succeeds, None if all fail."""
    pending = set(attempts)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            if (opened := attempt.result()) is not None:
                return opened
    return None
