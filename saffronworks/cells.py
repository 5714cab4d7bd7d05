"""The owner of a cell: a pure core that queues, grants, assigns, and reclaims.

`step(state, event, now_ms)` takes the messages of entry nodes and what endpoints report, and
returns typed commands. The state is soft: a new owner rebuilds it from what entries hold.
"""

import attrs

from saffronworks.breakers import RetryBudget
from saffronworks.bundles import Model, Role
from saffronworks.leases import MISMATCHES_TO_ASK, CancelList, LeaseTable, OrphanWatch, hash_key
from saffronworks.ledgers import EndpointLedger, Held, LoadReport, Stage
from saffronworks.messages import (
    Ask,
    Assign,
    AssignRefused,
    Grant,
    HeldKey,
    HeldList,
    HeldQuery,
    LeaseAcknowledged,
    LeaseRenewal,
    Prefilled,
    Refusal,
    Release,
    RequestKey,
)
from saffronworks.ownership import Cell
from saffronworks.placement import (
    PrefillChoice,
    choose_decode,
    choose_prefill,
    expected_free,
    takes_prefill,
    transfer_ms,
)
from saffronworks.policies import Policy
from saffronworks.predictors import Average, LengthTable
from saffronworks.queues import Waiting, WaitQueue

__all__ = [
    "CancelAcknowledged",
    "CancelStream",
    "CellChanged",
    "CellState",
    "EndpointGone",
    "EndpointsLeaving",
    "Reported",
    "StreamsListed",
    "Tell",
    "Tick",
    "new_cell",
    "step",
]

ENDED_KEPT_MS = 30_000
FIRST_HOLD_MS = 2000.0
LEAST_RETRY_AFTER_MS = 500
LEAST_TRANSFER_LIMIT_MS = 800
TRANSFER_LIMIT_FACTOR = 4


@attrs.frozen
class Reported:
    """An endpoint's load report arrived."""

    endpoint: str
    report: LoadReport


@attrs.frozen
class StreamsListed:
    """The live streams of an endpoint, each with the node that it belongs to."""

    endpoint: str
    streams: tuple[tuple[RequestKey, str], ...]


@attrs.frozen
class CancelAcknowledged:
    """The endpoint holds the attempt no more."""

    endpoint: str
    key: RequestKey


@attrs.frozen
class EndpointGone:
    """Nobody listens at the endpoint; a process that is gone holds no memory."""

    endpoint: str


@attrs.frozen
class EndpointsLeaving:
    """The endpoints that get no new work."""

    names: frozenset[str]


@attrs.frozen
class CellChanged:
    """A newer bundle version describes the cell anew."""

    cell: Cell


@attrs.frozen
class Tick:
    """Time passes."""


@attrs.frozen
class Tell:
    """Send a message to an entry node."""

    node: str
    message: object


@attrs.frozen
class CancelStream:
    """Cancel an attempt at an endpoint; answered by `CancelAcknowledged` or `EndpointGone`."""

    endpoint: str
    key: RequestKey


Event = (
    Ask
    | Prefilled
    | Release
    | LeaseRenewal
    | HeldList
    | Reported
    | StreamsListed
    | CancelAcknowledged
    | EndpointGone
    | EndpointsLeaving
    | CellChanged
    | Tick
)
Command = Tell | CancelStream


@attrs.define
class CellState:
    """All that the owner of one cell knows. `grants_from_ms` ends the rebuild of a new owner."""

    cell: Cell
    owner: str
    leases: LeaseTable
    grants_from_ms: int
    ledgers: dict[str, EndpointLedger] = attrs.Factory(dict)
    models: dict[str, Model] = attrs.Factory(dict)
    lengths: dict[str, LengthTable] = attrs.Factory(dict)
    queue: WaitQueue = attrs.Factory(WaitQueue)
    held: dict[str, Held] = attrs.Factory(dict)
    ready: dict[str, Held] = attrs.Factory(dict)
    ended: dict[str, tuple[int, int]] = attrs.Factory(dict)
    cancels: CancelList = attrs.Factory(CancelList)
    orphans: OrphanWatch = attrs.Factory(OrphanWatch)
    budget: RetryBudget = attrs.Factory(RetryBudget)
    hold_ms: Average = attrs.Factory(lambda: Average(FIRST_HOLD_MS))
    transfer_ms: Average = attrs.Factory(lambda: Average(0.0))
    granted: int = 0
    refused: int = 0
    withdrawn: int = 0


def new_cell(
    cell: Cell,
    owner: str,
    lease_ms: int,
    rebuild_ms: int,
    now_ms: int,
    policy: Policy | None = None,
) -> CellState:
    """A new owner's state; it grants only after `rebuild_ms`, when entries have reported."""
    queue = WaitQueue(policy or Policy())
    state = CellState(cell, owner, LeaseTable(lease_ms), now_ms + rebuild_ms, queue=queue)
    _set_cell(state, cell)
    return state


def step(state: CellState, event: Event, now_ms: int) -> list[Command]:
    """Apply one event."""
    match event:
        case Ask():
            commands = _ask(state, event, now_ms)
        case Prefilled():
            commands = _prefilled(state, event, now_ms)
        case Release():
            commands = _release(state, event, now_ms)
        case LeaseRenewal():
            commands = _renew(state, event, now_ms)
        case HeldList():
            commands = _adopt(state, event, now_ms)
        case StreamsListed():
            commands = _streams(state, event, now_ms)
        case Tick():
            commands = _tick(state, now_ms)
        case _:
            commands = _note_endpoint(state, event, now_ms)
    return commands + _assign_ready(state, now_ms) + _grant_waiting(state, now_ms)


def _note_endpoint(state: CellState, event: Event, now_ms: int) -> list[Command]:
    match event:
        case Reported() if event.endpoint in state.ledgers:
            state.ledgers[event.endpoint].apply_report(event.report, now_ms)
        case CancelAcknowledged():
            state.cancels.acknowledge(event.endpoint, event.key)
            if event.endpoint in state.ledgers:
                state.ledgers[event.endpoint].unacknowledged.discard(event.key)
        case EndpointGone():
            state.cancels.forget_endpoint(event.endpoint)
            if event.endpoint in state.ledgers:
                ledger = state.ledgers[event.endpoint]
                ledger.unacknowledged.clear()
                ledger.circuit.fail("connect", now_ms)
        case EndpointsLeaving():
            for name, ledger in state.ledgers.items():
                ledger.leaving = name in event.names
        case CellChanged():
            _set_cell(state, event.cell)
    return []


def _set_cell(state: CellState, cell: Cell) -> None:
    """Take the newer description; endpoints that stay keep what was learned of them."""
    state.cell = cell
    state.models = {model.name: model for model in cell.models}
    for name in state.models:
        state.lengths.setdefault(name, LengthTable())
    wanted = {endpoint.name: endpoint for endpoint in cell.endpoints}
    for name, endpoint in wanted.items():
        if name in state.ledgers:
            state.ledgers[name].endpoint = endpoint
        else:
            state.ledgers[name] = EndpointLedger(endpoint)
    for name, ledger in state.ledgers.items():
        if name not in wanted:
            ledger.leaving = True


def _ask(state: CellState, ask: Ask, now_ms: int) -> list[Command]:
    request_id = ask.key.request_id
    if ask.key.attempt <= state.ended.get(request_id, (0, 0))[0]:
        return []
    state.leases.touch(ask.node, now_ms)
    held = state.held.get(request_id)
    if held is not None and held.key == ask.key:
        grant = Grant(ask.key, held.prefill_endpoint)
        return [Tell(ask.node, grant)] if held.stage == Stage.PREFILL else []
    if held is not None:
        _drop(state, held)
    waiting = state.queue.items.get(request_id)
    if waiting is not None and waiting.ask.key == ask.key:
        return []
    model = state.models.get(ask.model)
    if model is None:
        return [_refuse(state, ask, "no such model here", LEAST_RETRY_AFTER_MS)]
    if state.queue.full():
        return [_refuse(state, ask, "queue full", int(state.hold_ms.value))]
    arrived_ms = now_ms - ask.waited_ms
    item = Waiting(ask, model, arrived_ms, _work_ms(state, ask, now_ms))
    item.first = ask.retry and state.budget.withdraw()
    wait_ms = predict_wait(state, item, now_ms)
    if not ask.retry and wait_ms > item.patience_left_ms(now_ms):
        late_ms = int(wait_ms) - item.patience_left_ms(now_ms)
        return [_refuse(state, ask, "overload", max(LEAST_RETRY_AFTER_MS, late_ms))]
    state.queue.items[request_id] = item
    return []


def predict_wait(state: CellState, item: Waiting, now_ms: int) -> float:
    """Predicted time to the first token of a new attempt, behind those that go before it."""
    ahead = state.queue.ahead_of(item.ask)
    ledgers = state.ledgers.values()
    decoders = _decoders(state, now_ms)
    prefillers = [e for e in ledgers if e.endpoint.role is Role.PREFILL and e.open(now_ms)]
    if not decoders or not prefillers:
        return 0.0
    work_ms = item.work_ms
    free = expected_free(ledgers, state.held.values(), state.lengths, now_ms, now_ms)
    slots = sum(ledger.endpoint.slots for ledger in decoders)
    short = max(0.0, ahead + 1 - free)
    decode_wait_ms = short * state.hold_ms.value / slots
    backlog_ms = min(ledger.backlog_end_ms(now_ms) for ledger in prefillers) - now_ms
    prefill_wait_ms = backlog_ms + ahead * work_ms / len(prefillers)
    return max(decode_wait_ms, prefill_wait_ms) + work_ms


def _work_ms(state: CellState, ask: Ask, now_ms: int) -> float:
    """Predicted prefill and transfer time of an attempt at the quickest open endpoint."""
    best = 0.0
    for ledger in state.ledgers.values():
        if ledger.endpoint.role is Role.PREFILL and ledger.open(now_ms):
            work_ms = ledger.prefill_work_ms(ask.prompt_tokens, ask.prefix_key)
            work_ms += transfer_ms(state.cell.pool, ask.prompt_tokens, ledger, None, now_ms)
            best = min(best, work_ms) if best else work_ms
    return best


def _refuse(state: CellState, ask: Ask, reason: str, retry_after_ms: int) -> Command:
    state.refused += 1
    return Tell(ask.node, Refusal(ask.key, reason, retry_after_ms))


def _grant_waiting(state: CellState, now_ms: int) -> list[Command]:
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
    """A prefill endpoint, when a decode slot is predicted free by the end of the transfer.

    How sure that must be follows the model's weight between goodput and wasted prefill.
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


def _decoders(state: CellState, now_ms: int) -> list[EndpointLedger]:
    """The decode endpoints that may get work."""
    return [
        ledger
        for ledger in state.ledgers.values()
        if ledger.endpoint.role is Role.DECODE and ledger.open(now_ms)
    ]


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
        slot_wanted_ms=choice.ready_ms,
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
    return Tell(ask.node, Grant(ask.key, held.prefill_endpoint))


def _prefilled(state: CellState, event: Prefilled, now_ms: int) -> list[Command]:
    held = state.held.get(event.key.request_id)
    if held is None or held.key != event.key:
        return []
    if event.failure == "connect" and event.refused_by in state.ledgers:
        state.ledgers[event.refused_by].circuit.fail(event.failure, now_ms)
    if held.stage == Stage.DECODE:
        if event.refused_by != held.decode_endpoint:
            return [Tell(event.node, Assign(event.key, held.decode_endpoint, held.limit_ms))]
        state.ledgers[held.decode_endpoint].decodes.pop(event.key.request_id, None)
        held.decode_endpoint = ""
    if held.stage == Stage.PREFILL:
        _learn_prefill(state, held, event)
    held.stage = Stage.READY
    state.ready[event.key.request_id] = held
    if event.refused_by:
        held.avoid = (*held.avoid, event.refused_by)
    held.expires_ms = now_ms + event.expires_in_ms
    return []


def _learn_prefill(state: CellState, held: Held, event: Prefilled) -> None:
    ledger = state.ledgers.get(held.prefill_endpoint)
    if ledger is None:
        return
    ledger.prefills.pop(held.key.request_id, None)
    ledger.prefixes.note(held.prefix_key, event.cached_tokens)
    fresh = held.prompt_tokens - event.cached_tokens
    if event.prefill_ms > 0 and fresh > 0:
        ledger.prefill_rate.add(1000.0 * fresh / event.prefill_ms)


def _assign_ready(state: CellState, now_ms: int) -> list[Command]:
    commands: list[Command] = []
    for held in sorted(state.ready.values(), key=lambda held: held.expires_ms):
        choice = choose_decode(state.cell.pool, state.ledgers, held, now_ms)
        if choice is not None:
            commands.append(_assign(state, held, *choice, now_ms))
        elif now_ms >= held.expires_ms:
            state.withdrawn += 1
            _drop(state, held)
            commands.append(Tell(held.node, AssignRefused(held.key)))
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
    ledger.note_occupancy(now_ms)
    size = float(held.prompt_tokens * state.cell.pool.kv_bytes_per_token)
    ledger.links.append((held.decode_started_ms, size))
    if held.prefill_endpoint in state.ledgers:
        state.ledgers[held.prefill_endpoint].links.append((held.decode_started_ms, size))
    usual_ms = max(transfer, state.transfer_ms.value)
    held.limit_ms = int(LEAST_TRANSFER_LIMIT_MS + TRANSFER_LIMIT_FACTOR * usual_ms)
    return Tell(held.node, Assign(held.key, ledger.endpoint.name, held.limit_ms))


def _release(state: CellState, event: Release, now_ms: int) -> list[Command]:
    request_id = event.key.request_id
    state.ended[request_id] = (event.key.attempt, now_ms)
    waiting = state.queue.items.get(request_id)
    if waiting is not None and waiting.ask.key.attempt <= event.key.attempt:
        del state.queue.items[request_id]
    for name in event.failed:
        if name in state.ledgers:
            state.ledgers[name].circuit.fail(event.failure, now_ms)
    held = state.held.get(request_id)
    if held is None or held.key != event.key:
        return []
    _drop(state, held)
    if event.finished:
        _learn_finish(state, held, event, now_ms)
    return []


def _learn_finish(state: CellState, held: Held, event: Release, now_ms: int) -> None:
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
    state.hold_ms.add(float(event.decode_ms + event.transfer_ms))


def _drop(state: CellState, held: Held) -> None:
    state.held.pop(held.key.request_id, None)
    state.ready.pop(held.key.request_id, None)
    for ledger in state.ledgers.values():
        ledger.prefills.pop(held.key.request_id, None)
        ledger.decodes.pop(held.key.request_id, None)


def _renew(state: CellState, event: LeaseRenewal, now_ms: int) -> list[Command]:
    commands: list[Command] = []
    if state.leases.renew(event.node, event.incarnation, now_ms):
        commands += _reclaim(state, event.node, now_ms)
    lease = state.leases.leases[event.node]
    if event.incarnation != lease.incarnation:
        return commands
    commands.append(Tell(event.node, LeaseAcknowledged(state.owner, state.cell.name)))
    mine = [held for held in state.held.values() if held.node == event.node]
    digest = 0
    for held in mine:
        digest ^= hash_key(held.key)
    if digest == event.digest and len(mine) == event.held:
        lease.mismatches = 0
        return commands
    lease.mismatches += 1
    rebuilding = now_ms < state.grants_from_ms
    if rebuilding or lease.mismatches >= MISMATCHES_TO_ASK:
        commands.append(Tell(event.node, HeldQuery(state.cell.name)))
    return commands


def _adopt(state: CellState, event: HeldList, now_ms: int) -> list[Command]:
    """Make the ledger agree with the entry, which is the truth about its own requests."""
    listed = {item.key.request_id: item for item in event.held}
    for held in [held for held in state.held.values() if held.node == event.node]:
        item = listed.get(held.key.request_id)
        settled = now_ms - held.granted_ms > state.leases.lease_ms
        if item is None and settled:
            _drop(state, held)
    for item in event.held:
        if item.key.request_id not in state.held:
            _adopt_one(state, event.node, item, now_ms)
    return []


def _adopt_one(state: CellState, node: str, item: HeldKey, now_ms: int) -> None:
    if item.key.attempt <= state.ended.get(item.key.request_id, (0, 0))[0]:
        return
    held = Held(item.key, node, "", item.organisation, item.stage, item.endpoint, now_ms)
    held.expires_ms = now_ms + state.cell.pool.kv_kept_ms
    held.slot_wanted_ms = held.prefill_end_ms = float(now_ms)
    state.held[item.key.request_id] = held
    if item.stage == Stage.READY:
        state.ready[item.key.request_id] = held
    ledger = state.ledgers.get(item.endpoint)
    if ledger is None:
        return
    if item.stage == Stage.DECODE:
        held.decode_endpoint = item.endpoint
        held.decode_started_ms = now_ms - item.output_tokens * ledger.pace_ms.value
        ledger.decodes[item.key.request_id] = held
    else:
        ledger.prefills[item.key.request_id] = held


def _reclaim(state: CellState, node: str, now_ms: int) -> list[Command]:
    """Cancel at the engines all that a node held, until each cancel is acknowledged."""
    for request_id, waiting in list(state.queue.items.items()):
        if waiting.ask.node == node:
            del state.queue.items[request_id]
    for held in [held for held in state.held.values() if held.node == node]:
        _drop(state, held)
        state.ended[held.key.request_id] = (held.key.attempt, now_ms)
        for endpoint in {held.prefill_endpoint, held.decode_endpoint} - {""}:
            _cancel(state, endpoint, held.key, now_ms)
    return []


def _cancel(state: CellState, endpoint: str, key: RequestKey, now_ms: int) -> None:
    state.cancels.add(endpoint, key, now_ms)
    if endpoint in state.ledgers:
        state.ledgers[endpoint].unacknowledged.add(key)


def _streams(state: CellState, event: StreamsListed, now_ms: int) -> list[Command]:
    unclaimed: set[RequestKey] = set()
    holders: set[str] = set()
    for key, holder in event.streams:
        held = state.held.get(key.request_id)
        if held is None or held.key != key:
            unclaimed.add(key)
            holders.add(holder)
    commands: list[Command] = [Tell(node, HeldQuery(state.cell.name)) for node in sorted(holders)]
    for key in state.orphans.observe(event.endpoint, unclaimed, now_ms):
        state.ended[key.request_id] = (key.attempt, now_ms)
        _cancel(state, event.endpoint, key, now_ms)
    return commands


def _tick(state: CellState, now_ms: int) -> list[Command]:
    commands: list[Command] = []
    for node in state.leases.take_lapsed(now_ms):
        commands += _reclaim(state, node, now_ms)
    for request_id, waiting in list(state.queue.items.items()):
        if not waiting.ask.retry and waiting.patience_left_ms(now_ms) <= 0:
            del state.queue.items[request_id]
            retry_after_ms = max(LEAST_RETRY_AFTER_MS, int(state.hold_ms.value))
            commands.append(_refuse(state, waiting.ask, "overload", retry_after_ms))
    for endpoint, key in state.cancels.take_due(now_ms):
        commands.append(CancelStream(endpoint, key))
    _forget_old(state, now_ms)
    return commands


def _forget_old(state: CellState, now_ms: int) -> None:
    state.queue.prune(now_ms)
    while state.ended:
        request_id, (_, at_ms) = next(iter(state.ended.items()))
        if now_ms - at_ms < ENDED_KEPT_MS:
            break
        del state.ended[request_id]
