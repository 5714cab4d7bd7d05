"""This node's view of each endpoint's load: requests in progress, latency and failures."""

import attrs

from saffronworks.breakers import Circuit
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    AVERAGE_HALF_LIFE_MS,
    CROSS_ZONE_COST_FACTOR,
    FAILURE_COST_FACTOR,
    PRIOR_LATENCY_MS,
    SAMPLE_WEIGHT,
)

__all__ = ["EndpointLoad", "LoadTable"]


@attrs.define
class EndpointLoad:
    """Load and moving averages of one endpoint; without samples the averages decay to the prior."""

    outstanding: int = 0
    reserved_tokens: int = 0
    circuit: Circuit = attrs.Factory(Circuit)
    latency_ms: float = PRIOR_LATENCY_MS
    failure_share: float = 0.0
    updated_ms: int = 0
    no_prefill_until_ms: int = 0

    def record_success(self, latency_ms: float, now_ms: int) -> None:
        """Record a complete answer."""
        self._decay(now_ms)
        self.latency_ms += SAMPLE_WEIGHT * (latency_ms - self.latency_ms)
        self.failure_share *= 1 - SAMPLE_WEIGHT
        self.circuit.succeed(now_ms)

    def record_failure(self, now_ms: int, unreachable: bool = False) -> None:
        """Record a failed request; `unreachable` opens the circuit at once."""
        self._decay(now_ms)
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        self.circuit.fail("connect" if unreachable else "failed", now_ms)

    def cost(self, other_zone: bool, now_ms: int) -> float:
        """Return the expected latency of one more request in ms, weighted by failures and zone."""
        self._decay(now_ms)
        expected_ms = self.latency_ms * (1 + self.outstanding)
        return (
            expected_ms
            * (1 + FAILURE_COST_FACTOR * self.failure_share)
            * (CROSS_ZONE_COST_FACTOR if other_zone else 1)
        )

    def _decay(self, now_ms: int) -> None:
        kept = 0.5 ** (max(0, now_ms - self.updated_ms) / AVERAGE_HALF_LIFE_MS)
        self.latency_ms = PRIOR_LATENCY_MS + (self.latency_ms - PRIOR_LATENCY_MS) * kept
        self.failure_share *= kept
        self.updated_ms = now_ms


@attrs.define
class LoadTable:
    """The loads of all endpoints, by instance."""

    zone: str
    _loads: dict[StartId, EndpointLoad] = attrs.Factory(dict)

    def of(self, instance: StartId) -> EndpointLoad:
        """Return the load of one endpoint, created at first use."""
        return self._loads.setdefault(instance, EndpointLoad())

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Remove all other endpoints, except those with outstanding requests."""
        for instance in [name for name in self._loads if name not in instances]:
            if self._loads[instance].outstanding == 0:
                del self._loads[instance]

    def rank(self, endpoints: list[ServiceEndpoint], now_ms: int) -> list[ServiceEndpoint]:
        """Sort by cost, lowest first; endpoints with an open circuit come last but stay usable."""

        def cost(endpoint: ServiceEndpoint) -> tuple[bool, float, StartId]:
            load = self.of(endpoint.instance)
            other_zone = endpoint.zone != self.zone
            return not load.circuit.admits(now_ms), load.cost(other_zone, now_ms), endpoint.instance

        return sorted(endpoints, key=cost)
