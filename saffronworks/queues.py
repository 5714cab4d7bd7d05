"""The bounded wait queue of a cell: priority, then who can still be in time, then fairness."""

import attrs

from saffronworks.bundles import Model
from saffronworks.messages import Ask

__all__ = ["Waiting", "WaitQueue"]

QUEUE_LENGTH = 256
LATE_EVERY_GRANTS = 16
SHARE_HALF_LIFE_MS = 5000.0


@attrs.define
class Waiting:
    """One queued attempt. `arrived_ms` is on the owner's clock, less what it waited before."""

    ask: Ask
    model: Model
    arrived_ms: int
    wait_queued_ms: int

    def slack_ms(self, now_ms: int, work_ms: float) -> float:
        """Time to spare before the first token would miss its target."""
        return self.arrived_ms + self.model.ttft_ms - now_ms - work_ms

    def patience_left_ms(self, now_ms: int) -> int:
        """Time until the caller is told *not run*."""
        return self.arrived_ms + self.model.patience_ms - now_ms


@attrs.define
class WaitQueue:
    """Waiting attempts by request id, and the recent service of each organisation."""

    items: dict[str, Waiting] = attrs.Factory(dict)
    served: dict[str, tuple[float, int]] = attrs.Factory(dict)
    since_late: int = 0

    def full(self) -> bool:
        """Whether the bound is reached."""
        return len(self.items) >= QUEUE_LENGTH

    def select(self, now_ms: int, work_ms: float) -> Waiting | None:
        """The attempt to serve next; every `LATE_EVERY_GRANTS`th turn is a late one's."""
        if not self.items:
            return None
        if self.since_late >= LATE_EVERY_GRANTS:
            late = [w for w in self.items.values() if w.slack_ms(now_ms, work_ms) < 0]
            if late:
                return min(late, key=lambda w: (-w.ask.priority, w.arrived_ms))
        return min(self.items.values(), key=lambda w: self._rank(w, now_ms, work_ms))

    def take(self, waiting: Waiting, cost: float, now_ms: int, work_ms: float) -> None:
        """Remove a served attempt and charge its organisation."""
        del self.items[waiting.ask.key.request_id]
        self.since_late += 1
        if waiting.slack_ms(now_ms, work_ms) < 0:
            self.since_late = 0
        organisation = waiting.ask.organisation
        self.served[organisation] = (self.service(organisation, now_ms) + cost, now_ms)

    def service(self, organisation: str, now_ms: int) -> float:
        """Recent service of an organisation, halved every `SHARE_HALF_LIFE_MS`."""
        amount, at_ms = self.served.get(organisation, (0.0, now_ms))
        return amount * 0.5 ** ((now_ms - at_ms) / SHARE_HALF_LIFE_MS)

    def ahead_of(self, ask: Ask) -> int:
        """How many waiting attempts go before a new one of that priority."""
        return sum(1 for w in self.items.values() if w.ask.priority >= ask.priority)

    def prune(self, now_ms: int) -> None:
        """Forget organisations whose recent service has faded."""
        for organisation in list(self.served):
            if self.service(organisation, now_ms) < 0.05:
                del self.served[organisation]

    def _rank(self, waiting: Waiting, now_ms: int, work_ms: float) -> tuple[float, ...]:
        slack_ms = waiting.slack_ms(now_ms, work_ms)
        late = slack_ms < 0
        service = self.service(waiting.ask.organisation, now_ms)
        return (-waiting.ask.priority, late, round(service), slack_ms)
