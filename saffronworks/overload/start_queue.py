"""Requests that were read but not sent on, and the time that the event loop needs for them."""

import attrs

from saffronworks.overload.request_cost import RequestCost

__all__ = ["StartQueue"]

# Longest time that the event loop may need for the requests that it has read. A burst up to this
# size passes.
MAX_BACKLOG_MS = 100.0
# Longest wait between an accepted connection and its handler at a node that has been busy without
# a pause for `SATURATED_MS`, and so has a standing queue.
STANDING_WAIT_MS = 25.0
SATURATED_MS = 200.0
# A connection without a request for this long rests; it takes no processor time.
RESTING_MS = 100.0


@attrs.define
class StartQueue:
    """The requests that a node has read but not sent on, and the time that they will take.

    The event loop serves all open requests in turn, so that one more delays all of them. The queue
    is known at the moment of a decision, while a measured delay grows with the overload itself.
    Times are in ms of the steady clock; `idle_ms` is the end of the event loop's last pause.
    """

    cost: RequestCost
    # Accepted connections whose first request has not begun, in order.
    _accepted_ms: dict[int, float] = attrs.Factory(dict)
    # Connections whose request has begun and was not sent on.
    _begun: set[int] = attrs.Factory(set)
    # Requests whose time the event loop has not spent yet.
    _backlog: float = 0.0
    _drained_ms: float = 0.0

    def has_room(self, now_ms: float, idle_ms: float) -> bool:
        """Return whether one more request would be served soon enough."""
        self._drop_resting(now_ms)
        backlog_ms, waiting = self.backlog_ms(now_ms, idle_ms), len(self)
        if not waiting and not backlog_ms:
            return True
        if backlog_ms + self.cost.mean_ms > MAX_BACKLOG_MS:
            return False
        saturated = now_ms - idle_ms >= SATURATED_MS
        return not saturated or not waiting or (waiting + 1) * self.cost.mean_ms <= STANDING_WAIT_MS

    def backlog_ms(self, now_ms: float, idle_ms: float) -> float:
        """Return the time that the event loop still needs for what was read.

        After a pause, or when all requests have ended, only those are left that had not arrived.
        """
        if idle_ms >= self._drained_ms or not self.cost.any_open:
            self._backlog = len(self)
        self._backlog = max(0.0, self._backlog - (now_ms - self._drained_ms) / self.cost.mean_ms)
        self._drained_ms = now_ms
        return self._backlog * self.cost.mean_ms

    def __len__(self) -> int:
        return len(self._accepted_ms) + len(self._begun)

    def add(self, key: int, now_ms: float) -> None:
        """Add an accepted connection."""
        self._accepted_ms[key] = now_ms
        self._backlog += 1

    def begin(self, key: int) -> None:
        """Record that the handler of a request begins, on a new connection or a kept one."""
        if self._accepted_ms.pop(key, None) is None:
            self._backlog += 1
        self._begun.add(key)

    def send_on(self, key: int) -> None:
        """Record that a request is sent on, or that it has ended without that."""
        self._begun.discard(key)

    def close(self, key: int) -> None:
        """Record that a connection was closed."""
        self._begun.discard(key)
        if self._accepted_ms.pop(key, None) is not None:
            self._backlog -= 1

    def _drop_resting(self, now_ms: float) -> None:
        while self._accepted_ms:
            key, accepted_ms = next(iter(self._accepted_ms.items()))
            if now_ms - accepted_ms < RESTING_MS:
                return
            self.close(key)
