"""Endpoints of a soak: plain ones and engines with memory, handles and faults of their own."""

import asyncio
import contextlib
import json
import random

import attrs

from saffronworks.standins.addresses import free_address
from saffronworks.tests.crashing_servers import CRASHING, CRASHING_PART
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.soak.answer_copies import CopiedAnswers
from saffronworks.tests.soak.answer_lengths import (
    LONG_SERVICE,
    LONG_TOKENS,
    event_count,
    work_s,
)
from saffronworks.tests.soak.organisations import check_endpoint_fields
from saffronworks.tests.soak.records import EndlessAnswer, Ran, Reached, Rejected
from saffronworks.tests.soak.suspensions import SuspendableReader, SuspendableWriter

__all__ = ["Endpoint"]

READ_S = 0.03
EVENT_S = 0.02
# Seconds for an event of long answers at even and at odd endpoints: 5 and 2 ms a token.
LONG_EVENT_S = (0.2, 0.08)
# From the arrival of a deadly content to the end of its endpoint.
DEADLY_RUNS_S = 0.05
HANDLE_TTL_MS = 500
CAPACITY_TOKENS = 40_000
SLOTS = 8
ANSWER_TOKENS = 500
GREY_SHARE = 0.4
GREY_PLAIN = ("error", "reset", "garbage", "extra", "late-extra", "short", "unsigned", "shed")
GREY_STREAM = ("break", "shed", "unframed-break", "error", "restart")
# With crashing parts, endpoints may also answer without a length or chunks.
UNFRAMED = ("unframed",)
# From the first event of an answer on a crashing part to the end of its endpoint.
PART_RUNS_S = 0.1
# Of these, the ones that break off in the middle.
BREAKS = ("break", "unframed-break")


# Share of an endpoint's requests that it answers oddly, and how long a sound one pauses.
ODD_SHARE = 0.4
PAUSE_S = 1.2
# Pieces of answers without end, the pause after each, and the limit where nobody closes.
ENDLESS_PIECES = {
    "endless-head": b"X-More: %s\r\n" % (b"x" * 1000),
    "endless-body": b"3e8\r\n%s\r\n" % (b"x" * 1000),
    "endless-interim": b"HTTP/1.1 100 Continue\r\n\r\n" * 40,
}
ENDLESS_PAUSE_S = 0.002
ENDLESS_LIMIT_S = 12.0
# A number that any product with the tokens of an event takes beyond 64 bits.
SPOILED_EVENT = 900_000_000_000_000_000


@attrs.define
class _Hold:
    tokens: int
    until_ms: float


class Endpoint(CopiedAnswers, FakeServer):
    """One start of an endpoint; `address` is where the store says that it is."""

    def __init__(self, instance, service, stage, records, site, seed, version="v1"):
        super().__init__(instance, service, stage, version)
        self.records = records
        self.site = site
        self.own_address = free_address()
        self.address = self.own_address
        self.grey_until_ms = 0.0
        self.full_until_ms = 0.0
        self.odd = ""
        self.odd_until_ms = 0.0
        self.holds = {}
        self.handles = {}
        self.running = {}
        self.copies_until_ms = self.lapses_until_ms = 0.0
        self.event_s = EVENT_S
        if service == LONG_SERVICE:
            self.event_s = LONG_EVENT_S[int(instance.rpartition("-")[2]) % len(LONG_EVENT_S)]
        self.awake = asyncio.Event()
        self.awake.set()
        self._ended = False
        self._open_runs = []
        self._copies = random.Random(f"{seed}/copies/{instance}")
        self._rng = random.Random(f"{seed}/{instance}")
        self._odds = random.Random(f"{seed}/odd/{instance}")
        self._numbers = 0
        self._writers = set()

    async def run(self):
        host, port = self.own_address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            await server.serve_forever()

    def entry(self, state="ready"):
        return super().entry(state) | {"born": self.starts}

    def restart(self):
        """Another start under the same name: what it held and ran is lost."""
        self.crash()
        self.starts += 1
        self._ended = False
        self.records.restarts.append((self.instance, self.site.now_ms()))
        self.grey_until_ms = self.full_until_ms = self.odd_until_ms = 0.0
        self.copies_until_ms = self.lapses_until_ms = 0.0
        self.limit = self.pause = None
        self.drains = False
        self.awake.set()
        self.holds.clear()
        self.handles.clear()

    def crash(self):
        """Reset every connection until `restart`; what runs is lost."""
        self._ended = True
        for run in self._open_runs:
            run.broke = True
        for writer in list(self._writers):
            self._reset(writer)

    def used_tokens(self):
        """Memory of runs and of reservations that have not lapsed."""
        now_ms = self.site.now_ms()
        self.holds = {key: hold for key, hold in self.holds.items() if hold.until_ms > now_ms}
        return sum(self.running.values()) + sum(hold.tokens for hold in self.holds.values())

    async def _serve(self, reader, writer):
        if self._ended:
            # Its proxy, in another process, has not refused it yet.
            self._reset(writer)
            return
        self._writers.add(writer)
        try:
            await super()._serve(
                SuspendableReader(reader, self.awake, self.site.now_ms),
                SuspendableWriter(writer, self.awake),
            )
        except asyncio.CancelledError:
            # The soak is over; asyncio would report a cancelled connection as an error.
            return
        finally:
            self._writers.discard(writer)

    def _next(self, prefix):
        self._numbers += 1
        return f"{prefix}-{self.instance}-{self._numbers}"

    async def _control(self, writer, method, target):
        writer.request_id = self.seen[-1][2].get("request-id", "")
        name = target.rpartition("/")[2]
        if target.endswith("hold-take"):
            return await self._take_hold(writer)
        if method == "DELETE" and "kv-handle" in target:
            self.handles.pop(name, None)
        elif method == "DELETE":
            self.holds.pop(name, None)
        return await self._reply(writer, 200, {}, b"{}")

    async def _take_hold(self, writer):
        asked = json.loads(self.seen[-1][3])
        now_ms = self.site.now_ms()
        taken = len(self.running) + len(self.holds)
        if self.pause is not None:
            return await self._reject(writer, {})
        full = self.used_tokens() + asked["tokens"] > CAPACITY_TOKENS or taken >= SLOTS
        if full or now_ms < self.full_until_ms:
            return await self._reply(writer, 503, {"Not-Executed": "1"}, b"{}")
        hold = self._next("hold")
        self.holds[hold] = _Hold(asked["tokens"], now_ms + asked["ttl_ms"])
        return await self._reply(writer, 200, {}, json.dumps({"hold": hold}).encode())

    async def _request(self, reader, writer, headers):
        request_id, now_ms, body = headers["request-id"], self.site.now_ms(), self.seen[-1][3]
        writer.request_id, arrived_ms = request_id, reader.arrived_ms
        self.records.wrong += check_endpoint_fields(self.records.asked[request_id], headers)
        self.records.reached.append(Reached(self.instance, request_id, arrived_ms))
        if self.pause is not None:
            return await self._ask_pause(writer, request_id)
        if headers.get("stage") == "prefill":
            return await self._read_prompt(reader, writer, request_id)
        self.records.arrived.append((self.service, request_id, arrived_ms))
        if CRASHING in body:
            await asyncio.sleep(DEADLY_RUNS_S)
            self.site.end_under(self, self.records.deadly_ends_ms)
            return False
        if CRASHING_PART in headers.get("prompt-prefix", ""):
            return await self._crash_under_part(writer, request_id)
        fault = None
        if now_ms < self.grey_until_ms and self._rng.random() < GREY_SHARE:
            faults = GREY_STREAM if self.stage else GREY_PLAIN
            fault = self._rng.choice(faults + UNFRAMED * self.site.shape.parts)
        if now_ms < self.odd_until_ms and self._odds.random() < ODD_SHARE:
            if self.odd in ENDLESS_PIECES:
                return await self._send_without_end(writer, request_id)
            fault = self._odd_fault(request_id)
        if fault == "shed" or now_ms < self.full_until_ms:
            return await self._refuse(writer, request_id)
        if self.stage:
            return await self._generate(reader, writer, headers, fault)
        return await self._answer(reader, writer, request_id, fault)

    def _odd_fault(self, request_id):
        if self.odd == "silence":
            self.records.paused.add(request_id)
            return "silence"
        # A stream that may be resumed would be resumed after its spoiled id.
        return self.odd if self.records.asked[request_id].kind == "gen" else None

    async def _send_without_end(self, writer, request_id):
        """Send a head, a body or interim answers until the connection is closed."""
        sent = EndlessAnswer(request_id, self.instance)
        self.records.endless.append(sent)
        run = self._begin(request_id)
        run.broke = True
        own = {"Request-Id": request_id, "Server-Stamp": f"stamp-{self.instance}"}
        if self.odd == "endless-head":
            writer.write(b"HTTP/1.1 200 OK\r\n")
        elif self.odd == "endless-body":
            await self._head(writer, 200, own | {"Transfer-Encoding": "chunked"})
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ENDLESS_LIMIT_S):
                    await self._write_until_closed(writer, ENDLESS_PIECES[self.odd])
        except ConnectionError:
            sent.closed_ms = self.site.now_ms()
        finally:
            run.ended_ms = self.site.now_ms()
        return False

    async def _write_until_closed(self, writer, piece):
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
        raise ConnectionResetError

    async def _crash_under_part(self, writer, request_id):
        """Write one event, with or without chunks, and end the process."""
        own = {"Request-Id": request_id, "Server-Stamp": f"stamp-{self.instance}"}
        framed, event = self.site.seed % 2, f"id: 1\ndata: {request_id}\n\n".encode()
        await self._head(writer, 200, own | ({"Transfer-Encoding": "chunked"} if framed else {}))
        writer.write(b"%x\r\n%s\r\n" % (len(event), event) if framed else event)
        await writer.drain()
        await asyncio.sleep(PART_RUNS_S)
        self.site.end_under(self, self.records.part_ends_ms)
        return False

    async def _ask_pause(self, writer, request_id):
        node, pause_ms = self.records.asked[request_id].node, 1000 * float(self.pause)
        rejected = Rejected(self.instance, node, self.site.now_ms(), pause_ms)
        self.records.rejected.append(rejected)
        return await self._reject(writer, {"Request-Id": request_id})

    async def _refuse(self, writer, request_id):
        fields = {"Not-Executed": "1", "Request-Id": request_id}
        return await self._reply(writer, 503, fields, b"")

    async def _fail(self, writer, request_id):
        own = {"Request-Id": request_id, "Server-Stamp": f"stamp-{self.instance}"}
        return await self._reply(writer, 500, own, b"failed")

    async def _read_prompt(self, reader, writer, request_id):
        work = Ran(request_id, self.instance, self.service, self.site.now_ms())
        work.arrived_ms = reader.arrived_ms
        self.records.prefilled.append(work)
        try:
            left = await self._leaves(reader, READ_S)
            # A suspended process neither ends its work nor notices that its caller left.
            await self.awake.wait()
        finally:
            work.ended_ms = self.site.now_ms()
        if left:
            return False
        handle = self._next("kv")
        now_ms = self.site.now_ms()
        ttl_ms = 0 if now_ms < self.lapses_until_ms else HANDLE_TTL_MS
        self.handles[handle] = (request_id, now_ms + ttl_ms)
        body = json.dumps({"kv_handle": handle, "tokens": 5}).encode()
        return await self._reply(writer, 200, {"Request-Id": request_id}, body)

    async def _answer(self, reader, writer, request_id, fault):
        run = self._begin(request_id, arrived_ms=reader.arrived_ms)
        run.broke = fault not in (None, "silence")
        try:
            pause_s = PAUSE_S if fault == "silence" else 0.0
            kind = self.records.asked[request_id].kind
            left = await self._leaves(reader, work_s(kind, request_id) + pause_s)
            # A suspended process neither ends its work nor notices that its caller left.
            await self.awake.wait()
        finally:
            self._end(run)
        if left:
            return False
        own = {"Request-Id": request_id, "Server-Stamp": f"stamp-{self.instance}"}
        run.whole = True
        return await self._plain(writer, own, request_id.encode(), fault)

    async def _leaves(self, reader, within_s):
        try:
            return await asyncio.wait_for(reader.read(1), within_s) == b""
        except TimeoutError:
            return False

    def _begin(self, request_id, after_event=0, arrived_ms=None):
        run = Ran(request_id, self.instance, self.service, self.site.now_ms(), after_event)
        run.arrived_ms = arrived_ms
        self.records.ran.append(run)
        self._open_runs.append(run)
        return run

    def _end(self, run):
        run.ended_ms = self.site.now_ms()
        self._open_runs = [other for other in self._open_runs if other is not run]

    async def _generate(self, reader, writer, headers, fault):
        request_id = headers["request-id"]
        hold = self.holds.pop(headers.get("kv-hold", ""), None)
        source = headers.get("kv-source")
        if ("kv-hold" in headers and hold is None) or (
            source and not await self._take_handle(source, request_id)
        ):
            return await self._refuse(writer, request_id)
        prompt_tokens = int(headers["token-counts"].split(",")[0])
        if not hold and self.used_tokens() + prompt_tokens > CAPACITY_TOKENS:
            return await self._refuse(writer, request_id)
        after_event = int(headers.get("last-event-id", 0))
        run = self._begin(request_id, after_event, reader.arrived_ms)
        run.broke = fault not in (None, "silence")
        if fault == "error":
            run.ended_ms = self.site.now_ms()
            return await self._fail(writer, request_id)
        more_tokens = LONG_TOKENS if self.service == LONG_SERVICE else ANSWER_TOKENS
        self.running[request_id] = prompt_tokens + more_tokens
        try:
            run.whole = await self._stream_events(reader, writer, run, fault)
        finally:
            self.running.pop(request_id, None)
            self._end(run)
        return run.whole

    async def _take_handle(self, source, request_id):
        address, _, name = source.rpartition("/")
        reader = self.site.by_address.get(address)
        if reader is not None:
            await reader.awake.wait()
        handle = reader.handles.pop(name, None) if reader else None
        if handle is None or handle[1] < self.site.now_ms():
            return False
        if handle[0] != request_id:
            self.records.wrong.append(f"{request_id} went on from the handle of {handle[0]}")
        return True

    async def _stream_events(self, reader, writer, run, fault):
        own = {"Request-Id": run.request_id, "Server-Stamp": f"stamp-{self.instance}"}
        framed = fault not in ("unframed-break", "unframed")
        own |= {"Transfer-Encoding": "chunked"} if framed else {}
        after_event = 0 if fault == "restart" else run.after_event
        events = event_count(self.records.asked[run.request_id].kind, run.request_id)
        for number in range(after_event + 1, events + 1):
            if await self._leaves(reader, self.event_s):
                return False
            if number == after_event + 1:
                await self._head(writer, 200, own)
            if fault == "silence" and number == events // 2:
                await asyncio.sleep(PAUSE_S)
            if fault == "spoiled-ids" and number > 1:
                return await self._spoil_ids(writer, run)
            text = f"{run.request_id} {number} {self.version}"
            data = f"id: {number}\ndata: {text}\n\n".encode()
            if fault in BREAKS and number == events // 2:
                writer.write(b"%x\r\n%s\r\n" % (6, data[:6]) if framed else data[:6])
                await writer.drain()
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if framed else data)
            await writer.drain()
        if after_event >= events:
            await self._head(writer, 200, own)
        writer.write(b"0\r\n\r\n" if framed else b"")
        await writer.drain()
        writer.busy = False
        return framed

    async def _spoil_ids(self, writer, run):
        """Send events whose ids are far too high, and break off."""
        for number in range(SPOILED_EVENT, SPOILED_EVENT + 3):
            data = f"id: {number}\ndata: {run.request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        return False
