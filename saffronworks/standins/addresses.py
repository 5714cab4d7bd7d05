"""Loopback addresses for stand-ins, so that runs side by side on one machine don't meet."""

import functools
import os
import socket
from collections.abc import Iterator

from saffronworks.web import bind

__all__ = ["free_address", "free_ports"]

# Below the ports that the kernel gives to outgoing connections and to port 0.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 100
BLOCKS = 200

_guards: list[socket.socket] = []


def free_address() -> str:
    """A loopback address that nobody listens on; each comes once in this process."""
    while True:
        address = f"127.0.0.1:{next(_ports_of(os.getpid()))}"
        try:
            bind(address).close()
        except OSError:
            continue
        return address


@functools.cache
def _ports_of(process: int) -> Iterator[int]:
    """A process that was forked off has blocks of its own."""
    return free_ports(process)


def free_ports(first_block: int) -> Iterator[int]:
    """Ports of blocks that no other process has.

    Who listens on a block's first port has the block, for as long as it lives. Ranges by process
    number alone overlapped: of three soaks side by side one could not start its nodes, as the ports
    that it had drawn were listened on by the next one before they were.
    """
    for number in range(first_block, first_block + BLOCKS):
        guard_port = FIRST_PORT + number % BLOCKS * PORTS_PER_BLOCK
        try:
            _guards.append(bind(f"127.0.0.1:{guard_port}"))
        except OSError:
            continue
        yield from range(guard_port + 1, guard_port + PORTS_PER_BLOCK)
    raise OSError(f"all {BLOCKS} blocks of ports are taken")
