"""Scenarios on one connection to an endpoint: matching answers to requests, without sockets."""

import asyncio
import socket

import anyio
from behave import then, when

from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.tuning import MOST_BUFFERED_BYTES
from saffronworks.tests.connection_fakes import connect, receive
from saffronworks.tests.endpoint_fixtures import endpoints
from saffronworks.tests.platform_fakes import FakeServer

OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nown"
CONTROL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nhold"
IN_CHUNKS = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILER = b"3\r\nown\r\n0\r\nServer-Stamp: s\r\n\r\n"
HEAD_WITH_BODY = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nown"


@when("a duplicate of the previous answer arrives before the answer to a control call")
def duplicate_before_control(context):
    async def play():
        context.connection = connect()
        await receive(context.connection, OWN, "r1")
        assert context.connection.finished
        context.head, context.body = await receive(context.connection, OWN + CONTROL, None)

    anyio.run(play)


@then("the control call gets its own answer, and the connection is not reused")
def control_answer(context):
    assert (context.head.status, context.body) == (503, b"hold"), (context.head, context.body)
    assert not context.connection.finished


@when("a chunked answer has a trailer after its body")
def trailer(context):
    async def play():
        context.head, context.body = await receive(connect(), IN_CHUNKS + TRAILER, "r1")

    anyio.run(play)


@then("its head does not contain the trailer field")
def head_without_trailer(context):
    assert context.body == b"own" and context.head.get("server-stamp") is None, context.head


@when("an endpoint answers a HEAD request with a part of a body")
def body_after_head(context):
    async def play():
        context.connection = connect()
        _, body = await receive(context.connection, HEAD_WITH_BODY, "r1", bodiless=True)
        assert body == b"", body

    anyio.run(play)


@then("the connection is not reused")
def not_reused(context):
    assert not context.connection.finished


@when("a request is answered without an id")
def answered_without_id(context):
    async def play():
        context.connection = connect()
        await receive(context.connection, CONTROL, "r1")

    anyio.run(play)


@when("an endpoint closes an idle connection, and another request follows in the same turn")
def closes_unread(context):
    async def play():
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        endpoint = ServiceEndpoint("e0", "s", address, "z")
        pool = ConnectionPool("Request-Id")
        first = await pool.acquire(endpoint)
        pool.release(endpoint, first)
        assert pool.acquire_idle(endpoint) is first
        pool.release(endpoint, first)
        listener.accept()[0].close()
        context.reused = pool.acquire_idle(endpoint)
        pool.close()
        listener.close()

    anyio.run(play)


@then("a request is sent on another connection")
def not_reused(context):
    assert context.reused is None


@then("a connection on which a control call was refused serves only control calls")
def serves_control_calls(context):
    """Guards against a duplicate of the refusal that counts as a request's answer: not run."""

    async def play():
        pool, (endpoint,) = ConnectionPool("Request-Id"), endpoints(1)

        async def open_connection(*_):
            return connect()

        pool._connect = open_connection
        first = await pool.acquire(endpoint, control_call=True)
        await receive(first, CONTROL, None)
        pool.release(endpoint, first)
        other = await pool.acquire(endpoint)
        assert other is not first
        assert await pool.acquire(endpoint, control_call=True) is first

    anyio.run(play)


@then("an endpoint does not count as silent while reading from it is paused")
def paused_is_not_silent(context):
    """Guards against streams that are resumed elsewhere because their caller reads slowly."""

    async def play():
        connection = connect()
        connection.send(b"", "r1")
        connection.data_received(IN_CHUNKS)
        connection.set_reading_paused(True)
        asyncio.get_running_loop().call_later(0.06, connection.data_received, b"3\r\nown\r\n")
        assert await connection.next_chunk(timeout_ms=10) == b"own"
        connection.set_reading_paused(False)
        try:
            await connection.next_chunk(timeout_ms=10)
        except ExchangeError as error:
            assert error.cause is ExchangeErrorCause.SILENT
        else:
            raise AssertionError("no ExchangeError was raised")

    anyio.run(play)


@then("a paused connection resumes reading for the next request")
def resumes_reading(context):
    """Guards against a connection that stays paused after a complete answer above the bound."""

    async def play():
        connection = connect()
        connection.send(b"", "r1")
        size_bytes = MOST_BUFFERED_BYTES + 1
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: {size_bytes}\r\n\r\n"
        connection.data_received(head.encode() + b"x" * size_bytes)
        assert connection.finished and not connection._transport.reads
        connection.send(b"", "r2")
        assert connection._transport.reads

    anyio.run(play)


@then("connections to endpoints are probed each second, and fail after more than two")
def is_probed(context):
    async def play():
        server = FakeServer("e0", "s")
        endpoint = ServiceEndpoint("e0", "s", server.address, "z")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            await anyio.sleep(0.05)
            connection = await ConnectionPool("Request-Id").acquire(endpoint)
            sock = connection._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
                assert sock.getsockopt(socket.IPPROTO_TCP, option) == 1
            timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert 2000 < timeout_ms < 3000, timeout_ms
            tasks.cancel_scope.cancel()

    anyio.run(play)
