"""Scenarios on what a node of the own deployment does with requests while it drains."""

import itertools

import anyio
import attrs
import httpcore
from behave import then, when

from saffronworks.standins.callers import ask
from saffronworks.standins.sites import SiteShape, wait_until
from saffronworks.standins.standin_engine import Fault
from saffronworks.standins.standin_models import EngineProfile, answer_length
from saffronworks.tests.log_lines import LogLines
from saffronworks.tests.plays import LONG_TOKENS, on_site

LONG = EngineProfile(slots=4, step_ms=30.0)
SHAPE = SiteShape(
    nodes=1, prefills=1, decodes=1, plains=1, profile=LONG, max_tokens=LONG_TOKENS, patience_ms=9000
)
DRAIN_MS = 2000


def long_prompt(name):
    """Return a prompt whose answer takes longer than any drain."""
    prompts = (f"{name} {number}" for number in itertools.count())
    return next(prompt for prompt in prompts if answer_length(prompt, LONG_TOKENS) > 1000)


class Draining:
    """A site whose node is stopped, and the answers of its callers by name."""

    def __init__(self, site, tasks, drain_ms=DRAIN_MS):
        self.site, self.tasks = site, tasks
        self.node = site.nodes[0]
        self.node.settings = attrs.evolve(self.node.settings, drain_ms=drain_ms)
        self.engine, self.prefill = site.engines["decode-1"], site.engines["prefill-1"]
        self.answers, self.took_s = {}, {}
        self.pool = httpcore.AsyncConnectionPool()

    def ask(self, name, stream=True):
        async def send():
            address, prompt = self.node.caller_address, long_prompt(name)
            self.answers[name] = await ask(self.pool, address, prompt, LONG_TOKENS, stream)

        self._start(name, send)

    def ask_plain(self, name):
        async def send():
            url = f"http://{self.node.caller_address}/profiles/{name}"
            response = await self.pool.request("GET", url)
            fields = {key.lower(): value for key, value in response.headers}
            self.answers[name] = (response.status, fields)

        self._start(name, send)

    def begin_body(self, name):
        async def send():
            host, _, port = self.node.caller_address.partition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                head = b"POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 99\r\n\r\n"
                await stream.send(head + b"{")
                self.answers[name] = await stream.receive()

        self._start(name, send)

    def _start(self, name, send):
        async def timed():
            began_s = anyio.current_time()
            await send()
            self.took_s[name] = anyio.current_time() - began_s

        self.tasks.start_soon(timed)

    async def until_streaming(self, count):
        def streaming():
            return sum(len(s.tokens) > 2 for s in self.engine.streams.values()) == count

        assert await wait_until(streaming)

    async def until_answered(self, *names):
        assert await wait_until(lambda: set(names) <= set(self.took_s)), self.answers
        await self.pool.aclose()


def runs(site):
    return sum(sum(engine.dispatches.values()) for engine in site.engines.values())


@when("a node is stopped while requests take longer than its drain")
def stopped(context):
    async def play(site, tasks):
        drain = context.drain = Draining(site, tasks)
        site.plains[0].answer_after_ms = 20_000
        drain.ask("stream")
        drain.ask("whole", stream=False)
        await drain.until_streaming(2)
        drain.prefill.fault = Fault.STALL
        drain.ask("read")
        assert await wait_until(lambda: runs(site) == 3)
        drain.ask_plain("plain")
        drain.begin_body("body")
        assert await wait_until(lambda: site.plains[0].calls)
        with LogLines("saffronworks") as context.texts:
            drain.node.stop()
            await drain.until_answered("stream", "whole", "read", "plain", "body")
        drain.prefill.fault = Fault.NONE

    on_site(context, SHAPE, play)


@then("those that a server may have run are told unknown, and those that wait not run")
def told(context):
    answers = context.drain.answers
    for name in ("whole", "read"):
        assert (answers[name].status, answers[name].outcome) == (502, "unknown"), answers[name]
    status, fields = answers["plain"]
    assert (status, fields[b"saffronworks-outcome"]) == (502, b"unknown"), answers["plain"]
    head = answers["body"].lower()
    assert head.startswith(b"http/1.1 503") and b"retry-after: 1" in head, head


@then("a begun stream tells its outcome and is cut, and the log names each of them")
def cut(context):
    answer = context.drain.answers["stream"]
    assert answer.text and answer.outcome == "unknown" and not answer.whole, answer
    assert "node-stopping" in answer.error or answer.error == "RemoteProtocolError", answer
    named = [text for text in context.texts if "event=request_stopped" in text]
    assert len(named) == len(context.drain.answers), context.texts
    assert all("reason=node-stopping" in text for text in named[-4:]), named


@when("a node with a stream is stopped, and requests wait and come after its notice")
def noticed(context):
    async def play(site, tasks):
        drain = context.drain = Draining(site, tasks)
        for index in range(2):
            drain.ask(f"stream {index}")
        await drain.until_streaming(2)
        drain.prefill.kill(60_000)
        drain.ask("waiting")
        assert await wait_until(lambda: len(drain.node.entry.runners) == 3)
        context.runs = runs(site)
        drain.node.stop()
        await anyio.sleep(0.6 * DRAIN_MS / 1000)
        drain.ask("late")
        drain.ask_plain("late-plain")
        await drain.until_answered("late", "late-plain", "waiting", "stream 0")
        context.runs_after = runs(site)

    on_site(context, SHAPE, play)


@then("they are told not run at once, without a run, and their connections closed")
def refused(context):
    drain = context.drain
    for name in ("late", "waiting"):
        answer = drain.answers[name]
        assert (answer.status, answer.outcome) == (503, "not-run"), answer
        assert "node-stopping" in answer.error, answer
    status, fields = drain.answers["late-plain"]
    assert (status, fields[b"saffronworks-outcome"]) == (503, b"not-run"), (status, fields)
    assert fields[b"connection"] == b"close" and fields[b"retry-after"] == b"1", fields
    assert max(drain.took_s[n] for n in ("late", "late-plain")) < 0.4, drain.took_s
    assert drain.took_s["waiting"] < 0.85 * DRAIN_MS / 1000, drain.took_s
    assert context.runs_after == context.runs and not drain.site.plains[0].calls


@then("the stream goes on to the end of the drain")
def goes_on(context):
    answer = context.drain.answers["stream 0"]
    assert answer.outcome == "unknown" and answer.text, answer
    assert context.drain.took_s["stream 0"] > DRAIN_MS / 1000, context.drain.took_s


@when("a node is stopped, and the prefill of a request breaks after its notice")
def broken(context):
    async def play(site, tasks):
        drain = context.drain = Draining(site, tasks, drain_ms=3 * DRAIN_MS)
        drain.prefill.fault = Fault.STALL
        drain.ask("broken")
        assert await wait_until(lambda: runs(site) == 1)
        drain.node.stop()
        await anyio.sleep(1.6 * DRAIN_MS / 1000)
        drain.prefill.fault = Fault.NONE
        drain.prefill.kill(50)
        await drain.until_answered("broken")
        context.runs = runs(site)

    on_site(context, SHAPE, play)


@then("it is told unknown before the node's end, and was dispatched once")
def broken_told(context):
    answer = context.drain.answers["broken"]
    assert (answer.status, answer.outcome, context.runs) == (502, "unknown", 1), (answer, context)
    assert context.drain.took_s["broken"] < 2.5 * DRAIN_MS / 1000, context.drain.took_s


@when("a long request comes to a node that was stopped a moment ago and has nothing to do")
def idle(context):
    async def play(site, tasks):
        drain = context.drain = Draining(site, tasks, drain_ms=60_000)
        # Keeps a connection open, as a new one could be refused by now.
        drain.ask_plain("before")
        assert await wait_until(lambda: "before" in drain.took_s)
        drain.node.stop()
        await anyio.sleep(0.3)
        drain.ask("late")
        await wait_until(lambda: "late" in drain.took_s)
        await drain.pool.aclose()
        context.runs = runs(site)

    on_site(context, SHAPE, play)


@then("it is told not run, without a run")
def idle_refused(context):
    answer = context.drain.answers["late"]
    assert (answer.status, answer.outcome, context.runs) == (503, "not-run", 0), answer
