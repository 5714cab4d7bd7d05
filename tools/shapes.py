"""The users' traffic and engines, as the benches play them."""

import attrs

from saffronworks.standins.standin_models import EngineProfile

__all__ = ["DAY", "SHAPES", "Part", "Shape"]


@attrs.frozen
class Part:
    """A stretch of a day with lengths of its own, up to a share of the trace's time."""

    until_share: float
    prompt: tuple[int, int]
    answer: tuple[int, int]


@attrs.frozen
class Shape:
    """One user's traffic and engines. Prompt and answer lengths are uniform, in tokens.

    A shape with `parts` takes its lengths from the part that a request arrives in, and its rate
    from what the best split of the engines could serve there.
    """

    name: str
    prompt: tuple[int, int]
    prefix_tokens: int
    answer: tuple[int, int]
    profile: EngineProfile
    prefills: int
    decodes: int
    ttft_ms: int
    pace_ms: int
    patience_ms: int
    goodput_weight: float
    organisations: int = 12
    parts: tuple[Part, ...] = ()

    def part_at(self, share: float) -> Part:
        """The part of a moment of the trace."""
        for part in self.parts:
            if share < part.until_share:
                return part
        return Part(1.0, self.prompt, self.answer)

    def capacity_per_s(self, share: float = 0.0) -> float:
        """Requests per second that the scarcer of decode slots and prefill work allows."""
        part = self.part_at(share)
        if not self.parts:
            return self._split_capacity(part, self.prefills)
        engines = self.prefills + self.decodes
        return max(self._split_capacity(part, prefills) for prefills in range(1, engines))

    def _split_capacity(self, part: Part, prefills: int) -> float:
        answer = sum(part.answer) / 2
        prompt = sum(part.prompt) / 2
        decodes = self.prefills + self.decodes - prefills
        full_pace_ms = self.profile.pace_ms(self.profile.slots)
        hold_ms = answer * full_pace_ms + self.profile.transfer_ms(int(prompt))
        decode = 1000.0 * decodes * self.profile.slots / hold_ms
        work_ms = self.profile.prefill_ms(int(prompt), self.prefix_tokens)
        return min(decode, 1000.0 * prefills / work_ms)


SHAPES = {
    "letters": Shape(
        name="letters",
        prompt=(1500, 6000),
        prefix_tokens=800,
        answer=(20, 120),
        profile=EngineProfile(
            slots=6, prefill_tokens_per_s=14_000, step_ms=25, kv_bytes_per_token=20_000
        ),
        prefills=2,
        decodes=3,
        ttft_ms=1500,
        pace_ms=60,
        patience_ms=6000,
        goodput_weight=0.2,
    ),
    "sources": Shape(
        name="sources",
        prompt=(2000, 12_000),
        prefix_tokens=1200,
        answer=(80, 320),
        profile=EngineProfile(
            slots=8, prefill_tokens_per_s=12_000, step_ms=18, kv_bytes_per_token=20_000
        ),
        prefills=2,
        decodes=3,
        ttft_ms=2000,
        pace_ms=45,
        patience_ms=4000,
        goodput_weight=0.8,
    ),
}
DAY = attrs.evolve(
    SHAPES["letters"],
    name="day",
    parts=(
        Part(1 / 3, (5000, 9000), (10, 30)),
        Part(2 / 3, (1000, 2000), (150, 350)),
        Part(1.0, (1500, 6000), (20, 120)),
    ),
    answer=(10, 350),
)
