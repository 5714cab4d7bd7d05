"""Slopes of whole daemons: relay cost, idle cost and memory, by real processes on loopback."""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import attrs
import httpcore
import yaml

from saffronworks.standins.addresses import free_address
from saffronworks.standins.callers import LoadPlan, ask, run_load
from saffronworks.standins.sites import REGION, ZONES, Site, SiteShape
from saffronworks.standins.standin_models import EngineProfile

__all__ = ["MEASURES", "measure_idle", "measure_idle_endpoints"]

IDLE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 2.0


@attrs.define
class Daemon:
    """One `saffrond` process and what the system counts of it."""

    process: subprocess.Popen[bytes]
    caller_address: str

    def cpu_s(self) -> float:
        """User and system time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_bytes(self) -> int:
        """Resident memory now."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES


class Rig:
    """Stand-ins in this process, daemons in others."""

    def __init__(self, site: Site, folder: Path):
        self.site = site
        self.folder = folder
        self.daemons: list[Daemon] = []

    async def start(self, count: int) -> None:
        """Start daemons and wait until each serves."""
        record = {"text": self.site.bundle_text(), "sign_off_id": "c", "signed_by": "capacity"}
        self.site.store.put("config/bundles/letters", json.dumps(record))
        settings = [self._settings(index) for index in range(count)]
        rows = [
            {"name": s["name"], "address": s["peer_address"], "zone": s["zone"], "region": REGION}
            for s in settings
        ]
        self.site.store.put("config/vms", json.dumps(rows))
        for item in settings:
            path = self.folder / f"{item['name']}.yaml"
            path.write_text(yaml.safe_dump(item), encoding="utf-8")
            command = [sys.executable, "-m", "saffronworks.daemon", "--settings", str(path)]
            self.daemons.append(Daemon(subprocess.Popen(command), str(item["caller_address"])))
        for daemon in self.daemons:
            await _until_serving(daemon.caller_address)

    def _settings(self, index: int) -> dict[str, object]:
        return {
            "name": f"entry-{index + 1}",
            "zone": ZONES[index % len(ZONES)],
            "region": REGION,
            "caller_address": free_address(),
            "admin_address": free_address(),
            "peer_address": free_address(),
            "store_address": self.site.store.address,
            "log_level": "ERROR",
        }

    def stop(self) -> None:
        """End the daemons that were started here."""
        for daemon in self.daemons:
            daemon.process.kill()
            daemon.process.wait()


async def _until_serving(address: str) -> None:
    with anyio.fail_after(30):
        while True:
            async with httpcore.AsyncConnectionPool() as pool:
                if (await ask(pool, address, "ready?", 8)).whole:
                    return
            await anyio.sleep(0.1)


def _with_rig(
    shape: SiteShape, count: int, play: Callable[[Rig], Awaitable[dict[str, float]]]
) -> dict[str, float]:
    async def run() -> dict[str, float]:
        found: dict[str, float] = {}
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                site = Site(tasks, shape)
                await site.start(sign_off=False)
                rig = Rig(site, Path(folder))
                try:
                    await rig.start(count)
                    await anyio.sleep(SETTLE_S)
                    found = await play(rig)
                finally:
                    rig.stop()
                tasks.cancel_scope.cancel()
        return found

    return anyio.run(run)


async def _watch_idle(rig: Rig) -> tuple[float, float, float]:
    """Processor share in percent and memory in MB of a daemon, and store calls a second of all."""
    count = len(rig.daemons)
    store = rig.site.store
    calls = store.reads + store.watches
    before = [daemon.cpu_s() for daemon in rig.daemons]
    began_s = time.monotonic()
    await anyio.sleep(IDLE_S)
    passed_s = time.monotonic() - began_s
    used = sum(daemon.cpu_s() for daemon in rig.daemons) - sum(before)
    memory = sorted(daemon.memory_bytes() for daemon in rig.daemons)
    cpu_percent = 100 * used / count / passed_s
    store_calls = (store.reads + store.watches - calls) / passed_s
    return cpu_percent, memory[count // 2] / 1e6, store_calls


def measure_idle() -> dict[str, float]:
    """Idle processor share, memory and store calls of daemons, at 1, 3 and 7 nodes."""
    found: dict[str, float] = {}

    async def play(rig: Rig) -> dict[str, float]:
        count = len(rig.daemons)
        cpu_percent, memory_mb, store_calls = await _watch_idle(rig)
        return {
            f"idle_cpu_percent_at_{count}_nodes": cpu_percent,
            f"idle_memory_mb_at_{count}_nodes": memory_mb,
            f"idle_store_calls_per_s_at_{count}_nodes": store_calls,
        }

    for count in (1, 3, 7):
        found.update(_with_rig(SiteShape(nodes=0), count, play))
    return found


def measure_idle_endpoints() -> dict[str, float]:
    """Idle processor share and memory of one daemon that owns 5 and 15 endpoints."""
    found: dict[str, float] = {}
    for prefills, decodes in ((2, 3), (6, 9)):
        count = prefills + decodes

        async def play(rig: Rig, count: int = count) -> dict[str, float]:
            cpu_percent, memory_mb, _ = await _watch_idle(rig)
            return {
                f"idle_cpu_percent_at_{count}_endpoints": cpu_percent,
                f"idle_memory_mb_at_{count}_endpoints": memory_mb,
            }

        shape = SiteShape(nodes=0, prefills=prefills, decodes=decodes)
        found.update(_with_rig(shape, 1, play))
    return found


def _relay_shape(tokens_per_line: int) -> SiteShape:
    profile = EngineProfile(
        slots=64,
        step_ms=2.0,
        step_growth=0.0,
        prefill_base_ms=1.0,
        prefill_tokens_per_s=1e6,
        tokens_per_line=tokens_per_line,
    )
    return SiteShape(nodes=0, profile=profile, ttft_ms=20_000, patience_ms=60_000, max_tokens=2000)


async def _measure_load(daemon: Daemon, plan: LoadPlan) -> tuple[float, int, int]:
    before = daemon.cpu_s()
    answers = await run_load([daemon.caller_address], plan)
    used_s = daemon.cpu_s() - before
    return used_s, sum(answer.tokens for answer in answers if answer.whole), len(answers)


def measure_relay() -> dict[str, float]:
    """Processor time per token and per request of one daemon, for three ways of load."""
    found: dict[str, float] = {}

    async def play_many(rig: Rig) -> dict[str, float]:
        daemon = rig.daemons[0]
        short = LoadPlan(300, 8.0, letter_characters=2000, max_tokens=8)
        long = LoadPlan(60, 8.0, letter_characters=2000, max_tokens=1200, seed=2)
        short_s, short_tokens, short_count = await _measure_load(daemon, short)
        long_s, long_tokens, long_count = await _measure_load(daemon, long)
        # Two loads, two unknowns: cost per request and cost per token.
        ratio = long_count / short_count
        per_token_s = (long_s - ratio * short_s) / (long_tokens - ratio * short_tokens)
        per_request_s = (short_s - per_token_s * short_tokens) / short_count
        line = rig.site.shape.profile.tokens_per_line
        return {
            f"relay_us_per_token_{line}_per_line": 1e6 * per_token_s,
            f"relay_us_per_request_{line}_per_line": 1e6 * per_request_s,
            f"relay_tokens_per_s_per_core_{line}_per_line": 1 / per_token_s,
        }

    async def play_one(rig: Rig) -> dict[str, float]:
        daemon = rig.daemons[0]
        before = daemon.cpu_s()
        tokens = 0
        async with httpcore.AsyncConnectionPool() as pool:
            for index in range(4):
                prompt = f"one caller {index} {random.Random(index).random()}"
                answer = await ask(pool, daemon.caller_address, prompt, 1500)
                tokens += answer.tokens
        return {"relay_us_per_token_one_caller": 1e6 * (daemon.cpu_s() - before) / tokens}

    for tokens_per_line in (1, 4, 16):
        found.update(_with_rig(_relay_shape(tokens_per_line), 1, play_many))
    found.update(_with_rig(_relay_shape(1), 1, play_one))
    return found


def measure_live_memory() -> dict[str, float]:
    """Memory for each live streaming request of a whole daemon, from two sizes."""

    async def play(rig: Rig) -> dict[str, float]:
        daemon = rig.daemons[0]
        sizes = []
        counts = (20, 150)
        for count in counts:
            async with anyio.create_task_group() as tasks:
                plan = LoadPlan(count, 1.0, letter_characters=4000, max_tokens=1500, seed=count)
                tasks.start_soon(run_load, [daemon.caller_address], plan)
                await anyio.sleep(2.5)
                sizes.append(daemon.memory_bytes())
                tasks.cancel_scope.cancel()
            await anyio.sleep(1.0)
        return {"live_memory_kb_per_request": (sizes[1] - sizes[0]) / 1e3 / (counts[1] - counts[0])}

    profile = EngineProfile(slots=64, step_ms=20.0, step_growth=0.0, prefill_tokens_per_s=1e6)
    shape = SiteShape(nodes=0, profile=profile, patience_ms=60_000, max_tokens=2000)
    return _with_rig(shape, 1, play)


MEASURES = (measure_idle, measure_relay, measure_live_memory)
