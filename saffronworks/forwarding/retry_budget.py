"""Each node's part of the fleet's budget of sends past the first of each request."""

from collections import deque

import attrs

from saffronworks.forwarding.tuning import (
    BUDGET_USED_SHARE,
)

__all__ = ["RetryBudget"]


@attrs.define
class RetryBudget:
    """Extra sends stay below a share of this node's requests plus its part of a fixed slack.

    Nodes need no messages for it: `nodes` is how many share the slack, rather too many than too
    few. Counts are kept by service over a sliding window.
    """

    ratio: float
    slack: float
    window_ms: int
    nodes: int = 1
    _requests: dict[str, deque[int]] = attrs.Factory(dict)
    _extras: dict[str, deque[int]] = attrs.Factory(dict)

    def count_request(self, service: str, now_ms: int) -> None:
        """A caller's request on a route to that service came in."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def allows(self, service: str, now_ms: int) -> bool:
        """Whether one more extra send would stay within this node's part."""
        requests = len(self._recent(self._requests, service, now_ms))
        extras = len(self._recent(self._extras, service, now_ms))
        part = self.ratio * requests + self.slack / max(1, self.nodes)
        return extras + 1 <= BUDGET_USED_SHARE * part

    def withdraw(self, service: str, now_ms: int) -> bool:
        """Count one extra send if it is allowed."""
        if not self.allows(service, now_ms):
            return False
        self._recent(self._extras, service, now_ms).append(now_ms)
        return True

    def _recent(self, counts: dict[str, deque[int]], service: str, now_ms: int) -> deque[int]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return times
