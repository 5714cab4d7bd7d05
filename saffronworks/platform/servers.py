"""Decodes the entries of servers in the store into endpoints.

Programs other than the servers may write entries. An invalid entry puts its endpoint out of use,
and affects no other endpoint.
"""

import logging
import re
from collections.abc import Callable

import attrs
from result import Err, Result

from saffronworks.endpoint_roles import Role
from saffronworks.field_numbers import shorten
from saffronworks.forwarding.directory import Directory, EntryUpdate, ServiceEndpoint
from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.store_revisions import StoreRevision
from saffronworks.platform.server_entries import ServerEntry, read_entry

__all__ = ["SERVER_KIND", "ServerSink", "read_server"]

logger = logging.getLogger(__name__)

SERVER_KIND = "servers"
_DRAINING = "draining"
# Names are put into header fields.
_NAME = re.compile("[!-~]{1,255}")
# Invalid entries of one listing that are logged; thousands of lines would delay a node's start.
MAX_LOGGED_ENTRIES = 50


def read_server(name: str, content: bytes, wall_ms: int) -> Result[ServiceEndpoint, list[str]]:
    """Decode one entry, or return all findings; `wall_ms` is the Unix time now."""
    if not _NAME.fullmatch(name):
        return Err([f"name: {shorten(name)!r} must be 1 to 255 visible ASCII characters"])
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
        version=entry.version,
    )


@attrs.define
class _InvalidEntryLog:
    """Logs each version of an invalid entry once; `suppressed` counts those beyond the maximum."""

    logged: dict[str, StoreRevision] = attrs.Factory(dict)
    suppressed: int = 0
    line_count: int = 0

    def begin_batch(self) -> None:
        self.suppressed = self.line_count = 0

    def log_once(self, item: StoredObject, findings: list[str]) -> None:
        """Log all findings of an entry in one line, unless this version has been logged."""
        if self.logged.get(item.name) == item.revision:
            return
        self.logged[item.name] = item.revision
        if self.line_count >= MAX_LOGGED_ENTRIES:
            self.suppressed += 1
            return
        self.line_count += 1
        logger.error(
            "event=endpoint_unreadable endpoint=%s revision=%s findings=%d problem=%r",
            item.name,
            item.revision,
            len(findings),
            "; ".join(findings),
        )

    def finish_batch(self) -> None:
        if self.suppressed:
            logger.error("event=endpoints_unreadable not_logged=%d", self.suppressed)


class ServerSink:
    """Keeps the directory up to date with the servers that the store lists."""

    def __init__(
        self,
        directory: Directory,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        on_change: Callable[[], None],
        count_bad_entry: Callable[[str], None],
    ):
        self._directory = directory
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._on_change = on_change
        self._count_bad_entry = count_bad_entry
        self._invalid_entries = _InvalidEntryLog()

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """Apply a complete listing; entries missing from it may be used until `lapse_until_ms`."""
        now_ms = self._now_ms()
        names = {item.name for item in listing.objects}
        self._apply_objects(listing.objects, now_ms, lapse_until_ms)
        for name in self._directory.remove_missing(names, listing.revision, now_ms, lapse_until_ms):
            self._log_removed(name, lapse_until_ms - now_ms)
        self._invalid_entries.logged = {
            name: at for name, at in self._invalid_entries.logged.items() if name in names
        }
        self._on_change()

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Apply changes since the last listing."""
        self._apply_objects(changes.objects, self._now_ms(), lapse_until_ms)
        self._directory.revision = changes.revision
        if changes.objects:
            self._on_change()

    def _apply_objects(
        self, items: tuple[StoredObject, ...], now_ms: int, lapse_until_ms: int
    ) -> None:
        self._invalid_entries.begin_batch()
        for item in items:
            if item.content is None:
                self._invalid_entries.logged.pop(item.name, None)
                self._remove(item.name, now_ms, lapse_until_ms)
                continue
            read = read_server(item.name, item.content, self._wall_ms())
            if isinstance(read, Err):
                self._reject(item, read.err_value, now_ms)
            else:
                self._put(read.ok_value, item.revision, now_ms)
        self._invalid_entries.finish_batch()

    def _reject(self, item: StoredObject, findings: list[str], now_ms: int) -> None:
        """Send no new requests to an endpoint with an invalid entry; running ones go on."""
        self._count_bad_entry(SERVER_KIND)
        self._invalid_entries.log_once(item, findings)
        self._remove(item.name, now_ms, lapse_until_ms=0)

    def _remove(self, name: str, now_ms: int, lapse_until_ms: int) -> None:
        if self._directory.named(name) is not None:
            self._log_removed(name, lapse_until_ms - now_ms)
        self._directory.remove(name, now_ms, lapse_until_ms)

    def _put(self, endpoint: ServiceEndpoint, revision: StoreRevision, now_ms: int) -> None:
        before = self._directory.named(endpoint.name)
        outcome = self._directory.put_listed(endpoint, revision, now_ms)
        self._invalid_entries.logged.pop(endpoint.name, None)
        match outcome:
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
            "event=endpoint endpoint=%s service=%s address=%s zone=%s role=%s version=%s "
            "draining=%s heard=%s before=%s after_rev=%s",
            endpoint.instance,
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.role,
            endpoint.version,
            endpoint.draining,
            outcome.value,
            before.instance if before else None,
            self._directory.revision,
        )

    def _log_removed(self, name: str, lapse_ms: int) -> None:
        logger.info(
            "event=endpoint_gone endpoint=%s lapse_ms=%d after_rev=%s",
            name,
            max(0, lapse_ms),
            self._directory.revision,
        )
