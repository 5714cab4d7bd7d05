"""Decides which requests to reject because a part of their prompts crashes endpoints.

Requests with such a part differ in their contents, so that the quarantine of contents in `core`
does not stop them. Entry nodes report ends to three owners of a part, chosen by hash. From two ends
on all nodes know the part, so that a sound run at any of them clears it.
"""

import random
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.neighbours import Neighbours
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.events import (
    Command,
    PartChanged,
    RemoveRecord,
    SendNews,
    WriteRecord,
)
from saffronworks.forwarding.quarantine.messages import PartNews, PartSuspicion
from saffronworks.forwarding.quarantine.part_table import PartTable
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.quarantine.tuning import (
    EXPIRY_INTERVAL_MS,
    GOSSIP_FANOUT,
    IDLE_PART_GOSSIP_INTERVAL_MS,
    MAX_PARTS_PER_END,
    MAX_PARTS_PER_IDLE_MESSAGE,
    MAX_PARTS_PER_MESSAGE,
    MAX_RECENT_PARTS,
    RECENT_CHANGE_MS,
    SUSPICION_OWNERS,
)
from saffronworks.forwarding.shares.ring import NodeRing
from saffronworks.forwarding.starts import StartId

__all__ = ["BrokenRun", "PartsState"]


@attrs.frozen
class BrokenRun:
    """A run that an endpoint's end broke; `writing_ms` is how long it had been writing."""

    content: ContentId
    parts: tuple[PartId, ...]
    writing_ms: int


@attrs.define
class PartsState:
    """The suspected parts of one node; methods return the commands to execute."""

    neighbours: Neighbours
    rng: random.Random
    table: PartTable
    _ring: NodeRing = attrs.Factory(NodeRing)
    # When requests with a part last ended well at this node, the most recent ones last.
    _sound_ms: OrderedDict[PartId, int] = attrs.Factory(OrderedDict)
    _gossiped_ms: int = 0
    _expired_ms: int = 0
    # The parts that were quarantined after the last change.
    _quarantined: frozenset[PartId] = frozenset()

    @property
    def idle(self) -> bool:
        """True if no part is suspected, so that ticks have no effect."""
        return not len(self.table)

    def update_nodes(self, nodes: Iterable[str]) -> None:
        """Replace the nodes among which the owners of parts are chosen."""
        self._ring = NodeRing.of(nodes)

    def admission(self, parts: tuple[PartId, ...], now_ms: int) -> Admission:
        """Return whether a request with these parts may be sent now.

        Only nodes that own all of its quarantined parts start a trial.
        """
        admission = self.table.admission(parts, now_ms)
        if admission is Admission.TRIAL:
            quarantined = [part for part in parts if part in self.table.quarantined()]
            if not all(self._is_owner(part) for part in quarantined):
                return Admission.REFUSED
        return admission

    def record_end(
        self, instance: StartId, runs: Iterable[BrokenRun], now_ms: int
    ) -> list[Command]:
        """Record an end that this node detected, for the parts of the runs that it broke.

        Of more parts than one end may report, those of the runs that began to write last count.
        """
        changed: dict[PartId, None] = {}
        for run in sorted(runs, key=lambda run: run.writing_ms):
            if len(changed) + len(run.parts) > MAX_PARTS_PER_END:
                break
            for depth, part in enumerate(run.parts):
                if self.table.add_end(part, depth, instance, run.content, run.writing_ms, now_ms):
                    changed[part] = None
        self._add_earlier_runs(changed, now_ms)
        return self._report(changed, now_ms)

    def _add_earlier_runs(self, parts: Iterable[PartId], now_ms: int) -> list[PartId]:
        """Record the sound runs that this node saw before it suspected parts; return the news."""
        known = ((part, self._sound_ms.get(part)) for part in parts)
        return [
            part
            for part, sound_ms in known
            if sound_ms is not None and self.table.add_earlier_run(part, sound_ms, now_ms)
        ]

    def record_sound_run(
        self, parts: Iterable[PartId], writing_ms: int | None, now_ms: int
    ) -> list[Command]:
        """Record a run that shows its parts to be sound, if it has been writing long enough."""
        if writing_ms is None:
            self.remember_sound(parts, now_ms)
        changed = [part for part in parts if self.table.add_sound_run(part, writing_ms, now_ms)]
        return self._report(changed, now_ms)

    def remember_sound(self, parts: Iterable[PartId], now_ms: int) -> None:
        """Remember that a request with these parts ended well, in case they are suspected later."""
        for part in parts:
            self._sound_ms[part] = now_ms
            self._sound_ms.move_to_end(part)
        while len(self._sound_ms) > MAX_RECENT_PARTS:
            self._sound_ms.popitem(last=False)

    def record_trial(self, parts: Iterable[PartId], now_ms: int) -> list[Command]:
        """Record the trial of a request with these parts, so that no other node starts one."""
        quarantined = self.table.quarantined()
        tried = [part for part in parts if part in quarantined]
        return self._report([p for p in tried if self.table.add_trial(p, now_ms)], now_ms)

    def read_record(self, suspicion: PartSuspicion, now_ms: int) -> list[Command]:
        """Merge a part that was quarantined before this node started."""
        return self._apply([suspicion], now_ms)

    def rewrite_records(self, now_ms: int) -> list[Command]:
        """Write the records of the quarantined parts again, after the store may have lost them."""
        owned = [part for part in self.table.quarantined() if self._is_owner(part)]
        return [WriteRecord(view) for view in self._views(owned, now_ms)]

    def handle_news(self, news: PartNews, now_ms: int) -> list[Command]:
        """Merge another node's view; reply where it has ends before a sound run known here."""
        commands = self._apply(news.parts, now_ms)
        outdated = [received.part for received in news.parts if self._is_outdated(received, now_ms)]
        if outdated:
            views = self._views(outdated, now_ms)
            commands.append(SendNews((news.sender,), PartNews(self.neighbours.own, views)))
        return commands

    def tick(self, now_ms: int) -> list[Command]:
        """Expire old parts, and gossip recent changes and quarantined parts."""
        return [*self._expire(now_ms), *self._gossip(now_ms)]

    def _apply(self, received: Iterable[PartSuspicion], now_ms: int) -> list[Command]:
        changed = [view.part for view in received if self.table.merge(view, now_ms)]
        own_news = self._add_earlier_runs(changed, now_ms)
        others = [part for part in changed if part not in own_news]
        return [*self._report(own_news, now_ms), *self._propagate(others, now_ms)]

    def _is_outdated(self, received: PartSuspicion, now_ms: int) -> bool:
        """Return whether a view lists an end that a sound run known here has cleared."""
        known = self.table.suspicion(received.part, now_ms)
        if known is None or known.sound_age_ms is None:
            return False
        kept = {end.instance for end in known.ends}
        return any(
            end.instance not in kept and end.age_ms >= known.sound_age_ms for end in received.ends
        )

    def _report(self, changed: Iterable[PartId], now_ms: int) -> list[Command]:
        """Send changes that this node observed to the parts' owners at once, one message each."""
        by_owner: dict[str, list[PartId]] = {}
        for part in dict.fromkeys(changed):
            for owner in self._owners(part):
                if owner != self.neighbours.own:
                    by_owner.setdefault(owner, []).append(part)
        reports = [
            SendNews((owner,), PartNews(self.neighbours.own, self._views(parts, now_ms)))
            for owner, parts in sorted(by_owner.items())
        ]
        return [*reports, *self._propagate(changed, now_ms)]

    def _propagate(self, changed: Iterable[PartId], now_ms: int) -> list[Command]:
        """Gossip parts with ends enough to be quarantined at once, and update the records."""
        changed = [part for part in dict.fromkeys(changed) if self.table.is_gossiped(part)]
        if not changed:
            return []
        quarantined = self.table.quarantined()
        commands: list[Command] = [
            PartChanged(view, view.part in quarantined) for view in self._views(changed, now_ms)
        ]
        urgent = [
            part for part in changed if self.table.is_urgent(part) or part in self._quarantined
        ]
        for start in range(0, len(urgent), MAX_PARTS_PER_MESSAGE):
            chunk = urgent[start : start + MAX_PARTS_PER_MESSAGE]
            commands += self._send_to_neighbours(GOSSIP_FANOUT, chunk, now_ms)
        return [*commands, *self._update_records(now_ms)]

    def _update_records(self, now_ms: int) -> list[Command]:
        before, self._quarantined = self._quarantined, frozenset(self.table.quarantined())
        written = [part for part in sorted(self._quarantined - before) if self._is_owner(part)]
        removed = [part for part in sorted(before - self._quarantined) if self._is_owner(part)]
        return [
            *(WriteRecord(view) for view in self._views(written, now_ms)),
            *(RemoveRecord(part, is_part=True) for part in removed),
        ]

    def _expire(self, now_ms: int) -> list[Command]:
        if now_ms - self._expired_ms < EXPIRY_INTERVAL_MS:
            return []
        self._expired_ms = now_ms
        self.table.expire(now_ms)
        return self._update_records(now_ms)

    def _gossip(self, now_ms: int) -> list[Command]:
        recent = self.table.changed_since(now_ms - RECENT_CHANGE_MS)
        if not recent:
            return self._gossip_quarantined(now_ms)
        self._gossiped_ms = now_ms
        first = recent[: MAX_PARTS_PER_MESSAGE // 2]
        others = [
            part for part in dict.fromkeys((*recent, *self._quarantined)) if part not in first
        ]
        sample = self._sample(others, MAX_PARTS_PER_MESSAGE // 2)
        return self._send_to_neighbours(GOSSIP_FANOUT, [*first, *sample], now_ms)

    def _gossip_quarantined(self, now_ms: int) -> list[Command]:
        """Send some quarantined parts to a neighbour, in case it has started or was partitioned."""
        if now_ms - self._gossiped_ms < IDLE_PART_GOSSIP_INTERVAL_MS:
            return []
        self._gossiped_ms = now_ms
        sample = self._sample(sorted(self._quarantined), MAX_PARTS_PER_IDLE_MESSAGE)
        return self._send_to_neighbours(1, sample, now_ms)

    def _sample(self, parts: list[PartId], count: int) -> list[PartId]:
        return self.rng.sample(parts, min(len(parts), count))

    def _send_to_neighbours(self, fanout: int, parts: list[PartId], now_ms: int) -> list[Command]:
        chosen = self.neighbours.choose(fanout)
        if not chosen or not parts:
            return []
        news = PartNews(self.neighbours.own, self._views(parts, now_ms))
        return [SendNews(tuple(chosen), news)]

    def _views(self, parts: Iterable[PartId], now_ms: int) -> tuple[PartSuspicion, ...]:
        views = (self.table.suspicion(part, now_ms) for part in parts)
        return tuple(view for view in views if view is not None)

    def _owners(self, part: PartId) -> list[str]:
        return self._ring.first_nodes(part, SUSPICION_OWNERS)

    def _is_owner(self, part: PartId) -> bool:
        return self.neighbours.own in self._owners(part)
