"""What this node has seen of each endpoint: work under way, latency, failures."""

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
    """Running averages of one endpoint; they fall back to the prior while nothing is heard."""

    outstanding: int = 0
    reserved_tokens: int = 0
    circuit: Circuit = attrs.Factory(Circuit)
    latency_ms: float = PRIOR_LATENCY_MS
    failure_share: float = 0.0
    updated_ms: int = 0
    no_prefill_until_ms: int = 0

    def succeed(self, latency_ms: float, now_ms: int) -> None:
        """An answer came whole."""
        self._forget(now_ms)
        self.latency_ms += SAMPLE_WEIGHT * (latency_ms - self.latency_ms)
        self.failure_share *= 1 - SAMPLE_WEIGHT
        self.circuit.succeed(now_ms)

    def fail(self, now_ms: int, unreachable: bool = False) -> None:
        """A request failed; one that could not even reach the endpoint opens its circuit."""
        self._forget(now_ms)
        self.failure_share += SAMPLE_WEIGHT * (1 - self.failure_share)
        self.circuit.fail("connect" if unreachable else "failed", now_ms)

    def cost(self, away: bool, now_ms: int) -> float:
        """How long one more request is expected to take here, in weighted milliseconds."""
        self._forget(now_ms)
        expected_ms = self.latency_ms * (1 + self.outstanding)
        return (
            expected_ms
            * (1 + FAILURE_COST_FACTOR * self.failure_share)
            * (CROSS_ZONE_COST_FACTOR if away else 1)
        )

    def _forget(self, now_ms: int) -> None:
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
        """The load of one endpoint, made when first asked for."""
        return self._loads.setdefault(instance, EndpointLoad())

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop what belongs to endpoints that are gone and have nothing under way."""
        for instance in [name for name in self._loads if name not in instances]:
            if self._loads[instance].outstanding == 0:
                del self._loads[instance]

    def rank(self, endpoints: list[ServiceEndpoint], now_ms: int) -> list[ServiceEndpoint]:
        """Cheapest first; endpoints with an open circuit come last, as there may be no other."""

        def cost(endpoint: ServiceEndpoint) -> tuple[bool, float, StartId]:
            load = self.of(endpoint.instance)
            away = endpoint.zone != self.zone
            return not load.circuit.admits(now_ms), load.cost(away, now_ms), endpoint.instance

        return sorted(endpoints, key=cost)
