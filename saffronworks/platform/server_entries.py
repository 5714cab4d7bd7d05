"""What an entry of a server must hold to be used, field by field."""

from typing import Annotated, Any, Literal, get_type_hints

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.web import is_address

__all__ = ["ServerEntry", "read_entry"]

# An entry has some 300 bytes, and a few hundred more with adapters of its model.
MOST_ENTRY_BYTES = 65_536
# A start may lie so far ahead of this VM's time: clocks differ, and may jump by seconds.
BORN_AHEAD_MS = 60_000

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
_Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


@attrs.frozen
class ServerEntry:
    """All fields of an entry; the ones with a default need not be there."""

    service: _Text
    address: _Text
    zone: _Text
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, lt=2**31)]
    state: Literal["ready", "draining"]
    # How much longer it is slow from its start.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    # Counts the server's writes.
    sequence: _Count
    # The endpoint's role; absent at services without engines.
    stage: Literal["prefill", "decode"] | None = None
    # Unix time of the server's start in ms.
    born: _Count | None = None


_FIELDS = get_type_hints(ServerEntry, include_extras=True)
_UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
_NEEDED = {field.name for field in attrs.fields(ServerEntry) if field.default is attrs.NOTHING}


def read_entry(content: bytes, wall_ms: int) -> Result[ServerEntry, list[str]]:
    """An entry, or all that keeps it from being used; `wall_ms` is the Unix time now."""
    if len(content) > MOST_ENTRY_BYTES:
        return Err([f"{len(content)} bytes are more than {MOST_ENTRY_BYTES}"])
    try:
        entry = msgspec.json.decode(content, type=ServerEntry)
    except _UNREADABLE as error:
        return Err(_find_all(content) or [str(error)])
    findings = _check_values(entry, wall_ms)
    return Err(findings) if findings else Ok(entry)


def _check_values(entry: ServerEntry, wall_ms: int) -> list[str]:
    findings = []
    if not is_address(entry.address):
        findings.append(f"address: {entry.address!r} is not of the form IP:port")
    if entry.born is not None and entry.born > wall_ms + BORN_AHEAD_MS:
        findings.append(f"born: {entry.born} lies {entry.born - wall_ms} ms ahead")
    return findings


def _find_all(content: bytes) -> list[str]:
    """Every field's own finding; none where the content as a whole can't be read."""
    try:
        fields = msgspec.json.decode(content)
    except _UNREADABLE as error:
        return [f"unreadable: {error}"]
    if not isinstance(fields, dict):
        return ["it is no object"]
    findings = [f"{name}: missing" for name in sorted(_NEEDED - fields.keys())]
    for name in _FIELDS.keys() & fields.keys():
        findings += _check_type(name, fields[name])
    return findings


def _check_type(name: str, value: Any) -> list[str]:
    try:
        msgspec.convert(value, _FIELDS[name])
    except msgspec.MsgspecError as error:
        return [f"{name}: {error}"]
    if name == "address" and not is_address(value):
        return [f"address: {value!r} is not of the form IP:port"]
    return []
