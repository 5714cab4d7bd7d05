"""Small helpers over ASGI and uvicorn, shared by nodes and stand-ins."""

import asyncio
import functools
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any, Protocol

import anyio
import msgspec
import uvicorn
from result import Ok

from saffronworks.body_memory import BodyHold, BodyMemoryFull
from saffronworks.clocks import monotonic_ms
from saffronworks.connection_policy import (
    MAX_UNWANTED_BYTES,
    UNTAKEN_MS,
    CloseReason,
    ConnectionPolicy,
)
from saffronworks.connection_table import ConnectionTable, UnreadConnections
from saffronworks.field_numbers import read_whole
from saffronworks.head_memory import HeadMemory
from saffronworks.http_connections import HttpConnection
from saffronworks.sockets import unacknowledged_bytes
from saffronworks.wire import DECODE_ERRORS

__all__ = [
    "AcceptGate",
    "BadBody",
    "Call",
    "HttpServer",
    "SlowBody",
    "bind",
    "is_address",
    "parse_address",
]

logger = logging.getLogger(__name__)

# Interval of uvicorn's housekeeping, which renews the date header.
TICK_INTERVAL_S = 1.0
KEEP_ALIVE_S = 30.0
# Bounds on reading and discarding the body of a request that was refused: the time without a part
# of it, as sound callers may be silent for a second or so, and the whole time.
DISCARD_IDLE_S = 2.0
DISCARD_TIMEOUT_S = 10.0
CLOSE_FIELD = (b"connection", b"close")
# Connections that a gate rejects in one turn of the event loop.
MAX_REJECTED_PER_TURN = 256


class BadBody(Exception):
    """The body of a request is too large or malformed, or the caller disconnected."""


class SlowBody(BadBody):
    """The body of a request arrives too slowly while others lack the memory that it holds."""


class Call:
    """One HTTP request and its response."""

    def __init__(self, scope: Any, receive: Any, send: Any):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: str = scope["query_string"].decode("latin-1")
        self.raw_path: str = scope["raw_path"].decode("latin-1")
        self.fields = [
            (key.decode("latin-1"), value.decode("latin-1")) for key, value in scope["headers"]
        ]
        self.headers = {
            key.decode().lower(): value.decode("latin-1") for key, value in scope["headers"]
        }
        self.peer = scope.get("client")
        self.started = False
        # Whether another server may have got the request.
        self.sent_on = False
        # Called when the request is sent on to another server.
        self.on_send: Callable[[], None] = lambda: None
        self._receive = receive
        self._send = send
        self.streamed = False
        # The memory of the body, for handlers that bound it.
        self.body_hold: BodyHold | None = None
        self._whole = False
        self._reading = False
        self._body = b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in parts; `streamed` is true then, as it can't be read again."""
        self._reading = True
        while not self._whole:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadBody("the caller disconnected")
            self.streamed = True
            self._whole = not message.get("more_body", False)
            yield message.get("body", b"")

    @property
    def stated_body_bytes(self) -> int | None:
        """The length of the body as its head states it; None if the body is in chunks."""
        if "transfer-encoding" in self.headers:
            return None
        length = read_whole(self.headers.get("content-length", "0"))
        return length.ok_value if isinstance(length, Ok) else None

    async def body(self, most_bytes: int) -> bytes:
        """Return the whole body, which is kept; raises BadBody beyond `most_bytes`.

        Its memory is taken from `body_hold`, if there is one: raises BodyMemoryFull, before the
        body is read if its length is stated, and SlowBody.
        """
        if self._whole:
            return self._body
        stated_bytes = self.stated_body_bytes or 0
        if stated_bytes > most_bytes:
            raise BadBody(f"body of more than {most_bytes} bytes")
        if self.body_hold is None:
            await self._read_body(stated_bytes, most_bytes, None)
            return self._body
        self.body_hold.reserve(stated_bytes, monotonic_ms())
        with anyio.CancelScope() as slow:
            self.body_hold.on_slow = slow.cancel
            try:
                await self._read_body(stated_bytes, most_bytes, self.body_hold)
            finally:
                self.body_hold.on_slow = None
        if slow.cancelled_caught:
            raise SlowBody("the body arrives too slowly")
        return self._body

    async def _read_body(self, stated_bytes: int, most_bytes: int, hold: BodyHold | None) -> None:
        # One block of the stated length: parts that are joined later fragment the heap.
        body = bytearray(stated_bytes)
        size_bytes = 0
        self._reading = True
        while not self._whole:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadBody("the caller disconnected")
            part = message.get("body", b"")
            body[size_bytes : size_bytes + len(part)] = part
            size_bytes += len(part)
            if size_bytes > most_bytes:
                raise BadBody(f"body of more than {most_bytes} bytes")
            if hold is not None:
                try:
                    hold.receive(len(part), monotonic_ms())
                except BodyMemoryFull:
                    # The traceback keeps this frame while the rest of the body is discarded.
                    body.clear()
                    raise
            self._whole = not message.get("more_body", False)
        self._body = bytes(memoryview(body)[:size_bytes])

    async def json(self, most_bytes: int = 8_000_000) -> Any:
        """Return the body decoded from JSON; raises BadBody."""
        try:
            return msgspec.json.decode(await self.body(most_bytes))
        except DECODE_ERRORS as error:
            raise BadBody(f"body is not JSON: {error}") from error

    async def wait_disconnected(self) -> None:
        """Return when the caller has disconnected; call it after the body was read."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    @property
    def _awaits_continue(self) -> bool:
        return not self._reading and not self._whole and "expect" in self.headers

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""
        await self.start_fields(status, headers.items())

    async def start_fields(self, status: int, fields: Iterable[tuple[str, str]]) -> None:
        """Send the status line and header fields; names may repeat."""
        self.started = True
        raw = [(key.lower().encode(), value.encode("latin-1")) for key, value in fields]
        if self._awaits_continue:
            # The caller has not sent the body, and need not send it now.
            raw = [field for field in raw if field[0] != b"connection"] + [CLOSE_FIELD]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, data: bytes, more: bool = True) -> None:
        """Send a part of the body; `more` is false for the last one."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    @property
    def _transport(self) -> asyncio.Transport:
        transport: asyncio.Transport = self._send.__self__.transport
        return transport

    @property
    def connection_key(self) -> int:
        """A key of the connection, the same for all its calls while it is open."""
        return id(self._transport)

    @property
    def connection_number(self) -> int:
        """The file descriptor of the connection, -1 if it is closed."""
        number: int = self._transport.get_extra_info("socket").fileno()
        return number

    @property
    def buffered_bytes(self) -> int:
        """Written bytes that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    async def drain(self) -> None:
        """Return once the kernel has taken all written bytes, or the caller has disconnected."""
        self._transport.set_write_buffer_limits(0)
        try:
            # uvicorn waits before a write, and an empty one sends nothing.
            await self.write(b"")
        finally:
            self._transport.set_write_buffer_limits()

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes in the kernel that the caller's machine has not acknowledged."""
        return unacknowledged_bytes(self._transport.get_extra_info("socket"))

    def cut(self) -> None:
        """Abort the caller's connection, discarding what was not sent."""
        self._transport.abort()

    def close(self) -> None:
        """Close the caller's connection after the written bytes were sent."""
        self._transport.close()

    async def reply(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete JSON response."""
        data = msgspec.json.encode(value)
        await self.reply_bytes(status, data, "application/json", headers)

    async def reply_unread(
        self, status: int, value: object, headers: Mapping[str, str], max_discarded_bytes: int
    ) -> None:
        """Send a complete JSON response although the body was not read, and discard the body.

        A connection that is closed unread is reset, and its caller could lose the response.
        """
        data = msgspec.json.encode(value)
        fields = {"content-type": "application/json", "content-length": str(len(data)), **headers}
        await self.start(status, fields)
        await self.write(data)
        if not self._awaits_continue and not await self._discard_body(max_discarded_bytes):
            self.close()
        await self.write(b"", more=False)

    async def _discard_body(self, max_bytes: int) -> bool:
        """Read and discard the rest of the body; return whether it ended within the bounds."""
        discarded_bytes = 0
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while not self._whole and discarded_bytes <= max_bytes:
                with anyio.move_on_after(DISCARD_IDLE_S) as idle:
                    message = await self._receive()
                if idle.cancelled_caught or message["type"] == "http.disconnect":
                    break
                discarded_bytes += len(message.get("body", b""))
                self._whole = not message.get("more_body", False)
        return self._whole

    async def reply_bytes(
        self, status: int, data: bytes, kind: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response of media type `kind`."""
        fields = {"content-type": kind, "content-length": str(len(data)), **(headers or {})}
        await self.start(status, fields)
        await self.write(data, more=False)


Handler = Callable[[Call], Awaitable[None]]


def parse_address(address: str) -> tuple[str, int]:
    """Split `IP:port` into its parts."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Return whether a text is of the form `IP:port`, with a numeric IPv4 address."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 2**16


def bind(address: str, send_buffer_bytes: int | None = None) -> socket.socket:
    """Return a listening socket; port 0 chooses a free one.

    `send_buffer_bytes` is the kernel's send buffer of each connection. By default the kernel
    chooses it, up to 4 MB for a caller that reads nothing.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if send_buffer_bytes is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    listener.bind(parse_address(address))
    listener.listen(1024)
    listener.setblocking(False)
    return listener


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config, policy: ConnectionPolicy):
        super().__init__(config)
        self._policy = policy
        self._stop_requested = asyncio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Do not install signal handlers; the daemon has its own."""
        yield

    async def main_loop(self) -> None:
        """Tick once a second instead of ten times, which costs an idle node more.

        A stop wakes it at once, because requests have limited time to end before the process is
        killed.
        """
        while not await self.on_tick(0):
            with anyio.move_on_after(TICK_INTERVAL_S):
                await self._stop_requested.wait()

    def stop(self) -> None:
        """End the main loop."""
        self.should_exit = True
        self._stop_requested.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Stop listening; return once the open connections have served their last requests.

        The kernel resets the connections that wait for a listener when it closes, so they are
        accepted first.
        """
        self._policy.stopping = True
        loop = asyncio.get_running_loop()
        listeners = sockets or []
        for listener in listeners:
            loop.remove_reader(listener.fileno())
        # Connections that the event loop has accepted are attached to their listener in this turn.
        await asyncio.sleep(0)
        waiting = [connection for listener in listeners for connection in _accept_all(listener)]
        for server in self.servers:
            server.close()
        for connection in waiting:
            await loop.connect_accepted_socket(self._make_protocol, connection)
        await super().shutdown(sockets)

    def _make_protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        return protocol


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait for a listener."""
    accepted: list[socket.socket] = []
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            continue
        except BlockingIOError:
            return accepted
        except OSError as error:
            logger.warning("event=accept_failed problem=%r", error)
            return accepted
        connection.setblocking(False)
        accepted.append(connection)


class AcceptGate(Protocol):
    """Decides which new connections are accepted; `key` identifies one while it is open."""

    def accept(self, key: int) -> bool:
        """Return whether to accept a new connection."""

    def begin_request(self, key: int) -> None:
        """Record that the handler of a request begins."""

    def send_on(self, key: int) -> None:
        """Record that the handler is done with its own work, and waits for others."""

    def end_request(self, key: int) -> None:
        """Record that the handler of a request has ended."""

    def close(self, key: int) -> None:
        """Record that an accepted connection was closed."""


class _BoundedListener(socket.socket):
    """A listening socket that closes the connections for which its server has no room.

    Nothing is read of them, and no transport or protocol is made for them.
    """

    table: ConnectionTable
    gate: AcceptGate | None

    def accept(self) -> tuple[socket.socket, Any]:
        """Return the next connection that is admitted; raises BlockingIOError without one."""
        for _ in range(MAX_REJECTED_PER_TURN):
            if not self.table.accepts:
                break
            connection, address = super().accept()
            if self.gate is not None and not self.gate.accept(connection.fileno()):
                connection.close()
            elif self.table.admit(monotonic_ms()):
                return connection, address
            else:
                if self.gate is not None:
                    self.gate.close(connection.fileno())
                connection.close()
        raise BlockingIOError


def _bound_listener(
    listener: socket.socket, table: ConnectionTable, gate: AcceptGate | None
) -> _BoundedListener:
    bounded = _BoundedListener(fileno=listener.detach())
    bounded.table, bounded.gate = table, gate
    bounded.setblocking(False)
    return bounded


class _GatedConnection(HttpConnection):
    """Tells the gate when it is closed."""

    def __init__(self, gate: AcceptGate, *arguments: Any, **uvicorn_arguments: Any):
        super().__init__(*arguments, **uvicorn_arguments)
        self._gate = gate

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection was closed."""
        self._gate.close(self.transport.get_extra_info("socket").fileno())
        super().connection_lost(exc)


class HttpServer:
    """Serves one handler on one socket until it is stopped.

    `gate` decides which new connections are accepted; by default all are. `echoed_field`: the
    header field, in lower case, that the refusal of a head repeats from it. `max_connections`: open
    ones; beyond it, the one that waits longest for its caller gives way. `heads` and `unread`:
    bounds that the servers of a process share. `untaken_s`: how long a caller may take nothing of
    an answer that waits for it.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        grace_s: int = 1,
        idle_s: float = KEEP_ALIVE_S,
        date_header: bool = True,
        gate: AcceptGate | None = None,
        echoed_field: str = "",
        max_connections: int | None = None,
        heads: HeadMemory | None = None,
        unread: UnreadConnections | None = None,
        untaken_s: float = UNTAKEN_MS / 1000,
    ):
        self._gate = gate
        port = listener.getsockname()[1]
        self.table = ConnectionTable(max_connections, f"port-{port}")
        self._listener = _bound_listener(listener, self.table, gate)
        self._handler = handler
        self._policy = ConnectionPolicy(
            idle_s * 1000,
            echoed_field=echoed_field.encode(),
            table=self.table,
            heads=heads or HeadMemory(),
            unread=unread or UnreadConnections(),
            untaken_ms=untaken_s * 1000,
        )
        connection = (
            functools.partial(HttpConnection, self._policy)
            if gate is None
            else functools.partial(_GatedConnection, gate, self._policy)
        )
        config = uvicorn.Config(
            self._app,
            log_config=None,
            access_log=False,
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            server_header=False,
            date_header=date_header,
            http=connection,  # type: ignore[arg-type]  # uvicorn only calls it
            loop="asyncio",
            timeout_graceful_shutdown=grace_s,
        )
        self._server = _Server(config, self._policy)

    @property
    def address(self) -> str:
        """The listening address, as `IP:port`."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` or cancellation."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            with anyio.CancelScope(shield=True):
                self._abort()

    def set_keep_alive(self, idle_s: float) -> None:
        """Set the idle timeout of all connections.

        Those that rest may do so for as long as they could before, if that is longer.
        """
        self._policy.idle_ms = idle_s * 1000

    @property
    def closed_connections(self) -> Mapping[CloseReason, int]:
        """The number of closed connections by reason."""
        return self._policy.closed.counts

    def set_header_limits(self, max_bytes: int, timeout_ms: float) -> None:
        """Set the limits of a request's head; beyond them it is answered with 431 or 408."""
        self._policy.header_bytes = max_bytes
        self._policy.header_ms = timeout_ms

    def set_body_limit(self, max_bytes: int) -> None:
        """Set the limit of a request's body; as much is read of one that was answered early."""
        self._policy.unwanted_bytes = max(MAX_UNWANTED_BYTES, max_bytes)

    def stop(self) -> None:
        """Stop accepting; `run` returns when the calls in progress have ended.

        Requests that have arrived by now are served.
        """
        self._server.stop()

    def _abort(self) -> None:
        for server in getattr(self._server, "servers", []):
            server.close()
        self._listener.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()

    async def _app(self, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        call = Call(scope, receive, send)
        if self._gate is None:
            await self._handle(call)
            return
        key = call.connection_number
        call.on_send = functools.partial(self._gate.send_on, key)
        self._gate.begin_request(key)
        try:
            await self._handle(call)
        finally:
            self._gate.end_request(key)

    async def _handle(self, call: Call) -> None:
        try:
            await self._handler(call)
        except BadBody as error:
            if not call.started:
                body = {"message": str(error), "type": "invalid_request_error"}
                await call.reply(400, {"error": body})
        except ConnectionError:
            raise
        except Exception:
            logger.exception("event=handler_failed method=%s path=%s", call.method, call.path)
            raise
