"""The order in which waiters get memory, with a bound against starvation."""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs

from saffronworks.forwarding.planning.messages import MemoryAsk
from saffronworks.forwarding.planning.priorities import clip_rank
from saffronworks.forwarding.planning.request_rates import RequestRates
from saffronworks.forwarding.planning.tuning import MAX_OVERDUE_EXAMINED

__all__ = ["Excess", "Waiter", "WaiterOrder", "count_by_priority"]

# Maps an organisation, a priority and a time to the number of whole fair shares that the
# organisation has.
Excess = Callable[[str, int, int], float]


@attrs.define
class Waiter:
    """A request that waits for memory; times are those of the planner's own clock.

    Its node last asked at `asked_ms`. Once `decided`, it is not rejected any more.
    """

    ask: MemoryAsk
    arrived_ms: int
    target_deadline_ms: int
    patience_deadline_ms: int
    asked_ms: int
    decided: bool = False

    @property
    def priority(self) -> int:
        """The rank of its organisation and route, lower first, clipped to the valid range."""
        return clip_rank(self.ask.priority)

    def is_late(self, now_ms: int) -> bool:
        """Return whether a grant would miss the target."""
        return now_ms > self.target_deadline_ms

    def deadline_ms(self, now_ms: int) -> int:
        """Return the deadline of the target, or the patience deadline once that has passed.

        A retry after a rejection gets no later deadline than a first attempt, since most retries
        that are queued behind all first attempts would be late again.
        """
        return self.patience_deadline_ms if self.is_late(now_ms) else self.target_deadline_ms


def count_by_priority(waiters: Iterable[Waiter]) -> dict[int, int]:
    """Return the number of waiters by priority, the most urgent first."""
    counts: dict[int, int] = {}
    for waiter in waiters:
        counts[waiter.priority] = counts.get(waiter.priority, 0) + 1
    return dict(sorted(counts.items()))


def _no_excess(organisation: str, priority: int, now_ms: int) -> float:
    return 0.0


# The waiters of each priority in order; priorities without waiters are left out.
_Queues = dict[int, deque[Waiter]]


@attrs.define
class WaiterOrder:
    """Orders waiters: in-time before late ones, then by priority, excess and deadline.

    A waiter is in time while a grant can still meet its target. `passes` counts for each priority
    the successive grants to more urgent waiters while it had an in-time waiter. After
    `rates.max_passes` of them the priority is due.
    """

    excess: Excess = _no_excess
    passes: dict[int, int] = attrs.Factory(dict)
    rates: RequestRates = attrs.Factory(RequestRates)

    def offers(self, waiters: Iterable[Waiter], now_ms: int) -> Iterator[Waiter]:
        """Yield waiters in the order in which to grant; report each grant to `record_grant`.

        At most `MAX_OVERDUE_EXAMINED` waiters come first because their priority is due, since those
        may fit nowhere.
        """
        queues, late = self._split(waiters, now_ms)
        overdue_left = MAX_OVERDUE_EXAMINED
        while queues:
            due = self._due(self.passes, queues, now_ms) if overdue_left else None
            overdue_left -= due is not None
            yield _pop(queues, min(queues) if due is None else due)
        yield from late

    def forecast(self, waiters: Iterable[Waiter], now_ms: int) -> list[Waiter]:
        """Return the expected order of grants, assuming that each waiter fits at its turn."""
        queues, late = self._split(waiters, now_ms)
        passes, order = dict(self.passes), []
        while queues:
            due = self._due(passes, queues, now_ms)
            order.append(_pop(queues, min(queues) if due is None else due))
            _count_grant(passes, order[-1].priority, queues)
        return [*order, *late]

    def record_grant(self, granted: Waiter, waiters: Iterable[Waiter], now_ms: int) -> None:
        """Count a grant; `waiters` are those that still wait."""
        waiting = {waiter.priority for waiter in waiters if not waiter.is_late(now_ms)}
        _count_grant(self.passes, granted.priority, waiting)

    def is_due(self, priority: int, now_ms: int) -> bool:
        """Return whether a priority was passed over so often that the next grant is due to it."""
        return self._due(self.passes, [priority], now_ms) is not None

    def _due(self, passes: dict[int, int], waiting: Collection[int], now_ms: int) -> int | None:
        """Return the due priority that was passed over most often; None if none is due."""
        counted = [name for name in sorted(waiting) if name in passes]
        due = [name for name in counted if passes[name] >= self.rates.max_passes(name, now_ms)]
        return max(due, key=lambda name: passes[name], default=None)

    def _split(self, waiters: Iterable[Waiter], now_ms: int) -> tuple[_Queues, list[Waiter]]:
        """Return in-time waiters by priority, and late ones, each in order."""
        queues: _Queues = {}
        late = []
        for waiter in self._sort(waiters, now_ms):
            if waiter.is_late(now_ms):
                late.append(waiter)
            else:
                queues.setdefault(waiter.priority, deque()).append(waiter)
        return queues, late

    def _sort(self, waiters: Iterable[Waiter], now_ms: int) -> list[Waiter]:
        def rank(waiter: Waiter) -> tuple[int, float, int]:
            excess = self.excess(waiter.ask.organisation, waiter.priority, now_ms)
            return waiter.priority, excess, waiter.deadline_ms(now_ms)

        return sorted(waiters, key=rank)


def _pop(queues: _Queues, priority: int) -> Waiter:
    waiter = queues[priority].popleft()
    if not queues[priority]:
        del queues[priority]
    return waiter


def _count_grant(passes: dict[int, int], granted: int, waiting: Collection[int]) -> None:
    """Count a grant, and drop the counts of priorities without an in-time waiter."""
    passes.pop(granted, None)
    for name in passes.keys() - set(waiting):
        del passes[name]
    for name in waiting:
        if name > granted:
            passes[name] = passes.get(name, 0) + 1
