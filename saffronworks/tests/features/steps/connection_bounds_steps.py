"""Bounds on what connections hold, at servers in the process of the tests."""

import asyncio
import contextlib
import io
import logging
import random
import re
import socket
import threading

import anyio
from behave import then, when

from saffronworks.connection_table import UnreadConnections
from saffronworks.head_memory import HeadHolder, HeadMemory, head_memory_bound, head_size
from saffronworks.logs import BoundedHandler
from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_place import on_platform, web_servers
from saffronworks.web import HttpServer, bind, parse_address

PLAYS = 30
ANSWER_LIMIT_S = 10
_FIELDS = b" / HTTP/1.1\r\nhost: x\r\n"
_BODY = b"one\n\ntwo\r\n\r\nGET / HTTP/1.1\r\n\r\n"
_CHUNK = b"%x\r\n%s\r\n" % (len(_BODY), _BODY)
# Requests, and the bodies that a server is to find in them.
AHEAD = [
    (b"GET" + _FIELDS + b"\r\n", b""),
    (b"\r\n\r\nPOST" + _FIELDS + b"content-length: %d\r\n\r\n" % len(_BODY) + _BODY, _BODY),
    (b"POST" + _FIELDS + b"content-length: 0\r\n\r\n", b""),
    (b"POST" + _FIELDS + b"transfer-encoding: chunked\r\n\r\n" + _CHUNK + b"0\r\n\r\n", _BODY),
    (
        b"POST" + _FIELDS + b"transfer-encoding: chunked\r\n\r\n"
        b"2;x=y\r\n\n\n\r\n" + _CHUNK + b"0\r\ntrailer: x\r\n\r\n",
        b"\n\n" + _BODY,
    ),
    (b"PUT" + _FIELDS + b"content-length: 5000\r\n\r\n" + b"\n" * 5000, b"\n" * 5000),
    (b"GET" + _FIELDS + b"\r\n", b""),
]


@when("requests of all framings are sent ahead in parts of any size")
def step_ahead_in_parts(context):
    context.expected, context.plays = [body for _, body in AHEAD], []
    stream = b"".join(request for request, _ in AHEAD)

    async def main():
        served, at_work = [], 0

        async def handle(call):
            nonlocal at_work
            at_work += 1
            served.append((await call.body(10_000), at_work))
            await anyio.sleep(0)
            await call.reply(200, {})
            at_work -= 1

        server = HttpServer(bind("127.0.0.1:0"), handle)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            for seed in range(PLAYS):
                served.clear()
                answers = await _send_in_parts(server.address, stream, random.Random(seed))
                context.plays.append((seed, list(served), answers))
            server.stop()

    anyio.run(main)


async def _send_in_parts(address, stream, rng):
    """Send in parts of random sizes; returns the number of answers."""
    reader, writer = await asyncio.open_connection(*parse_address(address))
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    most = rng.choice([1, 3, 40, 400, 20_000])
    while stream:
        size = rng.randint(1, most)
        writer.write(stream[:size])
        stream = stream[size:]
        await asyncio.sleep(0)
    answers = 0
    with anyio.fail_after(ANSWER_LIMIT_S):
        while answers < len(AHEAD):
            answers += (await reader.read(65_536)).count(b"HTTP/1.1 200")
    writer.close()
    return answers


@then("each is served whole and in order, after the answer to the one before it")
def step_in_order(context):
    for seed, served, answers in context.plays:
        assert [body for body, _ in served] == context.expected, seed
        assert {at_work for _, at_work in served} == {1}, seed
        assert answers == len(context.expected), seed


@when("a server has as many connections as it may, some idle, some resting, one being served")
def step_full_table(context):
    async def main():
        hold, writers, held = anyio.Event(), [], []

        async def handle(call):
            if call.path == "/hold":
                held.append(call)
                await hold.wait()
            await call.reply(200, {})

        server = HttpServer(bind("127.0.0.1:0"), handle, max_connections=4)

        async def connect(path=None):
            before, at_work = server.table.admitted, len(held)
            reader, writer = await asyncio.open_connection(*parse_address(server.address))
            writers.append(writer)
            if path:
                writer.write(b"GET " + path + b" HTTP/1.1\r\nhost: x\r\n\r\n")
            if path == b"/":
                assert (await reader.readuntil(b"{}")).startswith(b"HTTP/1.1 200")
            if path == b"/hold":
                assert await wait_until(lambda: len(held) > at_work, ANSWER_LIMIT_S)
            assert await wait_until(lambda: server.table.admitted > before, ANSWER_LIMIT_S)
            return reader

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            resting, first = await connect(b"/"), await connect(b"/hold")
            waiting = [await connect(), await connect(), resting]
            context.closed = []
            for number in range(3):
                last = await connect(b"/hold")
                assert await wait_until(waiting[number].at_eof, ANSWER_LIMIT_S), number
                context.closed.append([one.at_eof() for one in (*waiting, first, last)])
            rejected, writer = await asyncio.open_connection(*parse_address(server.address))
            context.rejected = await rejected.read(), server.table.rejected, server.table.evicted
            writer.close()
            hold.set()
            context.answers = [await one.readuntil(b"{}") for one in (first, last)]
            server.stop()

    anyio.run(main)


@then("new ones take the place of those that wait longest, idle ones first")
def step_made_room(context):
    assert context.closed == [
        [True, False, False, False, False],
        [True, True, False, False, False],
        [True, True, True, False, False],
    ], context.closed


@then("once all are being served, a new one is closed unread")
def step_rejected(context):
    assert context.rejected == (b"", 1, 3), context.rejected
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in context.answers)


class Holder(HeadHolder):
    """A connection of a model."""

    def __init__(self):
        self.arrived = self.given_up = False

    @property
    def awaits_caller(self):
        return not self.arrived

    def give_up(self):
        self.given_up = True


@then("heads that begin, arrive and end in any order stay within the bound or are refused")
def step_heads_bounded(context):
    for seed in range(PLAYS):
        rng, heads, holders = random.Random(seed), HeadMemory(100_000), []
        for _ in range(300):
            if not holders or rng.random() < 0.4:
                holders.append(Holder())
            holder = rng.choice(holders)
            fits = heads.hold(holder, rng.randint(0, 30_000))
            assert fits == (heads.held_bytes <= 100_000), seed
            holder.arrived = holder.arrived or rng.random() < 0.3
            if not fits or rng.random() < 0.3:
                heads.release(holder)
                holders.remove(holder)
            assert not any(one.given_up and one.arrived for one in holders), seed
            holders = [one for one in holders if not one.given_up]
            assert heads.held_bytes <= 100_000, seed
        for holder in holders:
            heads.release(holder)
        assert heads.held_bytes == 0, seed


@then("a head of the largest size is served in calm, and usual ones are not counted")
def step_heads_in_calm(context):
    bound_bytes = head_memory_bound(0)
    assert head_size(16_384, 16_384 // 4, served=True) < bound_bytes / 3
    assert head_size(1_000, 20, served=True) == 0


@then("a refusal for want of memory is 503, with Retry-After, the id of the request and a close")
def step_head_refused(context):
    async def main():
        server = HttpServer(
            bind("127.0.0.1:0"), _answer, echoed_field="request-id", heads=HeadMemory(100_000)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            reader, writer = await asyncio.open_connection(*parse_address(server.address))
            writer.write(b"GET / HTTP/1.1\r\nRequest-Id: r1\r\n" + b"a:\r\n" * 3000 + b"\r\n")
            answer = (await reader.read()).lower()
            writer.close()
            server.stop()
        return answer

    answer = anyio.run(main)
    assert answer.startswith(b"http/1.1 503"), answer
    for field in (b"request-id: r1", b"retry-after: 1", b"connection: close"):
        assert field in answer, answer


async def _answer(call):
    await call.reply(200, {})


def on_server(play, handler=_answer, **options):
    """Run `play(server)` beside a server that repeats ids; returns its result."""

    async def main():
        server = HttpServer(bind("127.0.0.1:0"), handler, echoed_field="request-id", **options)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.run)
            try:
                with anyio.fail_after(ANSWER_LIMIT_S):
                    return await play(server)
            finally:
                tasks.cancel_scope.cancel()

    return anyio.run(main)


async def send_without_end(server, first, part, most_bytes):
    """Send `first`, and `part` again and again; returns the answers and the bytes sent."""
    reader, writer = await asyncio.open_connection(*parse_address(server.address))
    answers = asyncio.create_task(read_all(reader))
    writer.write(first)
    sent = 0
    with contextlib.suppress(OSError):
        while sent < most_bytes and not answers.done():
            writer.write(part)
            sent += len(part)
            await writer.drain()
            await asyncio.sleep(0)
    received = await answers
    writer.close()
    return received, sent


async def read_all(reader):
    """Return what comes until the connection is closed or reset."""
    received = b""
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            received += data
    return received


@when("a client sends empty lines without end, on a new connection and after an answer")
def step_empty_lines(context):
    get = b"GET / HTTP/1.1\r\nhost: x\r\nrequest-id: r1\r\n\r\n"

    async def play(server):
        return [
            await send_without_end(server, first, b"\r\n" * 1000, 40_000_000)
            for first in (b"", get)
        ]

    context.sent = on_server(play)
    context.few = on_server(
        lambda server: send_without_end(
            server, b"\r\n\n" + get.replace(b"host: x", b"connection: close"), b"", 0
        )
    )


@then("it gets one 400 without an id each time, and its connection is closed")
def step_empty_lines_refused(context):
    for (received, sent), answers in zip(context.sent, (0, 1), strict=True):
        assert received.count(b"HTTP/1.1 200") == answers, received
        assert received.count(b"HTTP/1.1 400") == 1, received
        assert b"request-id" not in received.split(b"HTTP/1.1 400")[1], received
        assert sent < 40_000_000


@then("a few empty lines before a request are skipped")
def step_empty_lines_skipped(context):
    assert context.few[0].startswith(b"HTTP/1.1 200"), context.few


async def _refuse(call):
    await call.reply(404, {})


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nrequest-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"


@when("a client sends a chunked body without end to a server that refuses it unread")
def step_endless_body(context):
    chunk = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
    context.endless = on_server(
        lambda server: send_without_end(server, CHUNKED_HEAD, chunk, 100_000_000), _refuse
    )
    context.whole = on_server(
        lambda server: send_without_end(
            server,
            CHUNKED_HEAD + chunk * 64 + b"0\r\n\r\nGET / HTTP/1.1\r\nconnection: close\r\n\r\n",
            b"",
            0,
        ),
        _refuse,
    )


@then("it gets the refusal, and its connection is closed after 17 MB")
def step_endless_closed(context):
    received, sent = context.endless
    assert received.startswith(b"HTTP/1.1 404"), received
    assert 16_000_000 < sent < 100_000_000, sent


@then("a body of the largest size is read to its end, and the next request is served")
def step_whole_body_read(context):
    assert context.whole[0].count(b"HTTP/1.1 404") == 2, context.whole


@when("a client sends a head with an invalid field, and invalid chunks before and after an answer")
def step_malformed(context):
    async def read(call):
        await call.body(1000)
        await call.reply(200, {})

    head = b"GET / HTTP/1.1\r\nRequest-Id: r1\r\nHost: x\r\nBad\x01: x\r\n\r\n"
    bodies = [(head, _answer), (CHUNKED_HEAD + b"zz\r\n", read)]
    context.refused = [
        on_server(lambda server, sent=sent: send_without_end(server, sent, b"", 0), handler)[0]
        for sent, handler in bodies
    ]

    async def play(server):
        reader, writer = await asyncio.open_connection(*parse_address(server.address))
        writer.write(CHUNKED_HEAD)
        answer = await reader.readuntil(b"{}")
        writer.write(b"zz\r\n")
        rest = await read_all(reader)
        writer.close()
        return answer, rest

    context.answered = on_server(play, _refuse)


@then("the head and the chunk before the answer get 400 with the id, and the other one a close")
def step_malformed_refused(context):
    for answer in context.refused:
        assert answer.count(b"HTTP/1.1") == 1, answer
        assert answer.startswith(b"HTTP/1.1 400"), answer
        assert b"request-id: r1" in answer, answer
        assert b"connection: close" in answer, answer
    assert context.answered[0].startswith(b"HTTP/1.1 404"), context.answered
    assert context.answered[1] == b"", context.answered


@when("a client reads nothing of an answer of 40 MB, and another one reads it with pauses")
def step_untaken(context):
    part, ended = bytes(1_000_000), []

    async def handle(call):
        await call.start(200, {"content-length": str(40 * len(part))})
        for number in range(40):
            await call.write(part, more=number < 39)
        ended.append(call.path)

    async def play(server):
        async def get(path):
            reader, writer = await asyncio.open_connection(*parse_address(server.address))
            writer.write(b"GET " + path + b" HTTP/1.1\r\nconnection: close\r\n\r\n")
            return reader, writer

        # A reader of its own: asyncio's reads ahead.
        silent = socket.create_connection(parse_address(server.address))
        silent.sendall(b"GET /silent HTTP/1.1\r\n\r\n")
        reader, writer = await get(b"/paused")
        received = 0
        while data := await reader.read(2_000_000):
            received += len(data)
            await asyncio.sleep(0.01)
        writer.close()
        while server.table.open:
            await asyncio.sleep(0.05)
        silent.close()
        return received

    context.received = on_server(play, handle, untaken_s=0.5)
    context.ended = ended


@then("the first one's connection is ended with its work, and the other one has it whole")
def step_untaken_left(context):
    assert context.received > 40_000_000, context.received
    assert sorted(context.ended) == ["/paused", "/silent"], context.ended


@when("lines of 60,000 characters are logged while nobody reads the log")
def step_long_lines(context):
    read, written = threading.Event(), []

    class Stream(io.StringIO):
        def write(self, text):
            read.wait()
            written.append(text)
            return len(text)

    handler = BoundedHandler(Stream(), most_per_s=10**6)
    for number in range(3000):
        text = f"event=bad_request number={number} path={'x' * 60_000} end={number}"
        handler.emit(logging.LogRecord("x", logging.INFO, "x", 1, text, None, None))
    context.waiting = list(handler._waiting.queue)
    context.dropped = handler.dropped
    read.set()


@then("those that wait have 17 MB at most, each its begin and end, and the rest is counted")
def step_long_lines_bounded(context):
    assert sum(map(len, context.waiting)) < 17_000_000
    assert len(context.waiting) + context.dropped > 2900
    for line in context.waiting:
        number = re.match(r"event=bad_request number=(\d+) ", line)[1]
        assert line.endswith(f" end={number}"), line[-100:]


HIDDEN = (
    b"GET /again/hidden HTTP/1.1\r\n"
    b"host: h.example\r\nrequest-id: hidden\r\ndeadline-ms: 3000\r\n\r\n"
)
# Fields on the length of a body, and what follows the head.
UNCLEAR = [
    (b"content-length: 0\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked\r\ncontent-length: 5\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"content-length: 0\r\ncontent-length: 90\r\n", HIDDEN),
    (b"content-length: 0, 90\r\n", HIDDEN),
    (b"content-length: +90\r\n", HIDDEN),
    (b"content-length : 90\r\n", HIDDEN),
    (b"content-length:\r\n 90\r\n", HIDDEN),
    (b"transfer-encoding: xchunked\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked, identity\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding : chunked\r\n", b"0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked\r\n", b"0x0\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked\r\n", b"-1\r\n\r\n" + HIDDEN),
    (b"transfer-encoding: chunked\r\n", b"1\n" + HIDDEN),
]


@when("clients send requests whose lengths conflict, and further requests in what follows")
def step_unclear(context):
    server = web_servers(1)[0]
    context.unclear = []

    async def play(place):
        for number, (fields, rest) in enumerate(UNCLEAR):
            before = len(server.seen)
            head = b"POST /again/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: u%d\r\n" % number
            reader, writer = await asyncio.open_connection(*parse_address(place.callers))
            writer.write(head + b"deadline-ms: 3000\r\n" + fields + b"\r\n" + rest)
            writer.write_eof()
            answer = await read_all(reader)
            writer.close()
            context.unclear.append((fields, answer, server.seen[before:]))

    on_platform([server], play)


@then("each gets a refusal, or reaches an endpoint as one request with the body that was read")
def step_unclear_refused(context):
    for fields, answer, seen in context.unclear:
        assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 200")) or not answer, answer
        for method, _, headers, body in seen:
            # A request that follows a whole one on its connection is a request of its own.
            assert method in ("POST", "GET"), (fields, seen)
            assert int(headers.get("content-length", 0)) == len(body), (fields, seen)
            assert "transfer-encoding" not in headers, (fields, seen)
        if answer.startswith(b"HTTP/1.1 400"):
            assert not seen, (fields, seen)


@when("20 clients send ahead of their answers to a server that leaves 4 connections unread")
def step_unread(context):
    hold = anyio.Event()

    async def handle(call):
        await hold.wait()
        await call.reply(200, {})

    async def play(server):
        get, clients = b"GET / HTTP/1.1\r\n\r\n", []
        sound_reader, sound = await asyncio.open_connection(*parse_address(server.address))
        sound.write(get)
        for _ in range(20):
            clients.append(await asyncio.open_connection(*parse_address(server.address)))
            clients[-1][1].write(get * 100)
        with anyio.move_on_after(2):
            while server.table.open > 5:
                await asyncio.sleep(0.02)
        context.open = server.table.open
        hold.set()
        context.answer = await sound_reader.readuntil(b"{}")
        for _, writer in (*clients, (sound_reader, sound)):
            writer.close()

    on_server(play, handle, unread=UnreadConnections(4))


@then("it closes all but 4 of them")
def step_unread_closed(context):
    assert context.open == 5, context.open


@then("a client that waits for its answer before it sends more is served")
def step_sound_served(context):
    assert context.answer.startswith(b"HTTP/1.1 200"), context.answer
