"""Events and commands of the quarantine core."""

import enum

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.quarantine.messages import Suspicion, SuspicionNews
from saffronworks.forwarding.starts import StartId

__all__ = [
    "Command",
    "EndpointEnded",
    "Event",
    "ProbeResult",
    "SuspicionChanged",
    "Probe",
    "ProbeFinished",
    "RecordRead",
    "RecordsLost",
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
    """A run of a content broke off; `leaving` if the endpoint was draining or not listed."""

    content: ContentId
    endpoint: ServiceEndpoint
    cause: ExchangeErrorCause
    leaving: bool = False


@attrs.frozen
class ProbeFinished:
    """A probe of an endpoint has a result."""

    instance: StartId
    found: ProbeResult


@attrs.frozen
class RunSucceeded:
    """A run of the content returned a complete answer with an explicit end."""

    content: ContentId


@attrs.frozen
class TrialStarted:
    """A quarantined content is sent once, to one endpoint."""

    content: ContentId


@attrs.frozen
class RecordRead:
    """The store listed this content as quarantined when this node started."""

    suspicion: Suspicion


@attrs.frozen
class RecordsLost:
    """The store was restored from a backup, which may lack records or contain removed ones."""


@attrs.frozen
class Tick:
    """Time passed."""


Event = (
    RunFailed
    | ProbeFinished
    | RunSucceeded
    | TrialStarted
    | RecordRead
    | RecordsLost
    | SuspicionNews
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
    news: SuspicionNews


@attrs.frozen
class WriteRecord:
    """Write a quarantined content to the store, so that it survives a restart of all nodes."""

    suspicion: Suspicion


@attrs.frozen
class RemoveRecord:
    """Remove a content from the store."""

    content: ContentId


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


Command = Probe | SendNews | WriteRecord | RemoveRecord | EndpointEnded | SuspicionChanged
