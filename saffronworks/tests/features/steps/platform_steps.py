"""Scenarios on a whole node of the platform: fakes of its store and servers, over loopback."""

import io
import logging
import threading
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import attrs
import msgspec
from behave import then, when
from result import Err, Ok

from saffronworks.forwarding.ports import Conflict, HistoryGone, SourceFailure
from saffronworks.logs import BoundedHandler
from saffronworks.platform.configuration import read_configuration
from saffronworks.platform.node import READINESS_PATH, PlatformNode
from saffronworks.platform.settings import read_platform_settings
from saffronworks.platform.store import PlatformStore
from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_fakes import FakeServer, FakeStore, fetch, settings_text

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


@attrs.define
class Place:
    """A store, servers and one node."""

    store: FakeStore
    servers: dict
    node: PlatformNode
    tasks: object

    @property
    def callers(self):
        return self.node.settings.caller_address

    async def ask(self, path, request_id, headers=None, body=b"", method="POST", **options):
        fields = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "3000"}
        return await fetch(self.callers, method, path, fields | (headers or {}), body, **options)

    async def generate(self, path, request_id, **options):
        counts = {"Token-Counts": "5000,9000", "Length-Hint": "3000"}
        return await self.ask(path, request_id, counts, b"prompt", **options)

    async def ready(self):
        raw = await fetch(self.node.settings.probe_address, "GET", READINESS_PATH, {"Host": "x"})
        return raw.startswith(b"HTTP/1.1 200")


def web_servers(count=1):
    return [FakeServer(f"w{index}", "web") for index in range(count)]


def engines():
    decoders = [FakeServer(f"d{index}", "llm", "decode") for index in range(2)]
    return [*decoders, FakeServer("p0", "llm", "prefill")]


def on_platform(servers, play, config=CONFIG):
    """Start everything, let `play(place)` act, end everything."""

    async def main():
        store = FakeStore()
        with TemporaryDirectory() as folder:
            file = Path(folder) / "node.yaml"
            file.write_text(settings_text(store.address))
            settings = read_platform_settings(file.read_text(), str(file)).ok_value
            if config is not None:
                store.put("config", "main", config)
            for server in servers:
                store.put("servers", server.instance, server.entry())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.run)
                for server in servers:
                    tasks.start_soon(server.run)
                node = PlatformNode(settings, str(file), metrics_port=0)
                tasks.start_soon(node.run)
                by_name = {server.instance: server for server in servers}
                place = Place(store, by_name, node, tasks)
                if config is not None:
                    assert await wait_until(node.ready, limit_s=5)
                await play(place)
                tasks.cancel_scope.cancel()

    anyio.run(main)


@then("a good settings file is read, and a field that is new does not matter")
def good_settings(context):
    read = read_platform_settings(settings_text("127.0.0.1:1"), "node.yaml")
    assert isinstance(read, Ok), read
    assert read.ok_value.stop_grace_ms == 8000 and read.ok_value.retry_window_ms == 10_000


@then("of a bad one every finding is listed with its line")
def bad_settings(context):
    text = "node_name: 7\nip: 10.0.0.1\nzone: z\nlisten:\n  front: here\nbounds: []\n"
    read = read_platform_settings(text, "node.yaml")
    found = {finding.field: finding for finding in read.err_value}
    wanted = {"node_name", "listen.front", "listen.ready", "bounds", "platform.address"}
    assert wanted <= found.keys(), found.keys()
    assert found["listen.front"].line == 5, found["listen.front"]


@then("all findings of a bad configuration are listed, and the last one stays")
def bad_config(context):
    bad = {"version": 9, "routes": [make_route("a", "/", "odd", "gone")], "services": []}
    read = read_configuration(b'{"version":')
    assert isinstance(read, Err) and len(read.err_value) == 1

    async def play(place):
        place.store.put("config", "main", bad)
        place.store.put("config", "other", {"version": 99})
        await anyio.sleep(0.3)
        assert place.node._forwarder.table.version == 3

    on_platform(web_servers(), play)
    assert len(read_configuration(msgspec.json.encode(bad)).err_value) == 2


def with_store(play):
    async def main():
        store = FakeStore()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(store.run)
            client = PlatformStore(store.address)
            await play(store, client)
            await client.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it lists page by page, and watches from a revision")
def lists_and_watches(context):
    async def play(store, client):
        for index in range(8):
            store.put("kind", f"n{index}", {"index": index})
        listing = (await client.list_objects("kind")).ok_value
        assert [item.name for item in listing.objects] == [f"n{index}" for index in range(8)]
        store.put("other", "x", {})
        store.remove("kind", "n3")
        changes = (await client.watch("kind", listing.revision, 500)).ok_value
        assert [(item.name, item.content) for item in changes.objects] == [("n3", None)]
        nothing = (await client.watch("kind", changes.revision, 50)).ok_value
        assert nothing.objects == () and nothing.revision == store.revision

    with_store(play)


@then("it tells a conflict, a lost answer, a refusal and a forgotten history apart")
def tells_apart(context):
    async def play(store, client):
        written = (await client.create("kind", "a", b'{"n":1}')).ok_value
        taken = (await client.create("kind", "a", b'{"n":2}')).err_value
        assert isinstance(taken, Conflict) and taken.found.revision == written.revision
        stale = (await client.replace("kind", "a", b"{}", written.revision - 1)).err_value
        assert isinstance(stale, Conflict), stale
        store.forget_history()
        assert (await client.watch("kind", 1, 50)).err_value == HistoryGone()
        store.fault = "lost"
        lost = (await client.replace("kind", "a", b"{}", written.revision)).err_value
        assert isinstance(lost, SourceFailure) and lost.applied, lost
        for fault in ("busy", "limited"):
            store.fault = fault
            refused = (await client.create("kind", "b", b"{}")).err_value
            assert isinstance(refused, SourceFailure) and not refused.applied, refused

    with_store(play)


@when("a caller sends a request with forged fields of the router")
def forged(context):
    context.servers_used = web_servers()

    async def play(place):
        fields = {"Stage": "prefill", "Kv-Hold": "x", "Expect-Instance": "y", "X-Own": "kept"}
        path = "/once/a%20b/?q=1&q=2"
        context.raw = await place.ask(path, "r1", fields, b"hello")

    on_platform(context.servers_used, play)


@then("the server sees the caller's path, id and body, and none of the forged fields")
def sees_own(context):
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


@then("a path without a route is answered 404")
def no_route(context):
    async def play(place):
        assert (await place.ask("/none/", "r1")).startswith(b"HTTP/1.1 404")

    on_platform(web_servers(), play)


@then("before there is a configuration the answer is 503, and the node is not ready")
def no_config(context):
    async def play(place):
        raw = await place.ask("/once/", "r1")
        assert raw.startswith(b"HTTP/1.1 503") and b"retry-after" in raw.lower(), raw
        assert not await place.ready()
        place.store.put("config", "main", CONFIG)
        assert await wait_until(place.node.ready, limit_s=2)

    on_platform(web_servers(), play, config=None)


@when("the only server answers a request that may not repeat with {fault}")
def answers_with(context, fault):
    context.servers_used = web_servers()
    context.servers_used[0].script = [fault]

    async def play(place):
        context.raw = await place.ask("/once/", "r1")

    on_platform(context.servers_used, play)


@then("the caller is told {status}, and the server ran it {runs} times")
def told(context, status, runs):
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


@when("one of two servers resets a repeatable request")
def resets_one(context):
    servers = web_servers(2)

    async def play(place):
        context.raws = []
        for turn in range(4):
            for server in servers:
                server.script = ["reset"] if server.instance == "w0" else []
            context.raws.append(await place.ask("/again/", f"r{turn}", method="GET"))

    on_platform(servers, play)


@then("the caller gets the other one's answer")
def others_answer(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws


@when("one of two servers says that it drains, or its entry goes")
def drains(context):
    servers = context.servers_used = web_servers(3)

    async def play(place):
        place.store.put("servers", "w0", servers[0].entry(state="draining"))
        place.store.remove("servers", "w1")
        await anyio.sleep(0.3)
        for turn in range(8):
            await place.ask("/once/", f"r{turn}")

    on_platform(servers, play)


@then("no request reaches it any more")
def reaches_none(context):
    assert [len(server.ran) for server in context.servers_used] == [0, 0, 8]


@when("the store still names a server whose address another one has")
def address_taken(context):
    servers = context.servers_used = web_servers(2)
    servers[0].instance = "w-new"

    async def play(place):
        ghost = servers[0].entry()
        place.store.put("servers", "w-old", ghost)
        place.store.remove("servers", "w-new")
        await anyio.sleep(0.3)
        context.raws = [await place.ask("/once/", f"r{turn}") for turn in range(6)]

    on_platform(servers, play)


@then("each request runs once at a server that was meant, and the lost one is asked once")
def asked_once(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws
    taken, sound = context.servers_used
    assert len(sound.ran) == 6 and not taken.ran
    assert len(taken.seen) <= 1, taken.seen


@when("a caller leaves while its request runs")
def leaves(context):
    servers = web_servers()
    servers[0].work_s = 5.0

    async def play(place):
        await place.ask("/once/", "r1", read_limit_s=0.2)
        context.freed = await wait_until(lambda: servers[0].left == ["r1"], limit_s=0.5)

    on_platform(servers, play)


@then("the server sees that within half a second")
def sees_left(context):
    assert context.freed


@when("a server works longer than the route's time")
def too_long(context):
    servers = web_servers()
    servers[0].work_s = 4.0

    async def play(place):
        began_s = time.monotonic()
        context.raw = await place.ask("/once/", "r1")
        context.took_s = time.monotonic() - began_s

    on_platform(servers, play)


@then("the caller is told 504 at that time")
def told_504(context):
    assert context.raw.startswith(b"HTTP/1.1 504"), context.raw
    assert 0.9 <= context.took_s <= 1.5, context.took_s


@when("a caller asks for a generation")
def generates(context):
    context.servers_used = engines()

    async def play(place):
        context.raw = await place.generate("/gen/", "g1")
        for server in context.servers_used:
            server.full = True
        began_s = time.monotonic()
        context.refused = await place.generate("/gen/", "g2")
        context.refused_s = time.monotonic() - began_s

    on_platform(context.servers_used, play)


@then("memory was reserved, the prompt read and the stream passed on")
def reserved(context):
    decoder = next(server for server in context.servers_used if server.ran)
    asked = [body for _, target, _, body in decoder.seen if target.endswith("hold-take")]
    assert b'"tokens":8100' in asked[0] and b'"tokens":8000' in asked[1], asked
    headers = next(headers for _, _, headers, _ in decoder.seen if "kv-hold" in headers)
    reader = context.servers_used[2]
    assert headers["kv-hold"] == "h1"
    assert headers["kv-source"] == f"{reader.address}/k-g1", headers
    assert reader.seen[0][2]["stage"] == "prefill" and reader.seen[0][3] == b"prompt"
    assert context.raw.count(b"data: ") == 3 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("when no memory is free it is refused at once, with a time to return")
def refused_early(context):
    assert context.refused.startswith(b"HTTP/1.1 503"), context.refused
    assert b"retry-after" in context.refused.lower() and context.refused_s < 0.3


@when("a caller asks for a generation and no endpoint reads prompts")
def no_reader(context):
    context.servers_used = engines()[:2]

    async def play(place):
        context.raw = await place.generate("/gen/", "g1")

    on_platform(context.servers_used, play)


@then("a decode endpoint reads by itself and the stream is passed on")
def reads_itself(context):
    seen = [headers for server in context.servers_used for _, _, headers, _ in server.seen]
    stream = next(headers for headers in seen if "kv-hold" in headers)
    assert "kv-source" not in stream, stream
    assert context.raw.count(b"data: ") == 3 and context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("the first decode server breaks a resumable stream inside an event")
def breaks_inside(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["break"]
        context.whole = await place.generate("/res/", "g1")
        context.runs = [len(server.ran) for server in servers]
        servers[0].script = servers[1].script = ["break"]
        context.broken = await place.generate("/gen/", "g2")

    on_platform(servers, play)


@then("the caller gets each event once, in order, with a good end")
def each_once(context):
    assert sum(context.runs) == 2, context.runs
    ids = [context.whole.find(b"\nid: %d" % number) for number in (1, 2, 3)]
    assert -1 not in ids and ids == sorted(ids), context.whole
    assert context.whole.count(b"data: ") == 3, context.whole
    assert context.whole.endswith(b"0\r\n\r\n")


@then("a stream that may not be resumed does not look complete")
def not_complete(context):
    assert b"id: 1" in context.broken and not context.broken.endswith(b"0\r\n\r\n")


@when("a node is told to stop while a request runs")
def told_to_stop(context):
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


@then("it says that it is not ready, and the request is answered whole")
def answered_whole(context):
    assert not context.ready
    assert context.raw.startswith(b"HTTP/1.1 200") and context.raw.endswith(b"r1"), context.raw


@when("the store is away while callers ask")
def store_away(context):
    servers = context.servers_used = web_servers(2)

    async def play(place):
        place.store.fault = "busy"
        place.store.forget_history()
        context.raws = [await place.ask("/once/", f"r{turn}") for turn in range(3)]
        place.store.remove("servers", "w0")
        await anyio.sleep(0.5)
        place.store.fault = None
        gone = place.node._directory
        context.in_force = await wait_until(lambda: "w0" not in gone.endpoints, limit_s=4)

    on_platform(servers, play)


@then("they are served, and a change made meanwhile is in force soon after its return")
def served_meanwhile(context):
    assert all(raw.startswith(b"HTTP/1.1 200") for raw in context.raws), context.raws
    assert context.in_force


class StuckStream(io.StringIO):
    """A pipe that nobody reads until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        self.released.wait(10)
        return super().write(text)


@when("far more lines are logged than a slow reader takes")
def logs_much(context):
    context.stream = StuckStream()
    handler = BoundedHandler(context.stream, most_per_s=50)
    record = logging.LogRecord("n", logging.INFO, "", 0, "event=x", None, None)
    began_s = time.monotonic()
    for _ in range(5000):
        handler.emit(record)
    context.took_s = time.monotonic() - began_s
    context.stream.released.set()
    time.sleep(1.1)
    record.created += 2
    handler.emit(record)
    handler.flush()
    time.sleep(0.1)


@then("logging goes on at once, and the lines left out are counted")
def goes_on_at_once(context):
    lines = context.stream.getvalue().splitlines()
    assert context.took_s < 1.0, context.took_s
    assert "event=log_lines_dropped count=4950" in lines, lines[-3:]
    assert lines.count("event=x") == 51, len(lines)
