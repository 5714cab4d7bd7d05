"""Admission control of a cell: queues or refuses attempts, and grants prefills."""

from saffronworks.bundles import Role
from saffronworks.messages import (
    Ask,
    Grant,
    Refusal,
)
from saffronworks.owner.cell_events import (
    Command,
    SendMessage,
)
from saffronworks.owner.cell_states import CellState, drop_held, open_decoders
from saffronworks.owner.ledgers import Held, Stage
from saffronworks.owner.placement import (
    PrefillChoice,
    choose_prefill,
    expected_free,
    takes_prefill,
    transfer_ms,
)
from saffronworks.owner.queues import Waiting

__all__ = [
    "MIN_RETRY_AFTER_MS",
    "grant_waiting",
    "predict_wait",
    "refuse",
    "handle_ask",
]

MIN_RETRY_AFTER_MS = 500


def handle_ask(state: CellState, ask: Ask, now_ms: int) -> list[Command]:
    """Queues an attempt, or refuses it at once.

    A repeated `Ask` of a granted attempt gets its grant again, since the first message may be lost.
    """
    request_id = ask.key.request_id
    if ask.key.attempt <= state.ended.get(request_id, (0, 0))[0]:
        return []
    state.leases.touch(ask.node, now_ms)
    held = state.held.get(request_id)
    if held is not None and held.key == ask.key:
        grant = Grant(ask.key, held.prefill_endpoint)
        return [SendMessage(ask.node, grant)] if held.stage == Stage.PREFILL else []
    if held is not None:
        drop_held(state, held)
    waiting = state.queue.items.get(request_id)
    if waiting is not None and waiting.ask.key == ask.key:
        return []
    model = state.models.get(ask.model)
    if model is None:
        return [refuse(state, ask, "no such model here", MIN_RETRY_AFTER_MS)]
    if state.queue.full():
        return [refuse(state, ask, "queue full", int(state.slot_time_ms.value))]
    arrived_ms = now_ms - ask.waited_ms
    item = Waiting(ask, model, arrived_ms, _work_ms(state, ask, now_ms))
    item.first = ask.retry and state.budget.withdraw()
    wait_ms = predict_wait(state, item, now_ms)
    if not ask.retry and wait_ms > item.patience_left_ms(now_ms):
        late_ms = int(wait_ms) - item.patience_left_ms(now_ms)
        return [refuse(state, ask, "overload", max(MIN_RETRY_AFTER_MS, late_ms))]
    state.queue.items[request_id] = item
    return []


def predict_wait(state: CellState, item: Waiting, now_ms: int) -> float:
    """Predicts the time to first token of a new attempt, including its time in the queue."""
    ahead = state.queue.ahead_of(item.ask)
    ledgers = state.ledgers.values()
    decoders = open_decoders(state, now_ms)
    prefillers = [e for e in ledgers if e.role is Role.PREFILL and e.open(now_ms)]
    if not decoders or not prefillers:
        return 0.0
    work_ms = item.work_ms
    free = expected_free(ledgers, state.held.values(), state.lengths, now_ms, now_ms)
    slots = sum(ledger.endpoint.slots for ledger in decoders)
    short = max(0.0, ahead + 1 - free)
    decode_wait_ms = short * state.slot_time_ms.value / slots
    backlog_ms = min(ledger.backlog_end_ms(now_ms) for ledger in prefillers) - now_ms
    prefill_wait_ms = backlog_ms + ahead * work_ms / len(prefillers)
    return max(decode_wait_ms, prefill_wait_ms) + work_ms


def _work_ms(state: CellState, ask: Ask, now_ms: int) -> float:
    """Predicts the prefill plus transfer time of an attempt at the fastest open endpoint."""
    best = 0.0
    for ledger in state.ledgers.values():
        if ledger.role is Role.PREFILL and ledger.open(now_ms):
            work_ms = ledger.prefill_work_ms(ask.prompt_tokens, ask.prefix_key)
            work_ms += transfer_ms(state.cell.pool, ask.prompt_tokens, ledger, None, now_ms)
            best = min(best, work_ms) if best else work_ms
    return best


def refuse(state: CellState, ask: Ask, reason: str, retry_after_ms: int) -> Command:
    """Returns the refusal of an attempt that has not started its prefill."""
    state.refused += 1
    return SendMessage(ask.node, Refusal(ask.key, reason, retry_after_ms))


def grant_waiting(state: CellState, now_ms: int) -> list[Command]:
    """Grants prefills in queue order while a prefill can start and a decode slot is expected."""
    commands: list[Command] = []
    if now_ms < state.grants_from_ms:
        return commands
    lead_ms = state.queue.policy.prefill_lead_ms
    while state.queue.items and any(
        takes_prefill(ledger, lead_ms, now_ms) for ledger in state.ledgers.values()
    ):
        item = state.queue.select(now_ms)
        choice = _admit(state, item, now_ms) if item else None
        if item is None or choice is None:
            break
        commands.append(_grant(state, item, choice, now_ms))
    return commands


def _admit(state: CellState, item: Waiting, now_ms: int) -> PrefillChoice | None:
    """Returns a prefill endpoint, or None if none or no decode slot is predicted to be free.

    The slot may become free after the transfer, while the KV result waits. A higher goodput
    weight of the model allows a longer wait, at the risk of a wasted prefill.
    """
    ask = item.ask
    pool = state.cell.pool
    ledgers = state.ledgers.values()
    choice = choose_prefill(pool, ledgers, ask, state.queue.policy.prefill_lead_ms, now_ms)
    if choice is None:
        return None
    policy = state.queue.policy
    wait_ms = policy.planned_wait_ms(item.model.goodput_weight, pool.kv_kept_ms)
    then_ms = choice.ready_ms + wait_ms
    free = expected_free(ledgers, state.held.values(), state.lengths, then_ms, now_ms)
    return choice if free >= 1.0 + policy.spare_slots else None


def _grant(state: CellState, item: Waiting, choice: PrefillChoice, now_ms: int) -> Command:
    ask = item.ask
    state.queue.take(item, 1.0, now_ms)
    held = Held(
        key=ask.key,
        node=ask.node,
        model=ask.model,
        organisation=ask.organisation,
        stage=Stage.PREFILL,
        prefill_endpoint=choice.ledger.endpoint.name,
        granted_ms=now_ms,
        prefill_end_ms=choice.end_ms,
        prompt_tokens=ask.prompt_tokens,
        max_tokens=ask.max_tokens,
        prefix_key=ask.prefix_key,
        avoid=ask.avoid,
    )
    state.held[ask.key.request_id] = held
    choice.ledger.prefills[ask.key.request_id] = held
    choice.ledger.circuit.take_trial(now_ms)
    state.granted += 1
    return SendMessage(ask.node, Grant(ask.key, held.prefill_endpoint))
