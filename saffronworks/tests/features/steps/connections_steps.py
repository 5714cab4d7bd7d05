"""Scenarios on one connection to an endpoint: what came belongs to whom; no sockets."""

import anyio
from behave import then, when

from saffronworks.tests.connection_fakes import connect, receive

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
