"""Counts requests that are wrongly quarantined because they ran beside a crashing content.

One content crashes busy endpoints one after the other. Each crash breaks all runs there; they are
retried at another endpoint, and their callers return once, so both may meet the next crash. Times
are those of an incident: runs of 2.8 s, a crash 30 to 280 ms after the send, 4 s until the endpoint
is back, the content again every half second.
"""

import random

import attrs

from saffronworks.forwarding.quarantine.suspicions import Admission, SuspicionTable, is_quarantined
from saffronworks.tests.quarantine_plays import CRASHING, endpoint_at

__all__ = ["Traffic", "Outcome", "play_service"]

STEP_MS = 10
RUN_MS = 2800
# From a crash to its record at all nodes: two probes and the gossip.
KNOWN_AFTER_MS = 400
RETURNS_AFTER_MS = 1000
PLAYED_MS = 12_000


@attrs.frozen
class Traffic:
    """Runs per request, interval of the crashing content, and downtime of an endpoint."""

    most_runs: int = 2
    comes_every_ms: int = 500
    down_ms: int = 4000


@attrs.define
class _Run:
    content: str
    ends_ms: int
    # Runs left for this request, and whether its caller returns once more.
    runs_left: int
    returns: bool


@attrs.frozen
class Outcome:
    """Counts of innocent contents with broken runs and of quarantined ones, and of crashes."""

    broken: int
    broken_twice: int
    quarantined: int
    ends: int


class _Service:
    def __init__(self, endpoints, runs_each, seed, traffic):
        self.traffic = traffic
        self.rng = random.Random(seed)
        self.runs = [[] for _ in range(endpoints)]
        self.down_until_ms = [0] * endpoints
        self.table = SuspicionTable()
        self.news, self.back = [], []
        self.broken, self.ends, self.starts = {}, 0, 0
        self.arrivals = endpoints * runs_each * STEP_MS / RUN_MS
        self.number = 0

    def place(self, run, now_ms):
        up = [i for i, until_ms in enumerate(self.down_until_ms) if until_ms <= now_ms]
        if up and self.table.admission(run.content, now_ms) is Admission.ALLOWED:
            fewest = min(up, key=lambda i: (len(self.runs[i]), self.rng.random()))
            self.runs[fewest].append(run)

    def send(self, content, now_ms, runs_left=None, returns=True):
        runs_left = runs_left or self.traffic.most_runs
        takes_ms = self.rng.randint(30, 280) if content == CRASHING else RUN_MS
        self.place(_Run(content, now_ms + takes_ms, runs_left - 1, returns), now_ms)

    def end(self, index, now_ms):
        self.ends += 1
        self.starts += 1
        instance = endpoint_at(self.starts).instance
        broken, self.runs[index] = self.runs[index], []
        self.down_until_ms[index] = now_ms + self.traffic.down_ms
        for run in broken:
            self.news.append((now_ms + KNOWN_AFTER_MS, run.content, instance))
            self.broken[run.content] = self.broken.get(run.content, 0) + 1
        for run in broken:
            if run.runs_left:
                self.send(run.content, now_ms, run.runs_left, run.returns)
            elif run.returns:
                self.back.append((now_ms + RETURNS_AFTER_MS, run.content))

    def step(self, now_ms):
        for known_ms, content, instance in [n for n in self.news if n[0] <= now_ms]:
            self.table.add_end(content, instance, known_ms)
        self.news = [n for n in self.news if n[0] > now_ms]
        for _, content in [b for b in self.back if b[0] <= now_ms]:
            self.send(content, now_ms, returns=False)
        self.back = [b for b in self.back if b[0] > now_ms]
        if now_ms % self.traffic.comes_every_ms == 0 and now_ms >= RUN_MS:
            self.send(CRASHING, now_ms)
        while self.rng.random() < self.arrivals - (self.number - self.arrivals * now_ms / STEP_MS):
            self.number += 1
            self.send(f"c{self.number}", now_ms)
        for index, runs in enumerate(self.runs):
            if any(run.content == CRASHING and run.ends_ms <= now_ms for run in runs):
                self.end(index, now_ms)
                continue
            for run in [run for run in runs if run.ends_ms <= now_ms]:
                runs.remove(run)
                self.table.add_success(run.content, now_ms)


def play_service(endpoints, runs_each, seed, traffic):
    """Simulate a service until its crashing content is quarantined, and return the counts."""
    service = _Service(endpoints, runs_each, seed, traffic)
    for now_ms in range(0, PLAYED_MS, STEP_MS):
        service.step(now_ms)
    others = {content: count for content, count in service.broken.items() if content != CRASHING}
    known = [service.table.find(content) for content in others]
    return Outcome(
        broken=len(others),
        broken_twice=sum(count > 1 for count in others.values()),
        quarantined=sum(found is not None and is_quarantined(found) for found in known),
        ends=service.ends,
    )
