"""`make capacity`: measure every slope of docs/CAPACITY.md on one machine, in a few minutes."""

import json
import logging
from pathlib import Path

import fire

from tools import capacity_cores, capacity_processes

__all__ = ["main"]

OUTPUT = Path("build/capacity")
COMMITTED = Path("docs/capacity.json")


def main(commit: bool = False) -> None:
    """Measure, write build/capacity/capacity.json, and compare with the committed figures.

    Args:
        commit: also write docs/capacity.json, the figures that the page quotes.
    """
    logging.disable(logging.CRITICAL)
    figures: dict[str, float] = {}
    for measure in (*capacity_cores.MEASURES, *capacity_processes.MEASURES):
        found = measure()
        figures.update(found)
        for name, value in found.items():
            print(f"{name:<46}{value:>14.3f}", flush=True)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=2, sort_keys=True) + "\n"
    (OUTPUT / "capacity.json").write_text(text, encoding="utf-8")
    if commit:
        COMMITTED.write_text(text, encoding="utf-8")
    _compare(figures)


def _compare(figures: dict[str, float]) -> None:
    """Print each figure's ratio to the committed one, and what the page lacks."""
    if not COMMITTED.exists():
        return
    committed = json.loads(COMMITTED.read_text(encoding="utf-8"))
    page = Path("docs/CAPACITY.md")
    quoted = page.read_text(encoding="utf-8") if page.exists() else ""
    print("\nRatio of this run to docs/capacity.json:")
    for name, value in sorted(figures.items()):
        before = committed.get(name)
        ratio = f"{value / before:8.2f}" if before else "     new"
        missing = "" if name in quoted else "   (not on the page)"
        print(f"  {name:<46}{ratio}{missing}")


if __name__ == "__main__":
    fire.Fire(main)
