"""Types shared by callers' requests, the state machines and the calls to endpoints."""

import enum
import math
from collections.abc import Iterable
from functools import cached_property

import attrs

from saffronworks.forwarding.contents import ContentId, content_id
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import Block, BlockReason
from saffronworks.forwarding.organisations import BadKey, KeyDigest, Organisation
from saffronworks.forwarding.prompt_parts import PartId, part_ids

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
    "PROMPT_TOO_LONG",
    "PromptSize",
    "Refuse",
    "refuse_blocked",
]


@attrs.frozen
class PromptSize:
    """Tokens of a prompt, the maximum for its answer, and the caller's estimate of the answer."""

    prompt_tokens: int
    most_answer_tokens: int
    likely_answer_tokens: int | None

    def within(self, capacity_tokens: int) -> "PromptSize":
        """Return the size with at most as long an answer as fits beside the prompt."""
        room_tokens = max(0, capacity_tokens - self.prompt_tokens)
        if self.most_answer_tokens <= room_tokens:
            return self
        return attrs.evolve(self, most_answer_tokens=room_tokens)

    @property
    def likely_tokens(self) -> int:
        """The expected tokens of the answer: the caller's estimate, or the maximum without one."""
        if self.likely_answer_tokens is None:
            return self.most_answer_tokens
        return min(self.likely_answer_tokens, self.most_answer_tokens)


@attrs.frozen
class CallerRequest:
    """A complete request. `headers` holds the fields to forward to the endpoint, unchanged.

    `left_ms` is how long the caller waits after `arrived_ms`; `after_event` is the id of the last
    event that the caller received in an earlier answer, and `first_request_id` the id of the
    request whose answer had the stream's first event. `shared_parts` names the parts of the prompt
    that other requests for `model` may have too, in order. `caller` identifies the caller by fields
    of the request, not by address, which differs by proxy and availability zone. `organisation` is
    set once the key was looked up.
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
    first_request_id: str | None = None
    model: str = ""
    shared_parts: tuple[str, ...] = ()
    caller: str = ""
    key: KeyDigest | BadKey | None = attrs.field(default=None, repr=False)
    organisation: Organisation | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def tokens(self) -> int | None:
        """The tokens of the prompt and the maximum of the answer; None without a prompt."""
        if self.prompt is None:
            return None
        return self.prompt.prompt_tokens + self.prompt.most_answer_tokens

    @cached_property
    def content(self) -> ContentId:
        """The hash of the request's content, the same for all retries of a caller."""
        caller = self.organisation.name if self.organisation else self.caller
        return content_id(self.method, self.host, self.target, caller, self.body)

    @cached_property
    def parts(self) -> tuple[PartId, ...]:
        """The digests of the prompt's shared parts."""
        return part_ids(self.model, self.shared_parts)


class Executed(enum.StrEnum):
    """An endpoint's statement on the execution of a request."""

    NO = "no"
    YES = "yes"


@attrs.frozen
class AnswerHead:
    """Status and headers of an endpoint's answer. `signed`: it carries the endpoint's signature.

    `misdirected`: the endpoint at this address is not the intended one, or has another role;
    `found_name` is the name of another endpoint that has the address. `asks_pause`: the endpoint
    rejected the request and accepts none from this node for some time.
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
        """True if the status is 2xx."""
        return 200 <= self.status < 300


@attrs.frozen
class KvHold:
    """A reservation of KV memory and a slot at a decode endpoint, for one request."""

    endpoint: ServiceEndpoint
    hold_id: str
    until_ms: int


@attrs.frozen
class KvHandle:
    """The KV cache of a prompt, kept for a short time at the endpoint that prefilled it."""

    endpoint: ServiceEndpoint
    handle_id: str
    tokens: int


@attrs.frozen
class NotExecuted:
    """An endpoint rejected a call without executing it.

    `asks_pause`: it accepts no requests from this node for some time.
    """

    reason: str
    asks_pause: bool = False


@attrs.frozen
class EventMark:
    """Complete events of a stream: their bytes, and the ids of those that have one."""

    data: bytes
    ids: tuple[int, ...]


@attrs.frozen
class Begin:
    """A complete request was received."""


@attrs.frozen
class Refuse:
    """Refuse the request. `not_run` is true only if no endpoint can have executed it.

    The Retry-After is `retry_after_ms`, or if that is None one computed for the request, at least
    `not_before_ms`.
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
    """Return the refusal of a request whose remaining endpoints are all blocked.

    Its Retry-After is the time at which the first of them accepts requests. Holding the request
    back until then would delay later requests.
    """
    first = min(blocks, key=lambda block: math.inf if block.for_ms is None else block.for_ms)
    reason = _BLOCKED_REASONS[first.reason]
    return Refuse(503, reason, not_run=True, not_before_ms=first.for_ms or 0)


# Refusal of a request whose content crashes the endpoints that run it. It neither promises that the
# request was not executed nor sets a Retry-After, as both invite a retry, which would crash another
# endpoint.
ENDS_ENDPOINTS = Refuse(500, "ends-endpoints", not_run=False)
# Refusal of a prompt that no endpoint of its service can hold. A retry would be refused as well.
PROMPT_TOO_LONG = Refuse(413, "prompt-too-long", not_run=False)
