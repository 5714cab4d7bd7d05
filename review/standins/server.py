"""Stand-in for one server, as a process of its own.

SIGUSR1 makes it declare `draining`. It logs each request that it runs to standard output.
"""

import argparse
import asyncio
import json
import signal
import time
import uuid
from typing import Any

from wire import Request, call, reply, send_head, serve

# From the middle of a spoiled stream on, its ids rise from this number.
SPOILED_ID = 900_000_000_000_000_000


class Server:
    """One server with its entry in the store."""

    def __init__(self, options: argparse.Namespace):
        self.options = options
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.streams = 0

    def log(self, event: str, **fields: Any) -> None:
        """Write one line of the log."""
        line = {"at": round(time.monotonic(), 3), "server": self.options.name, "event": event}
        print(json.dumps(line | fields), flush=True)

    async def run(self) -> None:
        """Serve, and write the entry at every heartbeat, until the process is killed."""
        loop = asyncio.get_running_loop()
        self.wake = asyncio.Event()
        loop.add_signal_handler(signal.SIGUSR1, self.drain)
        host, port = self.options.address.split(":")
        await serve(self._handle, host, int(port))
        while True:
            await self._write_entry()
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), 1.2)
            except TimeoutError:
                continue

    def drain(self) -> None:
        """Declare `draining`."""
        self.state = "draining"
        self.wake.set()

    async def _write_entry(self) -> None:
        options = self.options
        self.sequence += 1
        spec = {
            "service": options.service,
            "address": options.address,
            "zone": options.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if options.stage:
            models = [{"name": "m", "version": 1, "adapters": []}]
            spec |= {"stage": options.stage, "models": models}
        body = json.dumps({"metadata": {"name": options.name}, "spec": spec}).encode()
        path, fields = "/saffronworks/objects/servers", {"Host": "store"}
        written = await call(options.store, "PUT", f"{path}/{options.name}", fields, body, 1.0)
        if written.status == 404:
            written = await call(options.store, "POST", path, fields, body, 1.0)
        self.log("entry", state=self.state, status=written.status)

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        name, request_id = self.options.name, request.headers.get("request-id", "")
        own = {"Request-Id": request_id} if request_id else {}
        if request.path == "/health":
            ready = self.state == "ready"
            return await reply(writer, 200 if ready else 503, {}, {"Instance-Id": name})
        if request.headers.get("expect-instance", name) != name:
            return await reply(writer, 421, {}, own | {"Instance-Id": name})
        if request.path.startswith("/saffronworks/"):
            return await self._control(request, writer)
        if request.headers.get("stage") == "prefill":
            handle = {"kv_handle": uuid.uuid4().hex[:12], "tokens": 100, "version": 1}
            return await reply(writer, 200, handle, own)
        self.log("runs", request=request_id, path=request.path)
        own |= {"Server-Stamp": f"stamp-{name}"}
        if self.options.stage:
            return await self._stream(request, writer, own)
        return await self._plain(request, writer, own)

    async def _control(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path.endswith("/hold-take"):
            return await reply(writer, 200, {"hold": uuid.uuid4().hex[:12]})
        if request.path.endswith("/order"):
            return await reply(writer, 409, {})
        return await reply(writer, 200, {})

    async def _plain(
        self, request: Request, writer: asyncio.StreamWriter, own: dict[str, str]
    ) -> bool:
        """Answer in parts over `work_s` seconds, without a length if `unframed`."""
        parts = [b"%04d " % number + b"x" * 94 + b"\n" for number in range(self.options.parts)]
        if not self.options.unframed:
            await asyncio.sleep(self.options.work_s)
            length = sum(len(part) for part in parts)
            await send_head(writer, 200, own | {"Content-Length": str(length)})
            writer.write(b"".join(parts))
            await writer.drain()
            return True
        await send_head(writer, 200, own | {"Connection": "close"})
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.options.work_s / len(parts))
        return False

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, own: dict[str, str]
    ) -> bool:
        """Send events at equal intervals over `work_s` seconds."""
        own |= {"Content-Type": "text/event-stream", "Weight-Versions": "1"}
        unframed, parts = self.options.unframed, self.options.parts
        framing = {"Connection": "close"} if unframed else {"Transfer-Encoding": "chunked"}
        await send_head(writer, 200, own | framing)
        self.streams += 1
        every = self.options.spoil_every
        spoiled = every > 0 and self.streams % every == every // 2
        if spoiled:
            self.log("spoils", request=request.headers.get("request-id"))
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, parts + 1):
            event_id = number + SPOILED_ID if spoiled and number > parts // 2 else number
            event = f"id: {event_id}\ndata: piece {number} of {parts}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.options.work_s / parts)
        if not unframed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return not unframed


def main() -> None:
    """Run one server with the options of the command line."""
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "address", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--stage", default="")
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--parts", type=int, default=8)
    parser.add_argument("--spoil-every", type=int, default=0)
    parser.add_argument("--work-s", type=float, default=0.05)
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == "__main__":
    main()
