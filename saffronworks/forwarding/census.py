"""Node discovery: each node registers itself in the store and lists all registered nodes."""

import logging
import random
from collections.abc import Callable
from typing import Annotated

import anyio
import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding.ports import Conflict, ObjectStore, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.tuning import RESTORE_JITTER_MS
from saffronworks.web import is_address

__all__ = ["NODE_KIND", "Census", "NodeInfo"]


logger = logging.getLogger(__name__)

# More cores than any VM has. An entry that claims more is rejected, because it would be chosen as
# the strongest planner.
MAX_CORES = 1024

# Kind of the store's objects for nodes; one object per node.
NODE_KIND = "saffron-nodes"
LISTING_INTERVAL_S = 10.0
# A restarted node finds the others with its first listing. When all nodes start together it finds
# few, so it lists again after each of these delays: first with a consistent read, then with stale
# reads, which may be seconds old and cost a tenth. Nodes found early receive store updates from
# peers while endpoints register, instead of making a call for each change.
CONSISTENT_LISTING_S = 0.7
STALE_LISTING_DELAYS_S = (3.0, 4.0)
REGISTER_RETRY_S = 1.0
# After a restore of the store, each node registers again and lists the nodes this much later, when
# the others have registered too.
RESTORE_LISTING_DELAY_S = 4.0
# Nodes whose entries the restored copy lacks are kept for this long after the restore is observed.
KEEP_MISSING_MS = 15_000


@attrs.frozen
class NodeInfo:
    """Cores and zone of a node, and the port on which it relays requests.

    `zone` is empty and `relay_port` 0 if an older version registered it.
    """

    cores: float
    zone: str = ""
    relay_port: int = 0


@attrs.frozen
class _Entry:
    """Entry of a node in the store: its peer address (`IP:port`), processor cores and zone.

    `relay_port` is on the same IP address, 0 if the node relays no requests.
    """

    address: str
    cores: Annotated[float, msgspec.Meta(gt=0, le=MAX_CORES)] = 1.0
    zone: str = ""
    relay_port: Annotated[int, msgspec.Meta(ge=0, lt=2**16)] = 0


class Census:
    """Registers this node and lists all nodes; `take` receives them by address at each change.

    Entries of dead nodes remain. They only reduce each node's share of the retry slack, and a
    planner that does not answer is skipped. After a restore of the store, which may
    have lost its entry, a node registers again.
    """

    def __init__(
        self,
        node: str,
        address: str,
        cores: float,
        zone: str,
        store: ObjectStore,
        rng: random.Random,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
        take: Callable[[dict[str, NodeInfo]], None],
        relay_port: int = 0,
    ):
        epoch.subscribe(self._note_restore)
        self._node = node
        self._entry = _Entry(address, cores, zone, relay_port)
        self._store = store
        self._rng = rng
        self._take = take
        self._known: dict[str, NodeInfo] = {}
        self._logged_revisions: dict[str, StoreRevision] = {}
        self._now_ms = now_ms
        self._restored = anyio.Event()
        self._keep_missing_until_ms = 0
        self._leaving = False

    async def run(self) -> None:
        """Register, then list periodically until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._list_periodically)
            tasks.start_soon(self._register_after_restores)

    async def _list_periodically(self) -> None:
        await self._register_until_done()
        await self._list_nodes()
        await anyio.sleep(CONSISTENT_LISTING_S)
        await self._list_nodes(stale=False)
        for pause_s in STALE_LISTING_DELAYS_S:
            await anyio.sleep(pause_s)
            await self._list_nodes()
        while True:
            await anyio.sleep(LISTING_INTERVAL_S * (0.5 + self._rng.random()))
            await self._list_nodes()

    async def _register_until_done(self) -> None:
        while not await self._register():
            await anyio.sleep(REGISTER_RETRY_S * (0.5 + self._rng.random()))

    def _note_restore(self) -> None:
        self._keep_missing_until_ms = self._now_ms() + KEEP_MISSING_MS
        self._restored.set()

    async def _register_after_restores(self) -> None:
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            await anyio.sleep(RESTORE_JITTER_MS / 1000 * self._rng.random())
            if not self._leaving:
                await self._register_until_done()
            await anyio.sleep(RESTORE_LISTING_DELAY_S)
            await self._list_nodes()

    async def leave(self) -> None:
        """Remove this node's entry at a planned stop."""
        self._leaving = True
        reply = await self._store.remove(NODE_KIND, self._node)
        if isinstance(reply, Err):
            logger.info("event=census_entry_stays reason=%s", reply.err_value.reason)

    async def _register(self) -> bool:
        content = msgspec.json.encode(self._entry)
        reply = await self._store.create(NODE_KIND, self._node, content)
        if isinstance(reply, Ok):
            return True
        failure = reply.err_value
        if isinstance(failure, Conflict) and failure.found is not None:
            return await self._renew(failure.found)
        logger.info("event=census_failed problem=%s", failure)
        return False

    async def _renew(self, found: StoredObject) -> bool:
        """Update the entry of an earlier process of this node, whose address may differ."""
        if self._read(found) == self._entry:
            return True
        content = msgspec.json.encode(self._entry)
        reply = await self._store.replace(NODE_KIND, self._node, content, found.revision)
        if isinstance(reply, Err):
            logger.info("event=census_failed problem=%s", reply.err_value)
        return isinstance(reply, Ok)

    async def _list_nodes(self, stale: bool = True) -> None:
        reply = await self._store.list_objects(NODE_KIND, stale)
        if isinstance(reply, Err):
            logger.info("event=census_failed problem=%s", reply.err_value)
            return
        read = [self._read(item) for item in reply.ok_value.objects]
        listed = {
            entry.address: NodeInfo(entry.cores, entry.zone, entry.relay_port)
            for entry in read
            if entry is not None
        }
        kept = self._known if self._now_ms() < self._keep_missing_until_ms else {}
        nodes = kept | listed
        if nodes != self._known:
            logger.info("event=census nodes=%d before=%d", len(nodes), len(self._known))
            self._known = nodes
            self._take(nodes)

    def _read(self, item: StoredObject) -> _Entry | None:
        """Return a decoded entry, or None; an invalid one is logged once per revision."""
        read = _decode(item.content or b"")
        if isinstance(read, Err) and self._logged_revisions.get(item.name) != item.revision:
            self._logged_revisions[item.name] = item.revision
            logger.error(
                "event=census_entry_unreadable node=%s revision=%s problem=%r",
                item.name,
                item.revision,
                read.err_value,
            )
        return read.ok()


def _decode(content: bytes) -> Result[_Entry, str]:
    try:
        entry = msgspec.json.decode(content, type=_Entry)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Err(str(error))
    if not is_address(entry.address):
        return Err(f"address: {entry.address!r} is not of the form IP:port")
    return Ok(entry)
