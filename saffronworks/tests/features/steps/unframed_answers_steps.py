"""Steps on answers without length or chunks, on the whole path over loopback."""

import asyncio
import itertools

from behave import then, when

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.endpoint_identity import (
    AddressAnswer,
    Identification,
    IdentityChecks,
)
from saffronworks.standins.sites import wait_until
from saffronworks.tests.crashing_servers import CRASHING, Arrivals, CrashingServer
from saffronworks.tests.platform_fakes import HEALTH_PATH, FakeServer
from saffronworks.tests.platform_place import CONFIG, engines, on_platform, web_servers

EVENT = b"id: 1\ndata: one\n\n"
CHUNKS_END = b"0\r\n\r\n"
HEALTH_CONFIG = CONFIG | {
    "services": [service | {"health_path": HEALTH_PATH} for service in CONFIG["services"]]
}


def crashing(server):
    server.head_first = server.unframed = True
    return server


@when("engines crash after the first event of streams without length or chunks")
def streams_crash(context):
    context.arrivals = arrivals = Arrivals()
    decoders = [crashing(CrashingServer("d0", "llm", "decode", arrivals, down_s=9.0))]
    decoders += [crashing(CrashingServer("d1", "llm", "decode", arrivals, down_s=9.0))]
    sound = FakeServer("d2", "llm", "decode")
    sound.full = True

    async def play(place):
        for server in decoders:
            server.store = place.store
        context.cut = await place.generate("/gen/", "g0", body=CRASHING)
        sound.full = False
        context.resumed = await place.generate("/res/", "g1", body=CRASHING)

    on_platform([*decoders, sound, FakeServer("p0", "llm", "prefill")], play)


@then("the caller of a stream that can't be resumed gets the event, and no proper end")
def stream_cut(context):
    assert EVENT in context.cut and not context.cut.endswith(CHUNKS_END), context.cut


@then("the caller of one that can be gets the whole stream from another engine")
def stream_resumed(context):
    assert context.resumed.endswith(CHUNKS_END), context.resumed
    assert [b"id: %d" % number in context.resumed for number in (1, 2, 3)] == [True] * 3
    assert len(context.arrivals.ends_s) == 2, context.arrivals


@when("one of two plain endpoints crashes in an answer without length or chunks")
def plain_crashes(context):
    server = crashing(CrashingServer("w0", "web", None, Arrivals(), down_s=9.0))
    sound = FakeServer("w1", "web")

    async def play(place):
        server.store = place.store
        context.raws = [
            await place.ask("/again/a", f"r{number}", body=CRASHING) for number in range(2)
        ]

    on_platform([server, sound], play)


@then("the caller gets the whole answer of the other one")
def plain_whole(context):
    assert all(raw.endswith((b"r0", b"r1")) for raw in context.raws), context.raws


@when("endpoints crash in answers and start again {down_s:f} s later with {id_kind} id")
def crash_and_return(context, down_s, id_kind):
    context.raws = {}
    for unframed in (True, False):
        servers = [
            CrashingServer("w0", "web", None, Arrivals(), down_s),
            CrashingServer("d0", "llm", "decode", Arrivals(), down_s),
        ]
        for server in servers:
            server.head_first, server.unframed = True, unframed
            # A start writes its entry about a second after it listens.
            server.renames, server.entry_delay_s = id_kind == "new", 1.0

        async def play(place, servers=servers, unframed=unframed):
            for server in servers:
                server.store = place.store
            plain = await place.ask("/once/a", "r0", body=CRASHING)
            stream = await place.generate("/gen/", "g0", body=CRASHING)
            context.raws |= {("plain", unframed): plain, ("stream", unframed): stream}
            assert [len(server.arrivals.ends_s) for server in servers] == [1, 1], context.raws

        on_platform([*servers, FakeServer("p0", "llm", "prefill")], play, HEALTH_CONFIG)


@then("no caller gets a proper end of an answer that was cut off")
def none_looks_complete(context):
    assert len(context.raws) == 4, context.raws
    for case, raw in context.raws.items():
        began = raw.startswith(b"HTTP/1.1 200 ")
        assert not (began and raw.endswith(CHUNKS_END)), (case, raw)
        assert not (began and b"content-length" in raw.lower()), (case, raw)


@when("an engine crashes while it answers 500 without length or chunks")
def failure_crashes(context):
    server = crashing(CrashingServer("d0", "llm", "decode", Arrivals(), down_s=9.0))
    server.status = 500

    async def play(place):
        server.store = place.store
        context.raw = await place.generate("/gen/", "g0", body=CRASHING)

    on_platform([server, FakeServer("p0", "llm", "prefill")], play)


@then("the caller gets the failure without a proper end")
def failure_cut(context):
    assert context.raw.startswith(b"HTTP/1.1 500 ") and EVENT in context.raw, context.raw
    assert not context.raw.endswith(CHUNKS_END), context.raw


@when("an engine ends the chunks of a stream inside an event")
def chunks_end(context):
    servers = engines()

    async def play(place):
        for server in servers[:2]:
            server.script = ["half"]
        context.raw = await place.generate("/gen/", "g0")

    on_platform(servers, play)


@then("the caller gets nothing of it, and no success")
def no_end(context):
    assert b"id: 3" not in context.raw and not context.raw.startswith(b"HTTP/1.1 200"), context.raw


@when("endpoints that keep running answer without length or chunks")
def whole_answers(context):
    servers = [*engines(), *web_servers()]

    async def play(place):
        for server in servers:
            server.script = ["unframed"] * 3
        context.stream = await place.generate("/gen/", "g0")
        context.plain = await place.ask("/again/a", "r0")
        context.cleared = []
        place.node._quarantine.record_success = lambda request, proven: context.cleared.append(
            (request.request_id, proven)
        )
        await place.generate("/gen/", "g1")
        await place.ask("/again/a", "r1")

    on_platform(servers, play, HEALTH_CONFIG)


@then("the callers get whole answers, and the answers clear what they hold")
def whole(context):
    assert context.stream.endswith(CHUNKS_END) and b"id: 3" in context.stream, context.stream
    assert context.plain.startswith(b"HTTP/1.1 200 "), context.plain
    assert context.cleared == [("g1", True), ("r1", True)], context.cleared


class SlowChecks:
    """Counts checks of an identity, none of which ends before `may_end` is set.

    `at_end` is called in the last turn of each.
    """

    def __init__(self):
        self.count = 0
        self.may_end = asyncio.Event()
        self.at_end = lambda: None

    async def identify(self, endpoint):
        self.count += 1
        number = self.count
        await self.may_end.wait()
        await asyncio.sleep(0.02)
        self.at_end()
        return Identification(AddressAnswer.SAME_NAME, number)


@when("answers of one endpoint end before, during and at the end of a check of its identity")
def share_checks(context):
    async def main():
        calls, clock = SlowChecks(), itertools.count()
        checks = IdentityChecks(calls, lambda: next(clock))
        endpoint = ServiceEndpoint("e", "web", "127.0.0.1:1", "z")
        first = asyncio.create_task(checks.identify(endpoint))
        assert await wait_until(lambda: calls.count == 1)
        during = [asyncio.create_task(checks.identify(endpoint)) for _ in range(5)]
        await asyncio.sleep(0)
        calls.may_end.set()
        late = []

        def ask_late():
            if not late:
                late.append(asyncio.create_task(checks.identify(endpoint)))

        calls.at_end = ask_late
        async with asyncio.timeout(2):
            replies = await asyncio.gather(first, *during)
            context.replies = [reply.connected_ms for reply in [*replies, await late[0]]]
        context.count = calls.count

    asyncio.run(main())


@then("those that end during it share the next check, and each gets a reply that began later")
def checks_shared(context):
    assert context.count == 2 and context.replies == [1, *[2] * 6], context.replies
