"""The endpoints that the store lists, and which of them may receive work."""

import enum

import attrs

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.eligibility.table import AdvertisedTable
from saffronworks.forwarding.removed_entries import RemovedEntries
from saffronworks.forwarding.starts import StartId, is_later, start_id
from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["Directory", "EntryUpdate", "ServiceEndpoint"]

# How long an ended start is remembered, so that a stale listing or a watch from an older revision
# does not restore it: the store's answers may be seconds old, and its history spans 20 s.
OBSOLETE_START_TTL_MS = 60_000
# How long an entry that only a restored copy contains is withheld. By then its endpoint, if
# alive, has written it again (within 2 s), or the store has dropped it after three missed
# heartbeats.
WITHHOLD_RESTORED_MS = 6000


@attrs.frozen
class ServiceEndpoint:
    """One start of an endpoint; `instance` distinguishes it from other starts of the same name.

    `born_ms` is the Unix time of the start, None if the endpoint does not report it. `version` is
    that of the endpoint's software; versions have no order.
    """

    name: str
    service: str
    address: str
    zone: str
    draining: bool = False
    role: Role | None = None
    born_ms: int | None = None
    version: str = ""
    instance: StartId = attrs.field(init=False, eq=False, repr=False)

    @instance.default
    def _identify(self) -> StartId:
        return start_id(self.name, self.born_ms)


class EntryUpdate(enum.Enum):
    """Effect of an entry on the directory."""

    UNCHANGED = "same"
    CHANGED = "changed"
    # A later start under a known name.
    RESTARTED = "restarted"
    # An earlier start than the known one, or one at whose address another endpoint has answered.
    OBSOLETE = "over"
    # An entry that had been removed and came back with the copy the store was restored from.
    WITHHELD = "withheld"


@attrs.define
class _EndedStarts:
    """The ended starts of a name: any before `born_ms`, or not later than it at `lost_address`."""

    born_ms: int | None
    lost_address: str | None = None
    expires_at_ms: int | None = None

    def covers(self, endpoint: ServiceEndpoint) -> bool:
        if is_later(endpoint.born_ms, self.born_ms):
            return False
        earlier = is_later(self.born_ms, endpoint.born_ms) and endpoint.born_ms is not None
        return earlier or endpoint.address == self.lost_address


@attrs.define
class Directory:
    """All known endpoints, and the store revision of this state.

    During a store outage entries may expire although their endpoints are alive, so an entry that is
    missing right after the outage stays usable for a grace period. Only the latest start of each
    name is kept. If two names share an address, the endpoint's own answer decides which of them is
    current (`mark_replaced`), because anyone may have written the start time of an entry.
    An endpoint that advertises a drain is draining whatever its entry says, because the store may
    be unavailable. A restored copy of the store reverts neither drains nor removals.
    """

    revision: StoreRevision = StoreRevision(0, 0)
    endpoints: dict[StartId, ServiceEndpoint] = attrs.Factory(dict)
    advertised: AdvertisedTable = attrs.Factory(AdvertisedTable)
    _usable_until_ms: dict[StartId, int] = attrs.Factory(dict)
    _by_name: dict[str, StartId] = attrs.Factory(dict)
    _ended_starts: dict[str, _EndedStarts] = attrs.Factory(dict)
    _revisions: dict[str, StoreRevision] = attrs.Factory(dict)
    _removed: RemovedEntries = attrs.Factory(RemovedEntries)
    _withheld: dict[str, tuple[ServiceEndpoint, int]] = attrs.Factory(dict)
    _ended: list[StartId] = attrs.Factory(list)
    _added: list[ServiceEndpoint] = attrs.Factory(list)

    def replace(
        self,
        listed: list[ServiceEndpoint],
        revision: StoreRevision,
        now_ms: int,
        lapse_until_ms: int = 0,
    ) -> list[str]:
        """Apply a complete listing; returns the names that are missing from it."""
        for endpoint in listed:
            self.put(endpoint)
        names = {endpoint.name for endpoint in listed}
        return self.remove_missing(names, revision, now_ms, lapse_until_ms)

    def remove_missing(
        self, names: set[str], revision: StoreRevision, now_ms: int, lapse_until_ms: int = 0
    ) -> list[str]:
        """Remove entries that a complete listing lacks; returns the names removed."""
        self.revision = revision
        self._withheld = {name: held for name, held in self._withheld.items() if name in names}
        missing = [name for name in self._by_name if name not in names]
        for name in missing:
            self.remove(name, now_ms, lapse_until_ms)
        return missing

    def put_listed(
        self, endpoint: ServiceEndpoint, revision: StoreRevision, now_ms: int
    ) -> EntryUpdate:
        """Apply an entry that the store wrote at `revision`."""
        name = endpoint.name
        known, last = self.named(name), self._revisions.get(name)
        if known is None and self._removed.is_restored(name, revision, now_ms):
            if self._removed.was_draining(name):
                endpoint = attrs.evolve(endpoint, draining=True)
            self._withheld.setdefault(name, (endpoint, now_ms + WITHHOLD_RESTORED_MS))
            return EntryUpdate.WITHHELD
        self._withheld.pop(name, None)
        same_start = known is not None and not is_later(endpoint.born_ms, known.born_ms)
        if known and known.draining and same_start and last and revision.is_reverted_from(last):
            return self.put(attrs.evolve(endpoint, draining=True))
        self._revisions[name] = revision
        return self.put(endpoint)

    def put(self, endpoint: ServiceEndpoint) -> EntryUpdate:
        """Apply an entry, unless a later start is known or the start has lost its address."""
        known, ended_starts = self.named(endpoint.name), self._ended_starts.get(endpoint.name)
        last = known or ended_starts
        if last is not None and endpoint.born_ms is None:
            endpoint = attrs.evolve(endpoint, born_ms=last.born_ms)
        if ended_starts is not None and ended_starts.covers(endpoint):
            return EntryUpdate.OBSOLETE
        if known is not None and is_later(known.born_ms, endpoint.born_ms):
            return EntryUpdate.OBSOLETE
        self._usable_until_ms.pop(endpoint.instance, None)
        if known == endpoint:
            return EntryUpdate.UNCHANGED
        before = self._last_start(endpoint.name)
        if known is not None:
            self._drop(known)
        self._ended_starts.pop(endpoint.name, None)
        self.endpoints[endpoint.instance] = endpoint
        self._added.append(endpoint)
        self._by_name[endpoint.name] = endpoint.instance
        if before is None or before == endpoint.instance:
            return EntryUpdate.CHANGED
        self._ended.append(before)
        return EntryUpdate.RESTARTED

    def _last_start(self, name: str) -> StartId | None:
        ended_starts = self._ended_starts.get(name)
        gone = start_id(name, ended_starts.born_ms) if ended_starts is not None else None
        return self._by_name.get(name, gone)

    def _drop(self, endpoint: ServiceEndpoint) -> None:
        del self.endpoints[endpoint.instance]
        del self._by_name[endpoint.name]
        self._usable_until_ms.pop(endpoint.instance, None)

    def remove(self, name: str, now_ms: int, lapse_until_ms: int = 0) -> None:
        """Remove an entry, which stays usable until `lapse_until_ms` unless it is draining.

        Until then an outage of the store may be the cause of its removal.
        """
        ended_starts = self._ended_starts.get(name)
        if ended_starts is not None and ended_starts.expires_at_ms is None:
            ended_starts.expires_at_ms = now_ms + OBSOLETE_START_TTL_MS
        self._withheld.pop(name, None)
        known, revision = self.named(name), self._revisions.pop(name, None)
        if known is None:
            return
        if revision is not None:
            self._removed.record(name, revision, self.revision.epoch, known.draining, now_ms)
        if now_ms < lapse_until_ms and not known.draining:
            self._usable_until_ms.setdefault(known.instance, lapse_until_ms)
            return
        self._retire(known, now_ms)

    def _retire(self, endpoint: ServiceEndpoint, now_ms: int) -> None:
        self._drop(endpoint)
        self._prune_ended_starts(now_ms)
        if endpoint.born_ms is not None:
            expires_at_ms = now_ms + OBSOLETE_START_TTL_MS
            self._ended_starts[endpoint.name] = _EndedStarts(
                endpoint.born_ms, expires_at_ms=expires_at_ms
            )

    def _prune_ended_starts(self, now_ms: int) -> None:
        for name, ended_starts in list(self._ended_starts.items()):
            if ended_starts.expires_at_ms is not None and now_ms >= ended_starts.expires_at_ms:
                del self._ended_starts[name]

    def mark_replaced(self, instance: StartId) -> None:
        """Remove a start because another endpoint has answered at its address."""
        known = self.endpoints.get(instance)
        if known is not None:
            self._drop(known)
            self._ended_starts[known.name] = _EndedStarts(known.born_ms, known.address)

    def take_ended(self) -> list[StartId]:
        """Return the starts that a later one replaced since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def named(self, name: str) -> ServiceEndpoint | None:
        """Return the latest start of an endpoint."""
        instance = self._by_name.get(name)
        return self.endpoints[instance] if instance is not None else None

    def resolve(self, instance: StartId) -> StartId:
        """Return the start that a message refers to; nodes of older versions send only the name."""
        return instance if instance in self.endpoints else self._by_name.get(instance, instance)

    def expire(self, now_ms: int) -> None:
        """Remove entries whose grace period has ended, and apply those withheld long enough."""
        for name, (endpoint, until_ms) in list(self._withheld.items()):
            if now_ms >= until_ms:
                del self._withheld[name]
                self.put(endpoint)
        for instance, until_ms in list(self._usable_until_ms.items()):
            if now_ms >= until_ms:
                self._retire(self.endpoints[instance], now_ms)

    def pop_added(self) -> list[ServiceEndpoint]:
        """Return the endpoints that were added or changed since the last call, also if removed."""
        added, self._added = self._added, []
        return added

    def versions(self) -> dict[str, set[str]]:
        """Return the software versions of the known endpoints, by service."""
        found: dict[str, set[str]] = {}
        for endpoint in self.endpoints.values():
            found.setdefault(endpoint.service, set()).add(endpoint.version)
        return found

    def usable(self, service: str, now_ms: int, role: Role | None = None) -> list[ServiceEndpoint]:
        """Return the endpoints of a service that may receive new work, of one role if given."""
        listed, draining = self._listed_ready(service, now_ms, role), self.advertised.draining()
        return [one for one in listed if one.instance not in draining] if draining else listed

    def draining_since(
        self, service: str, now_ms: int, role: Role | None, since_ms: int
    ) -> list[ServiceEndpoint]:
        """Return endpoints listed as ready that advertise a drain begun at `since_ms` or later."""
        advertised = self.advertised
        return [
            endpoint
            for endpoint in self._listed_ready(service, now_ms, role)
            if (began_ms := advertised.draining_since_ms(endpoint.instance)) is not None
            and began_ms >= since_ms
        ]

    def _listed_ready(self, service: str, now_ms: int, role: Role | None) -> list[ServiceEndpoint]:
        self.expire(now_ms)
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and (role is None or endpoint.role is role)
        ]
