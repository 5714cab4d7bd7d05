"""Whether the process of a silent endpoint goes on, asked once for all requests that wait."""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import Protocol

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import PROCESS_CHECK_VALID_MS

__all__ = ["ProcessChecks", "ProcessState"]

logger = logging.getLogger(__name__)


class ProcessState(enum.StrEnum):
    """State of an endpoint's process, as a new connection from this node shows it."""

    # It reacts, or has just ended: it is done with an exchange as soon as that is closed.
    RUNS = "runs"
    # It accepts connections and answers nothing. When it is resumed, it goes on with its work
    # until it notices which exchanges were closed.
    SUSPENDED = "suspended"
    # It accepts no connections, or this node doesn't reach it.
    UNREACHABLE = "unreachable"


class _Calls(Protocol):
    async def probe_process(self, endpoint: ServiceEndpoint) -> ProcessState:
        """Check an endpoint once; never raises ExchangeError."""


@attrs.define
class ProcessChecks:
    """Checks of endpoints, one at a time of each; a result holds for `PROCESS_CHECK_VALID_MS`."""

    calls: _Calls
    now_ms: Callable[[], int]
    _running: dict[StartId, asyncio.Task[ProcessState]] = attrs.Factory(dict)
    _found: dict[StartId, tuple[ProcessState, int]] = attrs.Factory(dict)

    def find(self, endpoint: ServiceEndpoint) -> ProcessState | None:
        """Return the state by a recent check; begins a check if there was none."""
        found = self._found.get(endpoint.instance)
        if found is not None and self.now_ms() < found[1]:
            return found[0]
        self._start(endpoint)
        return None

    async def check(self, endpoint: ServiceEndpoint) -> ProcessState:
        """Return the state by a recent check or a new one."""
        found = self.find(endpoint)
        return await asyncio.shield(self._start(endpoint)) if found is None else found

    def _start(self, endpoint: ServiceEndpoint) -> asyncio.Task[ProcessState]:
        task = self._running.get(endpoint.instance)
        if task is None:
            task = self._running[endpoint.instance] = asyncio.create_task(self._probe(endpoint))
        return task

    async def _probe(self, endpoint: ServiceEndpoint) -> ProcessState:
        began_ms = self.now_ms()
        try:
            state, now_ms = await self.calls.probe_process(endpoint), self.now_ms()
        finally:
            del self._running[endpoint.instance]
        logger.info(
            "event=process_checked endpoint=%s state=%s took_ms=%d",
            endpoint.instance,
            state.value,
            now_ms - began_ms,
        )
        self._found = {name: one for name, one in self._found.items() if now_ms < one[1]}
        self._found[endpoint.instance] = state, now_ms + PROCESS_CHECK_VALID_MS
        return state
