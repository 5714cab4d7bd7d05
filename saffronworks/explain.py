"""Explains requests from nodes' log lines: how each ended, and which wait or failure led there.

Lines of all nodes may be mixed, and other text may stand before them. Durations come from the
entry node's own steady clock (`waited_ms`), so clocks of VMs need not agree.
"""

import re
import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator

import attrs

__all__ = [
    "CauseRow",
    "LogLine",
    "RequestStory",
    "count_causes",
    "find_attempts",
    "read_lines",
    "read_stories",
]

# A value is one word, or a printed data class: a name and fields in brackets.
_PAIR = re.compile(r"(\w+)=(\w+\([^()]*\)|\S+)")
_EVENT = re.compile(r"\bevent=\S")
_WHOLE = re.compile(r"-?[0-9]{1,18}", re.ASCII)
_TIME = re.compile(r"time=(\S+ \S+)")

# From here on a status tells that the endpoint failed the request.
FAILURE_STATUS = 400

# What a request waits for after each command of a generation that is logged; the reservation
# follows the planner's answer without a line of its own.
_PLACE = "place in memory"
_WAITS = {
    "AskPlanner": _PLACE,
    "ReadPrompt": "reading of the prompt",
    "OpenStream": "first event",
}


@attrs.frozen
class LogLine:
    """One decision or event: its key=value pairs, and when it was written by the VM's own clock."""

    time: str
    event: str
    pairs: dict[str, str]

    def number(self, key: str) -> int:
        """A whole number of the line; 0 where it has none."""
        value = self.pairs.get(key, "")
        return int(value) if _WHOLE.fullmatch(value) else 0


@attrs.frozen
class RequestStory:
    """All that logs tell of one request; `outcome` and `cause` say how it ended and why."""

    request_id: str
    lines: tuple[LogLine, ...]

    @property
    def priority(self) -> str:
        """The rank by which the planner ordered it, lower first; empty if no planner told it."""
        return next((line.pairs["priority"] for line in self.lines if "priority" in line.pairs), "")

    @property
    def first_request(self) -> str:
        """The id of the request that began its stream; its own one unless it resumes a stream."""
        named = (line.pairs.get("first_request", "None") for line in self.lines)
        return next((name for name in named if name != "None"), self.request_id)

    @property
    def waits_ms(self) -> dict[str, int]:
        """How long a generation waited for each thing before its first event."""
        waits: dict[str, int] = defaultdict(int)
        steps = [line for line in self.lines if line.event == "decide"]
        for step, following in zip(steps, steps[1:], strict=False):
            name = _WAITS.get(step.pairs.get("do", ""))
            if name is not None:
                waits[name] += following.number("waited_ms") - step.number("waited_ms")
        return dict(waits)

    @property
    def outcome(self) -> str:
        """One of: in time, late, failed, refused, cut, caller gone, no end."""
        answered = self._last("answered")
        if answered is not None:
            if answered.number("status") >= FAILURE_STATUS:
                return "failed"
            reached_ms = answered.number("first_ms") or answered.number("took_ms")
            return "late" if reached_ms > answered.number("target_ms") else "in time"
        for event, outcome in (
            ("refuse", "refused"),
            ("cut", "cut"),
            ("caller_gone", "caller gone"),
        ):
            if self._last(event) is not None:
                return outcome
        return "no end"

    @property
    def excess(self) -> int | None:
        """How many shares its organisation had when the planner decided; None if not told."""
        plan = self._last("plan")
        return plan.number("excess") if plan is not None and "excess" in plan.pairs else None

    @property
    def organisation(self) -> str:
        """The organisation that the planner's line names; empty where it names none."""
        plan = self._last("plan")
        return plan.pairs.get("organisation", "") if plan is not None else ""

    @property
    def cause(self) -> str:
        """Why it was not served in time; empty where it was."""
        match self.outcome:
            case "in time":
                return ""
            case "refused":
                return self._refusal_cause()
            case "no end":
                return "its node ended or stands still"
            case "cut" if self._cut_at_stop:
                return f"its node stopped, begun {self._begun}"
        return self._failure() or self._longest_wait()

    @property
    def _cut_at_stop(self) -> bool:
        cut = self._last("cut")
        return cut is not None and cut.pairs.get("reason") == "stopping"

    @property
    def _begun(self) -> str:
        """When a request was begun whose node stops, and by what the node decided to begin it."""
        decision = self._last("drain_decision")
        return f"while draining, by {decision.pairs.get('by')}" if decision else "before"

    def _refusal_cause(self) -> str:
        refusal, plan = self._last("refuse"), self._last("plan")
        assert refusal is not None
        reason = refusal.pairs.get("reason", "unknown")
        if reason == "memory-full":
            return f"{reason}, {'planned' if plan else 'without a planner'}{self._beyond_share}"
        return f"{reason}{self._failure(' after ')}"

    def _failure(self, before: str = "") -> str:
        failed = self._last("endpoint_failed")
        if failed is None:
            return ""
        what = failed.pairs.get("cause") or f"status {failed.pairs.get('status')}"
        return f"{before}endpoint failed: {failed.pairs.get('call', 'answer')} {what}"

    def _longest_wait(self) -> str:
        waits = self.waits_ms
        if not waits:
            return "caller left" if self.outcome == "caller gone" else "endpoint's own time"
        longest = max(waits, key=lambda name: waits[name])
        return f"waited for {longest}{self._beyond_share if longest == _PLACE else ''}"

    @property
    def _beyond_share(self) -> str:
        return ", organisation beyond its share" if self.excess else ""

    def _last(self, event: str) -> LogLine | None:
        return next((line for line in reversed(self.lines) if line.event == event), None)


@attrs.frozen
class CauseRow:
    """Requests that ended alike for the same cause; the wait is the median of their longest."""

    outcome: str
    cause: str
    requests: int
    longest_wait_ms: int
    example: str


def read_stories(lines: Iterable[str]) -> dict[str, RequestStory]:
    """The story of each request that entry nodes logged, by its id."""
    found: dict[str, list[LogLine]] = defaultdict(list)
    for line in read_lines(lines):
        if "request" in line.pairs:
            found[line.pairs["request"]].append(line)
    return {name: RequestStory(name, tuple(told)) for name, told in found.items()}


def find_attempts(stories: dict[str, RequestStory], request_id: str) -> list[str]:
    """The ids of all attempts at the stream of a request, in the order of their first lines."""
    first = stories[request_id].first_request
    attempts = [story for story in stories.values() if story.first_request == first]
    return [story.request_id for story in sorted(attempts, key=lambda story: story.lines[0].time)]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """The lines that tell of an event; other text is passed over."""
    for line in lines:
        start = _EVENT.search(line)
        if start is None:
            continue
        time, pairs = _TIME.search(line), dict(_PAIR.findall(line[start.start() :]))
        yield LogLine(time[1] if time else "", pairs["event"], pairs)


def count_causes(stories: Iterable[RequestStory]) -> list[CauseRow]:
    """How often each cause kept requests from being served in time, the most frequent first."""
    groups: dict[tuple[str, str], list[RequestStory]] = defaultdict(list)
    for story in stories:
        groups[story.outcome, story.cause].append(story)
    rows = [
        CauseRow(
            outcome,
            cause,
            len(group),
            int(statistics.median(max(story.waits_ms.values(), default=0) for story in group)),
            group[0].request_id,
        )
        for (outcome, cause), group in groups.items()
    ]
    return sorted(rows, key=lambda row: (-row.requests, row.outcome, row.cause))
