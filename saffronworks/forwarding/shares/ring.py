"""Which nodes hold the limit of a subject: the same at all nodes, without a message."""

from bisect import bisect
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.shares.tuning import HOLDERS, SETTLED_MS
from saffronworks.hashing import hash64

__all__ = ["HolderRing"]


@attrs.define
class HolderRing:
    """Nodes in the order of their hashes; a subject's holders are the next three after its own.

    A node that joins or leaves moves the limits beside it alone. At 1,600 nodes and 29,000
    organisations an entry node's decision takes 15 us (`make bench`, part quotas), where ranking
    all nodes for each organisation made it 1.8 ms.
    """

    _points: list[int] = attrs.Factory(list)
    _nodes: list[str] = attrs.Factory(list)
    _changed_ms: int | None = None

    def take(self, nodes: Iterable[str], now_ms: int) -> None:
        """Which nodes there are from now on."""
        ordered = sorted((hash64(node), node) for node in nodes)
        if [node for _, node in ordered] == self._nodes:
            return
        self._points = [point for point, _ in ordered]
        self._nodes = [node for _, node in ordered]
        self._changed_ms = now_ms

    def shares(self, now_ms: int) -> int:
        """Into how many shares a limit is divided."""
        settled = self._changed_ms is not None and now_ms - self._changed_ms >= SETTLED_MS
        return max(1, min(HOLDERS, len(self._nodes))) if settled else HOLDERS

    def holders(self, subject: str) -> list[str]:
        """The nodes among which its limit is shared out; none before nodes are known."""
        count = len(self._nodes)
        start = bisect(self._points, hash64(subject))
        return [self._nodes[(start + step) % count] for step in range(min(HOLDERS, count))]
