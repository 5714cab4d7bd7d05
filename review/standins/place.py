"""A small deployment on loopback: a store, servers and nodes, all started by this process."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import IO, Any

from store import Store
from wire import Answer, ClientConnection, call

ROOT = Path(__file__).resolve().parents[2]
SERVER = Path(__file__).resolve().parent / "server.py"
# What the pages' example of a node's settings states.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "recovery_s": 12,
    "transit_ms": 120,
    "retry_after_s": 3.3,
    "fencing_enforced": False,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
}
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "split",
    "stream",
    "engine",
    "platform",
]
ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 89659,
    "kv_bytes": 18432,
    "link_mbps": 1000000.0,
    "stride": 1,
    "handle_ttl_s": 5.0,
    "switch_s": 6.0,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "models": [{"name": "m"}],
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


BLOCK_PORTS = 200


def _claim_block() -> tuple[socket.socket, int]:
    """Bind the first port of a block of ports, so that no other run takes ports of it.

    It lies below the ports that the system gives to outgoing connections.
    """
    while True:
        guard, first = socket.socket(), random.randrange(15_000, 31_800, BLOCK_PORTS)
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        return guard, first


_guard, _last_port = _claim_block()


def free_range(count: int) -> list[int]:
    """Return the first and the last of `count` successive free ports of the loopback address."""
    global _last_port
    while True:
        first = _last_port + 1
        _last_port += count
        if all(_is_free(port) for port in range(first, first + count)):
            return [first, first + count - 1]


def free_ports(count: int) -> list[int]:
    """Return different free ports of the loopback address."""
    return [free_range(1)[0] for _ in range(count)]


def _is_free(port: int) -> bool:
    with socket.socket() as each:
        try:
            each.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def route(name: str, prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the host `h.example`."""
    fields = {"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind}
    fields |= {"service": service, "timeout_ms": 14000, "target_latency_ms": 900}
    fields |= {"priority": 1, "max_attempts": 1}
    return fields | changes


class Place:
    """The processes of one run, and its record."""

    def __init__(self, folder: Path):
        self.record: IO[str] = (folder / "record.txt").open("w", encoding="utf-8")
        self.store = Store()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.callers: dict[str, str] = {}
        self._probes: dict[str, str] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._began_s = time.monotonic()

    def note(self, what: str, **fields: Any) -> None:
        """Write one line of the record."""
        at_s = time.monotonic() - self._began_s
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{at_s:8.3f} {what} {values}\n")
        self.record.flush()

    async def start_store(self) -> None:
        """Start the store, with a port for the servers."""
        self.store.start()
        self._servers_store = await self.store.listen("servers", free_ports(1)[0])

    def start_server(self, name: str, service: str, *options: str, address: str = "") -> str:
        """Start a server process; returns its address."""
        address = address or f"127.0.0.1:{free_ports(1)[0]}"
        command = [sys.executable, str(SERVER), f"--name={name}", f"--service={service}"]
        command += [f"--address={address}", f"--store={self._servers_store}", *options]
        self._start(name, command, {})
        return address

    async def start_node(self, name: str, zone: str = "z1", first_start: bool = True) -> None:
        """Start a node with the command of the deploy file."""
        store_address = await self.store.listen(name, free_ports(1)[0])
        callers, probes, metrics = free_ports(3)
        self.callers[name] = f"127.0.0.1:{callers}"
        self._probes[name] = f"127.0.0.1:{probes}"
        settings = {
            "node_name": name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {"front": self.callers[name], "ready": self._probes[name]},
            "port_range": free_range(2),
            "first_start": first_start,
            "loss_counts": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100},
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "platform": {
                "address": store_address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        file = self.folder / f"{name}.yaml"
        file.write_text(json.dumps(settings), encoding="utf-8")
        self.node_files = {**getattr(self, "node_files", {}), name: (file, metrics)}
        self.run_node(name)

    def run_node(self, name: str) -> None:
        """Start the process of a node, for the first time or again."""
        file, metrics = self.node_files[name]
        command = ["python3", "-S", "deploy/start.py", f"--metrics-port={metrics}"]
        self._start(name, command, {"SAFFRONWORKS_NODE_FILE": str(file)})

    def _start(self, name: str, command: list[str], variables: dict[str, str]) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        # The platform puts target/deps on Python's path.
        kept |= {"PYTHONPATH": str(ROOT / "target" / "deps")} | variables
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, cwd=ROOT, env=kept, stdout=log, stderr=log)
        self.processes[name] = process
        self.note("started", process=name)

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process, None while it runs."""
        return self.processes[name].poll()

    def send(self, name: str, number: int) -> None:
        """Send a signal to a process that this one started."""
        self.note("signal", process=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    async def ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all nodes answer that they are ready."""
        until_s = time.monotonic() + limit_s
        for name, address in self._probes.items():
            while not await self.is_ready(address):
                if time.monotonic() > until_s:
                    self.note("not_ready", node=name)
                    return False
                await asyncio.sleep(0.1)
        return True

    async def is_ready(self, address: str) -> bool:
        """Ask a node whether it is ready."""
        answer = await call(address, "GET", "/saffronworks/readiness", {"Host": "x"}, b"", 1.0)
        return answer.status == 200

    async def ask(
        self,
        node: str,
        path: str,
        request_id: str,
        fields: dict[str, str] | None = None,
        body: bytes = b"",
        limit_s: float = 14.0,
        method: str = "POST",
    ) -> Answer:
        """Send one request of a client to a node, and record both."""
        named = {"Host": "h.example", "Request-Id": request_id}
        named |= {"Deadline-Ms": str(int(limit_s * 1000))}
        self.note("sent", request=request_id, node=node, path=path)
        answer = await call(
            self.callers[node], method, path, named | (fields or {}), body, limit_s + 1.0
        )
        self.note(
            "answered",
            request=request_id,
            status=answer.status,
            stamp=answer.headers.get("server-stamp"),
            body_bytes=len(answer.body),
            whole=answer.whole,
        )
        return answer

    async def ask_on(
        self, connection: ClientConnection, path: str, request_id: str, limit_s: float = 14.0
    ) -> Answer:
        """Send one request on a kept connection, and record both."""
        fields = {"Host": "h.example", "Request-Id": request_id}
        fields |= {"Deadline-Ms": str(int(limit_s * 1000))}
        self.note("sent", request=request_id, path=path)
        answer = await connection.ask("POST", path, fields, b"", limit_s + 1.0)
        self.note("answered", request=request_id, status=answer.status, whole=answer.whole)
        return answer

    def server_log(self, name: str) -> list[dict[str, Any]]:
        """Return what a server has logged."""
        lines = (self.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def node_log(self, name: str, *words: str) -> list[str]:
        """Return the lines of a node's log that have one of these words."""
        lines = (self.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()
        return [line for line in lines if any(word in line for word in words)]

    def stop(self) -> None:
        """End all processes, and add what they logged to the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in self.processes:
            for entry in self.server_log(name):
                if entry["event"] == "runs":
                    self.note("ran", server=name, request=entry["request"])
        self.record.close()
        self._temporary.cleanup()


def run_case(folder: Path, play: Callable[[Place], Awaitable[int]], limit_s: float = 110) -> None:
    """Run a case, write its record into its folder, and exit with its result."""

    async def run() -> int:
        try:
            return await asyncio.wait_for(play(place), limit_s)
        finally:
            # Calls that are cut off at the end are no finding.
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)

    place = Place(folder)
    try:
        result = asyncio.run(run())
    except TimeoutError:
        place.note("timeout")
        result = 2
    finally:
        place.stop()
    print(f"result {result}")
    sys.exit(result)
