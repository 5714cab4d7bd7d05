"""Messages between entry nodes and the node that plans the decode memory of a service.

Times are durations, since clocks of different VMs differ.
"""

import attrs

from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.starts import StartId
from saffronworks.wire import Age, Independent, Size, Wait, Whole

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
    """Entry to planner: request memory for a generation; resent until granted or rejected.

    A grant after `in_time_ms` misses the target, and after `patience_ms` the entry node gives up.
    `avoid` names endpoints that had no room for the request or failed it, `broken` those that
    failed it. `returned` marks a retry of a refused caller, or of an answer that has started.
    `priority` is the combined rank, lower first. `organisation` is empty and `target_ms` 0 if
    unknown, as from a node of the previous release.
    """

    request_id: str
    reply_to: str
    service: str
    prompt_tokens: Size
    likely_tokens: Size
    most_tokens: Size
    waited_ms: Age
    in_time_ms: Whole
    patience_ms: Size
    returned: bool
    avoid: Independent[StartId] = ()
    broken: Independent[StartId] = ()
    priority: Whole = DEFAULT_RANK
    organisation: str = ""
    target_ms: Size = 0


@attrs.frozen
class MemoryGrant:
    """Planner to entry: reserve memory at `instance`, and have `reader` prefill the prompt.

    Both are the same endpoint for a local prefill.
    """

    request_id: str
    instance: StartId
    reader: StartId | None = None


@attrs.frozen
class MemoryQueued:
    """Planner to entry: the request is queued, and the planner is alive."""

    request_id: str


@attrs.frozen
class MemoryDirect:
    """Planner to entry: choose an endpoint without the planner, whose plan is not complete."""

    request_id: str


@attrs.frozen
class MemoryRefusal:
    """Planner to entry: no memory in time; the caller may retry after `retry_after_ms`."""

    request_id: str
    retry_after_ms: Wait


@attrs.frozen
class MemoryRelease:
    """Entry to planner: a run has ended, or its request was given up.

    Without a run, `request_id` is empty. A streamed run made `answer_tokens` in `stream_ms`.
    `broken` names the endpoints that failed the request. `length_tokens` is the length of a
    complete answer, else 0.
    """

    request_id: str
    service: str
    answer_tokens: Size = 0
    stream_ms: Size = 0
    broken: Independent[StartId] = ()
    length_tokens: Size = 0


@attrs.frozen
class ReadingEnded:
    """Entry to planner: `reader` has prefilled the prompt, or will not if `whole` is false."""

    request_id: str
    service: str
    reader: StartId
    whole: bool


@attrs.frozen
class LiveRun:
    """A live run of an entry node.

    `made_tokens` of its answer have arrived, the last of them `quiet_ms` ago, less than
    the planner's limit for stalled runs if the node's own path may be the cause.
    """

    request_id: str
    instance: StartId
    prompt_tokens: Size
    likely_tokens: Size
    most_tokens: Size
    age_ms: Age
    made_tokens: Size = 0
    quiet_ms: Age = 0
    priority: Whole = DEFAULT_RANK
    organisation: str = ""


@attrs.frozen
class MemoryReport:
    """Entry to planner: all live runs of a service on this node, planned or not."""

    reply_to: str
    service: str
    runs: Independent[LiveRun]


@attrs.frozen
class ReportWanted:
    """Planner to entry: a new plan starts; send a report at once, even if it has no runs."""

    service: str
    reply_to: str


# The messages that planners receive from entry nodes, and entry nodes from planners.
PLANNER_MESSAGES = (MemoryAsk, MemoryRelease, MemoryReport, ReadingEnded)
ENTRY_MESSAGES = (MemoryGrant, MemoryQueued, MemoryDirect, MemoryRefusal, ReportWanted)
