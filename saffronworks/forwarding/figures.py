"""Counters and latency histograms of forwarding, on the process's metrics page."""

from saffronworks.metrics import find_meter

__all__ = ["Figures"]


class Figures:
    """The instruments of forwarding; each sample carries the node's name."""

    def __init__(self, node: str):
        meter = find_meter()
        self._node = node
        self._requests = meter.create_counter("saffronworks_forwarded", description="by outcome")
        self._sends = meter.create_counter("saffronworks_sends", description="by kind and result")
        self._bad_entries = meter.create_counter(
            "saffronworks_bad_entries",
            description="entries in the store that are not whole, by kind",
        )
        self._latency = meter.create_histogram("saffronworks_answer_ms", unit="ms")
        self._first = meter.create_histogram("saffronworks_first_byte_ms", unit="ms")

    def count(self, outcome: str, route: str, reason: str = "") -> None:
        """Count the end of a request."""
        labels = {"node": self._node, "outcome": outcome, "route": route, "reason": reason}
        self._requests.add(1, labels)

    def count_send(self, kind: str, result: str) -> None:
        """Count a call to an endpoint."""
        self._sends.add(1, {"node": self._node, "kind": kind, "result": result})

    def count_bad_entry(self, kind: str) -> None:
        """Count an entry in the store that names nothing to use."""
        self._bad_entries.add(1, {"node": self._node, "kind": kind})

    def record(self, route: str, first_ms: int, whole_ms: int) -> None:
        """Record when an answer began and when it was whole."""
        labels = {"node": self._node, "route": route}
        self._first.record(first_ms, labels)
        self._latency.record(whole_ms, labels)
