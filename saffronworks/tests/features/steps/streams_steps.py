"""Scenarios on streams whose first endpoint broke off."""

import re
from itertools import product

from behave import then, when

from saffronworks.forwarding.event_streams import EventSequence
from saffronworks.forwarding.messages import Refuse
from saffronworks.tests.endpoint_plays import REPLY_KINDS
from saffronworks.tests.generation_plays import play_generation
from saffronworks.tests.platform_place import engines, on_platform


def play_resumable(context, *faults, events=3):
    """Each run of a resumable generation meets the next of the faults, wherever it goes."""
    servers = engines()
    for server in servers:
        server.events = events

    async def play(place):
        servers[0].script = servers[1].script = list(faults)
        context.raw = await place.generate("/res/", "g1")

    on_platform(servers, play)
    context.runs = sum(len(server.ran) for server in servers)


@when("one endpoint breaks a resumable stream off and the next one fails its run")
def broke_then_failed(context):
    play_resumable(context, "break-2", "error")


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
    play_resumable(context, "break-1", "error")


@then("the caller gets the failure as its endpoint gave it")
def only_failure(context):
    assert context.runs == 2, context.runs
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 500") and body == b"failed", context.raw


def event_ids(raw):
    return [int(number) for number in re.findall(rb"\nid: (\d+)\n", raw)]


@when("a resumable stream breaks after event {last:d} and the next run is at fault by {fault}")
def next_run_at_fault(context, last, fault):
    play_resumable(context, f"break-{last + 1}", fault, events=5)


@then("the caller has the events up to {last:d}, each once, and no good end")
def events_up_to(context, last):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == list(range(1, last + 1)), context.raw
    assert not context.raw.endswith(b"0\r\n\r\n"), context.raw


@when("a resumable stream breaks after its last event and the next run has none left")
def none_left(context):
    play_resumable(context, "break-4")


@then("the caller gets each event once, with a good end")
def whole(context):
    assert context.runs == 2, context.runs
    assert event_ids(context.raw) == [1, 2, 3], context.raw
    assert context.raw.endswith(b"0\r\n\r\n"), context.raw


@then("of all ways to go on, only the next id follows ids that count, and any higher one others")
def sequences(context):
    def following(*sent):
        sequence = EventSequence()
        sequence.note(sent)
        return [first for first in range(12) if sequence.continues((first,))]

    assert following(1, 2, 3) == [4] and following(7, 8) == [9]
    assert following(2, 4) == [5, 6, 7, 8, 9, 10, 11] and following(1, 2, 9) == [10, 11]
    assert following(9) == [10, 11], "one id alone doesn't tell that they count"
    assert following() == [], "what went out is not known"
    sequence = EventSequence()
    sequence.note((1, 2))
    assert not sequence.continues(()), "a run whose events have no id may be any run"
