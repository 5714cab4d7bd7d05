"""Sends the node's own calls to servers, and reads their answers whole."""

from collections.abc import Callable

import msgspec

from saffronworks.clocks import extend_for_lag, monotonic_ms
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.paths.messages import RelayRequest
from saffronworks.forwarding.paths.service import PathService
from saffronworks.forwarding.tuning import CALL_TIMEOUT_MS, CONNECT_TIMEOUT_MS
from saffronworks.forwarding.unmatched_answers import Mismatch
from saffronworks.platform.answers import AnswerReader
from saffronworks.platform.request_lines import EXPECT_INSTANCE, add_relay, join_request
from saffronworks.platform.request_sends import RequestSender

__all__ = ["ControlCaller", "UnmatchedAnswerError"]

_CheckReply = Callable[[ServiceEndpoint, bytes], bool]
_MIN_FAILURE_STATUS = 400


class UnmatchedAnswerError(Exception):
    """An answer to one of the node's own calls that belongs to an earlier call."""


class ControlCaller:
    """Calls servers with requests of the node's own, directly or through another node."""

    def __init__(self, paths: PathService, sender: RequestSender, answers: AnswerReader) -> None:
        """`sender` connects the calls that belong to a caller's request."""
        self._paths = paths
        self._sender = sender
        self._answers = answers

    async def call(
        self,
        endpoint: ServiceEndpoint,
        method: str,
        path: str,
        body: object,
        request: CallerRequest | None = None,
        send_until_ms: int | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
        check: _CheckReply | None = None,
        connect_timeout_ms: int | None = None,
    ) -> tuple[int, bytes]:
        """Send one of the node's own calls; returns status and body, raises ExchangeError.

        Raises UnmatchedAnswerError if `check` rejects the body of a success. `request` is that
        of the caller that the call belongs to, None for calls that release reservations and KV
        caches, order a role or ask for a report. With `send_until_ms` or `connect_timeout_ms`, it
        goes out directly on a new connection, not later than that, or if this opens in time.
        """
        connector = self._paths.connector
        content = b"" if body is None else msgspec.json.encode(body)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {endpoint.address}",
            f"{EXPECT_INSTANCE}: {endpoint.name}",
            f"Content-Length: {len(content)}",
        ]
        if content:
            lines.append("Content-Type: application/json")
        if request is not None:
            connection = await self._sender.connect(endpoint, request, control_call=True)
        elif send_until_ms is not None:
            connection = await self._connect_until(endpoint, send_until_ms)
        elif connect_timeout_ms is not None:
            connection = await connector.open_single_use(endpoint, connect_timeout_ms)
        else:
            connection = await connector.acquire(endpoint, None, control_call=True)
        sent_ms = monotonic_ms()
        relay = RelayRequest(
            endpoint.instance,
            control_call=True,
            cancels=request is None,
            left_ms=timeout_ms,
        )
        try:
            connection.send(join_request(add_relay(lines, connection, relay), content), None)
            limit_ms = extend_for_lag(timeout_ms)
            head = await self._paths.read_head(endpoint, connection, limit_ms)
            reply = await connection.body(limit_ms)
            accepted = head.status < _MIN_FAILURE_STATUS
            if accepted and check is not None and not check(endpoint, reply):
                # The answer to this call follows, and must answer no other one.
                connection.reusable = False
                connection.matcher.record(Mismatch.OTHER_CALL, head.status)
                raise UnmatchedAnswerError
        finally:
            connector.release(endpoint, connection)
        # Only answers to requests can end a rate limit.
        self._answers.read(endpoint, head, sent_ms, is_request=False)
        return head.status, reply

    async def _connect_until(self, endpoint: ServiceEndpoint, until_ms: int) -> EndpointConnection:
        """Return a new connection; raises ExchangeError if it comes later than `until_ms`."""
        connection = await self._paths.connector.open_single_use(endpoint, CONNECT_TIMEOUT_MS)
        if monotonic_ms() > until_ms:
            self._paths.connector.release(endpoint, connection)
            raise ExchangeError(ExchangeErrorCause.WITHHELD, sent=False)
        return connection
