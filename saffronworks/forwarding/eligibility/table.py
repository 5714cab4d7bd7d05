"""The draining and paused endpoints, as they advertised it to this node."""

from collections.abc import Collection, Set

import attrs

from saffronworks.forwarding.starts import StartId

__all__ = ["AdvertisedTable", "Pause"]

# How long the state of an endpoint is kept after its store entry is gone. A stale listing, or an
# entry that expired during an outage of the store, can bring back the same start of the endpoint.
KEEP_GONE_MS = 60_000


@attrs.frozen
class Pause:
    """An interval of the monotonic clock in which an endpoint takes no requests of this node."""

    since_ms: int
    until_ms: int


@attrs.define
class AdvertisedTable:
    """Advertised state by endpoint start; an endpoint that restarts begins without any."""

    _draining_since_ms: dict[StartId, int] = attrs.Factory(dict)
    _pauses: dict[StartId, Pause] = attrs.Factory(dict)
    _gone_since_ms: dict[StartId, int] = attrs.Factory(dict)

    def __len__(self) -> int:
        return len(self._draining_since_ms) + len(self._pauses)

    def draining_since_ms(self, instance: StartId) -> int | None:
        """Return when the endpoint first advertised its drain to this node, or None."""
        return self._draining_since_ms.get(instance)

    def draining(self) -> Set[StartId]:
        """Return all draining endpoints."""
        return self._draining_since_ms.keys()

    def pause(self, instance: StartId, now_ms: int) -> Pause | None:
        """Return the current pause of an endpoint, or None."""
        pause = self._pauses.get(instance)
        return pause if pause is not None and now_ms < pause.until_ms else None

    def pauses(self, now_ms: int) -> dict[StartId, Pause]:
        """Return all current pauses."""
        return {one: pause for one, pause in self._pauses.items() if now_ms < pause.until_ms}

    def record_drain(self, instance: StartId, now_ms: int) -> bool:
        """Record that an endpoint drains until it ends; return whether that is new."""
        if instance in self._draining_since_ms:
            return False
        self._draining_since_ms[instance] = now_ms
        return True

    def record_pause(self, instance: StartId, pause_ms: int, now_ms: int) -> bool:
        """Record a pause; return whether it ends later than the current one.

        A shorter pause doesn't cut a longer one short.
        """
        known = self.pause(instance, now_ms)
        until_ms = now_ms + pause_ms
        if pause_ms <= 0 or (known is not None and until_ms <= known.until_ms):
            return False
        self._pauses[instance] = Pause(known.since_ms if known else now_ms, until_ms)
        return True

    def forget_all_but(self, instances: Collection[StartId], now_ms: int) -> None:
        """Drop pauses that are over, and endpoints missing from `instances` for KEEP_GONE_MS."""
        for instance, pause in list(self._pauses.items()):
            if now_ms >= pause.until_ms:
                del self._pauses[instance]
        known = self._draining_since_ms.keys() | self._pauses.keys()
        gone = {one: self._gone_since_ms.get(one, now_ms) for one in known - set(instances)}
        self._gone_since_ms = gone
        for instance in [one for one, at_ms in gone.items() if now_ms - at_ms >= KEEP_GONE_MS]:
            self._draining_since_ms.pop(instance, None)
            self._pauses.pop(instance, None)
