"""Protocols that an adapter implements: the store, calls to endpoints, replies to callers."""

from typing import Protocol

import attrs
from result import Result

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.connections import EndpointConnection, ResponseHead
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_identity import Identification
from saffronworks.forwarding.exchange_errors import ExchangeError, FaultSite
from saffronworks.forwarding.messages import (
    AnswerHead,
    CallerRequest,
    KvHandle,
    KvHold,
    NotExecuted,
)
from saffronworks.forwarding.process_checks import ProcessState
from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = [
    "AnswerBody",
    "CallerReply",
    "Conflict",
    "EndpointCalls",
    "Exchange",
    "HistoryGone",
    "Listing",
    "ObjectStore",
    "ObjectStoreFailure",
    "RelayCalls",
    "RelayedRequest",
    "StoredObject",
]


@attrs.frozen
class StoredObject:
    """One object of the store; `content` is None if the object was removed."""

    name: str
    revision: StoreRevision
    content: bytes | None


@attrs.frozen
class Listing:
    """All objects of one kind, or those that changed, and the store's revision."""

    objects: tuple[StoredObject, ...]
    revision: StoreRevision


@attrs.frozen
class ObjectStoreFailure:
    """The store gave no usable answer. `applied` is false only if a write had no effect.

    `cut`: an open connection was closed or reset, so the network path worked until then.
    """

    reason: str
    applied: bool = False
    cut: bool = False


@attrs.frozen
class HistoryGone:
    """The changes since the requested revision are no longer kept; list the objects again."""


@attrs.frozen
class Conflict:
    """A conditional write failed: the object is at another revision, or exists already."""

    found: StoredObject | None


class ObjectStore(Protocol):
    """A versioned store of objects by kind and name."""

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, ObjectStoreFailure]:
        """List all objects of a kind; `stale` accepts an answer that is seconds old."""

    async def watch(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes since a revision; waits up to `wait_ms` for the first one.

        An answer of a later epoch than `revision` may lack changes; list the objects again then.
        """

    async def read_changes(
        self, kind: str, revision: StoreRevision
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes between a revision and this call, as `watch`, without waiting."""

    async def create(
        self, kind: str, name: str, content: bytes
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Write an object that must not exist yet."""

    async def replace(
        self, kind: str, name: str, content: bytes, revision: StoreRevision
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Write an object if it is still at `revision`."""

    async def remove(self, kind: str, name: str) -> Result[None, ObjectStoreFailure]:
        """Remove an object; succeeds if there is none."""


class Exchange(Protocol):
    """One request to one endpoint, and its answer."""

    connection: EndpointConnection

    @property
    def framed(self) -> bool:
        """True if the answer marks its own end; otherwise only closing the connection ends it."""

    async def head(self, timeout_ms: float) -> AnswerHead:
        """Return the status and headers of the answer; raises ExchangeError."""

    async def next_chunk(self, timeout_ms: float | None = None) -> bytes | None:
        """Return the next part of the body, None at its end; raises ExchangeError."""

    def end(self) -> None:
        """Return the connection to the pool, or close it if the answer is incomplete."""


class EndpointCalls(Protocol):
    """Calls to endpoints. All raise ExchangeError if the exchange ends without an answer.

    An endpoint that this node doesn't reach is called through another node that does.
    """

    async def find_fault_site(self, endpoint: ServiceEndpoint, broken: ExchangeError) -> FaultSite:
        """Return whether the endpoint caused a failure, or the path to it."""

    async def send(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> Exchange:
        """Forward a request."""

    async def open_stream(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        left_ms: int,
        hold: KvHold | None,
        handle: KvHandle | None,
        after_event: int | None,
    ) -> Exchange:
        """Send a generation to a decode endpoint.

        With a `handle` the endpoint fetches the prompt's KV cache, without one it prefills itself.
        The stream continues after `after_event`.
        """

    async def take_hold(
        self,
        endpoint: ServiceEndpoint,
        request: CallerRequest,
        tokens: int,
        ttl_ms: int,
        now_ms: int,
        timeout_ms: int,
    ) -> Result[KvHold, NotExecuted]:
        """Reserve a slot and KV memory for a request, for up to `ttl_ms`.

        Raises ExchangeError after `timeout_ms` without an answer.
        """

    async def drop_hold(self, hold: KvHold) -> None:
        """Release an unused hold."""

    async def prefill(
        self, endpoint: ServiceEndpoint, request: CallerRequest, left_ms: int
    ) -> Result[KvHandle, NotExecuted]:
        """Prefill a prompt at a prefill endpoint."""

    async def drop_handle(self, handle: KvHandle) -> None:
        """Release an unused KV handle."""

    async def listens(self, endpoint: ServiceEndpoint) -> bool | None:
        """Return True if the endpoint accepts connections, False if not, None without a reply."""

    async def probe_process(self, endpoint: ServiceEndpoint) -> ProcessState:
        """Return whether the process of an endpoint goes on; never raises ExchangeError."""

    async def identify(self, endpoint: ServiceEndpoint) -> Identification:
        """Return who answers at the address of an endpoint; never raises ExchangeError."""

    async def order_role(
        self, endpoint: ServiceEndpoint, role: Role, holder: str, fence: int, send_until_ms: int
    ) -> Result[None, NotExecuted]:
        """Order an endpoint to change its role, with the fencing token `fence`.

        Raises ExchangeError, also if it can't be sent until `send_until_ms` of the steady clock.
        """


@attrs.frozen
class RelayedRequest:
    """A request for an endpoint that another node doesn't reach, in the endpoint's own form.

    See `RelayRequest` for its fields.
    """

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    request_id: str | None
    reserved: bool
    control_call: bool
    cancels: bool
    left_ms: int


class RelayCalls(Protocol):
    """Sends requests of other nodes to endpoints. Both raise ExchangeError."""

    async def start_relayed(
        self, endpoint: ServiceEndpoint, relayed: RelayedRequest
    ) -> EndpointConnection:
        """Send a request over a direct connection, unless the endpoint accepts none now."""

    async def read_relayed_head(
        self, endpoint: ServiceEndpoint, connection: EndpointConnection, relayed: RelayedRequest
    ) -> ResponseHead:
        """Return the status and headers of its answer."""


class AnswerBody(Protocol):
    """The body of an answer whose status and headers were sent."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body, so that the answer is complete."""


class CallerReply(Protocol):
    """The reply to one caller; `sent_bytes` counts what was written of it."""

    sent_bytes: int

    @property
    def started(self) -> bool:
        """True once status and headers were sent."""

    @property
    def finished(self) -> bool:
        """True once the complete answer was sent."""

    def record_sending(self) -> None:
        """Record that this node has admitted the request, and sends it on."""

    async def start(self, head: AnswerHead) -> AnswerBody:
        """Send status and headers, and return the body to write to."""

    async def refuse(self, status: int, reason: str, retry_after_ms: int | None = None) -> None:
        """Refuse the request; `retry_after_ms` is set if it was not executed."""

    async def wait_disconnected(self) -> None:
        """Return when the caller has disconnected."""

    def cut(self) -> None:
        """Close the connection, so that the answer is seen to be incomplete."""

    async def drain(self) -> None:
        """Return once all written data was passed to the kernel."""

    def disconnect(self) -> None:
        """Close the connection at once and discard data that the caller has not read."""

    @property
    def connection_key(self) -> int:
        """A key of the caller's connection, the same for all answers on it while it is open."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were written and are still in this process."""

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written and not acknowledged by the caller's machine.

        They include those in the kernel's buffers.
        """
