"""The contents under which endpoints ended, as one node knows them, and what follows for each.

Whoever ends an endpoint can't be seen: up to 64 runs break in the same moment. So each of them is
suspected, and a run that ends well clears its content. What is left after three ends without one
good run is barred. `saffronworks/tests/innocent_runs.py` counts how many it wrongly strikes.
"""

import enum
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    ENDS_TO_BAR,
    KEEP_BARRED_MS,
    KEEP_SUSPECT_MS,
    MOST_ENDED,
    MOST_SUSPICIONS,
    TRIAL_AFTER_MS,
    TRIAL_SOON_MS,
)

__all__ = ["SuspicionTable", "Verdict", "is_barred", "is_serious"]


class Verdict(enum.Enum):
    """Whether a request may be sent to endpoints; a trial may be sent to one."""

    FREE = "free"
    TRIAL = "trial"
    BARRED = "barred"


@attrs.define
class _Entry:
    suspicion: Suspicion
    # When this node first had it so.
    changed_ms: int


def is_barred(suspicion: Suspicion) -> bool:
    """Whether so many endpoints ended under it that no further one is to."""
    return len(suspicion.ended) >= ENDS_TO_BAR and not suspicion.ran_well


def is_serious(suspicion: Suspicion) -> bool:
    """Whether all nodes are to know it: one end more bars it, or a good run anywhere clears it."""
    return len(suspicion.ended) >= ENDS_TO_BAR - 1


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

    def add_good_run(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """A run of it came to a whole answer. What is known now, None if no news."""
        if content not in self._entries:
            return None
        return self.merge(Suspicion(content, (), ran_well=True), now_ms)

    def take_trial(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """The one trial of a barred content begins."""
        return self.merge(Suspicion(content, (), tried=True), now_ms)

    def merge(self, heard: Suspicion, now_ms: int) -> Suspicion | None:
        """Put together what is known and what is heard. The result, None where it is no news."""
        known = self._entries.get(heard.content)
        if known is None:
            self._entries[heard.content] = _Entry(heard, now_ms)
            self._bound()
            return heard
        both = Suspicion(
            heard.content,
            tuple(sorted({*known.suspicion.ended, *heard.ended})[:MOST_ENDED]),
            known.suspicion.ran_well or heard.ran_well,
            known.suspicion.tried or heard.tried,
        )
        if both == known.suspicion:
            return None
        self._entries[heard.content] = _Entry(both, now_ms)
        return both

    def _bound(self) -> None:
        if len(self._entries) > MOST_SUSPICIONS:
            least = min(self._entries.values(), key=_weight)
            del self._entries[least.suspicion.content]

    def judge(self, content: ContentId, now_ms: int) -> Verdict:
        """Whether a request of this content may be sent now."""
        entry = self._entries.get(content)
        if entry is None or not is_barred(entry.suspicion):
            return Verdict.FREE
        barred_ms = now_ms - entry.changed_ms
        if entry.suspicion.tried or barred_ms < TRIAL_SOON_MS:
            return Verdict.BARRED
        due = barred_ms >= TRIAL_AFTER_MS or self._shares_ends(entry.suspicion)
        return Verdict.TRIAL if due else Verdict.BARRED

    def _shares_ends(self, suspicion: Suspicion) -> bool:
        """Whether the ends that bar it bar another content too: one of them was only beside it."""
        return any(
            is_barred(other.suspicion)
            and other.suspicion.content != suspicion.content
            and len({*other.suspicion.ended} & {*suspicion.ended}) >= ENDS_TO_BAR
            for other in self._entries.values()
        )

    def changed_since(self, from_ms: int) -> list[Suspicion]:
        """What all nodes are to know and may not know yet, the newest first."""
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.changed_ms >= from_ms and is_serious(entry.suspicion)
        ]
        fresh.sort(key=lambda entry: entry.changed_ms, reverse=True)
        return [entry.suspicion for entry in fresh]

    def barred(self) -> list[Suspicion]:
        """What no node is to send on."""
        known = (entry.suspicion for entry in self._entries.values())
        return [suspicion for suspicion in known if is_barred(suspicion)]

    def forget_old(self, now_ms: int) -> list[Suspicion]:
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


def _weight(entry: _Entry) -> tuple[bool, int, int]:
    suspicion = entry.suspicion
    return is_barred(suspicion), len(suspicion.ended), entry.changed_ms


def _kept_ms(suspicion: Suspicion) -> int:
    return KEEP_BARRED_MS if is_barred(suspicion) else KEEP_SUSPECT_MS
