"""The rank of a request for scarce capacity, by the priorities of its organisation and route."""

from saffronworks.forwarding.routing import DEFAULT_PRIORITY

__all__ = ["DEFAULT_RANK", "clip_rank", "combine_priorities"]

# The least urgent priority; 0 is the most urgent.
MAX_PRIORITY = 9


def combine_priorities(organisation: int | None, route: int) -> int:
    """Return the rank, 0 to 99, lower first; the organisation counts before the route."""
    first = DEFAULT_PRIORITY if organisation is None else organisation
    return _clip(first) * (MAX_PRIORITY + 1) + _clip(route)


def clip_rank(rank: int) -> int:
    """Return the nearest valid rank, since messages of other nodes may hold any number."""
    return min(max(rank, 0), (MAX_PRIORITY + 1) ** 2 - 1)


def _clip(priority: int) -> int:
    return min(max(priority, 0), MAX_PRIORITY)


# Rank assumed for requests and runs of nodes that send none.
DEFAULT_RANK = combine_priorities(None, DEFAULT_PRIORITY)
