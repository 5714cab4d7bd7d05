"""What the operator and endpoints write to the store, also again after a restore from a copy."""

import random
from collections import deque

import anyio

__all__ = ["WRITE_AGAIN_MS", "OutsideWrites"]

# Within this time after a restore everything is written again.
WRITE_AGAIN_MS = 2000
# How often a copy is made, and how old one may be that is still kept.
COPY_EVERY_S, KEEP_COPIES_MS = 0.25, 8000
# Others write as often, and are back so long after a restore: until then revisions stay behind.
OTHERS_EVERY_S, OTHERS_BACK_MS = 0.05, 10_000


class OutsideWrites:
    """Writes on behalf of the operator and the endpoints; keeps copies to restore from."""

    def __init__(self, store, seed, now_ms):
        self._store = store
        self._rng = random.Random(f"{seed}/outside")
        self._now_ms = now_ms
        self._written = {}
        self._copies = deque()
        self._others_from_ms = 0

    def put(self, kind, name, spec):
        self._written[kind, name] = spec
        self._store.put(kind, name, spec)

    def remove(self, kind, name):
        self._written[kind, name] = None
        self._store.remove(kind, name)

    async def make_copies(self):
        while True:
            self._copies.append((self._now_ms(), self._store.snapshot()))
            while self._copies[0][0] < self._now_ms() - KEEP_COPIES_MS:
                self._copies.popleft()
            await anyio.sleep(COPY_EVERY_S)

    async def write_others(self):
        """Writes that no node follows."""
        while True:
            if self._now_ms() >= self._others_from_ms:
                self._store.put("others", "one", {})
            await anyio.sleep(OTHERS_EVERY_S)

    async def restore(self, away_ms, lost_ms):
        """The store is away, comes back without the last `lost_ms`, and is written again."""
        until_ms = self._now_ms() - lost_ms
        copies = [copy for made_ms, copy in self._copies if made_ms <= until_ms]
        copy = copies[-1] if copies else self._copies[0][1]
        self._store.fault = "busy"
        await anyio.sleep(away_ms / 1000)
        self._store.restore(copy)
        self._others_from_ms = self._now_ms() + OTHERS_BACK_MS
        self._copies.clear()
        self._copies.append((self._now_ms(), self._store.snapshot()))
        self._store.fault = None
        async with anyio.create_task_group() as tasks:
            for key in self._written:
                tasks.start_soon(self._write_again, *key, self._rng.randrange(WRITE_AGAIN_MS))

    async def _write_again(self, kind, name, after_ms):
        await anyio.sleep(after_ms / 1000)
        spec = self._written[kind, name]
        _, found = self._store.objects.get((kind, name), (0, None))
        if spec is None:
            self._store.remove(kind, name)
        elif spec != found:
            self._store.put(kind, name, spec)
