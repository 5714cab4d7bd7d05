"""What a soak runs: the store, endpoints and node processes, and how faults strike them."""

import signal
import time
from collections import Counter

import anyio

from saffronworks.forwarding.census import NODE_KIND
from saffronworks.standins.sites import wait_until
from saffronworks.tests.cut_paths import Cut
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_place import CONFIG, ENGINE, make_route
from saffronworks.tests.soak import faults
from saffronworks.tests.soak.endpoints import Endpoint
from saffronworks.tests.soak.faults import Fault
from saffronworks.tests.soak.organisations import WIDE_CALLER, Organisations, holder_of
from saffronworks.tests.soak.outside_writes import WRITE_AGAIN_MS, OutsideWrites
from saffronworks.tests.soak.path_proxies import PathProxy
from saffronworks.tests.soak.processes import GRACE_S, NodeProcess
from saffronworks.tests.soak.proxies import Proxy
from saffronworks.tests.soak.records import (
    ALL_NODES,
    Disturbance,
    Need,
    Partition,
    Records,
    Served,
)
from saffronworks.tests.soak.surges import send_surge

__all__ = ["SoakSite"]

START_LIMIT_S = 20
# A process that was started again is up by then.
START_S = 1.5
LOOK_READY_S = 0.5
# The soak's own process holds callers, proxies and endpoints: when it wakes this much later than it
# should, all of them have stood still.
LOOK_STALLED_S, STALLED_S = 0.05, 0.25
# An endpoint that leaves serves on for longer than it must; a crashed one's entry goes later.
DRAIN_S = 6.0
ENTRY_LAPSES_S = 3.6
# Of the faults in which endpoints fail requests, one in so many strikes a whole service.
WHOLE_SERVICE_EVERY = 3
PLAIN_SERVICES = ("web-a", "web-b")
# After a restore of the store and what is written again then, nodes are in touch.
IN_TOUCH_S = 3.1
# An endpoint that ended under a deadly content is down for so long.
DEADLY_DOWN_S = 1.5


def make_config(version, moved_to, organisations=None, idle_timeout_ms=15_000):
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
    services = [{"name": name, "max_conns": 200} for name in PLAIN_SERVICES]
    engine = ENGINE | {"slots": 8, "kv_capacity_tokens": 40_000, "stride": 40}
    services.append({"name": "llm", "max_conns": 200, "engine": engine})
    whose = {} if organisations is None else {"tenants": organisations.spec()}
    limits = CONFIG["limits"] | {"idle_timeout_ms": idle_timeout_ms}
    parts = {"version": version, "routes": routes, "services": services, "limits": limits}
    return CONFIG | parts | whose


class SoakSite:
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
        self._ready = set()
        self.endpoints = {}
        self.store_proxies = [Proxy(self.store.address) for _ in range(shape.nodes)]
        self.nodes = [
            NodeProcess(number, proxy.address, folder)
            for number, proxy in enumerate(self.store_proxies)
        ]
        self.caller_proxies = [Proxy(node.caller_address) for node in self.nodes]
        self.caller_addresses = [proxy.address for proxy in self.caller_proxies]
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

    def all_ready(self):
        return len(self._ready) == len(self.nodes)

    async def start(self):
        self._tasks.start_soon(self.store.run)
        for proxy in (*self.store_proxies, *self.caller_proxies):
            self._tasks.start_soon(proxy.run)
        self._tasks.start_soon(self._outside.make_copies)
        self._tasks.start_soon(self._outside.write_others)
        self._write_config(1)
        for number in range(self.shape.plains):
            self._add_endpoint(PLAIN_SERVICES[number % 2], None)
        for number in range(self.shape.engines):
            stage = "decode" if number % 3 else "prefill"
            self._add_endpoint("llm", stage, f"v{1 + number // 2 % self.shape.versions}")
        for node in self.nodes:
            node.start()
        self._tasks.start_soon(self._watch_ready)
        self._tasks.start_soon(self._watch_stalls)
        assert await wait_until(self.all_ready, START_LIMIT_S)

    async def _watch_ready(self):
        while True:
            for node in self.nodes:
                (self._ready.add if await node.ready() else self._ready.discard)(node.number)
            await anyio.sleep(LOOK_READY_S)

    async def _watch_stalls(self):
        while True:
            slept_ms = self.now_ms()
            await anyio.sleep(LOOK_STALLED_S)
            woke_ms = self.now_ms()
            if woke_ms - slept_ms >= 1000 * (LOOK_STALLED_S + STALLED_S):
                self.records.stalls_ms.append(woke_ms - slept_ms)
                stall = Disturbance(ALL_NODES, "node", slept_ms, woke_ms)
                self.records.disturbances.append(stall)

    def _add_endpoint(self, service, stage, version="v1"):
        self._endpoint_number += 1
        name = f"{service}-{self._endpoint_number}"
        endpoint = Endpoint(name, service, stage, self.records, self, self.seed, version)
        proxy = Proxy(endpoint.own_address)
        endpoint.address = proxy.address
        self.by_address[proxy.address] = endpoint
        self.endpoints[name] = endpoint
        self._endpoint_proxies[name] = proxy
        self._tasks.start_soon(proxy.run)
        for node in self.nodes:
            path = self._path_proxies[node.number, name] = PathProxy(node.number, proxy.address)
            self._tasks.start_soon(path.run)
        self._tasks.start_soon(endpoint.run)
        self._outside.put("servers", name, endpoint.entry())
        self._record_served(endpoint)

    def _record_served(self, endpoint):
        if endpoint.stage == "decode":
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
        config = make_config(version, service, self.organisations, self._idle_timeout_ms)
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

    def _disturb(self, node, what, for_s):
        now_ms = self.now_ms()
        self.records.disturbances.append(Disturbance(node, what, now_ms, now_ms + for_s * 1000))

    def _was_disturbed(self, node, since_ms):
        """Return whether a node stood still, or was killed, since then."""
        return any(
            trouble.node == node and trouble.what == "node" and trouble.to_ms > since_ms
            for trouble in self.records.disturbances
        )

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
            case _:
                await self._strike_one_endpoint(fault)

    async def _strike_one_endpoint(self, fault):
        match fault:
            case faults.EndpointFault():
                await self._strike_endpoint(fault)
            case faults.EndpointRestart():
                await self._restart_endpoint(fault)
            case faults.EndpointLimit():
                await self._limit_endpoint(fault)
            case faults.EndpointDrain():
                await self._drain_endpoint(fault)
            case faults.EndpointPause():
                await self._pause_endpoint(fault)
            case faults.OddAnswers():
                await self._answer_oddly(fault)
            case faults.SoftwareRelease():
                await self._release(fault)

    async def _strike_node(self, fault):
        node, for_s = self.nodes[fault.target % len(self.nodes)], fault.for_ms / 1000
        if not node.alive:
            return
        match fault.kind:
            case "pause":
                self._disturb(node.number, "node", for_s)
                node.send(signal.SIGSTOP)
                await anyio.sleep(for_s)
                node.send(signal.SIGCONT)
            case "kill":
                self._disturb(node.number, "node", for_s + START_S)
                node.end_now()
                await anyio.sleep(for_s)
                node.start()
            case "stop":
                now_ms = self.now_ms()
                self.records.stops.append((node.number, now_ms, now_ms + GRACE_S * 1000))
                if not await node.stop(GRACE_S):
                    # The grace of a process that stood still begins when it gets the signal.
                    if not self._was_disturbed(node.number, now_ms):
                        self.records.wrong.append(f"node {node.number} outlived its grace period")
                    node.end_now()
                self._disturb(node.number, "stopped", for_s + START_S)
                await anyio.sleep(for_s)
                node.start()

    async def _strike_link(self, fault):
        for_s = fault.for_ms / 1000
        if fault.link == "endpoint":
            names = sorted(self._endpoint_proxies)
            proxy = self._endpoint_proxies[names[fault.target % len(names)]]
            node = ALL_NODES
        else:
            node = fault.target % len(self.nodes)
            proxies = self.caller_proxies if fault.link == "caller" else self.store_proxies
            proxy = proxies[node]
        self._disturb(node, fault.link, for_s)
        if fault.link == "endpoint":
            self._disturb(ALL_NODES, "path", for_s)
        proxy.begin(fault.kind)
        await anyio.sleep(for_s)
        proxy.end()

    async def _partition_nodes(self, fault):
        """Cut the paths of some nodes to all endpoints; overlapping cuts of a node are left out."""
        nodes = {(fault.target + index) % len(self.nodes) for index in range(fault.count)}
        nodes = sorted(nodes - self._partitioned)
        self._partitioned |= set(nodes)
        from_ms = self.now_ms()
        for node in nodes:
            self._disturb(node, "endpoint", fault.for_ms / 1000)
            # Other nodes may relay for it.
            self._disturb(ALL_NODES, "path", fault.for_ms / 1000)
            for proxy in self._paths_of(node):
                await proxy.cut(Cut(fault.kind))
        await anyio.sleep(fault.for_ms / 1000)
        if nodes:
            cut = Partition(frozenset(nodes), from_ms, self.now_ms())
            self.records.partitions.append(cut)
        for node in nodes:
            self._partitioned.discard(node)
            for proxy in self._paths_of(node):
                proxy.heal()

    def _paths_of(self, node):
        return [proxy for (of, _), proxy in self._path_proxies.items() if of == node]

    async def _strike_store(self, fault):
        self._disturb(ALL_NODES, "store", fault.for_ms / 1000)
        if fault.kind == "forget":
            self.store.forget_history()
            return
        self.store.fault = fault.kind
        await anyio.sleep(fault.for_ms / 1000)
        self.store.fault = None

    async def _restore_store(self, fault):
        """Once nodes are in touch again, a version of the configuration follows."""
        self._disturb(ALL_NODES, "store", (fault.for_ms + WRITE_AGAIN_MS) / 1000)
        await self._outside.restore(fault.for_ms, fault.lost_ms)
        await anyio.sleep(IN_TOUCH_S)
        self._write_config(len(self.records.versions) + 1)

    def _choose_endpoint(self, fault, among=None):
        names = sorted(set(among or self.endpoints) - set(self.records.left_ms))
        return self.endpoints[names[fault.target % len(names)]]

    async def _restart_endpoint(self, fault, endpoint=None, version=None):
        """It is gone for a moment; its entry tells the new start, and never went."""
        endpoint, for_s = endpoint or self._choose_endpoint(fault), fault.for_ms / 1000
        self._disturb(ALL_NODES, "endpoint", for_s)
        self._begin_fault(endpoint)
        proxy = self._endpoint_proxies[endpoint.instance]
        proxy.begin("reset")
        endpoint.crash()
        await anyio.sleep(for_s)
        endpoint.restart()
        endpoint.version = version or endpoint.version
        proxy.end()
        if endpoint.instance not in self.records.left_ms:
            self._outside.put("servers", endpoint.instance, endpoint.entry())
        self._end_fault(endpoint)

    async def _release(self, fault):
        """An engine gets another version of its software."""
        engines = {name: e for name, e in self.endpoints.items() if e.stage is not None}
        endpoint = self._choose_endpoint(fault, engines)
        if fault.kind == "replace":
            self._add_endpoint(endpoint.service, endpoint.stage, fault.version)
            self._outside.put("servers", endpoint.instance, endpoint.entry("draining"))
            await self._drain_out(endpoint)
            self._outside.remove("servers", endpoint.instance)
        else:
            await self._restart_endpoint(fault, endpoint, fault.version)

    async def _limit_endpoint(self, fault):
        """It names a limit until its need is over, or it starts again."""
        endpoint, from_ms = self._choose_endpoint(fault), self.now_ms()
        if endpoint.limit is not None:
            return
        self._begin_fault(endpoint)
        start, endpoint.limit = endpoint.starts, f"{fault.per_s:g}"
        until_ms = from_ms + fault.for_ms
        while self.now_ms() < until_ms and endpoint.starts == start:
            await anyio.sleep(LOOK_READY_S)
        endpoint.limit = None if endpoint.starts == start else endpoint.limit
        self._end_fault(endpoint)
        need = Need(endpoint.instance, fault.per_s, from_ms, self.now_ms() - LOOK_READY_S)
        self.records.needs.append(need)

    async def _drain_endpoint(self, fault):
        """It says in its answers that it drains, and some time later the store knows it too."""
        endpoint = self._choose_endpoint(fault)
        start, endpoint.drains = endpoint.starts, True
        self._begin_fault(endpoint)
        await anyio.sleep(fault.for_ms / 1000)
        if endpoint.starts != start:
            self._end_fault(endpoint)
        if endpoint.starts == start and endpoint.instance not in self.records.left_ms:
            self._outside.put("servers", endpoint.instance, endpoint.entry("draining"))
            await self._leave(endpoint)

    async def _pause_endpoint(self, fault):
        """It rejects all, until it is over or starts again."""
        endpoint, until_ms = self._choose_endpoint(fault), self.now_ms() + fault.for_ms
        start, endpoint.pause = endpoint.starts, f"{fault.pause_s:g}"
        self._begin_fault(endpoint)
        while self.now_ms() < until_ms and endpoint.starts == start:
            await anyio.sleep(LOOK_STALLED_S)
        if endpoint.starts == start:
            endpoint.pause = None
        self._end_fault(endpoint)

    async def _answer_oddly(self, fault):
        struck, until_ms = (
            self._greyed(self._choose_endpoint(fault), fault),
            self.now_ms() + fault.for_ms,
        )
        for endpoint in struck:
            endpoint.odd, endpoint.odd_until_ms = fault.kind, until_ms
        if fault.kind != "silence":
            self._disturb(ALL_NODES, "endpoint", fault.for_ms / 1000)
        await self._wait_out(struck, fault)

    def end_under(self, endpoint, ends_ms):
        """The process of an endpoint ends; another start of it comes some time later."""
        ends_ms.append(self.now_ms())
        self._tasks.start_soon(self._end_and_start, endpoint)

    async def _end_and_start(self, endpoint):
        self._disturb(ALL_NODES, "endpoint", DEADLY_DOWN_S)
        self._begin_fault(endpoint)
        proxies = [
            self._endpoint_proxies[endpoint.instance],
            *(proxy for (_, to), proxy in self._path_proxies.items() if to == endpoint.instance),
        ]
        for proxy in proxies:
            proxy.refuse()
        endpoint.crash()
        await anyio.sleep(DEADLY_DOWN_S)
        endpoint.restart()
        for proxy in proxies:
            proxy.listen()
        if endpoint.instance not in self.records.left_ms:
            self._outside.put("servers", endpoint.instance, endpoint.entry())
        self._end_fault(endpoint)

    async def _strike_endpoint(self, fault):
        endpoint = self._choose_endpoint(fault)
        until_ms = self.now_ms() + fault.for_ms
        match fault.kind:
            case "grey":
                struck = self._greyed(endpoint, fault)
                for each in struck:
                    each.grey_until_ms = until_ms
                self._disturb(ALL_NODES, "endpoint", fault.for_ms / 1000)
                await self._wait_out(struck, fault)
            case "full":
                endpoint.full_until_ms = until_ms
                await self._wait_out([endpoint], fault)
            case "crash":
                self._begin_fault(endpoint)
                self._disturb(ALL_NODES, "endpoint", ENTRY_LAPSES_S)
                endpoint.crash()
                self._endpoint_proxies[endpoint.instance].begin("reset")
                await anyio.sleep(ENTRY_LAPSES_S)
                self._replace(endpoint)
            case "drain":
                self._outside.put("servers", endpoint.instance, endpoint.entry("draining"))
                await self._leave(endpoint)
            case "vanish":
                self._outside.remove("servers", endpoint.instance)
                await self._leave(endpoint)

    async def _wait_out(self, endpoints, fault):
        """Return at the end of a fault that ends by itself."""
        for endpoint in endpoints:
            self._begin_fault(endpoint)
        await anyio.sleep(fault.for_ms / 1000)
        for endpoint in endpoints:
            self._end_fault(endpoint)

    def _greyed(self, endpoint, fault):
        """One endpoint, or its whole service: then what one broke, the next one fails too."""
        if fault.target % WHOLE_SERVICE_EVERY:
            return [endpoint]
        return [other for other in self.endpoints.values() if other.service == endpoint.service]

    async def _leave(self, endpoint):
        await self._drain_out(endpoint)
        self._replace(endpoint)

    async def _drain_out(self, endpoint):
        self.records.left_ms[endpoint.instance] = self.now_ms()
        self._begin_fault(endpoint)
        await anyio.sleep(DRAIN_S)

    def _replace(self, endpoint):
        """Its entry goes, and another start of it enters itself."""
        self.records.left_ms.setdefault(endpoint.instance, self.now_ms())
        self._outside.remove("servers", endpoint.instance)
        self._add_endpoint(endpoint.service, endpoint.stage, endpoint.version)

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
