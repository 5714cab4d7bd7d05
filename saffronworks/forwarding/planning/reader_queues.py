"""The prompts that each reader has before it, and how fast it reads them, as entry nodes tell."""

import attrs

from saffronworks.forwarding.tuning import (
    PACE_PRIOR_TOKENS,
    READ_CALL_MS,
    READ_MS_PER_TOKEN,
    SAMPLE_WEIGHT,
)

__all__ = ["ReaderQueue", "ReadingPace"]


@attrs.define
class _Busy:
    """Running sums of tokens that were read and of the time that it took; old ones fade."""

    tokens: float = PACE_PRIOR_TOKENS
    busy_ms: float = PACE_PRIOR_TOKENS * READ_MS_PER_TOKEN

    def add(self, tokens: int, busy_ms: float) -> None:
        self.tokens = (1 - SAMPLE_WEIGHT) * self.tokens + tokens
        self.busy_ms = (1 - SAMPLE_WEIGHT) * self.busy_ms + busy_ms


@attrs.define
class ReadingPace:
    """How long a prompt token occupies a reader: all of them, and each of those that were seen.

    Only what a busy reader finishes tells that. The time until a prompt is back holds the calls,
    the wait for others and the move as well: 160 to 200 ms where 96 ms are spent on reading.
    Prompts that are read in turns come back together, so sums are compared and not single ones.
    """

    _all: _Busy = attrs.Factory(_Busy)
    _of_reader: dict[str, _Busy] = attrs.Factory(dict)

    @property
    def ms_per_token(self) -> float:
        """How long a token occupies a usual reader."""
        return self._all.busy_ms / self._all.tokens

    def of(self, reader: str) -> float:
        """How long a token occupies this reader."""
        seen = self._of_reader.get(reader, self._all)
        return seen.busy_ms / seen.tokens

    def learn(self, reader: str, tokens: int, busy_ms: float) -> None:
        """A reader that had the next prompt at hand was done with it so much later."""
        if reader not in self._of_reader:
            self._of_reader[reader] = attrs.evolve(self._all)
        for seen in (self._of_reader[reader], self._all):
            seen.add(tokens, busy_ms)

    def forget_all_but(self, instances: set[str]) -> None:
        """Drop what was learnt of readers that are gone."""
        for instance in self._of_reader.keys() - instances:
            del self._of_reader[instance]


@attrs.frozen
class _Prompt:
    tokens: int
    granted_ms: int


@attrs.define
class ReaderQueue:
    """What one reader has to read, in the order of the grants.

    `free_at_ms` is when it is foreseen to have read all of it. Each prompt that comes back sets the
    forecast right; without that, a pace that was taken for a tenth too fast left twelve prompts
    waiting for a second and more, all through a burst.
    """

    free_at_ms: float = 0.0
    _prompts: dict[str, _Prompt] = attrs.Factory(dict)
    _done_ms: int | None = None

    def backlog_ms(self, ms_per_token: float, now_ms: int) -> float:
        """How long it is busy; what should be read by now and is not may yet take its time."""
        overdue_tokens = sum(prompt.tokens for prompt in list(self._prompts.values())[1:])
        return max(0.0, self.free_at_ms - now_ms, overdue_tokens * ms_per_token)

    def add(self, request_id: str, tokens: int, read_ms: float, now_ms: int) -> None:
        """A prompt is to be read after the others."""
        self.occupy(read_ms, now_ms)
        self._prompts[request_id] = _Prompt(tokens, now_ms)

    def occupy(self, read_ms: float, now_ms: int) -> None:
        """A prompt is to be read by an endpoint that will not tell when it is done."""
        self.free_at_ms = max(self.free_at_ms, now_ms) + read_ms

    def drop(self, request_id: str, read_ms: float) -> None:
        """A prompt is not to be read here after all."""
        if self._prompts.pop(request_id, None) is not None:
            self.free_at_ms -= read_ms

    def finish(self, request_id: str, reader: str, pace: ReadingPace, now_ms: int) -> None:
        """A prompt is back; the time since the one before tells the pace, if it was waiting."""
        prompt = self._prompts.pop(request_id, None)
        if prompt is None:
            return
        if self._done_ms is not None and prompt.granted_ms + READ_CALL_MS < self._done_ms:
            pace.learn(reader, prompt.tokens, now_ms - self._done_ms)
        self._done_ms = now_ms
        waiting_tokens = sum(prompt.tokens for prompt in self._prompts.values())
        self.free_at_ms = now_ms + waiting_tokens * pace.of(reader)
