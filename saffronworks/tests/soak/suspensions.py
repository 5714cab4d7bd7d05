"""Streams of an endpoint that can be suspended like a process under SIGSTOP.

Connections are accepted and bytes received meanwhile, as the kernel does; the endpoint reads and
writes nothing, and sees closed connections only after it is resumed.
"""

import asyncio

__all__ = ["SuspendableReader", "SuspendableWriter"]


class SuspendableReader:
    """Returns nothing while `awake` is not set; `arrived_ms` is when the last head arrived."""

    def __init__(self, reader: asyncio.StreamReader, awake: asyncio.Event, now_ms) -> None:
        self._reader = reader
        self._awake = awake
        self._now_ms = now_ms
        self.arrived_ms = 0.0

    async def read(self, count: int) -> bytes:
        return await self._resumed(await self._reader.read(count))

    async def readexactly(self, count: int) -> bytes:
        return await self._resumed(await self._reader.readexactly(count))

    async def readuntil(self, separator: bytes) -> bytes:
        data = await self._reader.readuntil(separator)
        self.arrived_ms = self._now_ms()
        return await self._resumed(data)

    async def _resumed(self, data: bytes) -> bytes:
        await self._awake.wait()
        return data


class SuspendableWriter:
    """Holds back what is written while `awake` is not set.

    `busy` is whether an answer is being written; `request_id` is that of the current request.
    """

    def __init__(self, writer: asyncio.StreamWriter, awake: asyncio.Event) -> None:
        self._writer = writer
        self._awake = awake
        self._held: list[bytes] = []
        self.busy = self.copy_pending = False
        self.request_id = ""

    @property
    def transport(self) -> asyncio.WriteTransport:
        return self._writer.transport

    def write(self, data: bytes) -> None:
        if self._awake.is_set() and not self._held:
            self._writer.write(data)
        else:
            self._held.append(data)

    async def drain(self) -> None:
        if self._held:
            await self._awake.wait()
            held, self._held = self._held, []
            self._writer.write(b"".join(held))
        await self._writer.drain()

    def is_closing(self) -> bool:
        return self._writer.is_closing()

    def close(self) -> None:
        self._writer.close()

    def get_extra_info(self, name: str):
        return self._writer.get_extra_info(name)
