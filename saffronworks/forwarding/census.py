"""How many nodes share the fleet's slack of retries: each enters itself in the store once."""

import logging
import random

import anyio
import msgspec
from result import Err, Ok

from saffronworks.forwarding.ports import Conflict, ObjectSource
from saffronworks.forwarding.retry_budget import RetryBudget

__all__ = ["NODE_KIND", "Census"]

logger = logging.getLogger(__name__)

# The kind of the objects that nodes enter themselves by; one object a node.
NODE_KIND = "saffron-nodes"
COUNT_EVERY_S = 10.0
# All nodes of a start have entered by then, and a listing that is seconds old shows them.
FIRST_COUNT_S = 8.0
ENTER_AGAIN_S = 1.0


class Census:
    """Enters this node, then counts all. Entries of dead nodes stay: parts only get smaller."""

    def __init__(self, node: str, store: ObjectSource, budget: RetryBudget, rng: random.Random):
        self._node = node
        self._store = store
        self._budget = budget
        self._rng = rng

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
        content = msgspec.json.encode({"node": self._node})
        reply = await self._store.create(NODE_KIND, self._node, content)
        if isinstance(reply, Ok) or isinstance(reply.err_value, Conflict):
            return True
        logger.info("event=census_failed reason=%s", reply.err_value.reason)
        return False

    async def _count(self) -> None:
        listing = await self._store.list_objects(NODE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=census_failed reason=%s", listing.err_value.reason)
            return
        nodes = max(1, len(listing.ok_value.objects))
        if nodes != self._budget.nodes:
            logger.info("event=census nodes=%d before=%d", nodes, self._budget.nodes)
            self._budget.nodes = nodes
