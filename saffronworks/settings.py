"""Settings of one node: every default, the merge with a YAML file, and the checks."""

import attrs
from result import Err, Ok, Result

from saffronworks.readers import Finding, Section, read_yaml, sort_findings

__all__ = ["Settings", "read_settings"]


@attrs.frozen
class Settings:
    """What a node is told at its start. Addresses are `IP:port`, times milliseconds."""

    name: str
    zone: str
    region: str
    caller_address: str = "127.0.0.1:8080"
    admin_address: str = "127.0.0.1:8081"
    peer_address: str = "127.0.0.1:8082"
    store_address: str = "127.0.0.1:9000"
    store_reads_per_s: int = 2000
    seeds: tuple[str, ...] = ()
    heartbeat_ms: int = 500
    suspect_after_ms: int = 1500
    dead_after_ms: int = 3000
    lease_ms: int = 3000
    drain_ms: int = 120_000
    ask_again_ms: int = 400
    report_every_ms: int = 1000
    streams_every_ms: int = 2000
    max_body_bytes: int = 4_000_000
    # Memory for the bodies of all requests together.
    body_memory_bytes: int = 64_000_000
    # Connections whose clients have sent ahead of the answers; each may have 448 KiB.
    max_unread_connections: int = 128
    # Memory for request heads beyond the usual size, of all connections together.
    head_memory_bytes: int = 16_000_000
    max_live_requests: int = 4096
    # Open connections of callers, and of operators.
    max_connections: int = 8192
    max_operator_connections: int = 128
    log_level: str = "INFO"


def read_settings(text: str, file: str) -> Result[Settings, list[Finding]]:
    """Merge a YAML text over the defaults and check the whole; all findings at once."""
    findings: list[Finding] = []
    section = read_yaml(text, file, findings)
    if section is None:
        return Err(findings)
    settings = _read_fields(section)
    section.finish()
    _check_times(settings, section)
    return Err(sort_findings(findings)) if findings else Ok(settings)


def _read_fields(section: Section) -> Settings:
    values: dict[str, object] = {}
    for field in attrs.fields(Settings):
        default = None if field.default is attrs.NOTHING else field.default
        if field.name == "seeds":
            values[field.name] = section.texts(field.name)
        elif field.name.endswith("_address"):
            values[field.name] = section.address(field.name, default)
        elif field.type is int:
            values[field.name] = section.integer(field.name, default, least=1)
        else:
            values[field.name] = section.text(field.name, default)
    return Settings(**values)  # type: ignore[arg-type]


def _check_times(settings: Settings, section: Section) -> None:
    if settings.suspect_after_ms <= settings.heartbeat_ms:
        section.complain("suspect_after_ms", "must be more than heartbeat_ms")
    if settings.dead_after_ms <= settings.suspect_after_ms:
        section.complain("dead_after_ms", "must be more than suspect_after_ms")
    if settings.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        section.complain("log_level", "is not one of DEBUG, INFO, WARNING, ERROR")
