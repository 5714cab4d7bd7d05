"""Simulates the rate limit of one endpoint on many nodes in virtual time, without network or clock.

The endpoint takes 1 or a few requests per second from all nodes together and answers after 30 to
120 ms. Callers at all nodes, or at a few, send twenty per second. Counted are requests in any 4 s,
as the endpoint's operator does: from 3 s after the limit was first advertised, by nodes that
relayed such an answer at least half a second before, except nodes with a fault.
"""

import attrs

from saffronworks.forwarding.endpoint_limits.backoff import LimitBackoff
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit, KnownLimit, LimitTable
from saffronworks.forwarding.endpoint_limits.tuning import (
    GOSSIP_FANOUT,
    GOSSIP_INTERVAL_MS,
    LIMIT_TOLERANCE,
    MIN_PER_S,
    PEERS_QUERIED_AT_START,
)
from saffronworks.forwarding.endpoint_limits.updates import PendingUpdates
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.shares.entry import Admitted, Refused
from saffronworks.forwarding.shares.events import Ask
from saffronworks.forwarding.shares.limits import Limit
from saffronworks.tests.virtual_fleet import FleetShares, VirtualFleet

__all__ = ["ENDPOINT", "LimitFleet"]

ENDPOINT = "e0"
CONTACT_MS, INFORMED_AFTER_MS = 3000, 500
# After a fault, the sends of a node aren't counted for this long.
EXCLUDED_MS = 3000
REQUESTS_PER_S = 20.0


@attrs.define
class _Node:
    """The state of one node, and when it relayed the first answer with a limit."""

    neighbours: Neighbours
    backoff: LimitBackoff
    table: LimitTable = attrs.Factory(LimitTable)
    pending: PendingUpdates = attrs.Factory(PendingUpdates)
    informed_ms: int | None = None


@attrs.frozen
class _Arrival:
    at_ms: int
    node: str
    informed: bool


class LimitFleet(VirtualFleet):
    """Nodes whose callers all use one endpoint, which advertises `per_s`, or None for no limit."""

    def __init__(self, count, per_s, seed, busy_nodes=None, dead=0):
        super().__init__(count, seed, dead)
        self.per_s = per_s
        self.busy = self.live[:busy_nodes] if busy_nodes else self.live
        self.asked = 0
        self.arrivals = []
        self.first_limit_ms = None
        self.excluded_until_ms = {}
        self.nodes = {name: self._start(name) for name in self.names}
        self.shares = FleetShares(self, LIMIT_TOLERANCE, self._limit_of, stagger_retries=False)
        for name in self.live:
            self.at(self.rng.randrange(GOSSIP_INTERVAL_MS), self._gossip, name)

    def _start(self, name):
        neighbours = Neighbours(name, self.rng)
        neighbours.update_nodes(self.names)
        return _Node(neighbours, LimitBackoff(self.rng, len(self.names)))

    def restart(self, name):
        self.nodes[name] = self._start(name)
        self.shares.restart(name)
        for other in self.nodes[name].neighbours.choose(PEERS_QUERIED_AT_START):
            self.send(name, other, self._answer_start, other, name)

    def _answer_start(self, name, asker):
        for instance in self.nodes[name].table.limited():
            self.send(
                name, asker, self._receive_update, asker, self.nodes[name].table.entry(instance)
            )

    def on_fault(self, names, for_ms):
        until_ms = self.now_ms + for_ms + EXCLUDED_MS
        self.excluded_until_ms.update(dict.fromkeys(names, until_ms))

    def _limit_of(self, name, event):
        known = self.nodes[name].table.find(event.subject)
        asked = event.limit.per_s if isinstance(event, Ask) else MIN_PER_S
        per_s = asked if known is None else min(known, asked)
        return Limit(max(MIN_PER_S, per_s), 0.0)

    # Gossip between nodes.

    def _queue_update(self, name):
        self.nodes[name].pending.add(ENDPOINT)

    def _gossip(self, name):
        self.at(GOSSIP_INTERVAL_MS, self._gossip, name)
        node = self.nodes[name]
        if name in self.away or not node.pending.pop_batch():
            return
        for other in node.neighbours.choose(GOSSIP_FANOUT):
            self.send(name, other, self._receive_update, other, node.table.entry(ENDPOINT))

    def _receive_update(self, name, update):
        known = KnownLimit(update.per_s, update.observed_ms)
        if self.nodes[name].table.record_update(ENDPOINT, known):
            self._queue_update(name)

    # Requests.

    def play(self, for_ms, requests_per_s=REQUESTS_PER_S):
        """Let requests arrive at random busy nodes."""
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
        informed_ms = self.nodes[name].informed_ms
        informed = informed_ms is not None and informed_ms + INFORMED_AFTER_MS <= self.now_ms
        excluded = self.now_ms < self.excluded_until_ms.get(name, 0)
        self.arrivals.append(_Arrival(self.now_ms, name, informed and not excluded))
        self.at(self.rng.randint(30, 120), self._answer, name, sent_ms, self.per_s)

    def _answer(self, name, sent_ms, per_s):
        if name in self.away:
            return
        node = self.nodes[name]
        if node.table.record_answer(ENDPOINT, AdvertisedLimit(per_s, sent_ms), self.now_ms):
            self._queue_update(name)
            if per_s is None:
                node.backoff.clear(ENDPOINT)
        if per_s is not None:
            node.informed_ms = node.informed_ms or self.now_ms
            self.first_limit_ms = self.first_limit_ms or self.now_ms

    # Results.

    def worst_window(self, of_all=False):
        """Return the most requests in a window, as a fraction of what the endpoint tolerates."""
        from_ms = self.first_limit_ms + CONTACT_MS
        counted = [a.at_ms for a in self.arrivals if a.at_ms >= from_ms and (a.informed or of_all)]
        window_ms = LIMIT_TOLERANCE.window_ms
        most = max((sum(at <= b < at + window_ms for b in counted) for at in counted), default=0)
        return most / int(
            self.per_s * window_ms / 1000 + LIMIT_TOLERANCE.spare(Limit(self.per_s, 0))
        )

    def served_share(self, from_ms, until_ms):
        """Return the requests that reached the endpoint, as a fraction of its limit."""
        reached = sum(from_ms <= arrival.at_ms < until_ms for arrival in self.arrivals)
        return reached / (self.per_s * (until_ms - from_ms) / 1000)

    def informed_share(self):
        """Return the fraction of live nodes that have the endpoint's newest limit."""
        know = [self.nodes[name].table.find(ENDPOINT) == self.per_s for name in self.live]
        return sum(know) / len(know)
