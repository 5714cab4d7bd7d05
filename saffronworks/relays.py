"""The document service: watches the store when chosen to, relays, and reads on its own."""

import logging
import random

import anyio
from result import Ok

from saffronworks import documents
from saffronworks.documents import (
    BucketDigests,
    BucketVersions,
    Document,
    DocumentPull,
    DocumentPush,
    DocumentStore,
    Fetched,
    InForce,
    PeerDigest,
    SendTo,
)
from saffronworks.hashing import rank_members
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.members import VMS_KEY, MemberService, read_vms
from saffronworks.stores import StoreClient

__all__ = ["RelayService"]

logger = logging.getLogger(__name__)

WATCHERS = 2
WATCH_MS = 10_000
STALE_MS = 6000
LOOK_EVERY_S = 0.5
PEERS_TO_BE_READY = 2
ZONES_TO_BE_READY = 2


class RelayService:
    """Owns this node's documents. `ready` once the store or enough peers have confirmed them."""

    name = "relays"

    def __init__(self, node: str, store: StoreClient, rng: random.Random):
        self.state = DocumentStore(node)
        self.ready = False
        self.confirmed_ms: int | None = None
        self.in_force_ms: dict[str, int] = {}
        self._store = store
        self._rng = rng
        self._agreeing: set[str] = set()
        self._patience_ms = STALE_MS + rng.randint(0, STALE_MS)

    def find(self, prefix: str) -> list[Document]:
        """The documents in force below a prefix."""
        return [d for key, d in sorted(self.state.documents.items()) if key.startswith(prefix)]

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Relay until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_store, kernel)
            await kernel.dispatch(self.name, mailbox, lambda message: self._take(kernel, message))

    def fresh_age_ms(self, now_ms: int) -> int:
        """How long ago the store was last known to agree, by this node or a peer."""
        if self.confirmed_ms is None:
            return 2**31
        return max(0, now_ms - self.confirmed_ms)

    def _take(self, kernel: Kernel, message: object) -> None:
        members: MemberService = kernel.find("members")
        match message:
            case PeerDigest():
                self._note_peer(kernel, message)
                self._perform(kernel, documents.step(self.state, message, ()))
            case Fetched() | DocumentPush() | DocumentPull() | BucketDigests() | BucketVersions():
                self._perform(kernel, documents.step(self.state, message, members.live()))
        members.state.digest = documents.overall_digest(self.state)
        members.state.fresh_age_ms = self.fresh_age_ms(kernel.now_ms())

    def _note_peer(self, kernel: Kernel, message: PeerDigest) -> None:
        if message.digest != documents.overall_digest(self.state):
            return
        if not self.state.documents:
            return
        members: MemberService = kernel.find("members")
        self._agreeing.add(message.sender)
        zones = {members.zone_of(name) for name in self._agreeing}
        enough_zones = len(zones) >= min(ZONES_TO_BE_READY, len(members.zones()))
        if len(self._agreeing) >= PEERS_TO_BE_READY and enough_zones:
            self.ready = True
        if message.fresh_age_ms < self.fresh_age_ms(kernel.now_ms()):
            self.confirmed_ms = kernel.now_ms() - message.fresh_age_ms

    def _perform(self, kernel: Kernel, commands: list[documents.Command]) -> None:
        members: MemberService = kernel.find("members")
        for command in commands:
            match command:
                case SendTo():
                    members.send(kernel, command.member, command.message)
                case InForce():
                    self._put_in_force(kernel, command)

    def _put_in_force(self, kernel: Kernel, change: InForce) -> None:
        document = change.document
        self.in_force_ms[document.key] = kernel.now_ms()
        logger.info(
            "event=in_force node=%s key=%s version=%d",
            kernel.node,
            document.key,
            document.version,
        )
        if document.key == VMS_KEY:
            vms = read_vms(document.content)
            self._store.budget.share_among(sum(1 for vm in vms if not vm.endpoint))
        kernel.announce(change)

    async def _follow_store(self, kernel: Kernel) -> None:
        """Read once at the start; then watch if chosen, else read when relays fall silent."""
        revision = await self._read(kernel, relay=False)
        while True:
            members: MemberService = kernel.find("members")
            watchers = rank_members(members.live(), "watch", WATCHERS)
            if kernel.node in watchers:
                revision = await self._watch(kernel, revision)
            elif self.fresh_age_ms(kernel.now_ms()) > self._patience_ms:
                revision = await self._read(kernel, relay=False)
            else:
                await anyio.sleep(LOOK_EVERY_S)

    async def _read(self, kernel: Kernel, relay: bool) -> int:
        reply = await self._store.list()
        if not isinstance(reply, Ok):
            await anyio.sleep(self._store.backoff_ms() / 1000)
            return 0
        self._confirm(kernel, reply.ok_value.documents(), relay)
        return reply.ok_value.revision

    async def _watch(self, kernel: Kernel, revision: int) -> int:
        if revision == 0:
            return await self._read(kernel, relay=True)
        reply = await self._store.watch(revision, WATCH_MS)
        if not isinstance(reply, Ok):
            await anyio.sleep(self._store.backoff_ms() / 1000)
            return 0
        self._confirm(kernel, reply.ok_value.documents(), relay=True)
        return reply.ok_value.revision

    def _confirm(self, kernel: Kernel, found: tuple[Document, ...], relay: bool) -> None:
        self.confirmed_ms = kernel.now_ms()
        self.ready = True
        kernel.post(self.name, Fetched(found, relay))
