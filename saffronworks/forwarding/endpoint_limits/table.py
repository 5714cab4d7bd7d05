"""Rate limits that endpoints advertise: the newest known of each endpoint."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import ENDED_RETENTION_MS
from saffronworks.forwarding.starts import StartId

__all__ = ["LimitTable", "AdvertisedLimit", "KnownLimit"]


@attrs.frozen
class AdvertisedLimit:
    """The rate limit in one answer of an endpoint, for all nodes together.

    `per_s` is None where it advertises none, `malformed` what stands there in place of a number.
    `sent_ms` is when the answered request was sent; `ran` tells whether it ran there.
    """

    per_s: float | None
    sent_ms: int
    ran: bool = True
    malformed: str | None = None


@attrs.frozen
class KnownLimit:
    """The newest limit known of an endpoint; `per_s` is None once it has ended."""

    per_s: float | None
    observed_ms: int


@attrs.define
class LimitTable:
    """The limits by endpoint. An endpoint without an entry has advertised none."""

    _known: dict[StartId, KnownLimit] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._known)

    def find(self, instance: StartId) -> float | None:
        """Requests a second that an endpoint takes; None where it is not limited."""
        known = self._known.get(instance)
        return known.per_s if known is not None else None

    def entry(self, instance: StartId) -> KnownLimit | None:
        """The newest limit of an endpoint, also one that has ended."""
        return self._known.get(instance)

    def limited(self) -> list[StartId]:
        """The endpoints that have a limit."""
        return [instance for instance, known in self._known.items() if known.per_s is not None]

    def record_answer(self, instance: StartId, answer: AdvertisedLimit, now_ms: int) -> bool:
        """Update from an endpoint's answer; returns whether its limit changed.

        Answers on several connections overtake each other. One without a limit was made after its
        request was sent, so it ends only a limit that was advertised before that.
        """
        if answer.per_s is not None:
            return self._put(instance, KnownLimit(answer.per_s, now_ms))
        known = self._known.get(instance)
        if known is None or not answer.ran or answer.sent_ms <= known.observed_ms:
            return False
        return self._put(instance, KnownLimit(None, answer.sent_ms))

    def record_update(self, instance: StartId, update: KnownLimit) -> bool:
        """Update from another node; returns whether the limit changed."""
        known = self._known.get(instance)
        if known is not None and update.observed_ms <= known.observed_ms:
            return False
        return self._put(instance, update)

    def _put(self, instance: StartId, newest: KnownLimit) -> bool:
        before = self.find(instance)
        self._known[instance] = newest
        return before != newest.per_s

    def forget_all_but(self, instances: Collection[StartId], now_ms: int) -> None:
        """Drop limits of removed endpoints, and those that ended long ago."""
        for instance, known in list(self._known.items()):
            ended = known.per_s is None and now_ms - known.observed_ms >= ENDED_RETENTION_MS
            if instance not in instances or ended:
                del self._known[instance]
