"""Steps on endpoints that send bytes without end."""

import asyncio
import random
import re
import time
import tracemalloc
from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when
from result import Err, Ok

from saffronworks.clocks import extend_for_lag
from saffronworks.engines import Decode, EngineClient
from saffronworks.forwarding.connections import ResponseHead
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.paths.relay_server import RelayServer
from saffronworks.forwarding.runners import relay_rest
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.tuning import MAX_DISCARDED_BYTES, MAX_HEAD_BYTES
from saffronworks.platform.store import MAX_BODY_BYTES, PlatformStore
from saffronworks.standins.sites import wait_until
from saffronworks.stores import MAX_BODY_BYTES as OWN_MAX_BODY_BYTES
from saffronworks.stores import StoreClient
from saffronworks.tests.connection_fakes import WAIT_MS, connect
from saffronworks.tests.endless_servers import PIECE, EndlessServer
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import engines, on_platform
from saffronworks.whole_bodies import OversizedBody

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What precedes the endless part, and the part that is repeated.
ENDLESS = {
    "reason phrase": (b"HTTP/1.1 200 ", b"x" * 4096),
    "field name": (HEAD, b"x" * 4096),
    "field value": (HEAD + b"a: ", b"x" * 4096),
    "fields": (HEAD, b"a:\r\n" * 65_536),
    "interim answers": (b"", b"HTTP/1.1 102 X\r\n\r\n" * 64),
    "chunk extension": (CHUNKED + b"1;", b"x" * 4096),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 512),
}
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
# An endless part is sent up to this size, and may use this memory.
SENT_BYTES = 8_388_608
PEAK_BYTES = 3_000_000
# What the event loop reads at a time.
READ_BYTES = 262_144


async def feed_endless(start, repeated):
    """Feed an answer until its connection closes; return the bytes fed and the error."""
    connection, closed = connect(), []
    connection._transport.abort = lambda: closed.append(True)
    connection.send(b"", "r1")
    connection.data_received(start)
    fed_bytes = 0
    while not closed and fed_bytes < SENT_BYTES:
        connection.data_received(repeated)
        fed_bytes += len(repeated)
    try:
        await connection.head(WAIT_MS)
        await connection.body(WAIT_MS)
    except ExchangeError as error:
        return fed_bytes, bool(closed), error.cause
    return fed_bytes, bool(closed), None


def check_endless(start, repeated, bound_bytes, name):
    tracemalloc.start()
    fed_bytes, closed, cause = anyio.run(feed_endless, start, repeated)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    found = (name, fed_bytes, closed, cause, peak_bytes)
    assert closed and cause is ExchangeErrorCause.OVERSIZED, found
    assert fed_bytes <= bound_bytes + READ_BYTES and peak_bytes <= PEAK_BYTES, found


@then("each such answer closes its connection within the bound, and is reported as oversized")
def endless_heads(context):
    for name, (start, repeated) in ENDLESS.items():
        check_endless(start, repeated, MAX_HEAD_BYTES, name)


@then("its connection is closed within the bound, and is reported as oversized")
def endless_discarded(context):
    check_endless(OTHER, b"1000\r\n" + b"x" * 4096 + b"\r\n", MAX_DISCARDED_BYTES, "discarded")


SIGNED = b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
IN_CHUNKS = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
# Start of the answer, its repeated part, the pause after each, and how the exchange ends.
FLOODS = {
    "field": (SIGNED + b"a: ", b"x" * 65_536, 0.0, "oversized"),
    "interim": (b"", b"HTTP/1.1 102 X\r\n\r\n" * 64, 0.0, "oversized"),
    "drip": (SIGNED + b"a: ", b"x", 0.01, "silent"),
    "extension": (IN_CHUNKS + b"1;", b"x" * 65_536, 0.0, "oversized"),
    "trailers": (IN_CHUNKS + b"1\r\nx\r\n0\r\n", b"a: b\r\n" * 4096, 0.0, "oversized"),
    "chunks": (IN_CHUNKS, b"1\r\nx\r\n", 0.01, "silent"),
    "body": (IN_CHUNKS, b"10000\r\n" + b"x" * 65_536 + b"\r\n", 0.0, "endless"),
}
# A caller whose answer comes from the other endpoint has it within this time.
OTHERS_S = 0.8
# The time of the route whose requests may not be repeated, and half a second.
ONCE_S = 1.5
TURN_S = 0.25
# The longest call of the own deployment: its time-outs together.
OWN_S = 9.0
# A stream whose first hold and prefill fail.
CALLS_S = 2.5


@when("one of two plain endpoints sends heads, framing or bodies without end")
def plain_floods(context):
    context.found = {name: play_flood(*FLOODS[name][:3]) for name in FLOODS}


def play_flood(*flood):
    """Send a request that may not be repeated to an endpoint that floods, and others beside it."""
    server, found = EndlessServer("w0", "web", None, *flood), {}

    async def play(place):
        async def ask(path, number):
            began_s, request_id = time.monotonic(), f"r{number}"
            raw = await place.ask(path, request_id)
            found[request_id] = path, raw, time.monotonic() - began_s

        async def measure_turns():
            while "r0" not in found:
                began_s = time.monotonic()
                await anyio.sleep(0.01)
                found["turn_s"] = max(found.get("turn_s", 0), time.monotonic() - began_s)
                found["late"] = found.get("late", False) or extend_for_lag(0) > 0

        # The start of a play is a long turn, and a node that is late counts no silence.
        assert await wait_until(lambda: extend_for_lag(0) == 0, limit_s=2)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(measure_turns)
            tasks.start_soon(ask, "/once/a", 0)
            assert await wait_until(lambda: server.ran, limit_s=1)
            # A body without end is known as such at its deadline only.
            assert flood != FLOODS["body"][:3] or await wait_until(lambda: "r0" in found, limit_s=2)
            for number in range(1, 6):
                await ask("/again/a", number)
        assert await wait_until(lambda: len(server.closed_s) == len(server.ran), limit_s=1)
        load = place.node._state.loads.of(StartId("w0"))
        found["failure_share"] = load.failure_share
        found["figures"] = dict(place.node._state.figures.counts)

    on_platform([server, FakeServer("w1", "web")], play)
    return found


@then("requests that may be repeated get whole answers of the other one, in time")
def repeated_elsewhere(context):
    for name, found in context.found.items():
        for number in range(1, 6):
            _, raw, took_s = found[f"r{number}"]
            whole = raw.startswith(b"HTTP/1.1 200 ") and raw.endswith(b"r%d" % number)
            assert whole and raw.count(b"HTTP/1.1") == 1 and took_s < OTHERS_S, (name, took_s, raw)


@then("one that may not gets one failure within its time")
def one_failure(context):
    for name, found in context.found.items():
        _, raw, took_s = found["r0"]
        # Of a body that never ends, the caller has a part, without a proper end.
        cut = name == "body" and not raw.endswith(b"\r\n0\r\n\r\n")
        failed = raw.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 504 ")) and raw.count(b"HTTP/") == 1
        assert (cut or failed) and took_s < ONCE_S, (name, took_s, raw[:300])


@then("its connections are closed, it is counted as failed, and no turn of the node is long")
def counted(context):
    turns = {name: found["turn_s"] for name, found in context.found.items()}
    assert max(turns.values()) < TURN_S, turns
    for name, found in context.found.items():
        results = [dict(labels) for _, labels in found["figures"]]
        ended = {each["result"] for each in results if each.get("kind") == "plain"}
        assert FLOODS[name][3] in ended, (name, ended)
        excused = found["late"] and FLOODS[name][3] == "silent"
        assert found["failure_share"] or excused, (name, found["failure_share"])


# The repeated part of an answer to a control call or a prefill, and the pause after each.
CALL_FLOODS = {"drip": (b"1\r\n \r\n", 0.01), "body": (b"10000\r\n" + PIECE + b"\r\n", 0.0)}
CALL_CAUSES = {"drip": "endless", "body": "oversized"}


@when("engines answer holds or prefills with bytes without end")
def call_floods(context):
    context.found = {
        (endless, name): play_calls(endless, *flood)
        for endless in ("/saffronworks/hold-take", "prefill")
        for name, flood in CALL_FLOODS.items()
    }


def play_calls(endless, piece, pause_s):
    stage = "prefill" if endless == "prefill" else "decode"
    server = EndlessServer("a0", "llm", stage, IN_CHUNKS, piece, pause_s)
    server.endless = endless
    return play_stream(server, "/gen/")


def play_stream(server, path):
    """Return the answer and the time of a stream, and the figures of its node."""
    found = {}

    async def play(place):
        began_s = time.monotonic()
        found["raw"] = await place.generate(path, "g0")
        found["took_s"] = time.monotonic() - began_s
        assert await wait_until(lambda: server.closed_s, limit_s=1), found
        found["figures"] = dict(place.node._state.figures.counts)

    on_platform([server, *engines()], play)
    return found


@then("the stream is whole, and the calls are closed in time and counted with their cause")
def calls_closed(context):
    for (endless, name), found in context.found.items():
        whole = b"id: 3" in found["raw"] and found["raw"].endswith(b"0\r\n\r\n")
        kind = "prefill" if endless == "prefill" else "hold"
        labels = {("kind", kind), ("result", CALL_CAUSES[name])}
        counted = any(labels <= set(found_labels) for _, found_labels in found["figures"])
        assert whole and found["took_s"] < CALLS_S and counted, (endless, name, found)


JSON_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STORE_FLOODS = {
    "interim": (b"", b"HTTP/1.1 102 X\r\n\r\n", 0.01),
    "drip": (JSON_HEAD, b"1\r\n \r\n", 0.01),
    "trailers": (JSON_HEAD + b"0\r\n", b"a: b\r\n" * 4096, 0.0),
    "body": (JSON_HEAD, b"10000\r\n" + PIECE + b"\r\n", 0.0),
}
# The longest call to the store, and what three may use: the largest body and a copy of it each.
STORE_S = 6.0
STORE_PEAK_BYTES = 6 * MAX_BODY_BYTES


async def call_flooded(flood, start_calls):
    """Return how calls made at once ended, their time, and whether all were closed.

    `start_calls(address)` returns the calls and what closes their client.
    """
    server = EndlessServer("s", "any", None, *flood)

    async def flood_each(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await server.flood(writer, "")
        writer.close()

    host, port = server.address.split(":")
    async with await asyncio.start_server(flood_each, host, int(port)):
        began_s = time.monotonic()
        calls, close = start_calls(server.address)
        found = await asyncio.gather(*calls)
        took_s = time.monotonic() - began_s
        closed = await wait_until(lambda: len(server.closed_s) == len(calls), limit_s=1)
        await close()
    return found, took_s, closed


def flood_calls(floods):
    """Play (name, flood, calls) at once; return the results by name, and the peak of memory."""

    async def main():
        tracemalloc.start()
        played = await asyncio.gather(*[call_flooded(flood, start) for _, flood, start in floods])
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        return {name: each for (name, _, _), each in zip(floods, played, strict=True)}, peak_bytes

    return anyio.run(main)


def check_failed(found, longest_s):
    for name, (replies, took_s, closed) in found.items():
        assert all(isinstance(reply, Err) for reply in replies), (name, replies)
        assert took_s < longest_s and closed, (name, took_s, closed)


def call_store(address):
    client = PlatformStore(address, StoreEpoch())
    calls = [
        client.list_objects("kind"),
        client.watch("kind", StoreRevision(0, 1), 100),
        client.replace("kind", "x", b"{}", StoreRevision(0, 1)),
    ]
    return calls, client.close


@when("the store takes {took_s:g} s to send a page of a megabyte, and answers with a nested one")
def slow_page(context, took_s):
    large = b'{"current_rev":3,"items":["%s"]}' % (b"x" * 1_000_000)
    nested = b'{"current_rev":3,"items":%s}' % (b"[" * 100_000)

    async def main():
        pages, parts = [large, nested], 50

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            page = pages.pop(0)
            head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(page))
            size = len(page) // parts + 1
            for start in range(0, len(page), size):
                writer.write(page[start : start + size])
                await writer.drain()
                await anyio.sleep(took_s / parts if page is large else 0)
            await writer.drain()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = PlatformStore(f"{host}:{port}", StoreEpoch())
        context.pages = [await client.list_objects("kind") for _ in range(2)]
        await client.close()
        server.close()

    anyio.run(main)


@then("the first one is read, and the second one is a failure")
def pages_read(context):
    slow, nested = context.pages
    assert isinstance(slow, Ok) and slow.ok_value.revision == StoreRevision(0, 3), slow
    assert isinstance(nested, Err) and nested.err_value.reason.startswith("malformed"), nested


@when("the store answers a listing, a watch and a write with bytes without end")
def store_floods(context):
    floods = [(name, flood, call_store) for name, flood in STORE_FLOODS.items()]
    context.found, context.peak_bytes = flood_calls(floods)


@then("each call fails in time within the bound of memory, and its connection is closed")
def store_bounded(context):
    check_failed(context.found, STORE_S)
    assert all(replies[2].err_value.applied for replies, _, _ in context.found.values())
    assert context.peak_bytes < STORE_PEAK_BYTES, context.peak_bytes


STREAM = IN_CHUNKS + b"10\r\nid: 1\ndata: a0\n\n\r\n"
# What follows the first event, and how the run of it ends.
STREAM_FLOODS = {
    "comments": (b"3\r\n:\n\n\r\n", 0.02, "silent"),
    "empty events": (b"7\r\ndata:\n\n\r\n", 0.02, "silent"),
    "drip": (b"1\r\nx\r\n", 0.02, "silent"),
    "event": (b"10000\r\n" + PIECE + b"\r\n", 0.0, "oversized"),
}


@when("an engine begins a resumable stream and goes on without an event for good")
def stream_floods(context):
    context.found = {}
    for name, (piece, pause_s, _) in STREAM_FLOODS.items():
        server = EndlessServer("a0", "llm", "decode", STREAM, piece, pause_s)
        context.found[name] = play_stream(server, "/res/")


@then("the caller gets the whole stream once, the rest of it from another engine")
def stream_resumed(context):
    for name, found in context.found.items():
        ids = [int(number) for number in re.findall(rb"id: (\d+)", found["raw"])]
        assert ids == [1, 2, 3] and found["raw"].endswith(b"0\r\n\r\n"), (name, found)
        labels = {("kind", "stream"), ("result", STREAM_FLOODS[name][2])}
        assert any(labels <= set(each) for _, each in found["figures"]), (name, found)


REFUSED_HEAD = JSON_HEAD.replace(b"200 OK", b"503 X")
# What answers never end of engines and of the store of the project's own deployment.
OWN_FLOODS = {
    "drip": (JSON_HEAD, b"1\r\n \r\n", 0.01),
    "body": (JSON_HEAD, b"10000\r\n" + PIECE + b"\r\n", 0.0),
    "refusal": (REFUSED_HEAD, b"1\r\n \r\n", 0.01),
}
# The largest body, and copies of it.
OWN_PEAK_BYTES = 4 * OWN_MAX_BODY_BYTES
DECODE = Decode("r", 1, "n", "p", 9, "127.0.0.1:1", "k", 0, 100)


def call_engine(address):
    client = EngineClient()
    return [client.report(address)], client.close


def call_decode(address):
    client = EngineClient()

    async def decode():
        try:
            async with client.open_decode(address, DECODE, 3000) as opened:
                if isinstance(opened, Err):
                    return opened
                async for _ in opened.ok_value:
                    pass
        except (OversizedBody, TimeoutError) as error:
            return Err(error)

    return [decode()], client.close


def call_own_store(address):
    client = StoreClient(address, random.Random(1), reads_per_s=100)
    return [client.list()], client.close


@when("an engine or the store of the own deployment answers with bytes without end")
def own_floods(context):
    floods = [
        ((name, start.__name__), flood, start)
        for name, flood in OWN_FLOODS.items()
        for start in (call_engine, call_own_store, call_decode)
        # A line that drips ends with its caller.
        if (name, start) != ("drip", call_decode)
    ]
    context.found, context.peak_bytes = flood_calls(floods)


@then("each call fails in time, and its connection is closed")
def own_bounded(context):
    check_failed(context.found, OWN_S)
    assert context.peak_bytes < OWN_PEAK_BYTES, context.peak_bytes


@then("an answer that had arrived by its deadline is relayed whole after it")
def arrived_in_time(context):
    async def play():
        connection, body = connect(), Mock(write=AsyncMock())
        connection.send(b"", "r1")
        connection.data_received(CHUNKED + b"3\r\nown\r\n0\r\n\r\n")
        node = Mock(now_ms=lambda: 10, check_end=AsyncMock(return_value=True))
        exchange = Mock(connection=connection, next_chunk=connection.next_chunk)
        assert await relay_rest(node, Mock(deadline_at_ms=0), None, exchange, body)
        body.write.assert_awaited_once_with(b"own")

    anyio.run(play)


@then("a relaying node ends an answer that goes on after the deadline")
def relay_ends(_):
    check_relay_ends(head_after_s=0, left_ms=50, limit_s=1)


@then("it does so in the time that the request has left, however late the head came")
def relay_ends_with_late_head(_):
    check_relay_ends(head_after_s=0.9, left_ms=1000, limit_s=1.6)


def check_relay_ends(head_after_s, left_ms, limit_s):
    async def read_head(*_):
        await anyio.sleep(head_after_s)
        return ResponseHead(200)

    async def play():
        connection, relay = connect(), RelayServer.__new__(RelayServer)
        connection.send(b"", "r1")
        connection.data_received(CHUNKED)
        relay._calls = Mock(read_relayed_head=read_head)

        async def drip():
            while True:
                connection.data_received(b"1\r\nx\r\n")
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drip)
            with anyio.fail_after(limit_s):
                try:
                    await relay._pass_on(AsyncMock(), connection, Mock(left_ms=left_ms), None)
                except ExchangeError as error:
                    assert error.cause is ExchangeErrorCause.ENDLESS, error
                else:
                    raise AssertionError("no ExchangeError was raised")
            tasks.cancel_scope.cancel()

    anyio.run(play)
