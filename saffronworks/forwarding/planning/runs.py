"""The runs that the planner knows, and what each endpoint's memory is foreseen to hold."""

import attrs

from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.planning.tuning import (
    FIRST_TOKEN_MS,
    MS_PER_TOKEN,
    REPORT_LAPSE_MS,
)
from saffronworks.forwarding.starts import StartId

__all__ = ["Occupancies", "Occupancy", "Run", "projected_peak"]


@attrs.define
class Run:
    """One run on an endpoint, by the planner's own clock.

    `made_tokens` of the answer were there at `made_ms`, by the last report; `listed`: there was
    one. `reader` was to read the prompt. `priority` and `organisation` are those of its ask.
    """

    instance: StartId
    reply_to: str
    prompt_tokens: int
    likely_tokens: int
    most_tokens: int
    began_ms: int
    reader: StartId | None = None
    made_tokens: int = 0
    made_ms: int = 0
    listed: bool = False
    priority: int = DEFAULT_RANK
    organisation: str = ""

    def growth(
        self, lengths: AnswerLengths, ms_per_token: float, now_ms: int
    ) -> tuple[float, float]:
        """Tokens in memory now, and how many more are expected."""
        made = min(self._made(ms_per_token, now_ms), self.most_tokens)
        more = lengths.more_tokens(made, self.likely_tokens, self.most_tokens)
        return self.prompt_tokens + made, more

    def _made(self, ms_per_token: float, now_ms: int) -> float:
        """Tokens of the answer by now: as reported, and what came since then at that pace."""
        if not self.made_tokens:
            return max(0.0, (now_ms - self.began_ms - FIRST_TOKEN_MS) / ms_per_token)
        since_ms = min(now_ms - self.made_ms, REPORT_LAPSE_MS)
        return self.made_tokens + since_ms / ms_per_token


@attrs.define
class Occupancy:
    """An endpoint's runs: present size and expected growth of each, and what they add up to.

    `ms_per_token` is its time for a token, `slowness` that as a multiple of the service's average.
    """

    growths: list[tuple[float, float]]
    now_tokens: float = 0.0
    peak_tokens: float = 0.0
    slowness: float = 1.0
    ms_per_token: float = MS_PER_TOKEN

    def add(self, growth: tuple[float, float]) -> None:
        """One more run; the peak is worked out by `settle`."""
        self.growths.append(growth)
        self.now_tokens += growth[0]

    def settle(self) -> None:
        """Foresee the peak of the runs."""
        self.peak_tokens = projected_peak(self.growths)

    def may_fit(self, prompt_tokens: int, limit_tokens: float) -> bool:
        """A cheap look: false only where one more prompt surely exceeds the limit."""
        least_tokens = max(self.peak_tokens, self.now_tokens + prompt_tokens)
        return not self.growths or least_tokens <= limit_tokens


Occupancies = dict[StartId, Occupancy]


def projected_peak(growths: list[tuple[float, float]]) -> float:
    """The most memory that runs of these present sizes and growths will have at one time.

    All grow at the same pace, and each frees its memory at its end.
    """
    tokens = sum(now for now, _ in growths)
    peak, grown, alive = tokens, 0.0, len(growths)
    for now, more in sorted(growths, key=lambda growth: growth[1]):
        tokens += alive * (more - grown)
        peak = max(peak, tokens)
        tokens -= now + more
        grown = more
        alive -= 1
    return peak
