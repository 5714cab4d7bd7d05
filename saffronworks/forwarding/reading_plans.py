"""Who reads the prompts of one service, and how long each is foreseen to be busy with it."""

import attrs

from saffronworks.forwarding.tuning import (
    AWAY_READER_MS,
    OWN_READ_FACTOR,
    OWN_READ_GAP_MS,
    READ_BACKLOG_MS,
    READ_MS_PER_TOKEN,
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

    def backlog_ms(self, instance: str, now_ms: int) -> float:
        """How long an endpoint is foreseen to be busy with reading."""
        return max(0.0, self._busy_until_ms.get(instance, 0.0) - now_ms)

    def choose(self, zone: str, now_ms: int) -> str | None:
        """The reader that is free first, a nearer one if it is hardly later; None without any."""

        def cost(reader: str) -> tuple[float, str]:
            away_ms = 0.0 if self.readers[reader] == zone else AWAY_READER_MS
            return self.backlog_ms(reader, now_ms) + away_ms, reader

        return min(self.readers, key=cost, default=None)

    def admits(self, decoder: str, now_ms: int) -> bool:
        """Whether a prompt for this decode endpoint would be read soon."""
        if not self.readers:
            return self.backlog_ms(decoder, now_ms) == 0
        return self.wait_ms((), now_ms) == 0

    def wait_ms(self, decoders: tuple[str, ...], now_ms: int) -> float:
        """How long until a prompt would be read soon by the first that is free for it."""
        instances = tuple(self.readers) or decoders
        least_ms = min((self.backlog_ms(name, now_ms) for name in instances), default=0.0)
        return max(0.0, least_ms - READ_BACKLOG_MS) if self.readers else least_ms

    def read_ms(self, prompt_tokens: int) -> float:
        """How long one endpoint is busy with a prompt."""
        read_ms = prompt_tokens * self.ms_per_token
        return read_ms if self.readers else OWN_READ_FACTOR * read_ms + OWN_READ_GAP_MS

    def turn_ms(self, prompt_tokens: int, decoders: int) -> float:
        """How much later the next prompt is read when this one goes before it."""
        return self.read_ms(prompt_tokens) / max(1, len(self.readers) or decoders)

    def count(self, instance: str, prompt_tokens: int, now_ms: int) -> None:
        """A prompt is to be read there."""
        backlog_ms = self.backlog_ms(instance, now_ms)
        self._busy_until_ms[instance] = now_ms + backlog_ms + self.read_ms(prompt_tokens)

    def learn(self, prompt_tokens: int, read_ms: int) -> None:
        """A reader that was free before took so long."""
        seen = read_ms / prompt_tokens
        self.ms_per_token += SAMPLE_WEIGHT * (seen - self.ms_per_token)
