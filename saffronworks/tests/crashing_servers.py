"""Fake servers whose process crashes when it runs a given content or part of a prompt."""

import asyncio
import time

import attrs

from saffronworks.tests.platform_fakes import FakeServer

__all__ = ["CRASHING", "CRASHING_PART", "Arrivals", "CrashingServer"]

# A body that contains this crashes each server that runs it.
CRASHING = b"deadly"
# A prompt with this part crashes each server that writes an answer on it.
CRASHING_PART = "badc0de5"
# From the first token of a run to the crash.
RUNS_S = 0.03
# Downtime before the server starts again under its name.
DOWN_S = 0.3


@attrs.define
class Arrivals:
    """Times in seconds of crashing requests: when servers received them, and when they crashed."""

    sends_s: list = attrs.Factory(list)
    ends_s: list = attrs.Factory(list)

    def sends_after_end(self, number, wait_s):
        """Return how many sends came later than `wait_s` after that crash, counted from 1."""
        from_s = self.ends_s[number - 1] + wait_s
        return sum(sent_s > from_s for sent_s in self.sends_s)


class CrashingServer(FakeServer):
    """A fake server that closes all connections at a crash and refuses new ones until restarted."""

    def __init__(self, instance, service, stage, arrivals, down_s=DOWN_S):
        super().__init__(instance, service, stage)
        self.arrivals = arrivals
        self.down_s = down_s
        self.store = None
        # Whether the caller receives the head of an answer and one event before the crash.
        self.head_first = False
        # Whether that answer has neither a length nor chunks, and its status.
        self.unframed = False
        self.status = 200
        self.runs_s = RUNS_S
        # Whether the server has been fixed and runs all contents.
        self.fixed = False
        # Whether a prefill of the content crashes the server as well.
        self.crashes_on_prefill = False
        # Whether a restart brings a new id, and how much later its entry is written.
        self.renames = False
        self.entry_delay_s = 0.0
        self._writers = set()
        self._over = asyncio.Event()

    async def run(self):
        host, port = self.address.split(":")
        while True:
            self._over.clear()
            server = await asyncio.start_server(self._serve, host, int(port))
            async with server:
                await self._over.wait()
                server.close()
                for writer in list(self._writers):
                    writer.transport.abort()
            await asyncio.sleep(self.down_s)
            self.restart()
            if self.renames:
                self.instance += "n"
            asyncio.get_running_loop().call_later(self.entry_delay_s, self._put_entry)

    def _put_entry(self):
        self.store.put("servers", self.instance, self.entry())

    def end(self):
        """Crash at once, with all requests in progress."""
        self.arrivals.ends_s.append(time.monotonic())
        self._over.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def _is_crashing(self, headers):
        return CRASHING in self.seen[-1][3] or CRASHING_PART in headers.get("prompt-prefix", "")

    async def _request(self, reader, writer, headers):
        if self.fixed or not self._is_crashing(headers):
            return await super()._request(reader, writer, headers)
        self.arrivals.sends_s.append(time.monotonic())
        if headers.get("stage") == "prefill" and not self.crashes_on_prefill:
            return await super()._request(reader, writer, headers)
        if self.head_first:
            own = {"Request-Id": headers["request-id"], "Server-Stamp": "s"}
            framing = {} if self.unframed else {"Transfer-Encoding": "chunked"}
            await self._head(writer, self.status, own | framing)
            event = b"id: 1\ndata: one\n\n"
            writer.write(event if self.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        await asyncio.sleep(self.runs_s)
        if not self._over.is_set():
            self.end()
        await asyncio.sleep(RUNS_S)
        return False
