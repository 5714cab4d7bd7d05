"""Processor time of a node's imports, as a ratio to a bare interpreter's start."""

import os
import statistics
import sys

__all__ = ["print_start"]

RUNS = 7
_PARTS = {
    "bare interpreter": "pass",
    "asyncio": "import asyncio",
    "libraries of a node": "import anyio, fire, httpcore, httptools, msgspec, pynng, uvicorn, yaml",
    "a node": "import saffronworks.platform.__main__",
    "a node with its metrics' libraries": (
        "import saffronworks.platform.__main__, saffronworks.metrics"
    ),
}


def print_start() -> None:
    """Print each part in ms and by the bare interpreter; parts are run in turn, so that a load
    on this machine strikes all alike."""
    spent_ms: dict[str, list[float]] = {name: [] for name in _PARTS}
    for _ in range(RUNS):
        for name, code in _PARTS.items():
            spent_ms[name].append(_run_ms(code))
    bare_ms = statistics.median(spent_ms["bare interpreter"])
    print("Processor time of a start: median ms, and by that of a bare interpreter.")
    for name, each_ms in spent_ms.items():
        median_ms = statistics.median(each_ms)
        print(f"  {name:<44}{median_ms:>8.0f}{median_ms / bare_ms:>8.1f}")


def _run_ms(code: str) -> float:
    arguments = [sys.executable, "-c", code]
    pid = os.posix_spawn(sys.executable, arguments, os.environ)
    _, status, used = os.wait4(pid, 0)
    if status:
        raise RuntimeError(f"{code!r} failed")
    return 1000 * (used.ru_utime + used.ru_stime)
