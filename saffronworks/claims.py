"""Claims on `Idempotency-Key`s: at most one request runs for each key, across all nodes.

Claims are stored in `SHARDS` objects of the store. The owner of a shard, a node chosen by hash,
writes the pending claims in one conditional update, at most every `WRITE_INTERVAL_MS`, which
bounds the write rate of the whole fleet. The store alone decides: two nodes that both act as owner
for a moment cause write conflicts, and never grant a key twice. This module is the state machine
of one shard at its owner, free of I/O; `now_ms` is wall-clock time, since claims outlive the nodes
that wrote them.
"""

import attrs
import msgspec

from saffronworks.hashing import hash64

__all__ = [
    "Answer",
    "ClaimRecord",
    "ClaimRequested",
    "ClaimShard",
    "Claimed",
    "Command",
    "Denied",
    "Event",
    "Read",
    "ReadDone",
    "Result",
    "Settled",
    "Tick",
    "Unavailable",
    "Unrecorded",
    "Write",
    "WriteConflict",
    "WriteDone",
    "WriteLost",
    "claim_key",
    "read_records",
    "shard_of",
    "step",
    "write_records",
]

SHARDS = 64
WRITE_INTERVAL_MS = 200
CLAIM_KEPT_MS = 600_000
# The store limits a value to 1 MB, and a record takes up to 130 bytes.
MAX_CLAIMS = 7000
MAX_TRIES = 4
FIRST_BACKOFF_MS = 100
MAX_WAIT_MS = 3000


@attrs.frozen
class ClaimRecord:
    """A claim as stored; `at_ms` is the wall-clock time at which it was recorded."""

    request_id: str
    node: str
    at_ms: int


def claim_key(organisation: str, idempotency_key: str) -> str:
    """The key of a claim, hashed with the organisation: two organisations may use equal keys."""
    text = f"{organisation}\n{idempotency_key}"
    return f"{hash64(text):016x}{hash64(text[::-1]):016x}"


def shard_of(key: str) -> str:
    """The store key of the shard that holds a claim."""
    return f"claims/{int(key[:8], 16) % SHARDS:02x}"


def write_records(records: dict[str, ClaimRecord]) -> str:
    """Encode the claims of a shard as a store value."""
    return msgspec.json.encode(records).decode()


def read_records(content: str) -> dict[str, ClaimRecord]:
    """Decode the claims of a store value; raises msgspec.ValidationError if it is malformed."""
    return msgspec.json.decode(content, type=dict[str, ClaimRecord])


@attrs.frozen
class Claimed:
    """The claim is recorded; the request may be dispatched."""


@attrs.frozen
class Denied:
    """Another request holds the key, and it may have run."""

    request_id: str
    node: str


@attrs.frozen
class Unrecorded:
    """The claim was not recorded; the request must not be dispatched."""


Result = Claimed | Denied | Unrecorded


@attrs.frozen
class ClaimRequested:
    """A request at `node` claims the key."""

    key: str
    request_id: str
    node: str


@attrs.frozen
class Settled:
    """The request certainly did not run, so another request may claim the key."""

    key: str
    request_id: str


@attrs.frozen
class ReadDone:
    """The shard's current content; version 0 when the object does not exist yet."""

    version: int
    records: dict[str, ClaimRecord]


@attrs.frozen
class WriteDone:
    """The store applied the write as this version."""

    version: int


@attrs.frozen
class WriteConflict:
    """Another write was applied first, so the shard's version has changed."""


@attrs.frozen
class WriteLost:
    """The write got no reply: it may have been applied, or may be applied later."""


@attrs.frozen
class Unavailable:
    """A read failed, or a write was certainly not applied."""


@attrs.frozen
class Tick:
    """Periodic timer event."""


@attrs.frozen
class Read:
    """Read the shard; answered by `ReadDone` or `Unavailable`."""


@attrs.frozen
class Write:
    """Write the shard if its version is `expected`.

    Answered by `WriteDone`, `WriteConflict`, `WriteLost` or `Unavailable`.
    """

    expected: int
    records: dict[str, ClaimRecord]


@attrs.frozen
class Answer:
    """Send a node the result of its request's claim."""

    node: str
    key: str
    request_id: str
    result: Result


Event = (
    ClaimRequested | Settled | ReadDone | WriteDone | WriteConflict | WriteLost | Unavailable | Tick
)
Command = Read | Write | Answer
_Pair = tuple[str, str]


@attrs.define
class ClaimShard:
    """State of one shard at its owner. `version` is None when the shard must be read.

    `pending` holds unanswered claims by (key, request id) with their arrival times; `settled` the
    pairs whose claims must be removed; `batch` the pairs added by the write in flight.
    """

    version: int | None = None
    records: dict[str, ClaimRecord] = attrs.Factory(dict)
    pending: dict[_Pair, tuple[ClaimRequested, int]] = attrs.Factory(dict)
    settled: set[_Pair] = attrs.Factory(set)
    writing: dict[str, ClaimRecord] | None = None
    batch: tuple[_Pair, ...] = ()
    reading: bool = False
    tries: int = 0
    next_try_ms: int = 0

    @property
    def idle(self) -> bool:
        """True when no store call is in flight and nothing is pending."""
        return not (self.pending or self.settled or self.reading or self.writing is not None)


def step(state: ClaimShard, event: Event, now_ms: int) -> list[Command]:
    """Apply one event and return the commands to execute."""
    commands: list[Command] = []
    match event:
        case ClaimRequested():
            commands += _add_claim(state, event, now_ms)
        case Settled():
            state.pending.pop((event.key, event.request_id), None)
            state.settled.add((event.key, event.request_id))
        case ReadDone():
            state.reading = False
            state.version, state.records = event.version, dict(event.records)
        case WriteDone():
            commands += _finish_write(state, event.version, now_ms)
        case WriteConflict():
            state.writing, state.version = None, None
        case WriteLost() | Unavailable():
            commands += _back_off(state, now_ms)
        case Tick():
            commands += _fail_pending(state, now_ms, MAX_WAIT_MS)
    return commands + _advance(state, now_ms)


def _add_claim(state: ClaimShard, asked: ClaimRequested, now_ms: int) -> list[Command]:
    pair = (asked.key, asked.request_id)
    if pair in state.pending or pair in state.settled:
        return []
    state.pending[pair] = (asked, now_ms)
    return []


def _advance(state: ClaimShard, now_ms: int) -> list[Command]:
    """Answer claims from the records, then read or write if due; one store call at a time."""
    if state.reading or state.writing is not None or now_ms < state.next_try_ms:
        return []
    if state.version is None:
        state.reading = bool(state.pending or state.settled)
        return [Read()] if state.reading else []
    records = {
        key: record
        for key, record in state.records.items()
        if (key, record.request_id) not in state.settled and now_ms - record.at_ms < CLAIM_KEPT_MS
    }
    commands = _answer_known(state, records)
    commands += _reject_excess(state, len(records))
    batch = _choose_batch(state, records)
    for key, request_id in batch:
        asked, _ = state.pending[(key, request_id)]
        records[key] = ClaimRecord(request_id, asked.node, now_ms)
    gone = any((key, record.request_id) in state.settled for key, record in state.records.items())
    if not batch and not gone:
        state.settled.clear()
        return commands
    state.writing, state.batch = records, batch
    return [*commands, Write(state.version, records)]


def _answer_known(state: ClaimShard, records: dict[str, ClaimRecord]) -> list[Command]:
    """Answer the pending claims whose key has an unexpired record."""
    commands: list[Command] = []
    for key, request_id in list(state.pending):
        record = records.get(key)
        if record is None:
            continue
        result: Result = Denied(record.request_id, record.node)
        if record.request_id == request_id:
            result = Claimed()
        commands.append(_answer(state, (key, request_id), result))
    return commands


def _reject_excess(state: ClaimShard, count: int) -> list[Command]:
    """Reject the pending claims that exceed the shard's capacity."""
    beyond = list(state.pending)[max(0, MAX_CLAIMS - count) :]
    return [_answer(state, pair, Unrecorded()) for pair in beyond]


def _choose_batch(state: ClaimShard, records: dict[str, ClaimRecord]) -> tuple[_Pair, ...]:
    """The first pending claim of each free key; later ones wait for its outcome."""
    chosen: dict[str, str] = {}
    for key, request_id in state.pending:
        if key not in records:
            chosen.setdefault(key, request_id)
    return tuple(chosen.items())


def _finish_write(state: ClaimShard, version: int, now_ms: int) -> list[Command]:
    written = state.writing or {}
    state.version, state.records, state.writing = version, written, None
    state.tries = 0
    state.next_try_ms = now_ms + WRITE_INTERVAL_MS
    kept = {(key, record.request_id) for key, record in written.items()}
    state.settled &= kept
    done = [pair for pair in state.batch if pair in state.pending]
    return [_answer(state, pair, Claimed()) for pair in done]


def _back_off(state: ClaimShard, now_ms: int) -> list[Command]:
    """Schedule another read with backoff; from `MAX_TRIES` failures on, fail all pending claims."""
    state.reading, state.writing, state.version = False, None, None
    state.tries += 1
    state.next_try_ms = now_ms + FIRST_BACKOFF_MS * 2 ** min(state.tries, MAX_TRIES)
    if state.tries < MAX_TRIES:
        return []
    return _fail_pending(state, now_ms, 0)


def _fail_pending(state: ClaimShard, now_ms: int, waited_ms: int) -> list[Command]:
    """Fail the claims that have been pending for at least `waited_ms`.

    Claims already written to the store are kept: another owner may have granted them meanwhile, so
    only the requesting node can confirm that a request did not run.
    """
    late = [pair for pair, (_, at_ms) in state.pending.items() if now_ms - at_ms >= waited_ms]
    return [_answer(state, pair, Unrecorded()) for pair in late]


def _answer(state: ClaimShard, pair: _Pair, result: Result) -> Answer:
    asked, _ = state.pending.pop(pair)
    return Answer(asked.node, asked.key, asked.request_id, result)
