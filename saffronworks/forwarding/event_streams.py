"""Splits a byte stream of server-sent events at event boundaries and reads the event ids."""

import attrs

from saffronworks.field_numbers import MAX_COUNT_DIGITS
from saffronworks.forwarding.messages import EventMark

__all__ = ["EventSplitter", "EventSequence"]

# An event ends with an empty line; lines end with LF or CRLF.
_BLANK_LINES = (b"\n\n", b"\r\n\r\n")


@attrs.define
class EventSplitter:
    """Buffers an incomplete event, so that another endpoint can resume after the last whole one."""

    _buffer: bytearray = attrs.Factory(bytearray)

    def feed(self, data: bytes) -> EventMark | None:
        """Return the events completed by `data`, or None if none is."""
        # The buffered bytes contain no blank line, but may end with the start of one.
        unsearched = max(0, len(self._buffer) + 1 - max(map(len, _BLANK_LINES)))
        self._buffer += data
        found = [(self._buffer.rfind(blank, unsearched), len(blank)) for blank in _BLANK_LINES]
        end = max(start + size if start >= 0 else 0 for start, size in found)
        if not end:
            return None
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        return EventMark(whole, _ids(whole))

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def remainder(self) -> bytes:
        """Return the bytes after the last whole event; empty after a complete stream."""
        return bytes(self._buffer)


@attrs.define
class EventSequence:
    """The ids of the events sent to a caller, over all runs of its stream.

    Ids increase. If all of them were consecutive, a gap between two runs is detected as well;
    `_consecutive` is None until two ids were recorded.
    """

    last_id: int | None = None
    _consecutive: bool | None = None

    def continues(self, ids: tuple[int, ...]) -> bool:
        """Return whether a run that begins with these ids resumes without repetition or gap."""
        if self.last_id is None or not ids:
            return False
        return ids[0] == self.last_id + 1 if self._consecutive else ids[0] > self.last_id

    def record(self, ids: tuple[int, ...]) -> None:
        """Record the ids of events that were sent."""
        for event_id in ids:
            if self.last_id is not None:
                self._consecutive = self._consecutive is not False and event_id == self.last_id + 1
            self.last_id = event_id


def _ids(events: bytes) -> tuple[int, ...]:
    """Return the ids; a longer one is not the number of an event."""
    fields = (line.partition(b":") for line in events.split(b"\n"))
    values = (value.strip() for name, _, value in fields if name == b"id")
    return tuple(
        int(value) for value in values if value.isdigit() and len(value) <= MAX_COUNT_DIGITS
    )
