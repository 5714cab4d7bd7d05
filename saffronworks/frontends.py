"""The callers' HTTP interface of a node: completions, models, plain services, probes."""

import logging
import math
import random
import uuid
from typing import Any

import anyio
from result import Err

from saffronworks import claims, request_events
from saffronworks.body_memory import BodyHold, BodyMemory, BodyMemoryFull
from saffronworks.bundles import Model
from saffronworks.claim_service import ClaimService
from saffronworks.completions import (
    OUTCOME_HEADER,
    CollectingSink,
    CompletionRequest,
    StreamingSink,
    error_body,
    read_completion,
    reply_outcome,
    reply_plain_outcome,
)
from saffronworks.ends import EndRecorder, describe_outcome
from saffronworks.engines import EngineClient
from saffronworks.entries import EntryService
from saffronworks.field_numbers import read_count
from saffronworks.kernel import Kernel
from saffronworks.members import MemberService
from saffronworks.plain import PlainProxy
from saffronworks.request_events import Completed, NotRun, Outcome, Unknown
from saffronworks.requests import STOPPING, Request
from saffronworks.routes import choose_cell
from saffronworks.runners import Job, RequestRunner
from saffronworks.settings import Settings
from saffronworks.web import BadBody, Call, SlowBody

__all__ = ["Frontend"]

logger = logging.getLogger(__name__)

MOST_TOKENS = 100_000


class Frontend:
    """Answers callers. The requests themselves belong to the entry service."""

    def __init__(
        self,
        settings: Settings,
        kernel: Kernel,
        engines: EngineClient,
        claimant: ClaimService,
        ends: EndRecorder,
        seed: str,
    ):
        self.plain = PlainProxy(settings.zone)
        self.draining = False
        # Begins no request any more.
        self.refusing = False
        self.open_calls = 0
        self.bodies = BodyMemory(settings.body_memory_bytes)
        self._settings = settings
        self._kernel = kernel
        self._engines = engines
        self._claimant = claimant
        self._ends = ends
        self._rng = random.Random(seed)
        # Calls that no runner has: their bodies are read, or a plain service has them.
        self._scopes: dict[Call, anyio.CancelScope] = {}

    async def handle(self, call: Call) -> None:
        """Answer one HTTP call of a caller."""
        self.open_calls += 1
        hold = call.body_hold = self.bodies.begin(self._kernel.now_ms())
        scope = self._scopes[call] = anyio.CancelScope()
        try:
            with scope:
                await self._answer(call)
            if scope.cancelled_caught:
                self._log_stopped(call, "not-run")
                await self._refuse_to_begin(call)
        except BodyMemoryFull:
            await self._refuse_for_memory(call, hold)
        except SlowBody:
            await self._refuse_slow(call, hold)
        finally:
            self._scopes.pop(call, None)
            hold.release(self._kernel.now_ms())
            self.open_calls -= 1

    async def _answer(self, call: Call) -> None:
        match call.method, call.path:
            case "GET", "/healthz":
                await call.reply(200, {"status": "ok"})
            case "GET", "/readyz":
                ready = self.ready()
                await call.reply(200 if ready else 503, {"ready": ready})
            case "GET", "/v1/models":
                await self._list_models(call)
            case _ if self.refusing:
                await self._refuse_to_begin(call)
            case "POST", "/v1/completions":
                await self._complete(call, chat=False)
            case "POST", "/v1/chat/completions":
                await self._complete(call, chat=True)
            case _:
                await self._carry_plain(call)

    def refuse_new(self) -> None:
        """Begin no request any more, also none of those that no server has run yet."""
        self.refusing = self.plain.draining = True
        for call, scope in list(self._scopes.items()):
            if not call.sent_on:
                scope.cancel()
        for runner in self._entry().runners.values():
            runner.begin_drain()

    def stop_all(self) -> None:
        """End all open requests, and tell their callers the outcome."""
        for scope in list(self._scopes.values()):
            scope.cancel()
        for runner in self._entry().runners.values():
            runner.stop()

    def _log_stopped(self, call: Call, outcome: str, request_id: str = "") -> None:
        logger.warning(
            "event=request_stopped reason=%s request=%s method=%s path=%s outcome=%s begun=%s",
            STOPPING,
            request_id,
            call.method,
            call.path,
            outcome,
            call.started,
        )

    async def _refuse_to_begin(self, call: Call) -> None:
        """Refuse a request that this node would not end in time; it was not run."""
        if call.started:
            call.close()
            return
        self._ends.count("not-run")
        body = error_body(f"not run: {STOPPING}", "overloaded_error", "not-run")
        headers = {OUTCOME_HEADER: "not-run", "retry-after": "1", "connection": "close"}
        await call.reply_unread(503, body, headers, self._settings.max_body_bytes)

    async def _refuse_for_memory(self, call: Call, hold: BodyHold) -> None:
        """Refuse a request whose body has no memory; it was not run."""
        now_ms, stated_bytes = self._kernel.now_ms(), call.stated_body_bytes
        max_bytes = self._settings.max_body_bytes
        body_bytes = max_bytes if stated_bytes is None else stated_bytes
        wait_s = max(1, math.ceil(self.bodies.room_after_ms(body_bytes, now_ms) / 1000))
        hold.release(now_ms)
        self._ends.count("body-refused")
        self.bodies.count_refusal("full")
        if (not_logged := self.bodies.limit_refusal_log(now_ms)) is not None:
            logger.info(
                "event=body_refused reason=bodies-full body_bytes=%s held_bytes=%d "
                "bound_bytes=%s retry_after_s=%d not_logged=%d",
                stated_bytes,
                self.bodies.held_bytes,
                self.bodies.bound_bytes,
                wait_s,
                not_logged,
            )
        body = error_body("not-run: no memory for the body", "server_error", "not-run")
        headers = {OUTCOME_HEADER: "not-run", "retry-after": str(wait_s)}
        await call.reply_unread(503, body, headers, max_bytes)

    async def _refuse_slow(self, call: Call, hold: BodyHold) -> None:
        """Refuse a request whose body arrives too slowly; it was not run."""
        hold.release(self._kernel.now_ms())
        self._ends.count("body-slow")
        self.bodies.count_refusal("slow")
        logger.info("event=body_refused reason=body-slow body_bytes=%s", call.stated_body_bytes)
        body = error_body("not-run: the body arrives too slowly", "server_error", "not-run")
        await call.reply(408, body, {OUTCOME_HEADER: "not-run", "retry-after": "1"})

    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        accepts = not self.draining and not self._kernel.failing()
        return accepts and bool(self._kernel.find("relays").ready)

    def _entry(self) -> EntryService:
        return self._kernel.find("entry")

    async def _list_models(self, call: Call) -> None:
        names = sorted(self._entry().routes.models)
        rows = [{"id": name, "object": "model"} for name in names]
        await call.reply(200, {"object": "list", "data": rows})

    async def _carry_plain(self, call: Call) -> None:
        host = call.headers.get("host", "").rpartition(":")[0]
        entry = self._entry()
        route = entry.routes.find_plain(host, call.path)
        if route is None:
            body = error_body(f"no route for {call.path}", "invalid_request_error", "no-route")
            await call.reply(404, body)
            return
        once = _asks_once(call) or call.method in route.unrepeatable_methods
        call_id = uuid.uuid4().hex
        claim = await self._claim(call, call_id) if once else None
        denied = _deny(claim)
        if denied is not None:
            self._ends.count(f"plain-{'unknown' if isinstance(denied, Unknown) else 'not-run'}")
            await reply_plain_outcome(call, denied)
            return
        self.plain.leaving = entry.leaving
        scope = self._scopes[call] = anyio.CancelScope()
        try:
            with scope:
                outcome = await self.plain.carry(call, route, once, self._kernel.now_ms())
            if scope.cancelled_caught:
                self._log_stopped(call, "unknown" if call.sent_on else "not-run")
                outcome = await self.plain.stop(call)
        except (BadBody, BodyMemoryFull):
            if claim is not None and not call.sent_on:
                self._settle(call, claim, call_id)
            raise
        self._ends.count(f"plain-{outcome}")
        if outcome == "not-run" and claim is not None:
            self._settle(call, claim, call_id)

    async def _complete(self, call: Call, chat: bool) -> None:
        body: Any = await call.json(self._settings.max_body_bytes)
        read = read_completion(body, chat)
        if isinstance(read, Err):
            text = "; ".join(read.err_value)
            await call.reply(400, error_body(text, "invalid_request_error", "bad-request"))
            return
        request = read.ok_value
        found = self._entry().routes.models.get(request.model)
        if found is None:
            text = f"no model is named {request.model!r}"
            await call.reply(404, error_body(text, "invalid_request_error", "model_not_found"))
            return
        await self._admit(call, request, found[0])

    async def _admit(self, call: Call, request: CompletionRequest, model: Model) -> None:
        """Bound the live requests and take the claim, then run."""
        request_id = f"{self._kernel.node}-{uuid.uuid4().hex[:16]}"
        refused: Outcome | None = None
        claim: claims.Result | None = None
        if len(self._entry().runners) >= self._settings.max_live_requests:
            refused = NotRun("too many live requests at this node")
        elif model.unrepeatable or _asks_once(call):
            claim = await self._claim(call, request_id)
            refused = _deny(claim)
        if refused is not None:
            organisation = _read_organisation(call)
            self._ends.record_refused(model.name, organisation, self._kernel.now_ms())
            await reply_outcome(call, refused, request_id, request, "")
            return
        ended = await self._run_completion(call, request, request_id)
        left = isinstance(ended.outcome, request_events.Cancelled) and not ended.dispatched
        if claim is not None and (left or isinstance(ended.outcome, NotRun)):
            self._settle(call, claim, request_id)

    async def _claim(self, call: Call, request_id: str) -> claims.Result | None:
        """Claim the call's `Idempotency-Key`; None when it has none."""
        key = call.headers.get("idempotency-key", "")
        if not key:
            return None
        return await self._claimant.claim(
            claims.claim_key(_read_organisation(call), key), request_id
        )

    def _settle(self, call: Call, claim: claims.Result, request_id: str) -> None:
        """Give a claim back whose request surely did not run."""
        if isinstance(claim, claims.Claimed):
            key = claims.claim_key(_read_organisation(call), call.headers["idempotency-key"])
            self._claimant.settle_not_run(key, request_id)

    async def _run_completion(
        self, call: Call, request: CompletionRequest, request_id: str
    ) -> Request:
        entry = self._entry()
        runner = self._make_runner(call, request, request_id)
        sink = (StreamingSink if request.stream else CollectingSink)(call, request_id, request)
        del self._scopes[call]
        entry.add(runner)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, call, tasks.cancel_scope)
                await runner.run(sink)
                tasks.cancel_scope.cancel()
        finally:
            entry.remove(runner)
            self._ends.record(runner.request, runner.job, self._kernel.now_ms())
        outcome = runner.request.outcome
        if runner.stopped:
            self._log_stopped(call, describe_outcome(outcome), request_id)
        if isinstance(outcome, Completed | NotRun | Unknown):
            await sink.finish(outcome)
        return runner.request

    def _make_runner(
        self, call: Call, request: CompletionRequest, request_id: str
    ) -> RequestRunner:
        entry = self._entry()
        model, cells = entry.routes.models[request.model]
        priority = read_count(call.headers.get("x-priority", "")).unwrap_or(model.priority)
        job = Job(
            prompt=request.prompt,
            prefix_key=request.prefix_key,
            prefix_tokens=request.prefix_tokens,
            organisation=_read_organisation(call),
            priority=min(priority, model.priority),
            model=model,
            cell=choose_cell(cells, entry.outstanding, self._rng),
        )
        now_ms = self._kernel.now_ms()
        core = Request(
            request_id=request_id,
            prompt_tokens=request.prompt_tokens,
            max_tokens=min(request.max_tokens or model.max_tokens, MOST_TOKENS),
            arrived_ms=now_ms,
            deadline_ms=now_ms + model.patience_ms + model.ttft_ms,
            ask_again_ms=self._settings.ask_again_ms,
            unrepeatable=model.unrepeatable or _asks_once(call),
        )
        runner = RequestRunner(self._kernel, entry, self._engines, core, job)
        members: MemberService = self._kernel.find("members")
        runner.owner = members.owner_of(job.cell.name)
        return runner

    async def _watch_caller(self, call: Call, request: anyio.CancelScope) -> None:
        """Cancel the request when its caller leaves; a message could be dropped, and comes once."""
        await call.wait_disconnected()
        request.cancel()


def _asks_once(call: Call) -> bool:
    """Whether the caller marks the call as unrepeatable."""
    return call.headers.get("x-unrepeatable", "").lower() == "true"


def _read_organisation(call: Call) -> str:
    return call.headers.get("x-organisation", "none")


def _deny(claim: claims.Result | None) -> Outcome | None:
    """The outcome of a call whose claim was not taken; None when it may run."""
    match claim:
        case claims.Denied():
            return Unknown(f"a request with this key was taken before ({claim.request_id})")
        case claims.Unrecorded():
            return NotRun("the claim on its key could not be recorded")
        case _:
            return None
