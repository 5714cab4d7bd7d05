"""Who gets the next place: the order of waiters, and the bound against starvation."""

from collections import deque
from collections.abc import Callable, Collection, Iterable, Iterator

import attrs

from saffronworks.forwarding.planning.messages import MemoryAsk
from saffronworks.forwarding.planning.priorities import clip_rank
from saffronworks.forwarding.planning.request_rates import RequestRates
from saffronworks.forwarding.planning.tuning import MAX_OVERDUE_EXAMINED

__all__ = ["Excess", "Waiter", "WaiterOrder", "count_by_priority"]

# By how many shares an organisation is beyond its own in a priority, at a time.
Excess = Callable[[str, int, int], float]


@attrs.define
class Waiter:
    """One request that wants memory; times by the planner's own clock."""

    ask: MemoryAsk
    arrived_ms: int
    target_deadline_ms: int
    patience_deadline_ms: int
    decided: bool = False

    @property
    def priority(self) -> int:
        """The rank of its route and organisation, lower first; messages may hold any number."""
        return clip_rank(self.ask.priority)

    def is_late(self, now_ms: int) -> bool:
        """Whether a grant comes too late for the target."""
        return now_ms > self.target_deadline_ms

    def deadline_ms(self, now_ms: int) -> int:
        """When its time is up: that of the target, or of the caller's patience once it is late.

        One who was refused early and returned when it was told takes its turn: behind all who come
        first, most of those who returned would be late once more.
        """
        return self.patience_deadline_ms if self.is_late(now_ms) else self.target_deadline_ms


def count_by_priority(waiters: Iterable[Waiter]) -> dict[int, int]:
    """How many wait, by priority, the most urgent first."""
    counts: dict[int, int] = {}
    for waiter in waiters:
        counts[waiter.priority] = counts.get(waiter.priority, 0) + 1
    return dict(sorted(counts.items()))


def _no_excess(organisation: str, priority: int, now_ms: int) -> float:
    return 0.0


# The waiters of each priority in order; those that are empty are left out.
_Queues = dict[int, deque[Waiter]]


@attrs.define
class WaiterOrder:
    """In-time waiters before late ones; then by priority, the organisation's excess, time left.

    `passes` counts by priority the grants in succession that went to more urgent waiters while one
    of that priority waited that could be in time; after `rates.max_passes` it is its turn.
    """

    excess: Excess = _no_excess
    passes: dict[int, int] = attrs.Factory(dict)
    rates: RequestRates = attrs.Factory(RequestRates)

    def offers(self, waiters: Iterable[Waiter], now_ms: int) -> Iterator[Waiter]:
        """Waiters in the order of their offers; report each grant to `record_grant`.

        A passed priority is offered a few places only, since its waiters may fit nowhere.
        """
        queues, late = self._split(waiters, now_ms)
        overdue_left = MAX_OVERDUE_EXAMINED
        while queues:
            due = self._due(self.passes, queues, now_ms) if overdue_left else None
            overdue_left -= due is not None
            yield _pop(queues, min(queues) if due is None else due)
        yield from late

    def forecast(self, waiters: Iterable[Waiter], now_ms: int) -> list[Waiter]:
        """Waiters in the order of their turns, if each gets a place at its own."""
        queues, late = self._split(waiters, now_ms)
        passes, turns = dict(self.passes), []
        while queues:
            due = self._due(passes, queues, now_ms)
            turns.append(_pop(queues, min(queues) if due is None else due))
            _count_grant(passes, turns[-1].priority, queues)
        return [*turns, *late]

    def record_grant(self, granted: Waiter, waiters: Iterable[Waiter], now_ms: int) -> None:
        """One of the waiters got a place; `waiters` are the others."""
        waiting = {waiter.priority for waiter in waiters if not waiter.is_late(now_ms)}
        _count_grant(self.passes, granted.priority, waiting)

    def is_due(self, priority: int, now_ms: int) -> bool:
        """Whether it was passed over so often that the next place is its own."""
        return self._due(self.passes, [priority], now_ms) is not None

    def _due(self, passes: dict[int, int], waiting: Collection[int], now_ms: int) -> int | None:
        """The priority that was passed over most often, if that was too often."""
        counted = [name for name in sorted(waiting) if name in passes]
        due = [name for name in counted if passes[name] >= self.rates.max_passes(name, now_ms)]
        return max(due, key=lambda name: passes[name], default=None)

    def _split(self, waiters: Iterable[Waiter], now_ms: int) -> tuple[_Queues, list[Waiter]]:
        """Those who can be in time by priority, and the late ones, each in order."""
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
    """Count a grant; what nobody waits for in time is forgotten."""
    passes.pop(granted, None)
    for name in passes.keys() - set(waiting):
        del passes[name]
    for name in waiting:
        if name > granted:
            passes[name] = passes.get(name, 0) + 1
