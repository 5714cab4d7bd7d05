"""The pool of a node's connections to endpoints, idle and busy."""

import asyncio
import logging
from collections import deque

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.paths.table import PathTable
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    CONNECT_TIMEOUT_MS,
    MAX_IDLE_CONNECTIONS,
)
from saffronworks.web import parse_address

__all__ = ["ConnectionPool"]

logger = logging.getLogger(__name__)


class ConnectionPool:
    """Pools connections by start of an endpoint, as another endpoint may reuse the address."""

    def __init__(self, id_field: str):
        self._id_field = id_field
        self._idle: dict[StartId, deque[EndpointConnection]] = {}
        self._busy: dict[StartId, set[EndpointConnection]] = {}
        self.max_idle = MAX_IDLE_CONNECTIONS
        self.paths = PathTable()

    async def acquire(
        self, endpoint: ServiceEndpoint, control_call: bool = False
    ) -> EndpointConnection:
        """Return an idle connection or open one; raises ExchangeError if that fails.

        `control_call`: for a call of the router itself, not for a caller's request.
        """
        connection = self._find_idle(endpoint, control_call) or await self._open(endpoint)
        self._busy.setdefault(endpoint.instance, set()).add(connection)
        return connection

    def _find_idle(
        self, endpoint: ServiceEndpoint, control_call: bool = False
    ) -> EndpointConnection | None:
        idle = self._idle.get(endpoint.instance, deque())
        skipped: list[EndpointConnection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            idle_ms = monotonic_ms() - connection.idle_since_ms
            if not connection.reusable or idle_ms >= connection.keep_alive_ms:
                connection.close()
            elif connection.control_calls_only and not control_call:
                skipped.append(connection)
            else:
                found = connection
        idle.extend(reversed(skipped))
        return found

    async def _open(self, endpoint: ServiceEndpoint) -> EndpointConnection:
        began_ms = monotonic_ms()
        try:
            connection = await self._connect(endpoint)
        except (OSError, TimeoutError) as error:
            self._note_failure(endpoint, error, began_ms)
            raise ExchangeError(ExchangeErrorCause.CONNECT, sent=False) from None
        self.paths.record_reached(endpoint.instance, monotonic_ms())
        return connection

    def _note_failure(self, endpoint: ServiceEndpoint, error: Exception, began_ms: int) -> None:
        now_ms = monotonic_ms()
        logger.info(
            "event=connect_failed endpoint=%s address=%s problem=%s took_ms=%d reached_ms_ago=%s",
            endpoint.instance,
            endpoint.address,
            type(error).__name__,
            now_ms - began_ms,
            self.paths.reached_ms_ago(endpoint.instance, now_ms),
        )
        self.paths.record_failed(endpoint.instance, now_ms)

    async def _connect(self, endpoint: ServiceEndpoint) -> EndpointConnection:
        host, port = parse_address(endpoint.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
            _, connection = await loop.create_connection(
                lambda: EndpointConnection(self._id_field), host, port
            )
        return connection

    async def listens(self, endpoint: ServiceEndpoint) -> bool | None:
        """Return whether the endpoint accepts a connection; None if nothing responds."""
        try:
            connection = await self._connect(endpoint)
        except (ConnectionRefusedError, ConnectionResetError):
            return False
        except (OSError, TimeoutError) as error:
            logger.info("event=look_failed endpoint=%s problem=%r", endpoint.instance, str(error))
            return None
        connection.close()
        return True

    def release(self, endpoint: ServiceEndpoint, connection: EndpointConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        busy = self._busy.get(endpoint.instance, set())
        busy.discard(connection)
        if not busy:
            self._busy.pop(endpoint.instance, None)
        idle = self._idle.setdefault(endpoint.instance, deque())
        if not connection.finished or (
            len(idle) >= self.max_idle and connection.control_calls_only
        ):
            connection.close()
            return
        self.paths.record_reached(endpoint.instance, monotonic_ms())
        # The oldest make room: connections only for control calls must not displace usable ones.
        while len(idle) >= self.max_idle:
            idle.popleft().close()
        connection.idle_since_ms = monotonic_ms()
        idle.append(connection)

    def close_except(self, instances: set[StartId]) -> None:
        """Close idle connections except those to the given starts of endpoints."""
        self.paths.forget_all_but(instances)
        for instance in [name for name in self._idle if name not in instances]:
            for connection in self._idle.pop(instance):
                connection.close()

    def close_instance(self, instance: StartId) -> None:
        """Abort all exchanges with a start that a later one has replaced.

        Otherwise a request to an endpoint that stopped without a reset would wait for its timeout,
        up to its caller's deadline.
        """
        for connection in self._busy.pop(instance, ()):
            connection.abort_exchange(ExchangeErrorCause.RESTARTED)
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def limit_idle(self, nodes: int, max_connections: int) -> None:
        """Limit idle connections so that all nodes together use half of an endpoint's maximum."""
        self.max_idle = max(1, min(MAX_IDLE_CONNECTIONS, max_connections // (2 * max(1, nodes))))

    def close(self) -> None:
        """Close all idle connections."""
        self.close_except(set())
