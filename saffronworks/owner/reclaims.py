"""Lease renewal, reclaim of slots from lost nodes, and rebuild of the state of a new owner."""

from saffronworks.messages import (
    HeldKey,
    HeldList,
    HeldQuery,
    LeaseRenewal,
    RequestKey,
)
from saffronworks.owner.cell_events import (
    Command,
    SendMessage,
    StreamsListed,
)
from saffronworks.owner.cell_states import CellState, drop_held
from saffronworks.owner.leases import MISMATCHES_BEFORE_QUERY, hash_key
from saffronworks.owner.ledgers import Held, Stage

__all__ = [
    "adopt_held",
    "reclaim_node",
    "renew_lease",
    "handle_streams",
]


def renew_lease(state: CellState, event: LeaseRenewal, now_ms: int) -> list[Command]:
    """Renews the lease of a node, and requests its held attempts when their digest differs.

    Outside the rebuild of a new owner, one mismatch alone requests nothing: messages under way
    cause brief differences.
    """
    commands: list[Command] = []
    if state.leases.renew(event.node, event.incarnation, now_ms):
        commands += reclaim_node(state, event.node, now_ms)
    lease = state.leases.leases[event.node]
    if event.incarnation != lease.incarnation:
        return commands
    mine = [held for held in state.held.values() if held.node == event.node]
    digest = 0
    for held in mine:
        digest ^= hash_key(held.key)
    if digest == event.digest and len(mine) == event.held:
        lease.mismatches = 0
        return commands
    lease.mismatches += 1
    rebuilding = now_ms < state.grants_from_ms
    if rebuilding or lease.mismatches >= MISMATCHES_BEFORE_QUERY:
        commands.append(SendMessage(event.node, HeldQuery(state.cell.name)))
    return commands


def adopt_held(state: CellState, event: HeldList, now_ms: int) -> list[Command]:
    """Reconciles the held attempts of a node with its list, which is authoritative.

    An attempt that the node does not list is dropped only once its grant is older than the
    lease: the grant may not have reached the node when it wrote the list.
    """
    listed = {item.key.request_id: item for item in event.held}
    for held in [held for held in state.held.values() if held.node == event.node]:
        item = listed.get(held.key.request_id)
        settled = now_ms - held.granted_ms > state.leases.lease_ms
        if item is None and settled:
            drop_held(state, held)
    for item in event.held:
        if item.key.request_id not in state.held:
            _adopt_one(state, event.node, item, now_ms)
    return []


def _adopt_one(state: CellState, node: str, item: HeldKey, now_ms: int) -> None:
    if item.key.attempt <= state.ended.get(item.key.request_id, (0, 0))[0]:
        return
    held = Held(item.key, node, "", item.organisation, item.stage, item.endpoint, now_ms)
    held.expires_ms = now_ms + state.cell.pool.kv_kept_ms
    held.prefill_end_ms = float(now_ms)
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


def reclaim_node(state: CellState, node: str, now_ms: int) -> list[Command]:
    """Drops all attempts of a lost node, and cancels the granted ones at their endpoints.

    Each cancel is repeated until it is acknowledged, and occupies a decode slot until then.
    """
    for request_id, waiting in list(state.queue.items.items()):
        if waiting.ask.node == node:
            del state.queue.items[request_id]
    for held in [held for held in state.held.values() if held.node == node]:
        drop_held(state, held)
        state.ended[held.key.request_id] = (held.key.attempt, now_ms)
        for endpoint in {held.prefill_endpoint, held.decode_endpoint} - {""}:
            _cancel(state, endpoint, held.key, now_ms)
    return []


def _cancel(state: CellState, endpoint: str, key: RequestKey, now_ms: int) -> None:
    state.cancels.add(endpoint, key, now_ms)
    if endpoint in state.ledgers:
        state.ledgers[endpoint].unacknowledged.add(key)


def handle_streams(state: CellState, event: StreamsListed, now_ms: int) -> list[Command]:
    """Compares the live streams of an endpoint with the attempts in the ledger.

    Requests the held attempts of the nodes that unclaimed streams belong to, and cancels streams
    that stay unclaimed past the grace period.
    """
    unclaimed: set[RequestKey] = set()
    holders: set[str] = set()
    for key, holder in event.streams:
        held = state.held.get(key.request_id)
        if held is None or held.key != key:
            unclaimed.add(key)
            holders.add(holder)
    commands: list[Command] = [
        SendMessage(node, HeldQuery(state.cell.name)) for node in sorted(holders)
    ]
    for key in state.orphans.observe(event.endpoint, unclaimed, now_ms):
        state.ended[key.request_id] = (key.attempt, now_ms)
        _cancel(state, event.endpoint, key, now_ms)
    return commands
