"""The service that carries messages between nodes, by pynng push and pull sockets.

Messages are one way and may be lost: a full queue drops them. All protocols above bear it.
A peer that can't be reached gets none, and is dialled again only after a pause.
"""

import asyncio
import logging
import random
from collections import Counter

import anyio
import attrs
import pynng
from result import Err, Ok

from saffronworks.dial_backoff import CONNECT_MS, MAX_CONNECT_MS, DialBackoff
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.wire import Codec, Decoded

__all__ = ["CloseTo", "Outgoing", "PeerReached", "PeerService"]

logger = logging.getLogger(__name__)

SEND_MESSAGES = 512
RECEIVE_MESSAGES = 2048
RECONNECT_MIN_MS = 200
# Messages that wait for a connection.
CONNECTING_MESSAGES = 32
SWEEP_INTERVAL_S = 0.25
# A socket that carried nothing for so long is closed when the next one is opened: nodes that tell
# any other now and then would have one to each in the end, dead ones among them.
IDLE_MS = 60_000


@attrs.frozen
class Outgoing:
    """Send a message to a peer's address."""

    address: str
    message: object


@attrs.frozen
class CloseTo:
    """Close the socket to an address that is gone."""

    address: str


@attrs.frozen
class PeerReached:
    """A peer that could not be reached is connected again; announced to services."""

    address: str


@attrs.define
class _Link:
    """The socket to one peer, when it was used last, and since when it has no connection."""

    socket: pynng.Push0
    used_ms: int
    down_since_ms: int | None
    connect_ms: int
    waiting: int = 0

    def update(self, now_ms: int) -> bool:
        """Return whether it is connected."""
        if self.socket.pipes:
            self.down_since_ms, self.waiting = None, 0
        elif self.down_since_ms is None:
            self.down_since_ms = now_ms
        return self.down_since_ms is None


class PeerService:
    """Owns the sockets to and from other nodes."""

    name = "peers"

    def __init__(self, address: str, codec: Codec):
        self.address = address
        self._codec = codec
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_bytes = 0
        self.received_messages = 0
        self.dropped = 0
        # Messages that could not be read, and items of messages that could not be sent or read.
        self.unusable: Counter[str] = Counter()
        self.cut_from: set[str] = set()
        self._links: dict[str, _Link] = {}
        self._backoff = DialBackoff(random.Random(address))
        self._listener: pynng.Pull0 | None = None

    def listen(self) -> None:
        """Bind the socket; call it before `run`, so that the node fails early."""
        listener = pynng.Pull0(recv_buffer_size=RECEIVE_MESSAGES)
        try:
            listener.listen(f"tcp://{self.address}")
        except pynng.NNGException:
            listener.close()
            raise
        self._listener = listener

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Carry messages both ways until cancelled."""
        if self._listener is None:
            self.listen()
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        # pynng calls this in a thread of its own.
        self._listener.add_post_pipe_connect_cb(
            lambda pipe: loop.call_soon_threadsafe(self._end_pauses, str(pipe.remote_address))
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive, kernel, self._listener)
                tasks.start_soon(self._sweep, kernel)
                await kernel.dispatch(
                    self.name, mailbox, lambda message: self._handle(message, kernel.now_ms())
                )
        finally:
            for link in self._links.values():
                link.socket.close()
            self._links.clear()
            self._listener.close()
            self._listener = None

    def _handle(self, message: Outgoing | CloseTo, now_ms: int) -> None:
        match message:
            case Outgoing():
                self._send(message, now_ms)
            case CloseTo():
                self._backoff.record_reached(message.address, now_ms)
                if message.address in self._links:
                    self._links.pop(message.address).socket.close()

    def _send(self, outgoing: Outgoing, now_ms: int) -> None:
        if outgoing.address in self.cut_from:
            return
        link = self._links.get(outgoing.address)
        if link is None:
            if not self._backoff.may_dial(outgoing.address, now_ms):
                self.dropped += 1
                return
            link = self._open(outgoing.address, now_ms)
        link.used_ms = now_ms
        if not link.update(now_ms):
            if link.waiting >= CONNECTING_MESSAGES:
                self.dropped += 1
                return
            link.waiting += 1
        encoded = self._codec.encode_valid_items(outgoing.message)
        self._record_dropped_items(encoded.dropped, f"to {outgoing.address}", outgoing.message)
        try:
            link.socket.send(encoded.data, block=False)
        except pynng.TryAgain:
            self.dropped += 1
            return
        except pynng.NNGException as error:
            self.dropped += 1
            self._links.pop(outgoing.address).socket.close()
            logger.warning(
                "event=peer_send_failed peer=%s problem=%r", outgoing.address, str(error)
            )
            return
        self.sent_bytes += len(encoded.data)
        self.sent_messages += 1

    def _record_dropped_items(self, problems: tuple[str, ...], way: str, message: object) -> None:
        """Log and count the items that a message lacks because they can't be sent or read."""
        if problems:
            self.unusable["items"] += len(problems)
            logger.warning(
                "event=message_items_dropped kind=%s way=%r items=%d problem=%r",
                type(message).__name__,
                way,
                len(problems),
                problems[0],
            )

    def _open(self, address: str, now_ms: int) -> _Link:
        for idle in [a for a, link in self._links.items() if now_ms - link.used_ms >= IDLE_MS]:
            self._links.pop(idle).socket.close()
        # A peer that was unreachable is dialled about once, others repeatedly.
        retries = self._backoff.is_unreached(address)
        socket = pynng.Push0(
            send_buffer_size=SEND_MESSAGES,
            reconnect_time_min=MAX_CONNECT_MS if retries else RECONNECT_MIN_MS,
            reconnect_time_max=MAX_CONNECT_MS,
        )
        try:
            socket.dial(f"tcp://{address}", block=False)
        except Exception:
            socket.close()
            raise
        self._links[address] = _Link(socket, now_ms, now_ms, self._backoff.connect_ms(address))
        return self._links[address]

    async def _sweep(self, kernel: Kernel) -> None:
        """Close sockets to peers that can't be reached, and dial them again, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now_ms = kernel.now_ms()
            for address, link in list(self._links.items()):
                kernel.attempt(self.name, self._check, kernel, address, link, now_ms)
            for address in self._backoff.due(now_ms):
                if address not in self._links:
                    self._dial_again(address, now_ms)

    def _dial_again(self, address: str, now_ms: int) -> None:
        try:
            self._open(address, now_ms)
        except Exception:
            logger.exception("event=peer_dial_failed peer=%s", address)
            self._backoff.record_unreached(address, now_ms)

    def _check(self, kernel: Kernel, address: str, link: _Link, now_ms: int) -> None:
        if link.update(now_ms):
            link.connect_ms = CONNECT_MS
            down_ms = self._backoff.record_reached(address, now_ms)
            if down_ms is not None:
                logger.info("event=peer_reached peer=%s down_ms=%d", address, down_ms)
                kernel.announce(PeerReached(address))
        elif now_ms - (link.down_since_ms or 0) >= link.connect_ms:
            self._links.pop(address).socket.close()
            if self._backoff.record_unreached(address, now_ms):
                logger.info("event=peer_unreached peer=%s peers=%d", address, len(self._backoff))

    def _end_pauses(self, peer: str) -> None:
        """Dial a peer at the next message if its machine has connected to this node."""
        self._backoff.end_pauses(peer.rpartition(":")[0])

    async def _receive(self, kernel: Kernel, listener: pynng.Pull0) -> None:
        while True:
            data = await listener.arecv()
            self.received_bytes += len(data)
            self.received_messages += 1
            match self._codec.decode_valid_items(data):
                case Ok(Decoded(message, dropped)):
                    self._record_dropped_items(dropped, "from a peer", message)
                    kernel.announce(message)
                case Err(problem):
                    self.unusable["messages"] += 1
                    logger.warning("event=bad_message node=%s problem=%r", kernel.node, problem)
