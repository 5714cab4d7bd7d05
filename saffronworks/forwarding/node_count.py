"""The number of nodes that share what a fleet may do together."""

from collections import deque

import attrs

from saffronworks.forwarding.tuning import SHORTER_LIST_MS

__all__ = ["NodeCount"]


@attrs.define
class NodeCount:
    """The number of nodes among which an allowance is split.

    A higher count holds at once. A lower one holds after `SHORTER_LIST_MS`, because a list may lack
    nodes that are alive: after a restore of the store, or while they restart.
    """

    assumed: int
    # Counts by the time from which they were listed, oldest first; the last one is the present one.
    _listed: deque[tuple[int, int]] = attrs.Factory(deque)

    def update(self, count: int, now_ms: int) -> None:
        """Record the number of nodes that were listed."""
        self._listed.append((now_ms, max(1, count)))

    def at(self, now_ms: int) -> int:
        """Return the highest count that was listed or held within the span."""
        listed = self._listed
        while len(listed) > 1 and listed[1][0] <= now_ms - SHORTER_LIST_MS:
            listed.popleft()
        return max((count for _, count in listed), default=self.assumed)
