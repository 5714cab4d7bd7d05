"""A node's share of the fleet's budget of store reads."""

import attrs

__all__ = ["ReadBudget"]

# The rest is left for the platform's other users, and for a burst of one read by every node.
FLEET_SHARE = 0.2
BURST_S = 1.0


@attrs.define
class ReadBudget:
    """Spaces reads so that all nodes together stay within `fleet_per_s`, with no message.

    Each node takes an equal share, with a burst of one second of it, and of one read at least.
    """

    fleet_per_s: float
    nodes: int = 1
    _due_ms: float = 0.0

    def share_among(self, nodes: int) -> None:
        """The platform's list tells how many nodes there are."""
        self.nodes = max(1, nodes)

    def take(self, now_ms: float) -> float:
        """Count one read; returns how many milliseconds it has to wait."""
        per_s = FLEET_SHARE * self.fleet_per_s / self.nodes
        space_ms = 1000.0 / per_s
        burst_ms = max(0.0, BURST_S * 1000.0 - space_ms)
        start_ms = max(now_ms, self._due_ms - burst_ms)
        self._due_ms = max(self._due_ms, now_ms) + space_ms
        return start_ms - now_ms
