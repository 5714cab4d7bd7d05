"""A connection of a node to the store is reset just after the entry of a server has changed."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from place import BOUNDS, LIMITS, Place, route, run_case  # noqa: E402

# One of seven nodes has a connection reset, and one of eight servers of a service leaves.
NODES = [f"front-z1-{number}" for number in range(1, 8)]
SERVERS = 8
SERVICES = ["old", "new"]
FIRST_VERSION = 10
CYCLES = 9
CYCLE_S = 7.0
# `drain_ms`, and a little longer.
DRAIN_S = 4.5
# The reset, after a server has declared that it drains, and the change of the configuration.
RESET_AFTER_S = 0.1
CHANGE_AFTER_S = 0.4
REQUEST_GAP_S = 0.03
CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
# False leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def service_of(version: int) -> str:
    """Return the service that a version of the configuration names for the route."""
    return SERVICES[version % 2]


def configuration(version: int) -> dict[str, Any]:
    """Return a version of the configuration: each moves the route to the other service."""
    names = [{"name": name, "health_path": "/health", "max_conns": 110} for name in SERVICES]
    routes = [route("pages", "/pages/", "non_idempotent", service_of(version))]
    return {"version": version, "routes": routes, "services": names, "limits": LIMITS}


class Case:
    """The run of the case, and what it has seen."""

    def __init__(self, place: Place):
        self.place = place
        self.servers = {
            name: [f"i-{name}{number}" for number in range(SERVERS)] for name in SERVICES
        }
        self.service_at: dict[str, str] = {}
        self.acked_s: dict[int, float] = {}
        self.reset_s: dict[str, list[float]] = {node: [] for node in NODES}
        self.sent: list[tuple[float, str, str]] = []

    def start_server(self, name: str, service: str) -> None:
        """Start a server of a service."""
        self.place.start_server(name, service)
        self.service_at[name] = service

    async def begin_leaving(self, name: str) -> None:
        """Let a server declare that it drains; returns once the store has that."""
        self.place.send(name, signal.SIGUSR1)
        while self.place.store.objects["servers", name]["spec"]["state"] != "draining":
            await asyncio.sleep(0.01)

    async def finish_leaving(self, name: str, successor: str) -> None:
        """End a server that drains, as planned, and start another one."""
        await asyncio.sleep(DRAIN_S)
        self.place.send(name, signal.SIGKILL)
        self.place.store.remove("servers", name)
        self.start_server(successor, self.service_at[name])

    async def ask_all(self) -> None:
        """Send requests to all nodes in turn, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in range(100_000):
                node, request_id = NODES[number % len(NODES)], f"page{number:012d}"
                self.sent.append((time.monotonic(), node, request_id))
                tasks.create_task(self.place.ask(node, "/pages/2f", request_id))
                await asyncio.sleep(REQUEST_GAP_S)

    def change(self, version: int) -> None:
        """Write a version of the configuration; the store's answer acknowledges it."""
        self.place.store.put("config", "main", configuration(version))
        self.acked_s[version] = time.monotonic()
        self.place.note("config_acked", version=version, service=service_of(version))

    def find_late(self) -> list[str]:
        """Return the requests that a node in touch handled as only an older version allows."""
        ran: dict[str, str] = {}
        for name in self.service_at:
            for entry in self.place.server_log(name):
                if entry["event"] == "runs":
                    ran[entry["request"]] = name
        late = []
        for at_s, node, request_id in self.sent:
            in_touch = all(not 0 <= at_s - reset <= CONTACT_S for reset in self.reset_s[node])
            known = max(v for v, acked in self.acked_s.items() if at_s > acked + APPLY_S)
            # A later version may be in force as soon as it is written.
            allowed = {
                service_of(v)
                for v, acked in self.acked_s.items()
                if v == known or (v > known and acked < at_s + 1)
            }
            server = ran.get(request_id)
            if in_touch and server is not None and self.service_at[server] not in allowed:
                late.append(request_id)
                after_s = round(at_s - self.acked_s[known], 2)
                before = [at_s - reset for reset in self.reset_s[node] if reset <= at_s]
                reset_s = round(min(before), 2) if before else None
                self.place.note(
                    "run_by_old_service",
                    request=request_id,
                    node=node,
                    server=server,
                    after_ack_s=after_s,
                    after_reset_s=reset_s,
                )
        return late


async def play(place: Place) -> int:
    """Return 1 if a node in touch serves by an old configuration, 0 if not, 2 if it can't run."""
    case = Case(place)
    await place.start_store()
    place.store.put("config", "main", configuration(FIRST_VERSION))
    case.acked_s[FIRST_VERSION] = time.monotonic()
    for service, names in case.servers.items():
        for name in names:
            case.start_server(name, service)
    for node in NODES:
        await place.start_node(node)
    if not await place.ready():
        return 2
    await asyncio.sleep(4.0)
    traffic = asyncio.create_task(case.ask_all())
    for cycle in range(CYCLES):
        node, service = NODES[cycle % len(NODES)], SERVICES[cycle % 2]
        leaving, successor = case.servers[service].pop(0), f"i-{service}-next{cycle}"
        case.servers[service].append(successor)
        await case.begin_leaving(leaving)
        rest = asyncio.create_task(case.finish_leaving(leaving, successor))
        await asyncio.sleep(RESET_AFTER_S)
        if TROUBLE:
            count = place.store.reset_watches(node, "config")
            case.reset_s[node].append(time.monotonic())
            place.note("connections_reset", node=node, count=count)
        await asyncio.sleep(CHANGE_AFTER_S)
        case.change(FIRST_VERSION + 1 + cycle)
        await asyncio.sleep(CYCLE_S - CHANGE_AFTER_S)
        await rest
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    late = case.find_late()
    place.note("result", sent=len(case.sent), run_by_old_service=len(late))
    for node in NODES:
        for line in place.node_log(node, "store_lost", "store_regained", "config_in_force"):
            place.note("log", node=node, line=line)
    return 1 if late else 0


if __name__ == "__main__":
    run_case(FOLDER, play)
