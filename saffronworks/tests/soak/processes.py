"""One node of a soak: the real program as a process of its own, which signals strike."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio

from saffronworks.standins.addresses import free_address
from saffronworks.tests.platform_fakes import BOUNDS, fetch, free_port_range, settings_text
from saffronworks.tests.soak.organisations import QUOTA_BOUNDS
from saffronworks.tests.soak.path_proxies import path_host

__all__ = ["GRACE_S", "RETRY_SLACK", "NodeProcess"]

GRACE_S = 8
POLL_S = 0.05
# Repeats that all nodes together may add in a window, beside a share of the requests.
RETRY_SLACK = 40


class NodeProcess:
    """A node with its settings file and log file; only its own process is ever signalled."""

    def __init__(self, number, store_address, folder):
        self.number = number
        self.caller_address = free_address()
        self.probe_address = free_address()
        self.log = Path(folder) / f"node-{number}.log"
        self._settings = Path(folder) / f"node-{number}.yaml"
        text = settings_text(
            store_address,
            node_name=f"node-{number}",
            zone=f"z{number % 2}",
            listen={"front": self.caller_address, "ready": self.probe_address},
            port_range=free_port_range(),
            bounds=BOUNDS | QUOTA_BOUNDS | {"retry_slack": RETRY_SLACK},
        )
        self._settings.write_text(text)
        self._process = None
        # What is recorded of the first SIGTERM to this process.
        self.terminated = None

    @property
    def alive(self):
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start the process, unless an overlapping fault has done so already."""
        if self.alive:
            return
        if self._process is not None:
            text = self._settings.read_text()
            self._settings.write_text(text.replace('"first_start": true', '"first_start": false'))
        command = [sys.executable, "-m", "saffronworks.tests.soak.node_main"]
        command += [path_host(self.number)]
        command += [f"--settings={self._settings}", "--metrics-port=0"]
        with self.log.open("a") as log:
            self.terminated = None
            self._process = subprocess.Popen(command, stdout=log, stderr=log)

    def send(self, number):
        if self.alive:
            self._process.send_signal(number)

    def end_now(self):
        """End the process whatever state it is in, and reap it."""
        if self._process is not None:
            self.send(signal.SIGKILL)
            self._process.wait()

    async def stop(self, limit_s):
        """Stop the process as planned; whether it ended by itself within the limit.

        An overlapping fault may kill it meanwhile, and start another one.
        """
        stopped = self._process
        self.send(signal.SIGTERM)
        with anyio.move_on_after(limit_s):
            while stopped.poll() is None:
                await anyio.sleep(POLL_S)
        return stopped.poll() is not None

    @property
    def process(self):
        return self._process

    def waited_ms(self):
        """Return how long the main thread was ready to run and had no processor, in all."""
        try:
            _, waited_ns, _ = Path(f"/proc/{self._process.pid}/schedstat").read_text().split()
        except (OSError, ValueError):
            return 0.0
        return int(waited_ns) / 1e6

    def memory_kb(self):
        """Return the resident memory of the process; 0 when it has ended."""
        status = Path(f"/proc/{self._process.pid}/status").read_text() if self.alive else ""
        sizes = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0]) if sizes else 0

    async def ready(self):
        try:
            raw = await fetch(
                self.probe_address, "GET", "/saffronworks/readiness", {"Host": "x"}, b"", 1.0
            )
        except OSError:
            return False
        return raw.startswith(b"HTTP/1.1 200")
