"""Sockets between nodes, over loopback."""

import asyncio
import contextlib
import itertools
import random
import socket
from unittest.mock import Mock, patch

import anyio
import pynng
from behave import given, then, when

from saffronworks.clocks import monotonic_ms
from saffronworks.dial_backoff import CONNECT_MS, FIRST_PAUSE_MS, MAX_DIALS_PER_S, DialBackoff
from saffronworks.forwarding.endpoint_limits.service import EndpointLimits
from saffronworks.forwarding.planning import messages
from saffronworks.forwarding.planning.client import MemoryClient
from saffronworks.forwarding.planning.messages import MemoryQueued
from saffronworks.forwarding.quotas.service import Quotas
from saffronworks.forwarding.shares.limits import Tolerance
from saffronworks.forwarding.tuning import STARTUP_MS
from saffronworks.kernel import Kernel
from saffronworks.peers import (
    CONNECTING_MESSAGES,
    IDLE_MS,
    Outgoing,
    PeerReached,
    PeerService,
)
from saffronworks.standins.addresses import free_address
from saffronworks.web import bind
from saffronworks.wire import Codec


class Peer:
    """A node that runs only its peer sockets; `heard` lists the messages received."""

    name = "listener"

    def __init__(self, clock=None, address=None):
        self.now_ms, self.heard = 0, []
        self.kernel = Kernel("n", clock or (lambda: self.now_ms))
        self.service = PeerService(address or free_address(), Codec(messages))
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


@when("a node sends messages to an address that can't be dialled")
def send_to_invalid(context):
    context.sockets = []

    def open_socket(**options):
        context.sockets.append(Mock(**{"dial.side_effect": pynng.AddressInvalid("", 15)}))
        return context.sockets[-1]

    with patch("saffronworks.peers.pynng.Push0", open_socket):
        kernel, peers = Kernel("n", lambda: 0), PeerService("127.0.0.1:1", Codec(messages))
        for number in range(3):
            try:
                peers._handle(Outgoing("no-address", MemoryQueued(str(number))), 0)
            except pynng.NNGException:
                kernel.drop(peers.name, number)
    context.dropped, context.links = kernel.dropped["peers"], peers._links


@then("each of them is counted as failed, and no socket stays open")
def no_socket_open(context):
    assert context.dropped == 3 and not context.links
    assert len(context.sockets) == 3 and all(one.close.called for one in context.sockets)


@when("a node sends 300 messages to a peer that refuses connections")
def send_to_refusing(context):
    async def main():
        one, address = Peer(), free_address()
        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            for number in range(300):
                one.kernel.post("peers", Outgoing(address, MemoryQueued(str(number))))
                one.now_ms += 10
                await anyio.sleep(0.01)
            context.peers = one.service
            context.may_dial = one.service._backoff.may_dial(address, one.now_ms)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("few of them are kept, and the peer is dialled again after a pause")
def few_kept(context):
    dials = 3000 // (CONNECT_MS + FIRST_PAUSE_MS)
    assert context.peers.sent_messages <= dials * CONNECTING_MESSAGES, context.peers.sent_messages
    assert context.peers.dropped >= 300 - dials * CONNECTING_MESSAGES, context.peers.dropped
    assert len(context.peers._backoff) == 1


def dial_times(peers, until_ms):
    """Return when each of the unreachable peers is dialled, if all are always sent to."""
    backoff = DialBackoff(random.Random(1))
    dialled, ends_ms = {f"p{number}:1": [] for number in range(peers)}, {}
    for now_ms in range(0, until_ms, 50):
        for peer in [one for one, end_ms in ends_ms.items() if end_ms <= now_ms]:
            del ends_ms[peer]
            backoff.record_unreached(peer, now_ms)
        for peer, times_ms in dialled.items():
            if peer not in ends_ms and backoff.may_dial(peer, now_ms):
                times_ms.append(now_ms)
                ends_ms[peer] = now_ms + backoff.connect_ms(peer)
    return dialled


@then(
    "60 or 195 dead peers are dialled {per_s:d} times a second at most, and 5 every {gap_s:g} s "
    "at least"
)
def few_dials(context, per_s, gap_s):
    for peers in (60, 195):
        times_ms = [at_ms for one in dial_times(peers, 60_000).values() for at_ms in one]
        later = [at_ms for at_ms in times_ms if at_ms > 10_000]
        assert len(later) <= per_s * 50, (peers, len(later))
    for times_ms in dial_times(5, 60_000).values():
        gaps = [later - before for before, later in itertools.pairwise(times_ms)]
        assert max(gaps) <= gap_s * 1000 + CONNECT_MS + 50, max(gaps)


@given("a peer that is up and takes {delay_s:g} s to connect")
def slow_to_connect(context, delay_s):
    context.delay_s = delay_s


@when("a node sends messages to it for {for_s:g} s")
def send_to_slow(context, for_s):
    async def main():
        one, other = Peer(monotonic_ms), Peer(monotonic_ms)
        front = bind("127.0.0.1:0")
        host, port = front.getsockname()
        context.heard = other.heard

        async def carry(reader, writer):
            await anyio.sleep(context.delay_s)
            target = await asyncio.open_connection(*other.service.address.split(":"))
            async with anyio.create_task_group() as both:
                both.start_soon(pump, reader, target[1])
                both.start_soon(pump, target[0], writer)

        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            other.kernel.start(tasks)
            server = await asyncio.start_server(carry, sock=front)
            for number in range(int(for_s / 0.25)):
                one.kernel.post("peers", Outgoing(f"{host}:{port}", MemoryQueued(str(number))))
                await anyio.sleep(0.25)
            server.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def pump(reader, writer):
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(4096):
            writer.write(data)
            await writer.drain()
    writer.close()


@then("most of them arrive")
def most_arrive(context):
    assert len(context.heard) >= 12, context.heard


@given("a peer whose connects hang for {hang_s:g} s, and a node that sends to it")
def hanging(context, hang_s):
    context.hang_s = hang_s


@when("the peer returns")
def returns(context):
    async def main():
        one, address = Peer(monotonic_ms), free_address()
        # A listener whose queue is full ignores further connects.
        full = bind(address)
        full.listen(0)
        waiting = [socket.socket() for _ in range(2)]
        for client in waiting:
            client.setblocking(False)
            client.connect_ex(full.getsockname())
        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            tasks.start_soon(send_often, one, address)
            await anyio.sleep(context.hang_s)
            for open_socket in (*waiting, full):
                open_socket.close()
            other = Peer(monotonic_ms, address)
            other.kernel.start(tasks)
            began_s = anyio.current_time()
            with anyio.move_on_after(10):
                while not other.heard:
                    await anyio.sleep(0.01)
            context.took_s = anyio.current_time() - began_s
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def send_often(peer, address):
    while True:
        peer.kernel.post("peers", Outgoing(address, MemoryQueued("again")))
        await anyio.sleep(0.05)


@then("a message arrives within {within_s:g} s")
def arrives_soon(context, within_s):
    assert context.took_s <= within_s, context.took_s


@then("the next message to its machine needs no pause")
def no_pause(context):
    backoff = DialBackoff(random.Random(1))
    for _ in range(9):
        for peer in ("10.0.0.1:5", "10.0.0.2:5"):
            backoff.record_unreached(peer, 0)
    backoff.end_pauses("10.0.0.1")
    assert backoff.may_dial("10.0.0.1:5", 0) and not backoff.may_dial("10.0.0.2:5", 0)
    # A failure after that begins with the shortest pause again, not without one.
    backoff.record_unreached("10.0.0.1:5", 0)
    assert not backoff.may_dial("10.0.0.1:5", 10)


@then("the pause of a peer shrinks as others are reached again")
def pause_shrinks(context):
    backoff = DialBackoff(random.Random(1))
    peers = [f"p{number}:1" for number in range(200)]
    for peer in peers:
        backoff.record_unreached(peer, 0)
    assert not backoff.may_dial("p0:1", 200 * 1000 // MAX_DIALS_PER_S // 2)
    for peer in peers[1:]:
        backoff.record_reached(peer, 100)
    assert backoff.may_dial("p0:1", 2 * FIRST_PAUSE_MS)


@given("a node that has avoided an unreachable peer for seconds, and sends nothing to it any more")
def avoided(context):
    async def main():
        one, address = Peer(monotonic_ms), free_address()
        services = [
            MemoryClient("n", -STARTUP_MS),
            EndpointLimits("n", 1, random.Random(1), lambda: -STARTUP_MS),
            Quotas("n", Tolerance(1000, 0.0, 0.0), 1, lambda: None, lambda: -STARTUP_MS),
        ]
        choices = [services[0].choice, *(one.shared_limit.entry.choice for one in services[1:])]
        for service in services:
            one.kernel.register(service, PeerReached)
        async with anyio.create_task_group() as tasks:
            one.kernel.start(tasks)
            one.send(Mock(service=Mock(address=address)), "lost")
            await anyio.sleep(2.5)
            for choice in choices:
                # Doubled with each failure in a row.
                for after_ms in (-20_000, -15_000, -10_000, 0):
                    choice.avoid(address, monotonic_ms() + after_ms)
            Peer(monotonic_ms, address).kernel.start(tasks)
            await anyio.sleep(2.4)
            context.avoided = [choice.is_avoided(address, monotonic_ms()) for choice in choices]
            tasks.cancel_scope.cancel()

    anyio.run(main)


@then("2.4 s after its return no service of the node avoids the peer")
def not_avoided(context):
    assert context.avoided == [False] * 3, context.avoided


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
