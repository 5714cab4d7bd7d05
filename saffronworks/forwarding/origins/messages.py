"""Messages between the nodes that begin or resume streams and the nodes that hold records."""

import attrs

from saffronworks.forwarding.origins.records import Origin, StreamKey
from saffronworks.wire import Age, Size, Wait

__all__ = [
    "PEER_MESSAGES",
    "HistoryAnswer",
    "HistoryRequest",
    "OriginAnswer",
    "OriginLookup",
    "OriginNotice",
    "OriginStored",
]


@attrs.frozen
class OriginNotice:
    """Entry node to holder: a stream has begun, or goes on. Expires after `ttl_ms`.

    `origin` is None if the version is not certain. `reply_to` is empty if no `OriginStored` is
    expected.
    """

    key: StreamKey
    origin: Origin | None
    ttl_ms: Size
    reply_to: str = ""


@attrs.frozen
class OriginStored:
    """Holder to entry node: the record is stored."""

    key: StreamKey
    holder: str


@attrs.frozen
class OriginLookup:
    """Entry node to holder: what began this stream, or may have begun it?

    `key` is empty if the caller names no request. `route` and `window_ms` are those of the
    `candidates` in the answer. `latest`: the holder reads the store's changes before it answers.
    """

    lookup_id: str
    reply_to: str
    key: StreamKey
    route: str
    window_ms: Size
    latest: bool = False


@attrs.frozen
class OriginAnswer:
    """Holder to entry node: the records of the stream, two if they conflict, and its age.

    `candidates` may have begun a stream without a record; `covers_window`: all are named that the
    sender can know of, and `latest`: it has read the store's changes since it was asked.
    `ambiguous`: the origin is not certain, and may be after `settles_in_ms`; 0 if it never will.
    """

    lookup_id: str
    holder: str
    records: tuple[Origin, ...] = ()
    age_ms: Age = 0
    candidates: tuple[Origin, ...] = ()
    covers_window: bool = False
    ambiguous: bool = False
    settles_in_ms: Wait = 0
    latest: bool = False

    @property
    def names_all_candidates(self) -> bool:
        """Return whether no other service or version may have begun the stream."""
        return self.covers_window and self.latest


@attrs.frozen
class HistoryRequest:
    """Node that has started to another one: what served streams before?"""

    reply_to: str


@attrs.frozen
class HistoryAnswer:
    """The services with their versions, and the routes with their services, of the recent past.

    Each has its age in ms, 0 if it is there now. The sender knows all of the last `covers_ms`, 0 if
    it lacks recent updates of the store.
    """

    versions: tuple[tuple[str, str, Age], ...]
    routes: tuple[tuple[str, str, Age], ...]
    covers_ms: Size


# The messages that a node receives.
PEER_MESSAGES = (
    OriginNotice,
    OriginStored,
    OriginLookup,
    OriginAnswer,
    HistoryRequest,
    HistoryAnswer,
)
