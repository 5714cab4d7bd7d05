"""Events and commands of the generation state machine."""

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import FaultSite
from saffronworks.forwarding.messages import AnswerHead, Begin, KvHandle, KvHold, Refuse
from saffronworks.forwarding.starts import StartId

__all__ = [
    "AdoptHold",
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
    """The pause before the next round of hold requests is over."""


@attrs.frozen
class PlanGranted:
    """The planner granted memory at `instance`, and chose `reader` for the prefill."""

    instance: StartId
    reader: StartId | None = None


@attrs.frozen
class PlanRefused:
    """The planner expects no free memory in time; `retry_after_ms` 0 means no retry time."""

    retry_after_ms: int


@attrs.frozen
class PlanSilent:
    """The planner did not answer or has no complete plan; the request continues without it."""


@attrs.frozen
class HoldTaken:
    """A decode endpoint reserved a slot and memory."""

    hold: KvHold


@attrs.frozen
class HoldFailed:
    """A decode endpoint rejected the hold, or (`broken`) failed without an answer."""

    instance: StartId
    broken: bool


@attrs.frozen
class PromptRead:
    """A prefill endpoint prefilled the prompt; `handle` names its KV cache entry."""

    handle: KvHandle


@attrs.frozen
class ReadFailed:
    """A prefill endpoint rejected the prompt, or (`broken`) gave no answer.

    `sent` is false where no call was made: its rate limit was reached, or it accepts no requests.
    `silent`: it may still be at work, as it gave no answer in time and accepts connections.
    """

    instance: StartId
    broken: bool
    sent: bool = True
    rejected: bool = False
    silent: bool = False


@attrs.frozen
class StreamAnswered:
    """A decode endpoint answered; for a success, the first part of the body has arrived too."""

    instance: StartId
    head: AnswerHead


@attrs.frozen
class StreamBroken:
    """A decode endpoint gave no answer. `sent`: it may have received the request.

    `silent`: the answer timed out. `site` is where it failed.
    """

    instance: StartId
    sent: bool
    silent: bool = False
    site: FaultSite = FaultSite.ENDPOINT


@attrs.frozen
class StreamWithheld:
    """The request was not sent, as the endpoint accepts no more requests."""

    instance: StartId


@attrs.frozen
class RelayBroken:
    """The stream broke off; `position_known` says that the id of its last event is known.

    `site` is where it failed. `hold` was taken for the next run while this one was silent.
    """

    instance: StartId
    position_known: bool
    site: FaultSite = FaultSite.ENDPOINT
    hold: KvHold | None = None


@attrs.frozen
class AskPlanner:
    """Ask the planner for memory, and wait for the grant for up to `patience_ms`."""

    in_time_ms: int
    patience_ms: int
    avoid: tuple[StartId, ...]
    broken: tuple[StartId, ...]


@attrs.frozen
class TakeHold:
    """Reserve memory at an endpoint, provided that the headroom is free there as well."""

    endpoint: ServiceEndpoint
    tokens: int
    headroom_tokens: int
    ttl_ms: int
    timeout_ms: int


@attrs.frozen
class AdoptHold:
    """End the broken run, and continue with the hold that was taken in the meantime."""

    hold: KvHold


@attrs.frozen
class ReadPrompt:
    """Send the prompt to a prefill endpoint.

    While the process of the endpoint is suspended, the call lasts up to `suspended_timeout_ms`.
    """

    endpoint: ServiceEndpoint
    timeout_ms: int
    suspended_timeout_ms: int


@attrs.frozen
class OpenStream:
    """Send the request to the endpoint of the hold, with the KV handle if there is one."""

    endpoint: ServiceEndpoint


@attrs.frozen
class Wait:
    """Pause, then start another round of hold requests."""

    pause_ms: int


@attrs.frozen
class StartStream:
    """Send the head of a stream to the caller, then its events as they arrive."""

    head: AnswerHead


@attrs.frozen
class RelayFailure:
    """Send the error response of an endpoint to the caller unchanged."""

    head: AnswerHead


@attrs.frozen
class ContinueStream:
    """Send the events of another run, which continue those already sent."""


@attrs.frozen
class Cut:
    """Close the caller's connection, as the answer started and can't be completed."""

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
# Commands that lead to an attempt at an endpoint; valid at any time.
AttemptCommand = AskPlanner | TakeHold | AdoptHold | ReadPrompt | OpenStream | Wait
# Commands that send the head of an answer; valid only before a head was sent.
StartCommand = Refuse | StartStream | RelayFailure
# Commands that send no head; valid only after an answer has started.
FollowUpCommand = ContinueStream | Cut
Command = AttemptCommand | StartCommand | FollowUpCommand
