"""Counts and times of forwarding, kept plain until somebody asks for the process's metrics.

The metrics' libraries take a sixth of the processor time of a node's start, while most nodes are
never asked; so they are loaded at the first question, and samples wait here.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable

import attrs

__all__ = ["Figures", "Level", "Sample"]

# Times between two questions that the histograms show, the newest ones: a busy node's answers of a
# minute. Counts are never left out.
SAMPLES_KEPT = 4096

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


class Figures:
    """What a node counted; each sample carries the node's name."""

    def __init__(self, node: str):
        self._node = node
        self.counts: Counter[tuple[str, Labels]] = Counter()
        self._samples: deque[Sample] = deque(maxlen=SAMPLES_KEPT)
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

    def count_plan(self, service: str, outcome: str, priority: int) -> None:
        """Count an answer of this node's planner to an ask for memory."""
        self._add("saffronworks_planned", service=service, outcome=outcome, priority=str(priority))

    def watch(self, name: str, read: Callable[[], Iterable[Level]]) -> None:
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

    def take_samples(self) -> list[Sample]:
        """The times since the last call; each is told once."""
        samples = list(self._samples)
        self._samples.clear()
        return samples

    def _add(self, name: str, **labels: str) -> None:
        self.counts[name, self._label(**labels)] += 1

    def _label(self, **labels: str) -> Labels:
        return (("node", self._node), *labels.items())
