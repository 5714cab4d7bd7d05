"""Who acts first where one node is enough: the same order at all nodes, without a message."""

from collections.abc import Collection

import attrs

from saffronworks.hashing import rank_members

__all__ = ["Turns"]


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
            others = [node for node in self.nodes if node not in self.first]
            ranked = rank_members(self.first, purpose, len(self.first))
            ranked += rank_members(others, purpose, len(others))
            self._orders[purpose] = {name: place for place, name in enumerate(ranked)}
        order = self._orders[purpose]
        return order.get(node or self.own, len(order))
