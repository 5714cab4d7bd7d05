"""Scenarios on the store's circuit breaker: its decisions on virtual time, its use on a loop."""

import random

import anyio
from behave import given, then, when
from result import Err, Ok

from saffronworks.forwarding.ports import Listing, ObjectStoreFailure
from saffronworks.forwarding.store_circuit import GuardedSource, StoreCircuit
from saffronworks.forwarding.tuning import (
    PEER_FED_PROBE_INTERVAL_MS,
    PROBE_INTERVAL_MS,
)
from saffronworks.tests.revisions import at

CALLER_COUNT, RETRY_MS = 5, 500
OUTAGE_MS, UNTIL_MS, STEP_MS = 10_000, 14_000, 10
# Duration of a call that the store rejects.
CALL_MS = 10


@given("five callers that retry half a second after each failure")
def five_callers(context):
    context.pause_ms = PROBE_INTERVAL_MS


@given("five callers at a node that receives store updates from peers")
def callers_with_peer_updates(context):
    context.pause_ms = PEER_FED_PROBE_INTERVAL_MS


def play(seed, pause_ms):
    """Return the calls during the outage (start, calls at a time) and the times of answers."""
    rng, circuit = random.Random(seed), StoreCircuit()
    next_ms = [rng.randrange(RETRY_MS) for _ in range(CALLER_COUNT)]
    ends, calls, answered = {}, [], {}
    for now_ms in range(0, UNTIL_MS, STEP_MS):
        for caller in [one for one, end_ms in ends.items() if end_ms <= now_ms]:
            del ends[caller]
            good = now_ms > OUTAGE_MS
            circuit.end(good, rng.randint(pause_ms // 2, pause_ms), now_ms)
            next_ms[caller] = now_ms + RETRY_MS
            if good:
                answered.setdefault(caller, now_ms)
        for caller in range(CALLER_COUNT):
            waits = caller in ends or now_ms < next_ms[caller] or caller in answered
            if not waits and circuit.wait_ms(now_ms) == 0:
                circuit.begin()
                ends[caller] = now_ms + CALL_MS
                if now_ms < OUTAGE_MS:
                    calls.append((now_ms, len(ends)))
    return calls, answered


@when("the store is unavailable for ten seconds, with twenty seeds")
def outage(context):
    context.plays = [play(seed, context.pause_ms) for seed in range(20)]


@then("it is called {per_s:g} times a second at most, by one caller at a time")
def called(context, per_s):
    for calls, _ in context.plays:
        # Until the first failure is known, all five may call.
        later = [at_once for at_ms, at_once in calls if at_ms > RETRY_MS]
        assert len(later) <= per_s * OUTAGE_MS / 1000, len(later)
        assert max(later) == 1, max(later)


@then("each caller has its answer within {within_s:g} s of the store's recovery")
def answered_soon(context, within_s):
    for _, answered in context.plays:
        assert len(answered) == CALLER_COUNT, answered
        # A caller that has just failed retries after its own delay.
        latest_ms = OUTAGE_MS + within_s * 1000 + RETRY_MS
        assert max(answered.values()) <= latest_ms, max(answered.values())


class GivenStore:
    """A store that answers on `may_answer` and records the most concurrent calls."""

    def __init__(self, reply):
        self.reply, self.calls_now, self.max_calls = reply, 0, 0
        self.may_answer = anyio.Event()

    async def list_objects(self, kind, stale=False):
        self.calls_now += 1
        self.max_calls = max(self.max_calls, self.calls_now)
        try:
            await self.may_answer.wait()
            return self.reply
        finally:
            self.calls_now -= 1

    async def replace(self, kind, name, content, revision):
        return self.reply


def guarded(store):
    return GuardedSource(store, random.Random(1), lambda: 0, lambda: False)


@then("callers of an available store never wait for each other")
def never_wait(context):
    async def main():
        store = GivenStore(Ok(Listing((), at(1))))
        source = guarded(store)
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLER_COUNT):
                tasks.start_soon(source.list_objects, "config")
            await anyio.wait_all_tasks_blocked()
            store.may_answer.set()
        assert store.max_calls == CALLER_COUNT, store.max_calls

    anyio.run(main)


@then("the next one calls the store, and a conditional write does not wait")
def next_calls(context):
    async def main():
        store = GivenStore(Err(ObjectStoreFailure("status 503")))
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
                assert store.calls_now == 1 and isinstance(
                    await source.replace("d", "n", b"", at(1)), Err
                )
                store.may_answer.set()

    anyio.run(main)
