"""Sends the requests that other nodes relay through this one."""

from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.paths.service import PathService
from saffronworks.forwarding.paths.tuning import CHECK_TIMEOUT_MS
from saffronworks.forwarding.ports import RelayedRequest
from saffronworks.platform.answers import AnswerReader, check_status
from saffronworks.platform.request_lines import join_request

__all__ = ["RelayedCalls"]


class RelayedCalls:
    """Implements the calls to endpoints for other nodes."""

    def __init__(
        self, eligibility: EndpointEligibility, paths: PathService, answers: AnswerReader
    ) -> None:
        self._eligibility = eligibility
        self._paths = paths
        self._answers = answers

    async def start_relayed(
        self, endpoint: ServiceEndpoint, relayed: RelayedRequest
    ) -> EndpointConnection:
        """Send a request of another node over a direct connection; raises ExchangeError."""
        connection = await self._connect_relayed(endpoint, relayed)
        try:
            if not relayed.cancels:
                self._eligibility.check_send(endpoint, relayed.request_id or "", relayed.reserved)
            lines = [f"{relayed.method} {relayed.target} HTTP/1.1"]
            lines += [f"{key}: {value}" for key, value in relayed.fields]
            bodiless = relayed.method == "HEAD"
            connection.send(join_request(lines), relayed.request_id, bodiless, relayed.body)
        except ExchangeError:
            self._paths.connector.release(endpoint, connection)
            raise
        return connection

    async def _connect_relayed(
        self, endpoint: ServiceEndpoint, relayed: RelayedRequest
    ) -> EndpointConnection:
        connector = self._paths.connector
        if relayed.control_call:
            # A node recognises a copy of a granted reservation only if it took that itself.
            return await connector.open_single_use(endpoint, CHECK_TIMEOUT_MS)
        return await connector.acquire_direct(endpoint, relayed.request_id, False, CHECK_TIMEOUT_MS)

    async def read_relayed_head(
        self, endpoint: ServiceEndpoint, connection: EndpointConnection, relayed: RelayedRequest
    ) -> ResponseHead:
        """Read the status and headers of the answer to `start_relayed`; raises ExchangeError."""
        raw = await self._paths.read_head(endpoint, connection, relayed.left_ms)
        check_status(raw, connection)
        self._answers.read(endpoint, raw, connection.sent_ms, not relayed.control_call)
        return raw
