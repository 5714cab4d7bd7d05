"""The pool of a node's connections to endpoints, idle and busy."""

import asyncio
from collections import deque

from saffronworks.clocks import monotonic_ms, running_timeout
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    CONNECT_TIMEOUT_MS,
    MAX_IDLE_CONNECTIONS,
)
from saffronworks.forwarding.unmatched_answers import UnmatchedAnswers
from saffronworks.web import parse_address

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Pools connections by start of an endpoint, as another endpoint may reuse the address."""

    def __init__(self, id_field: str):
        self._id_field = id_field
        self._idle: dict[StartId, deque[EndpointConnection]] = {}
        self._busy: dict[StartId, set[EndpointConnection]] = {}
        self.max_idle = MAX_IDLE_CONNECTIONS
        self.unmatched = UnmatchedAnswers()

    async def acquire(
        self, endpoint: ServiceEndpoint, request_id: str | None, control_call: bool = False
    ) -> EndpointConnection:
        """Return an idle connection or open one; raises ExchangeError if that fails.

        `request_id` is the id that the endpoint echoes. `control_call`: for a call of the router
        itself, not for a caller's request; it has no id unless another node relays it.
        """
        idle = self.acquire_idle(endpoint, request_id, control_call)
        if idle is not None:
            return idle
        try:
            return await self.open(endpoint, CONNECT_TIMEOUT_MS)
        except OSError:
            raise ExchangeError(ExchangeErrorCause.CONNECT, sent=False) from None

    def acquire_idle(
        self, endpoint: ServiceEndpoint, request_id: str | None, control_call: bool = False
    ) -> EndpointConnection | None:
        """Return an idle connection that has not carried this request, or None."""
        found = self._find_idle(endpoint, request_id, control_call)
        if found is not None:
            self._busy.setdefault(endpoint.instance, set()).add(found)
        return found

    def _find_idle(
        self, endpoint: ServiceEndpoint, request_id: str | None, control_call: bool
    ) -> EndpointConnection | None:
        idle = self._idle.get(endpoint.instance, deque())
        skipped: list[EndpointConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            idle_ms = monotonic_ms() - connection.idle_since_ms
            expired = idle_ms >= connection.keep_alive_ms
            if expired or not connection.reusable or connection.has_input:
                connection.close()
            elif _may_carry(connection, request_id, control_call):
                found = connection
            else:
                skipped.append(connection)
        idle.extend(reversed(skipped))
        return found

    async def open(self, endpoint: ServiceEndpoint, timeout_ms: float) -> EndpointConnection:
        """Open a connection; raises OSError, TimeoutError if there is no reply in time."""
        connection = await self._connect(endpoint, timeout_ms)
        connection.opened_ms = monotonic_ms()
        connection.matcher.endpoint = str(endpoint.instance)
        connection.matcher.unmatched = self.unmatched
        self._busy.setdefault(endpoint.instance, set()).add(connection)
        return connection

    async def _connect(self, endpoint: ServiceEndpoint, timeout_ms: float) -> EndpointConnection:
        host, port = parse_address(endpoint.address)
        loop = asyncio.get_running_loop()
        async with running_timeout(timeout_ms):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(self._id_field), host, port
            )
        return connection

    def release(self, endpoint: ServiceEndpoint, connection: EndpointConnection) -> None:
        """Keep a reusable connection whose exchange, if any, is complete; close any other."""
        busy = self._busy.get(endpoint.instance, set())
        busy.discard(connection)
        if not busy:
            self._busy.pop(endpoint.instance, None)
        idle = self._idle.setdefault(endpoint.instance, deque())
        if (
            not connection.finished
            or connection.single_use
            or connection.matcher.carried.full
            or (len(idle) >= self.max_idle and connection.control_calls_only)
        ):
            connection.close()
            return
        while len(idle) >= self.max_idle:
            _remove_least_useful(idle).close()
        connection.idle_since_ms = monotonic_ms()
        idle.append(connection)

    def connected_since_ms(self, instance: StartId) -> int | None:
        """Return when the oldest open connection to an endpoint was opened; None without any."""
        connections = (*self._busy.get(instance, ()), *self._idle.get(instance, ()))
        return min((each.opened_ms for each in connections if each.is_open), default=None)

    def close_except(self, instances: set[StartId]) -> None:
        """Close idle connections except those to the given starts of endpoints."""
        for instance in [name for name in self._idle if name not in instances]:
            for connection in self._idle.pop(instance):
                connection.close()

    def close_idle(self, instance: StartId) -> None:
        """Close the idle connections to one start."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def close_instance(self, instance: StartId) -> None:
        """Abort all exchanges with a start that a later one has replaced.

        Otherwise a request to an endpoint that stopped without a reset would wait for its timeout,
        up to its caller's deadline.
        """
        for connection in self._busy.pop(instance, ()):
            connection.abort_exchange(ExchangeErrorCause.RESTARTED)
        self.close_idle(instance)

    def limit_idle(self, nodes: int, max_connections: int) -> None:
        """Limit idle connections so that all nodes together use half of an endpoint's maximum."""
        self.max_idle = max(1, min(MAX_IDLE_CONNECTIONS, max_connections // (2 * max(1, nodes))))

    def close(self) -> None:
        """Close all idle connections."""
        self.close_except(set())


def _remove_least_useful(idle: deque[EndpointConnection]) -> EndpointConnection:
    """Remove the oldest connection that serves only control calls, or else the oldest one."""
    found = next((each for each in idle if each.control_calls_only), idle[0])
    idle.remove(found)
    return found


def _may_carry(connection: EndpointConnection, request_id: str | None, control_call: bool) -> bool:
    if connection.control_calls_only and not control_call:
        return False
    if control_call and monotonic_ms() < connection.control_calls_from_ms:
        return False
    return connection.matcher.may_carry(request_id)
