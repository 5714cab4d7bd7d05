"""A server that sends large answers over loopback, and callers that read at a given rate."""

import asyncio
import socket

from saffronworks.tests.platform_fakes import FakeServer

PART_BYTES = 65_536
# The server aborts an answer of which nothing was read for this long.
CUT_AFTER_S = 8.0
# Small, so that bytes that a caller does not read stay in the node.
CALLER_BUFFER_BYTES = 16_384
# Most time that a caller reads nothing; the node disconnects it earlier.
MAX_IDLE_S = 12.0


class LargeServer(FakeServer):
    """Answers with the number of bytes in the last part of the path."""

    def __init__(self, instance, service):
        super().__init__(instance, service)
        self.unread = []

    async def _plain(self, writer, own, body, fault):
        size_bytes = int(self.seen[-1][1].rpartition("/")[2])
        await self._head(writer, 200, own | {"Content-Length": str(size_bytes)})
        try:
            for start in range(0, size_bytes, PART_BYTES):
                writer.write(b"x" * min(PART_BYTES, size_bytes - start))
                async with asyncio.timeout(CUT_AFTER_S):
                    await writer.drain()
        except TimeoutError:
            self.unread.append(own["Request-Id"])
            writer.transport.abort()
            return False
        except ConnectionError:
            self.left.append(own["Request-Id"])
            return False
        return True


class Reader:
    """A caller that reads `part_bytes` every `pause_s`, or nothing if `part_bytes` is 0."""

    def __init__(self, address, request_id, size_bytes, part_bytes=PART_BYTES, pause_s=0.0):
        self.request_id = request_id
        self.received_bytes = 0
        self.cut = False
        self.took_s = None
        self._address = address
        self._size_bytes = size_bytes
        self._part_bytes = part_bytes
        self._pause_s = pause_s

    @property
    def whole(self):
        return self.received_bytes > self._size_bytes

    async def run(self, until):
        """Read to the end; a caller that reads nothing first waits for `until()`."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        sock.setblocking(False)
        host, port = self._address.split(":")
        await loop.sock_connect(sock, (host, int(port)))
        fields = f"Host: h.example\r\nRequest-Id: {self.request_id}\r\nDeadline-Ms: 20000\r\n"
        head = f"POST /large/{self._size_bytes} HTTP/1.1\r\n{fields}Connection: close\r\n"
        await loop.sock_sendall(sock, f"{head}Content-Length: 0\r\n\r\n".encode())
        try:
            await self._read(loop, sock, until)
        except ConnectionError:
            self.cut = True
        self.took_s = loop.time() - began_s
        sock.close()

    async def _read(self, loop, sock, until):
        ends_s = loop.time() + MAX_IDLE_S
        while not self._part_bytes and not until() and loop.time() < ends_s:
            await asyncio.sleep(0.05)
        while data := await loop.sock_recv(sock, self._part_bytes or PART_BYTES):
            self.received_bytes += len(data)
            await asyncio.sleep(self._pause_s)
