"""Scenarios on one connection to an endpoint: what came belongs to whom; no sockets."""

import anyio
from behave import then, when

from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.tests.connection_fakes import connect, receive
from saffronworks.tests.endpoint_plays import endpoints

OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nown"
CONTROL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nhold"
IN_CHUNKS = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILER = b"3\r\nown\r\n0\r\nServer-Stamp: s\r\n\r\n"
HEAD_WITH_BODY = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nown"


@when("an answer comes once more in place of the next one, which is a call of the router's own")
def extra_for_control(context):
    async def play():
        context.connection = connect()
        await receive(context.connection, OWN, "r1")
        assert context.connection.finished
        context.head, context.body = await receive(context.connection, OWN + CONTROL, None)

    anyio.run(play)


@then("that call gets its own answer, and the connection is not used again")
def own_answer(context):
    assert (context.head.status, context.body) == (503, b"hold"), (context.head, context.body)
    assert not context.connection.finished


@when("an answer in chunks has a signature after its body")
def trailer(context):
    async def play():
        context.head, context.body = await receive(connect(), IN_CHUNKS + TRAILER, "r1")

    anyio.run(play)


@then("its head has none")
def head_without(context):
    assert context.body == b"own" and context.head.get("server-stamp") is None, context.head


@when("an endpoint answers a request for the head with a part of a body")
def body_after_head(context):
    async def play():
        context.connection = connect()
        _, body = await receive(context.connection, HEAD_WITH_BODY, "r1", bodiless=True)
        assert body == b"", body

    anyio.run(play)


@then("the connection is not used again")
def not_used_again(context):
    assert not context.connection.finished


@when("a request is answered without an id")
def answered_without_id(context):
    async def play():
        context.connection = connect()
        await receive(context.connection, CONTROL, "r1")

    anyio.run(play)


@then("one on which a call of the router's own was refused serves such calls only")
def own_calls_only(context):
    """A copy of the refusal, taken for a request's answer, would say that it has not run."""

    async def play():
        pool, (endpoint,) = ConnectionPool("Request-Id"), endpoints(1)

        async def open_connection(_):
            return connect()

        pool._connect = open_connection
        first = await pool.take(endpoint, own_call=True)
        await receive(first, CONTROL, None)
        pool.give_back(endpoint, first)
        other = await pool.take(endpoint)
        assert other is not first
        assert await pool.take(endpoint, own_call=True) is first

    anyio.run(play)
