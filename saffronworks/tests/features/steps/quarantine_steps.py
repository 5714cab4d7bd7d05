"""Scenarios on a content that ends the endpoints that run it."""

import time

import anyio
from behave import then, when

from saffronworks.tests.mortal_servers import DEADLY, Arrivals, MortalServer
from saffronworks.tests.platform_fakes import FakeServer
from saffronworks.tests.platform_place import on_platform

# Within which all nodes have to know what a content did (`contact_ms`).
CONTACT_S = 3.0
ASKED_FOR_S = CONTACT_S + 3.0
PAUSE_S = 0.15
# A caller who is refused gets its answer within this.
AT_ONCE_S = 0.3


def engines_that_end(arrivals, count=4):
    decoders = [MortalServer(f"d{index}", "llm", "decode", arrivals) for index in range(count)]
    return [*decoders, FakeServer("p0", "llm", "prefill")]


def join_store(servers, store):
    for server in servers:
        server.store = store


@when("a content that ends each engine which runs it is asked for at two nodes in turn")
def asked_again(context):
    context.arrivals = arrivals = Arrivals()
    servers = engines_that_end(arrivals)
    context.late = []

    async def play(place):
        join_store(servers, place.store)
        number = 0
        while len(arrivals.ends_s) < 3 or time.monotonic() < arrivals.ends_s[2] + ASKED_FOR_S:
            number += 1
            node, asked_s = place.nodes[number % 2], time.monotonic()
            raw = await place.generate("/res/", f"g{number}", body=DEADLY, node=node)
            if len(arrivals.ends_s) > 2 and asked_s > arrivals.ends_s[2] + CONTACT_S:
                context.late.append((time.monotonic() - asked_s, raw))
            await anyio.sleep(PAUSE_S)

    on_platform(servers, play, count=2)


@then("from three seconds after the third end on it reaches engines three times at most")
def bounded(context):
    sends = context.arrivals.sends_after_third_end(CONTACT_S)
    assert sends <= 3, f"{sends} sends, {len(context.arrivals.ends_s)} ends"


@then("each of its callers was told so at once")
def told_at_once(context):
    assert len(context.late) > 5, context.late
    for took_s, raw in context.late[3:]:
        assert took_s < AT_ONCE_S, took_s
        assert raw.startswith(b"HTTP/1.1 500 ") and b"retry-after" not in raw.lower(), raw
        assert b"ends-endpoints" in raw, raw
