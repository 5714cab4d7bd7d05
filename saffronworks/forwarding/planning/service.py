"""The service that plans decode memory on the node chosen as planner: runs `core`."""

import logging
from collections import Counter
from collections.abc import Callable, Collection

import anyio
import attrs

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.figures import Level, MetricsRecorder
from saffronworks.forwarding.planning import core
from saffronworks.forwarding.planning.core import PlanState, Reply, Tick
from saffronworks.forwarding.planning.messages import (
    MemoryAsk,
    MemoryGrant,
    MemoryRefusal,
    MemoryRelease,
    MemoryReport,
    ReadingEnded,
)
from saffronworks.forwarding.planning.order import count_by_priority
from saffronworks.forwarding.planning.share_counts import Decision
from saffronworks.forwarding.planning.tuning import (
    PLAN_EVERY_MS,
)
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["MemoryPlanner"]

logger = logging.getLogger(__name__)

_Message = MemoryAsk | MemoryRelease | MemoryReport | ReadingEnded

# Limit of the organisations of a service that are logged every five seconds.
MAX_SHARE_LINES = 8


class MemoryPlanner:
    """Plans every service for which requests or reports arrive."""

    name = "memory-planner"

    def __init__(
        self,
        directory: Directory,
        table: Callable[[], RoutingTable | None],
        nodes: Callable[[], Collection[str]],
        own_address: str,
        figures: MetricsRecorder,
    ):
        self.plans: dict[str, PlanState] = {}
        self._directory = directory
        self._table = table
        self._nodes = nodes
        self._own_address = own_address
        self._figures = figures
        self._settled: Counter[tuple[str, str, int]] = Counter()
        self._dropped_revision = directory.revision
        self._active = anyio.Event()
        figures.register_gauge("saffronworks_plan_waiting", lambda: self._levels(_waiting))
        figures.register_gauge("saffronworks_plan_endpoints_kept", lambda: self._levels(_kept))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages and ticks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            await kernel.dispatch(
                self.name, mailbox, lambda message: self._handle_message(kernel, message)
            )

    async def _tick(self, kernel: Kernel) -> None:
        """Send ticks to plans with waiters or runs; sleep while there are none."""
        while True:
            await self._active.wait()
            await anyio.sleep(PLAN_EVERY_MS / 1000)
            active = [service for service, plan in self.plans.items() if plan.waiters or plan.runs]
            for service in active:
                self._tick_plan(kernel, service)
            if not active:
                for plan in self.plans.values():
                    kernel.attempt(self.name, self._log_shares, plan, kernel.now_ms(), True)
                self._active = anyio.Event()

    def _handle_message(self, kernel: Kernel, message: _Message) -> None:
        """Apply a message; one that raises leaves no request behind that would raise again."""
        try:
            self._handle(kernel, message.service, message)
        except Exception:
            plan = self.plans.get(message.service)
            if plan is not None and not isinstance(message, MemoryReport):
                core.forget_request(plan, message.request_id)
            # The next tick shows whether the plan can go on.
            self._active.set()
            raise

    def _tick_plan(self, kernel: Kernel, service: str) -> None:
        """Send a tick to a plan; one that can't go on is dropped, and rebuilt from reports."""
        try:
            self._handle(kernel, service, Tick())
            self._log_shares(self.plans[service], kernel.now_ms())
        except Exception:
            logger.exception("event=plan_dropped service=%s", service)
            self.plans.pop(service, None)

    def _log_shares(self, plan: PlanState, now_ms: int, last: bool = False) -> None:
        """Log and count the grants and rejections of organisations, the least served first."""
        summary = plan.shares.take_summary(plan.waiters, now_ms, last)
        if summary is None:
            return
        self._figures.record_shares(plan.service, summary.rows)
        for row in summary.rows[:MAX_SHARE_LINES]:
            if not row.waiting and not row.rejected:
                break
            logger.info(
                "event=plan_share service=%s organisation=%s priority=%d waiting=%d granted=%d "
                "rejected=%d excess=%d organisations=%d",
                plan.service,
                row.organisation,
                row.priority,
                row.waiting,
                row.granted,
                row.rejected,
                row.excess,
                summary.claimants,
            )

    def _handle(self, kernel: Kernel, service: str, event: core.Event) -> None:
        now_ms = kernel.now_ms()
        plan = self._find_plan(service, now_ms)
        if plan is None:
            return
        event = _resolve(event, self._directory)
        plan.nodes = self._nodes()
        usable = self._directory.usable(service, now_ms, Role.DECODE)
        decoders = {endpoint.instance: endpoint.zone for endpoint in usable}
        self._drop_removed_endpoints()
        prefill_endpoints = self._directory.usable(service, now_ms, Role.PREFILL)
        prefillers = {endpoint.instance: endpoint.zone for endpoint in prefill_endpoints}
        # Without a prefiller that accepts prompts, decode endpoints do local prefill.
        plan.prefill.prefillers = {
            name: zone
            for name, zone in prefillers.items()
            if not plan.ejections.is_ejected(name, now_ms)
        }
        replies = core.step(plan, event, decoders, now_ms)
        decisions = plan.shares.take_decisions()
        for reply in replies:
            self._log_decision(kernel, reply, plan, decisions)
            self._send(kernel, reply)
        self._log_speeds(plan, now_ms)
        if plan.waiters or plan.runs:
            self._active.set()
        for instance, span_ms in plan.ejections.take_new():
            logger.info(
                "event=endpoint_shunned service=%s endpoint=%s for_ms=%d after=%s endpoints_rev=%s",
                service,
                instance,
                span_ms,
                type(event).__name__,
                self._directory.revision,
            )

    def _log_speeds(self, plan: PlanState, now_ms: int) -> None:
        """Log and count the endpoints whose speed has changed by `SPEED_LOG_STEP`."""
        for news in plan.speeds.take_changes(now_ms):
            logger.info(
                "event=endpoint_speed service=%s endpoint=%s factor=%.2f ms_per_token=%.3f "
                "runs=%.1f load_slope=%.3f",
                plan.service,
                news.instance,
                news.factor,
                news.ms_per_token,
                news.runs,
                plan.speeds.load_slope,
            )
            self._figures.record_speed(plan.service, news.factor, news.ms_per_token)

    def _drop_removed_endpoints(self) -> None:
        """Drop the state of endpoints that a change of the directory removed."""
        if self._directory.revision == self._dropped_revision:
            return
        self._dropped_revision = self._directory.revision
        for plan in self.plans.values():
            plan.forget_all_but(set(self._directory.endpoints))

    def _find_plan(self, service: str, now_ms: int) -> PlanState | None:
        """Return the plan of a service, created if missing; None if unknown or without engines."""
        if service not in self.plans:
            table = self._table()
            known = table.services.get(service) if table else None
            if known is None or known.engine is None:
                logger.info("event=plan_unknown_service service=%s", service)
                return None
            self.plans[service] = PlanState(
                now_ms,
                known.engine.kv_capacity_tokens,
                known.engine.slots,
                service,
                self._own_address,
            )
            logger.info("event=plan_begins service=%s", service)
        return self.plans[service]

    def _count(self, service: str, outcome: str) -> dict[int, int]:
        """Return the number of requests with this outcome since the node's start, by priority."""
        return {
            priority: count
            for (name, settled, priority), count in self._settled.items()
            if (name, settled) == (service, outcome)
        }

    def _levels(self, count: Callable[[PlanState], dict[int, int]]) -> list[Level]:
        return [
            Level(value, {"service": service, "priority": str(priority)})
            for service, plan in self.plans.items()
            for priority, value in count(plan).items()
        ]

    def _log_decision(
        self, kernel: Kernel, reply: Reply, plan: PlanState, decisions: dict[str, Decision]
    ) -> None:
        if isinstance(reply.message, MemoryGrant | MemoryRefusal):
            outcome = "granted" if isinstance(reply.message, MemoryGrant) else "rejected"
            self._settled[plan.service, outcome, reply.priority] += 1
            self._figures.count_plan(plan.service, outcome, reply.priority)
            logger.info(
                "event=plan request=%s priority=%d do=%s waiting=%d waiting_by_priority=%s "
                "granted=%s rejected=%s kept=%s runs=%d ms_per_token=%.3f "
                "read_ms_per_token=%.4f readers=%d reading_wait_ms=%d endpoints_rev=%s%s",
                reply.message.request_id,
                reply.priority,
                reply.message,
                len(plan.waiters),
                _format_counts(_waiting(plan)),
                _format_counts(self._count(plan.service, "granted")),
                _format_counts(self._count(plan.service, "rejected")),
                _format_counts(_kept(plan)),
                len(plan.runs),
                plan.ms_per_token,
                plan.prefill.pace.ms_per_token,
                len(plan.prefill.prefillers),
                plan.prefill.prefillers_free_in_ms(kernel.now_ms()),
                self._directory.revision,
                _format_share(decisions.get(reply.message.request_id)),
            )

    def _send(self, kernel: Kernel, reply: Reply) -> None:
        if reply.address == self._own_address:
            kernel.announce(reply.message)
        else:
            kernel.post("peers", Outgoing(reply.address, reply.message))


def _format_share(decision: Decision | None) -> str:
    """Format the organisation and its excess; empty where there is neither."""
    if decision is None or not (decision.organisation or decision.excess):
        return ""
    return f" organisation={decision.organisation} excess={decision.excess}"


def _waiting(plan: PlanState) -> dict[int, int]:
    return count_by_priority(plan.waiters.values())


def _kept(plan: PlanState) -> dict[int, int]:
    return Counter(plan.kept.values())


def _format_counts(counts: dict[int, int]) -> str:
    """Format counts by priority as one word, the most urgent first."""
    return ",".join(f"{name}:{count}" for name, count in sorted(counts.items())) or "none"


def _resolve(event: core.Event, directory: Directory) -> core.Event:
    """Replace endpoint names by start identities, as nodes of earlier versions send names only."""
    resolve = directory.resolve
    match event:
        case MemoryAsk(avoid=avoid, broken=broken) if avoid or broken:
            return attrs.evolve(
                event,
                avoid=tuple(resolve(instance) for instance in avoid),
                broken=tuple(resolve(instance) for instance in broken),
            )
        case MemoryRelease(broken=broken) if broken:
            return attrs.evolve(event, broken=tuple(resolve(instance) for instance in broken))
        case MemoryReport(runs=runs) if any(resolve(r.instance) != r.instance for r in runs):
            renamed = (attrs.evolve(run, instance=resolve(run.instance)) for run in runs)
            return attrs.evolve(event, runs=tuple(renamed))
        case ReadingEnded(reader=reader):
            return attrs.evolve(event, reader=resolve(reader))
    return event
