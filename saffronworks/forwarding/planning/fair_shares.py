"""Max-min fair shares of scarce decode memory among organisations, by priority.

An organisation's service is the memory that its runs hold, plus its recent grants. The unit is a
run of mean size. The fair level of a priority is the largest share that an organisation would get
if the service of that priority were divided by max-min fairness among all organisations that hold
or request memory. The excess of an organisation is its service in whole fair levels. Shares only
order waiters: memory that some organisations leave unused goes to others, whatever their excess.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from saffronworks.forwarding.planning.messages import MemoryAsk, MemoryRefusal
from saffronworks.forwarding.planning.priorities import clip_rank
from saffronworks.forwarding.planning.runs import Run
from saffronworks.forwarding.planning.share_counts import (
    Claimant,
    Decision,
    ShareCounts,
    ShareSummary,
)
from saffronworks.forwarding.planning.tuning import LENGTH_SAMPLE_WEIGHT
from saffronworks.recent_service import RecentService, fair_level

__all__ = ["FairShares"]

# Shares apply while several organisations had requests within this time.
SHARED_FOR_MS = 30_000
# Interval at which levels are computed; they change slowly. For 4,000 claimants this takes 5 ms of
# a core, so the interval grows with their number.
LEVELS_EVERY_MS = 100
CLAIMANTS_PER_MS = 10
PRUNE_EVERY_MS = 1000
MAX_CLAIMANTS = 4096
# Claimants that an eviction keeps: fewer than the limit, so that evictions are rare.
CLAIMANTS_KEPT = 3584


class _Waiting(Protocol):
    """The part of a waiter that shares depend on."""

    ask: MemoryAsk


@attrs.define
class FairShares:
    """The fair shares of one service's decode memory.

    `update` takes the present runs and waiters, the methods `record_...` take requests and their
    outcomes, and `excess` returns the result.
    """

    counts: ShareCounts = attrs.Factory(ShareCounts)
    _granted: RecentService[Claimant] = attrs.Factory(RecentService)
    _mean_run_tokens: float = 0.0
    _last_organisation: str | None = None
    _last_request_ms: int = 0
    _last_other_ms: int | None = None
    _unserved: dict[str, MemoryAsk] = attrs.Factory(dict)
    _applies: bool = False
    _held: dict[Claimant, float] = attrs.Factory(dict)
    _levels: dict[int, float] = attrs.Factory(dict)
    _excesses: dict[Claimant, int] = attrs.Factory(dict)
    _levels_ms: int = -LEVELS_EVERY_MS
    _pruned_ms: int = 0

    def excess(self, organisation: str, priority: int, now_ms: int) -> int:
        """Return the number of whole fair shares that an organisation has; 0 below one share.

        It is also 0 while nobody waits for lack of capacity, and with a single organisation.
        """
        if not self._applies:
            return 0
        known = self._excesses.get((priority, organisation))
        if known is None:
            claimant = (clip_rank(priority), organisation)
            level = self._levels.get(claimant[0])
            known = int(self._service(claimant, now_ms) / level) if level else 0
            self._excesses[claimant] = known
        return known

    def update(self, runs: Mapping[str, Run], waiters: Mapping[str, _Waiting], now_ms: int) -> None:
        """Update the shares from the runs and waiters, before the next grants.

        Memory is scarce while a waiter that the previous step did not serve is still waiting.
        """
        scarce = any(request_id in waiters for request_id in self._unserved)
        self._applies = scarce and self._is_shared(now_ms)
        every_ms = max(LEVELS_EVERY_MS, len(self._granted.served) // CLAIMANTS_PER_MS)
        if self._applies and now_ms - self._levels_ms >= every_ms:
            self._set_levels(runs, waiters, now_ms)
        if now_ms - self._pruned_ms >= PRUNE_EVERY_MS:
            self._granted.prune(now_ms)
            self._pruned_ms = now_ms

    def record_request(self, ask: MemoryAsk, now_ms: int) -> None:
        """Record a new request; requests that are resent while they wait do not count."""
        if ask.organisation != self._last_organisation:
            self._last_other_ms = (
                self._last_request_ms if self._last_organisation is not None else None
            )
            self._last_organisation = ask.organisation
        self._last_request_ms = now_ms
        tokens = float(max(1, _tokens(ask)))
        known = self._mean_run_tokens or tokens
        self._mean_run_tokens = known + LENGTH_SAMPLE_WEIGHT * (tokens - known)

    def record_grant(self, ask: MemoryAsk, now_ms: int) -> None:
        """Record a grant, and charge its organisation."""
        claimant = _claimant(ask)
        self.counts.record(self.counts.granted, claimant, self._decision(ask, now_ms))
        self._charge(claimant, self._cost(_tokens(ask)), now_ms)
        if len(self._granted.served) > MAX_CLAIMANTS:
            self._granted.evict_least(CLAIMANTS_KEPT, now_ms)

    def record_revoked_grant(self, run: Run, now_ms: int) -> None:
        """Refund a grant that found no room, since its request is charged again when granted."""
        claimant = _claimant(run)
        if claimant in self._granted.served:
            self._charge(claimant, -self._cost(_tokens(run)), now_ms)

    def record_unserved(self, waiters: Mapping[str, _Waiting]) -> None:
        """Record the waiters that a step did not serve."""
        self._unserved = {request_id: waiter.ask for request_id, waiter in waiters.items()}

    def record_rejections(self, messages: Iterable[object], now_ms: int) -> None:
        """Record the rejections of waiters that were not served."""
        for message in messages:
            if isinstance(message, MemoryRefusal) and message.request_id in self._unserved:
                ask = self._unserved[message.request_id]
                decision = self._decision(ask, now_ms)
                self.counts.record(self.counts.rejected, _claimant(ask), decision)

    def take_summary(
        self, waiters: Mapping[str, _Waiting], now_ms: int, last: bool = False
    ) -> ShareSummary | None:
        """Return a summary of claimants: None until it is due, empty with a single organisation.

        With `last` it is returned before it is due, as nothing runs or waits any more.
        """
        if not last and not self.counts.due(now_ms):
            return None
        waiting = Counter(_claimant(waiter.ask) for waiter in waiters.values())
        excesses = {(p, name): self.excess(name, p, now_ms) for p, name in waiting}
        summary = self.counts.take(waiting, excesses, now_ms)
        return summary if self._is_shared(now_ms) else ShareSummary(0, [])

    def take_decisions(self) -> dict[str, Decision]:
        """Return the grants and rejections since the last call, by request."""
        decisions, self.counts.decisions = self.counts.decisions, {}
        return decisions

    def _is_shared(self, now_ms: int) -> bool:
        """Return whether several organisations had recent requests."""
        return self._last_other_ms is not None and now_ms - self._last_other_ms <= SHARED_FOR_MS

    def _set_levels(
        self, runs: Mapping[str, Run], waiters: Mapping[str, _Waiting], now_ms: int
    ) -> None:
        self._held = self._memory_by_claimant(runs.values())
        requested = self._memory_by_claimant(waiter.ask for waiter in waiters.values())
        service = self._granted.all(now_ms)
        for claimant, cost in self._held.items():
            service[claimant] = service.get(claimant, 0.0) + cost
        totals = {priority: 0.0 for priority, _ in requested}
        demands: dict[int, list[float]] = {priority: [] for priority in totals}
        for (priority, organisation), amount in service.items():
            if priority in totals:
                totals[priority] += amount
                if (priority, organisation) not in requested:
                    demands[priority].append(amount)
        for claimant, cost in requested.items():
            demands[claimant[0]].append(service.get(claimant, 0.0) + cost)
        self._levels = {p: fair_level(totals[p], wanted) for p, wanted in demands.items()}
        self._excesses, self._levels_ms = {}, now_ms

    def _memory_by_claimant(self, sized: Iterable[Run | MemoryAsk]) -> dict[Claimant, float]:
        """Return the memory of runs or requests by claimant, in runs of mean size."""
        sums: dict[Claimant, float] = {}
        for each in sized:
            claimant = _claimant(each)
            sums[claimant] = sums.get(claimant, 0.0) + self._cost(_tokens(each))
        return sums

    def _service(self, claimant: Claimant, now_ms: int) -> float:
        return self._held.get(claimant, 0.0) + self._granted.of(claimant, now_ms)

    def _charge(self, claimant: Claimant, cost: float, now_ms: int) -> None:
        self._granted.add(claimant, cost, now_ms)
        self._excesses.pop(claimant, None)

    def _cost(self, tokens: float) -> float:
        return max(1.0, tokens) / max(1.0, self._mean_run_tokens)

    def _decision(self, ask: MemoryAsk, now_ms: int) -> Decision:
        priority, organisation = _claimant(ask)
        excess = self.excess(organisation, priority, now_ms)
        return Decision(ask.request_id, priority, organisation, excess)


def _claimant(of: MemoryAsk | Run) -> Claimant:
    return clip_rank(of.priority), of.organisation


def _tokens(of: MemoryAsk | Run) -> int:
    """Return the expected final memory of a run, or its present one if that is higher."""
    made = of.made_tokens if isinstance(of, Run) else 0
    return of.prompt_tokens + max(min(of.likely_tokens, of.most_tokens), made)
