"""Scenarios on a real small site: stand-ins and nodes in this process, over loopback."""

import contextlib
import json
from unittest.mock import AsyncMock, Mock

import anyio
import httpcore
from behave import then, when

from saffronworks.engines import Decode, EngineClient, Prefill
from saffronworks.standins.callers import LoadPlan, ask, expected_answer, run_load
from saffronworks.standins.sites import SiteShape, wait_until
from saffronworks.standins.standin_engine import Fault, StandinEngine
from saffronworks.standins.standin_models import answer_length
from saffronworks.tests.plays import (
    LONG_TOKENS,
    QUICK,
    SLOW,
    TOKENS,
    addresses,
    load_while,
    loaded_engine,
    on_site,
    owner_of,
)


async def post(address, body):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}/v1/completions"
        response = await pool.request("POST", url, content=json.dumps(body).encode())
    return response.status, json.loads(response.content)


@when("one prompt is asked streamed and unstreamed")
def both_ways(context):
    async def play(site, tasks):
        async with httpcore.AsyncConnectionPool() as pool:
            for stream in (True, False):
                address = site.nodes[0].caller_address
                context.answers.append(await ask(pool, address, "Dear reader", TOKENS, stream))

    on_site(context, SiteShape(profile=QUICK), play)


@then("both answers are whole and equal")
def equal(context):
    streamed, whole = context.answers
    assert streamed.text == whole.text == expected_answer("Dear reader", TOKENS), context.answers


@when("a body with three mistakes and a body with an unknown model are sent")
def bad_bodies(context):
    async def play(site, tasks):
        address = site.nodes[0].caller_address
        bad = {"model": "", "prompt": 3, "max_tokens": -1}
        context.bad = await post(address, bad)
        context.unknown = await post(address, {"model": "nobody", "prompt": "x"})

    on_site(context, SiteShape(nodes=1), play)


@then("the first gets status 400 and names all three fields")
def three_fields(context):
    status, body = context.bad
    assert status == 400
    for field in ("model", "prompt", "max_tokens"):
        assert field in body["error"]["message"], body


@then("the second gets status 404")
def not_found(context):
    assert context.unknown[0] == 404, context.unknown


@when("a caller hangs up in the middle of its stream")
def hang_up(context):
    async def play(site, tasks):
        address = site.nodes[0].caller_address
        body = {"model": "opening-line", "prompt": "Dear reader", "max_tokens": LONG_TOKENS}
        assert answer_length("Dear reader", LONG_TOKENS) > 1000
        body["stream"] = True
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{address}/v1/completions"
            async with pool.stream("POST", url, content=json.dumps(body).encode()) as response:
                async for _ in response.aiter_stream():
                    break
        assert site.engine_memory_held() == 1

    on_site(context, SiteShape(profile=SLOW, max_tokens=LONG_TOKENS), play)


@then("no engine memory stays held")
def nothing_held(context):
    assert context.memory_freed, context.memory_held


@when("{count:d} callers ask at once with patience")
def many_callers(context, count):
    async def play(site, tasks):
        plan = LoadPlan(count, 0.1, letter_characters=400, max_tokens=TOKENS)
        context.answers += await run_load(addresses(site.nodes), plan)

    on_site(context, SiteShape(profile=QUICK, patience_ms=30_000), play)


def wrong_answers(context):
    assert context.answers
    return [
        a for a in context.answers if not a.whole or a.text != expected_answer(a.prompt, TOKENS)
    ]


@then("each has its own whole answer or is told not run")
def own_answers(context):
    wrong = [a for a in wrong_answers(context) if a.outcome != "not-run"]
    assert not wrong, wrong[:3]
    assert any(a.whole for a in context.answers)


@then("every answer is whole")
@then("every answer of the other node is whole")
def all_whole(context):
    wrong = [(a.status, a.outcome, a.error, len(a.text)) for a in wrong_answers(context)]
    assert not wrong, wrong[:5]


def fault_play(context, name, fault, seconds=None):
    async def play(site, tasks):
        async def act():
            site.engines[name].fault = fault
            if seconds is not None:
                await anyio.sleep(seconds)
                site.engines[name].fault = Fault.NONE

        plan = LoadPlan(30, 30.0, letter_characters=400, max_tokens=TOKENS)
        await load_while(context, site.nodes, plan, act, after_s=0.2)

    return play


@when("callers ask while a decode engine doubles its tokens")
def doubling(context):
    on_site(context, SiteShape(profile=QUICK), fault_play(context, "decode-1", Fault.DOUBLE))


@when("callers ask while a decode engine drops its streams now and then")
def dropping(context):
    play = fault_play(context, "decode-1", Fault.DROP_STREAMS, seconds=0.3)
    on_site(context, SiteShape(profile=QUICK), play)


@when("callers ask while transfers of a prefill engine stall for a while")
def stalling(context):
    play = fault_play(context, "prefill-1", Fault.STALL_TRANSFER, seconds=6.0)
    on_site(context, SiteShape(profile=QUICK, patience_ms=30_000), play)


def direct_prefill(request_id, within_ms):
    prompt = "x" * 400_000
    return Prefill(request_id, 1, "test", prompt, "k", 0, 0, within_ms)


@when("an engine gets a prefill that it can begin only too late, and a decode that stalls")
def late_prefill(context):
    async def play(site, tasks):
        client = EngineClient()
        source = site.engines["prefill-1"]
        results = {}

        async def prefill(name, within_ms):
            call = direct_prefill(name, within_ms)
            results[name] = await client.prefill(source.address, call, 20_000)

        async with anyio.create_task_group() as both:
            both.start_soon(prefill, "first", 20_000)
            await wait_until(lambda: source.dispatches)
            both.start_soon(prefill, "late", 1)
        context.prefills = results
        await stalled_decode(context, site, client, results["first"].unwrap().kv_id)
        await client.close()

    on_site(context, SiteShape(nodes=1, profile=QUICK), play)


async def stalled_decode(context, site, client, kv_id):
    source, target = site.engines["prefill-1"], site.engines["decode-1"]
    source.fault = Fault.STALL_TRANSFER
    call = Decode("first", 1, "test", "x", 8, source.address, kv_id, 0, import_within_ms=200)
    async with client.open_decode(target.address, call, 5000) as opened:
        context.decode = opened
    context.held_after = target.held()
    source.fault = Fault.NONE


@then("it refused the prefill unexecuted and gave the decode's slot up")
def both_refused(context):
    assert context.prefills["first"].is_ok()
    late = context.prefills["late"].err()
    assert (late.status, late.executed) == (503, False), late
    assert context.decode.err().status == 410, context.decode
    assert context.held_after == 0


@when("callers ask while a decode engine dies")
def dying(context):
    async def play(site, tasks):
        async def act():
            site.engines["decode-1"].kill()

        plan = LoadPlan(40, 25.0, letter_characters=400, max_tokens=TOKENS)
        await load_while(context, site.nodes, plan, act)

    on_site(context, SiteShape(profile=QUICK), play)


@when("an unrepeatable request loses its engine in the middle")
def unrepeatable_lost(context):
    async def play(site, tasks):
        async def send():
            headers = {"x-unrepeatable": "true"}
            address = site.nodes[0].caller_address
            async with httpcore.AsyncConnectionPool() as pool:
                context.answers.append(await ask(pool, address, "bill me", 400, headers=headers))

        async with anyio.create_task_group() as both:
            both.start_soon(send)
            (await loaded_engine(site)).kill()
        context.dispatches = [
            count for engine in site.engines.values() for count in engine.dispatches.values()
        ]

    on_site(context, SiteShape(profile=SLOW, max_tokens=400), play)


@when("an unrepeatable request meets an engine that is silent for 1.5 s during its {stage}")
def unrepeatable_silence(context, stage):
    async def play(site, tasks):
        prefill, decode = site.engines["prefill-1"], site.engines["decode-1"]
        silent = decode if stage == "decode" else prefill

        async def send():
            address, headers = site.nodes[0].caller_address, {"x-unrepeatable": "true"}
            async with httpcore.AsyncConnectionPool() as pool:
                context.answers.append(await ask(pool, address, "bill me", TOKENS, headers=headers))

        async with anyio.create_task_group() as both:
            silent.fault = Fault.STALL_TRANSFER if stage == "transfer" else Fault.STALL
            both.start_soon(send)
            work = {"prefill": prefill.dispatches, "transfer": decode.streams}
            assert await wait_until(lambda: work.get(stage, decode.streams))
            await anyio.sleep(1.5)
            silent.fault = Fault.NONE
        context.dispatches = [
            count for engine in site.engines.values() for count in engine.dispatches.values()
        ]

    on_site(context, SiteShape(prefills=1, decodes=1, profile=QUICK), play)


@then("it is told unknown")
def told_unknown(context):
    answer = context.answers[0]
    assert answer.outcome == "unknown" and not answer.whole, answer
    assert answer.error == "RemoteProtocolError", "a good end behind a part of an answer"


@then("it was dispatched once")
def dispatched_once(context):
    assert context.dispatches == [1], context.dispatches


@when("a decode endpoint is marked as leaving under load")
def leaving(context):
    async def play(site, tasks):
        engine = site.engines["decode-1"]

        async def act():
            site.leaving.add("decode-1")
            site.publish_vms()
            state = next(iter(owner_of(site).owner.states.values()))
            ledger = state.ledgers["decode-1"]
            assert await wait_until(lambda: ledger.leaving)
            # What was assigned before the owner knew is on its way, and is not new work.
            context.before = engine.decoded | {held.key for held in ledger.decodes.values()}

        plan = LoadPlan(60, 30.0, letter_characters=100, max_tokens=TOKENS)
        await load_while(context, site.nodes, plan, act)
        context.new_work = engine.decoded - context.before

    on_site(context, SiteShape(profile=QUICK), play)


@then("its running work ends and it gets nothing new")
def nothing_new(context):
    all_whole(context)
    assert not context.new_work, context.new_work


@when("the store is down while callers ask")
def outage(context):
    async def play(site, tasks):
        site.store.outage = True
        plan = LoadPlan(20, 30.0, letter_characters=100, max_tokens=TOKENS)
        context.answers += await run_load(addresses(site.nodes), plan)

    on_site(context, SiteShape(profile=QUICK), play)


@when("{count:d} callers ask one after the other through one node")
def one_by_one(context, count):
    async def play(site, tasks):
        async with httpcore.AsyncConnectionPool() as pool:
            for index in range(count):
                address = site.nodes[0].caller_address
                context.answers.append(await ask(pool, address, f"letter {index}", TOKENS))
        context.peers = sum(len(engine.peers) for engine in site.engines.values())

    on_site(context, SiteShape(nodes=1, profile=QUICK), play)


@then("the decode engines saw fewer connections than requests")
def fewer_connections(context):
    assert 0 < context.peers < len(context.answers), context.peers


@when("plain calls meet an endpoint that cuts connections")
def plain_cuts(context):
    async def play(site, tasks):
        url = f"http://{site.nodes[0].caller_address}/profiles/1"
        async with httpcore.AsyncConnectionPool() as pool:
            context.plain = []
            for method, call_id in (("GET", b"a"), ("POST", b"b")):
                for plain in site.plains:
                    plain.fail_next = 1 if plain is site.plains[0] else 0
                headers = [(b"x-call-id", call_id)]
                response = await pool.request(method, url, headers=headers, content=b"{}")
                outcome = dict(response.headers).get(b"saffronworks-outcome", b"")
                runs = sum(plain.calls.get(call_id.decode(), 0) for plain in site.plains)
                context.plain.append((response.status, outcome, runs))

    on_site(context, SiteShape(nodes=1), play)


@then("the repeatable call is answered and the unrepeatable one ran once and is told unknown")
def plain_outcomes(context):
    (get_status, _, _), (_, outcome, runs) = context.plain
    assert get_status == 200, context.plain
    assert outcome == b"unknown", context.plain
    assert runs == 1, context.plain


@when("a stand-in engine is killed while the body of a decode or prefill call arrives")
def killed_in_call(context):
    context.held = []
    decode = {
        "request_id": "r",
        "attempt": 1,
        "holder": "n",
        "prompt": "p",
        "max_tokens": LONG_TOKENS,
    }
    decode |= {"offset": 0, "source": "127.0.0.1:1", "kv_id": "k", "import_within_ms": 10}
    prefill = {"request_id": "r", "attempt": 1, "answered": [], "delivered": 0, "prompt": "p"}
    prefill |= {"begin_within_ms": 500, "prefix_tokens": 0, "prefix_key": ""}

    async def play(path, body):
        engine = StandinEngine("e", SLOW)
        engine._import = AsyncMock(return_value=True)
        arrived = anyio.Event()

        async def read_body():
            await arrived.wait()
            return body

        call = Mock(method="POST", path=path, query="", json=read_body, peer="n")
        call.reply, call.start, call.write = AsyncMock(), AsyncMock(), AsyncMock()

        async def handle():
            with contextlib.suppress(Exception):
                await engine._handle(call)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            await anyio.sleep(0.05)
            tasks.start_soon(handle)
            await anyio.sleep(0.05)
            engine.kill()
            arrived.set()
            await anyio.sleep(0.2)
            context.held.append(engine.held())
            tasks.cancel_scope.cancel()

    for path, body in (("/engine/decode", decode), ("/engine/prefill", prefill)):
        anyio.run(play, path, body)


@then("the dead engine holds no memory")
def dead_holds_nothing(context):
    assert context.held == [0, 0], context.held
