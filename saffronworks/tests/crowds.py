"""Crowds of clients that keep to no limit, against one real process.

By hand: `python -m saffronworks.tests.crowds [KIND ...]`.
"""

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import anyio
import attrs
import fire
import yaml

from saffronworks.platform.node import METRICS_PATH, READINESS_PATH
from saffronworks.standins.addresses import free_address
from saffronworks.standins.sites import REGION, ZONES, Site, SiteShape
from saffronworks.tests.fake_store import FakeStore
from saffronworks.tests.platform_fakes import FakeServer, free_port_range, settings_text
from saffronworks.tests.platform_place import CONFIG, engines, make_route, web_servers

__all__ = ["KINDS", "Crowd", "Outcome", "play_crowd"]

# Bounds of every crowd. The smallest VM leaves a node some 40 MB beside what it needs at rest.
MAX_GROWTH_MB = 40
# `max_fds` of the nodes, and the descriptors of these that are kept for files.
MAX_DESCRIPTORS, FILE_DESCRIPTORS = 400, 200
MEMORY_MB = 128

START_LIMIT_S, ORDINARY_LIMIT_S, STOP_LIMIT_S = 30, 30, 30
POLL_S = 0.1
BLOCK_BYTES = 65_536
LARGE_ANSWER_BYTES = 2_000_000
IDS = "Host: h.example\r\nRequest-Id: {n}\r\nDeadline-Ms: 3000\r\n"


def _get(path, fields="", method="GET"):
    return f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode()


def _post(path, fields, body=b""):
    return _get(path, fields, "POST") + body


_CHUNKED = "Transfer-Encoding: chunked\r\n"
_WHOLE = IDS.format(n="ahead")
_LONG = _WHOLE.replace("3000", "3000000")
_FAT = _WHOLE + "".join(f"Extra-{n}: {'x' * 20}\r\n" for n in range(400))


@attrs.frozen
class Crowd:
    """What each client of a crowd sends: `first` once, then `unit` for as long as it can.

    `listener`: of the process; `reads`: whether its answers are read; `once`: units that are sent
    before it only waits.
    """

    unit: bytes = b""
    first: bytes = b""
    listener: str = "callers"
    reads: bool = False
    clients: int = 4
    for_s: float = 2.0
    once: int = 0
    closes: bool = False


# Descriptors and memory of a process that many clients only connect to.
MANY = 300

KINDS = {
    "ahead without headers, at a route": Crowd(_get("/again/x")),
    "ahead, at the path for readiness, callers' address": Crowd(_get(READINESS_PATH)),
    "ahead, at the path for readiness": Crowd(_get(READINESS_PATH), listener="probes"),
    "ahead, at the probes' address, other path": Crowd(_get("/x"), listener="probes"),
    "ahead, no route": Crowd(_get("/none/x", _WHOLE)),
    "ahead, no route, answers read": Crowd(_get("/none/x", _WHOLE), reads=True),
    "ahead, whole requests": Crowd(_get("/again/x", _WHOLE)),
    "ahead, requests with 400 fields": Crowd(_get("/again/x", _FAT)),
    "ahead, metrics": Crowd(_get(METRICS_PATH), listener="metrics"),
    "ahead, relays": Crowd(_get("/again/x"), listener="relays"),
    "ahead, awaiting 100 Continue": Crowd(
        _post("/none/x", "Expect: 100-continue\r\nContent-Length: 0\r\n")
    ),
    "ahead, small bodies in chunks": Crowd(_post("/none/x", _CHUNKED, b"1\r\na\r\n0\r\n\r\n")),
    "ahead, HTTP/1.0 kept alive": Crowd(b"GET /x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"),
    "ahead, HEAD": Crowd(_get("/none/x", _WHOLE, "HEAD")),
    "ahead, OPTIONS": Crowd(_get("/none/x", _WHOLE, "OPTIONS")),
    "ahead, behind a body that never comes": Crowd(
        _get("/x"), _post("/again/x", IDS.format(n="first") + "Content-Length: 90\r\n")
    ),
    "a head without end": Crowd(b"a: b\r\n", b"GET /x HTTP/1.1\r\n"),
    "a head of empty fields without end": Crowd(b"a:\r\n", b"GET /x HTTP/1.1\r\n"),
    "a target without end": Crowd(b"a" * 1000, b"GET /"),
    "empty lines without end": Crowd(b"\r\n"),
    "chunks of one byte without end": Crowd(
        b"1\r\na\r\n", _post("/again/x", IDS.format(n="chunks") + _CHUNKED)
    ),
    "a body without end where no route is": Crowd(
        b"1000\r\n" + b"a" * 4096 + b"\r\n", _post("/none/x", _WHOLE + _CHUNKED)
    ),
    "trailers without end": Crowd(b"a: b\r\n", _post("/none/x", _WHOLE + _CHUNKED, b"0\r\n")),
    "an upgrade, then bytes": Crowd(
        b"\0" * 1000, _get("/x", "Upgrade: websocket\r\nConnection: upgrade\r\n")
    ),
    "CONNECT, then bytes": Crowd(b"\0" * 1000, b"CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n"),
    "HTTP/2": Crowd(b"\0" * 9, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    "bytes that are no HTTP": Crowd(b"\x16\x03\x01\0" * 256),
    "many idle connections": Crowd(clients=MANY),
    "many idle connections to the probes' address": Crowd(clients=MANY, listener="probes"),
    "many idle connections to the metrics' address": Crowd(clients=MANY, listener="metrics"),
    "many idle connections to the relays' address": Crowd(clients=MANY, listener="relays"),
    "many idle connections to the peers' address": Crowd(clients=MANY, listener="peers"),
    "many heads that stop half way": Crowd(
        b"a:\r\n" * 3500, b"GET /again/x HTTP/1.1\r\n", clients=MANY, once=1
    ),
    "many heads that stop half way, probes' address": Crowd(
        b"a:\r\n" * 3500, b"GET / HTTP/1.1\r\n", listener="probes", clients=MANY, once=1
    ),
    "many heads that stop half way, relays' address": Crowd(
        b"a:\r\n" * 3500, b"GET / HTTP/1.1\r\n", listener="relays", clients=MANY, once=1
    ),
    "many requests with 3,500 fields": Crowd(
        _get("/again/x", _WHOLE + "a:\r\n" * 3500), clients=MANY, once=1
    ),
    "many requests with 3,500 fields and half a body": Crowd(
        _post("/again/x", _WHOLE + "a:\r\n" * 3500 + "Content-Length: 90\r\n"),
        clients=MANY,
        once=1,
    ),
    "many bodies that stop half way": Crowd(
        _post("/again/x", _LONG + "Content-Length: 90\r\n", b"a" * 45), clients=MANY, once=1
    ),
    "large answers unread": Crowd(_get("/large/x", _WHOLE), clients=MANY, once=1, for_s=4.0),
    "large answers unread, ahead": Crowd(_get("/large/x", _WHOLE), clients=40, for_s=4.0),
    "many clients, whole requests ahead": Crowd(_get("/again/x", _WHOLE), clients=MANY),
    "connections opened and closed at once": Crowd(_get("/none/x", _WHOLE), closes=True),
}

OWN_KINDS = {
    "own deployment: ahead, no route": Crowd(_get("/none")),
    "own deployment: ahead, a plain service": Crowd(_get("/profiles/1")),
    "own deployment: ahead, readiness": Crowd(_get("/readyz")),
    "own deployment: ahead, operators": Crowd(_get("/readyz"), listener="operators"),
    "own deployment: ahead, metrics": Crowd(_get("/metrics"), listener="operators"),
    "own deployment: many idle connections": Crowd(clients=MANY),
    "own deployment: many idle connections of operators": Crowd(clients=MANY, listener="operators"),
    "own deployment: many bodies that stop half way": Crowd(
        _post("/profiles/1", "Host: x\r\nContent-Length: 90\r\n", b"a" * 45),
        clients=MANY,
        once=1,
    ),
    "own deployment: many requests with 3,500 fields and half a body": Crowd(
        _post("/profiles/1", "Host: x\r\n" + "a:\r\n" * 3500 + "Content-Length: 90\r\n"),
        clients=MANY,
        once=1,
    ),
    "own deployment: many heads that stop half way": Crowd(
        b"a:\r\n" * 3500, b"GET /profiles/1 HTTP/1.1\r\n", clients=MANY, once=1
    ),
}


class LargeServer(FakeServer):
    """A server whose answers are large."""

    async def _plain(self, writer, own, body, fault):
        return await super()._plain(writer, own, bytes(LARGE_ANSWER_BYTES), fault)


@attrs.frozen
class Outcome:
    """What a crowd did to a process. `growth_mb`: of its peak resident memory."""

    lives: bool
    growth_mb: float
    descriptors: int
    answered: bool
    sent_mb: float
    log: str

    @property
    def holds(self):
        return self.lives and self.answered and not self.problems()

    def problems(self):
        """Return the bounds that were not kept."""
        found = []
        if self.growth_mb > MAX_GROWTH_MB:
            found.append(f"{self.growth_mb:.0f} MB more at its peak")
        if self.descriptors > MAX_DESCRIPTORS - FILE_DESCRIPTORS:
            found.append(f"{self.descriptors} sockets")
        return found

    def __str__(self):
        return (
            f"lives={self.lives} answered={self.answered} growth_mb={self.growth_mb:.1f} "
            f"sockets={self.descriptors} sent_mb={self.sent_mb:.1f}"
        )


class _Process:
    """A process, the addresses of its listeners, and an ordinary request to it."""

    def __init__(self, command, log, addresses, ordinary):
        self.log = Path(log)
        self.addresses, self.ordinary = addresses, ordinary
        with self.log.open("w") as output:
            self.process = subprocess.Popen(command, stdout=output, stderr=output)

    @property
    def lives(self):
        return self.process.poll() is None

    def memory_mb(self, field):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith(f"{field}:"))
        return int(line.split()[1]) / 1000

    def growth_mb(self, before_mb):
        return self.memory_mb("VmHWM") - before_mb if self.lives else float("inf")

    async def stop(self):
        """Return whether the process ends by itself after SIGTERM."""
        self.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_LIMIT_S):
                while self.lives:
                    await asyncio.sleep(POLL_S)
        return self.process.poll() == 0

    def sockets(self):
        """Return the number of open sockets and pipes."""
        folder, count = f"/proc/{self.process.pid}/fd", 0
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                count += os.readlink(f"{folder}/{name}").startswith(("socket:", "pipe:"))
        return count

    async def ask(self):
        """Return whether an ordinary request is answered; a closed connection is tried anew."""
        host, port = self.addresses["callers"].split(":")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ORDINARY_LIMIT_S):
                while self.lives:
                    with contextlib.suppress(OSError):
                        reader, writer = await asyncio.open_connection(host, int(port))
                        writer.write(self.ordinary)
                        answer = await reader.read()
                        writer.close()
                        if answer.startswith(b"HTTP/1.1 200"):
                            return True
                    await asyncio.sleep(POLL_S)
        return False

    def end(self):
        if self.lives:
            self.process.kill()
        self.process.wait()


@contextlib.asynccontextmanager
async def _platform_node(tasks, folder):
    store = FakeStore()
    servers = [*web_servers(2), *engines()]
    servers += [LargeServer(f"l{index}", "large") for index in range(2)]
    limits = {"max_body_bytes": 4_194_304, "max_header_bytes": 16_384}
    config = CONFIG | {"limits": limits | {"idle_timeout_ms": 15_000, "header_timeout_ms": 3000}}
    large = make_route("large", "/large/", "idempotent", "large", timeout_ms=10_000)
    config["routes"] = [*config["routes"], large]
    config["services"] = [*config["services"], {"name": "large", "max_conns": 400}]
    store.put("config", "main", config)
    for server in servers:
        store.put("servers", server.instance, server.entry())
    for service in (store, *servers):
        tasks.start_soon(service.run)
    callers, probes, metrics = free_address(), free_address(), free_address()
    peers, relays = (f"127.0.0.1:{port}" for port in free_port_range())
    addresses = {"callers": callers, "probes": probes, "metrics": metrics}
    limits = {"cpu_share": 1, "cores": 2, "memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
    ports = [int(address.rpartition(":")[2]) for address in (peers, relays)]
    listen = {"front": callers, "ready": probes}
    text = settings_text(store.address, listen=listen, port_range=ports, limits=limits)
    settings = Path(folder) / "node.yaml"
    settings.write_text(text)
    command = [sys.executable, "-m", "saffronworks.platform", f"--settings={settings}"]
    command.append(f"--metrics-port={metrics.rpartition(':')[2]}")
    addresses |= {"peers": peers, "relays": relays}
    ordinary = _get("/again/ordinary", IDS.format(n="ordinary") + "Connection: close\r\n")
    yield _Process(command, Path(folder) / "log", addresses, ordinary)


@contextlib.asynccontextmanager
async def _own_node(tasks, folder):
    site = Site(tasks, SiteShape(nodes=0))
    await site.start(sign_off=False)
    record = {"text": site.bundle_text(), "sign_off_id": "x", "signed_by": "t"}
    site.store.put("config/bundles/letters", json.dumps(record))
    callers, operators, peers = free_address(), free_address(), free_address()
    settings = {"name": "entry-1", "zone": ZONES[0], "region": REGION, "caller_address": callers}
    settings |= {"admin_address": operators, "peer_address": peers}
    settings |= {"store_address": site.store.address, "max_connections": 120}
    settings["drain_ms"] = 4000
    row = {"name": "entry-1", "address": peers, "zone": ZONES[0], "region": REGION}
    site.store.put("config/vms", json.dumps([row]))
    file = Path(folder) / "entry-1.yaml"
    file.write_text(yaml.safe_dump(settings))
    command = [sys.executable, "-m", "saffronworks.daemon", "--settings", str(file)]
    addresses = {"callers": callers, "operators": operators, "peers": peers}
    ordinary = _get("/profiles/17", "Host: x\r\nConnection: close\r\n")
    yield _Process(command, Path(folder) / "log", addresses, ordinary)


async def play_crowd(kind, stops=False):
    """Play one kind of crowd against a process of its own.

    With `stops` the process gets SIGTERM while the crowd is there, and `answered` is whether it
    ended by itself.
    """
    own = kind in OWN_KINDS
    crowd = OWN_KINDS[kind] if own else KINDS[kind]
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            start = _own_node if own else _platform_node
            async with start(tasks, folder) as process:
                try:
                    outcome = await _play(crowd, process, stops)
                finally:
                    process.end()
            tasks.cancel_scope.cancel()
    return outcome


async def _play(crowd, process, stops):
    with anyio.fail_after(START_LIMIT_S):
        assert await process.ask()
    before_mb = process.memory_mb("VmRSS")
    until_s = time.monotonic() + crowd.for_s
    release = asyncio.Event()
    address = process.addresses[crowd.listener]
    clients = [
        asyncio.create_task(_send(address, crowd, until_s, release)) for _ in range(crowd.clients)
    ]
    sockets = 0
    while process.lives and time.monotonic() < until_s:
        await asyncio.sleep(POLL_S)
        sockets = max(sockets, process.sockets()) if process.lives else sockets
    # The clients keep their connections open meanwhile.
    lives, growth_mb = process.lives, process.growth_mb(before_mb)
    answered = await (process.stop() if stops else process.ask())
    release.set()
    sent = await asyncio.gather(*clients)
    if not stops:
        answered = answered and await process.ask()
        lives, growth_mb = process.lives, process.growth_mb(before_mb)
    log = process.log.read_text()
    return Outcome(lives, growth_mb, sockets, answered, sum(sent) / 1e6, log)


async def _send(address, crowd, until_s, release):
    """Send as one client until then, and keep the connection; returns the bytes that were taken."""
    sent = 0
    while True:
        taken, sock = await _send_once(address, crowd, until_s)
        sent += taken
        if not crowd.closes or time.monotonic() >= until_s:
            await release.wait()
            sock.close()
            return sent
        sock.close()


async def _send_once(address, crowd, until_s):
    loop, host_port = asyncio.get_running_loop(), address.split(":")
    sock = socket.socket()
    sock.setblocking(False)
    if not crowd.reads:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sent = 0
    units = crowd.once or max(1, BLOCK_BYTES // max(1, len(crowd.unit)))
    block = crowd.first + crowd.unit * (1 if crowd.closes else units)
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(max(0.1, until_s - time.monotonic())):
            await loop.sock_connect(sock, (host_port[0], int(host_port[1])))
            while block:
                sent += await _send_block(sock, block, crowd.reads)
                block = b"" if crowd.once or crowd.closes else crowd.unit * units
    return sent, sock


async def _send_block(sock, block, reads):
    at = 0
    while at < len(block):
        if reads:
            with contextlib.suppress(BlockingIOError):
                while sock.recv(262_144):
                    pass
        try:
            at += sock.send(block[at:])
        except BlockingIOError:
            await asyncio.sleep(0.002)
        await asyncio.sleep(0)
    return len(block)


def main(*kinds: str, stops: bool = False) -> None:
    """Play crowds one after the other, all kinds by default; with `stops` until SIGTERM."""
    # The store's waiting calls end with the play; uvicorn reports each of them.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    for kind in kinds or (*KINDS, *OWN_KINDS):
        outcome = anyio.run(play_crowd, kind, stops)
        verdict = "holds" if outcome.holds else "FAILS"
        print(f"{verdict}: {kind}: {outcome}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
