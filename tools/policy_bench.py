"""The policy bench: the real request and owner cores on virtual time, against baselines."""

import random
from concurrent.futures import ProcessPoolExecutor

import attrs

from saffronworks import request_events
from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.owner.policies import Policy
from saffronworks.ownership import Cell
from saffronworks.request_events import Completed
from saffronworks.requests import Request
from tools.baselines import Baseline
from tools.fake_engines import Clock, FakeEngine, FaultPlan
from tools.ideal_site import NEVER, Absence, Offer, count_in_time
from tools.policy_drivers import Driver, OwnerDispatcher
from tools.shapes import DAY, SHAPES

__all__ = ["Bench", "Outcome", "Trial", "run_trials"]

PROCESSES = 6
WARM_UP_MS = 5000.0
DEATH_MS = 5000.0


@attrs.frozen
class Trial:
    """One run."""

    shape: str
    policy: str
    load: float
    faults: bool
    seed: int
    seconds: float = 40.0
    goodput_weight: float | None = None
    change_roles: bool = False
    policy_knobs: Policy = Policy()
    fault_plan: FaultPlan = FaultPlan(True, 0.02, 0.04, 1000, 0.2)


@attrs.frozen
class Outcome:
    """Figures of one run, as shares of the offered requests or of the prefill work."""

    goodput: float
    wasted: float
    completed: float
    not_run: float
    unknown: float
    bound: float
    ttft_p95_ms: float
    role_changes: int = 0


class Bench:
    """One site on virtual time under one policy."""

    def __init__(self, trial: Trial):
        self.trial = trial
        self.shape = {**SHAPES, DAY.name: DAY}[trial.shape]
        self.role_changes = 0
        self.clock = Clock()
        self.rng = random.Random(f"{trial.shape}/{trial.seed}")
        fault_rng = random.Random(f"faults/{trial.shape}/{trial.seed}")
        self.faults = FaultPlan()
        if trial.faults:
            self.faults = trial.fault_plan
        names = [f"p{i}" for i in range(self.shape.prefills)]
        names += [f"d{i}" for i in range(self.shape.decodes)]
        self.engines = {
            name: FakeEngine(name, self.shape.profile, self.clock, fault_rng, self.faults)
            for name in names
        }
        self.fault_rng = fault_rng
        self.finished: list[Request] = []
        self.live: dict[str, Driver] = {}
        self.used_ms = 0.0
        self.offers: list[Offer] = []
        self.model = self._make_model()
        self.cell = self._make_cell()
        self.dispatcher = self._make_dispatcher()

    def _make_model(self) -> Model:
        weight = self.trial.goodput_weight
        return Model(
            "m",
            "p",
            ttft_ms=self.shape.ttft_ms,
            pace_ms=self.shape.pace_ms,
            patience_ms=self.shape.patience_ms,
            goodput_weight=self.shape.goodput_weight if weight is None else weight,
            max_tokens=self.shape.answer[1],
        )

    def _make_cell(self) -> Cell:
        profile = self.shape.profile
        endpoints = tuple(
            Endpoint(
                name,
                "127.0.0.1:1",
                "z",
                Role.PREFILL if name.startswith("p") else Role.DECODE,
                profile.slots,
                profile.prefill_tokens_per_s,
                profile.link_bytes_per_s,
            )
            for name in self.engines
        )
        pool = Pool(
            "p",
            endpoints,
            profile.kv_bytes_per_token,
            profile.kv_kept_ms,
            self.trial.change_roles,
        )
        return Cell("b/p/0", pool, endpoints, (self.model,))

    def _make_dispatcher(self) -> "OwnerDispatcher | Baseline":
        if self.trial.policy == "saffronworks":
            return OwnerDispatcher(self)
        return Baseline(self.trial.policy, self.engines, self.clock, self.fault_rng, self.faults)

    def run(self) -> Outcome:
        """Offer the trace, let it drain, and count."""
        arrivals = self._offer()
        self._plan_faults()
        self.dispatcher.start(self.trial.seconds * 1000 + self.shape.patience_ms)
        self.clock.run(self.trial.seconds * 1000 + 30_000)
        return self._count(arrivals)

    def _offer(self) -> int:
        at_ms = 0.0
        index = 0
        while True:
            share = at_ms / (self.trial.seconds * 1000)
            rate_per_ms = self.trial.load * self.shape.capacity_per_s(share) / 1000
            at_ms += self.rng.expovariate(rate_per_ms)
            if at_ms > self.trial.seconds * 1000:
                return index
            driver = Driver(self, index, at_ms)
            prompt_tokens = driver.request.prompt_tokens
            self.offers.append(Offer(at_ms, prompt_tokens, driver.answer_tokens))
            self.clock.after(at_ms, driver.start)
            if self.fault_rng.random() < self.faults.cancel_share:
                leave_ms = at_ms + self.fault_rng.uniform(50, 4000)
                self.clock.after(leave_ms, driver.cancel)
            index += 1

    def _absence(self) -> Absence:
        """When decode engine 0 is dead."""
        if not self.faults.engine_death:
            return NEVER
        third_ms = self.trial.seconds * 1000 / 3
        return Absence(third_ms, third_ms + DEATH_MS)

    def _plan_faults(self) -> None:
        absence = self._absence()
        if absence is not NEVER:
            self.clock.after(absence.from_ms, self.engines["d0"].die)
            self.clock.after(absence.until_ms, self.engines["d0"].revive)

    def _count(self, arrivals: int) -> Outcome:
        counted = [r for r in self.finished if r.arrived_ms >= WARM_UP_MS]
        wanted = [r for r in counted if not isinstance(r.outcome, request_events.Cancelled)]
        total = max(1, len(wanted))
        done = [r for r in wanted if isinstance(r.outcome, Completed)]
        good = [r for r in done if self._in_targets(r)]
        ttfts = sorted(r.first_token_ms - r.arrived_ms for r in done if r.first_token_ms)
        work_ms = sum(e.prefill_ms_done for e in self.engines.values())
        return Outcome(
            goodput=len(good) / total,
            wasted=max(0.0, 1 - self.used_ms / work_ms) if work_ms else 0.0,
            completed=len(done) / total,
            not_run=sum(isinstance(r.outcome, request_events.NotRun) for r in wanted) / total,
            unknown=sum(isinstance(r.outcome, request_events.Unknown) for r in wanted) / total,
            bound=self._bound(),
            ttft_p95_ms=ttfts[int(len(ttfts) * 0.95)] if ttfts else 0.0,
            role_changes=self.role_changes,
        )

    def _bound(self) -> float:
        """What an ideal site serves of the same trace; of the faults it knows the death alone."""
        shape = self.shape
        counted = [offer for offer in self.offers if offer.arrived_ms >= WARM_UP_MS]
        served = count_in_time(
            self.offers,
            shape.profile,
            shape.prefills,
            shape.decodes,
            shape.prefix_tokens,
            shape.ttft_ms,
            self._absence(),
        )
        return sum(served[-len(counted) :]) / max(1, len(counted))

    def _in_targets(self, request: Request) -> bool:
        if request.first_token_ms is None:
            return False
        span_ms = request.last_token_ms - request.first_token_ms
        pace_ms = span_ms / max(1, request.delivered - 1)
        in_time = request.first_token_ms - request.arrived_ms <= self.shape.ttft_ms
        return in_time and pace_ms <= self.shape.pace_ms


def run_trials(trials: list[Trial]) -> list[Outcome]:
    """Run trials side by side; their outcomes in order."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(run_trial, trials, chunksize=4))


def run_trial(trial: Trial) -> Outcome:
    """Run one trial; the same trial gives the same figures."""
    return Bench(trial).run()
