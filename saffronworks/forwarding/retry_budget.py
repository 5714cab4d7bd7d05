"""The node's share of the fleet's retry budget: sends beyond the first of each request."""

import logging
from collections import deque

import attrs

from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.tuning import (
    BUDGET_USED_SHARE,
    YOUNG_SLACK_SHARE,
)

__all__ = ["RetryBudget"]

logger = logging.getLogger(__name__)


@attrs.define
class RetryBudget:
    """Limits retries to a ratio of this node's requests plus its share of the fleet's slack.

    Nodes exchange no messages about it: each uses an equal share of the slack. Requests and retries
    are counted per service over a sliding window. What this node sent before its start is unknown,
    so for one window it uses only a small part of its share, in proportion to its age: however
    often nodes restart, all processes of a node together stay within it.

    `started_ms` is the start of the process, None if there was none before it.
    """

    ratio: float
    slack: float
    window_ms: int
    nodes: NodeCount = attrs.Factory(lambda: NodeCount(1))
    started_ms: int | None = None
    _requests: dict[str, deque[int]] = attrs.Factory(dict)
    _retries: dict[str, deque[int]] = attrs.Factory(dict)

    def count_request(self, service: str, now_ms: int) -> None:
        """Count a caller's request on a route to `service`."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def allows(self, service: str, now_ms: int) -> bool:
        """Return whether one more retry stays within this node's share."""
        retries, requests = self.counts(service, now_ms)
        slack = self.slack / self.nodes.at(now_ms)
        return retries + 1 <= BUDGET_USED_SHARE * self.ratio * requests + (
            self._slack_share(now_ms) * slack
        )

    def _slack_share(self, now_ms: int) -> float:
        """Return the share of this node's part of the slack that it may use."""
        age_ms = self.window_ms if self.started_ms is None else now_ms - self.started_ms
        if age_ms >= self.window_ms:
            return BUDGET_USED_SHARE
        return YOUNG_SLACK_SHARE * age_ms / self.window_ms

    def withdraw(self, service: str, now_ms: int) -> bool:
        """Count one retry if the budget allows it; returns whether it does."""
        allowed = self.allows(service, now_ms)
        if allowed:
            self._recent(self._retries, service, now_ms).append(now_ms)
        retries, requests = self.counts(service, now_ms)
        logger.info(
            "event=%s service=%s retries=%d requests=%d nodes=%d slack_share=%.2f",
            "retry" if allowed else "retry_denied",
            service,
            retries,
            requests,
            self.nodes.at(now_ms),
            self._slack_share(now_ms),
        )
        return allowed

    def uncounted(self) -> "RetryBudget":
        """Return this budget for a decision whose send is denied: it counts nothing."""
        return _UncountedBudget(
            self.ratio,
            self.slack,
            self.window_ms,
            self.nodes,
            self.started_ms,
            self._requests,
            self._retries,
        )

    def charge(self, service: str, now_ms: int) -> None:
        """Count a send that takes place in any case, at the expense of later retries."""
        self._recent(self._retries, service, now_ms).append(now_ms)

    def counts(self, service: str, now_ms: int) -> tuple[int, int]:
        """Return the retries and the requests of the last window."""
        retries = self._recent(self._retries, service, now_ms)
        return len(retries), len(self._recent(self._requests, service, now_ms))

    def _recent(self, counts: dict[str, deque[int]], service: str, now_ms: int) -> deque[int]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now_ms - self.window_ms:
            times.popleft()
        return times


class _UncountedBudget(RetryBudget):
    def withdraw(self, service: str, now_ms: int) -> bool:
        return self.allows(service, now_ms)

    def charge(self, service: str, now_ms: int) -> None:
        pass
