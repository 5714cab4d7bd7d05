"""Calls to the platform's servers: paths, header fields, and bodies of calls and replies."""

import logging
from collections.abc import Callable
from typing import Annotated, TypeVar

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.clocks import extend_for_lag
from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.endpoint_identity import Identification
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.messages import (
    CallerRequest,
    KvHandle,
    KvHold,
    NotExecuted,
)
from saffronworks.forwarding.paths.service import PathService
from saffronworks.forwarding.paths.tuning import CHECK_TIMEOUT_MS
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.tuning import CALL_TIMEOUT_MS
from saffronworks.platform.answers import AnswerReader, PlatformExchange
from saffronworks.platform.control_calls import ControlCaller, UnmatchedAnswerError
from saffronworks.platform.identity_calls import identify
from saffronworks.platform.recent_holds import RecentHolds
from saffronworks.platform.relayed_calls import RelayedCalls
from saffronworks.platform.request_sends import RequestSender
from saffronworks.wire import DECODE_ERRORS, Whole

__all__ = ["PlatformCalls", "read_reply"]

logger = logging.getLogger(__name__)

_ORDER_ACCEPTED = (200, 202)


# Put into paths and header fields: visible ASCII characters.
_Handle = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,255}\Z")]


@attrs.frozen
class _HoldReply:
    # Reservation id.
    hold: _Handle


@attrs.frozen
class _PrefillReply:
    kv_handle: _Handle
    # Prompt tokens that the handle covers.
    tokens: Whole = 0


_Reply = TypeVar("_Reply", _HoldReply, _PrefillReply)


class PlatformCalls:
    """Implements the calls to endpoints in the platform's protocol."""

    def __init__(
        self,
        eligibility: EndpointEligibility,
        paths: PathService,
        health_path: Callable[[str], str | None] = lambda service: None,
    ) -> None:
        """`health_path` returns the path of a service's health checks, None if there is none."""
        self.paths = paths
        self._health_path = health_path
        answers = AnswerReader(eligibility)
        self._sender = RequestSender(eligibility, paths, answers)
        self._control = ControlCaller(paths, self._sender, answers)
        self.relayed = RelayedCalls(eligibility, paths, answers)
        self._holds = RecentHolds()

    @property
    def pool(self) -> ConnectionPool:
        """The direct connections to servers."""
        return self.paths.connector.pool

    async def find_fault_site(self, endpoint: ServiceEndpoint, broken: ExchangeError) -> FaultSite:
        """Return whether the server caused a failure, or the path to it."""
        return await self.paths.find_site(endpoint, broken)

    async def send(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> PlatformExchange:
        """Forward a request; `left_ms` is the time until its deadline."""
        return await self._sender.start(endpoint, request, left_ms, [])

    async def open_stream(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        left_ms: int,
        hold: KvHold | None,
        handle: KvHandle | None,
        after_event: int | None,
    ) -> PlatformExchange:
        """Start a generation on a decode server.

        `hold` is its memory reservation there, `handle` the KV cache of its prompt on a prefill
        server. `after_event` resumes a stream after the event with this id.
        """
        extra = []
        if hold is not None:
            extra.append(("Kv-Hold", hold.hold_id))
        if handle is not None:
            extra.append(("Kv-Source", f"{handle.endpoint.address}/{handle.handle_id}"))
        if after_event is not None:
            extra.append(("Last-Event-Id", str(after_event)))
        return await self._sender.start(
            endpoint, request, left_ms, extra, reserved=hold is not None
        )

    async def take_hold(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        tokens: int,
        ttl_ms: int,
        now_ms: int,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> Result[KvHold, NotExecuted]:
        """Reserve a slot and KV cache for `tokens` on a decode server, for `ttl_ms`."""
        body = {"tokens": tokens, "ttl_ms": ttl_ms}
        path = "/saffronworks/hold-take"
        try:
            status, content = await self._control.call(
                endpoint,
                "POST",
                path,
                body,
                request,
                timeout_ms=timeout_ms,
                check=self._is_new_hold,
            )
        except UnmatchedAnswerError:
            return Err(NotExecuted("unmatched-answer"))
        if status != 200:
            return Err(NotExecuted(f"status {status}"))
        reply = read_reply(content, _HoldReply)
        return reply.map(lambda found: KvHold(endpoint, found.hold, now_ms + ttl_ms))

    def _is_new_hold(self, endpoint: ServiceEndpoint, content: bytes) -> bool:
        """Return whether an answer may be the one to this call, not a copy of an earlier one.

        Two requests would share the reservation, which serves once.
        """
        reply = read_reply(content, _HoldReply)
        return isinstance(reply, Ok) and self._holds.add(endpoint.instance, reply.ok_value.hold)

    async def drop_hold(self, hold: KvHold) -> None:
        """Release a reservation; if that fails, it expires by itself."""
        await self._drop(hold.endpoint, f"/saffronworks/hold-drop/{hold.hold_id}")

    async def prefill(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> Result[KvHandle, NotExecuted]:
        """Run the prefill of a prompt; returns the handle of its KV cache."""
        exchange = await self._sender.start(
            endpoint, request, left_ms, [("Stage", Role.PREFILL.value)]
        )
        try:
            head = await exchange.head(left_ms)
            body = await exchange.connection.body(extend_for_lag(CALL_TIMEOUT_MS))
        finally:
            exchange.end()
        if not head.success:
            return Err(NotExecuted(f"status {head.status}", head.asks_pause))
        reply = read_reply(body, _PrefillReply)
        return reply.map(lambda found: KvHandle(endpoint, found.kv_handle, found.tokens))

    async def drop_handle(self, handle: KvHandle) -> None:
        """Free the KV cache of a prompt that is not needed; if that fails, it expires by itself."""
        await self._drop(handle.endpoint, f"/saffronworks/kv-handle/{handle.handle_id}")

    async def listens(self, endpoint: ServiceEndpoint) -> bool | None:
        """Return whether the address accepts connections, None if there is no reply at all."""
        return await self.paths.listens(endpoint)

    async def probe_process(self, endpoint: ServiceEndpoint) -> ProcessState:
        """Return whether the process of an endpoint goes on, asked for its report.

        The call goes out on a new connection, on which no copy of an earlier answer can come.
        """
        try:
            await self._control.call(
                endpoint,
                "GET",
                "/saffronworks/report",
                None,
                connect_timeout_ms=CHECK_TIMEOUT_MS,
            )
        except ExchangeError as broken:
            if not broken.sent:
                return ProcessState.UNREACHABLE
            if broken.cause is ExchangeErrorCause.SILENT:
                return ProcessState.SUSPENDED
        return ProcessState.RUNS

    async def identify(self, endpoint: ServiceEndpoint) -> Identification:
        """Return who answers at the address of an endpoint."""
        return await identify(self.paths, endpoint, self._health_path(endpoint.service))

    async def order_role(
        self, endpoint: ServiceEndpoint, role: Role, holder: str, fence: int, send_until_ms: int
    ) -> Result[None, NotExecuted]:
        """Order a server to change its role; `fence` is the fencing token of `holder`.

        Raises ExchangeError, also if it can't be sent until `send_until_ms` of the steady clock.

        Orders are never relayed: servers take those of two machines for orders of two holders.
        They use new connections, as a copy of another call's success would count as acceptance.
        """
        body = {
            "operation": "stage",
            "stage": role.value,
            "holder": holder,
            "fencing_token": fence,
        }
        path = "/saffronworks/order"
        status, _ = await self._control.call(
            endpoint, "POST", path, body, send_until_ms=send_until_ms
        )
        return Ok(None) if status in _ORDER_ACCEPTED else Err(NotExecuted(f"status {status}"))

    async def _drop(self, endpoint: ServiceEndpoint, path: str) -> None:
        try:
            status, _ = await self._control.call(endpoint, "DELETE", path, None)
        except ExchangeError as broken:
            logger.info(
                "event=drop_failed endpoint=%s path=%s cause=%s",
                endpoint.instance,
                path,
                broken.cause,
            )
            return
        logger.debug("event=dropped endpoint=%s path=%s status=%d", endpoint.instance, path, status)


def read_reply(content: bytes, kind: type[_Reply]) -> Result[_Reply, NotExecuted]:
    """Decode the JSON body of a server's answer to one of the node's own calls."""
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except DECODE_ERRORS as error:
        return Err(NotExecuted(f"unreadable: {error}"))
