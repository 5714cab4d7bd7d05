"""The server's side of callers' HTTP connections: when one that rests is closed."""

from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["CloseNow", "HttpConnection", "KeepAlive", "LookAgain", "decide_close"]


@attrs.frozen
class CloseNow:
    """The time is up."""


@attrs.frozen
class LookAgain:
    """The time is not up, at least not for so long."""

    after_ms: float


def decide_close(waited_ms: float, promised_ms: float, in_force_ms: float) -> CloseNow | LookAgain:
    """Decide whether a connection that has waited for its caller may be closed.

    `promised_ms` is the timeout that was in force when the wait began, and `in_force_ms` the
    present one. The longer one holds: the caller may know either.
    """
    left_ms = max(promised_ms, in_force_ms) - waited_ms
    return LookAgain(left_ms) if left_ms > 0 else CloseNow()


@attrs.define
class KeepAlive:
    """What is in force for all connections of a server."""

    idle_ms: float


class HttpConnection(HttpToolsProtocol):
    """One connection of a caller."""

    def __init__(self, keep_alive: KeepAlive, **uvicorn_arguments: Any):
        super().__init__(**uvicorn_arguments)
        self._keep_alive = keep_alive
        self._wait_began_ms = 0.0
        self._promised_ms = 0.0

    def on_response_complete(self) -> None:
        """Start the next request if one is queued, else let the connection rest."""
        self._wait_began_ms = self._now_ms()
        self._promised_ms = self._keep_alive.idle_ms
        # The base class arms a timer with it.
        self.timeout_keep_alive = self._promised_ms / 1000  # type: ignore[assignment]
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection if it has rested long enough, else look again later."""
        waited_ms = self._now_ms() - self._wait_began_ms
        match decide_close(waited_ms, self._promised_ms, self._keep_alive.idle_ms):
            case LookAgain(after_ms):
                self.timeout_keep_alive_task = self.loop.call_later(
                    after_ms / 1000, self.timeout_keep_alive_handler
                )
            case CloseNow():
                super().timeout_keep_alive_handler()

    def _now_ms(self) -> float:
        return self.loop.time() * 1000
