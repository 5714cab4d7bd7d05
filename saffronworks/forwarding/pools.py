"""The endpoints that a generation may go to, as one node ranks them."""

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.generation_state import Pools
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.starts import StartId

__all__ = ["rank_pools"]


def rank_pools(
    eligibility: EndpointEligibility,
    loads: LoadTable,
    service: str,
    tokens: int,
    arrived_ms: int,
    now_ms: int,
) -> Pools:
    """Both roles, best first, for a generation of that arrival that reserves so many tokens."""
    decoders = eligibility.usable(service, arrived_ms, Role.DECODE)
    prefillers = eligibility.usable(service, arrived_ms, Role.PREFILL)
    return Pools(
        _rank_decoders(decoders, loads, tokens, now_ms),
        _rank_readers(prefillers, loads, now_ms),
        eligibility.eligibility_of([*decoders, *prefillers]),
    )


def _rank_decoders(
    usable: list[ServiceEndpoint], loads: LoadTable, tokens: int, now_ms: int
) -> list[ServiceEndpoint]:
    """The emptiest first, as far as this node knows; those of its own zone before others."""

    def rank(endpoint: ServiceEndpoint) -> tuple[bool, int, StartId]:
        load = loads.of(endpoint.instance)
        away_tokens = 0 if endpoint.zone == loads.zone else tokens // 2
        return (
            not load.circuit.admits(now_ms),
            load.reserved_tokens + away_tokens,
            endpoint.instance,
        )

    return sorted(usable, key=rank)


def _rank_readers(
    usable: list[ServiceEndpoint], loads: LoadTable, now_ms: int
) -> list[ServiceEndpoint]:
    """Without those whose handle could not be fetched a moment ago."""
    trusted = [
        endpoint for endpoint in usable if loads.of(endpoint.instance).no_prefill_until_ms <= now_ms
    ]
    return loads.rank(trusted, now_ms)
