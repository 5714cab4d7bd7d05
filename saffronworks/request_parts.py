"""Cuts what a connection has received into parts in each of which at most one request begins."""

import re

import attrs

__all__ = ["BODY_READ_BYTES", "RequestParts"]

# Bytes that are read at once. What a caller sends behind a request waits unparsed until that one
# was answered, so a connection holds no more of it than one read.
READ_BYTES = 4096
# The same while a body of stated length is read, of which no read goes beyond the end.
BODY_READ_BYTES = 65_536
# Heads, chunked bodies and their trailers end with an empty line.
_EMPTY_LINE = re.compile(rb"\n\r?\n")
# Empty lines before a request, which the parser skips.
_BLANK = re.compile(rb"[\r\n]+")
# Bytes before a part that an empty line may begin in.
_LOOK_BEHIND_BYTES = 2


@attrs.define
class RequestParts:
    """The place of one connection in its requests.

    `stated_bytes`: the length of the body, as its head states it; `body_left_bytes`: what is left
    of it. None in heads and chunked bodies.
    """

    stated_bytes: int | None = None
    body_left_bytes: int | None = None
    # The end of what was parsed last.
    _tail: bytes = b""

    @property
    def read_bytes(self) -> int:
        """How many bytes to read next."""
        if self.body_left_bytes is None:
            return READ_BYTES
        return min(BODY_READ_BYTES, max(1, self.body_left_bytes))

    def begin_request(self) -> None:
        """Record the begin of a head."""
        self.stated_bytes = self.body_left_bytes = None

    def begin_body(self) -> None:
        """Record the end of a head."""
        self.body_left_bytes = self.stated_bytes

    def add_body(self, size_bytes: int) -> None:
        """Record a part of a body."""
        if self.body_left_bytes is not None:
            self.body_left_bytes -= size_bytes

    def end_request(self) -> None:
        """Record the end of a request."""
        self.body_left_bytes = None

    def skip_blank(self, data: bytes, at: int) -> int:
        """Return the end of empty lines that begin at `at`, between two requests."""
        blank = _BLANK.match(data, at)
        return blank.end() if blank else at

    def find_end(self, data: bytes, at: int) -> int:
        """Return an end such that no request begins between `at` and it, but at `at`.

        All before `at` is parsed.
        """
        if self.body_left_bytes is not None:
            return min(len(data), at + max(1, self.body_left_bytes))
        seam = self._tail + data[at : at + _LOOK_BEHIND_BYTES]
        for found in _EMPTY_LINE.finditer(seam):
            if found.end() > len(self._tail):
                return at + found.end() - len(self._tail)
        ended = _EMPTY_LINE.search(data, at)
        return ended.end() if ended else len(data)

    def record_parsed(self, part: bytes) -> None:
        """Record the part that was parsed last."""
        # Bodies come in large parts, which are not copied for their end.
        end = part[-_LOOK_BEHIND_BYTES:]
        self._tail = (self._tail + end)[-_LOOK_BEHIND_BYTES:]
