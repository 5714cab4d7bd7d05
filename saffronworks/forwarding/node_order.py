"""Order in which nodes act where a few are enough; each node computes the same without messages."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.tuning import (
    STRONG_NODE_CORE_SHARE,
)
from saffronworks.hashing import rank_members

__all__ = ["NodeOrder", "strong_nodes"]


def strong_nodes(cores: dict[str, float]) -> list[str]:
    """Return the nodes that have about as many processor cores as the strongest one."""
    most = max(cores.values(), default=0.0)
    return [node for node, has in cores.items() if has >= STRONG_NODE_CORE_SHARE * most]


@attrs.define
class NodeOrder:
    """The order of nodes for each purpose, by hash; nodes are identified by their address.

    Nodes in `first` come before the others.
    """

    own: str
    nodes: Collection[str] = ()
    first: Collection[str] = ()
    _orders: dict[str, dict[str, int]] = attrs.Factory(dict)

    def update(self, nodes: Collection[str], first: Collection[str] = ()) -> None:
        """Replace the set of nodes."""
        self.nodes, self.first = nodes, first
        self._orders.clear()

    def position(self, purpose: str, node: str | None = None) -> int:
        """Return the position of a node, by default this one; unknown nodes come last."""
        if purpose not in self._orders:
            others = [other for other in self.nodes if other not in self.first]
            ranked = rank_members(self.first, purpose, len(self.first))
            ranked += rank_members(others, purpose, len(others))
            self._orders[purpose] = {name: position for position, name in enumerate(ranked)}
        order = self._orders[purpose]
        return order.get(node or self.own, len(order))
