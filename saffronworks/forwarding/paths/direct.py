"""Direct connections to endpoints; each attempt is recorded in the path table."""

import logging
from collections.abc import Callable

from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.paths.table import PathState, PathTable
from saffronworks.overload.connect_delay import ConnectDelay

__all__ = ["DirectConnections"]

logger = logging.getLogger(__name__)


class DirectConnections:
    """Opens and keeps direct connections; `delay` has the times that new ones took."""

    def __init__(self, pool: ConnectionPool, table: PathTable, now_ms: Callable[[], int]):
        self.pool = pool
        self.delay = ConnectDelay()
        self._table = table
        self._now_ms = now_ms
        # Called when the state of a path has changed.
        self.on_change: Callable[[], None] = lambda: None

    async def open(
        self,
        endpoint: ServiceEndpoint,
        timeout_ms: float,
        check: bool = False,
        record_failure: bool = True,
    ) -> EndpointConnection | OSError:
        """Return a connection, or why there is none; `check`: no request waits for it."""
        began_ms = self._now_ms()
        try:
            connection = await self.pool.open(endpoint, timeout_ms)
        except OSError as error:
            self._log_failure(endpoint, error, began_ms)
            if record_failure:
                self._table.record_failed(endpoint.instance, self._now_ms())
                self.log_changes()
            return error
        now_ms = self._now_ms()
        self.delay.record(endpoint.address, now_ms - began_ms, now_ms)
        self._table.record_opened(endpoint.instance, now_ms, check)
        self.log_changes()
        return connection

    def _log_failure(self, endpoint: ServiceEndpoint, error: OSError, began_ms: int) -> None:
        now_ms = self._now_ms()
        logger.info(
            "event=connect_failed endpoint=%s address=%s problem=%s took_ms=%d reached_ms_ago=%s",
            endpoint.instance,
            endpoint.address,
            type(error).__name__,
            now_ms - began_ms,
            self._table.reached_ms_ago(endpoint.instance, now_ms),
        )

    def release(self, endpoint: ServiceEndpoint, connection: EndpointConnection) -> None:
        """Keep a connection whose exchange is complete; close any other."""
        if connection.finished and connection.uses:
            self._table.record_answered(endpoint.instance, self._now_ms())
        self.pool.release(endpoint, connection)

    def log_changes(self) -> None:
        """Log the changes of paths, and close idle connections over those that were cut."""
        for change in self._table.pop_changes():
            logger.info(
                "event=path_changed endpoint=%s before=%s state=%s after=%s reached_ms_ago=%s "
                "peers=%s",
                change.instance,
                change.before,
                change.state,
                change.after,
                change.reached_ms_ago,
                ",".join(change.peers) or None,
            )
            if change.state is PathState.RELAYED:
                self.pool.close_idle(change.instance)
            self.on_change()
