"""The cancel service: repeats each cancel until the engine acknowledges, or is gone."""

import logging

import anyio
import attrs
from result import Err

from saffronworks.engines import EngineClient
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.messages import RequestKey

__all__ = ["CancelDone", "CancelOrder", "CancelService"]

logger = logging.getLogger(__name__)

MOST_TRIES = 20
AGAIN_S = 0.3


@attrs.frozen
class CancelOrder:
    """Cancel an attempt at an endpoint; `cell` is told the result when it is given."""

    endpoint: str
    address: str
    key: RequestKey
    cell: str = ""


@attrs.frozen
class CancelDone:
    """The engine holds nothing of the attempt; `gone`: nobody listens there."""

    endpoint: str
    key: RequestKey
    cell: str
    gone: bool


class CancelService:
    """Owns the cancels under way on this node."""

    name = "cancels"

    def __init__(self, engines: EngineClient):
        self._engines = engines
        self._running: set[tuple[str, RequestKey]] = set()

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Start a task for each order, one at a time for the same attempt."""
        await kernel.dispatch(self.name, mailbox, lambda order: self._start(kernel, order))

    def _start(self, kernel: Kernel, order: CancelOrder) -> None:
        if (order.address, order.key) not in self._running:
            self._running.add((order.address, order.key))
            kernel.spawn(self._cancel, kernel, order)

    async def _cancel(self, kernel: Kernel, order: CancelOrder) -> None:
        try:
            for _ in range(MOST_TRIES):
                reply = await self._engines.cancel(order.address, order.key)
                gone = isinstance(reply, Err) and reply.err_value.kind == "connect"
                if reply.is_ok() or gone:
                    kernel.announce(CancelDone(order.endpoint, order.key, order.cell, gone))
                    return
                await anyio.sleep(AGAIN_S)
            logger.warning("event=cancel_given_up node=%s key=%s", kernel.node, order.key)
        finally:
            self._running.discard((order.address, order.key))
