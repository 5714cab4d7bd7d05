"""Many nodes on virtual time: messages, nodes that end, stand still or are cut off; no network.

Messages take 1 to 10 ms, as between the fleets' VMs.
"""

import copy
import heapq
import itertools
import random

import attrs

from saffronworks.forwarding.choices import NodeChoice
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.asks import Answer, GivenBack
from saffronworks.forwarding.shares.entry import (
    Admitted,
    Answered,
    AskHolder,
    Asking,
    Begun,
    EntryState,
    Unanswered,
)
from saffronworks.forwarding.shares.holder import HolderState
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.shares.tuning import HOLDER_SILENT_MS
from saffronworks.forwarding.tuning import STARTUP_MS

__all__ = ["STRIKES", "FleetShares", "VirtualFleet"]

STRIKES = ("kill", "holders", "freeze", "cut", "alone")

STRONG_CORES, WEAK_CORES = 2.15, 0.5
# One VM in ten is strong.
STRONG_EVERY = 10


@attrs.define
class _Node:
    entry: EntryState
    held: HolderState


class FleetShares:
    """A bound over a fleet, as its nodes keep it: they ask holders, and are some.

    `limit_of(node, event)` is the limit of an event's subject as a node knows it.
    """

    def __init__(self, fleet, tolerance, limit_of, in_turn=True):
        self._fleet = fleet
        self._tolerance = tolerance
        self._limit_of = limit_of
        self._in_turn = in_turn
        self.nodes = {name: self._start(False) for name in fleet.names}

    def restart(self, name):
        """It knows nothing any more."""
        self.nodes[name] = self._start(True)

    def _start(self, young):
        now_ms = self._fleet.now_ms
        choice = NodeChoice(young_until_ms=now_ms + STARTUP_MS if young else 0)
        choice.cores = self._fleet.cores
        # At the first start of all nothing ran before.
        began_ms = now_ms if young else -self._tolerance.window_ms
        allowances = Allowances(self._tolerance, len(self._fleet.names))
        entry_state = EntryState(choice, copy.deepcopy(self._fleet.ring), allowances)
        return _Node(entry_state, HolderState(self._tolerance, began_ms, self._in_turn))

    def lose(self, name, gone):
        """A node has counted the others, and these are gone; new holders are there."""
        now_ms, left = self._fleet.now_ms, [node for node in self._fleet.names if node not in gone]
        self.nodes[name].entry.ring.take(left, now_ms)
        self.nodes[name].held.take_nodes(now_ms)

    def ask(self, name, ask, settle):
        """Have a node ask for leave; `settle(command)` is called with what came of it."""
        self._step(name, Asking(ask), Begun(), settle)

    def _step(self, name, asking, event, settle):
        match entry.step(self.nodes[name].entry, asking, event, self._fleet.now_ms):
            case AskHolder(node):
                self._ask(name, asking, node, settle)
            case command:
                settle(command)

    def _ask(self, name, asking, node, settle):
        ask, waiting = asking.ask, [True]

        def proceed(event):
            if waiting and waiting.pop():
                self._step(name, asking, event, settle)

        def arrived():
            answer = Answered(node, self._hold(node, ask))
            self._fleet.send(node, name, proceed, answer)

        if node == name:
            proceed(Answered(node, self._hold(node, ask)))
            return
        self._fleet.send(name, node, arrived)
        self._fleet.at(HOLDER_SILENT_MS, proceed, Unanswered(node))

    def _hold(self, name, event):
        limit = self._limit_of(name, event)
        replies = holder.step(self.nodes[name].held, event, limit, self._fleet.now_ms)
        return next((reply for reply in replies if isinstance(reply, Answer)), None)

    def give_back(self, name, ask, command):
        """What was admitted was not run."""
        if isinstance(command, Admitted) and command.holder is not None:
            back = GivenBack(ask.ask_id, ask.subject, ask.holders)
            self._fleet.send(name, command.holder, self._hold, command.holder, back)


class VirtualFleet:
    """Nodes, and what happens to them. `apart` holds groups that hear only their own members."""

    def __init__(self, count, seed, dead=0):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.messages = 0
        self.apart = {}
        self.away = set()
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

    # What happens to nodes.

    def restart(self, name):
        """A node is back and knows nothing."""

    def struck(self, names, for_ms):
        """Hears of each trouble of some nodes."""

    def holders(self, subject):
        """The nodes among which its limit is shared out."""
        return self.ring.holders(subject)

    def kill(self, names, for_ms):
        """They are gone for so long, and know nothing when they are back."""
        self.struck(names, for_ms)
        self.away.update(names)
        self.at(for_ms, self._start_again, list(names))

    def _start_again(self, names):
        self.away.difference_update(names)
        for name in names:
            self.restart(name)

    def freeze(self, names, for_ms):
        """They stand still for so long, and then go on with what they knew."""
        self.struck(names, for_ms)
        self.away.update(names)
        self.at(for_ms, self.away.difference_update, list(names))

    def cut(self, groups, for_ms):
        """Each group hears only its own members for so long."""
        for number, names in enumerate(groups, start=1):
            self.struck(names, for_ms)
            self.apart.update(dict.fromkeys(names, number))
        self.at(for_ms, self.apart.clear)

    def strike(self, subject, kind, names, for_ms):
        """One of the troubles of `STRIKES`, of these nodes or of a subject's holders."""
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
        """So many of its holders leave, or are away; each node counts that at times of its own."""
        gone = self.holders(subject)[:count]
        for name in self.names:
            self.at(self.rng.randrange(within_ms), self.shares.lose, name, gone)
            if away_ms is not None:
                back_ms = max(within_ms, away_ms + self.rng.randrange(within_ms))
                self.at(back_ms, self.shares.lose, name, ())

    def _hears(self, one, other):
        if {one, other} & self.away:
            return False
        return self.apart.get(one, 0) == self.apart.get(other, 0)

    # Time and messages.

    def number(self):
        """A number that no other one has."""
        return next(self._numbers)

    def at(self, after_ms, function, *arguments):
        """Call a function later, on the play's own time."""
        item = (self.now_ms + after_ms, self.number(), function, arguments)
        heapq.heappush(self._queue, item)

    def send(self, source, target, function, *arguments):
        """Call a function at another node, if the message gets there."""
        self.messages += 1
        if source != target and not self._hears(source, target):
            return
        delay_ms = 0 if source == target else self.rng.randint(1, 10)
        self.at(delay_ms, self._deliver, source, target, function, arguments)

    def _deliver(self, source, target, function, arguments):
        if source == target or self._hears(source, target):
            function(*arguments)

    def run(self, until_ms):
        """Let time pass until then."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now_ms = until_ms
