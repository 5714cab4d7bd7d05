"""The newest known rate limit of each endpoint."""

from collections.abc import Collection

import attrs

from saffronworks.forwarding.endpoint_limits.tuning import ENDED_RETENTION_MS
from saffronworks.forwarding.starts import StartId

__all__ = ["LimitTable", "AdvertisedLimit", "KnownLimit"]


@attrs.frozen
class AdvertisedLimit:
    """The rate limit in one answer of an endpoint, for all nodes together.

    `per_s` is None if the answer has no limit, `malformed` the text that is not a number.
    `sent_ms` is when the answered request was sent, `ran` whether the endpoint executed it.
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
    """Limits by endpoint. An endpoint without an entry has advertised none."""

    _known: dict[StartId, KnownLimit] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._known)

    def find(self, instance: StartId) -> float | None:
        """Return an endpoint's limit in requests per second, or None if it has none."""
        known = self._known.get(instance)
        return known.per_s if known is not None else None

    def entry(self, instance: StartId) -> KnownLimit | None:
        """Return the newest entry of an endpoint, also if its limit has ended."""
        return self._known.get(instance)

    def limited(self) -> list[StartId]:
        """Return the endpoints that have a limit."""
        return [instance for instance, known in self._known.items() if known.per_s is not None]

    def record_answer(self, instance: StartId, answer: AdvertisedLimit, now_ms: int) -> bool:
        """Update from an endpoint's answer; return whether its limit changed.

        Answers on several connections can arrive out of order. An answer without a limit is known
        to be newer than its request only, so it ends a limit that was advertised before that.
        """
        if answer.per_s is not None:
            return self._put(instance, KnownLimit(answer.per_s, now_ms))
        known = self._known.get(instance)
        if known is None or not answer.ran or answer.sent_ms <= known.observed_ms:
            return False
        return self._put(instance, KnownLimit(None, answer.sent_ms))

    def record_update(self, instance: StartId, update: KnownLimit) -> bool:
        """Update from another node; return whether the limit changed."""
        known = self._known.get(instance)
        if known is not None and update.observed_ms <= known.observed_ms:
            return False
        return self._put(instance, update)

    def _put(self, instance: StartId, newest: KnownLimit) -> bool:
        before = self.find(instance)
        self._known[instance] = newest
        return before != newest.per_s

    def forget_all_but(self, instances: Collection[StartId], now_ms: int) -> None:
        """Drop limits of endpoints not in `instances`, and ended ones after their retention."""
        for instance, known in list(self._known.items()):
            ended = known.per_s is None and now_ms - known.observed_ms >= ENDED_RETENTION_MS
            if instance not in instances or ended:
                del self._known[instance]
