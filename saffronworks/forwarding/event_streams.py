"""Server-sent events as bytes: cut at event boundaries, with the id of the last whole one."""

from collections.abc import Iterable

import attrs

from saffronworks.forwarding.messages import EventMark

__all__ = ["EventCutter", "first_id"]

# An event ends with an empty line, in either way of ending lines.
_BLANK_LINES = (b"\n\n", b"\r\n\r\n")


@attrs.define
class EventCutter:
    """Holds back an event that is not whole, so that another endpoint can go on after it."""

    _rest: bytes = b""

    def feed(self, data: bytes) -> EventMark | None:
        """The whole events up to now, or None while the first is still incomplete."""
        self._rest += data
        ends = [
            self._rest.rfind(blank) + len(blank) for blank in _BLANK_LINES if blank in self._rest
        ]
        if not ends:
            return None
        end = max(ends)
        whole, self._rest = self._rest[:end], self._rest[end:]
        return EventMark(whole, _last_id(whole))

    def rest(self) -> bytes:
        """What follows the last whole event; at a good end it is empty."""
        return self._rest


def first_id(events: bytes) -> int | None:
    """The id of the first event that has one."""
    return _find_id(events.split(b"\n"))


def _last_id(events: bytes) -> int | None:
    return _find_id(reversed(events.split(b"\n")))


def _find_id(lines: Iterable[bytes]) -> int | None:
    for line in lines:
        name, separator, value = line.partition(b":")
        if separator and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
