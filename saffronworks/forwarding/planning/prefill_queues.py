"""The prompts that each reader has before it, and how fast it reads them, as entry nodes tell."""

import attrs

from saffronworks.forwarding.planning.tuning import (
    PREFILL_CALL_MS,
    PREFILL_MS_PER_TOKEN,
    PREFILL_OVERDUE_MS,
    PREFILL_PRIOR_TOKENS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    SAMPLE_WEIGHT,
)

__all__ = ["PrefillQueue", "PrefillPace"]


@attrs.define
class _BusyTime:
    """Running sums of tokens that were read and of the time that it took; old ones fade."""

    tokens: float = PREFILL_PRIOR_TOKENS
    busy_ms: float = PREFILL_PRIOR_TOKENS * PREFILL_MS_PER_TOKEN

    def add(self, tokens: int, busy_ms: float) -> None:
        self.tokens = (1 - SAMPLE_WEIGHT) * self.tokens + tokens
        self.busy_ms = (1 - SAMPLE_WEIGHT) * self.busy_ms + busy_ms


@attrs.define
class PrefillPace:
    """How long a prompt token occupies a reader: all of them, and each of those that were seen.

    Only what a busy reader finishes tells that. The time until a prompt is back holds the calls,
    the wait for others and the move as well: 160 to 200 ms where 96 ms are spent on reading.
    Prompts that are read in turns come back together, so sums are compared and not single ones.
    """

    _all: _BusyTime = attrs.Factory(_BusyTime)
    _by_prefiller: dict[StartId, _BusyTime] = attrs.Factory(dict)

    @property
    def ms_per_token(self) -> float:
        """How long a token occupies a usual reader."""
        return self._all.busy_ms / self._all.tokens

    def of(self, prefiller: StartId) -> float:
        """How long a token occupies this reader."""
        busy = self._by_prefiller.get(prefiller, self._all)
        return busy.busy_ms / busy.tokens

    def learn(self, prefiller: StartId, tokens: int, busy_ms: float) -> None:
        """A reader that had the next prompt at hand was done with it so much later.

        A prompt without tokens, as callers may send, says nothing of the pace.
        """
        if tokens <= 0:
            return
        if prefiller not in self._by_prefiller:
            self._by_prefiller[prefiller] = attrs.evolve(self._all)
        for busy in (self._by_prefiller[prefiller], self._all):
            busy.add(tokens, busy_ms)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop what was learnt of readers that are gone."""
        for instance in self._by_prefiller.keys() - instances:
            del self._by_prefiller[instance]


@attrs.frozen
class _Prompt:
    tokens: int
    granted_ms: int
    due_ms: float


@attrs.define
class PrefillQueue:
    """What one reader has to read, in the order of the grants.

    `free_at_ms` is when it is foreseen to have read all of it. Each prompt that comes back sets the
    forecast right; without that, a pace that was taken for a tenth too fast left twelve prompts
    waiting for a second and more, all through a burst. What does not come back long after its time
    is taken for lost on its way to the planner: with a third of the nodes cut off, such prompts
    once kept nine readers at 14 a second in place of 90.

    `_last_finish_ms` is when the reader finished the last prompt of which all before it were back,
    and `_early_tokens` are those of prompts that came back since, before an earlier one.
    """

    free_at_ms: float = 0.0
    _prompts: dict[str, _Prompt] = attrs.Factory(dict)
    _last_finish_ms: int | None = None
    _early_tokens: int = 0

    def backlog_ms(self, ms_per_token: float, now_ms: int) -> float:
        """How long it is busy; what should be read by now and is not may yet take its time."""
        self._drop_overdue(now_ms)
        overdue_tokens = sum(prompt.tokens for prompt in list(self._prompts.values())[1:])
        return max(0.0, self.free_at_ms - now_ms, overdue_tokens * ms_per_token)

    def add(self, request_id: str, tokens: int, prefill_ms: float, now_ms: int) -> None:
        """A prompt is to be read after the others."""
        self.occupy(prefill_ms, now_ms)
        self._prompts[request_id] = _Prompt(tokens, now_ms, self.free_at_ms)

    def occupy(self, prefill_ms: float, now_ms: int) -> None:
        """A prompt is to be read by an endpoint that will not tell when it is done."""
        self.free_at_ms = max(self.free_at_ms, now_ms) + prefill_ms

    def drop(self, request_id: str, ms_per_token: float) -> None:
        """A prompt is not to be read here after all."""
        prompt = self._prompts.pop(request_id, None)
        if prompt is not None:
            self.free_at_ms -= prompt.tokens * ms_per_token
            self._reset_measurement()

    def finish(self, request_id: str, prefiller: StartId, pace: PrefillPace, now_ms: int) -> None:
        """A prompt is back; the time since the one before tells the pace, if it was waiting."""
        first = next(iter(self._prompts), None)
        prompt = self._prompts.pop(request_id, None)
        if prompt is None:
            return
        if request_id == first:
            if (
                self._last_finish_ms is not None
                and prompt.granted_ms + PREFILL_CALL_MS < self._last_finish_ms
            ):
                pace.learn(
                    prefiller, self._early_tokens + prompt.tokens, now_ms - self._last_finish_ms
                )
            self._last_finish_ms, self._early_tokens = now_ms, 0
        else:
            self._early_tokens += prompt.tokens
        waiting_tokens = sum(prompt.tokens for prompt in self._prompts.values())
        self.free_at_ms = now_ms + waiting_tokens * pace.of(prefiller)

    def _drop_overdue(self, now_ms: int) -> None:
        overdue_ms = now_ms - PREFILL_OVERDUE_MS
        for request_id, prompt in list(self._prompts.items()):
            if prompt.due_ms >= overdue_ms:
                return
            del self._prompts[request_id]
            self._reset_measurement()

    def _reset_measurement(self) -> None:
        """What the reader did since it was last seen to finish is not known."""
        self._last_finish_ms, self._early_tokens = None, 0
