"""The entry of a server in the store, and the validation of its fields."""

from typing import Annotated, Any, Literal, get_type_hints

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.web import is_address
from saffronworks.wire import DECODE_ERRORS

__all__ = ["ServerEntry", "read_entry"]

# Larger entries are invalid. An entry has about 300 bytes, and a few hundred more if its model has
# adapters.
MAX_ENTRY_BYTES = 65_536
# How far a server's start time may be ahead of this VM's clock, as clocks differ by seconds.
MAX_START_AHEAD_MS = 60_000

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
_Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


@attrs.frozen
class ServerEntry:
    """All fields of an entry; those with a default are optional."""

    service: _Text
    address: _Text
    zone: _Text
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, lt=2**31)]
    state: Literal["ready", "draining"]
    # Time for which the server is still slow after its start.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    # Number of writes to this entry by the server.
    sequence: _Count
    # Role of the endpoint; missing for services without engines.
    stage: Literal["prefill", "decode"] | None = None
    # Unix time of the server's start in ms.
    born: _Count | None = None


_FIELDS = get_type_hints(ServerEntry, include_extras=True)
_REQUIRED = {field.name for field in attrs.fields(ServerEntry) if field.default is attrs.NOTHING}


def read_entry(content: bytes, wall_ms: int) -> Result[ServerEntry, list[str]]:
    """Return a valid entry, or all findings; `wall_ms` is the Unix time now."""
    if len(content) > MAX_ENTRY_BYTES:
        return Err([f"{len(content)} bytes exceed the maximum of {MAX_ENTRY_BYTES}"])
    try:
        entry = msgspec.json.decode(content, type=ServerEntry)
    except DECODE_ERRORS as error:
        return Err(_check_fields(content) or [str(error)])
    findings = _check_values(entry, wall_ms)
    return Err(findings) if findings else Ok(entry)


def _check_values(entry: ServerEntry, wall_ms: int) -> list[str]:
    findings = []
    if not is_address(entry.address):
        findings.append(f"address: {entry.address!r} must have the form IP:port")
    if entry.born is not None and entry.born > wall_ms + MAX_START_AHEAD_MS:
        findings.append(f"born: {entry.born} is {entry.born - wall_ms} ms in the future")
    return findings


def _check_fields(content: bytes) -> list[str]:
    """Check each field by itself, since decoding the whole entry stops at the first error."""
    try:
        fields = msgspec.json.decode(content)
    except DECODE_ERRORS as error:
        return [f"malformed: {error}"]
    if not isinstance(fields, dict):
        return ["expected an object"]
    findings = [f"{name}: missing" for name in sorted(_REQUIRED - fields.keys())]
    for name in _FIELDS.keys() & fields.keys():
        findings += _check_type(name, fields[name])
    return findings


def _check_type(name: str, value: Any) -> list[str]:
    try:
        msgspec.convert(value, _FIELDS[name])
    except msgspec.MsgspecError as error:
        return [f"{name}: {error}"]
    if name == "address" and not is_address(value):
        return [f"address: {value!r} must have the form IP:port"]
    return []
