"""The service that keeps all nodes together within the rate limits of endpoints."""

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
    NOT_LIMITED,
    UNCOUNTED_PERMIT,
    Limited,
    NoPermit,
    Permit,
)
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit, KnownLimit, LimitTable
from saffronworks.forwarding.endpoint_limits.tuning import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_MS,
    LIMIT_TOLERANCE,
    MAX_LIMITS_PER_MESSAGE,
    MIN_PER_S,
    PEERS_QUERIED_AT_START,
)
from saffronworks.forwarding.endpoint_limits.updates import PendingUpdates
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.shares import holder
from saffronworks.forwarding.shares.entry import Admitted, Refused
from saffronworks.forwarding.shares.events import Answer, Ask, Refund
from saffronworks.forwarding.shares.holder import ShareChanged
from saffronworks.forwarding.shares.limits import Limit
from saffronworks.forwarding.shares.shared_limit import SharedLimit, ShareMessage
from saffronworks.forwarding.shares.tuning import HOLDER_TIMEOUT_MS
from saffronworks.forwarding.starts import StartId
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing, PeerReached

__all__ = ["EndpointLimits"]

logger = logging.getLogger(__name__)


class EndpointLimits:
    """Tracks the rate limits that endpoints advertise, and issues permits for sends to them.

    One limit covers all nodes together and often allows each node less than one request in many
    seconds, so it can't be split into a fixed part per node. Every send to a limited endpoint
    therefore needs a permit of a share holder. Other endpoints need no permit.
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
        self.shared_limit = SharedLimit(
            own_address,
            LIMIT_TOLERANCE,
            uncounted_nodes,
            now_ms,
            limit_of=self._limit_of,
            send_message=self._send,
            on_change=_log_change,
            stagger_retries=False,
        )

    def update_nodes(self, cores: dict[str, float]) -> None:
        """Replace the nodes: processor cores by address."""
        starts = not self.shared_limit.nodes
        self.shared_limit.update_nodes(cores)
        self._neighbours.update_nodes(cores)
        self._backoff.nodes = max(1, len(cores))
        for node in self._neighbours.choose(PEERS_QUERIED_AT_START) if starts else ():
            self._post(node, LimitsWanted(self._own_address))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Exchange limit updates with peers until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._publish_updates, kernel)
            await kernel.dispatch(self.name, mailbox, self._handle)

    # Known limits.

    def find(self, instance: StartId) -> float | None:
        """Return an endpoint's limit in requests per second, or None if it has none."""
        return self._table.find(instance)

    def observe(self, endpoint: ServiceEndpoint, answer: AdvertisedLimit) -> None:
        """Update an endpoint's limit from its answer; a malformed value changes nothing."""
        instance, before = endpoint.instance, self._table.find(endpoint.instance)
        if answer.malformed is not None:
            self._log_malformed(instance, answer.malformed)
        elif self._table.record_answer(instance, answer, self._now_ms()):
            self._on_change(instance, before, "answer")

    def _on_update(self, update: HeardLimit) -> None:
        before = self._table.find(update.endpoint)
        known = KnownLimit(update.per_s, self._now_ms() - update.age_ms)
        if self._table.record_update(update.endpoint, known):
            self._on_change(update.endpoint, before, "node")

    def _on_change(self, instance: StartId, before: float | None, source: str) -> None:
        per_s = self._table.find(instance)
        logger.info(
            "event=endpoint_limit endpoint=%s per_s=%s before=%s source=%s",
            instance,
            per_s,
            before,
            source,
        )
        if per_s is None or (before is not None and per_s > before):
            self._backoff.clear(instance)
        self._pending.add(instance)
        self._changed.set()

    def _log_malformed(self, instance: StartId, text: str) -> None:
        """Log a malformed limit once, however often the endpoint repeats it."""
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
        """Drop the state of endpoints that are not in `instances`."""
        self._table.forget_all_but(instances, self._now_ms())
        self._backoff.forget_all_but(instances)
        self.shared_limit.entry.allowances.keep_only(set(instances))
        self._pending.forget_all_but(instances)
        for instance in self._malformed.keys() - set(instances):
            del self._malformed[instance]

    # Called for requests.

    def limits_of(self, endpoints: Iterable[ServiceEndpoint]) -> Limited:
        """Return which of these endpoints have a limit, and which of those are in backoff."""
        if not len(self._table):
            return NOT_LIMITED
        now_ms = self._now_ms()
        limited = {e.instance for e in endpoints if self._table.find(e.instance) is not None}
        backoff = {instance: self._backoff.remaining_ms(instance, now_ms) for instance in limited}
        return Limited(limited, {instance: left for instance, left in backoff.items() if left})

    async def acquire_permit(
        self, endpoint: ServiceEndpoint, request_id: str, calls: int = 1
    ) -> Permit | NoPermit:
        """Acquire a permit from a holder of the limit for a request that makes `calls` calls."""
        instance, now_ms = endpoint.instance, self._now_ms()
        per_s = self._table.find(instance)
        if per_s is None:
            return UNCOUNTED_PERMIT
        backoff_ms = self._backoff.remaining_ms(instance, now_ms)
        if backoff_ms:
            return NoPermit(backoff_ms)
        ask = self.shared_limit.make_ask(instance, calls, Limit(per_s, 0.0))
        command = await self.shared_limit.acquire(
            ask, lambda node: _log_timeout(request_id, ask, node)
        )
        if isinstance(command, Admitted):
            self._backoff.record_permit(instance)
            return Permit(ask, command.holder)
        retry_after_ms = command.retry_after_ms if isinstance(command, Refused) else 0
        backoff_ms = self._backoff.record_rejection(instance, retry_after_ms, self._now_ms())
        logger.info(
            "event=send_refused request=%s endpoint=%s per_s=%s do=%s backoff_ms=%d holders=%d "
            "nodes=%d",
            request_id,
            instance,
            per_s,
            command,
            backoff_ms,
            ask.holders,
            self.shared_limit.nodes,
        )
        return NoPermit(max(1, backoff_ms))

    def release_permit(self, permit: Permit) -> None:
        """Release the permit of a request that did not reach the endpoint."""
        self.shared_limit.refund(permit.ask, permit.holder)

    # Called as a holder.

    def _limit_of(self, event: holder.Event) -> Limit | None:
        """Return the lower of this node's limit and the asking node's, as either may be stale."""
        known = self._table.find(StartId(event.subject))
        limits = [known] if known is not None else []
        if isinstance(event, Ask):
            limits.append(event.limit.per_s)
        return Limit(max(MIN_PER_S, min(limits)), 0.0) if limits else None

    # Messages.

    def _handle(
        self, message: SendAsk | SendAnswer | SendGivenBack | LimitNews | LimitsWanted | PeerReached
    ) -> None:
        match message:
            case PeerReached(address):
                self.shared_limit.record_reached(address)
            case SendAnswer(ask_id, admitted, retry_after_ms):
                self.shared_limit.handle_answer(Answer(ask_id, admitted, retry_after_ms))
            case SendAsk(ask_id, reply_to, HeardLimit() as update, calls, holders):
                self._on_update(update)
                limit = Limit(update.per_s or 0.0, 0.0)
                self.shared_limit.answer(
                    reply_to, Ask(ask_id, update.endpoint, calls, limit, holders)
                )
            case SendGivenBack(ask_id, endpoint, holders):
                self.shared_limit.apply(Refund(ask_id, endpoint, holders))
            case LimitNews(limits):
                for update in limits:
                    self._on_update(update)
            case LimitsWanted(reply_to):
                self._send_limits((reply_to,), self._table.limited()[:MAX_LIMITS_PER_MESSAGE])

    def _send(self, node: str, message: ShareMessage) -> None:
        match message:
            case Ask(ask_id, subject, calls, Limit(per_s), holders):
                update = self._known_limit(StartId(subject)) or HeardLimit(
                    StartId(subject), per_s, 0
                )
                self._post(node, SendAsk(ask_id, self._own_address, update, calls, holders))
            case Answer(ask_id, admitted, retry_after_ms):
                self._post(node, SendAnswer(ask_id, admitted, retry_after_ms))
            case Refund(ask_id, subject, holders):
                self._post(node, SendGivenBack(ask_id, StartId(subject), holders))

    def _known_limit(self, instance: StartId) -> HeardLimit | None:
        known = self._table.entry(instance)
        if known is None:
            return None
        return HeardLimit(instance, known.per_s, max(0, self._now_ms() - known.observed_ms))

    def _post(self, node: str, message: object) -> None:
        if self._kernel is not None:
            self._kernel.post("peers", Outgoing(node, message))

    async def _publish_updates(self, kernel: Kernel) -> None:
        """Publish changes to a few peers, so that few requests are sent without a permit."""
        while True:
            await self._changed.wait()
            kernel.attempt(self.name, self._publish_batch)
            if not self._pending:
                self._changed = anyio.Event()
            await anyio.sleep(GOSSIP_INTERVAL_MS / 1000)

    def _publish_batch(self) -> None:
        self._send_limits(self._neighbours.choose(GOSSIP_FANOUT), self._pending.pop_batch())

    def _send_limits(self, nodes: Iterable[str], instances: Iterable[StartId]) -> None:
        updates = [known for one in instances if (known := self._known_limit(one)) is not None]
        for node in nodes if updates else ():
            self._post(node, LimitNews(tuple(updates)))


def _log_change(change: ShareChanged) -> None:
    logger.info(
        "event=limit_share endpoint=%s used_up=%s sent=%.1f share_per_s=%.3f",
        change.subject,
        change.exceeded,
        change.level,
        change.share.per_s,
    )


def _log_timeout(request_id: str, ask: Ask, node: str) -> None:
    logger.info(
        "event=limit_holder_silent request=%s endpoint=%s holder=%s after_ms=%d",
        request_id,
        ask.subject,
        node,
        HOLDER_TIMEOUT_MS,
    )
