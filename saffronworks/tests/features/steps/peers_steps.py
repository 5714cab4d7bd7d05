"""Sockets between nodes, over loopback."""

import anyio
from behave import given, then, when

from saffronworks.forwarding.planning import messages
from saffronworks.forwarding.planning.messages import MemoryQueued
from saffronworks.kernel import Kernel
from saffronworks.peers import IDLE_MS, Outgoing, PeerService
from saffronworks.standins.addresses import free_address
from saffronworks.wire import Codec


class Peer:
    """A node that runs only its peer sockets; `heard` lists the messages received."""

    name = "listener"

    def __init__(self):
        self.now_ms, self.heard = 0, []
        self.kernel = Kernel("n", lambda: self.now_ms)
        self.service = PeerService(free_address(), Codec(messages))
        self.service.listen()
        self.kernel.register(self.service)
        self.kernel.register(self, MemoryQueued)

    async def run(self, kernel, mailbox):
        async for message in mailbox:
            self.heard.append(message.request_id)

    def send(self, other, text):
        self.kernel.post("peers", Outgoing(other.service.address, MemoryQueued(text)))


async def arrives(peer, text):
    with anyio.fail_after(3):
        while text not in peer.heard:
            await anyio.sleep(0.01)


@given("a node that last sent a message to a peer a minute ago")
@when("it sends a message to another peer")
def send_to_both(context):
    if "open" in context:
        return

    async def main():
        one, other, third = Peer(), Peer(), Peer()
        async with anyio.create_task_group() as tasks:
            for peer in (one, other, third):
                peer.kernel.start(tasks)
            one.send(other, "first")
            await arrives(other, "first")
            one.now_ms += IDLE_MS
            one.send(third, "second")
            await arrives(third, "second")
            context.open = set(one.service._links) - {third.service.address}
            one.send(other, "later")
            await arrives(other, "later")
            context.heard = other.heard
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("the socket to the first peer is closed")
def closed(context):
    assert context.open == set()


@then("a later message to the first peer arrives")
def arrived(context):
    assert context.heard == ["first", "later"]


@given("two nodes of which one reports more tokens than an integer of a message holds")
def two_nodes(context):
    tokens = int("9" * 18) * 63
    run = messages.LiveRun("r", "e", 0, 0, 0, 0, made_tokens=tokens)
    context.report = messages.MemoryReport("n", "s", (run,))


@when("the first one sends another message to the same peer")
def send_report_and_another(context):
    async def main():
        one, other = Peer(), Peer()
        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            other.kernel.start(tasks)
            one.kernel.post("peers", Outgoing(other.service.address, context.report))
            one.send(other, "after")
            await arrives(other, "after")
            context.heard = other.heard
            other.send(one, "back")
            await arrives(one, "back")
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it arrives, and the first node's services run on")
def arrived_after(context):
    assert context.heard == ["after"]


@given("two nodes of which one lost its listener")
@when("the other one sends it a message")
def lose_listener(context):
    if "heard" in context:
        return

    async def main():
        one, other = Peer(), Peer()
        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            other.kernel.start(tasks)
            other.send(one, "first")
            await arrives(one, "first")
            one.service._listener.close()
            with anyio.fail_after(3):
                while "again" not in one.heard:
                    other.send(one, "again")
                    await anyio.sleep(0.05)
            context.heard, context.failures = one.heard, one.kernel.failures
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("it arrives, and the failure is counted")
def counted(context):
    assert "again" in context.heard
    assert context.failures == {"peers": 1}, context.failures
