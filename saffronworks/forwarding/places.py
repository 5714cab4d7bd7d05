"""A generation's place in the memory of a decode endpoint: asked for, reserved, given back."""

import logging

import attrs
from result import Err, Result

from saffronworks.forwarding import generation_events as events
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_limits.permits import FREE, NoPermit
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

__all__ = ["Place", "StreamPace"]

logger = logging.getLogger(__name__)

# What a place takes of an endpoint's limit: its reservation, and the stream, or the release of what
# was not used.
PLACE_CALLS = 2


@attrs.frozen
class StreamPace:
    """What a stream showed of its endpoint: tokens and their time.

    `length_tokens` is that of the whole answer, once it has ended.
    """

    answer_tokens: int = 0
    stream_ms: int = 0
    length_tokens: int = 0


@attrs.define
class Place:
    """At most one reservation at a time; `known` tells that the planner may count on it."""

    node: NodeState
    job: Job
    size: RunSize
    known: bool = False
    _hold: KvHold | None = None
    _load: EndpointLoad | None = None
    _tokens: int = 0

    @property
    def taken(self) -> bool:
        """Whether an endpoint has reserved memory for it, or runs it."""
        return self._load is not None

    @property
    def owner(self) -> RunOwner:
        """For whom the place is."""
        whose, route = self.job.request.organisation, self.job.route
        rank = combine_priorities(whose.priority if whose else None, route.priority)
        return RunOwner(rank, whose.name if whose else "")

    async def ask_planner(self, command: events.AskPlanner, returned: bool) -> events.Event:
        """Ask the planner for a place, and wait for its answer."""
        memory, request = self.node.memory, self.job.request
        self.known = True
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

    async def reserve(self, command: events.AskHold) -> events.Event:
        """Reserve memory at an endpoint; raises ExchangeError when it gives no answer."""
        endpoint, request_id = command.endpoint, self.job.request.request_id
        permit = await self.node.limits.acquire_permit(endpoint, request_id, PLACE_CALLS)
        if isinstance(permit, NoPermit):
            self.node.figures.count_send("hold", "limited")
            return events.HoldFailed(endpoint.instance, broken=False)
        try:
            hold = await self._take_beside_headroom(command, limited=permit is not FREE)
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
            return events.HoldFailed(endpoint.instance, broken=False)
        self.node.figures.count_send("hold", "taken")
        self._take(hold.ok_value, endpoint, command.tokens)
        return events.HoldTaken(hold.ok_value)

    async def _take_beside_headroom(
        self, command: events.AskHold, limited: bool
    ) -> Result[KvHold, NotExecuted]:
        """The headroom is reserved first, to see that it is there, and given back at once."""
        calls, endpoint, now_ms = self.node.calls, command.endpoint, self.node.now_ms
        request = self.job.request
        headroom: KvHold | None = None
        # An endpoint in need is spared the two calls.
        if command.headroom_tokens and not limited:
            free = await calls.take_hold(
                endpoint, request, command.headroom_tokens, HEADROOM_HOLD_TTL_MS, now_ms()
            )
            if isinstance(free, Err):
                return free
            headroom = free.ok_value
        try:
            return await calls.take_hold(
                endpoint, request, command.tokens, command.ttl_ms, now_ms()
            )
        finally:
            if headroom is not None:
                self.node.spawn(calls.drop_hold, headroom)

    def _take(self, hold: KvHold, endpoint: ServiceEndpoint, tokens: int) -> None:
        self._hold, self._tokens, self.known = hold, tokens, True
        self._load = self.node.loads.of(endpoint.instance)
        self._load.reserved_tokens += tokens
        request_id = self.job.request.request_id
        service, instance = self.job.service, endpoint.instance
        self.node.memory.begin(request_id, service, instance, self.size, self.owner)

    def use(self) -> None:
        """The request was sent with the reservation, which serves it from now on."""
        self._hold = None

    def give_back(self) -> None:
        """Free what is reserved and unused."""
        if self._load is not None:
            self._load.reserved_tokens -= self._tokens
            self._load = None
        if self._hold is not None:
            self.node.spawn(self.node.calls.drop_hold, self._hold)
            self._hold = None

    def tell_reading_ended(self, reader: StartId, whole: bool) -> None:
        """Tell the planner that the reader is done with the prompt, well or not."""
        request_id, service = self.job.request.request_id, self.job.service
        self.node.memory.end_reading(ReadingEnded(request_id, service, reader, whole))

    def tell_end(self, pace: StreamPace, broken: tuple[StartId, ...]) -> None:
        """Tell the planner that the place is free, and which endpoints failed the request."""
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
        self.known = False
