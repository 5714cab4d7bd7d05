"""What happens to a generation, and what is to be done next: events and commands of its core."""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.messages import AnswerHead, Begin, KvHandle, KvHold, Refuse
from saffronworks.forwarding.starts import StartId

__all__ = [
    "TakeHold",
    "AskPlanner",
    "Command",
    "ContinueStream",
    "Cut",
    "Event",
    "FollowUpCommand",
    "HoldFailed",
    "HoldTaken",
    "OpenStream",
    "StartCommand",
    "PlanGranted",
    "PlanRefused",
    "PlanSilent",
    "PromptRead",
    "ReadFailed",
    "ReadPrompt",
    "RelayBroken",
    "RelayFailure",
    "AttemptCommand",
    "StartStream",
    "StreamAnswered",
    "StreamBroken",
    "StreamWithheld",
    "Wait",
    "Waited",
]


@attrs.frozen
class Waited:
    """The pause between two rounds of asking is over."""


@attrs.frozen
class PlanGranted:
    """The planner gave a place at this endpoint, and named the one that is to read."""

    instance: StartId
    reader: StartId | None = None


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

    instance: StartId
    broken: bool


@attrs.frozen
class PromptRead:
    """A prefill endpoint read the prompt."""

    handle: KvHandle


@attrs.frozen
class ReadFailed:
    """The prompt was not read there: it was refused, or (`broken`) got no answer.

    `sent` is false where no call was made: its limit left no room, or it wants no more requests.
    """

    instance: StartId
    broken: bool
    sent: bool = True


@attrs.frozen
class StreamAnswered:
    """A decode endpoint answered; of a success its first bytes are at hand."""

    instance: StartId
    head: AnswerHead


@attrs.frozen
class StreamBroken:
    """No answer came; `sent` tells whether the endpoint may have seen the request."""

    instance: StartId
    sent: bool
    silent: bool = False


@attrs.frozen
class StreamWithheld:
    """The request was not sent: the endpoint wants no more of them."""

    instance: StartId


@attrs.frozen
class RelayBroken:
    """The stream ended early; `position_known` says that the id of its last event is known."""

    instance: StartId
    position_known: bool


@attrs.frozen
class AskPlanner:
    """Ask the planner for a place, and wait for it at most this long."""

    in_time_ms: int
    patience_ms: int
    avoid: tuple[StartId, ...]
    broken: tuple[StartId, ...]


@attrs.frozen
class TakeHold:
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
class Wait:
    """Look again after this pause."""

    pause_ms: int


@attrs.frozen
class StartStream:
    """Send the caller the head of a stream, and its events as they come."""

    head: AnswerHead


@attrs.frozen
class RelayFailure:
    """Give the caller the failure of an endpoint, as it came."""

    head: AnswerHead


@attrs.frozen
class ContinueStream:
    """Send on the events of another run: they follow those that the caller has."""


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
    | StreamWithheld
    | RelayBroken
)
# On the way to a run; legal at any time.
AttemptCommand = AskPlanner | TakeHold | ReadPrompt | OpenStream | Wait
# Legal only while nothing of an answer is out: each sends a head.
StartCommand = Refuse | StartStream | RelayFailure
# Legal only once a stream is out: none sends a head, and nothing but its own events goes on.
FollowUpCommand = ContinueStream | Cut
Command = AttemptCommand | StartCommand | FollowUpCommand
