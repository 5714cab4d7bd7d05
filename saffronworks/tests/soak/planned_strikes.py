"""How rolls strike the nodes of a soak, and silences, copies and short handles its endpoints."""

import math
import signal

import anyio

from saffronworks.tests.soak.long_turns import LONG_TURN_S, LONG_TURN_SIGNAL
from saffronworks.tests.soak.node_strikes import START_S
from saffronworks.tests.soak.planned_faults import (
    AnswerCopies,
    EndpointSilences,
    NodeRoll,
    ShortHandles,
    TimeoutChange,
)
from saffronworks.tests.soak.processes import GRACE_S
from saffronworks.tests.soak.records import Silence, Terminated

__all__ = ["PlannedStrikes"]

POLL_S = 0.02
# Share of a service's endpoints that fall silent together.
MOST_SHARE = 0.6


class PlannedStrikes:
    """The part of a site that plays rolls of nodes and silences of endpoints."""

    async def _strike_planned(self, fault):
        """Play a fault of this part to its end; False if it is none."""
        match fault:
            case TimeoutChange():
                self._change_timeouts(dict(fault.timeouts_ms))
            case NodeRoll():
                await self._roll(fault)
            case EndpointSilences():
                await self._silence(fault)
            case AnswerCopies() | ShortHandles():
                await self._degrade_protocol(fault)
            case _:
                return False
        return True

    def _note_termination(self, node, extra="none"):
        """Record the first SIGTERM to the process of a node."""
        if node.terminated is None:
            node.terminated = Terminated(node.number, self.now_ms(), extra)
            self.records.terminated.append(node.terminated)
        return node.terminated

    async def _roll(self, fault):
        async with anyio.create_task_group() as tasks:
            for index in range(fault.count):
                node = self.nodes[(fault.target + index) % len(self.nodes)]
                extra, extra_ms = fault.extras[index % len(fault.extras)]
                turns = fault.turns[index % len(fault.turns)] if fault.turns else ()
                tasks.start_soon(self._stop_in_roll, node, extra, extra_ms / 1000, turns)
                await anyio.sleep(fault.gap_ms / 1000)

    async def _stop_in_roll(self, node, extra, extra_s, turns):
        """Send SIGTERM, SIGKILL at the end of the grace period, and start the node at once."""
        if not node.alive or node.terminated is not None:
            return
        process, freeze = node.process, None
        if extra == "freeze":
            freeze = self._disturb(node.number, "node", extra_s)
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(extra_s / 2)
        if process.poll() is not None:
            return
        stop, now_ms = self._note_termination(node, extra), self.now_ms()
        self.records.stops.append((node.number, now_ms, now_ms + GRACE_S * 1000))
        self._disturb(node.number, "stopped", GRACE_S + START_S)
        process.send_signal(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_extra, process, extra, extra_s)
            tasks.start_soon(self._lengthen_turns, node, process, turns, stop.sent_ms)
            while process.poll() is None and self.now_ms() < stop.sent_ms + GRACE_S * 1000:
                await anyio.sleep(POLL_S)
            tasks.cancel_scope.cancel()
        if process.poll() is None:
            stop.outlived, stop.freeze = True, freeze
            process.kill()
            process.wait()
        stop.ended_ms = min(stop.ended_ms, self.now_ms())
        node.start()

    async def _send_extra(self, process, extra, extra_s):
        await anyio.sleep(extra_s / 2 if extra == "freeze" else extra_s)
        if extra != "none" and process.poll() is None:
            signals = {"term": signal.SIGTERM, "hup": signal.SIGHUP, "freeze": signal.SIGCONT}
            process.send_signal(signals[extra])

    async def _lengthen_turns(self, node, process, turns, from_ms):
        for at_ms in turns:
            await anyio.sleep(max(0.0, from_ms + at_ms - self.now_ms()) / 1000)
            if process.poll() is None:
                self._disturb(node.number, "turn", LONG_TURN_S)
                process.send_signal(LONG_TURN_SIGNAL)

    async def _silence(self, fault):
        """Suspend the same endpoints again and again."""
        # All endpoints of the service may have left.
        of_service = {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if endpoint.service == fault.service and name not in self.records.left_ms
        }
        first = self._choose_endpoint(fault, of_service)
        service = [name for name, e in self.endpoints.items() if e.service == first.service]
        service = [name for name in sorted(service) if name not in self.records.left_ms]
        share = {"one": 0.0, "most": MOST_SHARE, "all": 1.0}[fault.kind]
        count = max(1, math.ceil(share * len(service)))
        at = service.index(first.instance)
        struck = [self.endpoints[name] for name in (service[at:] + service[:at])[:count]]
        began_ms = self.now_ms()
        for begin_ms, for_ms in fault.silences:
            await anyio.sleep(max(0.0, began_ms + begin_ms - self.now_ms()) / 1000)
            async with anyio.create_task_group() as tasks:
                for endpoint in struck:
                    tasks.start_soon(self._suspend, endpoint, for_ms / 1000)

    async def _suspend(self, endpoint, for_s):
        if not endpoint.awake.is_set():
            return
        from_ms = self.now_ms()
        self._begin_fault(endpoint)
        endpoint.awake.clear()
        await anyio.sleep(for_s)
        endpoint.awake.set()
        self._end_fault(endpoint)
        silence = Silence(endpoint.instance, from_ms, self.now_ms())
        self.records.silences.append(silence)

    async def _degrade_protocol(self, fault):
        copies, until_ms = isinstance(fault, AnswerCopies), self.now_ms() + fault.for_ms
        engines = {n: e for n, e in self.endpoints.items() if copies or e.stage == "prefill"}
        first = self._choose_endpoint(fault, engines)
        struck = [first]
        if fault.service:
            struck = [e for e in engines.values() if e.service == fault.service]
        for endpoint in struck:
            if copies:
                endpoint.copies_until_ms = until_ms
            else:
                endpoint.lapses_until_ms = until_ms
        await self._wait_out(struck, fault)
