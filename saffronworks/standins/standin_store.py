"""A small stand-in for the platform's object API: versions, conditional updates, watches."""

import time
from urllib.parse import parse_qs

import anyio
import attrs

from saffronworks.web import Call, HttpServer, bind

__all__ = ["StandinStore"]


@attrs.frozen
class _Object:
    key: str
    version: int
    value: str
    revision: int


class StandinStore:
    """Objects in memory. `outage`, `slow_ms` and `lose_replies` bring about its faults."""

    def __init__(self, address: str = "127.0.0.1:0"):
        self._listener = bind(address)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self.objects: dict[str, _Object] = {}
        self.revision = 0
        self.outage = False
        self.slow_ms = 0
        self.lose_replies = 0
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        await HttpServer(self._listener, self._handle).run()

    def put(self, key: str, value: str) -> int:
        """Write from the platform's own side; returns the new version."""
        before = self.objects.get(key)
        self.revision += 1
        version = before.version + 1 if before else 1
        self.objects[key] = _Object(key, version, value, self.revision)
        self._changed.set()
        self._changed = anyio.Event()
        return version

    async def _handle(self, call: Call) -> None:
        if self.slow_ms:
            await anyio.sleep(self.slow_ms / 1000)
        if self.outage:
            await call.reply(503, {"error": "outage"})
            return
        query = {key: values[0] for key, values in parse_qs(call.query).items()}
        if call.path == "/watch":
            self.watches += 1
            await self._watch(call, query)
        elif call.path == "/objects":
            self.reads += 1
            await self._list(call, query.get("prefix", ""), since=0)
        elif call.path.startswith("/objects/") and call.method == "PUT":
            self.writes += 1
            await self._put(call, call.path.removeprefix("/objects/"), query)
        elif call.path.startswith("/objects/"):
            self.reads += 1
            await self._get(call, call.path.removeprefix("/objects/"))
        else:
            await call.reply(404, {"error": "no such call"})

    async def _get(self, call: Call, key: str) -> None:
        found = self.objects.get(key)
        if found is None:
            await call.reply(404, {"error": "no such object"})
        else:
            await call.reply(200, attrs.asdict(found))

    async def _put(self, call: Call, key: str, query: dict[str, str]) -> None:
        value = (await call.body(1_000_000)).decode()
        found = self.objects.get(key)
        version = found.version if found else 0
        if "if_version" in query and int(query["if_version"]) != version:
            await call.reply(409, {"error": "version moved", "version": version})
            return
        new_version = self.put(key, value)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            call.cut()
            return
        await call.reply(200, {"version": new_version})

    async def _list(self, call: Call, prefix: str, since: int) -> None:
        found = [
            attrs.asdict(item)
            for key, item in sorted(self.objects.items())
            if key.startswith(prefix) and item.revision > since
        ]
        await call.reply(200, {"revision": self.revision, "objects": found})

    async def _watch(self, call: Call, query: dict[str, str]) -> None:
        since = int(query.get("since", "0"))
        until_s = time.monotonic() + int(query.get("timeout_ms", "10000")) / 1000
        prefix = query.get("prefix", "")
        while not self._has_news(prefix, since) and not self.outage:
            changed = self._changed
            with anyio.move_on_after(max(0.0, min(1.0, until_s - time.monotonic()))):
                await changed.wait()
            if time.monotonic() >= until_s:
                break
        await self._list(call, prefix, since)

    def _has_news(self, prefix: str, since: int) -> bool:
        return any(
            item.revision > since and key.startswith(prefix) for key, item in self.objects.items()
        )
