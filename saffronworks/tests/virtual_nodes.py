"""Connects the services of several nodes in virtual time: real kernels and messages, no sockets."""

import random
from collections import Counter

import anyio
import msgspec

from saffronworks import peers
from saffronworks.dial_backoff import CONNECT_MS
from saffronworks.kernel import Kernel
from saffronworks.peers import PeerService

__all__ = ["Switch", "VirtualNode", "make_failing"]


class Switch:
    """Delivers encoded messages after 1 to 5 ms; `change(name, body)` may replace a message."""

    def __init__(self, loop, seed):
        self._loop, self._rng = loop, random.Random(seed)
        self._listeners = {}
        self.away = set()
        self.sent = Counter()
        self.change = lambda name, body: body

    def listen(self, address):
        """Return the listener of an address."""
        self._listeners[address] = _Listener()
        return self._listeners[address]

    def send(self, source, target, data):
        """Send a message, unless one of the nodes is away."""
        name, body = msgspec.msgpack.decode(data)
        self.sent[name] += 1
        changed = self.change(name, body)
        if changed is None or {source, target} & self.away:
            return
        if changed is not body:
            data = msgspec.msgpack.encode((name, changed))
        self._loop.call_later(self._rng.uniform(0.001, 0.005), self._deliver, target, data)

    def _deliver(self, target, data):
        if target in self._listeners and target not in self.away:
            self._listeners[target].put(data)


class _Listener:
    def __init__(self):
        self._outbox, self._inbox = anyio.create_memory_object_stream(100_000)

    def put(self, data):
        self._outbox.send_nowait(data)

    def add_post_pipe_connect_cb(self, callback):
        """No peer connects."""

    async def arecv(self):
        return await self._inbox.receive()

    def close(self):
        """Nothing to close."""


class _Socket:
    pipes = (1,)

    def __init__(self, switch, source, target):
        self._switch, self._source, self._target = switch, source, target

    def send(self, data, block):
        self._switch.send(self._source, self._target, data)

    def close(self):
        """Nothing to close."""


class _VirtualPeers(PeerService):
    """The service of peers on a switch."""

    def __init__(self, address, codec, switch):
        super().__init__(address, codec)
        self._switch = switch

    def listen(self):
        self._listener = self._switch.listen(self.address)

    def _open(self, address, now_ms):
        socket = _Socket(self._switch, self.address, address)
        self._links[address] = peers._Link(socket, now_ms, None, CONNECT_MS)
        return self._links[address]


class VirtualNode:
    """A kernel with the service of peers; further services are registered by the test."""

    def __init__(self, address, codec, switch, now_ms):
        self.address = address
        self.kernel = Kernel(address, now_ms)
        self.peers = _VirtualPeers(address, codec, switch)
        self.kernel.register(self.peers)


class Trigger:
    """Makes a service raise each time that it is set."""

    def __init__(self):
        self._event = anyio.Event()

    def set(self):
        self._event.set()

    async def wait(self):
        await self._event.wait()
        self._event = anyio.Event()
        raise RuntimeError("a test's failure")


def make_failing(service):
    """Return a trigger that makes the running service raise."""
    run, trigger = service.run, Trigger()

    async def run_until_triggered(kernel, mailbox):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(trigger.wait)
            await run(kernel, mailbox)

    service.run = run_until_triggered
    return trigger
