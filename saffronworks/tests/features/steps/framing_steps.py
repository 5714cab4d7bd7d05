"""Scenarios on how answers end: streams of tokens and plain calls, without sockets."""

import asyncio
import contextlib
import json
from itertools import product

import anyio
import httpcore
from behave import then, when

from saffronworks.bundles import Endpoint, PlainRoute
from saffronworks.clocks import monotonic_ms
from saffronworks.completions import CompletionRequest, StreamingSink
from saffronworks.plain import PlainProxy
from saffronworks.request_events import Completed, NotRun, Unknown
from saffronworks.tests.caller_fakes import FakeCaller, ScriptedUpstream
from saffronworks.tests.log_lines import LogLines
from saffronworks.web import HttpServer, bind

OUTCOMES = (Completed(), NotRun("overload"), Unknown("engine gone"))
DONE = b"data: [DONE]\n\n"


async def end_stream(begun, chat, outcome):
    caller = FakeCaller("POST", "/v1/completions")
    request = CompletionRequest("m", "p", "p", 8, stream=True, chat=chat)
    sink = StreamingSink(caller.call, "r", request)
    if begun:
        await sink.deliver(("one ", "two "))
    with caller.served():
        await sink.finish(outcome)
    return caller


@when("streams of tokens end in every way")
def streams_end(context):
    context.ends = []
    for begun, chat, outcome in product((True, False), (False, True), OUTCOMES):
        caller = anyio.run(end_stream, begun, chat, outcome)
        context.ends.append((begun, outcome, caller))


@then("those that are whole end with their last event and a good end")
def whole_streams(context):
    callers = [c for _, outcome, c in context.ends if isinstance(outcome, Completed)]
    assert len(callers) == 4
    for caller in callers:
        assert caller.whole and caller.body.endswith(DONE), vars(caller)


@then("those that had begun and are not whole tell the outcome and are cut")
def short_streams(context):
    short = [(o, c) for begun, o, c in context.ends if begun and not isinstance(o, Completed)]
    assert len(short) == 4
    for outcome, caller in short:
        assert caller.closed and not caller.ended, (outcome, vars(caller))
        *_, last = caller.body.removesuffix(b"\n\n").split(b"\n\n")
        error = json.loads(last.removeprefix(b"data: "))["error"]
        assert error["code"] == "unknown" and outcome.reason in error["message"], last
        assert DONE not in caller.body


@then("those that had not begun are refused in one whole answer")
def refused_streams(context):
    refused = [(o, c) for begun, o, c in context.ends if not begun and not isinstance(o, Completed)]
    assert len(refused) == 4
    for outcome, caller in refused:
        told = "not-run" if isinstance(outcome, NotRun) else "unknown"
        assert caller.whole and caller.status in (502, 503), vars(caller)
        assert caller.headers["saffronworks-outcome"] == told, caller.headers


BODY = b"0123456789"
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
LENGTH = [HEAD + b"content-length: 10\r\n\r\n", BODY[:4], BODY[4:]]
CHUNKED = [
    HEAD + b"transfer-encoding: chunked\r\n\r\n",
    b"4\r\n0123\r\n6\r\n456789\r\n",
    b"0\r\n\r\n",
]
# The end of a process closes its connections in the same way as the end of an answer.
UNTIL_CLOSE = [HEAD + b"connection: close\r\n\r\n", BODY[:4], BODY[4:]]
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
EVENT = b"data: one\n\n"
BREAKS = (httpcore.ReadError("reset"), httpcore.ReadTimeout("silent"), OSError("gone"))


def plain_cases():
    """Script, and whether it is a whole answer."""
    for script in (LENGTH, CHUNKED, UNTIL_CLOSE):
        yield script, script is not UNTIL_CLOSE
        for kept, error in product(range(1, len(script)), BREAKS):
            yield [*script[:kept], error], False
    for script, kept in product((LENGTH, CHUNKED, UNTIL_CLOSE), (1, 2)):
        yield script[:kept], False
    for error in BREAKS:
        yield [*UNTIL_CLOSE, error], False


def plain_route(count):
    return PlainRoute("r", "/", tuple(Endpoint(f"e{i}", f"e{i}:80", "z") for i in range(count)))


async def carry(path, *scripts):
    """One GET through the proxy: its caller, the outcome, the services asked, the log."""
    caller, upstream = FakeCaller("GET", path), ScriptedUpstream(*scripts)
    proxy = PlainProxy("z")
    proxy._pool = httpcore.AsyncConnectionPool(network_backend=upstream)
    outcome = None
    with LogLines("saffronworks.plain") as texts, caller.served():
        outcome = await proxy.carry(caller.call, plain_route(len(scripts)), False, 0)
    return caller, outcome, upstream.connections, texts


@when("plain services break off answers of every framing")
def plain_breaks(context):
    context.played = [
        (script, whole, *anyio.run(carry, f"/path-{number}", script))
        for number, (script, whole) in enumerate(plain_cases())
    ]


@then("what came whole is passed on whole, and the rest is cut")
def plain_framing(context):
    for script, whole, caller, *_ in context.played:
        assert caller.status == 200, (script, vars(caller))
        assert caller.whole == whole, (script, vars(caller))
        assert BODY.startswith(caller.body), (script, caller.body)
        assert caller.body == BODY or not whole, (script, caller.body)


@then("each of these calls has an outcome to be counted")
def plain_outcomes(context):
    for script, whole, _, outcome, *_ in context.played:
        assert outcome == ("completed" if whole else "unknown"), (script, outcome)


@then("the log names the calls that were cut")
def plain_log(context):
    for number, (script, whole, *_, texts) in enumerate(context.played):
        named = [t for t in texts if "event=plain_cut" in t and f"path=/path-{number}" in t]
        assert len(named) == (not whole), (script, texts)


async def ask_closing(method, answer):
    """Ask a service that writes these bytes and closes: the body, and whether it ended whole."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    service = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = "{}:{}".format(*service.sockets[0].getsockname())
    proxy, route = PlainProxy("z"), PlainRoute("r", "/", (Endpoint("e", address, "z"),))
    server = HttpServer(
        bind("127.0.0.1:0"), lambda call: proxy.carry(call, route, False, monotonic_ms())
    )
    body, whole = b"", False
    async with service, anyio.create_task_group() as tasks, httpcore.AsyncConnectionPool() as pool:
        tasks.start_soon(server.run)
        with contextlib.suppress(httpcore.RemoteProtocolError):
            async with pool.stream(method, f"http://{server.address}/") as response:
                async for chunk in response.aiter_stream():
                    body += chunk
            whole = True
        tasks.cancel_scope.cancel()
    await proxy.close()
    return body, whole


@when("a plain service answers {method} with {answer} and closes its connection")
def closing(context, method, answer):
    answers = {
        "half a text": HEAD + b"\r\n" + BODY[:4],
        "no body": HEAD + b"\r\n",
        "an event": EVENTS_HEAD + EVENT,
        "an event and half an end mark": EVENTS_HEAD + EVENT + DONE[:-1],
        "an event that quotes the end mark": EVENTS_HEAD + b"data: " + DONE,
        "a text that ends with the end mark": HEAD + b"\r\n" + DONE,
        "an event and the end mark": EVENTS_HEAD + EVENT + DONE,
        "a status without a body": b"HTTP/1.1 304 Not Modified\r\n\r\n",
    }
    context.sent = answers[answer].partition(b"\r\n\r\n")[2]
    context.got, context.whole = anyio.run(ask_closing, method, answers[answer])


@then("the caller gets {proper} end of it")
def closed_end(context, proper):
    assert context.got == context.sent, context.got
    assert context.whole == (proper == "a proper"), context.whole


@when("a plain service answers with status 699")
def odd_status(context):
    context.odd = anyio.run(carry, "/", [b"HTTP/1.1 699 X\r\ncontent-length: 0\r\n\r\n"])


@then("the caller gets one whole refusal that tells the outcome")
def odd_refused(context):
    caller, outcome, *_ = context.odd
    assert outcome == "unknown" and caller.status == 502 and caller.whole, vars(caller)


@when("a plain service breaks off an answer and another one could be asked")
def plain_begun(context):
    script = [*LENGTH[:2], httpcore.ReadError("reset")]
    context.begun = anyio.run(carry, "/", script, LENGTH)


@then("the caller has nothing of a second answer")
def plain_once(context):
    caller, _, connections, _ = context.begun
    assert connections == 1 and caller.body == BODY[:4] and not caller.whole, vars(caller)
