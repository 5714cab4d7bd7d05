"""Decides at which service and version a resumed stream continues, from what nodes know of it."""

from collections.abc import Iterable

import attrs

from saffronworks.forwarding.messages import Refuse
from saffronworks.forwarding.origins.messages import OriginAnswer
from saffronworks.forwarding.origins.records import Origin
from saffronworks.forwarding.routing import Route

__all__ = [
    "ORIGIN_AMBIGUOUS",
    "ORIGIN_UNKNOWN",
    "SERVICE_REMOVED",
    "Resolution",
    "Resolved",
    "candidates_of",
    "is_settled",
    "resolve",
]

# Refusals of a stream that is resumed. Nothing was executed.
ORIGIN_UNKNOWN = Refuse(503, "stream-origin-unknown", not_run=True)
ORIGIN_AMBIGUOUS = Refuse(503, "stream-origin-ambiguous", not_run=True)
ORIGIN_UNCERTAIN = Refuse(503, "stream-origin-uncertain", not_run=True)
SERVICE_REMOVED = Refuse(503, "stream-service-removed", not_run=True)


@attrs.frozen
class Resolved:
    """Where a stream continues. `by_record`: its origin is recorded, not the only one possible."""

    origin: Origin
    by_record: bool
    age_ms: int = 0


Resolution = Resolved | Refuse


def is_settled(answers: Iterable[OriginAnswer]) -> bool:
    """Return whether an answer has the stream's record, so that no other one is needed."""
    return any(answer.records or answer.ambiguous for answer in answers)


def candidates_of(answers: Iterable[OriginAnswer]) -> set[Origin]:
    """Return what may have begun a stream without a record, by all answers."""
    return {origin for answer in answers for origin in answer.candidates}


def resolve(answers: list[OriginAnswer], route: Route) -> Resolution:
    """Return where a stream continues; `answers` are those of this node and of holders.

    Without a record the stream continues only if a single origin is possible. Any endpoint would
    accept it, and its answer would join events of two versions. Its endpoint was listed before it
    began, so only what was read from the store since the caller returned can name all candidates.
    """
    found = {origin for answer in answers for origin in answer.records}
    if len(found) > 1 or any(answer.ambiguous for answer in answers):
        settles_in_ms = max(answer.settles_in_ms for answer in answers)
        if settles_in_ms:
            return attrs.evolve(ORIGIN_UNCERTAIN, not_before_ms=settles_in_ms)
        return ORIGIN_AMBIGUOUS
    if found:
        age_ms = max(answer.age_ms for answer in answers)
        return _check_route(Resolved(found.pop(), by_record=True, age_ms=age_ms), route)
    candidates = candidates_of(answers)
    if len(candidates) != 1 or not any(answer.names_all_candidates for answer in answers):
        return ORIGIN_UNKNOWN
    return _check_route(Resolved(candidates.pop(), by_record=False), route)


def _check_route(resolved: Resolved, route: Route) -> Resolution:
    """Refuse a stream whose service the configuration no longer allows for its route."""
    if any(split.service == resolved.origin.service for split in route.splits):
        return resolved
    return SERVICE_REMOVED
