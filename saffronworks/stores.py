"""The adapter to the platform's object API, with a circuit and jittered backoff."""

import random
from typing import TypeVar
from urllib.parse import quote

import anyio
import attrs
import httpcore
import msgspec
from result import Err, Ok, Result

from saffronworks.budgets import ReadBudget
from saffronworks.clocks import monotonic_ms
from saffronworks.documents import Document
from saffronworks.whole_bodies import read_whole_body
from saffronworks.wire import DECODE_ERRORS, Whole

__all__ = ["CONFIG_PREFIX", "Moved", "StoreClient", "StoreFailure", "WatchReply"]

# What every node has in force lies below this; claims, which only one reads, do not.
CONFIG_PREFIX = "config/"
TIMEOUT_S = 2.0
# All documents below a prefix are listed in one answer.
MAX_BODY_BYTES = 64 * 1_048_576
FIRST_BACKOFF_MS = 200
LONGEST_BACKOFF_MS = 10_000
_NETWORK = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)
_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


@attrs.frozen
class StoreFailure:
    """No answer; `applied` is False only when a write cannot have taken effect."""

    reason: str
    applied: bool


@attrs.frozen
class Moved:
    """A conditional write found another version."""

    version: Whole


@attrs.frozen
class _Object:
    key: str
    version: Whole
    value: str
    revision: Whole


@attrs.frozen
class WatchReply:
    """Objects that changed since a revision, and the revision now."""

    revision: Whole
    objects: tuple[_Object, ...]

    def documents(self) -> tuple[Document, ...]:
        """The objects as documents."""
        return tuple(Document(item.key, item.version, item.value) for item in self.objects)


@attrs.frozen
class _Version:
    version: Whole


_Kind = TypeVar("_Kind", _Object, _Version, WatchReply)


class StoreClient:
    """Calls to the object API. After failures it waits, longer each time, with jitter."""

    def __init__(self, address: str, rng: random.Random, reads_per_s: int):
        self.budget = ReadBudget(reads_per_s)
        self._address = address
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=8, keepalive_expiry=20)
        self._failures = 0
        self.calls = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    def backoff_ms(self) -> int:
        """How long to wait before the next call; 0 after a success."""
        if self._failures == 0:
            return 0
        longest = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(self._failures, 10))
        return self._rng.randint(longest // 2, longest)

    async def get(self, key: str) -> Result[Document | None, StoreFailure]:
        """One object, None when there is none."""
        reply = await self._call("GET", f"/objects/{quote(key)}")
        if isinstance(reply, Err):
            return reply
        status, content = reply.ok_value
        if status == 404:
            return Ok(None)
        read = _decode(content, _Object, applied=False)
        return read.map(lambda item: Document(item.key, item.version, item.value))

    async def put(self, key: str, value: str, if_version: int) -> Result[int, Moved | StoreFailure]:
        """Write if the version is still `if_version` (0: no object yet); the new version."""
        path = f"/objects/{quote(key)}?if_version={if_version}"
        reply = await self._call("PUT", path, value.encode())
        if isinstance(reply, Err):
            return Err(reply.err_value)
        status, content = reply.ok_value
        read = _decode(content, _Version, applied=status != 409)
        if isinstance(read, Err):
            return Err(read.err_value)
        version = read.ok_value.version
        return Err(Moved(version)) if status == 409 else Ok(version)

    async def list(self, prefix: str = CONFIG_PREFIX) -> Result[WatchReply, StoreFailure]:
        """All objects below a prefix."""
        return await self._objects(f"/objects?prefix={quote(prefix)}", TIMEOUT_S)

    async def watch(self, since: int, timeout_ms: int) -> Result[WatchReply, StoreFailure]:
        """Wait until something changes after revision `since`, or for `timeout_ms`."""
        path = f"/watch?prefix={CONFIG_PREFIX}&since={since}&timeout_ms={timeout_ms}"
        return await self._objects(path, timeout_ms / 1000 + TIMEOUT_S)

    async def _objects(self, path: str, timeout_s: float) -> Result[WatchReply, StoreFailure]:
        reply = await self._call("GET", path, timeout_s=timeout_s)
        if isinstance(reply, Err):
            return reply
        return _decode(reply.ok_value[1], WatchReply, applied=False)

    async def _call(
        self, method: str, path: str, content: bytes = b"", timeout_s: float = TIMEOUT_S
    ) -> Result[tuple[int, bytes], StoreFailure]:
        if method == "GET":
            await anyio.sleep(self.budget.take(monotonic_ms()) / 1000)
        self.calls += 1
        timeout = {"connect": TIMEOUT_S, "read": timeout_s, "pool": TIMEOUT_S}
        url = f"http://{self._address}{path}"
        failure: StoreFailure
        try:
            # Timeouts of httpcore are for each read or write.
            with anyio.fail_after(sum(timeout.values()) + TIMEOUT_S):
                call = self._pool.stream(
                    method, url, content=content, extensions={"timeout": timeout}
                )
                async with call as response:
                    body = await read_whole_body(response, MAX_BODY_BYTES)
            if response.status < 500:
                self._failures = 0
                return Ok((response.status, body))
            failure = StoreFailure(f"status {response.status}", applied=method == "PUT")
        except _NOT_SENT as error:
            failure = StoreFailure(type(error).__name__, applied=False)
        except _NETWORK as error:
            failure = StoreFailure(type(error).__name__, applied=method == "PUT")
        self._failures += 1
        return Err(failure)


def _decode(content: bytes, kind: type[_Kind], applied: bool) -> Result[_Kind, StoreFailure]:
    """Decode a reply; a malformed one is a failure."""
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except DECODE_ERRORS as error:
        return Err(StoreFailure(f"malformed: {error}", applied))
