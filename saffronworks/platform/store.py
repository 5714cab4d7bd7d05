"""Client of the platform's object store, with one connection pool and a timeout on every call."""

import logging
import math
import socket
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import anyio
import attrs
import httpcore
import msgspec
from result import Err, Ok, Result

from saffronworks.field_numbers import read_whole, shorten
from saffronworks.forwarding.ports import (
    Conflict,
    HistoryGone,
    Listing,
    ObjectStoreFailure,
    StoredObject,
)
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.json_depth import drop_deep_values
from saffronworks.whole_bodies import OversizedBody, read_body_at_rate
from saffronworks.wire import DECODE_ERRORS

__all__ = ["PlatformStore"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Answers usually take 4 ms; one that exceeds this timeout is considered lost.
ANSWER_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.6
POOL_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 1.0
# The timeouts above are for each read or write. A body has this time, and more for what arrives at
# this rate, 1 Mbit/s: other answers may share a link of 5 Mbit/s.
BODY_TIMEOUT_S = 2.0
MIN_BODY_BYTES_PER_S = 125_000
# A page has 1 MB and one object 1 MiB at most; the changes of a watch may exceed both.
MAX_BODY_BYTES = 8 * 1_048_576
# A watch waits for seconds, and a cut network path closes no connection: keepalive probes detect
# it within two or three seconds.
_KEEP_ALIVE = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
]
# Shortest wait of a watch.
MIN_WAIT_MS = 1
# A page of a listing has about 500 objects; more pages than this indicate an endless loop.
MAX_PAGES = 200
# Header of each answer with the store's epoch. A restore from a backup begins a new epoch.
_EPOCH_FIELD = b"store-era"
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)
# Statuses of a store that serves no calls of this node now.
_UNAVAILABLE = (429, 500, 502, 503, 504)
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@attrs.frozen
class _Metadata:
    name: str
    revision: int = 0


@attrs.frozen
class _Name:
    name: str


@attrs.frozen
class _Named:
    """An object of which only the name is read."""

    metadata: _Name


@attrs.frozen
class _Object:
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")

    def decode(self, epoch: int) -> StoredObject:
        revision = StoreRevision(epoch, self.metadata.revision)
        return StoredObject(self.metadata.name, revision, bytes(self.spec))


@attrs.frozen
class _Page:
    current_rev: int
    items: list[msgspec.Raw] = attrs.Factory(list)
    has_more: bool = False


@attrs.frozen
class _Event:
    object: _Object
    removed: bool = False

    def decode(self, epoch: int) -> StoredObject:
        stored = self.object.decode(epoch)
        return attrs.evolve(stored, content=None) if self.removed else stored


@attrs.frozen
class _Changes:
    current_rev: int
    events: list[msgspec.Raw] = attrs.Factory(list)


@attrs.frozen
class _Reply:
    status: int
    content: bytes
    epoch: int


class PlatformStore:
    """Calls to the store. A malformed reply is a failure with its reason.

    `on_answer` is called when the store has begun to answer a call.
    """

    def __init__(self, address: str, epoch: StoreEpoch):
        self._address = address
        self._epoch = epoch
        self.on_answer: Callable[[], None] = lambda: None
        self._malformed_epoch: bytes | None = None
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8, keepalive_expiry=20, socket_options=_KEEP_ALIVE
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def list_objects(
        self, kind: str, stale: bool = False
    ) -> Result[Listing, ObjectStoreFailure]:
        """Return all objects of a kind, read page by page."""
        objects: list[StoredObject] = []
        revision: StoreRevision | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = [f"after={quote(after)}"] if after else []
            query += ["allow_stale=1"] if stale else []
            reply = await self._call("GET", _path(kind, query=query))
            if isinstance(reply, Err):
                return reply
            page = await _decode(reply.ok_value, _Page)
            if isinstance(page, Err):
                return page
            epoch = reply.ok_value.epoch
            # A watch from the first page's revision returns changes to pages already read.
            revision = revision or StoreRevision(epoch, page.ok_value.current_rev)
            if revision.epoch != epoch:
                return Err(ObjectStoreFailure("the store was restored between two pages"))
            items = page.ok_value.items
            objects += _decode_each(items, _Object, epoch)
            if not page.ok_value.has_more or not items:
                return Ok(Listing(tuple(objects), revision))
            last = _last_name(items)
            if last is None or last == after:
                return Err(ObjectStoreFailure("a page of the listing names no object"))
            after = last
        return Err(ObjectStoreFailure("the listing has too many pages"))

    async def watch(
        self, kind: str, revision: StoreRevision, wait_ms: int
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes since a revision, at the first one or after `wait_ms` without any."""
        path = _path(kind, query=[f"watch={revision.number}", f"wait_ms={wait_ms}"])
        reply = await self._call("GET", path, wait_ms / 1000 + ANSWER_TIMEOUT_S)
        if isinstance(reply, Err):
            return Err(reply.err_value)
        if reply.ok_value.status == 410:
            return Err(HistoryGone())
        changes = await _decode(reply.ok_value, _Changes)
        if isinstance(changes, Err):
            return Err(changes.err_value)
        epoch = reply.ok_value.epoch
        events = _decode_each(changes.ok_value.events, _Event, epoch)
        return Ok(Listing(tuple(events), StoreRevision(epoch, changes.ok_value.current_rev)))

    async def read_changes(
        self, kind: str, revision: StoreRevision
    ) -> Result[Listing, HistoryGone | ObjectStoreFailure]:
        """Return the changes between a revision and this call."""
        return await self.watch(kind, revision, MIN_WAIT_MS)

    async def create(
        self, kind: str, name: str, content: bytes
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Write a new object; returns a Conflict if one of this name exists."""
        body = _encode(name, content, None)
        return await _read_written(await self._call("POST", _path(kind), content=body))

    async def replace(
        self, kind: str, name: str, content: bytes, revision: StoreRevision
    ) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
        """Write an object if it is still at this revision; otherwise returns a Conflict."""
        body = _encode(name, content, revision.number)
        return await _read_written(await self._call("PUT", _path(kind, name), content=body))

    async def remove(self, kind: str, name: str) -> Result[None, ObjectStoreFailure]:
        """Remove an object; succeeds if there is none."""
        reply = await self._call("DELETE", _path(kind, name))
        if isinstance(reply, Err):
            return reply
        status = reply.ok_value.status
        return Ok(None) if status in (200, 202, 204, 404) else Err(_rejected(reply.ok_value))

    async def _call(
        self, method: str, path: str, timeout_s: float = ANSWER_TIMEOUT_S, content: bytes = b""
    ) -> Result[_Reply, ObjectStoreFailure]:
        headers = [(b"host", self._address.encode())]
        if content:
            headers += [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(content)).encode()),
            ]
        timeout = {
            "connect": CONNECT_TIMEOUT_S,
            "read": timeout_s,
            "write": WRITE_TIMEOUT_S,
            "pool": POOL_TIMEOUT_S,
        }
        url = f"http://{self._address}{path}"
        writes = method != "GET"
        try:
            with anyio.fail_after(sum(timeout.values())) as head:
                call = self._pool.stream(
                    method, url, headers=headers, content=content, extensions={"timeout": timeout}
                )
                async with call as response:
                    head.deadline = math.inf
                    if response.status not in _UNAVAILABLE:
                        self.on_answer()
                    body = await read_body_at_rate(
                        response, MAX_BODY_BYTES, BODY_TIMEOUT_S, MIN_BODY_BYTES_PER_S
                    )
        except _NOT_SENT as error:
            return Err(ObjectStoreFailure(type(error).__name__))
        except OversizedBody as error:
            logger.warning("event=store_answer_oversized path=%s problem=%r", path, str(error))
            return Err(ObjectStoreFailure("oversized", applied=writes))
        except _TRANSPORT_ERRORS as error:
            cut = not isinstance(error, httpcore.TimeoutException | TimeoutError)
            return Err(ObjectStoreFailure(type(error).__name__, applied=writes, cut=cut))
        return Ok(_Reply(response.status, body, self._read_epoch(response.headers)))

    def _read_epoch(self, headers: list[tuple[bytes, bytes]]) -> int:
        """Return the epoch of an answer; without the header, the newest one known, or 0."""
        values = [value for name, value in headers if name.lower() == _EPOCH_FIELD]
        read = [read_whole(value.decode("latin-1")).ok() for value in values]
        if values and None in read and self._malformed_epoch != values[0]:
            self._malformed_epoch = values[0]
            logger.error("event=store_epoch_malformed found=%r", shorten(repr(values)))
        reported = max((epoch for epoch in read if epoch is not None), default=0)
        newest = self._epoch.observe(reported)
        return reported or newest


def _path(kind: str, name: str = "", query: list[str] | None = None) -> str:
    path = f"/saffronworks/objects/{quote(kind, safe='')}"
    path += f"/{quote(name, safe='')}" if name else ""
    return path + ("?" + "&".join(query) if query else "")


def _encode(name: str, content: bytes, revision: int | None) -> bytes:
    metadata: dict[str, object] = {"name": name}
    if revision is not None:
        metadata["revision"] = revision
    return msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(content)})


def _rejected(reply: _Reply) -> ObjectStoreFailure:
    return ObjectStoreFailure(f"status {reply.status}")


async def _decode(reply: _Reply, kind: type[T]) -> Result[T, ObjectStoreFailure]:
    if reply.status != 200:
        return Err(_rejected(reply))
    try:
        return Ok(await _decode_bounded(reply.content, kind))
    except DECODE_ERRORS as error:
        return Err(ObjectStoreFailure(f"malformed: {error}"))


async def _decode_bounded(content: bytes, kind: type[T]) -> T:
    """Decode an answer without values that are nested too deeply; raises `DECODE_ERRORS`.

    One such value, in any object, would make the whole answer unreadable.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except RecursionError:
        # In another thread: the event loop must not wait for a large answer.
        bounded = await anyio.to_thread.run_sync(drop_deep_values, content)
        logger.warning(
            "event=store_values_dropped reason=nested-too-deeply bytes=%d of=%d",
            len(content) - len(bounded),
            len(content),
        )
        return msgspec.json.decode(bounded, type=kind)


def _last_name(items: list[msgspec.Raw]) -> str | None:
    """Return the name of the last object of a page whose name can be read."""
    for item in reversed(items):
        try:
            return msgspec.json.decode(item, type=_Named).metadata.name
        except DECODE_ERRORS:
            continue
    return None


def _decode_each(
    items: list[msgspec.Raw], kind: type[_Object] | type[_Event], epoch: int
) -> list[StoredObject]:
    """Decode the objects of a page; a malformed one is logged and left out."""
    objects = []
    for item in items:
        try:
            objects.append(msgspec.json.decode(item, type=kind).decode(epoch))
        except DECODE_ERRORS as error:
            logger.error(
                "event=object_unreadable problem=%r start=%r", str(error), bytes(item)[:80]
            )
    return objects


async def _read_written(
    reply: Result[_Reply, ObjectStoreFailure],
) -> Result[StoredObject, Conflict | ObjectStoreFailure]:
    if isinstance(reply, Err):
        return Err(reply.err_value)
    status, content = reply.ok_value.status, reply.ok_value.content
    if status not in (200, 201, 409):
        return Err(_rejected(reply.ok_value))
    try:
        found = await _decode_bounded(content, _Object)
        stored: StoredObject | None = found.decode(reply.ok_value.epoch)
    except DECODE_ERRORS as error:
        if status != 409:
            return Err(ObjectStoreFailure(f"malformed: {error}", applied=True))
        logger.info("event=conflict_unreadable error=%r", str(error))
        stored = None
    if status == 409:
        return Err(Conflict(stored))
    assert stored is not None
    return Ok(stored)
