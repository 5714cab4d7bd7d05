"""Reservation of KV memory at a decode endpoint for one generation."""

import logging

import attrs
from result import Err, Result

from saffronworks.forwarding import generation_events as events
from saffronworks.forwarding.endpoint_limits.permits import UNCOUNTED_PERMIT, NoPermit
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.loads import EndpointLoad
from saffronworks.forwarding.messages import KvHold, NotExecuted
from saffronworks.forwarding.planning.client import RunOwner, RunSize
from saffronworks.forwarding.planning.messages import (
    MemoryAsk,
    MemoryGrant,
    MemoryRefusal,
    MemoryRelease,
    ReadingEnded,
)
from saffronworks.forwarding.planning.priorities import combine_priorities
from saffronworks.forwarding.runners import Job, NodeState
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    HEADROOM_HOLD_TTL_MS,
)

__all__ = ["Reservation", "StreamPace"]

logger = logging.getLogger(__name__)

# Calls of one reservation that count towards an endpoint's rate limit: the hold, and then the
# stream or the release of the unused hold.
RESERVATION_CALLS = 2


@attrs.frozen
class StreamPace:
    """Measured output of one stream: tokens, and the time that they took.

    `length_tokens` is the length of the whole answer, once it has ended.
    """

    answer_tokens: int = 0
    stream_ms: int = 0
    length_tokens: int = 0


@attrs.define
class Reservation:
    """The reservations of one generation, at most one at a time.

    `known_to_planner`: the planner may count the request as waiting or running.
    """

    node: NodeState
    job: Job
    size: RunSize
    known_to_planner: bool = False
    _hold: KvHold | None = None
    _load: EndpointLoad | None = None
    _tokens: int = 0

    @property
    def held(self) -> bool:
        """True while an endpoint has memory reserved for the request or runs it."""
        return self._load is not None

    @property
    def owner(self) -> RunOwner:
        """The priority rank and the organisation of the request."""
        organisation, route = self.job.request.organisation, self.job.route
        rank = combine_priorities(organisation.priority if organisation else None, route.priority)
        return RunOwner(rank, organisation.name if organisation else "")

    async def ask_planner(self, command: events.AskPlanner, returned: bool) -> events.Event:
        """Ask the planner for memory and return its answer as an event."""
        memory, request = self.node.memory, self.job.request
        self.known_to_planner = True
        ask = MemoryAsk(
            request_id=request.request_id,
            reply_to=memory.own_address,
            service=self.job.service,
            prompt_tokens=self.size.prompt_tokens,
            likely_tokens=self.size.likely_tokens,
            most_tokens=self.size.most_tokens,
            waited_ms=self.node.now_ms() - request.arrived_ms,
            in_time_ms=command.in_time_ms,
            patience_ms=command.patience_ms,
            returned=returned,
            avoid=command.avoid,
            broken=command.broken,
            priority=self.owner.priority,
            organisation=self.owner.organisation,
            target_ms=self.job.route.target_ms,
        )
        match await memory.ask(ask):
            case MemoryGrant(_, instance, reader):
                resolve = self.node.directory.resolve
                return events.PlanGranted(resolve(instance), reader and resolve(reader))
            case MemoryRefusal(_, retry_after_ms):
                return events.PlanRefused(retry_after_ms)
        return events.PlanSilent()

    async def reserve(self, command: events.TakeHold) -> events.Event:
        """Reserve memory at an endpoint and return the outcome as an event.

        Raises ExchangeError when the endpoint gives no answer.
        """
        hold = await self.request_hold(command)
        if hold is None:
            return events.HoldFailed(command.endpoint.instance, broken=False)
        self.adopt(hold, command.tokens)
        return events.HoldTaken(hold)

    async def request_hold(self, command: events.TakeHold) -> KvHold | None:
        """Take a hold without recording it; returns None if the endpoint rejects it.

        Raises ExchangeError when the endpoint gives no answer.
        """
        endpoint, request_id = command.endpoint, self.job.request.request_id
        permit = await self.node.limits.acquire_permit(endpoint, request_id, RESERVATION_CALLS)
        if isinstance(permit, NoPermit):
            self.node.figures.count_send("hold", "limited")
            return None
        try:
            hold = await self._take_hold_with_headroom(
                command, limited=permit is not UNCOUNTED_PERMIT
            )
        except ExchangeError as broken:
            if not broken.sent:
                self.node.limits.release_permit(permit)
            raise
        if isinstance(hold, Err):
            self.node.figures.count_send("hold", "full")
            logger.info(
                "event=hold_rejected request=%s endpoint=%s tokens=%d reason=%s advertised=%s",
                request_id,
                endpoint.instance,
                command.tokens,
                hold.err_value.reason,
                self.node.eligibility.describe(endpoint.instance),
            )
            return None
        self.node.figures.count_send("hold", "taken")
        return hold.ok_value

    async def _take_hold_with_headroom(
        self, command: events.TakeHold, limited: bool
    ) -> Result[KvHold, NotExecuted]:
        """Take a hold if the headroom is free as well.

        To check this, the headroom is reserved first and released at once.
        """
        calls, endpoint, now_ms = self.node.calls, command.endpoint, self.node.now_ms
        request = self.job.request
        headroom: KvHold | None = None
        # The check takes two more calls, so it is skipped at rate-limited endpoints.
        if command.headroom_tokens and not limited:
            free = await calls.take_hold(
                endpoint,
                request,
                command.headroom_tokens,
                HEADROOM_HOLD_TTL_MS,
                now_ms(),
                command.timeout_ms,
            )
            if isinstance(free, Err):
                return free
            headroom = free.ok_value
        try:
            return await calls.take_hold(
                endpoint, request, command.tokens, command.ttl_ms, now_ms(), command.timeout_ms
            )
        finally:
            if headroom is not None:
                self.node.spawn(calls.drop_hold, headroom)

    def adopt(self, hold: KvHold, tokens: int) -> None:
        """Record a hold as the one of this generation, and report its run to the planner."""
        endpoint = hold.endpoint
        self._hold, self._tokens, self.known_to_planner = hold, tokens, True
        self._load = self.node.loads.of(endpoint.instance)
        self._load.reserved_tokens += tokens
        request_id = self.job.request.request_id
        service, instance = self.job.service, endpoint.instance
        self.node.memory.begin(request_id, service, instance, self.size, self.owner)

    def mark_used(self) -> None:
        """Mark the hold as used by a stream, so that it is not released."""
        self._hold = None

    def release(self) -> None:
        """Release the reservation, and the hold unless a stream used it."""
        if self._load is not None:
            self._load.reserved_tokens -= self._tokens
            self._load = None
        if self._hold is not None:
            self.node.spawn(self.node.calls.drop_hold, self._hold)
            self._hold = None

    def report_reading_ended(self, reader: StartId, whole: bool) -> None:
        """Report to the planner that a prefill ended; `whole` if it succeeded."""
        request_id, service = self.job.request.request_id, self.job.service
        self.node.memory.end_prefill(ReadingEnded(request_id, service, reader, whole))

    def report_rejected_prefill(self, reader: StartId) -> None:
        """Report a prefill endpoint that rejected the prompt, so that others don't get it next."""
        self.node.memory.report_failure(self.job.service, reader)

    def report_end(self, pace: StreamPace, broken: tuple[StartId, ...]) -> None:
        """Report to the planner that the memory is free, and which endpoints failed."""
        request_id, service = self.job.request.request_id, self.job.service
        release = MemoryRelease(
            request_id,
            service,
            pace.answer_tokens,
            pace.stream_ms,
            broken,
            pace.length_tokens,
        )
        self.node.memory.end(release)
        self.known_to_planner = False
