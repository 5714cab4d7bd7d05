"""Entry point of callers' requests: routing, admission, execution, cancellation and deadline."""

import logging
import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import attrs

from saffronworks.forwarding.answer_times import may_begin
from saffronworks.forwarding.generation_runner import run_generation
from saffronworks.forwarding.messages import ENDS_ENDPOINTS, PROMPT_TOO_LONG, CallerRequest, Refuse
from saffronworks.forwarding.plain_runner import run_plain
from saffronworks.forwarding.planned_ends import (
    DEADLINE_SLACK_MS,
    NO_TIME_LEFT,
    STOPPING,
    PlannedEnd,
)
from saffronworks.forwarding.ports import CallerReply
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.forwarding.runners import Job, NodeState, retry_after_ms, send_refusal
from saffronworks.forwarding.serving_nodes import ServingNodes

__all__ = ["Forwarder"]

logger = logging.getLogger(__name__)

# Retry-After sent by a node that has just started and has no configuration yet: the store answers
# in 4 ms, and a start takes a second.
NO_TABLE_RETRY_MS = 500
# A node that has no configuration after this time is waiting for an unavailable store.
STORE_SLOW_MS = 1000
# Refusal of a request at its deadline that no endpoint can have run.
NOT_SENT_IN_TIME = Refuse(503, "deadline", not_run=True)
# Plain answers are expected within this multiple of their latency target.
PLAIN_TARGETS = 4


class Forwarder:
    """Serves requests by the newest routing table; older versions are ignored."""

    def __init__(self, node: NodeState, began_ms: int):
        self.table: RoutingTable | None = None
        self.open_requests = 0
        # Requests are no longer served, as the process ends.
        self.ended = False
        self._scopes: set[anyio.CancelScope] = set()
        self.serving_nodes = ServingNodes()
        self._node = node
        self._began_ms = began_ms
        self._usual_left_ms: dict[str, int] = {}

    def apply_table(self, table: RoutingTable) -> bool:
        """Apply a routing table; return False if its version is not newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return False
        old = self.table.version if self.table else None
        self.table = table
        self._node.answer_times.forget_all_but(set(table.services))
        self._node.identities.organisations = table.organisations
        logger.info(
            "event=config_in_force version=%d before=%s routes=%d services=%d keys=%s",
            table.version,
            old,
            len(table.routes),
            len(table.services),
            None if table.organisations is None else len(table.organisations),
        )
        return True

    @contextmanager
    def until_ended(self, left_ms: float = math.inf) -> Iterator[anyio.CancelScope]:
        """Cancel the body of the `with` statement at the end of this process, or after `left_ms`.

        The scope's `cancelled_caught` tells whether it was.
        """
        with anyio.move_on_after(max(0, left_ms) / 1000) as scope:
            self._scopes.add(scope)
            if self.ended:
                scope.cancel()
            try:
                yield scope
            finally:
                self._scopes.remove(scope)

    def drain(self, end: PlannedEnd) -> None:
        """Refuse requests from now on that are likely to outlast this process.

        After the notice, only those are begun whose own deadline lies before the end.
        Where few of the other nodes serve, requests are begun before the notice all the same.
        """
        self._node.planned_end = end

    def end_open_requests(self) -> None:
        """Answer or cut all open requests, as the process ends."""
        logger.warning(
            "event=requests_ended open_requests=%d since_stop_ms=%s",
            self.open_requests,
            self._node.since_stop_ms,
        )
        self.ended = True
        for scope in self._scopes:
            scope.cancel()

    async def handle(self, request: CallerRequest, reply: CallerReply) -> None:
        """Serve one request until it is answered, refused, cut or abandoned by its caller."""
        table = self.table
        if table is None:
            logger.info("event=refuse request=%s reason=no-config", request.request_id)
            await reply.refuse(503, "no-config", self._retry_without_table_ms(request))
            return
        route = table.find(request.host, request.path)
        if route is None:
            logger.info(
                "event=refuse request=%s reason=no-route config=%d host=%s path=%s",
                request.request_id,
                table.version,
                request.host,
                request.path,
            )
            await reply.refuse(404, "no-route")
            return
        service = route.choose_service(request.request_id)
        identified = self._node.identities.authenticate(request, route)
        if isinstance(identified, Refuse):
            job = Job(request, route, service, reply, table.version)
            await send_refusal(self._node, job, identified)
            return
        request = attrs.evolve(request, organisation=identified)
        job = Job(request, route, service, reply, table.version)
        if not self._begins(job, table):
            await send_refusal(self._node, job, NO_TIME_LEFT)
            return
        self.open_requests += 1
        expected_bytes = self._node.link.begin(route.name, len(request.body), self._node.now_ms())
        try:
            await self._serve(job, table)
        finally:
            self.open_requests -= 1
            now_ms = self._node.now_ms()
            self._node.link.end(route.name, expected_bytes, job.sent_bytes, now_ms)

    def _begins(self, job: Job, table: RoutingTable) -> bool:
        """Return whether to begin a request; log it if the node drains."""
        end, now_ms = self._node.planned_end, self._node.now_ms()
        if end is None:
            return True
        left_ms = end.ends_ms - now_ms
        ends_in_time = end.outlasts(job.deadline_at_ms)
        announced, serving_share = end.announced(now_ms), self.serving_nodes.share(now_ms)
        chance, samples = self._chance_within(left_ms, job, table)
        begins = may_begin(ends_in_time, chance, serving_share, announced)
        logger.log(
            logging.WARNING if begins else logging.INFO,
            "event=drain_decision request=%s route=%s begins=%s by=%s chance=%.2f samples=%s "
            "serving_share=%.2f announced=%s left_ms=%d deadline_ms=%d since_stop_ms=%d",
            job.request.request_id,
            job.route.name,
            begins,
            "deadline" if ends_in_time or announced else "estimate",
            chance,
            samples,
            serving_share,
            announced,
            left_ms,
            job.deadline_at_ms - now_ms,
            now_ms - end.stop_sent_ms,
        )
        return begins

    def _retry_without_table_ms(self, request: CallerRequest) -> int:
        """Return the Retry-After: short after a start, else the usual one."""
        if self._node.now_ms() - self._began_ms < STORE_SLOW_MS:
            return NO_TABLE_RETRY_MS
        return retry_after_ms(request, self._node.now_ms())

    async def _serve(self, job: Job, table: RoutingTable) -> None:
        """Run until the request is answered, its caller or this process ends, or its deadline."""
        left_ms = job.deadline_at_ms - self._node.now_ms() + DEADLINE_SLACK_MS
        with self.until_ended(left_ms) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_on_disconnect, job, tasks.cancel_scope)
                await self._run(job, table)
                tasks.cancel_scope.cancel()
        if scope.cancelled_caught:
            await self._end_early(job, "stopping" if self.ended else "deadline")

    def _chance_within(
        self, left_ms: float, job: Job, table: RoutingTable
    ) -> tuple[float, int | None]:
        """Return the estimated probability that a request which begins now ends in this time.

        Also the number of measured streams that it rests on, None for a plain request.
        """
        request, route = job.request, job.route
        service = table.services.get(job.service)
        engine = service.engine if service else None
        if engine is not None and request.prompt is not None:
            made_tokens = (request.after_event or 0) * engine.tokens_per_event
            times = self._node.answer_times.of(job.service)
            return times.chance_within(left_ms, request.prompt, made_tokens), times.samples
        fits = not route.streams and PLAIN_TARGETS * route.target_ms <= left_ms
        return float(fits), None

    async def _run(self, job: Job, table: RoutingTable) -> None:
        if job.route.streams and job.request.after_event is not None:
            origin = await self._node.origins.find(job.request, job.route)
            if isinstance(origin, Refuse):
                await send_refusal(self._node, job, origin)
                return
            job = attrs.evolve(job, service=origin.service, version=origin.version)
        if _exceeds_engines(job, table):
            # Its counts must not reach quotas and plans, which it would distort for others.
            await send_refusal(self._node, job, PROMPT_TOO_LONG)
            return
        now_ms = self._node.now_ms()
        self._node.budget.count_request(job.service, now_ms)
        match self._node.quarantine.admit(job.request):
            case Admission.REFUSED:
                await send_refusal(self._node, job, ENDS_ENDPOINTS)
                return
            case Admission.TRIAL:
                # The trial may crash one endpoint at most.
                route = attrs.evolve(job.route, max_attempts=1)
                job = attrs.evolve(job, route=route, on_trial=True)
        charge = await self._node.quotas.admit(job.request)
        if isinstance(charge, Refuse):
            await send_refusal(self._node, job, charge)
            return
        job = attrs.evolve(job, charge=charge)
        try:
            await self._dispatch(job, table)
        finally:
            if job.runs.empty:
                self._node.quotas.refund(job.charge)

    async def _dispatch(self, job: Job, table: RoutingTable) -> None:
        job.reply.record_sending()
        service = table.services.get(job.service)
        engine = service.engine if service else None
        if engine is None or job.request.prompt is None:
            await run_plain(self._node, job)
            return
        prompt = job.request.prompt.within(engine.kv_capacity_tokens)
        if prompt is not job.request.prompt:
            job = attrs.evolve(job, request=attrs.evolve(job.request, prompt=prompt))
        usual_ms = max(job.request.left_ms, self._usual_left_ms.get(job.route.name, 0))
        self._usual_left_ms[job.route.name] = usual_ms
        await run_generation(self._node, job, prompt, engine, usual_ms)

    async def _cancel_on_disconnect(self, job: Job, scope: anyio.CancelScope) -> None:
        await job.reply.wait_disconnected()
        if job.reply.finished:
            return
        waited_ms = self._node.now_ms() - job.request.arrived_ms
        logger.info(
            "event=caller_gone request=%s route=%s after_ms=%d",
            job.request.request_id,
            job.route.name,
            waited_ms,
        )
        self._node.figures.count("caller-gone", job.route.name)
        scope.cancel()

    async def _end_early(self, job: Job, reason: str) -> None:
        if job.reply.started:
            logger.log(
                self._node.end_level,
                "event=cut request=%s route=%s reason=%s waited_ms=%d since_stop_ms=%s",
                job.request.request_id,
                job.route.name,
                reason,
                self._node.now_ms() - job.request.arrived_ms,
                self._node.since_stop_ms,
            )
            self._node.figures.count("cut", job.route.name, reason)
            job.reply.cut()
        elif not job.runs.runs:
            await send_refusal(self._node, job, STOPPING if self.ended else NOT_SENT_IN_TIME)
        else:
            await send_refusal(self._node, job, Refuse(504, reason, not_run=False))


def _exceeds_engines(job: Job, table: RoutingTable) -> bool:
    """Return whether a prompt is longer than the memory of any engine of its service."""
    service, prompt = table.services.get(job.service), job.request.prompt
    if service is None or service.engine is None or prompt is None:
        return False
    return prompt.prompt_tokens > service.engine.kv_capacity_tokens
