"""Rate limits, and the tolerance for exceeding them."""

import attrs

__all__ = ["Limit", "Tolerance"]


@attrs.frozen
class Limit:
    """A rate per second and a burst, of all nodes together or of one holder's share."""

    per_s: float
    burst: float

    def share(self, holders: int) -> "Limit":
        """Return the share of one holder."""
        return Limit(self.per_s / holders, self.burst / holders)


@attrs.frozen
class Tolerance:
    """The excess over a limit tolerated in any window of `window_ms`, over all nodes together.

    It is the fraction `overage` of what the limit allows in the window, plus `slack` in its unit.
    """

    window_ms: int
    overage: float
    slack: float

    def share(self, holders: int) -> "Tolerance":
        """Return the share of one holder."""
        return attrs.evolve(self, slack=self.slack / holders)

    def spare(self, limit: Limit) -> float:
        """Return how much may run in one window beyond the limit."""
        allowed = limit.per_s * self.window_ms / 1000 + limit.burst
        return self.overage * allowed + self.slack
