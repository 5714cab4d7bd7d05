"""What happens to a generation, and what is to be done next: events and commands of its core."""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.messages import AnswerHead, Begin, KvHandle, KvHold, Refuse

__all__ = [
    "AskHold",
    "AskPlanner",
    "Command",
    "Cut",
    "Event",
    "HoldFailed",
    "HoldTaken",
    "OpenStream",
    "PlanGranted",
    "PlanRefused",
    "PlanSilent",
    "PromptRead",
    "ReadFailed",
    "ReadPrompt",
    "RelayBroken",
    "RelayStream",
    "StreamAnswered",
    "StreamBroken",
    "Wait",
    "Waited",
]


@attrs.frozen
class Waited:
    """The pause between two rounds of asking is over."""


@attrs.frozen
class PlanGranted:
    """The planner gave a place at this endpoint, and named the one that is to read."""

    instance: str
    reader: str | None = None


@attrs.frozen
class PlanRefused:
    """The planner foresees no place in time; 0 leaves the time to return open."""

    retry_after_ms: int


@attrs.frozen
class PlanSilent:
    """There is no planner now: go on without."""


@attrs.frozen
class HoldTaken:
    """A decode endpoint reserved a slot and memory."""

    hold: KvHold


@attrs.frozen
class HoldFailed:
    """A decode endpoint has no room, or (`broken`) gave no answer."""

    instance: str
    broken: bool


@attrs.frozen
class PromptRead:
    """A prefill endpoint read the prompt."""

    handle: KvHandle


@attrs.frozen
class ReadFailed:
    """The prompt was not read there: it was refused, or (`broken`) got no answer."""

    instance: str
    broken: bool


@attrs.frozen
class StreamAnswered:
    """A decode endpoint answered; of a success its first bytes are at hand."""

    instance: str
    head: AnswerHead


@attrs.frozen
class StreamBroken:
    """No answer came; `sent` tells whether the endpoint may have seen the request."""

    instance: str
    sent: bool
    silent: bool = False


@attrs.frozen
class RelayBroken:
    """The stream ended early; `known` tells whether its last event's id is known."""

    instance: str
    known: bool


@attrs.frozen
class AskPlanner:
    """Ask the planner for a place, and wait for it at most this long."""

    in_time_ms: int
    patience_ms: int
    avoid: tuple[str, ...]
    broken: tuple[str, ...]


@attrs.frozen
class AskHold:
    """Reserve memory at this endpoint, if the headroom is free there too."""

    endpoint: ServiceEndpoint
    tokens: int
    headroom_tokens: int
    ttl_ms: int


@attrs.frozen
class ReadPrompt:
    """Have the prompt read at this endpoint."""

    endpoint: ServiceEndpoint
    timeout_ms: int


@attrs.frozen
class OpenStream:
    """Send the request to the endpoint of the hold, with the handle if there is one."""

    endpoint: ServiceEndpoint


@attrs.frozen
class RelayStream:
    """Pass the answer on."""


@attrs.frozen
class Wait:
    """Look again after this pause."""

    pause_ms: int


@attrs.frozen
class Cut:
    """Close the caller's connection: the answer began and can't be finished."""

    reason: str


Event = (
    Begin
    | PlanGranted
    | PlanRefused
    | PlanSilent
    | Waited
    | HoldTaken
    | HoldFailed
    | PromptRead
    | ReadFailed
    | StreamAnswered
    | StreamBroken
    | RelayBroken
)
Command = AskPlanner | AskHold | ReadPrompt | OpenStream | RelayStream | Wait | Refuse | Cut
