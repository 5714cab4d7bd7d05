"""Reads servers' answers: their status and headers, and what they advertise."""

import attrs

from saffronworks.clocks import monotonic_ms, wall_ms
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.advertisements import Advertisement
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import AnswerHead, Executed
from saffronworks.forwarding.paths.service import PathService
from saffronworks.hop_by_hop import HOP_BY_HOP_FIELDS
from saffronworks.platform.answer_fields import (
    ID_FIELD,
    INSTANCE_FIELD,
    NOT_EXECUTED_FIELD,
    SIGNATURE_FIELD,
    UnknownFields,
    is_not_executed,
    read_advertisement,
)
from saffronworks.platform.request_lines import MISDIRECTED

__all__ = ["AnswerReader", "PlatformExchange", "check_status"]

_MAX_STATUS = 599
# Header fields of an answer that are hop-by-hop or addressed to this node only.
_DROPPED_FIELDS = HOP_BY_HOP_FIELDS | {NOT_EXECUTED_FIELD, INSTANCE_FIELD}


class AnswerReader:
    """Records what answers advertise about their servers."""

    def __init__(self, eligibility: EndpointEligibility):
        self._eligibility = eligibility
        self._unknown = UnknownFields()

    def read(
        self, endpoint: ServiceEndpoint, raw: ResponseHead, sent_ms: int, is_request: bool = True
    ) -> Advertisement | None:
        """Record an answer; `is_request` is false for this node's own calls."""
        self._unknown.check(raw, endpoint.instance)
        advertisement = read_advertisement(raw, sent_ms, wall_ms(), is_request)
        if advertisement is not None:
            self._eligibility.observe(endpoint, advertisement)
        return advertisement


class PlatformExchange:
    """One request sent to one server, and its answer."""

    def __init__(
        self,
        paths: PathService,
        endpoint: ServiceEndpoint,
        connection: EndpointConnection,
        answers: AnswerReader,
    ):
        self.connection = connection
        self._paths = paths
        self._endpoint = endpoint
        self._answers = answers
        self._sent_ms = monotonic_ms()

    @property
    def framed(self) -> bool:
        """False if only the end of the connection ends the answer: no length, no chunks."""
        return self.connection.framed and self.connection.framed_by_endpoint

    async def head(self, timeout_ms: float) -> AnswerHead:
        """Read the status and the headers of the answer; raises ExchangeError."""
        raw = await self._paths.read_head(self._endpoint, self.connection, timeout_ms)
        check_status(raw, self.connection)
        advertisement = self._answers.read(self._endpoint, raw, self._sent_ms)
        head = _decode_head(raw)
        if advertisement is not None and advertisement.pause_ms:
            return attrs.evolve(head, asks_pause=True)
        return head

    async def next_chunk(self, timeout_ms: float | None = None) -> bytes | None:
        """Read the next part of the body, None at its end; raises ExchangeError."""
        return await self.connection.next_chunk(timeout_ms)

    def end(self) -> None:
        """Return the connection to the pool, or close it if the answer is incomplete."""
        self._paths.connector.release(self._endpoint, self.connection)


def check_status(raw: ResponseHead, connection: EndpointConnection) -> None:
    """Raise ExchangeError for a status that HTTP doesn't have, which can't be sent to a caller."""
    if raw.status > _MAX_STATUS:
        raise ExchangeError(ExchangeErrorCause.NOT_HTTP, True, connection.relayed_by)


def _decode_head(raw: ResponseHead) -> AnswerHead:
    not_executed = is_not_executed(raw)
    # No request accepts an encoding, so an encoded body was not made by the endpoint.
    identified = raw.get(ID_FIELD) is not None and raw.get(SIGNATURE_FIELD) is not None
    signed = identified and raw.get("content-encoding") is None
    return AnswerHead(
        status=raw.status,
        headers=tuple(
            (key, value) for key, value in raw.fields if key.lower() not in _DROPPED_FIELDS
        ),
        executed=Executed.NO if not_executed else Executed.YES,
        signed=signed,
        reason=f"status-{raw.status}" if not_executed else "",
        misdirected=raw.status == MISDIRECTED,
        found_name=raw.get(INSTANCE_FIELD) if raw.status == MISDIRECTED else None,
    )
