"""Decode assignment: handles an attempt from the end of its prefill to its release."""

from saffronworks.messages import (
    Assign,
    AssignRefused,
    Prefilled,
    Release,
)
from saffronworks.owner.cell_events import (
    Command,
    SendMessage,
)
from saffronworks.owner.cell_states import CellState, drop_held, record_failure
from saffronworks.owner.ledgers import EndpointLedger, Held, Stage
from saffronworks.owner.placement import (
    choose_decode,
)

__all__ = [
    "assign_ready",
    "handle_prefilled",
    "handle_release",
]

MIN_TRANSFER_LIMIT_MS = 800


TRANSFER_LIMIT_FACTOR = 4


def handle_prefilled(state: CellState, event: Prefilled, now_ms: int) -> list[Command]:
    """Records that a KV result waits for a decode slot.

    For an attempt that is already assigned, `refused_by` decides: if it is the assigned endpoint,
    the KV result needs another one; otherwise the assignment is sent again, since the first
    message may be lost.
    """
    held = state.held.get(event.key.request_id)
    if held is None or held.key != event.key:
        return []
    if event.failure == "connect":
        record_failure(state, event.refused_by, event.failure, now_ms)
    if held.stage == Stage.DECODE:
        if event.refused_by != held.decode_endpoint:
            return [SendMessage(event.node, Assign(event.key, held.decode_endpoint, held.limit_ms))]
        state.ledgers[held.decode_endpoint].decodes.pop(event.key.request_id, None)
        held.decode_endpoint = ""
    if held.stage == Stage.PREFILL:
        _record_prefill(state, held, event)
    held.stage = Stage.READY
    state.ready[event.key.request_id] = held
    if event.refused_by:
        held.avoid = (*held.avoid, event.refused_by)
    held.expires_ms = now_ms + event.expires_in_ms
    return []


def _record_prefill(state: CellState, held: Held, event: Prefilled) -> None:
    ledger = state.ledgers.get(held.prefill_endpoint)
    if ledger is None:
        return
    ledger.prefills.pop(held.key.request_id, None)
    ledger.prefixes.note(held.prefix_key, event.cached_tokens)
    fresh = held.prompt_tokens - event.cached_tokens
    if event.prefill_ms > 0 and fresh > 0:
        ledger.prefill_rate.add(1000.0 * fresh / event.prefill_ms)


def assign_ready(state: CellState, now_ms: int) -> list[Command]:
    """Assigns free decode slots to waiting KV results, those that expire first before others."""
    commands: list[Command] = []
    for held in sorted(state.ready.values(), key=lambda held: held.expires_ms):
        choice = choose_decode(state.cell.pool, state.ledgers, held, now_ms)
        if choice is not None:
            commands.append(_assign(state, held, *choice, now_ms))
        elif now_ms >= held.expires_ms:
            state.withdrawn += 1
            drop_held(state, held)
            commands.append(SendMessage(held.node, AssignRefused(held.key)))
    return commands


def _assign(
    state: CellState, held: Held, ledger: EndpointLedger, transfer: float, now_ms: int
) -> Command:
    held.stage = Stage.DECODE
    del state.ready[held.key.request_id]
    held.decode_endpoint = ledger.endpoint.name
    held.decode_started_ms = now_ms + transfer
    ledger.decodes[held.key.request_id] = held
    ledger.circuit.take_trial(now_ms)
    ledger.record_occupancy(now_ms)
    size = float(held.prompt_tokens * state.cell.pool.kv_bytes_per_token)
    ledger.links.append((held.decode_started_ms, size))
    if held.prefill_endpoint in state.ledgers:
        state.ledgers[held.prefill_endpoint].links.append((held.decode_started_ms, size))
    usual_ms = max(transfer, state.transfer_ms.value)
    held.limit_ms = int(MIN_TRANSFER_LIMIT_MS + TRANSFER_LIMIT_FACTOR * usual_ms)
    return SendMessage(held.node, Assign(held.key, ledger.endpoint.name, held.limit_ms))


def handle_release(state: CellState, event: Release, now_ms: int) -> list[Command]:
    """Removes an ended attempt, and updates circuits and predictions from its outcome."""
    request_id = event.key.request_id
    state.ended[request_id] = (event.key.attempt, now_ms)
    waiting = state.queue.items.get(request_id)
    if waiting is not None and waiting.ask.key.attempt <= event.key.attempt:
        del state.queue.items[request_id]
    for name in event.failed:
        record_failure(state, name, event.failure, now_ms)
    held = state.held.get(request_id)
    if held is None or held.key != event.key:
        return []
    drop_held(state, held)
    if event.finished:
        _record_finish(state, held, event, now_ms)
    return []


def _record_finish(state: CellState, held: Held, event: Release, now_ms: int) -> None:
    state.budget.deposit()
    if held.model in state.lengths:
        state.lengths[held.model].add(event.output_tokens)
    for name in (held.prefill_endpoint, held.decode_endpoint):
        if name in state.ledgers:
            state.ledgers[name].circuit.succeed(now_ms)
    ledger = state.ledgers.get(held.decode_endpoint)
    if ledger is not None and event.output_tokens > 1:
        ledger.pace_ms.add(event.decode_ms / event.output_tokens)
    state.transfer_ms.add(float(event.transfer_ms))
    state.slot_time_ms.add(float(event.decode_ms + event.transfer_ms))
