"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs


@dataclass
class Request:
    """One request that a stand-in received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    path, _, query = target.partition("?")
    fields = {key: values[0] for key, values in parse_qs(query).items()}
    return Request(method, path, fields, headers, body)


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serve requests on an address; the handler returns whether the connection stays open."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await handler(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            # The event loop may be closed already.
            with contextlib.suppress(RuntimeError):
                writer.close()

    return await asyncio.start_server(handle, host, port, backlog=256)


async def reply(
    writer: asyncio.StreamWriter, status: int, value: object, fields: dict[str, str] | None = None
) -> bool:
    """Send a JSON answer with a length; returns True, as the connection stays open."""
    body = json.dumps(value).encode()
    named = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    await send_head(writer, status, named | (fields or {}))
    writer.write(body)
    await writer.drain()
    return True


async def send_head(writer: asyncio.StreamWriter, status: int, fields: dict[str, str]) -> None:
    """Send the status line and the header fields of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
    await writer.drain()


@dataclass
class Answer:
    """What a client received: `whole` if the answer ended as the protocol says."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


class ClientConnection:
    """One connection of a client, which sends one request after the other."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "ClientConnection":
        """Connect to `IP:port`."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def ask(
        self, method: str, target: str, fields: dict[str, str], body: bytes, limit_s: float
    ) -> Answer:
        """Send a request and read its answer; status 0 without any."""
        status, headers, received, whole = 0, dict[str, str](), bytearray(), False
        try:
            async with asyncio.timeout(limit_s):
                named = {"Content-Length": str(len(body))} | fields
                lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in named.items())]
                self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
                await self._writer.drain()
                raw = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                status = int(raw[0].split(" ")[1])
                for line in raw[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                whole = await _read_body(self._reader, headers, received)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return Answer(status, headers, bytes(received), whole)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def call(
    address: str, method: str, target: str, fields: dict[str, str], body: bytes, limit_s: float
) -> Answer:
    """Send one request on a new connection and read its answer; status 0 without any."""
    try:
        async with asyncio.timeout(limit_s):
            connection = await ClientConnection.open(address)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", False)
    try:
        named = {"Connection": "close"} | fields
        return await connection.ask(method, target, named, body, limit_s)
    finally:
        connection.close()


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], received: bytearray
) -> bool:
    """Read a body with a length or in chunks; returns whether it ended as framed."""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            if size == 0:
                return True
            received += await reader.readexactly(size)
            await reader.readexactly(2)
    left = int(headers["content-length"]) if "content-length" in headers else None
    while left is None or left > 0:
        part = await reader.read(65536)
        if not part:
            return left is None
        received += part
        left = None if left is None else left - len(part)
    return True
