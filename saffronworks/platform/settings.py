"""The settings file that the platform lays beside each process."""

import attrs
from result import Err, Ok, Result

from saffronworks.forwarding.shares.bounds import Tolerance
from saffronworks.forwarding.tuning import (
    WATCH_MARGIN_MS,
    WATCH_WAIT_MAX_MS,
)
from saffronworks.readers import Finding, Section, read_yaml, sort_findings

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_platform_settings"]

SETTINGS_VARIABLE = "SAFFRONWORKS_NODE_FILE"
# A watch waits at least so long, whatever the bounds: shorter ones are polls.
WATCH_LEAST_MS = 500
# The window in which quotas are judged where the settings name none.
DEFAULT_QUOTA_WINDOW_S = 8.0
BYTES_PER_MB = 1_000_000
# The contract under which callers and endpoints may read slowly.
SLOW_READERS_CONTRACT = "pressure"


@attrs.frozen
class PlatformSettings:
    """What a node on the platform is told. Addresses are `IP:port`; unknown fields are ignored."""

    node: str
    ip: str
    zone: str
    caller_address: str
    probe_address: str
    peer_address: str
    store_address: str
    stop_grace_ms: int
    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    lease_ms: int
    thaw_slack_ms: int
    watch_wait_ms: int
    known_within_ms: int
    follow_within_ms: int
    # How long an endpoint that drains may still be sent requests.
    drain_ms: int
    cores: float
    # None where no limit is told, or where callers and endpoints read as fast as they are sent to.
    memory_bytes: int | None
    quota_bounds: Tolerance


def read_platform_settings(text: str, file: str) -> Result[PlatformSettings, list[Finding]]:
    """Read and check every field that is used; all findings at once."""
    findings: list[Finding] = []
    root = read_yaml(text, file, findings)
    if root is None:
        return Err(findings)
    settings = _read_fields(root)
    return Err(sort_findings(findings)) if findings else Ok(settings)


def _read_fields(root: Section) -> PlatformSettings:
    listen = root.section("listen")
    bounds = root.section("bounds")
    limits = root.section("limits")
    store = root.section("platform")
    known_ms = _known_within_ms(bounds)
    return PlatformSettings(
        node=root.text("node_name"),
        ip=root.text("ip"),
        zone=root.text("zone"),
        caller_address=listen.address("front"),
        probe_address=listen.address("ready"),
        peer_address=f"{root.text('ip')}:{_first_port(root)}",
        store_address=store.address("address"),
        # Between SIGTERM and SIGKILL.
        stop_grace_ms=int(bounds.number("grace_s") * 1000),
        retry_ratio=bounds.number("retry_budget_ratio"),
        # Extra sends of the whole fleet in a window, whatever the number of requests.
        retry_slack=bounds.number("retry_slack"),
        retry_window_ms=int(bounds.number("budget_window_s") * 1000),
        lease_ms=bounds.integer("lease_ms", 3000, least=1),
        thaw_slack_ms=bounds.integer("thaw_slack_ms", 300),
        watch_wait_ms=max(WATCH_LEAST_MS, min(WATCH_WAIT_MAX_MS, known_ms - WATCH_MARGIN_MS)),
        known_within_ms=known_ms,
        follow_within_ms=_follow_within_ms(bounds),
        drain_ms=_drain_ms(bounds),
        # The share is of a core that runs `cores` times as fast.
        cores=limits.number("cpu_share", 1.0) * limits.number("cores", 1.0),
        memory_bytes=_memory_bytes(root, limits),
        quota_bounds=_quota_bounds(bounds),
    )


def _memory_bytes(root: Section, limits: Section) -> int | None:
    if SLOW_READERS_CONTRACT not in root.texts("contracts"):
        return None
    return int(limits.number("memory_mb", 0.0) * BYTES_PER_MB) or None


def _quota_bounds(bounds: Section) -> Tolerance:
    """What is tolerated beyond quotas; the operator need not say where there are none."""
    return Tolerance(
        window_ms=max(1, int(bounds.number("quota_window_s", DEFAULT_QUOTA_WINDOW_S) * 1000)),
        overage=bounds.number("quota_overage", 0.0),
        slack=bounds.number("quota_slack", 0.0),
    )


def _known_within_ms(bounds: Section) -> int:
    """How long after the end of trouble in the store a node goes by what the store says.

    It is expected to know what changes `contact_ms` after that within the shorter of the bounds on
    configuration and on leaving servers. A watch that is lost when trouble ends is over before.
    """
    return bounds.integer("contact_ms", 3000, least=1) + _follow_within_ms(bounds)


def _follow_within_ms(bounds: Section) -> int:
    """Within how long a node goes by a change that the store has taken."""
    apply_ms = bounds.integer("config_apply_ms", 2000, least=1)
    return min(apply_ms, _drain_ms(bounds))


def _drain_ms(bounds: Section) -> int:
    return bounds.integer("drain_ms", 2000, least=1)


def _first_port(root: Section) -> int:
    """The first of the ports that are free for what nodes say to each other."""
    ports = root.texts("port_range")
    if not ports or not ports[0].isdigit():
        root.complain("port_range", "expected the first and the last port")
        return 0
    return int(ports[0])
