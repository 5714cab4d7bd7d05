"""Scenarios on one connection to an endpoint: matching answers to requests, without sockets."""

import asyncio
import socket
import time
from unittest.mock import patch

import anyio
from behave import then, when

from saffronworks.clocks import monotonic_ms
from saffronworks.endpoint_roles import Role
from saffronworks.forwarding.carried_requests import MAX_REQUESTS
from saffronworks.forwarding.connection_pool import ConnectionPool
from saffronworks.forwarding.directory import Directory, ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import CallerRequest
from saffronworks.forwarding.ports import RelayedRequest
from saffronworks.forwarding.tuning import LATE_COPY_MS, MOST_BUFFERED_BYTES, SECOND_ANSWER_MS
from saffronworks.forwarding.unmatched_answers import Mismatch, UnmatchedAnswer, UnmatchedAnswers
from saffronworks.tests.connection_fakes import connect, receive
from saffronworks.tests.endpoint_fixtures import (
    calls_of_one_node,
    eligibility_of_one_node,
    endpoints,
    limits_of_one_node,
)
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.revisions import at

REFUSED = b"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
OTHER = b"HTTP/1.1 503 X\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n"
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nown"
CONTROL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nhold"
GRANTED = b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"hold":"h1"}'
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
        first = await pool.acquire(endpoint, None)
        pool.release(endpoint, first)
        assert pool.acquire_idle(endpoint, None) is first
        pool.release(endpoint, first)
        listener.accept()[0].close()
        context.reused = pool.acquire_idle(endpoint, None)
        pool.close()
        listener.close()

    anyio.run(play)


@then("a request is sent on another connection")
def not_reused(context):
    assert context.reused is None


@then("a connection on which a control call was refused serves only control calls, {after} later")
def serves_control_calls(context, after):
    """Guards against a duplicate of the refusal that counts as the next answer: not run."""

    async def play():
        pool, (endpoint,) = fake_pool(), endpoints(1)
        first = await pool.acquire(endpoint, None, control_call=True)
        refused_ms = monotonic_ms()
        await receive(first, CONTROL, None)
        pool.release(endpoint, first)
        other = await pool.acquire(endpoint, None)
        assert other is not first
        later_ms = first.control_calls_from_ms
        with patch("saffronworks.forwarding.connection_pool.monotonic_ms", lambda: later_ms - 1):
            assert pool.acquire_idle(endpoint, None, control_call=True) is None
        assert later_ms >= refused_ms + SECOND_ANSWER_MS
        with patch("saffronworks.forwarding.connection_pool.monotonic_ms", lambda: later_ms):
            assert pool.acquire_idle(endpoint, "r1") is None
            assert pool.acquire_idle(endpoint, None, control_call=True) is first

    anyio.run(play)


@then("the own answer of a control call that was answered by a copy answers no other call")
def own_answer_after_copy(context):
    """Guards against reservations that requests of other sizes get, one call late each."""

    async def play():
        calls, endpoint, opened = calls_on_fakes([CONTROL, CONTROL, CONTROL])
        await take_hold(calls, endpoint)
        await asyncio.sleep(2 * SECOND_ANSWER_MS / 1000)
        await take_hold(calls, endpoint)
        (first,) = opened
        first.data_received(GRANTED)
        await asyncio.sleep(2 * SECOND_ANSWER_MS / 1000)
        third = await take_hold(calls, endpoint)
        assert third.err_value.reason == "status 503" and len(opened) == 2
        assert calls.pool.unmatched.counts == {"unrequested": 1}

    anyio.run(play)


@when("100 reservations are rejected within 600 ms")
def many_rejected(context):
    async def play():
        calls, endpoint, context.opened = calls_on_fakes([CONTROL] * 100)
        for _ in range(100):
            assert (await take_hold(calls, endpoint)).is_err()
            await asyncio.sleep(0.006)

    anyio.run(play)


@then("at most {number:d} connections were opened")
def few_opened(context, number):
    assert len(context.opened) <= number, len(context.opened)


@then("idle connections that serve only control calls make room first")
def make_room(context):
    async def play():
        pool, (endpoint,) = fake_pool(), endpoints(1)
        pool.max_idle = 2
        usable, limited, other = [await pool.open(endpoint, 1) for _ in range(3)]
        limited.control_calls_only = True
        for connection in (usable, limited, other):
            pool.release(endpoint, connection)
        assert pool.acquire_idle(endpoint, "r1") is other
        assert pool.acquire_idle(endpoint, "r1") is usable

    anyio.run(play)


@then("an endpoint does not count as silent while reading from it is paused")
def paused_is_not_silent(context):
    """Guards against streams that are resumed elsewhere because their caller reads slowly."""

    async def play():
        connection = connect()
        connection.send(b"", "r1")
        connection.data_received(IN_CHUNKS)
        connection.received.set_reading_paused(True)
        asyncio.get_running_loop().call_later(0.06, connection.data_received, b"3\r\nown\r\n")
        assert await connection.next_chunk(timeout_ms=10) == b"own"
        connection.received.set_reading_paused(False)
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


async def receive_in_late_turn(connection, data, wait):
    """Return the result of `wait`; `data` is read after its timeout, before it is resumed."""
    task = asyncio.create_task(wait(10))
    await asyncio.sleep(0)
    # Blocks the event loop beyond the timeout, as a suspension does; the timeout ends next.
    asyncio.get_running_loop().call_soon(connection.data_received, data)
    time.sleep(0.02)
    return await task


@then("its head and its body are returned")
def late_answer_is_returned(context):
    async def play():
        begin, end = OWN[:-3], OWN[-3:]
        connection = connect()
        connection.send(b"", "r1")
        head = await receive_in_late_turn(connection, begin, connection.head)
        assert head.status == 200
        assert await receive_in_late_turn(connection, end, connection.body) == b"own"
        assert connection.finished

    anyio.run(play)


@then("a body that has only begun is endless")
def late_part_is_endless(context):
    async def play():
        connection = connect()
        connection.send(b"", "r1")
        connection.data_received(OWN[:-3])
        try:
            await receive_in_late_turn(connection, b"o", connection.body)
        except ExchangeError as error:
            assert error.cause is ExchangeErrorCause.ENDLESS, error.cause
        else:
            raise AssertionError("no ExchangeError was raised")

    anyio.run(play)


@then("connections to endpoints are probed each second, and fail after more than two")
def is_probed(context):
    async def play():
        server = FakeServer("e0", "s")
        endpoint = ServiceEndpoint("e0", "s", server.address, "z")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            await anyio.sleep(0.05)
            connection = await ConnectionPool("Request-Id").acquire(endpoint, "r1")
            sock = connection._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
                assert sock.getsockopt(socket.IPPROTO_TCP, option) == 1
            timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert 2000 < timeout_ms < 3000, timeout_ms
            tasks.cancel_scope.cancel()

    anyio.run(play)


@then("the log tells of a discarded answer, of unrequested bytes and of a request sent before")
def unmatched_answers(context):
    async def play():
        connection = connect()
        connection.matcher.endpoint = "e0"
        await receive(connection, OWN, "r1")
        await receive(connection, OTHER + OWN, "r1")
        connection.data_received(OWN)
        return connection.matcher.unmatched.counts

    with LogLines("saffronworks.forwarding.unmatched_answers") as lines:
        counts = anyio.run(play)
    assert counts == {"other-id": 1, "sent-before": 1, "unrequested": 1}, counts
    starts = [
        "event=unmatched_answer reason=other-id endpoint=e0 status=503 answer=r0 awaited=r1 ",
        "event=unmatched_answer reason=sent-before endpoint=e0 status=200 answer=r1 awaited=r1 ",
        "event=unmatched_answer reason=unrequested endpoint=e0 status=None answer=None ",
    ]
    assert [line[: len(start)] for line, start in zip(lines, starts, strict=True)] == starts, lines


@then("ten such lines a second are logged, and all are counted")
def bounded_lines(context):
    """Guards against a log that an endpoint fills with unrequested answers and long ids."""
    unmatched = UnmatchedAnswers()
    answer = UnmatchedAnswer("e0", Mismatch.OTHER_ID, 5, 200, "x" * 1000, "r1")
    with LogLines("saffronworks.forwarding.unmatched_answers") as lines:
        for now_ms in [0] * 50 + [1000]:
            unmatched.record(answer, now_ms)
    assert len(lines) == 11 and lines[-1].endswith("not_logged=40"), lines
    assert max(map(len, lines)) < 250, lines
    assert unmatched.counts == {"other-id": 51}


def fake_pool():
    """Return a pool whose connections need no sockets."""
    pool = ConnectionPool("Request-Id")

    async def open_connection(*_):
        return connect()

    pool._connect = open_connection
    return pool


@then("requests that are sent again, directly or for another node, go out on other connections")
def sent_again(context):
    async def play():
        calls, endpoint = calls_and_endpoint()
        calls.pool._connect = fake_pool()._connect
        calls.paths.peers.pool._connect = fake_pool()._connect
        request = CallerRequest("r1", "POST", "/a", "h", (), b"", monotonic_ms(), 900, None)
        relayed = RelayedRequest("POST", "/a", (), b"", "r1", False, False, False, 900)
        sends = [
            lambda: calls.send(endpoint, request, 900),
            lambda: calls.open_stream(endpoint, request, 900, None, None, None),
            lambda: calls.relayed.start_relayed(endpoint, relayed),
            lambda: calls.open_stream(endpoint, request, 900, None, None, 3),
        ]
        used = []
        for send in sends:
            sent = await send()
            connection = getattr(sent, "connection", sent)
            connection.data_received(REFUSED)
            calls.paths.connector.release(endpoint, connection)
            assert connection.finished
            used.append(connection)
        peers = calls.paths.peers
        for _ in range(2):
            connection = await peers.open("127.0.0.1:9", "r1")
            await receive(connection, REFUSED, "r1")
            peers.release(connection)
            used.append(connection)
        assert len(set(map(id, used))) == len(used)

    anyio.run(play)


@then("a connection on which the same request was sent is kept for other requests")
def kept_for_others(context):
    """Guards against connections that are closed for each request that is sent again."""

    async def play():
        pool, (endpoint,) = fake_pool(), endpoints(1)
        first = await pool.acquire(endpoint, "r1")
        await receive(first, REFUSED, "r1")
        pool.release(endpoint, first)
        again = await pool.acquire(endpoint, "r1")
        assert again is not first
        assert await pool.acquire(endpoint, "r2") is first

    anyio.run(play)


@then("a connection is closed before it forgets a request that it has carried")
def closed_when_full(context):
    async def play():
        pool, (endpoint,) = fake_pool(), endpoints(1)
        first = await pool.acquire(endpoint, "r0")
        for number in range(MAX_REQUESTS):
            answer = REFUSED.replace(b"r1", b"r%d" % number)
            await receive(first, answer, f"r{number}")
            assert f"r{number}" in first.matcher.carried and "r0" in first.matcher.carried
        assert first.finished
        pool.release(endpoint, first)
        assert await pool.acquire(endpoint, "other") is not first

    anyio.run(play)


@then("a request after a control call gets the answer with its id")
def request_after_control(context):
    async def play():
        connection = connect()
        await receive(connection, GRANTED, None)
        assert connection.finished
        head, body = await receive(connection, GRANTED + OWN, "r1")
        assert (head.get("Request-Id"), body) == ("r1", b"own"), (head, body)
        assert connection.matcher.unmatched.counts == {"no-id": 1}
        assert not connection.finished

    anyio.run(play)


@then("it is accepted once a copy of the control call's answer can't come any more")
def accepted_without_id(context):
    async def play():
        for after_ms, status in ((LATE_COPY_MS // 2, None), (LATE_COPY_MS, 503)):
            connection = connect()
            await receive(connection, GRANTED, None)
            connection.send(b"", "r1")
            later_ms = monotonic_ms() + after_ms
            with patch(
                "saffronworks.forwarding.connections.monotonic_ms", lambda now=later_ms: now
            ):
                connection.data_received(CONTROL)
            assert (connection.answering and connection._head.status) == (status or False), after_ms

    anyio.run(play)


@then("one with another status soon ends the exchange as sent, if no other answer follows")
def ends_unmatched(context):
    async def play():
        connection = connect()
        await receive(connection, GRANTED, None)
        began_ms = monotonic_ms()
        connection.send(b"", "r1")
        connection.data_received(CONTROL)
        try:
            await connection.head(3 * LATE_COPY_MS)
        except ExchangeError as error:
            assert error.sent and error.cause is ExchangeErrorCause.UNMATCHED, error.cause
        else:
            raise AssertionError("no ExchangeError was raised")
        assert monotonic_ms() - began_ms < 2 * LATE_COPY_MS

    anyio.run(play)


@then("one with the control call's status does not end the exchange")
def copy_is_waited_out(context):
    async def play():
        connection = connect()
        await receive(connection, GRANTED, None)
        connection.send(b"", "r1")
        connection.data_received(GRANTED)
        loop = asyncio.get_running_loop()
        loop.call_later(1.2 * LATE_COPY_MS / 1000, connection.data_received, OWN)
        assert (await connection.head(3 * LATE_COPY_MS)).get("Request-Id") == "r1"

    anyio.run(play)


@then("the request gets the answer with its id")
def late_copy_discarded(context):
    async def play():
        connection = connect()
        await receive(connection, GRANTED, None)
        connection.send(b"", "r1")
        later_ms = monotonic_ms() + 2 * LATE_COPY_MS
        with patch("saffronworks.forwarding.connections.monotonic_ms", lambda: later_ms):
            connection.data_received(GRANTED)
            connection.data_received(OWN)
        assert (await connection.head(100)).get("Request-Id") == "r1"
        assert not connection.reusable

    anyio.run(play)


@then("a control call rejects answers with the ids of all earlier requests")
def control_rejects_ids(context):
    async def play():
        connection = connect()
        for request_id in (b"r1", b"r2", b"r3"):
            await receive(connection, OWN.replace(b"r1", request_id), request_id.decode())
        head, body = await receive(connection, OWN + GRANTED, None)
        assert body == b'{"hold":"h1"}', (head, body)
        assert not connection.finished

    anyio.run(play)


@then("a reservation that was granted before is not granted again")
def hold_granted_once(context):
    async def play():
        calls, endpoint = calls_and_endpoint()
        connection = connect()

        async def open_connection(*_):
            return connection

        calls.pool._connect = open_connection
        replies = [GRANTED, GRANTED]
        connection._transport.write = lambda _: connection.data_received(replies.pop(0))
        request = CallerRequest("r1", "POST", "/a", "h", (), b"", monotonic_ms(), 900, None)
        first = await calls.take_hold(endpoint, request, 10, 900, monotonic_ms())
        assert first.ok_value.hold_id == "h1"
        second = await calls.take_hold(endpoint, request, 10, 900, monotonic_ms())
        assert second.err_value.reason == "unmatched-answer", second
        assert calls.pool.unmatched.counts == {"other-call": 1}
        assert not connection.finished and not replies

    anyio.run(play)


@then("a control call of another node goes out on a connection of its own")
def relayed_control_call(context):
    """Guards against reservations of two nodes' requests that are one, granted to either node."""

    async def play():
        calls, endpoint, opened = calls_on_fakes([GRANTED, GRANTED, GRANTED.replace(b"h1", b"h2")])
        relayed = RelayedRequest("POST", "/take", (), b"", None, True, True, False, 900)
        own = await take_hold(calls, endpoint)
        connection = await calls.relayed.start_relayed(endpoint, relayed)
        assert connection is opened[1]
        calls.paths.connector.release(endpoint, connection)
        other = await take_hold(calls, endpoint)
        assert (own.is_ok(), other.is_ok(), len(opened)) == (True, True, 2)
        assert calls.pool.acquire_idle(endpoint, "r1") is opened[0]
        assert calls.pool.acquire_idle(endpoint, "r1") is None

    anyio.run(play)


@then("an order of a role is not accepted by a copy of another call's success")
def order_on_its_own(context):
    """Guards against a keeper that counts on a role that the endpoint has refused."""

    async def play():
        calls, endpoint = calls_and_endpoint()
        opened = []

        async def open_connection(*_):
            # The first connection repeats the answer to its first call; the others reject.
            connection, answer = connect(), CONTROL if opened else GRANTED
            connection._transport.write = lambda _: connection.data_received(answer)
            opened.append(connection)
            return connection

        calls.pool._connect = open_connection
        assert (await take_hold(calls, endpoint)).is_ok()
        for _ in range(2):
            ordered = await calls.order_role(endpoint, Role.PREFILL, "n", 1, monotonic_ms() + 300)
            assert ordered.is_err(), ordered
        assert len(opened) == 3
        assert calls.pool.acquire_idle(endpoint, None, control_call=True) is opened[0]

    anyio.run(play)


@then("an order of a role is not sent if its connection is opened too late")
def order_too_late(context):
    """Guards against orders of a holder whose duty expired while it connected."""

    async def play():
        calls, endpoint = calls_and_endpoint()
        written = []

        async def open_connection(*_):
            await anyio.sleep(0.1)
            connection = connect()
            connection._transport.write = written.append
            return connection

        calls.pool._connect = open_connection
        try:
            await calls.order_role(endpoint, Role.PREFILL, "n", 1, monotonic_ms() + 50)
        except ExchangeError as broken:
            assert broken.withheld and not broken.sent, broken
        assert not written and calls.pool.connected_since_ms(endpoint.instance) is None

    anyio.run(play)


@then("a node's rejection without an id is accepted after a control call")
def node_rejects(context):
    async def play():
        calls, _ = calls_and_endpoint()
        calls.paths.peers.pool._connect = fake_pool()._connect
        connection = await calls.paths.peers.open("127.0.0.1:9", None)
        await receive(connection, GRANTED, None)
        head, _ = await receive(connection, CONTROL, "r1")
        assert head.status == 503

    anyio.run(play)


def calls_on_fakes(replies):
    """Return calls whose connections answer with the replies in turn, and the connections."""
    calls, endpoint = calls_and_endpoint()
    opened = []

    async def open_connection(*_):
        connection = connect()
        connection._transport.write = lambda _: connection.data_received(replies.pop(0))
        opened.append(connection)
        return connection

    calls.pool._connect = open_connection
    return calls, endpoint, opened


async def take_hold(calls, endpoint):
    request = CallerRequest("r1", "POST", "/a", "h", (), b"", monotonic_ms(), 900, None)
    return await calls.take_hold(endpoint, request, 10, 900, monotonic_ms())


def calls_and_endpoint():
    directory = Directory()
    directory.replace(endpoints(1), at(1), now_ms=0)
    limits = limits_of_one_node(monotonic_ms)
    eligibility = eligibility_of_one_node(directory, limits, monotonic_ms)
    (endpoint,) = directory.endpoints.values()
    return calls_of_one_node(eligibility, directory), endpoint
