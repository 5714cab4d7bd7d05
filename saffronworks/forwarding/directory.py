"""The endpoints that the store lists: who may get work, by service and role."""

import attrs

from saffronworks.bundles import Role

__all__ = ["Directory", "ServiceEndpoint"]


@attrs.frozen
class ServiceEndpoint:
    """One start of one endpoint; a later start at the same address has another `instance`."""

    instance: str
    service: str
    address: str
    zone: str
    draining: bool = False
    role: Role | None = None


@attrs.define
class Directory:
    """What is known of all endpoints, and at which revision of the store.

    Entries may lapse while the store is away although their endpoints live. An entry that is
    missing right after the store's return therefore stays usable for a grace period.
    """

    revision: int = 0
    endpoints: dict[str, ServiceEndpoint] = attrs.Factory(dict)
    _usable_until_ms: dict[str, int] = attrs.Factory(dict)
    _replaced: set[str] = attrs.Factory(set)

    def replace(
        self, listed: list[ServiceEndpoint], revision: int, now_ms: int, lapse_until_ms: int = 0
    ) -> list[str]:
        """Take a whole listing; returns the instances that are missing from it."""
        self.revision = revision
        present = {endpoint.instance for endpoint in listed}
        missing = [name for name in self.endpoints if name not in present]
        for endpoint in listed:
            self.put(endpoint)
        for name in missing:
            self.remove(name, now_ms, lapse_until_ms)
        return missing

    def put(self, endpoint: ServiceEndpoint) -> None:
        """Take an entry that is new or has changed, unless its address has another endpoint."""
        if endpoint.instance in self._replaced:
            return
        self.endpoints[endpoint.instance] = endpoint
        self._usable_until_ms.pop(endpoint.instance, None)

    def remove(self, instance: str, now_ms: int, lapse_until_ms: int = 0) -> None:
        """An entry is gone; until `lapse_until_ms` the store's own outage may be the cause."""
        known = self.endpoints.get(instance)
        if known is None:
            return
        if now_ms < lapse_until_ms and not known.draining:
            self._usable_until_ms.setdefault(instance, lapse_until_ms)
            return
        del self.endpoints[instance]
        self._usable_until_ms.pop(instance, None)

    def note_replaced(self, instance: str) -> None:
        """Another endpoint answered at its address: this start of it is over for good."""
        self._replaced.add(instance)
        self.endpoints.pop(instance, None)
        self._usable_until_ms.pop(instance, None)

    def expire(self, now_ms: int) -> None:
        """Forget the entries whose grace period is over."""
        for instance, until_ms in list(self._usable_until_ms.items()):
            if now_ms >= until_ms:
                del self._usable_until_ms[instance]
                del self.endpoints[instance]

    def usable(self, service: str, now_ms: int, role: Role | None = None) -> list[ServiceEndpoint]:
        """The endpoints of a service that may get new work, of one role if given."""
        self.expire(now_ms)
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and (role is None or endpoint.role is role)
        ]
