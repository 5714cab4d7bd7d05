"""Simulates a service whose endpoints crash under one part of prompts, in virtual time.

Nodes run the quarantine's core and exchange messages as in `quarantine_plays`. Requests go to the
endpoint with the fewest runs. A crash breaks all runs there; each request is retried once, and its
caller returns once. Requests that find no endpoint up wait, and start together at the first that is
back. Times are those of an incident: runs of some seconds, a crash 50 to 150 ms after the first
event, some seconds until the endpoint is back.
"""

import itertools
import random

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.exchange_errors import ExchangeErrorCause
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.quarantine import events
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.tests.quarantine_plays import Fleet

__all__ = ["CRASHING_PARTS", "PartTraffic", "Service", "play"]

CRASHING_PARTS = ("bad0", "bad1")
CALM_MS = 5000
PLAYED_MS = 30_000
# Requests that arrive until then have ended when the play does.
JUDGED_MS = 25_500
CONTACT_MS = 3000
# Crashes after which requests with their part may be sent for `CONTACT_MS`.
MAX_ENDS = 5
OBSERVE_MS = 250
RETURNS_AFTER_MS = 500
PATIENCE_MS = 4000


@attrs.frozen
class PartTraffic:
    """Sound requests per second, interval of crashing ones, and the parts that both have.

    `firsts`: number of first parts; `middles`: number of second ones of sound requests, 0 for none.
    `crashes_own`: ends of endpoints for other causes, all of them at once.
    """

    nodes: int = 7
    endpoints: int = 4
    per_s: float = 4.0
    crashing_every_ms: int = 400
    crashing: int = 1
    firsts: int = 100
    middles: int = 0
    run_ms: int = 2800
    down_ms: tuple[int, int] = (2500, 4500)
    crashes_own: tuple[int, ...] = ()
    lost: float = 0.0


@attrs.define(eq=False)
class _Request:
    number: int
    content: ContentId
    parts: tuple[PartId, ...]
    node: str
    arrived_ms: int
    crashing: bool
    on_trial: bool = False
    runs_left: int = 2
    returns: bool = True
    first_attempt: bool = True


@attrs.define(eq=False)
class _Run:
    request: _Request
    began_ms: int
    first_ms: int


@attrs.define
class Service(Fleet):
    """The endpoints, and counts of what callers and endpoints saw."""

    traffic: PartTraffic
    seed: int

    def __attrs_post_init__(self):
        super().__init__(self.traffic.nodes, self.seed, self.traffic.lost)
        self.random = random.Random(self.seed)
        self.runs = [{} for _ in range(self.traffic.endpoints)]
        self.up = [True] * self.traffic.endpoints
        self.starts, self.numbers = itertools.count(1), itertools.count(1)
        self.instances = [self._endpoint() for _ in range(self.traffic.endpoints)]
        # Times: all crashes, those under each crashing part, the last of these that was no trial,
        # sends of its requests; of sound ones when, and how they ended.
        self.crashes, self.under, self.last_untried_ms = [], {}, 0
        self.crashing_sends, self.sound = {}, []

    def _endpoint(self):
        number = next(self.starts)
        return ServiceEndpoint(f"e{number}", "llm", f"10.9.0.{number % 250}:1", "z")

    # Traffic

    def start(self):
        self.at(1, self._arrive_sound)
        self.at(CALM_MS, self._arrive_crashing)
        for at_ms in self.traffic.crashes_own:
            self.at(at_ms, self._crash_all)

    def _arrive_sound(self):
        middles = self.traffic.middles
        parts = [f"f{self.random.randrange(self.traffic.firsts)}"]
        parts += [f"m{self.random.randrange(middles)}"] if middles else []
        self._arrive(tuple(parts), crashing=False)
        self.at(1 + int(self.random.expovariate(self.traffic.per_s) * 1000), self._arrive_sound)

    def _arrive_crashing(self):
        bad = CRASHING_PARTS[self.random.randrange(self.traffic.crashing)]
        first = f"f{self.random.randrange(self.traffic.firsts)}"
        self._arrive((first, bad), crashing=True)
        self.at(self.traffic.crashing_every_ms, self._arrive_crashing)

    def stop(self):
        """Let no more requests arrive."""
        self._arrive = lambda parts, crashing: None

    def _arrive(self, parts, crashing):
        number = next(self.numbers)
        node = self.random.choice(self.names)
        content = ContentId(f"{number:08x}")
        self._admit(_Request(number, content, parts, node, self.now_ms, crashing))

    def _admit(self, request):
        state = self.nodes[request.node].state
        admission = state.admission(request.content, self.now_ms, request.parts)
        if admission is Admission.REFUSED:
            self._refuse(request)
            return
        if admission is Admission.TRIAL:
            self.take(request.node, events.TrialStarted(request.content, request.parts))
            request.runs_left, request.on_trial = 1, True
        self._place(request)

    def _refuse(self, request):
        quarantined = self.nodes[request.node].state.parts.table.quarantined()
        self._end(request, "refused" if any(p in quarantined for p in request.parts) else "content")

    def _end(self, request, how):
        if not request.crashing:
            first = how if request.first_attempt else None
            self.sound.append((request.arrived_ms, how, first))
        if how == "broken" and request.returns:
            again = attrs.evolve(
                request, runs_left=2, returns=False, first_attempt=False, arrived_ms=self.now_ms
            )
            again.node = self.random.choice(self.names)
            self.at(RETURNS_AFTER_MS, self._admit, again)

    # Endpoints

    def _place(self, request):
        up = [index for index, is_up in enumerate(self.up) if is_up]
        if not up:
            if self.now_ms - request.arrived_ms > PATIENCE_MS:
                self._end(request, "no-endpoint")
            else:
                self.at(100, self._retry_place, request)
            return
        index = min(up, key=lambda i: (len(self.runs[i]), self.random.random()))
        first_ms = self.now_ms + self.random.randint(10, 60)
        run = _Run(request, self.now_ms, first_ms)
        self.runs[index][run] = None
        if request.crashing:
            self.crashing_sends.setdefault(request.parts[-1], []).append(self.now_ms)
            self.at(first_ms - self.now_ms + self.random.randint(50, 150), self._crash, index, run)
            return
        took_ms = int(self.traffic.run_ms * self.random.uniform(0.5, 1.5))
        self.at(first_ms - self.now_ms + took_ms, self._finish, index, run)
        self.at(OBSERVE_MS, self._observe, index, run)

    def _retry_place(self, request):
        """Ask again, as a runner does at each step, and then look for an endpoint."""
        state = self.nodes[request.node].state
        admission = state.admission(request.content, self.now_ms, request.parts)
        if admission is Admission.REFUSED:
            self._refuse(request)
        else:
            self._place(request)

    def _observe(self, index, run):
        if run in self.runs[index]:
            goes_on = events.RunProgressed(run.request.parts, self.now_ms - run.first_ms)
            self.take(run.request.node, goes_on)
            self.at(OBSERVE_MS, self._observe, index, run)

    def _finish(self, index, run):
        if self.runs[index].pop(run, 0) is None:
            request = run.request
            self.take(request.node, events.RunSucceeded(request.content, request.parts))
            self._end(request, "served")

    def _crash_all(self):
        for index, is_up in enumerate(self.up):
            if is_up:
                self._crash(index)

    def _crash(self, index, cause=None):
        if not self.up[index] or (cause is not None and cause not in self.runs[index]):
            return
        self.crashes.append(self.now_ms)
        if cause is not None:
            self.under.setdefault(cause.request.parts[-1], []).append(self.now_ms)
            if not cause.request.on_trial:
                self.last_untried_ms = self.now_ms
        broken, self.runs[index] = list(self.runs[index]), {}
        endpoint, self.up[index] = self.instances[index], False
        self.at(self.random.randint(*self.traffic.down_ms), self._return, index)
        for run in broken:
            request, writing_ms = run.request, max(0, self.now_ms - run.first_ms)
            failed = events.RunFailed(
                request.content,
                endpoint,
                ExchangeErrorCause.CLOSED,
                parts=request.parts,
                writing_ms=writing_ms,
            )
            self.take(request.node, failed)
            request.runs_left -= 1
            if request.runs_left:
                self.at(self.random.randint(5, 30), self._retry_place, request)
            else:
                self._end(request, "broken")

    def _return(self, index):
        self.instances[index], self.up[index] = self._endpoint(), True

    # Results

    def late_sends(self):
        """Return for each crashing part how many requests were sent later than allowed."""
        return {
            part: sum(
                at_ms > ends[MAX_ENDS - 1] + CONTACT_MS for at_ms in self.crashing_sends[part]
            )
            for part, ends in self.under.items()
            if len(ends) >= MAX_ENDS
        }

    def sound_share(self, from_ms, until_ms):
        """Return the share of sound requests that arrived then and were served at once."""
        ends = [end for at_ms, _, end in self.sound if end and from_ms <= at_ms < until_ms]
        return sum(end == "served" for end in ends) / max(1, len(ends))

    def refused(self):
        """Return how many sound requests were refused for a part, and how many there were."""
        return sum(how == "refused" for _, how, _ in self.sound), len(self.sound)


def play(traffic, seed):
    """Simulate a service and return it."""
    service = Service(traffic, seed)
    service.start()
    service.run(PLAYED_MS)
    return service
