"""Enforces limits over all nodes together, at one node as an entry node and as a holder."""

import itertools
import logging
import secrets
from collections.abc import Callable

import anyio

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.node_count import NodeCount
from saffronworks.forwarding.shares import entry, holder
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.entry import AskHolder, EntryState, HolderQuery, QueryStarted
from saffronworks.forwarding.shares.events import Answer, Ask, ChargeAgain, Refund
from saffronworks.forwarding.shares.holder import HolderState, ShareChanged
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.forwarding.shares.tuning import HOLDER_TIMEOUT_MS
from saffronworks.forwarding.tuning import STARTUP_MS

__all__ = ["SharedLimit", "ShareMessage"]

logger = logging.getLogger(__name__)

ShareMessage = Ask | Answer | ChargeAgain | Refund


class SharedLimit:
    """Asks a subject's holders in turn until one admits, and holds shares for other nodes.

    An ask takes one round trip of some milliseconds, or three if shares are exhausted. If no
    holder answers, the node admits a small allowance by itself.

    `limit_of` returns a subject's whole limit as this node has it, or None if it has none.
    `send_message` sends a message to another node. `on_change` is called when a share of this node
    is exhausted or has recovered.
    """

    def __init__(
        self,
        own_address: str,
        tolerance: Tolerance,
        uncounted_nodes: int,
        now_ms: Callable[[], int],
        limit_of: Callable[[holder.Event], Limit | None],
        send_message: Callable[[str, ShareMessage], None],
        on_change: Callable[[ShareChanged], None],
        stagger_retries: bool = True,
    ):
        self._own_address = own_address
        self._now_ms = now_ms
        self._limit_of = limit_of
        self._send_message = send_message
        self._on_change = on_change
        choice = NodeChoice(starting_until_ms=now_ms() + STARTUP_MS)
        # Holding shares costs little, so all nodes do; few subjects then lose all three holders.
        allowances = Allowances(tolerance, NodeCount(uncounted_nodes), now_ms())
        self.entry = EntryState(choice, HolderRing(), allowances)
        self.holder_state = HolderState(tolerance, now_ms(), stagger_retries)
        # Ask ids must not repeat those from before a restart of this node.
        self._incarnation, self._numbers = secrets.token_hex(4), itertools.count()
        self._answers: dict[str, Answer] = {}
        self._pending: dict[str, anyio.Event] = {}

    @property
    def nodes(self) -> int:
        """The number of nodes."""
        return len(self.entry.choice.cores)

    def update_nodes(self, cores: dict[str, float]) -> None:
        """Replace the nodes: processor cores by address."""
        now_ms = self._now_ms()
        if cores.keys() != self.entry.choice.cores.keys():
            self.holder_state.on_nodes_changed(now_ms)
        self.entry.choice.cores = cores
        self.entry.ring.update(cores, now_ms)
        self.entry.allowances.nodes.update(len(cores), now_ms)

    def make_ask(self, subject: str, cost: int, limit: Limit) -> Ask:
        """Return an ask with a unique id."""
        ask_id = f"{self._incarnation}-{next(self._numbers):x}"
        return Ask(ask_id, subject, cost, limit, self.entry.ring.shares(self._now_ms()))

    async def acquire(self, ask: Ask, on_timeout: Callable[[str], None]) -> entry.Command:
        """Ask the holders; return `Admitted`, `Refused` or `Unknown`.

        `on_timeout` is called with each holder that does not answer.
        """
        query = HolderQuery(ask)
        command = entry.step(self.entry, query, QueryStarted(), self._now_ms())
        while isinstance(command, AskHolder):
            event = await self._ask(command.holder, ask)
            if isinstance(event, entry.HolderTimedOut):
                on_timeout(command.holder)
            command = entry.step(self.entry, query, event, self._now_ms())
        return command

    async def _ask(self, node: str, ask: Ask) -> entry.Event:
        """Send an ask to a holder, which may be this node."""
        own = node == self._own_address
        answer = self.apply(ask) if own else await self._ask_other(node, ask)
        return entry.Answered(node, answer) if answer is not None else entry.HolderTimedOut(node)

    async def _ask_other(self, node: str, ask: Ask) -> Answer | None:
        self._pending[ask.ask_id] = anyio.Event()
        self._send_message(node, ask)
        try:
            with anyio.move_on_after(extend_for_lag(HOLDER_TIMEOUT_MS) / 1000):
                await self._pending[ask.ask_id].wait()
            return self._answers.pop(ask.ask_id, None)
        finally:
            del self._pending[ask.ask_id]

    def send(self, node: str, event: ChargeAgain | Refund) -> None:
        """Send a holder, which may be this node, a correction of what it has counted."""
        if node == self._own_address:
            self.apply(event)
        else:
            self._send_message(node, event)

    def refund(self, ask: Ask | None, node: str | None) -> None:
        """Refund an ask that did not run, if a holder counted it."""
        if ask is not None and node is not None:
            self.send(node, Refund(ask.ask_id, ask.subject, ask.holders))

    def handle_answer(self, answer: Answer) -> None:
        """Hand a holder's answer to the ask that waits for it."""
        if answer.ask_id in self._pending:
            self._answers[answer.ask_id] = answer
            self._pending[answer.ask_id].set()

    def record_reached(self, node: str) -> None:
        """Ask a holder again that could not be reached."""
        self.entry.choice.record_answer(node, self._now_ms())

    def answer(self, node: str, ask: Ask) -> None:
        """Answer an ask of another node."""
        answer = self.apply(ask)
        if answer is not None:
            self._send_message(node, answer)

    def apply(self, event: holder.Event) -> Answer | None:
        """Apply an event to a share of this node; return the answer to an ask."""
        limit = self._limit_of(event)
        if limit is None:
            return Answer(event.ask_id, True) if isinstance(event, Ask) else None
        if event.holders < 1 or limit.per_s <= 0:
            logger.warning(
                "event=share_malformed subject=%s holders=%d per_s=%s",
                event.subject,
                event.holders,
                limit.per_s,
            )
            return None
        answer = None
        for reply in holder.step(self.holder_state, event, limit, self._now_ms()):
            match reply:
                case Answer():
                    answer = reply
                case ShareChanged():
                    self._on_change(reply)
        return answer
