"""Estimates the time per token of each decode endpoint from the runs of all nodes."""

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from saffronworks.forwarding.planning.tuning import (
    AVERAGE_WEIGHT,
    COUNT_RUNS_EVERY_MS,
    FULL_WEIGHT_MS,
    LOAD_DECAY,
    LOAD_PRIOR,
    MAX_LOAD_SLOPE,
    MAX_SLOWDOWN,
    MAX_SPEEDS,
    PLAUSIBLE_MS_PER_TOKEN,
    SPEED_BAND,
    SPEED_FRESH_MS,
    SPEED_HALF_LIFE_MS,
    SPEED_LOG_EVERY_MS,
    SPEED_LOG_STEP,
    SPEED_LOGS_PER_S,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    SAMPLE_WEIGHT,
)

__all__ = ["EndpointSpeeds", "SpeedChange", "is_plausible_pace"]


def is_plausible_pace(tokens: int, span_ms: int) -> bool:
    """Return whether an engine can make this many tokens in this time."""
    least_ms, most_ms = PLAUSIBLE_MS_PER_TOKEN
    return tokens > 0 and span_ms > 0 and least_ms <= span_ms / tokens <= most_ms


@attrs.frozen
class SpeedChange:
    """A change of an endpoint's speed that is to be logged.

    `factor` is its time per token as a multiple of the service's average.
    """

    instance: StartId
    factor: float
    runs: float
    ms_per_token: float


@attrs.define
class _Speed:
    """The estimates of one endpoint.

    `factor` is its time per token as a multiple of the average, at an equal number of runs. `runs`
    and `ms_per_token` are running averages of its samples, from which deviations are measured.
    """

    factor: float
    runs: float
    ms_per_token: float
    last_sample_ms: int
    logged_factor: float = 1.0


@attrs.define
class EndpointSpeeds:
    """The time per token of each endpoint, by its start, relative to the service's average.

    An engine is slower the more runs it has. Without a correction, an endpoint would look slow
    because it has more runs than others. The effect of load is estimated from how the samples of
    each endpoint vary with its number of runs. A comparison between endpoints would confuse the
    effect with their speeds, since slow endpoints often have fewer runs.
    """

    _average: float = 0.0
    _average_runs: float = 0.0
    _speeds: dict[StartId, _Speed] = attrs.Factory(dict)
    _run_variance: float = LOAD_PRIOR
    _covariance: float = 0.0
    _runs: Counter[StartId] = attrs.Factory(Counter)
    _counted_ms: int | None = None
    _logged_ms: list[int] = attrs.Factory(list)
    _checked_ms: int = 0

    @property
    def load_slope(self) -> float:
        """The relative increase of an engine's time per token with each further run."""
        return min(MAX_LOAD_SLOPE, max(0.0, self._covariance / self._run_variance))

    def factor(self, instance: StartId, now_ms: int) -> float:
        """Return an endpoint's time per token as a multiple of the average; 1 if none is known.

        The factor is corrected for the number of runs, so endpoints can be compared by it.
        """
        speed = self._speeds.get(instance)
        if speed is None:
            return 1.0
        factor = _decayed_factor(speed, now_ms)
        return factor ** _certainty(factor)

    def ms_per_token(self, instance: StartId, average_ms: float, now_ms: int) -> float:
        """Return an endpoint's time per token; `average_ms` is the service's average."""
        speed = self._speeds.get(instance)
        certainty = _certainty(_decayed_factor(speed, now_ms)) if speed else 0.0
        if speed is None or not certainty:
            return average_ms
        return average_ms * (speed.ms_per_token / average_ms) ** certainty

    def count_runs(self, instances: Iterable[StartId], now_ms: int) -> None:
        """Update the number of runs of each endpoint, at most every `COUNT_RUNS_EVERY_MS`."""
        if self._counted_ms is None or now_ms - self._counted_ms >= COUNT_RUNS_EVERY_MS:
            self._runs, self._counted_ms = Counter(instances), now_ms

    def learn_progress(self, instance: StartId, tokens: int, span_ms: int, now_ms: int) -> None:
        """Learn from the tokens that a run made between two reports."""
        if not is_plausible_pace(tokens, span_ms):
            return
        runs, sample = self._runs[instance], span_ms / tokens
        speed = self._speed_of(instance, runs, sample, now_ms)
        if speed is None:
            return
        weight = _sample_weight(span_ms)
        self._learn_load(speed, runs, sample, weight)
        self._learn(speed, runs, sample, weight, now_ms)

    def learn_run(self, instance: StartId, tokens: int, span_ms: int, now_ms: int) -> None:
        """Learn from a whole run, at the average number of runs of its endpoint."""
        if not is_plausible_pace(tokens, span_ms):
            return
        sample = span_ms / tokens
        speed = self._speed_of(instance, self._runs[instance], sample, now_ms)
        if speed is not None:
            self._learn(speed, speed.runs, sample, _sample_weight(span_ms), now_ms)

    def forget_all_but(self, instances: set[StartId]) -> None:
        """Drop the state of all other endpoints."""
        for instance in self._speeds.keys() - instances:
            del self._speeds[instance]

    def take_changes(self, now_ms: int) -> list[SpeedChange]:
        """Return the speeds that changed by `SPEED_LOG_STEP` since they were last logged.

        At most `SPEED_LOGS_PER_S` are returned in a second. Calls are cheap, as the endpoints are
        checked only every `SPEED_LOG_EVERY_MS`.
        """
        if now_ms - self._checked_ms < SPEED_LOG_EVERY_MS:
            return []
        self._checked_ms = now_ms
        self._logged_ms = [logged_ms for logged_ms in self._logged_ms if now_ms - logged_ms < 1000]
        left = SPEED_LOGS_PER_S - len(self._logged_ms)
        if left <= 0:
            return []
        changes = []
        for instance, speed in self._speeds.items():
            factor = self.factor(instance, now_ms)
            if abs(math.log(factor / speed.logged_factor)) >= SPEED_LOG_STEP:
                speed.logged_factor = factor
                changes.append(SpeedChange(instance, factor, speed.runs, speed.ms_per_token))
                if len(changes) == left:
                    break
        self._logged_ms += [now_ms] * len(changes)
        return changes

    def _speed_of(self, instance: StartId, runs: int, sample: float, now_ms: int) -> _Speed | None:
        """Return the estimates of an endpoint; None if `MAX_SPEEDS` others are known."""
        if not self._average:
            self._average, self._average_runs = sample, float(runs)
        if instance not in self._speeds and len(self._speeds) < MAX_SPEEDS:
            expected_ms = self._average * math.exp(self.load_slope * (runs - self._average_runs))
            self._speeds[instance] = _Speed(1.0, float(runs), expected_ms, now_ms)
        return self._speeds.get(instance)

    def _learn_load(self, speed: _Speed, runs: int, sample: float, weight: float) -> None:
        """Update the effect of load by a sample's deviation from its endpoint's average."""
        more_runs = runs - speed.runs
        slower = math.log(_clip(sample / speed.ms_per_token))
        self._run_variance += weight * more_runs**2 - LOAD_DECAY * weight * self._run_variance
        self._covariance += weight * more_runs * slower - LOAD_DECAY * weight * self._covariance
        self._run_variance = max(LOAD_PRIOR, self._run_variance)

    def _learn(self, speed: _Speed, runs: float, sample: float, weight: float, now_ms: int) -> None:
        """Move the averages of the endpoint and of the service towards a sample."""
        at_average_load = sample / math.exp(self.load_slope * (runs - self._average_runs))
        known = _decayed_factor(speed, now_ms)
        ratio = known * _clip(at_average_load / self._average / known)
        speed.factor, speed.last_sample_ms = known + weight * (ratio - known), now_ms
        speed.runs += weight * (runs - speed.runs)
        expected_ms = speed.ms_per_token
        speed.ms_per_token += weight * (expected_ms * _clip(sample / expected_ms) - expected_ms)
        share = AVERAGE_WEIGHT * weight / max(AVERAGE_WEIGHT, len(self._speeds))
        self._average += share * self._average * (_clip(at_average_load / self._average) - 1)
        self._average_runs += share * (runs - self._average_runs)


def _sample_weight(span_ms: int) -> float:
    """Return the weight of a sample by the time that it covers.

    A short sample counts less: twelve runs of one engine are reported together, and all their
    samples may cover the same moment in which the engine was slow.
    """
    return SAMPLE_WEIGHT * min(1.0, span_ms / FULL_WEIGHT_MS)


def _decayed_factor(speed: _Speed, now_ms: int) -> float:
    """Return the factor as it decays towards 1 without samples."""
    silent_ms = max(0, now_ms - speed.last_sample_ms - SPEED_FRESH_MS)
    return 1 + (speed.factor - 1) * 0.5 ** (silent_ms / SPEED_HALF_LIFE_MS)


def _certainty(factor: float) -> float:
    """Return how far a factor is used, 0 to 1: small differences count as noise."""
    return min(1.0, max(0.0, abs(math.log(factor)) / SPEED_BAND - 1.0))


def _clip(ratio: float) -> float:
    """Clip a sample's ratio to its expected value, to limit the effect of outliers."""
    return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, ratio))
