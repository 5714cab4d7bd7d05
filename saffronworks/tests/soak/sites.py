"""What a soak runs: the store, endpoints and node processes, and how faults strike them."""

import functools
import time
from collections import Counter

import anyio

from saffronworks.forwarding.census import NODE_KIND
from saffronworks.standins.addresses import free_address
from saffronworks.standins.sites import wait_until
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_place import CONFIG, ENGINE, make_route
from saffronworks.tests.soak import faults
from saffronworks.tests.soak.answer_lengths import LONG_KINDS, LONG_SERVICE, PAGE_KINDS
from saffronworks.tests.soak.endpoint_strikes import LOOK_READY_S, EndpointStrikes
from saffronworks.tests.soak.endpoints import Endpoint
from saffronworks.tests.soak.faults import Fault
from saffronworks.tests.soak.lags import LOOK_S, STALLED_S, watch_lags
from saffronworks.tests.soak.node_strikes import NodeStrikes
from saffronworks.tests.soak.organisations import WIDE_CALLER, Organisations, holder_of
from saffronworks.tests.soak.outside_writes import OutsideWrites
from saffronworks.tests.soak.path_proxies import PathProxy
from saffronworks.tests.soak.planned_strikes import PlannedStrikes
from saffronworks.tests.soak.processes import NodeProcess
from saffronworks.tests.soak.proxies import Proxy
from saffronworks.tests.soak.proxy_processes import ProxyProcess
from saffronworks.tests.soak.records import (
    ALL_NODES,
    Disturbance,
    Lag,
    Records,
    Served,
    Starved,
)
from saffronworks.tests.soak.surges import send_surge

__all__ = ["SoakSite"]

# Time until all nodes are ready: for a few of them, and more for each one.
START_LIMIT_S, START_LIMIT_PER_NODE_S = 20, 1.5
# The settings of a node name this limit.
MEMORY_LIMIT_KB = 150 * 1024
# One prefill and two decode endpoints of different pace.
LONG_STAGES = ("prefill", "decode", "decode")
TIMEOUTS_MS = {"plain": 3000, "long": 14_000}
# A node that waited so long for a processor between two looks is recorded.
STARVED_MS = 200.0
# Nodes whose links one process of proxies carries.
NODES_PER_PROXY_PROCESS = 8
PLAIN_SERVICES = ("web-a", "web-b")


def make_config(version, moved_to, organisations=None, idle_timeout_ms=15_000, timeouts_ms=None):
    """The operator's configuration; `moved_to` is the service of the route that moves."""
    routes = [
        make_route("once", "/once/", "non_idempotent", "web-a", max_attempts=1),
        make_route("again", "/again/", "idempotent", "web-a"),
        make_route("moved", "/moved/", "non_idempotent", moved_to, max_attempts=1),
        make_route("gen", "/gen/", "streaming", "llm", sticky=True, timeout_ms=6000),
        make_route(
            "res", "/res/", "streaming", "llm", sticky=True, resumable=True, timeout_ms=6000
        ),
    ]
    if timeouts_ms is not None:
        for route in routes[:3]:
            route["timeout_ms"] = timeouts_ms["plain"]
        routes += [
            make_route(
                kind,
                f"/{kind}/",
                "streaming",
                LONG_SERVICE,
                sticky=True,
                resumable=kind != LONG_KINDS[0],
                timeout_ms=timeouts_ms["long"],
                max_attempts=1 if kind == LONG_KINDS[0] else 2,
            )
            for kind in LONG_KINDS
        ]
        kinds = zip(PAGE_KINDS, ("idempotent", "non_idempotent"), (2, 1), strict=True)
        routes += [
            make_route(
                name,
                f"/{name}/",
                kind,
                "web-a",
                timeout_ms=timeouts_ms["long"],
                max_attempts=attempts,
            )
            for name, kind, attempts in kinds
        ]
    services = [{"name": name, "max_conns": 200} for name in PLAIN_SERVICES]
    engine = ENGINE | {"slots": 8, "kv_capacity_tokens": 40_000, "stride": 40}
    services.append({"name": "llm", "max_conns": 200, "engine": engine})
    if timeouts_ms is not None:
        services.append({"name": LONG_SERVICE, "max_conns": 200, "engine": engine})
    whose = {} if organisations is None else {"tenants": organisations.spec()}
    limits = CONFIG["limits"] | {"idle_timeout_ms": idle_timeout_ms}
    parts = {"version": version, "routes": routes, "services": services, "limits": limits}
    return CONFIG | parts | whose


class SoakSite(EndpointStrikes, NodeStrikes, PlannedStrikes):
    """The store, the endpoints and the node processes, with a proxy on each way."""

    def __init__(self, seed, shape, folder, tasks):
        self.seed, self.shape = seed, shape
        self.records = Records()
        self.store = FakeStore()
        self.by_address = {}
        self._began_s = time.monotonic()
        self._tasks = tasks
        self._outside = OutsideWrites(self.store, seed, self.now_ms)
        self._endpoint_number = 0
        self._moves = 0
        self._idle_timeout_ms = 15_000
        self._timeouts_ms = dict(TIMEOUTS_MS) if shape.long_callers else None
        self._ready = set()
        self._too_large = set()
        # By node: its process, the last look at it, and how long it had waited for a processor.
        self._waited = {}
        self.endpoints = {}
        per_process = NODES_PER_PROXY_PROCESS
        self._proxy_processes = [
            ProxyProcess(functools.partial(self._note_lag, range(first, first + per_process)))
            for first in range(0, shape.nodes, per_process)
        ]
        note_lag = functools.partial(self._note_lag, range(shape.nodes))
        self._endpoint_process = ProxyProcess(note_lag)
        self.nodes, self.store_proxies = [], []
        self.caller_addresses, self.caller_proxies = [], []
        for number in range(shape.nodes):
            process, store_address = self._proxy_process(number), free_address()
            self.store_proxies.append(process.add(Proxy, self.store.address, store_address))
            node = NodeProcess(number, store_address, folder)
            self.nodes.append(node)
            self.caller_addresses.append(free_address())
            proxy = process.add(Proxy, node.caller_address, self.caller_addresses[number])
            self.caller_proxies.append(proxy)
        self._endpoint_proxies = {}
        # By node and endpoint.
        self._path_proxies = {}
        self._partitioned = set()
        # Faults of each endpoint that have not ended.
        self._faults_at = Counter()
        self.organisations = Organisations(seed) if shape.organisations else None

    def now_ms(self):
        return (time.monotonic() - self._began_s) * 1000

    def ready_nodes(self):
        return sorted(self._ready)

    def running_nodes(self):
        """Return the nodes that have a process, also while it drains."""
        return [node.number for node in self.nodes if node.alive]

    def _proxy_process(self, node):
        """Return the process that has the proxies of a node."""
        return self._proxy_processes[node // NODES_PER_PROXY_PROCESS]

    def start_soon(self, task, *arguments):
        self._tasks.start_soon(task, *arguments)

    def all_ready(self):
        return len(self._ready) == len(self.nodes)

    async def start(self):
        self._tasks.start_soon(self.store.run)
        for process in (*self._proxy_processes, self._endpoint_process):
            process.start()
        self._tasks.start_soon(self._outside.make_copies)
        self._tasks.start_soon(self._outside.write_others)
        self._write_config(1)
        for number in range(self.shape.plains):
            await self._add_endpoint(PLAIN_SERVICES[number % 2], None)
        for number in range(self.shape.engines):
            stage = "decode" if number % 3 else "prefill"
            await self._add_endpoint("llm", stage, f"v{1 + number // 2 % self.shape.versions}")
        for stage in LONG_STAGES if self.shape.long_callers else ():
            await self._add_endpoint(LONG_SERVICE, stage)
        for node in self.nodes:
            node.start()
        self._tasks.start_soon(self._watch_ready)
        self._tasks.start_soon(
            watch_lags, functools.partial(self._note_lag, range(len(self.nodes)))
        )
        assert await wait_until(
            self.all_ready, START_LIMIT_S + START_LIMIT_PER_NODE_S * len(self.nodes)
        )

    async def _watch_ready(self):
        while True:
            for node in self.nodes:
                (self._ready.add if await node.ready() else self._ready.discard)(node.number)
                self._check_memory(node)
                self._note_starved(node)
            await anyio.sleep(LOOK_READY_S)

    def _note_starved(self, node):
        """Record that a node waited long for a processor since the last look at it."""
        now_ms, waited_ms = self.now_ms(), node.waited_ms()
        process, from_ms, before_ms = self._waited.get(node.number, (None, 0.0, 0.0))
        self._waited[node.number] = (node.process, now_ms, waited_ms)
        if process is node.process and waited_ms - before_ms >= STARVED_MS:
            starved = Starved(node.number, from_ms, now_ms, waited_ms - before_ms)
            self.records.starved.append(starved)

    def _check_memory(self, node):
        """Record the first time that a node's process exceeds what the platform allows it."""
        size_kb = node.memory_kb()
        if size_kb > MEMORY_LIMIT_KB and node.number not in self._too_large:
            self._too_large.add(node.number)
            self.records.wrong.append(f"node {node.number} takes {size_kb} KB of memory")

    def _note_lag(self, nodes, due_s, woke_s):
        """Record that callers, proxies or endpoints of these nodes were late or stood still."""
        due_ms, woke_ms = ((at_s - self._began_s) * 1000 for at_s in (due_s, woke_s))
        self.records.lags.append(Lag(nodes, due_ms, woke_ms))
        if woke_s - due_s >= STALLED_S:
            slept_ms = due_ms - 1000 * LOOK_S
            self.records.stalls_ms.append(woke_ms - slept_ms)
            self.records.disturbances.append(Disturbance(ALL_NODES, "node", slept_ms, woke_ms))

    async def _add_endpoint(self, service, stage, version="v1"):
        self._endpoint_number += 1
        name = f"{service}-{self._endpoint_number}"
        endpoint = Endpoint(name, service, stage, self.records, self, self.seed, version)
        endpoint.address = free_address()
        self.by_address[endpoint.address] = endpoint
        self.endpoints[name] = endpoint
        proxy = self._endpoint_process.add(Proxy, endpoint.own_address, endpoint.address)
        self._endpoint_proxies[name] = proxy
        for node in self.nodes:
            process = self._proxy_process(node.number)
            path = process.add(PathProxy, node.number, endpoint.address)
            self._path_proxies[node.number, name] = path
        self._tasks.start_soon(endpoint.run)
        for process in (*self._proxy_processes, self._endpoint_process):
            await process.sync()
        self._outside.put("servers", name, endpoint.entry())
        self._record_served(endpoint)

    def _record_served(self, endpoint):
        if endpoint.stage == "decode" and endpoint.service != LONG_SERVICE:
            served = Served(endpoint.instance, endpoint.version, self.now_ms())
            self.records.served.append(served)

    def _begin_fault(self, endpoint):
        """Record that an endpoint does not serve as usual; faults of one endpoint may overlap."""
        self._faults_at[endpoint.instance] += 1
        for served in self.records.served:
            if served.endpoint == endpoint.instance:
                served.to_ms = min(served.to_ms, self.now_ms())

    def _end_fault(self, endpoint):
        self._faults_at[endpoint.instance] -= 1
        if not self._faults_at[endpoint.instance]:
            self._record_served(endpoint)

    def _write_config(self, version, moved=True):
        """The next version, with what organisations are now; `moved` sends a route elsewhere."""
        self._moves += moved
        service = PLAIN_SERVICES[self._moves % 2]
        config = make_config(
            version, service, self.organisations, self._idle_timeout_ms, self._timeouts_ms
        )
        self._outside.put("config", "main", config)
        self.records.versions.append((self.now_ms(), service))

    def _change_idle_timeout(self, idle_timeout_ms):
        self._idle_timeout_ms = idle_timeout_ms
        self.records.idle_timeouts.append((self.now_ms(), idle_timeout_ms))
        self._write_config(len(self.records.versions) + 1, moved=False)

    def _change_organisations(self):
        self.organisations.change()
        self._write_config(len(self.records.versions) + 1, moved=False)
        taken_away = frozenset(self.organisations.taken_away)
        self.records.taken_away.append((self.now_ms(), taken_away))

    def _change_timeouts(self, timeouts_ms):
        if self._timeouts_ms is None:
            return
        self._timeouts_ms = dict(timeouts_ms)
        for kind, timeout_ms in timeouts_ms.items():
            lowest = self.records.least_timeout_ms
            lowest[kind] = min(timeout_ms, lowest.get(kind, timeout_ms))
        self._write_config(len(self.records.versions) + 1, moved=False)

    async def strike(self, fault: Fault):
        """Play one fault to its end."""
        match fault:
            case faults.NodeFault():
                await self._strike_node(fault)
            case faults.LinkFault():
                await self._strike_link(fault)
            case faults.StoreFault():
                await self._strike_store(fault)
            case faults.StoreRestore():
                await self._restore_store(fault)
            case faults.EndpointPartition():
                await self._partition_nodes(fault)
            case faults.Surge():
                whose = holder_of(WIDE_CALLER) if self.organisations else None
                await send_surge(self, fault.target % len(self.nodes), fault.for_ms, whose)
            case faults.OrganisationChange():
                self._change_organisations()
            case faults.IdleTimeoutChange():
                self._change_idle_timeout(fault.idle_timeout_ms)
            case faults.ConfigChange():
                self._write_config(len(self.records.versions) + 1)
            case _ if not await self._strike_planned(fault):
                await self._strike_one_endpoint(fault)

    def end_processes(self):
        """End the processes of nodes and proxies."""
        for node in self.nodes:
            node.end_now()
        for process in (*self._proxy_processes, self._endpoint_process):
            process.end()

    def uncounted_nodes(self):
        """Nodes without an entry in the census, in words."""
        return [
            f"node {node.number} has no entry"
            for node in self.nodes
            if (NODE_KIND, f"node-{node.number}") not in self.store.objects
        ]

    def memory_in_use(self):
        """What engines still hold, in words."""
        return [
            f"{endpoint.instance} holds {endpoint.used_tokens()} tokens"
            for endpoint in self.endpoints.values()
            if endpoint.used_tokens()
        ]
