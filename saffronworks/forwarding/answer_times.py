"""Estimates how long an answer takes, for a node that drains."""

import attrs

from saffronworks.forwarding.messages import PromptSize
from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.speeds import is_plausible_pace
from saffronworks.forwarding.planning.tuning import FIRST_EVENT_MS, MS_PER_TOKEN
from saffronworks.forwarding.tuning import SAMPLE_WEIGHT

__all__ = ["AnswerTimes", "ServiceTimes", "Work", "may_begin"]

# Share of answers that end within the estimate. A refusal costs a retry, a cut the answer.
SURE_SHARE = 0.9


@attrs.frozen
class Work:
    """The times of a request: until its deadline, and expected up to its end (None: unknown)."""

    left_ms: float
    expected_ms: float | None


def may_begin(work: Work, left_ms: float, has_other_nodes: bool) -> bool:
    """Return whether a node that ends its requests in `left_ms` should serve a new one."""
    if not has_other_nodes or work.left_ms <= left_ms:
        return True
    return work.expected_ms is not None and work.expected_ms <= left_ms


@attrs.define
class ServiceTimes:
    """The speed of a service and the lengths of its answers, from the streams of this node."""

    ms_per_token: float = MS_PER_TOKEN
    lengths: AnswerLengths = attrs.Factory(AnswerLengths)

    def learn_length(self, likely_tokens: int, tokens: int) -> None:
        """Add the length of a whole answer; 0 tokens add nothing."""
        self.lengths.learn(likely_tokens, tokens)

    def learn_pace(self, tokens: int, span_ms: int) -> None:
        """Add the tokens that a stream made in this time."""
        if is_plausible_pace(tokens, span_ms):
            self.ms_per_token += SAMPLE_WEIGHT * (span_ms / tokens - self.ms_per_token)

    def expected_ms(self, prompt: PromptSize, made_tokens: int) -> float:
        """Return the time within which most answers end, after the first `made_tokens`."""
        tokens = self.lengths.quantile_tokens(SURE_SHARE, prompt.likely_tokens)
        more_tokens = min(tokens, prompt.most_answer_tokens) - made_tokens
        return FIRST_EVENT_MS + self.ms_per_token * max(0.0, more_tokens)


@attrs.define
class AnswerTimes:
    """The times of each service."""

    _services: dict[str, ServiceTimes] = attrs.Factory(dict)

    def of(self, service: str) -> ServiceTimes:
        """Return the times of a service; priors if it is not known."""
        return self._services.setdefault(service, ServiceTimes())

    def forget_all_but(self, services: set[str]) -> None:
        """Drop the times of all other services."""
        for service in self._services.keys() - services:
            del self._services[service]
