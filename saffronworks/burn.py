"""Service-level burn: counts per organisation and model over windows, in bounded memory.

A burn rate is the share of bad requests over the share that the objective allows: at 1 the
error budget lasts just as long as its period. Rows of several nodes are added up.
"""

import array

import attrs
from hdrh.histogram import HdrHistogram

__all__ = [
    "OBJECTIVES",
    "WINDOWS",
    "BurnRecorder",
    "BurnRow",
    "LatencyRow",
    "NodeBurn",
    "RatedRow",
    "merge_burns",
    "merge_latencies",
    "rate_rows",
]

OTHER = "(other)"
MOST_SERIES = 512
LONGEST_MS = 3_600_000
SIGNIFICANT_FIGURES = 2


@attrs.frozen
class Window:
    """A window as a ring of buckets."""

    name: str
    bucket_ms: int
    buckets: int


WINDOWS = (
    Window("5m", 30_000, 10),
    Window("1h", 300_000, 12),
    Window("6h", 1_800_000, 12),
    Window("3d", 21_600_000, 12),
)
# What is counted of each request: all, then the bad ones by objective.
FIELDS = ("total", "late", "slow", "failed")
OBJECTIVES = {"late": 0.95, "slow": 0.95, "failed": 0.999}
_BUCKETS = sum(window.buckets for window in WINDOWS)


@attrs.frozen
class BurnRow:
    """Counts of one organisation and model: for each window its total, late, slow, failed."""

    organisation: str
    model: str
    counts: tuple[tuple[int, int, int, int], ...]


@attrs.frozen
class LatencyRow:
    """Encoded, mergeable histograms of one model, in milliseconds."""

    model: str
    ttft: str
    pace: str


@attrs.frozen
class NodeBurn:
    """What one node counted."""

    node: str
    rows: tuple[BurnRow, ...]
    latencies: tuple[LatencyRow, ...]


@attrs.frozen
class RatedRow:
    """Burn rates of one row and objective, and the share of its budget that is left."""

    organisation: str
    model: str
    objective: str
    requests: int
    rates: tuple[float, ...]
    budget_left: float


class _Series:
    """The rings of one organisation and model, in one array of 32-bit counts."""

    def __init__(self) -> None:
        self.counts = array.array("I", bytes(4 * _BUCKETS * len(FIELDS)))
        self.stamps = array.array("I", bytes(4 * _BUCKETS))
        self.requests = 0

    def add(self, values: tuple[int, ...], now_ms: int) -> None:
        """Count one request in the current bucket of each ring."""
        self.requests += values[0]
        first = 0
        for window in WINDOWS:
            stamp = now_ms // window.bucket_ms
            bucket = first + stamp % window.buckets
            if self.stamps[bucket] != stamp:
                self.stamps[bucket] = stamp
                for field in range(len(FIELDS)):
                    self.counts[bucket * len(FIELDS) + field] = 0
            for field, value in enumerate(values):
                self.counts[bucket * len(FIELDS) + field] += value
            first += window.buckets

    def sums(self, now_ms: int) -> tuple[tuple[int, int, int, int], ...]:
        """For each window the counts in its buckets that are not over."""
        found = []
        first = 0
        for window in WINDOWS:
            oldest = now_ms // window.bucket_ms - window.buckets + 1
            totals = [0, 0, 0, 0]
            for bucket in range(first, first + window.buckets):
                if self.stamps[bucket] >= oldest:
                    for field in range(len(FIELDS)):
                        totals[field] += self.counts[bucket * len(FIELDS) + field]
            found.append((totals[0], totals[1], totals[2], totals[3]))
            first += window.buckets
        return tuple(found)


class BurnRecorder:
    """Counts of one node; beyond `MOST_SERIES` organisations the quietest go to `(other)`."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._series: dict[tuple[str, str], _Series] = {}
        self._histograms: dict[str, tuple[HdrHistogram, HdrHistogram]] = {}

    def record(
        self, organisation: str, model: str, late: bool, slow: bool, failed: bool, now_ms: int
    ) -> None:
        """Count one request that ended."""
        key = (organisation, model)
        if key not in self._series and len(self._series) >= MOST_SERIES:
            self._make_room(key)
            if len(self._series) >= MOST_SERIES:
                key = (OTHER, model)
        series = self._series.setdefault(key, _Series())
        series.add((1, int(late), int(slow), int(failed)), now_ms)

    def _make_room(self, key: tuple[str, str]) -> None:
        """Fold the quietest organisation into `(other)`, when it has been seen only once."""
        named = [found for found in self._series if found[0] != OTHER]
        quietest = min(named, key=lambda found: self._series[found].requests)
        series = self._series[quietest]
        if series.requests > 1:
            series.requests -= 1
            return
        del self._series[quietest]
        other = self._series.setdefault((OTHER, quietest[1]), _Series())
        other.requests += series.requests
        for index, stamp in enumerate(series.stamps):
            if stamp < other.stamps[index] or not stamp:
                continue
            fresh = stamp > other.stamps[index]
            other.stamps[index] = stamp
            for at in range(index * len(FIELDS), (index + 1) * len(FIELDS)):
                other.counts[at] = series.counts[at] + (0 if fresh else other.counts[at])

    def record_latency(self, model: str, ttft_ms: float, pace_ms: float) -> None:
        """Add one completed request to the model's histograms."""
        if model not in self._histograms:
            self._histograms[model] = (_new_histogram(), _new_histogram())
        ttft, pace = self._histograms[model]
        ttft.record_value(max(1, min(LONGEST_MS, round(ttft_ms))))
        pace.record_value(max(1, min(LONGEST_MS, round(pace_ms))))

    def snapshot(self, now_ms: int) -> NodeBurn:
        """Everything as rows that can be added to other nodes' rows."""
        rows = tuple(
            BurnRow(organisation, model, series.sums(now_ms))
            for (organisation, model), series in sorted(self._series.items())
        )
        latencies = tuple(
            LatencyRow(model, ttft.encode().decode(), pace.encode().decode())
            for model, (ttft, pace) in sorted(self._histograms.items())
        )
        return NodeBurn(self._node, rows, latencies)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, SIGNIFICANT_FIGURES)


def merge_burns(burns: list[NodeBurn]) -> list[BurnRow]:
    """Rows added up over nodes, with a row `(all)` for each model."""
    sums: dict[tuple[str, str], list[list[int]]] = {}
    for burn in burns:
        for row in burn.rows:
            for key in ((row.organisation, row.model), ("(all)", row.model)):
                found = sums.setdefault(key, [[0] * len(FIELDS) for _ in WINDOWS])
                for window, counts in enumerate(row.counts):
                    for field, count in enumerate(counts):
                        found[window][field] += count
    return [
        BurnRow(organisation, model, tuple((c[0], c[1], c[2], c[3]) for c in counts))
        for (organisation, model), counts in sorted(sums.items())
    ]


def merge_latencies(burns: list[NodeBurn]) -> dict[str, tuple[HdrHistogram, HdrHistogram]]:
    """Histograms of the time to first token and of the pace, added up for each model."""
    merged: dict[str, tuple[HdrHistogram, HdrHistogram]] = {}
    for burn in burns:
        for row in burn.latencies:
            if row.model not in merged:
                merged[row.model] = (_new_histogram(), _new_histogram())
            ttft, pace = merged[row.model]
            ttft.decode_and_add(row.ttft.encode())
            pace.decode_and_add(row.pace.encode())
    return merged


def rate_rows(rows: list[BurnRow]) -> list[RatedRow]:
    """Burn rates for each row and objective; the budget is that of the longest window."""
    rated = []
    for row in rows:
        for field, objective in enumerate(OBJECTIVES, start=1):
            allowed = 1.0 - OBJECTIVES[objective]
            rates = tuple(
                counts[field] / counts[0] / allowed if counts[0] else 0.0 for counts in row.counts
            )
            rated.append(
                RatedRow(
                    row.organisation, row.model, objective, row.counts[-1][0], rates, 1 - rates[-1]
                )
            )
    return rated
