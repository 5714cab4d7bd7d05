"""Simulates the quotas of organisations on many nodes in virtual time, without network or clock.

16 organisations, a few of them large, send 124 requests per second at 60 random nodes: one
generation to seven plain requests of 200 tokens. A generation costs 14,000 tokens, its prompt and
the maximum of its answer. One organisation sends 7.5 times its usual rate, while its limit is 1.8
times that rate.
"""

from collections import defaultdict

import attrs

from saffronworks.forwarding.shares.entry import Admitted
from saffronworks.forwarding.shares.events import Ask
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.tests.virtual_fleet import FleetShares, VirtualFleet

__all__ = ["TOLERANCE", "Outcome", "QuotaFleet", "Request", "usual_organisations"]

TOLERANCE = Tolerance(window_ms=8000, overage=0.1, slack=120_000)
GENERATION_TOKENS, PLAIN_TOKENS = 14_000, 200
GENERATION_SHARE = 0.12
MIN_PER_S = 29_000
LIMIT_BY_USUAL = 1.8


def usual_organisations(requests_per_s, count=16):
    """Return requests per second by organisation, falling as one over the rank."""
    weights = [1 / rank for rank in range(1, count + 1)]
    return {f"org{i}": requests_per_s * w / sum(weights) for i, w in enumerate(weights)}


def mean_cost():
    return GENERATION_SHARE * GENERATION_TOKENS + (1 - GENERATION_SHARE) * PLAIN_TOKENS


def limit_of(requests_per_s):
    per_s = max(MIN_PER_S, LIMIT_BY_USUAL * requests_per_s * mean_cost())
    return Limit(per_s, per_s)


@attrs.frozen
class Request:
    request_id: str
    node: str
    organisation: str
    cost: int


@attrs.define
class Outcome:
    """Results: tokens that ran by organisation, and tokens that were due within the quota.

    `refused_within` counts refusals of organisations that never exceeded their quota.
    """

    ran: dict = attrs.Factory(lambda: defaultdict(list))
    owed: dict = attrs.Factory(lambda: defaultdict(int))
    beyond: set = attrs.Factory(set)
    asked: int = 0
    refused_within: int = 0
    refused: int = 0
    waits_ms: list = attrs.Factory(list)

    def served_share(self, organisation):
        """Return the tokens that ran, as a fraction of those that were due."""
        return sum(cost for _, cost in self.ran[organisation]) / self.owed[organisation]

    def worst_window(self, limits):
        """Return the most tokens of an organisation in a window, as a fraction of what may run."""
        return max(
            (self._most(runs) / self._may(limits[name]) for name, runs in self.ran.items()),
            default=0.0,
        )

    def _may(self, limit):
        allowed = limit.per_s * TOLERANCE.window_ms / 1000 + limit.burst
        return allowed + TOLERANCE.spare(limit)

    def _most(self, runs):
        most = total = first = 0
        for at_ms, cost in runs:
            total += cost
            while runs[first][0] <= at_ms - TOLERANCE.window_ms:
                total -= runs[first][1]
                first += 1
            most = max(most, total)
        return most


class _Ideal:
    """The reference: one leaky bucket per organisation that sees all requests."""

    def __init__(self):
        self._debts = defaultdict(lambda: (0.0, 0))

    def owes(self, request, limit, now_ms):
        debt, at_ms = self._debts[request.organisation]
        debt = max(0.0, debt - limit.per_s * (now_ms - at_ms) / 1000)
        owed = debt + request.cost <= limit.burst
        self._debts[request.organisation] = (debt + request.cost * owed, now_ms)
        return owed


class QuotaFleet(VirtualFleet):
    """Nodes that receive requests at random."""

    def __init__(self, count=60, requests_per_s=124.0, seed=1, dead=0):
        super().__init__(count, seed, dead)
        self.requests_per_s = requests_per_s
        self.usual = usual_organisations(requests_per_s)
        self.limits = {name: limit_of(per_s) for name, per_s in self.usual.items()}
        self.factors = defaultdict(lambda: 1.0)
        self.outcome = Outcome()
        self.not_run_share = 0.0
        self._ideal = _Ideal()
        self.shares = FleetShares(self, TOLERANCE, lambda _, event: self.limits[event.subject])

    def restart(self, name):
        self.shares.restart(name)

    # Requests.

    def play(self, for_ms):
        """Let requests arrive at random live nodes for `for_ms`, and return the results."""
        until_ms = self.now_ms + for_ms
        for name in self.usual:
            self._next(name, until_ms)
        self.run(until_ms + 1000)
        return self.outcome

    def _next(self, name, until_ms):
        per_s = self.usual[name] * self.factors[name]
        after_ms = max(1, int(self.rng.expovariate(per_s) * 1000))
        if self.now_ms + after_ms < until_ms:
            self.at(after_ms, self._arrive, name, until_ms)

    def _arrive(self, name, until_ms):
        self._next(name, until_ms)
        node = self.rng.choice(self.live)
        if node in self.away:
            return
        generates = self.rng.random() < GENERATION_SHARE
        cost = GENERATION_TOKENS if generates else PLAIN_TOKENS
        request = Request(f"r{self.number()}", node, name, cost)
        owed = self._ideal.owes(request, self.limits[name], self.now_ms)
        self.outcome.asked += 1
        if owed:
            self.outcome.owed[name] += cost
        else:
            self.outcome.beyond.add(name)
        asked_ms, limit = self.now_ms, self.limits[name]
        ask = Ask(request.request_id, name, cost, limit, self.ring.shares(asked_ms))
        self.shares.ask(node, ask, lambda command: self._settle(request, asked_ms, ask, command))

    def _settle(self, request, asked_ms, ask, command):
        self.outcome.waits_ms.append(self.now_ms - asked_ms)
        if not isinstance(command, Admitted):
            self.outcome.refused += 1
            self.outcome.refused_within += request.organisation not in self.outcome.beyond
        elif self.rng.random() < self.not_run_share:
            self.shares.refund(request.node, ask, command)
        else:
            self.outcome.ran[request.organisation].append((self.now_ms, request.cost))
