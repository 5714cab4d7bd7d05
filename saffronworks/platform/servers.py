"""Entries of servers in the store, decoded into endpoints."""

import logging
from collections.abc import Callable

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.bundles import Role
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.ports import Listing, StoredObject

__all__ = ["SERVER_KIND", "ServerSink", "read_server"]

logger = logging.getLogger(__name__)

SERVER_KIND = "servers"
_DRAINING = "draining"


@attrs.frozen
class _Server:
    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    # The endpoint's role; absent at services without engines.
    stage: str | None = None


def read_server(instance: str, content: bytes) -> Result[ServiceEndpoint, str]:
    """Decode one entry, or tell what is wrong with it."""
    try:
        wire = msgspec.json.decode(content, type=_Server)
    except msgspec.MsgspecError as error:
        return Err(f"{SERVER_KIND}/{instance}: {error}")
    if wire.stage is not None and wire.stage not in tuple(Role):
        return Err(f"{SERVER_KIND}/{instance}: stage {wire.stage!r} is unknown")
    return Ok(
        ServiceEndpoint(
            instance=instance,
            service=wire.service,
            address=wire.address,
            zone=wire.zone,
            draining=wire.state == _DRAINING,
            role=Role(wire.stage) if wire.stage else None,
        )
    )


class ServerSink:
    """Keeps the directory as the store lists the servers."""

    def __init__(
        self, directory: Directory, now_ms: Callable[[], int], changed: Callable[[], None]
    ):
        self._directory = directory
        self._now_ms = now_ms
        self._changed = changed

    def replace_all(self, listing: Listing, lapse_until_ms: int) -> None:
        """A whole listing."""
        listed = [self._read(item) for item in listing.objects]
        known = [endpoint for endpoint in listed if endpoint is not None]
        for endpoint in known:
            self._log_change(endpoint)
        now_ms = self._now_ms()
        missing = self._directory.replace(known, listing.revision, now_ms, lapse_until_ms)
        for instance in missing:
            self._log_gone(instance, lapse_until_ms - now_ms)
        self._changed()

    def apply(self, changes: Listing, lapse_until_ms: int) -> None:
        """Changes since the last listing."""
        now_ms = self._now_ms()
        for item in changes.objects:
            if item.content is None:
                self._log_gone(item.name, lapse_until_ms - now_ms)
                self._directory.remove(item.name, now_ms, lapse_until_ms)
            elif (endpoint := self._read(item)) is not None:
                self._log_change(endpoint)
                self._directory.put(endpoint)
        self._directory.revision = max(self._directory.revision, changes.revision)
        if changes.objects:
            self._changed()

    def _read(self, item: StoredObject) -> ServiceEndpoint | None:
        read = read_server(item.name, item.content or b"null")
        if isinstance(read, Err):
            logger.error(
                "event=endpoint_unreadable revision=%d problem=%r", item.revision, read.err_value
            )
            return self._directory.endpoints.get(item.name)
        return read.ok_value

    def _log_change(self, endpoint: ServiceEndpoint) -> None:
        if self._directory.endpoints.get(endpoint.instance) == endpoint:
            return
        logger.info(
            "event=endpoint endpoint=%s service=%s address=%s zone=%s role=%s draining=%s "
            "after_rev=%d",
            endpoint.instance,
            endpoint.service,
            endpoint.address,
            endpoint.zone,
            endpoint.role,
            endpoint.draining,
            self._directory.revision,
        )

    def _log_gone(self, instance: str, lapse_ms: int) -> None:
        if instance in self._directory.endpoints:
            logger.info(
                "event=endpoint_gone endpoint=%s lapse_ms=%d after_rev=%d",
                instance,
                max(0, lapse_ms),
                self._directory.revision,
            )
