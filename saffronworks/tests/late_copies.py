"""Simulated requests to endpoints that send answers of any kind a second time, some time later."""

import asyncio

import anyio

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.routing import RoutingTable, Service
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.platform.ingress import CallerConnectionReply
from saffronworks.tests.caller_fakes import FakeCaller
from saffronworks.tests.endpoint_fixtures import route
from saffronworks.tests.scripted_wires import (
    ENGINE,
    PROMPT,
    TIMEOUT_MS,
    Script,
    ScriptedConnection,
    make_node,
)

__all__ = ["REPEATED", "simulate_copies"]

REPEATED = ("ok", "ok", "shed", "shed", "421", "500", "503-run", "429-run")
REQUESTS = 4


def simulate_copies(streams, replies, held, prefills, count, copies, latencies):
    """Return id, caller and number of possible runs of each of some unrepeatable requests.

    `copies` tells how many ms after each answer its copy comes, None for no copy; `latencies` how
    many ms after each request or prefill its answer comes; both are in the order of the calls.
    """
    script = Script(list(replies), list(held), list(prefills))
    copies, latencies = list(copies), list(latencies)

    class RepeatingConnection(ScriptedConnection):
        def write(self, data):
            is_request = b"/saffronworks/" not in data.split(b"\r\n")[0]
            latency_ms = latencies.pop(0) if latencies and is_request else 0
            loop = asyncio.get_running_loop()
            loop.call_later(latency_ms / 1000, self._answer, data.decode(), b"")

        def _perform(self, reply, request_id):
            if reply != "ok":
                super()._perform(reply, request_id)
                return
            body = f"id: 1\ndata: {request_id}\n\n" if streams else request_id
            head = f"HTTP/1.1 200 X\r\n{ID_FIELD}: {request_id}\r\nServer-Stamp: s\r\n"
            self._feed(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())

        def _feed(self, data):
            super()._feed(data)
            delay_ms = copies.pop(0) if copies else None
            if delay_ms is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(delay_ms / 1000, super()._feed, data)

    async def ask(forwarder, number, asked):
        caller, request_id = FakeCaller("POST"), f"r{number}"
        await caller.call.body(0)
        asked.append((request_id, caller))
        prompt = PROMPT if streams else None
        request = CallerRequest(
            request_id, "POST", "/a/1", "h", (), b"", monotonic_ms(), 900, prompt
        )
        await forwarder.handle(request, CallerConnectionReply(caller.call, closing=False))

    async def main():
        forwarder = Forwarder(make_node(script, streams, count, RepeatingConnection), 0)
        only = route(timeout_ms=TIMEOUT_MS, target_ms=20, max_attempts=1, streams=streams)
        service = Service("s", 9, ENGINE if streams else None)
        forwarder.apply_table(RoutingTable(1, (only,), {"s": service}))
        asked = []
        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                tasks.start_soon(ask, forwarder, number, asked)
                await anyio.sleep(0.003)
        return [(name, caller, script.may_have_run.get(name, 0)) for name, caller in asked]

    return anyio.run(main)
