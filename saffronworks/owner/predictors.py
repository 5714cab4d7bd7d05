"""Estimators learned from finished requests, with priors until there are enough samples."""

import bisect

import attrs

__all__ = ["Average", "LengthHistogram", "PrefixView"]

SMOOTHING = 0.15
BUCKET_EDGES = tuple(int(2 ** (step / 2)) for step in range(4, 31))
PRIOR_COUNT = 8.0
HALVE_AT_COUNT = 100.0
PREFIXES_KEPT = 128


@attrs.define
class Average:
    """An exponentially weighted mean that starts at a prior."""

    value: float

    def add(self, sample: float) -> None:
        """Adds one sample, with the weight `SMOOTHING`."""
        self.value += SMOOTHING * (sample - self.value)


@attrs.define
class LengthHistogram:
    """A histogram of the output lengths of one model, with bucket edges at powers of sqrt 2.

    `above[i]` is the sum of the counts in the buckets after `i`.
    """

    counts: list[float] = attrs.Factory(lambda: [0.0] * (len(BUCKET_EDGES) + 1))
    total: float = 0.0
    above: list[float] = attrs.Factory(lambda: [0.0] * (len(BUCKET_EDGES) + 1))

    def add(self, tokens: int) -> None:
        """Counts one finished answer; halves all counts at a limit, so that old answers fade."""
        bucket = bisect.bisect_left(BUCKET_EDGES, tokens)
        self.counts[bucket] += 1.0
        self.total += 1.0
        for index in range(bucket):
            self.above[index] += 1.0
        if self.total >= HALVE_AT_COUNT:
            self.counts = [count / 2 for count in self.counts]
            self.above = [count / 2 for count in self.above]
            self.total /= 2

    def survival(self, tokens: float, most: int) -> float:
        """Estimates the share of answers longer than `tokens`.

        The prior, with the weight of `PRIOR_COUNT` answers, is uniform up to `most` tokens.
        """
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
        """Estimates the probability that an answer at `now_tokens` goes beyond `then_tokens`."""
        alive = self.survival(now_tokens, most)
        return self.survival(then_tokens, most) / alive if alive > 0 else 0.0


@attrs.define
class PrefixView:
    """The expected content of the prefix cache of one endpoint, least recently used first."""

    tokens: dict[str, int] = attrs.Factory(dict)

    def note(self, prefix_key: str, cached_tokens: int) -> None:
        """Records a use of a prefix, and after a cache hit the number of tokens that it saved."""
        known = self.tokens.pop(prefix_key, 0)
        self.tokens[prefix_key] = cached_tokens or known
        if len(self.tokens) > PREFIXES_KEPT:
            self.tokens.pop(next(iter(self.tokens)))

    def forget(self, prefix_key: str) -> None:
        """Removes a prefix that the endpoint evicted."""
        self.tokens.pop(prefix_key, None)

    def cached(self, prefix_key: str) -> int:
        """Returns the tokens that a prefill with this prefix is expected to save."""
        return self.tokens.get(prefix_key, 0)
