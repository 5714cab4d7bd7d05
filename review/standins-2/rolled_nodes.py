# ruff: noqa: D102, D103, D107
"""Nodes are stopped and started in turn; one that drains begins streams that it then cuts.

The sizes are those of the sheet of `bahaghari-albums`: a token takes 5.1 ms, an event has nine.
"""

import asyncio
import math
import os
import signal
import sys
from pathlib import Path

from lab import Engine, Node, Page, Record, Site, ask_plain, ask_stream

ZONES = ("zone-a", "zone-b")
NODES = {"zone-a": 3, "zone-b": 2}
# Streams a second of the callers of each zone.
PER_S = {"zone-a": 2.0, "zone-b": 1.4}
FIRST_S = 2.0
LASTS_S = 75.0
DRAIN_UNTIL_S = 16.0
# From one SIGTERM to the next; at most two nodes are out at once.
GAP_S = 2.1
MOST_OUT = 2
GRACE_S = 8.0
RESTART_S = 0.5
# A request sent so long after SIGTERM has no excuse.
LATE_S = 3.0
# Plain requests a second of the callers of each zone.
PLAIN_PER_S = {"zone-a": 12.0, "zone-b": 7.0}
# Long answers, up to the longest of the sheet.
LEAST_EVENTS, MOST_EVENTS = 100, 170
STRIDE, MS_PER_TOKEN = 9, 5.1
ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 41191,
    "kv_bytes": 163840,
    "link_mbps": 1600000.0,
    "moves": True,
    "backups": True,
    "stride": STRIDE,
    "most": 12,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "models": [{"name": "m"}],
}


class Platform:
    """Asks each node once a second whether it is ready, and chooses the node of a new connection.

    A node that has missed twice is out until it answers 200 again. Where fewer than half of a
    zone's nodes are in, all of them are used; where none is, those of the other zone.
    """

    def __init__(self, site):
        self._site = site
        self._missed = dict.fromkeys(site.nodes, 0)

    async def watch(self, node):
        while True:
            ready = await node.is_ready()
            missed = 0 if ready else self._missed[node] + 1
            if missed == 2 or (ready and self._missed[node] >= 2):
                self._site.record.note(f"platform: {node.name} is {'in' if ready else 'out'}")
            self._missed[node] = missed
            await asyncio.sleep(1.0)

    def choose(self, zone, client):
        for place in (zone, *(other for other in ZONES if other != zone)):
            nodes = [node for node in self._site.nodes if node.zone == place]
            taken = [node for node in nodes if self._missed[node] < 2]
            if 2 * len(taken) < len(nodes) and taken:
                taken = nodes
            if taken:
                return taken[client % len(taken)]
        return None


async def ask(site, platform, zone):
    request_id = f"{site.rng.getrandbits(64):016x}"
    events = site.rng.randint(LEAST_EVENTS, MOST_EVENTS)
    hint = round(STRIDE * events * math.exp(site.rng.gauss(0, 0.5)))
    site.asked[request_id] = {"pieces": events}
    node = platform.choose(zone, site.rng.getrandbits(32))
    if node is None:
        return
    most_tokens = STRIDE * MOST_EVENTS
    await ask_stream(site, node, "/once/2f", request_id, 3000, most_tokens, hint, 14000)


async def ask_page(site, platform, zone):
    """Send one idempotent request on a new connection."""
    node = platform.choose(zone, site.rng.getrandbits(32))
    if node is not None:
        site.pages += await ask_plain(node, "/page/2f", f"{site.rng.getrandbits(64):016x}", 4000)


async def restart(site, node):
    """Send SIGTERM, SIGKILL after the grace period, and start the node again."""
    site.record.note(f"SIGTERM to {node.name}")
    site.stopped.setdefault(node.name, []).append(site.record.now_s())
    node.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(node.process.wait(), GRACE_S)
    except TimeoutError:
        site.record.note(f"SIGKILL to {node.name}")
        node.signal(signal.SIGKILL)
        await node.process.wait()
    site.record.note(f"{node.name} has ended")
    await asyncio.sleep(RESTART_S)
    site.started.setdefault(node.name, []).append(site.record.now_s())
    await node.start()
    await node.wait_ready()


async def roll(site, until_s):
    """Stop and start the nodes of the first zone in turn, again and again."""
    nodes = [node for node in site.nodes if node.zone == ZONES[0]]
    out = set()
    while site.record.now_s() < until_s:
        for node in site.rng.sample(nodes, len(nodes)):
            while len(out) >= MOST_OUT or any(node is each for _, each in out):
                await asyncio.sleep(0.05)
                out = {(task, each) for task, each in out if not task.done()}
            if site.record.now_s() >= until_s:
                break
            out.add((site.spawn(restart(site, node)), node))
            await asyncio.sleep(GAP_S)
            out = {(task, each) for task, each in out if not task.done()}
    await asyncio.gather(*(task for task, _ in out))


async def send(site, ask_one, platform, zone, per_s, until_s, asked):
    while site.record.now_s() < until_s:
        asked.append(asyncio.create_task(ask_one(site, platform, zone)))
        await asyncio.sleep(site.rng.expovariate(per_s))


async def play(site):
    await site.store.start()
    route = {
        "name": "r-once",
        "host": "llm.example",
        "path_prefix": "/once/",
        "kind": "streaming",
        "timeout_ms": 14000,
        "target_latency_ms": 900,
        "priority": 1,
        "service": "llm",
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_target_ms": 300,
    }
    page = {"name": "r-page", "host": "llm.example", "path_prefix": "/page/"}
    page |= {"kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400}
    page |= {"priority": 2, "service": "web", "max_attempts": 2}
    web = {"name": "web", "health_path": "/health", "max_conns": 100}
    service = {"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1"}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    service |= {"tls": False, "engine": ENGINE}
    config = {"version": 7, "routes": [route, page], "services": [service, web], "limits": limits}
    site.store.put("config", "main", config)
    for stage in ("prefill", "decode", "decode", "decode", "decode"):
        await Engine(site, "llm", stage, MS_PER_TOKEN, STRIDE).start()
    for _ in range(3):
        await Page(site, "web").start()
    for zone in ZONES:
        for number in range(NODES[zone]):
            Node(site, number, zone, ZONES)
    for node in site.nodes:
        await node.start()
    if not all([await node.wait_ready() for node in site.nodes]):
        return False
    platform = Platform(site)
    for node in site.nodes:
        site.spawn(platform.watch(node))
    began_s, asked = site.record.now_s(), []
    until_s = began_s + FIRST_S + LASTS_S
    callers = []
    for zone in ZONES:
        for one, rates in ((ask, PER_S), (ask_page, PLAIN_PER_S)):
            task = send(site, one, platform, zone, rates[zone], until_s, asked)
            callers.append(site.spawn(task))
    await asyncio.sleep(FIRST_S)
    if site.trouble:
        await roll(site, until_s - GRACE_S)
    await asyncio.gather(*callers)
    await asyncio.wait(asked, timeout=DRAIN_UNTIL_S)
    return True


def judge(site):
    """Return the requests that a node took long after its SIGTERM, passed on and cut."""
    lost = []
    for request_id, one in site.asked.items():
        if one.get("whole", True) or request_id not in site.ran:
            continue
        if one["ended_s"] - one["sent_s"] > 13.5:
            continue
        stops = [at for at in site.stopped.get(one["node"], ()) if at < one["sent_s"]]
        starts = [at for at in site.started.get(one["node"], ()) if at < one["sent_s"]]
        if not stops or (starts and starts[-1] > stops[-1]):
            continue
        after_s = one["sent_s"] - stops[-1]
        text = f"{request_id}: sent {after_s:.2f} s after SIGTERM to {one['node']}, cut"
        if after_s > LATE_S:
            lost.append(request_id)
            site.record.note(f"LOST {text}")
        else:
            site.record.note(f"excused {text}")
    served = sum(one.get("whole", False) and one["status"] == 200 for one in site.asked.values())
    stops = sum(map(len, site.stopped.values()))
    site.record.note(
        f"asked {len(site.asked)}, served {served}, pages {site.pages}, SIGTERMs {stops}"
    )
    return served, lost


async def main(folder):
    record = Record(folder / "record.txt")
    seed = int(os.environ.get("SEED", "0")) or int.from_bytes(os.urandom(4))
    site = Site(record, seed, os.environ.get("TROUBLE", "1") != "0")
    site.stopped, site.started = {}, {}
    site.pages = 0
    record.note(f"seed {seed}, trouble {site.trouble}")
    try:
        played = await play(site)
    finally:
        await site.stop()
    served, lost = judge(site)
    if not played or served < len(site.asked) / 2:
        record.note("the case could not run")
        return 2
    print(f"lost: {len(lost)}, served: {served} of {len(site.asked)}")
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1])))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
