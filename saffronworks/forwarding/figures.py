"""Counts and times of forwarding, kept plain until somebody asks for the process's metrics.

The metrics' libraries take a sixth of the processor time of a node's start, while most nodes are
never asked; so they are loaded at the first question, and samples wait here.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable

import attrs

from saffronworks.forwarding.planning.share_counts import OTHERS, ShareRow

__all__ = ["MetricsRecorder", "Labels", "Level", "Sample"]

# Times between two questions that the histograms show, the newest ones: a busy node's answers of a
# minute. Counts are never left out.
SAMPLES_KEPT = 4096

# Organisations of a service and priority that have series of their own, the first that are told of;
# all others of a service are together in `OTHERS`. Each one has four series.
MOST_NAMED = 128

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class Sample:
    """One time of a histogram."""

    name: str
    value_ms: int
    labels: Labels


@attrs.frozen
class Level:
    """What a gauge shows at present."""

    value: float
    labels: dict[str, str]


class MetricsRecorder:
    """What a node counted; each sample carries the node's name."""

    def __init__(self, node: str):
        self._node = node
        self.counts: Counter[tuple[str, Labels]] = Counter()
        self.share_levels: dict[tuple[str, Labels], int] = {}
        self._samples: deque[Sample] = deque(maxlen=SAMPLES_KEPT)
        self._named: set[Labels] = set()
        self.gauges: dict[str, Callable[[], Iterable[Level]]] = {}

    def count(self, outcome: str, route: str, reason: str = "") -> None:
        """Count the end of a request."""
        self._add("saffronworks_forwarded", outcome=outcome, route=route, reason=reason)

    def count_send(self, kind: str, result: str) -> None:
        """Count a call to an endpoint."""
        self._add("saffronworks_sends", kind=kind, result=result)

    def count_bad_entry(self, kind: str) -> None:
        """Count an entry in the store that names nothing to use."""
        self._add("saffronworks_bad_entries", kind=kind)

    def record_shares(self, service: str, rows: list[ShareRow]) -> None:
        """Take in a summary of organisations' shares: grants, rejections, and who waits now."""
        for key in [key for key in self.share_levels if ("service", service) in key[1]]:
            del self.share_levels[key]
        for row in rows:
            labels = self._label_share(service, row)
            self.counts["saffronworks_shares_granted", labels] += row.granted
            self.counts["saffronworks_shares_rejected", labels] += row.rejected
            self._raise_gauge("saffronworks_shares_waiting", labels, row.waiting, add=True)
            self._raise_gauge("saffronworks_shares_excess", labels, row.excess, add=False)

    def count_buffers(self, event: str) -> None:
        """Count an answer that waits for the node's bound on buffers, or a caller cut off by it."""
        self._add("saffronworks_answer_buffers", event=event)

    def count_plan(self, service: str, outcome: str, priority: int) -> None:
        """Count an answer of this node's planner to an ask for memory."""
        self._add("saffronworks_planned", service=service, outcome=outcome, priority=str(priority))

    def register_gauge(self, name: str, read: Callable[[], Iterable[Level]]) -> None:
        """Have a gauge read whenever somebody asks for the metrics."""
        self.gauges[name] = read

    def read_levels(self, name: str) -> list[tuple[float, Labels]]:
        """What a gauge shows at present, with the node's name."""
        return [(level.value, self._label(**level.labels)) for level in self.gauges[name]()]

    def record(self, route: str, first_ms: int, whole_ms: int) -> None:
        """Record when an answer began and when it was whole."""
        labels = self._label(route=route)
        self._samples.append(Sample("saffronworks_first_byte_ms", first_ms, labels))
        self._samples.append(Sample("saffronworks_answer_ms", whole_ms, labels))

    def record_speed(self, service: str, factor: float, ms_per_token: float) -> None:
        """Record a change of an endpoint's decode speed, in ms for a thousand tokens."""
        pace = "slower" if factor > 1 else "faster" if factor < 1 else "usual"
        self._add("saffronworks_speed_changes", service=service, pace=pace)
        ms = round(1000 * ms_per_token)
        name = "saffronworks_thousand_tokens_ms"
        self._samples.append(Sample(name, ms, self._label(service=service, pace=pace)))

    def drain_samples(self) -> list[Sample]:
        """The times since the last call; each is told once."""
        samples = list(self._samples)
        self._samples.clear()
        return samples

    def _add(self, name: str, **labels: str) -> None:
        self.counts[name, self._label(**labels)] += 1

    def _label_share(self, service: str, row: ShareRow) -> Labels:
        others = self._label(service=service, priority="", organisation=OTHERS)
        if row.priority is None:
            return others
        priority, organisation = str(row.priority), row.organisation
        own = self._label(service=service, priority=priority, organisation=organisation)
        if len(self._named) < MOST_NAMED:
            self._named.add(own)
        return own if own in self._named else others

    def _raise_gauge(self, name: str, labels: Labels, value: int, add: bool) -> None:
        """Add to a gauge, or keep the highest value, where several organisations share it."""
        known = self.share_levels.get((name, labels), 0)
        self.share_levels[name, labels] = known + value if add else max(known, value)

    def _label(self, **labels: str) -> Labels:
        return (("node", self._node), *labels.items())
