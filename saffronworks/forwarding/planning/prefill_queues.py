"""The queue of prompts and the observed pace of each prefiller, as reported by entry nodes."""

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
    """Decaying sums of prefilled tokens and of the time that they took."""

    tokens: float = PREFILL_PRIOR_TOKENS
    busy_ms: float = PREFILL_PRIOR_TOKENS * PREFILL_MS_PER_TOKEN

    def add(self, tokens: int, busy_ms: float) -> None:
        self.tokens = (1 - SAMPLE_WEIGHT) * self.tokens + tokens
        self.busy_ms = (1 - SAMPLE_WEIGHT) * self.busy_ms + busy_ms


@attrs.define
class PrefillPace:
    """The prefill time per prompt token, of each observed prefiller and of all together.

    Samples come only from intervals between prompts of a busy prefiller. The latency of a prompt
    includes calls, queueing and KV transfer as well: 160 to 200 ms where prefill takes 96 ms.
    Prompts that are prefilled in turns finish together, so sums are compared instead of single
    samples.
    """

    _all: _BusyTime = attrs.Factory(_BusyTime)
    _by_prefiller: dict[StartId, _BusyTime] = attrs.Factory(dict)

    @property
    def ms_per_token(self) -> float:
        """The prefill time per token, averaged over all prefillers."""
        return self._all.busy_ms / self._all.tokens

    def of(self, prefiller: StartId) -> float:
        """Return the prefill time per token of a prefiller; the average if it is unknown."""
        busy = self._by_prefiller.get(prefiller, self._all)
        return busy.busy_ms / busy.tokens

    def learn(self, prefiller: StartId, tokens: int, busy_ms: float) -> None:
        """Add a sample: the prefiller was busy for `busy_ms` with prompts of `tokens`.

        Prompts without tokens, which callers may send, are ignored.
        """
        if tokens <= 0:
            return
        if prefiller not in self._by_prefiller:
            self._by_prefiller[prefiller] = attrs.evolve(self._all)
        for busy in (self._by_prefiller[prefiller], self._all):
            busy.add(tokens, busy_ms)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of all other prefillers."""
        for instance in self._by_prefiller.keys() - instances:
            del self._by_prefiller[instance]


@attrs.frozen
class _Prompt:
    tokens: int
    granted_ms: int
    due_ms: float


@attrs.define
class PrefillQueue:
    """The prompts that one prefiller has not finished, in the order of their grants.

    `free_at_ms` is the forecast time at which the queue is empty. Each finished prompt corrects it:
    without that, a pace estimate that was a tenth too fast left twelve prompts waiting for more
    than a second throughout a burst. Long overdue prompts are dropped, since the message about them
    was probably lost: with a third of the nodes cut off, such prompts limited nine prefillers to 14
    prompts a second instead of 90.

    `_last_finish_ms` is the time of the last prompt that finished in order, and `_early_tokens` are
    the tokens of prompts that have since finished before an earlier one.
    """

    free_at_ms: float = 0.0
    _prompts: dict[str, _Prompt] = attrs.Factory(dict)
    _last_finish_ms: int | None = None
    _early_tokens: int = 0

    def backlog_ms(self, ms_per_token: float, now_ms: int) -> float:
        """Return the forecast time until the queue is empty.

        All prompts but the first count in full, even if they should be finished by now.
        """
        self._drop_overdue(now_ms)
        overdue_tokens = sum(prompt.tokens for prompt in list(self._prompts.values())[1:])
        return max(0.0, self.free_at_ms - now_ms, overdue_tokens * ms_per_token)

    def add(self, request_id: str, tokens: int, prefill_ms: float, now_ms: int) -> None:
        """Append a prompt to the queue."""
        self.occupy(prefill_ms, now_ms)
        self._prompts[request_id] = _Prompt(tokens, now_ms, self.free_at_ms)

    def occupy(self, prefill_ms: float, now_ms: int) -> None:
        """Extend the backlog by a prompt whose end will not be reported."""
        self.free_at_ms = max(self.free_at_ms, now_ms) + prefill_ms

    def drop(self, request_id: str, ms_per_token: float) -> None:
        """Remove a prompt that will not be prefilled here."""
        prompt = self._prompts.pop(request_id, None)
        if prompt is not None:
            self.free_at_ms -= prompt.tokens * ms_per_token
            self._reset_measurement()

    def finish(self, request_id: str, prefiller: StartId, pace: PrefillPace, now_ms: int) -> None:
        """Remove a finished prompt.

        The time since the previous one finished is a sample of the pace if this prompt was already
        queued then.
        """
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
        """Start a new sample, as some prompts since the last finish are no longer known."""
        self._last_finish_ms, self._early_tokens = None, 0
