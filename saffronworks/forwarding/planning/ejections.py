"""Ejects endpoints that failed requests, as reported by all entry nodes."""

from collections.abc import Iterable

import attrs

from saffronworks.forwarding.planning.tuning import (
    EJECTION_MS,
    MAX_EJECTION_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["EjectionTable"]


@attrs.define
class _Ejection:
    until_ms: int
    span_ms: int


@attrs.define
class EjectionTable:
    """The endpoints that get no work for a while after a failure.

    An endpoint that fails again right after its ejection is ejected for twice as long.
    """

    _ejections: dict[StartId, _Ejection] = attrs.Factory(dict)
    _new: list[tuple[StartId, int]] = attrs.Factory(list)

    def record_failure(self, instance: StartId, now_ms: int) -> None:
        """Eject an endpoint; further failures during its ejection have no effect."""
        known = self._ejections.get(instance)
        if known is not None and now_ms < known.until_ms:
            return
        repeated = known is not None and now_ms < known.until_ms + known.span_ms
        span_ms = min(2 * known.span_ms, MAX_EJECTION_MS) if known and repeated else EJECTION_MS
        self._ejections[instance] = _Ejection(now_ms + span_ms, span_ms)
        self._new.append((instance, span_ms))

    def take_new(self) -> list[tuple[StartId, int]]:
        """Return the ejections since the last call, with their duration in ms."""
        new, self._new = self._new, []
        return new

    def is_ejected(self, instance: StartId, now_ms: int) -> bool:
        """Return whether an endpoint is ejected now."""
        known = self._ejections.get(instance)
        return known is not None and now_ms < known.until_ms

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of all other endpoints."""
        for instance in self._ejections.keys() - instances:
            del self._ejections[instance]

    def usable(self, instances: Iterable[StartId], now_ms: int) -> list[StartId]:
        """Return the endpoints that are not ejected; all of them if there is none."""
        named = list(instances)
        return [name for name in named if not self.is_ejected(name, now_ms)] or named
