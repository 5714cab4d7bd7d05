"""What endpoints have advertised to this node: which of them drain, and which are paused."""

from collections.abc import Collection, Set

import attrs

from saffronworks.forwarding.starts import StartId

__all__ = ["AdvertisedTable", "Pause"]

# How long the state of an endpoint is kept after its entry is gone: a listing that was made before,
# or an entry that lapsed while the store was away, brings the same start back.
KEEP_GONE_MS = 60_000


@attrs.frozen
class Pause:
    """A span, by the steady clock, in which an endpoint wants no requests of this node."""

    since_ms: int
    until_ms: int


@attrs.define
class AdvertisedTable:
    """Advertised state by start of an endpoint; a later start begins without any."""

    _draining_since_ms: dict[StartId, int] = attrs.Factory(dict)
    _pauses: dict[StartId, Pause] = attrs.Factory(dict)
    _gone_since_ms: dict[StartId, int] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._draining_since_ms) + len(self._pauses)

    def draining_since_ms(self, instance: StartId) -> int | None:
        """When this node learnt that the endpoint drains; None while it does not."""
        return self._draining_since_ms.get(instance)

    def draining(self) -> Set[StartId]:
        """All endpoints that are known to drain."""
        return self._draining_since_ms.keys()

    def pause(self, instance: StartId, now_ms: int) -> Pause | None:
        """The pause that the endpoint asked for, while it lasts."""
        pause = self._pauses.get(instance)
        return pause if pause is not None and now_ms < pause.until_ms else None

    def pauses(self, now_ms: int) -> dict[StartId, Pause]:
        """All pauses that last."""
        return {one: pause for one, pause in self._pauses.items() if now_ms < pause.until_ms}

    def record_drain(self, instance: StartId, now_ms: int) -> bool:
        """The endpoint drains; returns whether that is new. Only its end ends it."""
        if instance in self._draining_since_ms:
            return False
        self._draining_since_ms[instance] = now_ms
        return True

    def record_pause(self, instance: StartId, pause_ms: int, now_ms: int) -> bool:
        """The endpoint asks for a pause; returns whether it ends later than known before.

        Each rejection holds until its own end, so a shorter one takes nothing back.
        """
        known = self.pause(instance, now_ms)
        until_ms = now_ms + pause_ms
        if pause_ms <= 0 or (known is not None and until_ms <= known.until_ms):
            return False
        self._pauses[instance] = Pause(known.since_ms if known else now_ms, until_ms)
        return True

    def forget_all_but(self, instances: Collection[StartId], now_ms: int) -> None:
        """Drop pauses that are over, and endpoints that have been gone for long."""
        for instance, pause in list(self._pauses.items()):
            if now_ms >= pause.until_ms:
                del self._pauses[instance]
        known = self._draining_since_ms.keys() | self._pauses.keys()
        gone = {one: self._gone_since_ms.get(one, now_ms) for one in known - set(instances)}
        self._gone_since_ms = gone
        for instance in [one for one, at_ms in gone.items() if now_ms - at_ms >= KEEP_GONE_MS]:
            self._draining_since_ms.pop(instance, None)
            self._pauses.pop(instance, None)
