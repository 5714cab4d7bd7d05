"""What a node knows of the limits that endpoints name: the newest word on each endpoint."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import KEEP_ENDED_MS
from saffronworks.forwarding.starts import StartId

__all__ = ["LimitTable", "LimitWord", "NamedLimit"]


@attrs.frozen
class LimitWord:
    """What one answer of an endpoint says of the requests that it takes from all nodes together.

    `per_s` is None where it names no limit, `unreadable` what stands there in place of a number.
    `sent_ms` is when the request was sent that it answers; `ran` tells whether it ran there.
    """

    per_s: float | None
    sent_ms: int
    ran: bool = True
    unreadable: str | None = None


@attrs.frozen
class NamedLimit:
    """The newest that is known of an endpoint; `per_s` is None once it names no limit any more."""

    per_s: float | None
    heard_ms: int


@attrs.define
class LimitTable:
    """The limits by endpoint. An endpoint without an entry has named none."""

    _known: dict[StartId, NamedLimit] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._known)

    def find(self, instance: StartId) -> float | None:
        """Requests a second that an endpoint takes; None where it names no limit."""
        known = self._known.get(instance)
        return known.per_s if known is not None else None

    def entry(self, instance: StartId) -> NamedLimit | None:
        """The newest word on an endpoint, also that its limit has ended."""
        return self._known.get(instance)

    def named(self) -> list[StartId]:
        """The endpoints that name a limit."""
        return [instance for instance, known in self._known.items() if known.per_s is not None]

    def take_word(self, instance: StartId, word: LimitWord, now_ms: int) -> bool:
        """An endpoint answered this node; returns whether its limit is another one now.

        Answers on several connections overtake each other. One without a limit was made after its
        request was sent, so it ends only a limit that was named before that.
        """
        if word.per_s is not None:
            return self._put(instance, NamedLimit(word.per_s, now_ms))
        known = self._known.get(instance)
        if known is None or not word.ran or word.sent_ms <= known.heard_ms:
            return False
        return self._put(instance, NamedLimit(None, word.sent_ms))

    def take_news(self, instance: StartId, heard: NamedLimit) -> bool:
        """Another node tells what it knows; returns whether the limit is another one now."""
        known = self._known.get(instance)
        if known is not None and heard.heard_ms <= known.heard_ms:
            return False
        return self._put(instance, heard)

    def _put(self, instance: StartId, newest: NamedLimit) -> bool:
        before = self.find(instance)
        self._known[instance] = newest
        return before != newest.per_s

    def forget_all_but(self, instances: Collection[StartId], now_ms: int) -> None:
        """Drop what belongs to endpoints that are gone, and limits that ended long ago."""
        for instance, known in list(self._known.items()):
            ended = known.per_s is None and now_ms - known.heard_ms >= KEEP_ENDED_MS
            if instance not in instances or ended:
                del self._known[instance]
