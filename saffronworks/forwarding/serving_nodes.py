"""Estimates how many of the other nodes can serve a caller that this one refuses."""

import attrs

from saffronworks.forwarding.node_count import NodeCount

__all__ = ["ServingNodes"]


@attrs.define
class ServingNodes:
    """The other nodes that the census lists now, as a share of those that it listed lately.

    Counts listed nodes only. `RetryBudget` and the quotas divide by an upper bound of the number of
    nodes instead, which keeps their sum within the limit but would make the others look gone here.
    """

    _counts: NodeCount = attrs.Factory(lambda: NodeCount(1))
    _others: int | None = None

    def update(self, others: int, now_ms: int) -> None:
        """Record the number of other nodes that are listed."""
        self._others = others
        self._counts.update(others, now_ms)

    def share(self, now_ms: int) -> float:
        """Return the share of the other nodes that serve, 0 if there are none.

        It is 1 before the first list: a refused request can be repeated, a cut one may not.
        """
        return 1.0 if self._others is None else self._others / self._counts.at(now_ms)
