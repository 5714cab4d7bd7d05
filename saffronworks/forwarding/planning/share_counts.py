"""Counts of grants and rejections by organisation, for logs and metrics."""

import heapq
from collections import Counter

import attrs

__all__ = ["OTHERS", "Claimant", "Decision", "ShareCounts", "ShareRow", "ShareSummary"]

# An organisation at one priority, as (priority, organisation).
Claimant = tuple[int, str]

SUMMARY_EVERY_MS = 5000
# Limit of counted claimants. A summary is due long before it is reached; if none is taken, the
# counts restart.
MAX_COUNTED = 4096
# Limit of decisions that are not logged yet; a step of the planner makes some hundreds in a burst.
MAX_DECISIONS = 512
# Claimants with a row of their own in a summary; `OTHERS` sums up the rest, without a priority.
MAX_ROWS = 64
OTHERS = "(others)"


@attrs.frozen
class Decision:
    """A grant or a rejection, and the excess of its organisation at that time."""

    request_id: str
    priority: int
    organisation: str
    excess: int


@attrs.frozen
class ShareRow:
    """The present waiters and excess of a claimant, and its grants and rejections in a summary."""

    priority: int | None
    organisation: str
    waiting: int
    granted: int
    rejected: int
    excess: int


@attrs.frozen
class ShareSummary:
    """The rows of claimants, the least served first, and the number of all claimants."""

    claimants: int
    rows: list[ShareRow]


@attrs.define
class ShareCounts:
    """Grants and rejections by claimant, and the decisions that are not logged yet."""

    granted: Counter[Claimant] = attrs.Factory(Counter)
    rejected: Counter[Claimant] = attrs.Factory(Counter)
    decisions: dict[str, Decision] = attrs.Factory(dict)
    since_ms: int = 0

    def record(self, counter: Counter[Claimant], claimant: Claimant, decision: Decision) -> None:
        """Count a decision."""
        if len(counter) >= MAX_COUNTED:
            counter.clear()
        counter[claimant] += 1
        if len(self.decisions) >= MAX_DECISIONS:
            self.decisions.clear()
        self.decisions[decision.request_id] = decision

    def due(self, now_ms: int) -> bool:
        """Return whether a summary is due."""
        return now_ms - self.since_ms >= SUMMARY_EVERY_MS

    def take(
        self, waiting: Counter[Claimant], excesses: dict[Claimant, int], now_ms: int
    ) -> ShareSummary:
        """Return a summary, and restart the counts."""

        def need(claimant: Claimant) -> tuple[int, int, Claimant]:
            unserved = waiting[claimant] + self.rejected[claimant]
            return unserved, self.granted[claimant], claimant

        claimants = waiting.keys() | self.granted.keys() | self.rejected.keys()
        rows = [
            ShareRow(
                *claimant,
                waiting[claimant],
                self.granted[claimant],
                self.rejected[claimant],
                excesses.get(claimant, 0),
            )
            for claimant in heapq.nlargest(MAX_ROWS, claimants, need)
        ]
        if len(claimants) > len(rows):
            rows.append(
                ShareRow(
                    None,
                    OTHERS,
                    waiting.total() - sum(row.waiting for row in rows),
                    self.granted.total() - sum(row.granted for row in rows),
                    self.rejected.total() - sum(row.rejected for row in rows),
                    0,
                )
            )
        self.granted.clear()
        self.rejected.clear()
        self.since_ms = now_ms
        return ShareSummary(len(claimants), rows)
