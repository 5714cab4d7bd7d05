"""The server's side of callers' HTTP connections: when one that rests is closed."""

import asyncio
import contextlib
from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from saffronworks.sockets import unread_bytes

__all__ = ["CloseNow", "HttpConnection", "KeepAlive", "LookAgain", "decide_close"]

# How long a server that stops waits for the next request on a connection that was just in use.
LAST_REQUEST_MS = 250
# When to look again at a connection that has unread bytes.
UNREAD_LOOK_MS = 10


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
    stopping: bool = False

    @property
    def rest_ms(self) -> float:
        """How long a connection may rest between two requests."""
        return LAST_REQUEST_MS if self.stopping else self.idle_ms

    def decide_rest(self, rested_ms: float, promised_ms: float) -> CloseNow | LookAgain:
        """Decide whether a connection that has rested so long may be closed."""
        return decide_close(rested_ms, 0 if self.stopping else promised_ms, self.rest_ms)


class HttpConnection(HttpToolsProtocol):
    """One connection of a caller.

    The timer of the base class stands for all waits for the caller. It is armed whenever no request
    is being served.
    """

    def __init__(self, keep_alive: KeepAlive, **uvicorn_arguments: Any):
        super().__init__(**uvicorn_arguments)
        self._keep_alive = keep_alive
        self._wait_began_ms = 0.0
        self._promised_ms = 0.0
        self._in_head = False
        self._in_message = False
        # The next request is the last one.
        self._closing = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Wait for the first request."""
        super().connection_made(transport)
        self._begin_wait()
        self._arm_timer(self._promised_ms)

    def data_received(self, data: bytes) -> None:
        """Read parts of requests."""
        super().data_received(data)
        if self._in_message and not self._in_head:
            # A caller that sends a body doesn't rest, even if its answer is complete.
            self._begin_wait()
        self._watch()

    def on_message_begin(self) -> None:
        """Record the begin of a head."""
        self._in_head = self._in_message = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Start the request, or queue it."""
        self._in_head = False
        super().on_headers_complete()
        if self._closing or self._keep_alive.stopping:
            self._announce_close()

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        self._in_message = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Start the next request if one is queued, else let the connection rest."""
        self._begin_wait()
        # The base class arms the timer with it.
        self.timeout_keep_alive = self._promised_ms / 1000  # type: ignore[assignment]
        super().on_response_complete()

    def shutdown(self) -> None:
        """Close the connection after its last request.

        An answer that has begun told its caller to go on using the connection.
        """
        if not self._is_serving:
            self._watch()
        elif not self.cycle.response_started:
            self._announce_close()

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection if it has rested long enough, else look again later."""
        if self._is_serving or self._in_head or self.transport.is_closing():
            return
        match self._keep_alive.decide_rest(self._waited_ms, self._promised_ms):
            case LookAgain(after_ms):
                self._arm_timer(after_ms)
            case CloseNow() if unread_bytes(self.transport.get_extra_info("socket")):
                # The event loop reads them in its next turn.
                self._closing = True
                self._arm_timer(UNREAD_LOOK_MS)
            case CloseNow():
                self._close()

    @property
    def _is_serving(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _waited_ms(self) -> float:
        return self.loop.time() * 1000 - self._wait_began_ms

    def _begin_wait(self) -> None:
        self._wait_began_ms = self.loop.time() * 1000
        self._promised_ms = self._keep_alive.rest_ms

    def _announce_close(self) -> None:
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def _watch(self) -> None:
        """Arm the timer for the present wait, if there is one."""
        self._unset_keepalive_if_required()
        self.timeout_keep_alive_handler()

    def _arm_timer(self, after_ms: float) -> None:
        self.timeout_keep_alive_task = self.loop.call_later(
            after_ms / 1000, self.timeout_keep_alive_handler
        )

    def _close(self) -> None:
        with contextlib.suppress(OSError):
            # The transport itself is closed a turn of the event loop later.
            self.transport.write_eof()
        self.transport.close()
