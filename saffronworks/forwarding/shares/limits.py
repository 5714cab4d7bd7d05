"""How much may run in a time, and how far above that it may get."""

import attrs

__all__ = ["Limit", "Tolerance"]


@attrs.frozen
class Limit:
    """So much a second, and a burst on top, by all nodes together."""

    per_s: float
    burst: float

    def share(self, holders: int) -> "Limit":
        """What one of so many holders may admit."""
        return Limit(self.per_s / holders, self.burst / holders)


@attrs.frozen
class Tolerance:
    """What is tolerated beyond limits in any span of `window_ms`, over all nodes together.

    That is `overage`, a share of what a limit allows in the span, and `slack` in its unit.
    """

    window_ms: int
    overage: float
    slack: float

    def share(self, holders: int) -> "Tolerance":
        """What one of so many holders may use of it."""
        return attrs.evolve(self, slack=self.slack / holders)

    def spare(self, limit: Limit) -> float:
        """How much more than its limit may run in one window."""
        allowed = limit.per_s * self.window_ms / 1000 + limit.burst
        return self.overage * allowed + self.slack
