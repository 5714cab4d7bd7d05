"""Reads that concurrent callers share, each no older than its callers' requests."""

from collections.abc import Awaitable, Callable

import anyio

__all__ = ["SharedRead"]


class SharedRead:
    """Shares a read among the callers that asked before it began.

    A read that was under way when a caller asked may have been answered before that, so the caller
    waits for the next one. `read` returns whether it succeeded.
    """

    def __init__(self, read: Callable[[], Awaitable[bool]]):
        self._read = read
        self._lock = anyio.Lock()
        self._begun = 0
        # None while a read is under way, and if it was cancelled.
        self._succeeded: bool | None = None

    async def run(self) -> bool:
        """Return whether a read that began after this call succeeded."""
        begun_before = self._begun
        async with self._lock:
            if self._begun == begun_before or self._succeeded is None:
                self._begun += 1
                self._succeeded = None
                self._succeeded = await self._read()
            return self._succeeded
