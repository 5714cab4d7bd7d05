"""What is counted and logged when a request ends."""

import logging

from saffronworks.burn import BurnRecorder
from saffronworks.metrics import Metrics
from saffronworks.request_events import Completed, NotRun, Outcome, Unknown
from saffronworks.requests import Request
from saffronworks.runners import Job

__all__ = ["EndRecorder", "describe_outcome", "measure_latency"]

logger = logging.getLogger(__name__)


def describe_outcome(outcome: Outcome | None) -> str:
    """The outcome as it stands in headers and logs."""
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not-run"
        case Unknown():
            return "unknown"
        case _:
            return "cancelled"


def measure_latency(request: Request) -> tuple[float, float]:
    """Time to the first token, and mean time between tokens, in milliseconds."""
    if request.first_token_ms is None:
        return 0.0, 0.0
    ttft_ms = float(request.first_token_ms - request.arrived_ms)
    span_ms = request.last_token_ms - request.first_token_ms
    return ttft_ms, span_ms / max(1, request.delivered - 1)


class EndRecorder:
    """Counts outcomes of one node for its status page, its metrics and the burn report."""

    def __init__(self, metrics: Metrics, burn: BurnRecorder):
        self.counts: dict[str, int] = {}
        self.prefills = 0
        self.wasted_prefills = 0
        self._metrics = metrics
        self._burn = burn

    def count(self, outcome: str) -> None:
        """Count an outcome for the status page."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def record(self, request: Request, job: Job, now_ms: int) -> None:
        """Record a request that ended."""
        outcome = describe_outcome(request.outcome)
        self.count(outcome)
        self.prefills += request.prefills
        self.wasted_prefills += request.wasted_prefills
        model = job.model.name
        self._metrics.count_request(model, outcome, request.attempt, request.wasted_prefills)
        ttft_ms, pace_ms = measure_latency(request)
        if outcome != "cancelled":
            self._record_levels(request, job, ttft_ms, pace_ms, now_ms)
        logger.info(
            "event=request_end request=%s model=%s organisation=%s outcome=%s attempts=%d "
            "tokens=%d ttft_ms=%d pace_ms=%.1f wasted=%d",
            request.request_id,
            model,
            job.organisation,
            outcome,
            request.attempt,
            request.delivered,
            ttft_ms,
            pace_ms,
            request.wasted_prefills,
        )

    def record_refused(self, model: str, organisation: str, now_ms: int) -> None:
        """Record a request that was told *not run* before it had a runner."""
        self.count("not-run")
        self._metrics.count_request(model, "not-run", 0, 0)
        self._burn.record(organisation, model, False, False, True, now_ms)

    def _record_levels(
        self, request: Request, job: Job, ttft_ms: float, pace_ms: float, now_ms: int
    ) -> None:
        """Count the request against its targets; a caller that left counts for nothing."""
        model = job.model
        completed = isinstance(request.outcome, Completed)
        late = completed and ttft_ms > model.ttft_ms
        slow = completed and pace_ms > model.pace_ms
        self._burn.record(job.organisation, model.name, late, slow, not completed, now_ms)
        if completed:
            self._metrics.record_latency(model.name, ttft_ms, pace_ms)
            self._burn.record_latency(model.name, ttft_ms, pace_ms)
