"""The service that keeps all nodes together within the limits that endpoints name."""

import logging
import random
from collections.abc import Callable, Collection, Iterable

import anyio

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_limits.backoff import LimitBackoff
from saffronworks.forwarding.endpoint_limits.messages import (
    HeardLimit,
    LimitNews,
    LimitsWanted,
    SendAnswer,
    SendAsk,
    SendGivenBack,
)
from saffronworks.forwarding.endpoint_limits.permits import (
    FREE,
    NOT_LIMITED,
    Limited,
    NoPermit,
    Permit,
)
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit, KnownLimit, LimitTable
from saffronworks.forwarding.endpoint_limits.tuning import (
    ASKED_AT_START,
    LEAST_PER_S,
    LIMIT_TOLERANCE,
    MOST_TOLD,
    TELL_EVERY_MS,
    TELL_FANOUT,
)
from saffronworks.forwarding.endpoint_limits.updates import PendingUpdates
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.shares import holder
from saffronworks.forwarding.shares.asks import Answer, Ask, GivenBack
from saffronworks.forwarding.shares.bound import SharedBound, Told
from saffronworks.forwarding.shares.bounds import Limit
from saffronworks.forwarding.shares.entry import Admitted, Refused
from saffronworks.forwarding.shares.holder import ShareChanged
from saffronworks.forwarding.shares.tuning import HOLDER_SILENT_MS
from saffronworks.forwarding.starts import StartId
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing

__all__ = ["EndpointLimits"]

logger = logging.getLogger(__name__)


class EndpointLimits:
    """Hears what endpoints say of the requests that they take, and counts sends to them.

    A limit is one for all nodes together, and often less than one request a node in many seconds:
    no node can keep its part alone. So each send to such an endpoint asks a holder of its limit.
    While no endpoint names one a request costs nothing here.
    """

    name = "endpoint_limits"

    def __init__(
        self,
        own_address: str,
        uncounted_nodes: int,
        rng: random.Random,
        now_ms: Callable[[], int],
    ):
        self._own_address = own_address
        self._now_ms = now_ms
        self._table = LimitTable()
        self._backoff = LimitBackoff(rng, uncounted_nodes)
        self._neighbours = Neighbours(own_address, rng)
        self._malformed: dict[StartId, str] = {}
        self._pending = PendingUpdates()
        self._changed = anyio.Event()
        self._kernel: Kernel | None = None
        self.bound = SharedBound(
            own_address,
            LIMIT_TOLERANCE,
            uncounted_nodes,
            now_ms,
            limit_of=self._limit,
            tell=self._tell,
            note_change=_log_change,
            in_turn=False,
        )

    def take_nodes(self, cores: dict[str, float]) -> None:
        """Which nodes there are, by their addresses, with their processor cores."""
        starts = not self.bound.nodes
        self.bound.take_nodes(cores)
        self._neighbours.update_nodes(cores)
        self._backoff.nodes = max(1, len(cores))
        for node in self._neighbours.choose(ASKED_AT_START) if starts else ():
            self._post(node, LimitsWanted(self._own_address))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Exchange limit updates with peers until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publish_updates)
            async for message in mailbox:
                self._take(message)

    # What is known.

    def find(self, instance: StartId) -> float | None:
        """Requests a second that an endpoint takes; None where it names no limit."""
        return self._table.find(instance)

    def observe(self, endpoint: ServiceEndpoint, answer: AdvertisedLimit) -> None:
        """Update an endpoint's limit from its answer; a malformed value changes nothing."""
        instance, before = endpoint.instance, self._table.find(endpoint.instance)
        if answer.malformed is not None:
            self._log_malformed(instance, answer.malformed)
        elif self._table.record_answer(instance, answer, self._now_ms()):
            self._on_change(instance, before, "answer")

    def _on_update(self, heard: HeardLimit) -> None:
        before = self._table.find(heard.endpoint)
        known = KnownLimit(heard.per_s, self._now_ms() - heard.age_ms)
        if self._table.record_update(heard.endpoint, known):
            self._on_change(heard.endpoint, before, "node")

    def _on_change(self, instance: StartId, before: float | None, heard: str) -> None:
        per_s = self._table.find(instance)
        logger.info(
            "event=endpoint_limit endpoint=%s per_s=%s before=%s heard=%s",
            instance,
            per_s,
            before,
            heard,
        )
        if per_s is None or (before is not None and per_s > before):
            self._backoff.clear(instance)
        self._pending.add(instance)
        self._changed.set()

    def _log_malformed(self, instance: StartId, text: str) -> None:
        """Once for each text that an endpoint sends again and again."""
        if self._malformed.get(instance) == text:
            return
        self._malformed[instance] = text
        logger.warning(
            "event=endpoint_limit_unreadable endpoint=%s found=%r per_s=%s",
            instance,
            text,
            self._table.find(instance),
        )

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        self._table.forget_all_but(instances, self._now_ms())
        self._backoff.forget_all_but(instances)
        self.bound.entry.allowances.keep_only(set(instances))
        self._pending.forget_all_but(instances)
        for instance in self._malformed.keys() - set(instances):
            del self._malformed[instance]

    # What requests ask.

    def among(self, endpoints: Iterable[ServiceEndpoint]) -> Limited:
        """Which of these endpoints name a limit, and which of them are left alone for now."""
        if not len(self._table):
            return NOT_LIMITED
        now_ms = self._now_ms()
        named = {e.instance for e in endpoints if self._table.find(e.instance) is not None}
        closed = {instance: self._backoff.remaining_ms(instance, now_ms) for instance in named}
        return Limited(named, {instance: left for instance, left in closed.items() if left})

    async def acquire_permit(
        self, endpoint: ServiceEndpoint, request_id: str, calls: int = 1
    ) -> Permit | NoPermit:
        """Acquire a permit for a request, of so many calls, from a holder of the limit."""
        instance, now_ms = endpoint.instance, self._now_ms()
        per_s = self._table.find(instance)
        if per_s is None:
            return FREE
        closed_ms = self._backoff.remaining_ms(instance, now_ms)
        if closed_ms:
            return NoPermit(closed_ms)
        ask = self.bound.make_ask(instance, calls, Limit(per_s, 0.0))
        command = await self.bound.settle(ask, lambda node: _log_silent(request_id, ask, node))
        if isinstance(command, Admitted):
            self._backoff.record_permit(instance)
            return Permit(ask, command.holder)
        room_after_ms = command.retry_after_ms if isinstance(command, Refused) else 0
        closed_ms = self._backoff.record_rejection(instance, room_after_ms, self._now_ms())
        logger.info(
            "event=send_refused request=%s endpoint=%s per_s=%s do=%s closed_ms=%d holders=%d "
            "nodes=%d",
            request_id,
            instance,
            per_s,
            command,
            closed_ms,
            ask.holders,
            self.bound.nodes,
        )
        return NoPermit(max(1, closed_ms))

    def release_permit(self, permit: Permit) -> None:
        """Release the permit of a request that did not reach the endpoint."""
        self.bound.give_back(permit.ask, permit.holder)

    # What a holder knows.

    def _limit(self, event: holder.Event) -> Limit | None:
        """The lower of what is known here and at the node that asks: either may be old."""
        known = self._table.find(StartId(event.subject))
        named = [known] if known is not None else []
        if isinstance(event, Ask):
            named.append(event.limit.per_s)
        return Limit(max(LEAST_PER_S, min(named)), 0.0) if named else None

    # Messages.

    def _take(
        self, message: SendAsk | SendAnswer | SendGivenBack | LimitNews | LimitsWanted
    ) -> None:
        match message:
            case SendAnswer(ask_id, admitted, retry_after_ms):
                self.bound.take_answer(Answer(ask_id, admitted, retry_after_ms))
            case SendAsk(ask_id, reply_to, HeardLimit() as heard, calls, holders):
                self._on_update(heard)
                limit = Limit(heard.per_s or 0.0, 0.0)
                self.bound.answer(reply_to, Ask(ask_id, heard.endpoint, calls, limit, holders))
            case SendGivenBack(ask_id, endpoint, holders):
                self.bound.hold(GivenBack(ask_id, endpoint, holders))
            case LimitNews(limits):
                for heard in limits:
                    self._on_update(heard)
            case LimitsWanted(reply_to):
                self._tell_limits((reply_to,), self._table.limited()[:MOST_TOLD])

    def _tell(self, node: str, told: Told) -> None:
        match told:
            case Ask(ask_id, subject, calls, Limit(per_s), holders):
                heard = self._told_of(StartId(subject)) or HeardLimit(StartId(subject), per_s, 0)
                self._post(node, SendAsk(ask_id, self._own_address, heard, calls, holders))
            case Answer(ask_id, admitted, retry_after_ms):
                self._post(node, SendAnswer(ask_id, admitted, retry_after_ms))
            case GivenBack(ask_id, subject, holders):
                self._post(node, SendGivenBack(ask_id, StartId(subject), holders))

    def _told_of(self, instance: StartId) -> HeardLimit | None:
        known = self._table.entry(instance)
        if known is None:
            return None
        return HeardLimit(instance, known.per_s, max(0, self._now_ms() - known.observed_ms))

    def _post(self, node: str, message: object) -> None:
        if self._kernel is not None:
            self._kernel.post("peers", Outgoing(node, message))

    async def _publish_updates(self) -> None:
        """Publish changes to a few peers, which would send before they know a limit."""
        while True:
            await self._changed.wait()
            self._tell_limits(self._neighbours.choose(TELL_FANOUT), self._pending.pop_batch())
            if not self._pending:
                self._changed = anyio.Event()
            await anyio.sleep(TELL_EVERY_MS / 1000)

    def _tell_limits(self, nodes: Iterable[str], instances: Iterable[StartId]) -> None:
        heard = [told for one in instances if (told := self._told_of(one)) is not None]
        for node in nodes if heard else ():
            self._post(node, LimitNews(tuple(heard)))


def _log_change(change: ShareChanged) -> None:
    logger.info(
        "event=limit_share endpoint=%s used_up=%s sent=%.1f share_per_s=%.3f",
        change.subject,
        change.exceeded,
        change.debt,
        change.share.per_s,
    )


def _log_silent(request_id: str, ask: Ask, node: str) -> None:
    logger.info(
        "event=limit_holder_silent request=%s endpoint=%s holder=%s after_ms=%d",
        request_id,
        ask.subject,
        node,
        HOLDER_SILENT_MS,
    )
