"""The endpoints that the store lists: who may get work, by service and role."""

import enum

import attrs

from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.eligibility.table import AdvertisedTable
from saffronworks.forwarding.removed_entries import RemovedEntries
from saffronworks.forwarding.starts import StartId, is_later, start_id
from saffronworks.forwarding.store_revisions import StoreRevision

__all__ = ["Directory", "EntryUpdate", "ServiceEndpoint"]

# How long a start that is over is remembered, so that it does not come back by a stale listing or a
# watch that was rewound: the store's answers may be seconds old, its history spans 20 s.
OBSOLETE_START_TTL_MS = 60_000
# How long an entry that only a restored copy has is left unused: the store drops entries that their
# endpoints do not write after three heartbeats, and all others are written within two seconds.
WITHHOLD_RESTORED_MS = 6000


@attrs.frozen
class ServiceEndpoint:
    """One start of one endpoint; `instance` tells it from other starts under the same name.

    `born_ms` is the Unix time of the start, None where the endpoint does not tell it.
    """

    name: str
    service: str
    address: str
    zone: str
    draining: bool = False
    role: Role | None = None
    born_ms: int | None = None
    instance: StartId = attrs.field(init=False, eq=False, repr=False)

    @instance.default
    def _identify(self) -> StartId:
        return start_id(self.name, self.born_ms)


class EntryUpdate(enum.Enum):
    """What an entry brought."""

    UNCHANGED = "same"
    CHANGED = "changed"
    # A later start under a known name.
    RESTARTED = "restarted"
    # An earlier start than the one known, or one at whose address another endpoint answered.
    OBSOLETE = "over"
    # An entry that had gone, from the copy that the store was restored from.
    WITHHELD = "withheld"


@attrs.define
class _Past:
    """What is over under one name: all starts before `born_ms`, and that one at `lost_address`."""

    born_ms: int | None
    lost_address: str | None = None
    forget_at_ms: int | None = None

    def covers(self, endpoint: ServiceEndpoint) -> bool:
        if is_later(endpoint.born_ms, self.born_ms):
            return False
        earlier = is_later(self.born_ms, endpoint.born_ms) and endpoint.born_ms is not None
        return earlier or endpoint.address == self.lost_address


@attrs.define
class Directory:
    """What is known of all endpoints, and at which revision of the store.

    Entries may lapse while the store is away although their endpoints live. An entry that is
    missing right after the store's return therefore stays usable for a grace period. Of each name
    the latest start alone is kept. Where two names have one address, the endpoint's own answer
    settles which of them it has (`note_replaced`): a time in an entry may come from anyone.
    An endpoint that advertises that it drains does, whatever its entry says: the store may be away.
    A restored copy of the store takes back neither drains nor removals.
    """

    revision: StoreRevision = StoreRevision(0, 0)
    endpoints: dict[StartId, ServiceEndpoint] = attrs.Factory(dict)
    advertised: AdvertisedTable = attrs.Factory(AdvertisedTable)
    _usable_until_ms: dict[StartId, int] = attrs.Factory(dict)
    _by_name: dict[str, StartId] = attrs.Factory(dict)
    _past: dict[str, _Past] = attrs.Factory(dict)
    _revisions: dict[str, StoreRevision] = attrs.Factory(dict)
    _removed: RemovedEntries = attrs.Factory(RemovedEntries)
    _withheld: dict[str, tuple[ServiceEndpoint, int]] = attrs.Factory(dict)
    _ended: list[StartId] = attrs.Factory(list)

    def replace(
        self,
        listed: list[ServiceEndpoint],
        revision: StoreRevision,
        now_ms: int,
        lapse_until_ms: int = 0,
    ) -> list[str]:
        """Take a whole listing; returns the names that are missing from it."""
        for endpoint in listed:
            self.put(endpoint)
        names = {endpoint.name for endpoint in listed}
        return self.remove_missing(names, revision, now_ms, lapse_until_ms)

    def remove_missing(
        self, names: set[str], revision: StoreRevision, now_ms: int, lapse_until_ms: int = 0
    ) -> list[str]:
        """Remove all but those that a whole listing has; returns the names that went."""
        self.revision = revision
        self._withheld = {name: held for name, held in self._withheld.items() if name in names}
        missing = [name for name in self._by_name if name not in names]
        for name in missing:
            self.remove(name, now_ms, lapse_until_ms)
        return missing

    def put_listed(
        self, endpoint: ServiceEndpoint, revision: StoreRevision, now_ms: int
    ) -> EntryUpdate:
        """Take an entry of the store, which wrote it at that revision."""
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
        """Take an entry, unless a later start is known, or its address was lost."""
        known, past = self.named(endpoint.name), self._past.get(endpoint.name)
        last = known or past
        if last is not None and endpoint.born_ms is None:
            endpoint = attrs.evolve(endpoint, born_ms=last.born_ms)
        if past is not None and past.covers(endpoint):
            return EntryUpdate.OBSOLETE
        if known is not None and is_later(known.born_ms, endpoint.born_ms):
            return EntryUpdate.OBSOLETE
        self._usable_until_ms.pop(endpoint.instance, None)
        if known == endpoint:
            return EntryUpdate.UNCHANGED
        before = self._last_start(endpoint.name)
        if known is not None:
            self._drop(known)
        self._past.pop(endpoint.name, None)
        self.endpoints[endpoint.instance] = endpoint
        self._by_name[endpoint.name] = endpoint.instance
        if before is None or before == endpoint.instance:
            return EntryUpdate.CHANGED
        self._ended.append(before)
        return EntryUpdate.RESTARTED

    def _last_start(self, name: str) -> StartId | None:
        past = self._past.get(name)
        gone = start_id(name, past.born_ms) if past is not None else None
        return self._by_name.get(name, gone)

    def _drop(self, endpoint: ServiceEndpoint) -> None:
        del self.endpoints[endpoint.instance]
        del self._by_name[endpoint.name]
        self._usable_until_ms.pop(endpoint.instance, None)

    def remove(self, name: str, now_ms: int, lapse_until_ms: int = 0) -> None:
        """An entry is gone; until `lapse_until_ms` the store's own outage may be the cause."""
        past = self._past.get(name)
        if past is not None and past.forget_at_ms is None:
            past.forget_at_ms = now_ms + OBSOLETE_START_TTL_MS
        self._withheld.pop(name, None)
        known, revision = self.named(name), self._revisions.pop(name, None)
        if known is None:
            return
        if revision is not None:
            self._removed.record(name, revision, self.revision.epoch, known.draining, now_ms)
        if now_ms < lapse_until_ms and not known.draining:
            self._usable_until_ms.setdefault(known.instance, lapse_until_ms)
            return
        self._leave(known, now_ms)

    def _leave(self, endpoint: ServiceEndpoint, now_ms: int) -> None:
        self._drop(endpoint)
        self._forget_past(now_ms)
        if endpoint.born_ms is not None:
            forget_at_ms = now_ms + OBSOLETE_START_TTL_MS
            self._past[endpoint.name] = _Past(endpoint.born_ms, forget_at_ms=forget_at_ms)

    def _forget_past(self, now_ms: int) -> None:
        for name, past in list(self._past.items()):
            if past.forget_at_ms is not None and now_ms >= past.forget_at_ms:
                del self._past[name]

    def mark_replaced(self, instance: StartId) -> None:
        """Another endpoint answered at its address: there, this start of it is over for good."""
        known = self.endpoints.get(instance)
        if known is not None:
            self._drop(known)
            self._past[known.name] = _Past(known.born_ms, known.address)

    def take_ended(self) -> list[StartId]:
        """The starts that a later one under their name has ended; each is told once."""
        ended, self._ended = self._ended, []
        return ended

    def named(self, name: str) -> ServiceEndpoint | None:
        """The latest start of an endpoint."""
        instance = self._by_name.get(name)
        return self.endpoints[instance] if instance is not None else None

    def resolve(self, instance: StartId) -> StartId:
        """The start that a message means: nodes of an earlier version name endpoints alone."""
        return instance if instance in self.endpoints else self._by_name.get(instance, instance)

    def expire(self, now_ms: int) -> None:
        """Forget the entries whose grace period is over, and take those withheld for long."""
        for name, (endpoint, until_ms) in list(self._withheld.items()):
            if now_ms >= until_ms:
                del self._withheld[name]
                self.put(endpoint)
        for instance, until_ms in list(self._usable_until_ms.items()):
            if now_ms >= until_ms:
                self._leave(self.endpoints[instance], now_ms)

    def usable(self, service: str, now_ms: int, role: Role | None = None) -> list[ServiceEndpoint]:
        """The endpoints of a service that may get new work, of one role if given."""
        listed, draining = self._listed_ready(service, now_ms, role), self.advertised.draining()
        return [one for one in listed if one.instance not in draining] if draining else listed

    def draining_since(
        self, service: str, now_ms: int, role: Role | None, since_ms: int
    ) -> list[ServiceEndpoint]:
        """Those that the store lists as ready and that advertise a drain since then or later."""
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
