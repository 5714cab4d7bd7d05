"""The report on service-level burn, as rows, text and a plot."""

from typing import Any

from saffronworks.burn import (
    OBJECTIVES,
    WINDOWS,
    NodeBurn,
    RatedRow,
    merge_burns,
    merge_latencies,
    rate_rows,
)

__all__ = ["FAST_BURN", "SLOW_BURN", "find_alerts", "make_report", "plot_report"]

# A page at 14.4 over 1 h and 5 m spends 2 % of a 30-day budget in an hour; a ticket at 6 over
# 6 h and 1 h spends 5 % in six hours.
FAST_BURN = 14.4
SLOW_BURN = 6.0
PLOT_ROWS = 12


def make_report(burns: list[NodeBurn], silent: list[str]) -> dict[str, Any]:
    """The whole report: who answered, burn rates, latencies, alerts."""
    rated = rate_rows(merge_burns(burns))
    latencies = merge_latencies(burns)
    return {
        "nodes": sorted(burn.node for burn in burns),
        "silent": sorted(silent),
        "burn": [_show_row(row) for row in rated],
        "latency": [
            {
                "model": model,
                "requests": ttft.get_total_count(),
                "ttft_p50_ms": ttft.get_value_at_percentile(50),
                "ttft_p95_ms": ttft.get_value_at_percentile(95),
                "pace_p50_ms": pace.get_value_at_percentile(50),
                "pace_p95_ms": pace.get_value_at_percentile(95),
            }
            for model, (ttft, pace) in sorted(latencies.items())
        ],
        "alerts": find_alerts(rated),
    }


def _show_row(row: RatedRow) -> dict[str, Any]:
    shown: dict[str, Any] = {
        "organisation": row.organisation,
        "model": row.model,
        "objective": f"{row.objective} < {1 - OBJECTIVES[row.objective]:.1%}",
        "requests": row.requests,
    }
    for window, rate in zip(WINDOWS, row.rates, strict=True):
        shown[window.name] = round(rate, 2)
    shown["budget_left"] = round(row.budget_left, 3)
    return shown


def find_alerts(rows: list[RatedRow]) -> list[str]:
    """Alerts where both the long and the short window burn fast."""
    alerts = []
    for row in rows:
        rates = dict(zip((window.name for window in WINDOWS), row.rates, strict=True))
        name = f"{row.organisation} {row.model} {row.objective}"
        if rates["1h"] >= FAST_BURN and rates["5m"] >= FAST_BURN:
            alerts.append(f"page: {name} burns at {rates['1h']:.1f} over 1h")
        elif rates["6h"] >= SLOW_BURN and rates["1h"] >= SLOW_BURN:
            alerts.append(f"ticket: {name} burns at {rates['6h']:.1f} over 6h")
    return alerts


def plot_report(report: dict[str, Any], path: str) -> None:
    """Write a bar chart of the burn rates, the worst rows first; SVG or PNG by the ending."""
    import matplotlib  # noqa: PLC0415 - only this command needs it, and it is slow to load

    matplotlib.use("agg")
    from matplotlib import pyplot  # noqa: PLC0415

    names = [window.name for window in WINDOWS]
    rows = sorted(report["burn"], key=lambda row: -max(row[name] for name in names))[:PLOT_ROWS]
    figure, axis = pyplot.subplots(figsize=(10, 1.5 + 0.5 * len(rows)))
    height = 0.8 / len(names)
    for index, name in enumerate(names):
        places = [place + index * height for place in range(len(rows))]
        axis.barh(places, [row[name] for row in rows], height=height, label=name)
    axis.set_yticks([place + 0.3 for place in range(len(rows))])
    labels = [f"{row['organisation']} {row['model']}\n{row['objective']}" for row in rows]
    axis.set_yticklabels(labels, fontsize=8)
    axis.axvline(1.0, color="black", linewidth=1)
    axis.axvline(FAST_BURN, color="red", linestyle="--", linewidth=1)
    axis.set_xlabel("burn rate (1: the budget lasts its period; red: page)")
    axis.invert_yaxis()
    axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
