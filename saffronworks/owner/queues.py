"""The bounded wait queue of a cell, ordered by priority, retries, deadline and fairness.

Within the retry budget a retry goes first among its priority, since work was already spent on
it; beyond the budget it is ordered like a first attempt. Grants are bounded by free slots, so
retries never add load.
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
    """One queued attempt.

    `arrived_ms` is the time of arrival at the entry node, on the owner's clock. `work_ms` is
    the predicted time from the grant to the first token. `first` marks a retry within the retry
    budget, which goes before other attempts of its priority.
    """

    ask: Ask
    model: Model
    arrived_ms: int
    work_ms: float
    first: bool = False

    def slack_ms(self, now_ms: int) -> float:
        """Returns how long the grant can still wait before the first token misses its target."""
        return self.arrived_ms + self.model.ttft_ms - now_ms - self.work_ms

    def patience_left_ms(self, now_ms: int) -> int:
        """Returns the time until the attempt is refused as *not run*."""
        return self.arrived_ms + self.model.patience_ms - now_ms


@attrs.define
class WaitQueue:
    """Waiting attempts by request id, and the recent service of each organisation.

    `since_late` counts the grants since the last one to a late attempt.
    """

    policy: Policy = attrs.Factory(Policy)
    items: dict[str, Waiting] = attrs.Factory(dict)
    recent: RecentService[str] = attrs.Factory(RecentService)
    since_late: int = 0

    def full(self) -> bool:
        """Returns True when the queue has reached its maximum length."""
        return len(self.items) >= QUEUE_LENGTH

    def select(self, now_ms: int) -> Waiting | None:
        """Returns the attempt to serve next, or None when the queue is empty.

        Late attempts rank behind others, so every `late_every_grants`th grant may go to the oldest
        late attempt of the highest priority; otherwise late attempts could starve.
        """
        if not self.items:
            return None
        if self.since_late >= self.policy.late_every_grants:
            late = [waiting for waiting in self.items.values() if self.late(waiting, now_ms)]
            if late:
                return min(late, key=lambda waiting: (-waiting.ask.priority, waiting.arrived_ms))
        fair = self._fair_service(now_ms)
        return min(self.items.values(), key=lambda waiting: self._rank(waiting, now_ms, fair))

    def late(self, waiting: Waiting, now_ms: int) -> bool:
        """Returns True when too little slack is left to meet the time-to-first-token target."""
        margin_ms = self.policy.slack_margin_share * waiting.model.ttft_ms
        return waiting.slack_ms(now_ms) < margin_ms

    def take(self, waiting: Waiting, cost: float, now_ms: int) -> None:
        """Removes a granted attempt and charges `cost` to its organisation."""
        del self.items[waiting.ask.key.request_id]
        self.since_late += 1
        if self.late(waiting, now_ms):
            self.since_late = 0
        self.recent.add(waiting.ask.organisation, cost, now_ms)

    def ahead_of(self, ask: Ask) -> int:
        """Counts the waiting attempts of the same or a higher priority than `ask`."""
        return sum(1 for w in self.items.values() if w.ask.priority >= ask.priority)

    def prune(self, now_ms: int) -> None:
        """Drops organisations whose recent service has decayed."""
        self.recent.prune(now_ms)

    def _fair_service(self, now_ms: int) -> float:
        """Returns the recent service above which an organisation ranks behind the others."""
        present = {waiting.ask.organisation for waiting in self.items.values()}
        present.update(self.recent.served)
        total = sum(self.recent.all(now_ms).values())
        return fair_level(total, [math.inf] * len(present), self.policy.fair_factor)

    def _rank(self, waiting: Waiting, now_ms: int, fair: float) -> tuple[float, ...]:
        late = self.late(waiting, now_ms)
        excess = int(self.recent.of(waiting.ask.organisation, now_ms) / fair)
        return (-waiting.ask.priority, not waiting.first, late, excess, waiting.slack_ms(now_ms))
