"""Stand-in for the platform's store: objects, listings and watches."""

import asyncio
import functools
import json
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any

from wire import Request, reply, serve

# Fields of a server's entry whose change alone does not count as a change of the entry.
UNCOUNTED = ("sequence", "cold_left_ms")
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3


@dataclass
class Store:
    """All objects by kind and name.

    It listens on one port for each machine, so that it knows whose call it answers;
    `reset_watches` resets the waiting watches of one machine for one kind.
    """

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    written_s: dict[str, float] = field(default_factory=dict)
    watches: dict[tuple[str, str], set[asyncio.StreamWriter]] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def listen(self, machine: str, port: int) -> str:
        """Serve one machine on a loopback port; returns the address."""
        await serve(functools.partial(self._handle, machine), "127.0.0.1", port)
        return f"127.0.0.1:{port}"

    def start(self) -> None:
        """Drop the entries of servers that no longer write, from now on."""
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            for name, at_s in list(self.written_s.items()):
                if time.monotonic() - at_s > MISSED_HEARTBEATS * HEARTBEAT_S:
                    self.remove("servers", name)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> bool:
        """Write an object; returns False if that changes nothing."""
        if kind == "servers":
            self.written_s[name] = time.monotonic()
        known = self.objects.get((kind, name))
        if known is not None and _counted(kind, known["spec"]) == _counted(kind, spec):
            return False
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created}
        shown = {"metadata": metadata | {"finalizers": [], "deleting": False}}
        self.objects[kind, name] = shown | {"spec": spec, "status": None}
        self._record(kind, name, removed=False)
        return True

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; returns whether there was one."""
        if kind == "servers":
            self.written_s.pop(name, None)
        if (kind, name) not in self.objects:
            return False
        self.revision += 1
        self._record(kind, name, removed=True)
        del self.objects[kind, name]
        return True

    def _record(self, kind: str, name: str, removed: bool) -> None:
        self.events.append((self.revision, kind, self.objects[kind, name], removed))
        self._changed.set()
        self._changed = asyncio.Event()

    def reset_watches(self, machine: str, kind: str) -> int:
        """Reset the connections of a machine's waiting watches for a kind; returns their number."""
        writers = self.watches.get((machine, kind), set())
        for writer in writers:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return len(writers)

    async def _handle(
        self,
        machine: str,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        parts = request.path.removeprefix("/saffronworks/objects/").split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if "watch" in request.query:
            return await self._watch(request, writer, machine, kind)
        if request.method == "GET":
            return await self._read(request, writer, kind, name)
        return await self._write(request, writer, kind, name)

    async def _read(
        self, request: Request, writer: asyncio.StreamWriter, kind: str, name: str
    ) -> bool:
        if name:
            found = self.objects.get((kind, name))
            return await reply(writer, 404 if found is None else 200, found)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, each] for each in names]
        page = {"items": items, "has_more": False, "current_rev": self.revision}
        return await reply(writer, 200, page)

    async def _write(
        self, request: Request, writer: asyncio.StreamWriter, kind: str, name: str
    ) -> bool:
        body = json.loads(request.body) if request.body else {}
        name = name or body["metadata"]["name"]
        known = self.objects.get((kind, name))
        wanted = request.query.get("revision") or body.get("metadata", {}).get("revision")
        stale = known is not None and wanted is not None
        if stale and int(wanted) != known["metadata"]["revision"]:
            return await reply(writer, 409, known)
        if request.method == "DELETE":
            return await reply(writer, 200 if self.remove(kind, name) else 404, {})
        if request.method == "POST" and known is not None:
            return await reply(writer, 409, known)
        if request.method == "PUT" and known is None:
            return await reply(writer, 404, {})
        self.put(kind, name, body["spec"])
        return await reply(writer, 200, self.objects[kind, name])

    async def _watch(
        self, request: Request, writer: asyncio.StreamWriter, machine: str, kind: str
    ) -> bool:
        since, wait_s = int(request.query["watch"]), int(request.query["wait_ms"]) / 1000
        until_s = time.monotonic() + wait_s
        waiting = self.watches.setdefault((machine, kind), set())
        waiting.add(writer)
        try:
            while not (found := self._since(kind, since)):
                left_s = until_s - time.monotonic()
                if left_s <= 0 or writer.is_closing():
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), min(left_s, 0.05))
                except TimeoutError:
                    continue
        finally:
            waiting.discard(writer)
        if writer.is_closing():
            return False
        return await reply(writer, 200, {"events": found, "current_rev": self.revision})

    def _since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"removed": removed, "object": shown}
            for at, changed, shown, removed in self.events
            if at > since and changed == kind
        ]


def _counted(kind: str, spec: dict[str, Any]) -> dict[str, Any]:
    if kind != "servers":
        return spec
    return {key: value for key, value in spec.items() if key not in UNCOUNTED}
