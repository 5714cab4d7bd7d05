"""Choice of the node that plans a service: all nodes choose the same one without messages."""

from typing import Any

import attrs

from saffronworks.forwarding.node_order import strong_nodes
from saffronworks.forwarding.tuning import (
    MAX_CACHED_RANKINGS,
    NODE_AVOID_MAX_MS,
    NODE_AVOID_MS,
    STARTUP_NODE_AVOID_MS,
)
from saffronworks.hashing import rank_members

__all__ = ["NodeChoice"]


# Number of nodes that receive the reports of all nodes.
REPORT_RECEIVERS = 2


@attrs.define
class _Avoided:
    until_ms: int
    span_ms: int


def _clear_ranks(choice: "NodeChoice", attribute: Any, cores: dict[str, float]) -> dict[str, float]:
    """Clear the cached ranks, and the answers of nodes that left, when the nodes change."""
    choice._ranks.clear()
    for node in choice._answered_ms.keys() - cores.keys():
        del choice._answered_ms[node]
    return cores


@attrs.define
class NodeChoice:
    """Ranks the nodes of `strong_nodes` by hash and avoids those that did not answer.

    `cores` has the number of processor cores of each node, by address. The first two nodes receive
    the reports of all nodes, whichever is chosen, so that the second has all runs when the first
    stops answering, and the first when it answers again. Until `starting_until_ms` this node counts
    as just started; other nodes may have started with it, so those that do not answer are avoided
    only briefly.
    """

    cores: dict[str, float] = attrs.field(factory=dict, on_setattr=_clear_ranks)
    starting_until_ms: int = 0
    _avoided: dict[str, _Avoided] = attrs.Factory(dict)
    # When each node last answered.
    _answered_ms: dict[str, int] = attrs.Factory(dict)
    _ranks: dict[tuple[str, frozenset[str]], list[str]] = attrs.Factory(dict)

    def choose(self, service: str, now_ms: int) -> str | None:
        """Return the node to ask now; None when none is left."""
        avoided = frozenset(node for node in self._avoided if self.is_avoided(node, now_ms))
        return next(iter(self._rank(service, avoided)), None)

    def report_receivers(self, service: str, now_ms: int) -> list[str]:
        """Return the nodes that receive reports of the runs in progress."""
        ranked = self._rank(service, frozenset())
        chosen = self.choose(service, now_ms)
        return ranked if chosen is None or chosen in ranked else [*ranked, chosen]

    def is_avoided(self, node: str, now_ms: int) -> bool:
        """Return True while a node that did not answer is avoided."""
        known = self._avoided.get(node)
        return known is not None and now_ms < known.until_ms

    def answered_ms(self, node: str) -> int:
        """Return when a node last answered; 0 if it never has."""
        return self._answered_ms.get(node, 0)

    def starting(self, now_ms: int) -> bool:
        """Return True while this node counts as just started."""
        return now_ms < self.starting_until_ms

    def avoid(self, node: str, now_ms: int) -> int:
        """Avoid a node that did not answer, and return for how long in ms.

        The time doubles with each failure in a row. Requests sent before the node was avoided count
        as one failure.
        """
        if self.starting(now_ms):
            self._avoided[node] = _Avoided(now_ms + STARTUP_NODE_AVOID_MS, NODE_AVOID_MS // 2)
            return STARTUP_NODE_AVOID_MS
        known = self._avoided.get(node)
        if known is not None and now_ms < known.until_ms:
            return known.until_ms - now_ms
        doubled_ms = 2 * known.span_ms if known else NODE_AVOID_MS
        span_ms = min(doubled_ms, NODE_AVOID_MAX_MS)
        self._avoided[node] = _Avoided(now_ms + span_ms, span_ms)
        return span_ms

    def record_silence(self, node: str, asked_ms: int, now_ms: int) -> int:
        """Avoid a node that left a message of `asked_ms` without an answer; return for how long.

        A node that has answered other messages since then is not avoided (0 ms): that message was
        lost, or the node could not read it.
        """
        if self._answered_ms.get(node, -1) >= asked_ms:
            return 0
        return self.avoid(node, now_ms)

    def record_answer(self, node: str, now_ms: int) -> None:
        """Stop avoiding a node that answered."""
        self._avoided.pop(node, None)
        self._answered_ms[node] = now_ms

    def _rank(self, service: str, avoided: frozenset[str]) -> list[str]:
        """Return the first two nodes by hash, cached, as ranking 60 nodes takes 0.1 ms."""
        key = (service, avoided)
        if key not in self._ranks:
            if len(self._ranks) >= MAX_CACHED_RANKINGS:
                self._ranks.clear()
            left = {name: has for name, has in self.cores.items() if name not in avoided}
            self._ranks[key] = rank_members(strong_nodes(left), service, REPORT_RECEIVERS)
        return self._ranks[key]
