"""The micro-kernel: services register by name, own a mailbox and talk by messages."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

__all__ = ["Kernel", "Mailbox", "Service"]

logger = logging.getLogger(__name__)

MAILBOX_MESSAGES = 8192

Mailbox = MemoryObjectReceiveStream[Any]


class Service(Protocol):
    """A named part of a node. `run` owns its sockets and state until it is cancelled."""

    name: str

    async def run(self, kernel: "Kernel", mailbox: Mailbox) -> None:
        """Work until cancelled."""


class Kernel:
    """Starts services in order of registration, carries messages and announces signals."""

    def __init__(self, node: str, clock: Callable[[], int]):
        self.node = node
        self.now_ms = clock
        self._services: dict[str, Service] = {}
        self._outboxes: dict[str, MemoryObjectSendStream[Any]] = {}
        self._inboxes: dict[str, Mailbox] = {}
        self._subscribers: dict[type, list[str]] = {}

    def register(self, service: Service, *kinds: type) -> None:
        """Add a service; messages of `kinds` that are announced reach its mailbox."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        outbox, inbox = anyio.create_memory_object_stream[Any](MAILBOX_MESSAGES)
        self._outboxes[service.name], self._inboxes[service.name] = outbox, inbox
        for kind in kinds:
            self._subscribers.setdefault(kind, []).append(service.name)

    def find(self, name: str) -> Any:
        """The service of that name; KeyError when there is none."""
        return self._services[name]

    def post(self, name: str, message: object) -> bool:
        """Put a message into a mailbox without waiting; False, and a log line, when full."""
        try:
            self._outboxes[name].send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError, anyio.ClosedResourceError):
            logger.warning("event=mailbox_full node=%s service=%s", self.node, name)
            return False
        return True

    def announce(self, message: object) -> None:
        """Post a message to every service that subscribed to its type."""
        for name in self._subscribers.get(type(message), ()):
            self.post(name, message)

    def start(self, tasks: TaskGroup) -> None:
        """Run every service as a task of the group."""
        for name, service in self._services.items():
            tasks.start_soon(service.run, self, self._inboxes[name], name=f"{self.node}/{name}")
