"""A small stand-in for a model engine, over HTTP on loopback, with faults on demand."""

import enum
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs

import anyio
import attrs
import httpcore
import msgspec
from anyio.abc import TaskGroup

from saffronworks.messages import RequestKey
from saffronworks.standins.standin_models import (
    EngineProfile,
    PrefixCache,
    answer_length,
    answer_token,
    count_tokens,
)
from saffronworks.web import Call, HttpServer, bind

__all__ = ["Fault", "StandinEngine"]

TEXT_KEPT_MS = 5000
TOMBSTONE_KEPT_MS = 60_000


class Fault(enum.StrEnum):
    """What the engine was told to do wrong."""

    NONE = "none"
    STALL = "stall"
    STALL_TRANSFER = "stall-transfer"
    DOUBLE = "double"
    LATE = "late"
    DROP_STREAMS = "drop-streams"


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000


@attrs.define
class _Stream:
    key: RequestKey
    holder: str
    prompt: str
    total: int
    offset: int
    tokens: list[str] = attrs.Factory(list)
    grown: anyio.Event = attrs.Factory(anyio.Event)
    cancelled: bool = False
    ended_ms: int | None = None

    @property
    def running(self) -> bool:
        """Whether it holds a slot and its memory."""
        return self.ended_ms is None

    def end(self) -> None:
        """Give up the slot."""
        self.ended_ms = _now_ms()
        self.wake()

    def wake(self) -> None:
        """Let the readers look again."""
        self.grown.set()
        self.grown = anyio.Event()


@attrs.define
class _Kept:
    key: RequestKey
    tokens: int
    expires_ms: int


class StandinEngine:
    """One engine process in small: prefill, export, decode, resume, cancel, reports, orders."""

    def __init__(
        self, name: str, profile: EngineProfile, address: str = "127.0.0.1:0", role: str = ""
    ):
        self.name = name
        self.first_role = role
        self.checks_fence = True
        self.orders: list[tuple[int, int, str]] = []
        self.profile = profile
        self.fault = Fault.NONE
        self.running_counts: deque[tuple[int, int]] = deque()
        self.dispatches: dict[str, int] = {}
        self.decoded: set[RequestKey] = set()
        self.peers: set[object] = set()
        self.prefill_ms_done = 0.0
        self._listener = bind(address)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self._scope: anyio.CancelScope | None = None
        self._down_ms: int | None = None
        self._tasks: TaskGroup | None = None
        self._alive = False
        self._reset()

    def _reset(self) -> None:
        self.streams: dict[RequestKey, _Stream] = {}
        self.kept: dict[str, _Kept] = {}
        self.tombstones: dict[RequestKey, int] = {}
        self.fence = (0, 0)
        self.role = self.first_role
        self.transfers = 0
        self.prefixes = PrefixCache(self.profile.prefix_tokens)
        self._compute = anyio.Lock()

    async def run(self) -> None:
        """Serve until cancelled or killed; may be run again after `kill`."""
        while True:
            self._down_ms = None
            await self._serve()
            if self._down_ms is None:
                return
            await anyio.sleep(self._down_ms / 1000)

    async def _serve(self) -> None:
        if self._listener.fileno() < 0:
            self._listener = bind(self.address)
        self._reset()
        self._alive = True
        server = HttpServer(self._listener, self._handle)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._scope = tasks.cancel_scope
            tasks.start_soon(server.run)

    def kill(self, down_ms: int | None = None) -> None:
        """Die at once: connections are cut, all memory is gone; come back after `down_ms`."""
        self._down_ms = down_ms
        self._alive = False
        if self._scope is not None:
            self._scope.cancel()
        self.streams.clear()
        self.kept.clear()

    def held(self) -> int:
        """Attempts for which memory is held now: running streams and kept KV results."""
        self._expire()
        return len(self.kept) + sum(1 for stream in self.streams.values() if stream.running)

    def _running(self) -> int:
        return sum(1 for stream in self.streams.values() if stream.running)

    def _expire(self) -> None:
        now_ms = _now_ms()
        for kv_id in [kv_id for kv_id, kept in self.kept.items() if kept.expires_ms <= now_ms]:
            del self.kept[kv_id]
        for key, stream in list(self.streams.items()):
            if stream.ended_ms is not None and now_ms - stream.ended_ms > TEXT_KEPT_MS:
                del self.streams[key]
        while self.tombstones:
            key, at_ms = next(iter(self.tombstones.items()))
            if now_ms - at_ms < TOMBSTONE_KEPT_MS:
                break
            del self.tombstones[key]

    async def _handle(self, call: Call) -> None:
        self._expire()
        match call.method, call.path:
            case "POST", "/engine/prefill":
                await self._prefill(call)
            case "POST", "/engine/export":
                await self._export(call)
            case "POST", "/engine/decode":
                await self._decode(call)
            case "POST", "/engine/resume":
                await self._resume(call)
            case "POST", "/engine/cancel":
                await self._cancel(call)
            case "GET", "/engine/streams":
                await self._list_streams(call)
            case "GET", "/engine/report":
                await self._report(call)
            case "GET", "/engine/events":
                since = int(parse_qs(call.query).get("since", ["0"])[0])
                position, evicted, gap = self.prefixes.events(since)
                await call.reply(200, {"position": position, "evicted": evicted, "gap": gap})
            case "POST", "/engine/orders":
                await self._order(call)
            case "POST", "/standin/kill":
                down_ms = int((await call.json())["down_ms"])
                await call.reply(200, {"down_ms": down_ms})
                self.kill(down_ms)
            case "POST", "/standin/fault":
                self.fault = Fault((await call.json())["fault"])
                await call.reply(200, {"fault": self.fault.value})
            case _:
                await call.reply(404, {"refused": "no such call"})

    async def _prefill(self, call: Call) -> None:
        body = await call.json()
        key = RequestKey(body["request_id"], body["attempt"])
        if key in self.tombstones:
            await call.reply(409, {"refused": "cancelled"})
            return
        if self.role == "decode":
            await call.reply(421, {"refused": "wrong role"})
            return
        self.dispatches[key.request_id] = self.dispatches.get(key.request_id, 0) + 1
        if len(body["answered"]) != body["delivered"]:
            await call.reply(400, {"refused": "tokens of the answer are missing"})
            return
        tokens = count_tokens(body["prompt"]) + body["delivered"]
        due_ms = _now_ms() + body["begin_within_ms"]
        async with self._compute:
            if _now_ms() > due_ms:
                await call.reply(503, {"refused": "deadline passed"})
                return
            prefix_tokens = min(tokens, body["prefix_tokens"])
            cached = min(tokens, self.prefixes.use(body["prefix_key"], prefix_tokens))
            work_ms = self.profile.prefill_ms(tokens, cached)
            await anyio.sleep(work_ms / 1000)
            while self.fault is Fault.STALL and key not in self.tombstones:
                await anyio.sleep(0.02)
            self.prefill_ms_done += work_ms
        if key in self.tombstones:
            await call.reply(409, {"refused": "cancelled", "executed": True})
            return
        if not self._alive:
            return
        kv_id = f"{key.request_id}.{key.attempt}"
        self.kept[kv_id] = _Kept(key, tokens, _now_ms() + self.profile.kv_kept_ms)
        reply = {
            "kv_id": kv_id,
            "prefill_ms": round(work_ms),
            "cached_tokens": cached,
            "expires_in_ms": self.profile.kv_kept_ms,
        }
        await call.reply(200, reply)

    async def _export(self, call: Call) -> None:
        body = await call.json()
        kept = self.kept.pop(body["kv_id"], None)
        if kept is None:
            await call.reply(410, {"refused": "no such kv result"})
            return
        self.transfers += 1
        try:
            while self.fault is Fault.STALL_TRANSFER and kept.key not in self.tombstones:
                await anyio.sleep(0.02)
            await anyio.sleep(self.profile.transfer_ms(kept.tokens, self.transfers) / 1000)
        finally:
            self.transfers -= 1
        await call.reply(200, {"tokens": kept.tokens})

    async def _decode(self, call: Call) -> None:
        body = await call.json()
        key = RequestKey(body["request_id"], body["attempt"])
        if key in self.tombstones or key in self.streams:
            await call.reply(409, {"refused": "cancelled or doubled"})
            return
        if self.role == "prefill":
            await call.reply(421, {"refused": "wrong role"})
            return
        if self._running() >= self.profile.slots:
            await call.reply(503, {"refused": "slots full"})
            return
        if not self._alive:
            # The server's calls outlive its task group for a moment.
            return
        prompt = body["prompt"]
        total = answer_length(prompt, body["max_tokens"])
        stream = _Stream(key, body["holder"], prompt, total, body["offset"])
        self.streams[key] = stream
        self.decoded.add(key)
        self.peers.add(call.peer)
        self._count()
        began_ms = _now_ms()
        imported = False
        with anyio.move_on_after(body["import_within_ms"] / 1000):
            imported = await self._import(body["source"], body["kv_id"])
        if not imported or stream.cancelled:
            stream.end()
            self.streams.pop(key, None)
            self._count()
            await call.reply(410, {"refused": "kv lost"})
            return
        assert self._tasks is not None
        self._tasks.start_soon(self._generate, stream)
        await call.start(200, {"content-type": "application/x-ndjson"})
        await self._write(call, {"imported": True, "transfer_ms": _now_ms() - began_ms})
        await self._follow(call, stream, body["offset"])

    async def _import(self, source: str, kv_id: str) -> bool:
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                response = await pool.request(
                    "POST",
                    f"http://{source}/engine/export",
                    content=msgspec.json.encode({"kv_id": kv_id}),
                    extensions={"timeout": {"connect": 1.0, "read": 30.0}},
                )
            except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
                return False
            return response.status == 200

    async def _generate(self, stream: _Stream) -> None:
        while stream.offset + len(stream.tokens) < stream.total and not stream.cancelled:
            pace_ms = self.profile.pace_ms(self._running())
            await anyio.sleep(pace_ms / 1000)
            if self.fault is Fault.STALL:
                continue
            index = stream.offset + len(stream.tokens)
            stream.tokens.append(answer_token(stream.prompt, index))
            if len(stream.tokens) % self.profile.tokens_per_line == 0:
                stream.wake()
        stream.end()
        self._count()

    async def _follow(self, call: Call, stream: _Stream, offset: int) -> None:
        position = offset - stream.offset
        while not stream.cancelled:
            grown = stream.grown
            fresh = stream.tokens[position:]
            if fresh:
                line = {"offset": stream.offset + position, "tokens": fresh}
                await self._write(call, line)
                if self.fault is Fault.DOUBLE:
                    await self._write(call, line)
                position += len(fresh)
            if self.fault is Fault.DROP_STREAMS:
                call.cut()
                return
            if stream.offset + position >= stream.total:
                await self._write(call, {"done": True, "total": stream.total}, more=False)
                return
            await grown.wait()
            if self.fault is Fault.LATE:
                await anyio.sleep(0.1)
        await self._write(call, {"cancelled": True}, more=False)

    async def _write(self, call: Call, line: dict[str, Any], more: bool = True) -> None:
        await call.write(msgspec.json.encode(line) + b"\n", more)

    async def _resume(self, call: Call) -> None:
        body = await call.json()
        stream = self.streams.get(RequestKey(body["request_id"], body["attempt"]))
        if stream is None or stream.cancelled or body["offset"] < stream.offset:
            await call.reply(404, {"refused": "no such stream"})
            return
        await call.start(200, {"content-type": "application/x-ndjson"})
        await self._follow(call, stream, body["offset"])

    async def _cancel(self, call: Call) -> None:
        body = await call.json()
        key = RequestKey(body["request_id"], body["attempt"])
        self.tombstones[key] = _now_ms()
        self.kept.pop(f"{key.request_id}.{key.attempt}", None)
        stream = self.streams.pop(key, None)
        if stream is not None and stream.running:
            stream.cancelled = True
            stream.end()
            self._count()
        await call.reply(200, {"cancelled": True})

    async def _list_streams(self, call: Call) -> None:
        rows = [
            {"request_id": s.key.request_id, "attempt": s.key.attempt, "holder": s.holder}
            for s in self.streams.values()
            if s.running
        ]
        await call.reply(200, rows)

    def _count(self) -> None:
        self.running_counts.append((_now_ms(), self._running()))
        while len(self.running_counts) > 200:
            self.running_counts.popleft()

    async def _report(self, call: Call) -> None:
        as_of_ms = _now_ms() - self.profile.report_lag_ms
        running = 0
        for at_ms, count in self.running_counts:
            if at_ms <= as_of_ms:
                running = count
        age_ms = self.profile.report_lag_ms
        await call.reply(200, {"running": running, "age_ms": age_ms, "role": self.role})

    async def _order(self, call: Call) -> None:
        body = await call.json()
        fence = (body["fence"], body["sequence"])
        if self.checks_fence and fence < self.fence:
            await call.reply(412, {"refused": "older fence"})
            return
        self.fence = fence
        self.role = body["role"]
        self.orders.append((*fence, self.role))
        await call.reply(200, {"role": self.role})
