"""What a node that hears no holder admits: its part of what is tolerated beyond limits."""

from collections.abc import Set

import attrs

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
    """A credit for each subject, which grows to half of a node's part of one window.

    Such a part is less than one generation at 60 nodes. So a request may also draw for its place:
    its chance is the credit's share of its cost, and won or lost, the credit is gone. What all
    nodes that are alone admit stays within their parts in the mean, and those that hold shares need
    not know of it.
    """

    tolerance: Tolerance
    nodes: int
    _credits: dict[str, _Credit] = attrs.Factory(dict)

    def admit(self, ask: Ask, now_ms: int) -> bool:
        """Whether a request may run; the draw is by its id, so the same at each look."""
        # Half of the part at once and half of it over a window: no window sees more than all.
        half = NO_HOLDER_SHARE * self.tolerance.spare(ask.limit) / max(1, self.nodes) / 2
        credit = self._credits.setdefault(ask.subject, _Credit(half, now_ms))
        grown = half * max(0, now_ms - credit.at_ms) / self.tolerance.window_ms
        credit.amount, credit.at_ms = min(half, credit.amount + grown), max(credit.at_ms, now_ms)
        if credit.amount >= ask.cost:
            credit.amount -= ask.cost
            return True
        won = hash32(ask.ask_id) / 2**32 < credit.amount / max(1, ask.cost)
        credit.amount = 0.0
        return won

    def keep_only(self, subjects: Set[str]) -> None:
        """Forget subjects that are gone."""
        for name in self._credits.keys() - subjects:
            del self._credits[name]
