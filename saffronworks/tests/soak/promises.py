"""What must hold of everything that was seen; each check returns its findings in words."""

from saffronworks.tests.soak.answer_lengths import LONG_KINDS, LONG_SERVICE
from saffronworks.tests.soak.callers import (
    DEADLY_KIND,
    ONCE_KINDS,
    PART_KIND,
    STREAM_KINDS,
)
from saffronworks.tests.soak.close_promises import closes_lose_few
from saffronworks.tests.soak.disturbances import stops, undisturbed, was_silent
from saffronworks.tests.soak.endpoint_promises import (
    GONE_MS,
    deadly_reach_few,
    draining_get_nothing,
    endless_answers_end,
    leaving_get_nothing,
    limits_hold,
    parts_reach_few,
    pauses_hold,
    pauses_lose_nothing,
)
from saffronworks.tests.soak.organisations import HOT, quotas_hold
from saffronworks.tests.soak.processes import RETRY_SLACK
from saffronworks.tests.soak.records import Asked, ClosedEarly, Partition, Records
from saffronworks.tests.soak.stop_promises import (
    continued_alone,
    stops_end_in_grace,
    stops_lose_nothing,
)
from saffronworks.tests.soak.stream_promises import (
    is_whole_stream,
    one_version_each,
    resumed_go_on,
)
from saffronworks.tests.soak.surges import closed_unread, surged_serve

__all__ = ["check_all"]

NOT_RUN_STATUSES = (408, 421, 429, 503)
# As the settings of the nodes say.
CONFIG_APPLY_MS = 2000
RETRY_RATIO, RETRY_WINDOW_MS = 0.2, 10_000
# A scheduler's pause and the way through two proxies.
SLACK_MS = 500
OVER_QUOTA, UNKNOWN_KEY = 429, 401
# From so long after nodes lost their paths to endpoints on, they serve at least this share of what
# the others do, or fail at most 10 and one in 50 requests.
PARTITION_GRACE_MS = 1000
PARTITION_SHARE = 0.9
MAX_PARTITION_FAILURES, FAILURES_PER_REQUEST = 10, 1 / 50
# Refusals by what endpoints allow all nodes, or one node, to send.
ENDPOINT_REFUSALS = (b"endpoints-limited", b"endpoints-paused")
# Of the requests of the calm end, at least this share is served.
CALM_SHARE = 0.9
# An answer is read late by what its processes were late in this time before.
LATE_WITHIN_MS = 1000


def check_all(records: Records) -> list[str]:
    """All findings of a soak."""
    checks = (
        _answers_are_whole,
        _once_at_most,
        _refusals_are_true,
        _answered_in_time,
        _gone_work_ends,
        leaving_get_nothing,
        _newest_version,
        _extra_sends_bounded,
        _planned_stops_cut_nothing,
        _calm_again,
        deadly_reach_few,
        parts_reach_few,
        quotas_hold,
        _taken_keys_reach_none,
        limits_hold,
        draining_get_nothing,
        pauses_hold,
        _partitioned_serve,
        _surged_serve,
        one_version_each,
        _resumed_go_on,
        _kept_connections_stay,
        endless_answers_end,
        pauses_lose_nothing,
        stops_end_in_grace,
        stops_lose_nothing,
        continued_alone,
        closes_lose_few,
    )
    found = [f"wrong: {text}" for text in records.wrong]
    for check in checks:
        name = check.__name__.removeprefix("_")
        found += [f"{name}: {finding}" for finding in check(records)]
    return found


def _kept_connections_stay(records: Records) -> list[str]:
    """A node closes no connection within the rest that the idle timeout allows its caller.

    For the node the rest began earlier, by what the soak was late in reading its answer.
    """
    return [
        f"node {early.node} closed a connection after {early.found_ms - early.rested_from_ms:.0f} "
        f"ms or less, {early.allowed_ms:.0f} are allowed"
        for early in records.closed_early
        if undisturbed(records, early.node, early.rested_from_ms, early.found_ms, "caller", "store")
        and not stops(records, early.node, early.rested_from_ms, early.found_ms)
        and early.found_ms - early.rested_from_ms + _late_ms(records, early) <= early.allowed_ms
    ]


def _late_ms(records: Records, early: ClosedEarly) -> float:
    """Return how late the processes that carried the answer were right before the rest."""
    to_ms = early.rested_from_ms
    from_ms = to_ms - LATE_WITHIN_MS
    return sum(
        min(lag.woke_ms, to_ms) - max(lag.due_ms, from_ms)
        for lag in records.lags
        if early.node in lag.nodes and lag.due_ms < to_ms and lag.woke_ms > from_ms
    )


def _answers_are_whole(records: Records) -> list[str]:
    found = []
    for asked in records.asked.values():
        if asked.outcome != "answered" or asked.status // 100 != 2:
            continue
        streams = asked.kind in STREAM_KINDS
        whole = is_whole_stream(asked) if streams else asked.body == asked.request_id.encode()
        if not whole or not asked.signed:
            found.append(f"{asked.request_id} signed={asked.signed} body={asked.body!r}")
    return found


def _runs(records: Records) -> dict[str, int]:
    runs: dict[str, int] = {}
    for run in records.ran:
        runs[run.request_id] = runs.get(run.request_id, 0) + 1
    return runs


def _once_at_most(records: Records) -> list[str]:
    return [
        f"{request_id} ran {count} times"
        for request_id, count in _runs(records).items()
        if count > 1 and records.asked[request_id].kind in ONCE_KINDS
    ]


def _refusals_are_true(records: Records) -> list[str]:
    runs = _runs(records)
    return [
        f"{asked.request_id} was told {asked.status} and ran"
        for asked in records.asked.values()
        if asked.outcome == "answered"
        and asked.status in NOT_RUN_STATUSES
        and asked.kind in ONCE_KINDS
        and runs.get(asked.request_id)
    ]


def _answered_in_time(records: Records) -> list[str]:
    """An undisturbed node ends every request by its deadline, with an answer or a close."""
    found = []
    for asked in records.asked.values():
        due_ms = asked.at_ms + asked.deadline_ms + SLACK_MS
        waited = asked.ended_ms or float("inf")
        if waited > due_ms and undisturbed(records, asked.node, asked.at_ms, due_ms, "caller"):
            found.append(f"{asked.request_id} got nothing until {asked.deadline_ms} ms")
    return found


def _gone_work_ends(records: Records) -> list[str]:
    found = []
    for run in records.ran:
        asked = records.asked[run.request_id]
        if asked.outcome != "left":
            continue
        due_ms = asked.ended_ms + GONE_MS
        late = run.ended_ms is None or run.ended_ms > due_ms
        if was_silent(records, run.endpoint, asked.at_ms, due_ms):
            continue
        if late and undisturbed(records, asked.node, asked.at_ms, due_ms, "caller", "endpoint"):
            times = f"ran {run.at_ms:.0f} to {run.ended_ms or -1:.0f}, left at {asked.ended_ms:.0f}"
            found.append(
                f"{run.request_id} runs on at {run.endpoint} though its caller left: {times}"
            )
    return found


def _newest_version(records: Records) -> list[str]:
    """The service that ran a moved request tells the version that its node went by."""
    found = []
    for run in records.ran:
        asked = records.asked[run.request_id]
        if asked.kind != "moved":
            continue
        allowed = _services_allowed(records, asked)
        if run.service not in allowed:
            found.append(f"{run.request_id} went to {run.service}, not {sorted(allowed)}")
    return found


def _services_allowed(records: Records, asked: Asked) -> set[str]:
    """Of the versions in force or coming into force while the request was under way."""
    allowed = set()
    for index, (taken_ms, service) in enumerate(records.versions):
        newer = records.versions[index + 1 :]
        if taken_ms > asked.ended_ms:
            continue
        over_ms = newer[0][0] + CONFIG_APPLY_MS if newer else float("inf")
        in_touch = newer and undisturbed(records, asked.node, newer[0][0], asked.at_ms, "store")
        if asked.at_ms <= over_ms or not in_touch:
            allowed.add(service)
    return allowed


def _extra_sends_bounded(records: Records) -> list[str]:
    found = []
    for service in {service for service, _, _ in records.arrived}:
        seen: set[str] = set()
        extras = []
        for arrived_service, request_id, at_ms in records.arrived:
            if arrived_service == service and request_id in seen:
                extras.append(at_ms)
            seen.add(request_id)
        requests = [
            asked.at_ms for asked in records.asked.values() if _may_go_to(asked.kind, service)
        ]
        for begin_ms in extras:
            end_ms = begin_ms + RETRY_WINDOW_MS
            count = sum(begin_ms <= at_ms < end_ms for at_ms in extras)
            base = sum(begin_ms <= at_ms < end_ms for at_ms in requests)
            if count > RETRY_RATIO * base + RETRY_SLACK:
                found.append(f"{service}: {count} extra sends beside {base} requests")
                break
    return found


def _may_go_to(kind: str, service: str) -> bool:
    if service == LONG_SERVICE or kind in LONG_KINDS:
        return service == LONG_SERVICE and kind in LONG_KINDS
    return (kind in (*STREAM_KINDS, DEADLY_KIND)) == (service == "llm")


def _planned_stops_cut_nothing(records: Records) -> list[str]:
    """A stop without other trouble breaks no request that its node had taken."""
    found = []
    for node, stopped_ms, until_ms in records.stops:
        for asked in records.asked.values():
            if asked.kind in LONG_KINDS:
                # Their answers may outlast the grace; `stops_lose_nothing` tells which may be cut.
                continue
            during = asked.node == node and asked.at_ms < until_ms and asked.ended_ms > stopped_ms
            calm = undisturbed(
                records, node, asked.at_ms, asked.ended_ms, "caller", "endpoint", planned=False
            )
            if during and calm and asked.outcome == "broken" and _began_before_end(asked, records):
                found.append(f"{asked.request_id} broke while {node} stopped: {asked.problem}")
    return found


def _began_before_end(asked: Asked, records: Records) -> bool:
    """Whether an endpoint saw the request and did nothing wrong by itself."""
    runs = [run for run in records.ran if run.request_id == asked.request_id]
    return bool(runs) and all(run.whole for run in runs)


def _calm_again(records: Records) -> list[str]:
    late = [
        asked
        for asked in records.asked.values()
        if asked.at_ms >= records.calm_from_ms and asked.kind not in (DEADLY_KIND, PART_KIND)
    ]
    judged = [
        asked for asked in late if asked.outcome != "left" and not _refused_rightly(asked, records)
    ]
    served = sum(asked.outcome == "answered" and asked.status == 200 for asked in judged)
    if judged and served >= CALM_SHARE * len(judged):
        return []
    return [f"{served} of {len(judged)} requests served after the last fault"]


def _refused_rightly(asked: Asked, records: Records) -> bool:
    """Beyond the quota of an organisation that asks for too much, or with a key taken away."""
    if asked.status == OVER_QUOTA:
        return asked.organisation == HOT
    return asked.status == UNKNOWN_KEY and bool(_taken_since(asked, records, asked.at_ms))


def _taken_since(asked: Asked, records: Records, until_ms: float) -> list[float]:
    """When its key was taken away, if it was not given back until then."""
    since: list[float] = []
    for at_ms, taken_away in records.taken_away:
        if at_ms <= until_ms:
            since = [*since, at_ms] if asked.key in taken_away else []
    return since[:1]


def _taken_keys_reach_none(records: Records) -> list[str]:
    """A request with a key that was taken away long before reaches no endpoint."""
    found = []
    for _, request_id, at_ms in records.arrived:
        asked = records.asked[request_id]
        for since_ms in _taken_since(asked, records, at_ms):
            late = asked.at_ms > since_ms + CONFIG_APPLY_MS
            if late and undisturbed(records, asked.node, since_ms, at_ms, "store"):
                found.append(f"{request_id} was sent on {at_ms - since_ms:.0f} ms after that")
    return found


def _resumed_go_on(records: Records) -> list[str]:
    ways = ("caller", "store", "endpoint")
    judged = [
        asked
        for asked in records.asked.values()
        if asked.outcome == "answered" or asked.status
        if undisturbed(records, asked.node, asked.at_ms, asked.ended_ms, *ways)
    ]
    return resumed_go_on(records, judged)


def _has_working_node(records: Records, cut: Partition) -> bool:
    """Whether a node had paths to endpoints, and nothing else struck it, during the whole cut."""
    nodes = {asked.node for asked in records.asked.values()} - cut.nodes
    for other in records.partitions:
        if other.from_ms < cut.to_ms and cut.from_ms < other.to_ms:
            nodes -= other.nodes
    return any(undisturbed(records, node, cut.from_ms, cut.to_ms) for node in nodes)


def _surged_serve(records: Records) -> list[str]:
    return surged_serve(records, undisturbed)


def _partitioned_serve(records: Records) -> list[str]:
    """Nodes without paths to endpoints serve first attempts of callers through the others.

    Connections that an overloaded node closed unread tell nothing of its paths, nor does what a
    node refuses or closes in a planned stop.
    """
    found = []
    for cut in records.partitions:
        since_ms = cut.from_ms + PARTITION_GRACE_MS
        if not _has_working_node(records, cut):
            continue
        asked = [
            one
            for one in records.asked.values()
            if since_ms <= one.at_ms < cut.to_ms
            and one.outcome != "left"
            and one.status not in (OVER_QUOTA, UNKNOWN_KEY)
            and one.kind != DEADLY_KIND
            and not closed_unread(records, one)
            and not one.resumes
            and not any(reason in one.body for reason in ENDPOINT_REFUSALS)
            and undisturbed(records, one.node, one.at_ms, one.ended_ms, "caller", "store")
            and not stops(records, one.node, one.at_ms, one.ended_ms)
        ]
        near, others = [], []
        for one in asked:
            served = one.outcome == "answered" and one.status == 200
            (near if one.node in cut.nodes else others).append(served)
        failed = len(near) - sum(near)
        if not others or failed <= MAX_PARTITION_FAILURES + FAILURES_PER_REQUEST * len(near):
            continue
        if sum(near) / len(near) < PARTITION_SHARE * sum(others) / len(others):
            found.append(
                f"nodes {sorted(cut.nodes)} served {sum(near)} of {len(near)} from {since_ms:.0f} "
                f"to {cut.to_ms:.0f} ms, the others {sum(others)} of {len(others)}"
            )
    return found
