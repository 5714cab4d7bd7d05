# ruff: noqa: D102, D103
"""A server crashes in the middle of its answers and is back after a tenth of a second.

Its answers have no length and end with their connection, as the pages allow.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from lab import ROOT, Node, Record, Site, _read_body, free_port

NODES = 3
SERVERS = 4
CRASHES = 6
ROUND_S = 5.0
DOWN_S = 0.1
BODY_BYTES = 4000
WORK_S = 1.0
HEARTBEAT_S = 1.2
REQUESTS = 24


class Server:
    """One address of a service, and the process that serves it."""

    def __init__(self, site):
        self.site = site
        self.port = free_port("127.0.0.1")
        self.name = ""
        self.process = None

    async def start(self):
        """Start another incarnation; its entry follows once it listens."""
        self.name = f"i-{self.site.rng.getrandbits(40):010x}"
        program = ROOT / "review" / "standins-2" / "page_server.py"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-S",
            "-I",
            program,
            str(self.port),
            self.name,
            str(BODY_BYTES),
            str(WORK_S),
        )
        until_s = time.monotonic() + 5
        while time.monotonic() < until_s:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            writer.close()
            break
        entry = {"service": "web", "address": f"127.0.0.1:{self.port}", "zone": "zone-a"}
        entry |= {"version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "sequence": 1}
        self.site.store.put("servers", self.name, entry)
        self.site.record.note(f"server {self.name} listens at {self.port}")

    async def crash(self):
        """End the process; its entry goes after three heartbeats without a write."""
        gone = self.name
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.site.record.note(f"server {gone} was killed")
        self.site.spawn(self._forget(gone))
        await asyncio.sleep(DOWN_S)
        await self.start()

    async def _forget(self, name):
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.site.store.remove("servers", name)

    def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


async def ask(site, node):
    """Send one request that can't be repeated; record whether a whole 200 has the whole body."""
    request_id = f"{site.rng.getrandbits(64):016x}"
    head_lines = ["POST /once/2f HTTP/1.1", "Host: web.example", f"Request-Id: {request_id}"]
    text = "\r\n".join([*head_lines, "Deadline-Ms: 4000", "Content-Length: 2", "", "{}"])
    status, data, whole, stamp = 0, b"", False, b""
    try:
        async with asyncio.timeout(4.5):
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            try:
                writer.write(text.encode())
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                status = int(head.split(b" ", 2)[1])
                stamp = b"".join(one for one in head.split(b"\r\n") if b"server-stamp" in one)
                data, whole = await _read_body(reader, head)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    site.answers[request_id] = (status, whole, len(data), stamp.decode())
    site.record.note(f"{request_id} at {node.name}: {status}, whole {whole}, {len(data)} bytes")


async def play(site):
    await site.store.start()
    route = {"name": "r-once", "host": "web.example", "path_prefix": "/once/"}
    route |= {"kind": "non_idempotent", "timeout_ms": 4000, "target_latency_ms": 400}
    route |= {"priority": 2, "service": "web", "max_attempts": 1}
    service = {"name": "web", "health_path": "/health", "max_conns": 100}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    config = {"version": 7, "routes": [route], "services": [service], "limits": limits}
    site.store.put("config", "main", config)
    for _ in range(SERVERS):
        site.pages.append(Server(site))
        await site.pages[-1].start()
    nodes = [Node(site, number) for number in range(NODES)]
    for node in nodes:
        await node.start()
    if not all([await node.wait_ready() for node in nodes]):
        return False
    await asyncio.sleep(1.0)
    for number in range(CRASHES):
        asked = [asyncio.create_task(ask(site, nodes[each % NODES])) for each in range(REQUESTS)]
        await asyncio.sleep(WORK_S / 2)
        if site.trouble:
            await site.pages[number % SERVERS].crash()
        await asyncio.gather(*asked)
        await asyncio.sleep(ROUND_S)
    return True


def judge(site):
    """Return the answers that look complete without the server's whole body."""
    short = []
    for request_id, (status, whole, size, stamp) in site.answers.items():
        if status == 200 and whole and size < BODY_BYTES:
            short.append(request_id)
            site.record.note(f"MIXED {request_id}: {size} of {BODY_BYTES} bytes, {stamp}")
    served = sum(whole and size == BODY_BYTES for _, whole, size, _ in site.answers.values())
    site.record.note(f"asked {len(site.answers)}, served {served}, short {len(short)}")
    return served, short


async def main(folder):
    record = Record(folder / "record.txt")
    seed = int(os.environ.get("SEED", "0")) or int.from_bytes(os.urandom(4))
    site = Site(record, seed, os.environ.get("TROUBLE", "1") != "0")
    site.pages, site.answers = [], {}
    record.note(f"seed {seed}, trouble {site.trouble}")
    try:
        played = await play(site)
    finally:
        for server in site.pages:
            server.end()
        await site.stop()
    served, short = judge(site)
    if not played or served < len(site.answers) / 2:
        record.note("the case could not run")
        return 2
    print(f"short answers that look whole: {len(short)}, served: {served} of {len(site.answers)}")
    return 1 if short else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1])))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
