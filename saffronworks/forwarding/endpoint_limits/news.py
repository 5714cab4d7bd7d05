"""What a node has learnt of limits and still tells others."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import MOST_TOLD, TELL_TIMES
from saffronworks.forwarding.starts import StartId

__all__ = ["UntoldLimits"]


@attrs.define
class UntoldLimits:
    """Each change is told a few times; who learns it by that tells it on."""

    _left: dict[StartId, int] = attrs.Factory(dict)

    def __bool__(self) -> bool:
        return bool(self._left)

    def learn(self, instance: StartId) -> None:
        """The limit of an endpoint is another one now."""
        self._left[instance] = TELL_TIMES

    def take(self) -> list[StartId]:
        """The endpoints of the next message."""
        chosen = list(self._left)[:MOST_TOLD]
        for instance in chosen:
            self._left[instance] -= 1
            if not self._left[instance]:
                del self._left[instance]
        return chosen

    def forget_all_but(self, instances: Collection[StartId]) -> None:
        """Drop what belongs to endpoints that are gone."""
        for instance in self._left.keys() - set(instances):
            del self._left[instance]
