"""Stand-in for the store of the users' platform, with faults."""

import asyncio
from urllib.parse import parse_qs

import anyio

from saffronworks.web import Call, HttpServer, bind

__all__ = ["SLOW_S", "FakeStore"]

PAGE = 3
# Delay of each answer of a slow store.
SLOW_S = 0.3


class FakeStore:
    """Objects by kind and name with one revision counter; `fault` makes it misbehave."""

    def __init__(self):
        self._listener = bind("127.0.0.1:0")
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self.revision = 1
        self.oldest = 0
        # Epoch, incremented by each restore; None omits the field from answers.
        self.era = 1
        self.objects = {}
        self.events = []
        self.fault = None
        self.calls = []
        self._changed = asyncio.Event()

    async def run(self):
        await HttpServer(self._listener, self._handle).run()

    def put(self, kind, name, spec):
        self.revision += 1
        self.objects[kind, name] = (self.revision, spec)
        self._record_event(kind, name, removed=False)

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.revision += 1
            _, spec = self.objects[kind, name]
            self._record_event(kind, name, removed=True)
            del self.objects[kind, name]
            assert spec is not None

    def forget_history(self):
        self.oldest = self.revision
        self.events.clear()
        self._wake()

    def snapshot(self):
        """Return a copy to restore from."""
        return self.revision, dict(self.objects)

    def restore(self, copy):
        """Revert all writes since the copy; their revisions are issued again."""
        self.revision, self.objects = copy[0], dict(copy[1])
        self.era += 1
        self.forget_history()

    def _record_event(self, kind, name, removed):
        self.events.append((self.revision, kind, name, removed, self._show(kind, name)))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _show(self, kind, name):
        revision, spec = self.objects[kind, name]
        return {"metadata": {"name": name, "revision": revision}, "spec": spec, "status": None}

    async def _reply(self, call, status, value):
        headers = {} if self.era is None else {"store-era": str(self.era)}
        await call.reply(status, value, headers)

    async def _handle(self, call: Call):
        parts = call.path.removeprefix("/saffronworks/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        self.calls.append((call.method, kind, name))
        if self.fault == "busy":
            return await self._reply(call, 503, {})
        if self.fault == "limited":
            return await self._reply(call, 429, {})
        if self.fault == "silent":
            return await anyio.sleep(30)
        if self.fault == "slow":
            await anyio.sleep(SLOW_S)
        query = {key: values[0] for key, values in parse_qs(call.query).items()}
        if "watch" in query:
            return await self._watch(call, kind, query)
        if call.method == "GET":
            return await self._list(call, kind, query)
        body = await call.json() if call.method in ("POST", "PUT") else {}
        status, reply = self._write(call.method, kind, name, body)
        if self.fault == "lost":
            return call.cut()
        return await self._reply(call, status, reply)

    def _write(self, method, kind, name, body):
        name = name or body["metadata"]["name"]
        known = self.objects.get((kind, name))
        if method == "DELETE":
            self.remove(kind, name)
            return (200 if known else 404), {}
        if method == "POST" and known:
            return 409, self._show(kind, name)
        if method == "PUT" and known is None:
            return 404, {}
        if method == "PUT" and body["metadata"].get("revision", known[0]) != known[0]:
            return 409, self._show(kind, name)
        self.put(kind, name, body["spec"])
        return 200, self._show(kind, name)

    async def _list(self, call, kind, query):
        after = query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self._show(kind, name) for name in names[:PAGE]]
        reply = {"items": items, "has_more": len(names) > PAGE, "current_rev": self.revision}
        await self._reply(call, 200, reply)

    async def _watch(self, call, kind, query):
        since, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000
        with anyio.move_on_after(wait_s):
            while self._keeps(since) and not self._since(kind, since):
                await self._changed.wait()
        if not self._keeps(since):
            return await self._reply(call, 410, {})
        events = [
            {"removed": removed, "object": shown}
            for _, _, _, removed, shown in self._since(kind, since)
        ]
        return await self._reply(call, 200, {"events": events, "current_rev": self.revision})

    def _keeps(self, since):
        return self.oldest <= since <= self.revision

    def _since(self, kind, since):
        return [event for event in self.events if event[0] > since and event[1] == kind]
