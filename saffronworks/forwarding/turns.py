"""Who acts first where few nodes are enough: the same order at all nodes, without a message."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.tuning import (
    STRONG_NODE_CORE_SHARE,
)
from saffronworks.hashing import rank_members

__all__ = ["Turns", "strong_nodes"]


def strong_nodes(cores: dict[str, float]) -> list[str]:
    """The nodes that have about as many processor cores as the strongest of these."""
    most = max(cores.values(), default=0.0)
    return [node for node, has in cores.items() if has >= STRONG_NODE_CORE_SHARE * most]


@attrs.define
class Turns:
    """The order of nodes for each purpose, by hash; nodes are named by their address.

    Those in `first` come before the others.
    """

    own: str
    nodes: Collection[str] = ()
    first: Collection[str] = ()
    _orders: dict[str, dict[str, int]] = attrs.Factory(dict)

    def take(self, nodes: Collection[str], first: Collection[str] = ()) -> None:
        """Which nodes there are from now on."""
        self.nodes, self.first = nodes, first
        self._orders.clear()

    def place(self, purpose: str, node: str | None = None) -> int:
        """The place of a node, this one unless named; 0 is first, an unknown node is last."""
        if purpose not in self._orders:
            others = [other for other in self.nodes if other not in self.first]
            ranked = rank_members(self.first, purpose, len(self.first))
            ranked += rank_members(others, purpose, len(others))
            self._orders[purpose] = {name: place for place, name in enumerate(ranked)}
        order = self._orders[purpose]
        return order.get(node or self.own, len(order))
