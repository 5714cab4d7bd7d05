"""The service that carries messages between nodes, by pynng push and pull sockets.

Messages are one way and may be lost: a full queue drops them. All protocols above bear it.
"""

import logging

import anyio
import attrs
import pynng
from result import Ok

from saffronworks.kernel import Kernel, Mailbox
from saffronworks.wire import Codec

__all__ = ["CloseTo", "Outgoing", "PeerService"]

logger = logging.getLogger(__name__)

SEND_MESSAGES = 512
RECEIVE_MESSAGES = 2048
RECONNECT_MOST_MS = 1000
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


@attrs.define
class _Link:
    """The socket to one peer, and when it was used last."""

    socket: pynng.Push0
    used_ms: int


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
        self.cut_from: set[str] = set()
        self._links: dict[str, _Link] = {}
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
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._receive, kernel, self._listener)
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
            case CloseTo() if message.address in self._links:
                self._links.pop(message.address).socket.close()

    def _send(self, outgoing: Outgoing, now_ms: int) -> None:
        if outgoing.address in self.cut_from:
            return
        data = self._codec.encode(outgoing.message)
        link = self._links.get(outgoing.address) or self._open(outgoing.address, now_ms)
        link.used_ms = now_ms
        try:
            link.socket.send(data, block=False)
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
        self.sent_bytes += len(data)
        self.sent_messages += 1

    def _open(self, address: str, now_ms: int) -> _Link:
        for idle in [a for a, link in self._links.items() if now_ms - link.used_ms >= IDLE_MS]:
            self._links.pop(idle).socket.close()
        socket = pynng.Push0(
            send_buffer_size=SEND_MESSAGES,
            reconnect_time_min=50,
            reconnect_time_max=RECONNECT_MOST_MS,
        )
        try:
            socket.dial(f"tcp://{address}", block=False)
        except Exception:
            socket.close()
            raise
        self._links[address] = _Link(socket, now_ms)
        return self._links[address]

    async def _receive(self, kernel: Kernel, listener: pynng.Pull0) -> None:
        while True:
            data = await listener.arecv()
            self.received_bytes += len(data)
            self.received_messages += 1
            decoded = self._codec.decode(data)
            if isinstance(decoded, Ok):
                kernel.announce(decoded.ok_value)
            else:
                logger.warning("event=bad_message node=%s problem=%r", kernel.node, decoded.err())
