"""Server-sent events as bytes: cut at event boundaries, with the ids of the whole ones."""

import attrs

from saffronworks.forwarding.messages import EventMark

__all__ = ["EventSplitter", "EventSequence"]

# An event ends with an empty line, in either way of ending lines.
_BLANK_LINES = (b"\n\n", b"\r\n\r\n")
# A longer one is no count of events; it would not fit what nodes tell each other.
_MOST_ID_DIGITS = 18


@attrs.define
class EventSplitter:
    """Holds back an event that is not whole, so that another endpoint can go on after it."""

    _rest: bytearray = attrs.Factory(bytearray)

    def feed(self, data: bytes) -> EventMark | None:
        """The whole events up to now, or None while the first is still incomplete."""
        # What was held back has no blank line, but may have the start of one.
        unsearched = max(0, len(self._rest) + 1 - max(map(len, _BLANK_LINES)))
        self._rest += data
        found = [(self._rest.rfind(blank, unsearched), len(blank)) for blank in _BLANK_LINES]
        end = max(start + size if start >= 0 else 0 for start, size in found)
        if not end:
            return None
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        return EventMark(whole, _ids(whole))

    def remainder(self) -> bytes:
        """What follows the last whole event; at a good end it is empty."""
        return bytes(self._rest)


@attrs.define
class EventSequence:
    """The ids of the events that a caller got, over all runs of its stream.

    Ids rise. Where they have counted the events one by one, an event that a run leaves out shows as
    well; `_by_one` is None until two ids were seen.
    """

    last_id: int | None = None
    _by_one: bool | None = None

    def continues(self, ids: tuple[int, ...]) -> bool:
        """Whether a further run that begins with these events follows without repeat or gap."""
        if self.last_id is None or not ids:
            return False
        return ids[0] == self.last_id + 1 if self._by_one else ids[0] > self.last_id

    def record(self, ids: tuple[int, ...]) -> None:
        """These events went out."""
        for event_id in ids:
            if self.last_id is not None:
                self._by_one = self._by_one is not False and event_id == self.last_id + 1
            self.last_id = event_id


def _ids(events: bytes) -> tuple[int, ...]:
    fields = (line.partition(b":") for line in events.split(b"\n"))
    values = (value.strip() for name, _, value in fields if name == b"id")
    return tuple(
        int(value) for value in values if value.isdigit() and len(value) <= _MOST_ID_DIGITS
    )
