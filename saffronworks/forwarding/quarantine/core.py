"""Decides which request contents to quarantine because endpoints crash while running them.

`step(state, event, now_ms)` returns commands. An end is the crash or restart of an endpoint. A
failed run alone doesn't prove an end, as links lose data and answers are cut off. Two refused
connections do, and so does a restart or the silence of an endpoint that has left the store. Entry
nodes report ends to three owners of a content, chosen by hash, so that an end costs two or three
messages per run. Owners merge the reports, and nodes gossip contents that are close to quarantine.
"""

import random
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.events import (
    Command,
    EndpointEnded,
    Event,
    Probe,
    ProbeFinished,
    ProbeResult,
    RecordRead,
    RecordsLost,
    RemoveRecord,
    RunFailed,
    RunProgressed,
    RunSucceeded,
    SendNews,
    SuspicionChanged,
    Tick,
    TrialStarted,
    WriteRecord,
)
from saffronworks.forwarding.quarantine.messages import (
    PartNews,
    PartSuspicion,
    Suspicion,
    SuspicionNews,
)
from saffronworks.forwarding.quarantine.part_core import BrokenRun, PartsState
from saffronworks.forwarding.quarantine.part_table import PartTable
from saffronworks.forwarding.quarantine.suspicions import (
    Admission,
    SuspicionTable,
    is_gossiped,
    is_quarantined,
)
from saffronworks.forwarding.quarantine.tuning import (
    ENDS_TO_QUARANTINE,
    EXPIRY_INTERVAL_MS,
    GOSSIP_FANOUT,
    IDLE_GOSSIP_INTERVAL_MS,
    MAX_SUSPICIONS_PER_MESSAGE,
    RECENT_CHANGE_MS,
    REFUSED_PROBES,
    REPROBE_REFUSED_MS,
    REPROBE_SILENT_MS,
    SILENT_PROBES,
    SUSPICION_OWNERS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.hashing import rank_members

__all__ = ["QuarantineState", "step"]

# Causes that a crash of the endpoint's process or machine can produce.
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
class _ActiveProbe:
    endpoint: ServiceEndpoint
    broken: list[BrokenRun]
    refused: int = 0
    silent: int = 0


@attrs.define
class QuarantineState:
    """The state of one node; nodes are identified by address."""

    own: str
    rng: random.Random
    # Peers that this node sends gossip to.
    neighbours: Neighbours = attrs.field(init=False)
    table: SuspicionTable = attrs.Factory(SuspicionTable)
    parts: PartsState = attrs.field(init=False)
    probes: dict[StartId, _ActiveProbe] = attrs.Factory(dict)
    gossiped_ms: int = 0
    expired_ms: int = 0

    @neighbours.default
    def _make_neighbours(self) -> Neighbours:
        return Neighbours(self.own, self.rng)

    @parts.default
    def _make_parts(self) -> PartsState:
        return PartsState(self.neighbours, self.rng, PartTable(self.table))

    def update_nodes(self, nodes: Iterable[str]) -> None:
        """Replace the list of nodes."""
        self.neighbours.update_nodes(nodes)
        self.parts.update_nodes(self.neighbours.nodes)

    @property
    def idle(self) -> bool:
        """True if nothing is suspected, so that ticks have no effect."""
        return not len(self.table) and self.parts.idle

    def owners(self, content: ContentId) -> tuple[str, ...]:
        """Return the nodes that merge reports on a content."""
        return tuple(rank_members(self.neighbours.nodes, content, SUSPICION_OWNERS))

    def admission(
        self, content: ContentId, now_ms: int, parts: tuple[PartId, ...] = ()
    ) -> Admission:
        """Return whether a request with this content and these shared parts may be sent now.

        Only owners start a trial, and they report it to each other at once. Otherwise two nodes
        could start trials at the same time and crash two endpoints where one trial is enough.
        """
        by_parts = self.parts.admission(parts, now_ms)
        if by_parts is Admission.REFUSED:
            return by_parts
        by_content = self._content_admission(content, now_ms)
        if by_content is Admission.TRIAL and not self.is_owner(content):
            return Admission.REFUSED
        return by_parts if by_content is Admission.ALLOWED else by_content

    def _content_admission(self, content: ContentId, now_ms: int) -> Admission:
        """Return whether a content may be sent: also if parts of others explain all its ends."""
        admission = self.table.admission(content, now_ms)
        if admission is Admission.ALLOWED or content in self.parts.table.choice.explained:
            return Admission.ALLOWED
        return admission

    def is_owner(self, content: ContentId) -> bool:
        """Return whether this node is an owner of the content."""
        return self.own in self.owners(content)


def step(state: QuarantineState, event: Event, now_ms: int) -> list[Command]:
    """Apply an event and return the commands to execute."""
    match event:
        case RunFailed():
            return _handle_failed_run(state, event, now_ms)
        case ProbeFinished():
            return _handle_probe(state, event, now_ms)
        case RunProgressed(parts, writing_ms):
            return state.parts.record_sound_run(parts, writing_ms, now_ms)
        case RunSucceeded(content, parts):
            cleared = _report_to_owners(state, state.table.add_success(content, now_ms), now_ms)
            return [*cleared, *state.parts.record_sound_run(parts, None, now_ms)]
        case TrialStarted(content, parts):
            return _handle_trial(state, content, parts, now_ms)
        case RecordRead(PartSuspicion() as suspicion):
            return state.parts.read_record(suspicion, now_ms)
        case RecordRead(Suspicion() as suspicion):
            return _merge(state, suspicion, now_ms)
        case RecordsLost():
            known = [each for known in state.table.all() for each in _update_record(state, known)]
            return [*known, *state.parts.rewrite_records(now_ms)]
        case SuspicionNews():
            return _handle_news(state, event, now_ms)
        case PartNews():
            return state.parts.handle_news(event, now_ms)
        case Tick():
            return [*_tick_contents(state, now_ms), *_tick_parts(state, now_ms)]
    return []


def _tick_contents(state: QuarantineState, now_ms: int) -> list[Command]:
    if not len(state.table):
        return []
    return [*_expire(state, now_ms), *_gossip(state, now_ms)]


def _tick_parts(state: QuarantineState, now_ms: int) -> list[Command]:
    return [] if state.parts.idle else state.parts.tick(now_ms)


def _handle_trial(
    state: QuarantineState, content: ContentId, parts: tuple[PartId, ...], now_ms: int
) -> list[Command]:
    """Count a trial against the content only if it is quarantined itself."""
    commands = state.parts.record_trial(parts, now_ms)
    known = state.table.find(content)
    if known is not None and is_quarantined(known):
        trial = state.table.add_trial(content, now_ms)
        commands += _report_to_owners(state, trial, now_ms)
    return commands


def _handle_failed_run(state: QuarantineState, event: RunFailed, now_ms: int) -> list[Command]:
    """Probe the endpoint before suspecting the content; runs that failed together share a probe."""
    if event.leaving or event.cause not in _ENDS:
        return []
    instance = event.endpoint.instance
    broken = BrokenRun(event.content, event.parts, event.writing_ms)
    if event.cause is ExchangeErrorCause.RESTARTED:
        return _record_ends(state, [broken], instance, now_ms)
    if instance in state.probes:
        state.probes[instance].broken.append(broken)
        return []
    state.probes[instance] = _ActiveProbe(event.endpoint, [broken])
    return [Probe(event.endpoint, 0)]


def _handle_probe(state: QuarantineState, event: ProbeFinished, now_ms: int) -> list[Command]:
    probe = state.probes[event.instance]
    probe.refused += event.found is ProbeResult.REFUSES
    probe.silent += event.found is ProbeResult.SILENT
    if event.found is ProbeResult.REFUSES and probe.refused < REFUSED_PROBES:
        return [Probe(probe.endpoint, REPROBE_REFUSED_MS)]
    if event.found is ProbeResult.SILENT and probe.silent < SILENT_PROBES:
        return [Probe(probe.endpoint, REPROBE_SILENT_MS)]
    del state.probes[event.instance]
    if event.found is not ProbeResult.REFUSES and not event.found.proves_end:
        return []
    contents = {run.content for run in probe.broken}
    ended = EndpointEnded(event.instance, len(contents), event.found)
    # A machine that fell silent was lost, and no prompt does that.
    with_parts = event.found is not ProbeResult.GONE
    return [ended, *_record_ends(state, probe.broken, event.instance, now_ms, with_parts)]


def _record_ends(
    state: QuarantineState,
    broken: list[BrokenRun],
    instance: StartId,
    now_ms: int,
    with_parts: bool = True,
) -> list[Command]:
    """Record an end that this node detected, for every run that it broke."""
    commands: list[Command] = []
    for content in sorted({run.content for run in broken}):
        commands += _report_to_owners(state, state.table.add_end(content, instance, now_ms), now_ms)
    if with_parts:
        commands += state.parts.record_end(instance, broken, now_ms)
    return commands


def _report_to_owners(state: QuarantineState, news: Suspicion | None, now_ms: int) -> list[Command]:
    """Send a change that this node observed to the content's owners at once."""
    if news is None:
        return []
    owners = state.owners(news.content)
    others = tuple(node for node in owners if node != state.own)
    commands: list[Command] = [_send_news(state, others, (news,), now_ms)] if others else []
    return [*commands, *_propagate(state, news, now_ms)]


def _handle_news(state: QuarantineState, event: SuspicionNews, now_ms: int) -> list[Command]:
    """Merge suspicions of another node; reply with what it lacks and gossip does not tell it.

    That is a successful run, and also a quarantine if the sender is missing in the list of nodes.
    """
    commands: list[Command] = []
    lacking = []
    for received in event.suspicions:
        commands += _merge(state, received, now_ms)
        known = state.table.find(received.content)
        if known is None or is_quarantined(known) == is_quarantined(received):
            continue
        if known.ran_well or event.sender not in state.neighbours.nodes:
            lacking.append(known)
    if lacking:
        commands.append(_send_news(state, (event.sender,), lacking, now_ms))
    return commands


def _merge(state: QuarantineState, received: Suspicion, now_ms: int) -> list[Command]:
    news = state.table.merge(received, now_ms)
    return _propagate(state, news, now_ms) if news is not None else []


def _propagate(state: QuarantineState, news: Suspicion, now_ms: int) -> list[Command]:
    """Gossip a new quarantine at once: until all nodes have it, endpoints keep crashing."""
    if not is_gossiped(news):
        return []
    commands = (
        _send_to_neighbours(state, GOSSIP_FANOUT, (news,), now_ms) if is_quarantined(news) else []
    )
    return [SuspicionChanged(news), *commands, *_update_record(state, news)]


def _update_record(state: QuarantineState, news: Suspicion) -> list[Command]:
    """Write or remove the store's record; every owner does so, and only the first has an effect."""
    if len(news.ended) < ENDS_TO_QUARANTINE or not state.is_owner(news.content):
        return []
    return [WriteRecord(news) if is_quarantined(news) else RemoveRecord(news.content)]


def _expire(state: QuarantineState, now_ms: int) -> list[Command]:
    if now_ms - state.expired_ms < EXPIRY_INTERVAL_MS:
        return []
    state.expired_ms = now_ms
    expired = state.table.expire(now_ms)
    return [
        RemoveRecord(suspicion.content)
        for suspicion in expired
        if is_quarantined(suspicion) and state.is_owner(suspicion.content)
    ]


def _gossip(state: QuarantineState, now_ms: int) -> list[Command]:
    """Send recent changes to a few neighbours, and quarantined contents for as long as they last.

    A node that starts or was partitioned thus receives all quarantines within a second or two,
    without any node detecting its return.
    """
    recent = state.table.changed_since(now_ms - RECENT_CHANGE_MS)
    if not recent and now_ms - state.gossiped_ms < IDLE_GOSSIP_INTERVAL_MS:
        return []
    state.gossiped_ms = now_ms
    newest = recent[: MAX_SUSPICIONS_PER_MESSAGE // 2]
    others = [one for one in (*recent, *state.table.quarantined()) if one not in newest]
    sample = state.rng.sample(others, min(len(others), MAX_SUSPICIONS_PER_MESSAGE // 2))
    return _send_to_neighbours(state, GOSSIP_FANOUT if recent else 1, (*newest, *sample), now_ms)


def _send_to_neighbours(
    state: QuarantineState, fanout: int, suspicions: tuple[Suspicion, ...], now_ms: int
) -> list[Command]:
    chosen = state.neighbours.choose(fanout)
    if not chosen or not suspicions:
        return []
    return [_send_news(state, tuple(chosen), suspicions, now_ms)]


def _send_news(
    state: QuarantineState, nodes: tuple[str, ...], suspicions: Iterable[Suspicion], now_ms: int
) -> SendNews:
    aged = tuple(state.table.with_age(suspicion, now_ms) for suspicion in suspicions)
    return SendNews(nodes, SuspicionNews(state.own, aged))
