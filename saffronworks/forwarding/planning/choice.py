"""Which node plans the memory of a service: the same choice at all nodes, without a message."""

import attrs

from saffronworks.forwarding.tuning import (
    PLANNER_AVOID_MOST_MS,
    PLANNER_AVOID_MS,
    YOUNG_AVOID_MS,
)
from saffronworks.forwarding.turns import strong_nodes
from saffronworks.hashing import rank_members

__all__ = ["PlannerChoice"]


@attrs.define
class _Avoided:
    until_ms: int
    span_ms: int


@attrs.define
class PlannerChoice:
    """Ranks the nodes by hash, the strong ones only, and passes over those that were silent.

    `cores` has the processor cores of each node, by its address. The two that rank first hear the
    reports of all nodes, whoever is chosen at the moment: so the second knows all runs when the
    first falls silent, and the first when it is back. Until `young_until_ms` this node has just
    started, and others may have with it: a planner that is silent then is soon there.
    """

    cores: dict[str, float] = attrs.Factory(dict)
    young_until_ms: int = 0
    _avoided: dict[str, _Avoided] = attrs.Factory(dict)

    def choose(self, service: str, now_ms: int) -> str | None:
        """The planner to ask now; None when no node is left."""
        left = [name for name in self.cores if not self._passed_over(name, now_ms)]
        return next(iter(self._rank(left, service, 1)), None)

    def listeners(self, service: str, now_ms: int) -> list[str]:
        """Those that hear what is under way."""
        ranked = self._rank(list(self.cores), service, 2)
        chosen = self.choose(service, now_ms)
        return ranked if chosen is None or chosen in ranked else [*ranked, chosen]

    def young(self, now_ms: int) -> bool:
        """Whether this node has just started."""
        return now_ms < self.young_until_ms

    def avoid(self, planner: str, now_ms: int) -> int:
        """It was silent: pass it over, for longer each time in a row. Returns for how long."""
        if self.young(now_ms):
            self._avoided[planner] = _Avoided(now_ms + YOUNG_AVOID_MS, PLANNER_AVOID_MS // 2)
            return YOUNG_AVOID_MS
        known = self._avoided.get(planner)
        doubled_ms = 2 * known.span_ms if known else PLANNER_AVOID_MS
        span_ms = min(doubled_ms, PLANNER_AVOID_MOST_MS)
        self._avoided[planner] = _Avoided(now_ms + span_ms, span_ms)
        return span_ms

    def hear(self, planner: str) -> None:
        """It answered."""
        self._avoided.pop(planner, None)

    def _passed_over(self, name: str, now_ms: int) -> bool:
        known = self._avoided.get(name)
        return known is not None and now_ms < known.until_ms

    def _rank(self, names: list[str], service: str, count: int) -> list[str]:
        """The strong ones of these, by hash."""
        strong = strong_nodes({name: self.cores[name] for name in names})
        return rank_members(strong, service, count)
