"""The path of a request at its entry node without sockets; owner and engines are given."""

import json
from contextlib import asynccontextmanager

import anyio
import attrs
from result import Err, Ok

from saffronworks import request_events
from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.burn import BurnRecorder
from saffronworks.ends import EndRecorder
from saffronworks.engines import DecodeLine, EngineFailure, PrefillReply, Resume
from saffronworks.entries import EntryService
from saffronworks.frontends import Frontend
from saffronworks.kernel import Kernel
from saffronworks.messages import Ask, Prefilled
from saffronworks.metrics import Metrics
from saffronworks.ownership import Cell
from saffronworks.settings import Settings
from saffronworks.tests.caller_fakes import FakeCaller

GONE = Err(EngineFailure("connect", executed=False))
HANGS = "hangs"


def line(*tokens, offset=0):
    return DecodeLine(offset=offset, tokens=tokens)


def done(total):
    return DecodeLine(done=True, total=total)


CANCELLED = DecodeLine(cancelled=True)


@attrs.define
class GivenEngines:
    """Engines that answer the next decode, or resume, with the next given lines."""

    scripts: list
    prefills: list = attrs.Factory(list)

    async def prefill(self, address, call, limit_ms):
        self.prefills.append(call)
        return Ok(PrefillReply(f"kv{call.attempt}", 10, 0, 800))

    @asynccontextmanager
    async def open_decode(self, address, call, stall_ms):
        script = self.scripts.pop(0) if self.scripts else GONE
        yield script if isinstance(script, Err) else Ok(self._lines(script, call))

    async def _lines(self, script, call):
        if not isinstance(call, Resume):
            yield DecodeLine(imported=True, transfer_ms=1)
        for item in script:
            if item is HANGS:
                await anyio.sleep_forever()
            if isinstance(item, Exception):
                await anyio.wait_all_tasks_blocked()  # so that what came before is with the caller
                raise item
            yield item


class GivenOwner(EntryService):
    """An entry whose owner grants at once: prefills at `prefill`, decodes at `decode`."""

    prefill, decode = "p", "d"

    def send_to_owner(self, cell, message):
        match message:
            case Ask(key=key):
                event = request_events.GrantReceived(key.attempt, self.prefill)
                self.runners[key.request_id].post(event)
            case Prefilled(key=key):
                event = request_events.AssignReceived(key.attempt, self.decode, 900)
                self.runners[key.request_id].post(event)


@attrs.define
class Listed:
    """A service of the kernel that does nothing."""

    name: str

    async def run(self, kernel, mailbox):
        """Nothing."""

    def owner_of(self, cell):
        return "n"


class RequestPath:
    """One node's frontend and entry; `ask` sends one request through them."""

    def __init__(self, *scripts):
        settings = Settings("n", "z", "r")
        self.engines = GivenEngines(list(scripts))
        self.kernel = Kernel("n", lambda: 10)
        self.entry = GivenOwner(settings, 1)
        for service in (self.entry, Listed("members"), Listed("cancels")):
            self.kernel.register(service)
        self.ends = EndRecorder(Metrics("n"), BurnRecorder("n"))
        self.frontend = Frontend(settings, self.kernel, self.engines, None, self.ends, "seed")
        ends = (Endpoint("p", "p:1", "z", Role.PREFILL), Endpoint("d", "d:1", "z", Role.DECODE))
        pool, model = Pool("pool", ends), Model("m", "pool")
        self.entry.routes.models["m"] = (model, (Cell("c", pool, ends, (model,)),))

    def caller(self, stream=True):
        body = {"model": "m", "prompt": "p", "max_tokens": 8, "stream": stream}
        return FakeCaller("POST", "/v1/completions", json.dumps(body).encode())

    async def serve(self, caller):
        with caller.served():
            await self.frontend.handle(caller.call)


def ask(path, stream=True):
    """Send one request and give back its caller."""
    caller = path.caller(stream)

    async def main():
        with anyio.fail_after(5):
            await path.serve(caller)

    anyio.run(main)
    return caller
