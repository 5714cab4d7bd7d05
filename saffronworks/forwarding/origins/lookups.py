"""Lookups of streams' origins at the nodes that hold their records."""

import itertools
import secrets
from collections.abc import Callable

import anyio
import attrs

from saffronworks.clocks import extend_for_lag
from saffronworks.forwarding.origins.decisions import is_settled
from saffronworks.forwarding.origins.messages import OriginAnswer, OriginLookup
from saffronworks.forwarding.origins.records import StreamKey
from saffronworks.forwarding.origins.tuning import (
    LOOKUP_RETRY_MS,
    LOOKUP_TIMEOUT_MS,
    LOOKUPS,
    READ_TIMEOUT_MS,
)

__all__ = ["HolderLookups"]


@attrs.define
class _Pending:
    """A lookup that waits for the answers of `awaited` nodes."""

    awaited: int
    answers: list[OriginAnswer] = attrs.Factory(list)
    done: anyio.Event = attrs.Factory(anyio.Event)


class HolderLookups:
    """The lookups of one node that wait for answers."""

    def __init__(self, own_address: str, send: Callable[[str, OriginLookup], None]):
        self._own_address = own_address
        self._send = send
        # Ids must not repeat those from before a restart of this node.
        self._incarnation, self._numbers = secrets.token_hex(4), itertools.count()
        self._pending: dict[str, _Pending] = {}

    async def find_record(
        self, holders: list[str], key: StreamKey, route: str, window_ms: int
    ) -> list[OriginAnswer]:
        """Ask holders several times until one has the record; return all answers."""
        answers: list[OriginAnswer] = []
        for number in range(LOOKUPS if holders else 0):
            if number:
                await anyio.sleep(LOOKUP_RETRY_MS / 1000)
            lookup = OriginLookup(self._next_id(), self._own_address, key, route, window_ms)
            answers += await self._ask(holders, lookup, LOOKUP_TIMEOUT_MS)
            if is_settled(answers):
                break
        return answers

    async def read_latest(
        self, holders: list[str], key: StreamKey, route: str, window_ms: int
    ) -> list[OriginAnswer]:
        """Ask holders once for what the store shows now; return the answers up to a useful one."""
        if not holders:
            return []
        lookup = OriginLookup(
            self._next_id(), self._own_address, key, route, window_ms, latest=True
        )
        return await self._ask(holders, lookup, LOOKUP_TIMEOUT_MS + READ_TIMEOUT_MS)

    def _next_id(self) -> str:
        return f"{self._incarnation}-{next(self._numbers):x}"

    async def _ask(
        self, holders: list[str], lookup: OriginLookup, timeout_ms: int
    ) -> list[OriginAnswer]:
        lookup_id = lookup.lookup_id
        pending = self._pending[lookup_id] = _Pending(len(holders))
        try:
            for holder in holders:
                self._send(holder, lookup)
            with anyio.move_on_after(extend_for_lag(timeout_ms) / 1000):
                await pending.done.wait()
            return pending.answers
        finally:
            del self._pending[lookup_id]

    def handle_answer(self, answer: OriginAnswer) -> None:
        """Hand an answer to the lookup that waits for it."""
        pending = self._pending.get(answer.lookup_id)
        if pending is None:
            return
        pending.answers.append(answer)
        enough = is_settled([answer]) or answer.names_all_candidates
        if enough or len(pending.answers) >= pending.awaited:
            pending.done.set()
