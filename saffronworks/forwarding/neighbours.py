"""The few nodes that a node tells what all are to know; they tell it on."""

import random
from collections.abc import Iterable

import attrs

from saffronworks.hashing import rank_members

__all__ = ["Neighbours"]

# Few, so that a node needs few connections.
NEIGHBOURS = 12
# This share of the messages goes to any nodes: where half of the listed ones are dead, some have
# hardly a live node that names them a neighbour, and one of 200 did not know it after 3 s.
ANY_NODE_SHARE = 0.25


@attrs.define
class Neighbours:
    """Chooses whom to tell; nodes are named by their address."""

    own: str
    rng: random.Random
    nodes: tuple[str, ...] = ()
    _near: list[str] = attrs.Factory(list)

    def update_nodes(self, nodes: Iterable[str]) -> None:
        """Which nodes there are from now on."""
        self.nodes = tuple(nodes)
        others = [node for node in self.nodes if node != self.own]
        self._near = rank_members(others, self.own, NEIGHBOURS)

    def choose(self, count: int) -> list[str]:
        """So many of them, by chance; sometimes any nodes."""
        known = self._near
        if self.rng.random() < ANY_NODE_SHARE:
            known = [node for node in self.nodes if node != self.own]
        return self.rng.sample(known, min(len(known), count))
