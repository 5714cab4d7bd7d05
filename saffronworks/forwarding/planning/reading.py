"""Who reads the prompts of one service, and how long each is foreseen to be busy with it."""

from collections.abc import Iterable

import attrs

from saffronworks.forwarding.tuning import (
    AWAY_READER_MS,
    OWN_READ_FACTOR,
    OWN_READ_GAP_MS,
    READ_BACKLOG_MS,
    READ_MS_PER_TOKEN,
    READER_SAMPLE_WEIGHT,
    SAMPLE_WEIGHT,
)

__all__ = ["ReadingPlan"]


@attrs.define
class ReadingPlan:
    """Readers by instance, with their zones.

    Where there are none, decode endpoints read by themselves, between the tokens of their runs.
    Each then reads one prompt at a time with a gap after it, so that no run pauses for long.
    """

    readers: dict[str, str] = attrs.Factory(dict)
    ms_per_token: float = READ_MS_PER_TOKEN
    _busy_until_ms: dict[str, float] = attrs.Factory(dict)
    _ms_per_token_of: dict[str, float] = attrs.Factory(dict)

    def backlog_ms(self, instance: str, now_ms: int) -> float:
        """How long an endpoint is foreseen to be busy with reading."""
        return max(0.0, self._busy_until_ms.get(instance, 0.0) - now_ms)

    def choose(self, zone: str, prompt_tokens: int, now_ms: int) -> str | None:
        """The reader that is done first, a nearer one if it is hardly later; None without any."""

        def cost(reader: str) -> tuple[float, str]:
            away_ms = 0.0 if self.readers[reader] == zone else AWAY_READER_MS
            done_ms = self.backlog_ms(reader, now_ms) + self.read_ms(reader, prompt_tokens)
            return done_ms + away_ms, reader

        return min(self.readers, key=cost, default=None)

    def admitted(self, decoders: Iterable[str], now_ms: int) -> set[str]:
        """The decode endpoints whose next prompt would be read soon."""
        if not self.readers:
            return {name for name in decoders if self.backlog_ms(name, now_ms) == 0}
        return set(decoders) if self.wait_ms((), now_ms) == 0 else set()

    def wait_ms(self, decoders: tuple[str, ...], now_ms: int) -> float:
        """How long until a prompt would be read soon by the first that is free for it."""
        instances = tuple(self.readers) or decoders
        least_ms = min((self.backlog_ms(name, now_ms) for name in instances), default=0.0)
        return max(0.0, least_ms - READ_BACKLOG_MS) if self.readers else least_ms

    def read_ms(self, instance: str, prompt_tokens: int) -> float:
        """How long this endpoint is busy with a prompt."""
        if instance in self.readers:
            return prompt_tokens * self._ms_per_token_of.get(instance, self.ms_per_token)
        return OWN_READ_FACTOR * prompt_tokens * self.ms_per_token + OWN_READ_GAP_MS

    def turn_ms(self, prompt_tokens: int, decoders: int) -> float:
        """How much later the next prompt is read when this one goes before it."""
        names = list(self.readers) or [""]
        least_ms = min(self.read_ms(name, prompt_tokens) for name in names)
        return least_ms / max(1, len(self.readers) or decoders)

    def count(self, instance: str, prompt_tokens: int, now_ms: int) -> None:
        """A prompt is to be read there."""
        backlog_ms = self.backlog_ms(instance, now_ms)
        self._busy_until_ms[instance] = now_ms + backlog_ms + self.read_ms(instance, prompt_tokens)

    def uncount(self, instance: str, prompt_tokens: int, now_ms: int) -> None:
        """A prompt that was counted is not to be read there after all."""
        backlog_ms = self.backlog_ms(instance, now_ms) - self.read_ms(instance, prompt_tokens)
        self._busy_until_ms[instance] = now_ms + max(0.0, backlog_ms)

    def learn(self, reader: str, prompt_tokens: int, read_ms: int) -> None:
        """A reader that was free before took so long."""
        seen = read_ms / prompt_tokens
        self.ms_per_token += SAMPLE_WEIGHT * (seen - self.ms_per_token)
        known = self._ms_per_token_of.get(reader, self.ms_per_token)
        self._ms_per_token_of[reader] = known + READER_SAMPLE_WEIGHT * (seen - known)

    def forget_all_but(self, instances: set[str]) -> None:
        """Drop what was learnt of endpoints that are gone."""
        for table in (self._busy_until_ms, self._ms_per_token_of):
            for instance in table.keys() - instances:
                del table[instance]
