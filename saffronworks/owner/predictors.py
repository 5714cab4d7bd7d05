"""Predictions learned from what was seen, with priors for the time before."""

import bisect

import attrs

__all__ = ["Average", "LengthTable", "PrefixView"]

SMOOTHING = 0.15
BUCKET_EDGES = tuple(int(2 ** (step / 2)) for step in range(4, 31))
PRIOR_COUNT = 8.0
FORGET_AT_COUNT = 100.0
PREFIXES_KEPT = 128


@attrs.define
class Average:
    """An exponentially weighted mean that starts at a prior."""

    value: float

    def add(self, sample: float) -> None:
        """Take one sample in."""
        self.value += SMOOTHING * (sample - self.value)


@attrs.define
class LengthTable:
    """Output lengths of one model, as counts in buckets with edges at powers of sqrt 2.

    `above[i]` is the sum of the counts in the buckets after `i`.
    """

    counts: list[float] = attrs.Factory(lambda: [0.0] * (len(BUCKET_EDGES) + 1))
    total: float = 0.0
    above: list[float] = attrs.Factory(lambda: [0.0] * (len(BUCKET_EDGES) + 1))

    def add(self, tokens: int) -> None:
        """Count one finished answer; halve all counts when there are many."""
        bucket = bisect.bisect_left(BUCKET_EDGES, tokens)
        self.counts[bucket] += 1.0
        self.total += 1.0
        for index in range(bucket):
            self.above[index] += 1.0
        if self.total >= FORGET_AT_COUNT:
            self.counts = [count / 2 for count in self.counts]
            self.above = [count / 2 for count in self.above]
            self.total /= 2

    def survival(self, tokens: float, most: int) -> float:
        """Share of answers longer than `tokens`; the prior is uniform up to `most`."""
        if tokens >= most:
            return 0.0
        prior = PRIOR_COUNT * (1.0 - tokens / most)
        index = bisect.bisect_left(BUCKET_EDGES, tokens)
        if index == len(BUCKET_EDGES):
            return prior / (self.total + PRIOR_COUNT)
        low = BUCKET_EDGES[index - 1] if index else 0
        high = BUCKET_EDGES[index]
        above = self.above[index] + self.counts[index] * (high - tokens) / (high - low)
        return (above + prior) / (self.total + PRIOR_COUNT)

    def still_running(self, now_tokens: float, then_tokens: float, most: int) -> float:
        """Chance that an answer of `now_tokens` so far is longer than `then_tokens`."""
        alive = self.survival(now_tokens, most)
        return self.survival(then_tokens, most) / alive if alive > 0 else 0.0


@attrs.define
class PrefixView:
    """What one endpoint's prefix cache is believed to hold, latest used last."""

    tokens: dict[str, int] = attrs.Factory(dict)

    def note(self, prefix_key: str, cached_tokens: int) -> None:
        """Record a use; a hit tells how many tokens the prefix saves."""
        known = self.tokens.pop(prefix_key, 0)
        self.tokens[prefix_key] = cached_tokens or known
        if len(self.tokens) > PREFIXES_KEPT:
            self.tokens.pop(next(iter(self.tokens)))

    def forget(self, prefix_key: str) -> None:
        """The endpoint evicted the prefix."""
        self.tokens.pop(prefix_key, None)

    def cached(self, prefix_key: str) -> int:
        """Tokens that a prefill is expected to save."""
        return self.tokens.get(prefix_key, 0)
