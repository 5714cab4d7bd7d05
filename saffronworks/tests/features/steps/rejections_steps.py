"""Steps on rejections that promise that a request has not run: 408, 421, 429 and 503."""

import random

from behave import then
from hypothesis import given as forall
from hypothesis import settings as limits
from hypothesis import strategies as st

from saffronworks.forwarding import plain_core as plain
from saffronworks.forwarding.connections import ResponseHead
from saffronworks.forwarding.messages import Begin, Refuse
from saffronworks.forwarding.plain_core import promises_not_run
from saffronworks.platform.answer_fields import is_not_executed
from saffronworks.tests.endpoint_fixtures import endpoints, wide_budget
from saffronworks.tests.late_copies import REPEATED, simulate_copies
from saffronworks.tests.rejection_plays import (
    GENERATION_TURNS,
    PLAIN_TURNS,
    play_generation,
    play_plain,
)
from saffronworks.tests.scripted_wires import REPLIES, simulate_requests

# Plays of each kind of request with late copies.
PLAYS = 150


def check_promise(may_repeat, end):
    """Check the promise, by which a caller may repeat an unrepeatable request."""
    if end.may_have_run:
        assert not promises_not_run(end.status), end
        assert not (isinstance(end.command, Refuse) and end.command.not_run), end
    if not may_repeat:
        assert end.may_have_run <= 1, end


def check_plays(play, played):
    @limits(max_examples=400)
    @forall(st.booleans(), played)
    def check(may_repeat, turns):
        check_promise(may_repeat, play(may_repeat, turns))

    check()


@then("a plain request that an endpoint may have run is never told that it has not run")
def plain_promises(context):
    check_plays(play_plain, PLAIN_TURNS)


@then("a generation that an endpoint may have run is never told that it has not run")
def generation_promises(context):
    check_plays(play_generation, GENERATION_TURNS)


@then("a bar's promise is dropped once an endpoint may have run the request")
def barred_behind_run(context):
    state, budget, bar = (
        plain.PlainState("s", True, 3, 300, 3000),
        wide_budget(),
        Refuse(503, "b", True),
    )
    sent = plain.step(state, Begin(), endpoints(3), budget, 10)
    assert isinstance(sent, plain.SendTo), sent
    event = plain.Broken(sent.endpoint.instance, sent=True)
    end = plain.step(state, event, endpoints(3), budget, 20, bar)
    assert end == Refuse(502, "b", not_run=False), end


@then("an answer whose not-executed field is false promises nothing")
def denied(context):
    for values in (["0"], ["false"], [" No "], ["1", "0"]):
        raw = ResponseHead(503, [("Not-Executed", value) for value in values])
        assert not is_not_executed(raw), values
    assert is_not_executed(ResponseHead(503, [("Not-Executed", "1")]))
    assert is_not_executed(ResponseHead(421, []))


def check_path(streams):
    @limits(max_examples=150)
    @forall(
        st.lists(st.sampled_from(REPLIES), min_size=2, max_size=8),
        st.lists(st.booleans(), max_size=3),
        st.lists(st.booleans(), max_size=3),
        st.integers(1, 2),
    )
    def check(words, held, prefills, count):
        drawn = words, held, prefills, count
        for status, may_have_run in simulate_requests(streams, *drawn, requests=3):
            assert may_have_run <= 1, drawn
            assert not (may_have_run and promises_not_run(status)), (status, drawn)

    check()


@then("whatever bytes endpoints send, a plain request they may have run gets no promise")
def plain_path(context):
    check_path(streams=False)


@then("a late copy of a refusal is not taken for the answer to the next run of its request")
def refused_twice(context):
    """Guards against a generation that is refused, or run again, while an endpoint runs it."""
    results = simulate_requests(True, ["shed-repeated", "ok"], [], [True], count=1, requests=1)
    ((status, may_have_run),) = results
    assert may_have_run == 1 and not promises_not_run(status), results


@then("whatever bytes endpoints send, a generation they may have run gets no promise")
def generation_path(context):
    check_path(streams=True)


def check_copies(streams):
    """Play drawn series of replies and copies; by seeds, as each play takes real time."""
    for seed in range(PLAYS):
        rng = random.Random(seed)
        words = [rng.choice(REPEATED) for _ in range(10)]
        held, prefills = ([rng.random() < 0.9 for _ in range(6)] for _ in range(2))
        copies = [rng.choice((None, rng.randint(0, 8))) for _ in range(24)]
        latencies = [rng.randint(0, 6) for _ in range(24)]
        count = rng.randint(1, 2)
        plays = simulate_copies(streams, words, held, prefills, count, copies, latencies)
        for request_id, caller, may_have_run in plays:
            found = seed, request_id, caller.status, caller.body
            assert may_have_run <= 1, found
            assert not (may_have_run and promises_not_run(caller.status)), found
            own = request_id.encode() in caller.body and caller.whole
            assert own or caller.status != 200 or caller.closed, found


@then("with late copies of any answers, plain requests run once and get their own answers")
def plain_copies(context):
    check_copies(streams=False)


@then("with late copies of any answers, generations run once and get their own answers")
def generation_copies(context):
    check_copies(streams=True)
