"""Endpoints that failed requests, as the planner hears of them from all entry nodes."""

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
    """Each is left alone for a while, twice as long when it fails again right after that."""

    _ejections: dict[StartId, _Ejection] = attrs.Factory(dict)
    _new: list[tuple[StartId, int]] = attrs.Factory(list)

    def record_failure(self, instance: StartId, now_ms: int) -> None:
        """A request failed there. More that failed meanwhile make it no worse."""
        known = self._ejections.get(instance)
        if known is not None and now_ms < known.until_ms:
            return
        repeated = known is not None and now_ms < known.until_ms + known.span_ms
        span_ms = min(2 * known.span_ms, MAX_EJECTION_MS) if known and repeated else EJECTION_MS
        self._ejections[instance] = _Ejection(now_ms + span_ms, span_ms)
        self._new.append((instance, span_ms))

    def take_new(self) -> list[tuple[StartId, int]]:
        """Those that are left alone from now on, and for how many ms; each is told once."""
        new, self._new = self._new, []
        return new

    def is_ejected(self, instance: StartId, now_ms: int) -> bool:
        """Whether it is to get nothing now."""
        known = self._ejections.get(instance)
        return known is not None and now_ms < known.until_ms

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        for instance in self._ejections.keys() - instances:
            del self._ejections[instance]

    def usable(self, instances: Iterable[StartId], now_ms: int) -> list[StartId]:
        """Those that may get work; all of them when none is left, as one may serve again."""
        named = list(instances)
        return [name for name in named if not self.is_ejected(name, now_ms)] or named
