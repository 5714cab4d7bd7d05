"""Calls to other nodes that relay requests to endpoints."""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Collection

import attrs
from result import Err

from saffronworks.clocks import extend_for_lag, running_timeout
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.paths.messages import (
    RELAY_FIELD,
    RELAY_PATH,
    Reach,
    RelayReply,
    RelayRequest,
    decode_reply,
    encode,
)
from saffronworks.forwarding.paths.peers import PeerChoice, RelayPeer
from saffronworks.forwarding.paths.tuning import (
    CONFIRMED_MS,
    MAX_FAILED_LOOKUPS_PER_S,
    PEER_TIMEOUT_MS,
    PEERS_PER_CHECK,
    UNREACHED_MAX_MS,
    UNREACHED_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["PeerCalls", "PeerReach", "read_relay_reply"]

logger = logging.getLogger(__name__)

# Rounds in which other nodes are asked about one endpoint.
MAX_ROUNDS = 3


@attrs.frozen
class PeerReach:
    """What other nodes said of an endpoint: one that reaches it, and those that don't.

    `asked_all`: no other node is left that answers.
    """

    reached_by: str | None = None
    unreached_by: tuple[str, ...] = ()
    asked_all: bool = False


@attrs.frozen
class _Unreached:
    """A negative answer to questions asked at `began_ms`; none is asked again for `span_ms`."""

    found: PeerReach
    began_ms: int
    until_ms: int
    span_ms: int


@attrs.frozen
class _Lookup:
    """The calls in progress about one endpoint."""

    task: asyncio.Task[PeerReach]
    began_ms: int


class PeerCalls:
    """Asks other nodes which endpoints they reach, and opens connections to them."""

    def __init__(
        self,
        choice: PeerChoice,
        pool: ConnectionPool,
        rng: random.Random,
        now_ms: Callable[[], int],
    ):
        self.choice = choice
        self.pool = pool
        self._rng = rng
        self._now_ms = now_ms
        self._unreached: dict[StartId, _Unreached] = {}
        self._failed_lookups_ms: deque[int] = deque(maxlen=MAX_FAILED_LOOKUPS_PER_S)
        self._lookups: dict[StartId, _Lookup] = {}
        self._calls: set[asyncio.Task[tuple[RelayPeer, RelayReply]]] = set()

    def update_peers(self, peers: dict[str, RelayPeer]) -> None:
        """Replace the other nodes, and close idle connections to those that are gone."""
        self.choice.update(peers)
        self.pool.close_except({_as_endpoint(address).instance for address in peers})

    async def find_reaching(self, instance: StartId, since_ms: int) -> PeerReach:
        """Return a node that has reached the endpoint since then.

        An older statement does not show that the endpoint still listens, or still doesn't. Callers
        at the same time share the calls.
        """
        confirmed = self.choice.confirmed(instance, since_ms, self._now_ms(), self._rng)
        if confirmed is not None:
            return PeerReach(confirmed.address)
        known = self._unreached.get(instance)
        if known is not None and self._now_ms() < known.until_ms:
            return known.found if known.began_ms >= since_ms else PeerReach()
        if not self._may_ask():
            return PeerReach()
        lookup = self._lookups.get(instance)
        if lookup is None or lookup.began_ms < since_ms:
            task = asyncio.create_task(self._look_up(instance))
            lookup = self._lookups[instance] = _Lookup(task, self._now_ms())
            task.add_done_callback(lambda _: self._end_lookup(instance, lookup))
        return await asyncio.shield(lookup.task)

    def _end_lookup(self, instance: StartId, lookup: "_Lookup") -> None:
        if self._lookups.get(instance) is lookup:
            del self._lookups[instance]

    async def _look_up(self, instance: StartId) -> PeerReach:
        began_ms = self._now_ms()
        asked: set[str] = set()
        unreached: list[str] = []
        hints: list[str] = []
        for _ in range(MAX_ROUNDS):
            peers = self._next_peers(asked, hints)
            if not peers:
                break
            asked |= {peer.address for peer in peers}
            calls = [self._start_call(peer, instance) for peer in peers]
            reached = await self._first_reaching(calls, unreached, hints)
            if reached is not None:
                return PeerReach(reached, tuple(unreached))
        asked_all = not self._next_peers(asked, [])
        found = PeerReach(None, tuple(unreached), asked_all)
        self._record_unreached(instance, found, began_ms)
        return found

    def _record_unreached(self, instance: StartId, found: PeerReach, began_ms: int) -> None:
        """Keep a negative answer for a while, so that not each request asks again."""
        now_ms, known = self._now_ms(), self._unreached.get(instance)
        again = known is not None and now_ms < known.until_ms + known.span_ms
        doubled_ms = 2 * known.span_ms if known and again else UNREACHED_MS
        span_ms = min(doubled_ms, UNREACHED_MAX_MS)
        self._unreached[instance] = _Unreached(found, began_ms, now_ms + span_ms, span_ms)
        self._failed_lookups_ms.append(now_ms)

    def _may_ask(self) -> bool:
        failed = self._failed_lookups_ms
        return len(failed) < MAX_FAILED_LOOKUPS_PER_S or self._now_ms() >= failed[0] + 1000

    def known_reaching(self, instance: StartId) -> str | None:
        """Return a node that reached the endpoint recently, without lookup any."""
        now_ms = self._now_ms()
        confirmed = self.choice.confirmed(instance, now_ms - CONFIRMED_MS, now_ms, self._rng)
        return confirmed.address if confirmed is not None else None

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop the state of endpoints that are not in `instances`."""
        self.choice.forget_all_but(instances)
        for instance in self._unreached.keys() - set(instances):
            del self._unreached[instance]

    def _start_call(
        self, peer: RelayPeer, instance: StartId
    ) -> asyncio.Task[tuple[RelayPeer, RelayReply]]:
        task = asyncio.create_task(self._ask(peer, instance))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return task

    def _next_peers(self, asked: Collection[str], hints: list[str]) -> list[RelayPeer]:
        """Return the nodes to ask next, first those that others have named."""
        named = [self.choice.peers[one] for one in hints if one in self.choice.peers]
        named = [peer for peer in named if peer.address not in asked][:1]
        tried = {*asked, *(peer.address for peer in named)}
        count = PEERS_PER_CHECK - len(named)
        return named + self.choice.candidates(tried, count, self._now_ms(), self._rng)

    async def _first_reaching(
        self,
        calls: list[asyncio.Task[tuple[RelayPeer, RelayReply]]],
        unreached: list[str],
        hints: list[str],
    ) -> str | None:
        """Return the first node that reaches the endpoint; note the other answers."""
        for next_call in asyncio.as_completed(calls):
            peer, reply = await next_call
            if reply.reach is Reach.YES:
                return peer.address
            if reply.reach is Reach.NO:
                unreached.append(peer.address)
            if reply.ask:
                hints.append(reply.ask)
        return None

    async def _ask(self, peer: RelayPeer, instance: StartId) -> tuple[RelayPeer, RelayReply]:
        """Ask one node; one that doesn't answer is avoided."""
        try:
            async with running_timeout(extend_for_lag(PEER_TIMEOUT_MS)):
                reply = await self._check(peer, instance)
        except (ExchangeError, TimeoutError) as error:
            logger.info(
                "event=peer_check_failed peer=%s endpoint=%s problem=%r",
                peer.address,
                instance,
                str(error),
            )
            self.choice.avoid(peer.address, self._now_ms())
            return peer, RelayReply()
        if reply.reach is Reach.YES:
            self.choice.record_reaches(peer.address, instance, self._now_ms())
        else:
            self.choice.record_unreached(peer.address, instance)
        return peer, reply

    async def _check(self, peer: RelayPeer, instance: StartId) -> RelayReply:
        """Return the answer of one node; the caller limits the time."""
        connection = await self.open(peer.address, None)
        text = encode(RelayRequest(instance, check=True))
        lines = [f"GET {RELAY_PATH} HTTP/1.1", f"{RELAY_FIELD}: {text}", f"Host: {peer.address}"]
        try:
            connection.send("\r\n".join([*lines, "", ""]).encode("latin-1"), None)
            head = await connection.head(None)
            await connection.body(None)
        finally:
            self.release(connection)
        return read_relay_reply(head)

    async def open(self, address: str, request_id: str | None) -> EndpointConnection:
        """Return a connection to a node that has not carried this request.

        Raises ExchangeError. `release` must follow.
        """
        endpoint = _as_endpoint(address)
        connection = self.pool.acquire_idle(endpoint, request_id, control_call=True)
        try:
            connection = connection or await self.pool.open(
                endpoint, extend_for_lag(PEER_TIMEOUT_MS)
            )
        except OSError:
            raise ExchangeError(
                ExchangeErrorCause.CONNECT, sent=False, relayed_by=address
            ) from None
        connection.relayed_by = address
        connection.matcher.to_node = True
        self.choice.begin(address)
        return connection

    def drop(self, address: str) -> None:
        """Avoid a node that failed a request, and close the idle connections to it."""
        self.choice.avoid(address, self._now_ms())
        self.pool.close_idle(_as_endpoint(address).instance)

    def release(self, connection: EndpointConnection) -> None:
        """Keep or close a connection to a node."""
        assert connection.relayed_by is not None
        self.choice.end(connection.relayed_by)
        self.pool.release(_as_endpoint(connection.relayed_by), connection)


def _as_endpoint(address: str) -> ServiceEndpoint:
    return ServiceEndpoint(address, "", address, "")


def read_relay_reply(head: ResponseHead) -> RelayReply:
    """Remove the relaying node's own field from an answer and return its value."""
    if not head.fields or head.fields[0][0].lower() != RELAY_FIELD:
        return RelayReply(failure="no-relay-field", sent=True)
    reply = decode_reply(head.fields.pop(0)[1])
    if isinstance(reply, Err):
        return RelayReply(failure="bad-relay-field", sent=True)
    return reply.ok_value
