"""Figures of many nodes: the real membership and document cores on virtual time."""

import random
from collections.abc import Callable

import attrs

from saffronworks import documents, membership
from saffronworks.bundles import Endpoint, Model, Pool, Role
from saffronworks.documents import Document, DocumentStore, Fetched, InForce, PeerDigest, SendTo
from saffronworks.membership import (
    Listed,
    MemberChanged,
    Membership,
    MemberUpdate,
    Send,
    Status,
    VmRecord,
)
from saffronworks.messages import Ask, Grant, RequestKey
from saffronworks.nodes import NODE_CODEC
from saffronworks.owner import cell_events, cells
from saffronworks.ownership import Cell, choose_owner
from tools.fake_engines import Clock

__all__ = ["Fleet", "measure_fleet", "print_fleet"]

SIZES = (3, 8, 30, 100)
HEARTBEAT_MS = 500
SUSPECT_MS = 1500
DEAD_MS = 3000
LATENCY_MS = (0.5, 3.0)
STORE_SLOW_MS = 800.0
STORE_MS = 5.0
REBUILD_MS = HEARTBEAT_MS + 100
ASK_AGAIN_MS = 400
TICK_MS = 20
LEASE_MS = 3000


@attrs.define
class FleetNode:
    """One node's cores and what it sent."""

    name: str
    member: Membership
    store: DocumentStore
    alive: bool = True
    in_force_ms: float = -1.0
    sent_bytes: int = 0
    sent_messages: int = 0
    knows_dead_ms: float = -1.0


class Fleet:
    """Nodes of one region that exchange real encoded messages with seeded latencies."""

    def __init__(self, size: int, seed: int = 1):
        self.clock = Clock()
        self.rng = random.Random(f"fleet/{size}/{seed}")
        self.cut: set[str] = set()
        self.late_ms: dict[str, tuple[float, float]] = {}
        self.held_dead = 0
        self.watched = ""
        vms = tuple(
            VmRecord(f"n{index}", f"10.0.0.{index}:1", f"z{index % 3}", "r")
            for index in range(size)
        )
        self.nodes = {vm.name: self._make_node(vm) for vm in vms}
        self.by_address = {vm.address: vm.name for vm in vms}
        for node in self.nodes.values():
            membership.step(node.member, Listed(vms), 0)
            self.clock.after(self.rng.uniform(0, HEARTBEAT_MS), self._ticker(node))

    def _make_node(self, vm: VmRecord) -> FleetNode:
        me = MemberUpdate(vm.name, vm.address, vm.zone, vm.region, 1, Status.ALIVE)
        member = Membership(
            me, HEARTBEAT_MS, SUSPECT_MS, DEAD_MS, random.Random(f"{vm.name}/{self.rng.random()}")
        )
        return FleetNode(vm.name, member, DocumentStore(vm.name))

    def _ticker(self, node: FleetNode) -> Callable[[], None]:
        def tick() -> None:
            if node.alive:
                self._member_step(node, membership.Tick())
            self.clock.after(HEARTBEAT_MS, tick)

        return tick

    def _member_step(self, node: FleetNode, event: membership.Event) -> None:
        node.member.digest = documents.overall_digest(node.store)
        for command in membership.step(node.member, event, int(self.clock.now_ms)):
            match command:
                case Send():
                    self._send(node, self.by_address[command.address], command.message)
                case MemberChanged() if command.status is Status.DEAD:
                    self.held_dead += 1
                    if command.name == self.watched and node.knows_dead_ms < 0:
                        node.knows_dead_ms = self.clock.now_ms

    def _document_step(self, node: FleetNode, event: documents.Event) -> None:
        members = membership.live_members(node.member)
        for command in documents.step(node.store, event, members):
            match command:
                case SendTo():
                    self._send(node, command.member, command.message)
                case InForce():
                    node.in_force_ms = self.clock.now_ms

    def _send(self, source: FleetNode, target: str, message: object) -> None:
        data = NODE_CODEC.encode(message)
        source.sent_bytes += len(data)
        source.sent_messages += 1
        if (source.name in self.cut) != (target in self.cut):
            return
        delay_ms = self.rng.uniform(*LATENCY_MS)
        if target in self.late_ms:
            # A node that is starved of processor time takes its messages late.
            delay_ms += self.rng.uniform(*self.late_ms[target])
        self.clock.after(delay_ms, lambda: self._receive(self.nodes[target], message))

    def _receive(self, node: FleetNode, message: object) -> None:
        if not node.alive:
            return
        if isinstance(message, membership.Heartbeat | membership.HeartbeatReply):
            self._member_step(node, message)
            self._document_step(node, PeerDigest(message.sender.name, message.digest))
        else:
            self._document_step(node, message)  # type: ignore[arg-type]

    def run(self, for_ms: float) -> None:
        """Let virtual time pass."""
        self.clock.run(self.clock.now_ms + for_ms)

    def kill(self, name: str) -> None:
        """A node dies without a word."""
        self.nodes[name].alive = False
        self.watched = name

    def accept(self, version: int, read_ms: float, watchers: int = 2) -> float:
        """The store accepts a bundle; the watchers read it after `read_ms`. Returns when."""
        document = Document("bundles/b", version, "x" * 2000)
        alive = [node for node in self.nodes.values() if node.alive]
        for node in self.nodes.values():
            node.in_force_ms = -1.0
        for node in alive[:watchers]:
            self.clock.after(read_ms, self._reader(node, document))
        return self.clock.now_ms

    def _reader(self, node: FleetNode, document: Document) -> Callable[[], None]:
        return lambda: self._document_step(node, Fetched((document,)))

    def last_in_force_ms(self) -> float:
        """When the last live node had the bundle in force; -1 if any has not."""
        times = [node.in_force_ms for node in self.nodes.values() if node.alive]
        return -1.0 if min(times) < 0 else max(times)


@attrs.frozen
class FleetFigures:
    """Times in milliseconds; idle cost per node and second."""

    size: int
    dead_known_ms: float
    owner_back_ms: float
    calm_ms: float
    slow_ms: float
    outage_ms: float
    cut_ms: float
    idle_bytes: float
    idle_messages: float


def _time_new_owner(fleet: Fleet, killed_ms: float) -> float:
    """From the death of a cell's owner until the real core of the next one grants a waiting ask."""
    names = [name for name, node in fleet.nodes.items() if node.alive]
    everyone = [*names, fleet.watched]
    keys = (f"b/p/{index}" for index in range(100 * len(everyone)))
    key = next(key for key in keys if choose_owner(everyone, key) == fleet.watched)
    took_ms = int(fleet.nodes[str(choose_owner(names, key))].knows_dead_ms)
    endpoints = (
        Endpoint("p", "10.0.0.1:1", "z", Role.PREFILL),
        Endpoint("d", "10.0.0.1:2", "z", Role.DECODE),
    )
    cell = Cell(key, Pool("p", endpoints), endpoints, (Model("m", "p"),))
    state = cells.new_cell(cell, "new", LEASE_MS, REBUILD_MS, took_ms)
    ask = Ask(RequestKey("r", 1), "n", key, "m", "o", 100, "x", 10, 1, 0)
    for now_ms in range(took_ms, took_ms + 10 * REBUILD_MS, TICK_MS):
        asked = (now_ms - took_ms) % ASK_AGAIN_MS == 0
        for command in cells.step(state, ask if asked else cell_events.Tick(), now_ms):
            if isinstance(command, cell_events.SendMessage) and isinstance(command.message, Grant):
                return now_ms - killed_ms
    return -1.0


def _time_rollout(fleet: Fleet, version: int, read_ms: float, watchers: int = 2) -> float:
    began_ms = fleet.accept(version, read_ms, watchers)
    fleet.run(20_000)
    last_ms = fleet.last_in_force_ms()
    return last_ms - began_ms if last_ms >= 0 else -1.0


def _time_cut(fleet: Fleet, version: int) -> float:
    """One zone is cut off while a bundle is accepted; time from its return to in force."""
    fleet.cut = {name for name in fleet.nodes if fleet.nodes[name].member.me.zone == "z2"}
    fleet.run(10_000)
    fleet.accept(version, STORE_MS)
    fleet.run(10_000)
    fleet.cut = set()
    back_ms = fleet.clock.now_ms
    fleet.run(30_000)
    last_ms = fleet.last_in_force_ms()
    return last_ms - back_ms if last_ms >= 0 else -1.0


def measure_fleet(size: int, seed: int = 1) -> FleetFigures:
    """All figures of one size."""
    fleet = Fleet(size, seed)
    fleet.run(10_000)
    calm_ms = _time_rollout(fleet, 1, STORE_MS)
    slow_ms = _time_rollout(fleet, 2, STORE_SLOW_MS)
    outage_ms = _time_rollout(fleet, 3, STORE_MS, watchers=1)
    before = sum(node.sent_bytes for node in fleet.nodes.values())
    messages = sum(node.sent_messages for node in fleet.nodes.values())
    fleet.run(20_000)
    idle_bytes = sum(node.sent_bytes for node in fleet.nodes.values()) - before
    idle_messages = sum(node.sent_messages for node in fleet.nodes.values()) - messages
    cut_ms = _time_cut(fleet, 4)
    killed_ms = fleet.clock.now_ms
    fleet.kill("n1")
    fleet.run(15_000)
    known = [node.knows_dead_ms for node in fleet.nodes.values() if node.alive]
    return FleetFigures(
        size,
        max(known) - killed_ms if min(known) >= 0 else -1.0,
        _time_new_owner(fleet, killed_ms) if min(known) >= 0 else -1.0,
        calm_ms,
        slow_ms,
        outage_ms,
        cut_ms,
        idle_bytes / size / 20,
        idle_messages / size / 20,
    )


def print_fleet() -> None:
    """Print the table over sizes. Cores on virtual time, real encoded messages."""
    print("Many nodes (cores on virtual time, real codec); ms, and idle cost per node and second.")
    print(
        f"{'nodes':>5} {'death known':>11} {'new owner':>9} {'in force':>8} {'slow store':>10} "
        f"{'one reader':>10} {'zone back':>9} {'bytes/s':>8} {'msgs/s':>7}"
    )
    for size in SIZES:
        row = measure_fleet(size)
        print(
            f"{row.size:>5} {row.dead_known_ms:>11.0f} {row.owner_back_ms:>9.0f} "
            f"{row.calm_ms:>8.0f} {row.slow_ms:>10.0f} "
            f"{row.outage_ms:>10.0f} {row.cut_ms:>9.0f} {row.idle_bytes:>8.0f} "
            f"{row.idle_messages:>7.1f}"
        )
