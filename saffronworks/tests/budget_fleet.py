"""A fleet in virtual time whose nodes spend their whole retry budgets, under restarts."""

import bisect
import random

import attrs

from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.retry_budget import RetryBudget
from saffronworks.platform.node import INITIAL_NODE_COUNT

__all__ = ["BudgetFleet"]

RATIO, SLACK, WINDOW_MS = 0.2, 156.0, 10_000
SERVICE = "llm"
STEP_MS = 100


@attrs.define(slots=False)
class BudgetFleet:
    """Nodes among which requests are spread evenly; each repeats as often as its budget allows."""

    nodes: int
    requests_per_s: float
    seed: int = 1
    slack: float = SLACK
    now_ms: int = 100_000
    requests_ms: list = attrs.Factory(list)
    retries_ms: list = attrs.Factory(list)
    budgets: list = attrs.Factory(list)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)
        self._listed = self.nodes
        self.budgets = [self._make_budget(first_start=True) for _ in range(self.nodes)]

    def _make_budget(self, first_start):
        count = NodeCount(INITIAL_NODE_COUNT)
        if not first_start:
            count.update(INITIAL_NODE_COUNT, self.now_ms)
        count.update(self._listed, self.now_ms)
        return RetryBudget(RATIO, self.slack, WINDOW_MS, count, started_ms=self.now_ms)

    def list_nodes(self, count):
        """Let every node list `count` nodes."""
        self._listed = count
        for budget in self.budgets:
            budget.nodes.update(count, self.now_ms)

    def kill(self, share=1.0):
        """Restart a share of the nodes, which forget what they have counted."""
        for number in range(self.nodes):
            if self._rng.random() < share:
                self.budgets[number] = self._make_budget(first_start=False)

    def play(self, for_ms):
        """Let requests arrive, and each node spend what it may."""
        until_ms, due = self.now_ms + for_ms, 0.0
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            due += self.requests_per_s * STEP_MS / 1000
            while due >= 1:
                due -= 1
                self.requests_ms.append(self.now_ms)
                self._rng.choice(self.budgets).count_request(SERVICE, self.now_ms)
            for budget in self.budgets:
                while budget.withdraw(SERVICE, self.now_ms):
                    self.retries_ms.append(self.now_ms)

    def used_share(self):
        """Return the largest share of what is allowed in one window that was used in it."""
        return max((self._used_share(from_ms) for from_ms in set(self.retries_ms)), default=0.0)

    def _used_share(self, from_ms):
        to_ms = from_ms + WINDOW_MS
        retries = _count(self.retries_ms, from_ms, to_ms)
        return retries / (RATIO * _count(self.requests_ms, from_ms, to_ms) + self.slack)


def _count(times_ms, from_ms, to_ms):
    return bisect.bisect_left(times_ms, to_ms) - bisect.bisect_left(times_ms, from_ms)
