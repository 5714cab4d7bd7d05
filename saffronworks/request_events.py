"""Outcomes of a request, and the events and commands of its state machine (`requests.py`)."""

import enum

import attrs

__all__ = [
    "AskOwner",
    "AssignReceived",
    "AssignWithdrawn",
    "CallerGone",
    "CancelAt",
    "Cancelled",
    "Command",
    "Completed",
    "DecodeBroken",
    "DecodeEnded",
    "DecodeRefused",
    "DecodeStarted",
    "Deliver",
    "Event",
    "Finish",
    "GrantReceived",
    "LeaseLost",
    "NodeStopping",
    "NotRun",
    "Outcome",
    "OwnerChanged",
    "Phase",
    "PrefillEnded",
    "PrefillFailed",
    "RefusalReceived",
    "ReleaseGrant",
    "ResumeDecode",
    "RouterFailed",
    "StartDecode",
    "StartPrefill",
    "Started",
    "TellPrefilled",
    "Tick",
    "TokensArrived",
    "Told",
    "Unknown",
]

RETRY_AFTER_MS = 1000


class Phase(enum.StrEnum):
    """Where a request stands."""

    RECEIVED = "received"
    WAITING = "waiting"
    PREFILLING = "prefilling"
    ASSIGNING = "assigning"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    FINISHED = "finished"


@attrs.frozen
class Completed:
    """The whole answer was delivered, each token once."""


@attrs.frozen
class NotRun:
    """No endpoint can have started the request."""

    reason: str
    retry_after_ms: int = RETRY_AFTER_MS


@attrs.frozen
class Unknown:
    """Dispatched, and no one can tell whether it ran, or it ran in part."""

    reason: str


@attrs.frozen
class Cancelled:
    """The caller left; nobody is told anything."""


Told = Completed | NotRun | Unknown
Outcome = Told | Cancelled


@attrs.frozen
class Started:
    """The request was read and passed its checks."""


@attrs.frozen
class GrantReceived:
    """The owner lets a prefill start."""

    attempt: int
    endpoint: str


@attrs.frozen
class RefusalReceived:
    """The owner gave up on the attempt before its prefill."""

    attempt: int
    reason: str
    retry_after_ms: int


@attrs.frozen
class PrefillEnded:
    """The KV result stands ready at the prefill endpoint."""

    attempt: int
    kv_id: str
    prefill_ms: int
    cached_tokens: int
    expires_in_ms: int


@attrs.frozen
class PrefillFailed:
    """`executed` is False only when the endpoint cannot have started."""

    attempt: int
    executed: bool
    failure: str


@attrs.frozen
class AssignReceived:
    """The owner names the decode endpoint, and when the transfer to it counts as stalled."""

    attempt: int
    endpoint: str
    limit_ms: int


@attrs.frozen
class AssignWithdrawn:
    """No slot came free before the KV result expired."""

    attempt: int


@attrs.frozen
class DecodeStarted:
    """The KV result was imported and its slot is held."""

    attempt: int
    transfer_ms: int


@attrs.frozen
class DecodeRefused:
    """The decode endpoint took nothing. `kv_lost`: the KV result is gone."""

    attempt: int
    kv_lost: bool
    failure: str


@attrs.frozen
class TokensArrived:
    """Tokens from `offset` on, counted from the start of the answer."""

    attempt: int
    offset: int
    tokens: tuple[str, ...]


@attrs.frozen
class DecodeEnded:
    """The endpoint says the answer has `total` tokens and is whole; None: it told no number."""

    attempt: int
    total: int | None


@attrs.frozen
class DecodeBroken:
    """The stream broke. `engine_alive`: the engine still has the stream."""

    attempt: int
    engine_alive: bool
    failure: str


@attrs.frozen
class CallerGone:
    """The caller hung up."""


@attrs.frozen
class RouterFailed:
    """An error that nobody foresaw ended the request's task."""


@attrs.frozen
class NodeStopping:
    """The node ends, and with it each request."""


@attrs.frozen
class LeaseLost:
    """This node stood still past its lease: others took what the request held."""


@attrs.frozen
class OwnerChanged:
    """Another node owns the cell from now on."""


@attrs.frozen
class Tick:
    """Time passes."""


Event = (
    Started
    | GrantReceived
    | RefusalReceived
    | PrefillEnded
    | PrefillFailed
    | AssignReceived
    | AssignWithdrawn
    | DecodeStarted
    | DecodeRefused
    | TokensArrived
    | DecodeEnded
    | DecodeBroken
    | CallerGone
    | RouterFailed
    | NodeStopping
    | LeaseLost
    | OwnerChanged
    | Tick
)


@attrs.frozen
class AskOwner:
    """Ask the owner for a prefill grant."""

    attempt: int
    retry: bool


@attrs.frozen
class StartPrefill:
    """Dispatch the prefill; begun later than `begin_within_ms`, it would help nobody."""

    attempt: int
    endpoint: str
    delivered: int
    begin_within_ms: int


@attrs.frozen
class TellPrefilled:
    """Tell the owner that the KV result waits; `refused_by` names a full decode endpoint."""

    attempt: int
    refused_by: str = ""
    failure: str = ""


@attrs.frozen
class StartDecode:
    """Import the KV result within `import_within_ms`, and stream from `offset`."""

    attempt: int
    endpoint: str
    source: str
    kv_id: str
    offset: int
    import_within_ms: int


@attrs.frozen
class ResumeDecode:
    """Attach again to the running stream at `offset`."""

    attempt: int
    endpoint: str
    offset: int


@attrs.frozen
class CancelAt:
    """Cancel the attempt at an endpoint until it acknowledges."""

    attempt: int
    endpoint: str


@attrs.frozen
class ReleaseGrant:
    """Tell the owner that the attempt holds nothing any more."""

    attempt: int
    finished: bool = False
    failed: tuple[str, ...] = ()
    failure: str = ""


@attrs.frozen
class Deliver:
    """Hand tokens to the caller, in order."""

    tokens: tuple[str, ...]


@attrs.frozen
class Finish:
    """The last command of a request."""

    outcome: Outcome


Command = (
    AskOwner
    | StartPrefill
    | TellPrefilled
    | StartDecode
    | ResumeDecode
    | CancelAt
    | ReleaseGrant
    | Deliver
    | Finish
)
