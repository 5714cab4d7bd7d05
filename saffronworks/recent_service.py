"""How much each claimant of a scarce resource got recently, and the level that is fair.

Serves both the wait queue of a cell (`owner.queues`) and the plan of decode memory
(`forwarding.planning.fair_shares`). A claimant is an organisation, there one of a priority.
"""

from collections.abc import Collection, Hashable
from typing import Generic, TypeVar

import attrs

__all__ = ["FADED_SERVICE", "RecentService", "fair_level"]

# The least fair level, in grants: below it one grant of a quiet time would count as an excess.
LEAST_SERVICE = 1.0
SHARE_HALF_LIFE_MS = 5000.0
# What is left of a grant after 22 s no longer changes an order.
FADED_SERVICE = 0.05

Claimant = TypeVar("Claimant", bound=Hashable)


@attrs.define
class RecentService(Generic[Claimant]):
    """The recent service of each claimant, halved every `SHARE_HALF_LIFE_MS`."""

    served: dict[Claimant, tuple[float, int]] = attrs.Factory(dict)

    def add(self, claimant: Claimant, cost: float, now_ms: int) -> None:
        """Charge a claimant; a negative cost is a refund, of no more than what is left."""
        amount = max(0.0, self.of(claimant, now_ms) + cost)
        self.served[claimant] = (amount, now_ms)

    def of(self, claimant: Claimant, now_ms: int) -> float:
        """Recent service of a claimant."""
        amount, at_ms = self.served.get(claimant, (0.0, now_ms))
        return amount * 0.5 ** ((now_ms - at_ms) / SHARE_HALF_LIFE_MS)

    def all(self, now_ms: int) -> dict[Claimant, float]:
        """Recent service of all claimants that have some."""
        return {
            claimant: amount * 0.5 ** ((now_ms - at_ms) / SHARE_HALF_LIFE_MS)
            for claimant, (amount, at_ms) in self.served.items()
        }

    def prune(self, now_ms: int) -> None:
        """Evict claimants whose service has decayed below `FADED_SERVICE`."""
        for claimant, amount in self.all(now_ms).items():
            if amount < FADED_SERVICE:
                del self.served[claimant]

    def evict_least(self, kept: int, now_ms: int) -> None:
        """Evict the claimants with the least service until `kept` are left."""
        amounts = self.all(now_ms)
        ranked = sorted(amounts, key=amounts.__getitem__)
        for claimant in ranked[: max(0, len(ranked) - kept)]:
            del self.served[claimant]


def fair_level(total: float, demands: Collection[float], factor: float = 1.0) -> float:
    """The service beyond which a claimant goes after the others, by max-min fairness.

    `total` is shared out: a claimant that demands less than an equal part leaves the rest of it to
    the others. `math.inf` stands for a demand that is not known. `factor` widens the level.
    """
    left, claimants = total, len(demands)
    for demand in sorted(demands):
        if demand * claimants >= left:
            break
        left -= demand
        claimants -= 1
    if not claimants:
        return max(LEAST_SERVICE, factor * max(demands, default=0.0))
    return max(LEAST_SERVICE, factor * left / claimants)
