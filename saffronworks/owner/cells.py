"""The scheduler of a cell: queues attempts, grants prefills, assigns decodes, reclaims slots.

`step(state, event, now_ms)` does no I/O: it applies a message of an entry node or a report of
an endpoint to the state, and returns the commands to run. The state is not stored: a new owner
rebuilds it from the lists of held attempts that the entry nodes send.
"""

from saffronworks.messages import (
    Ask,
    HeldList,
    LeaseRenewal,
    Prefilled,
    Release,
)
from saffronworks.owner.admissions import (
    MIN_RETRY_AFTER_MS,
    grant_waiting,
    handle_ask,
    predict_wait,
    refuse,
)
from saffronworks.owner.assignments import assign_ready, handle_prefilled, handle_release
from saffronworks.owner.cell_events import (
    CacheReported,
    CancelAcknowledged,
    CancelStream,
    CellChanged,
    Command,
    EndpointGone,
    EndpointsLeaving,
    Event,
    FenceTaken,
    Reported,
    RoleOrdered,
    StreamsListed,
    Tick,
)
from saffronworks.owner.cell_states import CellState, new_cell, record_failure, set_cell
from saffronworks.owner.reclaims import adopt_held, handle_streams, reclaim_node, renew_lease
from saffronworks.owner.roles import (
    apply_reported_role,
    handle_fence_taken,
    handle_role_reply,
    plan_roles,
)

__all__ = ["CellState", "new_cell", "predict_wait", "step"]

ENDED_KEPT_MS = 30_000


def step(state: CellState, event: Event, now_ms: int) -> list[Command]:
    """Applies one event to `state` and returns the commands to run, in order."""
    match event:
        case Ask():
            commands = handle_ask(state, event, now_ms)
        case Prefilled():
            commands = handle_prefilled(state, event, now_ms)
        case Release():
            commands = handle_release(state, event, now_ms)
        case LeaseRenewal():
            commands = renew_lease(state, event, now_ms)
        case HeldList():
            commands = adopt_held(state, event, now_ms)
        case StreamsListed():
            commands = handle_streams(state, event, now_ms)
        case Tick():
            commands = _tick(state, now_ms)
        case _:
            commands = _note_endpoint(state, event, now_ms)
    return commands + assign_ready(state, now_ms) + grant_waiting(state, now_ms)


def _note_endpoint(state: CellState, event: Event, now_ms: int) -> list[Command]:
    match event:
        case Reported() if event.endpoint in state.ledgers:
            ledger = state.ledgers[event.endpoint]
            ledger.apply_report(event.report, now_ms)
            ledger.circuit.answer(now_ms)
            apply_reported_role(state, ledger, event.report, now_ms)
        case CacheReported() if event.endpoint in state.ledgers:
            state.ledgers[event.endpoint].apply_events(event.events)
        case CancelAcknowledged():
            state.cancels.acknowledge(event.endpoint, event.key)
            if event.endpoint in state.ledgers:
                state.ledgers[event.endpoint].unacknowledged.discard(event.key)
        case EndpointGone():
            state.cancels.forget_endpoint(event.endpoint)
            if event.endpoint in state.ledgers:
                state.ledgers[event.endpoint].unacknowledged.clear()
                record_failure(state, event.endpoint, "connect", now_ms)
        case EndpointsLeaving():
            for name, ledger in state.ledgers.items():
                ledger.leaving = name in event.names
        case CellChanged():
            set_cell(state, event.cell)
        case FenceTaken():
            handle_fence_taken(state, event, now_ms)
        case RoleOrdered():
            handle_role_reply(state, event, now_ms)
    return []


def _tick(state: CellState, now_ms: int) -> list[Command]:
    commands: list[Command] = []
    for node in state.leases.take_lapsed(now_ms):
        commands += reclaim_node(state, node, now_ms)
    for request_id, waiting in list(state.queue.items.items()):
        if not waiting.ask.retry and waiting.patience_left_ms(now_ms) <= 0:
            del state.queue.items[request_id]
            retry_after_ms = max(MIN_RETRY_AFTER_MS, int(state.slot_time_ms.value))
            commands.append(refuse(state, waiting.ask, "overload", retry_after_ms))
    for endpoint, key in state.cancels.take_due(now_ms):
        commands.append(CancelStream(endpoint, key))
    commands += plan_roles(state, now_ms)
    _forget_old(state, now_ms)
    return commands


def _forget_old(state: CellState, now_ms: int) -> None:
    state.queue.prune(now_ms)
    while state.ended:
        request_id, (_, at_ms) = next(iter(state.ended.items()))
        if now_ms - at_ms < ENDED_KEPT_MS:
            break
        del state.ended[request_id]
