"""Scenarios on the bound over what a node buffers for callers."""

import json

import anyio
from behave import given, then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.forwarding.answer_buffers import BufferBound, BufferedAnswer, buffer_bound
from saffronworks.forwarding.tuning import UNREAD_TIMEOUT_MS
from saffronworks.platform.settings import read_platform_settings
from saffronworks.standins.sites import wait_until
from saffronworks.tests.platform_fakes import settings_text
from saffronworks.tests.platform_place import CONFIG, make_route, on_platform
from saffronworks.tests.slow_readers import LargeServer, Reader

BOUND_BYTES = 1000
LARGE = make_route("large", "/large/", "non_idempotent", "web", max_attempts=1, timeout_ms=20_000)


def answers(*buffered):
    return [BufferedAnswer(key, size_bytes) for key, size_bytes in enumerate(buffered)]


@given("a bound of 1000 bytes over the answers of a node")
def bounded(context):
    context.bound = BufferBound(BOUND_BYTES)


@then("below three quarters of the bound no answer is paused")
def none_paused(context):
    decision = context.bound.decide(answers(700, 49), 0)
    assert not decision.paused and not context.bound.reached, decision


@then("at the bound those with the most bytes are paused, and the others continue")
def most_first(context):
    """Guards against fast readers that are paused because another caller reads nothing."""
    decision = context.bound.decide(answers(10, 500, 20, 250, 0), 0)
    assert decision.paused == {1, 3}, decision


@then("beyond the bound every answer with buffered bytes is paused")
def beyond(context):
    decision = context.bound.decide(answers(600, 0, 1, 500), 0)
    assert decision.paused == {0, 2, 3}, decision


@then("the answers that continue can always double their bytes within the bound")
def can_double(context):
    @forall(st.lists(st.integers(0, 600), max_size=12))
    def check(buffered):
        bound = BufferBound(BOUND_BYTES)
        paused = bound.decide(answers(*buffered), 0).paused
        continuing = [size for key, size in enumerate(buffered) if key not in paused]
        if bound.reached and any(continuing):
            assert sum(buffered) + sum(continuing) <= BOUND_BYTES, (buffered, paused)
        paused_bytes = [buffered[key] for key in paused]
        assert not paused_bytes or min(paused_bytes) >= max(continuing, default=0), (
            buffered,
            paused,
        )

    check()


@then("answers are paused until half of the bound is free again")
def hysteresis(context):
    bound = BufferBound(BOUND_BYTES)
    reached = []
    for total_bytes in (740, 760, 740, 510, 490, 740):
        bound.decide(answers(total_bytes), 0)
        reached.append(bound.reached)
    assert reached == [False, True, True, True, False, False], reached


@then("it is disconnected once its endpoint was paused for the whole timeout")
def disconnected(context):
    waits = [BufferedAnswer(1, 300, 100, True), BufferedAnswer(2, 300, 101, True)]
    assert not context.bound.decide(waits, 99 + UNREAD_TIMEOUT_MS).disconnected
    assert context.bound.decide(waits, 100 + UNREAD_TIMEOUT_MS).disconnected == (1,)


@then("below the bound a caller that blocks no endpoint stays connected")
def stays_connected(context):
    late_ms = 2 * UNREAD_TIMEOUT_MS
    assert not context.bound.decide([BufferedAnswer(1, 300, 0)], late_ms).disconnected
    assert context.bound.decide([BufferedAnswer(1, 800, 0)], late_ms).disconnected == (1,)


@then("settings without a memory limit or slow readers give no bound, others an eighth of it")
def by_settings(context):
    whole = json.loads(settings_text("127.0.0.1:1"))
    fast_readers = read_platform_settings(json.dumps(whole), "f").ok_value
    assert buffer_bound(fast_readers.memory_bytes) is None
    whole["contracts"] = ["base", "pressure"]
    whole["limits"] = {"cores": 2}
    without = read_platform_settings(json.dumps(whole), "f").ok_value
    assert buffer_bound(without.memory_bytes) is None
    whole["limits"] = {"cores": 2, "memory_mb": 128}
    limited = read_platform_settings(json.dumps(whole), "f").ok_value
    assert buffer_bound(limited.memory_bytes) == 16_000_000
    whole["limits"] = {"cores": 2, "memory_mb": -1}
    assert read_platform_settings(json.dumps(whole), "f").is_err()


@when("four callers read nothing of large answers, one reads slowly and one fast")
def three_paces(context):
    server = context.server = LargeServer("w0", "web")
    context.most_bytes = 0

    async def play(place):
        buffers = place.node._state.buffers
        context.bound_bytes = buffers._bound.bound_bytes
        address = place.callers
        context.stuck = [Reader(address, f"n{n}", 64_000_000, part_bytes=0) for n in range(4)]
        context.slow = Reader(address, "slow", 2_000_000, part_bytes=16_384, pause_s=0.05)
        context.fast = Reader(address, "fast", 8_000_000)
        stuck_ids = {reader.request_id for reader in context.stuck}

        async def sample():
            while True:
                tracked = list(buffers._answers.values())
                total_bytes = sum(answer.buffered_bytes for answer in tracked)
                context.most_bytes = max(context.most_bytes, total_bytes)
                await anyio.sleep(0.002)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            async with anyio.create_task_group() as readers:
                for reader in (*context.stuck, context.slow):
                    readers.start_soon(reader.run, lambda: stuck_ids <= set(server.left))
                assert await wait_until(lambda: buffers._bound.reached, limit_s=3)
                readers.start_soon(context.fast.run, None)
            tasks.cancel_scope.cancel()
        context.counts = place.node._state.figures.counts
        assert await wait_until(lambda: not buffers.total_bytes, limit_s=2)

    config = CONFIG | {"routes": [*CONFIG["routes"], LARGE]}
    limits = {"cpu_share": 0.5, "cores": 2, "memory_mb": 16}
    on_platform([server], play, config=config, limits=limits, contracts=["pressure"])


@then("the fast caller's answer is complete and quick, and the slow one's is complete")
def whole(context):
    assert context.fast.whole and context.fast.took_s < 3, vars(context.fast)
    assert context.slow.whole and context.slow.took_s > 5, vars(context.slow)


@then("the bytes buffered stay within the bound")
def within(context):
    assert 0 < context.most_bytes <= context.bound_bytes, (context.most_bytes, context.bound_bytes)


@then("those that read nothing are disconnected and counted, and their server stops its work")
def stopped(context):
    assert all(reader.cut or not reader.whole for reader in context.stuck)
    assert sorted(context.server.left) == ["n0", "n1", "n2", "n3"], context.server.left
    assert not context.server.unread, context.server.unread
    name = "saffronworks_answer_buffers"
    counted = {dict(labels)["event"]: n for (of, labels), n in context.counts.items() if of == name}
    assert counted["disconnected"] == 4 and counted["paused"] >= 4, counted
