"""Scenarios on endpoints that restart under their name while they serve requests."""

import time

import anyio
from behave import then, when

from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_place import engines, on_platform, web_servers

# Time from the new entry in the store to the end of the requests at the earlier start.
FAILED_WITHIN_S = 0.3
# Time within which a node knows a change of the store, which it batches for a quarter of a second.
KNOWN_WITHIN_S = 2.0


async def restart(place, server):
    server.restart()
    place.store.put("servers", server.instance, server.entry())


async def restart_during(place, ask, server):
    """Restart a server during a request; return the answer and the seconds until it came."""
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


@when("an unresponsive endpoint restarts under its name")
def silent_restarts(context):
    server = web_servers()[0]

    async def play(place):
        for name, path in (("once", "/once/"), ("again", "/again/")):
            server.work_s = 5.0
            answer = await restart_during(place, place.ask(path, name), server)
            setattr(context, name, answer)
        context.ran = list(server.ran)

    on_platform([server], play)


@then("a plain request in flight there fails at once, with an unknown outcome")
def fails_at_once(context):
    raw, elapsed_s = context.once
    assert raw.startswith(b"HTTP/1.1 502") and b"retry-after" not in raw.lower(), raw
    assert elapsed_s < FAILED_WITHIN_S, elapsed_s


@then("an idempotent one is served by the later start or another endpoint")
def served_again(context):
    raw, elapsed_s = context.again
    assert raw.startswith(b"HTTP/1.1 200") and context.ran == ["again"], (raw, context.ran)
    assert elapsed_s < FAILED_WITHIN_S, elapsed_s


@when("an engine stops in the middle of a resumable stream and restarts")
def stream_restarts(context):
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = ["stall-2"]
        ask = place.generate("/res/", "g1")
        first = servers[0]

        async def find_first():
            return await ask

        context.answer = await restart_during(
            place, find_first(), _RunningServer(servers[:2], first)
        )

    on_platform(servers, play)


class _RunningServer:
    """Stands for the one of several servers that runs the stream."""

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


@then("the stream continues elsewhere at once, with each event once")
def continues(context):
    raw, elapsed_s = context.answer
    ids = [raw.find(b"\nid: %d" % number) for number in (1, 2, 3)]
    assert -1 not in ids and ids == sorted(ids) and raw.count(b"data: ") == 3, raw
    assert raw.endswith(b"0\r\n\r\n") and elapsed_s < FAILED_WITHIN_S, (raw, elapsed_s)


@when("an engine restarts between the reservation and the stream")
def hold_restarts(context):
    decoders = engines()[:2]
    reader = engines()[2]
    reader.read_s = 0.5
    context.decoder = decoders[0]

    async def play(place):
        context.answer = await restart_during(place, place.generate("/gen/", "g1"), decoders[0])

    on_platform([decoders[0], reader], play)


@then("the caller gets the whole stream, and the later start no reservation of the earlier one")
def no_old_hold(context):
    raw, _ = context.answer
    assert raw.count(b"data: ") == 3 and raw.endswith(b"0\r\n\r\n"), raw
    sent = [headers["kv-hold"] for _, _, headers, _ in context.decoder.seen if "kv-hold" in headers]
    assert len(sent) == 1 and sent[0].startswith("h2-"), sent


def knows_start(place, server):
    known = place.node._directory.named(server.instance)
    return known is not None and known.born_ms == server.starts


@when("an endpoint restarts at its old address, after another one answered there")
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
        assert await wait_until(lambda: knows_start(place, server), KNOWN_WITHIN_S)
        context.served = await place.ask("/once/", "r3")
        context.ran = list(server.ran)

    on_platform([server], play)


@then("it serves requests at once")
def serves_at_once(context):
    assert context.lost.startswith(b"HTTP/1.1 503"), context.lost
    assert context.still_lost.startswith(b"HTTP/1.1 503") and context.asked == 1, context.asked
    assert context.served.startswith(b"HTTP/1.1 200") and context.ran == ["r3"], context.served
