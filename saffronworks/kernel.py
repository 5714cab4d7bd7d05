"""The micro-kernel: services register by name, own a mailbox and talk by messages."""

import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import anyio
import attrs
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

__all__ = ["Kernel", "Mailbox", "Service", "ServiceHealth"]

logger = logging.getLogger(__name__)

MAILBOX_MESSAGES = 8192
# Delay before a failed service is restarted; doubled for each further failure in a row.
MIN_RESTART_PAUSE_MS = 100
MAX_RESTART_PAUSE_MS = 5000
# A service that has run for so long has recovered.
STEADY_MS = 10_000
# Failures in a row after which a service counts as failing.
MAX_FAILURES = 3

Mailbox = MemoryObjectReceiveStream[Any]


class Service(Protocol):
    """A named part of a node. `run` owns its sockets until it is cancelled.

    After a failure `run` is called again: it must reopen what it closes, and go on with the
    service's state. The mailbox and the subscriptions remain.
    """

    name: str

    async def run(self, kernel: "Kernel", mailbox: Mailbox) -> None:
        """Work until cancelled."""


@attrs.define
class ServiceHealth:
    """The failures of one service in a row; `started_ms` is None while it does not run."""

    failures: int = 0
    started_ms: int | None = None

    def record_start(self, now_ms: int) -> None:
        """Record that the service runs."""
        self.started_ms = now_ms

    def record_failure(self, now_ms: int) -> int:
        """Record that the service has failed; returns the pause before its restart in ms."""
        if self._is_steady(now_ms):
            self.failures = 0
        self.failures += 1
        self.started_ms = None
        pause_ms: int = MIN_RESTART_PAUSE_MS << min(self.failures - 1, 16)
        return min(pause_ms, MAX_RESTART_PAUSE_MS)

    def is_failing(self, now_ms: int) -> bool:
        """Return whether the service fails again and again."""
        return self.failures >= MAX_FAILURES and not self._is_steady(now_ms)

    def _is_steady(self, now_ms: int) -> bool:
        return self.started_ms is not None and now_ms - self.started_ms >= STEADY_MS


class Kernel:
    """Starts services in order of registration, carries messages and announces signals.

    A service that fails is restarted, and a message whose handler fails is dropped; neither ends
    another service or the node. `failures` and `dropped` count them by service.
    """

    def __init__(self, node: str, clock: Callable[[], int]):
        self.node = node
        self.now_ms = clock
        self._services: dict[str, Service] = {}
        self._outboxes: dict[str, MemoryObjectSendStream[Any]] = {}
        self._inboxes: dict[str, Mailbox] = {}
        self._subscribers: dict[type, list[str]] = {}
        self._health: dict[str, ServiceHealth] = {}
        self._tasks: TaskGroup | None = None
        self.failures: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()

    def register(self, service: Service, *kinds: type) -> None:
        """Add a service; messages of `kinds` that are announced reach its mailbox."""
        if service.name in self._services:
            raise ValueError(f"service {service.name!r} is registered twice")
        self._services[service.name] = service
        self._health[service.name] = ServiceHealth()
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
        self._tasks = tasks
        for name, service in self._services.items():
            tasks.start_soon(self._keep_running, service, name=f"{self.node}/{name}")

    def failing(self) -> list[str]:
        """Return the services that fail again and again."""
        now_ms = self.now_ms()
        return [name for name, health in self._health.items() if health.is_failing(now_ms)]

    async def dispatch(self, name: str, mailbox: Mailbox, handle: Callable[[Any], object]) -> None:
        """Pass each message of a service's mailbox to `handle`, until cancelled.

        A message whose handler raises is dropped, so that the service goes on with the others.
        """
        async for message in mailbox:
            try:
                handle(message)
            except Exception:
                self.drop(name, message)

    def attempt(self, name: str, step: Callable[..., object], *arguments: Any) -> None:
        """Run one step of a service's own loop; a step that raises is logged, counted and left out.

        A value that makes it raise is often the same at all nodes. If it failed the service, all
        nodes would become unready at once.
        """
        try:
            step(*arguments)
        except Exception:
            self.dropped[name] += 1
            logger.exception(
                "event=step_failed node=%s service=%s step=%s",
                self.node,
                name,
                getattr(step, "__name__", step),
            )

    def drop(self, name: str, message: object) -> None:
        """Log and count a message whose handler has raised; called from its `except`."""
        self.dropped[name] += 1
        kind = type(message).__name__
        logger.exception("event=message_failed node=%s service=%s kind=%s", self.node, name, kind)

    def spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Run a coroutine function in the background, also beyond a restart of its service.

        Its failure is logged and ends nothing else. No effect before `start`.
        """
        if self._tasks is not None:
            self._tasks.start_soon(self.run_once, function, *arguments)

    async def run_once(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any
    ) -> None:
        """Run a coroutine function; its failure is logged and ends nothing else."""
        try:
            await function(*arguments)
        except Exception:
            logger.exception("event=background_failed node=%s function=%r", self.node, function)

    async def _keep_running(self, service: Service) -> None:
        """Run a service, and again after each failure."""
        name, health = service.name, self._health[service.name]
        while True:
            health.record_start(self.now_ms())
            try:
                await service.run(self, self._inboxes[name])
                return
            except Exception:
                pause_ms = health.record_failure(self.now_ms())
                self.failures[name] += 1
                logger.exception(
                    "event=service_failed node=%s service=%s failures=%d pause_ms=%d",
                    self.node,
                    name,
                    health.failures,
                    pause_ms,
                )
            await anyio.sleep(pause_ms / 1000)
