"""Steps on the choice of the planner node."""

from behave import given, then

from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.tuning import (
    NODE_AVOID_MAX_MS,
    NODE_AVOID_MS,
)

CORES = {"strong-1": 2.1, "strong-2": 2.0, "strong-3": 2.1} | {f"weak-{n}": 0.5 for n in range(20)}


@given("a census of strong and weak nodes")
def census(context):
    context.choice = NodeChoice(dict(CORES))
    context.first = context.choice.choose("s", 0)
    context.second = context.choice.report_receivers("s", 0)[1]


@then("every node chooses the same strong node, and two nodes receive the reports")
def check_same_choice(context):
    other = NodeChoice(dict(reversed(CORES.items())))
    assert context.first.startswith("strong") and other.choose("s", 0) == context.first
    assert other.report_receivers("s", 0) == [context.first, context.second]
    assert context.second.startswith("strong") and context.second != context.first


@then("if the chosen node does not answer, the other receiver is chosen, and both get reports")
def check_second_receiver(context):
    assert context.choice.avoid(context.first, 0) == NODE_AVOID_MS
    assert context.choice.choose("s", 1) == context.second
    assert context.choice.report_receivers("s", 1) == [context.first, context.second]
    assert context.choice.choose("s", NODE_AVOID_MS) == context.first


@then("a node that does not answer is asked less and less often, until it answers")
def check_less_often(context):
    choice, now_ms = context.choice, NODE_AVOID_MS
    spans = []
    for _ in range(5):
        spans.append(choice.avoid(context.first, now_ms))
        now_ms += spans[-1]
    assert spans == sorted(spans) and spans[0] == 2 * NODE_AVOID_MS
    assert spans[-1] == NODE_AVOID_MAX_MS
    choice.record_answer(context.first, 0)
    assert choice.avoid(context.first, now_ms) == NODE_AVOID_MS


@then("a weak node is chosen when no strong one is left")
def check_weak_node(context):
    choice = NodeChoice(dict(CORES))
    for name in CORES:
        if name.startswith("strong"):
            choice.avoid(name, 0)
    chosen = choice.choose("s", 1)
    assert chosen.startswith("weak") and choice.report_receivers("s", 1)[-1] == chosen
    assert NodeChoice().choose("s", 0) is None and NodeChoice().report_receivers("s", 0) == []
