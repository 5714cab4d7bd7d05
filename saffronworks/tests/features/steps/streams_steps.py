"""Scenarios on streams whose first endpoint broke off."""

from itertools import product

from behave import then, when

from saffronworks.forwarding.messages import Refuse
from saffronworks.tests.endpoint_plays import REPLY_KINDS
from saffronworks.tests.generation_plays import play_generation
from saffronworks.tests.platform_place import engines, on_platform


def play_resumable(context, *faults):
    """Each run of a resumable generation meets the next of the faults, wherever it goes."""
    servers = engines()

    async def play(place):
        servers[0].script = servers[1].script = list(faults)
        context.raw = await place.generate("/res/", "g1")

    on_platform(servers, play)
    context.runs = sum(len(server.ran) for server in servers)


@when("one endpoint breaks a resumable stream off and the next one fails its run")
def broke_then_failed(context):
    play_resumable(context, "break", "error")


@then("the caller has the events that were whole, nothing of the failure, and no good end")
def short_and_cut(context):
    assert context.runs == 2, context.runs
    assert b"id: 1\n" in context.raw, context.raw
    assert b"failed" not in context.raw, context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("whatever endpoints answer, nothing but events of the stream follows its first one")
def only_events(context):
    """All cases, since draws of a property missed the one that broke the promise."""
    replies, breaks = product(REPLY_KINDS, repeat=3), product([False, True], repeat=2)
    for may_repeat, answers, broken in product([False, True], replies, breaks):
        played = play_generation(may_repeat, answers, broken)
        first, *later = played.relayed or [None]
        assert all(head.success for head in later), (answers, broken, played)
        if first is not None:
            assert not isinstance(played.end, Refuse), (answers, broken, played)


@when("one endpoint breaks off inside the first event and the next one fails its run")
def broke_at_once(context):
    play_resumable(context, "break-first", "error")


@then("the caller gets the failure as its endpoint gave it")
def only_failure(context):
    assert context.runs == 2, context.runs
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500") and body == b"failed", context.raw
