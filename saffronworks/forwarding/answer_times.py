"""Estimates how long an answer takes, for a node that drains."""

import attrs

from saffronworks.forwarding.messages import PromptSize
from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.speeds import is_plausible_pace
from saffronworks.forwarding.planning.tuning import FIRST_EVENT_MS, MS_PER_TOKEN
from saffronworks.forwarding.tuning import SAMPLE_WEIGHT

__all__ = ["AnswerTimes", "ServiceTimes", "may_begin"]

# Value of an answer by another node, as a share of one by this node: it comes after a retry.
RETRY_VALUE = 0.9


def may_begin(chance_in_time: float, serving_share: float, announced: bool) -> bool:
    """Return whether a node that drains should begin a request.

    `chance_in_time` is the probability that the request ends before the node does, `serving_share`
    the share of the other nodes that can serve it instead: a refused caller comes to one of them.
    Once the end is `announced`, so that callers should no longer come, only what is certain to end
    in time is begun.
    """
    least_chance = 1.0 if announced else RETRY_VALUE * serving_share
    return chance_in_time >= least_chance


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

    def chance_within(self, left_ms: float, prompt: PromptSize, made_tokens: int) -> float:
        """Return the share of answers that end in this time, after the first `made_tokens`."""
        tokens = made_tokens + (left_ms - FIRST_EVENT_MS) / self.ms_per_token
        if tokens >= prompt.most_answer_tokens:
            return 1.0
        return self.lengths.share_within(tokens, prompt.likely_tokens)


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
