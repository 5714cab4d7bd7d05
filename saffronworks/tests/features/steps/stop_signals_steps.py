"""Steps on signals to real processes, and on processes that are made to exit."""

import signal
import subprocess
import sys
import threading
import time

from behave import then, when

from saffronworks.clocks import monotonic_ms
from saffronworks.loop_meter import LoopMeter

SIGNALLED = """
import signal, sys, time, anyio
from saffronworks.clocks import held_up_ms, monotonic_ms, run
from saffronworks.stop_signal import StopSignal

async def main():
    stop = StopSignal(held_up_ms, monotonic_ms, lambda _: None)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        stop.install()
        if len(sys.argv) > 1:
            await anyio.sleep(0.2)
        began_s, cpu_s = time.monotonic(), time.thread_time()
        print("ready", flush=True)
        while len(sys.argv) > 1 and time.monotonic() - began_s < float(sys.argv[1]):
            if stop.sent_ms is not None:
                held_up_s = time.monotonic() - began_s - (time.thread_time() - cpu_s)
                print(stop.sent_ms, stop.recorded_ms, int(held_up_s * 1000), flush=True)
                return
        async for _ in signals:
            print(stop.sent_ms, stop.recorded_ms, flush=True)
            return

run(main)
"""
BUSY = """
import asyncio, signal, threading, time
from saffronworks.clocks import held_up_ms, monotonic_ms, run

def doze():
    while True:
        time.sleep(0.05)

async def main():
    for _ in range(3):
        threading.Thread(target=doze, daemon=True).start()
    sent = lambda *_: print(int(monotonic_ms() - held_up_ms()), flush=True)
    signal.signal(signal.SIGTERM, sent)
    print("ready", flush=True)
    while True:
        until_s = time.monotonic() + 0.004
        while time.monotonic() < until_s:
            pass
        await asyncio.sleep(0.001)

run(main)
"""
EXITING = """
import atexit, sys, time, logging
from saffronworks.logs import set_up_logs
from saffronworks.clocks import monotonic_ms
from saffronworks.stop_signal import ExitGuard

set_up_logs("INFO", sys.stdout)
print("ready", flush=True)
guard = ExitGuard()
guard.start()
guard.arm(monotonic_ms() + 500)
logging.warning("event=last")
if sys.argv[1] == "an exit handler":
    atexit.register(time.sleep, 30)
else:
    time.sleep(30)
"""

HANGING = """
import itertools, logging, signal, sys, time, anyio
from saffronworks.clocks import held_up_ms, monotonic_ms, run
from saffronworks.logs import set_up_logs
from saffronworks.stop_signal import StopSignal

async def main():
    stop = StopSignal(held_up_ms, monotonic_ms, lambda _: None, lambda: stop.recorded_ms + 500)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        stop.install()
        print("ready", flush=True)
        while stop.sent_ms is None:
            pass
        logging.warning("event=last")
        if sys.argv[1] == "sleeps":
            time.sleep(15)
        else:
            for _ in itertools.count():
                pass

set_up_logs("INFO", sys.stdout)
run(main)
"""


def start(code, *arguments):
    command = [sys.executable, "-c", code, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout.readline() == "ready\n"
    return process


def read_rest(process, limit_s):
    """Return the output up to the end of a process, which is killed after `limit_s`.

    `communicate` reads past the lines that `readline` has buffered.
    """
    limit = threading.Timer(limit_s, process.kill)
    limit.start()
    try:
        return process.stdout.read()
    finally:
        limit.cancel()
        process.wait()


ENDED = """
import atexit, sys, time, logging
from saffronworks.logs import set_up_logs
from saffronworks.stop_signal import exit_now

set_up_logs("INFO", sys.stdout)
print("ready", flush=True)
atexit.register(time.sleep, 30)
logging.info("event=last")
exit_now()
"""


@when("a process gets SIGTERM {lead_s:g} s after it was suspended, and runs on after {rest_s:g} s")
def suspended_at_stop(context, lead_s, rest_s):
    process = start(SIGNALLED)
    context.ready_ms = monotonic_ms()
    time.sleep(0.3)
    process.send_signal(signal.SIGSTOP)
    time.sleep(lead_s)
    context.sent_ms = monotonic_ms()
    process.send_signal(signal.SIGTERM)
    time.sleep(rest_s)
    context.resumed_ms = monotonic_ms()
    process.send_signal(signal.SIGCONT)
    output = read_rest(process, 5)
    context.found_ms = tuple(map(int, output.split()))


@then("the signal counts as sent no later than it was, and no earlier than it was ready")
def counts_as_sent(context):
    sent_ms, recorded_ms = context.found_ms
    # The loop has run since it was ready.
    found = (context.ready_ms, sent_ms, context.sent_ms)
    assert context.ready_ms <= sent_ms <= context.sent_ms, found
    assert recorded_ms >= context.resumed_ms, (recorded_ms, context.resumed_ms)


@when("a process gets SIGTERM {lead_s:g} s after the begin of a turn of {turn_s} s")
def busy_at_stop(context, lead_s, turn_s):
    process = start(SIGNALLED, turn_s)
    time.sleep(lead_s)
    context.sent_ms = monotonic_ms()
    process.send_signal(signal.SIGTERM)
    output = read_rest(process, 5)
    context.found_ms = tuple(map(int, output.split()))


@then("the signal counts as sent then, but for the time in which the process did not run")
def counts_processor_time(context):
    sent_ms, recorded_ms, held_up_ms = context.found_ms
    # The turn began a little before its first measure.
    earliest_ms = context.sent_ms - held_up_ms - 50
    assert earliest_ms <= sent_ms <= recorded_ms, (earliest_ms, context.found_ms)


@when("an event loop handles a signal {after_ms:g} ms after it {ran}, {cpu_ms:g} ms of them run")
def handled_after(context, after_ms, ran, cpu_ms):
    meter = LoopMeter()
    meter.begin_wait(1000.0, 70.0, 0.0 if ran == "began a turn" else 100.0)
    if ran == "began a turn":
        meter.end_wait(1001.0, True, 71.0)
        context.held_up_ms = meter.held_up_ms(1001.0 + after_ms, 71.0 + cpu_ms)
    else:
        context.held_up_ms = meter.held_up_ms(1000.0 + after_ms, 70.0 + cpu_ms)


@when("an event loop is suspended for 900 ms in {what}, and handles a signal {after_ms:g} ms later")
def handled_after_suspension(context, what, after_ms):
    meter = LoopMeter()
    meter.begin_wait(1000.0, 70.0, 100.0)
    if what == "a turn":
        meter.end_wait(1000.0, True, 70.0)
        meter.begin_wait(1900.0, 70.0, 100.0)
    meter.end_wait(1900.0, True, 70.0)
    context.held_up_ms = meter.held_up_ms(1900.0 + after_ms, 70.0 + after_ms)


@when("a busy process of four threads gets SIGTERM in each of {count:d} suspensions")
def suspended_often(context, count):
    process = start(BUSY)
    context.found_ms = []
    for _ in range(count):
        time.sleep(0.2)
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.1)
        sent_ms = monotonic_ms()
        process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        process.send_signal(signal.SIGCONT)
        context.found_ms.append((sent_ms, int(process.stdout.readline())))
    process.kill()
    process.communicate()


@then("each signal counts as sent no later than it was")
def none_later(context):
    late = [(sent_ms, found_ms) for sent_ms, found_ms in context.found_ms if found_ms > sent_ms]
    assert not late, late


@then("the signal may have been pending for {held_up_ms:g} ms")
def may_have_been_pending(context, held_up_ms):
    assert context.held_up_ms == held_up_ms, context.held_up_ms


@when("a process is made to exit within 0.5 s while {what} does not end")
def made_to_exit(context, what):
    process, began_s = start(EXITING, what), time.monotonic()
    context.output = read_rest(process, 20)
    context.took_s, context.status = time.monotonic() - began_s, process.returncode


@then("it exits with status 0 within a second, and its last line is written")
def exits_in_time(context):
    assert context.status == 0 and context.took_s < 1, (context.status, context.took_s)
    assert "event=last" in context.output and "event=exit_forced" in context.output


@when("a process gets SIGTERM while its event loop hangs as it {what}, and is to exit in 0.5 s")
def hangs_at_stop(context, what):
    process = start(HANGING, what)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    began_s = time.monotonic()
    try:
        context.output = read_rest(process, 10)
    finally:
        process.kill()
    context.took_s, context.status = time.monotonic() - began_s, process.returncode


@when("a process exits at the end of its work while an exit handler does not end")
def exits_after_work(context):
    process, began_s = start(ENDED), time.monotonic()
    context.output = read_rest(process, 20)
    context.took_s, context.status = time.monotonic() - began_s, process.returncode


@then("it exits with status 0 at once, and its last line is written")
def exits_at_once(context):
    assert context.status == 0 and context.took_s < 1, (context.status, context.took_s)
    assert "event=last" in context.output and "event=exit_forced" not in context.output
