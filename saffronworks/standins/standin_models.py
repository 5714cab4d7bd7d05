"""What a stand-in engine computes: answers, times and prefix caching, with no I/O."""

import attrs

from saffronworks.hashing import hash32

__all__ = ["EngineProfile", "PrefixCache", "answer_length", "answer_token", "count_tokens"]

CHARACTERS_PER_TOKEN = 4
SHORTEST_ANSWER = 8
EVENTS_KEPT = 64
_WORDS = [
    "amber",
    "birch",
    "cedar",
    "delta",
    "ember",
    "fjord",
    "grove",
    "haven",
    "inlet",
    "jetty",
    "knoll",
    "lemon",
    "maple",
    "north",
    "ocean",
    "pearl",
    "quill",
    "river",
    "stone",
    "thyme",
    "umber",
    "valley",
    "willow",
    "yarrow",
    "zephyr",
]


@attrs.frozen
class EngineProfile:
    """Capacity of one engine. Times in milliseconds."""

    slots: int = 4
    prefill_tokens_per_s: float = 20_000.0
    prefill_base_ms: float = 5.0
    step_ms: float = 10.0
    step_growth: float = 0.03
    link_bytes_per_s: float = 1e9
    kv_bytes_per_token: int = 1000
    kv_kept_ms: int = 800
    prefix_tokens: int = 20_000
    report_lag_ms: int = 500
    tokens_per_line: int = 1

    def prefill_ms(self, tokens: int, cached: int) -> float:
        """Time of one prefill."""
        return self.prefill_base_ms + 1000.0 * max(0, tokens - cached) / self.prefill_tokens_per_s

    def pace_ms(self, batch: int) -> float:
        """Time between tokens when `batch` requests run together."""
        return self.step_ms * (1.0 + self.step_growth * max(0, batch - 1))

    def transfer_ms(self, tokens: int, sharing: int = 1) -> float:
        """Time to move a KV result over the link that `sharing` transfers share."""
        return 1000.0 * tokens * self.kv_bytes_per_token * sharing / self.link_bytes_per_s


@attrs.define
class PrefixCache:
    """Least recently used prefixes, within a number of tokens."""

    most_tokens: int
    sizes: dict[str, int] = attrs.Factory(dict)
    evicted: list[str] = attrs.Factory(list)
    forgotten: int = 0

    def use(self, prefix_key: str, tokens: int) -> int:
        """Tokens that were cached before this use; the prefix is cached after it."""
        hit = self.sizes.pop(prefix_key, 0)
        self.sizes[prefix_key] = tokens
        while sum(self.sizes.values()) > self.most_tokens and len(self.sizes) > 1:
            self._evict(next(iter(self.sizes)))
        return hit

    def _evict(self, prefix_key: str) -> None:
        del self.sizes[prefix_key]
        self.evicted.append(prefix_key)
        if len(self.evicted) > EVENTS_KEPT:
            self.evicted.pop(0)
            self.forgotten += 1

    def events(self, since: int) -> tuple[int, list[str], bool]:
        """The next position, prefixes evicted from position `since` on, and whether some lack."""
        position = self.forgotten + len(self.evicted)
        gap = since < self.forgotten or since > position
        return position, self.evicted[max(0, since - self.forgotten) :], gap


def count_tokens(text: str) -> int:
    """Tokens of a text, one for each four characters."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def answer_length(prompt: str, max_tokens: int) -> int:
    """How many tokens the answer to `prompt` has."""
    span = max(1, max_tokens - SHORTEST_ANSWER + 1)
    return min(max_tokens, SHORTEST_ANSWER + hash32(prompt) % span)


def answer_token(prompt: str, index: int) -> str:
    """Token `index` of the answer; the same on every engine."""
    number = hash32(f"{index}|{prompt}")
    return f"{_WORDS[number % len(_WORDS)]}{index} "
