"""The planner's state of one service: waiters, runs and the memory use of endpoints."""

from collections.abc import Collection, Iterator

import attrs

from saffronworks.forwarding.planning.ejections import EjectionTable
from saffronworks.forwarding.planning.fair_shares import FairShares
from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.messages import (
    MemoryAsk,
    MemoryDirect,
    MemoryGrant,
    MemoryQueued,
    MemoryRefusal,
    ReportWanted,
)
from saffronworks.forwarding.planning.order import Waiter, WaiterOrder
from saffronworks.forwarding.planning.prefill import PrefillPlan
from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.planning.runs import Occupancies, Occupancy, Run, projected_peak
from saffronworks.forwarding.planning.speeds import EndpointSpeeds
from saffronworks.forwarding.planning.tuning import (
    LOCAL_PREFILL_MEMORY_SHARE,
    MARGIN_ANSWERS,
    MAX_MARGIN_SHARE,
    MS_PER_TOKEN,
    NEAR_PEAK_SHARE,
    REPORTS_WAIT_MS,
    WARM_UP_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["Message", "Occupancies", "PlanState", "Reply", "Waiter"]

Message = MemoryGrant | MemoryQueued | MemoryDirect | MemoryRefusal | ReportWanted


@attrs.frozen
class Reply:
    """A message to an entry node; `priority` is that of the request which it answers."""

    address: str
    message: Message
    priority: int = DEFAULT_RANK


@attrs.define
class PlanState:
    """The plan of one service's decode memory.

    `began_ms` is the time of the first event, or of the first one after a long pause, in which the
    process may have been suspended. Endpoints that failed a request are ejected for a while.
    `full_until_ms` maps each endpoint that had no room for a grant to the time until which it gets
    no other one; the end of a run there removes the entry.
    `kept` maps endpoints to the priority for which the last step reserved them. `nodes` are the
    nodes that report, and `own_address` is the address that they report to.
    """

    began_ms: int
    capacity_tokens: int
    slots: int
    service: str = ""
    own_address: str = ""
    ms_per_token: float = MS_PER_TOKEN
    runs: dict[str, Run] = attrs.Factory(dict)
    waiters: dict[str, Waiter] = attrs.Factory(dict)
    kept: dict[StartId, int] = attrs.Factory(dict)
    reported_ms: dict[str, int] = attrs.Factory(dict)
    next_retry_ms: dict[int, float] = attrs.Factory(dict)
    last_event_ms: int = 0
    reports_repeated: bool = False
    prefill: PrefillPlan = attrs.Factory(PrefillPlan)
    lengths: AnswerLengths = attrs.Factory(AnswerLengths)
    speeds: EndpointSpeeds = attrs.Factory(EndpointSpeeds)
    ejections: EjectionTable = attrs.Factory(EjectionTable)
    shares: FairShares = attrs.Factory(FairShares)
    order: WaiterOrder = attrs.field(init=False)
    full_until_ms: dict[StartId, int] = attrs.Factory(dict)
    mean_answer_tokens: float = 0.0
    nodes: Collection[str] = ()

    @order.default
    def _order_by_shares(self) -> WaiterOrder:
        return WaiterOrder(self.shares.excess)

    def is_complete(self, now_ms: int) -> bool:
        """Return whether all runs are known: each node has reported, or the warm-up is over.

        With the warm-up alone, nodes that started together had no plan for 0.9 s: the prompts of
        that time went to one prefiller and were up to 1.3 s late.
        """
        if now_ms - self.began_ms >= WARM_UP_MS:
            return True
        return bool(self.nodes) and next(self.missing_reports(), None) is None

    def missing_reports(self) -> Iterator[str]:
        """Yield the nodes that have not reported since the plan began."""
        return (node for node in self.nodes if self.reported_ms.get(node, -1) < self.began_ms)

    def awaits_reports(self, now_ms: int) -> bool:
        """Return whether a new plan still waits for the reports that it requested."""
        return bool(self.nodes) and now_ms - self.began_ms < REPORTS_WAIT_MS

    @property
    def limit_tokens(self) -> float:
        """The memory that the forecast peak of an endpoint may take, in tokens."""
        margin_tokens = MARGIN_ANSWERS * self.mean_answer_tokens
        return self.capacity_tokens - min(margin_tokens, MAX_MARGIN_SHARE * self.capacity_tokens)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of all other endpoints."""
        self.ejections.forget_all_but(instances)
        self.prefill.forget_all_but(instances)
        self.speeds.forget_all_but(instances)
        for instance in self.full_until_ms.keys() - instances:
            del self.full_until_ms[instance]

    def occupancies(self, decoders: dict[StartId, str], now_ms: int) -> Occupancies:
        """Return the runs of each endpoint that is neither ejected nor full."""
        usable = {
            name: Occupancy(
                [],
                slowness=self.speeds.factor(name, now_ms),
                ms_per_token=self.speeds.ms_per_token(name, self.ms_per_token, now_ms),
            )
            for name in self.ejections.usable(decoders, now_ms)
            if self.full_until_ms.get(name, 0) <= now_ms
        }
        for run in self.runs.values():
            if run.instance in usable:
                held = usable[run.instance]
                held.add(run.growth(self.lengths, held.ms_per_token, now_ms))
        for occupancy in usable.values():
            occupancy.update_peak()
        return usable

    def candidates(
        self, ask: MemoryAsk, usable: Occupancies, decoders: dict[StartId, str], now_ms: int
    ) -> Occupancies:
        """Return the endpoints for a request: the usable ones, or ejected ones if it avoids these.

        A stream that continues avoids all endpoints with other software than the one that began it.
        """
        if not ask.avoid or not usable.keys() <= set(ask.avoid):
            return usable
        left = {name: zone for name, zone in decoders.items() if name not in ask.avoid}
        return self.occupancies(left, now_ms)

    @property
    def local_prefill_share(self) -> float:
        """The share of its planned memory up to which a decode endpoint does local prefill."""
        return LOCAL_PREFILL_MEMORY_SHARE if self.prefill.prefillers else 1.0

    def local_prefillers(self, usable: Occupancies) -> list[StartId]:
        """Return the decode endpoints whose memory use allows a local prefill."""
        limit = self.local_prefill_share * self.limit_tokens
        return [name for name, held in usable.items() if held.peak_tokens <= limit]

    def best_fit(self, ask: MemoryAsk, usable: Occupancies, share: float = 1.0) -> StartId | None:
        """Return the endpoint with the lowest forecast peak for this run; None if it fits nowhere.

        Among endpoints with nearly the same peak, the fastest is chosen. The peak may take `share`
        of the planned memory.
        """
        limit = share * self.limit_tokens
        more = self.lengths.more_tokens(0.0, ask.likely_tokens, ask.most_tokens)
        new_run = (float(ask.prompt_tokens), more)
        fitting: list[tuple[float, StartId]] = []
        for instance, occupancy in usable.items():
            full = len(occupancy.growths) >= self.slots
            if instance in ask.avoid or full or not occupancy.may_fit(ask.prompt_tokens, limit):
                continue
            peak = projected_peak([*occupancy.growths, new_run])
            if peak <= limit or not occupancy.growths:
                fitting.append((peak, instance))
        if not fitting:
            return None
        near_tokens = min(fitting)[0] + NEAR_PEAK_SHARE * self.limit_tokens
        near = [
            (usable[name].slowness, peak, name) for peak, name in fitting if peak <= near_tokens
        ]
        return min(near)[2]
