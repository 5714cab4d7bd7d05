"""Records of quarantined contents in the store, which survive a restart of all nodes."""

import logging

import attrs
import msgspec
from result import Err, Ok

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.ports import Conflict, ObjectStore, StoredObject
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.starts import StartId

__all__ = ["QUARANTINE_KIND", "QuarantineRecords"]

logger = logging.getLogger(__name__)

# The kind of the store objects; each object is named by its content.
QUARANTINE_KIND = "saffron-quarantine"


@attrs.frozen
class _Spec:
    """The stored value: endpoint starts that ended while running the content."""

    ended: tuple[str, ...]


class QuarantineRecords:
    """Reads and writes the records; each return value shows whether the store has answered."""

    def __init__(self, store: ObjectStore):
        self._store = store

    async def list_all(self) -> list[Suspicion] | None:
        """Return all records, possibly seconds old, or None if the store does not answer."""
        listing = await self._store.list_objects(QUARANTINE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=quarantine_not_read reason=%s", listing.err_value.reason)
            return None
        read = [_decode(item) for item in listing.ok_value.objects]
        return [suspicion for suspicion in read if suspicion is not None]

    async def write(self, suspicion: Suspicion) -> bool:
        """Write the record of a content unless it exists; return whether the record is stored."""
        content = msgspec.json.encode(_Spec(suspicion.ended))
        reply = await self._store.create(QUARANTINE_KIND, suspicion.content, content)
        match reply:
            case Ok():
                return True
            case Err(Conflict()):
                return True
        logger.info("event=quarantine_not_written content=%s problem=%s", suspicion.content, reply)
        return False

    async def remove(self, content: ContentId) -> bool:
        """Remove the record of a content; return whether the store has answered."""
        reply = await self._store.remove(QUARANTINE_KIND, content)
        if isinstance(reply, Err):
            reason = reply.err_value.reason
            logger.info("event=quarantine_not_removed content=%s reason=%s", content, reason)
        return isinstance(reply, Ok)


def _decode(item: StoredObject) -> Suspicion | None:
    """Decode a record; an unreadable record of another writer is logged and ignored."""
    try:
        spec = msgspec.json.decode(item.content or b"", type=_Spec)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logger.error("event=quarantine_unreadable content=%s problem=%r", item.name, str(error))
        return None
    ended = tuple(sorted(StartId(start) for start in spec.ended))
    return Suspicion(ContentId(item.name), ended)
