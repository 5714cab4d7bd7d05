"""Scenarios on the proxies of a soak."""

import asyncio
import os
import signal
import socket

import anyio
from behave import then, when

from saffronworks.standins.addresses import free_address
from saffronworks.tests.soak.proxies import Proxy
from saffronworks.tests.soak.proxy_processes import ProxyProcess
from saffronworks.web import bind, parse_address

LIMIT_S = 5.0
STOPPED_S = 0.6


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def ask(address):
    """Return what comes back over an address, or the error."""
    try:
        reader, writer = await asyncio.open_connection(*parse_address(address))
        writer.write(b"a")
        data = await reader.read(100)
        writer.close()
    except OSError as error:
        return type(error)
    return data


async def play_remote():
    target, address, lags = free_address(), free_address(), []
    server = await asyncio.start_server(echo, *parse_address(target))
    process = ProxyProcess(lambda *times_s: lags.append(times_s))
    try:
        process.start()
        proxy = process.add(Proxy, target, address)
        await process.sync()
        seen = [await ask(address)]
        for method in (lambda: proxy.begin("reset"), proxy.end, proxy.refuse):
            method()
            await process.sync()
            seen.append(await ask(address))
        proxy.listen()
        with anyio.fail_after(LIMIT_S):
            while await ask(address) != b"a":
                await anyio.sleep(0.02)
            lags.clear()
            os.kill(process.pid, signal.SIGSTOP)
            await anyio.sleep(STOPPED_S)
            os.kill(process.pid, signal.SIGCONT)
            while all(woke_s - due_s < STOPPED_S / 2 for due_s, woke_s in lags):
                await anyio.sleep(0.02)
    finally:
        process.end()
        server.close()
    return seen


@when("a proxy in a process of its own resets, carries again and refuses, and stands still")
def step_remote(context):
    context.seen = anyio.run(play_remote)


@then("connections are carried, reset and refused like that, and the stall is known")
def step_remote_seen(context):
    carried, was_reset, again, refused = context.seen
    assert carried == again == b"a", context.seen
    assert was_reset in (ConnectionResetError, b""), context.seen
    assert refused is ConnectionRefusedError, context.seen


async def play_abandoned():
    listener = bind(free_address())
    listener.setblocking(True)
    listener.listen()
    host, port = listener.getsockname()
    proxy = Proxy(f"{host}:{port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(proxy.run)
        await proxy.started.wait()
        # Ended before the event loop of the proxy accepts it.
        socket.create_connection(parse_address(proxy.address)).close()
        far, _ = await anyio.to_thread.run_sync(listener.accept)
        far.settimeout(LIMIT_S)
        try:
            return await anyio.to_thread.run_sync(far.recv, 1)
        except ConnectionResetError as error:
            return error
        finally:
            far.close()
            listener.close()
            tasks.cancel_scope.cancel()


@when("a caller ends its connection before the proxy carries it")
def step_abandoned(context):
    context.seen = anyio.run(play_abandoned)


@then("the proxy closes both of its sockets at once")
def step_abandoned_closed(context):
    assert isinstance(context.seen, ConnectionResetError), context.seen
