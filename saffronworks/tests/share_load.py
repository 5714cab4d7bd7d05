"""Simulates callers of several organisations on the planner of decode memory in virtual time."""

import heapq
import random
from collections import Counter, defaultdict

import attrs

from saffronworks.forwarding.planning import core, messages
from saffronworks.forwarding.planning.prefill import PrefillPlan
from saffronworks.forwarding.planning.tuning import MAX_RESEND_MS, PLAN_EVERY_MS, REPORT_EVERY_MS

START_MS = 10_000
TARGET_MS, PATIENCE_MS, PREFILL_MS = 900, 3000, 100
PROMPT_TOKENS, ANSWER_TOKENS, MS_PER_TOKEN = 3200, 640, 4.5
DECODERS = {f"d{index}": "z" for index in range(4)}
# Memory for twelve runs of 3 s on each endpoint, which is a capacity of 16 runs a second.
CAPACITY_TOKENS = 46_000


@attrs.define(slots=False)
class ShareLoad:
    """Callers of each organisation at a rate per second until `until_ms`; rejected ones retry.

    Later grants do not count as in time, since memory is not scarce then. `retries` limits the
    retries of an organisation's request, one by default. At `take_over_ms` a second planner without
    history takes over.
    """

    rates: dict[str, float]
    seed: int = 1
    until_ms: int = 30_000
    retries: dict[str, int] = attrs.Factory(dict)
    starts_ms: dict[str, int] = attrs.Factory(dict)
    take_over_ms: int | None = None
    asked: Counter = attrs.Factory(Counter)
    in_time: Counter = attrs.Factory(Counter)
    granted_ms: dict[str, list[int]] = attrs.Factory(lambda: defaultdict(list))
    held_ms: Counter = attrs.Factory(Counter)

    def __attrs_post_init__(self):
        self.plan = self._new_plan(0)
        self.rng = random.Random(self.seed)
        self.events, self.sequence = [], 0
        self.requests, self.running = {}, {}

    def _new_plan(self, now_ms):
        now_ms += START_MS
        plan = core.PlanState(now_ms, CAPACITY_TOKENS, 12, last_event_ms=now_ms, nodes=("n",))
        plan.prefill = PrefillPlan({f"p{index}": "z" for index in range(8)})
        return plan

    def at(self, at_ms, *action):
        self.sequence += 1
        heapq.heappush(self.events, (int(at_ms), self.sequence, action))

    def run(self):
        for name, per_s in self.rates.items():
            now_ms = self.starts_ms.get(name, 0)
            while (now_ms := now_ms + self.rng.expovariate(per_s / 1000)) < self.until_ms:
                self.at(now_ms, self.ask, f"{name}/{self.sequence}", name, 0)
        for at_ms in range(0, self.until_ms + PATIENCE_MS, PLAN_EVERY_MS):
            self.at(at_ms, self.step, core.Tick())
        for at_ms in range(0, self.until_ms + PATIENCE_MS, REPORT_EVERY_MS):
            self.at(at_ms, self.report)
        if self.take_over_ms is not None:
            self.at(self.take_over_ms, self.take_over)
        while self.events:
            now_ms, _, (act, *arguments) = heapq.heappop(self.events)
            act(*arguments, now_ms)
        return self

    def ask(self, request_id, name, tries, now_ms):
        rng, shorter = self.rng, 0.7 if tries else 1.0
        likely = int(ANSWER_TOKENS * rng.uniform(0.5, 1.5))
        prompt = int(PROMPT_TOKENS * rng.uniform(0.6, 1.4))
        ask = messages.MemoryAsk(
            *(request_id, "n", "s", prompt, likely, 4 * ANSWER_TOKENS, 0),
            int(shorter * (TARGET_MS - 400)),
            PATIENCE_MS,
            bool(tries),
            organisation=name,
        )
        self.requests[request_id] = (ask, tries, now_ms)
        self.asked[name] += not tries
        self.step(ask, now_ms)
        self.at(now_ms + MAX_RESEND_MS, self.ask_again, request_id)

    def ask_again(self, request_id, now_ms):
        """Entry nodes ask again for requests that wait."""
        if request_id not in self.plan.waiters:
            return
        ask, _, asked_ms = self.requests[request_id]
        waited_ms = now_ms - asked_ms
        again = attrs.evolve(
            ask,
            waited_ms=waited_ms,
            in_time_ms=ask.in_time_ms - waited_ms,
            patience_ms=ask.patience_ms - waited_ms,
        )
        self.step(again, now_ms)
        self.at(now_ms + MAX_RESEND_MS, self.ask_again, request_id)

    def step(self, event, now_ms):
        for reply in core.step(self.plan, event, DECODERS, START_MS + now_ms):
            match reply.message:
                case messages.MemoryGrant(request_id, instance):
                    self.grant(request_id, instance, now_ms)
                case messages.MemoryRefusal(request_id, after_ms):
                    ask, tries, _ = self.requests[request_id]
                    if tries < self.retries.get(ask.organisation, 1):
                        again = (f"{request_id}+", ask.organisation, tries + 1)
                        self.at(now_ms + after_ms, self.ask, *again)

    def grant(self, request_id, instance, now_ms):
        ask, _, asked_ms = self.requests[request_id]
        self.running[request_id] = (instance, now_ms)
        in_time = now_ms - asked_ms <= ask.in_time_ms and now_ms < self.until_ms
        self.in_time[ask.organisation] += in_time
        self.granted_ms[ask.organisation].append(now_ms)
        stream_ms = ask.likely_tokens * MS_PER_TOKEN
        self.held_ms[ask.organisation] += max(
            0, min(PREFILL_MS + stream_ms, self.until_ms - now_ms)
        )
        self.at(now_ms + PREFILL_MS, self.step, messages.ReadingEnded(request_id, "s", "", True))
        self.at(now_ms + PREFILL_MS + stream_ms, self.end, ask, int(stream_ms))

    def end(self, ask, stream_ms, now_ms):
        del self.running[ask.request_id]
        tokens = ask.likely_tokens
        self.step(
            messages.MemoryRelease(ask.request_id, "s", tokens, stream_ms, (), tokens), now_ms
        )

    def report(self, now_ms):
        runs = []
        for request_id, (instance, granted_ms) in self.running.items():
            ask, age_ms = self.requests[request_id][0], now_ms - granted_ms
            made = max(0, int((age_ms - PREFILL_MS) / MS_PER_TOKEN))
            sizes = (ask.prompt_tokens, ask.likely_tokens, ask.most_tokens)
            owner = (ask.priority, ask.organisation)
            runs.append(messages.LiveRun(request_id, instance, *sizes, age_ms, made, 0, *owner))
        self.step(messages.MemoryReport("n", "s", tuple(runs)), now_ms)

    def take_over(self, now_ms):
        """Replace the plan: the second planner gets a report and the requests that wait."""
        waiting = [waiter.ask for waiter in self.plan.waiters.values()]
        self.plan = self._new_plan(now_ms)
        self.report(now_ms)
        for ask in waiting:
            self.step(ask, now_ms)
