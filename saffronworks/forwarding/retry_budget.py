"""The node's share of the fleet's retry budget: sends beyond the first of each request."""

import logging
from collections import deque

import attrs

from saffronworks.forwarding.tuning import (
    BUDGET_USED_SHARE,
)

__all__ = ["RetryBudget"]

logger = logging.getLogger(__name__)


@attrs.define
class RetryBudget:
    """Limits retries to a ratio of this node's requests plus its share of the fleet's slack.

    Nodes exchange no messages about it: each uses an equal share of the slack. If `nodes` were
    below their true number, all shares together would exceed the slack. Requests and retries are
    counted per service over a sliding window.
    """

    ratio: float
    slack: float
    window_ms: int
    nodes: int = 1
    _requests: dict[str, deque[int]] = attrs.Factory(dict)
    _retries: dict[str, deque[int]] = attrs.Factory(dict)

    def count_request(self, service: str, now_ms: int) -> None:
        """Count a caller's request on a route to `service`."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def allows(self, service: str, now_ms: int) -> bool:
        """Return whether one more retry stays within this node's share."""
        requests = len(self._recent(self._requests, service, now_ms))
        retries = len(self._recent(self._retries, service, now_ms))
        share = self.ratio * requests + self.slack / max(1, self.nodes)
        return retries + 1 <= BUDGET_USED_SHARE * share

    def withdraw(self, service: str, now_ms: int) -> bool:
        """Count one retry if the budget allows it; returns whether it does."""
        allowed = self.allows(service, now_ms)
        if allowed:
            self._recent(self._retries, service, now_ms).append(now_ms)
        logger.info(
            "event=%s service=%s retries=%d requests=%d nodes=%d",
            "retry" if allowed else "retry_denied",
            service,
            *self.counts(service, now_ms),
            self.nodes,
        )
        return allowed

    def counts(self, service: str, now_ms: int) -> tuple[int, int]:
        """Return the retries and the requests of the last window."""
        retries = self._recent(self._retries, service, now_ms)
        return len(retries), len(self._recent(self._requests, service, now_ms))

    def _recent(self, counts: dict[str, deque[int]], service: str, now_ms: int) -> deque[int]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return times
