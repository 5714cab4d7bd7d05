"""Performs claims against the store for the entry node."""

import logging

import anyio
from result import Ok

from saffronworks import claims, stores
from saffronworks.claims import Claim, ClaimRecord, ClaimState
from saffronworks.stores import StoreClient

__all__ = ["Claimant"]

logger = logging.getLogger(__name__)


class Claimant:
    """Takes and settles claims of one node."""

    def __init__(self, node: str, store: StoreClient):
        self._node = node
        self._store = store

    async def claim(self, key: str, request_id: str) -> claims.Command:
        """Run the core to its last command: Claimed, Denied or Unrecorded."""
        state = Claim(request_id)
        command = claims.start(state)
        while isinstance(command, claims.Read | claims.Write | claims.BackOff):
            command = claims.step(state, await self._perform(key, request_id, command))
        logger.info(
            "event=claim node=%s request=%s key=%s result=%s",
            self._node,
            request_id,
            key,
            type(command).__name__,
        )
        return command

    async def settle_not_run(self, key: str, request_id: str, version: int) -> None:
        """Record that the claim's request did not run, so that a retry with the key may.

        When the store does not take it the claim stays open: a retry is then told *unknown*.
        """
        record = ClaimRecord(request_id, self._node, ClaimState.NOT_RUN)
        await self._store.put(key, claims.write_record(record), version)

    async def _perform(
        self, key: str, request_id: str, command: claims.Read | claims.Write | claims.BackOff
    ) -> claims.Event:
        match command:
            case claims.Write():
                return await self._write(key, request_id, command.expected)
            case claims.BackOff():
                await anyio.sleep(command.wait_ms / 1000)
        return await self._read(key)

    async def _write(self, key: str, request_id: str, expected: int) -> claims.Event:
        record = ClaimRecord(request_id, self._node)
        reply = await self._store.put(key, claims.write_record(record), expected)
        if isinstance(reply, Ok):
            return claims.Written(reply.ok_value)
        failure = reply.err_value
        if isinstance(failure, stores.Moved):
            return claims.Moved()
        return claims.Lost() if failure.applied else claims.Outage()

    async def _read(self, key: str) -> claims.Event:
        reply = await self._store.get(key)
        if not isinstance(reply, Ok):
            return claims.Outage()
        if reply.ok_value is None:
            return claims.Missing()
        document = reply.ok_value
        return claims.Found(document.version, claims.read_record(document.content))
