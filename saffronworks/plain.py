"""Plain services: least outstanding within the availability zone, spill over, safe retries."""

import logging
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Literal

import attrs
import httpcore

from saffronworks.bundles import Endpoint, PlainRoute
from saffronworks.completions import OUTCOME_HEADER, error_body
from saffronworks.hop_by_hop import HOP_BY_HOP_FIELDS
from saffronworks.web import Call

__all__ = ["PlainLoad", "PlainOutcome", "PlainProxy", "choose_plain"]

PlainOutcome = Literal["completed", "not-run", "unknown"]

logger = logging.getLogger(__name__)

SPILL_OVER_AT = 8
MOST_TRIES = 3
REPLAY_BYTES = 65_536
CLOSED_MS = 2000
# HTTP has no higher status, and the server can't send one.
MAX_STATUS = 599
BODILESS_STATUSES = (204, 304)
# The last event of an event stream, and the bytes at the end of a body that can hold it.
_END_MARK = re.compile(rb"(?:\A|\n\r?\n)data: ?\[DONE\]\r?\n\r?\n\Z")
END_MARK_WINDOW_BYTES = 32
TIMEOUTS = {"connect": 1.0, "read": 30.0, "write": 30.0, "pool": 2.0}
_HOP_HEADERS = HOP_BY_HOP_FIELDS | {"host", "content-length"}
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


class UnprovenEnd(httpcore.RemoteProtocolError):
    """A body ended with its connection, as it also does when the service crashes."""


@attrs.define
class PlainLoad:
    """What this node knows of plain endpoints: calls under way, and who refused lately."""

    outstanding: dict[str, int] = attrs.Factory(dict)
    closed_until_ms: dict[str, int] = attrs.Factory(dict)


def choose_plain(
    route: PlainRoute,
    load: PlainLoad,
    zone: str,
    tried: set[str],
    leaving: frozenset[str],
    now_ms: int,
) -> Endpoint | None:
    """The least loaded endpoint of the zone, another zone's when that one is far busier."""

    def rank(endpoint: Endpoint) -> tuple[bool, float]:
        outstanding = load.outstanding.get(endpoint.name, 0)
        away = endpoint.zone != zone
        closed = load.closed_until_ms.get(endpoint.name, 0) > now_ms
        return closed, outstanding + (SPILL_OVER_AT if away else 0)

    usable = [e for e in route.endpoints if e.name not in tried and e.name not in leaving]
    return min(usable, key=rank, default=None)


class PlainProxy:
    """Carries calls to plain services."""

    def __init__(self, zone: str):
        self.load = PlainLoad()
        self.leaving: frozenset[str] = frozenset()
        # No call is sent a second time any more.
        self.draining = False
        self._zone = zone
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=500, max_keepalive_connections=64, keepalive_expiry=20
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def carry(
        self, call: Call, route: PlainRoute, unrepeatable: bool, now_ms: int
    ) -> PlainOutcome:
        """Send a call on and its response back; returns the outcome.

        Only what breaks before the head of a response comes up to the loop, which may try again.
        """
        once = unrepeatable or call.method in route.unrepeatable_methods
        tried: set[str] = set()
        sent = False
        for _ in range(MOST_TRIES):
            endpoint = choose_plain(route, self.load, self._zone, tried, self.leaving, now_ms)
            if endpoint is None:
                break
            tried.add(endpoint.name)
            try:
                return await self._try(call, endpoint)
            except _NOT_SENT:
                self.load.closed_until_ms[endpoint.name] = now_ms + CLOSED_MS
            except _BROKEN as error:
                sent = True
                logger.info(
                    "event=plain_broken endpoint=%s error=%s", endpoint.name, type(error).__name__
                )
                if once or call.streamed or self.draining:
                    break
        return await self._refuse(call, sent)

    async def stop(self, call: Call) -> PlainOutcome:
        """End a call that was cancelled, as the node ends."""
        if not call.started:
            return await self._refuse(call, call.sent_on)
        call.close()
        return "unknown"

    async def _refuse(self, call: Call, sent: bool) -> PlainOutcome:
        outcome: PlainOutcome = "unknown" if sent else "not-run"
        headers: dict[str, str] = {OUTCOME_HEADER: outcome}
        if not sent:
            headers["retry-after"] = "1"
        body = error_body(f"{outcome}: no endpoint answered", "server_error", outcome)
        await call.reply(502 if sent else 503, body, headers)
        return outcome

    async def _try(self, call: Call, endpoint: Endpoint) -> PlainOutcome:
        name = endpoint.name
        self.load.outstanding[name] = self.load.outstanding.get(name, 0) + 1
        try:
            async with self._open(call, endpoint) as response:
                return await self._relay(call, endpoint, response)
        finally:
            self.load.outstanding[name] -= 1

    @asynccontextmanager
    async def _open(self, call: Call, endpoint: Endpoint) -> AsyncIterator[httpcore.Response]:
        """Send the call on and read the head of its response."""
        path = call.path + (f"?{call.query}" if call.query else "")
        headers = [
            (key.encode(), value.encode("latin-1"))
            for key, value in call.headers.items()
            if key not in _HOP_HEADERS
        ]
        length = call.headers.get("content-length")
        body: bytes | AsyncIterator[bytes]
        if length is None or int(length) <= REPLAY_BYTES:
            body = await call.body(REPLAY_BYTES if length else 64 * REPLAY_BYTES)
            headers.append((b"content-length", str(len(body)).encode()))
        else:
            body = call.chunks()
            headers.append((b"content-length", length.encode()))
        url = f"http://{endpoint.address}{path}"
        call.sent_on = True
        async with self._pool.stream(
            call.method, url, headers=headers, content=body, extensions={"timeout": TIMEOUTS}
        ) as response:
            yield response

    async def _relay(
        self, call: Call, endpoint: Endpoint, response: httpcore.Response
    ) -> PlainOutcome:
        """Pass the response on. Its head goes out first, so one that breaks can only be cut."""
        if response.status > MAX_STATUS:
            raise httpcore.RemoteProtocolError(f"status {response.status}")
        fields = {key.decode().lower(): value.decode("latin-1") for key, value in response.headers}
        kept = {key: value for key, value in fields.items() if key not in _HOP_HEADERS}
        await call.start(response.status, {**kept, OUTCOME_HEADER: "completed"})
        try:
            await _copy_body(call, response, fields)
        except _BROKEN as error:
            logger.warning(
                "event=plain_cut endpoint=%s method=%s path=%s error=%s",
                endpoint.name,
                call.method,
                call.path,
                type(error).__name__,
            )
            call.close()
            return "unknown"
        await call.write(b"", more=False)
        return "completed"


async def _copy_body(call: Call, response: httpcore.Response, fields: dict[str, str]) -> None:
    """Pass a body on; raises UnprovenEnd if nothing shows that it is whole."""
    bodiless = call.method == "HEAD" or response.status in BODILESS_STATUSES
    framed = bodiless or "content-length" in fields or "transfer-encoding" in fields
    tail = b""
    async for chunk in response.aiter_stream():
        await call.write(chunk)
        if not framed:
            tail = (tail + chunk[-END_MARK_WINDOW_BYTES:])[-END_MARK_WINDOW_BYTES:]
    is_events = fields.get("content-type", "").lower().startswith("text/event-stream")
    if not framed and not (is_events and _END_MARK.search(tail)):
        raise UnprovenEnd("neither a length nor chunks")
