"""The entry node's client of the planner: requests memory, and reports this node's runs."""

import logging
from collections.abc import Callable

import anyio
import attrs

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.node_choice import NodeChoice
from saffronworks.forwarding.planning.messages import (
    LiveRun,
    MemoryAsk,
    MemoryDirect,
    MemoryGrant,
    MemoryQueued,
    MemoryRefusal,
    MemoryRelease,
    MemoryReport,
    ReadingEnded,
    ReportWanted,
)
from saffronworks.forwarding.planning.priorities import DEFAULT_RANK
from saffronworks.forwarding.planning.tuning import (
    MAX_RESEND_MS,
    PLANNER_SILENT_MS,
    REPORT_EVERY_MS,
    RESEND_MS,
    SILENT_RUN_MS,
    STALLED_RUN_MS,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    STARTUP_MS,
)
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing, PeerReached

__all__ = ["MemoryClient", "RunOwner", "RunSize"]

logger = logging.getLogger(__name__)

_Answer = MemoryGrant | MemoryQueued | MemoryDirect | MemoryRefusal
_PlannerMessage = MemoryAsk | MemoryRelease | MemoryReport | ReadingEnded


@attrs.frozen
class RunSize:
    """The tokens of a prompt, and the expected and the maximum tokens of its answer."""

    prompt_tokens: int
    likely_tokens: int
    most_tokens: int


@attrs.frozen
class RunOwner:
    """The priority rank of a run, lower first, and its organisation, empty if it has none."""

    priority: int = DEFAULT_RANK
    organisation: str = ""


NO_OWNER = RunOwner()
# The id in a release that ends no run.
NO_REQUEST = ""


@attrs.define
class _Run:
    service: str
    instance: StartId
    size: RunSize
    owner: RunOwner
    began_ms: int
    made_tokens: int
    made_ms: int


class MemoryClient:
    """Sends requests, releases and reports of this node to the planners of services.

    A planner that does not answer at once is avoided for a while, so that a node which is gone or
    suspended delays no request. `is_path_proven` tells whether an endpoint that was silent for
    some time (ms) is itself the cause.
    """

    name = "memory-client"

    def __init__(
        self,
        own_address: str,
        now_ms: int,
        is_path_proven: Callable[[StartId, int], bool] = lambda *_: True,
    ):
        self.choice = NodeChoice(starting_until_ms=now_ms + STARTUP_MS)
        self.own_address = own_address
        self._is_path_proven = is_path_proven
        self._kernel: Kernel | None = None
        self._answers: dict[str, list[_Answer]] = {}
        self._arrived: dict[str, anyio.Event] = {}
        self._runs: dict[str, _Run] = {}

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Deliver answers and send reports until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_reports, kernel)
            await kernel.dispatch(self.name, mailbox, self._handle)

    def _handle(self, message: _Answer | ReportWanted | PeerReached) -> None:
        if isinstance(message, PeerReached):
            self.choice.record_answer(message.address, self._now_ms())
        elif isinstance(message, ReportWanted):
            assert self._kernel is not None
            report = self._make_report(message.service, self._kernel.now_ms())
            self._send(message.reply_to, report)
        elif message.request_id in self._answers:
            self._answers[message.request_id].append(message)
            self._arrived[message.request_id].set()

    def _planner(self, service: str) -> str | None:
        assert self._kernel is not None
        return self.choice.choose(service, self._kernel.now_ms())

    async def ask(self, ask: MemoryAsk) -> MemoryGrant | MemoryRefusal | None:
        """Request memory; return None if the planner is silent or its plan is not complete."""
        planner = self._planner(ask.service) if self._kernel else None
        # Answers name the request alone, so those of two with one id are not told apart.
        if planner is None or ask.request_id in self._answers:
            return None
        self._answers[ask.request_id] = []
        try:
            return await self._ask_until_settled(planner, ask)
        finally:
            del self._answers[ask.request_id]
            self._arrived.pop(ask.request_id, None)

    async def _ask_until_settled(
        self, planner: str, ask: MemoryAsk
    ) -> MemoryGrant | MemoryRefusal | None:
        assert self._kernel is not None
        began_ms = self._kernel.now_ms()
        while True:
            elapsed_ms = self._kernel.now_ms() - began_ms
            if elapsed_ms >= ask.patience_ms:
                return MemoryRefusal(ask.request_id, 0)
            sent_ms = began_ms + elapsed_ms
            self._send(planner, _update_times(ask, elapsed_ms))
            limit_ms = extend_for_lag(PLANNER_SILENT_MS)
            answer = await self._next_answer(ask.request_id, limit_ms)
            if answer is None:
                self._record_silence(planner, ask, sent_ms, limit_ms)
                return None
            self.choice.record_answer(planner, self._now_ms())
            if isinstance(answer, MemoryQueued):
                answer = await self._await_turn(planner, ask.request_id)
            match answer:
                case MemoryGrant() | MemoryRefusal():
                    return answer
                case MemoryDirect():
                    return None

    async def _await_turn(self, planner: str, request_id: str) -> _Answer | None:
        """Return the next answer to a queued request; None when the request is to be resent.

        While the planner answers other requests of this node, resends are less frequent.
        """
        asked_ms = self._now_ms()
        while True:
            silent_ms = self._now_ms() - max(asked_ms, self.choice.answered_ms(planner))
            left_ms = min(
                extend_for_lag(RESEND_MS) - silent_ms, asked_ms + MAX_RESEND_MS - self._now_ms()
            )
            if left_ms <= 0:
                return None
            answer = await self._next_answer(request_id, left_ms)
            if answer is not None:
                return answer

    def _now_ms(self) -> int:
        assert self._kernel is not None
        return self._kernel.now_ms()

    async def _next_answer(self, request_id: str, limit_ms: float) -> _Answer | None:
        """Return the latest answer, since it supersedes the earlier ones; None after the limit."""
        if not self._answers[request_id]:
            self._arrived[request_id] = anyio.Event()
            with anyio.move_on_after(limit_ms / 1000):
                await self._arrived[request_id].wait()
        answers, self._answers[request_id] = self._answers[request_id], []
        return answers[-1] if answers else None

    def _record_silence(self, planner: str, ask: MemoryAsk, sent_ms: int, limit_ms: float) -> None:
        avoided_ms = self.choice.record_silence(planner, sent_ms, self._now_ms())
        logger.info(
            "event=planner_silent request=%s planner=%s after_ms=%d avoided_ms=%d",
            ask.request_id,
            planner,
            limit_ms,
            avoided_ms,
        )

    def begin(
        self,
        request_id: str,
        service: str,
        instance: StartId,
        size: RunSize,
        owner: RunOwner = NO_OWNER,
    ) -> None:
        """Record a run for the reports to the planner, even if it was not planned."""
        if self._kernel is not None:
            now_ms = self._kernel.now_ms()
            self._runs[request_id] = _Run(service, instance, size, owner, now_ms, 0, now_ms)

    def progress(self, request_id: str, made_tokens: int) -> None:
        """Record how many tokens of a run's answer have arrived."""
        run = self._runs.get(request_id)
        if run is not None and self._kernel is not None:
            run.made_tokens, run.made_ms = made_tokens, self._kernel.now_ms()

    def end_prefill(self, ended: ReadingEnded) -> None:
        """Report to the planner that a prompt's prefill has finished or will not take place."""
        self._send_to_planner(ended)

    def report_failure(self, service: str, instance: StartId) -> None:
        """Report an endpoint that failed a request whose run goes on elsewhere."""
        self._send_to_planner(MemoryRelease(NO_REQUEST, service, broken=(instance,)))

    def end(self, release: MemoryRelease) -> None:
        """Remove a run that has ended or was given up, and send its release to the planner."""
        self._runs.pop(release.request_id, None)
        self._send_to_planner(release)

    def _send_to_planner(self, message: MemoryRelease | ReadingEnded) -> None:
        planner = self._planner(message.service) if self._kernel else None
        if planner is not None:
            self._send(planner, message)

    def _send(self, planner: str, message: _PlannerMessage) -> None:
        assert self._kernel is not None
        if planner == self.own_address:
            self._kernel.announce(message)
        else:
            self._kernel.post("peers", Outgoing(planner, message))

    async def _send_reports(self, kernel: Kernel) -> None:
        reported: set[str] = set()
        while True:
            await anyio.sleep(REPORT_EVERY_MS / 1000)
            services = {run.service for run in self._runs.values()}
            for service in services | reported:
                kernel.attempt(self.name, self._send_report, service, kernel.now_ms())
            reported = services

    def _send_report(self, service: str, now_ms: int) -> None:
        report = self._make_report(service, now_ms)
        for planner in self.choice.report_receivers(service, now_ms):
            self._send(planner, report)

    def _make_report(self, service: str, now_ms: int) -> MemoryReport:
        runs = tuple(
            LiveRun(
                request_id,
                run.instance,
                run.size.prompt_tokens,
                run.size.likely_tokens,
                run.size.most_tokens,
                now_ms - run.began_ms,
                run.made_tokens,
                self._quiet_ms(run, now_ms),
                run.owner.priority,
                run.owner.organisation,
            )
            for request_id, run in self._runs.items()
            if run.service == service
        )
        return MemoryReport(self.own_address, service, runs)

    def _quiet_ms(self, run: _Run, now_ms: int) -> int:
        """Return how long a run has been silent, as far as its endpoint may be the cause.

        The planner ejects the endpoint of a stalled run for all nodes.
        """
        quiet_ms = max(0, now_ms - run.made_ms - int(extend_for_lag(0)))
        # Asked early, as it may take a check of the path until it is proven.
        if quiet_ms < SILENT_RUN_MS or self._is_path_proven(run.instance, quiet_ms):
            return quiet_ms
        return min(quiet_ms, STALLED_RUN_MS - 1)


def _update_times(ask: MemoryAsk, elapsed_ms: int) -> MemoryAsk:
    """Return the same request with the times left after `elapsed_ms`."""
    return attrs.evolve(
        ask,
        waited_ms=ask.waited_ms + elapsed_ms,
        in_time_ms=ask.in_time_ms - elapsed_ms,
        patience_ms=ask.patience_ms - elapsed_ms,
    )
