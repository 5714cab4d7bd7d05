"""Shared parts of the runners of plain requests and generations: node state, jobs, refusals."""

import logging
from collections.abc import Callable

import attrs

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.answer_times import AnswerTimes
from saffronworks.forwarding.buffered_answers import AnswerBuffers, TrackedBody
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.eligibility.service import EndpointEligibility
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause, FaultSite
from saffronworks.forwarding.figures import MetricsRecorder
from saffronworks.forwarding.generation_state import Pools
from saffronworks.forwarding.identity import KEY_REVOKED, Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import ENDS_ENDPOINTS, AnswerHead, CallerRequest, Refuse
from saffronworks.forwarding.origins.service import StreamOrigins
from saffronworks.forwarding.origins.tuning import ENTRY_WRITE_MS
from saffronworks.forwarding.planned_ends import NO_TIME_LEFT, PlannedEnd
from saffronworks.forwarding.planning.client import MemoryClient
from saffronworks.forwarding.pools import rank_pools
from saffronworks.forwarding.ports import AnswerBody, CallerReply, EndpointCalls, Exchange
from saffronworks.forwarding.process_checks import ProcessChecks
from saffronworks.forwarding.quarantine.service import Quarantine
from saffronworks.forwarding.quotas.service import NOT_COUNTED, QuotaCharge, Quotas
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.forwarding.routing import Route
from saffronworks.forwarding.stream_runs import StreamRun
from saffronworks.forwarding.tuning import (
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MAX_SHARE,
    RETRY_AFTER_MIN_MS,
)
from saffronworks.hashing import hash32
from saffronworks.overload.link_budget import LinkBudget

__all__ = [
    "HOLD",
    "PLAIN",
    "Job",
    "NodeState",
    "relay_rest",
    "retry_after_ms",
    "start_answer",
    "send_refusal",
]

logger = logging.getLogger(__name__)

# Names of calls to endpoints in logs and metrics.
PLAIN = "plain"
HOLD = "hold"


@attrs.define
class NodeState:
    """The components that all requests of a node share."""

    zone: str
    directory: Directory
    loads: LoadTable
    budget: RetryBudget
    calls: EndpointCalls
    figures: MetricsRecorder
    now_ms: Callable[[], int]
    spawn: Callable[..., None]
    memory: MemoryClient
    quarantine: Quarantine
    identities: Authenticator
    quotas: Quotas
    limits: EndpointLimits
    eligibility: EndpointEligibility
    origins: StreamOrigins = attrs.field()
    buffers: AnswerBuffers = attrs.field()
    processes: ProcessChecks = attrs.field()
    link: LinkBudget = attrs.Factory(lambda: LinkBudget(None))
    answer_times: AnswerTimes = attrs.Factory(AnswerTimes)
    # None until the signal to stop.
    planned_end: PlannedEnd | None = None

    @origins.default
    def _keep_own_origins(self) -> StreamOrigins:
        return StreamOrigins(
            "",
            self.directory,
            self.figures,
            self.now_ms,
            is_current=lambda: True,
            updated_ms=self.now_ms,
            connected_since_ms=lambda _: None,
        )

    @buffers.default
    def _make_unbounded(self) -> AnswerBuffers:
        return AnswerBuffers(None, self.figures, self.now_ms)

    @processes.default
    def _make_process_checks(self) -> ProcessChecks:
        return ProcessChecks(self.calls, self.now_ms)

    @property
    def since_stop_ms(self) -> int | None:
        """The time since the signal to stop; None before it."""
        end = self.planned_end
        return None if end is None else self.now_ms() - end.stop_sent_ms

    @property
    def end_level(self) -> int:
        """The log level of requests that may have run and end without a whole answer.

        Those of a node that stops are few, and must not be dropped by the bound on lines.
        """
        return logging.INFO if self.planned_end is None else logging.WARNING

    def denial(
        self, job: "Job", trial_began: bool = False, answer_started: bool = False
    ) -> Refuse | None:
        """Return the refusal for a request that may not be sent any more, or None if it may.

        Its key may have been revoked, its content quarantined, or the notice of this node's end
        have passed since it was admitted. A begun answer can only be cut or continued; before that,
        the caller gets a whole refusal rather than another run that this node may cut.
        """
        if not self.identities.is_still_authorized(job.request, job.route):
            return KEY_REVOKED
        if not trial_began and self.quarantine.blocks(job.request, job.on_trial):
            return ENDS_ENDPOINTS
        return None if answer_started or self.has_time_for_run(job) else NO_TIME_LEFT

    def has_time_for_run(self, job: "Job") -> bool:
        """Return whether a run may begin now.

        After the notice of this node's end it must end before the node does, which only the
        request's own deadline guarantees.
        """
        end = self.planned_end
        if end is None or not end.announced(self.now_ms()):
            return True
        return end.outlasts(job.deadline_at_ms)

    def rank_pools(self, service: str, tokens: int, version: str | None) -> Pools:
        """Return the endpoints that a generation may use now, best first."""
        return rank_pools(
            self.eligibility,
            self.loads,
            service,
            tokens,
            self.now_ms(),
            version,
            self.origins.is_certain,
        )

    def begin_run(self, job: "Job") -> None:
        """Record a run; each one after the first is charged to the organisation's quota."""
        job.runs.begin_run()
        if job.runs.runs > 1:
            self.quotas.charge_again(job.charge, job.runs.sends)

    async def record_origin(self, job: "Job", endpoint: ServiceEndpoint) -> None:
        """Record what began a stream, if its caller may resume it; returns before its first event.

        The record of a stream that is resumed is the one of its first request.
        """
        if not job.route.resumable:
            return
        if job.request.after_event is None:
            await self.origins.record_start(job.request, job.route, job.service, endpoint)
        else:
            self.origins.extend(job.request, job.route, job.service, endpoint)

    def check_version(self, endpoint: ServiceEndpoint, continues: bool) -> None:
        """Raise ExchangeError if the software of an endpoint has changed since it was chosen.

        For a stream that continues there, it must be certain that it has not.
        """
        listed = self.directory.endpoints.get(endpoint.instance)
        changed = listed is not None and listed.version != endpoint.version
        if changed or (continues and not self.origins.is_certain(endpoint)):
            raise ExchangeError(ExchangeErrorCause.VERSION_CHANGED, sent=True)

    async def check_end(self, endpoint: ServiceEndpoint, exchange: Exchange) -> bool:
        """Return True if an answer that has ended is whole.

        The end of an endpoint closes an answer without length or chunks just as the answer's own
        end does: raises ExchangeError unless the endpoint is known to run.
        """
        if exchange.framed:
            return True
        ended = await self.quarantine.has_ended(endpoint)
        logger.info("event=unframed_answer endpoint=%s ended=%s", endpoint.instance, ended)
        if ended is not False:
            raise ExchangeError(ExchangeErrorCause.CLOSED, sent=True)
        return True

    def observe_progress(self, request: CallerRequest, run: StreamRun) -> None:
        """Let a run that goes on clear the parts of its prompt, if any part is suspected."""
        if not self.quarantine.suspects_parts:
            return
        writing_ms = run.report_progress(self.now_ms())
        if writing_ms is not None:
            self.quarantine.record_progress(request, writing_ms)

    def is_doubtful_run(self, endpoint: ServiceEndpoint, began_ms: int) -> bool:
        """Return whether a run may have been that of a later start with another version.

        An endpoint that has restarted is listed with its later start some time after that.
        """
        later = self.directory.named(endpoint.name)
        recent = self.now_ms() - began_ms < ENTRY_WRITE_MS
        return recent and later is not None and later.version != endpoint.version

    async def note_break(
        self,
        kind: str,
        request: CallerRequest,
        endpoint: ServiceEndpoint,
        broken: ExchangeError,
        writing_since_ms: int | None = None,
    ) -> FaultSite:
        """Count and log a call that got no complete answer; return where it failed.

        `writing_since_ms` is the time of the run's first event, if it had any.

        If the endpoint may have processed the request, the content hash is logged and reported to
        the quarantine: only the hash links retries of one content that have different ids. A hold
        request carries no content. A failure of this node's own path counts against no endpoint.
        """
        worked_on, now_ms = broken.sent and kind != HOLD, self.now_ms()
        self.figures.count_send(kind, broken.cause.value)
        if broken.withheld:
            return FaultSite.ENDPOINT
        # A short timeout of a plain request counts only in this node's load table.
        short_wait = kind == PLAIN and broken.cause is ExchangeErrorCause.SILENT
        site = FaultSite.UNKNOWN
        self.origins.certainty.record_break(endpoint, broken.cause)
        if not short_wait:
            site = await self.calls.find_fault_site(endpoint, broken)
        # A silence while this node was late itself tells nothing of the endpoint.
        own_lag = broken.cause is ExchangeErrorCause.SILENT and extend_for_lag(0) > 0
        if site is not FaultSite.PATH and not own_lag:
            load = self.loads.of(endpoint.instance)
            load.record_failure(self.now_ms(), broken.unreachable)
        logger.info(
            "event=endpoint_failed request=%s call=%s endpoint=%s cause=%s sent=%s site=%s "
            "relayed_by=%s content=%s parts=%s writing_ms=%s",
            request.request_id,
            kind,
            endpoint.instance,
            broken.cause,
            broken.sent,
            site,
            broken.relayed_by,
            request.content if worked_on else None,
            ",".join(request.parts) if worked_on else None,
            None if writing_since_ms is None else now_ms - writing_since_ms,
        )
        if worked_on and site is FaultSite.ENDPOINT:
            writing_ms = 0 if writing_since_ms is None else now_ms - writing_since_ms
            self.quarantine.record_failure(
                request, endpoint, broken, waited_for=kind != PLAIN, writing_ms=writing_ms
            )
        return site

    def note_misdirected(self, endpoint: ServiceEndpoint, head: AnswerHead) -> None:
        """Remove an endpoint whose address another one now has; the store may still list it."""
        if head.found_name is None or head.found_name == endpoint.name:
            return
        self.directory.mark_replaced(endpoint.instance)
        logger.info(
            "event=endpoint_replaced endpoint=%s address=%s by=%s endpoints_rev=%s",
            endpoint.instance,
            endpoint.address,
            head.found_name,
            self.directory.revision,
        )


@attrs.define
class Runs:
    """Counts of the prefills and runs that endpoints executed, or may have, for one request.

    A call is counted when it starts, as the caller may disconnect during the call, and taken off
    the count if the endpoint did not execute it.
    """

    reads: int = 0
    runs: int = 0
    sends: int = 0

    def begin_read(self) -> None:
        """Count a prefill."""
        self.reads += 1

    def uncount_read(self) -> None:
        """Take the last prefill off the count, as the endpoint did not execute it."""
        self.reads -= 1

    def begin_run(self) -> None:
        """Count a run."""
        self.runs += 1
        self.sends += 1

    def uncount_run(self) -> None:
        """Take the last run off the count, as the endpoint did not execute it."""
        self.runs -= 1

    @property
    def empty(self) -> bool:
        """True if no endpoint can have processed the request."""
        return not self.reads and not self.runs


@attrs.frozen
class Job:
    """One request with its route, its service and the reply to its caller.

    A stream that its caller resumes continues only at endpoints whose software is `version`.
    """

    request: CallerRequest
    route: Route
    service: str
    reply: CallerReply
    config_version: int
    version: str | None = None
    # The content is quarantined, as it crashed endpoints, and may run once more on trial.
    on_trial: bool = False
    charge: QuotaCharge = NOT_COUNTED
    runs: Runs = attrs.Factory(Runs)

    @property
    def sent_bytes(self) -> int:
        """The bytes sent so far: the answer, and the body to each endpoint.

        As many are received, as the link takes the same in both directions; of a request that was
        not sent on, only its body.
        """
        sends = max(1, self.runs.sends + self.runs.reads)
        return self.reply.sent_bytes + sends * len(self.request.body)

    @property
    def deadline_at_ms(self) -> int:
        """The earlier of the caller's deadline and the route's timeout."""
        return self.request.arrived_ms + min(self.request.left_ms, self.route.timeout_ms)


def retry_after_ms(request: CallerRequest, now_ms: int) -> int:
    """Return the Retry-After of a refused request in ms, spread by its id.

    It stays below the limit up to which callers honour it.
    """
    left_ms = request.arrived_ms + request.left_ms - now_ms
    most_ms = min(RETRY_AFTER_MAX_MS, RETRY_AFTER_MAX_SHARE * left_ms)
    least_ms = min(RETRY_AFTER_MIN_MS, most_ms / 2)
    spread = hash32(request.request_id) / 2**32
    return max(1, int(least_ms + spread * (most_ms - least_ms)))


async def send_refusal(node: NodeState, job: Job, refusal: Refuse) -> None:
    """Send a refusal to the caller, with a Retry-After if the request was not executed."""
    now_ms = node.now_ms()
    wait_ms = None
    if refusal.not_run:
        own_ms = max(refusal.not_before_ms, retry_after_ms(job.request, now_ms))
        wait_ms = refusal.retry_after_ms or own_ms
    logger.log(
        logging.INFO if refusal.not_run else node.end_level,
        "event=refuse request=%s route=%s status=%d reason=%s not_run=%s retry_after_ms=%s "
        "waited_ms=%d config=%d endpoints_rev=%s since_stop_ms=%s",
        job.request.request_id,
        job.route.name,
        refusal.status,
        refusal.reason,
        refusal.not_run,
        wait_ms,
        now_ms - job.request.arrived_ms,
        job.config_version,
        node.directory.revision,
        node.since_stop_ms,
    )
    node.figures.count("refused", job.route.name, refusal.reason)
    await job.reply.refuse(refusal.status, refusal.reason, wait_ms)


async def start_answer(node: NodeState, job: Job, head: AnswerHead) -> TrackedBody:
    """Send status and headers; the body is counted in the node's answer buffers."""
    body = node.buffers.track(job.request.request_id, job.reply)
    body.begin(await job.reply.start(head))
    return body


async def relay_rest(
    node: NodeState, job: Job, endpoint: ServiceEndpoint, exchange: Exchange, body: AnswerBody
) -> bool:
    """Relay the rest of an answer up to its end; return whether it is proven whole.

    Raises ExchangeError if it is cut off, or goes on after the deadline.
    """
    late_chunks = 0
    while True:
        left_ms = job.deadline_at_ms - node.now_ms()
        # A paused endpoint waits for the caller.
        late = left_ms <= 0 and not exchange.connection.received.paused
        chunk = await exchange.next_chunk(max(1, left_ms))
        if chunk is None:
            return await node.check_end(endpoint, exchange)
        late_chunks += late
        # The first late chunk has all that came before the deadline.
        if late_chunks > 1:
            raise ExchangeError(ExchangeErrorCause.ENDLESS, sent=True)
        await body.write(chunk)
