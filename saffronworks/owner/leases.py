"""Leases of entry nodes at an owner, unacknowledged cancels, and orphan streams."""

import attrs

from saffronworks.hashing import hash32
from saffronworks.messages import RequestKey

__all__ = ["CancelList", "Lease", "LeaseTable", "OrphanWatch", "hash_key"]

CANCEL_RETRY_MS = 500
ORPHAN_GRACE_MS = 3000
MISMATCHES_BEFORE_QUERY = 2


def hash_key(key: RequestKey) -> int:
    """Returns a 32-bit hash of an attempt, the same on every node."""
    return hash32(f"{key.request_id}/{key.attempt}")


@attrs.define
class Lease:
    """The lease of one entry node.

    `incarnation` is None until the first heartbeat. `mismatches` counts the heartbeats in a row
    whose digest of held attempts differs from the owner's.
    """

    renewed_ms: int
    incarnation: int | None
    mismatches: int = 0


@attrs.define
class LeaseTable:
    """Leases by node name; each lapses `lease_ms` after its last renewal."""

    lease_ms: int
    leases: dict[str, Lease] = attrs.Factory(dict)

    def renew(self, node: str, incarnation: int, now_ms: int) -> bool:
        """Renews a lease; returns True when the node restarted and lost its attempts.

        A lower incarnation than the recorded one is a late message and renews nothing.
        """
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
        """Creates a lease without an incarnation for a node that has not sent a heartbeat yet."""
        self.leases.setdefault(node, Lease(now_ms, None))

    def live(self, node: str, now_ms: int) -> bool:
        """Returns True while the lease of a node has not lapsed."""
        lease = self.leases.get(node)
        return lease is not None and now_ms - lease.renewed_ms <= self.lease_ms

    def take_lapsed(self, now_ms: int) -> list[str]:
        """Removes the lapsed leases and returns the names of their nodes."""
        lapsed = [node for node in self.leases if not self.live(node, now_ms)]
        for node in lapsed:
            del self.leases[node]
        return lapsed


@attrs.define
class CancelList:
    """Cancels to send to endpoints, each resent until acknowledged."""

    due_ms: dict[tuple[str, RequestKey], int] = attrs.Factory(dict)

    def add(self, endpoint: str, key: RequestKey, now_ms: int) -> None:
        """Adds a cancel that is due now, unless it is pending already."""
        self.due_ms.setdefault((endpoint, key), now_ms)

    def acknowledge(self, endpoint: str, key: RequestKey) -> None:
        """Removes a cancel once the endpoint no longer runs the attempt."""
        self.due_ms.pop((endpoint, key), None)

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes the cancels of an endpoint whose process has ended, and its streams with it."""
        for entry in [entry for entry in self.due_ms if entry[0] == endpoint]:
            del self.due_ms[entry]

    def take_due(self, now_ms: int) -> list[tuple[str, RequestKey]]:
        """Returns the cancels to send now, and schedules each to be sent again."""
        due = [entry for entry, at_ms in self.due_ms.items() if at_ms <= now_ms]
        for entry in due:
            self.due_ms[entry] = now_ms + CANCEL_RETRY_MS
        return due


@attrs.define
class OrphanWatch:
    """Streams that engines list and no entry node claims, with the time each was first seen."""

    first_seen_ms: dict[tuple[str, RequestKey], int] = attrs.Factory(dict)

    def observe(self, endpoint: str, unclaimed: set[RequestKey], now_ms: int) -> list[RequestKey]:
        """Records the unclaimed streams of one endpoint; returns those past the grace period."""
        for entry in list(self.first_seen_ms):
            if entry[0] == endpoint and entry[1] not in unclaimed:
                del self.first_seen_ms[entry]
        expired = []
        for key in sorted(unclaimed):
            since_ms = self.first_seen_ms.setdefault((endpoint, key), now_ms)
            if now_ms - since_ms >= ORPHAN_GRACE_MS:
                expired.append(key)
        return expired
