"""A small stand-in for a plain service; it counts how often each marked call was run."""

import anyio

from saffronworks.web import Call, HttpServer, bind

__all__ = ["StandinPlain"]


class StandinPlain:
    """Echoes method, path and body; counts calls by their `x-call-id` header."""

    def __init__(self, name: str, address: str = "127.0.0.1:0"):
        self.name = name
        self._listener = bind(address)
        self.address = "{}:{}".format(*self._listener.getsockname()[:2])
        self.calls: dict[str, int] = {}
        self.fail_next = 0
        self.answer_after_ms = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        await HttpServer(self._listener, self._handle).run()

    async def _handle(self, call: Call) -> None:
        body = await call.body(8_000_000)
        call_id = call.headers.get("x-call-id", "")
        self.calls[call_id] = self.calls.get(call_id, 0) + 1
        if self.fail_next > 0:
            self.fail_next -= 1
            call.cut()
            return
        await anyio.sleep(self.answer_after_ms / 1000)
        reply = {"server": self.name, "method": call.method, "path": call.path, "bytes": len(body)}
        await call.reply(200, reply)
