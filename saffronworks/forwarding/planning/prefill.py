"""Who reads the prompts of one service, and how long each is foreseen to be busy with it."""

import math
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.planning.prefill_queues import PrefillPace, PrefillQueue
from saffronworks.forwarding.planning.tuning import (
    CROSS_ZONE_PENALTY_MS,
    LOCAL_PREFILL_FACTOR,
    LOCAL_PREFILL_GAP_MS,
    MAX_PREFILL_BACKLOG_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["PrefillPlan"]


@attrs.define
class PrefillPlan:
    """Readers by instance, with their zones.

    Where all of them are busy for long, or there are none, decode endpoints read by themselves,
    between the tokens of their runs. Each then reads one prompt at a time with a gap after it, so
    that no run pauses for long.
    """

    prefillers: dict[StartId, str] = attrs.Factory(dict)
    pace: PrefillPace = attrs.Factory(PrefillPace)
    _queues: dict[StartId, PrefillQueue] = attrs.Factory(dict)

    def backlog_ms(self, instance: StartId, now_ms: int) -> float:
        """How long an endpoint is foreseen to be busy with reading."""
        queue = self._queues.get(instance)
        return queue.backlog_ms(self.pace.of(instance), now_ms) if queue else 0.0

    def choose(self, zone: str, prompt_tokens: int, now_ms: int) -> StartId:
        """The reader that is done first, a nearer one if it is hardly later; there must be one."""

        def cost(reader: StartId) -> tuple[float, StartId]:
            away_ms = 0.0 if self.prefillers[reader] == zone else CROSS_ZONE_PENALTY_MS
            done_ms = self.backlog_ms(reader, now_ms) + self.prefill_ms(reader, prompt_tokens)
            return done_ms + away_ms, reader

        return min(self.prefillers, key=cost)

    def uses_local_prefill(self, now_ms: int) -> bool:
        """Whether decode endpoints read by themselves: no reader is free soon, or there is none."""
        return self._prefillers_wait_ms(now_ms) > 0

    def wait_ms(self, decoders: Iterable[StartId], now_ms: int) -> float:
        """How long until a prompt would be read soon by the first that is free for it."""
        own_ms = min((self.backlog_ms(name, now_ms) for name in decoders), default=math.inf)
        return min(self._prefillers_wait_ms(now_ms), own_ms)

    def _prefillers_wait_ms(self, now_ms: int) -> float:
        """How long until a reader is free soon enough; for ever without any."""
        if not self.prefillers:
            return math.inf
        return max(0.0, self.prefillers_free_in_ms(now_ms) - MAX_PREFILL_BACKLOG_MS)

    def prefillers_free_in_ms(self, now_ms: int) -> float:
        """How long until the first reader has read all it has before it; 0 without any."""
        return min((self.backlog_ms(name, now_ms) for name in self.prefillers), default=0.0)

    def prefill_ms(self, instance: StartId, prompt_tokens: int) -> float:
        """How long this endpoint is busy with a prompt."""
        if instance in self.prefillers:
            return prompt_tokens * self.pace.of(instance)
        return LOCAL_PREFILL_FACTOR * prompt_tokens * self.pace.ms_per_token + LOCAL_PREFILL_GAP_MS

    def added_wait_ms(self, prompt_tokens: int, decoders: Iterable[StartId]) -> float:
        """How much later the next prompt is read when this one goes before it."""
        prefill_ms = [
            self.prefill_ms(name, prompt_tokens) for name in (*self.prefillers, *decoders)
        ]
        per_ms = sum(1 / max(1.0, each_ms) for each_ms in prefill_ms)
        return 1 / per_ms if per_ms else 0.0

    def add(self, request_id: str, instance: StartId, prompt_tokens: int, now_ms: int) -> None:
        """A prompt is to be read there."""
        queue = self._queues.setdefault(instance, PrefillQueue())
        prefill_ms = self.prefill_ms(instance, prompt_tokens)
        if instance in self.prefillers:
            queue.add(request_id, prompt_tokens, prefill_ms, now_ms)
        else:
            queue.occupy(prefill_ms, now_ms)

    def remove(self, request_id: str, instance: StartId) -> None:
        """A prompt that was counted is not to be read there after all."""
        if instance in self._queues:
            self._queues[instance].drop(request_id, self.pace.of(instance))

    def finish(self, request_id: str, instance: StartId, now_ms: int) -> None:
        """A prompt was read there."""
        if instance in self._queues:
            self._queues[instance].finish(request_id, instance, self.pace, now_ms)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop what was learnt of endpoints that are gone."""
        self.pace.forget_all_but(instances)
        for instance in self._queues.keys() - instances:
            del self._queues[instance]
