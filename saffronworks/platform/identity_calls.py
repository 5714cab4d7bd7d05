"""Asks which server answers at an address."""

import logging

from saffronworks.clocks import extend_for_lag, monotonic_ms
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_identity import AddressAnswer, Identification
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.paths.messages import RelayRequest
from saffronworks.forwarding.paths.service import PathService
from saffronworks.forwarding.tuning import CALL_TIMEOUT_MS
from saffronworks.platform.answer_fields import INSTANCE_FIELD
from saffronworks.platform.request_lines import (
    EXPECT_INSTANCE,
    MISDIRECTED,
    add_relay,
    join_request,
)

__all__ = ["identify"]

logger = logging.getLogger(__name__)


async def identify(
    paths: PathService, endpoint: ServiceEndpoint, health_path: str | None
) -> Identification:
    """Return which server answers a health check at the address of an endpoint.

    An idle connection is preferred, as a reply over it also shows that the process goes on.
    Without a health path, or if no answer comes in time, only whether the address accepts
    connections is known.
    """
    if health_path is not None:
        idle = paths.connector.pool.acquire_idle(endpoint, None, control_call=True)
        found = await _ask(paths, endpoint, idle, health_path) if idle is not None else None
        if found is not None:
            return found
    listens = await paths.listens(endpoint)
    if not listens:
        return Identification(AddressAnswer.SILENT if listens is None else AddressAnswer.REFUSES)
    if health_path is None:
        return Identification(AddressAnswer.LISTENS)
    try:
        connection = await paths.connector.acquire(endpoint, None, control_call=True)
    except ExchangeError:
        return Identification(AddressAnswer.SILENT)
    found = await _ask(paths, endpoint, connection, health_path)
    return found or Identification(AddressAnswer.LISTENS)


async def _ask(
    paths: PathService,
    endpoint: ServiceEndpoint,
    connection: EndpointConnection,
    health_path: str,
) -> Identification | None:
    """Send a health check; None if no answer comes."""
    lines = [
        f"GET {health_path} HTTP/1.1",
        f"Host: {endpoint.address}",
        f"{EXPECT_INSTANCE}: {endpoint.name}",
    ]
    relay = RelayRequest(
        endpoint.instance, control_call=True, cancels=True, left_ms=CALL_TIMEOUT_MS
    )
    began_ms, problem, head = monotonic_ms(), None, None
    try:
        connection.send(join_request(add_relay(lines, connection, relay), b""), None)
        limit_ms = extend_for_lag(CALL_TIMEOUT_MS)
        head = await paths.read_head(endpoint, connection, limit_ms)
        await connection.body(limit_ms)
    except ExchangeError as error:
        problem = error.cause.value
    finally:
        paths.connector.release(endpoint, connection)
    found = _read_answer(endpoint, connection, head) if head is not None else None
    logger.info(
        "event=endpoint_identified endpoint=%s found=%s status=%s answered_by=%s relayed_by=%s "
        "connection_age_ms=%d took_ms=%d problem=%s",
        endpoint.instance,
        found.answer.value if found is not None else None,
        head.status if head is not None else None,
        head.get(INSTANCE_FIELD) if head is not None else None,
        connection.relayed_by,
        began_ms - connection.opened_ms,
        monotonic_ms() - began_ms,
        problem,
    )
    return found


def _read_answer(
    endpoint: ServiceEndpoint, connection: EndpointConnection, head: ResponseHead
) -> Identification:
    """Return who answered. An answer without an id is the endpoint's: others answer 421."""
    answered_by = head.get(INSTANCE_FIELD)
    is_other = answered_by not in (None, endpoint.name)
    connected_ms = connection.opened_ms if connection.relayed_by is None else None
    other = is_other or head.status == MISDIRECTED
    return Identification(
        AddressAnswer.OTHER_NAME if other else AddressAnswer.SAME_NAME, connected_ms
    )
