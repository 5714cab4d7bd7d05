"""The completion interface towards callers: bodies, chunks, errors and headers."""

import time
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.hashing import hash64
from saffronworks.request_events import Completed, NotRun, Outcome, Told, Unknown
from saffronworks.web import Call

__all__ = [
    "OUTCOME_HEADER",
    "CollectingSink",
    "CompletionRequest",
    "StreamingSink",
    "error_body",
    "read_completion",
    "reply_outcome",
    "reply_plain_outcome",
]

OUTCOME_HEADER = "saffronworks-outcome"
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 2000
SSE_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


@attrs.frozen
class CompletionRequest:
    """A checked request body. `prefix` is the text that requests are expected to share."""

    model: str
    prompt: str
    prefix: str
    max_tokens: int | None
    stream: bool
    chat: bool

    @property
    def prompt_tokens(self) -> int:
        """An estimate, by characters."""
        return max(1, len(self.prompt) // CHARACTERS_PER_TOKEN)

    @property
    def prefix_tokens(self) -> int:
        """An estimate, by characters."""
        return len(self.prefix) // CHARACTERS_PER_TOKEN

    @property
    def prefix_key(self) -> str:
        """A short name of the prefix."""
        return f"{hash64(self.prefix):016x}"


def read_completion(body: Any, chat: bool) -> Result[CompletionRequest, list[str]]:
    """Check a body; every finding at once."""
    findings: list[str] = []
    if not isinstance(body, dict):
        return Err(["the body must be a JSON object"])
    model = body.get("model")
    if not isinstance(model, str) or not model:
        findings.append("model: must be a text")
    prompt, prefix = _read_chat(body, findings) if chat else _read_prompt(body, findings)
    max_tokens = body.get("max_tokens")
    whole = isinstance(max_tokens, int) and not isinstance(max_tokens, bool)
    if max_tokens is not None and (not whole or max_tokens < 1):
        findings.append("max_tokens: must be a whole number, 1 or more")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        findings.append("stream: must be true or false")
    if body.get("n", 1) != 1:
        findings.append("n: only 1 is served")
    if findings:
        return Err(findings)
    return Ok(CompletionRequest(str(model), prompt, prefix, max_tokens, stream, chat))


def _read_prompt(body: dict[str, Any], findings: list[str]) -> tuple[str, str]:
    prompt = body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        findings.append("prompt: must be a text that is not empty")
        return "", ""
    return prompt, prompt[:PREFIX_CHARACTERS]


def _read_chat(body: dict[str, Any], findings: list[str]) -> tuple[str, str]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        findings.append("messages: must be a list that is not empty")
        return "", ""
    lines = []
    for index, message in enumerate(messages):
        role = message.get("role") if isinstance(message, dict) else None
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(role, str) or not isinstance(content, str):
            findings.append(f"messages[{index}]: needs role and content, both texts")
            continue
        lines.append(f"{role}: {content}\n")
    prompt = "".join(lines)
    shared = lines[0] if lines and lines[0].startswith("system: ") else prompt[:PREFIX_CHARACTERS]
    return prompt, shared


def error_body(message: str, kind: str, code: str | None = None) -> dict[str, Any]:
    """The interface's usual error shape."""
    return {"error": {"message": message, "type": kind, "param": None, "code": code}}


class CollectingSink:
    """Keeps the tokens for an answer in one piece."""

    def __init__(self, call: Call, request_id: str, request: CompletionRequest):
        self._call = call
        self._request_id = request_id
        self._request = request
        self.tokens: list[str] = []

    async def deliver(self, tokens: tuple[str, ...]) -> None:
        """Keep the next tokens."""
        self.tokens.extend(tokens)

    async def finish(self, outcome: Told) -> None:
        """Answer in one piece; nothing is out before."""
        text = "".join(self.tokens)
        await reply_outcome(self._call, outcome, self._request_id, self._request, text)


class StreamingSink:
    """Writes server-sent events; the status line goes out with the first token.

    Once it is out, only a whole answer has a good end. Any other tells its outcome in a last event
    and is cut, so that a caller that looks at nothing but the framing sees that it is short.
    """

    def __init__(self, call: Call, request_id: str, request: CompletionRequest):
        self._call = call
        self._request_id = request_id
        self._request = request
        self._chat = request.chat
        kind = "chat.completion.chunk" if request.chat else "text_completion"
        head = {
            "id": request_id,
            "object": kind,
            "created": int(time.time()),
            "model": request.model,
        }
        self._head = msgspec.json.encode(head)[:-1]

    async def deliver(self, tokens: tuple[str, ...]) -> None:
        """Write one event with the tokens' text."""
        if not self._call.started:
            await self._call.start(200, SSE_HEADERS)
        await self._call.write(self._event("".join(tokens), None))

    async def finish(self, outcome: Told) -> None:
        """End the stream; before its first event, any outcome but a whole answer is a reply."""
        match outcome:
            case Completed():
                await self._end_well()
            case NotRun() | Unknown() if self._call.started:
                await self._cut(outcome.reason)
            case NotRun() | Unknown():
                await reply_outcome(self._call, outcome, self._request_id, self._request, "")

    async def _end_well(self) -> None:
        if not self._call.started:
            await self._call.start(200, SSE_HEADERS)
        await self._call.write(self._event("", "stop"))
        await self._call.write(b"data: [DONE]\n\n", more=False)

    async def _cut(self, reason: str) -> None:
        body = error_body(f"outcome unknown: {reason}", "server_error", "unknown")
        await self._call.write(b"data: " + msgspec.json.encode(body) + b"\n\n")
        self._call.close()

    def _event(self, text: str, finish: str | None) -> bytes:
        if self._chat:
            choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish}
        return b"data: " + self._head + b',"choices":[' + msgspec.json.encode(choice) + b"]}\n\n"


async def reply_outcome(
    call: Call, outcome: Outcome, request_id: str, request: CompletionRequest, text: str
) -> None:
    """Send a whole response for an outcome; nothing was sent before."""
    match outcome:
        case Completed():
            await call.reply(
                200, _completion_body(request_id, request, text), {OUTCOME_HEADER: "completed"}
            )
        case NotRun():
            seconds = max(1, -(-outcome.retry_after_ms // 1000))
            headers = {OUTCOME_HEADER: "not-run", "retry-after": str(seconds)}
            body = error_body(f"not run: {outcome.reason}", "overloaded_error", "not-run")
            await call.reply(503, body, headers)
        case Unknown():
            body = error_body(f"outcome unknown: {outcome.reason}", "server_error", "unknown")
            await call.reply(502, body, {OUTCOME_HEADER: "unknown"})


async def reply_plain_outcome(call: Call, outcome: Outcome) -> None:
    """Tell the caller of a plain service that its call was not sent on."""
    match outcome:
        case NotRun():
            headers = {OUTCOME_HEADER: "not-run", "retry-after": "1"}
            body = error_body(f"not run: {outcome.reason}", "server_error", "not-run")
            await call.reply(503, body, headers)
        case Unknown():
            body = error_body(f"outcome unknown: {outcome.reason}", "server_error", "unknown")
            await call.reply(409, body, {OUTCOME_HEADER: "unknown"})


def _completion_body(request_id: str, request: CompletionRequest, text: str) -> dict[str, Any]:
    message: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if request.chat:
        message["message"] = {"role": "assistant", "content": text}
    else:
        message["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if request.chat else "text_completion",
        "created": int(time.time()),
        "model": request.model,
        "choices": [message],
    }
