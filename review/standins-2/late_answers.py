# ruff: noqa: D102, D103, D107
"""A second copy of an answer 'not run' arrives late, and the request runs again elsewhere.

Handles lapse at once at the prefill servers, so decode servers answer 503 with Not-Executed. A few
of these answers come a second time, up to 0.3 s later, on the same connection.
"""

import asyncio
import os
import sys
from pathlib import Path

from lab import Engine, Node, Record, Site, ask_stream

NODES = 8
SERVICES = 6
# Services at whose prefill server handles lapse at once: 4 of 12 model servers.
LAPSING = 4
PER_S = 42
LASTS_S = 104.0
FIRST_S = 4.0
# The disruptions last 5 s each time, one right after the other.
FOR_S = 5.0
ROUNDS = 20
# Share of the answers of the servers concerned that come a second time.
EXTRA_SHARE = 0.03
DELAY_S = (0.05, 0.5)
ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 89474,
    "kv_bytes": 18432,
    "link_mbps": 700000.0,
    "moves": True,
    "backups": True,
    "stride": 63,
    "most": 12,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "models": [{"name": "m"}],
}


class FaultyEngine(Engine):
    """Handles lapse at once, and some refusals come again, while the disruptions last."""

    lapses = False
    repeats = False

    def _in_trouble(self):
        now_s = self.site.record.now_s() - self.site.began_s - FIRST_S
        return self.site.trouble and 0 < now_s < ROUNDS * FOR_S

    def lifetime_s(self, request_id):
        return 0.0 if self.lapses and self._in_trouble() else self.handle_ttl_s

    def refuse(self, wire, request_id):
        super().refuse(wire, request_id)
        self.site.refused += 1
        wire.answering = False
        chance = self.site.rng.random()
        if self.repeats and self._in_trouble() and chance < EXTRA_SHARE:
            self.site.spawn(self._repeat(wire, request_id))

    async def _repeat(self, wire, request_id):
        await asyncio.sleep(self.site.rng.uniform(*DELAY_S))
        # Between two answers only: an answer that has begun is sent to its end.
        if getattr(wire, "answering", False) or wire.writer.is_closing():
            return
        self.site.extra += 1
        self.site.record.note(f"server {self.name} sends the 503 of {request_id} again")
        wire.answer(503, {"Request-Id": request_id, "Not-Executed": "1"})

    async def _stream(self, wire, request_id, after):
        wire.answering = True
        try:
            return await super()._stream(wire, request_id, after)
        finally:
            wire.answering = False


async def ask(site, number):
    request_id = f"{site.rng.getrandbits(64):016x}"
    prompt_tokens, pieces = site.rng.randint(4000, 8000), site.rng.randint(2, 6)
    site.asked[request_id] = {"pieces": pieces}
    most_tokens, hint = 63 * 8, 63 * pieces
    node = site.rng.choice(site.nodes)
    await ask_stream(
        site,
        node,
        f"/once{number % SERVICES}/2f",
        request_id,
        prompt_tokens,
        most_tokens,
        hint,
        14000,
    )


async def play(site):
    await site.store.start()
    routes, services = [], []
    for number in range(SERVICES):
        name = f"llm{number}"
        route = {"name": f"r-{name}", "host": "llm.example", "path_prefix": f"/once{number}/"}
        route |= {"kind": "streaming", "timeout_ms": 14000, "target_latency_ms": 900}
        route |= {"priority": 1, "service": name, "max_attempts": 1, "sticky": True}
        routes.append(route | {"resumable": False, "gap_target_ms": 300})
        service = {"name": name, "health_path": "/health", "max_conns": 360}
        services.append(service | {"protocol": "h1", "tls": False, "engine": ENGINE})
        for stage in ("prefill", "decode"):
            engine = FaultyEngine(site, name, stage, 0.65, 63, 55.0)
            engine.lapses = stage == "prefill" and number < LAPSING
            engine.repeats = stage == "decode"
            await engine.start()
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    config = {"version": 7, "routes": routes, "services": services, "limits": limits}
    site.store.put("config", "main", config)
    nodes = [Node(site, number) for number in range(NODES)]
    for node in nodes:
        await node.start()
    if not all([await node.wait_ready() for node in nodes]):
        return False
    site.began_s = site.record.now_s()
    asked = []
    for number in range(int(LASTS_S * PER_S)):
        asked.append(asyncio.create_task(ask(site, number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.wait_for(asyncio.gather(*asked), 20)
    return True


def judge(site):
    """Return the requests that ran twice, and those refused as not run that have run."""
    twice = [name for name, runs in site.ran.items() if len(runs) > 1]
    denied = [name for name, one in site.asked.items() if one.get("status") in (408, 421, 429, 503)]
    refused = [name for name in denied if name in site.ran]
    served = sum(one.get("whole", False) and one["status"] == 200 for one in site.asked.values())
    site.record.note(
        f"asked {len(site.asked)}, served {served}, refused by servers {site.refused}, "
        f"answers sent again {site.extra}"
    )
    for name in twice:
        site.record.note(f"TWICE {name}: {site.ran[name]}")
    for name in refused:
        site.record.note(f"REFUSED {name}: status {site.asked[name]['status']}, has run")
    return served, twice, refused


async def main(folder):
    record = Record(folder / "record.txt")
    seed = int(os.environ.get("SEED", "0")) or int.from_bytes(os.urandom(4))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(record, seed, trouble)
    site.extra = site.refused = 0
    site.began_s = 0.0
    record.note(f"seed {seed}, trouble {trouble}")
    try:
        played = await play(site)
    finally:
        if os.environ.get("KEEP_LOGS"):
            for node in site.nodes:
                log = Path(site.folder.name) / f"{node.name}.log"
                (folder / f"{node.name}.log").write_bytes(log.read_bytes())
        await site.stop()
    served, twice, refused = judge(site)
    if not played or served < len(site.asked) / 4:
        record.note("the case could not run")
        return 2
    print(f"ran twice: {len(twice)}, refused though run: {len(refused)}, served: {served}")
    return 1 if twice or refused else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1])))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
