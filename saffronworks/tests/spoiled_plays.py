"""Plays three nodes' services in virtual time, with one spoiled field in one message between them.

Each protocol has a steady load, and its outcome is compared with that of the same play without a
spoiled field: a spoiled value may cost the request, run or object that it belongs to, no other.
"""

import asyncio
import copy
import itertools
from collections import Counter
from unittest.mock import patch

import anyio
import attrs

from saffronworks.forwarding.endpoint_limits.permits import Permit
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit
from saffronworks.forwarding.exchange_errors import ExchangeError, ExchangeErrorCause
from saffronworks.forwarding.messages import PromptSize
from saffronworks.forwarding.origins.records import Origin
from saffronworks.forwarding.planning import messages as planning_messages
from saffronworks.forwarding.planning.client import RunSize
from saffronworks.forwarding.planning.messages import MemoryAsk, MemoryGrant, MemoryRelease
from saffronworks.forwarding.quotas.service import QuotaCharge
from saffronworks.tests.service_nodes import (
    ADDRESSES,
    Node,
    Store,
    make_request,
)
from saffronworks.tests.virtual_loop import run_virtual
from saffronworks.tests.virtual_nodes import Switch

__all__ = ["VALUES", "Spoil", "find_fields", "find_spread", "play", "put"]

WARM_UP_MS, LOAD_MS, SETTLE_MS, STEP_MS = 2000, 3000, 2500, 100

# Out of bounds, or at the edge of them.
VALUES = (
    *(0, -1, -(10**6), 10**6, 10**15, 2**53, -(2**53), 2**53 + 1, 2**64 - 1, 1e308, float("nan")),
    *("", "x" * 400, "\u2603", None, [], True),
)


@attrs.frozen
class Spoil:
    """Puts `value` at `path` into the `number`th message of a kind; paths hold keys and indexes."""

    kind: str
    path: tuple
    value: object
    number: int = 3


@attrs.define
class Outcome:
    """How each request of each protocol ended, and what the nodes held at the end."""

    requests: dict = attrs.Factory(dict)
    held: dict = attrs.Factory(dict)
    health: dict = attrs.Factory(dict)
    sent: Counter = attrs.Factory(Counter)
    samples: dict = attrs.Factory(dict)
    spoiled: set = attrs.Factory(set)


class Play:
    """One play; `spoils` maps kinds of messages to the one `Spoil` of that kind."""

    def __init__(self, spoils, now_ms):
        self._spoils = {spoil.kind: spoil for spoil in spoils}
        self._now_ms, self._store, self._ended = now_ms, Store(), set()
        self.outcome, self._loaded = Outcome(), False
        self._switch = Switch(asyncio.get_running_loop(), 1)
        self._switch.change = self._change
        self._nodes = [
            Node(address, self._switch, now_ms, self._store, self._ended) for address in ADDRESSES
        ]

    def _change(self, name, body):
        spoil = self._spoils.get(name)
        if not self._loaded:
            return body
        self.outcome.samples.setdefault(name, body)
        self.outcome.sent[name] += 1
        if spoil is None or name in self.outcome.spoiled or self.outcome.sent[name] < spoil.number:
            return body
        changed = copy.deepcopy(body)
        if not put(changed, spoil.path, spoil.value):
            return body
        self.outcome.spoiled.add(name)
        return changed

    async def run(self):
        async with anyio.create_task_group() as tasks:
            for node in self._nodes:
                node.kernel.start(tasks)
                for follower in node.followers:
                    tasks.start_soon(follower.run)
            async with anyio.create_task_group() as load:
                for step in range(-WARM_UP_MS // STEP_MS, LOAD_MS // STEP_MS):
                    self._begin_step(load, step)
                    await anyio.sleep(STEP_MS / 1000)
            await anyio.sleep(SETTLE_MS / 1000)
            await self._collect()
            tasks.cancel_scope.cancel()
        return self.outcome

    def _begin_step(self, load, step):
        self._loaded = step >= 0
        for number, node in enumerate(self._nodes):
            name = f"{step}-{number}"
            load.start_soon(self._generate, node, f"g{name}")
            load.start_soon(self._charge, node, f"q{name}", "a")
            load.start_soon(self._charge, node, f"r{name}", "b")
            load.start_soon(self._permit, node, f"l{name}", step)
            load.start_soon(self._begin_stream, number, f"s{name}")
        if step < 0:
            return
        # Only this node sees its answers; the others get the limit by messages.
        if step % 5 == 0:
            endpoint, limit = self._nodes[0].directory.named("w3"), 20.0 + step
            self._nodes[0].limits.observe(endpoint, AdvertisedLimit(limit, self._now_ms()))
        if step % 10 == 5:
            self._store.change()
        if step in (3, 6, 9):
            self._crash(f"w{step // 3 - 1}", self._nodes[step // 3 - 1])

    async def _generate(self, node, name):
        began_ms = self._now_ms()
        ask = MemoryAsk(name, node.address, "llm", 2000, 400, 600, 0, 500, 2500, False)
        answer = await node.memory.ask(ask)
        if isinstance(answer, MemoryGrant):
            instance, how = answer.instance, "granted"
        else:
            instance, how = "d0@1", "direct" if answer is None else "refused"
        took_ms = self._now_ms() - began_ms
        self.outcome.requests["plan", name] = how if took_ms < 400 else f"{how} late"
        size = RunSize(2000, 400, 600)
        node.memory.begin(name, "llm", instance, size)
        await anyio.sleep(0.06)
        if isinstance(answer, MemoryGrant) and answer.reader is not None:
            ended = planning_messages.ReadingEnded(name, "llm", answer.reader, True)
            node.memory.end_prefill(ended)
        for made in range(1, 7):
            await anyio.sleep(0.05)
            node.memory.progress(name, 64 * made)
        node.memory.end(MemoryRelease(name, "llm", 384, 300, (), 384))

    async def _charge(self, node, name, organisation):
        found = node.table.find_organisation(organisation)
        charge = await node.quotas.admit(make_request(name, organisation=found))
        if not isinstance(charge, QuotaCharge):
            self.outcome.requests["quota", name] = "refused"
            return
        self.outcome.requests["quota", name] = "admitted"
        if name.endswith("5-1"):
            node.quotas.charge_again(charge, 2)
        if name.endswith("7-1"):
            node.quotas.refund(charge)

    async def _permit(self, node, name, step):
        endpoint = node.directory.named("w5" if step % 2 else "w4")
        node.limits.observe(endpoint, AdvertisedLimit(60.0 + max(0, step // 10), self._now_ms()))
        permit = await node.limits.acquire_permit(endpoint, name)
        self.outcome.requests["limit", name] = type(permit).__name__
        if isinstance(permit, Permit) and name.endswith("8-1"):
            node.limits.release_permit(permit)

    async def _begin_stream(self, number, name):
        node, later = self._nodes[number], self._nodes[(number + 1) % len(self._nodes)]
        route, endpoint = node.table.routes[0], node.directory.named("d0")
        prompt = PromptSize(10, 10, 10)
        await node.origins.record_start(make_request(name, prompt=prompt), route, "llm", endpoint)
        if number:
            await anyio.sleep(0.3)
        again = make_request(f"{name}-again", first_request_id=name, after_event=1)
        found = await later.origins.find(again, route)
        self.outcome.requests["origin", name] = str(found if found == Origin("llm", "v1") else "no")

    def _crash(self, name, node):
        """End an endpoint while it runs a deadly request and one that others run well."""
        endpoint = node.directory.named(name)
        self._ended.add(endpoint.instance)
        deadly = make_request("deadly", shared_parts=("dead",), model="m")
        for each in (deadly, make_request(f"beside-{name}", shared_parts=("good",), model="m")):
            broken = ExchangeError(ExchangeErrorCause.RESET, sent=True)
            node.quarantine.record_failure(each, endpoint, broken, True)

    async def _collect(self):
        held = self.outcome.held
        for node in self._nodes:
            name = node.address
            for kind, sink in node.sinks.items():
                held["news", name, kind] = dict(sink.contents)
            held["quarantine", name, "deadly"] = node.quarantine.admit(
                make_request("deadly", shared_parts=("dead",), model="m")
            )
            for number in range(3):
                beside = make_request(f"beside-w{number}", shared_parts=("good",), model="m")
                held["quarantine", name, f"beside{number}"] = node.quarantine.admit(beside)
            plan = node.planner.plans.get("llm")
            if plan is not None:
                held["plan", name, "runs"] = len(plan.runs)
                held["plan", name, "waiters"] = len(plan.waiters)
                held["plan", name, "margin"] = plan.mean_answer_tokens < 1000
                held["plan", name, "pace"] = 0.1 < plan.ms_per_token < 5
            for endpoint in ("w3@1", "w4@1", "w5@1"):
                held["limit", name, endpoint] = node.limits.find(endpoint)
                held["limit", name, f"{endpoint} backoff"] = (
                    node.limits._backoff.remaining_ms(endpoint, self._now_ms()) > 1000
                )
            for service in ("quotas", "limits"):
                buckets = getattr(node, service).shared_limit.holder_state.buckets
                for subject, bucket in buckets.items():
                    bucket.drain(self._now_ms())
                    if subject in ("a", "b", "w4@1", "w5@1"):
                        held[service, name, f"{subject} drained"] = bucket.level < 20
            held["origin", name, "versions"] = dict(
                node.origins.history.count_versions(self._now_ms())
            )
            self.outcome.health[name] = dict(node.kernel.failures)
        await self._probe_again()

    async def _probe_again(self):
        """Send one more request of each protocol from each node, long after the spoiled message."""
        self._store.change()
        async with anyio.create_task_group() as load:
            for number, node in enumerate(self._nodes):
                load.start_soon(self._generate, node, f"g-last-{number}")
                for organisation in ("a", "b"):
                    load.start_soon(
                        self._charge, node, f"q-last-{organisation}{number}", organisation
                    )
                load.start_soon(self._permit, node, f"l-last-{number}", 30)
                load.start_soon(self._permit, node, f"l-last-1{number}", 31)
                load.start_soon(self._begin_stream, number, f"s-last-{number}")
        await anyio.sleep(1.5)
        for node in self._nodes:
            for kind, sink in node.sinks.items():
                self.outcome.held["news", node.address, f"{kind} last"] = dict(sink.contents)


def put(body, path, value):
    """Replace the value at a path; False where the message has no such place."""
    for step in path[:-1]:
        try:
            body = body[step]
        except (IndexError, KeyError, TypeError):
            return False
    try:
        body[path[-1]] = value
    except (IndexError, TypeError):
        return False
    return True


def find_fields(body, path=()):
    """Return the paths of all fields of a message that has been decoded to plain values."""
    if isinstance(body, dict):
        inner = list(body.items())
    elif isinstance(body, list):
        inner = list(enumerate(body[:1]))
    else:
        return [path]
    found = [path] if path else []
    for key, value in inner:
        found += find_fields(value, (*path, key))
    return found


def play(*spoils):
    """Run a play; returns its `Outcome`."""

    async def main(now_ms):
        return await Play(spoils, now_ms).run()

    numbers = itertools.count()
    # The same ids in each play, as they choose the holders that are asked first.
    with patch("secrets.token_hex", lambda _: f"{next(numbers):x}"):
        return run_virtual(main)


# Requests whose outcome one message may change: that of the message itself.
MAX_OWN = 1


def find_spread(base, spoil, found):
    """Return the effects of a spoiled field on what it doesn't belong to, as readable texts."""
    changed = {
        name: (outcome, found.requests.get(name))
        for name, outcome in base.requests.items()
        if found.requests.get(name) != outcome
    }
    effects = [f"{name}: {value}" for name, value in changed.items()]
    if len(effects) <= MAX_OWN:
        effects = []
    effects += [
        f"{name}: {found.held.get(name)} for {value}"
        for name, value in base.held.items()
        if found.held.get(name) != value
    ]
    return effects + [f"{node} failed: {health}" for node, health in found.health.items() if health]
