"""Entries of servers in the store, decoded into endpoints.

Entries may come from other writers. One that is not whole names no endpoint to use, and hurts no
other one.
"""

import logging
from collections.abc import Callable

import attrs
from result import Err, Result

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.directory import Directory, EntryUpdate, ServiceEndpoint
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreRevision
from saffronworks.platform.server_entries import ServerEntry, read_entry

__all__ = ["SERVER_KIND", "ServerSink", "read_server"]

logger = logging.getLogger(__name__)

SERVER_KIND = "servers"
_DRAINING = "draining"
# Bad entries of one listing that get a line each; thousands of lines would hold up a start.
MOST_TOLD = 50


def read_server(name: str, content: bytes, wall_ms: int) -> Result[ServiceEndpoint, list[str]]:
    """Decode one entry, or tell all that is wrong with it; `wall_ms` is the Unix time now."""
    return read_entry(content, wall_ms).map(lambda entry: _decode(name, entry))


def _decode(name: str, entry: ServerEntry) -> ServiceEndpoint:
    return ServiceEndpoint(
        name=name,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        draining=entry.state == _DRAINING,
        role=Role(entry.stage) if entry.stage else None,
        born_ms=entry.born,
    )


@attrs.define
class _BadEntries:
    """The versions that were told already, by name, and how many more wait to be told."""

    told: dict[str, StoreRevision] = attrs.Factory(dict)
    left_out: int = 0
    lines: int = 0

    def begin(self) -> None:
        self.left_out = self.lines = 0

    def tell(self, item: StoredObject, findings: list[str]) -> None:
        """One line a version, with every finding."""
        if self.told.get(item.name) == item.revision:
            return
        self.told[item.name] = item.revision
        if self.lines >= MOST_TOLD:
            self.left_out += 1
            return
        self.lines += 1
        logger.error(
            "event=endpoint_unreadable endpoint=%s revision=%s findings=%d problem=%r",
            item.name,
            item.revision,
            len(findings),
            "; ".join(findings),
        )

    def finish(self) -> None:
        if self.left_out:
            logger.error("event=endpoints_unreadable not_told=%d", self.left_out)


class ServerSink:
    """Keeps the directory as the store lists the servers."""

    def __init__(
        self,
        directory: Directory,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        changed: Callable[[], None],
        count_bad: Callable[[str], None],
    ):
        self._directory = directory
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._changed = changed
        self._count_bad = count_bad
        self._bad = _BadEntries()

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """A whole listing."""
        now_ms = self._now_ms()
        names = {item.name for item in listing.objects}
        self._take(listing.objects, now_ms, lapse_until_ms)
        for name in self._directory.remove_missing(names, listing.revision, now_ms, lapse_until_ms):
            self._log_gone(name, lapse_until_ms - now_ms)
        self._bad.told = {name: at for name, at in self._bad.told.items() if name in names}
        self._changed()

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Changes since the last listing."""
        self._take(changes.objects, self._now_ms(), lapse_until_ms)
        self._directory.revision = changes.revision
        if changes.objects:
            self._changed()

    def _take(self, items: tuple[StoredObject, ...], now_ms: int, lapse_until_ms: int) -> None:
        self._bad.begin()
        for item in items:
            if item.content is None:
                self._bad.told.pop(item.name, None)
                self._remove(item.name, now_ms, lapse_until_ms)
                continue
            read = read_server(item.name, item.content, self._wall_ms())
            if isinstance(read, Err):
                self._refuse(item, read.err_value, now_ms)
            else:
                self._put(read.ok_value, item.revision, now_ms)
        self._bad.finish()

    def _refuse(self, item: StoredObject, findings: list[str], now_ms: int) -> None:
        """Nothing new goes to an endpoint whose entry went bad; what runs there ends by itself."""
        self._count_bad(SERVER_KIND)
        self._bad.tell(item, findings)
        self._remove(item.name, now_ms, lapse_until_ms=0)

    def _remove(self, name: str, now_ms: int, lapse_until_ms: int) -> None:
        if self._directory.named(name) is not None:
            self._log_gone(name, lapse_until_ms - now_ms)
        self._directory.remove(name, now_ms, lapse_until_ms)

    def _put(self, endpoint: ServiceEndpoint, revision: StoreRevision, now_ms: int) -> None:
        before = self._directory.named(endpoint.name)
        heard = self._directory.put_listed(endpoint, revision, now_ms)
        self._bad.told.pop(endpoint.name, None)
        match heard:
            case EntryUpdate.UNCHANGED:
                return
            case EntryUpdate.WITHHELD:
                logger.info(
                    "event=endpoint_withheld endpoint=%s revision=%s", endpoint.instance, revision
                )
                return
            case EntryUpdate.OBSOLETE:
                logger.info(
                    "event=endpoint_over endpoint=%s address=%s known=%s after_rev=%s",
                    endpoint.instance,
                    endpoint.address,
                    before.instance if before else None,
                    self._directory.revision,
                )
                return
        logger.info(
            "event=endpoint endpoint=%s service=%s address=%s zone=%s role=%s draining=%s "
            "heard=%s before=%s after_rev=%s",
            endpoint.instance,
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.role,
            endpoint.draining,
            heard.value,
            before.instance if before else None,
            self._directory.revision,
        )

    def _log_gone(self, name: str, lapse_ms: int) -> None:
        logger.info(
            "event=endpoint_gone endpoint=%s lapse_ms=%d after_rev=%s",
            name,
            max(0, lapse_ms),
            self._directory.revision,
        )
