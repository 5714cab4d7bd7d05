"""One bound over the fleet at one node: asks holders for what its own callers want, and is one."""

import itertools
import secrets
from collections.abc import Callable

import anyio

from saffronworks.forwarding.choices import NodeChoice
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.asks import Answer, Ask, GivenBack, RunAgain
from saffronworks.forwarding.shares.bounds import Limit, Tolerance
from saffronworks.forwarding.shares.entry import AskHolder, Asking, Begun, EntryState
from saffronworks.forwarding.shares.holder import HolderState, ShareChanged
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.shares.tuning import HOLDER_SILENT_MS
from saffronworks.forwarding.tuning import STARTUP_MS

__all__ = ["SharedBound", "Told"]

Told = Ask | Answer | RunAgain | GivenBack


class SharedBound:
    """Asks one of a subject's holders after the other until one admits; holds shares for others.

    An ask waits for one message there and back, some milliseconds; for three where shares are used
    up. Where no holder answers the node admits a little by itself.

    `limit_of`: a subject's whole limit as this node knows it, None where there is none any more.
    `tell` sends to another node. `note_silent` hears of a holder that did not answer an ask.
    """

    def __init__(
        self,
        own_address: str,
        tolerance: Tolerance,
        uncounted_nodes: int,
        now_ms: Callable[[], int],
        limit_of: Callable[[holder.Event], Limit | None],
        tell: Callable[[str, Told], None],
        note_change: Callable[[ShareChanged], None],
        in_turn: bool = True,
    ):
        self._own_address = own_address
        self._now_ms = now_ms
        self._limit_of = limit_of
        self._tell = tell
        self._note_change = note_change
        choice = NodeChoice(young_until_ms=now_ms() + STARTUP_MS)
        # A holder's work is small, so all nodes share it: few subjects lose all three at once.
        self.entry = EntryState(choice, HolderRing(), Allowances(tolerance, uncounted_nodes))
        self.held = HolderState(tolerance, now_ms(), in_turn)
        # Ids of asks; those of an earlier life of this node must not come again.
        self._life, self._numbers = secrets.token_hex(4), itertools.count()
        self._answers: dict[str, Answer] = {}
        self._arrived: dict[str, anyio.Event] = {}

    @property
    def nodes(self) -> int:
        """How many nodes are known."""
        return len(self.entry.choice.cores)

    def take_nodes(self, cores: dict[str, float]) -> None:
        """Which nodes there are, by their addresses, with their processor cores."""
        now_ms = self._now_ms()
        if cores.keys() != self.entry.choice.cores.keys():
            self.held.take_nodes(now_ms)
        self.entry.choice.cores = cores
        self.entry.ring.take(cores, now_ms)
        self.entry.allowances.nodes = max(1, len(cores))

    def make_ask(self, subject: str, cost: int, limit: Limit) -> Ask:
        """An ask of this node, with an id of its own."""
        ask_id = f"{self._life}-{next(self._numbers):x}"
        return Ask(ask_id, subject, cost, limit, self.entry.ring.shares(self._now_ms()))

    async def settle(self, ask: Ask, note_silent: Callable[[str], None]) -> entry.Command:
        """Whether what is asked for may run: `Admitted`, `Refused` or `Unknown`."""
        asking = Asking(ask)
        command = entry.step(self.entry, asking, Begun(), self._now_ms())
        while isinstance(command, AskHolder):
            event = await self._ask(command.holder, ask)
            if isinstance(event, entry.Unanswered):
                note_silent(command.holder)
            command = entry.step(self.entry, asking, event, self._now_ms())
        return command

    async def _ask(self, node: str, ask: Ask) -> entry.Event:
        """Have a holder count an ask; it may be this node."""
        own = node == self._own_address
        answer = self.hold(ask) if own else await self._ask_other(node, ask)
        return entry.Answered(node, answer) if answer is not None else entry.Unanswered(node)

    async def _ask_other(self, node: str, ask: Ask) -> Answer | None:
        self._arrived[ask.ask_id] = anyio.Event()
        self._tell(node, ask)
        try:
            with anyio.move_on_after(HOLDER_SILENT_MS / 1000):
                await self._arrived[ask.ask_id].wait()
            return self._answers.pop(ask.ask_id, None)
        finally:
            del self._arrived[ask.ask_id]

    def send(self, node: str, event: RunAgain | GivenBack) -> None:
        """Tell a holder, which may be this node, what became of something that it admitted."""
        if node == self._own_address:
            self.hold(event)
        else:
            self._tell(node, event)

    def give_back(self, ask: Ask | None, node: str | None) -> None:
        """What a holder admitted was not run; nothing is told where no holder counted it."""
        if ask is not None and node is not None:
            self.send(node, GivenBack(ask.ask_id, ask.subject, ask.holders))

    def take_answer(self, answer: Answer) -> None:
        """A holder answered."""
        if answer.ask_id in self._arrived:
            self._answers[answer.ask_id] = answer
            self._arrived[answer.ask_id].set()

    def answer(self, node: str, ask: Ask) -> None:
        """Another node asks this one as a holder."""
        answer = self.hold(ask)
        if answer is not None:
            self._tell(node, answer)

    def hold(self, event: holder.Event) -> Answer | None:
        """Take what concerns a share that is held here; the answer where it is an ask."""
        limit = self._limit_of(event)
        if limit is None:
            return Answer(event.ask_id, True) if isinstance(event, Ask) else None
        answer = None
        for reply in holder.step(self.held, event, limit, self._now_ms()):
            match reply:
                case Answer():
                    answer = reply
                case ShareChanged():
                    self._note_change(reply)
        return answer
