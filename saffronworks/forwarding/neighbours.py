"""Choice of the nodes to which a node sends gossip, which they forward."""

import random
from collections.abc import Iterable

import attrs

from saffronworks.hashing import rank_members

__all__ = ["Neighbours"]

# Neighbours of a node; few, so that it needs few connections.
NEIGHBOUR_COUNT = 12
# Share of the messages that go to random nodes. If half of the listed nodes are dead, some nodes
# are a neighbour of hardly any live one: without this, one node of 200 lacked an update after 3 s.
RANDOM_NODE_SHARE = 0.25


@attrs.define
class Neighbours:
    """Chooses the receivers of gossip among the nodes, which are identified by address."""

    own: str
    rng: random.Random
    nodes: tuple[str, ...] = ()
    _neighbours: list[str] = attrs.Factory(list)

    def update_nodes(self, nodes: Iterable[str]) -> None:
        """Replace the set of nodes and choose the neighbours among them."""
        self.nodes = tuple(nodes)
        others = [node for node in self.nodes if node != self.own]
        self._neighbours = rank_members(others, self.own, NEIGHBOUR_COUNT)

    def choose(self, count: int) -> list[str]:
        """Return up to `count` random neighbours, or sometimes random nodes."""
        candidates = self._neighbours
        if self.rng.random() < RANDOM_NODE_SHARE:
            candidates = [node for node in self.nodes if node != self.own]
        return self.rng.sample(candidates, min(len(candidates), count))
