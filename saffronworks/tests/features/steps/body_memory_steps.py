"""Scenarios on the bound over the request bodies of a node."""

import asyncio
import contextlib
import functools
import time
import traceback
from unittest.mock import AsyncMock, Mock, PropertyMock, patch

import anyio
from behave import then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks import clocks
from saffronworks.body_memory import (
    KIND_SHARE,
    MIN_BODY_MEMORY_SHARE,
    SLOW_BODY_GRACE_MS,
    SMALL_BODY_BYTES,
    BodyHold,
    BodyMemory,
    BodyMemoryFull,
    body_bound,
)
from saffronworks.bundles import Endpoint, PlainRoute
from saffronworks.claims import Claimed
from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.paths.messages import RELAY_FIELD, RelayRequest, decode_reply
from saffronworks.forwarding.paths.messages import encode as relay_encode
from saffronworks.forwarding.paths.relay_server import RelayServer
from saffronworks.forwarding.request_writer import RequestWriter
from saffronworks.standins.sites import wait_until
from saffronworks.tests.caller_fakes import FakeCaller
from saffronworks.tests.cpu_waits import cpu_wait_s
from saffronworks.tests.endpoint_fixtures import endpoints
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import CONFIG, on_platform
from saffronworks.tests.request_path import RequestPath
from saffronworks.tests.revisions import at
from saffronworks.web import Call, HttpServer, SlowBody, bind

MEMORY_MB = 70
BOUND_BYTES = body_bound(MEMORY_MB * 1_000_000)
LARGE_BYTES = 1_000_000
# Requests that only open a connection.
FIRST = "first"
# More than the kernel takes of a body that nobody reads, and the memory of a node that admits it.
UNREAD_BYTES = 16_000_000
UNREAD_MEMORY_MB = 400
# Bodies of LARGE_BYTES that the node admits at a time.
ADMITTED = 3
# A part of a body in chunks.
PART_BYTES = 100_000
WORK_S = 0.6


class Upload(FakeServer):
    """A server that counts the bytes of the bodies at work."""

    def __init__(self):
        super().__init__("w0", "web")
        self.at_work_bytes = self.most_bytes = 0

    async def _request(self, reader, writer, headers):
        body_bytes = len(self.seen[-1][3])
        self.work_s = WORK_S if body_bytes else 0.0
        self.at_work_bytes += body_bytes
        self.most_bytes = max(self.most_bytes, self.at_work_bytes)
        try:
            return await super()._request(reader, writer, headers)
        finally:
            self.at_work_bytes -= body_bytes


class Early(FakeServer):
    """A server that answers a request as soon as it has the head, and reads the body later."""

    def __init__(self):
        super().__init__("w0", "web")
        self.heads = []

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if line)
        own = {"Request-Id": fields["Request-Id"], "Server-Stamp": "s"}
        await self._reply(writer, 200, own, b"early")
        await asyncio.sleep(0.2)
        await reader.readexactly(int(fields["Content-Length"]))
        return True


def encode(request_id, body_bytes, *fields):
    lines = ["POST /again/ HTTP/1.1", "Host: h.example", f"Request-Id: {request_id}"]
    lines += ["Deadline-Ms: 20000", f"Content-Length: {body_bytes}", *fields, "", ""]
    return "\r\n".join(lines).encode()


async def read_answer(reader):
    """Return status, fields and body of an answer with a stated length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower().split("\r\n")
    fields = dict(line.split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(fields["content-length"]))
    return int(head[0].split(" ")[1]), fields, body


async def connect(place):
    """Return a connection that the node keeps: one that is late rejects new connections."""
    host, port = place.callers.split(":")
    for number in range(50):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{FIRST}{number}", 0))
            _, fields, _ = await read_answer(reader)
            if "connection" not in fields:
                return reader, writer
        except (ConnectionError, asyncio.IncompleteReadError):
            assert place.node._gate.rejected, "closed by a node that is not late"
        writer.close()
        await asyncio.sleep(0.1)
    raise AssertionError("no connection is kept")


@contextlib.asynccontextmanager
async def filled(place):
    """Let large requests fill the bound of a node, until they are served."""
    connections = [await connect(place) for _ in range(ADMITTED)]
    async with anyio.create_task_group() as tasks:
        for number, connection in enumerate(connections):
            tasks.start_soon(send_large, connection, f"fill{number}")
        bodies = place.node._bodies
        assert await wait_until(lambda: bodies.held_bytes == ADMITTED * LARGE_BYTES, limit_s=3)
        yield


async def send_large(connection, request_id, body_bytes=LARGE_BYTES, *fields):
    reader, writer = connection
    writer.write(encode(request_id, body_bytes, *fields) + b"x" * body_bytes)
    return await read_answer(reader)


def on_node(server, play, body_bytes=LARGE_BYTES, memory_mb=MEMORY_MB):
    config = CONFIG | {"limits": {"max_body_bytes": body_bytes, "idle_timeout_ms": 15_000}}
    limits = {"cpu_share": 0.5, "cores": 2, "memory_mb": memory_mb}
    on_platform([server], play, config=config, limits=limits)


@then("bodies that begin, arrive and end in any order stay within the bound and leave nothing")
def stays_within(_):
    operation = st.tuples(st.integers(0, 9), st.integers(0, 500_000), st.booleans())

    @forall(st.lists(operation, max_size=80))
    def check(operations):
        memory, open_holds = BodyMemory(2_000_000), {}
        held = dict.fromkeys(range(10), 0)
        for now_ms, (key, size_bytes, ends) in enumerate(operations):
            hold = open_holds.setdefault(key, memory.begin(now_ms))
            if ends:
                open_holds.pop(key).release(now_ms)
                held[key] = 0
                continue
            with contextlib.suppress(BodyMemoryFull):
                hold.reserve(size_bytes, now_ms)
                held[key] = max(held[key], size_bytes)
            assert memory.held_bytes == sum(held.values()) <= 2_000_000
        for hold in open_holds.values():
            hold.release(100)
        assert memory.held_bytes == 0

    check()


@then("while large bodies are refused there is memory for small ones, and the reverse")
def both_kinds(_):
    for filling_bytes, other_bytes in ((400_000, 50_000), (50_000, 400_000)):
        memory = BodyMemory(2_000_000)
        assert count_admitted(memory, filling_bytes) > 1
        assert count_admitted(memory, other_bytes) >= 1


def count_admitted(memory, size_bytes):
    for admitted in range(1000):
        try:
            memory.begin(0).reserve(size_bytes, 0)
        except BodyMemoryFull:
            return admitted
    raise AssertionError("bodies without a bound")


@then("the bound grows with the memory limit, and leaves no node without any")
def by_limit(_):
    assert body_bound(None) is None
    for memory_mb in (32, 70, 88, 128, 150, 260, 552):
        memory_bytes = memory_mb * 1_000_000
        bound_bytes = body_bound(memory_bytes)
        assert MIN_BODY_MEMORY_SHARE * memory_bytes <= bound_bytes < memory_bytes / 2 + 30_000_000
        assert body_bound(memory_bytes, memory_bytes // 8) <= bound_bytes
        assert BodyMemory(bound_bytes).max_body_bytes >= SMALL_BODY_BYTES


@when("30 slow bodies and then 30 more than fit are refused within a second")
def refuse_slow_and_full(context):
    memory = BodyMemory(1)
    for _ in range(30):
        memory.count_refusal("slow")
    context.not_logged = []
    for now_ms in (*range(30), 1000):
        memory.count_refusal("full")
        context.not_logged.append(memory.limit_refusal_log(now_ms))
    assert memory.refused == {"slow": 30, "full": 31}


@then("20 of the latter are logged, and the next line says that 10 were not")
def ten_not_logged(context):
    assert context.not_logged == [0] * 20 + [None] * 10 + [10], context.not_logged


@when("100 more bodies are refused within a second while 1000 small ones are at work")
def refuse_beside_many(context):
    memory = BodyMemory(1_000_000 / KIND_SHARE)
    for _ in range(1000):
        memory.begin(0).reserve(1000, 0)
    is_slow, is_large = Mock(return_value=False), PropertyMock(return_value=False)
    with patch.object(BodyHold, "is_slow", is_slow), patch.object(BodyHold, "large", is_large):
        for now_ms in range(0, 1000, 10):
            with contextlib.suppress(BodyMemoryFull):
                memory.begin(now_ms).reserve(1000, now_ms)
                raise AssertionError("not refused")
            assert memory.room_after_ms(1000, now_ms) > 0
    context.looked_at = is_slow.call_count + is_large.call_count


@then("all bodies at work are searched for slow ones at most every 100 ms")
def searched_seldom(context):
    # Each refusal also looks at its own body.
    assert context.looked_at <= 10 * 1000 + 100, context.looked_at


@when("other bodies are refused while 60 arrive at 20 kB/s each, and three have stalled")
def share_link(context):
    memory = BodyMemory(int(63 * 100_000 / KIND_SHARE))
    given_up, holds = [], [memory.begin(0) for _ in range(64)]
    # The last one is large, so that the small ones find no room in its place.
    for number, hold in enumerate(holds):
        hold.reserve(100_000 if number < 63 else 200_000, 0)
        hold.on_slow = functools.partial(given_up.append, number)
    for now_ms in range(100, 2200, 100):
        for number, hold in enumerate(holds[3:], 3):
            # The later ones are a little slower.
            hold.receive(2000 - number, now_ms)
    context.given_up = []
    for now_ms in (2200, 2300):
        with contextlib.suppress(BodyMemoryFull):
            for _ in range(3):
                memory.begin(now_ms).reserve(131_000, now_ms)
        context.given_up.append(sorted(given_up))
        for number in given_up:
            holds[number].release(now_ms)
        given_up.clear()


@then("the three are given up first, and then only the slowest one, as the next needs no more")
def given_up_for_one(context):
    assert context.given_up == [[0, 1, 2], [62]], context.given_up


@when("callers send more large bodies at once than a node has memory for, and small ones")
def many_large(context):
    server = context.server = Upload()
    context.large, context.small, context.next = [], [], []

    async def send(connection, request_id, closes):
        reader, writer = connection
        sent_s, waited_s = time.monotonic(), cpu_wait_s()
        own = ["Connection: close"] if closes else []
        status, fields, _ = await send_large(connection, request_id, LARGE_BYTES, *own)
        # Other processes on the machine don't make a refusal late.
        took_s = time.monotonic() - sent_s - (cpu_wait_s() - waited_s)
        context.large.append((request_id, status, fields, took_s))
        if "connection" in fields:
            # Neither a reset nor further bytes.
            assert await reader.read() == b""
        elif status == 503:
            writer.write(encode(f"next-{request_id}", 3) + b"abc")
            context.next.append((await read_answer(reader))[0])
        writer.close()

    async def send_small(connection, request_id):
        reader, writer = connection
        writer.write(encode(request_id, 1000) + b"x" * 1000)
        context.small.append((await read_answer(reader))[0])
        writer.close()

    async def play(place):
        connections = [await connect(place) for _ in range(24)]
        async with anyio.create_task_group() as tasks:
            for number, connection in enumerate(connections[:16]):
                tasks.start_soon(send, connection, f"large{number}", number % 2 == 0)
            await anyio.sleep(0.1)
            for number, connection in enumerate(connections[16:]):
                tasks.start_soon(send_small, connection, f"small{number}")
        assert await wait_until(lambda: not place.node._bodies.held_bytes, limit_s=2)
        context.counted = place.node._bodies.refused["full"]

    with LogLines("saffronworks.platform.ingress") as context.lines:
        on_node(server, play)


@then("the large bodies at work stay within the bound, and the others get 503 at once")
def within_bound(context):
    statuses = [status for _, status, *_ in context.large]
    assert 0 < context.server.most_bytes <= BOUND_BYTES, context.server.most_bytes
    assert len(statuses) == 16 and set(statuses) == {200, 503}, statuses
    assert statuses.count(200) >= ADMITTED, statuses
    times = [took_s for _, status, _, took_s in context.large if status == 503]
    assert max(times) < WORK_S, times


@then("each refusal is whole, has a Retry-After and its request is not run")
def refused_whole(context):
    for request_id, status, fields, _ in context.large:
        if status == 503:
            assert float(fields["retry-after"]) > 0, fields
            assert fields["request-id"] == request_id and request_id not in context.server.ran


@then("all small requests are served")
def small_served(context):
    assert context.small == [200] * 8, context.small


@then("a connection whose request was refused serves the next one")
def next_served(context):
    assert context.next and set(context.next) == {200}, context.next


@then("the node counts and logs the refusals, and no memory is left taken")
def counted(context):
    refused = sum(status == 503 for _, status, *_ in context.large)
    logged = [line for line in context.lines if "reason=bodies-full" in line]
    assert context.counted == len(logged) == refused > 0, (context.counted, len(logged), refused)


@when("large bodies fill the bound of a node, and another one comes in chunks")
def in_chunks(context):
    context.server = Upload()

    async def play(place):
        reader, writer = await connect(place)
        async with filled(place):
            head = encode("other", 0, "Transfer-Encoding: chunked")
            writer.write(head.replace(b"Content-Length: 0\r\n", b""))
            for _ in range(10):
                writer.write(b"186a0\r\n" + b"x" * 100_000 + b"\r\n")
            writer.write(b"0\r\n\r\n")
            context.answer = await read_answer(reader)
            writer.close()

    on_node(context.server, play)


def chunked_call(send):
    """Return a call whose body comes in parts without end."""
    part = {"type": "http.request", "body": b"x" * PART_BYTES, "more_body": True}
    scope = {"method": "POST", "path": "/v1/completions", "raw_path": b"/", "query_string": b""}
    scope["headers"] = [(b"transfer-encoding", b"chunked")]
    return Call(scope, AsyncMock(return_value=part), send)


@when("a body in chunks is refused after most of it has arrived")
def refused_late(context):
    async def play():
        call = chunked_call(AsyncMock())
        call.body_hold = BodyMemory(10 * PART_BYTES).begin(monotonic_ms())
        try:
            await call.body(20 * PART_BYTES)
        except BodyMemoryFull as full:
            context.received = call._receive.await_count
            frames = [frame.f_locals for frame, _ in traceback.walk_tb(full.__traceback__)]
            kept = [value for values in frames for value in values.values()]
            context.kept_bytes = sum(len(one) for one in kept if isinstance(one, bytearray))

    anyio.run(play)


@then("nothing that handles the refusal keeps the part that has arrived")
def nothing_kept(context):
    assert context.received > 5 and context.kept_bytes == 0, (context.received, context.kept_bytes)


class CountingTransport(asyncio.Transport):
    """Takes all that is written, and keeps nothing."""

    written_bytes = 0

    def write(self, data):
        self.written_bytes += len(data)

    def is_closing(self):
        return False


@when("a connection sends a large body with pauses, and another one is lost before its end")
def bodies_are_sent(context):
    context.bodies = [bytearray(LARGE_BYTES), bytearray(LARGE_BYTES)]
    sent, lost = context.writers = [RequestWriter() for _ in context.bodies]
    transports = [CountingTransport() for _ in context.bodies]
    for writer, transport, body in zip((sent, lost), transports, context.bodies, strict=True):
        writer.pause()
        writer.write(transport, b"", body)
        assert not writer.written
    sent.resume()
    lost.discard()
    assert sent.written and transports[0].written_bytes == LARGE_BYTES


@then("both bodies can be freed")
def bodies_can_be_freed(context):
    for body in context.bodies:
        # Raises BufferError while a view of the body is left.
        body.clear()


@then("a node of an own deployment counts it as free when the refusal is sent")
def counted_as_free(_):
    path = RequestPath()
    bodies = path.frontend.bodies = BodyMemory(10 * PART_BYTES)
    held = []

    class Refused(FakeCaller):
        async def send(self, message):
            held.append((message.get("status"), bodies.held_bytes))

    anyio.run(path.frontend.handle, chunked_call(Refused().send))
    assert held[0] == (503, 0), held


@when("large bodies fill the bound of a node, and another caller awaits 100 Continue")
def awaits_continue(context):
    context.server = Upload()

    async def play(place):
        reader, writer = await connect(place)
        async with filled(place):
            writer.write(encode("other", LARGE_BYTES, "Expect: 100-continue"))
            async with asyncio.timeout(WORK_S / 2):
                context.answer = await read_answer(reader)
                assert await reader.read() == b""
            writer.close()

    on_node(context.server, play)


@when("a caller of a node awaits 100 Continue for a body beyond the limit")
def too_large(context):
    async def play(place):
        reader, writer = await connect(place)
        writer.write(encode("other", 3 * LARGE_BYTES, "Expect: 100-continue"))
        async with asyncio.timeout(WORK_S):
            context.answer = await read_answer(reader)
            context.rest = await reader.read()
        writer.close()

    on_node(Upload(), play)


@then("it gets a whole 413, and its connection is closed")
def gets_413(context):
    status, fields, _ = context.answer
    assert (status, context.rest) == (413, b""), context.answer
    assert fields["connection"] == "close", fields


@then("it gets a whole 503, and its request is not run")
def gets_503(context):
    status, fields, _ = context.answer
    assert status == 503 and "retry-after" in fields, context.answer
    ran = [request_id for request_id in context.server.ran if not request_id.startswith(FIRST)]
    assert sorted(ran) == [f"fill{number}" for number in range(ADMITTED)]


@when("callers that send nothing of their bodies fill the bound of a node")
def send_nothing(context):
    context.server = Upload()

    async def play(place):
        stalled = [await connect(place) for _ in range(ADMITTED)]
        others = [await connect(place) for _ in range(3)]
        for number, (_, writer) in enumerate(stalled):
            writer.write(encode(f"stalled{number}", LARGE_BYTES))
        bodies = place.node._bodies
        assert await wait_until(lambda: bodies.held_bytes == ADMITTED * LARGE_BYTES, limit_s=3)
        context.statuses = []
        for request_id in ("early", "late", "served"):
            status, *_ = await send_large(others.pop(), request_id)
            context.statuses.append(status)
            if request_id == "early":
                await anyio.sleep(SLOW_BODY_GRACE_MS / 1000)
        context.stalled = [(await read_answer(reader))[0] for reader, _ in stalled]
        for _, writer in stalled:
            writer.close()

    on_node(context.server, play)


@then("they get 408 once others are refused, and the others are served then")
def stalled_end(context):
    assert context.statuses == [503, 503, 200], context.statuses
    assert context.stalled == [408] * ADMITTED, context.stalled


@when("an endpoint answers requests with large bodies before it reads them")
def answers_early(context):
    context.server = Early()

    async def play(place):
        connection = await connect(place)
        for number in range(4):
            status, _, body = await send_large(connection, f"early{number}", UNREAD_BYTES)
            assert (status, body) == (200, b"early"), (status, body)

    on_node(context.server, play, UNREAD_BYTES, UNREAD_MEMORY_MB)


@then("each request comes on a connection of its own, and none within a body")
def own_connections(context):
    heads = context.server.heads
    large = [head for head in heads if b"Request-Id: early" in head]
    assert len(large) == 4 and all(head.startswith(b"POST /again/") for head in heads), heads
    assert context.server.connections >= 4, context.server.connections


@when("callers of a node of an own deployment hold its memory for bodies, and another one comes")
def own_deployment(context):
    path = RequestPath()
    path.frontend.bodies = BodyMemory(BOUND_BYTES)
    head = encode("own", LARGE_BYTES).replace(b"/again/", b"/v1/completions")

    async def main():
        server = HttpServer(bind("127.0.0.1:0"), path.frontend.handle)
        host, port = server.address.split(":")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            stalled = [await asyncio.open_connection(host, int(port)) for _ in range(ADMITTED)]
            for _, writer in stalled:
                writer.write(head)
            bodies = path.frontend.bodies
            assert await wait_until(lambda: bodies.held_bytes == ADMITTED * LARGE_BYTES, 3)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head + b"x" * LARGE_BYTES)
            context.answer = await read_answer(reader)
            for _, stalled_writer in stalled:
                stalled_writer.close()
            assert await wait_until(lambda: not bodies.held_bytes, 3)
            writer.write(head + b"x" * LARGE_BYTES)
            context.later = await read_answer(reader)
            writer.close()
            tasks.cancel_scope.cancel()

    clocks.run(main)
    context.counts = path.ends.counts


@then("it gets a whole 503 as not run, and is served once they have left")
def own_refused(context):
    status, fields, _ = context.answer
    assert status == 503 and fields["saffronworks-outcome"] == "not-run", context.answer
    assert int(fields["retry-after"]) > 0 and context.counts["body-refused"] == 1, context.counts
    # The body is read, and is no JSON.
    assert context.later[0] == 400 and b"not JSON" in context.later[2], context.later


@when("a caller sends half of a body that is refused, and the other half 1.3 s later")
def silent_within(context):
    path = RequestPath()
    path.frontend.bodies = BodyMemory(1)
    half = b"x" * (LARGE_BYTES // 2)

    async def main():
        server = HttpServer(bind("127.0.0.1:0"), path.frontend.handle)
        host, port = server.address.split(":")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            reader, writer = await asyncio.open_connection(host, int(port))
            head = encode("r1", LARGE_BYTES).replace(b"/again/", b"/v1/completions")
            writer.write(head + half)
            await asyncio.sleep(1.3)
            writer.write(half + b"GET /healthz HTTP/1.1\r\nHost: h.example\r\n\r\n")
            context.answers = [await read_answer(reader), await read_answer(reader)]
            writer.close()
            tasks.cancel_scope.cancel()

    clocks.run(main)


@then("it gets a whole 503, and its connection serves the next request")
def refused_and_kept(context):
    assert [status for status, *_ in context.answers] == [503, 200], context.answers


@when("a plain call with a key sends its body too slowly to a node of an own deployment")
def slow_own(context):
    context.path, context.claimant = RequestPath(), Mock(claim=AsyncMock(return_value=Claimed()))
    frontend = context.path.frontend
    frontend._claimant, frontend.bodies = context.claimant, BodyMemory(BOUND_BYTES)
    route = PlainRoute("web", "/", (Endpoint("w", "127.0.0.1:1", "z"),))
    context.path.entry.routes.plain.append(route)
    context.caller = caller = FakeCaller("POST")
    caller._request.clear()
    caller.call.headers |= {"idempotency-key": "bill-17", "content-length": "1000"}

    async def play():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.path.serve, caller)
            await anyio.wait_all_tasks_blocked()
            # Slow bodies are given up once others lack memory.
            with contextlib.suppress(BodyMemoryFull):
                frontend.bodies.begin(0).reserve(BOUND_BYTES, monotonic_ms())

    anyio.run(play)


@then("it gets a whole 408 as not run, and its key is free again")
def slow_own_not_run(context):
    caller, settled = context.caller, context.claimant.settle_not_run
    assert caller.whole and caller.status == 408, (caller.status, caller.body, caller.error)
    assert caller.headers["saffronworks-outcome"] == "not-run", caller.headers
    assert int(caller.headers["retry-after"]) > 0, caller.headers
    claimed_by = context.claimant.claim.await_args.args
    settled.assert_called_once_with(*claimed_by)
    assert not context.path.frontend.bodies.held_bytes


async def relay_body(context, body):
    """Relay a request whose body is read as `body`, within 50 ms."""
    context.caller = caller = FakeCaller("POST")
    context.bodies = BodyMemory()
    directory = Directory()
    (endpoint,) = endpoints(1)
    directory.replace([endpoint], at(1), now_ms=0)
    context.relays = RelayServer(
        directory, Mock(), Mock(), lambda: LARGE_BYTES, monotonic_ms, context.bodies
    )
    request = relay_encode(RelayRequest(endpoint.instance, left_ms=50))
    caller.call.fields = [(RELAY_FIELD, request)]
    caller.call.body = body
    with anyio.fail_after(2):
        await context.relays.handle(caller.call)
    context.status = caller.status
    fields = {name.lower(): value for name, value in caller.headers.items()}
    context.reply = decode_reply(fields[RELAY_FIELD.lower()]).ok_value


@when("a body that another node relays arrives too slowly")
def slow_relayed(context):
    slow = AsyncMock(side_effect=SlowBody("the body arrives too slowly"))
    anyio.run(relay_body, context, slow)


@when("the rest of a body that another node relays does not come")
def unfinished_relayed(context):
    async def wait(_):
        context.caller.call.body_hold.reserve(LARGE_BYTES, monotonic_ms())
        await anyio.sleep_forever()

    anyio.run(relay_body, context, wait)


@then("the relay is refused as not sent once its time is over, and its memory is free")
def unfinished_refused(context):
    assert (context.status, context.reply.failure) == (502, "body-timeout"), context.reply
    assert not context.reply.sent and context.caller.closed
    assert not context.bodies.held_bytes and not context.relays.open_requests


@then("the other node is told of a slow body, and that nothing was sent")
def told_of_slow_body(context):
    assert (context.status, context.reply.failure) == (502, "body-slow"), context.reply
    assert not context.reply.sent
