"""A node process that is offered more new connections than it can serve.

By hand: `python -m saffronworks.tests.surge_play --times=8`.
"""

import asyncio
import collections
import logging
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import attrs
import fire

from saffronworks.platform.node import READINESS_PATH
from saffronworks.standins.addresses import free_address
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_fakes import fetch, settings_text
from saffronworks.tests.platform_place import CONFIG, web_servers

__all__ = ["Surge", "SurgeRequest", "play_surge"]

# Processor time of each request in the node beside its own code's, and requests that it can serve.
WORK_MS = 8.0
CAPACITY_PER_S = 85
DEADLINE_S = 1.0
SERVER_WORK_S = 0.015
# Requests a second before and after the surge.
CALM_PER_S = 20
CALM_S = 1.0
START_LIMIT_S, READY_POLL_S = 15, 0.1


@attrs.define
class SurgeRequest:
    """One request on a connection of its own; times are seconds from the start of the surge.

    `outcome`: `served`, `failed`, `unread` if it was closed without any answer and reached no
    endpoint, or `waiting`.
    """

    request_id: str
    at_s: float
    outcome: str = "waiting"
    took_s: float = 0.0

    @property
    def in_time(self):
        return self.outcome == "served" and self.took_s <= DEADLINE_S


@attrs.define
class Surge:
    """What the callers saw, and the log of the node."""

    for_s: float
    requests: list = attrs.Factory(list)
    log: str = ""

    def read(self, from_s, to_s):
        """Return the requests that the node read, of those sent in that time."""
        return [
            one for one in self.requests if from_s <= one.at_s < to_s and one.outcome != "unread"
        ]

    def served_share(self, from_s, to_s):
        """Return the share of the read requests that were served in time."""
        read = self.read(from_s, to_s)
        return sum(one.in_time for one in read) / max(1, len(read))

    def served_per_s(self, from_s, to_s):
        """Return how many requests a second were served in time."""
        return sum(one.in_time for one in self.read(from_s, to_s)) / (to_s - from_s)


async def play_surge(times, for_s, work_ms=WORK_MS):
    """Offer a node `times` what it can serve for `for_s`, on new connections alone."""
    surge, store = Surge(for_s), FakeStore()
    servers = web_servers(4)
    with tempfile.TemporaryDirectory() as folder:
        config = CONFIG | {"services": [{"name": "web", "max_conns": 400}, *CONFIG["services"][1:]]}
        store.put("config", "main", config)
        for server in servers:
            server.work_s = SERVER_WORK_S
            store.put("servers", server.instance, server.entry())
        callers, probes = free_address(), free_address()
        listen = {"front": callers, "ready": probes}
        settings, log = Path(folder) / "node.yaml", Path(folder) / "node.log"
        settings.write_text(settings_text(store.address, listen=listen))
        async with anyio.create_task_group() as tasks:
            for service in (store, *servers):
                tasks.start_soon(service.run)
            command = [sys.executable, "-m", "saffronworks.tests.surge_node_main", str(work_ms)]
            command += [f"--settings={settings}", "--metrics-port=0"]
            with log.open("w") as output:
                process = subprocess.Popen(command, stdout=output, stderr=output)
            try:
                with anyio.fail_after(START_LIMIT_S):
                    while not await _is_ready(probes):
                        await anyio.sleep(READY_POLL_S)
                await _send_all(surge, callers, times)
            finally:
                process.terminate()
                await anyio.to_thread.run_sync(process.wait)
            tasks.cancel_scope.cancel()
        arrived = {request_id for server in servers for request_id in server.ran}
        for one in surge.requests:
            if one.outcome == "unread" and one.request_id in arrived:
                one.outcome = "failed"
        surge.log = log.read_text()
    return surge


async def _is_ready(probes):
    try:
        raw = await fetch(probes, "GET", READINESS_PATH, {"Host": "x"})
    except OSError:
        return False
    return raw.startswith(b"HTTP/1.1 200")


async def _send_all(surge, callers, times):
    """Send requests at the rates of the calm before, of the surge and of the calm after."""
    begin_s = time.monotonic() + CALM_S
    async with anyio.create_task_group() as tasks:
        for from_s, to_s, per_s in (
            (-CALM_S, 0.0, CALM_PER_S),
            (0.0, surge.for_s, times * CAPACITY_PER_S),
            (surge.for_s, surge.for_s + 3 * CALM_S, CALM_PER_S),
        ):
            for number in range(int((to_s - from_s) * per_s)):
                at_s = from_s + number / per_s
                await asyncio.sleep(max(0, begin_s + at_s - time.monotonic()))
                # The time that the callers' own delay leaves is that of the request.
                request = SurgeRequest(f"s{len(surge.requests)}", time.monotonic() - begin_s)
                surge.requests.append(request)
                tasks.start_soon(_send_one, callers, request)


async def _send_one(callers, request):
    began_s = time.monotonic()
    host, port = callers.split(":")
    writer = None
    raw = b""
    try:
        async with asyncio.timeout(2 * DEADLINE_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f"GET /again/{request.request_id} HTTP/1.1",
                "Host: h.example",
                f"Request-Id: {request.request_id}",
                f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
                "Connection: close",
            ]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            while chunk := await reader.read(65536):
                raw += chunk
    except TimeoutError:
        return
    except OSError:
        pass
    finally:
        if writer is not None:
            writer.close()
    request.took_s = time.monotonic() - began_s
    served = raw.startswith(b"HTTP/1.1 200") and raw.endswith(request.request_id.encode())
    request.outcome = "served" if served else "failed" if raw else "unread"


def main(times: float = 8.0, for_s: float = 6.0, work_ms: float = WORK_MS, log: str = "") -> None:
    """Play one surge and print what became of its requests, second by second."""
    # The store's waiting calls end with the play; uvicorn reports each of them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    surge = anyio.run(play_surge, times, for_s, work_ms)
    for second in range(int(-CALM_S), int(for_s + 3 * CALM_S)):
        sent = [one for one in surge.requests if second <= one.at_s < second + 1]
        outcomes = collections.Counter(one.outcome for one in sent)
        share = surge.served_share(second, second + 1)
        took_ms = sorted(one.took_s * 1000 for one in sent if one.outcome == "served")
        median_ms = took_ms[len(took_ms) // 2] if took_ms else 0
        print(f"{second:>3} s {share:.2f} in time, median {median_ms:.0f} ms, {dict(outcomes)}")
    if log:
        Path(log).write_text(surge.log)


if __name__ == "__main__":
    fire.Fire(main)
