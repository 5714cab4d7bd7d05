"""Simulates load on the planner with engines of different speeds that slow down with their runs."""

import attrs

from saffronworks.forwarding.planning import messages
from saffronworks.tests.planner_load import EngineShape, Outcome, PlannerLoad

__all__ = ["UNEVEN_ENGINES", "EngineNoise", "UnevenLoad", "uneven_speeds"]

# Eight engines; prefill is no bottleneck.
UNEVEN_ENGINES = EngineShape(6, 8, 26_080, 12, 0.02, 3.0, 1500, 500, 900)
# Each further run on an engine adds this share to its time per token.
SHARE_PER_RUN = 0.06
STEP_MS = 10
EVENT_TOKENS = 7


@attrs.frozen
class EngineNoise:
    """An engine is slower by a factor for a part of each period, each engine at another time."""

    factor: float = 2.5
    slow_ms: int = 90
    period_ms: int = 600


def uneven_speeds(shape: EngineShape = UNEVEN_ENGINES) -> dict[str, float]:
    """Return speeds: every fourth engine at 0.55 of the usual speed, the others at 1.2."""
    return {f"d{index}": 0.55 if index % 4 == 0 else 1.2 for index in range(shape.decoders)}


@attrs.define
class _Progress:
    run: Outcome
    tokens: float = 0.0
    event_tokens: int = 0
    event_ms: int = 0


class UnevenLoad(PlannerLoad):
    """A load whose runs advance in steps, at the speed of their engine with its present runs.

    `noise` holds the noise of single engines.
    """

    def __init__(
        self,
        seed: int,
        speeds: dict[str, float],
        noise: dict[str, EngineNoise] | None = None,
        shape: EngineShape = UNEVEN_ENGINES,
        retry: bool = False,
    ):
        super().__init__(shape, seed, retry=retry, speeds=speeds)
        self.forecasts: list[tuple[float, float]] = []
        self._noise = noise or {}
        self._progress: dict[str, _Progress] = {}
        self._of_run: dict[int, _Progress] = {}

    def run(self, rates: list[tuple[int, float]], returned_share: float = 0.0) -> list[Outcome]:
        """Run as the base class does, and advance runs until all have ended."""
        for at_ms in range(0, rates[-1][0] + 30_000, STEP_MS):
            self._at(at_ms, self._advance)
        return super().run(rates, returned_share)

    def ms_per_token(self, instance: str, runs: int, now_ms: int) -> float:
        """Return the time per token of an engine with this number of runs."""
        usual = self._ms_per_token(instance) * (1 + SHARE_PER_RUN * (runs - 1))
        noise = self._noise.get(instance)
        phase_ms = now_ms + 77 * int(instance[1:])
        slow = noise is not None and phase_ms % noise.period_ms < noise.slow_ms
        return usual * noise.factor if noise and slow else usual

    def _decode(self, request_id: str, run: Outcome, from_ms: int) -> None:
        progress = _Progress(run, event_ms=from_ms)
        self._progress[request_id] = self._of_run[id(run)] = progress

    def _made_tokens(self, run: Outcome, now_ms: int) -> float:
        progress = self._of_run.get(id(run))
        return progress.tokens if progress else 0.0

    def _advance(self, now_ms: int) -> None:
        runs: dict[str, list[str]] = {}
        for request_id, progress in self._progress.items():
            runs.setdefault(progress.run.instance, []).append(request_id)
        for instance, request_ids in runs.items():
            tokens = STEP_MS / self.ms_per_token(instance, len(request_ids), now_ms)
            for request_id in request_ids:
                self._advance_run(request_id, tokens, now_ms)

    def _advance_run(self, request_id: str, tokens: float, now_ms: int) -> None:
        progress = self._progress[request_id]
        progress.tokens += tokens
        events = int(progress.tokens / EVENT_TOKENS)
        if events * EVENT_TOKENS > progress.event_tokens:
            progress.event_tokens, progress.event_ms = events * EVENT_TOKENS, now_ms
        if progress.tokens >= progress.run.answer_tokens:
            del self._progress[request_id], self._of_run[id(progress.run)]
            self._end(request_id)(now_ms)

    def _live(self, request_id: str, run: Outcome, now_ms: int) -> messages.LiveRun:
        live, progress = super()._live(request_id, run, now_ms), self._of_run.get(id(run))
        if progress is None:
            return live
        quiet_ms = max(0, now_ms - progress.event_ms)
        return attrs.evolve(live, made_tokens=progress.event_tokens, quiet_ms=quiet_ms)

    def _report(self, now_ms: int) -> None:
        self._record_forecasts(now_ms)
        super()._report(now_ms)

    def _record_forecasts(self, now_ms: int) -> None:
        """Record the forecast and the real memory use of each engine right before a report."""
        at_ms = now_ms + 10_000
        for instance, occupancy in self.plan.occupancies(self._decoders, at_ms).items():
            self.forecasts.append((occupancy.used_tokens, self._held_tokens(instance, now_ms)))
