"""Claims on unrepeatable requests by `Idempotency-Key`: a pure core over conditional updates.

A claim is created in the store before the first dispatch, so that the same key runs at most
once through any node and across the death of one. Without a recorded claim nothing is run.
"""

import enum

import attrs
import msgspec

from saffronworks.hashing import hash64

__all__ = [
    "BackOff",
    "Claim",
    "ClaimRecord",
    "ClaimState",
    "Claimed",
    "Denied",
    "Found",
    "Lost",
    "Missing",
    "Moved",
    "Outage",
    "Read",
    "Unrecorded",
    "Write",
    "Written",
    "claim_key",
    "read_record",
    "start",
    "step",
    "write_record",
]

MOST_TRIES = 4
FIRST_BACKOFF_MS = 50


class ClaimState(enum.StrEnum):
    """`OPEN` may have run, or runs now; `NOT_RUN` surely did not, and may be taken over."""

    OPEN = "open"
    NOT_RUN = "not-run"


@attrs.frozen
class ClaimRecord:
    """What the store keeps of a claim."""

    request_id: str
    node: str
    state: ClaimState = ClaimState.OPEN


def claim_key(organisation: str, idempotency_key: str) -> str:
    """The store's key of a claim; keys of different organisations never meet."""
    text = f"{organisation}\n{idempotency_key}"
    return f"claims/{hash64(text):016x}{hash64(text[::-1]):016x}"


def write_record(record: ClaimRecord) -> str:
    """The record as the store's value."""
    return msgspec.json.encode(record).decode()


def read_record(content: str) -> ClaimRecord:
    """The record in a value; raises msgspec.ValidationError when it is none."""
    return msgspec.json.decode(content, type=ClaimRecord)


@attrs.frozen
class Missing:
    """No claim with that key is recorded."""


@attrs.frozen
class Found:
    """A claim is recorded, as this version."""

    version: int
    record: ClaimRecord


@attrs.frozen
class Written:
    """The store took the write, as this version."""

    version: int


@attrs.frozen
class Moved:
    """Another write came first."""


@attrs.frozen
class Lost:
    """No reply to a write: it may or may not have taken effect."""


@attrs.frozen
class Outage:
    """The store does not answer reads, or surely did not take the write."""


@attrs.frozen
class Read:
    """Read the claim."""


@attrs.frozen
class Write:
    """Write the claim if its version is still `expected` (0: none is recorded)."""

    expected: int


@attrs.frozen
class BackOff:
    """Wait, then read."""

    wait_ms: int


@attrs.frozen
class Claimed:
    """The claim is ours, as this version; the request may be dispatched."""

    version: int
    request_id: str


@attrs.frozen
class Denied:
    """Another request has the key, and it may have run."""

    holder: ClaimRecord


@attrs.frozen
class Unrecorded:
    """The store does not answer; nothing may be dispatched."""


Event = Missing | Found | Written | Moved | Lost | Outage
Command = Read | Write | BackOff | Claimed | Denied | Unrecorded


@attrs.define
class Claim:
    """One claim under way; after a lost reply, reading back tells whose the claim is."""

    request_id: str
    tries: int = 0


def start(state: Claim) -> Command:
    """The first command: most keys are new, so the write comes before any read."""
    return Write(0)


def step(state: Claim, event: Event) -> Command:
    """Apply one event; the last command is Claimed, Denied or Unrecorded."""
    match event:
        case Written():
            return Claimed(event.version, state.request_id)
        case Moved():
            return Read()
        case Missing():
            return Write(0)
        case Found() if event.record.request_id == state.request_id:
            return Claimed(event.version, state.request_id)
        case Found() if event.record.state is ClaimState.NOT_RUN:
            return Write(event.version)
        case Found():
            return Denied(event.record)
        case Lost() | Outage():
            return _again(state)


def _again(state: Claim) -> Command:
    state.tries += 1
    if state.tries >= MOST_TRIES:
        return Unrecorded()
    return BackOff(FIRST_BACKOFF_MS * 2**state.tries)
