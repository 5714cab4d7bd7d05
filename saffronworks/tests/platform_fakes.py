"""Fakes of the users' platform: servers with scripted faults, callers and settings files."""

import asyncio
import contextlib
import itertools
import json
import socket
import struct
import time

from saffronworks.standins.addresses import free_address

__all__ = ["BOUNDS", "HEALTH_PATH", "FakeServer", "fetch", "free_port_range", "settings_text"]

# Faults of a stream, besides `break-N`, which breaks it inside event N, and `stall-N`, which sends
# nothing from event N on.
STREAM_FAULTS = (
    None,
    "error",
    "error-break",
    "unframed",
    "unframed-break",
    "unframed-none",
    "no-content",
    "sized-break",
    "sized-wide",
    "repeat",
    "gap",
    "half",
    "ping",
    "long-id",
)
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_slack": 2000,
    "budget_window_s": 10,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "fencing_enforced": False,
    "quota_window_s": 1,
    "quota_overage": 0.1,
    "quota_slack": 12,
}
HEALTH_PATH = "/health"
# Every answer must end and its connection be closed within this time.
READ_LIMIT_S = 5.0


class FakeServer:
    """A server of the platform on raw sockets; `script` lists the faults of the next requests."""

    def __init__(self, instance, service, stage=None, version="v1"):
        self.instance = instance
        self.version = version
        self.service = service
        self.stage = stage
        self.zone = "z1"
        self.address = free_address()
        self.script = []
        self.seen = []
        self.ran = []
        self.left = []
        self.connections = 0
        self.work_s = 0.0
        self.read_s = 0.0
        self.events = 3
        # Pause after each event of a stream in chunks.
        self.event_s = 0.0
        self.full = False
        # The rate limit that answers advertise, in requests per second.
        self.limit = None
        # Whether all answers state that the server drains.
        self.drains = False
        # The text of Retry-After in a 503 to each request; None to serve requests.
        self.pause = None
        # Whether it rejects each prompt that it is to prefill.
        self.rejects_prompts = False
        # Arrival times of calls of any kind.
        self.arrived_s = []
        self.starts = 1
        # Seconds of silence before the next step of a kind; the server goes on afterwards.
        self.silences = {}
        # The readers of the connections on which requests came, by id.
        self.callers = {}
        self._late = []
        self._holds = itertools.count(1)

    def entry(self, state="ready"):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "state": state,
        }
        entry |= {"version": self.version, "slots": 4, "cold_left_ms": 0, "sequence": 1}
        entry |= {"born": self.starts} if self.starts > 1 else {}
        return entry | ({"stage": self.stage} if self.stage else {})

    def restart(self):
        """Restart under the same name and address; requests in flight are never answered."""
        self.starts += 1
        self.seen, self.ran, self.script = [], [], []
        self.work_s = self.read_s = 0.0

    async def run(self):
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        async with server:
            await server.serve_forever()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        lines = raw.decode().split("\r\n")
        method, target, _ = lines[0].split(" ")
        pairs = [line.split(": ", 1) for line in lines[1:] if line]
        headers = {key.lower(): value for key, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.seen.append((method, target, headers, body))
        self.arrived_s.append(time.monotonic())
        if headers.get("expect-instance") != self.instance:
            return await self._reply(writer, 421, {"Instance-Id": self.instance}, b"")
        if target.startswith("/saffronworks/"):
            return await self._control(writer, method, target)
        if target == HEALTH_PATH:
            return await self._reply(writer, 200, {"Instance-Id": self.instance}, b"")
        return await self._request(reader, writer, headers)

    async def _reject(self, writer, own):
        """Reject a request, with a Retry-After if `pause` is set."""
        pause = {} if self.pause is None else {"Retry-After": self.pause}
        return await self._reply(writer, 503, {"Not-Executed": "1"} | own | pause, b"")

    async def _be_silent(self, step):
        if step in self.silences:
            await asyncio.sleep(self.silences.pop(step))

    async def _control(self, writer, method, target):
        if target.endswith("hold-take"):
            await self._be_silent("hold")
        if target.endswith("hold-take") and self.pause is not None:
            return await self._reject(writer, {})
        if target.endswith("hold-take") and not self.full:
            # Each reservation has an id of its own; it tells the start that granted it.
            hold = b"h%d-%d" % (self.starts, next(self._holds))
            return await self._reply(writer, 200, {}, b'{"hold":"%s"}' % hold)
        return await self._reply(writer, 503 if method == "POST" else 200, {}, b"{}")

    async def _request(self, reader, writer, headers):
        if self.seen[-1][0] == "HEAD":
            own = {"Request-Id": headers["request-id"], "Server-Stamp": "s", "Content-Length": "2"}
            await self._head(writer, 200, own)
            return True
        request_id = headers["request-id"]
        self.callers[request_id] = reader
        if self.pause is not None:
            return await self._reject(writer, {"Request-Id": request_id})
        if headers.get("stage") == "prefill" and self.rejects_prompts:
            return await self._reject(writer, {"Request-Id": request_id})
        if headers.get("stage") == "prefill":
            await asyncio.sleep(self.read_s)
            await self._be_silent("prefill")
            body = json.dumps({"kv_handle": "k-" + request_id, "tokens": 5}).encode()
            return await self._reply(writer, 200, {"Request-Id": request_id}, body)
        fault = self.script.pop(0) if self.script else None
        if fault == "shed":
            return await self._reply(writer, 503, {"Not-Executed": "1"}, b"")
        self.ran.append(request_id)
        if self.work_s and await self._caller_left(reader):
            self.left.append(request_id)
            return False
        await self._be_silent("answer")
        own = {"Request-Id": request_id, "Server-Stamp": f"stamp-{self.instance}"}
        if self.stage:
            return await self._stream(writer, own, fault)
        return await self._plain(writer, own, request_id.encode(), fault)

    async def _caller_left(self, reader):
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(reader.read(1), self.work_s) == b""
        return False

    async def _plain(self, writer, own, body, fault):
        match fault:
            case "reset":
                self._reset(writer)
                return False
            case "garbage":
                writer.write(b"NOT AN ANSWER\r\n\r\n")
                await writer.drain()
                return False
            case "error":
                return await self._reply(writer, 500, own, b"failed")
            case "busy-run":
                return await self._reply(writer, 503, own, b"failed")
            case "unsigned":
                return await self._reply(writer, 200, {"Request-Id": own["Request-Id"]}, body)
            case "encoded":
                return await self._reply(writer, 200, own | {"Content-Encoding": "gzip"}, body)
            case "short":
                await self._head(writer, 200, own | {"Content-Length": str(len(body) + 5)})
                writer.write(body)
                await writer.drain()
                return False
            case "unframed" | "unframed-reset":
                await self._head(writer, 200, own)
                writer.write(body)
                await writer.drain()
                if fault == "unframed-reset":
                    await asyncio.sleep(0.05)
                    self._reset(writer)
                return False
            case "extra":
                await self._reply(writer, 200, own, body)
                return await self._reply(writer, 200, own, body)
            case "late-extra":
                self._late.append((own, body))
                return await self._reply(writer, 200, own, body)
        for old_own, old_body in self._late:
            await self._reply(writer, 200, old_own, old_body)
        self._late.clear()
        return await self._reply(writer, 200, own, body)

    async def _stream(self, writer, own, fault):
        assert fault in STREAM_FAULTS or fault.startswith(("break-", "stall-")), fault
        if fault == "error":
            return await self._reply(writer, 500, own, b"failed")
        if fault == "error-break":
            await self._head(writer, 500, own | {"Transfer-Encoding": "chunked"})
            writer.write(b"6\r\nfailed\r\n")
            await writer.drain()
            return False
        if fault == "unframed-break":
            await self._head(writer, 200, own)
            writer.write(f"id: 1\ndata: {self.instance}\n\nid: 2\nda".encode())
            await writer.drain()
            return False
        after = int(self.seen[-1][2].get("last-event-id", 0))
        if fault == "unframed-none":
            await self._head(writer, 200, own)
            return False
        if fault == "no-content":
            await self._head(writer, 204, own)
            return True
        if fault in ("sized-break", "sized-wide"):
            return await self._stream_sized(writer, own, fault, after)
        if fault == "unframed":
            await self._head(writer, 200, own)
            for number in range(after + 1, self.events + 1):
                writer.write(f"id: {number}\ndata: {self.instance}\n\n".encode())
            await writer.drain()
            return False
        await self._head(writer, 200, own | {"Transfer-Encoding": "chunked"})
        after += {"repeat": -1, "gap": 1}.get(fault, 0)
        ends_at = fault and fault.startswith(("break-", "stall-"))
        breaks_at = int(fault.partition("-")[2]) if ends_at else None
        if fault == "half":
            writer.write(b"8\r\nid: 3\nda\r\n0\r\n\r\n")
            await writer.drain()
            return True
        if fault == "ping":
            writer.write(b"8\r\n: ping\n\n\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        if fault == "long-id":
            data = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        return await self._stream_events(writer, fault, after, breaks_at)

    async def _stream_events(self, writer, fault, after, breaks_at):
        """Send events in chunks, up to the one at which the stream breaks or stalls."""
        for number in range(after + 1, self.events + 2):
            if number > after + 1:
                await self._be_silent("event")
            data = f"id: {number}\ndata: {self.instance}\n\n".encode()
            if number == breaks_at and fault.startswith("stall-"):
                await asyncio.sleep(READ_LIMIT_S)
                return False
            if number == breaks_at:
                writer.write(b"%x\r\n%s\r\n" % (6, data[:6]))
                await writer.drain()
                await asyncio.sleep(0.02)
                return False
            if number <= self.events:
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _stream_sized(self, writer, own, fault, after):
        """Send a stream with a length: broken after event 1, or with events of twice the size."""
        lines = [f"id: {number}\ndata: " for number in range(after + 1, self.events + 1)]
        width = 64 if fault == "sized-wide" else 32
        events = [(line + "x" * (width - 2 - len(line)) + "\n\n").encode() for line in lines]
        whole = b"".join(events)
        await self._head(writer, 200, own | {"Content-Length": str(len(whole))})
        for event in events[:1] if fault == "sized-break" else events:
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(0.02)
        return fault == "sized-wide"

    async def _head(self, writer, status, headers):
        if self.limit is not None:
            headers = headers | {"Server-Limit": self.limit}
        if self.drains:
            headers = headers | {"Server-Leaving": "1"}
        lines = [f"HTTP/1.1 {status} X", *(f"{key}: {value}" for key, value in headers.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await writer.drain()

    async def _reply(self, writer, status, headers, body):
        await self._head(writer, status, headers | {"Content-Length": str(len(body))})
        writer.write(body)
        await writer.drain()
        return True

    def _reset(self, writer):
        raw = writer.get_extra_info("socket")
        # A connection that the peer has just reset is already closed.
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def fetch(
    address, method, target, headers, body=b"", leaves_after_s=None, limit_s=READ_LIMIT_S
):
    """Send one request on a new connection; returns the raw bytes until it is closed.

    With `leaves_after_s` the caller disconnects after that time; otherwise a connection that is
    open after `limit_s` is a failure.
    """
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = {"Connection": "close", "Content-Length": str(len(body)), **headers}
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    raw = b""
    try:
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(leaves_after_s or limit_s):
                while chunk := await reader.read(65536):
                    raw += chunk
    except TimeoutError:
        assert leaves_after_s, f"no end after {limit_s} s: {raw!r}"
    finally:
        writer.close()
    return raw


def free_port_range():
    """Return the first and the last of two successive free ports."""
    ports = [int(free_address().rpartition(":")[2])]
    while len(ports) < 2:
        port = int(free_address().rpartition(":")[2])
        ports = [*ports, port] if port == ports[-1] + 1 else [port]
    return ports


def settings_text(store_address, **changes):
    """Return a settings file of the platform; `changes` replaces top-level fields."""
    callers, probes = free_address(), free_address()
    fields = {
        "node_name": "front-z1-1",
        "ip": "127.0.0.1",
        "zone": "z1",
        "listen": {"front": callers, "ready": probes},
        "port_range": free_port_range(),
        "heartbeat_ms": 1200,
        "first_start": True,
        "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 150},
        "a_new_field": {"of": "the platform"},
        "bounds": BOUNDS,
        "platform": {"address": store_address, "writes_per_s": 400, "reads_per_s": 2000},
    }
    return json.dumps(fields | changes)
