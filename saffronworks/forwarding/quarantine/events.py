"""What a node hears of contents that end endpoints, and what is to be done: events and commands."""

import enum

import attrs

from saffronworks.forwarding.breaks import BreakCause
from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
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
    """What a look at an endpoint found."""

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"
    # Silent, and the store lists it no more.
    GONE = "gone"
    RESTARTED = "started-again"

    @property
    def proves_end(self) -> bool:
        """Whether it shows by itself that the endpoint has ended."""
        return self in (ProbeResult.GONE, ProbeResult.RESTARTED)


@attrs.frozen
class RunFailed:
    """An endpoint closed while it worked on a content; `leaving` if that was foreseen."""

    content: ContentId
    endpoint: ServiceEndpoint
    cause: BreakCause
    leaving: bool = False


@attrs.frozen
class ProbeFinished:
    """A look at an endpoint is over."""

    instance: StartId
    found: ProbeResult


@attrs.frozen
class RunSucceeded:
    """A run of the content came to a whole answer, whose end the endpoint told."""

    content: ContentId


@attrs.frozen
class TrialStarted:
    """A quarantined content is sent to one endpoint, once."""

    content: ContentId


@attrs.frozen
class RecordRead:
    """The store had this content as quarantined when this node started."""

    suspicion: Suspicion


@attrs.frozen
class RecordsLost:
    """The store was restored from a copy, which may lack records and have removed ones."""


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
    """See whether somebody listens at the endpoint, after a pause."""

    endpoint: ServiceEndpoint
    after_ms: int


@attrs.frozen
class SendNews:
    """Tell these nodes."""

    nodes: tuple[str, ...]
    news: SuspicionNews


@attrs.frozen
class WriteRecord:
    """Write a quarantined content to the store, so that it outlives all nodes."""

    suspicion: Suspicion


@attrs.frozen
class RemoveRecord:
    """Remove it from the store."""

    content: ContentId


@attrs.frozen
class EndpointEnded:
    """A belief to log: an endpoint ended while it worked on so many contents."""

    instance: StartId
    contents: int
    found: ProbeResult


@attrs.frozen
class SuspicionChanged:
    """A belief to log: what is now known of a content that is serious."""

    suspicion: Suspicion


Command = Probe | SendNews | WriteRecord | RemoveRecord | EndpointEnded | SuspicionChanged
