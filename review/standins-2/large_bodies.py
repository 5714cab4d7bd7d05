# ruff: noqa: D102, D103
"""Many callers come at once with bodies within the limit, and a node outgrows its memory.

The platform's stand-in kills a process that goes over `memory_mb`, and starts it again.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

from lab import Node, Page, Record, Site, _read_body

MEMORY_MB = 150
# The limit of the configuration, which callers keep within.
BODY_BYTES = 4_194_304
# Requests a second at the node; a burst has 2.2 times as many for 4 s.
PER_S = 11
BURST_X = 2.2
BURST_S = 4.0
ROUNDS = 2
CALM_S = 6.0
WORK_S = 0.9
DEADLINE_MS = 3000


class Upload(Page):
    """A plain server that notes what it runs."""

    async def handle(self, wire, request):
        request_id = request[2].get("request-id", "")
        if request_id in self.site.asked:
            self.site.ran.setdefault(request_id, []).append((self.name, self.site.record.now_s()))
        return await super().handle(wire, request)


def resident_mb(pid):
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


async def watch_memory(site, node):
    """Kill the process above its limit, as the platform does, and start it again."""
    while True:
        used_mb = resident_mb(node.process.pid)
        site.most_mb = max(site.most_mb, used_mb)
        if used_mb > MEMORY_MB:
            site.killed.append(site.record.now_s())
            site.record.note(f"platform kills {node.name}: {used_mb:.0f} MB of {MEMORY_MB}")
            node.process.kill()
            await node.process.wait()
            await asyncio.sleep(0.5)
            await node.start()
        await asyncio.sleep(0.01)


async def ask(site, node, kept):
    """Send one request that can't be repeated on a kept connection, or on a new one."""
    request_id = f"{site.rng.getrandbits(64):016x}"
    one = site.asked[request_id] = {"status": 0, "whole": False}
    lines = ["POST /up/2f HTTP/1.1", "Host: web.example", f"Request-Id: {request_id}"]
    lines += [f"Deadline-Ms: {DEADLINE_MS}", f"Content-Length: {BODY_BYTES}", "", ""]
    connection = kept.pop() if kept else None
    one["kept"] = connection is not None
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            if connection is None:
                connection = await asyncio.open_connection(node.ip, node.front)
            reader, writer = connection
            writer.write("\r\n".join(lines).encode() + b"x" * BODY_BYTES)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            one["status"] = int(head.split(b" ", 2)[1])
            _, one["whole"] = await _read_body(reader, head)
            if b"connection: close" not in head:
                kept.append(connection)
                connection = None
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        one["error"] = repr(error)
    finally:
        if connection is not None:
            connection[1].close()
    site.record.note(f"{request_id}: {one}")


async def send(site, node, per_s, for_s, asked, kept):
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        asked.append(asyncio.create_task(ask(site, node, kept)))
        await asyncio.sleep(1 / per_s)


async def play(site):
    await site.store.start()
    route = {"name": "r-up", "host": "web.example", "path_prefix": "/up/"}
    route |= {"kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1200}
    route |= {"priority": 2, "service": "web", "max_attempts": 1}
    service = {"name": "web", "health_path": "/health", "max_conns": 100}
    limits = {"max_header_bytes": 16384, "max_body_bytes": BODY_BYTES}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    config = {"version": 7, "routes": [route], "services": [service], "limits": limits}
    site.store.put("config", "main", config)
    for _ in range(3):
        await Upload(site, "web", WORK_S).start()
    node = Node(site, 0)
    await node.start()
    if not await node.wait_ready():
        return False
    await asyncio.sleep(1.0)
    site.spawn(watch_memory(site, node))
    asked, kept = [], []
    for _ in range(ROUNDS):
        await send(site, node, PER_S, CALM_S, asked, kept)
        site.record.note(f"most memory so far: {site.most_mb:.0f} MB")
        x = BURST_X if site.trouble else 1.0
        await send(site, node, PER_S * x, BURST_S, asked, kept)
        site.record.note(f"most memory so far: {site.most_mb:.0f} MB")
    await asyncio.gather(*asked)
    return True


def judge(site):
    cut = [
        name
        for name, one in site.asked.items()
        if name in site.ran and not one["whole"] and "Timeout" not in one.get("error", "")
    ]
    kept = [name for name in cut if site.asked[name]["kept"]]
    served = sum(one["status"] == 200 and one["whole"] for one in site.asked.values())
    site.record.note(
        f"asked {len(site.asked)}, served {served}, killed {len(site.killed)}, run and cut "
        f"{len(cut)}, of these on kept connections {len(kept)}, most memory {site.most_mb:.0f} MB"
    )
    return served, kept


async def main(folder):
    record = Record(folder / "record.txt")
    seed = int(os.environ.get("SEED", "0")) or int.from_bytes(os.urandom(4))
    site = Site(record, seed, os.environ.get("TROUBLE", "1") != "0")
    site.killed, site.most_mb = [], 0.0
    record.note(f"seed {seed}, trouble {site.trouble}")
    try:
        played = await play(site)
    finally:
        await site.stop()
    served, kept = judge(site)
    if not played or served < len(site.asked) / 4:
        record.note("the case could not run")
        return 2
    print(f"killed: {len(site.killed)}, lost on kept connections: {len(kept)}, served: {served}")
    return 1 if len(kept) > 3 else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1])))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
