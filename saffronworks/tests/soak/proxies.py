"""A loopback proxy that delays, resets or drops what passes through it."""

import asyncio
import contextlib
import socket
import struct

from saffronworks.standins.addresses import free_address

__all__ = ["Proxy"]

DELAY_S = 0.15
CHUNK_BYTES = 65_536
UP, DOWN = "up", "down"


class Proxy:
    """Forwards connections to one address; `fault` is one of `faults.LINK_KINDS` or None.

    While it drops bytes, both connections stay open. They remain silent after the fault, because
    the dropped bytes are lost.
    """

    def __init__(self, target, address=None):
        self.target = target
        self.address = address or free_address()
        self.fault = None
        self._writers = set()
        self._refuses, self._listens, self._closed = (asyncio.Event() for _ in range(3))
        self.started = asyncio.Event()

    async def run(self):
        host, port = self.address.split(":")
        while True:
            self._closed.clear()
            server = await asyncio.start_server(self._serve, host, int(port))
            async with server:
                self.started.set()
                await self._refuses.wait()
            self._closed.set()
            await self._listens.wait()

    def refuse(self):
        """Reset every connection and refuse new ones, like the port of an ended process."""
        self._listens.clear()
        self._refuses.set()
        self._reset_all()

    async def stop_listening(self):
        """Refuse new connections; open ones live on."""
        self._listens.clear()
        self._refuses.set()
        await self._closed.wait()

    def _reset_all(self):
        for writer in list(self._writers):
            _reset(writer)

    def listen(self):
        self._refuses.clear()
        self._listens.set()

    def begin(self, kind):
        """Start a fault; a reset also affects the open connections."""
        self.fault = kind
        if kind == "reset":
            self._reset_all()

    def end(self):
        self.fault = None

    async def _serve(self, reader, writer):
        if self.fault == "reset":
            _reset(writer)
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        if reader.at_eof():
            # The caller gave up its attempt meanwhile.
            _reset(writer)
            _reset(far_writer)
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._pass(reader, far_writer, UP))
                tasks.create_task(self._pass(far_reader, writer, DOWN))
        except asyncio.CancelledError:
            # At the end of the soak asyncio would report the cancellation as an error.
            return
        finally:
            self._writers -= {writer, far_writer}
            for end in (writer, far_writer):
                end.close()

    async def _pass(self, reader, writer, way):
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault == "delay":
                    await asyncio.sleep(DELAY_S)
                lost = lost or self.fault in ("silent", f"cut-{way}")
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if lost:
                return
            writer.write_eof()
            return
        if not lost:
            _reset(writer)


def _reset(writer):
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
