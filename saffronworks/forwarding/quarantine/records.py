"""Quarantined contents in the store: they outlive all nodes, should all of them end at once."""

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

# The kind of the objects; one object a content, named by it.
QUARANTINE_KIND = "saffron-quarantine"


@attrs.frozen
class _Spec:
    """The starts of endpoints that ended under the content."""

    ended: tuple[str, ...]


class QuarantineRecords:
    """Reads and writes them; each call tells whether the store has answered."""

    def __init__(self, store: ObjectStore):
        self._store = store

    async def list_all(self) -> list[Suspicion] | None:
        """All records, which may be seconds old; None when the store gives no answer."""
        listing = await self._store.list_objects(QUARANTINE_KIND, stale=True)
        if isinstance(listing, Err):
            logger.info("event=quarantine_unread reason=%s", listing.err_value.reason)
            return None
        read = [_decode(item) for item in listing.ok_value.objects]
        return [suspicion for suspicion in read if suspicion is not None]

    async def write(self, suspicion: Suspicion) -> bool:
        """Write a content, unless it is there already."""
        content = msgspec.json.encode(_Spec(suspicion.ended))
        reply = await self._store.create(QUARANTINE_KIND, suspicion.content, content)
        match reply:
            case Ok():
                return True
            case Err(Conflict()):
                return True
        logger.info("event=quarantine_unwritten content=%s problem=%s", suspicion.content, reply)
        return False

    async def remove(self, content: ContentId) -> bool:
        """Remove a content; it is no failure when it is not there."""
        reply = await self._store.remove(QUARANTINE_KIND, content)
        if isinstance(reply, Err):
            reason = reply.err_value.reason
            logger.info("event=quarantine_stays content=%s reason=%s", content, reason)
        return isinstance(reply, Ok)


def _decode(item: StoredObject) -> Suspicion | None:
    """An entry of another writer that can't be read quarantines nothing."""
    try:
        spec = msgspec.json.decode(item.content or b"", type=_Spec)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logger.error("event=quarantine_unreadable content=%s problem=%r", item.name, str(error))
        return None
    ended = tuple(sorted(StartId(start) for start in spec.ended))
    return Suspicion(ContentId(item.name), ended)
