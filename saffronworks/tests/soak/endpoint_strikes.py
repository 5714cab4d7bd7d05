"""How faults strike the endpoints of a soak."""

import anyio

from saffronworks.tests.soak import faults
from saffronworks.tests.soak.records import ALL_NODES, Need

__all__ = ["LOOK_READY_S", "EndpointStrikes"]

LOOK_READY_S, POLL_S = 0.5, 0.05
# An endpoint that leaves serves on for longer than it must; a crashed one's entry goes later.
DRAIN_S = 6.0
ENTRY_LAPSES_S = 3.6
# Of the faults in which endpoints fail requests, one in so many strikes a whole service.
WHOLE_SERVICE_EVERY = 3
# An endpoint that ended under a deadly content is down for so long.
DEADLY_DOWN_S = 1.5


class EndpointStrikes:
    """The part of a site that plays the faults of endpoints."""

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
            await self._add_endpoint(endpoint.service, endpoint.stage, fault.version)
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
            await anyio.sleep(POLL_S)
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
                await self._replace(endpoint)
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
        await self._replace(endpoint)

    async def _drain_out(self, endpoint):
        self.records.left_ms[endpoint.instance] = self.now_ms()
        self._begin_fault(endpoint)
        await anyio.sleep(DRAIN_S)

    async def _replace(self, endpoint):
        """Its entry goes, and another start of it enters itself."""
        self.records.left_ms.setdefault(endpoint.instance, self.now_ms())
        self._outside.remove("servers", endpoint.instance)
        await self._add_endpoint(endpoint.service, endpoint.stage, endpoint.version)
