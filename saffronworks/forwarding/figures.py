"""Counts and times of forwarding, kept plain until somebody asks for the process's metrics.

The metrics' libraries take a sixth of the processor time of a node's start, while most nodes are
never asked; so they are loaded at the first question, and samples wait here.
"""

from collections import Counter, deque
from collections.abc import Callable

import attrs

__all__ = ["Figures", "Sample"]

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


class Figures:
    """What a node counted; each sample carries the node's name."""

    def __init__(self, node: str):
        self._node = node
        self.counts: Counter[tuple[str, Labels]] = Counter()
        self.levels: dict[tuple[str, Labels], Callable[[], int]] = {}
        self._samples: deque[Sample] = deque(maxlen=SAMPLES_KEPT)

    def count(self, outcome: str, route: str, reason: str = "") -> None:
        """Count the end of a request."""
        self._add("saffronworks_forwarded", outcome=outcome, route=route, reason=reason)

    def count_send(self, kind: str, result: str) -> None:
        """Count a call to an endpoint."""
        self._add("saffronworks_sends", kind=kind, result=result)

    def count_bad_entry(self, kind: str) -> None:
        """Count an entry in the store that names nothing to use."""
        self._add("saffronworks_bad_entries", kind=kind)

    def count_buffers(self, event: str) -> None:
        """Count an answer that waits for the node's bound on buffers, or a caller cut off by it."""
        self._add("saffronworks_answer_buffers", event=event)

    def watch_level(self, name: str, read: Callable[[], int]) -> None:
        """Show what `read` gives whenever somebody asks."""
        self.levels[name, self._label()] = read

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
