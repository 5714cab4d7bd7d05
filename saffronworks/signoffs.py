"""Sign-off of a bundle by conditional update: a pure core that settles lost replies.

A roll back is a sign-off of older content as a new version.
"""

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.wire import DECODE_ERRORS

__all__ = [
    "Accepted",
    "BackOff",
    "Conflict",
    "Outage",
    "PutIf",
    "PutDone",
    "PutLost",
    "PutRefused",
    "Read",
    "ReadDone",
    "SignOff",
    "SignOffRecord",
    "Unsettled",
    "read_record",
    "start",
    "step",
    "write_record",
]

MOST_TRIES = 6
FIRST_BACKOFF_MS = 100


@attrs.frozen
class SignOffRecord:
    """What the store keeps for a bundle version: the text, who signed it off, and its id."""

    text: str
    sign_off_id: str
    signed_by: str
    note: str = ""


def write_record(record: SignOffRecord) -> str:
    """The record as the store's value."""
    return msgspec.json.encode(record).decode()


def read_record(content: str) -> Result[SignOffRecord, str]:
    """Decode the record in a value, or return why there is none."""
    try:
        return Ok(msgspec.json.decode(content, type=SignOffRecord))
    except DECODE_ERRORS as error:
        return Err(str(error))


@attrs.frozen
class ReadDone:
    """The store's current version (0: none) and record."""

    version: int
    record: SignOffRecord | None


@attrs.frozen
class PutDone:
    """The store took the update as this version."""

    version: int


@attrs.frozen
class PutRefused:
    """The version had moved."""


@attrs.frozen
class PutLost:
    """No reply: the update may or may not have taken effect."""


@attrs.frozen
class Outage:
    """The store answered with an error, or not at all, to a read."""


@attrs.frozen
class Read:
    """Read the current version."""


@attrs.frozen
class PutIf:
    """Write the record if the version is still `expected`."""

    expected: int


@attrs.frozen
class BackOff:
    """Wait, then read."""

    wait_ms: int


@attrs.frozen
class Accepted:
    """In the store as `version`; it takes effect everywhere within seconds."""

    version: int


@attrs.frozen
class Conflict:
    """Another change came first; it is named."""

    version: int
    signed_by: str
    sign_off_id: str


@attrs.frozen
class Unsettled:
    """The store stayed away; the same sign-off id may be sent again without harm."""

    reason: str


Event = ReadDone | PutDone | PutRefused | PutLost | Outage
Command = Read | PutIf | BackOff | Accepted | Conflict | Unsettled


@attrs.define
class SignOff:
    """One sign-off under way. `base_version` is what the operator compared with."""

    sign_off_id: str
    base_version: int
    tries: int = 0
    wrote: bool = False


def start(state: SignOff) -> Command:
    """The first command."""
    return Read()


def step(state: SignOff, event: Event) -> Command:
    """Apply one event; the last command is Accepted, Conflict or Unsettled."""
    match event:
        case PutDone():
            return Accepted(event.version)
        case ReadDone():
            return _settle(state, event)
        case PutRefused() | PutLost() | Outage():
            return _again(state)


def _settle(state: SignOff, event: ReadDone) -> Command:
    record = event.record
    if record is not None and record.sign_off_id == state.sign_off_id:
        return Accepted(event.version)
    if event.version != state.base_version:
        signed_by = record.signed_by if record else "unknown"
        sign_off_id = record.sign_off_id if record else ""
        return Conflict(event.version, signed_by, sign_off_id)
    return PutIf(event.version)


def _again(state: SignOff) -> Command:
    state.tries += 1
    if state.tries >= MOST_TRIES:
        return Unsettled("the store does not answer")
    return BackOff(FIRST_BACKOFF_MS * 2**state.tries)
