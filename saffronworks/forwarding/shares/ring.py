"""Which nodes hold the limit of a subject: the same at all nodes, without a message."""

from bisect import bisect
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.shares.tuning import (
    ESTABLISHED_VIEW_MS,
    HOLDERS,
    NEW_HOLDER_DELAY_MS,
    SETTLED_MS,
)
from saffronworks.hashing import hash64

__all__ = ["HolderRing"]


@attrs.frozen
class _View:
    """The nodes that were known for a time, in the order of their hashes."""

    points: list[int] = attrs.Factory(list)
    nodes: list[str] = attrs.Factory(list)
    until_ms: int | None = None

    def holders(self, subject: str) -> list[str]:
        count = len(self.nodes)
        start = bisect(self.points, hash64(subject))
        return [self.nodes[(start + step) % count] for step in range(min(HOLDERS, count))]


@attrs.define
class HolderRing:
    """Nodes in the order of their hashes; a subject's holders are the next three after its own.

    A node that joins or leaves moves the limits beside it alone. At 1,600 nodes and 29,000
    organisations an entry node's decision takes 15 us (`make bench`, part quotas), where ranking
    all nodes for each organisation made it 1.8 ms.
    """

    _view: _View = attrs.Factory(_View)
    _earlier: list[_View] = attrs.Factory(list)
    _changed_ms: int | None = None

    def update(self, nodes: Iterable[str], now_ms: int) -> None:
        """Which nodes there are from now on."""
        ordered = sorted((hash64(node), node) for node in nodes)
        newest = _View([point for point, _ in ordered], [node for _, node in ordered])
        if newest.nodes == self._view.nodes:
            return
        if self._was_asked(now_ms):
            self._earlier.append(attrs.evolve(self._view, until_ms=now_ms))
        self._forget_earlier(now_ms)
        self._view, self._changed_ms = newest, now_ms

    def _was_asked(self, now_ms: int) -> bool:
        """Whether the view lasted long enough for its holders to have given out whole limits.

        Right after a start it grows with each count. With fewer nodes than holders it leaves shares
        out until it is settled, so that a new node takes none of another one's.
        """
        if self._changed_ms is None:
            return False
        lasted_ms = now_ms - self._changed_ms
        complete = len(self._view.nodes) >= HOLDERS
        return lasted_ms >= (ESTABLISHED_VIEW_MS if complete else SETTLED_MS)

    def shares(self, now_ms: int) -> int:
        """Into how many shares a limit is divided."""
        settled = self._changed_ms is not None and now_ms - self._changed_ms >= SETTLED_MS
        return max(1, min(HOLDERS, len(self._view.nodes))) if settled else HOLDERS

    def holders(self, subject: str) -> list[str]:
        """The nodes among which its limit is shared out; none before nodes are known."""
        return self._view.holders(subject)

    def active_holders(self, subject: str, now_ms: int) -> list[str]:
        """Of its holders, those that were some before the changes of the last time as well.

        Nodes that know different holders would else use more than three shares between them. One
        that was away for a moment is asked again at once: nobody asks the one in its place so soon.
        """
        self._forget_earlier(now_ms)
        holders = self.holders(subject)
        if not self._earlier:
            return holders
        before = self._earlier[0].holders(subject)
        return [node for node in holders if node in before]

    def _forget_earlier(self, now_ms: int) -> None:
        self._earlier = [
            view
            for view in self._earlier
            if view.until_ms is not None and now_ms - view.until_ms < NEW_HOLDER_DELAY_MS
        ]
