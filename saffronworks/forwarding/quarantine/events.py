"""Events and commands of the quarantine core."""

import enum

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.messages import (
    PartNews,
    PartSuspicion,
    Suspicion,
    SuspicionNews,
)
from saffronworks.forwarding.starts import StartId

__all__ = [
    "Command",
    "EndpointEnded",
    "Event",
    "PartChanged",
    "ProbeResult",
    "SuspicionChanged",
    "Probe",
    "ProbeFinished",
    "RecordRead",
    "RecordsLost",
    "RunProgressed",
    "RunSucceeded",
    "WriteRecord",
    "RunFailed",
    "SendNews",
    "Tick",
    "TrialStarted",
    "RemoveRecord",
]


class ProbeResult(enum.Enum):
    """The result of a probe."""

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"
    # Silent, and the store no longer lists the endpoint.
    GONE = "gone"
    RESTARTED = "started-again"

    @property
    def proves_end(self) -> bool:
        """True if a single probe with this result proves that the endpoint has ended."""
        return self in (ProbeResult.GONE, ProbeResult.RESTARTED)


@attrs.frozen
class RunFailed:
    """A run of a content broke off; `leaving` if the endpoint was draining or not listed.

    `parts`: shared parts of its prompt. `writing_ms`: time since its first event, 0 without one.
    """

    content: ContentId
    endpoint: ServiceEndpoint
    cause: ExchangeErrorCause
    leaving: bool = False
    parts: tuple[PartId, ...] = ()
    writing_ms: int = 0


@attrs.frozen
class ProbeFinished:
    """A probe of an endpoint has a result."""

    instance: StartId
    found: ProbeResult


@attrs.frozen
class RunSucceeded:
    """A run of the content returned a complete answer, and its endpoint goes on."""

    content: ContentId
    parts: tuple[PartId, ...] = ()


@attrs.frozen
class RunProgressed:
    """A run of a prompt with these parts has been writing for this long."""

    parts: tuple[PartId, ...]
    writing_ms: int


@attrs.frozen
class TrialStarted:
    """A quarantined content, or one with quarantined parts, is sent once, to one endpoint."""

    content: ContentId
    parts: tuple[PartId, ...] = ()


@attrs.frozen
class RecordRead:
    """The store listed this content or part as quarantined when this node started."""

    suspicion: Suspicion | PartSuspicion


@attrs.frozen
class RecordsLost:
    """The store was restored from a backup, which may lack records or contain removed ones."""


@attrs.frozen
class Tick:
    """Time passed."""


Event = (
    RunFailed
    | ProbeFinished
    | RunProgressed
    | RunSucceeded
    | TrialStarted
    | RecordRead
    | RecordsLost
    | SuspicionNews
    | PartNews
    | Tick
)


@attrs.frozen
class Probe:
    """Check after a delay whether the endpoint accepts connections."""

    endpoint: ServiceEndpoint
    after_ms: int


@attrs.frozen
class SendNews:
    """Send suspicions to these nodes."""

    nodes: tuple[str, ...]
    news: SuspicionNews | PartNews


@attrs.frozen
class WriteRecord:
    """Write a quarantined content or part to the store, which survives a restart of all nodes."""

    suspicion: Suspicion | PartSuspicion


@attrs.frozen
class RemoveRecord:
    """Remove a content or part from the store."""

    suspect: ContentId | PartId
    is_part: bool = False


@attrs.frozen
class EndpointEnded:
    """Log that an endpoint ended while it ran `contents` contents."""

    instance: StartId
    contents: int
    found: ProbeResult


@attrs.frozen
class SuspicionChanged:
    """Log the new state of a content that is gossiped."""

    suspicion: Suspicion


@attrs.frozen
class PartChanged:
    """Log the new state of a prompt part that is gossiped."""

    suspicion: PartSuspicion
    quarantined: bool


Command = (
    Probe | SendNews | WriteRecord | RemoveRecord | EndpointEnded | SuspicionChanged | PartChanged
)
