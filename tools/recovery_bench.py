"""Times of recovery on a small real site (tasks and sockets in one process), by nodes."""

import time
from collections.abc import Callable

import anyio
import attrs

from saffronworks.nodes import Node
from saffronworks.standins.callers import Answer, LoadPlan, expected_answer, run_load
from saffronworks.standins.sites import Site, SiteShape, wait_until
from saffronworks.standins.standin_models import EngineProfile

__all__ = ["measure_recovery", "print_recovery"]

SIZES = (3, 8)
HEARTBEAT_MS = 500
LEASE_MS = 3000
TOKENS = 60
LONG_TOKENS = 4000
LIMIT_S = 20.0
WARM_UP_S = 1.0
PATIENCE_MS = 20_000
PROFILE = EngineProfile(slots=6, step_ms=10.0)


@attrs.define
class Recovery:
    """Seconds until each recovery, and what went wrong with answers of live nodes."""

    nodes: int
    owner_back_s: float = 0.0
    memory_free_s: float = 0.0
    answers: int = 0
    lost: int = 0
    wrong: int = 0
    told_not_run: int = 0


def _find_owner(site: Site) -> Node:
    return next(node for node in site.nodes if node.owner.states)


async def _time_until(condition: Callable[[], bool]) -> float:
    began_s = time.monotonic()
    await wait_until(condition, limit_s=LIMIT_S)
    return time.monotonic() - began_s


async def _kill_owner(site: Site, found: Recovery) -> None:
    """The owner dies under a load through the other nodes."""
    owner = _find_owner(site)
    others = [node for node in site.nodes if node is not owner]
    answers: list[Answer] = []

    async def load() -> None:
        plan = LoadPlan(150, 30.0, letter_characters=200, max_tokens=TOKENS)
        answers.extend(await run_load([node.caller_address for node in others], plan))

    def granted() -> bool:
        states = [state for node in others for state in node.owner.states.values()]
        return any(state.granted for state in states)

    async with anyio.create_task_group() as both:
        both.start_soon(load)
        await anyio.sleep(WARM_UP_S)
        owner.kill()
        found.owner_back_s = await _time_until(granted)
    found.answers = len(answers)
    found.told_not_run = sum(1 for answer in answers if answer.outcome == "not-run")
    whole = [answer for answer in answers if answer.whole]
    found.wrong = sum(1 for a in whole if a.text != expected_answer(a.prompt, TOKENS))
    found.lost = len(answers) - len(whole) - found.told_not_run


async def _kill_entry(site: Site, found: Recovery) -> None:
    """An entry node dies under long streams of its own callers."""
    victim = next(node for node in site.nodes if not node.owner.states)
    await wait_until(lambda: site.engine_memory_held() == 0, limit_s=LIMIT_S)
    async with anyio.create_task_group() as tasks:
        plan = LoadPlan(8, 5.0, letter_characters=200, max_tokens=LONG_TOKENS)
        tasks.start_soon(run_load, [victim.caller_address], plan)
        await anyio.sleep(WARM_UP_S)
        victim.kill()
        found.memory_free_s = await _time_until(lambda: site.engine_memory_held() == 0)


async def _measure(nodes: int) -> Recovery:
    found = Recovery(nodes)
    for act in (_kill_owner, _kill_entry):
        async with anyio.create_task_group() as tasks:
            shape = SiteShape(
                nodes=nodes,
                profile=PROFILE,
                max_tokens=LONG_TOKENS,
                heartbeat_ms=HEARTBEAT_MS,
                lease_ms=LEASE_MS,
                patience_ms=PATIENCE_MS,
            )
            site = Site(tasks, shape)
            await site.start()
            await act(site, found)
            tasks.cancel_scope.cancel()
    return found


def measure_recovery(nodes: int) -> Recovery:
    """All figures for one number of nodes. Heartbeat 0.5 s, dead after 3 s, lease 3 s."""
    return anyio.run(_measure, nodes)


def print_recovery() -> None:
    """Print the table."""
    print("Recovery on a real small site (heartbeat 0.5 s, dead after 3 s, lease 3 s).")
    print(
        f"{'nodes':>5} {'new owner grants, s':>20} {'engine memory free, s':>22} "
        f"{'answers':>8} {'lost':>5} {'wrong':>6} {'told not run':>13}"
    )
    for size in SIZES:
        row = measure_recovery(size)
        print(
            f"{row.nodes:>5} {row.owner_back_s:>20.2f} {row.memory_free_s:>22.2f} "
            f"{row.answers:>8} {row.lost:>5} {row.wrong:>6} {row.told_not_run:>13}"
        )
