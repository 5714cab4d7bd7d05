"""Quotas of organisations over many nodes, on virtual time: no network, no clock.

The pattern: 16 organisations of which a few are large, 124 requests a second at 60 nodes by chance,
one generation to seven plain requests of 200 tokens; a generation counts 14,000, its prompt and the
most of its answer. One organisation asks for 7.5 times its usual while its limit is 1.8 times that.
Messages take 1 to 10 ms, as between the fleets' VMs.
"""

import heapq
import itertools
import random
from collections import defaultdict

import attrs

from saffronworks.forwarding.choices import NodeChoice
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.asks import Answer, Ask, GivenBack
from saffronworks.forwarding.shares.bounds import Limit, Tolerance
from saffronworks.forwarding.shares.entry import (
    Admitted,
    Answered,
    AskHolder,
    Asking,
    Begun,
    EntryState,
    Refused,
    Unanswered,
    Unknown,
)
from saffronworks.forwarding.shares.holder import HolderState
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.shares.tuning import (
    HOLDER_SILENT_MS,
)
from saffronworks.forwarding.tuning import (
    YOUNG_MS,
)

__all__ = ["BOUNDS", "Outcome", "QuotaFleet", "Request", "ShareWay", "usual_organisations"]

BOUNDS = Tolerance(window_ms=8000, overage=0.1, slack=120_000)
GENERATION_TOKENS, PLAIN_TOKENS = 14_000, 200
GENERATION_SHARE = 0.12
LEAST_PER_S = 29_000
LIMIT_BY_USUAL = 1.8
STRONG_CORES, WEAK_CORES = 2.15, 0.5
# One VM in ten is strong.
STRONG_EVERY = 10


def usual_organisations(requests_per_s, count=16):
    """Their requests a second, the largest first; the shares fall as one over the rank."""
    weights = [1 / rank for rank in range(1, count + 1)]
    return {f"org{i}": requests_per_s * w / sum(weights) for i, w in enumerate(weights)}


def mean_cost():
    return GENERATION_SHARE * GENERATION_TOKENS + (1 - GENERATION_SHARE) * PLAIN_TOKENS


def limit_of(requests_per_s):
    per_s = max(LEAST_PER_S, LIMIT_BY_USUAL * requests_per_s * mean_cost())
    return Limit(per_s, per_s)


@attrs.frozen
class Request:
    request_id: str
    node: str
    organisation: str
    cost: int


@attrs.define
class Outcome:
    """What became of requests: tokens that ran by organisation, and those that are owed.

    `refused_within` counts refusals of organisations that never asked for more than their quota.
    """

    ran: dict = attrs.Factory(lambda: defaultdict(list))
    owed: dict = attrs.Factory(lambda: defaultdict(int))
    beyond: set = attrs.Factory(set)
    asked: int = 0
    refused_within: int = 0
    refused: int = 0
    waits_ms: list = attrs.Factory(list)
    messages: int = 0

    def served_share(self, organisation):
        """Tokens that ran, as a share of those that are owed."""
        return sum(cost for _, cost in self.ran[organisation]) / self.owed[organisation]

    def worst_window(self, limits):
        """The most that ran of an organisation in a window, as a share of what may."""
        return max(
            (self._most(runs) / self._may(limits[name]) for name, runs in self.ran.items()),
            default=0.0,
        )

    def _may(self, limit):
        allowed = limit.per_s * BOUNDS.window_ms / 1000 + limit.burst
        return allowed + BOUNDS.spare(limit)

    def _most(self, runs):
        most = total = first = 0
        for at_ms, cost in runs:
            total += cost
            while runs[first][0] <= at_ms - BOUNDS.window_ms:
                total -= runs[first][1]
                first += 1
            most = max(most, total)
        return most


class _Ideal:
    """What is owed: the quota's own bucket, which sees all requests at once."""

    def __init__(self):
        self._debts = defaultdict(lambda: (0.0, 0))

    def owes(self, request, limit, now_ms):
        debt, at_ms = self._debts[request.organisation]
        debt = max(0.0, debt - limit.per_s * (now_ms - at_ms) / 1000)
        owed = debt + request.cost <= limit.burst
        self._debts[request.organisation] = (debt + request.cost * owed, now_ms)
        return owed


@attrs.define
class _Node:
    entry: EntryState
    held: HolderState


class ShareWay:
    """The way that stands: three holders an organisation, each with a share of its quota."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.nodes = {name: self._start(False) for name in fleet.names}
        self._holders = {}

    def restart(self, name):
        self.nodes[name] = self._start(True)

    def _start(self, young):
        now_ms = self.fleet.now_ms
        choice = NodeChoice(young_until_ms=now_ms + YOUNG_MS if young else 0)
        choice.cores = self.fleet.cores
        # At the first start of all nothing ran before.
        began_ms = now_ms if young else -BOUNDS.window_ms
        allowances = Allowances(BOUNDS, len(self.fleet.names))
        entry_state = EntryState(choice, self.fleet.ring, allowances)
        return _Node(entry_state, HolderState(BOUNDS, began_ms))

    def ask(self, request, settle):
        limit = self.fleet.limits[request.organisation]
        holders = self.fleet.ring.shares(self.fleet.now_ms)
        asking = Asking(Ask(request.request_id, request.organisation, request.cost, limit, holders))
        self._step(request.node, asking, Begun(), settle)

    def _step(self, name, asking, event, settle):
        match entry.step(self.nodes[name].entry, asking, event, self.fleet.now_ms):
            case AskHolder(node):
                self._ask(name, asking, node, settle)
            case Admitted(node):
                self._holders[asking.ask.ask_id] = node
                settle(True)
            case Refused() | Unknown():
                settle(False)

    def _ask(self, name, asking, node, settle):
        ask, waiting = asking.ask, [True]

        def proceed(event):
            if waiting and waiting.pop():
                self._step(name, asking, event, settle)

        def arrived():
            answer = Answered(node, self._hold(node, ask))
            self.fleet.send(node, name, proceed, answer)

        if node == name:
            proceed(Answered(node, self._hold(node, ask)))
            return
        self.fleet.send(name, node, arrived)
        self.fleet.at(HOLDER_SILENT_MS, proceed, Unanswered(node))

    def _hold(self, name, event):
        limit = self.fleet.limits[event.subject]
        replies = holder.step(self.nodes[name].held, event, limit, self.fleet.now_ms)
        return next((reply for reply in replies if isinstance(reply, Answer)), None)

    def give_back(self, request):
        node = self._holders[request.request_id]
        if node is not None:
            holders = self.fleet.ring.shares(self.fleet.now_ms)
            back = GivenBack(request.request_id, request.organisation, holders)
            self.fleet.send(request.node, node, self._hold, node, back)


class QuotaFleet:
    """Nodes that get requests by chance. `apart` holds groups that hear only their own members."""

    def __init__(self, way=ShareWay, count=60, requests_per_s=124.0, seed=1, dead=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.requests_per_s = requests_per_s
        self.usual = usual_organisations(requests_per_s)
        self.limits = {name: limit_of(per_s) for name, per_s in self.usual.items()}
        self.factors = defaultdict(lambda: 1.0)
        self.outcome = Outcome()
        self.not_run_share = 0.0
        self.apart = {}
        self.away = set()
        self._ideal = _Ideal()
        self._queue, self._numbers = [], itertools.count()
        self.names = [f"10.0.{i // 250}.{i % 250}:7660" for i in range(count + dead)]
        self.cores = {
            name: WEAK_CORES if number % STRONG_EVERY else STRONG_CORES
            for number, name in enumerate(self.names)
        }
        self.ring = HolderRing()
        self.ring.take(self.names, 0)
        self.live = list(self.names[:count])
        self.away.update(self.names[count:])
        self.way = way(self)

    # What happens to nodes.

    def holders(self, organisation):
        """The nodes among which its quota is shared out."""
        return self.ring.holders(organisation)

    def kill(self, names, for_ms):
        """They are gone for so long, and know nothing when they are back."""
        self.away.update(names)
        self.at(for_ms, self._start_again, list(names))

    def _start_again(self, names):
        self.away.difference_update(names)
        for name in names:
            self.way.restart(name)

    def freeze(self, names, for_ms):
        """They stand still for so long, and then go on with what they knew."""
        self.away.update(names)
        self.at(for_ms, self.away.difference_update, list(names))

    def cut(self, groups, for_ms):
        """Each group hears only its own members for so long."""
        for number, names in enumerate(groups, start=1):
            self.apart.update(dict.fromkeys(names, number))
        self.at(for_ms, self.apart.clear)

    def _hears(self, one, other):
        if {one, other} & self.away:
            return False
        return self.apart.get(one, 0) == self.apart.get(other, 0)

    # Time and messages.

    def at(self, after_ms, function, *arguments):
        """Call a function later, on the play's own time."""
        item = (self.now_ms + after_ms, next(self._numbers), function, arguments)
        heapq.heappush(self._queue, item)

    def send(self, source, target, function, *arguments):
        """Call a function at another node, if the message gets there."""
        self.outcome.messages += 1
        if source != target and not self._hears(source, target):
            return
        delay_ms = 0 if source == target else self.rng.randint(1, 10)
        self.at(delay_ms, self._deliver, source, target, function, arguments)

    def _deliver(self, source, target, function, arguments):
        if source == target or self._hears(source, target):
            function(*arguments)

    def run(self, until_ms):
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_ms = until_ms

    # Requests.

    def play(self, for_ms):
        """Let requests come at live nodes by chance until then."""
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
        request = Request(f"r{next(self._numbers)}", node, name, cost)
        owed = self._ideal.owes(request, self.limits[name], self.now_ms)
        self.outcome.asked += 1
        if owed:
            self.outcome.owed[name] += cost
        else:
            self.outcome.beyond.add(name)
        asked_ms = self.now_ms
        self.way.ask(request, lambda admitted: self._settle(request, asked_ms, admitted))

    def _settle(self, request, asked_ms, admitted):
        self.outcome.waits_ms.append(self.now_ms - asked_ms)
        if not admitted:
            self.outcome.refused += 1
            self.outcome.refused_within += request.organisation not in self.outcome.beyond
        elif self.rng.random() < self.not_run_share:
            self.way.give_back(request)
        else:
            self.outcome.ran[request.organisation].append((self.now_ms, request.cost))
