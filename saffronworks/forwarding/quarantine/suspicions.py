"""One node's table of contents whose endpoints ended while running them.

The request that crashed an endpoint can't be identified directly: up to 64 runs break at once. So
the content of each broken run is suspected, and a successful run clears it. A content with three
ends and no successful run is quarantined. `saffronworks/tests/concurrent_runs.py` counts the
innocent contents that are quarantined by this rule.
"""

import enum
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.quarantine.tuning import (
    EARLY_TRIAL_MS,
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
    """Decision on a request: may be sent, may be sent to one endpoint as a trial, or refused."""

    ALLOWED = "free"
    TRIAL = "trial"
    REFUSED = "refused"


@attrs.define
class _Entry:
    suspicion: Suspicion
    # When this node's view of the content last changed.
    changed_ms: int


def is_quarantined(suspicion: Suspicion) -> bool:
    """Return whether the content has reached the limit of ends without a successful run."""
    return len(suspicion.ended) >= ENDS_TO_QUARANTINE and not suspicion.ran_well


def is_gossiped(suspicion: Suspicion) -> bool:
    """Return whether all nodes receive the suspicion: it is at most one end from quarantine."""
    return len(suspicion.ended) >= ENDS_TO_QUARANTINE - 1


@attrs.define
class SuspicionTable:
    """Suspicions by content, bounded; evicts those with the fewest ends, then the oldest."""

    _entries: dict[ContentId, _Entry] = attrs.Factory(dict)
    # Increases with each change.
    revision: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, content: ContentId) -> Suspicion | None:
        """Return the suspicion of a content, or None."""
        entry = self._entries.get(content)
        return entry.suspicion if entry is not None else None

    def add_end(self, content: ContentId, instance: StartId, now_ms: int) -> Suspicion | None:
        """Add an end under a content; return the new suspicion, or None if nothing changed."""
        return self.merge(Suspicion(content, (instance,)), now_ms)

    def add_success(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """Add a successful run; return the new suspicion, or None if nothing changed."""
        if content not in self._entries:
            return None
        return self.merge(Suspicion(content, (), ran_well=True), now_ms)

    def add_trial(self, content: ContentId, now_ms: int) -> Suspicion | None:
        """Count a trial that starts; return the new suspicion, or None if nothing changed."""
        known = self.find(content)
        return (
            self.merge(Suspicion(content, (), trials=known.trials + 1), now_ms) if known else None
        )

    def merge(self, received: Suspicion, now_ms: int) -> Suspicion | None:
        """Merge a received suspicion; return the new suspicion, or None if nothing changed."""
        known = self.find(received.content)
        if known is None and received.age_ms >= _retention_ms(received):
            return None
        merged = _union(known, received) if known is not None else received
        if merged == known:
            return None
        changed_ms = now_ms - received.age_ms if merged == received else now_ms
        self._entries[received.content] = _Entry(merged, changed_ms)
        self.revision += 1
        self._evict()
        return merged

    def _evict(self) -> None:
        if len(self._entries) > MAX_SUSPICIONS:
            least = min(self._entries.values(), key=_eviction_key)
            del self._entries[least.suspicion.content]

    def admission(self, content: ContentId, now_ms: int) -> Admission:
        """Return whether a request with this content may be sent now."""
        entry = self._entries.get(content)
        if entry is None or not is_quarantined(entry.suspicion):
            return Admission.ALLOWED
        quarantined_ms, trials = now_ms - entry.changed_ms, entry.suspicion.trials
        if quarantined_ms < EARLY_TRIAL_MS:
            return Admission.REFUSED
        if self._all_ends_shared(entry.suspicion):
            due = trials == 0 or quarantined_ms >= TRIAL_AFTER_MS
        else:
            due = trials == 0 and quarantined_ms >= TRIAL_AFTER_MS
        return Admission.TRIAL if due else Admission.REFUSED

    def _all_ends_shared(self, suspicion: Suspicion) -> bool:
        """Return whether every end also counts against another quarantined content.

        Such a content may be innocent: it ran beside the one that crashed the endpoint, or the
        endpoints crash for a cause of their own, as after a faulty release.
        """
        others = {
            start
            for other in self.quarantined()
            if other.content != suspicion.content
            for start in other.ended
        }
        return others.issuperset(suspicion.ended)

    def changed_since(self, from_ms: int) -> list[Suspicion]:
        """Return gossiped suspicions that changed since `from_ms`, newest first."""
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.changed_ms >= from_ms and is_gossiped(entry.suspicion)
        ]
        fresh.sort(key=lambda entry: entry.changed_ms, reverse=True)
        return [entry.suspicion for entry in fresh]

    def with_age(self, suspicion: Suspicion, now_ms: int) -> Suspicion:
        """Return a copy with its current age, for a message to other nodes."""
        entry = self._entries.get(suspicion.content)
        return attrs.evolve(suspicion, age_ms=now_ms - entry.changed_ms if entry else 0)

    def quarantined(self) -> list[Suspicion]:
        """Return the suspicions that are quarantined."""
        return [suspicion for suspicion in self.all() if is_quarantined(suspicion)]

    def all(self) -> list[Suspicion]:
        """Return the suspicions of all contents."""
        return [entry.suspicion for entry in self._entries.values()]

    def expire(self, now_ms: int) -> list[Suspicion]:
        """Drop the suspicions whose retention is over, and return them."""
        old = [
            entry.suspicion
            for entry in self._entries.values()
            if now_ms - entry.changed_ms >= _retention_ms(entry.suspicion)
        ]
        self._drop(old)
        return old

    def _drop(self, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            del self._entries[suspicion.content]
            self.revision += 1


def _union(known: Suspicion, received: Suspicion) -> Suspicion:
    return Suspicion(
        known.content,
        tuple(sorted({*known.ended, *received.ended})[:MAX_ENDED_STARTS]),
        known.ran_well or received.ran_well,
        max(known.trials, received.trials),
    )


def _eviction_key(entry: _Entry) -> tuple[bool, int, int]:
    suspicion = entry.suspicion
    return is_quarantined(suspicion), len(suspicion.ended), entry.changed_ms


def _retention_ms(suspicion: Suspicion) -> int:
    return KEEP_QUARANTINED_MS if is_quarantined(suspicion) else KEEP_SUSPECT_MS
