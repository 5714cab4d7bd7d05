"""Small helpers over ASGI and uvicorn, shared by nodes and stand-ins."""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import anyio
import msgspec
import uvicorn

from saffronworks.sockets import unacknowledged_bytes

__all__ = ["BadBody", "Call", "HttpServer", "bind", "is_address", "parse_address"]

logger = logging.getLogger(__name__)

LOOK_EVERY_S = 1.0
KEEP_ALIVE_S = 30.0


class BadBody(Exception):
    """The request's body is too large, or not what it should be."""


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
        self._receive = receive
        self._send = send
        self.streamed = False
        self._whole = False
        self._body = b""

    async def chunks(self) -> AsyncIterator[bytes]:
        """The body in parts, once; `streamed` tells that it cannot be sent again."""
        while not self._whole:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadBody("the caller hung up")
            self.streamed = True
            self._whole = not message.get("more_body", False)
            yield message.get("body", b"")

    async def body(self, most_bytes: int) -> bytes:
        """The whole body, kept for a second reading; BadBody beyond `most_bytes`."""
        parts: list[bytes] = [self._body]
        size_bytes = 0
        while not self._whole:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadBody("the caller hung up")
            parts.append(message.get("body", b""))
            size_bytes += len(parts[-1])
            if size_bytes > most_bytes:
                raise BadBody(f"body of more than {most_bytes} bytes")
            self._whole = not message.get("more_body", False)
        self._body = b"".join(parts)
        return self._body

    async def json(self, most_bytes: int = 8_000_000) -> Any:
        """The body as JSON; BadBody when it is none."""
        try:
            return msgspec.json.decode(await self.body(most_bytes))
        except msgspec.DecodeError as error:
            raise BadBody(f"body is not JSON: {error}") from error

    async def wait_gone(self) -> None:
        """Return when the caller hung up; call it after the body was read."""
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                return

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""
        await self.start_fields(status, headers.items())

    async def start_fields(self, status: int, fields: Iterable[tuple[str, str]]) -> None:
        """Send the status line and header fields, of which some may come more than once."""
        self.started = True
        raw = [(key.lower().encode(), value.encode("latin-1")) for key, value in fields]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def write(self, data: bytes, more: bool = True) -> None:
        """Send a part of the body; the last with `more` false."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    @property
    def _transport(self) -> asyncio.Transport:
        transport: asyncio.Transport = self._send.__self__.transport
        return transport

    @property
    def connection_key(self) -> int:
        """The same for all calls on one connection, while it is open."""
        return id(self._transport)

    @property
    def buffered_bytes(self) -> int:
        """What was written and waits in this process for the caller to read."""
        return self._transport.get_write_buffer_size()

    async def drain(self) -> None:
        """Return once the kernel has taken all that was written, or the caller left."""
        self._transport.set_write_buffer_limits(0)
        try:
            # uvicorn waits before a write, and an empty one sends nothing.
            await self.write(b"")
        finally:
            self._transport.set_write_buffer_limits()

    @property
    def kernel_bytes(self) -> int:
        """What waits in the kernel until the caller's machine acknowledges it."""
        return unacknowledged_bytes(self._transport.get_extra_info("socket"))

    def cut(self) -> None:
        """Cut the caller's connection at once, as a crash does."""
        self._transport.abort()

    def hang_up(self) -> None:
        """Close the caller's connection once what was written is out."""
        self._transport.close()

    async def reply(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole JSON response."""
        data = msgspec.json.encode(value)
        await self.reply_bytes(status, data, "application/json", headers)

    async def reply_bytes(
        self, status: int, data: bytes, kind: str, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole response of another type."""
        fields = {"content-type": kind, "content-length": str(len(data)), **(headers or {})}
        await self.start(status, fields)
        await self.write(data, more=False)


Handler = Callable[[Call], Awaitable[None]]


def parse_address(address: str) -> tuple[str, int]:
    """The parts of `IP:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Whether a text is of the form `IP:port`, with an IPv4 address by number."""
    host, _, port = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 2**16


def bind(address: str, send_buffer_bytes: int | None = None) -> socket.socket:
    """A listening socket; port 0 takes a free one.

    `send_buffer_bytes`: the kernel's buffer for what each connection has not taken, else the
    kernel chooses; it gives up to 4 MB where a caller reads nothing.
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
    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self._told_to_stop = asyncio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the daemon."""
        yield

    async def main_loop(self) -> None:
        """Look once a second, for the date header; ten times costs an idle node more.

        A stop is seen at once: each second that it waits is missing from the time that requests
        have to end in before the process is killed.
        """
        while not await self.on_tick(0):
            with anyio.move_on_after(LOOK_EVERY_S):
                await self._told_to_stop.wait()

    def stop(self) -> None:
        """End the main loop."""
        self.should_exit = True
        self._told_to_stop.set()


class HttpServer:
    """Serves one handler on one socket until it is stopped."""

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        grace_s: int = 1,
        idle_s: float = KEEP_ALIVE_S,
        date_header: bool = True,
    ):
        self._listener = listener
        self._handler = handler
        config = uvicorn.Config(
            self._app,
            log_config=None,
            access_log=False,
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            server_header=False,
            date_header=date_header,
            http="httptools",
            loop="asyncio",
            timeout_keep_alive=idle_s,  # type: ignore[arg-type]  # fractions work
            timeout_graceful_shutdown=grace_s,
        )
        self._server = _Server(config)

    @property
    def address(self) -> str:
        """The address that it listens on."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    async def run(self) -> None:
        """Serve until `stop` or cancellation."""
        try:
            await self._server.serve(sockets=[self._listener])
        finally:
            with anyio.CancelScope(shield=True):
                self._abort()

    def keep_idle(self, idle_s: float) -> None:
        """How long connections that are opened from now on may rest."""
        self._server.config.timeout_keep_alive = idle_s  # type: ignore[assignment]

    def stop(self) -> None:
        """Stop accepting, and return from `run` when the running calls are over."""
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
