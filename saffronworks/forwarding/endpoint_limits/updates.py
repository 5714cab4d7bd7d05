"""Changed limits that have yet to be published to peers."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import GOSSIP_REPEATS, MAX_LIMITS_PER_MESSAGE
from saffronworks.forwarding.starts import StartId

__all__ = ["PendingUpdates"]


@attrs.define
class PendingUpdates:
    """Queue of changes, each published a few times; peers that lacked it publish it in turn."""

    _left: dict[StartId, int] = attrs.Factory(dict)

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, instance: StartId) -> None:
        """Queue the changed limit of an endpoint."""
        self._left[instance] = GOSSIP_REPEATS

    def pop_batch(self) -> list[StartId]:
        """Return the endpoints of the next message, and count one publication of each."""
        chosen = list(self._left)[:MAX_LIMITS_PER_MESSAGE]
        for instance in chosen:
            self._left[instance] -= 1
            if not self._left[instance]:
                del self._left[instance]
        return chosen

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop endpoints that are not in `instances`."""
        for instance in self._left.keys() - set(instances):
            del self._left[instance]
