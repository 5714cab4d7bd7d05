"""Sends requests of callers to servers."""

import logging

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.paths.messages import RelayRequest
from saffronworks.forwarding.paths.service import PathService
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.platform.answers import AnswerReader, PlatformExchange
from saffronworks.platform.request_lines import EXPECT_INSTANCE, add_relay, join_request

__all__ = ["RequestSender"]

logger = logging.getLogger(__name__)

# The organisation that owns the caller's key, called a tenant by the platform.
_TENANT_FIELD = "Tenant"


class RequestSender:
    """Sends requests of callers to servers that accept them, directly or through another node."""

    def __init__(
        self, eligibility: EndpointEligibility, paths: PathService, answers: AnswerReader
    ) -> None:
        self._eligibility = eligibility
        self._paths = paths
        self._answers = answers

    async def start(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        left_ms: int,
        extra: list[tuple[str, str]],
        reserved: bool = False,
    ) -> PlatformExchange:
        """Send a request, with the fields in `extra` instead of its own; raises ExchangeError.

        `left_ms` is the time until its deadline. A `reserved` one has a reservation at the server.
        """
        began_ms = monotonic_ms()
        connection = await self.connect(endpoint, request, reserved)
        left_ms = max(1, left_ms - (monotonic_ms() - began_ms))
        relay = RelayRequest(
            endpoint.instance,
            request_id=request.request_id,
            reserved=reserved,
            left_ms=left_ms,
        )
        lines = _request_lines(endpoint, request, left_ms, extra)
        head = join_request(add_relay(lines, connection, relay))
        bodiless = request.method == "HEAD"
        try:
            connection.send(head, request.request_id, bodiless, request.body)
        except ExchangeError:
            self._paths.connector.release(endpoint, connection)
            raise
        return PlatformExchange(self._paths, endpoint, connection, self._answers)

    async def connect(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        reserved: bool = False,
        control_call: bool = False,
    ) -> EndpointConnection:
        """Return a connection if the endpoint still accepts this request; raises ExchangeError."""
        echoed_id = None if control_call else request.request_id
        connection = await self._paths.connector.acquire(endpoint, echoed_id, control_call)
        try:
            self._eligibility.check_send(endpoint, request.request_id, reserved)
        except ExchangeError:
            self._paths.connector.release(endpoint, connection)
            raise
        if connection.relayed_by is not None:
            logger.info(
                "event=request_relayed request=%s endpoint=%s peer=%s control_call=%s",
                request.request_id,
                endpoint.instance,
                connection.relayed_by,
                control_call,
            )
        return connection


def _request_lines(
    endpoint: ServiceEndpoint,
    request: CallerRequest,
    left_ms: int,
    extra: list[tuple[str, str]],
) -> list[str]:
    replaced = {name.lower() for name, _ in extra}
    lines = [f"{request.method} {request.target} HTTP/1.1", f"Host: {request.host}"]
    lines += [f"{key}: {value}" for key, value in request.headers if key.lower() not in replaced]
    lines += [f"{key}: {value}" for key, value in extra]
    lines.append(f"{ID_FIELD}: {request.request_id}")
    lines.append(f"Deadline-Ms: {max(1, left_ms)}")
    lines.append(f"{EXPECT_INSTANCE}: {endpoint.name}")
    if request.organisation is not None:
        lines.append(f"{_TENANT_FIELD}: {request.organisation.name}")
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    return lines
