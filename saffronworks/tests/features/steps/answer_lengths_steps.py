"""Scenarios on the lengths of answers relative to their hints."""

import random

from behave import then
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.tuning import (
    LENGTH_SAMPLES,
)


@then("an answer that has reached its hint is expected to grow by about another half")
def grows_by_half(context):
    rng, lengths = random.Random(5), AnswerLengths()
    assert 400 < lengths.more_tokens(1000, 1000, 10_000) < 600
    for _ in range(LENGTH_SAMPLES):
        lengths.learn(1000, int(1000 * rng.lognormvariate(0, 0.5)))
    assert 400 < lengths.more_tokens(1000, 1000, 10_000) < 700
    assert 1000 < lengths.more_tokens(0, 1000, 10_000) < 1300


@then("after many answers of the hinted length, an answer is expected to end at its hint")
def ends_at_hint(context):
    lengths = AnswerLengths()
    for _ in range(LENGTH_SAMPLES):
        lengths.learn(1000, 1000)
    assert abs(lengths.more_tokens(900, 1000, 10_000) - 100) < 1
    assert abs(lengths.more_tokens(0, 1000, 10_000) - 1000) < 1


@then("the expected length is the mean of the longer answers")
def mean_of_longer(context):
    @forall(
        st.lists(st.integers(1, 9000), min_size=LENGTH_SAMPLES, max_size=LENGTH_SAMPLES + 40),
        st.integers(0, 9000),
    )
    def check(answers, made):
        lengths = AnswerLengths()
        for tokens in answers:
            lengths.learn(1000, tokens)
        longer = [tokens for tokens in answers[-LENGTH_SAMPLES:] if tokens > made]
        if longer:
            expected = min(sum(longer) / len(longer) - made, 9500 - made)
            assert abs(lengths.more_tokens(made, 1000, 9500) - expected) < 0.01

    check()


@then("the expected length never exceeds the maximum of the answer")
def within_maximum(context):
    @forall(
        st.lists(st.tuples(st.integers(0, 5000), st.integers(0, 9000)), max_size=300),
        st.integers(0, 9000),
        st.integers(0, 5000),
    )
    def check(answers, made, likely):
        lengths = AnswerLengths()
        for answer in answers:
            lengths.learn(*answer)
        assert 0 <= lengths.more_tokens(made, likely, 9000) <= 9000 - made

    check()
