"""Scenarios on the store's circuit breaker: its decisions on virtual time, its use on a loop."""

import random
from unittest.mock import AsyncMock

import anyio
from behave import given, then, when
from result import Err, Ok

from saffronworks.forwarding.ports import Listing, ObjectStoreFailure
from saffronworks.forwarding.store_circuit import GuardedSource, Outcome, StoreCircuit
from saffronworks.forwarding.tuning import (
    PEER_FED_PROBE_INTERVAL_MS,
    PROBE_HOLD_MS,
    PROBE_INTERVAL_MS,
)
from saffronworks.tests.revisions import at
from saffronworks.tests.store_news_plays import KINDS, news_delay_ms, outage_calls

CALLER_COUNT, RETRY_MS = 5, 500
OUTAGE_MS, UNTIL_MS, STEP_MS = 10_000, 14_000, 10
# Duration of a call that the store rejects.
CALL_MS = 10
# Half of the users' `config_apply_ms` and `drain_ms`; the rest is for sends and a busy processor.
IN_FORCE_MS = 1000


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
        for caller in [one for one, (end_ms, _) in ends.items() if end_ms <= now_ms]:
            _, probe = ends.pop(caller)
            good = now_ms > OUTAGE_MS
            outcome = Outcome.ANSWERED if good else Outcome.FAILED
            circuit.end(probe, outcome, rng.randint(pause_ms // 2, pause_ms), now_ms)
            next_ms[caller] = now_ms + RETRY_MS
            if good:
                answered.setdefault(caller, now_ms)
        for caller in range(CALLER_COUNT):
            waits = caller in ends or now_ms < next_ms[caller] or caller in answered
            if not waits and circuit.wait_ms(now_ms) == 0:
                ends[caller] = (now_ms + CALL_MS, circuit.begin(now_ms))
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


@then("after a cut connection it probes the store, and after a failure it fails without a call")
def read_after_failure(_):
    async def read_after(failure):
        store = AsyncMock()
        store.list_objects.return_value = Err(failure)
        store.read_changes.return_value = Ok(Listing((), at(5)))
        source = guarded(store)
        await source.list_objects("config")
        replies = [await source.read_changes(kind, at(5)) for kind in ("config", "servers")]
        return replies, store.read_changes.await_count

    replies, calls = anyio.run(read_after, ObjectStoreFailure("ReadError", cut=True))
    assert all(reply.is_ok() for reply in replies) and calls == 2, replies
    replies, calls = anyio.run(read_after, ObjectStoreFailure("ReadTimeout"))
    assert all(reply.is_err() for reply in replies) and calls == 0, replies


async def guarded_after_failure(store):
    """A source whose store has failed one call and answers the next one when it may."""
    source = guarded(store)
    store.may_answer.set()
    await source.list_objects("config")
    source._circuit.next_probe_ms = 0
    store.may_answer = anyio.Event()
    return source


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
        source = await guarded_after_failure(store)
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


@when(
    "a watch is reset up to 0.6 s after a change of the other kind, and then its own kind changes"
)
def reset_and_change(context):
    context.delays_ms = {
        (seed, kind, reset_ms, news_ms): news_delay_ms(seed, kind, reset_ms, news_ms)
        for seed in range(2)
        for kind in KINDS
        for reset_ms in range(0, 601, 20)
        for news_ms in (0, 150, 500, 1000)
    }


@then("that change is in force within half of the time that a node has")
def in_force(context):
    late = {play: ms for play, ms in context.delays_ms.items() if ms > IN_FORCE_MS}
    assert not late, (len(late), max(late.values()), late)


@then("other callers go on when its answer begins, and wait again if it fails")
def answer_begins(context):
    async def main():
        store = GivenStore(Err(ObjectStoreFailure("status 503")))
        source = await guarded_after_failure(store)
        async with anyio.create_task_group() as tasks:
            for kind in ("config", "servers"):
                tasks.start_soon(source.list_objects, kind)
                await anyio.wait_all_tasks_blocked()
            assert store.calls_now == 1, store.calls_now
            source.record_answer_begun()
            await anyio.wait_all_tasks_blocked()
            assert store.calls_now == 2, store.calls_now
            store.may_answer.set()
        assert source._circuit.open

    anyio.run(main)


@then("other callers wait for a probe no longer than for its timeouts")
def bounded_hold(context):
    circuit = StoreCircuit()
    circuit.end(circuit.begin(0), Outcome.FAILED, PROBE_INTERVAL_MS, 0)
    probe = circuit.begin(PROBE_INTERVAL_MS)
    next_ms = PROBE_INTERVAL_MS + circuit.wait_ms(PROBE_INTERVAL_MS)
    assert next_ms == PROBE_INTERVAL_MS + PROBE_HOLD_MS and circuit.wait_ms(next_ms) == 0
    # The late end of the first probe does not release the second one.
    assert circuit.begin(next_ms) != probe
    circuit.end(probe, Outcome.CANCELLED, PROBE_INTERVAL_MS, next_ms)
    assert circuit.wait_ms(next_ms) == PROBE_HOLD_MS


@when("the store fails for ten seconds, with twenty seeds")
def failing(context):
    failures = [ObjectStoreFailure(reason) for reason in ("status 503", "ReadTimeout")]
    failures += [ObjectStoreFailure("ConnectError"), ObjectStoreFailure("ReadError", cut=True)]
    context.calls = {
        one.reason: max(outage_calls(seed, one) for seed in range(20)) for one in failures
    }


@then(
    "a node calls a store that answers 503, refuses or resets {most:d} times at most, "
    "a silent one {most_silent:d}"
)
def few_outage_calls(context, most, most_silent):
    assert context.calls.pop("ReadTimeout") <= most_silent, context.calls
    assert max(context.calls.values()) <= most, context.calls


@then("the first call after it waits for nothing, and the second reset adds no pause")
def no_pause_after_cut(context):
    circuit = StoreCircuit()
    watches = [circuit.begin(0), circuit.begin(0)]
    for watch in watches:
        circuit.end(watch, Outcome.CUT, PROBE_INTERVAL_MS, 1000)
    assert circuit.open and circuit.wait_ms(1000) == 0, circuit


@then("each cut costs a probe, and there are {per_s:d} cuts a second at most")
def bounded_cuts(context, per_s):
    circuit, cuts = StoreCircuit(), 0
    for now_ms in range(0, OUTAGE_MS, STEP_MS):
        if circuit.wait_ms(now_ms) == 0:
            circuit.end(circuit.begin(now_ms), Outcome.ANSWERED, 0, now_ms)
            circuit.end(circuit.begin(now_ms), Outcome.CUT, PROBE_INTERVAL_MS * 2 // 3, now_ms)
            cuts += 1
    assert cuts <= per_s * OUTAGE_MS / 1000, cuts
