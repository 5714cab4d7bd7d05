"""What the planner knows of one service: who waits, what runs, what endpoints have room for."""

from collections.abc import Collection

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
    """Send a message to an entry node; `priority` is that of a waiter which is settled by it."""

    address: str
    message: Message
    priority: int = DEFAULT_RANK


@attrs.define
class PlanState:
    """The plan of one service's decode memory.

    `began_ms` is when this node first was asked, or was asked again after it had heard nothing for
    long: it may have stood still meanwhile. Endpoints that failed a request are shunned for a
    while, those that had no room for a grant are full for a moment or until a run of theirs ends.
    `kept` names the endpoints that the latest look kept from priorities behind theirs.
    `mean_answer_tokens` is the running average of likely answers, `nodes` are those that report,
    `own_address` is where they do so.
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
        """Whether all runs are known: each node has told its own, or time enough has passed.

        Waiting out the time each time that a plan began left all nodes without one for 0.9 s after
        they had started together: the prompts of that time went to one reader, up to 1.3 s late.
        """
        if now_ms - self.began_ms >= WARM_UP_MS:
            return True
        heard = (self.reported_ms.get(node, -1) for node in self.nodes)
        return bool(self.nodes) and all(at_ms >= self.began_ms for at_ms in heard)

    def awaits_reports(self, now_ms: int) -> bool:
        """Whether nodes that were asked what runs there may still answer in a moment."""
        return bool(self.nodes) and now_ms - self.began_ms < REPORTS_WAIT_MS

    @property
    def limit_tokens(self) -> float:
        """What foreseen peaks of an endpoint may take."""
        margin_tokens = MARGIN_ANSWERS * self.mean_answer_tokens
        return self.capacity_tokens - min(margin_tokens, MAX_MARGIN_SHARE * self.capacity_tokens)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop what was learnt of endpoints that are gone."""
        self.ejections.forget_all_but(instances)
        self.prefill.forget_all_but(instances)
        self.speeds.forget_all_but(instances)
        for instance in self.full_until_ms.keys() - instances:
            del self.full_until_ms[instance]

    def occupancies(self, decoders: dict[StartId, str], now_ms: int) -> Occupancies:
        """The runs of each endpoint that may get work."""
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
            occupancy.settle()
        return usable

    @property
    def local_prefill_share(self) -> float:
        """Up to which share of its planned memory a decode endpoint reads by itself."""
        return LOCAL_PREFILL_MEMORY_SHARE if self.prefill.prefillers else 1.0

    def local_prefillers(self, usable: Occupancies) -> list[StartId]:
        """The decode endpoints that have the memory to read by themselves."""
        limit = self.local_prefill_share * self.limit_tokens
        return [name for name, held in usable.items() if held.peak_tokens <= limit]

    def best_fit(self, ask: MemoryAsk, usable: Occupancies, share: float = 1.0) -> StartId | None:
        """The endpoint whose foreseen peak with this run is lowest, if that is low enough.

        Of those with hardly higher peaks, the fastest. `share` of the planned memory is the most
        that the peak may take.
        """
        limit = share * self.limit_tokens
        more = self.lengths.more_tokens(0.0, ask.likely_tokens, ask.most_tokens)
        own = (float(ask.prompt_tokens), more)
        fitting: list[tuple[float, StartId]] = []
        for instance, present in usable.items():
            full = len(present.growths) >= self.slots
            if instance in ask.avoid or full or not present.may_fit(ask.prompt_tokens, limit):
                continue
            peak = projected_peak([*present.growths, own])
            if peak <= limit or not present.growths:
                fitting.append((peak, instance))
        if not fitting:
            return None
        near_tokens = min(fitting)[0] + NEAR_PEAK_SHARE * self.limit_tokens
        near = [
            (usable[name].slowness, peak, name) for peak, name in fitting if peak <= near_tokens
        ]
        return min(near)[2]
