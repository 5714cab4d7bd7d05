"""Who answers at the address of an endpoint, asked once for all that wait."""

import asyncio
import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.starts import StartId

__all__ = ["AddressAnswer", "Identification", "IdentityChecks"]


class AddressAnswer(enum.StrEnum):
    """What the address of an endpoint replies to a check of its identity."""

    # The endpoint of this name answered. A later start of it may bear the same name.
    SAME_NAME = "same-name"
    OTHER_NAME = "other-name"
    # It accepts connections; who listens there is unknown.
    LISTENS = "listens"
    REFUSES = "refuses"
    SILENT = "silent"


@attrs.frozen
class Identification:
    """A reply; `connected_ms` is when its connection was opened, None through another node.

    A reply over a connection that is older than an event shows that the process outlived it.
    """

    answer: AddressAnswer
    connected_ms: int | None = None


@attrs.frozen
class _Check:
    task: asyncio.Task[Identification]
    began_ms: int


class _Calls(Protocol):
    async def identify(self, endpoint: ServiceEndpoint) -> Identification:
        """Check an identity once."""


class IdentityChecks:
    """Checks identities, one check of an endpoint at a time."""

    def __init__(
        self,
        calls: _Calls,
        now_ms: Callable[[], int],
    ):
        self._calls = calls
        self._now_ms = now_ms
        self._checks: dict[StartId, _Check] = {}

    async def identify(self, endpoint: ServiceEndpoint) -> Identification:
        """Return the reply to a check that begins now or later, shared with others who wait.

        Another name in the reply to an earlier check ends the wait: it doesn't come back.
        """
        asked_ms = self._now_ms()
        while True:
            check = self._checks.get(endpoint.instance)
            # A task that is done stays in the table until its callback has run.
            if check is None or check.task.done():
                check = self._start(endpoint)
            found = await asyncio.shield(check.task)
            if check.began_ms >= asked_ms or found.answer is AddressAnswer.OTHER_NAME:
                return found

    def _start(self, endpoint: ServiceEndpoint) -> _Check:
        task = asyncio.create_task(self._calls.identify(endpoint))
        check = self._checks[endpoint.instance] = _Check(task, self._now_ms())
        task.add_done_callback(lambda _: self._end(endpoint, check))
        return check

    def _end(self, endpoint: ServiceEndpoint, check: _Check) -> None:
        if self._checks.get(endpoint.instance) is check:
            del self._checks[endpoint.instance]
