"""One model server spoils one in 50 of its streams; other requests run beside them."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from place import ENGINE, LIMITS, Place, route, run_case  # noqa: E402
from wire import Answer, ClientConnection  # noqa: E402

NODES = ["front-z1-1", "front-z1-2", "front-z1-3"]
# Of four model servers one spoils one in 50 of its answers (`garble`: share .5, x .02 at most).
SPOIL_EVERY = 50
STREAMS = 240
STREAM_GAP_S = 0.06
# Clients with a kept connection, at each node.
CLIENTS = 6
# Requests that may end without an answer (rule LOST).
ALLOWED = 3
PROMPT = {"Model": "m", "Token-Counts": "100,60", "Prompt-Prefix": "5c1e07a2:60,91bd3f06:40"}
CONFIG = {
    "version": 3,
    "routes": [
        route("letters", "/letters/", "streaming", "llm", sticky=True, gap_target_ms=300),
        route("pages", "/pages/", "non_idempotent", "web"),
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/health",
            "max_conns": 370,
            "engine": ENGINE | {"stride": 63},
        },
        {"name": "web", "health_path": "/health", "max_conns": 110},
    ],
    "limits": LIMITS,
}
# False leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def browse(place: Place, node: str, client: int, lost: list[str]) -> None:
    """Send one request after the other on a kept connection, until it is closed."""
    connection = await ClientConnection.open(place.callers[node])
    for number in range(10_000):
        request_id = f"{node}-{client}-{number:06d}"
        answer: Answer = await place.ask_on(connection, "/pages/2f", request_id)
        if not answer.status:
            if number:
                lost.append(request_id)
            return


async def play(place: Place) -> int:
    """Return 1 if requests that sound servers run are lost, 0 if not, 2 if it can't run."""
    await place.start_store()
    place.store.put("config", "main", CONFIG)
    for number in range(3):
        place.start_server(f"i-web{number}", "web", "--work-s=0.4")
        options = ["--stage=decode", "--parts=20", "--work-s=2"]
        if TROUBLE and number == 0:
            options.append(f"--spoil-every={SPOIL_EVERY}")
        place.start_server(f"i-decode{number}", "llm", *options)
    place.start_server("i-prefill0", "llm", "--stage=prefill")
    for node in NODES:
        await place.start_node(node)
    if not await place.ready():
        return 2
    await asyncio.sleep(3.0)
    lost: list[str] = []
    clients = [
        asyncio.create_task(browse(place, node, client, lost))
        for node in NODES
        for client in range(CLIENTS)
    ]
    streams = []
    for number in range(STREAMS):
        node = NODES[number % len(NODES)]
        asked = place.ask(node, "/letters/2f", f"letter{number:010d}", PROMPT, b"prompt")
        streams.append(asyncio.create_task(asked))
        await asyncio.sleep(STREAM_GAP_S)
    await asyncio.gather(*streams)
    await asyncio.sleep(1.0)
    ended = {node: place.exit_status(node) for node in NODES}
    for client in clients:
        client.cancel()
    ran = {
        entry["request"]
        for number in range(3)
        for entry in place.server_log(f"i-web{number}")
        if entry["event"] == "runs"
    }
    spoiled = [e["request"] for e in place.server_log("i-decode0") if e["event"] == "spoils"]
    broken = [request_id for request_id in lost if request_id in ran]
    place.note("spoiled", requests=spoiled)
    place.note(
        "exit_statuses", **{node.replace("-", "_"): status for node, status in ended.items()}
    )
    place.note("lost", requests=broken)
    place.note("result", ran_and_lost=len(broken), allowed=ALLOWED)
    for node in NODES:
        for line in place.node_log(node, "OverflowError", "peers.py", "wire.py"):
            place.note("log", node=node, line=line.strip().replace(str(FOLDER.parents[1]), ""))
    if TROUBLE and not spoiled:
        return 2
    return 1 if len(broken) > ALLOWED else 0


if __name__ == "__main__":
    run_case(FOLDER, play)
