"""Callers with long answers, who use nodes that drain until their processes are gone."""

from typing import ClassVar

import anyio
import httpcore

from saffronworks.tests.soak.callers import Caller

__all__ = ["LongCaller", "PageCaller"]

PAUSE_S = 0.1
# Share of requests on a new connection to any node that runs.
NEW_SHARE = 0.3


class LongCaller(Caller):
    """Asks again and again; keeps its connection to a node until that breaks, or takes another."""

    kinds: ClassVar = {"long": 4, "lres": 2, "once": 2, "again": 1}

    async def run(self, until):
        """Ask until `until()` says that it is over."""
        number = 0
        while not until():
            number += 1
            if self._rng.random() < NEW_SHARE and self._pool is not None:
                await self._pool.aclose()
                self._pool = None
            kind = self._rng.choices(list(self.kinds), list(self.kinds.values()))[0]
            wait_s = await self._ask(kind, f"{self._name}-{number}")
            await anyio.sleep(min(PAUSE_S, wait_s) + PAUSE_S * self._rng.random())
        if self._pool is not None:
            await self._pool.aclose()

    def _connect(self):
        if self._pool is None:
            running = self._site.running_nodes() or list(range(len(self._site.nodes)))
            self._node = self._rng.choice(running)
            self._pool = httpcore.AsyncConnectionPool(max_connections=1, keepalive_expiry=10)
        return self._pool


class PageCaller(LongCaller):
    """Asks for plain answers whose deadline lies behind the end of a node that drains."""

    kinds: ClassVar = {"page": 1, "opage": 1}
