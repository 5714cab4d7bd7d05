"""What a node hears of contents that end endpoints, and what is to be done: events and commands."""

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
    "Found",
    "Learned",
    "Look",
    "Looked",
    "RecordRead",
    "RecordsLost",
    "RanWell",
    "Record",
    "RunBroke",
    "Tell",
    "Tick",
    "TrialBegan",
    "Unrecord",
]


class Found(enum.Enum):
    """What a look at an endpoint found."""

    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"
    # Silent, and the store lists it no more.
    GONE = "gone"
    STARTED_AGAIN = "started-again"

    @property
    def ended(self) -> bool:
        """Whether it shows by itself that the endpoint has ended."""
        return self in (Found.GONE, Found.STARTED_AGAIN)


@attrs.frozen
class RunBroke:
    """An endpoint closed while it worked on a content; `leaving` if that was foreseen."""

    content: ContentId
    endpoint: ServiceEndpoint
    cause: ExchangeErrorCause
    leaving: bool = False


@attrs.frozen
class Looked:
    """A look at an endpoint is over."""

    instance: StartId
    found: Found


@attrs.frozen
class RanWell:
    """A run of the content came to a whole answer, whose end the endpoint told."""

    content: ContentId


@attrs.frozen
class TrialBegan:
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


Event = RunBroke | Looked | RanWell | TrialBegan | RecordRead | RecordsLost | SuspicionNews | Tick


@attrs.frozen
class Look:
    """See whether somebody listens at the endpoint, after a pause."""

    endpoint: ServiceEndpoint
    after_ms: int


@attrs.frozen
class Tell:
    """Tell these nodes."""

    nodes: tuple[str, ...]
    news: SuspicionNews


@attrs.frozen
class Record:
    """Write a quarantined content to the store, so that it outlives all nodes."""

    suspicion: Suspicion


@attrs.frozen
class Unrecord:
    """Remove it from the store."""

    content: ContentId


@attrs.frozen
class EndpointEnded:
    """A belief to log: an endpoint ended while it worked on so many contents."""

    instance: StartId
    contents: int
    found: Found


@attrs.frozen
class Learned:
    """A belief to log: what is now known of a content that is serious."""

    suspicion: Suspicion


Command = Look | Tell | Record | Unrecord | EndpointEnded | Learned
