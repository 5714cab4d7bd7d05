"""Scenarios on the choice of the node that plans."""

from behave import given, then

from saffronworks.forwarding.choices import NodeChoice
from saffronworks.forwarding.tuning import (
    NODE_AVOID_MAX_MS,
    NODE_AVOID_MS,
)

CORES = {"strong-1": 2.1, "strong-2": 2.0, "strong-3": 2.1} | {f"weak-{n}": 0.5 for n in range(20)}


@given("a census of strong and weak nodes")
def census(context):
    context.choice = NodeChoice(dict(CORES))
    context.first = context.choice.choose("s", 0)
    context.second = context.choice.listeners("s", 0)[1]


@then("every node chooses the same strong one, and two of them hear the reports")
def same(context):
    other = NodeChoice(dict(reversed(CORES.items())))
    assert context.first.startswith("strong") and other.choose("s", 0) == context.first
    assert other.listeners("s", 0) == [context.first, context.second]
    assert context.second.startswith("strong") and context.second != context.first


@then("when it is silent the other one that heard is chosen, and both go on hearing")
def second(context):
    assert context.choice.avoid(context.first, 0) == NODE_AVOID_MS
    assert context.choice.choose("s", 1) == context.second
    assert context.choice.listeners("s", 1) == [context.first, context.second]
    assert context.choice.choose("s", NODE_AVOID_MS) == context.first


@then("one that stays silent is asked ever less often, until it answers")
def less_often(context):
    choice, now_ms = context.choice, NODE_AVOID_MS
    spans = []
    for _ in range(5):
        spans.append(choice.avoid(context.first, now_ms))
        now_ms += spans[-1]
    assert spans == sorted(spans) and spans[0] == 2 * NODE_AVOID_MS
    assert spans[-1] == NODE_AVOID_MAX_MS
    choice.hear(context.first)
    assert choice.avoid(context.first, now_ms) == NODE_AVOID_MS


@then("a weak one is chosen when no strong one is left")
def weak(context):
    choice = NodeChoice(dict(CORES))
    for name in CORES:
        if name.startswith("strong"):
            choice.avoid(name, 0)
    chosen = choice.choose("s", 1)
    assert chosen.startswith("weak") and choice.listeners("s", 1)[-1] == chosen
    assert NodeChoice().choose("s", 0) is None and NodeChoice().listeners("s", 0) == []
