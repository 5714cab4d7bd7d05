"""Role changes against fixed roles, on a day whose prompts and answers shift, and on flat loads."""

from statistics import median

from tools.policy_bench import Outcome, Trial, run_trials

__all__ = ["print_roles"]

SEEDS = 10
CASES = (
    ("day", 0.5, 180.0),
    ("day", 0.8, 180.0),
    ("day", 1.0, 180.0),
    ("day", 1.5, 180.0),
    ("letters", 0.8, 60.0),
    ("letters", 1.0, 60.0),
    ("sources", 0.8, 60.0),
    ("sources", 1.0, 60.0),
)


def print_roles() -> None:
    """Print the table: goodput and wasted prefill, fixed and changing, on the same traces."""
    trials = [
        Trial(shape, "saffronworks", load, False, seed, seconds, change_roles=changing)
        for shape, load, seconds in CASES
        for changing in (False, True)
        for seed in range(1, SEEDS + 1)
    ]
    outcomes = run_trials(trials)
    print(f"Role changes, {SEEDS} seeds of virtual time, calm; median (range of the ratio).")
    print(
        f"{'shape':<8} {'load':>4} {'fixed':>6} {'changing':>8} {'ratio':>6} {'(range)':<14} "
        f"{'wasted':>7} {'changes':>7}"
    )
    for index, (shape, load, _) in enumerate(CASES):
        rows = outcomes[2 * SEEDS * index : 2 * SEEDS * (index + 1)]
        print(_format_row(shape, load, rows[:SEEDS], rows[SEEDS:]))


def _format_row(shape: str, load: float, fixed: list[Outcome], changing: list[Outcome]) -> str:
    ratios = [b.goodput / a.goodput for a, b in zip(fixed, changing, strict=True)]
    span = f"({min(ratios):.2f}-{max(ratios):.2f})"
    return (
        f"{shape:<8} {load:>4} {median(o.goodput for o in fixed):>6.3f} "
        f"{median(o.goodput for o in changing):>8.3f} {median(ratios):>6.3f} {span:<14} "
        f"{median(o.wasted for o in changing):>7.4f} "
        f"{median(o.role_changes for o in changing):>7.1f}"
    )
