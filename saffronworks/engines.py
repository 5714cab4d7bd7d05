"""The adapter to model engines, over HTTP by httpcore."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import attrs
import httpcore
import msgspec
from result import Err, Ok, Result

from saffronworks.messages import RequestKey
from saffronworks.owner.ledgers import CacheEvents, LoadReport
from saffronworks.whole_bodies import OversizedBody, read_whole_body
from saffronworks.wire import DECODE_ERRORS, Whole

__all__ = [
    "Decode",
    "DecodeLine",
    "EngineClient",
    "EngineFailure",
    "Order",
    "Prefill",
    "PrefillReply",
    "Resume",
    "StreamRow",
]

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 3.0
# Most bytes of an answer to a call, and of one line of a stream.
MAX_BODY_BYTES = 8 * 1_048_576
MAX_LINE_BYTES = 262_144
MOST_CONNECTIONS = 1000
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


@attrs.frozen
class EngineFailure:
    """Why a call failed; `executed` is False only when the engine cannot have started."""

    kind: str
    executed: bool
    status: int = 0


@attrs.frozen
class Prefill:
    """A prefill call. `answered` is computed after the prompt, and the run goes on from there.

    These are the `delivered` tokens that the caller has. An engine that made them anew from their
    number could come to others, and what follows would not be an answer to what the caller read.
    An engine that has not begun it within `begin_within_ms` refuses it unexecuted.
    """

    request_id: str
    attempt: int
    holder: str
    prompt: str
    prefix_key: str
    prefix_tokens: int
    delivered: int
    begin_within_ms: int
    answered: tuple[str, ...] = ()


@attrs.frozen
class PrefillReply:
    """A KV result that stands ready for `expires_in_ms`."""

    kv_id: str
    prefill_ms: Whole
    cached_tokens: Whole
    expires_in_ms: Whole


@attrs.frozen
class Decode:
    """A decode call: import the KV result from `source`, stream from `offset`.

    An engine that has not imported it within `import_within_ms` gives its slot up.
    """

    request_id: str
    attempt: int
    holder: str
    prompt: str
    max_tokens: int
    source: str
    kv_id: str
    offset: int
    import_within_ms: int


@attrs.frozen
class Resume:
    """Attach again to a running stream."""

    request_id: str
    attempt: int
    offset: int


@attrs.frozen
class Order:
    """A fenced order to take a role; one owner's orders are told apart by `sequence`."""

    role: str
    fence: int
    sequence: int


@attrs.frozen
class DecodeLine:
    """One line of a decode stream; which fields are set tells what it says."""

    imported: bool = False
    transfer_ms: Whole = 0
    offset: Whole = 0
    tokens: tuple[str, ...] = ()
    done: bool = False
    total: Whole | None = None
    cancelled: bool = False


@attrs.frozen
class StreamRow:
    """One live stream as the engine lists it."""

    request_id: str
    attempt: Whole
    holder: str


@attrs.frozen
class _RefusalBody:
    refused: str = ""
    executed: bool = False


_line_decoder = msgspec.json.Decoder(DecodeLine)


class EngineClient:
    """Calls to engines, over one connection pool for each address.

    A pool searches all its connections at each call, so that one for all would cost more
    with each endpoint.
    """

    def __init__(self) -> None:
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def _find_pool(self, address: str) -> httpcore.AsyncConnectionPool:
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=MOST_CONNECTIONS, max_keepalive_connections=32, keepalive_expiry=20
            )
        return self._pools[address]

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    async def prefill(
        self, address: str, call: Prefill, limit_ms: int
    ) -> Result[PrefillReply, EngineFailure]:
        """Run a prefill to its end."""
        return await self._call("POST", address, "/engine/prefill", call, PrefillReply, limit_ms)

    async def cancel(self, address: str, key: RequestKey) -> Result[Any, EngineFailure]:
        """Cancel an attempt; Ok when the engine holds nothing of it any more."""
        limit_ms = int(CALL_TIMEOUT_S * 1000)
        return await self._call("POST", address, "/engine/cancel", key, dict, limit_ms)

    async def streams(self, address: str) -> Result[list[StreamRow], EngineFailure]:
        """The live streams of an engine."""
        limit_ms = int(CALL_TIMEOUT_S * 1000)
        kind = list[StreamRow]
        return await self._call("GET", address, "/engine/streams", None, kind, limit_ms)

    async def cache_events(self, address: str, since: int) -> Result[CacheEvents, EngineFailure]:
        """Prefixes that the engine evicted since a position; late, and with gaps."""
        limit_ms = int(CALL_TIMEOUT_S * 1000)
        path = f"/engine/events?since={since}"
        return await self._call("GET", address, path, None, CacheEvents, limit_ms)

    async def report(self, address: str) -> Result[LoadReport, EngineFailure]:
        """The engine's lagged load report."""
        limit_ms = int(CALL_TIMEOUT_S * 1000)
        return await self._call("GET", address, "/engine/report", None, LoadReport, limit_ms)

    async def order(self, address: str, order: Order) -> Result[Any, EngineFailure]:
        """Give an order; status 412 says that the engine knows a higher fence."""
        limit_ms = int(CALL_TIMEOUT_S * 1000)
        return await self._call("POST", address, "/engine/orders", order, dict, limit_ms)

    async def _call(
        self, method: str, address: str, path: str, body: object, kind: Any, limit_ms: int
    ) -> Result[Any, EngineFailure]:
        content = msgspec.json.encode(body) if body is not None else b""
        timeout = {"connect": CONNECT_TIMEOUT_S, "read": limit_ms / 1000, "pool": CALL_TIMEOUT_S}
        try:
            # Timeouts of httpcore are for each read or write.
            with anyio.fail_after(sum(timeout.values())):
                stream = self._find_pool(address).stream(
                    method,
                    f"http://{address}{path}",
                    headers=[(b"content-type", b"application/json")],
                    content=content,
                    extensions={"timeout": timeout},
                )
                async with stream as response:
                    reply = await read_whole_body(response, MAX_BODY_BYTES)
            if response.status != 200:
                return Err(_read_refusal(response.status, reply))
            return Ok(msgspec.json.decode(reply, type=kind))
        except _NOT_SENT:
            return Err(EngineFailure("connect", executed=False))
        except _BROKEN as error:
            return Err(EngineFailure(type(error).__name__, executed=True))
        except DECODE_ERRORS:
            return Err(EngineFailure("bad reply", executed=True))

    @asynccontextmanager
    async def open_decode(
        self, address: str, call: Decode | Resume, stall_ms: int
    ) -> AsyncIterator[Result[AsyncIterator[DecodeLine], EngineFailure]]:
        """A decode stream's lines; reading them raises httpcore errors when it breaks."""
        path = "/engine/decode" if isinstance(call, Decode) else "/engine/resume"
        timeout = {"connect": CONNECT_TIMEOUT_S, "read": stall_ms / 1000, "pool": CALL_TIMEOUT_S}
        try:
            async with self._find_pool(address).stream(
                "POST",
                f"http://{address}{path}",
                headers=[(b"content-type", b"application/json")],
                content=msgspec.json.encode(call),
                extensions={"timeout": timeout},
            ) as response:
                if response.status == 200:
                    yield Ok(_read_lines(response))
                else:
                    with anyio.fail_after(CALL_TIMEOUT_S):
                        reply = await read_whole_body(response, MAX_BODY_BYTES)
                    yield Err(_read_refusal(response.status, reply))
        except _NOT_SENT:
            yield Err(EngineFailure("connect", executed=False))


async def _read_lines(response: httpcore.Response) -> AsyncIterator[DecodeLine]:
    rest = b""
    async for chunk in response.aiter_stream():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            yield _line_decoder.decode(line)
        if len(rest) > MAX_LINE_BYTES:
            raise OversizedBody(f"a line of more than {MAX_LINE_BYTES} bytes")


def _read_refusal(status: int, content: bytes) -> EngineFailure:
    try:
        body = msgspec.json.decode(content, type=_RefusalBody)
    except DECODE_ERRORS:
        return EngineFailure(f"status {status}", executed=True, status=status)
    executed = body.executed or not body.refused
    return EngineFailure(body.refused or f"status {status}", executed, status)
