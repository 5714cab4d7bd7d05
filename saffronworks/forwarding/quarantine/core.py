"""Decisions of one node on contents that end endpoints: when an end is shown, and who hears of it.

`step(state, event, now_ms)` gives commands. A run that breaks shows no end of its endpoint: links
are lossy and answers are broken off. That the endpoint refuses connections, twice, or has started
again, does. Three nodes, chosen by the content, put the ends together that entry nodes saw, so
that an end costs a message or two a run. What is serious then goes from node to node.
"""

import random
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.quarantine.events import (
    Command,
    EndpointEnded,
    Event,
    Found,
    Learned,
    Look,
    Looked,
    RanWell,
    Record,
    RecordRead,
    RecordsLost,
    RunBroke,
    Tell,
    Tick,
    TrialBegan,
    Unrecord,
)
from saffronworks.forwarding.quarantine.messages import Suspicion, SuspicionNews
from saffronworks.forwarding.quarantine.suspicions import (
    Admission,
    SuspicionTable,
    is_quarantined,
    is_serious,
)
from saffronworks.forwarding.quarantine.tuning import (
    CONTENT_OWNERS,
    ENDS_TO_QUARANTINE,
    FORGET_EVERY_MS,
    FRESH_MS,
    LOOK_AGAIN_MS,
    LOOKS,
    MOST_TOLD,
    SILENT_LOOK_AGAIN_MS,
    SILENT_LOOKS,
    TELL_FANOUT,
    TELL_REST_MS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.hashing import rank_members

__all__ = ["QuarantineState", "step"]

# How an exchange breaks when the process or the machine at the other side ends.
_ENDS = frozenset(
    [
        ExchangeErrorCause.CLOSED,
        ExchangeErrorCause.RESET,
        ExchangeErrorCause.RESTARTED,
        ExchangeErrorCause.SILENT,
        ExchangeErrorCause.UNREACHABLE,
    ]
)


@attrs.define
class _OpenLook:
    endpoint: ServiceEndpoint
    contents: set[ContentId]
    refused: int = 0
    silent: int = 0


@attrs.define
class QuarantineState:
    """What one node knows; nodes are named by their address."""

    own: str
    rng: random.Random
    # The nodes that hear from this one.
    neighbours: Neighbours = attrs.field(init=False)
    table: SuspicionTable = attrs.Factory(SuspicionTable)
    looks: dict[StartId, _OpenLook] = attrs.Factory(dict)
    told_ms: int = 0
    forgot_ms: int = 0

    @neighbours.default
    def _make_neighbours(self) -> Neighbours:
        return Neighbours(self.own, self.rng)

    def take_nodes(self, nodes: Iterable[str]) -> None:
        """Which nodes there are from now on."""
        self.neighbours.update_nodes(nodes)

    @property
    def idle(self) -> bool:
        """Whether time brings nothing."""
        return not len(self.table)

    def owners(self, content: ContentId) -> tuple[str, ...]:
        """The nodes that put together what entry nodes saw of a content."""
        return tuple(rank_members(self.neighbours.nodes, content, CONTENT_OWNERS))

    def admission(self, content: ContentId, now_ms: int) -> Admission:
        """Whether a request of this content may be sent now.

        Owners alone begin a trial, and tell each other at once: one of two nodes that did so in the
        same moment would end an endpoint for nothing.
        """
        admission = self.table.admission(content, now_ms)
        if admission is Admission.TRIAL and not self.is_owner(content):
            return Admission.REFUSED
        return admission

    def is_owner(self, content: ContentId) -> bool:
        """Whether this node is one of its owners."""
        return self.own in self.owners(content)


def step(state: QuarantineState, event: Event, now_ms: int) -> list[Command]:
    """What is to be done."""
    match event:
        case RunBroke():
            return _take_break(state, event, now_ms)
        case Looked():
            return _take_look(state, event, now_ms)
        case RanWell(content):
            return _share(state, state.table.add_good_run(content, now_ms), now_ms)
        case TrialBegan(content):
            return _share(state, state.table.take_trial(content, now_ms), now_ms)
        case RecordRead(suspicion):
            return _hear(state, suspicion, now_ms)
        case RecordsLost():
            return [each for known in state.table.all() for each in _record(state, known)]
        case SuspicionNews():
            return _take_news(state, event, now_ms)
        case Tick():
            return [*_forget(state, now_ms), *_spread(state, now_ms)]
    return []


def _take_break(state: QuarantineState, event: RunBroke, now_ms: int) -> list[Command]:
    """Suspect nothing before the end is shown; one look serves all runs that broke with it."""
    if event.leaving or event.cause not in _ENDS:
        return []
    instance = event.endpoint.instance
    if event.cause is ExchangeErrorCause.RESTARTED:
        return _add_ends(state, {event.content}, instance, now_ms)
    if instance in state.looks:
        state.looks[instance].contents.add(event.content)
        return []
    state.looks[instance] = _OpenLook(event.endpoint, {event.content})
    return [Look(event.endpoint, 0)]


def _take_look(state: QuarantineState, event: Looked, now_ms: int) -> list[Command]:
    look = state.looks[event.instance]
    look.refused += event.found is Found.REFUSES
    look.silent += event.found is Found.SILENT
    if event.found is Found.REFUSES and look.refused < LOOKS:
        return [Look(look.endpoint, LOOK_AGAIN_MS)]
    if event.found is Found.SILENT and look.silent < SILENT_LOOKS:
        return [Look(look.endpoint, SILENT_LOOK_AGAIN_MS)]
    del state.looks[event.instance]
    if event.found is not Found.REFUSES and not event.found.ended:
        return []
    ended = EndpointEnded(event.instance, len(look.contents), event.found)
    return [ended, *_add_ends(state, look.contents, event.instance, now_ms)]


def _add_ends(
    state: QuarantineState, contents: set[ContentId], instance: StartId, now_ms: int
) -> list[Command]:
    """This node saw that an endpoint ended under these contents."""
    commands: list[Command] = []
    for content in sorted(contents):
        commands += _share(state, state.table.add_end(content, instance, now_ms), now_ms)
    return commands


def _share(state: QuarantineState, news: Suspicion | None, now_ms: int) -> list[Command]:
    """What this node saw itself goes to the content's owners at once."""
    if news is None:
        return []
    owners = state.owners(news.content)
    others = tuple(node for node in owners if node != state.own)
    told: list[Command] = [_tell(state, others, (news,), now_ms)] if others else []
    return [*told, *_settle(state, news, now_ms)]


def _take_news(state: QuarantineState, event: SuspicionNews, now_ms: int) -> list[Command]:
    """Put it together with what is known; a sender that missed a good run hears of it."""
    commands: list[Command] = []
    cleared = []
    for heard in event.suspicions:
        commands += _hear(state, heard, now_ms)
        known = state.table.find(heard.content)
        if known is not None and known.ran_well and is_quarantined(heard):
            cleared.append(known)
    if cleared:
        commands.append(_tell(state, (event.sender,), cleared, now_ms))
    return commands


def _hear(state: QuarantineState, heard: Suspicion, now_ms: int) -> list[Command]:
    news = state.table.merge(heard, now_ms)
    return _settle(state, news, now_ms) if news is not None else []


def _settle(state: QuarantineState, news: Suspicion, now_ms: int) -> list[Command]:
    """What is quarantined is passed on at once: until all know it, endpoints go on ending."""
    if not is_serious(news):
        return []
    told = _tell_some(state, TELL_FANOUT, (news,), now_ms) if is_quarantined(news) else []
    return [Learned(news), *told, *_record(state, news)]


def _record(state: QuarantineState, news: Suspicion) -> list[Command]:
    """Each owner writes it: the first one finds no record, the others find that one."""
    if len(news.ended) < ENDS_TO_QUARANTINE or not state.is_owner(news.content):
        return []
    return [Record(news) if is_quarantined(news) else Unrecord(news.content)]


def _forget(state: QuarantineState, now_ms: int) -> list[Command]:
    if now_ms - state.forgot_ms < FORGET_EVERY_MS:
        return []
    state.forgot_ms = now_ms
    old = state.table.forget_old(now_ms)
    return [
        Unrecord(suspicion.content)
        for suspicion in old
        if is_quarantined(suspicion) and state.is_owner(suspicion.content)
    ]


def _spread(state: QuarantineState, now_ms: int) -> list[Command]:
    """Tell a few neighbours what is new, again and again; and what is quarantined, for good.

    So a node that was cut off, or starts, knows what is quarantined within a second or two, and
    no one has to notice that it is back.
    """
    fresh = state.table.changed_since(now_ms - FRESH_MS)
    if not fresh and now_ms - state.told_ms < TELL_REST_MS:
        return []
    state.told_ms = now_ms
    newest = fresh[: MOST_TOLD // 2]
    others = [one for one in (*fresh, *state.table.quarantined()) if one not in newest]
    sample = state.rng.sample(others, min(len(others), MOST_TOLD // 2))
    return _tell_some(state, TELL_FANOUT if fresh else 1, (*newest, *sample), now_ms)


def _tell_some(
    state: QuarantineState, fanout: int, suspicions: tuple[Suspicion, ...], now_ms: int
) -> list[Command]:
    chosen = state.neighbours.choose(fanout)
    if not chosen or not suspicions:
        return []
    return [_tell(state, tuple(chosen), suspicions, now_ms)]


def _tell(
    state: QuarantineState, nodes: tuple[str, ...], suspicions: Iterable[Suspicion], now_ms: int
) -> Tell:
    aged = tuple(state.table.aged(suspicion, now_ms) for suspicion in suspicions)
    return Tell(nodes, SuspicionNews(state.own, aged))
