"""The entry service: callers' HTTP, one runner per request, and leases with the owners."""

import logging
import random
import uuid
from typing import Any

import anyio
from result import Err

from saffronworks import requests
from saffronworks.burn import BurnRecorder
from saffronworks.completions import (
    CollectingSink,
    CompletionRequest,
    StreamingSink,
    error_body,
    read_completion,
    reply_outcome,
)
from saffronworks.documents import InForce
from saffronworks.engines import EngineClient
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.leases import hash_key
from saffronworks.members import VMS_KEY, MemberService, read_vms
from saffronworks.membership import MemberChanged
from saffronworks.messages import (
    Assign,
    AssignRefused,
    Grant,
    HeldList,
    HeldQuery,
    LeaseAcknowledged,
    LeaseRenewal,
    Refusal,
)
from saffronworks.metrics import Metrics
from saffronworks.owners import BUNDLE_PREFIX
from saffronworks.peers import Outgoing
from saffronworks.plain import PlainProxy
from saffronworks.requests import Completed, NotRun, Outcome, Request
from saffronworks.routes import RouteTable, choose_cell
from saffronworks.runners import Job, RequestRunner
from saffronworks.settings import Settings
from saffronworks.web import Call

__all__ = ["EntryService", "describe_outcome", "measure_latency"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
MOST_TOKENS = 100_000


class EntryService:
    """Owns the callers' connections and their requests."""

    name = "entry"

    def __init__(
        self,
        settings: Settings,
        engines: EngineClient,
        metrics: Metrics,
        recorder: BurnRecorder,
        incarnation: int,
    ):
        self.routes = RouteTable()
        self.runners: dict[str, RequestRunner] = {}
        self.plain = PlainProxy(settings.zone)
        self.draining = False
        self.counts: dict[str, int] = {}
        self.open_calls = 0
        self.wasted_prefills = 0
        self.prefills = 0
        self._settings = settings
        self._engines = engines
        self._metrics = metrics
        self._recorder = recorder
        self._incarnation = incarnation
        self._rng = random.Random(f"{settings.name}/{incarnation}")
        self._outstanding: dict[str, int] = {}
        self._leased: dict[str, int] = {}
        self._kernel: Kernel | None = None

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Serve messages and timers until cancelled; HTTP runs beside (see `nodes`)."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._renew_leases, kernel)
            async for message in mailbox:
                self._take(kernel, message)

    def tell_owner(self, cell: str, message: object) -> None:
        """Send to the owner of a cell, which may be this node."""
        kernel = self._kernel
        if kernel is None:
            return
        members: MemberService = kernel.find("members")
        owner = members.owner_of(cell)
        if owner == kernel.node:
            kernel.post("owner", message)
            return
        address = members.address_of(owner) if owner else None
        if address is not None:
            kernel.post("peers", Outgoing(address, message))

    def _take(self, kernel: Kernel, message: object) -> None:
        match message:
            case Grant():
                event = requests.GrantReceived(message.key.attempt, message.endpoint)
                self._post(message.key.request_id, event)
            case Refusal():
                self._post(
                    message.key.request_id,
                    requests.RefusalReceived(
                        message.key.attempt, message.reason, message.retry_after_ms
                    ),
                )
            case Assign():
                assigned = requests.AssignReceived(
                    message.key.attempt, message.endpoint, message.limit_ms
                )
                self._post(message.key.request_id, assigned)
            case AssignRefused():
                withdrawn = requests.AssignWithdrawn(message.key.attempt)
                self._post(message.key.request_id, withdrawn)
            case HeldQuery():
                self._list_held(kernel, message.cell)
            case LeaseAcknowledged():
                self._leased[message.cell] = kernel.now_ms()
            case InForce():
                self._take_document(message)
            case MemberChanged():
                self._follow_owners(kernel)

    def _take_document(self, change: InForce) -> None:
        if change.document.key.startswith(BUNDLE_PREFIX):
            self.routes.take(change.document)
        elif change.document.key == VMS_KEY:
            vms = read_vms(change.document.content)
            self.plain.leaving = frozenset(vm.name for vm in vms if vm.endpoint and vm.leaving)

    def _follow_owners(self, kernel: Kernel) -> None:
        """Tell the runners of cells that have another owner now."""
        members: MemberService = kernel.find("members")
        for runner in self.runners.values():
            owner = members.owner_of(runner.job.cell.name)
            if owner != runner.owner:
                runner.owner = owner
                runner.post(requests.OwnerChanged())

    def _post(self, request_id: str, event: requests.Event) -> None:
        runner = self.runners.get(request_id)
        if runner is not None:
            runner.post(event)

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            now_ms = self._kernel.now_ms() if self._kernel else 0
            for runner in list(self.runners.values()):
                if requests.due_ms(runner.request) <= now_ms:
                    runner.post(requests.Tick())

    async def _renew_leases(self, kernel: Kernel) -> None:
        """One heartbeat for each cell in which this node holds, or lately held, anything."""
        active: set[str] = set()
        while True:
            await anyio.sleep(self._settings.heartbeat_ms / 1000)
            held: dict[str, list[int]] = {cell: [] for cell in active}
            for runner in self.runners.values():
                item = runner.held()
                hashes = held.setdefault(runner.job.cell.name, [])
                if item is not None:
                    hashes.append(hash_key(item.key))
            for cell, hashes in held.items():
                digest = 0
                for value in hashes:
                    digest ^= value
                self.tell_owner(
                    cell,
                    LeaseRenewal(kernel.node, cell, self._incarnation, len(hashes), digest),
                )
            active = {runner.job.cell.name for runner in self.runners.values()}

    def _list_held(self, kernel: Kernel, cell: str) -> None:
        items = [r.held() for r in self.runners.values() if r.job.cell.name == cell]
        held = tuple(item for item in items if item is not None)
        self.tell_owner(cell, HeldList(kernel.node, cell, held))

    async def handle(self, call: Call) -> None:
        """Answer one HTTP call of a caller."""
        self.open_calls += 1
        try:
            match call.method, call.path:
                case "GET", "/healthz":
                    await call.reply(200, {"status": "ok"})
                case "GET", "/readyz":
                    ready = self.ready()
                    await call.reply(200 if ready else 503, {"ready": ready})
                case "GET", "/v1/models":
                    await self._list_models(call)
                case "POST", "/v1/completions":
                    await self._complete(call, chat=False)
                case "POST", "/v1/chat/completions":
                    await self._complete(call, chat=True)
                case _:
                    await self._carry_plain(call)
        finally:
            self.open_calls -= 1

    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        if self.draining or self._kernel is None:
            return False
        return bool(self._kernel.find("relays").ready)

    async def _list_models(self, call: Call) -> None:
        rows = [{"id": name, "object": "model"} for name in sorted(self.routes.models)]
        await call.reply(200, {"object": "list", "data": rows})

    async def _carry_plain(self, call: Call) -> None:
        host = call.headers.get("host", "").rpartition(":")[0]
        route = self.routes.find_plain(host, call.path)
        if route is None:
            body = error_body(f"no route for {call.path}", "invalid_request_error", "no-route")
            await call.reply(404, body)
            return
        assert self._kernel is not None
        unrepeatable = call.headers.get("x-unrepeatable", "").lower() == "true"
        outcome = await self.plain.carry(call, route, unrepeatable, self._kernel.now_ms())
        self.count(f"plain-{outcome}")

    async def _complete(self, call: Call, chat: bool) -> None:
        body: Any = await call.json(self._settings.max_body_bytes)
        read = read_completion(body, chat)
        if isinstance(read, Err):
            text = "; ".join(read.err_value)
            await call.reply(400, error_body(text, "invalid_request_error", "bad-request"))
            return
        request = read.ok_value
        found = self.routes.models.get(request.model)
        if found is None:
            text = f"no model is named {request.model!r}"
            await call.reply(404, error_body(text, "invalid_request_error", "model_not_found"))
            return
        if len(self.runners) >= self._settings.max_live_requests:
            outcome = NotRun("too many live requests at this node")
            self.count("not-run")
            await reply_outcome(call, outcome, "", request, "")
            return
        await self._run_completion(call, request)

    async def _run_completion(self, call: Call, request: CompletionRequest) -> None:
        runner = self._make_runner(call, request)
        request_id = runner.request.request_id
        sink = StreamingSink(call, request_id, request) if request.stream else CollectingSink()
        self.runners[request_id] = runner
        cell = runner.job.cell.name
        self._outstanding[cell] = self._outstanding.get(cell, 0) + 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, call, runner)
                outcome = await runner.run(sink)
                tasks.cancel_scope.cancel()
        finally:
            del self.runners[request_id]
            self._outstanding[cell] -= 1
            self._log_end(runner)
        if isinstance(outcome, requests.Cancelled):
            return
        if isinstance(sink, StreamingSink) and (call.started or isinstance(outcome, Completed)):
            await sink.finish(outcome)
        else:
            text = "".join(sink.tokens) if isinstance(sink, CollectingSink) else ""
            await reply_outcome(call, outcome, request_id, request, text)

    def _make_runner(self, call: Call, request: CompletionRequest) -> RequestRunner:
        assert self._kernel is not None
        kernel = self._kernel
        model, cells = self.routes.models[request.model]
        priority = call.headers.get("x-priority", "")
        job = Job(
            prompt=request.prompt,
            prefix_key=request.prefix_key,
            prefix_tokens=request.prefix_tokens,
            organisation=call.headers.get("x-organisation", "none"),
            priority=min(int(priority), model.priority) if priority.isdigit() else model.priority,
            model=model,
            cell=choose_cell(cells, self._outstanding, self._rng),
        )
        unrepeatable = call.headers.get("x-unrepeatable", "").lower() == "true"
        now_ms = kernel.now_ms()
        core = Request(
            request_id=f"{kernel.node}-{uuid.uuid4().hex[:16]}",
            prompt_tokens=request.prompt_tokens,
            max_tokens=min(request.max_tokens or model.max_tokens, MOST_TOKENS),
            arrived_ms=now_ms,
            deadline_ms=now_ms + model.patience_ms + model.ttft_ms,
            ask_again_ms=self._settings.ask_again_ms,
            unrepeatable=unrepeatable or model.unrepeatable,
        )
        runner = RequestRunner(kernel, self, self._engines, core, job)
        members: MemberService = kernel.find("members")
        runner.owner = members.owner_of(job.cell.name)
        return runner

    async def _watch_caller(self, call: Call, runner: RequestRunner) -> None:
        await call.wait_gone()
        runner.post(requests.CallerGone())

    def count(self, outcome: str) -> None:
        """Count an outcome for the status page."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def _log_end(self, runner: RequestRunner) -> None:
        request = runner.request
        outcome = describe_outcome(request.outcome)
        self.count(outcome)
        self.wasted_prefills += request.wasted_prefills
        self.prefills += request.prefills
        model = runner.job.model
        self._metrics.count_request(model.name, outcome, request.attempt, request.wasted_prefills)
        ttft_ms, pace_ms = measure_latency(request)
        self._record_burn(runner, outcome, ttft_ms, pace_ms)
        logger.info(
            "event=request_end request=%s model=%s organisation=%s outcome=%s attempts=%d "
            "tokens=%d ttft_ms=%d pace_ms=%.1f wasted=%d",
            request.request_id,
            model.name,
            runner.job.organisation,
            outcome,
            request.attempt,
            request.delivered,
            ttft_ms,
            pace_ms,
            request.wasted_prefills,
        )

    def _record_burn(
        self, runner: RequestRunner, outcome: str, ttft_ms: float, pace_ms: float
    ) -> None:
        """Count the request for the burn report; a caller that left counts for nothing."""
        if outcome == "cancelled" or self._kernel is None:
            return
        model = runner.job.model
        completed = outcome == "completed"
        self._recorder.record(
            runner.job.organisation,
            model.name,
            late=completed and ttft_ms > model.ttft_ms,
            slow=completed and pace_ms > model.pace_ms,
            failed=not completed,
            now_ms=self._kernel.now_ms(),
        )
        if completed:
            self._metrics.record_latency(model.name, ttft_ms, pace_ms)
            self._recorder.record_latency(model.name, ttft_ms, pace_ms)


def describe_outcome(outcome: Outcome | None) -> str:
    """The outcome as it stands in headers and logs."""
    match outcome:
        case Completed():
            return "completed"
        case NotRun():
            return "not-run"
        case requests.Unknown():
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
