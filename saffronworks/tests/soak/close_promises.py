"""What must hold of connections that nodes close at any time, also when no node stops."""

from saffronworks.tests.soak.disturbances import CONTACT_MS, stops, undisturbed, was_silent
from saffronworks.tests.soak.records import Asked, Ran, Records
from saffronworks.tests.soak.stop_promises import path_struck, restarted

__all__ = ["closes_lose_few"]

MAX_LOST = 3


def closes_lose_few(records: Records) -> list[str]:
    """Nodes in touch close few connections whose requests sound endpoints ran, as LOST says."""
    runs: dict[str, list[Ran]] = {}
    for run in records.ran:
        runs.setdefault(run.request_id, []).append(run)
    lost = [
        asked.request_id
        for asked in records.asked.values()
        if asked.outcome == "broken"
        and not asked.status
        and asked.request_id in runs
        and _in_touch(records, asked)
        and all(_sound(records, run, asked) for run in runs[asked.request_id])
    ]
    return [f"closed without an answer: {lost}"] if len(lost) > MAX_LOST else []


def _in_touch(records: Records, asked: Asked) -> bool:
    calm = undisturbed(records, asked.node, asked.at_ms, asked.ended_ms, "caller", "store")
    return calm and not stops(records, asked.node, asked.at_ms - CONTACT_MS, asked.ended_ms)


def _sound(records: Records, run: Ran, asked: Asked) -> bool:
    return not (
        run.broke
        or restarted(records, run)
        or path_struck(records, run.endpoint, asked)
        or was_silent(records, run.endpoint, asked.at_ms, asked.ended_ms)
    )
