"""Steps on a content that crashes endpoints, on the whole path over loopback."""

import time
from unittest.mock import AsyncMock, Mock

import anyio
from behave import then, when
from result import Ok

from saffronworks.forwarding.ports import Listing, StoredObject
from saffronworks.forwarding.quarantine.records import QUARANTINE_KIND, QuarantineRecords
from saffronworks.forwarding.quarantine.tuning import (
    TRIAL_AFTER_MS,
)
from saffronworks.tests.crashing_servers import CRASHING, Arrivals, CrashingServer
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import engines, on_platform
from saffronworks.tests.revisions import at

# Time within which all nodes must quarantine the content (`contact_ms`).
CONTACT_S = 3.0
ASKED_FOR_S = CONTACT_S + 3.0
PAUSE_S = 0.15
MAX_ATTEMPTS = 20
# A refused caller gets its answer within this.
MAX_REFUSAL_S = 0.3


def crashing_engines(arrivals, count=4):
    decoders = [CrashingServer(f"d{index}", "llm", "decode", arrivals) for index in range(count)]
    return [*decoders, FakeServer("p0", "llm", "prefill")]


def join_store(servers, store):
    for server in servers:
        server.store = store


@when("a content that crashes each engine which runs it is sent to two nodes in turn")
def asked_again(context):
    context.arrivals = arrivals = Arrivals()
    servers = crashing_engines(arrivals)
    context.late = []

    async def play(place):
        join_store(servers, place.store)
        number = 0
        while len(arrivals.ends_s) < 3 or time.monotonic() < arrivals.ends_s[2] + ASKED_FOR_S:
            number += 1
            node, asked_s = place.nodes[number % 2], time.monotonic()
            raw = await place.generate("/res/", f"g{number}", body=CRASHING, node=node)
            if len(arrivals.ends_s) > 2 and asked_s > arrivals.ends_s[2] + CONTACT_S:
                context.late.append((time.monotonic() - asked_s, raw))
            await anyio.sleep(PAUSE_S)
        context.others = [
            await place.generate("/res/", f"other-{number}", node=node)
            for number, node in enumerate(place.nodes)
        ]

    on_platform(servers, play, count=2)


@then("it reaches engines at most three times from three seconds after the third crash on")
def bounded(context):
    sends = context.arrivals.sends_after_end(3, CONTACT_S)
    assert sends <= 3, f"{sends} sends, {len(context.arrivals.ends_s)} ends"


@then("each of its callers gets an error at once")
def told_at_once(context):
    assert len(context.late) > 5, context.late
    for took_s, raw in context.late[3:]:
        assert took_s < MAX_REFUSAL_S, took_s
        assert raw.startswith(b"HTTP/1.1 500 ") and b"retry-after" not in raw.lower(), raw
        assert b"ends-endpoints" in raw, raw


@then("other requests are served again")
def others_served(context):
    for raw in context.others:
        assert raw.startswith(b"HTTP/1.1 200 ") and raw.endswith(b"0\r\n\r\n"), raw


@when("a plain request crashes each endpoint that runs it, at one node")
def plain_ends(context):
    context.arrivals = arrivals = Arrivals()
    servers = [CrashingServer(f"w{index}", "web", None, arrivals) for index in range(4)]

    async def play(place):
        join_store(servers, place.store)
        for number in range(4):
            await place.ask("/again/a", f"r{number}", body=CRASHING)
            await anyio.sleep(0.5)
        context.before = len(arrivals.sends_s)
        context.refused = [
            await place.ask("/again/a", f"late-{number}", body=CRASHING) for number in range(5)
        ]
        context.served = await place.ask("/again/a", "other", body=b"harmless")

    on_platform(servers, play)


@then("later attempts reach no endpoint, and other requests of the route are served")
def plain_refused(context):
    assert len(context.arrivals.sends_s) == context.before, context.arrivals
    assert len(context.arrivals.ends_s) in (3, 4), context.arrivals
    assert all(raw.startswith(b"HTTP/1.1 500 ") for raw in context.refused), context.refused
    assert context.served.startswith(b"HTTP/1.1 200 "), context.served


@when("a relayed stream crashes four endpoints after its first event")
def ends_begun(context):
    context.max_crashes = 3
    context.arrivals = arrivals = Arrivals()
    servers = crashing_engines(arrivals)
    for server in servers[:-1]:
        server.head_first = True

    async def play(place):
        join_store(servers, place.store)
        # Without a prompt size a request reserves no memory and is relayed as a plain one.
        for number in range(9):
            raw = await place.ask("/gen/", f"r{number}", body=CRASHING)
            await anyio.sleep(0.4)
        context.raw = raw

    on_platform(servers, play)


@when("a prompt crashes each of four engines that prefill it")
def crashes_reading(context):
    # The next engine may start the prefill before the crash of the one before is detected.
    context.max_crashes = 4
    context.arrivals = arrivals = Arrivals()
    readers = [CrashingServer(f"p{index}", "llm", "prefill", arrivals) for index in range(4)]
    for reader in readers:
        reader.crashes_on_prefill = True
    # Decode engines would run the prefill when prefill engines fail; these reject all requests.
    decoders = [FakeServer(f"d{index}", "llm", "decode") for index in range(2)]
    for decoder in decoders:
        decoder.script = ["shed"] * 100

    async def play(place):
        join_store(readers, place.store)
        for number in range(6):
            raw = await place.generate("/res/", f"r{number}", body=CRASHING)
            await anyio.sleep(0.4)
        context.raw = raw

    on_platform([*decoders, *readers], play)


@then("no further endpoint crashes")
def no_further_end(context):
    assert 3 <= len(context.arrivals.ends_s) <= context.max_crashes, context.arrivals
    assert context.raw.startswith(b"HTTP/1.1 500 "), context.raw


@when("one content gets five broken answers from endpoints that keep running")
def broken_answers(context):
    servers = engines()

    async def play(place):
        for server in servers[:2]:
            server.script = ["break-2"] * 5
        for number in range(5):
            await place.generate("/gen/", f"g{number}")
            # Failed endpoints are avoided for a moment; wait until the next request can be sent.
            await anyio.sleep(0.3)
        context.runs = sum(len(server.ran) for server in servers)
        for server in servers[:2]:
            server.script = []
        context.raw = await place.generate("/gen/", "last")

    on_platform(servers, play)


@then("it is sent to endpoints as before")
def sent_on(context):
    assert context.runs == 5, context.runs
    assert context.raw.startswith(b"HTTP/1.1 200 "), context.raw


@when("a content is quarantined, and then all nodes restart")
def all_start_again(context):
    context.arrivals = arrivals = Arrivals()
    servers = crashing_engines(arrivals)

    async def first_life(place):
        join_store(servers, place.store)
        for number in range(MAX_ATTEMPTS):
            await place.generate("/res/", f"g{number}", body=CRASHING)
            await anyio.sleep(PAUSE_S)
            if any(kind == QUARANTINE_KIND for kind, _ in place.store.objects):
                break
        context.records = {
            name: spec
            for (kind, name), (_, spec) in place.store.objects.items()
            if kind == QUARANTINE_KIND
        }

    on_platform(servers, first_life)
    context.before = len(arrivals.sends_s)
    servers = crashing_engines(arrivals)

    async def second_life(place):
        join_store(servers, place.store)
        for name, spec in context.records.items():
            place.store.put(QUARANTINE_KIND, name, spec)
        # A node reads the records again a few seconds after its start.
        await anyio.sleep(4.5)
        context.raw = [
            await place.generate("/res/", f"h{number}", body=CRASHING, node=node)
            for number, node in enumerate(place.nodes)
        ]

    on_platform(servers, second_life, count=2)


@then("no node sends it to an endpoint")
def none_sends(context):
    assert len(context.records) == 1, context.records
    assert len(context.arrivals.sends_s) == context.before, context.arrivals
    assert all(raw.startswith(b"HTTP/1.1 500 ") for raw in context.raw), context.raw


@then("an unreadable record is ignored and quarantines nothing")
def odd_records(context):
    odd = (b"", b"\xff", b"[]", b"null", b'{"ended": 3}', b'{"ended": [1]}', b"{}", None)
    objects = tuple(StoredObject(f"c{number}", at(1), data) for number, data in enumerate(odd))
    good = StoredObject("good", at(1), b'{"ended": ["e2@5", "e1@4", "e3"], "new": 1}')
    store = Mock(list_objects=AsyncMock(return_value=Ok(Listing((*objects, good), at(1)))))
    read = anyio.run(QuarantineRecords(store).list_all)
    assert [(found.content, found.ended) for found in read] == [("good", ("e1@4", "e2@5", "e3"))]


def try_quarantined(path, servers, fixed):
    """Quarantine a content, let its trial become due, and return the answers and crashes then."""
    arrivals = servers[0].arrivals
    seen = {}

    async def play(place):
        join_store(servers, place.store)

        async def ask(request_id):
            counts = {"Token-Counts": "5000,9000", "Length-Hint": "3000"}
            raw = await place.ask(path, request_id, counts, CRASHING)
            # Long enough to detect a crash.
            await anyio.sleep(0.5)
            return raw

        for number in range(4):
            await ask(f"r{number}")
        # By now the endpoints have restarted, and stale connections to them are closed.
        await anyio.sleep(1)
        before = len(arrivals.ends_s)
        for server in servers:
            server.fixed = fixed
        (entry,) = place.node._quarantine._state.table._entries.values()
        entry.changed_ms -= TRIAL_AFTER_MS
        seen["raw"] = [await ask(f"t{number}") for number in range(3)]
        seen["ends"] = len(arrivals.ends_s) - before

    on_platform(servers, play)
    return seen


def trials(fixed):
    plains, engines_ = Arrivals(), Arrivals()
    webs = [CrashingServer(f"w{index}", "web", None, plains) for index in range(4)]
    return [
        try_quarantined("/res/", crashing_engines(engines_), fixed),
        try_quarantined("/again/a", webs, fixed),
    ]


@then("a generation and a plain request are tried at one endpoint, and refused after it crashes")
def tried_in_vain(context):
    for seen in trials(fixed=False):
        first, *later = seen["raw"]
        assert seen["ends"] == 1, seen
        assert first.startswith(b"HTTP/1.1 502 "), seen
        assert all(b"ends-endpoints" in raw for raw in later), seen


@then("both are served once their endpoints are fixed")
def tried_well(context):
    for seen in trials(fixed=True):
        assert seen["ends"] == 0, seen
        assert all(raw.startswith(b"HTTP/1.1 200 ") for raw in seen["raw"]), seen
