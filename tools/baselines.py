"""Baseline policies for the bench: independent nodes that choose without reservations."""

import random
from typing import Any

from saffronworks import request_events
from tools.fake_engines import Clock, FakeEngine, FaultPlan

__all__ = ["POLICIES", "Baseline"]

POLICIES = ("round-robin", "least-outstanding", "two-choices", "static-share")
NODES = 7
SHARE_SLACK = 1.2
REPORT_MS = 250.0
FULL_AGAIN_MS = 50.0
MESSAGE_MS = 1.0
STALL_MS = 3000
RETRY_AFTER_MS = 1000


class Baseline:
    """Grants at once; a full decode endpoint is tried again until the KV result expires."""

    def __init__(
        self,
        policy: str,
        engines: dict[str, FakeEngine],
        clock: Clock,
        rng: random.Random,
        faults: FaultPlan,
    ):
        self.policy = policy
        self._engines = engines
        self._clock = clock
        self._rng = random.Random(policy)
        self._fault_rng = rng
        self._faults = faults
        self._turn: dict[tuple[str, str], int] = {}
        self._reports: dict[str, tuple[int, int]] = {}
        self._own: dict[tuple[str, str], int] = {}
        self._held: dict[str, list[str]] = {}
        self._down: dict[str, float] = {}
        self._live: dict[str, int] = {}
        self._counted: set[str] = set()

    def start(self, until_ms: float) -> None:
        """Begin load reports."""
        self._report()

    def _report(self) -> None:
        for engine in self._engines.values():
            lost = self._fault_rng.random() < self._faults.lost_report_share
            if engine.alive and not lost:
                self._reports[engine.name] = engine.report()
        self._clock.after(REPORT_MS, self._report)

    def _choose(self, node: str, role: str) -> str:
        names = [n for n in self._engines if n.startswith(role)]
        up = [n for n in names if self._down.get(n, 0.0) <= self._clock.now_ms] or names
        if self.policy == "round-robin":
            turn = self._turn.get((node, role), self._rng.randrange(len(names)))
            self._turn[(node, role)] = turn + 1
            return up[turn % len(up)]
        if self.policy == "two-choices":
            up = self._rng.sample(up, min(2, len(up)))
        return min(up, key=lambda name: self._load(node, name))

    def _load(self, node: str, name: str) -> float:
        running, queued = self._reports.get(name, (0, 0))
        return running + queued + self._own.get((node, name), 0) + self._rng.random() * 0.1

    def _take(self, driver: Any, name: str) -> None:
        key = (driver.node, name)
        self._own[key] = self._own.get(key, 0) + 1
        self._held.setdefault(driver.request.request_id, []).append(name)

    def _over_share(self, node: str) -> bool:
        """Whether a node has as many live requests as its static share of the slots allows."""
        decoders = [engine for engine in self._engines.values() if engine.name.startswith("d")]
        slots = sum(engine.profile.slots for engine in decoders)
        return self._live.get(node, 0) >= max(1, round(SHARE_SLACK * slots / NODES))

    def ask(self, driver: Any, command: request_events.AskOwner) -> None:
        """Choose a prefill endpoint at once; beyond a static share, refuse."""
        if self.policy == "static-share":
            if self._over_share(driver.node):
                refusal = request_events.RefusalReceived(command.attempt, "share", RETRY_AFTER_MS)
                self._clock.after(MESSAGE_MS, lambda: driver.feed(refusal))
                return
            self._live[driver.node] = self._live.get(driver.node, 0) + 1
            self._counted.add(driver.request.request_id)
        name = self._choose(driver.node, "p")
        self._take(driver, name)
        event = request_events.GrantReceived(command.attempt, name)
        self._clock.after(MESSAGE_MS, lambda: driver.feed(event))

    def prefilled(self, driver: Any, command: request_events.TellPrefilled) -> None:
        """Choose a decode endpoint; after a refusal, a little later."""
        if command.failure == "connect":
            self._down[command.refused_by] = self._clock.now_ms + 2000
        delay_ms = FULL_AGAIN_MS if command.refused_by else MESSAGE_MS
        name = self._choose(driver.node, "d")
        self._take(driver, name)
        event = request_events.AssignReceived(command.attempt, name, STALL_MS)
        self._clock.after(delay_ms, lambda: driver.feed(event))

    def release(self, driver: Any, command: request_events.ReleaseGrant) -> None:
        """Forget what the attempt held."""
        if driver.request.request_id in self._counted:
            self._counted.discard(driver.request.request_id)
            self._live[driver.node] -= 1
        for name in self._held.pop(driver.request.request_id, []):
            self._own[(driver.node, name)] -= 1
        for name in command.failed:
            if command.failure == "connect":
                self._down[name] = self._clock.now_ms + 2000
