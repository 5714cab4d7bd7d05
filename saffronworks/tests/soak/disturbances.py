"""Whether something struck a node or an endpoint at a time, as the checks excuse it."""

from saffronworks.tests.soak.records import ALL_NODES, Records

__all__ = ["CONTACT_MS", "excused", "stops", "undisturbed", "was_silent"]

# As the settings of the nodes say.
CONTACT_MS = 3000


def undisturbed(
    records: Records, node: int, from_ms: float, to_ms: float, *ways: str, planned: bool = True
) -> bool:
    """Whether nothing struck the node, or these ways of it, from `CONTACT_MS` before on.

    Without `planned`, the end of a planned stop does not count as trouble.
    """
    struck = ("node", *(("stopped",) if planned else ()), *ways)
    return not any(
        trouble.node in (node, ALL_NODES)
        and trouble.what in struck
        and trouble.from_ms < to_ms
        and trouble.to_ms + CONTACT_MS > from_ms
        for trouble in records.disturbances
    )


def excused(records: Records, node: int, endpoint: str, from_ms: float, to_ms: float) -> bool:
    """Whether a node stood still or started again in that time, or the endpoint did."""
    struck = any(
        trouble.node in (node, ALL_NODES)
        and trouble.what in ("node", "stopped")
        and trouble.from_ms <= to_ms
        and trouble.to_ms >= from_ms
        for trouble in records.disturbances
    )
    return struck or any(
        name == endpoint and from_ms <= at_ms <= to_ms for name, at_ms in records.restarts
    )


def stops(records: Records, node: int, from_ms: float, to_ms: float) -> bool:
    return any(
        stopped == node and begin_ms < to_ms and until_ms > from_ms
        for stopped, begin_ms, until_ms in records.stops
    )


def was_silent(records: Records, endpoint: str, from_ms: float, to_ms: float) -> bool:
    """Whether an endpoint was suspended at some time of a span."""
    return any(
        silence.endpoint == endpoint and silence.from_ms < to_ms and silence.to_ms > from_ms
        for silence in records.silences
    )
