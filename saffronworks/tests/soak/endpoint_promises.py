"""What must hold of what endpoints are sent; each check returns its findings in words."""

from saffronworks.tests.soak.callers import DEADLY_KIND, ONCE_KINDS, PART_KIND
from saffronworks.tests.soak.disturbances import CONTACT_MS, excused, undisturbed, was_silent
from saffronworks.tests.soak.records import Asked, Need, Records

__all__ = [
    "DRAIN_MS",
    "GONE_MS",
    "deadly_reach_few",
    "draining_get_nothing",
    "endless_answers_end",
    "leaving_get_nothing",
    "limits_hold",
    "parts_reach_few",
    "pauses_hold",
    "pauses_lose_nothing",
]

# As the settings of the nodes say.
DRAIN_MS = 2000
# A caller's close is seen, and its run ended, within this time.
GONE_MS = 1000
# After so many ends, and the time to tell all nodes, a content or part is sent on so often at most.
DEADLY_ENDS, PART_ENDS, MOST_DEADLY_SENDS = 3, 5, 3
# What an endpoint that names a limit tolerates of nodes that were told so long before: in any 4 s,
# half as much again and 5 requests.
TOLD_MS, LIMIT_WINDOW_MS = 500, 4000
LIMIT_FACTOR, LIMIT_MORE = 1.5, 5
# An endpoint that asked a node for a pause bears so many of its requests from so long after on.
MAX_IN_PAUSE, PAUSE_GRACE_MS = 2, 500


def endless_answers_end(records: Records) -> list[str]:
    """A node closes the connection of an answer without end by the deadline of its request."""
    found = []
    for answer in records.endless:
        asked = records.asked[answer.request_id]
        due_ms = asked.at_ms + asked.deadline_ms + GONE_MS
        late = answer.closed_ms is None or answer.closed_ms > due_ms
        if was_silent(records, answer.endpoint, asked.at_ms, due_ms):
            continue
        # A close does not reach an endpoint over a path that is cut.
        if late and undisturbed(records, asked.node, asked.at_ms, due_ms, "path"):
            found.append(f"{answer.request_id} was read on from {answer.endpoint}")
    return found


def pauses_lose_nothing(records: Records) -> list[str]:
    """What an endpoint ran to its end after a pause reaches the caller that waited for it."""
    found = []
    for run in records.ran:
        asked = records.asked[run.request_id]
        if run.request_id not in records.paused or not run.whole or asked.kind not in ONCE_KINDS:
            continue
        lost = asked.outcome == "broken" or asked.status // 100 == 5
        if was_silent(records, run.endpoint, asked.at_ms, asked.ended_ms):
            continue
        ways = ("caller", "endpoint")
        if lost and undisturbed(records, asked.node, asked.at_ms, asked.ended_ms, *ways):
            found.append(f"{asked.request_id} was lost in a pause of {run.endpoint}")
    return found


def leaving_get_nothing(records: Records) -> list[str]:
    found = []
    for run in records.ran:
        left_ms = records.left_ms.get(run.endpoint)
        asked = records.asked[run.request_id]
        if left_ms is None or (run.arrived_ms or run.at_ms) <= left_ms + DRAIN_MS:
            continue
        if undisturbed(records, asked.node, left_ms, run.at_ms, "store"):
            found.append(f"{run.request_id} reached {run.endpoint} long after it left")
    return found


def deadly_reach_few(records: Records) -> list[str]:
    """Sends of a deadly content by nodes in touch, later than these have to know of its ends."""
    return _late_sends(records, DEADLY_KIND, records.deadly_ends_ms, DEADLY_ENDS)


def parts_reach_few(records: Records) -> list[str]:
    """The same of different requests with a part that ends endpoints."""
    return _late_sends(records, PART_KIND, records.part_ends_ms, PART_ENDS)


def _late_sends(records: Records, kind: str, ends_ms: list[float], after_end: int) -> list[str]:
    if len(ends_ms) < after_end:
        return []
    from_ms = ends_ms[after_end - 1] + CONTACT_MS
    late = []
    for _, request_id, at_ms in records.arrived:
        asked = records.asked[request_id]
        if asked.kind != kind or at_ms <= from_ms:
            continue
        if undisturbed(records, asked.node, at_ms, at_ms):
            late.append(request_id)
    return [f"sent on as {late}, {len(ends_ms)} ends"] if len(late) > MOST_DEADLY_SENDS else []


def limits_hold(records: Records) -> list[str]:
    """From `CONTACT_MS` after an endpoint first named a limit, nodes keep it together."""
    found = []
    for need in records.needs:
        counted = _sent_by_told(records, need)
        most = max((_within(counted, at_ms, LIMIT_WINDOW_MS) for at_ms in counted), default=0)
        if most > LIMIT_FACTOR * need.per_s * LIMIT_WINDOW_MS / 1000 + LIMIT_MORE:
            found.append(f"{need.endpoint} got {most} requests in 4 s, it takes {need.per_s} a s")
    return found


def _within(times_ms: list[float], from_ms: float, window_ms: float) -> int:
    return sum(from_ms <= at_ms < from_ms + window_ms for at_ms in times_ms)


def _sent_by_told(records: Records, need: Need) -> list[float]:
    """When requests reached an endpoint from nodes in touch that had passed its limit on before."""
    told_ms: dict[int, float] = {}
    named_ms = float("inf")
    counted = []
    for reached in records.reached:
        asked = records.asked[reached.request_id]
        if reached.endpoint != need.endpoint or not need.from_ms <= reached.at_ms < need.to_ms:
            continue
        named_ms = min(named_ms, asked.ended_ms or float("inf"))
        since_ms = told_ms.get(asked.node, float("inf"))
        late = reached.at_ms >= max(named_ms + CONTACT_MS, since_ms + TOLD_MS)
        window_ms = max(since_ms, reached.at_ms - LIMIT_WINDOW_MS)
        if late and undisturbed(records, asked.node, window_ms, reached.at_ms):
            counted.append(reached.at_ms)
        if asked.outcome == "answered":
            told_ms[asked.node] = min(since_ms, asked.ended_ms)
    return counted


def draining_get_nothing(records: Records) -> list[str]:
    """What is sent long after its node passed on that the endpoint drains does not reach it."""
    told: dict[tuple[int, str], list[Asked]] = {}
    for asked in records.asked.values():
        if asked.drains_at and asked.outcome == "answered":
            told.setdefault((asked.node, asked.drains_at), []).append(asked)
    found = []
    for reached in records.reached:
        asked = records.asked[reached.request_id]
        late = [
            asked.at_ms - before.ended_ms
            for before in told.get((asked.node, reached.endpoint), [])
            if asked.at_ms > before.ended_ms + DRAIN_MS
            and not excused(records, asked.node, reached.endpoint, before.at_ms, reached.at_ms)
        ]
        if late:
            found.append(f"{asked.request_id} reached {reached.endpoint} {max(late):.0f} ms later")
    return found


def pauses_hold(records: Records) -> list[str]:
    """Few requests of a node reach an endpoint in the pause that it asked that node for."""
    found = []
    for rejected in records.rejected:
        from_ms = rejected.at_ms + PAUSE_GRACE_MS
        until_ms = rejected.at_ms + rejected.pause_ms
        in_pause = [
            reached.request_id
            for reached in records.reached
            if reached.endpoint == rejected.endpoint
            and records.asked[reached.request_id].node == rejected.node
            and from_ms <= reached.at_ms < until_ms
            and not excused(
                records, rejected.node, rejected.endpoint, rejected.at_ms, reached.at_ms
            )
        ]
        calm = undisturbed(records, rejected.node, rejected.at_ms, until_ms, "endpoint")
        if len(in_pause) > MAX_IN_PAUSE and calm:
            found.append(f"{rejected.endpoint} got {in_pause} of node {rejected.node} in its pause")
    return found
