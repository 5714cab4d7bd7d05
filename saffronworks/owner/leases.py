"""Leases of entry nodes with one owner, cancels that must be acknowledged, and orphans."""

import attrs

from saffronworks.hashing import hash32
from saffronworks.messages import RequestKey

__all__ = ["CancelList", "Lease", "LeaseTable", "OrphanWatch", "hash_key"]

CANCEL_AGAIN_MS = 500
ORPHAN_GRACE_MS = 3000
MISMATCHES_TO_ASK = 2


def hash_key(key: RequestKey) -> int:
    """A 32-bit hash of an attempt, equal on every node."""
    return hash32(f"{key.request_id}/{key.attempt}")


@attrs.define
class Lease:
    """One entry node's lease; `incarnation` is None until its first heartbeat."""

    renewed_ms: int
    incarnation: int | None
    mismatches: int = 0


@attrs.define
class LeaseTable:
    """Leases by node; a lapsed one is taken out once."""

    lease_ms: int
    leases: dict[str, Lease] = attrs.Factory(dict)

    def renew(self, node: str, incarnation: int, now_ms: int) -> bool:
        """Renew; True when the node restarted, so that what it held before is gone."""
        lease = self.leases.get(node)
        if lease is None or lease.incarnation is None:
            self.leases[node] = Lease(now_ms, incarnation)
            return False
        if incarnation > lease.incarnation:
            self.leases[node] = Lease(now_ms, incarnation)
            return True
        if incarnation == lease.incarnation:
            lease.renewed_ms = now_ms
        return False

    def touch(self, node: str, now_ms: int) -> None:
        """A node that asks has a lease from now on, until its heartbeat tells more."""
        self.leases.setdefault(node, Lease(now_ms, None))

    def live(self, node: str, now_ms: int) -> bool:
        """Whether the node's lease holds."""
        lease = self.leases.get(node)
        return lease is not None and now_ms - lease.renewed_ms <= self.lease_ms

    def take_lapsed(self, now_ms: int) -> list[str]:
        """Nodes whose lease lapsed; they are forgotten here."""
        lapsed = [node for node in self.leases if not self.live(node, now_ms)]
        for node in lapsed:
            del self.leases[node]
        return lapsed


@attrs.define
class CancelList:
    """Cancels on their way to endpoints, repeated until acknowledged."""

    due_ms: dict[tuple[str, RequestKey], int] = attrs.Factory(dict)

    def add(self, endpoint: str, key: RequestKey, now_ms: int) -> None:
        """Ask for a cancel from now on."""
        self.due_ms.setdefault((endpoint, key), now_ms)

    def acknowledge(self, endpoint: str, key: RequestKey) -> None:
        """The endpoint no longer holds the attempt."""
        self.due_ms.pop((endpoint, key), None)

    def forget_endpoint(self, endpoint: str) -> None:
        """The endpoint is gone, and its memory with it."""
        for entry in [entry for entry in self.due_ms if entry[0] == endpoint]:
            del self.due_ms[entry]

    def take_due(self, now_ms: int) -> list[tuple[str, RequestKey]]:
        """Cancels to send now; each comes again until it is acknowledged."""
        due = [entry for entry, at_ms in self.due_ms.items() if at_ms <= now_ms]
        for entry in due:
            self.due_ms[entry] = now_ms + CANCEL_AGAIN_MS
        return due


@attrs.define
class OrphanWatch:
    """Streams that engines list and nobody claims, with when each was first seen."""

    first_seen_ms: dict[tuple[str, RequestKey], int] = attrs.Factory(dict)

    def observe(self, endpoint: str, unclaimed: set[RequestKey], now_ms: int) -> list[RequestKey]:
        """Take one endpoint's unclaimed streams; returns those past the grace period."""
        for entry in list(self.first_seen_ms):
            if entry[0] == endpoint and entry[1] not in unclaimed:
                del self.first_seen_ms[entry]
        expired = []
        for key in sorted(unclaimed):
            since_ms = self.first_seen_ms.setdefault((endpoint, key), now_ms)
            if now_ms - since_ms >= ORPHAN_GRACE_MS:
                expired.append(key)
        return expired
