"""What may have begun the streams of a route: the services and versions of the recent past.

A stream without a record can be continued only if a single version of a single service may have
begun it.
"""

import math
from collections import Counter
from collections.abc import Mapping, Set
from typing import Generic, TypeVar

import attrs

from saffronworks.forwarding.origins.messages import HistoryAnswer
from saffronworks.forwarding.origins.records import Origin
from saffronworks.forwarding.origins.tuning import MAX_RECORD_TTL_MS, MAX_REMEMBERED
from saffronworks.forwarding.routing import RoutingTable

__all__ = ["OriginHistory"]

_Item = TypeVar("_Item")


@attrs.define
class _Recent(Generic[_Item]):
    """A set, and when the items that left it were last in it, the earliest first.

    All items are remembered from `complete_from_ms` on; None before the first update.
    """

    current: Set[_Item] = frozenset()
    left_ms: dict[_Item, int] = attrs.Factory(dict)
    complete_from_ms: float | None = None

    def update(self, current: Set[_Item], began_ms: float, now_ms: int) -> None:
        """Replace the set; `began_ms` is the time from which on the first one is complete."""
        if self.complete_from_ms is None:
            self.complete_from_ms = began_ms
        for item in self.current - current:
            self.left_ms.pop(item, None)
            self.left_ms[item] = now_ms
        self.current = frozenset(current)
        self._forget(now_ms)

    def merge(self, ages_ms: Mapping[_Item, int], covers_ms: int, now_ms: int) -> None:
        """Add what another node remembers, complete for the last `covers_ms`."""
        if self.complete_from_ms is None:
            return
        left_ms = dict(self.left_ms)
        for item, age_ms in ages_ms.items():
            if item not in self.current:
                left_ms[item] = max(now_ms - age_ms, left_ms.get(item, now_ms - age_ms))
        self.left_ms = dict(sorted(left_ms.items(), key=lambda entry: entry[1]))
        self.complete_from_ms = min(self.complete_from_ms, now_ms - covers_ms)
        self._forget(now_ms)

    def _forget(self, now_ms: int) -> None:
        while self.left_ms:
            item, at_ms = next(iter(self.left_ms.items()))
            expired = now_ms - at_ms >= MAX_RECORD_TTL_MS
            if not expired and len(self.left_ms) <= MAX_REMEMBERED:
                return
            del self.left_ms[item]
            if not expired:
                self.complete_from_ms = at_ms + 1

    def covers_ms(self, now_ms: int) -> int:
        """Return how far back all items are remembered, `MAX_RECORD_TTL_MS` at most."""
        if self.complete_from_ms is None:
            return 0
        return int(max(0, min(now_ms - self.complete_from_ms, MAX_RECORD_TTL_MS)))

    def ages_ms(self, now_ms: int) -> dict[_Item, int]:
        """Return how long ago each item was last in the set; 0 for those that are."""
        past = {item: now_ms - at_ms for item, at_ms in self.left_ms.items()}
        return past | dict.fromkeys(self.current, 0)

    def within(self, window_ms: int, now_ms: int) -> set[_Item]:
        """Return the items that were in the set at any time in the last `window_ms`."""
        recent = {item for item, at_ms in self.left_ms.items() if now_ms - at_ms < window_ms}
        return recent | self.current


@attrs.define
class OriginHistory:
    """The versions of services, and the services of routes with streams, as this node knows them.

    A node that was there from the first start of the system on (`from_first_start`) knows that
    nothing came before. Any other one has to learn from nodes that were there earlier.
    """

    from_first_start: bool = False
    _versions: _Recent[Origin] = attrs.Factory(_Recent)
    _routes: _Recent[tuple[str, str]] = attrs.Factory(_Recent)

    def observe_versions(self, versions: Mapping[str, Set[str]], now_ms: int) -> None:
        """Record the versions that the listed endpoints of each service have now."""
        found = {Origin(service, each) for service, all_of in versions.items() for each in all_of}
        self._versions.update(found, self._began_ms(now_ms), now_ms)

    def observe_table(self, table: RoutingTable, now_ms: int) -> None:
        """Record the services of each route in a configuration that comes into force."""
        routes = (route for route in table.routes if route.streams)
        found = {(route.name, split.service) for route in routes for split in route.splits}
        self._routes.update(found, self._began_ms(now_ms), now_ms)

    def _began_ms(self, now_ms: int) -> float:
        return -math.inf if self.from_first_start else now_ms

    @property
    def began(self) -> bool:
        """Return whether this node knows the present endpoints and configuration."""
        known_from = (self._versions.complete_from_ms, self._routes.complete_from_ms)
        return None not in known_from

    def covers(self, window_ms: int, now_ms: int) -> bool:
        """Return whether `candidates` has all that was there in the last `window_ms`."""
        return self.began and self.covers_ms(now_ms) >= window_ms

    def covers_ms(self, now_ms: int) -> int:
        """Return how far back this node remembers all, `MAX_RECORD_TTL_MS` at most."""
        return min(self._versions.covers_ms(now_ms), self._routes.covers_ms(now_ms))

    def candidates(self, route: str, window_ms: int, now_ms: int) -> frozenset[Origin]:
        """Return what may have begun a stream of a route in the last `window_ms`."""
        services = {name for of, name in self._routes.within(window_ms, now_ms) if of == route}
        versions = self._versions.within(window_ms, now_ms)
        return frozenset(origin for origin in versions if origin.service in services)

    def count_versions(self, now_ms: int) -> Counter[str]:
        """Return the number of versions that each service has, or recently had."""
        recent = self._versions.within(MAX_RECORD_TTL_MS, now_ms)
        return Counter(origin.service for origin in recent)

    def export(self, now_ms: int) -> HistoryAnswer:
        """Return what this node remembers, for a node that has just started."""
        versions = self._versions.ages_ms(now_ms).items()
        routes = self._routes.ages_ms(now_ms).items()
        return HistoryAnswer(
            tuple((origin.service, origin.version, age_ms) for origin, age_ms in versions),
            tuple((route, service, age_ms) for (route, service), age_ms in routes),
            self.covers_ms(now_ms),
        )

    def merge(self, answer: HistoryAnswer, now_ms: int) -> None:
        """Add what another node remembers; it was asked after this node had begun."""
        versions = {Origin(service, version): age for service, version, age in answer.versions}
        routes = {(route, service): age for route, service, age in answer.routes}
        self._versions.merge(versions, answer.covers_ms, now_ms)
        self._routes.merge(routes, answer.covers_ms, now_ms)
