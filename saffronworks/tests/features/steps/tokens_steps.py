"""Scenarios on the tokens of an answer that several runs give."""

import functools
import json
from collections import deque

import attrs
import msgspec
from behave import then, when

from saffronworks import request_events as ev
from saffronworks import requests as core
from saffronworks.engines import DecodeLine
from saffronworks.request_events import Phase
from saffronworks.requests import Request
from saffronworks.tests.request_path import CANCELLED, RequestPath, ask, done, line

LENGTH = 2
NO_LENGTH = msgspec.json.decode(b'{"done":true}', type=DecodeLine)
ATTEMPTS = (1, 2)
NOW_MS = 10


def tokens_of(attempt, offset, count):
    """Tokens that name their run and their place."""
    return tuple((attempt, offset + index) for index in range(count))


def inputs():
    for attempt in ATTEMPTS:
        for offset in range(LENGTH + 1):
            for count in range(LENGTH + 1):
                yield ev.TokensArrived(attempt, offset, tokens_of(attempt, offset, count))
        for total in range(LENGTH + 2):
            yield ev.DecodeEnded(attempt, total)
        for alive in (False, True):
            yield ev.DecodeBroken(attempt, alive, "cut")
        for known in (False, True):
            yield ev.PrefillFailed(attempt, known, "cut")
            yield ev.DecodeRefused(attempt, known, "full")
        yield ev.GrantReceived(attempt, "p")
        yield ev.PrefillEnded(attempt, f"kv{attempt}", 10, 0, 800)
        yield ev.AssignReceived(attempt, "d", 900)
        yield ev.AssignWithdrawn(attempt)
        yield ev.DecodeStarted(attempt, 5)
        yield ev.RefusalReceived(attempt, "overload", 700)
    yield from (ev.Started(), ev.LeaseLost(), ev.OwnerChanged(), ev.Tick(), ev.CallerGone())


INPUTS = tuple(inputs())


@attrs.frozen
class Ended:
    """How an order ended: what the caller has, the last event, and what it is told."""

    delivered: tuple
    event: object
    outcome: object


def _deciding(request):
    """The request without what only counts, so that equal states are walked once."""
    quiet = attrs.evolve(request, prefills=0, wasted_prefills=0, asks=0, failed_endpoints=())
    return attrs.astuple(quiet, recurse=False)


@functools.cache
def walk():
    """All deliveries and all ends that any order of the inputs leads to."""
    first = Request("r", 100, LENGTH, 0, 4000, 400)
    core.step(first, ev.Started(), NOW_MS)
    seen, ends, waiting = set(), set(), deque([(first, ())])
    while waiting:
        request, delivered = waiting.popleft()
        for event in INPUTS:
            after = attrs.evolve(request)
            commands = core.step(after, event, NOW_MS)
            fresh = [t for c in commands if isinstance(c, ev.Deliver) for t in c.tokens]
            had = (*delivered, *fresh)
            if after.phase is Phase.FINISHED:
                ends.add(Ended(had, event, after.outcome))
                continue
            state = (_deciding(after), had)
            if after.attempt in ATTEMPTS and state not in seen:
                seen.add(state)
                waiting.append((after, had))
    assert len(seen) > 100, len(seen)
    return frozenset(had for _, had in seen), frozenset(ends)


@when("a request meets every order of tokens, ends, breaks and new attempts")
def every_order(context):
    context.delivered, context.ends = walk()


@then(
    "each token reaches the caller once, in order, and none of an older run follows a newer one's"
)
def spliced(context):
    assert max(map(len, context.delivered)) > LENGTH - 1
    for had in context.delivered | {end.delivered for end in context.ends}:
        assert [place for _, place in had] == list(range(len(had))), had
        assert [run for run, _ in had] == sorted(run for run, _ in had), had


@then("it is completed only when an end tells as many tokens as the caller has")
def whole(context):
    completed = [end for end in context.ends if isinstance(end.outcome, ev.Completed)]
    assert completed
    for end in completed:
        assert isinstance(end.event, ev.DecodeEnded), end
        assert end.event.total == len(end.delivered), end


@then("no request is told not run after its first token")
def begun(context):
    assert any(isinstance(end.outcome, ev.NotRun) for end in context.ends)
    for end in context.ends:
        assert not (end.delivered and isinstance(end.outcome, ev.NotRun)), end


@when("the engine dies after {count:d} tokens, past the deadline")
def dies_late(context, count):
    late_ms = context.request.deadline_ms + 1
    tokens = tuple(f"t{index}" for index in range(count))
    core.step(context.request, ev.TokensArrived(1, 0, tokens), NOW_MS)
    broken = ev.DecodeBroken(1, engine_alive=False, failure="connect")
    context.commands = core.step(context.request, broken, late_ms)


@then("without an answer of an owner it is told unknown after as long as a newcomer waits")
def bounded(context):
    request = context.request
    broke_ms, waits_ms = request.deadline_ms + 1, request.deadline_ms - request.arrived_ms
    core.step(request, ev.Tick(), broke_ms + waits_ms - 1)
    assert request.outcome is None, request
    assert core.due_ms(request) <= broke_ms + waits_ms
    core.step(request, ev.Tick(), broke_ms + waits_ms)
    assert isinstance(request.outcome, ev.Unknown), request


@when("an engine sends its tokens and an end that tells no length")
def no_length(context):
    context.caller = ask(RequestPath([line("a", "b"), NO_LENGTH], [line("c", offset=2), done(3)]))


@when("an engine sends no token and an end that tells no length")
def nothing_at_all(context):
    context.caller = ask(RequestPath([NO_LENGTH], [line("a", "b", "c"), done(3)]))


@then("the answer goes on at the next engine")
def goes_on(context):
    events = context.caller.body.decode().split("\n\n")[:-2]
    texts = [json.loads(e.removeprefix("data: "))["choices"][0]["text"] for e in events]
    assert "".join(texts) == "abc" and context.caller.whole, context.caller.body


@when("a first engine dies after {count:d} tokens and a second one goes on")
def second_prefill(context, count):
    texts = tuple(f"text-{index}" for index in range(count))
    context.texts = texts
    context.path = RequestPath(
        [line(*texts), CANCELLED], [line("x", offset=count), done(count + 1)]
    )
    context.caller = ask(context.path)


@then("the second prefill is given these tokens after the prompt")
def given_tokens(context):
    assert context.path.ends.counts == {"completed": 1}, context.path.ends.counts
    first, second = (msgspec.to_builtins(call) for call in context.path.engines.prefills)
    assert not set(context.texts) & set(_leaves(first)), first
    assert set(context.texts) <= set(_leaves(second)), second


def _leaves(call):
    for value in call.values():
        yield from value if isinstance(value, list | tuple) else [value]
