"""How faults strike the nodes of a soak, their links and the store."""

import signal

import anyio

from saffronworks.tests.cut_paths import Cut
from saffronworks.tests.soak.outside_writes import WRITE_AGAIN_MS
from saffronworks.tests.soak.processes import GRACE_S
from saffronworks.tests.soak.records import ALL_NODES, Disturbance, Partition

__all__ = ["NodeStrikes"]

# A process that was started again is up by then.
START_S = 1.5
# After a restore of the store and what is written again then, nodes are in touch.
IN_TOUCH_S = 3.1


class NodeStrikes:
    """The part of a site that plays the faults of nodes, links and the store."""

    def _disturb(self, node, what, for_s, endpoint=""):
        now_ms = self.now_ms()
        trouble = Disturbance(node, what, now_ms, now_ms + for_s * 1000, endpoint)
        self.records.disturbances.append(trouble)
        return trouble

    def _was_disturbed(self, node, since_ms):
        """Return whether a node stood still, or was killed, since then."""
        return any(
            trouble.node == node and trouble.what == "node" and trouble.to_ms > since_ms
            for trouble in self.records.disturbances
        )

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
                stop = self._note_termination(node)
                ended = await node.stop(GRACE_S)
                stop.ended_ms = min(stop.ended_ms, self.now_ms())
                if not ended:
                    # The grace of a process that stood still begins when it gets the signal.
                    stop.outlived = not self._was_disturbed(node.number, now_ms)
                    node.end_now()
                self._disturb(node.number, "stopped", for_s + START_S)
                await anyio.sleep(for_s)
                node.start()

    async def _strike_link(self, fault):
        for_s = fault.for_ms / 1000
        if fault.link == "endpoint":
            names = sorted(self._endpoint_proxies)
            name = names[fault.target % len(names)]
            proxy = self._endpoint_proxies[name]
            node = ALL_NODES
        else:
            node = fault.target % len(self.nodes)
            proxies = self.caller_proxies if fault.link == "caller" else self.store_proxies
            proxy = proxies[node]
        self._disturb(node, fault.link, for_s)
        if fault.link == "endpoint":
            self._disturb(ALL_NODES, "path", for_s, name)
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
                proxy.cut(Cut(fault.kind))
        for node in nodes:
            await self._proxy_process(node).sync()
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
