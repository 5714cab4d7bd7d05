"""What claims cost the store: the real cores of all shards on virtual time, by claims a second."""

import functools
import random

from saffronworks import claims
from saffronworks.claims import ClaimShard
from tools.fake_engines import Clock

__all__ = ["print_claims"]

RATES = (10, 100, 400, 700)
SECONDS = 10.0
STORE_MS = (4.0, 12.0)
TICK_MS = 50.0
START_MS = 1_000_000.0


class ClaimBench:
    """One home for each shard, and a store that answers within `STORE_MS`."""

    def __init__(self, rate: int):
        self.clock = Clock(START_MS)
        self.rng = random.Random(rate)
        self.shards: dict[str, ClaimShard] = {}
        self.writes = 0
        self.reads = 0
        self.bytes = 0
        self.asked_ms: dict[str, float] = {}
        self.waits_ms: list[float] = []
        at_ms = 0.0
        while at_ms < SECONDS * 1000:
            at_ms += self.rng.expovariate(rate / 1000)
            self.clock.after(at_ms, functools.partial(self._ask, len(self.asked_ms)))
            self.asked_ms[f"r{len(self.asked_ms)}"] = START_MS + at_ms
        self.clock.after(TICK_MS, self._tick)

    def _ask(self, index: int) -> None:
        key = claims.claim_key("o", str(index))
        self._step(claims.shard_of(key), claims.ClaimRequested(key, f"r{index}", "n"))

    def _tick(self) -> None:
        for name in [name for name, state in self.shards.items() if not state.idle]:
            self._step(name, claims.Tick())
        self.clock.after(TICK_MS, self._tick)

    def _step(self, name: str, event: claims.Event) -> None:
        state = self.shards.setdefault(name, ClaimShard())
        for command in claims.step(state, event, int(self.clock.now_ms)):
            match command:
                case claims.Read():
                    self.reads += 1
                    self._reply(name, claims.ReadDone(0, {}))
                case claims.Write():
                    self.writes += 1
                    self.bytes += len(claims.write_records(command.records))
                    self._reply(name, claims.WriteDone(command.expected + 1))
                case claims.Answer():
                    wait_ms = self.clock.now_ms - self.asked_ms[command.request_id]
                    self.waits_ms.append(wait_ms)

    def _reply(self, name: str, event: claims.Event) -> None:
        self.clock.after(self.rng.uniform(*STORE_MS), functools.partial(self._step, name, event))


def print_claims() -> None:
    """Print the table."""
    print(f"Claims: {claims.SHARDS} shards, written each {claims.WRITE_INTERVAL_MS} ms at most.")
    print(
        f"{'claims/s':>8} {'writes/s':>9} {'a claim':>8} {'reads':>6} {'MB/s':>6} "
        f"{'wait p50 ms':>12} {'p99':>7}"
    )
    for rate in RATES:
        bench = ClaimBench(rate)
        bench.clock.run(START_MS + SECONDS * 1000 + 1000)
        waits = sorted(bench.waits_ms)
        print(
            f"{rate:>8} {bench.writes / SECONDS:>9.1f} {bench.writes / len(waits):>8.2f} "
            f"{bench.reads:>6} {bench.bytes / SECONDS / 1e6:>6.2f} "
            f"{waits[len(waits) // 2]:>12.1f} {waits[len(waits) * 99 // 100]:>7.1f}"
        )
