"""When this node last reached each endpoint, and when it last failed to."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.starts import StartId

__all__ = ["PathTable"]

# Endpoints that were not contacted for this long count neither as reached nor as unreached.
RECENT_MS = 5000


@attrs.define
class PathTable:
    """The latest successes and failures of connections to endpoints."""

    _reached_ms: dict[StartId, int] = attrs.Factory(dict)
    _failed_ms: dict[StartId, int] = attrs.Factory(dict)

    def record_reached(self, instance: StartId, now_ms: int) -> None:
        """Record an opened connection or a complete answer."""
        self._reached_ms[instance] = now_ms

    def record_failed(self, instance: StartId, now_ms: int) -> None:
        """Record a connection that could not be opened."""
        self._failed_ms[instance] = now_ms

    def reached_ms_ago(self, instance: StartId, now_ms: int) -> int | None:
        """Return the time since the endpoint was reached, or None if it never was."""
        reached_ms = self._reached_ms.get(instance)
        return None if reached_ms is None else now_ms - reached_ms

    def count_recent(self, now_ms: int) -> dict[str, int]:
        """Return how many endpoints were `reached` recently, and how many others were not."""
        since_ms = now_ms - RECENT_MS
        reached = {one for one, at_ms in self._reached_ms.items() if at_ms > since_ms}
        failed = {one for one, at_ms in self._failed_ms.items() if at_ms > since_ms}
        return {"reached": len(reached), "unreached": len(failed - reached)}

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the state of endpoints that are not in `instances`."""
        for times_ms in (self._reached_ms, self._failed_ms):
            for instance in times_ms.keys() - set(instances):
                del times_ms[instance]
