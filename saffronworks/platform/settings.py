"""The settings file that the platform writes for each node."""

import attrs
from result import Err, Ok, Result

from saffronworks.forwarding.shares.limits import Tolerance
from saffronworks.forwarding.tuning import (
    WATCH_MARGIN_MS,
    WATCH_WAIT_MAX_MS,
)
from saffronworks.readers import Finding, Section, read_yaml, sort_findings

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_platform_settings"]

SETTINGS_VARIABLE = "SAFFRONWORKS_NODE_FILE"
# Lower bound of a watch's wait, whatever the settings: shorter watches amount to polling.
MIN_WATCH_WAIT_MS = 500
# Window in which quotas are checked, unless the settings have another.
DEFAULT_QUOTA_WINDOW_S = 8.0
BYTES_PER_MB = 1_000_000
# Value in the setting `contracts` by which callers and endpoints may read slowly.
SLOW_READERS_CONTRACT = "pressure"


@attrs.frozen
class PlatformSettings:
    """The settings of a node on the platform. Addresses are `IP:port`; unknown keys are ignored."""

    node: str
    ip: str
    zone: str
    caller_address: str
    probe_address: str
    peer_address: str
    # None if the platform reserves only one port for calls between nodes.
    relay_address: str | None
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
    # How long requests may still be sent to a draining endpoint.
    drain_ms: int
    cores: float
    # Mbit/s of the VM's network link, 0 if it is not limited.
    link_mbps: float
    # None without a memory limit, or if callers and endpoints never read slowly.
    memory_bytes: int | None
    # None without a memory limit.
    memory_limit_bytes: int | None
    # Descriptors of the process, files included; None without a limit.
    max_descriptors: int | None
    quota_bounds: Tolerance
    # Region by availability zone.
    regions: dict[str, str] = attrs.Factory(dict)
    # True at the first start of the whole system only.
    first_start: bool = False


def read_platform_settings(text: str, file: str) -> Result[PlatformSettings, list[Finding]]:
    """Read and check every setting in use; the error lists all findings."""
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
    known_within_ms = _known_within_ms(bounds)
    return PlatformSettings(
        node=root.text("node_name"),
        ip=root.text("ip"),
        zone=root.text("zone"),
        caller_address=listen.address("front"),
        probe_address=listen.address("ready"),
        peer_address=f"{root.text('ip')}:{_first_port(root)}",
        relay_address=_relay_address(root),
        store_address=store.address("address"),
        # Time between SIGTERM and SIGKILL.
        stop_grace_ms=int(bounds.number("grace_s") * 1000),
        retry_ratio=bounds.number("retry_budget_ratio"),
        # Retries that all nodes together may add per window, whatever the number of requests.
        retry_slack=bounds.number("retry_slack"),
        retry_window_ms=int(bounds.number("budget_window_s") * 1000),
        lease_ms=bounds.integer("lease_ms", 3000, least=1),
        thaw_slack_ms=bounds.integer("thaw_slack_ms", 300),
        watch_wait_ms=max(
            MIN_WATCH_WAIT_MS, min(WATCH_WAIT_MAX_MS, known_within_ms - WATCH_MARGIN_MS)
        ),
        known_within_ms=known_within_ms,
        follow_within_ms=_follow_within_ms(bounds),
        drain_ms=_drain_ms(bounds),
        # `cpu_share` is the share of one core, and `cores` the relative speed of that core.
        cores=limits.number("cpu_share", 1.0) * limits.number("cores", 1.0),
        link_mbps=limits.number("link_mbps", 0.0),
        memory_bytes=_memory_bytes(root, limits),
        memory_limit_bytes=_memory_limit_bytes(limits),
        max_descriptors=limits.integer("max_fds", 0) or None,
        quota_bounds=_quota_bounds(bounds),
        regions=root.text_map("zones"),
        first_start=root.flag("first_start", False),
    )


def _memory_bytes(root: Section, limits: Section) -> int | None:
    if SLOW_READERS_CONTRACT not in root.texts("contracts"):
        return None
    return _memory_limit_bytes(limits)


def _memory_limit_bytes(limits: Section) -> int | None:
    return int(limits.number("memory_mb", 0.0) * BYTES_PER_MB) or None


def _quota_bounds(bounds: Section) -> Tolerance:
    """Return the tolerated excess over quotas; the settings are optional without quotas."""
    return Tolerance(
        window_ms=max(1, int(bounds.number("quota_window_s", DEFAULT_QUOTA_WINDOW_S) * 1000)),
        overage=bounds.number("quota_overage", 0.0),
        slack=bounds.number("quota_slack", 0.0),
    )


def _known_within_ms(bounds: Section) -> int:
    """Return the time after an outage of the store within which a node must be up to date.

    A change made `contact_ms` after the end of the outage has to be applied within the shorter of
    the bounds on configuration and on draining servers. Watches wait less than this, so one that
    was lost at the end of the outage times out earlier.
    """
    return bounds.integer("contact_ms", 3000, least=1) + _follow_within_ms(bounds)


def _follow_within_ms(bounds: Section) -> int:
    """Return the time within which a node must apply a change that the store has accepted."""
    apply_ms = bounds.integer("config_apply_ms", 2000, least=1)
    return min(apply_ms, _drain_ms(bounds))


def _drain_ms(bounds: Section) -> int:
    return bounds.integer("drain_ms", 2000, least=1)


def _relay_address(root: Section) -> str | None:
    """Return the address on the second reserved port, None if there is only one."""
    first, ports = _first_port(root), root.texts("port_range")
    if not ports or not ports[-1].isdigit() or int(ports[-1]) <= first:
        return None
    return f"{root.text('ip')}:{first + 1}"


def _first_port(root: Section) -> int:
    """Return the first of the ports reserved for messages between nodes."""
    ports = root.texts("port_range")
    if not ports or not ports[0].isdigit():
        root.complain("port_range", "expected the first and the last port number")
        return 0
    return int(ports[0])
