"""The runs that the planner knows, and the forecast memory use of each endpoint."""

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
    """A run on an endpoint; times are those of the planner's own clock.

    By the last report, the answer had `made_tokens` at `made_ms`; `reported` says whether a report
    has named the run. `reader` is the endpoint that prefills the prompt, None if it is not known.
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
    reported: bool = False
    priority: int = DEFAULT_RANK
    organisation: str = ""

    def growth(
        self, lengths: AnswerLengths, ms_per_token: float, now_ms: int
    ) -> tuple[float, float]:
        """Return the tokens in memory now, and how many more are expected."""
        made = min(self._made(ms_per_token, now_ms), self.most_tokens)
        more = lengths.more_tokens(made, self.likely_tokens, self.most_tokens)
        return self.prompt_tokens + made, more

    def _made(self, ms_per_token: float, now_ms: int) -> float:
        """Estimate the tokens of the answer by now, from the last report and the pace."""
        if not self.made_tokens:
            return max(0.0, (now_ms - self.began_ms - FIRST_TOKEN_MS) / ms_per_token)
        since_ms = min(now_ms - self.made_ms, REPORT_LAPSE_MS)
        return self.made_tokens + since_ms / ms_per_token


@attrs.define
class Occupancy:
    """The memory use of an endpoint.

    `growths` holds the present size and the expected growth of each run in tokens, `slowness` the
    endpoint's time per token as a multiple of the service's average.
    """

    growths: list[tuple[float, float]]
    used_tokens: float = 0.0
    peak_tokens: float = 0.0
    slowness: float = 1.0
    ms_per_token: float = MS_PER_TOKEN

    def add(self, growth: tuple[float, float]) -> None:
        """Add a run; `update_peak` updates the peak."""
        self.growths.append(growth)
        self.used_tokens += growth[0]

    def update_peak(self) -> None:
        """Update the forecast peak."""
        self.peak_tokens = projected_peak(self.growths)

    def may_fit(self, prompt_tokens: int, limit_tokens: float) -> bool:
        """Return False only if one more prompt certainly exceeds the limit; a cheap check."""
        least_tokens = max(self.peak_tokens, self.used_tokens + prompt_tokens)
        return not self.growths or least_tokens <= limit_tokens


Occupancies = dict[StartId, Occupancy]


def projected_peak(growths: list[tuple[float, float]]) -> float:
    """Return the highest memory use of runs with these present sizes and growths, in tokens.

    All runs grow at the same pace, and each frees its memory at its end.
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
