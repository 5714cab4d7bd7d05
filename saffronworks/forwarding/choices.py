"""Which node answers for a matter: the same choice at all nodes, without a message."""

from typing import Any

import attrs

from saffronworks.forwarding.tuning import (
    MAX_CACHED_RANKINGS,
    NODE_AVOID_MAX_MS,
    NODE_AVOID_MS,
    STARTUP_NODE_AVOID_MS,
)
from saffronworks.forwarding.turns import strong_nodes
from saffronworks.hashing import rank_members

__all__ = ["NodeChoice"]


# Those that hear the reports of all nodes.
LISTENERS = 2


@attrs.define
class _Avoided:
    until_ms: int
    span_ms: int


def _forget_ranks(
    choice: "NodeChoice", attribute: Any, cores: dict[str, float]
) -> dict[str, float]:
    """Other nodes are there from now on."""
    choice._ranks.clear()
    return cores


@attrs.define
class NodeChoice:
    """Ranks the nodes by hash, the strong ones only, and passes over those that were silent.

    `cores` has the processor cores of each node, by its address; a matter is a service whose memory
    is planned. The two that rank first hear the reports of all nodes, whoever is chosen at the
    moment: so the second knows all runs when the first falls silent, and the first when it is back.
    Until `young_until_ms` this node has just started, and others may have with it: one that is
    silent then is soon there.
    """

    cores: dict[str, float] = attrs.field(factory=dict, on_setattr=_forget_ranks)
    young_until_ms: int = 0
    _avoided: dict[str, _Avoided] = attrs.Factory(dict)
    _ranks: dict[tuple[str, frozenset[str]], list[str]] = attrs.Factory(dict)

    def choose(self, matter: str, now_ms: int) -> str | None:
        """The node to ask now; None when none is left."""
        avoided = frozenset(node for node in self._avoided if self.passes_over(node, now_ms))
        return next(iter(self._rank(matter, avoided)), None)

    def listeners(self, matter: str, now_ms: int) -> list[str]:
        """Those that hear what is under way."""
        ranked = self._rank(matter, frozenset())
        chosen = self.choose(matter, now_ms)
        return ranked if chosen is None or chosen in ranked else [*ranked, chosen]

    def passes_over(self, node: str, now_ms: int) -> bool:
        """Whether a node was silent a moment ago."""
        known = self._avoided.get(node)
        return known is not None and now_ms < known.until_ms

    def young(self, now_ms: int) -> bool:
        """Whether this node has just started."""
        return now_ms < self.young_until_ms

    def avoid(self, node: str, now_ms: int) -> int:
        """It was silent: pass it over, for longer each time in a row. Returns for how long.

        Asks that were sent before it was passed over count as one.
        """
        if self.young(now_ms):
            self._avoided[node] = _Avoided(now_ms + STARTUP_NODE_AVOID_MS, NODE_AVOID_MS // 2)
            return STARTUP_NODE_AVOID_MS
        known = self._avoided.get(node)
        if known is not None and now_ms < known.until_ms:
            return known.until_ms - now_ms
        doubled_ms = 2 * known.span_ms if known else NODE_AVOID_MS
        span_ms = min(doubled_ms, NODE_AVOID_MAX_MS)
        self._avoided[node] = _Avoided(now_ms + span_ms, span_ms)
        return span_ms

    def hear(self, node: str) -> None:
        """It answered."""
        self._avoided.pop(node, None)

    def _rank(self, matter: str, avoided: frozenset[str]) -> list[str]:
        """The first two, by hash; kept, as it takes 0.1 ms at 60 nodes."""
        key = (matter, avoided)
        if key not in self._ranks:
            if len(self._ranks) >= MAX_CACHED_RANKINGS:
                self._ranks.clear()
            left = {name: has for name, has in self.cores.items() if name not in avoided}
            self._ranks[key] = rank_members(strong_nodes(left), matter, LISTENERS)
        return self._ranks[key]
