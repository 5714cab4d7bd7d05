"""Callers of a soak: each keeps a connection open to one node until it breaks."""

import random
import zlib

import anyio
import httpcore

from saffronworks.tests.crashing_servers import CRASHING, CRASHING_PART
from saffronworks.tests.soak.answer_lengths import (
    EVENTS,
    LONG_KINDS,
    LONG_PROMPT,
    LONG_TIMEOUT_KINDS,
)
from saffronworks.tests.soak.records import Asked, ClosedEarly

__all__ = [
    "DEADLY_KIND",
    "KINDS",
    "ONCE_KINDS",
    "PART_KIND",
    "STREAM_KINDS",
    "Caller",
    "DeadlyCaller",
]

# How often each kind of request comes, and the route that it goes by.
KINDS = {"once": 4, "again": 3, "moved": 2, "gen": 2, "res": 3}
# Those that may run once at most, and those that are answered by a stream of events.
ONCE_KINDS = ("once", "moved", "gen", "long", "opage")
STREAM_KINDS = ("gen", "res", *LONG_KINDS)
# Streams that callers may resume.
RESUMABLE_KIND = "res"
STREAMED = 200
DEADLINE_MS = {"once": 3000, "again": 3000, "moved": 3000, "gen": 6000, "res": 6000}
DEADLINE_MS |= dict.fromkeys(LONG_TIMEOUT_KINDS, 14_000)
PAUSE_S = 0.15
LEAVE_SHARE = 0.05
LEAVE_AFTER_S = 0.1
# A content that ends its endpoints is asked for on the route of streams that may go on.
DEADLY_KIND = "deadly"
# Different contents with one part that ends endpoints, on the same route.
PART_KIND = "part"
FIRST_PARTS = 3
DEADLY_PAUSE_S = 0.5
PROMPT = {"Token-Counts": "5000,9000", "Length-Hint": "300"}
LONGEST_RETURN_S = 1.5
# Share of resumable streams that the caller loses after some events and resumes at another node.
LOSE_SHARE = 0.3
# Share of pauses in which a connection rests, and the longest rest. A caller may use it again for
# this share of the idle timeout, which nodes apply within a time of the change.
REST_SHARE = 0.15
LONGEST_REST_S = 3.2
REST_TIMEOUT_SHARE = 0.8
CONFIG_APPLY_MS = 2000
# Attempts to resume a stream, and the pause before each.
MAX_RESUMES, RESUME_PAUSE_S = 3, 0.02


def prompt_of(request_id, *more_parts):
    """Return the fields that describe a prompt; the first part is one of a few."""
    own = zlib.crc32(request_id.encode())
    parts = (f"f{own % FIRST_PARTS}", *more_parts, f"{own:x}")
    return PROMPT | {"Model": "m", "Prompt-Prefix": ",".join(f"{part}:200" for part in parts)}


class _StreamLost(Exception):
    """The caller's connection is lost in the middle of a stream."""


def is_whole(asked):
    """Return whether a caller got a whole answer."""
    return asked.outcome == "answered" and asked.status == STREAMED


def count_events(body):
    """Return the number of whole events."""
    return body.count(b"\n\n")


class Caller:
    """Asks again and again, each time with an id of its own."""

    def __init__(self, name, site, records, seed, whose=None):
        self._name = name
        self._whose = whose
        self._site = site
        self._records = records
        self._rng = random.Random(f"{seed}/caller/{name}")
        self._losses = random.Random(f"{seed}/losses/{name}")
        self._node = self._rng.randrange(len(site.nodes))
        self._pool = None
        self._rests = random.Random(f"{seed}/rests/{name}")
        self._rested_from_ms = 0.0

    async def run(self, until):
        """Ask until `until()` says that it is over."""
        number = 0
        while not until():
            number += 1
            kind = self._rng.choices(list(KINDS), list(KINDS.values()))[0]
            request_id = f"{self._name}-{number}"
            wait_s = await self._ask(kind, request_id)
            if kind == RESUMABLE_KIND:
                wait_s = await self._resume(self._records.asked[request_id]) or wait_s
            await anyio.sleep(wait_s + PAUSE_S * self._rng.random() * 2 + self._draw_rest_s())
            self._check_connection()
        if self._pool is not None:
            await self._pool.aclose()

    def _draw_rest_s(self):
        rests = self._site.shape.idle_changes and self._rests.random() < REST_SHARE
        return LONGEST_REST_S * self._rests.random() if rests else 0.0

    def _check_connection(self):
        """Record a connection that the node has closed although its rest was short enough."""
        if self._pool is None or not self._pool.connections:
            return
        now_ms = self._site.now_ms()
        allowed_ms = REST_TIMEOUT_SHARE * self._least_idle_timeout_ms(now_ms)
        if now_ms - self._rested_from_ms > allowed_ms:
            return
        if self._pool.connections[0].has_expired():
            early = ClosedEarly(self._node, self._rested_from_ms, now_ms, allowed_ms)
            self._records.closed_early.append(early)

    def _least_idle_timeout_ms(self, now_ms):
        """Return the lowest idle timeout that a node may have had in force during this rest."""
        in_force = [15_000]
        for at_ms, idle_timeout_ms in self._records.idle_timeouts:
            if at_ms <= self._rested_from_ms - CONFIG_APPLY_MS:
                in_force.clear()
            in_force.append(idle_timeout_ms)
        return min(in_force)

    def _connect(self):
        if self._pool is None:
            ready = self._site.ready_nodes() or list(range(len(self._site.nodes)))
            self._node = self._rng.choice(ready)
            self._pool = httpcore.AsyncConnectionPool(max_connections=1, keepalive_expiry=10)
        return self._pool

    async def _resume(self, first):
        """Resume a stream that broke off after some events, at other nodes, until it has ended."""
        wait_s, last, after_event = 0.0, first, count_events(first.body)
        for number in range(MAX_RESUMES):
            if not after_event or is_whole(last):
                return wait_s
            await anyio.sleep(RESUME_PAUSE_S + wait_s)
            await self._leave_node()
            request_id = f"{first.request_id}-{number + 1}"
            wait_s = await self._ask(first.kind, request_id, first.request_id, after_event)
            last = self._records.asked[request_id]
            if last.status == STREAMED:
                after_event += count_events(last.body)
        return wait_s

    async def _leave_node(self):
        """Take another node for the next request, if there is one."""
        if self._pool is not None:
            await self._pool.aclose()
            self._pool = None
        before = self._node
        others = [node for node in self._site.ready_nodes() if node != before]
        if others:
            self._node = self._losses.choice(others)
            self._pool = httpcore.AsyncConnectionPool(max_connections=1, keepalive_expiry=10)

    async def _ask(self, kind, request_id, resumes="", after_event=0):
        pool, deadline_ms = self._connect(), DEADLINE_MS[kind]
        asked = Asked(request_id, kind, self._node, self._site.now_ms(), deadline_ms)
        asked.resumes, asked.after_event = resumes, after_event
        asked.kept = bool(pool.connections)
        if self._whose is not None:
            asked.organisation, asked.key = self._whose.organisation, self._whose.key
        self._records.asked[request_id] = asked
        leaves = self._rng.random() < LEAVE_SHARE
        limit_s = LEAVE_AFTER_S if leaves else deadline_ms / 1000 + 1.0
        try:
            with anyio.fail_after(limit_s):
                await self._exchange(pool, asked)
        except (TimeoutError, _StreamLost):
            asked.outcome = "left"
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            asked.outcome, asked.problem = "broken", repr(error)
        asked.ended_ms = self._rested_from_ms = self._site.now_ms()
        if asked.outcome != "answered":
            await pool.aclose()
            self._pool = None
        return min(LONGEST_RETURN_S, float(asked.retry_after or 0))

    async def _exchange(self, pool, asked):
        fields = {"Host": "h.example", "Request-Id": asked.request_id}
        fields["Deadline-Ms"] = str(asked.deadline_ms)
        fields |= {"Key": asked.key} if asked.key else {}
        if asked.kind in STREAM_KINDS:
            fields |= prompt_of(asked.request_id)
            fields |= LONG_PROMPT if asked.kind in LONG_KINDS else {}
        if asked.resumes:
            fields |= {"Resumes": asked.resumes, "Last-Event-Id": str(asked.after_event)}
        lost_after = self._draw_loss(asked)
        method = "GET" if asked.kind in ("again", "page") else "POST"
        url = f"http://{self._site.caller_addresses[asked.node]}/{asked.kind}/"
        content = b"" if method == "GET" else b"body of " + asked.request_id.encode()
        seen = {"trace": self._note_sent(asked)}
        async with pool.stream(
            method, url, headers=fields, content=content, extensions=seen
        ) as response:
            asked.status = response.status
            headers = {key.lower(): value for key, value in response.headers}
            asked.signed = b"server-stamp" in headers
            if headers.get(b"server-leaving") == b"1":
                asked.drains_at = headers[b"server-stamp"].decode().removeprefix("stamp-")
            asked.retry_after = headers.get(b"retry-after", b"").decode()
            async for chunk in response.aiter_stream():
                asked.body += chunk
                if lost_after and count_events(asked.body) >= lost_after:
                    raise _StreamLost
        asked.outcome = "answered"

    def _note_sent(self, asked):
        """Return a trace that records when the request had been sent."""

        async def trace(event, info):
            if event == "http11.send_request_body.complete":
                asked.sent_ms = self._site.now_ms()

        return trace

    def _draw_loss(self, asked):
        """Return after how many events the caller loses a stream; 0 if it does not."""
        if asked.kind != RESUMABLE_KIND or self._losses.random() >= LOSE_SHARE:
            return 0
        return self._losses.randint(1, EVENTS // 2)


class DeadlyCaller:
    """Asks again and again, at any node, for one content or different ones with one part."""

    def __init__(self, site, deadly, whose=None):
        self._whose = whose
        self._site = site
        self._deadly = deadly
        self._rng = random.Random(f"{site.seed}/{deadly.kind}")

    async def run(self, until):
        await anyio.sleep(self._deadly.at_ms / 1000)
        number = 0
        while not until():
            number += 1
            node = self._rng.randrange(len(self._site.nodes))
            request_id = f"{self._deadly.kind}{number}"
            await self._ask(Asked(request_id, self._deadly.kind, node, self._site.now_ms(), 3000))
            await anyio.sleep(2 * DEADLY_PAUSE_S * self._rng.random())

    async def _ask(self, asked):
        fields = {"Host": "h.example", "Request-Id": asked.request_id, "Deadline-Ms": "3000"}
        if self._whose is not None:
            asked.organisation, asked.key = self._whose.organisation, self._whose.key
            fields["Key"] = asked.key
        self._site.records.asked[asked.request_id] = asked
        content = CRASHING
        if asked.kind == PART_KIND:
            content = asked.request_id.encode()
            fields |= prompt_of(asked.request_id, CRASHING_PART)
        else:
            fields |= PROMPT
        url = f"http://{self._site.caller_addresses[asked.node]}/res/"
        try:
            with anyio.fail_after(asked.deadline_ms / 1000 + 1.0):
                async with httpcore.AsyncConnectionPool() as pool:
                    reply = await pool.request("POST", url, headers=fields, content=content)
            asked.outcome, asked.status = "answered", reply.status
        except TimeoutError:
            asked.outcome = "left"
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            asked.outcome, asked.problem = "broken", repr(error)
        asked.ended_ms = self._site.now_ms()
