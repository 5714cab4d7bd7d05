"""Scenarios on a whole node of the platform: plain requests, faults, shutdown and the store."""

import io
import logging
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import anyio
from behave import then, when

from saffronworks.logs import BoundedHandler
from saffronworks.platform.node import METRICS_PATH
from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_fakes import FakeServer, fetch
from saffronworks.tests.platform_place import CONFIG, engines, on_platform, web_servers
from saffronworks.web import HttpServer, bind


@when("a caller sends a request with header fields that only the router may set")
def sends_router_fields(context):
    context.servers_used = web_servers()

    async def play(place):
        fields = {"Stage": "prefill", "Kv-Hold": "x", "Expect-Instance": "y", "X-Own": "kept"}
        path = "/once/a%20b/?q=1&q=2"
        context.raw = await place.ask(path, "r1", fields, b"hello")

    on_platform(context.servers_used, play)


@then("the server sees the caller's path, id and body, and none of those fields")
def sees_own_fields(context):
    method, target, headers, body = context.servers_used[0].seen[-1]
    assert (method, target, body) == ("POST", "/once/a%20b/?q=1&q=2", b"hello")
    assert headers["request-id"] == "r1" and headers["x-own"] == "kept"
    assert headers["expect-instance"] == "w0" and headers["host"] == "h.example"
    assert 0 < int(headers["deadline-ms"]) <= 1000
    assert "stage" not in headers and "kv-hold" not in headers


@then("the caller gets the server's answer with its signature")
def gets_signed(context):
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and body == b"r1", context.raw
    assert b"server-stamp: stamp-w0" in head.lower()


@when("a caller sends a HEAD request")
def asks_head(context):
    async def play(place):
        context.raw = await place.ask("/again/", "r1", method="HEAD")

    on_platform(web_servers(), play)


@then("it gets the headers with the body's length, and no body")
def head_only(context):
    assert context.raw.startswith(b"HTTP/1.1 200"), context.raw
    assert b"content-length: 2" in context.raw.lower()
    assert context.raw.endswith(b"\r\n\r\n"), context.raw


@then("a path without a route is answered 404")
def no_route(context):
    async def play(place):
        assert (await place.ask("/none/", "r1")).startswith(b"HTTP/1.1 404")

    on_platform(web_servers(), play)


@then("before the first configuration the answer is 503, and the node is not ready")
def no_config(context):
    async def play(place):
        raw = await place.ask("/once/", "r1")
        assert raw.startswith(b"HTTP/1.1 503") and b"retry-after" in raw.lower(), raw
        assert not await place.ready()
        place.store.put("config", "main", CONFIG)
        assert await wait_until(place.node.ready, limit_s=2)

    on_platform(web_servers(), play, config=None)


@when("the only server answers a non-idempotent request with {fault}")
def answers_with(context, fault):
    context.servers_used = web_servers()
    context.servers_used[0].script = [fault]

    async def play(place):
        context.raw = await place.ask("/once/", "r1")

    on_platform(context.servers_used, play)


@then("the caller gets status {status}, and the server ran the request {runs} times")
def gets_status(context, status, runs):
    assert context.raw.startswith(f"HTTP/1.1 {status} ".encode()), context.raw
    assert len(context.servers_used[0].ran) == int(runs)
    promised = b"retry-after" in context.raw.lower()
    assert promised == (runs == "0"), context.raw


@when("a server sends an answer twice, at once or in place of the next one")
def twice(context):
    servers = web_servers()
    context.bodies = {}

    async def play(place):
        for fault in ("extra", "late-extra", None):
            servers[0].script = [fault]
            request_id = f"r-{fault}"
            raw = await place.ask("/once/", request_id)
            context.bodies[request_id] = raw.rpartition(b"\r\n\r\n")[2].decode()

    on_platform(servers, play)


@then("each caller gets its own answer")
def own_answer(context):
    assert all(key == body for key, body in context.bodies.items()), context.bodies


@when("one of two servers resets an idempotent request")
def resets_one(context):
    servers = web_servers(2)

    async def play(place):
        context.raws = []
        for turn in range(4):
            for server in servers:
                server.script = ["reset"] if server.instance == "w0" else []
            context.raws.append(await place.ask("/again/", f"r{turn}", method="GET"))

    on_platform(servers, play)


@then("the caller gets the answer of the other server")
def other_servers_answer(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws


@when("one server drains, and the entry of another is removed")
def drains(context):
    servers = context.servers_used = web_servers(3)

    async def play(place):
        place.store.put("servers", "w0", servers[0].entry(state="draining"))
        place.store.remove("servers", "w1")
        await anyio.sleep(0.3)
        for turn in range(8):
            await place.ask("/once/", f"r{turn}")

    on_platform(servers, play)


@then("only the remaining server gets requests")
def reaches_remaining(context):
    assert [len(server.ran) for server in context.servers_used] == [0, 0, 8]


@when("the store lists a server at an address that belongs to another one")
def address_taken(context):
    servers = context.servers_used = web_servers(2)
    servers[0].instance = "w-new"

    async def play(place):
        stale_entry = servers[0].entry()
        place.store.put("servers", "w-old", stale_entry)
        place.store.remove("servers", "w-new")
        await anyio.sleep(0.3)
        context.raws = [await place.ask("/once/", f"r{turn}") for turn in range(6)]

    on_platform(servers, play)


@then("each request runs once at a listed server, and the reassigned address gets one at most")
def asked_once(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws
    reassigned, listed = context.servers_used
    assert len(listed.ran) == 6 and not reassigned.ran
    assert len(reassigned.seen) <= 1, reassigned.seen


@when("a caller sends a body and a header above the limits")
def too_large(context):
    servers = context.servers_used = web_servers()

    async def play(place):
        body = await place.ask("/once/", "r1", body=b"x" * 100_001)
        header = await place.ask("/once/", "r2", {"X-Long": "x" * 20_000})
        context.statuses = [raw.split(b" ")[1] for raw in (body, header)]

    on_platform(servers, play)


@then("it gets statuses 413 and 431, and no server sees either request")
def gets_limit_statuses(context):
    assert context.statuses == [b"413", b"431"], context.statuses
    assert not context.servers_used[0].seen


@when("a caller disconnects while its request runs")
def disconnects(context):
    servers = web_servers()
    servers[0].work_s = 5.0

    async def play(place):
        await place.ask("/once/", "r1", leaves_after_s=0.2)
        context.freed = await wait_until(lambda: servers[0].left == ["r1"], limit_s=0.5)

    on_platform(servers, play)


@then("the server sees the disconnection within half a second")
def sees_disconnection(context):
    assert context.freed


@when("a server takes longer than the route's timeout")
def too_long(context):
    servers = web_servers()
    servers[0].work_s = 4.0

    async def play(place):
        began_s = time.monotonic()
        context.raw = await place.ask("/once/", "r1")
        context.elapsed_s = time.monotonic() - began_s

    on_platform(servers, play)


@then("the caller gets status 504 at the timeout")
def gets_504(context):
    assert context.raw.startswith(b"HTTP/1.1 504"), context.raw
    assert 0.9 <= context.elapsed_s <= 1.5, context.elapsed_s


@when("a node is stopped while a request runs")
def stopped_while_running(context):
    servers = web_servers()
    servers[0].work_s = 0.5

    async def play(place):
        async def ask():
            context.raw = await place.ask("/once/", "r1")

        place.tasks.start_soon(ask)
        await anyio.sleep(0.1)
        place.node.stop()
        await anyio.sleep(0.1)
        context.ready = await place.ready()
        context.answered = await wait_until(lambda: hasattr(context, "raw"), limit_s=3)

    on_platform(servers, play)


@then("it reports that it is not ready, and the request is answered completely")
def answered_whole(context):
    assert not context.ready
    assert context.raw.startswith(b"HTTP/1.1 200") and context.raw.endswith(b"r1"), context.raw


@then("a node does not import trio, even if it is installed")
def no_other_loop(context):
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "trio.py").write_text("raise SystemExit('trio was loaded')")
        code = f"import sys; sys.path.insert(0, {folder!r}); import saffronworks.platform.__main__"
        subprocess.run([sys.executable, "-c", code], check=True)


# Imports take four fifths of a node's start, and each of these would lengthen every start.
UNUSED_MODULES = (
    "opentelemetry",
    "prometheus_client",
    "hdrh",
    "matplotlib",
    "saffronworks.metrics",
    "saffronworks.bundles",
    "saffronworks.ownership",
    "saffronworks.membership",
    "saffronworks.nodes",
    "saffronworks.owner",
    "saffronworks.standins",
)


@then("it imports neither the metrics' libraries nor the modules of another deployment")
def imports_little(context):
    code = "import sys, saffronworks.platform.__main__; print(*sys.modules, sep=chr(10))"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    loaded = set(done.stdout.split())
    assert "saffronworks.platform.node" in loaded
    assert not loaded & set(UNUSED_MODULES), loaded & set(UNUSED_MODULES)


@when("the metrics page of a node that served requests is read twice")
def reads_metrics_page(context):
    context.pages = []

    async def play(place):
        for turn in range(3):
            await place.ask("/once/", f"r{turn}")
        for _ in range(2):
            raw = await fetch(place.node.metrics_address, "GET", METRICS_PATH, {"Host": "x"})
            context.pages.append(raw.decode())

    on_platform(web_servers(), play)


@then("the page has counts and times, and each request is counted once")
def has_counts(context):
    for page in context.pages:
        assert page.startswith("HTTP/1.1 200"), page
        lines = [line for line in page.splitlines() if 'node="front-z1-1"' in line]
        counted = [line for line in lines if line.startswith("saffronworks_forwarded")]
        times = [
            line for line in lines if line.startswith("saffronworks_answer_ms_milliseconds_count")
        ]
        assert [float(line.split()[-1]) for line in counted] == [3.0], counted
        assert [float(line.split()[-1]) for line in times] == [3.0], times


@when("servers are stopped at different fractions of a second after their start")
def stop_servers(context):
    context.elapsed_s = []

    async def main():
        for moment_s in (0.15, 0.4, 0.65):
            server = HttpServer(bind("127.0.0.1:0"), lambda call: call.reply(200, {}))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.run)
                await anyio.sleep(moment_s)
                stopped_s = time.monotonic()
                server.stop()
            context.elapsed_s.append(time.monotonic() - stopped_s)

    anyio.run(main)


@then("each stops at once, so that the whole grace period is left for requests")
def over_at_once(context):
    assert max(context.elapsed_s) < 0.3, context.elapsed_s


class FailingOnce:
    """A directory whose first call raises an exception and restores the real directory."""

    def __init__(self, roles):
        self._roles, self._working = roles, roles._directory

    def usable(self, service, now_ms, role=None):
        self._roles._directory = self._working
        raise ValueError("a bug")


@when("a service and a background task of a node raise an exception")
def service_fails(context):
    async def play(place):
        async def fail():
            raise ValueError("a bug")

        place.node._spawn(fail)
        place.node._roles._directory = FailingOnce(place.node._roles)
        await anyio.sleep(1.0)
        context.raw = await place.ask("/once/", "r1")
        roles = [call for call in place.store.calls if call[1] == "saffron-duties"]
        context.asked_before = len(roles)
        await anyio.sleep(3.5)
        roles = [call for call in place.store.calls if call[1] == "saffron-duties"]
        context.asked = len(roles)

    on_platform([*engines(), FakeServer("p1", "llm", "prefill"), *web_servers()], play)


@then("callers are still served, and the service is restarted")
def served_on(context):
    assert context.raw.startswith(b"HTTP/1.1 200"), context.raw
    assert context.asked_before == 0 and context.asked >= 1, context.asked


@when("the store fails while callers send requests")
def store_away(context):
    servers = context.servers_used = web_servers(2)

    async def play(place):
        place.store.fault = "busy"
        place.store.forget_history()
        context.raws = [await place.ask("/once/", f"r{turn}") for turn in range(3)]
        place.store.remove("servers", "w0")
        await anyio.sleep(0.5)
        place.store.fault = None
        directory = place.node._directory
        context.in_force = await wait_until(lambda: "w0" not in directory.endpoints, limit_s=4)

    on_platform(servers, play)


@then("they are served, and a change made meanwhile is applied soon after the store recovers")
def served_meanwhile(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws
    assert context.in_force


class BlockedStream(io.StringIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


@when("far more lines are logged than a stalled reader accepts")
def logs_much(context):
    context.stream = BlockedStream()
    handler = BoundedHandler(context.stream, most_per_s=50)
    record = logging.LogRecord("n", logging.INFO, "", 0, "event=x", None, None)
    began_s = time.monotonic()
    for _ in range(5000):
        handler.emit(record)
    context.elapsed_s = time.monotonic() - began_s
    context.stream.released.set()
    time.sleep(1.1)
    record.created += 2
    handler.emit(record)
    handler.flush()
    time.sleep(0.1)


@then("logging does not block, and the dropped lines are counted")
def goes_on_at_once(context):
    lines = context.stream.getvalue().splitlines()
    assert context.elapsed_s < 1.0, context.elapsed_s
    assert "event=log_lines_dropped count=4950" in lines, lines[-3:]
    assert lines.count("event=x") == 51, len(lines)
