"""Real `saffrond` processes before stand-ins that live in the test's process."""

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
import httpcore
import yaml
from behave import then, when

from saffronworks.standins.addresses import free_address
from saffronworks.standins.callers import LoadPlan, ask, expected_answer, run_load
from saffronworks.standins.sites import REGION, ZONES, Site, SiteShape, wait_until
from saffronworks.standins.standin_models import EngineProfile

TOKENS = 60
SHAPE = SiteShape(nodes=0, profile=EngineProfile(slots=6, step_ms=25.0), patience_ms=30_000)


class DaemonSite:
    """Three daemons, with the stand-ins of a `Site` behind them."""

    def __init__(self, site, folder):
        self.site = site
        self.folder = Path(folder)
        self.settings = []
        self.processes = []

    async def start(self, count=3, **others):
        self.site.store.put("config/bundles/letters", self.signed_bundle())
        for index in range(count):
            self.settings.append(
                {
                    "name": f"entry-{index + 1}",
                    "zone": ZONES[index],
                    "region": REGION,
                    "caller_address": free_address(),
                    "admin_address": free_address(),
                    "peer_address": free_address(),
                    "store_address": self.site.store.address,
                    "heartbeat_ms": 200,
                    "suspect_after_ms": 600,
                    "dead_after_ms": 1200,
                    "lease_ms": 2000,
                    "log_level": "ERROR",
                    **others,
                }
            )
        rows = [
            {"name": s["name"], "address": s["peer_address"], "zone": s["zone"], "region": REGION}
            for s in self.settings
        ]
        self.site.store.put("config/vms", json.dumps(rows))
        for settings in self.settings:
            self.processes.append(self.launch(settings))
        for settings in self.settings:
            await self.until_serving(settings["caller_address"])

    def signed_bundle(self):
        record = {"text": self.site.bundle_text(), "sign_off_id": "x", "signed_by": "t"}
        return json.dumps(record)

    def launch(self, settings):
        path = self.folder / f"{settings['name']}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = [sys.executable, "-m", "saffronworks.daemon", "--settings", str(path)]
        return subprocess.Popen(command)

    async def until_serving(self, address):
        with anyio.fail_after(30):
            while True:
                try:
                    async with httpcore.AsyncConnectionPool() as pool:
                        answer = await ask(pool, address, "ready?", 8)
                    if answer.whole:
                        return
                except OSError:
                    pass
                await anyio.sleep(0.1)

    def callers(self):
        return [settings["caller_address"] for settings in self.settings]

    async def until_streaming(self):
        def streaming():
            return any(
                len(stream.tokens) > 3 and stream.running
                for engine in self.site.engines.values()
                for stream in engine.streams.values()
            )

        assert await wait_until(streaming)

    async def free(self):
        return await wait_until(lambda: self.site.engine_memory_held() == 0, limit_s=20)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def with_daemons(context, play, count=3, **settings):
    async def main():
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as tasks:
                site = Site(tasks, SHAPE)
                await site.start(sign_off=False)
                daemons = DaemonSite(site, folder)
                try:
                    await daemons.start(count, **settings)
                    await play(daemons, tasks)
                finally:
                    daemons.end()
                context.freed = await daemons.free()
                context.dispatched = {}
                for engine in site.engines.values():
                    context.dispatched.update(engine.dispatches)
                tasks.cancel_scope.cancel()

    anyio.run(main)


async def load(context, name, address, count=6):
    plan = LoadPlan(count, 30.0, letter_characters=200, max_tokens=TOKENS, seed=len(name))
    setattr(context, name, await run_load([address], plan))


@when("a daemon with a running stream gets SIGHUP, and SIGTERM a moment later")
def hang_up(context):
    terminate(context, signal.SIGHUP)


@when("a daemon with a running stream gets SIGTERM")
def terminate(context, *before, **settings):
    async def play(daemons, tasks):
        async with anyio.create_task_group() as both:
            both.start_soon(load, context, "answers", daemons.callers()[0], 2)
            await daemons.until_streaming()
            for number in before:
                daemons.processes[0].send_signal(number)
                await anyio.sleep(0.1)
            daemons.processes[0].send_signal(signal.SIGTERM)
        await wait_until(lambda: daemons.processes[0].poll() is not None)
        context.exit_code = daemons.processes[0].returncode

    with_daemons(context, play, count=1, **settings)


@when("a daemon with a stream that takes longer than its drain gets SIGTERM")
def terminate_long(context):
    terminate(context, drain_ms=500)


@then("the stream tells its outcome and is cut, and the daemon exits 0")
def cut(context):
    assert [(a.outcome, a.whole) for a in context.answers] == [("unknown", False)] * 2
    assert all(a.text and a.error == "RemoteProtocolError" for a in context.answers)
    assert context.exit_code == 0, context.exit_code


@then("the stream ends whole and the daemon exits 0")
def ends_whole(context):
    assert_whole(context.answers)
    assert context.exit_code == 0, context.exit_code


def assert_whole(answers):
    wrong = [a for a in answers if a.text != expected_answer(a.prompt, TOKENS)]
    assert answers
    assert not wrong, [(a.status, a.outcome, a.error, a.tokens) for a in wrong]


@when("one of three daemons is killed under streams")
def killed(context):
    async def play(daemons, tasks):
        victim, *others = daemons.callers()
        async with anyio.create_task_group() as all_loads:
            all_loads.start_soon(load, context, "lost", victim)
            for index, address in enumerate(others):
                all_loads.start_soon(load, context, f"other_{index}", address, 10)
            await daemons.until_streaming()
            daemons.processes[0].kill()

    with_daemons(context, play)


@then("the answers through the other daemons are whole")
def others_whole(context):
    assert_whole(context.other_0 + context.other_1)


@then("nobody was told not run for a request that an engine took")
def true_not_run(context):
    told = [a for a in context.lost + context.other_0 + context.other_1 if a.outcome == "not-run"]
    assert not told, told


@when("one of three daemons is frozen past its lease under streams")
def frozen(context):
    async def play(daemons, tasks):
        async with anyio.create_task_group() as both:
            both.start_soon(load, context, "answers", daemons.callers()[0])
            await daemons.until_streaming()
            daemons.processes[0].send_signal(signal.SIGSTOP)
            context.freed_frozen = await daemons.free()
            daemons.processes[0].send_signal(signal.SIGCONT)

    with_daemons(context, play)


@then("the engines hold nothing while it is frozen")
def freed_while_frozen(context):
    assert context.freed_frozen


@then("after it wakes no answer is torn or doubled")
def not_torn(context):
    for answer in context.answers:
        whole = expected_answer(answer.prompt, TOKENS)
        assert whole.startswith(answer.text), answer.text
        assert answer.text == whole or answer.outcome != "completed", answer.outcome


@then("the engines hold nothing in the end")
def freed(context):
    assert context.freed


@when("a daemon is started with bad settings")
def bad_settings(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.yaml"
        path.write_text("name: n\nzone: z\nregion: r\nlease_ms: soon\npeer_address: nowhere\n")
        command = [sys.executable, "-m", "saffronworks.daemon", "--settings", str(path)]
        context.run = subprocess.run(command, capture_output=True, text=True, check=False)


@then("it exits with code 2 and names both fields")
def exit_two(context):
    assert context.run.returncode == 2
    assert "lease_ms" in context.run.stderr
    assert "peer_address" in context.run.stderr
