"""SIGHUP during the start of a node's program, and reloads of spoiled settings files."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import then, when
from hypothesis import given as forall
from hypothesis import strategies as st

from saffronworks.platform.settings_watch import SettingsWatch
from saffronworks.tests.platform_fakes import settings_text

ROOT = Path(__file__).parents[4]
LIMIT_S = 20.0


def ignores_hangup(process):
    """Whether the process ignores SIGHUP now; False once it has ended."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    masks = [line.split()[1] for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(masks) and int(masks[0], 16) >> (signal.SIGHUP - 1) & 1 == 1


def check_settings(program, file):
    """Run a program that only checks the settings; SIGHUP as soon as it can bear one."""
    command = [sys.executable, *program, "--settings", str(file), "--check"]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    with subprocess.Popen(command, cwd=ROOT, env=environment, stdout=subprocess.DEVNULL) as process:
        until_s = time.monotonic() + LIMIT_S
        while process.poll() is None and not ignores_hangup(process):
            assert time.monotonic() < until_s
            time.sleep(0.002)
        reached = process.poll() is None
        if reached:
            process.send_signal(signal.SIGHUP)
        return reached, process.wait(LIMIT_S)


@when("a node's program gets SIGHUP during its imports")
def hang_up(context):
    with TemporaryDirectory() as folder:
        file = Path(folder) / "node.yaml"
        file.write_text(settings_text("127.0.0.1:1"))
        programs = (["deploy/start.py"], ["-m", "saffronworks.platform"])
        context.ends = [check_settings(program, file) for program in programs]


@then("it goes on")
def goes_on(context):
    assert context.ends == [(True, 0)] * 2, context.ends


@then("with any bytes in the settings file, a reload raises nothing and applies nothing")
def reloads(context):
    spoiled = [b"\xff", b"a: \x00", b"[" * 500, b"", b"- 1", b"node_name: 7", b"a: &a [*a]"]

    @forall(st.sampled_from(spoiled) | st.binary(max_size=40))
    def check(content):
        file.write_bytes(content)
        watch.reload()

    applied = []
    with TemporaryDirectory() as folder:
        file = Path(folder) / "node.yaml"
        file.write_text(settings_text("127.0.0.1:1"))
        watch = SettingsWatch(str(file), applied.append)
        check()
    assert not applied
