"""Soaks by hand: `python -m saffronworks.tests.soak --first=1 --seeds=10`."""

import logging
import os
import sys
import tempfile
from pathlib import Path

import anyio
import attrs
import fire

from saffronworks.tests.soak.faults import Shape
from saffronworks.tests.soak.planned_faults import draw_all_faults, draw_shape
from saffronworks.tests.soak.runs import run_soak
from saffronworks.tests.soak.seeds import (
    FAILED_SEEDS,
    FAILED_WITH_DRAINS,
    FAILED_WITH_LIMITS,
    FAILED_WITH_ORGANISATIONS,
    FAILED_WITH_ROLLS,
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
    turns: bool = False,
    drawn: bool = True,
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
        turns: let turns of the event loops of nodes that a roll stops take long.
        drawn: draw which seeds have planned work alone, or a site as large as allowed.
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
        long_turns=turns,
    )
    broken = 0
    # The first ones were found without these kinds of faults, and stay what they were.
    unrolled = attrs.evolve(
        whole,
        silences=0,
        rolls=0,
        copies=0,
        short_handles=0,
        timeout_changes=0,
        long_callers=0,
        page_callers=0,
        drain_pauses=False,
        long_turns=False,
    )
    unparted = attrs.evolve(unrolled, parts=False)
    unrestored = attrs.evolve(unparted, restores=0, partitions=0, versions=1, releases=0)
    limited = attrs.evolve(unrestored, drains=0, pauses=0)
    unlimited = attrs.evolve(limited, limits=0)
    early = attrs.evolve(unlimited, restarts=0, deadly=False, organisations=False)
    played = [
        (seed, draw_shape(seed, whole) if drawn else whole) for seed in range(first, first + seeds)
    ]
    if failed:
        played = [(seed, early) for seed in sorted(FAILED_SEEDS)]
        played += [(seed, unlimited) for seed in sorted(FAILED_WITH_ORGANISATIONS)]
        played += [(seed, limited) for seed in sorted(FAILED_WITH_LIMITS)]
        played += [(seed, unrestored) for seed in sorted(FAILED_WITH_DRAINS)]
        played += [(seed, draw_shape(seed, whole)) for seed in sorted(FAILED_WITH_ROLLS)]
    for seed, shape in played:
        folder = Path(logs or tempfile.mkdtemp(prefix="soak-")) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        result = anyio.run(run_soak, seed, shape, str(folder))
        found, seen = result.findings, " ".join(f"{k}={v}" for k, v in result.seen.items())
        counts = f"faults={len(draw_all_faults(seed, shape))} findings={len(found)}"
        load = os.getloadavg()[0]
        size = f"load={load:.0f} nodes={shape.nodes} unplanned={int(shape.series)}"
        print(f"seed={seed} {size} {counts} stalled_ms={result.stalled_ms} {seen}", flush=True)
        for finding in found:
            print(f"  {finding}")
        if found:
            broken += 1
            print(f"  logs: {folder}", flush=True)
    print(f"{len(played) - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(soak, serialize=lambda code: None))
