"""Decodes the operator's configuration object into the routing table."""

import logging
import re
from collections.abc import Callable
from typing import Annotated, Any

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding.organisations import Organisations
from saffronworks.forwarding.ports import Listing
from saffronworks.forwarding.routing import (
    DEFAULT_PRIORITY,
    CallerLimits,
    EngineSpec,
    Route,
    RoutingTable,
    Service,
    Split,
)
from saffronworks.forwarding.store_revisions import StoreRevision
from saffronworks.platform.organisations import Tenant, check_tenants, decode_tenants
from saffronworks.wire import DECODE_ERRORS, Real, Whole

__all__ = ["CONFIG_KIND", "CONFIG_NAME", "ConfigurationSink", "read_configuration"]

logger = logging.getLogger(__name__)

CONFIG_KIND = "config"
CONFIG_NAME = "main"

_IDEMPOTENT = "idempotent"
_STREAMING = "streaming"
_KINDS = (_IDEMPOTENT, "non_idempotent", _STREAMING)
_HEALTH_PATH = re.compile(r"/[!-~]{0,1023}")
_Count = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
# Tokens or bytes.
_Size = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
_Ms = Annotated[float, msgspec.Meta(ge=0, lt=2**31)]


@attrs.frozen
class _Split:
    service: str
    weight: Real


@attrs.frozen
class _Route:
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Ms
    max_attempts: _Count = 1
    target_latency_ms: _Ms = 1000
    service: str | None = None
    traffic_split: list[_Split] = attrs.Factory(list)
    resumable: bool = False
    gap_target_ms: _Ms = 300
    # A public route is served without an API key.
    public: bool = False
    priority: Whole = DEFAULT_PRIORITY


@attrs.frozen
class _Engine:
    slots: _Count
    kv_capacity_tokens: _Size
    # Tokens per event of a stream.
    stride: _Count = 1
    # Longest time for which memory may stay reserved before it is used.
    hold_ms: _Ms = 2000.0


@attrs.frozen
class _Service:
    name: str
    max_conns: _Count = 100
    engine: _Engine | None = None
    # Of any type: a malformed path must not invalidate the configuration.
    health_path: Any = None


@attrs.frozen
class _Limits:
    max_header_bytes: _Size = 16_384
    max_body_bytes: _Size = 4_194_304
    header_timeout_ms: _Ms = 10_000
    idle_timeout_ms: _Ms = 15_000


@attrs.frozen
class _Configuration:
    version: Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # The organisations. Without this field, callers need no API key.
    tenants: list[Tenant] | None = None


def read_configuration(content: bytes) -> Result[RoutingTable, list[str]]:
    """Decode and check the configuration; the error lists all findings."""
    try:
        configuration = msgspec.json.decode(content, type=_Configuration)
    except DECODE_ERRORS as error:
        return Err([f"{CONFIG_KIND}/{CONFIG_NAME}: {error}"])
    findings = _check(configuration)
    if findings:
        return Err(findings)
    return Ok(
        RoutingTable(
            version=configuration.version,
            routes=tuple(_decode_route(route) for route in configuration.routes),
            services={service.name: _decode_service(service) for service in configuration.services},
            limits=CallerLimits(
                configuration.limits.max_header_bytes,
                configuration.limits.max_body_bytes,
                int(configuration.limits.idle_timeout_ms),
                int(configuration.limits.header_timeout_ms),
            ),
            organisations=_decode_organisations(configuration),
        )
    )


def _check(configuration: _Configuration) -> list[str]:
    findings = []
    services = {service.name for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        location = f"routes[{index}] {route.name}"
        referenced = [split.service for split in route.traffic_split] or [route.service or ""]
        findings += [
            f"{location}: no service is named {name!r}"
            for name in referenced
            if name not in services
        ]
        if route.kind not in _KINDS:
            findings.append(
                f"{location}: unknown kind {route.kind!r}, expected one of {', '.join(_KINDS)}"
            )
        if route.priority < 0:
            findings.append(f"{location}: priority: {route.priority} must not be negative")
        if route.traffic_split and sum(split.weight for split in route.traffic_split) <= 0:
            findings.append(f"{location}: the weights of its services must add up to more than 0")
    return findings + check_tenants(configuration.tenants or [])


def _decode_organisations(configuration: _Configuration) -> Organisations | None:
    return None if configuration.tenants is None else decode_tenants(configuration.tenants)


def _decode_route(route: _Route) -> Route:
    splits = tuple(Split(split.service, split.weight) for split in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        splits=splits or (Split(route.service or "", 1.0),),
        repeatable=route.kind == _IDEMPOTENT,
        streams=route.kind == _STREAMING,
        resumable=route.resumable,
        timeout_ms=int(route.timeout_ms),
        target_ms=int(route.target_latency_ms),
        max_attempts=route.max_attempts,
        gap_target_ms=int(route.gap_target_ms),
        public=route.public,
        priority=route.priority,
    )


def _decode_service(service: _Service) -> Service:
    engine = service.engine
    spec = engine and EngineSpec(
        slots=engine.slots,
        kv_capacity_tokens=engine.kv_capacity_tokens,
        tokens_per_event=engine.stride,
        hold_most_ms=int(engine.hold_ms),
    )
    # The path becomes part of a request line.
    path = service.health_path
    health_path = path if isinstance(path, str) and _HEALTH_PATH.fullmatch(path) else None
    return Service(service.name, service.max_conns, spec or None, health_path)


class ConfigurationSink:
    """Applies each valid configuration; after an invalid one the last valid one stays in force."""

    def __init__(self, apply_table: Callable[[RoutingTable], bool]):
        self._apply_table = apply_table

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """Apply a complete listing."""
        self.apply(listing, lapse_until_ms)

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Apply changes since the last listing."""
        for item in changes.objects:
            if item.name == CONFIG_NAME and item.content is not None:
                self._apply_object(item.content, item.revision)

    def _apply_object(self, content: bytes, revision: StoreRevision) -> None:
        read = read_configuration(content)
        if isinstance(read, Err):
            for finding in read.err_value:
                logger.error("event=config_unreadable revision=%s problem=%r", revision, finding)
            return
        self._apply_table(read.ok_value)
