"""State machine of one request at its entry node, free of I/O.

`step(request, event, now_ms)` updates the request and returns typed commands. It decides what
is dispatched, drops late and duplicate events, and sets the outcome reported to the caller.
"""

import attrs

from saffronworks.messages import RequestKey
from saffronworks.request_events import (
    RETRY_AFTER_MS,
    AskOwner,
    AssignReceived,
    AssignWithdrawn,
    CallerGone,
    CancelAt,
    Cancelled,
    Command,
    Completed,
    DecodeBroken,
    DecodeEnded,
    DecodeRefused,
    DecodeStarted,
    Deliver,
    Event,
    Finish,
    GrantReceived,
    LeaseLost,
    NodeStopping,
    NotRun,
    Outcome,
    OwnerChanged,
    Phase,
    PrefillEnded,
    PrefillFailed,
    RefusalReceived,
    ReleaseGrant,
    ResumeDecode,
    RouterFailed,
    StartDecode,
    Started,
    StartPrefill,
    TellPrefilled,
    Tick,
    TokensArrived,
    Unknown,
)

__all__ = ["STOPPING", "Request", "due_ms", "step"]

RESUMES_PER_ATTEMPT = 2
MAX_ATTEMPTS = 6
MAX_BACKOFF_DOUBLINGS = 3
# The owner withdraws an expired KV cache itself. The entry node waits this long after expiry for
# the owner's message before it retries on its own.
KV_GRACE_MS = 100
# The entry node times out a stalled transfer. The engine's own limit is this much longer, and
# applies only when the entry node is unable to act.
IMPORT_GRACE_MS = 500
STOPPING = "node-stopping"


@attrs.define
class Request:
    """State of one request. `delivered` counts the tokens sent to the caller."""

    request_id: str
    prompt_tokens: int
    max_tokens: int
    arrived_ms: int
    deadline_ms: int
    ask_again_ms: int
    stall_ms: int = 5000
    unrepeatable: bool = False
    # The node begins no request any more. A begun stream still continues at another engine.
    draining: bool = False
    phase: Phase = Phase.RECEIVED
    attempt: int = 1
    dispatched: bool = False
    dispatched_before: bool = False
    delivered: int = 0
    prefill_endpoint: str = ""
    decode_endpoint: str = ""
    kv_id: str = ""
    resumes: int = 0
    asked_ms: int = 0
    asks: int = 0
    progress_ms: int = 0
    first_token_ms: int | None = None
    last_token_ms: int = 0
    broken_since_ms: int | None = None
    prefill_ms: int = 0
    cached_tokens: int = 0
    kv_expires_ms: int = 0
    transfer_ms: int = 0
    transfer_limit_ms: int = 0
    prefills: int = 0
    wasted_prefills: int = 0
    failed_endpoints: tuple[str, ...] = ()
    outcome: Outcome | None = None

    @property
    def key(self) -> RequestKey:
        """The key of the current attempt."""
        return RequestKey(self.request_id, self.attempt)

    @property
    def holds_prefill(self) -> bool:
        """True while a failure would waste this attempt's prefill work."""
        return self.phase in (Phase.PREFILLING, Phase.ASSIGNING, Phase.TRANSFERRING)

    @property
    def next_due_ms(self) -> int | None:
        """The deadline of the next token; None after the first token, unless the stream broke.

        A stream that lost its engine gets as much time as a new request. The original deadline was
        met by the first token, and without any deadline the request would wait forever when no
        owner answers.
        """
        if self.first_token_ms is None:
            return self.deadline_ms
        if self.broken_since_ms is None:
            return None
        return self.broken_since_ms + self.deadline_ms - self.arrived_ms

    def deadline_passed(self, now_ms: int) -> bool:
        """True when the deadline of the next token has passed."""
        return self.next_due_ms is not None and now_ms >= self.next_due_ms


def step(request: Request, event: Event, now_ms: int) -> list[Command]:
    """Apply one event and return commands; ignore events of old attempts or finished requests."""
    if request.phase is Phase.FINISHED:
        return []
    if getattr(event, "attempt", request.attempt) != request.attempt:
        return []
    match event:
        case Started():
            return _request_grant(request, now_ms, retry=False)
        case CallerGone():
            return _end(request, Cancelled())
        case RouterFailed():
            return _end(request, _failure_outcome(request, "router failed"))
        case NodeStopping():
            return _end(request, _failure_outcome(request, STOPPING))
        case Tick():
            return _tick(request, now_ms)
        case OwnerChanged():
            request.asks = 0
            return _resend(request, now_ms)
        case LeaseLost():
            return _handle_lease_loss(request, now_ms)
        case TokensArrived() | DecodeEnded() | DecodeBroken():
            return _step_decode(request, event, now_ms)
        case _:
            return _step_setup(request, event, now_ms)


def _handle_lease_loss(request: Request, now_ms: int) -> list[Command]:
    """Retry, as the grant is void; a started decode's engine reports its cancellation instead."""
    match request.phase:
        case Phase.WAITING:
            return _retry(request, now_ms, (), "lease lost", executed=False)
        case Phase.PREFILLING | Phase.ASSIGNING:
            return _retry(request, now_ms, (), "lease lost", executed=True)
        case _:
            return []


def _step_setup(request: Request, event: Event, now_ms: int) -> list[Command]:
    match event, request.phase:
        case GrantReceived(), Phase.WAITING:
            return _start_prefill(request, event.endpoint, now_ms)
        case RefusalReceived(), Phase.WAITING:
            return _end(request, _failure_outcome(request, event.reason, event.retry_after_ms))
        case PrefillEnded(), Phase.PREFILLING:
            request.phase = Phase.ASSIGNING
            request.kv_id = event.kv_id
            request.prefill_ms = event.prefill_ms
            request.cached_tokens = event.cached_tokens
            request.kv_expires_ms = now_ms + event.expires_in_ms
            request.asks = 0
            request.asked_ms = now_ms
            return [TellPrefilled(request.attempt)]
        case PrefillFailed(), Phase.PREFILLING:
            if not event.executed:
                request.dispatched = request.dispatched_before
            failed = (request.prefill_endpoint,)
            return _retry(request, now_ms, failed, event.failure, event.executed)
        case AssignReceived(), Phase.ASSIGNING:
            request.phase = Phase.TRANSFERRING
            request.decode_endpoint = event.endpoint
            request.transfer_limit_ms = _transfer_limit_ms(request, event.limit_ms, now_ms)
            request.progress_ms = now_ms
            return [_start_decode(request)]
        case AssignWithdrawn(), Phase.ASSIGNING:
            return _retry(request, now_ms, (), "expired", executed=True)
        case DecodeStarted(), Phase.TRANSFERRING:
            request.phase = Phase.DECODING
            request.transfer_ms = event.transfer_ms
            request.progress_ms = now_ms
            return []
        case DecodeRefused(), Phase.TRANSFERRING:
            return _decode_refused(request, event, now_ms)
    return []


def _start_prefill(request: Request, endpoint: str, now_ms: int) -> list[Command]:
    request.phase = Phase.PREFILLING
    request.prefill_endpoint = endpoint
    request.prefills += 1
    request.dispatched_before = request.dispatched
    request.dispatched = True
    request.progress_ms = now_ms
    begin_within_ms = request.stall_ms
    if request.next_due_ms is not None:
        begin_within_ms = max(1, min(begin_within_ms, request.next_due_ms - now_ms))
    return [StartPrefill(request.attempt, endpoint, request.delivered, begin_within_ms)]


def _transfer_limit_ms(request: Request, limit_ms: int, now_ms: int) -> int:
    """Return how long a transfer may be silent: to the deadline if no other attempt may follow."""
    if not request.unrepeatable or request.next_due_ms is None:
        return limit_ms
    return max(limit_ms, request.next_due_ms - now_ms)


def _start_decode(request: Request) -> StartDecode:
    return StartDecode(
        request.attempt,
        request.decode_endpoint,
        request.prefill_endpoint,
        request.kv_id,
        request.delivered,
        request.transfer_limit_ms + IMPORT_GRACE_MS,
    )


def _decode_refused(request: Request, event: DecodeRefused, now_ms: int) -> list[Command]:
    refused_by = request.decode_endpoint
    request.decode_endpoint = ""
    if event.kv_lost:
        return _retry(request, now_ms, (), event.failure, executed=True)
    request.phase = Phase.ASSIGNING
    request.asked_ms = now_ms
    return [TellPrefilled(request.attempt, refused_by, event.failure)]


def _step_decode(
    request: Request, event: TokensArrived | DecodeEnded | DecodeBroken, now_ms: int
) -> list[Command]:
    if request.phase not in (Phase.TRANSFERRING, Phase.DECODING):
        return []
    match event:
        case TokensArrived():
            return _deliver(request, event, now_ms)
        case DecodeEnded() if event.total == request.delivered:
            return _end(request, Completed())
        case DecodeEnded():
            # A larger total means that tokens are missing, and the engine can resume. A smaller
            # total contradicts the delivered tokens, and without a total the end can't be checked:
            # the attempt counts as failed.
            more = event.total is not None and event.total > request.delivered
            failure = "gap" if more else "wrong end"
            return _handle_broken_stream(
                request, DecodeBroken(event.attempt, more, failure), now_ms
            )
        case DecodeBroken():
            return _handle_broken_stream(request, event, now_ms)


def _deliver(request: Request, event: TokensArrived, now_ms: int) -> list[Command]:
    if event.offset > request.delivered:
        return _handle_broken_stream(request, DecodeBroken(event.attempt, True, "gap"), now_ms)
    fresh = event.tokens[request.delivered - event.offset :]
    if not fresh:
        return []
    request.phase = Phase.DECODING
    request.delivered += len(fresh)
    if request.first_token_ms is None:
        request.first_token_ms = now_ms
    request.last_token_ms = now_ms
    request.broken_since_ms = None
    request.progress_ms = now_ms
    return [Deliver(fresh)]


def _handle_broken_stream(request: Request, event: DecodeBroken, now_ms: int) -> list[Command]:
    if event.engine_alive and request.resumes < RESUMES_PER_ATTEMPT:
        request.resumes += 1
        request.progress_ms = now_ms
        return [ResumeDecode(request.attempt, request.decode_endpoint, request.delivered)]
    failed: tuple[str, ...] = (request.decode_endpoint,)
    if request.phase is Phase.TRANSFERRING:
        # Either endpoint of the transfer may be at fault, so both are reported as failed; later
        # successes clear the healthy one.
        failed = (request.decode_endpoint, request.prefill_endpoint)
    return _retry(request, now_ms, failed, event.failure, executed=True)


def _retry(
    request: Request, now_ms: int, failed: tuple[str, ...], failure: str, executed: bool
) -> list[Command]:
    """Abandon the attempt and start another.

    The request ends instead if attempts or time are used up, or an unrepeatable one may have run.
    """
    commands: list[Command] = _release_attempt(request, failed, failure)
    request.failed_endpoints = tuple({*request.failed_endpoints, *failed})
    too_many = request.attempt >= MAX_ATTEMPTS
    if request.draining and not request.delivered:
        return commands + _finish(request, _failure_outcome(request, STOPPING))
    if too_many or request.deadline_passed(now_ms) or (request.unrepeatable and executed):
        return commands + _finish(request, _failure_outcome(request, failure or "failed"))
    if request.first_token_ms is not None and request.broken_since_ms is None:
        request.broken_since_ms = now_ms
    request.attempt += 1
    request.resumes = 0
    request.prefill_endpoint = request.decode_endpoint = request.kv_id = ""
    return commands + _request_grant(request, now_ms, retry=True)


def _request_grant(request: Request, now_ms: int, retry: bool) -> list[Command]:
    request.phase = Phase.WAITING
    request.asked_ms = now_ms
    request.asks = 0
    return [AskOwner(request.attempt, retry)]


def _tick(request: Request, now_ms: int) -> list[Command]:
    if request.deadline_passed(now_ms):
        return _end(request, _failure_outcome(request, "deadline"))
    idle_ms = now_ms - request.progress_ms
    if request.phase is Phase.TRANSFERRING and idle_ms >= request.transfer_limit_ms:
        return _handle_broken_stream(
            request, DecodeBroken(request.attempt, False, "stalled"), now_ms
        )
    if idle_ms >= request.stall_ms:
        if request.phase is Phase.PREFILLING:
            failed = (request.prefill_endpoint,)
            return _retry(request, now_ms, failed, "stalled", executed=True)
        if request.phase is Phase.DECODING:
            return _handle_broken_stream(
                request, DecodeBroken(request.attempt, True, "stalled"), now_ms
            )
    if request.phase is Phase.ASSIGNING and now_ms >= request.kv_expires_ms + KV_GRACE_MS:
        return _retry(request, now_ms, (), "expired", executed=True)
    if now_ms < _resend_due_ms(request):
        return []
    request.asks += 1
    return _resend(request, now_ms)


def _resend_due_ms(request: Request) -> int:
    """The time of the next resend to the owner, with exponential backoff."""
    return request.asked_ms + request.ask_again_ms * 2 ** min(request.asks, MAX_BACKOFF_DOUBLINGS)


def _resend(request: Request, now_ms: int) -> list[Command]:
    request.asked_ms = now_ms
    if request.phase is Phase.WAITING:
        return [AskOwner(request.attempt, request.attempt > 1)]
    if request.phase is Phase.ASSIGNING:
        return [TellPrefilled(request.attempt)]
    return []


def due_ms(request: Request) -> int:
    """The time at which the request next needs a `Tick`; an earlier one returns no commands."""
    match request.phase:
        case Phase.WAITING:
            due = _resend_due_ms(request)
        case Phase.ASSIGNING:
            due = min(_resend_due_ms(request), request.kv_expires_ms + KV_GRACE_MS)
        case Phase.TRANSFERRING:
            due = request.progress_ms + request.transfer_limit_ms
        case _:
            due = request.progress_ms + request.stall_ms
    return due if request.next_due_ms is None else min(due, request.next_due_ms)


def _failure_outcome(
    request: Request, reason: str, retry_after_ms: int = RETRY_AFTER_MS
) -> Outcome:
    if request.dispatched:
        return Unknown(reason)
    return NotRun(reason, retry_after_ms)


def _release_attempt(
    request: Request, failed: tuple[str, ...] = (), failure: str = ""
) -> list[Command]:
    if request.holds_prefill:
        request.wasted_prefills += 1
    held = {request.prefill_endpoint, request.decode_endpoint} - {""}
    commands: list[Command] = [CancelAt(request.attempt, endpoint) for endpoint in sorted(held)]
    commands.append(ReleaseGrant(request.attempt, failed=failed, failure=failure))
    return commands


def _end(request: Request, outcome: Outcome) -> list[Command]:
    if isinstance(outcome, Completed):
        release = ReleaseGrant(request.attempt, finished=True)
        return [release, *_finish(request, outcome)]
    return _release_attempt(request) + _finish(request, outcome)


def _finish(request: Request, outcome: Outcome) -> list[Command]:
    request.phase = Phase.FINISHED
    request.outcome = outcome
    return [Finish(outcome)]
