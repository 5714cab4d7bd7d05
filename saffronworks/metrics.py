"""Counters and histograms of a node by OpenTelemetry, with a Prometheus scrape page."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from saffronworks.forwarding.figures import Labels, MetricsRecorder

__all__ = ["ForwardingMetrics", "Metrics", "find_meter", "scrape_page"]

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


_COUNTERS = (
    "saffronworks_forwarded",
    "saffronworks_sends",
    "saffronworks_bad_entries",
    "saffronworks_speed_changes",
    "saffronworks_answer_buffers",
    "saffronworks_planned",
    "saffronworks_streams_resumed",
)
_HISTOGRAMS = (
    "saffronworks_first_byte_ms",
    "saffronworks_answer_ms",
    "saffronworks_thousand_tokens_ms",
)
_SHARE_COUNTERS = ("saffronworks_shares_granted", "saffronworks_shares_rejected")
_SHARE_GAUGES = ("saffronworks_shares_waiting", "saffronworks_shares_excess")


class ForwardingMetrics:
    """The instruments over the figures of forwarding."""

    def __init__(self, figures: MetricsRecorder):
        self._figures = figures
        meter = find_meter()
        for name in (*_COUNTERS, *_SHARE_COUNTERS):
            meter.create_observable_counter(name, callbacks=[self._observe(name, figures.counts)])
        for name in _SHARE_GAUGES:
            callback = self._observe(name, figures.share_levels)
            meter.create_observable_gauge(name, callbacks=[callback])
        for name in figures.gauges:
            meter.create_observable_gauge(name, callbacks=[self._read(name)])
        self._histograms = {name: meter.create_histogram(name, unit="ms") for name in _HISTOGRAMS}

    def _observe(
        self, name: str, values: Mapping[tuple[str, Labels], int]
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def read(options: CallbackOptions) -> Iterable[Observation]:
            for (counted, labels), value in list(values.items()):
                if counted == name:
                    yield Observation(value, dict(labels))

        return read

    def _read(self, name: str) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def read(options: CallbackOptions) -> Iterable[Observation]:
            for value, labels in self._figures.read_levels(name):
                yield Observation(value, dict(labels))

        return read

    def render(self) -> bytes:
        """The scrape page, with what was sampled since the last one."""
        for sample in self._figures.drain_samples():
            self._histograms[sample.name].record(sample.value_ms, dict(sample.labels))
        return scrape_page()
