"""Simulates load on the planner of decode memory in virtual time, with a small model of engines.

There is no network and no clock. Arrivals are drawn from a seed, engines prefill prompts one after
the other and generate tokens at a steady pace, and entry nodes report to the planner. Scenarios
state the pattern of the load and the expected results.
"""

import heapq
import math
import random
from collections.abc import Callable

import attrs

from saffronworks.forwarding.planning import core, messages
from saffronworks.forwarding.planning.prefill import PrefillPlan
from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.planning.tuning import (
    MAX_RESEND_MS,
    PLAN_EVERY_MS,
    PLANNER_SILENT_MS,
    REPORT_EVERY_MS,
    RESEND_MS,
)

__all__ = [
    "ENGINES_OF_LONG_ANSWERS",
    "ENGINES_WITH_LITTLE_MEMORY",
    "GRANT_TO_EVENT_MS",
    "EngineShape",
    "Outcome",
    "PlannerLoad",
    "TrafficClass",
]

START_MS = 10_000
# Round-trip time of a call from an entry node to an engine or the planner.
CALL_MS = 8
# Time that entry nodes assume from a grant to the first event.
GRANT_TO_EVENT_MS = 400
# Standard deviation of the logarithm of the ratio of hint to length.
HINT_ERROR = 0.5
# Callers leave without an event for this time.
PATIENCE_MS = 3000


@attrs.frozen
class EngineShape:
    """The number and speed of engines, and the mean size and target of requests."""

    prefillers: int
    decoders: int
    capacity_tokens: int
    slots: int
    prefill_ms_per_token: float
    ms_per_token: float
    prompt_tokens: int
    answer_tokens: int
    target_ms: int


# Twelve runs fill an engine's memory, prefill takes 96 ms and an answer three seconds: both prefill
# and memory are bottlenecks.
ENGINES_WITH_LITTLE_MEMORY = EngineShape(1, 4, 41_000, 64, 0.03, 5.2, 3200, 640, 900)

# Answers are longer than prompts, and memory holds five or six runs: slots are no bottleneck.
ENGINES_OF_LONG_ANSWERS = EngineShape(4, 15, 43_654, 16, 0.03, 0.7, 3200, 4480, 913)


@attrs.frozen
class TrafficClass:
    """Callers of one priority; `rates` lists end times in ms with requests per second.

    Callers leave without an event for `patience_ms`.
    """

    priority: int
    target_ms: int
    rates: list[tuple[int, float]]
    patience_ms: int = PATIENCE_MS


@attrs.define
class Outcome:
    """The course of a request; times in ms since the start, None for what did not happen."""

    arrived_ms: int
    prompt_tokens: int
    answer_tokens: int
    likely_tokens: int
    returned: bool = False
    target_ms: int = 0
    priority: int = DEFAULT_RANK
    patience_ms: int = PATIENCE_MS
    granted_ms: int | None = None
    first_ms: int | None = None
    rejected_ms: int | None = None
    failed_reservations: int = 0
    instance: str = ""
    prefiller: str = ""

    def in_time(self, target_ms: int) -> bool:
        """Return whether this is a first attempt whose first event came within the target."""
        return not self.returned and self.first_within(target_ms)

    def first_within(self, target_ms: int) -> bool:
        """Return whether its first event came within this time."""
        return self.first_ms is not None and self.first_ms - self.arrived_ms <= target_ms

    def memory_tokens(self, ms_per_token: float, now_ms: int) -> float:
        """Return its present memory use on its engine, in tokens."""
        made_ms = now_ms - self.first_ms if self.first_ms is not None else 0
        return self.prompt_tokens + min(made_ms / ms_per_token, self.answer_tokens)


class PlannerLoad:
    """One service with one planner, under the arrivals of a scenario.

    `lost_share` of the messages on finished prefills are lost, as from nodes cut off. With `retry`,
    rejected callers retry once after the given delay. `speeds` are speeds of single decode
    endpoints, relative to the shape's.
    """

    def __init__(
        self,
        shape: EngineShape,
        seed: int,
        lost_share: float = 0.0,
        retry: bool = False,
        speeds: dict[str, float] | None = None,
    ):
        self.shape = shape
        self._speeds = speeds or {}
        self._retry = retry
        self._lost_share = lost_share
        self._losses = random.Random(seed)
        self.outcomes: dict[str, Outcome] = {}
        self.preempted = 0
        self.memory_shares: list[tuple[int, float]] = []
        self._rng = random.Random(seed)
        self._decoders = {f"d{index}": "z" for index in range(shape.decoders)}
        prefillers = {f"p{index}": "z" for index in range(shape.prefillers)}
        self._prefillers = prefillers
        self.plan = self._make_plan(0)
        self._free_at_ms = dict.fromkeys((*prefillers, *self._decoders), 0.0)
        self._running: dict[str, Outcome] = {}
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._scheduled = 0

    def _make_plan(self, began_ms: int) -> core.PlanState:
        return core.PlanState(
            began_ms=began_ms,
            capacity_tokens=self.shape.capacity_tokens,
            slots=self.shape.slots,
            last_event_ms=START_MS + began_ms,
            prefill=PrefillPlan(self._prefillers),
        )

    def lose_planner(self, lost_ms: int) -> None:
        """Lose the planner at this time; a standby planner takes over after a report.

        Entry nodes resend their requests after the usual silence of the first planner.
        """

        def take_over(now_ms: int) -> None:
            waiting = list(self.plan.waiters)
            self.plan = self._make_plan(0)
            self.plan.last_event_ms = START_MS + now_ms
            self._report(now_ms)
            for request_id in waiting:
                resend_ms = now_ms + self._losses.randrange(PLANNER_SILENT_MS, RESEND_MS)
                self._at(resend_ms, self._resend(request_id))

        self._at(lost_ms, take_over)

    def _resend(self, request_id: str) -> Callable[[int], None]:
        return lambda now_ms: self._request(request_id, now_ms, ())

    def run(self, rates: list[tuple[int, float]], returned_share: float = 0.0) -> list[Outcome]:
        """Run one class of callers by its rates until all requests have ended."""
        only = TrafficClass(DEFAULT_RANK, self.shape.target_ms, rates)
        return self.run_classes([only], returned_share)

    def run_classes(
        self, classes: list[TrafficClass], returned_share: float = 0.0
    ) -> list[Outcome]:
        """Run all classes of callers by their rates until all requests have ended."""
        for index, traffic in enumerate(classes):
            self._schedule(traffic, f"r{index}-", returned_share)
        end_ms = max(traffic.rates[-1][0] for traffic in classes) + 10_000
        for tick_ms in range(0, end_ms, PLAN_EVERY_MS):
            self._at(tick_ms, lambda at_ms: self._step(core.Tick(), at_ms))
        for report_ms in range(0, end_ms, REPORT_EVERY_MS):
            self._at(report_ms, self._report)
        while self._events:
            at_ms, _, act = heapq.heappop(self._events)
            act(at_ms)
        return list(self.outcomes.values())

    def _schedule(self, traffic: TrafficClass, prefix: str, returned_share: float) -> None:
        now_ms, last = 0.0, 0
        for until_ms, per_s in traffic.rates:
            while (now_ms := now_ms + self._rng.expovariate(per_s / 1000)) < until_ms:
                self._at(int(now_ms), self._arrive_as(f"{prefix}{last}", traffic, returned_share))
                last += 1
            now_ms = until_ms

    def _at(self, at_ms: float, act: Callable[[int], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self._events, (math.ceil(at_ms), self._scheduled, act))

    def _arrive_as(
        self, request_id: str, traffic: TrafficClass, returned_share: float
    ) -> Callable[[int], None]:
        def arrive(now_ms: int) -> None:
            shape, rng = self.shape, self._rng
            answer_tokens = max(20, int(shape.answer_tokens * rng.lognormvariate(-0.2, 0.6)))
            self.outcomes[request_id] = Outcome(
                arrived_ms=now_ms,
                prompt_tokens=max(200, int(shape.prompt_tokens * rng.uniform(0.4, 1.6))),
                answer_tokens=answer_tokens,
                likely_tokens=max(20, int(answer_tokens * rng.lognormvariate(0, HINT_ERROR))),
                returned=rng.random() < returned_share,
                target_ms=traffic.target_ms,
                priority=traffic.priority,
                patience_ms=traffic.patience_ms,
            )
            self._request(request_id, now_ms, ())

        return arrive

    def _retry_as(self, request_id: str) -> Callable[[int], None]:
        def retry(now_ms: int) -> None:
            before = self.outcomes[request_id]
            self.outcomes[f"{request_id}-again"] = Outcome(
                now_ms,
                before.prompt_tokens,
                before.answer_tokens,
                before.likely_tokens,
                returned=True,
                target_ms=before.target_ms,
                priority=before.priority,
                patience_ms=before.patience_ms,
            )
            self._request(f"{request_id}-again", now_ms, ())

        return retry

    def _request(self, request_id: str, now_ms: int, avoid: tuple[str, ...]) -> None:
        outcome, shape = self.outcomes[request_id], self.shape
        waited_ms = now_ms - outcome.arrived_ms
        ask = messages.MemoryAsk(
            request_id=request_id,
            reply_to="n",
            service="s",
            prompt_tokens=outcome.prompt_tokens,
            likely_tokens=outcome.likely_tokens,
            most_tokens=4 * shape.answer_tokens,
            waited_ms=waited_ms,
            in_time_ms=outcome.target_ms - GRANT_TO_EVENT_MS - waited_ms,
            patience_ms=outcome.patience_ms - waited_ms,
            returned=outcome.returned,
            avoid=avoid,
            priority=outcome.priority,
            target_ms=outcome.target_ms,
        )
        self._step(ask, now_ms)
        self._at(now_ms + MAX_RESEND_MS, self._ask_again(request_id, avoid))

    def _ask_again(self, request_id: str, avoid: tuple[str, ...]) -> Callable[[int], None]:
        """Entry nodes ask again for requests that wait."""

        def again(now_ms: int) -> None:
            waiter = self.plan.waiters.get(request_id)
            if waiter is not None and START_MS + now_ms - waiter.asked_ms >= MAX_RESEND_MS:
                self._request(request_id, now_ms, avoid)

        return again

    def _step(self, event: core.Event, now_ms: int) -> None:
        for reply in core.step(self.plan, event, self._decoders, START_MS + now_ms):
            outcome = self.outcomes[reply.message.request_id]
            match reply.message:
                case messages.MemoryGrant(request_id, instance, prefiller):
                    outcome.instance, outcome.prefiller = instance, prefiller or instance
                    self._at(now_ms + CALL_MS, self._reserve(request_id))
                case messages.MemoryRefusal(request_id, retry_after_ms):
                    outcome.rejected_ms = now_ms
                    if self._retry and not outcome.returned:
                        self._at(now_ms + retry_after_ms, self._retry_as(request_id))

    def _reserve(self, request_id: str) -> Callable[[int], None]:
        def reserve(now_ms: int) -> None:
            outcome = self.outcomes[request_id]
            free_tokens = self.shape.capacity_tokens - self._held_tokens(outcome.instance, now_ms)
            if free_tokens < outcome.prompt_tokens + 0.25 * outcome.likely_tokens:
                outcome.failed_reservations += 1
                self._request(request_id, now_ms, (outcome.instance,))
                return
            outcome.granted_ms = now_ms
            self._running[request_id] = outcome
            begin_ms = max(now_ms + CALL_MS, self._free_at_ms[outcome.prefiller])
            prefill_ms = outcome.prompt_tokens * self.shape.prefill_ms_per_token
            self._free_at_ms[outcome.prefiller] = begin_ms + prefill_ms
            self._at(begin_ms + prefill_ms + CALL_MS, self._stream(request_id))

        return reserve

    def _held_tokens(self, instance: str, now_ms: int) -> float:
        runs = [run for run in self._running.values() if run.instance == instance]
        return sum(run.prompt_tokens + self._made_tokens(run, now_ms) for run in runs)

    def _ms_per_token(self, instance: str) -> float:
        return self.shape.ms_per_token / self._speeds.get(instance, 1.0)

    def _made_tokens(self, run: Outcome, now_ms: int) -> float:
        ms_per_token = self._ms_per_token(run.instance)
        return run.memory_tokens(ms_per_token, now_ms) - run.prompt_tokens

    def _stream(self, request_id: str) -> Callable[[int], None]:
        def stream(now_ms: int) -> None:
            outcome = self.outcomes[request_id]
            outcome.first_ms = now_ms + CALL_MS
            if outcome.prefiller != outcome.instance and self._losses.random() >= self._lost_share:
                ended = messages.ReadingEnded(request_id, "s", outcome.prefiller, whole=True)
                self._step(ended, now_ms)
            self._decode(request_id, outcome, outcome.first_ms)

        return stream

    def _decode(self, request_id: str, run: Outcome, from_ms: int) -> None:
        stream_ms = run.answer_tokens * self._ms_per_token(run.instance)
        self._at(from_ms + stream_ms, self._end(request_id))

    def _end(self, request_id: str) -> Callable[[int], None]:
        def end(now_ms: int) -> None:
            outcome = self._running.pop(request_id)
            assert outcome.first_ms is not None
            tokens = outcome.answer_tokens
            stream_ms = now_ms - outcome.first_ms
            release = messages.MemoryRelease(
                request_id, "s", tokens, stream_ms, length_tokens=tokens
            )
            self._step(release, now_ms)

        return end

    def _report(self, now_ms: int) -> None:
        for instance in self._decoders:
            share = self._held_tokens(instance, now_ms) / self.shape.capacity_tokens
            self.memory_shares.append((now_ms, share))
            self.preempted += share > 1
        runs = tuple(
            self._live(request_id, run, now_ms) for request_id, run in self._running.items()
        )
        self._step(messages.MemoryReport("n", "s", runs), now_ms)

    def _live(self, request_id: str, run: Outcome, now_ms: int) -> messages.LiveRun:
        assert run.granted_ms is not None
        made = self._made_tokens(run, now_ms)
        return messages.LiveRun(
            request_id,
            run.instance,
            run.prompt_tokens,
            run.likely_tokens,
            4 * self.shape.answer_tokens,
            now_ms - run.granted_ms,
            int(made),
        )
