"""The rank of a request where capacity is scarce, by its organisation and route."""

from saffronworks.forwarding.routing import DEFAULT_PRIORITY

__all__ = ["DEFAULT_RANK", "clip_rank", "combine_priorities"]

# Priorities run from 0, the most urgent, to this.
MAX_PRIORITY = 9


def combine_priorities(organisation: int | None, route: int) -> int:
    """The rank, 0 to 99, lower first: the organisation's priority decides before the route's."""
    first = DEFAULT_PRIORITY if organisation is None else organisation
    return _clip(first) * (MAX_PRIORITY + 1) + _clip(route)


def clip_rank(rank: int) -> int:
    """The nearest rank that a combination gives, for ranks that other nodes tell."""
    return min(max(rank, 0), (MAX_PRIORITY + 1) ** 2 - 1)


def _clip(priority: int) -> int:
    return min(max(priority, 0), MAX_PRIORITY)


# Assumed of asks and runs from nodes that report none.
DEFAULT_RANK = combine_priorities(None, DEFAULT_PRIORITY)
