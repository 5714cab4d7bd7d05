"""Estimates the lengths of answers from their callers' hints and from answers that have ended."""

import math
from bisect import bisect_right, insort
from collections import deque
from itertools import accumulate
from statistics import NormalDist

import attrs

from saffronworks.forwarding.planning.tuning import (
    HINT_ERROR,
    LENGTH_SAMPLES,
    OVERRUN_SHARE,
)

__all__ = ["AnswerLengths"]

# Prior samples until answers have ended: enough for a smooth estimate, few enough to be replaced
# soon.
PRIOR_SAMPLES = 40


def _prior() -> list[float]:
    """Return prior ratios of length to hint: quantiles of a distribution with median 1."""
    steps = [(index + 0.5) / PRIOR_SAMPLES for index in range(PRIOR_SAMPLES)]
    return [math.exp(HINT_ERROR * NormalDist().inv_cdf(step)) for step in steps]


@attrs.define
class AnswerLengths:
    """The latest ratios of an answer's length to its hint.

    The longer a run is already, the longer it is expected to become: by the prior ratios, half of
    all answers exceed their hint, and one that has reached it is expected to grow by half of it.
    """

    _newest: deque[float] = attrs.Factory(lambda: deque(_prior(), LENGTH_SAMPLES))
    _sorted: list[float] = attrs.Factory(_prior)
    _sums: list[float] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        self._update_sums()

    def learn(self, likely_tokens: int, tokens: int) -> None:
        """Add the length of an answer that has ended."""
        if likely_tokens <= 0 or tokens <= 0:
            return
        if len(self._newest) == LENGTH_SAMPLES:
            self._sorted.remove(self._newest[0])
        ratio = tokens / likely_tokens
        self._newest.append(ratio)
        insort(self._sorted, ratio)
        self._update_sums()

    def more_tokens(self, made_tokens: float, likely_tokens: int, most_tokens: int) -> float:
        """Return how many more tokens are expected of an answer with `made_tokens`."""
        ratio = made_tokens / max(1, likely_tokens)
        index = bisect_right(self._sorted, ratio)
        longer = len(self._sorted) - index
        if longer:
            more = (self._sums[index] / longer - ratio) * likely_tokens
        else:
            more = OVERRUN_SHARE * made_tokens
        return max(0.0, min(more, most_tokens - made_tokens))

    def share_within(self, tokens: float, likely_tokens: int) -> float:
        """Return the share of answers with such a hint that have no more than so many tokens."""
        ratio = tokens / max(1, likely_tokens)
        return bisect_right(self._sorted, ratio) / len(self._sorted)

    def _update_sums(self) -> None:
        """Update the sums of the sorted ratios from each index to the end."""
        self._sums = list(accumulate(reversed(self._sorted)))[::-1]
