"""What must hold of nodes that stop as planned, and of requests that continue elsewhere."""

from saffronworks.tests.soak.answer_lengths import LONG_TIMEOUT_KINDS, PAGE_KINDS
from saffronworks.tests.soak.disturbances import CONTACT_MS, undisturbed
from saffronworks.tests.soak.processes import GRACE_S
from saffronworks.tests.soak.records import ALL_NODES, Asked, Ran, Records, Terminated
from saffronworks.tests.soak.surges import SURGE_KIND

__all__ = [
    "continued_alone",
    "path_struck",
    "restarted",
    "stops_end_in_grace",
    "stops_lose_nothing",
]

GRACE_MS = GRACE_S * 1000
# What is sent so long after SIGTERM has no excuse.
EXCUSED_MS = 3000
# A node may close a request that it has not passed on so soon after its last byte was sent: 200 ms,
# and what the soak's own process may delay it without counting as stalled. An overloaded node may
# close new connections unread at any time.
LOSS_SLACK_MS = 450
# An answer that an endpoint was still at work on in the last sixth of the grace period is excused.
LAST_SHARE = 1 / 6
# A stop may break requests until so long after the end of the grace period.
AFTER_GRACE_MS = 1000
# A request ends at its deadline or timeout with so much variation.
TIMEOUT_SLACK_MS = 100
# A previous endpoint may work on a request that continues elsewhere for so long.
CONTINUED_MS = 400
# Pages that may be repeated.
REPEATED_KINDS = ("again", PAGE_KINDS[0], SURGE_KIND)


def stops_end_in_grace(records: Records) -> list[str]:
    """A process has ended when the grace period since its SIGTERM was sent is over."""
    return [
        f"node {stop.node} ran on at the end of its grace, SIGTERM at {stop.sent_ms:.0f}, "
        f"extra signal {stop.extra}"
        for stop in records.terminated
        if stop.outlived and not _suspended(records, stop)
    ]


def _suspended(records: Records, stop: Terminated) -> bool:
    """Return whether another fault, or a stall of the soak, suspended a stopping process."""
    return any(
        trouble != stop.freeze
        and trouble.node in (stop.node, ALL_NODES)
        and trouble.what == "node"
        and trouble.from_ms <= stop.ended_ms
        and trouble.to_ms >= stop.sent_ms
        for trouble in records.disturbances
    )


def stops_lose_nothing(records: Records) -> list[str]:
    """What a node that stops has passed on or held gets its answer, as the rule LOST says."""
    found = []
    passed_on = {reached.request_id for reached in records.reached}
    for stop in records.terminated:
        for asked in records.asked.values():
            if asked.node != stop.node or asked.outcome != "broken" or not asked.sent_ms:
                continue
            due_ms = stop.sent_ms + GRACE_MS + AFTER_GRACE_MS
            if asked.sent_ms > stop.ended_ms or not stop.sent_ms < asked.ended_ms < due_ms:
                continue
            runs = [run for run in records.ran if run.request_id == asked.request_id]
            held = asked.kept and asked.ended_ms - asked.sent_ms > LOSS_SLACK_MS
            held = held or asked.request_id in passed_on
            if (runs or held) and not _is_excused(records, asked, runs, stop):
                after_ms = asked.sent_ms - stop.sent_ms
                found.append(
                    f"{asked.request_id} sent {after_ms:.0f} ms after SIGTERM to node {stop.node} "
                    f"ended {asked.ended_ms - stop.sent_ms:.0f} ms after it: {asked.problem}"
                )
    return found


def _is_excused(records: Records, asked: Asked, runs: list[Ran], stop: Terminated) -> bool:
    from_ms = stop.sent_ms + GRACE_MS * (1 - LAST_SHARE)
    at_work = any(
        run.at_ms < stop.sent_ms + GRACE_MS and (run.ended_ms is None or run.ended_ms >= from_ms)
        for run in runs
    )
    early = asked.sent_ms <= stop.sent_ms + EXCUSED_MS
    timeouts_ms = records.least_timeout_ms
    timed = "long" if asked.kind in LONG_TIMEOUT_KINDS else "plain"
    timeout_ms = timeouts_ms.get(timed, asked.deadline_ms)
    limit_ms = asked.at_ms + min(asked.deadline_ms, timeout_ms) - TIMEOUT_SLACK_MS
    return (
        (early and at_work)
        or any(run.broke or restarted(records, run) for run in runs)
        or asked.ended_ms >= limit_ms
        or not undisturbed(
            records, asked.node, asked.at_ms, asked.ended_ms, "caller", planned=False
        )
        or any(path_struck(records, run.endpoint, asked) for run in runs)
    )


def restarted(records: Records, run: Ran) -> bool:
    """Return whether an endpoint restarted under its name during a run or shortly before.

    A node that learns of the restart after the run began takes it for the end of the run.
    """
    return any(
        name == run.endpoint and run.at_ms - CONTACT_MS < at_ms < (run.ended_ms or float("inf"))
        for name, at_ms in records.restarts
    )


def path_struck(records: Records, endpoint: str, asked: Asked) -> bool:
    """Return whether paths to an endpoint were cut during a request or shortly before."""
    return any(
        trouble.what == "path"
        and trouble.endpoint in ("", endpoint)
        and trouble.from_ms < asked.ended_ms
        and trouble.to_ms + CONTACT_MS > asked.at_ms
        for trouble in records.disturbances
    )


def _arrival_ms(run: Ran) -> float:
    return run.at_ms if run.arrived_ms is None else run.arrived_ms


def _suspended_ms(records: Records, run: Ran, from_ms: float) -> float:
    """Return for how long the endpoint of a run was suspended between a time and the run's end."""
    to_ms = float("inf") if run.ended_ms is None else run.ended_ms
    return sum(
        max(0.0, min(to_ms, silence.to_ms) - max(from_ms, silence.from_ms))
        for silence in records.silences
        if silence.endpoint == run.endpoint
    )


def continued_alone(records: Records) -> list[str]:
    """Once a request continues at another endpoint, the previous one soon stops work on it.

    Prefills count as work. A request continues when it arrives at the other endpoint. A page that
    may be repeated does not continue there but runs again, so that the time in which the previous
    endpoint was suspended does not count.
    """
    runs: dict[str, list[Ran]] = {}
    for run in sorted(records.ran + records.prefilled, key=_arrival_ms):
        runs.setdefault(run.request_id, []).append(run)
    found = []
    for request_id, several in runs.items():
        asked = records.asked[request_id]
        for index, before in enumerate(several):
            # The endpoint may have got the request again in between.
            others = [run for run in several[index:] if run.endpoint != before.endpoint]
            if not others:
                continue
            after = others[0]
            due_ms = _arrival_ms(after) + CONTINUED_MS
            if asked.kind in REPEATED_KINDS:
                due_ms += _suspended_ms(records, before, _arrival_ms(after))
            late = before.ended_ms is None or before.ended_ms > due_ms
            if not late:
                continue
            reached = undisturbed(records, asked.node, before.at_ms, due_ms)
            if reached and not path_struck(records, before.endpoint, asked):
                found.append(
                    f"{request_id} continued at {after.endpoint} at {_arrival_ms(after):.0f}, and "
                    f"{before.endpoint} worked on it to {before.ended_ms or -1:.0f}"
                )
    return found
