"""Time per decision over the number of endpoints that a bundle names."""

import random
import time

import attrs

from saffronworks.bundles import Bundle, Endpoint, Model, Pool, Role
from saffronworks.messages import Ask, Grant, Prefilled, Release, RequestKey
from saffronworks.owner import cell_events, cells
from saffronworks.ownership import Cell, choose_owner, split_pool
from saffronworks.routes import choose_cell

__all__ = ["measure_decisions", "print_decisions"]

SIZES = (5, 50, 500, 10_000)
ROUNDS = 1500
SLOTS = 8
MODEL = Model("m", "p", ttft_ms=2000, patience_ms=8000)


@attrs.frozen
class DecisionTimes:
    """Microseconds per request: choice of cell at the entry, all steps at the owner."""

    endpoints: int
    cells: int
    entry_p50_us: float
    entry_p99_us: float
    owner_p50_us: float
    owner_p99_us: float


def make_cells(endpoints: int) -> tuple[Cell, ...]:
    """The cells of a pool of that many endpoints, two in five for prefill."""
    items = tuple(
        Endpoint(
            f"e{index}",
            "127.0.0.1:1",
            f"z{index % 17}",
            Role.PREFILL if index % 5 < 2 else Role.DECODE,
            SLOTS,
        )
        for index in range(endpoints)
    )
    pool = Pool("p", items)
    bundle = Bundle("b", (MODEL,), (pool,))
    return tuple(split_pool(bundle, pool))


def measure_decisions(endpoints: int) -> DecisionTimes:
    """Run requests through one busy cell out of all and time each part."""
    pool_cells = make_cells(endpoints)
    rng = random.Random(endpoints)
    state = cells.new_cell(pool_cells[0], "owner", 60_000, 0, 0)
    members = [f"n{index}" for index in range(max(3, min(320, endpoints // 6)))]
    outstanding: dict[str, int] = {}
    owners: dict[str, str | None] = {}
    entry_us: list[float] = []
    owner_us: list[float] = []
    running: list[RequestKey] = []
    for index in range(ROUNDS):
        now_ms = index * 10
        began = time.perf_counter_ns()
        cell = choose_cell(pool_cells, outstanding, rng)
        if cell.name not in owners:
            owners[cell.name] = choose_owner(members, cell.name)
        entry_us.append((time.perf_counter_ns() - began) / 1000)
        key = RequestKey(f"r{index}", 1)
        began = time.perf_counter_ns()
        _pass_through(state, key, running, now_ms)
        owner_us.append((time.perf_counter_ns() - began) / 1000)
    entry_us.sort()
    owner_us.sort()
    return DecisionTimes(
        endpoints,
        len(pool_cells),
        entry_us[ROUNDS // 2],
        entry_us[ROUNDS * 99 // 100],
        owner_us[ROUNDS // 2],
        owner_us[ROUNDS * 99 // 100],
    )


def _pass_through(
    state: cells.CellState, key: RequestKey, running: list[RequestKey], now_ms: int
) -> None:
    ask = Ask(key, "n", state.cell.name, "m", f"o{now_ms % 7}", 3000, "x", 200, 1, 0)
    commands = cells.step(state, ask, now_ms)
    for command in commands:
        if isinstance(command, cell_events.SendMessage) and isinstance(command.message, Grant):
            granted = command.message.key
            cells.step(state, Prefilled(granted, "n", state.cell.name, 9, 0, 800), now_ms)
            running.append(granted)
    decoders = sum(1 for e in state.cell.endpoints if e.role is Role.DECODE)
    if len(running) > decoders * SLOTS * 3 // 4:
        done = running.pop(0)
        release = Release(
            done, "n", state.cell.name, output_tokens=90, decode_ms=2000, finished=True
        )
        cells.step(state, release, now_ms)


def print_decisions() -> None:
    """Print the table; the owner's time must not grow with the fleet."""
    print("Time per request's decisions (ask, prefilled and release at the owner), microseconds.")
    print(
        f"{'endpoints':>9} {'cells':>6} {'entry p50':>10} {'p99':>8} {'owner p50':>10} {'p99':>8}"
    )
    first: DecisionTimes | None = None
    for size in SIZES:
        times = measure_decisions(size)
        first = first or times
        print(
            f"{times.endpoints:>9} {times.cells:>6} {times.entry_p50_us:>10.1f} "
            f"{times.entry_p99_us:>8.1f} {times.owner_p50_us:>10.1f} {times.owner_p99_us:>8.1f}"
            f"   owner p50 / that at {first.endpoints}: "
            f"{times.owner_p50_us / first.owner_p50_us:.2f}"
        )
