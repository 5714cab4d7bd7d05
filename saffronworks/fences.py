"""Fencing tokens from the platform's store: the version of one object for each cell.

A conditional update gives each taker a higher version, so that endpoints which check fences
refuse whoever took one earlier.
"""

import logging

from result import Err, Ok, Result

from saffronworks.stores import Moved, StoreClient

__all__ = ["FenceKeeper"]

logger = logging.getLogger(__name__)

FENCE_PREFIX = "fences/"
MOST_TRIES = 3


class FenceKeeper:
    """Takes fences for the cells of one node, and looks whether they still hold."""

    def __init__(self, node: str, store: StoreClient):
        self._node = node
        self._store = store

    async def take(self, cell: str) -> Result[int, str]:
        """A fence higher than any before, or why there is none; a lost reply wastes one."""
        expected = 0
        for _ in range(MOST_TRIES):
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
        return Err("others take fences too")

    async def holds(self, cell: str, fence: int) -> bool:
        """Whether nobody took a higher one; False also when the store does not say."""
        reply = await self._store.get(FENCE_PREFIX + cell)
        if isinstance(reply, Err) or reply.ok_value is None:
            return False
        return reply.ok_value.version == fence
