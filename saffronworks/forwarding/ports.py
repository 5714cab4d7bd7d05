"""What forwarding needs from the outside; an adapter implements these."""

from typing import Protocol

import attrs
from result import Result

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.messages import (
    AnswerHead,
    CallerRequest,
    KvHandle,
    KvHold,
    NotExecuted,
)
from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = [
    "AnswerBody",
    "CallerReply",
    "Conflict",
    "EndpointCalls",
    "Exchange",
    "HistoryGone",
    "Listing",
    "ObjectSource",
    "SourceFailure",
    "StoredObject",
]


@attrs.frozen
class StoredObject:
    """One object of the store; `content` is None where it was removed."""

    name: str
    revision: StoreRevision
    content: bytes | None


@attrs.frozen
class Listing:
    """Objects of one kind: all of them, or those that changed, and the store's revision."""

    objects: tuple[StoredObject, ...]
    revision: StoreRevision


@attrs.frozen
class SourceFailure:
    """The store gave no usable answer. `applied` is false only when a write did nothing.

    `cut` tells that an open connection was closed or reset: until then the path was good.
    """

    reason: str
    applied: bool = False
    cut: bool = False


@attrs.frozen
class HistoryGone:
    """The changes since the revision asked for are no longer kept: list anew."""


@attrs.frozen
class Conflict:
    """A conditional write found the object at another revision, or already there."""

    found: StoredObject | None


class ObjectSource(Protocol):
    """The store of objects by kind and name."""

    async def list_objects(self, kind: str, stale: bool = False) -> Result[Listing, SourceFailure]:
        """All objects of a kind; `stale` accepts an answer that is seconds old."""

    async def watch(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> Result[Listing, HistoryGone | SourceFailure]:
        """What changed since a revision; waits until something has.

        The answer may be of a later epoch than `revision`. It then lacks changes: list anew.
        """

    async def create(
        self, kind: str, name: str, content: bytes
    ) -> Result[StoredObject, Conflict | SourceFailure]:
        """Write an object that must not exist yet."""

    async def replace(
        self, kind: str, name: str, content: bytes, revision: StoreRevision
    ) -> Result[StoredObject, Conflict | SourceFailure]:
        """Write an object if it is still at that revision."""

    async def remove(self, kind: str, name: str) -> Result[None, SourceFailure]:
        """Remove an object; it is no failure when there is none."""


class Exchange(Protocol):
    """One request on its way through one endpoint."""

    connection: EndpointConnection

    @property
    def framed(self) -> bool:
        """Whether the answer tells its own end; else only a close does."""

    async def head(self, timeout_ms: float) -> AnswerHead:
        """The start of the answer; raises ExchangeError."""

    async def next_chunk(self, timeout_ms: float | None = None) -> bytes | None:
        """A part of the body, None at its end; raises ExchangeError."""

    def end(self) -> None:
        """Give the connection back, or close it when the answer is not whole."""


class EndpointCalls(Protocol):
    """Calls to endpoints. All raise ExchangeError when the exchange ended without an answer."""

    async def send(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> Exchange:
        """Send a request on."""

    async def open_stream(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        left_ms: int,
        hold: KvHold | None,
        handle: KvHandle | None,
        after_event: int | None,
    ) -> Exchange:
        """Send a generation to a decode endpoint, with the prompt read elsewhere or not."""

    async def take_hold(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        tokens: int,
        ttl_ms: int,
        now_ms: int,
    ) -> Result[KvHold, NotExecuted]:
        """Reserve a slot and memory for a request."""

    async def drop_hold(self, hold: KvHold) -> None:
        """Free a hold that serves nobody."""

    async def prefill(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> Result[KvHandle, NotExecuted]:
        """Have a prompt read."""

    async def drop_handle(self, handle: KvHandle) -> None:
        """Free a prompt that nobody takes."""

    async def listens(self, endpoint: ServiceEndpoint) -> bool | None:
        """Whether somebody takes connections at its address; None when nothing comes back."""

    async def order_role(
        self, endpoint: ServiceEndpoint, role: Role, holder: str, fence: int
    ) -> Result[None, NotExecuted]:
        """Order an endpoint into another role."""


class AnswerBody(Protocol):
    """The body of an answer whose status and headers are out."""

    async def write(self, data: bytes) -> None:
        """Send a part."""

    async def finish(self) -> None:
        """End it, so that the answer looks complete."""


class CallerReply(Protocol):
    """The way back to one caller."""

    @property
    def started(self) -> bool:
        """Whether status and headers are out."""

    @property
    def finished(self) -> bool:
        """Whether the whole answer is out."""

    async def start(self, head: AnswerHead) -> AnswerBody:
        """Send status and headers; the body follows."""

    async def refuse(self, status: int, reason: str, retry_after_ms: int | None = None) -> None:
        """Answer on our own; a `retry_after_ms` goes with statuses that promise *not run*."""

    async def wait_gone(self) -> None:
        """Return when the caller has left."""

    def cut(self) -> None:
        """Close the connection, so that the answer does not look complete."""

    async def drain(self) -> None:
        """Return once nothing that was written is in this process any more."""

    def disconnect(self) -> None:
        """Close the connection at once, with what was written to it and not read."""

    @property
    def connection_key(self) -> int:
        """The same for all answers on one connection of the caller, while it is open."""

    @property
    def buffered_bytes(self) -> int:
        """What was written and is in this process still."""

    @property
    def unread_bytes(self) -> int:
        """What was written and the caller's machine has not taken; other buffers count as well."""
