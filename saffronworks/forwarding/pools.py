"""Ranking of the endpoints that a generation may use."""

from collections.abc import Callable

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
    now_ms: int,
    version: str | None = None,
    is_certain: Callable[[ServiceEndpoint], bool] = lambda _: True,
) -> Pools:
    """Return the usable endpoints of both roles, best first, for a generation.

    `tokens` is the memory that it reserves. A stream that continues can be decoded only at the
    software version that began it, where `is_certain` tells that the endpoint has it. A prompt may
    be prefilled at any version, as a KV cache depends on the version of the weights.
    """
    decoders = eligibility.usable(service, Role.DECODE, version)
    prefillers = eligibility.usable(service, Role.PREFILL)
    other_versions: frozenset[StartId] = frozenset()
    if version is not None:
        usable = eligibility.usable(service, Role.DECODE)
        decoders = [endpoint for endpoint in decoders if is_certain(endpoint)]
        candidates = {endpoint.instance for endpoint in decoders}
        other_versions = frozenset(e.instance for e in usable if e.instance not in candidates)
    return Pools(
        _rank_decoders(decoders, loads, tokens, now_ms),
        _rank_prefillers(prefillers, loads, now_ms),
        eligibility.eligibility_of([*decoders, *prefillers]),
        other_versions,
    )


def _rank_decoders(
    usable: list[ServiceEndpoint], loads: LoadTable, tokens: int, now_ms: int
) -> list[ServiceEndpoint]:
    """Sort by reserved memory, least first, as seen by this node; prefer its own zone.

    An endpoint in another zone counts as if half of `tokens` were reserved there in addition.
    """

    def rank(endpoint: ServiceEndpoint) -> tuple[bool, int, StartId]:
        load = loads.of(endpoint.instance)
        other_zone_tokens = 0 if endpoint.zone == loads.zone else tokens // 2
        return (
            not load.circuit.admits(now_ms),
            load.reserved_tokens + other_zone_tokens,
            endpoint.instance,
        )

    return sorted(usable, key=rank)


def _rank_prefillers(
    usable: list[ServiceEndpoint], loads: LoadTable, now_ms: int
) -> list[ServiceEndpoint]:
    """Sort by load, without endpoints whose KV handle recently could not be fetched."""
    trusted = [
        endpoint for endpoint in usable if loads.of(endpoint.instance).no_prefill_until_ms <= now_ms
    ]
    return loads.rank(trusted, now_ms)
