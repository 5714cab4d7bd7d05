"""Scenarios on the circuit before the store: the decision on virtual time, the guard on a loop."""

import random

import anyio
from behave import given, then, when
from result import Err, Ok

from saffronworks.forwarding.ports import Listing, SourceFailure
from saffronworks.forwarding.store_circuit import GuardedSource, StoreCircuit
from saffronworks.forwarding.tuning import (
    PEER_FED_PROBE_INTERVAL_MS,
    PROBE_INTERVAL_MS,
)
from saffronworks.tests.revisions import at

CALLERS, AGAIN_MS = 5, 500
AWAY_MS, UNTIL_MS, STEP_MS = 10_000, 14_000, 10
# A call to a store that turns it away takes so long.
CALL_MS = 10


@given("five callers that ask again half a second after each failure")
def five_callers(context):
    context.pause_ms = PROBE_INTERVAL_MS


@given("five callers at a node that others tell of the store")
def told_callers(context):
    context.pause_ms = PEER_FED_PROBE_INTERVAL_MS


def play(seed, pause_ms):
    """When calls began while the store was away, and when each caller had its answer."""
    rng, circuit = random.Random(seed), StoreCircuit()
    next_ms = [rng.randrange(AGAIN_MS) for _ in range(CALLERS)]
    ends, calls, answered = {}, [], {}
    for now_ms in range(0, UNTIL_MS, STEP_MS):
        for caller in [one for one, end_ms in ends.items() if end_ms <= now_ms]:
            del ends[caller]
            good = now_ms > AWAY_MS
            circuit.end(good, rng.randint(pause_ms // 2, pause_ms), now_ms)
            next_ms[caller] = now_ms + AGAIN_MS
            if good:
                answered.setdefault(caller, now_ms)
        for caller in range(CALLERS):
            waits = caller in ends or now_ms < next_ms[caller] or caller in answered
            if not waits and circuit.wait_ms(now_ms) == 0:
                circuit.begin()
                ends[caller] = now_ms + CALL_MS
                if now_ms < AWAY_MS:
                    calls.append((now_ms, len(ends)))
    return calls, answered


@when("the store is away for ten seconds, with twenty seeds")
def away(context):
    context.plays = [play(seed, context.pause_ms) for seed in range(20)]


@then("it is asked {per_s:g} times a second at most, by one caller at a time")
def asked(context, per_s):
    for calls, _ in context.plays:
        # Until the first failure is known all five may ask.
        later = [at_once for at_ms, at_once in calls if at_ms > AGAIN_MS]
        assert len(later) <= per_s * AWAY_MS / 1000, len(later)
        assert max(later) == 1, max(later)


@then("each caller has its answer within {within_s:g} s of the store's return")
def answered_soon(context, within_s):
    for _, answered in context.plays:
        assert len(answered) == CALLERS, answered
        # A caller that has just failed asks again after its own pause.
        latest_ms = AWAY_MS + within_s * 1000 + AGAIN_MS
        assert max(answered.values()) <= latest_ms, max(answered.values())


class GivenStore:
    """Answers when told to; counts those who ask at one time."""

    def __init__(self, reply):
        self.reply, self.asking, self.most = reply, 0, 0
        self.may_answer = anyio.Event()

    async def list_objects(self, kind, stale=False):
        self.asking += 1
        self.most = max(self.most, self.asking)
        try:
            await self.may_answer.wait()
            return self.reply
        finally:
            self.asking -= 1

    async def replace(self, kind, name, content, revision):
        return self.reply


def guarded(store):
    return GuardedSource(store, random.Random(1), lambda: 0, lambda: False)


@then("callers of a store that answers never wait for each other")
def never_wait(context):
    async def main():
        store = GivenStore(Ok(Listing((), at(1))))
        source = guarded(store)
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(source.list_objects, "config")
            await anyio.wait_all_tasks_blocked()
            store.may_answer.set()
        assert store.most == CALLERS, store.most

    anyio.run(main)


@then("the next one asks, and a write under a condition waits for nobody")
def next_asks(context):
    async def main():
        store = GivenStore(Err(SourceFailure("status 503")))
        source = guarded(store)
        store.may_answer.set()
        await source.list_objects("config")
        source._circuit.next_probe_ms = 0
        store.may_answer = anyio.Event()
        with anyio.move_on_after(0.05):
            await source.list_objects("config")
        with anyio.fail_after(1):
            async with anyio.create_task_group() as tasks:
                source._circuit.next_probe_ms = 0
                tasks.start_soon(source.list_objects, "servers")
                await anyio.wait_all_tasks_blocked()
                assert store.asking == 1 and isinstance(
                    await source.replace("d", "n", b"", at(1)), Err
                )
                store.may_answer.set()

    anyio.run(main)
