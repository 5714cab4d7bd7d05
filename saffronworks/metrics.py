"""Counters and histograms of a node by OpenTelemetry, with a Prometheus scrape page."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics", "find_meter", "scrape_page"]

_reader: PrometheusMetricReader | None = None
_provider: MeterProvider | None = None


def _find_provider() -> MeterProvider:
    """One provider for the process, since the scrape page is one too."""
    global _reader, _provider
    if _provider is None:
        _reader = PrometheusMetricReader()
        _provider = MeterProvider(metric_readers=[_reader])
    return _provider


def find_meter() -> Meter:
    """The process's meter, for modules with instruments of their own."""
    return _find_provider().get_meter("saffronworks")


def scrape_page() -> bytes:
    """All metrics of the process in Prometheus' text format."""
    return generate_latest(REGISTRY)


class Metrics:
    """The instruments of one node; each sample carries the node's name."""

    def __init__(self, node: str):
        meter = find_meter()
        self._node = node
        self._requests = meter.create_counter("saffronworks_requests", description="by outcome")
        self._wasted = meter.create_counter("saffronworks_wasted_prefills")
        self._attempts = meter.create_counter("saffronworks_attempts")
        self._ttft = meter.create_histogram("saffronworks_ttft_ms", unit="ms")
        self._pace = meter.create_histogram("saffronworks_pace_ms", unit="ms")

    def count_request(self, model: str, outcome: str, attempts: int, wasted: int) -> None:
        """Count a finished request."""
        labels = {"node": self._node, "model": model}
        self._requests.add(1, {**labels, "outcome": outcome})
        self._attempts.add(attempts, labels)
        if wasted:
            self._wasted.add(wasted, labels)

    def record_latency(self, model: str, ttft_ms: float, pace_ms: float) -> None:
        """Record both latencies of a completed request."""
        labels = {"node": self._node, "model": model}
        self._ttft.record(ttft_ms, labels)
        self._pace.record(pace_ms, labels)
