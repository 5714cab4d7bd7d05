"""Records of quarantined contents and parts in the store, which survive a restart of all nodes."""

import logging

import attrs
import msgspec
from result import Err, Ok

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.ports import Conflict, ObjectStore, StoredObject
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.messages import PartEnd, PartSuspicion, Suspicion
from saffronworks.forwarding.quarantine.tuning import SIMULTANEOUS_ENDS_MS
from saffronworks.forwarding.starts import StartId
from saffronworks.wire import DECODE_ERRORS, Size

__all__ = ["QUARANTINE_KIND", "QuarantineRecords"]

logger = logging.getLogger(__name__)

# The kind of the store objects; each object is named by its content or part.
QUARANTINE_KIND = "saffron-quarantine"


# Names of the objects of prompt parts begin with this.
_PART_PREFIX = "part-"


@attrs.frozen
class _PartSpec:
    """What the record of a part has beside the endpoint starts."""

    depth: Size
    contents: tuple[tuple[str, ...], ...]


@attrs.frozen
class _Spec:
    """The stored value: endpoint starts that ended while running the content or part."""

    ended: tuple[str, ...]
    part: _PartSpec | None = None


class QuarantineRecords:
    """Reads and writes the records; each return value shows whether the store has answered."""

    def __init__(self, store: ObjectStore):
        self._store = store

    async def list_all(self) -> list[Suspicion | PartSuspicion] | None:
        """Return all records, possibly seconds old, or None if the store does not answer."""
        listing = await self._store.list_objects(QUARANTINE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=quarantine_not_read reason=%s", listing.err_value.reason)
            return None
        read = [_decode(item) for item in listing.ok_value.objects]
        return [suspicion for suspicion in read if suspicion is not None]

    async def write(self, suspicion: Suspicion | PartSuspicion) -> bool:
        """Write the record of a suspect unless it exists; return whether the record is stored."""
        name, spec = _encode(suspicion)
        reply = await self._store.create(QUARANTINE_KIND, name, msgspec.json.encode(spec))
        match reply:
            case Ok():
                return True
            case Err(Conflict()):
                return True
        logger.info("event=quarantine_not_written record=%s problem=%s", name, reply)
        return False

    async def remove(self, suspect: ContentId | PartId, is_part: bool) -> bool:
        """Remove the record of a content or part; return whether the store has answered."""
        name = f"{_PART_PREFIX}{suspect}" if is_part else suspect
        reply = await self._store.remove(QUARANTINE_KIND, name)
        if isinstance(reply, Err):
            reason = reply.err_value.reason
            logger.info("event=quarantine_not_removed record=%s reason=%s", name, reason)
        return isinstance(reply, Ok)


def _encode(suspicion: Suspicion | PartSuspicion) -> tuple[str, _Spec]:
    """Return the name of a record and its value."""
    match suspicion:
        case Suspicion(content, ended):
            return content, _Spec(ended)
        case PartSuspicion(part, depth, ends):
            contents = tuple(end.contents for end in ends)
            spec = _Spec(tuple(end.instance for end in ends), _PartSpec(depth, contents))
            return f"{_PART_PREFIX}{part}", spec


def _decode(item: StoredObject) -> Suspicion | PartSuspicion | None:
    """Decode a record; an unreadable record of another writer is logged and ignored."""
    try:
        spec = msgspec.json.decode(item.content or b"", type=_Spec)
    except DECODE_ERRORS as error:
        logger.error("event=quarantine_unreadable record=%s problem=%r", item.name, str(error))
        return None
    if spec.part is not None:
        return _decode_part(item.name, spec.ended, spec.part)
    ended = tuple(sorted(StartId(start) for start in spec.ended))
    return Suspicion(ContentId(item.name), ended)


def _decode_part(name: str, ended: tuple[str, ...], spec: _PartSpec) -> PartSuspicion:
    """Decode a part's record. Its ends count as separate, as they did when it was written.

    The early trial counts as used: otherwise each restart of all nodes would crash an endpoint.
    """
    apart_ms = SIMULTANEOUS_ENDS_MS + 1
    ends = tuple(
        PartEnd(StartId(start), contents, 0, age_ms=number * apart_ms)
        for number, (start, contents) in enumerate(zip(ended, spec.contents, strict=False))
    )
    return PartSuspicion(PartId(name.removeprefix(_PART_PREFIX)), spec.depth, ends, trials=1)
