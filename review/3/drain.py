"""Case 3 with the two kinds exchanged: the entries of servers are late, and DRAIN breaks.

Not a case of its own, as the cause is that of case 3. Its record is `record.txt` beside it.
"""

import asyncio
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from place import BOUNDS, LIMITS, Place, route, run_case  # noqa: E402
from wire import Answer  # noqa: E402

NODES = ["front-z1-1", "front-z1-2", "front-z1-3"]
# False leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CYCLES = 9
REQUEST_GAP_S = 0.03
RESET_AFTER_S = 0.1
NOTICE_AFTER_S = 0.1
# The server ends this long after the reset: over `drain_ms` after its notice.
END_AFTER_S = 3.5
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


@dataclass
class Cycle:
    """One reset at a node, and the server that left after it."""

    node: str
    server: str
    reset_s: float
    acked_s: float
    ended_s: float


def configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration; each has another route that nobody uses."""
    routes = [
        route("pages", "/pages/", "non_idempotent", "web"),
        route(f"unused-{version}", f"/unused-{version}/", "idempotent", "web"),
    ]
    services = [{"name": "web", "health_path": "/health", "max_conns": 110}]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


async def leave(place: Place, node: str, leaving: str) -> Cycle:
    """Reset a node's watch of the servers, then let a server drain and end."""
    if TROUBLE:
        place.store.reset_watches(node, "servers")
    reset_s = time.monotonic()
    await asyncio.sleep(NOTICE_AFTER_S)
    place.send(leaving, signal.SIGUSR1)
    while place.store.objects["servers", leaving]["spec"]["state"] != "draining":
        await asyncio.sleep(0.01)
    acked_s = time.monotonic()
    await asyncio.sleep(reset_s + END_AFTER_S - time.monotonic())
    place.send(leaving, signal.SIGKILL)
    return Cycle(node, leaving, reset_s, acked_s, time.monotonic())


async def play(place: Place) -> int:
    """Return 1 if nodes in touch send to a draining server too late, 0 if not."""
    await place.start_store()
    place.store.put("config", "main", configuration(10))
    names = [f"i-web{number}" for number in range(3)]
    for name in names:
        place.start_server(name, "web", "--work-s=0.15")
    for node in NODES:
        await place.start_node(node)
    if not await place.ready():
        return 2
    await asyncio.sleep(4.0)
    sent: list[tuple[float, str, str]] = []
    asked: dict[str, asyncio.Task[Answer]] = {}

    async def ask_all() -> None:
        for number in range(100_000):
            node, request_id = NODES[number % len(NODES)], f"page{number:012d}"
            sent.append((time.monotonic(), node, request_id))
            asked[request_id] = asyncio.create_task(place.ask(node, "/pages/2f", request_id))
            await asyncio.sleep(REQUEST_GAP_S)

    traffic = asyncio.create_task(ask_all())
    cycles = []
    for number in range(CYCLES):
        place.store.put("config", "main", configuration(11 + number))
        await asyncio.sleep(RESET_AFTER_S)
        leaving, successor = names.pop(0), f"i-next{number}"
        cycles.append(await leave(place, NODES[number % len(NODES)], leaving))
        await asyncio.sleep(1.0)
        place.store.remove("servers", leaving)
        place.start_server(successor, "web", "--work-s=0.15")
        names.append(successor)
        await asyncio.sleep(1.5)
    traffic.cancel()
    await asyncio.gather(traffic, *asked.values(), return_exceptions=True)
    late, lost = 0, 0
    for cycle in cycles:
        ran = {
            entry["request"]: entry["at"]
            for entry in place.server_log(cycle.server)
            if entry["event"] == "runs"
        }
        for at_s, node, request_id in sent:
            in_touch = node == cycle.node and at_s > cycle.reset_s + CONTACT_S
            if in_touch and ran.get(request_id, 0.0) > cycle.acked_s + DRAIN_S:
                status = asked[request_id].result().status
                late, lost = late + 1, lost + (status != 200)
                place.note("late", request=request_id, server=cycle.server, status=status)
    place.note("result", cycles=len(cycles), ran_late=late, of_these_lost=lost)
    return 1 if late else 0


if __name__ == "__main__":
    run_case(FOLDER, play)
