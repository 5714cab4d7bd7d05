"""Simulates many nodes in virtual time: messages, crashes, freezes and partitions; no network.

Messages take 1 to 10 ms, as between VMs in production.
"""

import copy
import heapq
import itertools
import random

import attrs

from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.entry import (
    Admitted,
    Answered,
    AskHolder,
    EntryState,
    HolderQuery,
    HolderTimedOut,
    QueryStarted,
)
from saffronworks.forwarding.shares.events import Answer, Refund
from saffronworks.forwarding.shares.holder import HolderState
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.shares.tuning import HOLDER_TIMEOUT_MS
from saffronworks.forwarding.tuning import STARTUP_MS

__all__ = ["FAULTS", "FleetShares", "VirtualFleet"]

FAULTS = ("kill", "holders", "freeze", "cut", "alone")

STRONG_CORES, WEAK_CORES = 2.15, 0.5
# One VM in ten is strong.
STRONG_EVERY = 10


@attrs.define
class _Node:
    entry: EntryState
    holder_state: HolderState


class FleetShares:
    """A shared limit on all nodes of a fleet, each both an entry node and a holder.

    `limit_of(node, event)` returns the limit of an event's subject as the node has it.
    """

    def __init__(self, fleet, tolerance, limit_of, stagger_retries=True):
        self._fleet = fleet
        self._tolerance = tolerance
        self._limit_of = limit_of
        self._stagger_retries = stagger_retries
        self.nodes = {name: self._start(False) for name in fleet.names}

    def restart(self, name):
        """Reset the state of a node."""
        self.nodes[name] = self._start(True)

    def _start(self, young):
        now_ms = self._fleet.now_ms
        choice = NodeChoice(starting_until_ms=now_ms + STARTUP_MS if young else 0)
        choice.cores = self._fleet.cores
        # When the whole fleet starts, no request ran before.
        began_ms = now_ms if young else -self._tolerance.window_ms
        allowances = Allowances(self._tolerance, NodeCount(len(self._fleet.names)))
        entry_state = EntryState(choice, copy.deepcopy(self._fleet.ring), allowances)
        return _Node(entry_state, HolderState(self._tolerance, began_ms, self._stagger_retries))

    def lose(self, name, gone):
        """Let a node notice that the nodes in `gone` are missing, so that holders change."""
        now_ms, left = self._fleet.now_ms, [node for node in self._fleet.names if node not in gone]
        self.nodes[name].entry.ring.update(left, now_ms)
        self.nodes[name].holder_state.on_nodes_changed(now_ms)

    def ask(self, name, ask, settle):
        """Let a node ask for admission; `settle(command)` is called with the outcome."""
        self._step(name, HolderQuery(ask), QueryStarted(), settle)

    def _step(self, name, query, event, settle):
        match entry.step(self.nodes[name].entry, query, event, self._fleet.now_ms):
            case AskHolder(node):
                self._ask(name, query, node, settle)
            case command:
                settle(command)

    def _ask(self, name, query, node, settle):
        ask, waiting = query.ask, [True]

        def proceed(event):
            if waiting and waiting.pop():
                self._step(name, query, event, settle)

        def arrived():
            answer = Answered(node, self._hold(node, ask))
            self._fleet.send(node, name, proceed, answer)

        if node == name:
            proceed(Answered(node, self._hold(node, ask)))
            return
        self._fleet.send(name, node, arrived)
        self._fleet.at(HOLDER_TIMEOUT_MS, proceed, HolderTimedOut(node))

    def _hold(self, name, event):
        limit = self._limit_of(name, event)
        replies = holder.step(self.nodes[name].holder_state, event, limit, self._fleet.now_ms)
        return next((reply for reply in replies if isinstance(reply, Answer)), None)

    def refund(self, name, ask, command):
        """Refund an admitted ask that did not run."""
        if isinstance(command, Admitted) and command.holder is not None:
            back = Refund(ask.ask_id, ask.subject, ask.holders)
            self._fleet.send(name, command.holder, self._hold, command.holder, back)


class VirtualFleet:
    """Nodes and their faults; `partitions` maps nodes to partitions that can't reach each other."""

    def __init__(self, count, seed, dead=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.messages = 0
        self.partitions = {}
        self.away = set()
        self._queue, self._numbers = [], itertools.count()
        self.names = [f"10.0.{i // 250}.{i % 250}:7660" for i in range(count + dead)]
        self.cores = {
            name: WEAK_CORES if number % STRONG_EVERY else STRONG_CORES
            for number, name in enumerate(self.names)
        }
        self.ring = HolderRing()
        self.ring.update(self.names, 0)
        self.live = list(self.names[:count])
        self.away.update(self.names[count:])

    # Faults of nodes.

    def restart(self, name):
        """Called when a node restarts without state."""

    def on_fault(self, names, for_ms):
        """Called for each fault with the nodes and its duration."""

    def holders(self, subject):
        """Return the holders of a subject's limit."""
        return self.ring.holders(subject)

    def kill(self, names, for_ms):
        """Stop nodes for `for_ms`; they restart without state."""
        self.on_fault(names, for_ms)
        self.away.update(names)
        self.at(for_ms, self._start_again, list(names))

    def _start_again(self, names):
        self.away.difference_update(names)
        for name in names:
            self.restart(name)

    def freeze(self, names, for_ms):
        """Freeze nodes for `for_ms`; they continue with their state."""
        self.on_fault(names, for_ms)
        self.away.update(names)
        self.at(for_ms, self.away.difference_update, list(names))

    def cut(self, groups, for_ms):
        """Partition the fleet for `for_ms`: each group reaches only its own members."""
        for number, names in enumerate(groups, start=1):
            self.on_fault(names, for_ms)
            self.partitions.update(dict.fromkeys(names, number))
        self.at(for_ms, self.partitions.clear)

    def inject_fault(self, subject, kind, names, for_ms):
        """Inject one of the faults in `FAULTS` into these nodes or a subject's holders."""
        match kind:
            case "kill":
                self.kill(names, for_ms)
            case "holders":
                self.kill(self.holders(subject), for_ms)
            case "freeze":
                self.freeze(names, for_ms)
            case "cut":
                self.cut([names], for_ms)
            case "alone":
                self.cut([[name] for name in names], for_ms)

    def lose_holders(self, subject, count, within_ms, away_ms=None):
        """Let `count` holders of a subject leave, for `away_ms` if given.

        Each node notices at a random time within `within_ms`.
        """
        gone = self.holders(subject)[:count]
        for name in self.names:
            self.at(self.rng.randrange(within_ms), self.shares.lose, name, gone)
            if away_ms is not None:
                back_ms = max(within_ms, away_ms + self.rng.randrange(within_ms))
                self.at(back_ms, self.shares.lose, name, ())

    def _reaches(self, one, other):
        if {one, other} & self.away:
            return False
        return self.partitions.get(one, 0) == self.partitions.get(other, 0)

    # Time and messages.

    def number(self):
        """Return a unique number."""
        return next(self._numbers)

    def at(self, after_ms, function, *arguments):
        """Call a function later in virtual time."""
        item = (self.now_ms + after_ms, self.number(), function, arguments)
        heapq.heappush(self._queue, item)

    def send(self, source, target, function, *arguments):
        """Send a message: call a function at another node unless a fault prevents delivery."""
        self.messages += 1
        if source != target and not self._reaches(source, target):
            return
        delay_ms = 0 if source == target else self.rng.randint(1, 10)
        self.at(delay_ms, self._deliver, source, target, function, arguments)

    def _deliver(self, source, target, function, arguments):
        if source == target or self._reaches(source, target):
            function(*arguments)

    def run(self, until_ms):
        """Advance virtual time to `until_ms`."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_ms = until_ms
