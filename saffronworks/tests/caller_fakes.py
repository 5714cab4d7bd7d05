"""Both ends of a call without sockets: a caller behind ASGI, and upstreams that answer in bytes."""

import contextlib

import anyio
import httpcore

from saffronworks.web import Call


class FakeCaller:
    """One caller's connection, as uvicorn keeps it: what went out, and how that ended."""

    def __init__(self, method="GET", path="/", request=b""):
        self.transport = self
        self.status, self.headers, self.body = None, {}, b""
        self.ended = self.closed = False
        self.error = None
        self.reads = anyio.Event()
        self.reads.set()
        self._left = anyio.Event()
        self._request = [request]
        scope = {
            "method": method,
            "path": path,
            "query_string": b"",
            "raw_path": path.encode(),
            "headers": [(b"host", b"h:1")],
        }
        self.call = Call(scope, self.receive, self.send)

    @property
    def whole(self):
        """Whether the framing says that the whole answer is there."""
        return self.ended and not self.closed

    async def receive(self):
        if self._request:
            return {"type": "http.request", "body": self._request.pop(), "more_body": False}
        await self._left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        await self.reads.wait()
        if self.closed:
            return
        assert not self.ended, f"behind the end of an answer: {message}"
        if message["type"] == "http.response.start":
            assert self.status is None, f"a second head: {message}"
            self.status = message["status"]
            self.headers = {key.decode(): value.decode() for key, value in message["headers"]}
            return
        assert self.status is not None, f"a body before its head: {message}"
        self.body += message["body"]
        self.ended = not message["more_body"]

    def close(self):
        self.closed = True

    def stop_reading(self):
        """From now on what is sent to it waits, until it leaves."""
        self.reads = anyio.Event()

    def leave(self):
        """Hang up."""
        self.close()
        self.reads.set()
        self._left.set()

    @contextlib.contextmanager
    def served(self):
        """Serve within: as with uvicorn, an error closes the connection."""
        try:
            yield
        except Exception as error:
            self.error = error
            self.close()


class ScriptedUpstream(httpcore.AsyncNetworkBackend):
    """Each connection gives the next script: bytes, then a close, or the error that is in it."""

    def __init__(self, *scripts):
        self._scripts = list(scripts)
        self.connections = 0

    async def connect_tcp(self, host, port, **options):
        self.connections += 1
        return _ScriptedStream(self._scripts.pop(0))

    async def sleep(self, seconds):
        await anyio.sleep(seconds)


class _ScriptedStream(httpcore.AsyncNetworkStream):
    def __init__(self, script):
        self._script = list(script)

    async def read(self, max_bytes, timeout=None):
        item = self._script.pop(0) if self._script else b""
        if isinstance(item, Exception):
            raise item
        return item

    async def write(self, buffer, timeout=None):
        pass

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return None
