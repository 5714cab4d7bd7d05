"""Callers' requests and answers on the platform: decodes headers and encodes answers."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from saffronworks.body_memory import BodyHold, BodyMemory, BodyMemoryFull
from saffronworks.connection_policy import count_field_bytes
from saffronworks.field_numbers import read_count, read_decimal, shorten
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.messages import AnswerHead, CallerRequest, PromptSize
from saffronworks.forwarding.organisations import parse_key
from saffronworks.forwarding.planned_ends import STOPPING
from saffronworks.forwarding.ports import AnswerBody
from saffronworks.forwarding.prompt_parts import MAX_SHARED_PARTS
from saffronworks.forwarding.routing import CallerLimits
from saffronworks.forwarding.runners import retry_after_ms
from saffronworks.forwarding.tuning import RETRY_AFTER_MAX_MS
from saffronworks.hop_by_hop import HOP_BY_HOP_FIELDS, drop_length_of_bodiless
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.web import BadBody, Call, SlowBody

__all__ = ["CallerConnectionReply", "Ingress", "read_request"]

logger = logging.getLogger(__name__)

# Time from arrival to the deadline of a request that states no deadline.
DEFAULT_DEADLINE_MS = 30_000
_CONNECTION_FIELDS = HOP_BY_HOP_FIELDS | {
    "proxy-authorization",
    "proxy-connection",
    "expect",
    "host",
    "content-length",
}
# The caller's API key; never forwarded to a server.
_API_KEY_FIELD = "key"
_HEX_DIGITS = frozenset("0123456789abcdef")
# Header fields that only the router sets; those of callers are dropped.
_ROUTER_FIELDS = frozenset(
    [
        "deadline-ms",
        "expect-instance",
        "expect-version",
        "kv-backup",
        "kv-fetch",
        "kv-hold",
        "kv-source",
        _API_KEY_FIELD,
        "pin-ms",
        "request-id",
        "request-priority",
        "stage",
        "tenant",
    ]
)


def read_request(call: Call, body: bytes, now_ms: int) -> Result[CallerRequest, list[str]]:
    """Decode a caller's request that arrived at `now_ms`; the error lists all findings."""
    findings: list[str] = []
    request_id = call.headers.get("request-id", "")
    if not request_id:
        findings.append(f"{ID_FIELD}: missing")
    left_ms = _read(call, "deadline-ms", read_decimal, findings)
    after_event = _read(call, "last-event-id", read_count, findings)
    prompt = _read_prompt(call, findings)
    if findings:
        return Err(findings)
    return Ok(
        CallerRequest(
            request_id=request_id,
            method=call.method,
            target=call.raw_path + (f"?{call.query}" if call.query else ""),
            host=call.headers.get("host", ""),
            headers=tuple(_forwarded_headers(call)),
            body=body,
            arrived_ms=now_ms,
            left_ms=DEFAULT_DEADLINE_MS if left_ms is None else left_ms,
            prompt=prompt,
            after_event=after_event,
            first_request_id=call.headers.get("resumes") or None,
            model=call.headers.get("model", ""),
            shared_parts=_read_shared_parts(call.headers.get("prompt-prefix", "")),
            caller=call.headers.get("authorization", ""),
            key=parse_key([value for name, value in call.fields if name.lower() == _API_KEY_FIELD]),
        )
    )


def _body_timeout_ms(call: Call) -> int:
    """Return how long a request's body may take: no longer than its caller waits."""
    left_ms = _read(call, "deadline-ms", read_decimal, [])
    return DEFAULT_DEADLINE_MS if left_ms is None else left_ms


def _forwarded_headers(call: Call) -> list[tuple[str, str]]:
    hop_by_hop = {part.strip().lower() for part in call.headers.get("connection", "").split(",")}
    dropped = _CONNECTION_FIELDS | _ROUTER_FIELDS | hop_by_hop
    return [(key, value) for key, value in call.fields if key.lower() not in dropped]


def _read_prompt(call: Call, findings: list[str]) -> PromptSize | None:
    """Parse the token counts: the prompt's and the answer's maximum, separated by a comma."""
    counts = call.headers.get("token-counts")
    if counts is None:
        return None
    likely = _read(call, "length-hint", read_decimal, findings)
    match [read_count(part) for part in counts.split(",")]:
        case [Ok(prompt_tokens), Ok(most_answer_tokens)]:
            return PromptSize(prompt_tokens, most_answer_tokens, likely)
    findings.append(f"Token-Counts: expected two whole numbers, found {shorten(counts)!r}")
    return None


def _read_shared_parts(prefix: str) -> tuple[str, ...]:
    """Parse the parts of a prompt, `ID:TOKENS` separated by commas, without the last one.

    The last part belongs to the request or its session. An entry whose ID is not hexadecimal is
    skipped: endpoints decide whether they accept it.
    """
    *shared, _ = prefix.split(",", MAX_SHARED_PARTS)
    ids = (part.partition(":")[0].strip().lower() for part in shared)
    return tuple(name for name in ids if name and _HEX_DIGITS.issuperset(name))


def _read(
    call: Call, field: str, read: Callable[[str], Result[Any, str]], findings: list[str]
) -> int | None:
    """Return the integer part of a field's number; None if the field is missing or malformed."""
    value = call.headers.get(field)
    if value is None:
        return None
    number = read(value)
    if isinstance(number, Ok):
        return int(number.ok_value)
    findings.append(f"{field}: expected a number, 0 or more, found {number.err_value!r}")
    return None


class CallerConnectionReply:
    """Sends an answer to one caller: status and headers, then the body."""

    def __init__(self, call: Call, closing: bool):
        self.sent_bytes = 0
        self._call = call
        self._closing = closing
        self._finished = False

    @property
    def started(self) -> bool:
        """True once status and headers have been sent."""
        return self._call.started

    @property
    def finished(self) -> bool:
        """True once the end of the answer has been sent or is being sent."""
        return self._finished

    def record_sending(self) -> None:
        """Record that the request is sent on."""
        self._call.on_send()

    async def start(self, head: AnswerHead) -> AnswerBody:
        """Send status and headers; returns the writer of the body."""
        fields = drop_length_of_bodiless(head.status, head.headers)
        if self._closing:
            fields.append(("connection", "close"))
        self.sent_bytes += count_field_bytes(fields)
        await self._call.start_fields(head.status, fields)
        return self

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self.sent_bytes += len(data)
        await self._call.write(data)

    async def finish(self) -> None:
        """End the body, so that the caller sees a complete answer."""
        self._finished = True
        await self._call.write(b"", more=False)

    async def refuse(self, status: int, reason: str, retry_after_ms: int | None = None) -> None:
        """Answer without an endpoint; Retry-After is in seconds, with a fraction."""
        self._finished = True
        headers = self._refusal_fields(retry_after_ms)
        await self._call.reply(status, {"error": reason}, headers)

    async def refuse_unread(
        self, status: int, reason: str, retry_after_ms: int, max_body_bytes: int
    ) -> None:
        """Answer without an endpoint a request whose body was not read, and discard the body."""
        self._finished = True
        # Waiting for the rest of the body takes no processor time.
        self.record_sending()
        headers = self._refusal_fields(retry_after_ms)
        await self._call.reply_unread(status, {"error": reason}, headers, max_body_bytes)

    def _refusal_fields(self, retry_after_ms: int | None) -> dict[str, str]:
        headers = {}
        request_id = self._call.headers.get("request-id")
        if request_id:
            headers[ID_FIELD] = request_id
        if retry_after_ms is not None:
            headers["retry-after"] = f"{retry_after_ms / 1000:.3f}"
        if self._closing:
            headers["connection"] = "close"
        return headers

    async def wait_disconnected(self) -> None:
        """Return when the caller has disconnected."""
        await self._call.wait_disconnected()

    def cut(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        self._call.close()

    async def drain(self) -> None:
        """Return once this process has no unsent bytes of the answer left."""
        await self._call.drain()

    def disconnect(self) -> None:
        """Close the connection at once and discard bytes that the caller has not read."""
        self._call.cut()

    @property
    def connection_key(self) -> int:
        """An identifier of the caller's connection, unique among the open ones."""
        return self._call.connection_key

    @property
    def buffered_bytes(self) -> int:
        """Bytes written that are still in this process."""
        return self._call.buffered_bytes

    @property
    def unread_bytes(self) -> int:
        """Bytes written that the caller's machine has not acknowledged."""
        return self._call.buffered_bytes + self._call.unacknowledged_bytes


class Ingress:
    """Decodes callers' requests and passes them to the forwarder."""

    def __init__(
        self,
        forwarder: Forwarder,
        bodies: BodyMemory,
        closes: Callable[[int], bool],
        now_ms: Callable[[], int],
    ):
        self._forwarder = forwarder
        self._bodies = bodies
        # Whether a connection is closed after the answer to a request that arrives now.
        self._closes = closes
        self._now_ms = now_ms

    async def handle(self, call: Call) -> None:
        """Serve one request of a caller."""
        reply = CallerConnectionReply(call, self._closes(call.connection_number))
        hold = call.body_hold = self._bodies.begin(self._now_ms())
        try:
            body = await self._read_body(call, reply, hold)
            if body is not None:
                await self._serve(call, reply, body)
        finally:
            hold.release(self._now_ms())

    async def _serve(self, call: Call, reply: CallerConnectionReply, body: bytes) -> None:
        request = read_request(call, body, self._now_ms())
        if isinstance(request, Err):
            text = "; ".join(request.err_value)
            logger.info("event=bad_request reason=%r path=%s", text, call.raw_path)
            await reply.refuse(400, text)
            return
        await self._forward(request.ok_value, reply)

    async def _read_body(
        self, call: Call, reply: CallerConnectionReply, hold: BodyHold
    ) -> bytes | None:
        """Return the body; None if its request was refused."""
        body = b""
        try:
            with self._forwarder.until_ended() as scope:
                async with asyncio.timeout(_body_timeout_ms(call) / 1000):
                    body = await call.body(self._max_body_bytes())
        except TimeoutError:
            logger.info("event=bad_request reason=body-timeout")
            await reply.refuse(408, "body-timeout")
            return None
        except SlowBody:
            logger.info("event=bad_request reason=body-slow")
            self._bodies.count_refusal("slow")
            await reply.refuse(408, "body-slow")
            return None
        except BadBody as error:
            logger.info("event=bad_request reason=%r", str(error))
            await reply.refuse(413, str(error))
            return None
        except BodyMemoryFull:
            await self._refuse_for_memory(call, reply, hold)
            return None
        if scope.cancelled_caught:
            logger.warning(
                "event=refuse request=%s reason=stopping", call.headers.get("request-id")
            )
            await reply.refuse(STOPPING.status, STOPPING.reason, STOPPING.retry_after_ms)
            return None
        return body

    async def _refuse_for_memory(
        self, call: Call, reply: CallerConnectionReply, hold: BodyHold
    ) -> None:
        """Refuse a request whose body has no room, and tell when there may be some."""
        now_ms, max_bytes = self._now_ms(), self._max_body_bytes()
        stated_bytes = call.stated_body_bytes
        body_bytes = max_bytes if stated_bytes is None else stated_bytes
        request = read_request(call, b"", now_ms)
        spread_ms = retry_after_ms(request.ok_value, now_ms) if isinstance(request, Ok) else 0
        room_ms = self._bodies.room_after_ms(body_bytes, now_ms)
        wait_ms = min(RETRY_AFTER_MAX_MS, max(1, spread_ms, room_ms))
        hold.release(now_ms)
        self._bodies.count_refusal("full")
        if (not_logged := self._bodies.limit_refusal_log(now_ms)) is not None:
            logger.info(
                "event=refuse request=%s status=503 reason=bodies-full not_run=True "
                "retry_after_ms=%d body_bytes=%s held_bytes=%d bound_bytes=%s not_logged=%d",
                call.headers.get("request-id"),
                wait_ms,
                stated_bytes,
                self._bodies.held_bytes,
                self._bodies.bound_bytes,
                not_logged,
            )
        with self._forwarder.until_ended():
            await reply.refuse_unread(503, "bodies-full", wait_ms, max_bytes)

    async def _forward(self, request: CallerRequest, reply: CallerConnectionReply) -> None:
        """Pass a request to the forwarder; a failure of its own ends as an answer or as cut."""
        try:
            await self._forwarder.handle(request, reply)
        except Exception:
            logger.exception(
                "event=request_failed request=%s started=%s", request.request_id, reply.started
            )
            if not reply.started:
                await reply.refuse(500, "internal-error")
            elif not reply.finished:
                reply.cut()

    def _max_body_bytes(self) -> int:
        table = self._forwarder.table
        limit_bytes = (table.limits if table else CallerLimits()).body_bytes
        return min(limit_bytes, self._bodies.max_body_bytes or limit_bytes)
