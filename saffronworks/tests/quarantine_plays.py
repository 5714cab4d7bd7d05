"""Simulates the quarantine on many nodes in virtual time, without network or clock.

One content is requested again and again at random nodes under new ids. It crashes each endpoint
that runs it, and each request is retried once at a second endpoint. Times are those of fleets in
production: 1 to 10 ms between nodes, a crash 30 to 280 ms after the send.
"""

import heapq
import itertools
import random

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine.core import QuarantineState, step
from saffronworks.forwarding.quarantine.events import ProbeResult
from saffronworks.forwarding.quarantine.messages import (
    PartNews,
    PartSuspicion,
    SuspicionNews,
)
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.quarantine.tuning import (
    GOSSIP_INTERVAL_MS,
    RECORD_READ_DELAYS_S,
)

__all__ = ["CRASHING", "Fleet", "endpoint_at", "quarantined_fleet"]

CRASHING = ContentId("deadly")
# Runs that the route allows per request; a trial has one.
MAX_RUNS = 2


def endpoint_at(number):
    return ServiceEndpoint(f"e{number}", "llm", f"10.9.0.{number % 250}:1", "z", born_ms=number)


@attrs.define
class Member:
    """One node; while it is `away` (partitioned or frozen) it neither receives nor sends."""

    state: QuarantineState
    away: bool = False


class Fleet:
    """Nodes that run `core`; `sends` and `ends` are times of the crashing content's."""

    def __init__(self, count, seed=1, lost=0.0, dead=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.lost = lost
        self.sends, self.ends, self.messages = [], [], 0
        self.stored = {}
        self._queue, self._numbers = [], itertools.count()
        self._endpoints = itertools.count(1)
        names = [f"10.0.{number // 250}.{number % 250}:7660" for number in range(count + dead)]
        self.names = tuple(names)
        self.nodes = {name: self._member(name) for name in names[:count]}

    def _member(self, name):
        state = QuarantineState(name, random.Random(name))
        state.update_nodes(self.names)
        self.at(self.rng.randrange(GOSSIP_INTERVAL_MS), self._tick, name, state)
        return Member(state)

    def at(self, after_ms, function, *arguments):
        """Call a function later in virtual time."""
        item = (self.now_ms + after_ms, next(self._numbers), function, arguments)
        heapq.heappush(self._queue, item)

    def run(self, until_ms):
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_ms = until_ms

    def _tick(self, name, state):
        if self.nodes[name].state is not state:
            return
        if not state.idle and not self.nodes[name].away:
            self.take(name, events.Tick())
        self.at(GOSSIP_INTERVAL_MS, self._tick, name, state)

    def restart(self, name):
        """Restart a node without state; it reads the store's records."""
        self.nodes[name] = self._member(name)
        for pause_s in RECORD_READ_DELAYS_S:
            self.at(int(pause_s * 1000), self._read, name)

    def _read(self, name):
        for suspicion in self.stored.values():
            self.take(name, events.RecordRead(suspicion))

    def take(self, name, event):
        node = self.nodes[name]
        for command in step(node.state, event, self.now_ms):
            match command:
                case events.Probe(endpoint, after_ms):
                    looked = events.ProbeFinished(endpoint.instance, ProbeResult.REFUSES)
                    self.at(after_ms + 5, self.take, name, looked)
                case events.SendNews(targets, news):
                    for target in targets:
                        self._send(name, target, news)
                case events.WriteRecord(PartSuspicion() as suspicion):
                    self.stored.setdefault(suspicion.part, suspicion)
                case events.WriteRecord(suspicion):
                    self.stored.setdefault(suspicion.content, suspicion)
                case events.RemoveRecord(content):
                    self.stored.pop(content, None)

    def _send(self, name, target, news):
        assert isinstance(news, SuspicionNews | PartNews)
        self.messages += 1
        if not self.nodes[name].away and self.rng.random() >= self.lost:
            self.at(self.rng.randint(1, 10), self._deliver, target, news)

    def _deliver(self, target, news):
        if target in self.nodes and not self.nodes[target].away:
            self.take(target, news)

    # The crashing content.

    def ask(self, name=None):
        """Let a request with the crashing content arrive at a node."""
        name = name or self.rng.choice(list(self.nodes))
        match self.nodes[name].state.admission(CRASHING, self.now_ms):
            case Admission.ALLOWED:
                self._run(name, MAX_RUNS)
            case Admission.TRIAL:
                self.take(name, events.TrialStarted(CRASHING))
                self._run(name, 1)

    def _run(self, name, runs_left):
        self.sends.append((self.now_ms, name))
        self.at(self.rng.randint(30, 280), self._end, name, runs_left - 1)

    def _end(self, name, runs_left):
        self.ends.append(self.now_ms)
        endpoint = endpoint_at(next(self._endpoints))
        self.take(name, events.RunFailed(CRASHING, endpoint, ExchangeErrorCause.CLOSED))
        admission = self.nodes[name].state.table.admission(CRASHING, self.now_ms)
        if runs_left and admission is Admission.ALLOWED:
            self._run(name, runs_left)

    def repeat(self, every_ms, until_ms):
        """Let the content arrive at random nodes every `every_ms` until `until_ms`."""
        for at_ms in range(self.now_ms, until_ms, every_ms):
            self.at(at_ms - self.now_ms, self.ask)

    def late_sends(self, contact_ms):
        """Return the sends later than `contact_ms` after the third end."""
        from_ms = self.ends[2] + contact_ms
        return [sent for sent in self.sends if sent[0] > from_ms]

    def refusing(self):
        """Return how many nodes would refuse the content."""
        judged = [n.state.table.admission(CRASHING, self.now_ms) for n in self.nodes.values()]
        return sum(admission is Admission.REFUSED for admission in judged)


def quarantined_fleet(count=7, seed=3):
    """Return a fleet that quarantined the crashing content some seconds ago."""
    fleet = Fleet(count, seed)
    fleet.repeat(300, 4000)
    fleet.run(10_000)
    return fleet
