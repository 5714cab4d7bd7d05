"""The policy bench: the real request and owner cores on virtual time, against baselines."""

import functools
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import attrs

from saffronworks import request_events, requests
from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.messages import (
    Ask,
    Assign,
    AssignRefused,
    Grant,
    LeaseRenewal,
    Prefilled,
    Refusal,
    Release,
    RequestKey,
)
from saffronworks.owner import cell_events, cells
from saffronworks.owner.leases import hash_key
from saffronworks.owner.ledgers import LoadReport
from saffronworks.owner.policies import Policy
from saffronworks.ownership import Cell
from saffronworks.request_events import Completed, Phase
from saffronworks.requests import Request
from tools.baselines import Baseline
from tools.fake_engines import Clock, FakeEngine, FaultPlan, Stream
from tools.ideal_site import NEVER, Absence, Offer, count_in_time
from tools.shapes import DAY, SHAPES

__all__ = ["Bench", "Outcome", "Trial", "run_trials"]

NODES = 7
PROCESSES = 6
MESSAGE_MS = 1.0
TICK_MS = 20.0
REQUEST_TICK_MS = 100.0
REPORT_MS = 250.0
HEARTBEAT_MS = 500.0
LEASE_MS = 3000
WARM_UP_MS = 5000.0
DEATH_MS = 5000.0
SWITCH_MS = 900.0


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


class Driver:
    """Performs one request core's commands on virtual time, as `runners` does on sockets."""

    def __init__(self, bench: Bench, index: int, at_ms: float):
        shape, rng = bench.shape, bench.rng
        part = shape.part_at(at_ms / (bench.trial.seconds * 1000))
        self.bench = bench
        self.node = f"n{index % NODES}"
        self.organisation = f"o{rng.randrange(shape.organisations)}"
        self.answer_tokens = rng.randint(*part.answer)
        self.request = Request(
            request_id=f"r{index}",
            prompt_tokens=rng.randint(*part.prompt),
            max_tokens=shape.answer[1],
            arrived_ms=int(at_ms),
            deadline_ms=int(at_ms) + shape.patience_ms + shape.ttft_ms,
            ask_again_ms=400,
        )
        self.work_ms = 0.0

    def start(self) -> None:
        """The caller's request arrives."""
        self.bench.live[self.request.request_id] = self
        self.feed(request_events.Started())
        self.bench.clock.after(REQUEST_TICK_MS, self._tick)

    def cancel(self) -> None:
        """The caller hangs up."""
        self.feed(request_events.CallerGone())

    def _tick(self) -> None:
        if self.request.phase is not Phase.FINISHED:
            self.feed(request_events.Tick())
            self.bench.clock.after(REQUEST_TICK_MS, self._tick)

    def feed(self, event: request_events.Event) -> None:
        """Apply an event and perform what it commands."""
        now_ms = int(self.bench.clock.now_ms)
        for command in requests.step(self.request, event, now_ms):
            self._perform(command)

    def _perform(self, command: request_events.Command) -> None:
        bench = self.bench
        match command:
            case request_events.AskOwner():
                bench.dispatcher.ask(self, command)
            case request_events.TellPrefilled():
                bench.dispatcher.prefilled(self, command)
            case request_events.ReleaseGrant():
                bench.dispatcher.release(self, command)
            case request_events.StartPrefill():
                self._prefill(command)
            case request_events.StartDecode():
                self._decode(command)
            case request_events.ResumeDecode():
                broken = request_events.DecodeBroken(command.attempt, False, "gone")
                bench.clock.after(MESSAGE_MS, lambda: self.feed(broken))
            case request_events.CancelAt():
                key = RequestKey(self.request.request_id, command.attempt)
                bench.clock.after(MESSAGE_MS, lambda: bench.engines[command.endpoint].end(key))
            case request_events.Finish():
                bench.finished.append(self.request)
                bench.live.pop(self.request.request_id, None)

    def _prefill(self, command: request_events.StartPrefill) -> None:
        engine = self.bench.engines[command.endpoint]
        attempt = command.attempt
        tokens = self.request.prompt_tokens + command.delivered

        def done(ok: bool, work_ms: float, cached: int) -> None:
            if not ok:
                self.feed(request_events.PrefillFailed(attempt, False, "connect"))
                return
            self.work_ms = work_ms
            kept_ms = self.bench.shape.profile.kv_kept_ms
            kv_id = f"{self.request.request_id}.{attempt}"
            self.feed(request_events.PrefillEnded(attempt, kv_id, round(work_ms), cached, kept_ms))

        kv_id = f"{self.request.request_id}.{attempt}"
        engine.prefill(kv_id, "prefix", self.bench.shape.prefix_tokens, tokens, done)

    def _decode(self, command: request_events.StartDecode) -> None:
        attempt = command.attempt
        engines = self.bench.engines
        began_ms = self.bench.clock.now_ms
        started = False

        def on_tokens(offset: int, count: int) -> None:
            nonlocal started
            if not started:
                started = True
                self.bench.used_ms += self.work_ms
                transfer_ms = round(self.bench.clock.now_ms - began_ms)
                self.feed(request_events.DecodeStarted(attempt, transfer_ms))
            self.feed(request_events.TokensArrived(attempt, offset, ("t",) * count))

        stream = Stream(
            RequestKey(self.request.request_id, attempt),
            self.answer_tokens,
            command.offset,
            on_tokens,
            lambda: self.feed(request_events.DecodeEnded(attempt, self.answer_tokens)),
            lambda: self.feed(request_events.DecodeBroken(attempt, False, "connect")),
        )
        tokens = self.request.prompt_tokens + command.offset
        source = engines[command.source]
        refused = engines[command.endpoint].decode(source, command.kv_id, tokens, stream)
        if refused:
            event = request_events.DecodeRefused(attempt, refused == "kv lost", refused)
            self.bench.clock.after(MESSAGE_MS, lambda: self.feed(event))


class OwnerDispatcher:
    """Carries messages to and from the real owner core, one message latency each way."""

    def __init__(self, bench: Bench):
        self.bench = bench
        self.state = cells.new_cell(bench.cell, "owner", LEASE_MS, 0, 0, bench.trial.policy_knobs)

    def start(self, until_ms: float) -> None:
        """Begin ticks, heartbeats and load reports."""
        self._every(TICK_MS, lambda: self._step(cell_events.Tick()))
        self._every(HEARTBEAT_MS, self._renew)
        self._every(REPORT_MS, self._report)

    def _every(self, period_ms: float, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self.bench.clock.after(period_ms, again)

        self.bench.clock.after(period_ms, again)

    def _renew(self) -> None:
        for index in range(NODES):
            mine = [h for h in self.state.held.values() if h.node == f"n{index}"]
            digest = 0
            for held in mine:
                digest ^= hash_key(held.key)
            self._step(LeaseRenewal(f"n{index}", self.state.cell.name, 1, len(mine), digest))

    def _report(self) -> None:
        for engine in self.bench.engines.values():
            lost = self.bench.fault_rng.random() < self.bench.faults.lost_report_share
            if engine.alive and not lost:
                running, _ = engine.report()
                report = LoadReport(running, self.bench.faults.report_lag_ms)
                self._step(cell_events.Reported(engine.name, report))

    def _send(self, message: cell_events.Event) -> None:
        self.bench.clock.after(MESSAGE_MS, lambda: self._step(message))

    def _step(self, event: cell_events.Event) -> None:
        for command in cells.step(self.state, event, int(self.bench.clock.now_ms)):
            match command:
                case cell_events.Tell():
                    self._tell(command.message)
                case cell_events.CancelStream():
                    self.bench.engines[command.endpoint].end(command.key)
                    self._send(cell_events.CancelAcknowledged(command.endpoint, command.key))
                case cell_events.TakeFence():
                    self._send(cell_events.FenceTaken(1))
                case cell_events.OrderRole():
                    self.bench.role_changes += 1
                    done = cell_events.RoleOrdered(command.endpoint, accepted=True)
                    self.bench.clock.after(SWITCH_MS, functools.partial(self._step, done))

    def _tell(self, message: object) -> None:
        event: request_events.Event
        match message:
            case Grant():
                event = request_events.GrantReceived(message.key.attempt, message.endpoint)
            case Assign():
                event = request_events.AssignReceived(
                    message.key.attempt, message.endpoint, message.limit_ms
                )
            case AssignRefused():
                event = request_events.AssignWithdrawn(message.key.attempt)
            case Refusal():
                event = request_events.RefusalReceived(
                    message.key.attempt, message.reason, message.retry_after_ms
                )
            case _:
                return
        driver = self.bench.live.get(message.key.request_id)
        if driver is not None:
            self.bench.clock.after(MESSAGE_MS, lambda: driver.feed(event))

    def ask(self, driver: Driver, command: request_events.AskOwner) -> None:
        """Send an Ask."""
        request = driver.request
        now_ms = int(self.bench.clock.now_ms)
        ask = Ask(
            key=RequestKey(request.request_id, command.attempt),
            node=driver.node,
            cell=self.state.cell.name,
            model="m",
            organisation=driver.organisation,
            prompt_tokens=request.prompt_tokens + request.delivered,
            prefix_key="prefix",
            max_tokens=request.max_tokens - request.delivered,
            priority=1,
            waited_ms=now_ms - request.arrived_ms,
            retry=command.retry,
            avoid=request.failed_endpoints,
        )
        self._send(ask)

    def prefilled(self, driver: Driver, command: request_events.TellPrefilled) -> None:
        """Send a Prefilled."""
        request = driver.request
        expires_in_ms = max(0, request.kv_expires_ms - int(self.bench.clock.now_ms))
        message = Prefilled(
            key=RequestKey(request.request_id, command.attempt),
            node=driver.node,
            cell=self.state.cell.name,
            prefill_ms=request.prefill_ms,
            cached_tokens=request.cached_tokens,
            expires_in_ms=expires_in_ms,
            refused_by=command.refused_by,
            failure=command.failure,
        )
        self._send(message)

    def release(self, driver: Driver, command: request_events.ReleaseGrant) -> None:
        """Send a Release."""
        request = driver.request
        span_ms = 0
        if request.first_token_ms is not None:
            span_ms = request.last_token_ms - request.first_token_ms
        message = Release(
            key=RequestKey(request.request_id, command.attempt),
            node=driver.node,
            cell=self.state.cell.name,
            organisation=driver.organisation,
            output_tokens=request.delivered,
            decode_ms=span_ms,
            transfer_ms=request.transfer_ms,
            finished=command.finished,
            failed=command.failed,
            failure=command.failure,
        )
        self._send(message)


def run_trials(trials: list[Trial]) -> list[Outcome]:
    """Run trials side by side; their outcomes in order."""
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(run_trial, trials, chunksize=4))


def run_trial(trial: Trial) -> Outcome:
    """Run one trial; the same trial gives the same figures."""
    return Bench(trial).run()
