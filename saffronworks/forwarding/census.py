"""Which nodes there are, and where they hear each other: each enters itself in the store once."""

import logging
import random
from collections.abc import Callable

import anyio
import attrs
import msgspec
from result import Err, Ok

from saffronworks.forwarding.ports import Conflict, ObjectSource, StoredObject

__all__ = ["NODE_KIND", "Census"]


@attrs.frozen
class _Entry:
    """Where a node hears its peers, as `IP:port`, and how many processor cores it has."""

    address: str
    cores: float = 1.0


logger = logging.getLogger(__name__)

# The kind of the objects that nodes enter themselves by; one object a node.
NODE_KIND = "saffron-nodes"
COUNT_EVERY_S = 10.0
# A node that starts again finds the others at once. At the first start of all it finds none; by the
# second count all have entered, and a listing that is seconds old shows them.
SECOND_COUNT_S = 8.0
ENTER_AGAIN_S = 1.0


class Census:
    """Enters this node, then lists all again and again; hands on their addresses and cores.

    Entries of dead nodes stay. Parts of the retry slack then only get smaller, and a planner that
    does not answer is passed over.
    """

    def __init__(
        self,
        node: str,
        address: str,
        cores: float,
        store: ObjectSource,
        rng: random.Random,
        take: Callable[[dict[str, float]], None],
    ):
        self._node = node
        self._entry = _Entry(address, cores)
        self._store = store
        self._rng = rng
        self._take = take
        self._known: dict[str, float] = {}

    async def run(self) -> None:
        """Enter, then count again and again until cancelled."""
        while not await self._enter():
            await anyio.sleep(ENTER_AGAIN_S * (0.5 + self._rng.random()))
        await self._count()
        await anyio.sleep(SECOND_COUNT_S)
        while True:
            await self._count()
            await anyio.sleep(COUNT_EVERY_S * (0.5 + self._rng.random()))

    async def leave(self) -> None:
        """Remove the entry at a planned stop."""
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
        if _decode(found.content or b"") == self._entry:
            return True
        content = msgspec.json.encode(self._entry)
        reply = await self._store.replace(NODE_KIND, self._node, content, found.revision)
        if isinstance(reply, Err):
            logger.info("event=census_failed problem=%s", reply.err_value)
        return isinstance(reply, Ok)

    async def _count(self) -> None:
        listing = await self._store.list_objects(NODE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=census_failed problem=%s", listing.err_value)
            return
        read = [_decode(item.content or b"") for item in listing.ok_value.objects]
        nodes = {entry.address: entry.cores for entry in read if entry is not None}
        if nodes != self._known:
            logger.info("event=census nodes=%d before=%d", len(nodes), len(self._known))
            self._known = nodes
            self._take(nodes)


def _decode(content: bytes) -> _Entry | None:
    try:
        return msgspec.json.decode(content, type=_Entry)
    except msgspec.MsgspecError as error:
        logger.info("event=census_entry_unreadable problem=%r", str(error))
        return None
