"""Scenarios on endpoints that start again under their name while a node has work there."""

import time

import anyio
from behave import then, when

from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_place import engines, on_platform, web_servers

# From the entry in the store to the end of what the earlier start had in hand.
SETTLED_S = 0.3
# A change of the store is known by then; several are taken together after a quarter of a second.
HEARD_LIMIT_S = 2.0


async def restart(place, server):
    server.restart()
    place.store.put("servers", server.instance, server.entry())


async def ask_across(place, ask, server):
    """The answer to a request that is under way when a server starts again, and after how long."""
    answers = []

    async def keep():
        answers.append(await ask)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keep)
        await anyio.sleep(0.25)
        assert not answers, answers
        began_s = time.monotonic()
        await restart(place, server)
    return answers[0], time.monotonic() - began_s


@when("an endpoint that went silent starts again under its name")
def silent_restarts(context):
    server = web_servers()[0]

    async def play(place):
        for name, path in (("once", "/once/"), ("again", "/again/")):
            server.work_s = 5.0
            answer = await ask_across(place, place.ask(path, name), server)
            setattr(context, name, answer)
        context.ran = list(server.ran)

    on_platform([server], play)


@then("a plain request in its hands is settled at once, and unknown")
def settled(context):
    raw, took_s = context.once
    assert raw.startswith(b"HTTP/1.1 502") and b"retry-after" not in raw.lower(), raw
    assert took_s < SETTLED_S, took_s


@then("one that may be repeated is served by the later start or another endpoint")
def served_again(context):
    raw, took_s = context.again
    assert raw.startswith(b"HTTP/1.1 200") and context.ran == ["again"], (raw, context.ran)
    assert took_s < SETTLED_S, took_s


@when("an engine stops in the middle of a resumable stream and starts again")
def stream_restarts(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["stall-2"]
        ask = place.generate("/res/", "g1")
        first = servers[0]

        async def find_first():
            return await ask

        context.answer = await ask_across(place, find_first(), _Running(servers[:2], first))

    on_platform(servers, play)


class _Running:
    """Whichever of some servers runs the stream."""

    def __init__(self, servers, first):
        self._servers, self._first = servers, first

    @property
    def _chosen(self):
        return next((server for server in self._servers if server.ran), self._first)

    def restart(self):
        self._restarted = self._chosen
        for server in self._servers:
            server.script = []
        self._restarted.restart()

    @property
    def instance(self):
        return self._restarted.instance

    def entry(self):
        return self._restarted.entry()


@then("the stream goes on elsewhere at once, each event once")
def goes_on(context):
    raw, took_s = context.answer
    ids = [raw.find(b"\nid: %d" % number) for number in (1, 2, 3)]
    assert -1 not in ids and ids == sorted(ids) and raw.count(b"data: ") == 3, raw
    assert raw.endswith(b"0\r\n\r\n") and took_s < SETTLED_S, (raw, took_s)


@when("an engine starts again between the reservation and the stream")
def hold_restarts(context):
    decoders = engines()[:2]
    reader = engines()[2]
    reader.read_s = 0.5
    context.decoder = decoders[0]

    async def play(place):
        context.answer = await ask_across(place, place.generate("/gen/", "g1"), decoders[0])

    on_platform([decoders[0], reader], play)


@then("the caller gets the whole stream, and the later start got no hold of the one before")
def no_old_hold(context):
    raw, _ = context.answer
    assert raw.count(b"data: ") == 3 and raw.endswith(b"0\r\n\r\n"), raw
    sent = [headers["kv-hold"] for _, _, headers, _ in context.decoder.seen if "kv-hold" in headers]
    assert sent == ["h2"], sent


def knows_start(place, server):
    known = place.node._directory.named(server.instance)
    return known is not None and known.born_ms == server.starts


@when("an endpoint gets its address back by a later start, after the other one answered there")
def address_back(context):
    server = web_servers()[0]

    async def play(place):
        server.instance = "w-other"
        context.lost = await place.ask("/once/", "r1")
        place.store.put("servers", "w0", server.entry())
        context.still_lost = await place.ask("/once/", "r2")
        context.asked = len(server.seen)
        server.instance = "w0"
        await restart(place, server)
        assert await wait_until(lambda: knows_start(place, server), HEARD_LIMIT_S)
        context.served = await place.ask("/once/", "r3")
        context.ran = list(server.ran)

    on_platform([server], play)


@then("it serves at once")
def serves_at_once(context):
    assert context.lost.startswith(b"HTTP/1.1 503"), context.lost
    assert context.still_lost.startswith(b"HTTP/1.1 503") and context.asked == 1, context.asked
    assert context.served.startswith(b"HTTP/1.1 200") and context.ran == ["r3"], context.served
