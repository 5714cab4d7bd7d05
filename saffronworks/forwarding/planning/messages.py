"""Messages between entry nodes and the node that plans the decode memory of a service.

Times are durations, since clocks of different VMs differ.
"""

import attrs

from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.starts import StartId

__all__ = [
    "ENTRY_MESSAGES",
    "PLANNER_MESSAGES",
    "LiveRun",
    "MemoryAsk",
    "MemoryDirect",
    "MemoryGrant",
    "MemoryQueued",
    "MemoryRefusal",
    "MemoryRelease",
    "MemoryReport",
    "ReadingEnded",
    "ReportWanted",
]


@attrs.frozen
class MemoryAsk:
    """Entry to planner: a generation wants memory. Sent again until it is granted or refused.

    `in_time_ms` is left until a grant comes too late for the target, `patience_ms` until the
    entry gives up; `avoid` names endpoints that had no room for it or failed it, `broken` the
    latter alone. `priority` is the combined rank, lower first; `organisation` is empty and
    `target_ms` 0 where unknown, as from a node of the release before.
    """

    request_id: str
    reply_to: str
    service: str
    prompt_tokens: int
    likely_tokens: int
    most_tokens: int
    waited_ms: int
    in_time_ms: int
    patience_ms: int
    returned: bool
    avoid: tuple[StartId, ...] = ()
    broken: tuple[StartId, ...] = ()
    priority: int = DEFAULT_RANK
    organisation: str = ""
    target_ms: int = 0


@attrs.frozen
class MemoryGrant:
    """Planner to entry: reserve at this endpoint now, and have the prompt read by `reader`.

    That may be the same endpoint.
    """

    request_id: str
    instance: StartId
    reader: StartId | None = None


@attrs.frozen
class MemoryQueued:
    """Planner to entry: wait; the planner lives."""

    request_id: str


@attrs.frozen
class MemoryDirect:
    """Planner to entry: ask the endpoints yourself, the plan is not whole yet."""

    request_id: str


@attrs.frozen
class MemoryRefusal:
    """Planner to entry: no memory in time; the caller may return after `retry_after_ms`."""

    request_id: str
    retry_after_ms: int


@attrs.frozen
class MemoryRelease:
    """Entry to planner: a run is over, or its request is given up.

    Of a run that was streamed: its tokens and how long they took. `broken` names the endpoints that
    failed the request; `length_tokens` is the length of an answer that came whole.
    """

    request_id: str
    service: str
    answer_tokens: int = 0
    stream_ms: int = 0
    broken: tuple[StartId, ...] = ()
    length_tokens: int = 0


@attrs.frozen
class ReadingEnded:
    """Entry to planner: `reader` has read the prompt, or (`whole` false) will not do so."""

    request_id: str
    service: str
    reader: StartId
    whole: bool


@attrs.frozen
class LiveRun:
    """One run that an entry node has under way.

    `made_tokens` came so far, the last of them `quiet_ms` ago.
    """

    request_id: str
    instance: StartId
    prompt_tokens: int
    likely_tokens: int
    most_tokens: int
    age_ms: int
    made_tokens: int = 0
    quiet_ms: int = 0
    priority: int = DEFAULT_RANK
    organisation: str = ""


@attrs.frozen
class MemoryReport:
    """Entry to planner: all runs that the node has under way, whoever granted them."""

    reply_to: str
    service: str
    runs: tuple[LiveRun, ...]


@attrs.frozen
class ReportWanted:
    """Planner to entry: tell me at once what runs, be it nothing. Its plan begins."""

    service: str
    reply_to: str


# What a planner hears of entry nodes, and what entry nodes hear of planners.
PLANNER_MESSAGES = (MemoryAsk, MemoryRelease, MemoryReport, ReadingEnded)
ENTRY_MESSAGES = (MemoryGrant, MemoryQueued, MemoryDirect, MemoryRefusal, ReportWanted)
