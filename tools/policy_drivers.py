"""What moves in the policy bench: one request with its core, and the owner that serves them."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

from saffronworks import request_events, requests
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
from saffronworks.request_events import Phase
from saffronworks.requests import Request
from tools.fake_engines import Stream

if TYPE_CHECKING:
    from tools.policy_bench import Bench

__all__ = ["Driver", "OwnerDispatcher"]

NODES = 7
MESSAGE_MS = 1.0
TICK_MS = 20.0
REQUEST_TICK_MS = 100.0
REPORT_MS = 250.0
HEARTBEAT_MS = 500.0
LEASE_MS = 3000
SWITCH_MS = 900.0


class Driver:
    """Performs one request core's commands on virtual time, as `runners` does on sockets."""

    def __init__(self, bench: "Bench", index: int, at_ms: float):
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

    def __init__(self, bench: "Bench"):
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
                case cell_events.SendMessage():
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
