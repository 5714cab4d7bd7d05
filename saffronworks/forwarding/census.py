"""Which nodes there are, and where they hear each other: each enters itself in the store once."""

import logging
import random
from collections.abc import Callable
from typing import Annotated

import anyio
import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding.ports import Conflict, ObjectSource, StoredObject
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.tuning import RESTORE_JITTER_MS
from saffronworks.web import is_address

__all__ = ["NODE_KIND", "Census", "NodeInfo"]


logger = logging.getLogger(__name__)

# More cores than any VM has; an entry that claims more would be taken for the strongest planner.
MOST_CORES = 1024

# The kind of the objects that nodes enter themselves by; one object a node.
NODE_KIND = "saffron-nodes"
COUNT_EVERY_S = 10.0
# A node that starts again finds the others at once. At the first start of all it finds few: it
# counts again after each of these, first by a listing that is exact, then by ones that may be
# seconds old and cost a tenth. Nodes that are counted early hear of the store from others while
# endpoints enter themselves, in place of a call for each change.
CONSISTENT_LISTING_S = 0.7
NEXT_COUNTS_S = (3.0, 4.0)
ENTER_AGAIN_S = 1.0
# After a restore of the store each node counts again once all have entered, and keeps counting
# those whose entries the copy lacks until then.
RESTORED_COUNT_S = 4.0
KEEP_MISSING_MS = 15_000


@attrs.frozen
class NodeInfo:
    """A node as others know it; `zone` is empty where an earlier version entered it."""

    cores: float
    zone: str = ""


@attrs.frozen
class _Entry:
    """Where a node hears its peers, as `IP:port`, how many processor cores it has, and its zone."""

    address: str
    cores: Annotated[float, msgspec.Meta(gt=0, le=MOST_CORES)] = 1.0
    zone: str = ""


class Census:
    """Enters this node, then lists all again and again; hands on who they are, by their addresses.

    Entries of dead nodes stay. Parts of the retry slack then only get smaller, and a planner that
    does not answer is passed over. A node enters again when a restore took its entry back.
    """

    def __init__(
        self,
        node: str,
        address: str,
        cores: float,
        zone: str,
        store: ObjectSource,
        rng: random.Random,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
        take: Callable[[dict[str, NodeInfo]], None],
    ):
        epoch.subscribe(self._note_restore)
        self._node = node
        self._entry = _Entry(address, cores, zone)
        self._store = store
        self._rng = rng
        self._take = take
        self._known: dict[str, NodeInfo] = {}
        self._told: dict[str, StoreRevision] = {}
        self._now_ms = now_ms
        self._restored = anyio.Event()
        self._keep_missing_until_ms = 0
        self._leaving = False

    async def run(self) -> None:
        """Enter, then count again and again until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._count_again)
            tasks.start_soon(self._enter_after_restores)

    async def _count_again(self) -> None:
        await self._enter_until_done()
        await self._list_nodes()
        await anyio.sleep(CONSISTENT_LISTING_S)
        await self._list_nodes(stale=False)
        for pause_s in NEXT_COUNTS_S:
            await anyio.sleep(pause_s)
            await self._list_nodes()
        while True:
            await anyio.sleep(COUNT_EVERY_S * (0.5 + self._rng.random()))
            await self._list_nodes()

    async def _enter_until_done(self) -> None:
        while not await self._enter():
            await anyio.sleep(ENTER_AGAIN_S * (0.5 + self._rng.random()))

    def _note_restore(self) -> None:
        self._keep_missing_until_ms = self._now_ms() + KEEP_MISSING_MS
        self._restored.set()

    async def _enter_after_restores(self) -> None:
        while True:
            await self._restored.wait()
            self._restored = anyio.Event()
            await anyio.sleep(RESTORE_JITTER_MS / 1000 * self._rng.random())
            if not self._leaving:
                await self._enter_until_done()
            await anyio.sleep(RESTORED_COUNT_S)
            await self._list_nodes()

    async def leave(self) -> None:
        """Remove the entry at a planned stop."""
        self._leaving = True
        reply = await self._store.remove(NODE_KIND, self._node)
        if isinstance(reply, Err):
            logger.info("event=census_entry_stays reason=%s", reply.err_value.reason)

    async def _enter(self) -> bool:
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
        """An earlier life of this node entered it; its address may have been another one."""
        if self._read(found) == self._entry:
            return True
        content = msgspec.json.encode(self._entry)
        reply = await self._store.replace(NODE_KIND, self._node, content, found.revision)
        if isinstance(reply, Err):
            logger.info("event=census_failed problem=%s", reply.err_value)
        return isinstance(reply, Ok)

    async def _list_nodes(self, stale: bool = True) -> None:
        listing = await self._store.list_objects(NODE_KIND, stale)
        if isinstance(listing, Err):
            logger.info("event=census_failed problem=%s", listing.err_value)
            return
        read = [self._read(item) for item in listing.ok_value.objects]
        listed = {
            entry.address: NodeInfo(entry.cores, entry.zone) for entry in read if entry is not None
        }
        kept = self._known if self._now_ms() < self._keep_missing_until_ms else {}
        nodes = kept | listed
        if nodes != self._known:
            logger.info("event=census nodes=%d before=%d", len(nodes), len(self._known))
            self._known = nodes
            self._take(nodes)

    def _read(self, item: StoredObject) -> _Entry | None:
        """An entry; one of another writer that names no node is told once a version."""
        read = _decode(item.content or b"")
        if isinstance(read, Err) and self._told.get(item.name) != item.revision:
            self._told[item.name] = item.revision
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
