"""Steps on endpoints whose answers have statuses that can't be."""

import itertools
import re
import time

import anyio
from behave import then, when

from saffronworks.tests.cut_paths import Cut, CutPaths
from saffronworks.tests.features.steps.broken_heads_steps import ask_until_served, is_whole
from saffronworks.tests.features.steps.framing_steps import carry
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import on_platform

STATUSES = ["000", "001", "042", "099", "101", "103", "199", "600", "999"]
# Of the route's 3 s, in which both of a request's sends were made.
ANSWERED_S = 2.0
KINDS = {
    "a page": ("/again/", "request"),
    "a stream": ("/gen/", "request"),
    "a prefill": ("/gen/", "prefill"),
    "a reservation": ("/gen/", "hold"),
}


class _OddWriter:
    """Writes another status than the server's."""

    def __init__(self, writer, status):
        self._writer, self._status = writer, status

    def write(self, data):
        self._writer.write(re.sub(rb"\AHTTP/1.1 \d+", b"HTTP/1.1 " + self._status, data))

    def __getattr__(self, name):
        return getattr(self._writer, name)


class OddStatusServer(FakeServer):
    """A server whose answers to one kind of call have the status `odd`, if it is set."""

    kind, odd = "request", None

    def _wrap(self, kind, writer):
        odd = self.odd is not None and kind == self.kind
        return _OddWriter(writer, self.odd.encode()) if odd else writer

    async def _request(self, reader, writer, headers):
        kind = "prefill" if headers.get("stage") == "prefill" else "request"
        return await super()._request(reader, self._wrap(kind, writer), headers)

    async def _control(self, writer, method, target):
        kind = "hold" if target.endswith("hold-take") else "other"
        return await super()._control(self._wrap(kind, writer), method, target)


@when("{answer} comes with statuses that can't be, directly and over a relay")
def step_odd(context, answer):
    path, kind = KINDS[answer]
    context.kind, context.odd, context.later = kind, [], []
    servers = [OddStatusServer("w0", "web"), OddStatusServer("d0", "llm", "decode")]
    servers.append(OddStatusServer("p0", "llm", "prefill"))

    async def play(place):
        numbers = itertools.count()
        await place.wait_for_planners()

        async def ask():
            request_id = f"r{next(numbers)}"
            if path == "/again/":
                return await place.ask(path, request_id)
            return await place.generate(path, request_id)

        async def play_statuses(way):
            await ask_until_served(ask)
            for status in STATUSES:
                for server in servers:
                    server.kind, server.odd = kind, status
                began_s = time.monotonic()
                raw = await ask()
                context.odd.append((way, status, time.monotonic() - began_s, raw))
                for server in servers:
                    server.odd = None
                context.later.append((way, status, await ask_until_served(ask)))

        await play_statuses("direct")
        CutPaths(place).cut(0, Cut.RESET)
        for instance in list(place.servers):
            place.node._calls.pool.close_instance(place.node._directory.named(instance).instance)
        await play_statuses("relayed")

    on_platform(servers, play, count=2)


@then("no caller gets such a status, nor a success that is not another server's")
def step_no_odd(context):
    for way, status, _, raw in context.odd:
        # A prompt that was not prefilled is read by the endpoint that generates.
        served = context.kind == "prefill" and is_whole("/gen/", raw, 3)
        assert served or re.match(rb"HTTP/1.1 50[234] ", raw), (way, status, raw)


@then("each is answered well before its time is over")
def step_odd_soon(context):
    late = [(way, status, took) for way, status, took, _ in context.odd if took > ANSWERED_S]
    assert not late, late


@then("requests after it are served")
def step_odd_later(context):
    failed = [(way, status, raw) for way, status, raw in context.later if b" 200 " not in raw[:20]]
    assert not failed, failed


@when("it answers with statuses that can't be")
def step_odd_plain(context):
    context.played = [
        (status, *anyio.run(carry, "/p", [f"HTTP/1.1 {status} X\r\n{framing}\r\nhello".encode()]))
        for status in STATUSES
        for framing in ("Content-Length: 5\r\n", "Connection: close\r\n")
    ]


@then("the caller gets one 502, and the outcome is unknown")
def step_odd_plain_refused(context):
    for status, caller, outcome, *_ in context.played:
        assert (caller.status, outcome) == (502, "unknown"), (status, caller.status, outcome)
