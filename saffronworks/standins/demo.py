"""The main job on embedded stand-ins in one process, and a table that must add up."""

import sys

import anyio
import fire
import httpcore
from anyio.abc import TaskGroup

from saffronworks.logs import set_up_logs
from saffronworks.standins.callers import Answer, LoadPlan, ask, expected_answer, run_load
from saffronworks.standins.sites import Site, SiteShape, wait_until

__all__ = ["main"]

REQUESTS = 240
GAP_MS = 35.0
KILL_AFTER_S = 3.0
REVIVE_AFTER_S = 3.0


def main() -> None:
    """Entry point of `make demo` and `make demo-serve`."""
    fire.Fire(run_demo)


def run_demo(serve: bool = False, log_level: str = "ERROR") -> None:
    """Run the demonstration; with --serve, keep the site up until interrupted."""
    set_up_logs(log_level)
    if serve:
        anyio.run(_serve)
        return
    sys.exit(0 if anyio.run(_demonstrate) else 1)


async def _serve() -> None:
    async with anyio.create_task_group() as tasks:
        site = Site(tasks, SiteShape())
        await site.start()
        node = site.nodes[0]
        print("The site is up. Try:")
        print(f"  curl -N http://{node.caller_address}/v1/completions \\")
        print("    -H 'content-type: application/json' \\")
        print('    -d \'{"model": "opening-line", "prompt": "Dear reader", "stream": true}\'')
        print(f"  .venv/bin/saffronctl nodes --admin={node.admin_address}")
        print(f"  .venv/bin/saffronctl report burn --admin={node.admin_address}")
        print("Kill an engine for 20 s, or make it stall (faults: see standin_engine.py):")
        for name, engine in site.engines.items():
            print(
                f"  curl -d '{{\"down_ms\": 20000}}' http://{engine.address}/standin/kill # {name}"
            )
        engine = site.engines["decode-1"]
        print(f'  curl -d \'{{"fault": "stall"}}\' http://{engine.address}/standin/fault')
        print(f"other nodes: {' '.join(n.caller_address for n in site.nodes[1:])}", flush=True)
        await anyio.sleep_forever()


async def _demonstrate() -> bool:
    kept = False
    async with anyio.create_task_group() as tasks:
        site = Site(tasks, SiteShape())
        await site.start()
        print(f"{len(site.nodes)} nodes and {len(site.engines)} engines are up.")
        await _show_one(site)
        answers = await _load_with_fault(site, tasks)
        await _call_plain(site)
        await wait_until(lambda: site.engine_memory_held() == 0, limit_s=10)
        kept = _print_table(site, answers)
        tasks.cancel_scope.cancel()
    return kept


async def _show_one(site: Site) -> None:
    """Stream one answer visibly."""
    prompt = "Dear reader, I kept bees above Musanze for forty years."
    print("One answer: ", end="")
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await ask(pool, site.nodes[1].caller_address, prompt, 24)
    print(answer.text)
    print(f"First token after {answer.ttft_ms:.0f} ms, {answer.pace_ms:.1f} ms between tokens.")


async def _load_with_fault(site: Site, tasks: TaskGroup) -> list[Answer]:
    """A mixed load, in the middle of which a decode engine dies and comes back."""
    addresses = [node.caller_address for node in site.nodes]
    answers: list[Answer] = []

    async def load() -> None:
        plan = LoadPlan(REQUESTS, GAP_MS, max_tokens=site.shape.max_tokens)
        answers.extend(await run_load(addresses, plan))

    async with anyio.create_task_group() as both:
        both.start_soon(load)
        await anyio.sleep(KILL_AFTER_S)
        victim = site.engines["decode-1"]
        print(f"Killing {victim.name} with {victim.held()} streams.")
        victim.kill()
        await anyio.sleep(REVIVE_AFTER_S)
        print(f"{victim.name} comes back.")
        tasks.start_soon(victim.run)
    return answers


async def _call_plain(site: Site) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{site.nodes[0].caller_address}/profiles/17"
        response = await pool.request("GET", url)
    print(f"Plain service answered {response.status}: {response.content.decode()}")


def _print_table(site: Site, answers: list[Answer]) -> bool:
    shape = site.shape
    completed = [a for a in answers if a.whole]
    wrong = [a for a in completed if a.text != expected_answer(a.prompt, shape.max_tokens)]
    not_run = [a for a in answers if a.outcome == "not-run"]
    unknown = [a for a in answers if a.outcome == "unknown"]
    lost = len(answers) - len(completed) - len(not_run) - len(unknown)
    good = [a for a in completed if a.ttft_ms <= shape.ttft_ms and a.pace_ms <= shape.pace_ms]
    doubled = sum(1 for a in wrong if len(a.text) > len(expected_answer(a.prompt, 48)))
    prefills = max(1, sum(node.ends.prefills for node in site.nodes))
    wasted = sum(node.ends.wasted_prefills for node in site.nodes)
    rows = {
        "accepted": len(answers),
        "completed": len(completed),
        "not run": len(not_run),
        "unknown": len(unknown),
        "goodput (share in both targets)": f"{len(good) / max(1, len(answers)):.3f}",
        "wasted prefill (share of prefills)": f"{wasted / prefills:.3f}",
        "answers that differ": len(wrong),
        "duplicates": doubled,
        "lost": lost,
        "engine memory still held": site.engine_memory_held(),
    }
    for name, value in rows.items():
        print(f"  {name:<34}{value:>8}")
    kept = not wrong and lost == 0 and site.engine_memory_held() == 0
    print("Every promise was kept." if kept else "A PROMISE BROKE.")
    return kept


if __name__ == "__main__":
    main()
