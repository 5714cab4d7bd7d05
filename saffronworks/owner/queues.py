"""The bounded wait queue of a cell: priority, retries, who can still be in time, fairness.

A retry goes first, since work was spent on it, as long as the retry budget lasts; after that
it waits its turn like the others. Grants follow free slots, so retries never add load.
"""

import math

import attrs

from saffronworks.bundles import Model
from saffronworks.messages import Ask
from saffronworks.owner.policies import Policy
from saffronworks.recent_service import RecentService, fair_level

__all__ = ["Waiting", "WaitQueue"]

QUEUE_LENGTH = 256


@attrs.define
class Waiting:
    """One queued attempt. `arrived_ms` is on the owner's clock, less what it waited before;
    `work_ms` is the predicted time from its grant to its first token; `first` marks a retry
    that the budget lets go before the others.
    """

    ask: Ask
    model: Model
    arrived_ms: int
    work_ms: float
    first: bool = False

    def slack_ms(self, now_ms: int) -> float:
        """Time to spare before the first token would miss its target."""
        return self.arrived_ms + self.model.ttft_ms - now_ms - self.work_ms

    def patience_left_ms(self, now_ms: int) -> int:
        """Time until the caller is told *not run*."""
        return self.arrived_ms + self.model.patience_ms - now_ms


@attrs.define
class WaitQueue:
    """Waiting attempts by request id, and the recent service of each organisation."""

    policy: Policy = attrs.Factory(Policy)
    items: dict[str, Waiting] = attrs.Factory(dict)
    recent: RecentService[str] = attrs.Factory(RecentService)
    since_late: int = 0

    def full(self) -> bool:
        """Whether the bound is reached."""
        return len(self.items) >= QUEUE_LENGTH

    def select(self, now_ms: int) -> Waiting | None:
        """The attempt to serve next; now and then a late one has its turn."""
        if not self.items:
            return None
        if self.since_late >= self.policy.late_every_grants:
            late = [waiting for waiting in self.items.values() if self.late(waiting, now_ms)]
            if late:
                return min(late, key=lambda waiting: (-waiting.ask.priority, waiting.arrived_ms))
        fair = self._fair_service(now_ms)
        return min(self.items.values(), key=lambda waiting: self._rank(waiting, now_ms, fair))

    def late(self, waiting: Waiting, now_ms: int) -> bool:
        """Whether the attempt can no longer meet its target to the first token."""
        margin_ms = self.policy.slack_margin_share * waiting.model.ttft_ms
        return waiting.slack_ms(now_ms) < margin_ms

    def take(self, waiting: Waiting, cost: float, now_ms: int) -> None:
        """Remove a served attempt and charge its organisation."""
        del self.items[waiting.ask.key.request_id]
        self.since_late += 1
        if self.late(waiting, now_ms):
            self.since_late = 0
        self.recent.add(waiting.ask.organisation, cost, now_ms)

    def ahead_of(self, ask: Ask) -> int:
        """How many waiting attempts go before a new one of that priority."""
        return sum(1 for w in self.items.values() if w.ask.priority >= ask.priority)

    def prune(self, now_ms: int) -> None:
        """Forget organisations whose recent service has faded."""
        self.recent.prune(now_ms)

    def _fair_service(self, now_ms: int) -> float:
        """The recent service beyond which an organisation goes after the others."""
        present = {waiting.ask.organisation for waiting in self.items.values()}
        present.update(self.recent.served)
        total = sum(self.recent.all(now_ms).values())
        return fair_level(total, [math.inf] * len(present), self.policy.fair_factor)

    def _rank(self, waiting: Waiting, now_ms: int, fair: float) -> tuple[float, ...]:
        late = self.late(waiting, now_ms)
        excess = int(self.recent.of(waiting.ask.organisation, now_ms) / fair)
        return (-waiting.ask.priority, not waiting.first, late, excess, waiting.slack_ms(now_ms))
