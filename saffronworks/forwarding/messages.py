"""Typed messages between callers' requests, the deciding cores and endpoints."""

import enum
import math
from collections.abc import Iterable
from functools import cached_property

import attrs

from saffronworks.forwarding.contents import ContentId, content_id
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import Block, BlockReason
from saffronworks.forwarding.organisations import BadKey, KeyDigest, Organisation

__all__ = [
    "ENDS_ENDPOINTS",
    "AnswerHead",
    "Begin",
    "CallerRequest",
    "EventMark",
    "Executed",
    "KvHandle",
    "KvHold",
    "NotExecuted",
    "PromptSize",
    "Refuse",
    "refuse_blocked",
]


@attrs.frozen
class PromptSize:
    """Tokens of a prompt, the most that its answer may have, and the caller's estimate."""

    prompt_tokens: int
    most_answer_tokens: int
    likely_answer_tokens: int | None

    @property
    def likely_tokens(self) -> int:
        """The answer's likely length: the caller's estimate, else the most."""
        if self.likely_answer_tokens is None:
            return self.most_answer_tokens
        return min(self.likely_answer_tokens, self.most_answer_tokens)


@attrs.frozen
class CallerRequest:
    """A whole request. `headers` holds the fields that go on to the endpoint, as they came.

    `left_ms` is how long the caller waits from `arrived_ms` on; `after_event` is the last event
    that the caller has from an earlier answer. `caller` is who calls, as far as the request's own
    fields tell; not its address, which differs by proxy and availability zone. `organisation` is
    known once the key was looked up.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: int
    left_ms: int
    prompt: PromptSize | None = None
    after_event: int | None = None
    caller: str = ""
    key: KeyDigest | BadKey | None = attrs.field(default=None, repr=False)
    organisation: Organisation | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def tokens(self) -> int | None:
        """Its prompt's and the most of its answer's; None where it has no prompt."""
        if self.prompt is None:
            return None
        return self.prompt.prompt_tokens + self.prompt.most_answer_tokens

    @cached_property
    def content(self) -> ContentId:
        """What it asks for: the same for each try of a caller, whatever id the try has."""
        caller = self.organisation.name if self.organisation else self.caller
        return content_id(self.method, self.host, self.target, caller, self.body)


class Executed(enum.StrEnum):
    """Whether an endpoint has run a request."""

    NO = "no"
    YES = "yes"


@attrs.frozen
class AnswerHead:
    """Start of an endpoint's answer. `signed` tells that the endpoint vouches for the body.

    `misdirected`: the endpoint at this address is not the one that was meant, or has another role;
    `found_name` names it where another one has the address. `asks_pause`: the endpoint rejected the
    request and wants none of this node for some time.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    executed: Executed
    signed: bool
    reason: str = ""
    misdirected: bool = False
    found_name: str | None = None
    asks_pause: bool = False

    @property
    def success(self) -> bool:
        """Whether the endpoint says that it answered the request."""
        return 200 <= self.status < 300


@attrs.frozen
class KvHold:
    """Memory and a slot reserved at a decode endpoint; it serves one request."""

    endpoint: ServiceEndpoint
    hold_id: str
    until_ms: int


@attrs.frozen
class KvHandle:
    """A prompt that was read, kept for a moment at the endpoint that read it."""

    endpoint: ServiceEndpoint
    handle_id: str
    tokens: int


@attrs.frozen
class NotExecuted:
    """An endpoint said that it did not take a call, and why; whether it asks for a pause."""

    reason: str
    asks_pause: bool = False


@attrs.frozen
class EventMark:
    """Whole events of a stream: their bytes, and the ids of those that have one."""

    data: bytes
    ids: tuple[int, ...]


@attrs.frozen
class Begin:
    """A request was read whole."""


@attrs.frozen
class Refuse:
    """Answer on our own. `not_run` is true only when no endpoint can have run the request.

    The caller is told to return after `retry_after_ms`; where that is None at a time of its own,
    not before `not_before_ms`.
    """

    status: int
    reason: str
    not_run: bool
    retry_after_ms: int | None = None
    not_before_ms: int = 0


_BLOCKED_REASONS = {
    BlockReason.GONE: "no-endpoint",
    BlockReason.DRAINING: "endpoints-draining",
    BlockReason.PAUSED: "endpoints-paused",
    BlockReason.RATE_LIMITED: "endpoints-limited",
}


def refuse_blocked(blocks: Iterable[Block]) -> Refuse:
    """Each endpoint left is blocked: the caller is told when the first of them may take requests.

    It is no failure of theirs, and waiting here would only hold up those who come later.
    """
    first = min(blocks, key=lambda block: math.inf if block.for_ms is None else block.for_ms)
    reason = _BLOCKED_REASONS[first.reason]
    return Refuse(503, reason, not_run=True, not_before_ms=first.for_ms or 0)


# A request whose content ends the endpoints that run it. No promise that it has not run, and no
# time to return: both would have the caller send it again, which can't end otherwise.
ENDS_ENDPOINTS = Refuse(500, "ends-endpoints", not_run=False)
