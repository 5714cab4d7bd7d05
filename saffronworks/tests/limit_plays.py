"""Limits that an endpoint names, over many nodes on virtual time: no network, no clock.

The pattern: an endpoint that takes 1 or a few requests a second from all nodes together, and
callers at all nodes, or at few, who would send it twenty; it answers after 30 to 120 ms. What is
counted is what its operator counts: requests in any 4 s, from 3 s after it first named the limit,
of nodes that had passed such an answer on half a second before, without those in trouble.
"""

import attrs

from saffronworks.forwarding.endpoint_limits.backoff import LimitBackoff
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit, KnownLimit, LimitTable
from saffronworks.forwarding.endpoint_limits.tuning import (
    ASKED_AT_START,
    LEAST_PER_S,
    LIMIT_TOLERANCE,
    TELL_EVERY_MS,
    TELL_FANOUT,
)
from saffronworks.forwarding.endpoint_limits.updates import PendingUpdates
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.shares.asks import Ask
from saffronworks.forwarding.shares.bounds import Limit
from saffronworks.forwarding.shares.entry import Admitted, Refused
from saffronworks.tests.virtual_fleet import FleetShares, VirtualFleet

__all__ = ["ENDPOINT", "LimitFleet"]

ENDPOINT = "e0"
CONTACT_MS, TOLD_MS = 3000, 500
# For so long after a trouble a node's sends aren't counted.
EXCUSED_MS = 3000
REQUESTS_PER_S = 20.0


@attrs.define
class _Node:
    """What one node knows, and when it passed the first answer with a limit on."""

    neighbours: Neighbours
    backoff: LimitBackoff
    table: LimitTable = attrs.Factory(LimitTable)
    pending: PendingUpdates = attrs.Factory(PendingUpdates)
    told_ms: int | None = None


@attrs.frozen
class _Arrival:
    at_ms: int
    node: str
    told: bool


class LimitFleet(VirtualFleet):
    """Nodes whose callers all want one endpoint, which names `per_s`, or None for no limit."""

    def __init__(self, count, per_s, seed, busy_nodes=None, dead=0):
        super().__init__(count, seed, dead)
        self.per_s = per_s
        self.busy = self.live[:busy_nodes] if busy_nodes else self.live
        self.asked = 0
        self.arrivals = []
        self.first_named_ms = None
        self.excused_until_ms = {}
        self.nodes = {name: self._start(name) for name in self.names}
        self.shares = FleetShares(self, LIMIT_TOLERANCE, self._limit_of, in_turn=False)
        for name in self.live:
            self.at(self.rng.randrange(TELL_EVERY_MS), self._tell, name)

    def _start(self, name):
        neighbours = Neighbours(name, self.rng)
        neighbours.update_nodes(self.names)
        return _Node(neighbours, LimitBackoff(self.rng, len(self.names)))

    def restart(self, name):
        self.nodes[name] = self._start(name)
        self.shares.restart(name)
        for other in self.nodes[name].neighbours.choose(ASKED_AT_START):
            self.send(name, other, self._answer_start, other, name)

    def _answer_start(self, name, asker):
        for instance in self.nodes[name].table.limited():
            self.send(name, asker, self._hear_news, asker, self.nodes[name].table.entry(instance))

    def struck(self, names, for_ms):
        until_ms = self.now_ms + for_ms + EXCUSED_MS
        self.excused_until_ms.update(dict.fromkeys(names, until_ms))

    def _limit_of(self, name, event):
        known = self.nodes[name].table.find(event.subject)
        asked = event.limit.per_s if isinstance(event, Ask) else LEAST_PER_S
        named = asked if known is None else min(known, asked)
        return Limit(max(LEAST_PER_S, named), 0.0)

    # What nodes tell each other.

    def _learn(self, name):
        self.nodes[name].pending.add(ENDPOINT)

    def _tell(self, name):
        self.at(TELL_EVERY_MS, self._tell, name)
        node = self.nodes[name]
        if name in self.away or not node.pending.pop_batch():
            return
        for other in node.neighbours.choose(TELL_FANOUT):
            self.send(name, other, self._hear_news, other, node.table.entry(ENDPOINT))

    def _hear_news(self, name, heard):
        known = KnownLimit(heard.per_s, heard.observed_ms)
        if self.nodes[name].table.record_update(ENDPOINT, known):
            self._learn(name)

    # Requests.

    def play(self, for_ms, requests_per_s=REQUESTS_PER_S):
        """Let requests come at busy nodes by chance."""
        until_ms = self.now_ms + for_ms
        self._next(until_ms, requests_per_s)
        self.run(until_ms)

    def _next(self, until_ms, per_s):
        after_ms = max(1, int(self.rng.expovariate(per_s) * 1000))
        if self.now_ms + after_ms < until_ms:
            self.at(after_ms, self._arrive, until_ms, per_s)

    def _arrive(self, until_ms, per_s):
        self._next(until_ms, per_s)
        name = self.rng.choice(self.busy)
        self.asked += 1
        if name in self.away:
            return
        node = self.nodes[name]
        known = node.table.find(ENDPOINT)
        if known is None:
            self._send_on(name)
        elif not node.backoff.remaining_ms(ENDPOINT, self.now_ms):
            limit, shares = Limit(known, 0.0), self.ring.shares(self.now_ms)
            ask = Ask(f"a{self.number()}", ENDPOINT, 1, limit, shares)
            self.shares.ask(name, ask, lambda command: self._settle(name, command))

    def _settle(self, name, command):
        backoff = self.nodes[name].backoff
        if isinstance(command, Admitted):
            backoff.record_permit(ENDPOINT)
            self._send_on(name)
        else:
            after_ms = command.retry_after_ms if isinstance(command, Refused) else 0
            backoff.record_rejection(ENDPOINT, after_ms, self.now_ms)

    def _send_on(self, name):
        if name in self.away:
            return
        sent_ms = self.now_ms
        self.at(self.rng.randint(1, 4), self._reach, name, sent_ms)

    def _reach(self, name, sent_ms):
        told_ms = self.nodes[name].told_ms
        told = told_ms is not None and told_ms + TOLD_MS <= self.now_ms
        excused = self.now_ms < self.excused_until_ms.get(name, 0)
        self.arrivals.append(_Arrival(self.now_ms, name, told and not excused))
        self.at(self.rng.randint(30, 120), self._answer, name, sent_ms, self.per_s)

    def _answer(self, name, sent_ms, per_s):
        if name in self.away:
            return
        node = self.nodes[name]
        if node.table.record_answer(ENDPOINT, AdvertisedLimit(per_s, sent_ms), self.now_ms):
            self._learn(name)
            if per_s is None:
                node.backoff.clear(ENDPOINT)
        if per_s is not None:
            node.told_ms = node.told_ms or self.now_ms
            self.first_named_ms = self.first_named_ms or self.now_ms

    # What came of it.

    def worst_window(self, of_all=False):
        """The most that reached the endpoint in a window, as a share of what it tolerates."""
        from_ms = self.first_named_ms + CONTACT_MS
        counted = [a.at_ms for a in self.arrivals if a.at_ms >= from_ms and (a.told or of_all)]
        window_ms = LIMIT_TOLERANCE.window_ms
        most = max((sum(at <= b < at + window_ms for b in counted) for at in counted), default=0)
        return most / int(
            self.per_s * window_ms / 1000 + LIMIT_TOLERANCE.spare(Limit(self.per_s, 0))
        )

    def served_share(self, from_ms, until_ms):
        """Requests that reached it, as a share of those that it takes."""
        reached = sum(from_ms <= arrival.at_ms < until_ms for arrival in self.arrivals)
        return reached / (self.per_s * (until_ms - from_ms) / 1000)

    def knowing(self):
        """The share of live nodes that know the newest word of the endpoint."""
        know = [self.nodes[name].table.find(ENDPOINT) == self.per_s for name in self.live]
        return sum(know) / len(know)
