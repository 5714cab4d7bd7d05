"""The contents under which endpoints ended, as one node knows them, and what follows for each.

Whoever ends an endpoint can't be seen: up to 64 runs break in the same moment. So each of them is
suspected, and a run that ends well clears its content. What is left after three ends without one
good run is quarantined. `saffronworks/tests/concurrent_runs.py` counts how many it wrongly strikes.
"""

import enum
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.quarantine.tuning import (
    EARLY_TRIAL_AFTER_MS,
    ENDS_TO_QUARANTINE,
    KEEP_QUARANTINED_MS,
    KEEP_SUSPECT_MS,
    MAX_ENDED_STARTS,
    MAX_SUSPICIONS,
    TRIAL_AFTER_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["SuspicionTable", "Admission", "is_quarantined", "is_gossiped"]


class Admission(enum.Enum):
    """Whether a request may be sent to endpoints; a trial may be sent to one."""

    ALLOWED = "free"
    TRIAL = "trial"
    REFUSED = "refused"


@attrs.define
class _Entry:
    suspicion: Suspicion
    # Since when it is known so.
    changed_ms: int


def is_quarantined(suspicion: Suspicion) -> bool:
    """Whether so many endpoints ended under it that no further one is to."""
    return len(suspicion.ended) >= ENDS_TO_QUARANTINE and not suspicion.ran_well


def is_gossiped(suspicion: Suspicion) -> bool:
    """Whether all nodes are to know it: one end more, or a good run, decides it."""
    return len(suspicion.ended) >= ENDS_TO_QUARANTINE - 1


@attrs.define
class SuspicionTable:
    """Bounded: when it is full, what was suspected longest ago and least goes first."""

    _entries: dict[ContentId, _Entry] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, content: ContentId) -> Suspicion | None:
        """What is known of a content."""
        entry = self._entries.get(content)
        return entry.suspicion if entry is not None else None

    def add_end(self, content: ContentId, instance: StartId, now_ms: int) -> Suspicion | None:
        """An endpoint ended while it worked on the content. What is known now, None if no news."""
        return self.merge(Suspicion(content, (instance,)), now_ms)

    def add_success(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """A run of it came to a whole answer. What is known now, None if no news."""
        if content not in self._entries:
            return None
        return self.merge(Suspicion(content, (), ran_well=True), now_ms)

    def add_trial(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """A trial of a quarantined content begins."""
        known = self.find(content)
        return (
            self.merge(Suspicion(content, (), trials=known.trials + 1), now_ms) if known else None
        )

    def merge(self, heard: Suspicion, now_ms: int) -> Suspicion | None:
        """Put together what is known and what is heard. The result, None where it is no news."""
        known = self.find(heard.content)
        if known is None and heard.age_ms >= _kept_ms(heard):
            return None
        both = _join(known, heard) if known is not None else heard
        if both == known:
            return None
        changed_ms = now_ms - heard.age_ms if both == heard else now_ms
        self._entries[heard.content] = _Entry(both, changed_ms)
        self._bound()
        return both

    def _bound(self) -> None:
        if len(self._entries) > MAX_SUSPICIONS:
            least = min(self._entries.values(), key=_weight)
            del self._entries[least.suspicion.content]

    def admission(self, content: ContentId, now_ms: int) -> Admission:
        """Whether a request of this content may be sent now."""
        entry = self._entries.get(content)
        if entry is None or not is_quarantined(entry.suspicion):
            return Admission.ALLOWED
        quarantined_ms, trials = now_ms - entry.changed_ms, entry.suspicion.trials
        if quarantined_ms < EARLY_TRIAL_AFTER_MS:
            return Admission.REFUSED
        if self._shares_ends(entry.suspicion):
            due = trials == 0 or quarantined_ms >= TRIAL_AFTER_MS
        else:
            due = trials == 0 and quarantined_ms >= TRIAL_AFTER_MS
        return Admission.TRIAL if due else Admission.REFUSED

    def _shares_ends(self, suspicion: Suspicion) -> bool:
        """Whether each of its ends counts against another such content: it was perhaps only there.

        So it is of those beside a deadly content, and of all contents while endpoints end for a
        cause of their own, as after a release that fails.
        """
        others = {
            start
            for other in self.quarantined()
            if other.content != suspicion.content
            for start in other.ended
        }
        return others.issuperset(suspicion.ended)

    def changed_since(self, from_ms: int) -> list[Suspicion]:
        """What all nodes are to know and may not know yet, the newest first."""
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.changed_ms >= from_ms and is_gossiped(entry.suspicion)
        ]
        fresh.sort(key=lambda entry: entry.changed_ms, reverse=True)
        return [entry.suspicion for entry in fresh]

    def with_age(self, suspicion: Suspicion, now_ms: int) -> Suspicion:
        """The same with its age, to be told."""
        entry = self._entries.get(suspicion.content)
        return attrs.evolve(suspicion, age_ms=now_ms - entry.changed_ms if entry else 0)

    def quarantined(self) -> list[Suspicion]:
        """What no node is to send on."""
        return [suspicion for suspicion in self.all() if is_quarantined(suspicion)]

    def all(self) -> list[Suspicion]:
        """What is known of every content."""
        return [entry.suspicion for entry in self._entries.values()]

    def expire(self, now_ms: int) -> list[Suspicion]:
        """Drop what is long over; returns it."""
        old = [
            entry.suspicion
            for entry in self._entries.values()
            if now_ms - entry.changed_ms >= _kept_ms(entry.suspicion)
        ]
        self._drop(old)
        return old

    def _drop(self, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            del self._entries[suspicion.content]


def _join(known: Suspicion, heard: Suspicion) -> Suspicion:
    return Suspicion(
        known.content,
        tuple(sorted({*known.ended, *heard.ended})[:MAX_ENDED_STARTS]),
        known.ran_well or heard.ran_well,
        max(known.trials, heard.trials),
    )


def _weight(entry: _Entry) -> tuple[bool, int, int]:
    suspicion = entry.suspicion
    return is_quarantined(suspicion), len(suspicion.ended), entry.changed_ms


def _kept_ms(suspicion: Suspicion) -> int:
    return KEEP_QUARANTINED_MS if is_quarantined(suspicion) else KEEP_SUSPECT_MS
