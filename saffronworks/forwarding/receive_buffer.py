"""Buffers the body of an endpoint's answer until it is read."""

import asyncio
from collections import deque
from collections.abc import Callable

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.tuning import MOST_BUFFERED_BYTES

__all__ = ["ReceiveBuffer"]


class ReceiveBuffer:
    """Holds the received parts of one body at a time.

    The transport reads no more while the buffer is full, or while the node-wide bound pauses it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        # Called when `buffered_bytes` has changed while an answer is relayed.
        self.on_buffered_change: Callable[[], None] | None = None
        self._buffer_full = False
        self.paused_by_bound = False
        self.paused = False
        # When reading was last resumed.
        self.resumed_ms = 0

    @property
    def empty(self) -> bool:
        """Return whether everything that was received has been read."""
        return not self._chunks

    def begin(self, transport: asyncio.Transport) -> None:
        """Drop what was not read, and buffer the body of the next answer."""
        self._transport = transport
        self._chunks.clear()
        self.buffered_bytes = 0
        # An answer that was not read to its end may have left the connection paused.
        self._buffer_full = self.paused_by_bound = False
        self._update_reading()

    def append(self, data: bytes) -> None:
        """Add a part that was received."""
        self._chunks.append(data)
        self.buffered_bytes += len(data)
        self._buffer_full = self.buffered_bytes > MOST_BUFFERED_BYTES
        self._update_reading()
        if self.on_buffered_change is not None:
            self.on_buffered_change()

    def read(self) -> bytes:
        """Return everything that was received and not read yet."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self.buffered_bytes = 0
        self._buffer_full = False
        self._update_reading()
        return data

    def set_reading_paused(self, paused: bool) -> None:
        """Pause or resume reading for the node-wide bound on buffers."""
        self.paused_by_bound = paused
        self._update_reading()

    def _update_reading(self) -> None:
        paused = self._buffer_full or self.paused_by_bound
        if paused == self.paused or self._transport is None:
            return
        self.paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self.resumed_ms = monotonic_ms()
            self._transport.resume_reading()
