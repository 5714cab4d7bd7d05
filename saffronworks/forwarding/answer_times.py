"""Estimates how long an answer takes, for a node that drains."""

from collections import deque

import attrs

from saffronworks.forwarding.messages import PromptSize
from saffronworks.forwarding.planning.lengths import AnswerLengths
from saffronworks.forwarding.planning.speeds import is_plausible_pace
from saffronworks.forwarding.planning.tuning import FIRST_EVENT_MS

__all__ = ["AnswerTimes", "ServiceTimes", "may_begin"]

# Value of an answer by another node, as a share of one by this node: it comes after a retry.
RETRY_VALUE = 0.9
# Number of latest streams that the estimate of an answer's time rests on.
PACE_SAMPLES = 40
# Times per token assumed beside the measured ones, and the number of streams that they count as
# together. They span fast and slow engines, so that few samples are not relied on.
PRIOR_MS_PER_TOKEN = (0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
PRIOR_STREAMS = 2


def may_begin(ends_in_time: bool, chance: float, serving_share: float, announced: bool) -> bool:
    """Return whether a node that drains should begin a request.

    `ends_in_time`: the request's own deadline passes before the node ends. `chance` is the
    estimated probability that it ends before the node does, `serving_share` the share of the other
    nodes that can serve it instead: a refused caller comes to one of them. Once the end is
    `announced`, so that callers should no longer come, no estimate suffices: a refused request can
    be repeated, one whose answer is cut off may not.
    """
    if ends_in_time:
        return True
    return not announced and chance >= RETRY_VALUE * serving_share


@attrs.frozen
class _Pace:
    """The times of one stream; `ms_per_token` includes its stalls."""

    first_event_ms: float
    ms_per_token: float


_PRIOR = tuple(_Pace(FIRST_EVENT_MS, ms_per_token) for ms_per_token in PRIOR_MS_PER_TOKEN)


@attrs.define
class ServiceTimes:
    """The paces of a service's latest streams on this node, and the lengths of its answers."""

    lengths: AnswerLengths = attrs.Factory(AnswerLengths)
    _paces: deque[_Pace] = attrs.Factory(lambda: deque(maxlen=PACE_SAMPLES))

    @property
    def samples(self) -> int:
        """The number of measured streams that the estimate rests on."""
        return len(self._paces)

    def learn_length(self, likely_tokens: int, tokens: int) -> None:
        """Add the length of a whole answer; 0 tokens add nothing."""
        self.lengths.learn(likely_tokens, tokens)

    def learn_pace(self, first_event_ms: int, tokens: int, span_ms: int) -> None:
        """Add a stream that made `tokens` in `span_ms` after its first event."""
        if is_plausible_pace(tokens, span_ms):
            self._paces.append(_Pace(first_event_ms, span_ms / tokens))

    def chance_within(self, left_ms: float, prompt: PromptSize, made_tokens: int) -> float:
        """Return the estimated share of answers that end in this time, after `made_tokens`.

        This is no bound: a stream may be slower than all that were measured.
        """

        def share(pace: _Pace) -> float:
            tokens = made_tokens + (left_ms - pace.first_event_ms) / pace.ms_per_token
            if tokens >= prompt.most_answer_tokens:
                return 1.0
            return self.lengths.share_within(tokens, prompt.likely_tokens)

        prior = PRIOR_STREAMS * sum(map(share, _PRIOR)) / len(_PRIOR)
        return (prior + sum(map(share, self._paces))) / (PRIOR_STREAMS + len(self._paces))


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
