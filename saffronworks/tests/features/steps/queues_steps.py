"""Steps for the wait queue, the prefix cache view and the length histogram of a cell."""

import attrs
from behave import given, then
from cells_steps import MARGIN_MS, MODEL, make_ask
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.bundles import Endpoint, Role
from saffronworks.owner.ledgers import CacheEvents, EndpointLedger
from saffronworks.owner.predictors import BUCKET_EDGES, PRIOR_COUNT, LengthHistogram
from saffronworks.owner.queues import Waiting, WaitQueue
from saffronworks.standins.standin_models import PrefixCache


def waiting_item(name, organisation="o", priority=1, arrived_ms=0):
    ask = attrs.evolve(make_ask(name, organisation=organisation), priority=priority)
    return Waiting(ask, MODEL, arrived_ms, 50.0)


@given("any queue of waiting requests")
def any_queue(context):
    def naive(queue, now_ms):
        best = None
        for item in queue.items.values():
            late = item.arrived_ms + MODEL.ttft_ms - now_ms - 50.0 < MARGIN_MS
            key = (-item.ask.priority, late, item.arrived_ms)
            if best is None or key < best[0]:
                best = (key, item)
        return best[1]

    rows = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3000)), min_size=1, max_size=20)

    @forall(rows, st.integers(0, 4000))
    def run(items, now_ms):
        queue = WaitQueue()
        for index, (priority, arrived_ms) in enumerate(items):
            item = waiting_item(f"r{index}", priority=priority, arrived_ms=arrived_ms)
            queue.items[f"r{index}"] = item
        assert queue.select(now_ms) == naive(queue, now_ms)

    context.property = run


@then("the request that is served next is the one a naive search finds")
def agrees(context):
    context.property()


def serve_all(queue, turns, now_ms=100, refill=None):
    served = []
    for turn in range(turns):
        if refill:
            item = refill(turn, now_ms)
            queue.items[item.ask.key.request_id] = item
        item = queue.select(now_ms)
        if item is None:
            break
        queue.take(item, 1.0, now_ms)
        served.append(item.ask.key.request_id)
        now_ms += 10
    return served


@given("a queue with a burst of one organisation before one request of another")
def burst(context):
    context.queue = WaitQueue()
    for index in range(20):
        context.queue.items[f"b{index}"] = waiting_item(f"b{index}", "burst", arrived_ms=index)
    context.queue.items["quiet"] = waiting_item("quiet", "quiet", arrived_ms=90)


@then("the other organisation is served within the first three")
def served_soon(context):
    assert "quiet" in serve_all(context.queue, 20)[:3]


@given("a queue with one late request and a steady stream of others")
def one_late(context):
    context.queue = WaitQueue()
    context.queue.items["late"] = waiting_item("late", arrived_ms=-5000)


@then("the late request is served neither first nor never")
def not_starved(context):
    def refill(turn, now_ms):
        return waiting_item(f"n{turn}", arrived_ms=now_ms)

    served = serve_all(context.queue, 40, refill=refill)
    assert served[0] != "late"
    assert "late" in served


@given("any uses of prefixes in a small cache and polls of its events")
def any_prefixes(context):
    context.uses = st.lists(st.one_of(st.integers(0, 200), st.just("poll")), max_size=200)


@then("after each poll the owner expects no prefix that the endpoint has evicted")
def believes_right(context):
    polls = []

    @forall(context.uses)
    def run(uses):
        cache = PrefixCache(most_tokens=300)
        ledger = EndpointLedger(Endpoint("p1", "127.0.0.1:1", "z", Role.PREFILL))
        for use in [*uses, "poll"]:
            if use != "poll":
                ledger.prefixes.note(f"k{use}", cache.use(f"k{use}", 100))
                continue
            position, evicted, gap = cache.events(ledger.events_position)
            ledger.apply_events(CacheEvents(position, tuple(evicted), gap))
            assert set(ledger.prefixes.tokens) <= set(cache.sizes)
            polls.append(len(cache.sizes))

    run()
    assert max(polls) == 3


@given("any lengths of finished answers")
def any_lengths(context):
    context.lengths = st.lists(st.integers(1, 900), min_size=1, max_size=60)


@then("the estimated share of longer answers matches a naive count and never grows with the length")
def lengths_agree(context):
    @forall(context.lengths)
    def run(lengths):
        table = LengthHistogram()
        for tokens in lengths:
            table.add(tokens)
        last = 1.0
        for tokens in range(0, 1000, 37):
            share = table.survival(tokens, 1000)
            assert 0.0 <= share <= last + 1e-9
            last = share
        weight = len(lengths) + PRIOR_COUNT
        for edge in BUCKET_EDGES[:16]:
            naive = sum(1 for tokens in lengths if tokens > edge)
            prior = PRIOR_COUNT * max(0.0, 1 - edge / 1000)
            assert abs(table.survival(edge, 1000) - (naive + prior) / weight) < 1e-9

    run()
