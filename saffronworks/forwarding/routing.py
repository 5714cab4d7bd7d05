"""Routing by host and longest path prefix, with weighted splits over services."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.organisations import Organisation, Organisations
from saffronworks.hashing import hash32

__all__ = ["CallerLimits", "EngineSpec", "Route", "RoutingTable", "Service", "Split"]

# Priority that endpoints assume for a request without one; of ten, 0 is the most urgent.
DEFAULT_PRIORITY = 5


@attrs.frozen
class Split:
    """The weight of one service among those that share a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The operator's settings for the requests of one host and path prefix.

    `target_ms` is the latency target, `gap_target_ms` the one between two events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repeatable: bool
    streams: bool
    resumable: bool
    timeout_ms: int
    target_ms: int
    max_attempts: int
    gap_target_ms: int = 300
    # Callers need no API key.
    public: bool = False
    # 0 is the most urgent; it orders requests of organisations that have the same priority.
    priority: int = DEFAULT_PRIORITY

    @property
    def may_repeat(self) -> bool:
        """True if a request may run again after a run whose outcome is unknown."""
        return self.repeatable or (self.streams and self.resumable)

    def choose_service(self, request_id: str) -> str:
        """Return the service for a request; the same id and weights give the same service."""
        total = sum(split.weight for split in self.splits)
        point = hash32(request_id) / 2**32 * total
        for split in self.splits:
            point -= split.weight
            if point < 0:
                return split.service
        return self.splits[-1].service


@attrs.frozen
class EngineSpec:
    """Sizes of the language-model engines of one service.

    `slots` is the number of concurrent runs; holds are granted for up to `hold_most_ms`.
    """

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int
    hold_most_ms: int


@attrs.frozen
class Service:
    """A named group of endpoints; `engine` is set where they are language-model engines.

    Each endpoint accepts `max_connections` from all nodes together. A GET on `health_path`, None
    if there is none, tells which endpoint answers.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_path: str | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size of callers' requests, and on the times that their connections wait."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_timeout_ms: int = 15_000
    header_timeout_ms: int = 10_000


@attrs.frozen
class RoutingTable:
    """One version of the operator's configuration.

    `organisations` are keyed by the digest of their API keys; None where callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits = CallerLimits()
    organisations: Organisations | None = attrs.field(default=None, repr=False)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, repr=False, eq=False)
    _by_name: dict[str, Organisation] = attrs.field(init=False, repr=False, eq=False)

    @_by_host.default
    def _index(self) -> dict[str, list[Route]]:
        index: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: len(r.path_prefix), reverse=True):
            index.setdefault(route.host, []).append(route)
        return index

    @_by_name.default
    def _index_names(self) -> dict[str, Organisation]:
        return {found.name: found for found in (self.organisations or {}).values()}

    @property
    def organisation_names(self) -> Collection[str]:
        """The names of all organisations that have a key."""
        return self._by_name.keys()

    def find_organisation(self, name: str) -> Organisation | None:
        """Return the organisation of that name, or None."""
        return self._by_name.get(name)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of that host with the longest matching path prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
