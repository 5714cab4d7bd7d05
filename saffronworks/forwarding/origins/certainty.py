"""Whether an endpoint still runs the software version that the store lists for it.

An endpoint that restarts under its name and address, with another version, accepts requests that
are meant for its earlier start until the store shows the later one.
"""

from collections import deque
from collections.abc import Collection

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.origins.records import StreamKey
from saffronworks.forwarding.origins.tuning import (
    ENTRIES_FRESH_MS,
    ENTRY_WRITE_MS,
    MAX_RECORDS,
    RESTORED_ENTRIES_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["BegunStream", "Knowledge", "VersionCertainty"]


@attrs.frozen
class Knowledge:
    """What a node knows of an endpoint.

    `updated_ms` is when the endpoints were last up to date, and `connected_since_ms` when the
    oldest open connection to this one was opened, None without any.
    """

    updated_ms: int
    connected_since_ms: int | None = None


@attrs.frozen
class BegunStream:
    """A stream whose first event came from `endpoint`, or that continued there, at `at_ms`."""

    key: StreamKey
    endpoint: ServiceEndpoint
    ttl_ms: int
    at_ms: int


# Failures that an endpoint's restart may have caused.
_RESTART_CAUSES = frozenset(
    [
        ExchangeErrorCause.CLOSED,
        ExchangeErrorCause.CONNECT,
        ExchangeErrorCause.RESET,
        ExchangeErrorCause.SILENT,
        ExchangeErrorCause.UNREACHABLE,
    ]
)


@attrs.define
class _Doubt:
    """A failure after which an endpoint may have restarted.

    It has not restarted since it accepted the connection that was opened at `connected_ms`, the
    oldest one that was open when it was looked for; None before that.
    """

    connected_ms: int | None = None


@attrs.define
class VersionCertainty:
    """What speaks against the listed versions: broken connections, and a restored store."""

    _doubts: dict[StartId, _Doubt] = attrs.Factory(dict)
    _proven_ms: dict[StartId, int] = attrs.Factory(dict)
    _begun: deque[BegunStream] = attrs.Factory(deque)
    _restored_ms: int | None = None

    def record_break(self, endpoint: ServiceEndpoint, cause: ExchangeErrorCause) -> None:
        """Record a failed exchange, after which the endpoint may have restarted."""
        if endpoint.born_ms is not None and cause in _RESTART_CAUSES:
            self._doubts[endpoint.instance] = _Doubt()

    def record_restore(self, now_ms: int) -> None:
        """Record that the store was restored; its entries may be those of earlier starts."""
        self._restored_ms = now_ms

    def is_certain(self, endpoint: ServiceEndpoint, known: Knowledge, now_ms: int) -> bool:
        """Return whether the listed version is that of the software that answers.

        A connection that was open while it was certain ends with the process of that software.
        Endpoints without a start time have another name after each start.
        """
        if endpoint.born_ms is None:
            return True
        fresh = now_ms - known.updated_ms <= ENTRIES_FRESH_MS
        if self._is_proven(known) or (fresh and self._is_shown(endpoint, known)):
            self._proven_ms[endpoint.instance] = now_ms
            return True
        proven_ms = self._proven_ms.get(endpoint.instance)
        since_ms = known.connected_since_ms
        return proven_ms is not None and since_ms is not None and since_ms <= proven_ms

    def _is_proven(self, known: Knowledge) -> bool:
        """Return whether a process that is still connected is the one that the store lists."""
        since_ms = known.connected_since_ms
        if since_ms is None or known.updated_ms < since_ms + ENTRY_WRITE_MS:
            return False
        return self._has_entries_since_restore(known)

    def _has_entries_since_restore(self, known: Knowledge) -> bool:
        """Return whether endpoints have written their entries again if the store was restored."""
        restored_ms = self._restored_ms
        return restored_ms is None or known.updated_ms >= restored_ms + RESTORED_ENTRIES_MS

    def _is_shown(self, endpoint: ServiceEndpoint, known: Knowledge) -> bool:
        """Return whether the store would show a later start by now."""
        doubt = self._doubts.get(endpoint.instance)
        if not self._has_entries_since_restore(known):
            return False
        if doubt is None:
            return True
        if doubt.connected_ms is None:
            doubt.connected_ms = known.connected_since_ms
        if doubt.connected_ms is None or known.updated_ms < doubt.connected_ms + ENTRY_WRITE_MS:
            return False
        del self._doubts[endpoint.instance]
        return True

    def is_settled(self, stream: BegunStream, known: Knowledge) -> bool:
        """Return whether the store would show by now that a later start sent its first event."""
        written = known.updated_ms >= stream.at_ms + ENTRY_WRITE_MS
        return written and self._has_entries_since_restore(known)

    def record_stream(self, stream: BegunStream, now_ms: int) -> None:
        """Record the first event of a stream at an endpoint, or that it continues there."""
        while self._begun and now_ms - self._begun[0].at_ms >= ENTRY_WRITE_MS:
            self._begun.popleft()
        if stream.endpoint.born_ms is not None and len(self._begun) < MAX_RECORDS:
            self._begun.append(stream)

    def find_doubtful(self, later: ServiceEndpoint, now_ms: int) -> list[BegunStream]:
        """Return the streams of an earlier start that `later`, now listed, may have sent.

        It has another version, and may have answered for a while before it was listed.
        """
        return [
            stream
            for stream in self._begun
            if stream.endpoint.name == later.name
            and stream.endpoint.instance != later.instance
            and stream.endpoint.version != later.version
            and now_ms - stream.at_ms < ENTRY_WRITE_MS
        ]

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the state of all other endpoints."""
        for kept in (self._doubts, self._proven_ms):
            for instance in kept.keys() - set(instances):
                del kept[instance]
