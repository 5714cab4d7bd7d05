"""Callers' kept connections at a server on a real socket."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream
from behave import given, then, when

from saffronworks.http_connections import LookAgain, decide_close
from saffronworks.web import Call, HttpServer, bind, parse_address

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
SHORT_IDLE_S = 0.3
LONG_IDLE_S = 3.0
# A rest within the long timeout and beyond the short one.
REST_S = 0.8
ANSWER_TIMEOUT_S = 3.0


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
        tasks.cancel_scope.cancel()


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
