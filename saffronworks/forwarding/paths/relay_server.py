"""Passes requests of other nodes on to endpoints that those nodes don't reach."""

import logging
from collections.abc import Callable

import anyio
import attrs
from result import Err, Ok

from saffronworks.body_memory import BodyMemory, BodyMemoryFull
from saffronworks.field_numbers import read_whole
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.paths.messages import (
    RELAY_FIELD,
    Reach,
    RelayReply,
    RelayRequest,
    decode_request,
    encode,
)
from saffronworks.forwarding.paths.service import PathService
from saffronworks.forwarding.paths.table import PathState
from saffronworks.forwarding.paths.tuning import (
    MAX_RELAY_MS,
    MAX_RELAYED_BODY_BYTES,
    MAX_RELAYED_REQUESTS,
)
from saffronworks.forwarding.ports import RelayCalls, RelayedRequest
from saffronworks.hop_by_hop import HOP_BY_HOP_FIELDS, drop_length_of_bodiless
from saffronworks.web import BadBody, Call, SlowBody

__all__ = ["RelayServer"]

logger = logging.getLogger(__name__)

_HOP_BY_HOP = HOP_BY_HOP_FIELDS | {"proxy-connection"}
_BAD_GATEWAY = 502


class RelayServer:
    """Answers the relay requests of other nodes. A relayed request is never relayed again.

    While `closing`, no further ones are accepted.
    """

    def __init__(
        self,
        directory: Directory,
        paths: PathService,
        calls: RelayCalls,
        max_body_bytes: Callable[[], int],
        now_ms: Callable[[], int],
        bodies: BodyMemory | None = None,
    ):
        self.open_requests = 0
        self.open_body_bytes = 0
        self.closing = False
        self._ended = False
        self._scopes: set[anyio.CancelScope] = set()
        self._directory = directory
        self._paths = paths
        self._calls = calls
        self._max_body_bytes = max_body_bytes
        self._now_ms = now_ms
        self._bodies = bodies or BodyMemory()

    async def handle(self, call: Call) -> None:
        """Answer one request of another node."""
        request = _read(call)
        if request is None:
            await call.reply(400, {"error": f"the first field must be {RELAY_FIELD}"})
            return
        endpoint = self._directory.endpoints.get(request.endpoint)
        if request.check:
            await self._answer_check(call, endpoint)
        elif endpoint is None:
            await self._refuse(call, "unknown-endpoint")
        elif self._is_full or not self._has_room_for(body_bytes := _body_bytes(call)):
            await self._refuse(call, "stopping" if self.closing else "busy")
        else:
            # Counted before the body is read, as reading takes memory too.
            self.open_requests += 1
            self.open_body_bytes += body_bytes
            try:
                await self._relay_while_wanted(call, request, endpoint)
            finally:
                self.open_requests -= 1
                self.open_body_bytes -= body_bytes

    def end_open_requests(self) -> None:
        """Refuse or cut all open requests, as the process ends."""
        self._ended = True
        for scope in self._scopes:
            scope.cancel()

    @property
    def _is_full(self) -> bool:
        return self.closing or self.open_requests >= MAX_RELAYED_REQUESTS

    def _has_room_for(self, body_bytes: int) -> bool:
        total_bytes = self.open_body_bytes + body_bytes
        return not self.open_requests or total_bytes <= MAX_RELAYED_BODY_BYTES

    async def _answer_check(self, call: Call, endpoint: ServiceEndpoint | None) -> None:
        reply = RelayReply() if endpoint is None else await self._find_reach(endpoint)
        await _reply(call, 200, reply)

    async def _find_reach(self, endpoint: ServiceEndpoint) -> RelayReply:
        """Connect anew: an earlier answer doesn't show that the endpoint still listens."""
        if self._is_full:
            return RelayReply()
        if self._paths.table.state(endpoint.instance, self._now_ms()) is PathState.RELAYED:
            return RelayReply(ask=self._paths.peers.known_reaching(endpoint.instance) or "")
        if await self._paths.connects(endpoint):
            return RelayReply(reach=Reach.YES)
        if await self._paths.proves_own_paths(endpoint):
            return RelayReply(reach=Reach.NO)
        return RelayReply()

    async def _refuse(
        self, call: Call, failure: str, sent: bool = False, request_id: str | None = None
    ) -> None:
        logger.log(
            logging.WARNING if self.closing and sent else logging.INFO,
            "event=relay_refused request=%s reason=%s sent=%s open=%d",
            request_id,
            failure,
            sent,
            self.open_requests,
        )
        await _reply(call, _BAD_GATEWAY, RelayReply(failure=failure, sent=sent))

    async def _relay_while_wanted(
        self, call: Call, request: RelayRequest, endpoint: ServiceEndpoint
    ) -> None:
        """Relay a request until it is answered or the other node has closed its connection."""
        began_ms = self._now_ms()
        request = attrs.evolve(request, left_ms=_clamp_ms(request.left_ms))
        hold = call.body_hold = self._bodies.begin(began_ms)
        try:
            body = await self._read_body(call, request)
            if body is not None:
                left_ms = _clamp_ms(request.left_ms - (self._now_ms() - began_ms))
                request = attrs.evolve(request, left_ms=left_ms)
                await self._relay_until_left(call, request, endpoint, body)
        finally:
            hold.release(self._now_ms())

    async def _read_body(self, call: Call, request: RelayRequest) -> bytes | None:
        """Return the body; None if its request was refused."""
        try:
            # A cut path may hide that the other node has left.
            with anyio.fail_after(request.left_ms / 1000):
                return await call.body(self._max_body_bytes())
        except TimeoutError:
            await self._refuse(call, "body-timeout", request_id=request.request_id)
            call.close()
        except SlowBody:
            await self._refuse(call, "body-slow", request_id=request.request_id)
        except BadBody:
            await self._refuse(call, "body-too-large", request_id=request.request_id)
        except BodyMemoryFull:
            self._bodies.count_refusal("relayed")
            await self._refuse(call, "busy", request_id=request.request_id)
        return None

    async def _relay_until_left(
        self, call: Call, request: RelayRequest, endpoint: ServiceEndpoint, body: bytes
    ) -> None:
        if self.closing:
            await self._refuse(call, "stopping", request_id=request.request_id)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, call, tasks.cancel_scope)
            await self._relay_until_ended(call, request, endpoint, body)
            tasks.cancel_scope.cancel()

    async def _relay_until_ended(
        self, call: Call, request: RelayRequest, endpoint: ServiceEndpoint, body: bytes
    ) -> None:
        sent = anyio.Event()
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            if self._ended:
                scope.cancel()
            try:
                await self._relay(call, request, endpoint, body, sent)
            finally:
                self._scopes.remove(scope)
        if scope.cancelled_caught and call.started:
            logger.warning("event=relay_cut request=%s reason=stopping", request.request_id)
            call.cut()
        elif scope.cancelled_caught:
            await self._refuse(call, "stopping", sent.is_set(), request.request_id)

    async def _relay(
        self,
        call: Call,
        request: RelayRequest,
        endpoint: ServiceEndpoint,
        body: bytes,
        sent: anyio.Event,
    ) -> None:
        began_ms = self._now_ms()
        relayed = RelayedRequest(
            method=call.method,
            target=call.raw_path + (f"?{call.query}" if call.query else ""),
            fields=tuple(field for field in call.fields if field[0].lower() not in _HOP_BY_HOP),
            body=body,
            request_id=request.request_id,
            reserved=request.reserved,
            control_call=request.control_call,
            cancels=request.cancels,
            left_ms=request.left_ms,
        )
        try:
            connection = await self._calls.start_relayed(endpoint, relayed)
        except ExchangeError as broken:
            await self._refuse(call, broken.cause.value, broken.sent, relayed.request_id)
            return
        sent.set()
        try:
            await self._pass_on(call, connection, relayed, endpoint)
        except ExchangeError as broken:
            if call.started:
                call.cut()
            else:
                await self._refuse(call, broken.cause.value, broken.sent, relayed.request_id)
        finally:
            self._paths.connector.release(endpoint, connection)
        logger.info(
            "event=relay_ended request=%s endpoint=%s peer=%s took_ms=%d complete=%s",
            relayed.request_id,
            endpoint.instance,
            call.peer,
            self._now_ms() - began_ms,
            connection.finished,
        )

    async def _pass_on(
        self,
        call: Call,
        connection: EndpointConnection,
        relayed: RelayedRequest,
        endpoint: ServiceEndpoint,
    ) -> None:
        """Pass an answer on as it arrives; raises ExchangeError if it does not end in time."""
        # The other node ends at its caller's deadline; a cut path may hide that.
        ends_s = anyio.current_time() + relayed.left_ms / 1000
        head = await self._calls.read_relayed_head(endpoint, connection, relayed)
        await call.start_fields(head.status, _reply_fields(head, connection.framed))
        with anyio.CancelScope(deadline=ends_s):
            while (chunk := await connection.next_chunk()) is not None:
                await call.write(chunk)
            await call.write(b"", more=False)
            return
        raise ExchangeError(ExchangeErrorCause.ENDLESS, sent=True)


def _read(call: Call) -> RelayRequest | None:
    """Remove the relay field, which comes first, from a request and return its value."""
    if not call.fields or call.fields[0][0].lower() != RELAY_FIELD:
        return None
    decoded = decode_request(call.fields.pop(0)[1])
    if isinstance(decoded, Err):
        logger.warning("event=bad_relay_request peer=%s problem=%r", call.peer, decoded.err_value)
        return None
    return decoded.ok_value


def _body_bytes(call: Call) -> int:
    """Return the length of the body; one of unknown length counts as the most that is allowed."""
    if "transfer-encoding" in call.headers:
        return MAX_RELAYED_BODY_BYTES
    length = read_whole(call.headers.get("content-length", "0"))
    return length.ok_value if isinstance(length, Ok) else MAX_RELAYED_BODY_BYTES


def _clamp_ms(span_ms: int) -> int:
    return min(max(0, span_ms), MAX_RELAY_MS)


async def _reply(call: Call, status: int, reply: RelayReply) -> None:
    await call.start_fields(status, [(RELAY_FIELD, encode(reply)), ("content-length", "0")])
    await call.write(b"", more=False)


def _reply_fields(head: ResponseHead, framed: bool) -> list[tuple[str, str]]:
    fields = [(key, value) for key, value in head.fields if key.lower() not in _HOP_BY_HOP]
    own = (RELAY_FIELD, encode(RelayReply(framed=framed)))
    return [own, *drop_length_of_bodiless(head.status, fields)]


async def _cancel_on_disconnect(call: Call, scope: anyio.CancelScope) -> None:
    await call.wait_disconnected()
    scope.cancel()
