"""Plans which endpoint prefills each prompt of a service, and forecasts prefill backlogs."""

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
    """Prefill queues; `prefillers` maps the usable prefill endpoints to their zones.

    While all prefillers have a long backlog, or there are none, decode endpoints do local prefill
    between the tokens of their runs. Each then takes one prompt at a time, with a gap after it, so
    that no run stalls for long.
    """

    prefillers: dict[StartId, str] = attrs.Factory(dict)
    pace: PrefillPace = attrs.Factory(PrefillPace)
    _queues: dict[StartId, PrefillQueue] = attrs.Factory(dict)

    def backlog_ms(self, instance: StartId, now_ms: int) -> float:
        """Return the forecast time until an endpoint has no prompt left to prefill."""
        queue = self._queues.get(instance)
        return queue.backlog_ms(self.pace.of(instance), now_ms) if queue else 0.0

    def choose(self, zone: str, prompt_tokens: int, now_ms: int) -> StartId:
        """Return the prefiller that finishes first, with a penalty for other zones.

        There must be at least one prefiller.
        """

        def cost(prefiller: StartId) -> tuple[float, StartId]:
            penalty_ms = 0.0 if self.prefillers[prefiller] == zone else CROSS_ZONE_PENALTY_MS
            done_ms = self.backlog_ms(prefiller, now_ms) + self.prefill_ms(prefiller, prompt_tokens)
            return done_ms + penalty_ms, prefiller

        return min(self.prefillers, key=cost)

    def uses_local_prefill(self, now_ms: int) -> bool:
        """Return whether decode endpoints do local prefill: all prefillers have a long backlog."""
        return self._prefillers_wait_ms(now_ms) > 0

    def wait_ms(self, decoders: Iterable[StartId], now_ms: int) -> float:
        """Return the time until a prompt can be granted to a prefiller or one of `decoders`."""
        local_ms = min((self.backlog_ms(name, now_ms) for name in decoders), default=math.inf)
        return min(self._prefillers_wait_ms(now_ms), local_ms)

    def _prefillers_wait_ms(self, now_ms: int) -> float:
        """Return the time until a prefiller's backlog is within the limit, infinite without any."""
        if not self.prefillers:
            return math.inf
        return max(0.0, self.prefillers_free_in_ms(now_ms) - MAX_PREFILL_BACKLOG_MS)

    def prefillers_free_in_ms(self, now_ms: int) -> float:
        """Return the shortest backlog of a prefiller; 0 without prefillers."""
        return min((self.backlog_ms(name, now_ms) for name in self.prefillers), default=0.0)

    def prefill_ms(self, instance: StartId, prompt_tokens: int) -> float:
        """Return how long a prompt occupies this endpoint."""
        if instance in self.prefillers:
            return prompt_tokens * self.pace.of(instance)
        return LOCAL_PREFILL_FACTOR * prompt_tokens * self.pace.ms_per_token + LOCAL_PREFILL_GAP_MS

    def added_wait_ms(self, prompt_tokens: int, decoders: Iterable[StartId]) -> float:
        """Return by how much a prompt delays the next one, if all endpoints prefill in parallel."""
        times_ms = [self.prefill_ms(name, prompt_tokens) for name in (*self.prefillers, *decoders)]
        per_ms = sum(1 / max(1.0, each_ms) for each_ms in times_ms)
        return 1 / per_ms if per_ms else 0.0

    def add(self, request_id: str, instance: StartId, prompt_tokens: int, now_ms: int) -> None:
        """Add a prompt to the queue of an endpoint."""
        queue = self._queues.setdefault(instance, PrefillQueue())
        prefill_ms = self.prefill_ms(instance, prompt_tokens)
        if instance in self.prefillers:
            queue.add(request_id, prompt_tokens, prefill_ms, now_ms)
        else:
            queue.occupy(prefill_ms, now_ms)

    def remove(self, request_id: str, instance: StartId) -> None:
        """Remove a prompt from the queue of an endpoint that will not prefill it."""
        if instance in self._queues:
            self._queues[instance].drop(request_id, self.pace.of(instance))

    def finish(self, request_id: str, instance: StartId, now_ms: int) -> None:
        """Record that an endpoint has finished a prompt."""
        if instance in self._queues:
            self._queues[instance].finish(request_id, instance, self.pace, now_ms)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of all other endpoints."""
        self.pace.forget_all_but(instances)
        for instance in self._queues.keys() - instances:
            del self._queues[instance]
