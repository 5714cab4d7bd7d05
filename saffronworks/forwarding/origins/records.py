"""Records of streams' origins, kept by the nodes that hold them."""

import hashlib
from typing import NewType

import attrs

from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.origins.tuning import (
    MAX_RECORD_TTL_MS,
    MAX_RECORDS,
    MIN_RESUME_WINDOW_MS,
    RESUME_WINDOW_TIMEOUTS,
)
from saffronworks.forwarding.routing import Route

__all__ = ["Origin", "OriginRecord", "OriginTable", "StreamKey", "resume_window_ms", "stream_key"]

# A hexadecimal digest of a request's id and its sender.
StreamKey = NewType("StreamKey", str)

# 128 bits prevent a caller from constructing the key of another one's stream.
KEY_BYTES = 16


@attrs.frozen(order=True)
class Origin:
    """The service whose endpoint began a stream, and the version of the endpoint's software."""

    service: str
    version: str


@attrs.frozen
class OriginRecord:
    """The origin of one stream, None if it is not certain.

    `final`: it stays uncertain, as it was withdrawn or two streams have the same key.
    """

    origin: Origin | None
    recorded_ms: int
    expires_at_ms: int
    final: bool = False


def stream_key(request: CallerRequest, request_id: str) -> StreamKey:
    """Return the key of the stream that `request_id` began.

    It covers the organisation, or the caller's credentials without one: a caller that names the
    request of another one finds nothing, as if there were no such request.
    """
    owner = request.organisation.name if request.organisation else request.caller
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (owner, request_id):
        data = part.encode()
        digest.update(b"%d:" % len(data))
        digest.update(data)
    return StreamKey(digest.hexdigest())


def resume_window_ms(route: Route) -> int:
    """Return how long after its first event a stream of a route can be resumed."""
    window_ms = max(MIN_RESUME_WINDOW_MS, RESUME_WINDOW_TIMEOUTS * route.timeout_ms)
    return min(window_ms, MAX_RECORD_TTL_MS)


@attrs.define
class OriginTable:
    """The records that one node holds, in the order in which they were stored."""

    max_records: int = MAX_RECORDS
    _records: dict[StreamKey, OriginRecord] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._records)

    def store(self, key: StreamKey, origin: Origin | None, ttl_ms: int, now_ms: int) -> None:
        """Store a record, or extend it if it is known.

        An uncertain origin (None) may become certain later. A different one under the same key
        makes the record ambiguous: the caller has used one request id for two streams.
        """
        known = self.find(key, now_ms)
        final = known is not None and (
            known.final or (known.origin is not None and known.origin != origin)
        )
        recorded_ms = now_ms if known is None else known.recorded_ms
        self._records.pop(key, None)
        self._drop_oldest(now_ms)
        expires_at_ms = now_ms + max(0, min(ttl_ms, MAX_RECORD_TTL_MS))
        self._records[key] = OriginRecord(
            None if final else origin, recorded_ms, expires_at_ms, final
        )

    def find(self, key: StreamKey, now_ms: int) -> OriginRecord | None:
        """Return the record of a stream, None if there is none."""
        known = self._records.get(key)
        return known if known is not None and now_ms < known.expires_at_ms else None

    def _drop_oldest(self, now_ms: int) -> None:
        """Drop records that have expired, and the oldest one if the table is full."""
        while self._records:
            key, oldest = next(iter(self._records.items()))
            if now_ms < oldest.expires_at_ms and len(self._records) < self.max_records:
                return
            del self._records[key]
