"""Failure detector of the nodes: ring heartbeats, suspicion and refutation, free of I/O.

The platform's list of VMs, which lags, gives the possible members; heartbeats to a few ring
neighbours detect which are alive. Status changes are piggybacked on heartbeats, so a node's
background traffic does not grow with the fleet.
"""

import enum
import functools
import math
import random

import attrs

from saffronworks.hashing import hash64
from saffronworks.owner.predictors import Average
from saffronworks.wire import Age, Independent, Whole

__all__ = [
    "Heartbeat",
    "HeartbeatReply",
    "Listed",
    "MemberChanged",
    "MemberUpdate",
    "Membership",
    "Send",
    "Status",
    "Tick",
    "VmRecord",
    "leave",
    "live_members",
    "step",
]

NEIGHBOURS = 2
GOSSIP_TARGETS = 2
UPDATES_PER_MESSAGE = 12
SYNC_MEMBERS = 400
PROBE_DEAD_EVERY_BEATS = 4
POSITION_CACHE_SIZE = 4096
LATE_REPLY_FACTOR = 4.0
USUAL_REPLY_SHARE = 0.2


class Status(enum.StrEnum):
    """Status of a member in this node's view; a `LEAVING` member serves but gains no ownership."""

    LISTED = "listed"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_RANK = {
    Status.LISTED: 0,
    Status.ALIVE: 1,
    Status.LEAVING: 2,
    Status.SUSPECT: 3,
    Status.DEAD: 4,
    Status.LEFT: 5,
}


@attrs.frozen
class VmRecord:
    """One VM in the platform's list; it runs an entry node or an endpoint."""

    name: str
    address: str
    zone: str
    region: str
    leaving: bool = False
    endpoint: bool = False


@attrs.frozen
class MemberUpdate:
    """Status of one member; a higher incarnation wins, then the higher-ranked status."""

    name: str
    address: str
    zone: str
    region: str
    incarnation: Whole
    status: Status


@attrs.frozen
class Heartbeat:
    """Sent each period to ring neighbours and some others, and to random members with an update.

    `digest` covers the sender's documents.
    """

    sender: MemberUpdate
    updates: Independent[MemberUpdate]
    digest: int = 0
    fresh_age_ms: Age = 0


@attrs.frozen
class HeartbeatReply:
    """The reply to a heartbeat; a node that just joined gets up to `SYNC_MEMBERS` updates."""

    sender: MemberUpdate
    updates: Independent[MemberUpdate]
    digest: int = 0
    fresh_age_ms: Age = 0


@attrs.frozen
class Listed:
    """The platform's list of VMs, which may be out of date."""

    vms: tuple[VmRecord, ...]


@attrs.frozen
class Tick:
    """One heartbeat period has passed."""


@attrs.frozen
class Send:
    """Send a message to an address."""

    address: str
    message: Heartbeat | HeartbeatReply


@attrs.frozen
class MemberChanged:
    """A member's status changed in this node's view."""

    name: str
    status: Status


Event = Listed | Heartbeat | HeartbeatReply | Tick
Command = Send | MemberChanged


@attrs.define
class _Member:
    update: MemberUpdate
    since_ms: int
    heard_ms: int
    asked_ms: int | None = None
    spread_left: int = 0


@attrs.define
class Membership:
    """This node's view of its region. `me` carries its own incarnation and status."""

    me: MemberUpdate
    heartbeat_ms: int
    suspect_after_ms: int
    dead_after_ms: int
    rng: random.Random
    members: dict[str, _Member] = attrs.Factory(dict)
    beats: int = 0
    last_tick_ms: int = 0
    digest: int = 0
    fresh_age_ms: int = 0
    reply_ms: Average = attrs.Factory(lambda: Average(0.0))


def live_members(state: Membership, owners_only: bool = False) -> list[str]:
    """Sorted names of the live members, this node included; `owners_only` omits leaving ones."""
    wanted = {Status.ALIVE, Status.SUSPECT}
    if not owners_only:
        wanted.add(Status.LEAVING)
    names = [m.update.name for m in state.members.values() if m.update.status in wanted]
    if state.me.status in wanted:
        names.append(state.me.name)
    return sorted(names)


def leave(state: Membership, gone: bool, now_ms: int) -> list[Command]:
    """Announce that this node is leaving but still serves, or, if `gone`, that it has left."""
    status = Status.LEFT if gone else Status.LEAVING
    state.me = attrs.evolve(state.me, incarnation=state.me.incarnation + 1, status=status)
    return _send_heartbeats(state, now_ms)


def step(state: Membership, event: Event, now_ms: int) -> list[Command]:
    """Apply one event and return the commands to execute."""
    match event:
        case Listed():
            return _apply_list(state, event, now_ms)
        case Heartbeat():
            return _handle_heartbeat(state, event, now_ms)
        case HeartbeatReply():
            commands = _apply_update(state, event.sender, now_ms)
            _record_reply_time(state, event.sender.name, now_ms)
            _record_contact(state, event.sender.name, now_ms)
            return commands + _apply_updates(state, event.updates, now_ms)
        case Tick():
            return _tick(state, now_ms)


def _apply_list(state: Membership, event: Listed, now_ms: int) -> list[Command]:
    listed = {vm.name: vm for vm in event.vms if vm.region == state.me.region and not vm.endpoint}
    for name, vm in listed.items():
        if name != state.me.name and name not in state.members:
            update = MemberUpdate(name, vm.address, vm.zone, vm.region, 0, Status.LISTED)
            state.members[name] = _Member(update, now_ms, now_ms)
    for name, member in list(state.members.items()):
        over = member.update.status in (Status.DEAD, Status.LEFT, Status.LISTED)
        if name not in listed and over:
            del state.members[name]
    return []


def _handle_heartbeat(state: Membership, event: Heartbeat, now_ms: int) -> list[Command]:
    known = state.members.get(event.sender.name)
    joining = known is None or known.update.incarnation < event.sender.incarnation
    commands = _apply_update(state, event.sender, now_ms)
    _record_contact(state, event.sender.name, now_ms)
    commands += _apply_updates(state, event.updates, now_ms)
    updates = _all_updates(state) if joining else _pick_updates(state)
    told = state.members.get(event.sender.name)
    if told is not None and told.update.status not in (Status.ALIVE, Status.LEAVING):
        updates = (told.update, *updates)
    reply = HeartbeatReply(state.me, updates, state.digest, state.fresh_age_ms)
    return [*commands, Send(event.sender.address, reply)]


def _apply_updates(
    state: Membership, updates: tuple[MemberUpdate, ...], now_ms: int
) -> list[Command]:
    commands: list[Command] = []
    for update in updates:
        commands += _apply_update(state, update, now_ms)
    return commands


def _apply_update(state: Membership, update: MemberUpdate, now_ms: int) -> list[Command]:
    if update.name == state.me.name:
        _refute(state, update)
        return []
    if update.region != state.me.region:
        return []
    known = state.members.get(update.name)
    if known is not None and not _supersedes(update, known.update):
        return []
    was = known.update.status if known else None
    member = _Member(update, now_ms, now_ms, spread_left=_gossip_count(state))
    if known is not None and update.status in (Status.SUSPECT, Status.DEAD):
        member.heard_ms = known.heard_ms
    state.members[update.name] = member
    if update.status is was:
        return []
    return [MemberChanged(update.name, update.status), *_gossip_update(state, update)]


def _gossip_update(state: Membership, update: MemberUpdate) -> list[Command]:
    """Send an update to a few random members, as heartbeats alone would spread it slowly.

    Ring heartbeats pass an update on by one hop per period.
    """
    others = [
        member.update.address
        for member in state.members.values()
        if member.update.status in (Status.ALIVE, Status.LEAVING)
        and member.update.name != update.name
    ]
    targets = state.rng.sample(others, min(GOSSIP_TARGETS, len(others)))
    beat = Heartbeat(state.me, (update,), state.digest, state.fresh_age_ms)
    return [Send(address, beat) for address in targets]


def _refute(state: Membership, update: MemberUpdate) -> None:
    if state.me.status is Status.LEFT or update.incarnation < state.me.incarnation:
        return
    wrong = update.status in (Status.SUSPECT, Status.DEAD, Status.LEFT)
    if wrong or update.incarnation > state.me.incarnation:
        state.me = attrs.evolve(state.me, incarnation=update.incarnation + 1)


def _supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _RANK[update.status] > _RANK[known.status]


def _gossip_count(state: Membership) -> int:
    return 2 + math.ceil(math.log2(len(state.members) + 2))


def _record_contact(state: Membership, name: str, now_ms: int) -> None:
    member = state.members.get(name)
    if member is not None:
        member.heard_ms = now_ms
        member.asked_ms = None


def _record_reply_time(state: Membership, name: str, now_ms: int) -> None:
    member = state.members.get(name)
    if member is not None and member.asked_ms is not None:
        state.reply_ms.add(float(now_ms - member.asked_ms))


def _extended_timeout_ms(state: Membership, usual_ms: int) -> float:
    """Return the timeout, extended up to twofold while replies are late on average.

    Late replies from all members indicate that this node itself is slow. An average reply
    time within `USUAL_REPLY_SHARE` of the heartbeat period does not extend the timeout.
    """
    late_ms = max(0.0, state.reply_ms.value - USUAL_REPLY_SHARE * state.heartbeat_ms)
    return usual_ms + min(float(usual_ms), LATE_REPLY_FACTOR * late_ms)


def _tick(state: Membership, now_ms: int) -> list[Command]:
    paused = state.last_tick_ms and now_ms - state.last_tick_ms > state.suspect_after_ms
    state.last_tick_ms = now_ms
    commands: list[Command] = []
    if paused:
        # This node was suspended, so missing replies say nothing about the other members.
        for member in state.members.values():
            member.asked_ms = None
            member.since_ms = now_ms
    for member in list(state.members.values()):
        commands += _check_timeouts(state, member, now_ms)
    return commands + _send_heartbeats(state, now_ms)


def _check_timeouts(state: Membership, member: _Member, now_ms: int) -> list[Command]:
    update = member.update
    if update.status in (Status.ALIVE, Status.LEAVING):
        unanswered = member.asked_ms is not None
        wait_ms = _extended_timeout_ms(state, state.suspect_after_ms)
        if unanswered and now_ms - (member.asked_ms or 0) >= wait_ms:
            return _apply_update(state, attrs.evolve(update, status=Status.SUSPECT), now_ms)
    if update.status is Status.SUSPECT:
        wait_ms = _extended_timeout_ms(state, state.dead_after_ms - state.suspect_after_ms)
        if now_ms - member.since_ms >= wait_ms:
            return _apply_update(state, attrs.evolve(update, status=Status.DEAD), now_ms)
    return []


def _send_heartbeats(state: Membership, now_ms: int) -> list[Command]:
    state.beats += 1
    updates = _pick_updates(state)
    beat = Heartbeat(state.me, updates, state.digest, state.fresh_age_ms)
    commands: list[Command] = []
    for member in _heartbeat_targets(state):
        if member.asked_ms is None:
            member.asked_ms = now_ms
        commands.append(Send(member.update.address, beat))
    return commands


def _heartbeat_targets(state: Membership) -> list[_Member]:
    here = _ring_position(state.me.name)
    ring = [m for m in state.members.values() if m.update.status not in (Status.DEAD, Status.LEFT)]
    ring.sort(key=lambda m: (_ring_position(m.update.name) - here) % 2**64)
    targets = ring[:NEIGHBOURS]
    if len(ring) > NEIGHBOURS:
        targets.append(state.rng.choice(ring[NEIGHBOURS:]))
    suspects = [m for m in ring[NEIGHBOURS:] if m.update.status is Status.SUSPECT]
    targets += suspects[:1]
    silent = [m for m in state.members.values() if m.update.status in (Status.DEAD, Status.LISTED)]
    if silent and state.beats % PROBE_DEAD_EVERY_BEATS == 0:
        targets.append(state.rng.choice(silent))
    return targets


@functools.lru_cache(maxsize=POSITION_CACHE_SIZE)
def _ring_position(name: str) -> int:
    """A member's position on the ring; cached, since each heartbeat sorts all members by it."""
    return hash64(name)


def _pick_updates(state: Membership) -> tuple[MemberUpdate, ...]:
    fresh = [m for m in state.members.values() if m.spread_left > 0]
    fresh.sort(key=lambda m: -m.spread_left)
    picked = fresh[:UPDATES_PER_MESSAGE]
    for member in picked:
        member.spread_left -= 1
    return tuple(member.update for member in picked)


def _all_updates(state: Membership) -> tuple[MemberUpdate, ...]:
    known = [m.update for m in state.members.values() if m.update.status is not Status.LISTED]
    return tuple(known[:SYNC_MEMBERS])
