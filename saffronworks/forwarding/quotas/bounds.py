"""How far above their quotas organisations may get, and what that is used for."""

import attrs

__all__ = ["Limit", "QuotaBounds"]


@attrs.frozen
class Limit:
    """An organisation's quota in numbers: so much a second, and a burst on top."""

    per_s: float
    burst: float

    def share(self, holders: int) -> "Limit":
        """What one of so many holders may admit."""
        return Limit(self.per_s / holders, self.burst / holders)


@attrs.frozen
class QuotaBounds:
    """What the operator tolerates in any span of `window_ms`, over all nodes together.

    That is `overage`, a share of what the quota allows in the span, and `slack` in its unit.
    """

    window_ms: int
    overage: float
    slack: float

    def share(self, holders: int) -> "QuotaBounds":
        """What one of so many holders may use of it."""
        return attrs.evolve(self, slack=self.slack / holders)

    def spare(self, limit: Limit) -> float:
        """How much more than its quota may run in one window."""
        allowed = limit.per_s * self.window_ms / 1000 + limit.burst
        return self.overage * allowed + self.slack
