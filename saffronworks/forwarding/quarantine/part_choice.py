"""Decides which prompt parts explain the ends of endpoints; pure."""

from collections.abc import Iterable, Mapping

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine.messages import Suspicion
from saffronworks.forwarding.quarantine.tuning import (
    EARLY_TRIALS,
    FURTHER_PART_ENDS,
    MAX_PART_CANDIDATES,
    PART_ENDS_AT_TWO_TIMES,
    PART_ENDS_TO_QUARANTINE,
    PROVEN_PART_ENDS,
    SIMULTANEOUS_ENDS_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["Choice", "PartEnds", "choose_quarantined", "is_candidate"]


@attrs.frozen
class PartEnds:
    """A part, its position in prompts, and its ends since it was last known to be sound.

    `ended_ms`: time of each end. `contents`: for each end, the requests with the part that ran.
    `proven`: whether the part is known to have been sound before.
    """

    part: PartId
    depth: int
    ended_ms: Mapping[StartId, int]
    contents: tuple[frozenset[str], ...]
    proven: bool = False


@attrs.frozen
class Choice:
    """The parts to quarantine, each with the number of early trials that it may have.

    `explained`: quarantined contents that ran beside a quarantined part at all of their ends.
    """

    quarantined: dict[PartId, int] = attrs.Factory(dict)
    explained: set[ContentId] = attrs.Factory(set)


def is_candidate(part: PartEnds) -> bool:
    """Return whether a part has ends enough to be quarantined.

    If one content was at all of its ends, that content is quarantined instead of its parts.
    """
    is_enough = _are_enough(part.ended_ms.values(), part.proven)
    return is_enough and not frozenset.intersection(*part.contents)


def _are_enough(ended_ms: Iterable[int], proven: bool) -> bool:
    times_ms = sorted(ended_ms)
    separate = 1 + sum(
        later - earlier > SIMULTANEOUS_ENDS_MS
        for earlier, later in zip(times_ms, times_ms[1:], strict=False)
    )
    if proven:
        return separate >= PROVEN_PART_ENDS
    return separate >= PART_ENDS_TO_QUARANTINE or (
        separate > 1 and len(times_ms) >= PART_ENDS_AT_TWO_TIMES
    )


def choose_quarantined(parts: Iterable[PartEnds], contents: Iterable[Suspicion]) -> Choice:
    """Choose the parts to quarantine, given the quarantined contents.

    The part with the most ends explains them, so that they no longer count against others. Parts
    that were never sound come first: while all requests wait for the few endpoints that are back,
    common parts are at nearly every end. Among parts that were always together it is the last one
    in the prompt: more requests have the ones before it, and they show whether these are sound.
    """
    enough = sorted((part for part in parts if is_candidate(part)), key=_choice_key)
    candidates = enough[:MAX_PART_CANDIDATES]
    content_ends = [(content.content, frozenset(content.ended)) for content in contents]
    quarantined: dict[PartId, int] = {}
    explained: set[StartId] = set()
    for part in candidates:
        by_content = any(ended >= part.ended_ms.keys() for _, ended in content_ends)
        if by_content or any(_is_explained_by(part, other) for other in candidates):
            continue
        if _has_further_ends(part, explained):
            quarantined[part.part] = _count_early_trials(part, candidates)
            explained.update(part.ended_ms)
    beside = {content for content, ended in content_ends if explained >= ended}
    return Choice(quarantined, beside)


def _has_further_ends(part: PartEnds, explained: set[StartId]) -> bool:
    """Return whether a part has ends enough that the parts quarantined before do not explain."""
    rest = [ended_ms for start, ended_ms in part.ended_ms.items() if start not in explained]
    if part.proven or len(rest) == len(part.ended_ms):
        return _are_enough(rest, part.proven)
    return len(rest) >= FURTHER_PART_ENDS


def _is_explained_by(part: PartEnds, other: PartEnds) -> bool:
    """Return whether a later part that is no more trusted was at all ends of a part."""
    is_later = other.depth > part.depth and other.proven <= part.proven
    return is_later and other.ended_ms.keys() >= part.ended_ms.keys()


def _count_early_trials(part: PartEnds, candidates: Iterable[PartEnds]) -> int:
    """Return how many early trials a quarantined part may have, as it may be innocent."""
    if part.proven or _is_covered(part, candidates):
        return EARLY_TRIALS
    return 1


def _is_covered(part: PartEnds, candidates: Iterable[PartEnds]) -> bool:
    """Return whether several later parts together were at all ends of a part."""
    later = (other.ended_ms.keys() for other in candidates if other.depth > part.depth)
    return set().union(*later) >= part.ended_ms.keys()


def _choice_key(part: PartEnds) -> tuple[bool, int, int, PartId]:
    return part.proven, -len(part.ended_ms), -part.depth, part.part
