"""Callers' kept connections at a server on a real socket."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import attrs
from anyio.abc import SocketStream
from behave import given, then, when

from saffronworks.forwarding.routing import CallerLimits
from saffronworks.http_connections import LookAgain, decide_close
from saffronworks.nodes import Node
from saffronworks.standins.sites import SiteShape
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_place import CONFIG, on_platform
from saffronworks.tests.plays import on_site
from saffronworks.web import Call, HttpServer, bind, parse_address

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n"
SHORT_IDLE_S = 0.3
LONG_IDLE_S = 3.0
# A rest within the long timeout and beyond the short one.
REST_S = 0.8
ANSWER_TIMEOUT_S = 3.0
# When a node of an own deployment without requests has ended its drain.
OWN_DRAIN_S = 1.0


async def reply(call: Call) -> None:
    """Answer a request."""
    await call.reply(200, {})


@asynccontextmanager
async def serving(handler=reply, **options) -> AsyncIterator[HttpServer]:
    """Yield a server that runs."""
    server = HttpServer(bind("127.0.0.1:0"), handler, **options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        yield server
        server.stop()


async def connect(server: HttpServer) -> SocketStream:
    """Open a caller's connection."""
    return await anyio.connect_tcp(*parse_address(server.address))


async def receive(stream: SocketStream) -> bytes:
    """Return what the server sends next; empty if it closed the connection."""
    try:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            return await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return b""


async def ask(stream: SocketStream) -> bytes:
    """Send one request and return its answer; empty without one."""
    try:
        await stream.send(REQUEST)
    except anyio.BrokenResourceError:
        return b""
    return await receive(stream)


def connect_now(server: HttpServer | Node) -> socket.socket:
    """Open a caller's connection before the server's event loop takes its next turn."""
    address = server.caller_address if isinstance(server, Node) else server.address
    return socket.create_connection(parse_address(address), ANSWER_TIMEOUT_S)


async def receive_answer(caller: socket.socket) -> bytes:
    """Return one answer whose body is an object."""
    received = b""
    while not received.endswith(b"}"):
        data = await anyio.to_thread.run_sync(caller.recv, 4096)
        assert data, received
        received += data
    return received


async def receive_all(caller: socket.socket) -> bytes:
    """Return what the server sends until it closes the connection, or what failed."""
    received = b""
    try:
        while data := await anyio.to_thread.run_sync(caller.recv, 65_536):
            received += data
    except OSError as error:
        received += repr(error).encode()
    caller.close()
    return received


@when("the idle timeout is raised while a connection rests, and during a request")
def step_raise_idle_timeout(context):
    async def play() -> list[bytes]:
        asked, answering = anyio.Event(), anyio.Event()

        async def handle(call: Call) -> None:
            asked.set()
            await answering.wait()
            await reply(call)

        async with serving(handle, idle_s=SHORT_IDLE_S) as server:
            during = await connect(server)
            await during.send(REQUEST)
            await asked.wait()
            server.set_keep_alive(LONG_IDLE_S)
            answering.set()
            await receive(during)
            server.set_keep_alive(SHORT_IDLE_S)
            resting = await connect(server)
            await ask(resting)
            server.set_keep_alive(LONG_IDLE_S)
            await anyio.sleep(REST_S)
            return [await ask(during), await ask(resting)]

    context.answers = anyio.run(play)


@then("a request after a rest within the raised timeout is answered on both")
def step_raised_timeout_reached(context):
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in context.answers), context.answers


@given("an idle timeout of {before:d} ms that becomes {after:d} ms at {changed:d} ms")
def step_changing_timeout(context, before, after, changed):
    context.idle_ms_at = lambda now_ms: after if now_ms >= changed else before


@when("a request ends at {ended:d} ms and its connection rests")
def step_rest(context, ended):
    now_ms, promised_ms = ended, context.idle_ms_at(ended)
    next_look = LookAgain(promised_ms)
    while isinstance(next_look, LookAgain):
        now_ms += next_look.after_ms
        next_look = decide_close(now_ms - ended, promised_ms, context.idle_ms_at(now_ms))
    context.closed_ms = now_ms


@then("the connection is closed at {closed:d} ms")
def step_closed_at(context, closed):
    assert context.closed_ms == closed, context.closed_ms


@when("the idle timer fires in the turn of the event loop in which a request arrives")
def step_request_as_timer_fires(context):
    async def play() -> list[bytes]:
        async with serving(idle_s=SHORT_IDLE_S) as server:
            caller = connect_now(server)
            caller.sendall(REQUEST)
            await receive_answer(caller)
            loop = asyncio.get_running_loop()
            # A long turn, after which the request is sent and the timer fires in one.
            loop.call_later(SHORT_IDLE_S / 2, time.sleep, SHORT_IDLE_S)
            loop.call_later(SHORT_IDLE_S * 0.75, caller.sendall, REQUEST)
            return [await receive_all(caller)]

    context.answers = anyio.run(play)


@when("the server stops as a caller has sent {part}")
def step_stop_amid_request(context, part):
    before, after = {
        "a request on a kept connection": (b"", REQUEST),
        "half a head": (REQUEST[:20], REQUEST[20:]),
        "half a body": (POST + b"ab", b"cd"),
    }[part]

    async def handle(call: Call) -> None:
        await call.body(100)
        await reply(call)

    async def play() -> list[bytes]:
        async with serving(handle) as server:
            caller = connect_now(server)
            caller.sendall(REQUEST)
            await receive_answer(caller)
            await anyio.sleep(REST_S)
            caller.sendall(before)
            await anyio.sleep(0.1)
            server.stop()
            caller.sendall(after)
            return [await receive_all(caller)]

    context.answers = anyio.run(play)


@when("the server stops as new connections wait, each with a request")
def step_stop_with_backlog(context):
    async def play(turns: int) -> bytes:
        async with serving() as server:
            await anyio.sleep(0.1)
            caller = connect_now(server)
            caller.sendall(REQUEST)
            for _ in range(turns):
                await asyncio.sleep(0)
            server.stop()
            return await receive_all(caller)

    # In each of these turns the event loop has got further in accepting the connection.
    context.answers = [anyio.run(play, turns) for turns in range(5)]


@when("a caller of a node that stops has sent half a head, and completes it after the drain")
def step_stop_own_node(context):
    async def play(site, _tasks):
        node = site.nodes[0]
        caller = connect_now(node)
        caller.sendall(b"GET /v1/models HTTP/1.1\r\n")
        await anyio.sleep(0.1)
        node.stop()
        await anyio.sleep(OWN_DRAIN_S)
        caller.sendall(b"host: x\r\n\r\n")
        context.answers = [await receive_all(caller)]

    on_site(context, SiteShape(), play)


@when("the server stops after the head of an answer, and the caller reuses its connection")
def step_reuse_after_stop(context):
    async def play() -> list[bytes]:
        begun, stopped = anyio.Event(), anyio.Event()

        async def handle(call: Call) -> None:
            if not begun.is_set():
                await call.start(200, {"content-length": "2"})
                begun.set()
                await stopped.wait()
                await call.write(b"{}", more=False)
            else:
                await reply(call)

        async with serving(handle) as server:
            caller = connect_now(server)
            caller.sendall(REQUEST)
            await begun.wait()
            server.stop()
            await anyio.sleep(0.05)
            stopped.set()
            first = await receive_answer(caller)
            assert b"connection: close" not in first, first
            caller.sendall(REQUEST)
            return [await receive_all(caller)]

    context.answers = anyio.run(play)


@then("each request is answered")
def step_each_answered(context):
    for answer in context.answers:
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"}"), context.answers


@then("its answer announces that the connection is closed")
def step_close_announced(context):
    assert all(b"connection: close" in answer for answer in context.answers), context.answers


HEADER_BYTES = 2000
HEADER_TIMEOUT_MS = 300
START = b"GET / HTTP/1.1\r\nrequest-id: r1\r\n"
# What a caller sends at first, and then again and again.
ENDLESS_HEADS = {
    "a field without an end": (START + b"x: ", b"x" * 500),
    "a target without an end": (b"GET /", b"x" * 500),
    "fields without an end": (START, b"x: x\r\n" * 100),
    "a whole head that is too large": (START + b"x: " + b"x" * 2000 + b"\r\n\r\n", b""),
    "half a head and nothing more": (START, b""),
    "half a head and then byte by byte": (START + b"x: ", b"x"),
    "an end after a request that is slow": (REQUEST + START + b"x: ", b"x" * 500),
}


@when("a caller sends {head} to a server whose heads have 2000 bytes and 300 ms at most")
def step_endless_head(context, head):
    first, more = ENDLESS_HEADS[head]
    answered = head.startswith("an end after")

    async def handle(call: Call) -> None:
        if answered and call.headers.get("host") == "x":
            await anyio.sleep(REST_S / 2)
        await reply(call)

    async def send(caller: socket.socket) -> None:
        while more:
            try:
                await anyio.to_thread.run_sync(caller.sendall, more)
            except OSError:
                return
            await anyio.sleep(0.02)

    async def play() -> None:
        async with serving(handle, echoed_field="request-id") as server:
            server.set_header_limits(HEADER_BYTES, HEADER_TIMEOUT_MS)
            caller = connect_now(server)
            began_s = time.monotonic()
            caller.sendall(first)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, caller)
                context.other = await ask(await connect(server))
                context.refused = await receive_all(caller)
            context.elapsed_ms = 1000 * (time.monotonic() - began_s)
            if answered:
                whole, _, context.refused = context.refused.partition(b"{}")
                assert whole.startswith(b"HTTP/1.1 200"), whole

    anyio.run(play)


@then("it gets status {status} once, and its connection is closed within {within:d} ms")
def step_refused(context, status, within):
    refused = context.refused
    assert refused.startswith(b"HTTP/1.1 " + status.encode()), refused
    assert refused.endswith(b"}") and refused.count(b"HTTP/1.1") == 1, refused
    assert b"connection: close" in refused, refused
    assert context.elapsed_ms < within, context.elapsed_ms


@then("a caller within the limits is served meanwhile")
def step_other_served(context):
    assert context.other.startswith(b"HTTP/1.1 200"), context.other


@when("a caller sends a head of the largest size byte by byte")
def step_largest_head(context):
    fields = b"host: x\r\nconnection: close\r\nx: "
    head = b"GET / HTTP/1.1\r\n" + fields + b"x" * (HEADER_BYTES - len(fields) - 2)

    async def play() -> list[bytes]:
        async with serving() as server:
            server.set_header_limits(HEADER_BYTES, 1000 * ANSWER_TIMEOUT_S)
            caller = connect_now(server)
            for byte in head + b"\r\n\r\n":
                caller.send(bytes([byte]))
                await asyncio.sleep(0)
            return [await receive_all(caller)]

    context.answers = anyio.run(play)


@when("a node with a configuration is given an older one with other limits")
def step_older_configuration(context):
    async def play(place):
        node = place.node
        limits = CallerLimits(2000, 2000, 2000, 2000)
        older = attrs.evolve(node._forwarder.table, version=CONFIG["version"] - 1, limits=limits)
        node._apply_table(older)
        context.policy = attrs.evolve(node._callers._policy)

    on_platform([], play)


@then("callers' connections keep the limits of the newer one")
def step_newer_limits(context):
    policy = context.policy
    kept = CallerLimits(policy.header_bytes, 0, int(policy.idle_ms), int(policy.header_ms))
    assert kept == CallerLimits(body_bytes=0), kept


@when("connections are closed after a rest, by their callers, and with a request unread")
def step_close_connections(context):
    async def play():
        callers = []

        async def handle(call: Call) -> None:
            closing = len(callers) > 2
            await call.reply(200, {}, {"connection": "close"} if closing else {})
            if closing:
                callers[-1].sendall(REQUEST)

        async with serving(handle, idle_s=SHORT_IDLE_S) as server:
            for _ in range(4):
                callers.append(connect_now(server))
                callers[-1].sendall(REQUEST)
                await receive_answer(callers[-1])
                if len(callers) == 1:
                    await receive_all(callers[-1])
                callers[-1].close()
                await anyio.sleep(0.05)
            context.closed = dict(server.closed_connections)

    with LogLines("saffronworks.http_connections") as context.lines:
        anyio.run(play)


@then("the server counts 1 idle, 1 caller and 2 answer")
def step_counts(context):
    assert context.closed == {"idle": 1, "caller": 1, "answer": 2}, context.closed


@then("one line tells of unread bytes within a second")
def step_unread_logged(context):
    (line,) = context.lines
    assert f"event=connection_closed reason=answer unread_bytes={len(REQUEST)} " in line, line


@when("a caller sends half a body to a node, with a deadline of 300 ms")
def step_half_a_body(context):
    async def play(place):
        address = parse_address(place.node.settings.caller_address)
        caller = socket.create_connection(address, ANSWER_TIMEOUT_S)
        caller.sendall(POST.replace(b"host", b"deadline-ms: 300\r\nhost") + b"ab")
        context.refused = await receive_answer(caller)
        caller.sendall(b"cd" + REQUEST)
        context.next = await receive_answer(caller)
        caller.close()

    on_platform([], play)


@then("it gets status 408 once, and the rest of the body changes nothing")
def step_body_refused(context):
    assert context.refused.startswith(b"HTTP/1.1 408"), context.refused
    # The next request is read as one, and lacks its id.
    assert context.next.startswith(b"HTTP/1.1 400"), context.next
