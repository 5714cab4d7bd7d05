"""A circuit breaker for the store: while it fails, one caller at a time probes it.

A node has five readers of the store: two followers, the node census and two listings at its start.
Independent retries of all five cost many calls during an outage, and each call has a price.

A cut connection is not yet an outage: the next call probes the store without a pause. A probe is a
call that the store answers at once, because the other callers wait for it.
"""

import enum
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
    PROBE_HOLD_MS,
    PROBE_INTERVAL_MS,
    PROBE_WATCH_MS,
)

__all__ = ["GuardedSource", "Outcome", "StoreCircuit"]

T = TypeVar("T")
E = TypeVar("E")


class Outcome(enum.Enum):
    """How a call ended: by an answer, a failure, a cut connection or its cancellation."""

    ANSWERED = enum.auto()
    FAILED = enum.auto()
    CUT = enum.auto()
    CANCELLED = enum.auto()


@attrs.define
class StoreCircuit:
    """State of the circuit breaker: closed, or open with at most one probe at a time.

    Cuts allow one probe without a pause per probe interval, because a store may cut each watch.
    """

    open: bool = False
    next_probe_ms: int = 0
    _probe: int = 0
    _probe_until_ms: int | None = None
    _next_after_cut_ms: int = 0

    def wait_ms(self, now_ms: int) -> int:
        """Return the wait before a call, 0 for none; shorter if the current probe ends before."""
        if not self.open:
            return 0
        next_ms = self.next_probe_ms if self._probe_until_ms is None else self._probe_until_ms
        return max(0, next_ms - now_ms)

    def begin(self, now_ms: int) -> int | None:
        """Record the start of a call; returns its number if it is a probe."""
        if not self.open:
            return None
        self._probe += 1
        self._probe_until_ms = now_ms + PROBE_HOLD_MS
        return self._probe

    def record_answer(self) -> None:
        """Close: the store has begun to answer a call, whose rest may take its time."""
        self.open = False
        self._probe_until_ms = None

    def end(self, probe: int | None, outcome: Outcome, pause_ms: int, now_ms: int) -> None:
        """Record the end of a call; after a failure the next probe is `pause_ms` later."""
        if probe == self._probe:
            self._probe_until_ms = None
        match outcome:
            case Outcome.ANSWERED:
                self.record_answer()
            case Outcome.CUT if not self.open:
                self.open = True
                self.next_probe_ms = max(now_ms, self._next_after_cut_ms)
                self._next_after_cut_ms = self.next_probe_ms + pause_ms
            case Outcome.CUT if probe is None:
                pass
            case Outcome.FAILED | Outcome.CUT:
                self.open = True
                self.next_probe_ms = now_ms + pause_ms
            case Outcome.CANCELLED:
                pass


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
        return await self._guard(lambda _: self._source.list_objects(kind, stale))

    async def watch(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes since a revision; a probe waits for them only shortly."""
        return await self._guard(
            lambda probes: self._source.watch(
                kind, revision, min(wait_ms, PROBE_WATCH_MS) if probes else wait_ms
            )
        )

    async def read_changes(
        self, kind: str, revision: StoreRevision
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes between a revision and this call; fails instead of waiting to call."""
        if self._circuit.wait_ms(self._now_ms()):
            return Err(ObjectStoreFailure("circuit open"))
        return await self._guard(lambda _: self._source.read_changes(kind, revision))

    async def create(
        self, kind: str, name: str, content: bytes
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Create an object that must not exist yet."""
        return await self._guard(lambda _: self._source.create(kind, name, content))

    async def replace(
        self, kind: str, name: str, content: bytes, revision: StoreRevision
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Replace an object if it is still at `revision`."""
        return await self._source.replace(kind, name, content, revision)

    async def remove(self, kind: str, name: str) -> Result[None, ObjectStoreFailure]:
        """Remove an object."""
        return await self._source.remove(kind, name)

    def record_answer_begun(self) -> None:
        """Let the other callers go on: the store answers, though a large answer is under way."""
        if self._circuit.open:
            self._circuit.record_answer()
            self._notify()

    async def _guard(self, call: Callable[[bool], Awaitable[Result[T, E]]]) -> Result[T, E]:
        """Make a call when the circuit allows it; it is told whether it is a probe."""
        while wait_ms := self._circuit.wait_ms(self._now_ms()):
            with anyio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
        probe = self._circuit.begin(self._now_ms())
        outcome = Outcome.CANCELLED
        try:
            reply = await call(probe is not None)
            outcome = _outcome_of(reply)
            return reply
        finally:
            self._circuit.end(probe, outcome, self._pause_ms(), self._now_ms())
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _pause_ms(self) -> int:
        longest_ms = PEER_FED_PROBE_INTERVAL_MS if self._has_peer_updates() else PROBE_INTERVAL_MS
        return self._rng.randint(longest_ms * 2 // 3, longest_ms)


def _outcome_of(reply: Result[T, E]) -> Outcome:
    match reply:
        case Err(ObjectStoreFailure(cut=True)):
            return Outcome.CUT
        case Err(ObjectStoreFailure()):
            return Outcome.FAILED
        case _:
            return Outcome.ANSWERED
