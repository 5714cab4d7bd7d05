"""The main class: one node, its services, and its planned stop."""

import logging
import random

import anyio

from saffronworks import documents, membership, messages
from saffronworks.burn import BurnRecorder
from saffronworks.cancels import CancelDone, CancelService
from saffronworks.claim_service import ClaimService
from saffronworks.clocks import monotonic_ms, wall_ms
from saffronworks.connection_table import UnreadConnections
from saffronworks.documents import (
    BucketDigests,
    BucketVersions,
    DocumentPull,
    DocumentPush,
    Fetched,
    InForce,
    PeerDigest,
)
from saffronworks.ends import EndRecorder
from saffronworks.engines import EngineClient
from saffronworks.entries import EntryService
from saffronworks.fences import FenceKeeper
from saffronworks.forwarding.planned_ends import PlannedEnd
from saffronworks.frontends import Frontend
from saffronworks.head_memory import HeadMemory
from saffronworks.kernel import Kernel
from saffronworks.members import MemberService
from saffronworks.membership import Heartbeat, HeartbeatReply, MemberChanged, Status
from saffronworks.messages import (
    Ask,
    Assign,
    AssignRefused,
    ClaimAsk,
    ClaimReply,
    ClaimSettle,
    Grant,
    HeldList,
    HeldQuery,
    LeaseRenewal,
    NodeAnswer,
    Prefilled,
    Refusal,
    Release,
    SurveyQuery,
)
from saffronworks.metrics import Metrics
from saffronworks.operators import OperatorInterface
from saffronworks.owner.owners import OwnerService
from saffronworks.peers import PeerService
from saffronworks.relays import RelayService
from saffronworks.settings import Settings
from saffronworks.stores import StoreClient
from saffronworks.surveys import SurveyService
from saffronworks.web import HttpServer, bind
from saffronworks.wire import Codec

__all__ = ["NODE_CODEC", "Node"]

logger = logging.getLogger(__name__)

# All that nodes of this deployment say to each other.
NODE_CODEC = Codec(messages, membership, documents)
LINGER_S = 0.3
DRAIN_LOOK_S = 0.05
# Part of a drain after which callers and balancers should know that this node is not ready.
NOTICE_SHARE = 0.5


class Node:
    """One `saffrond` in this process; several may run side by side."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = wall_ms()
        self.kernel = Kernel(settings.name, monotonic_ms)
        rng = random.Random(f"{settings.name}/{self.incarnation}/store")
        self.engines = EngineClient()
        self.store = StoreClient(settings.store_address, rng, settings.store_reads_per_s)
        self.peers = PeerService(settings.peer_address, NODE_CODEC)
        self.members = MemberService(settings, self.incarnation)
        self.relays = RelayService(settings.name, self.store, rng)
        self.owner = OwnerService(settings, self.engines, FenceKeeper(settings.name, self.store))
        burn = BurnRecorder(settings.name)
        self.ends = EndRecorder(Metrics(settings.name), burn)
        self.surveys = SurveyService(settings.zone, burn)
        self.claims = ClaimService(self.store)
        self.entry = EntryService(settings, self.incarnation)
        self.frontend = Frontend(
            settings,
            self.kernel,
            self.engines,
            self.claims,
            self.ends,
            f"{settings.name}/{self.incarnation}",
        )
        self._register()
        heads = HeadMemory(settings.head_memory_bytes)
        unread = UnreadConnections(settings.max_unread_connections)
        self._callers = HttpServer(
            bind(settings.caller_address),
            self.frontend.handle,
            max_connections=settings.max_connections,
            heads=heads,
            unread=unread,
        )
        operators = OperatorInterface(self.kernel, self.store, self.frontend, self.ends)
        self._operators = HttpServer(
            bind(settings.admin_address),
            operators.handle,
            max_connections=settings.max_operator_connections,
            heads=heads,
            unread=unread,
        )
        self._scope: anyio.CancelScope | None = None
        self._stopping = anyio.Event()
        # Set by `stop`.
        self._end = PlannedEnd(0, 0, 0)

    @property
    def caller_address(self) -> str:
        """Where callers are served."""
        return self._callers.address

    @property
    def admin_address(self) -> str:
        """Where operators are served."""
        return self._operators.address

    def _register(self) -> None:
        register = self.kernel.register
        register(self.peers)
        register(self.members, Heartbeat, HeartbeatReply, InForce)
        documents = (DocumentPush, DocumentPull, BucketDigests, BucketVersions, Fetched, PeerDigest)
        register(self.relays, *documents)
        register(CancelService(self.engines))
        owner_messages = (Ask, Prefilled, Release, LeaseRenewal, HeldList)
        register(self.owner, *owner_messages, CancelDone, InForce, MemberChanged)
        entry_messages = (Grant, Refusal, Assign, AssignRefused, HeldQuery)
        register(self.entry, *entry_messages, InForce, MemberChanged)
        register(self.claims, ClaimAsk, ClaimReply, ClaimSettle)
        register(self.surveys, SurveyQuery, NodeAnswer)

    async def run(self) -> None:
        """Serve until `stop` has drained the node, or `kill`."""
        self.peers.listen()
        logger.info(
            "event=node_start node=%s zone=%s callers=%s operators=%s",
            self.settings.name,
            self.settings.zone,
            self.caller_address,
            self.admin_address,
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._scope = tasks.cancel_scope
                self.kernel.start(tasks)
                async with anyio.create_task_group() as serving:
                    serving.start_soon(self._operators.run)
                    serving.start_soon(self._callers.run)
                    await self._stopping.wait()
                    await self._drain()
                    self._callers.stop()
                    self._operators.stop()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.engines.close()
                await self.store.close()
                await self.frontend.plain.close()
        logger.info("event=node_stop node=%s", self.settings.name)

    def stop(self, sent_ms: int | None = None) -> None:
        """Begin the planned stop, whose signal was sent at that time, by default now.

        Nothing that a server has begun is cut off for `drain_ms` after it.
        """
        if not self._stopping.is_set():
            began_ms = monotonic_ms() if sent_ms is None else sent_ms
            drain_ms = self.settings.drain_ms
            notice_ms = began_ms + int(NOTICE_SHARE * drain_ms)
            self._end = PlannedEnd(began_ms, notice_ms, began_ms + drain_ms)
            self._stopping.set()

    def kill(self) -> None:
        """End at once, as a crash does."""
        if self._scope is not None:
            self._scope.cancel()

    async def _drain(self) -> None:
        """Fail readiness, hand ownership over, let requests that have begun run to their end."""
        logger.warning(
            "event=drain node=%s live=%d left_ms=%d",
            self.settings.name,
            len(self.entry.runners),
            self._end.ends_ms - self.kernel.now_ms(),
        )
        self.frontend.draining = True
        self.members.leave(self.kernel, gone=False)
        self.kernel.announce(MemberChanged(self.settings.name, Status.LEAVING))
        quiet = 0
        while quiet < 3 and self.kernel.now_ms() < self._end.ends_ms:
            await anyio.sleep(DRAIN_LOOK_S)
            if self._end.announced(self.kernel.now_ms()) and not self.frontend.refusing:
                self.frontend.refuse_new()
            quiet = quiet + 1 if self.frontend.open_calls == 0 else 0
        self.frontend.refuse_new()
        self.frontend.stop_all()
        self.members.leave(self.kernel, gone=True)
        await anyio.sleep(LINGER_S)
