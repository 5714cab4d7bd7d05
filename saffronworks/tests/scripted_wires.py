"""Simulated requests from the forwarder down to the bytes that endpoints send, without sockets.

`simulate_requests` serves requests one after another; endpoints answer each call with the next
reply of a script. It returns for each request its status and how many endpoints may have run it.
"""

import asyncio
import itertools
import socket
from unittest.mock import AsyncMock, Mock

import anyio
import attrs

from saffronworks.bundles import Role
from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.forwarder import Forwarder
from saffronworks.forwarding.identity import Authenticator
from saffronworks.forwarding.loads import LoadTable
from saffronworks.forwarding.messages import CallerRequest, PromptSize
from saffronworks.forwarding.quarantine.suspicions import Admission
from saffronworks.forwarding.quotas.service import NOT_COUNTED
from saffronworks.forwarding.routing import EngineSpec, RoutingTable, Service
from saffronworks.forwarding.runners import NodeState
from saffronworks.platform.answer_fields import ID_FIELD
from saffronworks.platform.ingress import CallerConnectionReply
from saffronworks.tests.caller_fakes import FakeCaller
from saffronworks.tests.endpoint_fixtures import (
    calls_of_one_node,
    eligibility_of_one_node,
    endpoints,
    limits_of_one_node,
    route,
    wide_budget,
)
from saffronworks.tests.revisions import at

__all__ = [
    "ENGINE",
    "PROMPT",
    "REPLIES",
    "TIMEOUT_MS",
    "Script",
    "ScriptedConnection",
    "make_node",
    "simulate_requests",
]

TIMEOUT_MS = 60
PROMPT = PromptSize(3000, 700, 600)
ENGINE = EngineSpec(64, 41_000, 9, 2000)
SIGNED = "Server-Stamp: s\r\n"
NOT_EXECUTED = "Not-Executed: 1\r\n"
# Status and header fields of the replies that carry the request's id, and of those that do not.
WITH_ID = {
    "ok": (200, SIGNED),
    "unsigned": (200, ""),
    "500": (500, SIGNED),
    "503-run": (503, SIGNED),
    "429-run": (429, SIGNED),
    "executed": (503, SIGNED + "Not-Executed: 0\r\n"),
    "shed": (503, NOT_EXECUTED),
    # Sent a second time before the answer to the next request on the connection.
    "shed-repeated": (503, NOT_EXECUTED),
}
WITHOUT_ID = {
    "408": (408, "Connection: close\r\n"),
    "503": (503, ""),
    "421": (421, "Instance-Id: other\r\n"),
    "bare-shed": (503, NOT_EXECUTED),
    # Sent a second time when the connection is next used, before the answer to that call.
    "shed-twice": (503, NOT_EXECUTED),
    # The connection is closed by the endpoint while it is idle.
    "shed-closed": (503, NOT_EXECUTED),
}
BROKEN = ("reset", "closed", "half", "garbage", "silence")
NOT_RUN = {"shed", "shed-repeated", "421", "bare-shed", "shed-twice", "shed-closed"}
REPLIES = (*WITH_ID, *WITHOUT_ID, *BROKEN)


def encode(reply, request_id):
    status, fields = (WITH_ID | WITHOUT_ID)[reply]
    if reply in WITH_ID:
        fields += f"{ID_FIELD}: {request_id}\r\n"
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: 2\r\n\r\nab".encode()


@attrs.define
class Script:
    """The replies of endpoints, and how often each request may have run."""

    replies: list[str]
    held: list[bool]
    prefills: list[bool]
    may_have_run: dict[str, int] = attrs.Factory(dict)

    def next_reply(self):
        return self.replies.pop(0) if self.replies else "ok"

    def note(self, request_id, reply):
        ran = reply not in NOT_RUN
        self.may_have_run[request_id] = self.may_have_run.get(request_id, 0) + ran


# What connections are asked of the kernel: nothing has arrived that was not read.
_QUIET_SOCKET, _OTHER_SIDE = socket.socketpair()

_HOLDS = itertools.count(1)


class ScriptedConnection(asyncio.Transport):
    """A connection to a scripted endpoint."""

    def __init__(self, script):
        super().__init__({"socket": Mock(fileno=_QUIET_SOCKET.fileno)})
        self.connection = EndpointConnection(ID_FIELD)
        self.connection.connection_made(self)
        self._script = script
        self._closed = False
        self._late = self._repeated = b""

    def is_closing(self):
        return self._closed

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def abort(self):
        self._closed = True

    def write(self, data):
        late, self._late = self._late, b""
        asyncio.get_running_loop().call_soon(self._answer, data.decode(), late)

    def _answer(self, text, late):
        if late:
            self._feed(late)
        if "/saffronworks/" in text.split("\r\n")[0]:
            self._answer_control()
            return
        repeated, self._repeated = self._repeated, b""
        if repeated:
            self._feed(repeated)
        request_id = text.partition(f"{ID_FIELD}: ")[2].partition("\r\n")[0]
        if "Stage: prefill" in text:
            self._answer_prefill(request_id)
            return
        reply = self._script.next_reply()
        self._script.note(request_id, reply)
        # Nothing follows a late copy: the request runs, and its caller waits.
        if not late and not repeated:
            self._perform(reply, request_id)

    def _answer_control(self):
        if self._script.held and not self._script.held.pop(0):
            self._late = encode("bare-shed", "")
            self._feed(self._late)
            return
        body = b'{"hold":"h%d"}' % next(_HOLDS)
        self._feed(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _answer_prefill(self, request_id):
        if not self._script.prefills or not self._script.prefills.pop(0):
            self._feed(encode("500", request_id))
            return
        fields = f"{ID_FIELD}: {request_id}\r\nContent-Length: 17"
        self._feed(f'HTTP/1.1 200 X\r\n{fields}\r\n\r\n{{"kv_handle":"k"}}'.encode())

    def _perform(self, reply, request_id):
        match reply:
            case "reset":
                self.connection.connection_lost(ConnectionResetError())
            case "closed":
                self.connection.eof_received()
            case "half":
                self._feed(b"HTTP/1.1 503 X\r\nNot-Exec")
                self.connection.eof_received()
            case "silence":
                pass
            case "garbage":
                self._feed(b"garbage\r\n\r\n")
            case _:
                self._feed(encode(reply, request_id))
        if reply == "shed-twice":
            self._late = encode(reply, request_id)
        if reply == "shed-repeated":
            self._repeated = encode(reply, request_id)
        if reply == "shed-closed":
            asyncio.get_running_loop().call_later(0.001, self.connection.eof_received)

    def _feed(self, data):
        if not self._closed:
            self.connection.data_received(data)


def make_node(script, streams, count, connection_type=ScriptedConnection):
    directory, limits = Directory(), limits_of_one_node(monotonic_ms)
    found = endpoints(count, Role.DECODE if streams else None)
    if streams:
        found += endpoints(1, Role.PREFILL, "p")
    directory.replace(found, at(1), now_ms=0)
    eligibility = eligibility_of_one_node(directory, limits, monotonic_ms)
    calls = calls_of_one_node(eligibility, directory)

    async def connect(endpoint, timeout_ms):
        return connection_type(script).connection

    calls.pool._connect = connect
    return NodeState(
        zone="z",
        directory=directory,
        loads=LoadTable("z"),
        budget=wide_budget(),
        calls=calls,
        figures=Mock(),
        now_ms=monotonic_ms,
        spawn=Mock(),
        memory=Mock(own_address="n", ask=AsyncMock(return_value=None)),
        quarantine=Mock(blocks=lambda *_: False, admit=lambda _: Admission.ALLOWED),
        identities=Authenticator(lambda: True),
        quotas=Mock(admit=AsyncMock(return_value=NOT_COUNTED)),
        limits=limits,
        eligibility=eligibility,
    )


def simulate_requests(streams, replies, held, prefills, count, requests):
    """Return status and number of possible runs of each of `requests` unrepeatable requests.

    `held` and `prefills` tell which of these calls succeed; `count` endpoints run the requests.
    """
    script = Script(list(replies), list(held), list(prefills))

    async def ask(forwarder, request_id):
        caller = FakeCaller("POST")
        await caller.call.body(0)
        prompt = PROMPT if streams else None
        request = CallerRequest(
            request_id, "POST", "/a/1", "h", (), b"", monotonic_ms(), 900, prompt
        )
        await forwarder.handle(request, CallerConnectionReply(caller.call, closing=False))
        return caller.status, script.may_have_run.get(request_id, 0)

    async def main():
        forwarder = Forwarder(make_node(script, streams, count), 0)
        only = route(timeout_ms=TIMEOUT_MS, target_ms=20, max_attempts=1, streams=streams)
        service = Service("s", 9, ENGINE if streams else None)
        forwarder.apply_table(RoutingTable(1, (only,), {"s": service}))
        results = []
        for number in range(requests):
            results.append(await ask(forwarder, f"r{number}"))
            # Time for endpoints to close connections between requests.
            await anyio.sleep(0.002)
        return results

    return anyio.run(main)
