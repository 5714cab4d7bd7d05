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
    """Where a node hears its peers, as `IP:port`."""

    address: str


logger = logging.getLogger(__name__)

# The kind of the objects that nodes enter themselves by; one object a node.
NODE_KIND = "saffron-nodes"
COUNT_EVERY_S = 10.0
# All nodes of a start have entered by then, and a listing that is seconds old shows them.
FIRST_COUNT_S = 8.0
ENTER_AGAIN_S = 1.0


class Census:
    """Enters this node, then lists all again and again, and hands on their addresses.

    Entries of dead nodes stay. Parts of the retry slack then only get smaller, and a planner that
    does not answer is passed over.
    """

    def __init__(
        self,
        node: str,
        address: str,
        store: ObjectSource,
        rng: random.Random,
        take: Callable[[set[str]], None],
    ):
        self._node = node
        self._content = msgspec.json.encode({"address": address})
        self._store = store
        self._rng = rng
        self._take = take
        self._known: set[str] = set()

    async def run(self) -> None:
        """Enter, then count again and again until cancelled."""
        while not await self._enter():
            await anyio.sleep(ENTER_AGAIN_S * (0.5 + self._rng.random()))
        await anyio.sleep(FIRST_COUNT_S)
        while True:
            await self._count()
            await anyio.sleep(COUNT_EVERY_S * (0.5 + self._rng.random()))

    async def leave(self) -> None:
        """Remove the entry at a planned stop."""
        reply = await self._store.remove(NODE_KIND, self._node)
        if isinstance(reply, Err):
            logger.info("event=census_entry_stays reason=%s", reply.err_value.reason)

    async def _enter(self) -> bool:
        reply = await self._store.create(NODE_KIND, self._node, self._content)
        if isinstance(reply, Ok):
            return True
        failure = reply.err_value
        if isinstance(failure, Conflict) and failure.found is not None:
            return await self._renew(failure.found)
        logger.info("event=census_failed problem=%s", failure)
        return False

    async def _renew(self, found: StoredObject) -> bool:
        """An earlier life of this node entered it; its address may have been another one."""
        if found.content is not None and _read_address(found) == _decode(self._content):
            return True
        reply = await self._store.replace(NODE_KIND, self._node, self._content, found.revision)
        if isinstance(reply, Err):
            logger.info("event=census_failed problem=%s", reply.err_value)
        return isinstance(reply, Ok)

    async def _count(self) -> None:
        listing = await self._store.list_objects(NODE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=census_failed problem=%s", listing.err_value)
            return
        read = [_read_address(item) for item in listing.ok_value.objects]
        nodes = {address for address in read if address is not None}
        if nodes != self._known:
            logger.info("event=census nodes=%d before=%d", len(nodes), len(self._known))
            self._known = nodes
            self._take(nodes)


def _read_address(item: StoredObject) -> str | None:
    return _decode(item.content or b"")


def _decode(content: bytes) -> str | None:
    try:
        return msgspec.json.decode(content, type=_Entry).address
    except msgspec.MsgspecError as error:
        logger.info("event=census_entry_unreadable problem=%r", str(error))
        return None
