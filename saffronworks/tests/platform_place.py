"""A store, servers and nodes over loopback, for scenarios on whole nodes."""

import time
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import attrs

from saffronworks import clocks
from saffronworks.platform.node import READINESS_PATH, PlatformNode
from saffronworks.platform.settings import read_platform_settings
from saffronworks.standins.sites import wait_until
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_fakes import FakeServer, fetch, settings_text

ENGINE = {
    "slots": 4,
    "kv_capacity_tokens": 90_000,
    "kv_bytes": 18_432,
    "stride": 64,
    "handle_ttl_s": 0.5,
    "switch_s": 6.0,
    "hold_ms": 2000.0,
}


def make_route(name, prefix, kind, service, **changes):
    route = {"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind}
    route |= {"service": service, "timeout_ms": 3000, "target_latency_ms": 400, "max_attempts": 2}
    return route | changes


CONFIG = {
    "version": 3,
    "routes": [
        make_route("once", "/once/", "non_idempotent", "web", max_attempts=1, timeout_ms=1000),
        make_route("again", "/again/", "idempotent", "web"),
        make_route("once-stream", "/gen/", "streaming", "llm", sticky=True),
        make_route("resumable", "/res/", "streaming", "llm", sticky=True, resumable=True),
    ],
    "services": [{"name": "web", "max_conns": 9}, {"name": "llm", "engine": ENGINE}],
    "limits": {"max_body_bytes": 100_000, "idle_timeout_ms": 15_000},
}


@attrs.frozen
class Asked:
    """One request of a caller: its node, its times on the monotonic clock and its raw answer."""

    request_id: str
    node: int
    sent_s: float
    ended_s: float
    raw: bytes

    @property
    def status(self):
        return int(self.raw.split(b" ")[1])

    @property
    def took_s(self):
        return self.ended_s - self.sent_s


@attrs.define
class Place:
    """A store, servers and nodes."""

    store: FakeStore
    servers: dict
    nodes: list
    tasks: object

    @property
    def node(self):
        return self.nodes[0]

    @property
    def callers(self):
        return self.node.settings.caller_address

    async def ask(self, path, request_id, headers=None, body=b"", method="POST", **options):
        fields = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "3000"}
        callers = options.pop("node", self.node).settings.caller_address
        return await fetch(callers, method, path, fields | (headers or {}), body, **options)

    async def generate(self, path, request_id, body=b"prompt", **options):
        counts = {"Token-Counts": "5000,9000", "Length-Hint": "3000"}
        return await self.ask(path, request_id, counts, body, **options)

    async def ask_evenly(self, per_s, for_s, ask_one):
        """Send requests to all nodes in turn at this rate, by `ask_one(request_id, node=...)`."""
        asked = []

        async def ask(number):
            node, sent_s = number % len(self.nodes), time.monotonic()
            raw = await ask_one(f"r{number}", node=self.nodes[node])
            asked.append(Asked(f"r{number}", node, sent_s, time.monotonic(), raw))

        async with anyio.create_task_group() as tasks:
            for number in range(int(for_s * per_s)):
                tasks.start_soon(ask, number)
                await anyio.sleep(1 / per_s)
        return asked

    async def ready(self):
        return all([await is_ready(node) for node in self.nodes])

    async def wait_for_planners(self):
        """Wait until each node knows a planner: a ready node may still await its first census."""
        assert await wait_until(lambda: all(node._memory.choice.cores for node in self.nodes), 5)


async def is_ready(node):
    raw = await fetch(node.settings.probe_address, "GET", READINESS_PATH, {"Host": "x"})
    return raw.startswith(b"HTTP/1.1 200")


def web_servers(count=1):
    return [FakeServer(f"w{index}", "web") for index in range(count)]


def engines():
    decoders = [FakeServer(f"d{index}", "llm", "decode") for index in range(2)]
    return [*decoders, FakeServer("p0", "llm", "prefill")]


def make_node(folder, number, store, **changes):
    file = Path(folder) / f"node-{number}.yaml"
    file.write_text(settings_text(store.address, node_name=f"front-z1-{number}", **changes))
    settings = read_platform_settings(file.read_text(), str(file)).ok_value
    return PlatformNode(settings, str(file), metrics_port=0)


def on_platform(servers, play, config=CONFIG, count=1, prepare=lambda node: None, **changes):
    """Start a store, the servers and `count` nodes, run `play(place)`, and stop them.

    `prepare` changes each node before it runs, and `changes` replaces top-level fields of the
    nodes' settings.
    """

    async def main():
        store = FakeStore()
        with TemporaryDirectory() as folder:
            if config is not None:
                store.put("config", "main", config)
            for server in servers:
                store.put("servers", server.instance, server.entry())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.run)
                for server in servers:
                    tasks.start_soon(server.run)
                numbers = range(1, count + 1)
                nodes = [make_node(folder, number, store, **changes) for number in numbers]
                for node in nodes:
                    prepare(node)
                    tasks.start_soon(node.run)
                by_name = {server.instance: server for server in servers}
                place = Place(store, by_name, nodes, tasks)
                if config is not None:
                    ready = [node.ready for node in nodes]
                    assert await wait_until(lambda: all(look() for look in ready), limit_s=5)
                await play(place)
                tasks.cancel_scope.cancel()

    clocks.run(main)
