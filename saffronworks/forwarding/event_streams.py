"""Server-sent events as bytes: cut at event boundaries, with the id of the last whole one."""

import attrs

from saffronworks.forwarding.messages import EventMark

__all__ = ["EventCutter"]

_END = b"\n\n"


@attrs.define
class EventCutter:
    """Holds back an event that is not whole, so that another endpoint can go on after it."""

    _rest: bytes = b""

    def feed(self, data: bytes) -> EventMark | None:
        """The whole events up to now, or None while the first is still incomplete."""
        self._rest += data.replace(b"\r\n", b"\n") if b"\r\n" in data else data
        end = self._rest.rfind(_END)
        if end < 0:
            return None
        whole, self._rest = self._rest[: end + len(_END)], self._rest[end + len(_END) :]
        return EventMark(whole, _last_id(whole))

    def rest(self) -> bytes:
        """What follows the last whole event; at a good end it is empty."""
        return self._rest


def _last_id(events: bytes) -> int | None:
    for line in reversed(events.split(b"\n")):
        name, separator, value = line.partition(b":")
        if separator and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
