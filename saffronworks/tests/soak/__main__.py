"""Soaks by hand: `python -m saffronworks.tests.soak --first=1 --seeds=10`."""

import logging
import sys
import tempfile
from pathlib import Path

import anyio
import attrs
import fire

from saffronworks.tests.soak.faults import Shape, draw_faults
from saffronworks.tests.soak.runs import run_soak
from saffronworks.tests.soak.seeds import (
    FAILED_SEEDS,
    FAILED_WITH_DRAINS,
    FAILED_WITH_LIMITS,
    FAILED_WITH_ORGANISATIONS,
)


def soak(
    first: int = 1,
    seeds: int = 1,
    failed: bool = False,
    faults_ms: int = Shape().faults_ms,
    nodes: int = Shape().nodes,
    callers: int = Shape().callers,
    restores: int = Shape().restores,
    partitions: int = Shape().partitions,
    engines: int = Shape().engines,
    releases: int = Shape().releases,
    logs: str = "",
) -> int:
    """Play seeds one after the other; 1 when one of them broke a promise.

    Args:
        first: the first seed.
        seeds: how many, one after the other.
        failed: play the seeds that failed once instead.
        faults_ms: over how long faults begin.
        nodes: how many node processes.
        callers: how many callers, each with a connection of its own.
        restores: how often the store is restored from a copy.
        partitions: how often some nodes, or all, lose their paths to all endpoints.
        engines: how many engines, two thirds of them for decode.
        releases: how often an engine gets another version of its software.
        logs: a folder that keeps the logs of the nodes of seeds that failed; else a temporary one.
    """
    # The store is a stand-in whose waiting calls end with the soak; uvicorn reports each of them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    whole = Shape(
        nodes=nodes,
        callers=callers,
        faults_ms=faults_ms,
        restores=restores,
        partitions=partitions,
        engines=engines,
        releases=releases,
    )
    broken = 0
    # The first ones were found without these kinds of faults, and stay what they were.
    unparted = attrs.evolve(whole, parts=False)
    unrestored = attrs.evolve(unparted, restores=0, partitions=0, versions=1, releases=0)
    limited = attrs.evolve(unrestored, drains=0, pauses=0)
    unlimited = attrs.evolve(limited, limits=0)
    early = attrs.evolve(unlimited, restarts=0, deadly=False, organisations=False)
    played = [(seed, whole) for seed in range(first, first + seeds)]
    if failed:
        played = [(seed, early) for seed in sorted(FAILED_SEEDS)]
        played += [(seed, unlimited) for seed in sorted(FAILED_WITH_ORGANISATIONS)]
        played += [(seed, limited) for seed in sorted(FAILED_WITH_LIMITS)]
        played += [(seed, unrestored) for seed in sorted(FAILED_WITH_DRAINS)]
    for seed, shape in played:
        folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = anyio.run(run_soak, seed, shape, str(folder))
        found, seen = result.findings, " ".join(f"{k}={v}" for k, v in result.seen.items())
        counts = f"faults={len(draw_faults(seed, shape))} findings={len(found)}"
        print(f"seed={seed} {counts} stalled_ms={result.stalled_ms} {seen}", flush=True)
        for finding in found:
            print(f"  {finding}")
        if found:
            broken += 1
            print(f"  logs: {folder}", flush=True)
    print(f"{len(played) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(soak, serialize=lambda code: None))
