"""One soak: starts everything, plays the faults of a seed, checks what was seen."""

from collections import Counter
from pathlib import Path

import anyio
import attrs

from saffronworks.standins.sites import wait_until
from saffronworks.tests.soak.callers import Caller, DeadlyCaller
from saffronworks.tests.soak.faults import Shape, draw_deadly
from saffronworks.tests.soak.long_callers import LongCaller, PageCaller
from saffronworks.tests.soak.organisations import WIDE_CALLER, holder_of
from saffronworks.tests.soak.planned_faults import draw_all_faults
from saffronworks.tests.soak.promises import check_all
from saffronworks.tests.soak.sites import SoakSite

__all__ = ["SoakResult", "run_soak"]

# A process that the last fault started is ready within this time, also on a busy machine.
READY_LIMIT_S = 20.0
# After that: in touch again, lapsed entries back, circuits closed.
SETTLE_S = 5.0
CALM_S = 3.0
# Reservations lapse within two seconds; work that nobody wants ends before.
EMPTY_LIMIT_S = 4.0


@attrs.frozen
class SoakResult:
    """What broke, in words, and how often callers saw each kind of outcome.

    `stalled_ms` is how long the soak's own process and those of its proxies stood still in all: on
    a busy machine nothing is checked of such times.
    """

    findings: list[str]
    seen: dict[str, int]
    stalled_ms: int = 0


async def run_soak(seed: int, shape: Shape, folder: str) -> SoakResult:
    """Play the faults of a seed; the logs of the nodes stay in the folder."""
    async with anyio.create_task_group() as tasks:
        site = SoakSite(seed, shape, folder, tasks)
        try:
            await site.start()
            await _play(site, draw_all_faults(seed, shape))
            found = check_all(site.records) + [f"memory: {text}" for text in site.memory_in_use()]
            found += [f"census: {text}" for text in site.uncounted_nodes()]
        finally:
            site.end_processes()
            tasks.cancel_scope.cancel()
    if found:
        _write_records(site.records, Path(folder) / "records.txt")
    stalled_ms = int(sum(site.records.stalls_ms))
    return SoakResult(found, _count_outcomes(site.records), stalled_ms)


def _write_records(records, path):
    """Write everything that was seen, a line each, for the trace of a finding."""
    lines = [f"calm from {records.calm_from_ms:.0f}"]
    for seen in (
        records.asked.values(),
        records.ran,
        records.prefilled,
        records.reached,
        records.terminated,
        records.silences,
        records.disturbances,
        records.versions,
        records.restarts,
        records.closed_early,
        records.lags,
        records.starved,
        records.left_ms.items(),
    ):
        lines += map(repr, seen)
    path.write_text("\n".join(lines) + "\n")


def _count_outcomes(records):
    outcomes = (f"{asked.kind}-{asked.status or asked.outcome}" for asked in records.asked.values())
    return dict(sorted(Counter(outcomes).items()))


async def _play(site, drawn):
    over = anyio.Event()
    async with anyio.create_task_group() as callers:
        for number in range(site.shape.callers):
            whose = holder_of(number) if site.organisations else None
            caller = Caller(f"c{number}", site, site.records, site.seed, whose)
            callers.start_soon(caller.run, over.is_set)
        for number in range(site.shape.long_callers):
            whose = holder_of(WIDE_CALLER) if site.organisations else None
            caller = LongCaller(f"l{number}", site, site.records, site.seed, whose)
            callers.start_soon(caller.run, over.is_set)
        for number in range(site.shape.page_callers):
            whose = holder_of(WIDE_CALLER) if site.organisations else None
            caller = PageCaller(f"p{number}", site, site.records, site.seed, whose)
            callers.start_soon(caller.run, over.is_set)
        for deadly in draw_deadly(site.seed, site.shape):
            # The first caller of the organisation whose quota is wide.
            whose = holder_of(WIDE_CALLER) if site.organisations else None
            callers.start_soon(DeadlyCaller(site, deadly, whose).run, over.is_set)
        async with anyio.create_task_group() as striking:
            began_ms = site.now_ms()
            for fault in drawn:
                await anyio.sleep(max(0.0, began_ms + fault.at_ms - site.now_ms()) / 1000)
                striking.start_soon(site.strike, fault)
        if not await wait_until(site.all_ready, READY_LIMIT_S):
            ready = site.ready_nodes()
            site.records.wrong.append(f"ready after the last fault: only nodes {ready}")
        await anyio.sleep(SETTLE_S)
        site.records.calm_from_ms = site.now_ms()
        await anyio.sleep(CALM_S)
        over.set()
    await wait_until(lambda: not site.memory_in_use(), EMPTY_LIMIT_S)
