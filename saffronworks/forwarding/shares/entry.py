"""Decides at an entry node which holders to ask, and the outcome if none admits.

`step(state, query, event, now_ms)` returns the next command for one request.
"""

import attrs

from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.shares.allowances import Allowances
from saffronworks.forwarding.shares.events import Answer, Ask
from saffronworks.forwarding.shares.ring import HolderRing
from saffronworks.hashing import hash32

__all__ = [
    "Admitted",
    "Answered",
    "AskHolder",
    "HolderQuery",
    "QueryStarted",
    "Command",
    "EntryState",
    "Event",
    "Refused",
    "HolderTimedOut",
    "Unknown",
    "step",
]


@attrs.define
class EntryState:
    """Unresponsive nodes, the holders of each subject, and this node's own allowances."""

    choice: NodeChoice
    ring: HolderRing
    allowances: Allowances


@attrs.define
class HolderQuery:
    """The query of one request: holders left to ask, and the answers so far.

    `all_answered`: no holder was skipped or timed out. `retry_after_ms`: the shortest one received.
    `asked_ms`: when the last holder was asked.
    """

    ask: Ask
    left: list[str] = attrs.Factory(list)
    all_answered: bool = True
    retry_after_ms: int | None = None
    asked_ms: int = 0


@attrs.frozen
class QueryStarted:
    """A request needs admission."""


@attrs.frozen
class Answered:
    """A holder answered."""

    holder: str
    answer: Answer


@attrs.frozen
class HolderTimedOut:
    """A holder did not answer in time."""

    holder: str


@attrs.frozen
class AskHolder:
    """Ask this holder and wait for its answer."""

    holder: str


@attrs.frozen
class Admitted:
    """The request may run, counted by `holder`, or by this node's allowance if None."""

    holder: str | None


@attrs.frozen
class Refused:
    """The request exceeds the limit; room is expected in `retry_after_ms`."""

    retry_after_ms: int


@attrs.frozen
class Unknown:
    """No holder answered, and this node's allowance is used up."""


Event = QueryStarted | Answered | HolderTimedOut
Command = AskHolder | Admitted | Refused | Unknown


def step(state: EntryState, query: HolderQuery, event: Event, now_ms: int) -> Command:
    """Apply an event and return the next command for one request."""
    match event:
        case QueryStarted():
            _choose(state, query, now_ms)
        case Answered(holder, answer):
            state.choice.record_answer(holder, now_ms)
            if answer.admitted:
                return Admitted(holder)
            known_ms = query.retry_after_ms
            offered_ms = answer.retry_after_ms
            query.retry_after_ms = offered_ms if known_ms is None else min(known_ms, offered_ms)
        case HolderTimedOut(holder):
            state.choice.record_silence(holder, query.asked_ms, now_ms)
            query.all_answered = False
    if query.left:
        query.asked_ms = now_ms
        return AskHolder(query.left.pop(0))
    return _decide_unadmitted(state, query, now_ms)


def _choose(state: EntryState, query: HolderQuery, now_ms: int) -> None:
    """Choose the order of holders by a hash of the ask, and skip recently unresponsive ones."""
    holders = state.ring.holders(query.ask.subject)
    active = state.ring.active_holders(query.ask.subject, now_ms)
    turn = hash32(query.ask.ask_id) % max(1, len(active))
    in_turn = active[turn:] + active[:turn]
    query.left = [node for node in in_turn if not state.choice.is_avoided(node, now_ms)]
    query.all_answered = bool(holders) and len(query.left) == len(holders)


def _decide_unadmitted(state: EntryState, query: HolderQuery, now_ms: int) -> Command:
    """Decide after no holder admitted; use the allowance if a holder did not answer."""
    ask = query.ask
    if not query.all_answered and state.allowances.admit(ask, now_ms):
        return Admitted(None)
    if query.retry_after_ms is None:
        return Unknown()
    return Refused(query.retry_after_ms)
