"""One node's table of prompt parts whose endpoints ended while running them.

A crash breaks all runs of an endpoint, and each of them has several parts, so that sound parts
collect ends beside the one that crashes endpoints. A run that goes on for some time clears its
parts of all ends before it. `choose_quarantined` finds the parts that explain the other ends.
"""

from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.messages import PartEnd, PartSuspicion
from saffronworks.forwarding.quarantine.part_choice import (
    Choice,
    PartEnds,
    choose_quarantined,
    is_candidate,
)
from saffronworks.forwarding.quarantine.suspicions import Admission, SuspicionTable
from saffronworks.forwarding.quarantine.tuning import (
    EARLY_TRIAL_MS,
    EARLY_TRIALS,
    KEEP_QUARANTINED_MS,
    KEEP_SUSPECT_MS,
    MAX_CONTENTS_PER_END,
    MAX_ENDS_PER_PART,
    MAX_PART_TRIALS,
    MAX_SUSPECTED_PARTS,
    PART_ENDS_TO_QUARANTINE,
    SOUND_WRITING_MS,
    SOUND_WRITING_RATIO,
    TRIAL_AFTER_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["PartTable"]

# Hexadecimal digits of a content's digest in an end: enough to tell the contents of a few ends.
_CONTENT_DIGITS = 8


@attrs.define
class _End:
    ended_ms: int
    contents: frozenset[str]
    writing_ms: int


@attrs.define
class _Entry:
    """Ends are those after `sound_ms`; `changed_ms` is when they or the trials last changed."""

    part: PartId
    depth: int
    changed_ms: int
    ends: dict[StartId, _End] = attrs.Factory(dict)
    sound_ms: int | None = None
    trials: int = 0
    # True once other nodes know the part, so that they must learn of its clearing as well.
    gossiped: bool = False

    def view(self) -> PartEnds:
        """Return what decides whether the part is quarantined."""
        return PartEnds(
            self.part,
            self.depth,
            {instance: end.ended_ms for instance, end in self.ends.items()},
            tuple(end.contents for end in self.ends.values()),
            proven=self.sound_ms is not None,
        )


@attrs.define
class PartTable:
    """Suspected prompt parts, bounded; evicts those with the fewest ends, then the oldest."""

    _contents: SuspicionTable
    _entries: dict[PartId, _Entry] = attrs.Factory(dict)
    # None after a change.
    _choice: Choice | None = None
    # The revision of the contents for which the choice was made.
    _contents_revision: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add_end(
        self,
        part: PartId,
        depth: int,
        instance: StartId,
        content: ContentId,
        writing_ms: int,
        now_ms: int,
    ) -> bool:
        """Add an end under a part; return whether the table has changed."""
        end = PartEnd(instance, (content[:_CONTENT_DIGITS],), writing_ms, 0)
        return self.merge(PartSuspicion(part, depth, (end,)), now_ms)

    def add_sound_run(self, part: PartId, writing_ms: int | None, now_ms: int) -> bool:
        """Record that a run with the part is sound; return whether that cleared it of any end.

        `writing_ms`: how long a run that goes on has been writing; None for a complete answer.
        """
        entry = self._entries.get(part)
        if entry is None or not entry.ends:
            return False
        shortest_ms = min(end.writing_ms for end in entry.ends.values())
        enough_ms = max(SOUND_WRITING_MS, SOUND_WRITING_RATIO * shortest_ms)
        if writing_ms is not None and writing_ms < enough_ms:
            return False
        return self.merge(PartSuspicion(part, entry.depth, (), sound_age_ms=0), now_ms)

    def add_earlier_run(self, part: PartId, sound_ms: int, now_ms: int) -> bool:
        """Record a sound run before the part was suspected; return whether that is news."""
        entry = self._entries.get(part)
        if entry is None or entry.sound_ms is not None:
            return False
        earlier = PartSuspicion(part, entry.depth, (), sound_age_ms=now_ms - sound_ms)
        return self.merge(earlier, now_ms)

    def add_trial(self, part: PartId, now_ms: int) -> bool:
        """Count a trial that starts; return whether the part is known."""
        entry = self._entries.get(part)
        if entry is None:
            return False
        counted = PartSuspicion(part, entry.depth, (), trials=entry.trials + 1)
        return self.merge(counted, now_ms)

    def merge(self, received: PartSuspicion, now_ms: int) -> bool:
        """Merge a view of a part, whose times are ages; return whether the table has changed."""
        entry = self._entries.get(received.part)
        is_new = entry is None
        if entry is None:
            if received.age_ms >= KEEP_QUARANTINED_MS:
                return False
            entry = _Entry(received.part, received.depth, now_ms - received.age_ms)
        changed = _merge_sound(entry, received, now_ms)
        changed = _merge_ends(entry, received, now_ms) or changed
        if received.trials > entry.trials:
            entry.trials, changed = received.trials, True
        if received.depth > entry.depth:
            entry.depth, changed = received.depth, True
        if not changed:
            return False
        if is_new:
            self._entries[received.part] = entry
            self._evict()
        else:
            entry.changed_ms = now_ms
        self._choice = None
        return True

    def _evict(self) -> None:
        """Evict an eighth of a full table at once, as each choice compares all entries."""
        if len(self._entries) > MAX_SUSPECTED_PARTS:
            ranked = sorted(self._entries.values(), key=lambda e: (len(e.ends), e.changed_ms))
            for least in ranked[: MAX_SUSPECTED_PARTS // 8]:
                del self._entries[least.part]

    @property
    def choice(self) -> Choice:
        """The quarantined parts, and the quarantined contents that these explain."""
        if self._choice is None or self._contents_revision != self._contents.revision:
            views = (
                e.view() for e in self._entries.values() if len(e.ends) >= PART_ENDS_TO_QUARANTINE
            )
            self._choice = choose_quarantined(views, self._contents.quarantined())
            self._contents_revision = self._contents.revision
        return self._choice

    def quarantined(self) -> dict[PartId, int]:
        """Return the quarantined parts, with the number of early trials that each may have."""
        return self.choice.quarantined

    def admission(self, parts: Iterable[PartId], now_ms: int) -> Admission:
        """Return whether a request with these parts may be sent now."""
        quarantined = self.quarantined()
        due = [self._is_trial_due(part, now_ms) for part in parts if part in quarantined]
        if not due:
            return Admission.ALLOWED
        return Admission.TRIAL if all(due) else Admission.REFUSED

    def _is_trial_due(self, part: PartId, now_ms: int) -> bool:
        entry = self._entries[part]
        unchanged_ms, early_trials = now_ms - entry.changed_ms, self.quarantined()[part]
        if entry.trials < early_trials:
            return unchanged_ms >= EARLY_TRIAL_MS << entry.trials
        more = early_trials == EARLY_TRIALS or entry.trials < MAX_PART_TRIALS
        return more and unchanged_ms >= TRIAL_AFTER_MS

    def is_gossiped(self, part: PartId) -> bool:
        """Return whether all nodes receive news of the part; False if it was evicted."""
        entry = self._entries.get(part)
        return entry is not None and entry.gossiped

    def is_urgent(self, part: PartId) -> bool:
        """Return whether the part has ends enough to be quarantined."""
        return is_candidate(self._entries[part].view())

    def changed_since(self, from_ms: int) -> list[PartId]:
        """Return the gossiped parts that changed since `from_ms`, urgent ones first, then new."""
        fresh = [e for e in self._entries.values() if e.gossiped and e.changed_ms >= from_ms]
        fresh.sort(key=lambda e: (self.is_urgent(e.part), e.changed_ms), reverse=True)
        return [entry.part for entry in fresh]

    def suspicion(self, part: PartId, now_ms: int) -> PartSuspicion | None:
        """Return this node's view of a part for other nodes, or None if it is unknown."""
        entry = self._entries.get(part)
        if entry is None:
            return None
        ends = tuple(
            PartEnd(instance, tuple(sorted(e.contents)), e.writing_ms, now_ms - e.ended_ms)
            for instance, e in sorted(entry.ends.items())
        )
        sound_age_ms = None if entry.sound_ms is None else now_ms - entry.sound_ms
        age_ms = now_ms - entry.changed_ms
        return PartSuspicion(part, entry.depth, ends, sound_age_ms, entry.trials, age_ms)

    def expire(self, now_ms: int) -> None:
        """Drop the parts whose retention is over."""
        quarantined = self.quarantined()
        old = [
            entry.part
            for entry in self._entries.values()
            if now_ms - entry.changed_ms
            >= (KEEP_QUARANTINED_MS if entry.part in quarantined else KEEP_SUSPECT_MS)
        ]
        for part in old:
            del self._entries[part]
        if old:
            self._choice = None


def _merge_sound(entry: _Entry, received: PartSuspicion, now_ms: int) -> bool:
    """Apply the last sound run; return whether it is the first one or cleared any end."""
    if received.sound_age_ms is None:
        return False
    sound_ms, is_first = now_ms - received.sound_age_ms, entry.sound_ms is None
    if entry.sound_ms is not None and entry.sound_ms >= sound_ms:
        return False
    entry.sound_ms = sound_ms
    cleared = [instance for instance, end in entry.ends.items() if end.ended_ms <= sound_ms]
    for instance in cleared:
        del entry.ends[instance]
    if cleared:
        entry.trials = 0
    return is_first or bool(cleared)


def _merge_ends(entry: _Entry, received: PartSuspicion, now_ms: int) -> bool:
    changed = False
    for end in received.ends:
        known = entry.ends.get(end.instance)
        if known is None:
            ended_ms = now_ms - end.age_ms
            is_cleared = entry.sound_ms is not None and ended_ms <= entry.sound_ms
            if is_cleared or len(entry.ends) >= MAX_ENDS_PER_PART:
                continue
            contents = frozenset(end.contents[:MAX_CONTENTS_PER_END])
            entry.ends[end.instance] = _End(ended_ms, contents, end.writing_ms)
            changed = True
            continue
        contents = known.contents.union(end.contents)
        if contents != known.contents and len(known.contents) < MAX_CONTENTS_PER_END:
            known.contents = frozenset(sorted(contents)[:MAX_CONTENTS_PER_END])
            changed = True
        if end.writing_ms < known.writing_ms:
            known.writing_ms = end.writing_ms
            changed = True
    entry.gossiped = entry.gossiped or len(entry.ends) > 1
    return changed
