"""Engines on virtual time for the policy bench: the stand-in's model, with no I/O."""

import heapq
import random
from collections.abc import Callable

import attrs

from saffronworks.messages import RequestKey
from saffronworks.standins.standin_models import EngineProfile, PrefixCache

__all__ = ["Clock", "FakeEngine", "FaultPlan", "Stream"]

CHUNK_TOKENS = 4


@attrs.define
class Clock:
    """Virtual time: callbacks in order of time, then of their making."""

    now_ms: float = 0.0
    _heap: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    _serial: int = 0

    def after(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Call `act` in `delay_ms`."""
        self._serial += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._serial, act))

    def run(self, until_ms: float) -> None:
        """Run the callbacks that are due before `until_ms`."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self._heap)
            act()


@attrs.frozen
class FaultPlan:
    """Faults of one run; shares are chances per event."""

    engine_death: bool = False
    stalled_transfer_share: float = 0.0
    cancel_share: float = 0.0
    report_lag_ms: int = 200
    lost_report_share: float = 0.0


@attrs.define
class Stream:
    """One decode under way."""

    key: RequestKey
    total: int
    sent: int
    on_tokens: Callable[[int, int], None]
    on_end: Callable[[], None]
    on_broken: Callable[[], None]
    live: bool = True


@attrs.define(eq=False)
class FakeEngine:
    """One engine: a first-in first-out prefill queue, kept KV results, decode slots."""

    name: str
    profile: EngineProfile
    clock: Clock
    rng: random.Random
    faults: FaultPlan
    alive: bool = True
    busy_until_ms: float = 0.0
    streams: dict[RequestKey, Stream] = attrs.Factory(dict)
    kept: dict[str, float] = attrs.Factory(dict)
    queued: int = 0
    transfers: int = 0
    epoch: int = 0
    prefill_ms_done: float = 0.0
    history: list[tuple[float, int, int]] = attrs.Factory(list)
    cache: PrefixCache = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.cache = PrefixCache(self.profile.prefix_tokens)

    def prefill(
        self, kv_id: str, prefix: str, prefix_tokens: int, tokens: int, done: Callable[..., None]
    ) -> None:
        """Queue a prefill; `done(ok, work_ms, cached)` is called at its end or failure."""
        if not self.alive:
            self.clock.after(1, lambda: done(False, 0.0, 0))
            return
        cached = min(tokens, self.cache.use(prefix, prefix_tokens))
        work_ms = self.profile.prefill_ms(tokens, cached)
        start_ms = max(self.clock.now_ms, self.busy_until_ms)
        self.busy_until_ms = start_ms + work_ms
        self.queued += 1
        self._note()
        epoch = self.epoch

        def finish() -> None:
            if epoch != self.epoch:
                done(False, 0.0, 0)
                return
            self.queued -= 1
            self._note()
            self.prefill_ms_done += work_ms
            self.kept[kv_id] = self.clock.now_ms + self.profile.kv_kept_ms
            done(True, work_ms, cached)

        self.clock.after(self.busy_until_ms - self.clock.now_ms, finish)

    def decode(self, source: "FakeEngine", kv_id: str, tokens: int, stream: Stream) -> str:
        """Import and decode; returns "" or why it was refused."""
        if not self.alive:
            return "connect"
        if len(self.streams) >= self.profile.slots:
            return "slots full"
        if source.kept.pop(kv_id, 0.0) < self.clock.now_ms or not source.alive:
            return "kv lost"
        self.streams[stream.key] = stream
        self._note()
        source.transfers += 1
        transfer_ms = self.profile.transfer_ms(tokens, source.transfers)
        if self.rng.random() < self.faults.stalled_transfer_share:
            transfer_ms = 1e9

        def begin() -> None:
            source.transfers = max(0, source.transfers - 1)
            self._emit(stream)

        if transfer_ms < 1e9:
            self.clock.after(transfer_ms, begin)
        else:
            self.clock.after(3000, lambda: self._break_stalled(source, stream))
        return ""

    def _break_stalled(self, source: "FakeEngine", stream: Stream) -> None:
        source.transfers = max(0, source.transfers - 1)
        if stream.live:
            stream.on_broken()

    def _emit(self, stream: Stream) -> None:
        if not stream.live or not self.alive:
            return
        count = min(CHUNK_TOKENS, stream.total - stream.sent)
        if stream.sent == 0:
            count = 1
        pace_ms = self.profile.pace_ms(len(self.streams))

        def tick() -> None:
            if not stream.live or not self.alive:
                return
            offset = stream.sent
            stream.sent += count
            if stream.sent >= stream.total:
                self.end(stream.key)
                stream.on_tokens(offset, count)
                stream.on_end()
                return
            stream.on_tokens(offset, count)
            self._emit(stream)

        self.clock.after(pace_ms * count, tick)

    def end(self, key: RequestKey) -> None:
        """Free the slot of an attempt, if it has one."""
        stream = self.streams.pop(key, None)
        if stream is not None:
            stream.live = False
            self._note()

    def die(self) -> None:
        """Lose everything; streams break at once."""
        self.alive = False
        self.epoch += 1
        self.kept.clear()
        self.queued = 0
        streams = list(self.streams.values())
        self.streams.clear()
        for stream in streams:
            stream.live = False
            stream.on_broken()
        self._note()

    def revive(self) -> None:
        """Come back empty."""
        self.alive = True
        self.busy_until_ms = self.clock.now_ms
        self.cache = PrefixCache(self.profile.prefix_tokens)

    def _note(self) -> None:
        self.history.append((self.clock.now_ms, len(self.streams), self.queued))
        if len(self.history) > 400:
            del self.history[:200]

    def report(self) -> tuple[int, int]:
        """Running decodes and queued prefills, as they were one lag ago."""
        as_of_ms = self.clock.now_ms - self.faults.report_lag_ms
        running = queued = 0
        for at_ms, streams, waiting in self.history:
            if at_ms <= as_of_ms:
                running, queued = streams, waiting
        return running, queued
