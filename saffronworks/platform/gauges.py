"""Gauges of callers' connections, of a node's load and memory, and of its services."""

from collections.abc import Mapping
from typing import TypeVar

from saffronworks.body_memory import BodyMemory
from saffronworks.clocks import LOOP_METER, monotonic_ms
from saffronworks.forwarding.figures import Level, MetricsRecorder
from saffronworks.kernel import Kernel
from saffronworks.overload.gate import ConnectionGate
from saffronworks.peers import PeerService
from saffronworks.web import HttpServer

__all__ = ["levels_by", "register_caller_gauges", "register_service_gauges"]

_Value = TypeVar("_Value", bound=str)


def register_caller_gauges(
    figures: MetricsRecorder, gate: ConnectionGate, callers: HttpServer, bodies: BodyMemory
) -> None:
    """Register what callers' connections and bodies take, and how many were turned away."""
    figures.register_gauge("saffronworks_rejected_connections", lambda: [Level(gate.rejected, {})])
    figures.register_gauge(
        "saffronworks_closed_connections", lambda: levels_by("reason", callers.closed_connections)
    )
    figures.register_gauge(
        "saffronworks_link_backlog_ms", lambda: [Level(gate.link.backlog_ms(monotonic_ms()), {})]
    )
    figures.register_gauge(
        "saffronworks_link_queue_ms", lambda: [Level(gate.link_queue_ms(monotonic_ms()), {})]
    )
    figures.register_gauge(
        "saffronworks_longest_loop_turn_ms",
        lambda: [Level(LOOP_METER.longest_turn_ms(monotonic_ms()), {})],
    )
    figures.register_gauge("saffronworks_body_bytes", lambda: [Level(bodies.held_bytes, {})])
    figures.register_gauge(
        "saffronworks_refused_bodies", lambda: levels_by("reason", bodies.refused)
    )


def register_service_gauges(figures: MetricsRecorder, kernel: Kernel, peers: PeerService) -> None:
    """Register the failures of a node's services and of the messages to them."""
    figures.register_gauge(
        "saffronworks_service_failures", lambda: levels_by("service", kernel.failures)
    )
    figures.register_gauge(
        "saffronworks_failed_messages", lambda: levels_by("service", kernel.dropped)
    )
    figures.register_gauge(
        "saffronworks_unusable_from_peers", lambda: levels_by("part", peers.unusable)
    )


def levels_by(label: str, counts: Mapping[_Value, int]) -> list[Level]:
    """Return counts by the value of one label as the levels of a gauge."""
    return [Level(count, {label: value}) for value, count in counts.items()]
