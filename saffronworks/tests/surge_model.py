"""An event loop in virtual time that serves the requests which its gate accepts."""

import collections

import attrs

from saffronworks.loop_meter import LoopMeter
from saffronworks.overload.connect_delay import ConnectDelay
from saffronworks.overload.gate import ConnectionGate
from saffronworks.overload.link_budget import LinkBudget
from saffronworks.overload.request_cost import RequestCost
from saffronworks.overload.start_queue import StartQueue

__all__ = ["LoopModel", "ModelRequest"]

# Slices of a request's processor time before it is sent on, and after its endpoint has answered.
SLICES_BEFORE, SLICES_AFTER = 5, 5
ENDPOINT_MS = 15.0
# Time of the loop for a turn, and for accepting or rejecting one connection.
TURN_MS, CONNECTION_MS = 0.05, 0.02
ASSUMED_COST_MS = 4.0
REST_MS = 0.5


@attrs.define
class ModelRequest:
    """A request on a new connection; `ended_ms` is None until it is answered."""

    key: int
    at_ms: float
    accepted: bool = False
    ended_ms: float | None = None
    slices: int = 0


class LoopModel:
    """Serves requests that take `cost_ms` each, in slices between which all others run.

    `throttled_share` is the part of each 100 ms in which the process does not run.
    """

    def __init__(self, cost_ms: float, throttled_share: float = 0.0):
        self.now_ms = 1000.0
        self.requests: list[ModelRequest] = []
        self._slice_ms = cost_ms / (SLICES_BEFORE + SLICES_AFTER)
        self.throttled_share = throttled_share
        self._cpu_ms = 0.0
        self._suspended_ms = 0.0
        self._meter = LoopMeter()
        queue = StartQueue(RequestCost(ASSUMED_COST_MS))
        self._gate = ConnectionGate(
            queue, LinkBudget(None), ConnectDelay(), self._meter, lambda: int(self.now_ms)
        )
        self._ready: collections.deque[ModelRequest] = collections.deque()
        self._waiting: collections.deque[tuple[float, ModelRequest]] = collections.deque()

    @property
    def rejected(self) -> int:
        """The number of connections closed unread."""
        return self._gate.rejected

    def play(self, per_s: float, for_ms: float, at_once: int = 1) -> None:
        """Offer connections at a rate, some at once."""
        begin_ms, until_ms, sent = self.now_ms, self.now_ms + for_ms, 0
        while self.now_ms < until_ms:
            due = int((self.now_ms - begin_ms) * per_s / 1000 / at_once + 1) * at_once
            arrived = [ModelRequest(0, self.now_ms) for _ in range(max(0, due - sent))]
            sent = max(sent, due)
            self._turn(arrived)

    def suspend(self, for_ms: float) -> None:
        """Do not run for a time in the middle of the next turn that serves a request."""
        self._suspended_ms = for_ms

    def _turn(self, arrived: list[ModelRequest]) -> None:
        ready, self._ready = self._ready, collections.deque()
        while self._waiting and self._waiting[0][0] <= self.now_ms:
            ready.append(self._waiting.popleft()[1])
        self._spend(TURN_MS)
        for request in arrived:
            self._accept(request)
        for request in ready:
            self._run_slice(request)
        if ready:
            self.now_ms += self._suspended_ms
            self._suspended_ms = 0.0
        self._meter.begin_wait(self.now_ms, self._cpu_ms)
        idle = not self._ready
        if idle:
            self.now_ms += REST_MS
        self._meter.end_wait(self.now_ms, waited=idle, cpu_ms=self._cpu_ms)

    def _accept(self, request: ModelRequest) -> None:
        request.key = len(self.requests)
        self.requests.append(request)
        self._spend(CONNECTION_MS)
        if self._gate.accept(request.key):
            request.accepted = True
            self._ready.append(request)

    def _run_slice(self, request: ModelRequest) -> None:
        if not request.slices:
            self._gate.begin_request(request.key)
        self._spend(self._slice_ms)
        request.slices += 1
        if request.slices == SLICES_BEFORE:
            self._gate.send_on(request.key)
            self._waiting.append((self.now_ms + ENDPOINT_MS, request))
        elif request.slices == SLICES_BEFORE + SLICES_AFTER:
            self._gate.end_request(request.key)
            request.ended_ms = self.now_ms
        else:
            self._ready.append(request)

    def _spend(self, span_ms: float) -> None:
        """Run for a time, with the pauses of a processor whose quota is used up."""
        runs_ms = 100.0 * (1 - self.throttled_share)
        while span_ms > 0:
            into_ms = self.now_ms % 100.0
            if into_ms >= runs_ms:
                self.now_ms += 100.0 - into_ms
                continue
            part_ms = min(span_ms, runs_ms - into_ms)
            self.now_ms += part_ms
            self._cpu_ms += part_ms
            span_ms -= part_ms
