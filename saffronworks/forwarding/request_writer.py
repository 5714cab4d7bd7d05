"""Writes requests to an endpoint's connection without a copy of their bodies."""

import asyncio

__all__ = ["WRITTEN_PART_BYTES", "RequestWriter"]

# Part of a body that is written at a time: the transport copies what the kernel doesn't take.
WRITTEN_PART_BYTES = 131_072


class RequestWriter:
    """Writes the head and body of one request at a time.

    The transport tells by `pause` and `resume` whether it takes more.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._unwritten = memoryview(b"")
        self._paused = False

    @property
    def written(self) -> bool:
        """Return whether the transport has the whole request."""
        return not self._unwritten

    def write(self, transport: asyncio.Transport, head: bytes, body: bytes) -> None:
        """Write a request; `written` must be true before."""
        self._transport = transport
        first, self._unwritten = body[:WRITTEN_PART_BYTES], memoryview(body)[WRITTEN_PART_BYTES:]
        transport.write(head + first)
        self._write_more()

    def pause(self) -> None:
        """Write no more until `resume`."""
        self._paused = True

    def resume(self) -> None:
        """Write the next parts of the body."""
        self._paused = False
        self._write_more()

    def discard(self) -> None:
        """Drop the rest of the body."""
        self._unwritten = memoryview(b"")

    def _write_more(self) -> None:
        transport = self._transport
        while transport and self._unwritten and not self._paused and not transport.is_closing():
            part = self._unwritten[:WRITTEN_PART_BYTES]
            self._unwritten = self._unwritten[WRITTEN_PART_BYTES:]
            transport.write(part)
        if self.written:
            # An empty view of a body keeps all of it.
            self.discard()
