"""Counters, samples and gauges of forwarding, kept without a metrics library until a scrape.

Loading the metrics libraries takes a sixth of the CPU time of a node's start, and most nodes are
never scraped. The libraries are therefore loaded at the first scrape; until then samples are kept
here.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable

import attrs

from saffronworks.forwarding.planning.share_counts import OTHERS, ShareRow

__all__ = ["MetricsRecorder", "Labels", "Level", "Sample"]

# Histogram samples kept between two scrapes, the newest ones; enough for a minute of a busy node.
# Counters are always complete.
MAX_SAMPLES = 4096

# Maximum combinations of service, priority and organisation that have their own time series (four
# each). The first ones reported get them; all others of a service share the label `OTHERS`.
MAX_OWN_SERIES = 128

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class Sample:
    """One sample of a histogram, in milliseconds."""

    name: str
    value_ms: int
    labels: Labels


@attrs.frozen
class Level:
    """The current value of a gauge."""

    value: float
    labels: dict[str, str]


class MetricsRecorder:
    """The metrics of one node; each series is labelled with the node's name."""

    def __init__(self, node: str):
        self._node = node
        self.counts: Counter[tuple[str, Labels]] = Counter()
        self.share_levels: dict[tuple[str, Labels], int] = {}
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)
        self._own_series: set[Labels] = set()
        self.gauges: dict[str, Callable[[], Iterable[Level]]] = {}

    def count(self, outcome: str, route: str, reason: str = "") -> None:
        """Count a finished request."""
        self._add("saffronworks_forwarded", outcome=outcome, route=route, reason=reason)

    def count_send(self, kind: str, result: str) -> None:
        """Count a call to an endpoint."""
        self._add("saffronworks_sends", kind=kind, result=result)

    def count_bad_entry(self, kind: str) -> None:
        """Count an invalid entry in the store."""
        self._add("saffronworks_bad_entries", kind=kind)

    def record_shares(self, service: str, rows: list[ShareRow]) -> None:
        """Record a summary of organisations' shares: grants, rejections and waiting requests."""
        for key in [key for key in self.share_levels if ("service", service) in key[1]]:
            del self.share_levels[key]
        for row in rows:
            labels = self._label_share(service, row)
            self.counts["saffronworks_shares_granted", labels] += row.granted
            self.counts["saffronworks_shares_rejected", labels] += row.rejected
            self._update_gauge("saffronworks_shares_waiting", labels, row.waiting, add=True)
            self._update_gauge("saffronworks_shares_excess", labels, row.excess, add=False)

    def count_buffers(self, event: str) -> None:
        """Count an answer paused by the node's bound on buffers, or a disconnected caller."""
        self._add("saffronworks_answer_buffers", event=event)

    def count_resumed(self, outcome: str) -> None:
        """Count a stream that a caller resumes, by how its origin was found or why it was not."""
        self._add("saffronworks_streams_resumed", outcome=outcome)

    def count_plan(self, service: str, outcome: str, priority: int) -> None:
        """Count an answer of this node's planner to a request for KV memory."""
        self._add("saffronworks_planned", service=service, outcome=outcome, priority=str(priority))

    def register_gauge(self, name: str, read: Callable[[], Iterable[Level]]) -> None:
        """Register a gauge, which is read at each scrape."""
        self.gauges[name] = read

    def read_levels(self, name: str) -> list[tuple[float, Labels]]:
        """Return the current values of a gauge, labelled with the node's name."""
        return [(level.value, self._label(**level.labels)) for level in self.gauges[name]()]

    def record(self, route: str, first_ms: int, answer_ms: int) -> None:
        """Record the times to the first byte and to the end of an answer."""
        labels = self._label(route=route)
        self._samples.append(Sample("saffronworks_first_byte_ms", first_ms, labels))
        self._samples.append(Sample("saffronworks_answer_ms", answer_ms, labels))

    def record_speed(self, service: str, factor: float, ms_per_token: float) -> None:
        """Record a change of an endpoint's decode speed, in ms per thousand tokens."""
        pace = "slower" if factor > 1 else "faster" if factor < 1 else "usual"
        self._add("saffronworks_speed_changes", service=service, pace=pace)
        ms = round(1000 * ms_per_token)
        name = "saffronworks_thousand_tokens_ms"
        self._samples.append(Sample(name, ms, self._label(service=service, pace=pace)))

    def drain_samples(self) -> list[Sample]:
        """Return the samples since the last call."""
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
        if len(self._own_series) < MAX_OWN_SERIES:
            self._own_series.add(own)
        return own if own in self._own_series else others

    def _update_gauge(self, name: str, labels: Labels, value: int, add: bool) -> None:
        """Add to a gauge, or keep its maximum, if several organisations share it."""
        known = self.share_levels.get((name, labels), 0)
        self.share_levels[name, labels] = known + value if add else max(known, value)

    def _label(self, **labels: str) -> Labels:
        return (("node", self._node), *labels.items())
