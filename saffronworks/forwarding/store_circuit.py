"""A circuit breaker for the store: while it fails, one caller at a time probes it.

A node has five readers of the store: two followers, the node census and two listings at its start.
Independent retries of all five cost many calls during an outage, and each call has a price.
"""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import attrs
from result import Err, Result

from saffronworks.forwarding.ports import (
    Conflict,
    HistoryGone,
    Listing,
    ObjectStore,
    ObjectStoreFailure,
    StoredObject,
)
from saffronworks.forwarding.store_revisions import StoreRevision
from saffronworks.forwarding.tuning import (
    PEER_FED_PROBE_INTERVAL_MS,
    PROBE_INTERVAL_MS,
)

__all__ = ["GuardedSource", "StoreCircuit"]

T = TypeVar("T")
E = TypeVar("E")


@attrs.define
class StoreCircuit:
    """State of the circuit breaker: closed, or open with at most one probe at a time."""

    open: bool = False
    probing: bool = False
    next_probe_ms: int = 0

    def wait_ms(self, now_ms: int) -> int | None:
        """Return the wait before a call: 0 for none, None until the current probe ends."""
        if not self.open:
            return 0
        return None if self.probing else max(0, self.next_probe_ms - now_ms)

    def begin(self) -> None:
        """Record the start of a call, which is the probe if the circuit is open."""
        self.probing = self.open

    def end(self, answered: bool, pause_ms: int, now_ms: int) -> None:
        """Record the end of a call; without an answer the next probe is `pause_ms` later."""
        self.probing = False
        self.open = not answered
        self.next_probe_ms = now_ms + pause_ms

    def abandon(self) -> None:
        """Record that a call was cancelled, which leaves the state of the store unknown."""
        self.probing = False


class GuardedSource:
    """A store behind a circuit breaker; conditional writes and removals bypass it.

    `has_peer_updates` returns whether this node receives store updates from peers.
    """

    def __init__(
        self,
        source: ObjectStore,
        rng: random.Random,
        now_ms: Callable[[], int],
        has_peer_updates: Callable[[], bool],
    ):
        self._source = source
        self._rng = rng
        self._now_ms = now_ms
        self._has_peer_updates = has_peer_updates
        self._circuit = StoreCircuit()
        self._changed = anyio.Event()

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, ObjectStoreFailure]:
        """List all objects of a kind."""
        return await self._guard(lambda: self._source.list_objects(kind, stale))

    async def watch(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes since a revision."""
        return await self._guard(lambda: self._source.watch(kind, revision, wait_ms))

    async def create(
        self, kind: str, name: str, content: bytes
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Create an object that must not exist yet."""
        return await self._guard(lambda: self._source.create(kind, name, content))

    async def replace(
        self, kind: str, name: str, content: bytes, revision: StoreRevision
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Replace an object if it is still at `revision`."""
        return await self._source.replace(kind, name, content, revision)

    async def remove(self, kind: str, name: str) -> Result[None, ObjectStoreFailure]:
        """Remove an object."""
        return await self._source.remove(kind, name)

    async def _guard(self, call: Callable[[], Awaitable[Result[T, E]]]) -> Result[T, E]:
        while (wait_ms := self._circuit.wait_ms(self._now_ms())) != 0:
            with anyio.move_on_after(None if wait_ms is None else wait_ms / 1000):
                await self._changed.wait()
        self._circuit.begin()
        answered: bool | None = None
        try:
            reply = await call()
            answered = not (
                isinstance(reply, Err) and isinstance(reply.err_value, ObjectStoreFailure)
            )
            return reply
        finally:
            if answered is None:
                self._circuit.abandon()
            else:
                self._circuit.end(answered, self._pause_ms(), self._now_ms())
            self._changed.set()
            self._changed = anyio.Event()

    def _pause_ms(self) -> int:
        longest_ms = PEER_FED_PROBE_INTERVAL_MS if self._has_peer_updates() else PROBE_INTERVAL_MS
        return self._rng.randint(longest_ms // 2, longest_ms)
