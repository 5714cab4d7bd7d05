"""Limits what a node admits while it reaches no holder: its part of the tolerance."""

from collections.abc import Set

import attrs

from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.shares.events import Ask
from saffronworks.forwarding.shares.limits import Tolerance
from saffronworks.forwarding.shares.tuning import (
    NO_HOLDER_SHARE,
)
from saffronworks.hashing import hash32

__all__ = ["Allowances"]


@attrs.define
class _Credit:
    amount: float
    at_ms: int


@attrs.define
class Allowances:
    """A credit per subject, up to half of the node's part of the tolerance in a window.

    With 60 nodes such a part is less than one generation costs. A request that costs more than the
    credit is therefore admitted at random, with the probability credit / cost, and the credit is
    spent in either case. On average all isolated nodes stay within their parts, without messages
    to holders. What an earlier process of this node admitted is unknown, so a first credit grows
    with the age of the process; `started_ms` is None if there was none before it.
    """

    tolerance: Tolerance
    nodes: NodeCount
    started_ms: int | None = None
    _credits: dict[str, _Credit] = attrs.Factory(dict)

    def admit(self, ask: Ask, now_ms: int) -> bool:
        """Return whether a request may run; the draw is a hash of its id, so it is repeatable."""
        # Half of the part at once and the other half over a window keep a window within the part.
        half = NO_HOLDER_SHARE * self.tolerance.spare(ask.limit) / self.nodes.at(now_ms) / 2
        credit = self._credits.get(ask.subject)
        if credit is None:
            credit = self._credits[ask.subject] = _Credit(half * self._age_share(now_ms), now_ms)
        grown = half * max(0, now_ms - credit.at_ms) / self.tolerance.window_ms
        credit.amount, credit.at_ms = min(half, credit.amount + grown), max(credit.at_ms, now_ms)
        if credit.amount >= ask.cost:
            credit.amount -= ask.cost
            return True
        won = hash32(ask.ask_id) / 2**32 < credit.amount / max(1, ask.cost)
        credit.amount = 0.0
        return won

    def _age_share(self, now_ms: int) -> float:
        """Return the age of the process as a share of the window, 1 at most."""
        if self.started_ms is None:
            return 1.0
        return min(1.0, (now_ms - self.started_ms) / self.tolerance.window_ms)

    def keep_only(self, subjects: Set[str]) -> None:
        """Drop all subjects but the given ones."""
        for name in self._credits.keys() - subjects:
            del self._credits[name]
