"""`make bench`: the policy bench and the time per decision, as tables, a CSV file and a plot."""

import csv
import logging
import sys
from collections.abc import Callable
from pathlib import Path
from statistics import median

import fire
import matplotlib

from tools.baselines import POLICIES
from tools.claim_bench import print_claims
from tools.decision_bench import print_decisions
from tools.fleet_bench import print_fleet
from tools.idle_bench import print_idle
from tools.origin_bench import print_origins
from tools.policy_bench import Outcome, Trial, run_trials
from tools.quota_bench import print_quotas
from tools.recovery_bench import print_recovery
from tools.roles_bench import print_roles
from tools.shapes import SHAPES
from tools.start_bench import print_start

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["main"]

LOADS = (0.5, 0.8, 1.0, 1.2, 1.5)
OURS = "saffronworks"
OUTPUT = Path("build/bench")
Key = tuple[str, bool, float, str]


def main(seeds: int = 10, seconds: float = 40.0, part: str = "all") -> None:
    """Run the benches.

    Args:
        seeds: how many seeded traces for each row.
        seconds: virtual length of a trace.
        part: policy, roles, decisions, fleet, claims, idle, quotas, recovery, start or all.
    """
    logging.disable(logging.CRITICAL)
    parts: dict[str, Callable[[], None]] = {
        "policy": lambda: print_policy(seeds, seconds),
        "roles": print_roles,
        "decisions": print_decisions,
        "fleet": print_fleet,
        "claims": print_claims,
        "idle": print_idle,
        "quotas": print_quotas,
        "origins": print_origins,
        "recovery": print_recovery,
        "start": print_start,
    }
    if part != "all" and part not in parts:
        print(f"no part is named {part!r}; there are: all, {', '.join(parts)}")
        sys.exit(2)
    for name, run in parts.items():
        if part in ("all", name):
            run()


def print_policy(seeds: int, seconds: float) -> None:
    """Every policy on the same traces; ratios to the best baseline and to the ideal site."""
    results = _run_trials(seeds, seconds)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    _write_csv(results)
    _plot(results)
    print(f"Policy bench, {seeds} seeds of {seconds:.0f} s virtual time; median (range).")
    print(
        f"{'shape':<8} {'faults':<6} {'load':>4}  {'goodput':<20} {'bound':>5} {'/bound':>6} "
        f"{'best baseline':<24} {'ratio':>6}  {'wasted':>6} {'base':>6} {'not run':>7} "
        f"{'unknown':>7}"
    )
    for shape in SHAPES:
        for faults in (False, True):
            for load in LOADS:
                print(_format_row(results, shape, faults, load))
    print(f"Written: {OUTPUT}/policy.csv and {OUTPUT}/policy.svg")


def _run_trials(seeds: int, seconds: float) -> dict[Key, list[Outcome]]:
    trials = [
        Trial(shape, policy, load, faults, seed, seconds)
        for shape in SHAPES
        for faults in (False, True)
        for load in LOADS
        for policy in (OURS, *POLICIES)
        for seed in range(1, seeds + 1)
    ]
    outcomes = run_trials(trials)
    results: dict[Key, list[Outcome]] = {}
    for trial, outcome in zip(trials, outcomes, strict=True):
        key = (trial.shape, trial.faults, trial.load, trial.policy)
        results.setdefault(key, []).append(outcome)
    return results


def _middle(outcomes: list[Outcome], field: str) -> float:
    return median(getattr(outcome, field) for outcome in outcomes)


def _format_row(results: dict[Key, list[Outcome]], shape: str, faults: bool, load: float) -> str:
    ours = results[(shape, faults, load, OURS)]
    bases = {policy: results[(shape, faults, load, policy)] for policy in POLICIES}
    best = max(bases, key=lambda policy: _middle(bases[policy], "goodput"))
    good = _middle(ours, "goodput")
    low = min(outcome.goodput for outcome in ours)
    high = max(outcome.goodput for outcome in ours)
    bound = _middle(ours, "bound")
    base_good = _middle(bases[best], "goodput")
    ratio = f"{good / base_good:6.2f}" if base_good > 0.005 else "   inf"
    spread = f"{good:.3f} ({low:.3f}-{high:.3f})"
    base = f"{best} {base_good:.3f}"
    return (
        f"{shape:<8} {'yes' if faults else 'no':<6} {load:>4}  {spread:<20} {bound:5.3f} "
        f"{good / bound:6.3f} {base:<24} {ratio}  {_middle(ours, 'wasted'):6.3f} "
        f"{_middle(bases[best], 'wasted'):6.3f} {_middle(ours, 'not_run'):7.3f} "
        f"{_middle(ours, 'unknown'):7.3f}"
    )


def _write_csv(results: dict[Key, list[Outcome]]) -> None:
    with (OUTPUT / "policy.csv").open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        fields = ("goodput", "wasted", "completed", "not_run", "unknown", "bound", "ttft_p95_ms")
        writer.writerow(("shape", "faults", "load", "policy", "seed", *fields))
        for (shape, faults, load, policy), outcomes in results.items():
            for seed, outcome in enumerate(outcomes, start=1):
                figures = [f"{getattr(outcome, field):.4f}" for field in fields]
                writer.writerow((shape, faults, load, policy, seed, *figures))


def _plot(results: dict[Key, list[Outcome]]) -> None:
    figure, axes = pyplot.subplots(2, 4, figsize=(15, 7), sharex=True)
    panels = [(shape, faults) for shape in SHAPES for faults in (False, True)]
    for column, (shape, faults) in enumerate(panels):
        for row, field in enumerate(("goodput", "wasted")):
            axis = axes[row][column]
            for policy in (OURS, *POLICIES):
                values = [_middle(results[(shape, faults, load, policy)], field) for load in LOADS]
                axis.plot(LOADS, values, marker="o", label=policy)
            if field == "goodput":
                bounds = [_middle(results[(shape, faults, x, OURS)], "bound") for x in LOADS]
                axis.plot(LOADS, bounds, "k--", label="ideal site")
                axis.set_title(f"{shape}, {'with faults' if faults else 'calm'}")
            axis.set_ylabel(field if column == 0 else "")
            axis.set_ylim(-0.02, 1.05)
    axes[0][0].legend(fontsize=8)
    for axis in axes[1]:
        axis.set_xlabel("load (share of capacity)")
    figure.tight_layout()
    figure.savefig(OUTPUT / "policy.svg")
    pyplot.close(figure)


if __name__ == "__main__":
    fire.Fire(main)
