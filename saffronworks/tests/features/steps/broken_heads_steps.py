"""Steps on endpoints that close their connections in the middle of a head."""

import itertools
import re

import anyio
from behave import then, when

from saffronworks.tests.cut_paths import Cut, CutPaths
from saffronworks.tests.features.steps.framing_steps import CHUNKED, LENGTH, UNTIL_CLOSE, carry
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import on_platform

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
HEAD_END = b"\r\n\r\n"
# Bytes between two positions in a head that are played, and between those of relayed answers.
STRIDE, RELAYED_STRIDE = 3, 5
RELAYED_S = 10.0

# Path, call whose answer breaks off, script of the endpoint, and what comes before the head.
ANSWERS = {
    "a page": ("/once/", "request", None, b""),
    "a page without a length": ("/once/", "request", "unframed", b""),
    "a page after an interim head": ("/once/", "request", None, INTERIM),
    "a stream": ("/gen/", "request", None, b""),
    "a stream without chunks": ("/gen/", "request", "unframed", b""),
    "a stream after an interim head": ("/gen/", "request", None, INTERIM),
    "a resumable stream": ("/res/", "request", None, b""),
    "the prefill of a stream": ("/gen/", "prefill", None, b""),
    "the reservation of memory for a stream": ("/gen/", "hold", None, b""),
}


class _ShortWriter:
    """Passes on the first bytes of an answer, then closes the connection."""

    def __init__(self, writer, before, cut):
        self._writer, self._left = writer, cut
        self.written = b""
        if before:
            self.write(before)

    def write(self, data):
        self.written += data
        self._writer.write(data[: self._left])
        self._left -= len(data[: self._left])

    async def drain(self):
        await self._writer.drain()
        if not self._left:
            raise ConnectionResetError("closed on purpose")

    def get_extra_info(self, name):
        return self._writer.get_extra_info(name)


class HeadCuttingServer(FakeServer):
    """A server that closes in the next answer to one kind of call, after `cut` bytes."""

    def __init__(self, instance, service, stage=None):
        super().__init__(instance, service, stage)
        self.kind, self.before, self.fault = "request", b"", None
        self.cut = None
        # The length of the last head of that kind, with what came before it.
        self.head_bytes = 0

    async def _request(self, reader, writer, headers):
        kind = "prefill" if headers.get("stage") == "prefill" else "request"
        if kind == "request" and self.fault:
            self.script = [self.fault]
        answer = super()._request
        return await self._cut_answer(kind, writer, lambda short: answer(reader, short, headers))

    async def _control(self, writer, method, target):
        kind = "hold" if target.endswith("hold-take") else "other"
        answer = super()._control
        return await self._cut_answer(kind, writer, lambda short: answer(short, method, target))

    async def _cut_answer(self, kind, writer, answer):
        if kind != self.kind:
            return await answer(writer)
        cut, self.cut = self.cut, None
        short = _ShortWriter(writer, self.before, 10**6 if cut is None else cut)
        goes_on = await answer(short)
        head_end = short.written.index(HEAD_END, len(self.before)) + len(HEAD_END)
        self.head_bytes = head_end
        return goes_on


def make_servers(path):
    if path == "/once/":
        return [HeadCuttingServer("w0", "web")]
    return [HeadCuttingServer("d0", "llm", "decode"), HeadCuttingServer("p0", "llm", "prefill")]


def is_whole(path, raw, server_events):
    """Return whether an answer has its whole body, and a proper end of it."""
    head, _, body = raw.partition(HEAD_END)
    if path == "/once/":
        size = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        return size is not None and len(body) == int(size[1]) > 0 or body.endswith(b"0\r\n\r\n")
    ids = [int(number) for number in re.findall(rb"id: (\d+)\n", body)]
    return ids == list(range(1, server_events + 1)) and body.endswith(b"0\r\n\r\n")


@when("{answer} breaks off within its head, at one node and over a relay")
def heads_break_off(context, answer):
    path, kind, fault, before = ANSWERS[answer]
    context.path, context.cut_answers, context.whole_answers = path, [], []

    async def play(place):
        servers = list(place.servers.values())
        for server in servers:
            server.kind, server.before, server.fault = kind, before, fault
        numbers = itertools.count()

        async def ask():
            request_id = f"r{next(numbers)}"
            if path == "/once/":
                return await place.ask(path, request_id)
            return await place.generate(path, request_id)

        async def play_cuts(stride):
            assert await wait_until_whole(ask, path)
            head_bytes = max(server.head_bytes for server in servers)
            assert head_bytes > 20, "no answer of this kind was seen"
            for cut in range(1, head_bytes, stride):
                for server in servers:
                    server.cut = cut
                context.cut_answers.append((cut, await ask()))
                for server in servers:
                    server.cut = None
                context.whole_answers.append(await ask_until_served(ask))

        await play_cuts(STRIDE)
        relays = count_relays(place.nodes[1])
        paths = CutPaths(place)
        paths.cut(0, Cut.RESET)
        for instance in list(place.servers):
            place.node._calls.pool.close_instance(place.node._directory.named(instance).instance)
        await play_cuts(RELAYED_STRIDE)
        context.relays = relays

    on_platform(make_servers(path), play, count=2)


def count_relays(node):
    """Return a list of the requests that a node relays from now on."""
    relays, calls = [], node._relay_server._calls
    start = calls.start_relayed

    async def start_relayed(endpoint, relayed):
        relays.append(relayed.request_id)
        return await start(endpoint, relayed)

    calls.start_relayed = start_relayed
    return relays


async def ask_until_served(ask):
    """Return the first answer that is no refusal, as a failed endpoint rests for a moment."""
    for _ in range(10):
        raw = await ask()
        if not raw.startswith(b"HTTP/1.1 503"):
            break
        await anyio.sleep(0.2)
    return raw


async def wait_until_whole(ask, path):
    with anyio.move_on_after(RELAYED_S):
        while not is_whole(path, await ask(), 3):
            await anyio.sleep(0.1)
        return True
    return False


@then("no caller gets a success that is not whole")
def no_short_success(context):
    assert len(context.cut_answers) > 20, len(context.cut_answers)
    assert len(context.relays) > 10, len(context.relays)
    short = [
        (cut, raw)
        for cut, raw in context.cut_answers
        if raw.startswith(b"HTTP/1.1 2") and not is_whole(context.path, raw, 3)
    ]
    assert not short, short
    failed = [raw for _, raw in context.cut_answers if not raw.startswith(b"HTTP/1.1 2")]
    assert failed or context.path == "/res/", "no answer broke off"


@then("answers that don't break off are whole")
def others_whole(context):
    short = [raw for raw in context.whole_answers if not is_whole(context.path, raw, 3)]
    assert not short, short


@when("repeatable pages meet an endpoint that closes in its head, beside a sound one")
def repeatable_pages(context):
    cutting, sound = HeadCuttingServer("w0", "web"), FakeServer("w1", "web")
    context.answers = []

    async def play(place):
        for number in range(24):
            cutting.cut = 5 + 4 * number
            context.answers.append(await place.ask("/again/", f"r{number}"))
        context.ran = cutting.ran

    on_platform([cutting, sound], play)


@then("each of them is answered whole")
def pages_whole(context):
    assert context.ran, "no page met the endpoint that closes"
    for number, raw in enumerate(context.answers):
        assert raw.startswith(b"HTTP/1.1 200") and raw.endswith(f"r{number}".encode()), raw


@when("it closes after any number of bytes of heads of every framing, also after an interim head")
def own_heads(context):
    context.ends = []
    for script, before in itertools.product((LENGTH, CHUNKED, UNTIL_CLOSE), (b"", INTERIM)):
        head = before + script[0]
        for cut in range(1, len(head)):
            caller, outcome, *_ = anyio.run(carry, "/x", [head[:cut]])
            context.ends.append((head[:cut], caller, outcome))


@then("the caller gets one whole refusal, and the outcome is unknown")
def own_refused(context):
    for head, caller, outcome in context.ends:
        assert caller.whole and caller.status == 502, (head, vars(caller))
        assert outcome == "unknown", (head, outcome)
