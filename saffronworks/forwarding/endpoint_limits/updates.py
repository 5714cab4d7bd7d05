"""Changed limits that are still to be published to peers."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import GOSSIP_REPEATS, MAX_LIMITS_PER_MESSAGE
from saffronworks.forwarding.starts import StartId

__all__ = ["PendingUpdates"]


@attrs.define
class PendingUpdates:
    """Each change is published a few times; peers that did not know it publish it in turn."""

    _left: dict[StartId, int] = attrs.Factory(dict)

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, instance: StartId) -> None:
        """The limit of an endpoint has changed."""
        self._left[instance] = GOSSIP_REPEATS

    def pop_batch(self) -> list[StartId]:
        """The endpoints of the next message."""
        chosen = list(self._left)[:MAX_LIMITS_PER_MESSAGE]
        for instance in chosen:
            self._left[instance] -= 1
            if not self._left[instance]:
                del self._left[instance]
        return chosen

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop removed endpoints."""
        for instance in self._left.keys() - set(instances):
            del self._left[instance]
