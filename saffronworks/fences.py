"""Fencing tokens of cells: the version of one object per cell in the platform's store.

Each conditional update gives the writer a higher version, so that endpoints which check fences
reject every earlier holder.
"""

import logging

from result import Err, Ok, Result

from saffronworks.stores import Moved, StoreClient

__all__ = ["FenceKeeper"]

logger = logging.getLogger(__name__)

FENCE_PREFIX = "fences/"
MAX_TRIES = 3


class FenceKeeper:
    """Acquires fencing tokens for one node's cells, and checks that they are still current."""

    def __init__(self, node: str, store: StoreClient):
        self._node = node
        self._store = store

    async def acquire(self, cell: str) -> Result[int, str]:
        """Return a token higher than all earlier ones, or an error; a lost reply wastes a token."""
        expected = 0
        for _ in range(MAX_TRIES):
            reply = await self._store.put(FENCE_PREFIX + cell, self._node, expected)
            if isinstance(reply, Ok):
                logger.info(
                    "event=fence_taken node=%s cell=%s fence=%d", self._node, cell, reply.ok_value
                )
                return reply
            failure = reply.err_value
            if not isinstance(failure, Moved):
                return Err(failure.reason)
            expected = failure.version
        return Err("fence contention: other nodes kept updating it")

    async def is_current(self, cell: str, fence: int) -> bool:
        """True when the store confirms that no higher token exists, False if the read fails."""
        reply = await self._store.get(FENCE_PREFIX + cell)
        if isinstance(reply, Err) or reply.ok_value is None:
            return False
        return reply.ok_value.version == fence
