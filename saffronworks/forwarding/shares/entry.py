"""Decides at an entry node which holders of a bound to ask, and what holds when none answers.

`step(state, query, event, now_ms)` gives the next command for one request.
"""

import attrs

from saffronworks.forwarding.choices import NodeChoice
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
    """Who was silent, who holds which bound, and what this node may admit by itself."""

    choice: NodeChoice
    ring: HolderRing
    allowances: Allowances


@attrs.define
class HolderQuery:
    """One request: which holders are left to ask, and what was heard.

    `heard_all` tells whether each holder answered; `retry_after_ms` is the least that was told.
    """

    ask: Ask
    left: list[str] = attrs.Factory(list)
    all_answered: bool = True
    retry_after_ms: int | None = None


@attrs.frozen
class QueryStarted:
    """A request is to be counted."""


@attrs.frozen
class Answered:
    """A holder answered."""

    holder: str
    answer: Answer


@attrs.frozen
class HolderTimedOut:
    """A holder was silent."""

    holder: str


@attrs.frozen
class AskHolder:
    """Ask this node, and wait a moment for its answer."""

    holder: str


@attrs.frozen
class Admitted:
    """It may run: by this holder's share, or (None) on the node's own account."""

    holder: str | None


@attrs.frozen
class Refused:
    """It is beyond the limit; there is room after `retry_after_ms`."""

    retry_after_ms: int


@attrs.frozen
class Unknown:
    """No holder answered, and this node may admit no more by itself."""


Event = QueryStarted | Answered | HolderTimedOut
Command = AskHolder | Admitted | Refused | Unknown


def step(state: EntryState, query: HolderQuery, event: Event, now_ms: int) -> Command:
    """The next command for one request."""
    match event:
        case QueryStarted():
            _choose(state, query, now_ms)
        case Answered(holder, answer):
            state.choice.hear(holder)
            if answer.admitted:
                return Admitted(holder)
            known_ms = query.retry_after_ms
            told_ms = answer.retry_after_ms
            query.retry_after_ms = told_ms if known_ms is None else min(known_ms, told_ms)
        case HolderTimedOut(holder):
            state.choice.avoid(holder, now_ms)
            query.all_answered = False
    if query.left:
        return AskHolder(query.left.pop(0))
    return _settle_unadmitted(state, query, now_ms)


def _choose(state: EntryState, query: HolderQuery, now_ms: int) -> None:
    """Requests go to the holders in turn; those that were silent a moment ago are passed over."""
    holders = state.ring.holders(query.ask.subject)
    active = state.ring.active_holders(query.ask.subject, now_ms)
    turn = hash32(query.ask.ask_id) % max(1, len(active))
    in_turn = active[turn:] + active[:turn]
    query.left = [node for node in in_turn if not state.choice.passes_over(node, now_ms)]
    query.all_answered = bool(holders) and len(query.left) == len(holders)


def _settle_unadmitted(state: EntryState, query: HolderQuery, now_ms: int) -> Command:
    """No share has room, but for those of silent holders: a little is admitted without them."""
    ask = query.ask
    if not query.all_answered and state.allowances.admit(ask, now_ms):
        return Admitted(None)
    if query.retry_after_ms is None:
        return Unknown()
    return Refused(query.retry_after_ms)
