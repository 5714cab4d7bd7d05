"""Fake servers that send bytes without end, until the node closes the connection."""

import asyncio
import time

from saffronworks.tests.platform_fakes import FakeServer

__all__ = ["PIECE", "EndlessServer"]

# What the server sends at most, and for how long.
MAX_SENT_BYTES = 400_000_000
MAX_SENT_S = 10.0
PIECE = b"x" * 65_536


class EndlessServer(FakeServer):
    """A fake server whose answers are `start`, filled in by request, and `piece` without end.

    With `pause_s` it sends a piece at that interval. `closed_s` has the time from each answer's
    start until the node closed its connection.
    """

    def __init__(self, instance, service, stage=None, start=b"", piece=PIECE, pause_s=0.0):
        super().__init__(instance, service, stage)
        self.start, self.piece, self.pause_s = start, piece, pause_s
        # Which calls never end: "request", "prefill" or the start of a control call's path.
        self.endless = "request"
        self.closed_s = []

    async def _request(self, reader, writer, headers):
        called = "prefill" if headers.get("stage") == "prefill" else "request"
        if self.endless != called:
            return await super()._request(reader, writer, headers)
        self.ran.append(headers["request-id"])
        return await self.flood(writer, headers["request-id"])

    async def _control(self, writer, method, target):
        if not target.startswith(self.endless):
            return await super()._control(writer, method, target)
        return await self.flood(writer, "")

    async def flood(self, writer, request_id):
        """Send bytes until the connection is closed, or a limit of the test is reached."""
        began_s, sent_bytes = time.monotonic(), 0
        writer.write(self.start.replace(b"ID", request_id.encode()))
        try:
            while sent_bytes < MAX_SENT_BYTES and time.monotonic() < began_s + MAX_SENT_S:
                writer.write(self.piece)
                await writer.drain()
                sent_bytes += len(self.piece)
                await asyncio.sleep(self.pause_s)
        except ConnectionError:
            self.closed_s.append(time.monotonic() - began_s)
        return False
