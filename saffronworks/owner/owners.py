"""The owner service: runs the schedulers of the cells that this node owns, and polls engines."""

import logging
from functools import partial

import anyio
import attrs
from result import Err, Ok

from saffronworks.bundles import Endpoint, Role, read_bundle
from saffronworks.cancels import CancelDone, CancelOrder
from saffronworks.documents import InForce
from saffronworks.engines import EngineClient, Order
from saffronworks.fences import FenceKeeper
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.members import VMS_KEY, MemberService, read_vms
from saffronworks.membership import MemberChanged
from saffronworks.messages import Ask, HeldList, LeaseRenewal, Prefilled, Release, RequestKey
from saffronworks.owner import cell_events, cells
from saffronworks.owner.cells import CellState
from saffronworks.owner.ledgers import EndpointLedger
from saffronworks.ownership import Cell, split_bundle
from saffronworks.settings import Settings
from saffronworks.signoffs import read_record
from saffronworks.stores import CONFIG_PREFIX

__all__ = ["BUNDLE_PREFIX", "OwnerService", "read_cells"]

logger = logging.getLogger(__name__)

BUNDLE_PREFIX = f"{CONFIG_PREFIX}bundles/"
TICK_S = 0.02
IDLE_TICK_S = 0.25
FENCE_REFUSED = 412


@attrs.frozen
class _EndpointEvent:
    """An event from an engine or the store, addressed to the scheduler of a cell."""

    cell: str
    event: cell_events.Event


@attrs.frozen
class _TickAll:
    """A timer event for every cell."""


def read_cells(change: InForce) -> list[Cell]:
    """Returns the cells of a bundle document, or an empty list when it cannot be read."""
    document = change.document
    record = read_record(document.content)
    if isinstance(record, Err):
        logger.error("event=bad_bundle key=%s problem=%r", document.key, record.err_value)
        return []
    bundle = read_bundle(record.ok_value.text, document.key, document.version)
    if isinstance(bundle, Err):
        logger.error("event=bad_bundle key=%s findings=%d", document.key, len(bundle.err_value))
        return []
    return split_bundle(bundle.ok_value)


class OwnerService:
    """Runs the schedulers of the cells that this node owns.

    `states` has the state of each owned cell, `known` all cells in force, both by cell name.
    """

    name = "owner"

    def __init__(self, settings: Settings, engines: EngineClient, fences: FenceKeeper):
        self.states: dict[str, CellState] = {}
        self.known: dict[str, Cell] = {}
        self._settings = settings
        self._engines = engines
        self._fences = fences
        self._leaving: frozenset[str] = frozenset()
        self._pollers: dict[str, anyio.CancelScope] = {}

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Passes messages and ticks to the schedulers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            await kernel.dispatch(self.name, mailbox, lambda message: self._take(kernel, message))

    async def _tick(self, kernel: Kernel) -> None:
        while True:
            kernel.post(self.name, _TickAll())
            busy = any(state.queue.items or state.held for state in self.states.values())
            await anyio.sleep(TICK_S if busy else IDLE_TICK_S)

    def _take(self, kernel: Kernel, message: object) -> None:
        match message:
            case Ask() | Prefilled() | Release() | LeaseRenewal() | HeldList():
                self._step(kernel, message.cell, message)
            case _EndpointEvent():
                self._step(kernel, message.cell, message.event)
            case CancelDone() if message.cell:
                self._note_cancel(kernel, message)
            case _TickAll():
                for name in list(self.states):
                    self._step(kernel, name, cell_events.Tick())
            case InForce():
                self._take_document(kernel, message)
            case MemberChanged():
                self._update_owned_cells(kernel)

    def _note_cancel(self, kernel: Kernel, done: CancelDone) -> None:
        if done.gone:
            self._step(kernel, done.cell, cell_events.EndpointGone(done.endpoint))
        else:
            self._step(kernel, done.cell, cell_events.CancelAcknowledged(done.endpoint, done.key))

    def _take_document(self, kernel: Kernel, change: InForce) -> None:
        key = change.document.key
        if key == VMS_KEY:
            vms = read_vms(change.document.content)
            self._leaving = frozenset(vm.name for vm in vms if vm.endpoint and vm.leaving)
            for name in list(self.states):
                self._step(kernel, name, cell_events.EndpointsLeaving(self._leaving))
        elif key.startswith(BUNDLE_PREFIX):
            found = {cell.name: cell for cell in read_cells(change)}
            prefix = key.removeprefix(BUNDLE_PREFIX) + "/"
            for name in [name for name in self.known if name.startswith(prefix)]:
                if name not in found:
                    del self.known[name]
            self.known.update(found)
            for name in found.keys() & self.states.keys():
                self._step(kernel, name, cell_events.CellChanged(found[name]))
            self._update_owned_cells(kernel)

    def _update_owned_cells(self, kernel: Kernel) -> None:
        """Starts the schedulers of newly owned cells, and stops those of cells no longer owned."""
        members: MemberService = kernel.find("members")
        for name, cell in self.known.items():
            mine = members.owner_of(name) == kernel.node
            if mine and name not in self.states:
                self._acquire_cell(kernel, cell)
            elif not mine and name in self.states:
                self._release_cell(kernel, name)
        for name in [name for name in self.states if name not in self.known]:
            self._release_cell(kernel, name)

    def _acquire_cell(self, kernel: Kernel, cell: Cell) -> None:
        rebuild_ms = self._settings.heartbeat_ms + 100
        state = cells.new_cell(
            cell, kernel.node, self._settings.lease_ms, rebuild_ms, kernel.now_ms()
        )
        self.states[cell.name] = state
        self._step(kernel, cell.name, cell_events.EndpointsLeaving(self._leaving))
        scope = anyio.CancelScope()
        self._pollers[cell.name] = scope
        kernel.spawn(self._poll, kernel, cell.name, scope)
        logger.info("event=cell_acquired node=%s cell=%s", kernel.node, cell.name)

    def _release_cell(self, kernel: Kernel, name: str) -> None:
        del self.states[name]
        self._pollers.pop(name).cancel()
        logger.info("event=cell_released node=%s cell=%s", kernel.node, name)

    def _step(self, kernel: Kernel, name: str, event: cell_events.Event) -> None:
        state = self.states.get(name)
        if state is None:
            return
        for command in cells.step(state, event, kernel.now_ms()):
            match command:
                case cell_events.SendMessage():
                    members: MemberService = kernel.find("members")
                    members.send(kernel, command.node, command.message)
                case cell_events.CancelStream():
                    self._cancel(kernel, state, command.endpoint, command.key)
                case cell_events.TakeFence():
                    kernel.spawn(self._take_fence, kernel, name)
                case cell_events.OrderRole():
                    address = state.ledgers[command.endpoint].endpoint.address
                    kernel.spawn(self._order_role, kernel, name, address, command)

    def _cancel(self, kernel: Kernel, state: CellState, endpoint: str, key: RequestKey) -> None:
        ledger = state.ledgers.get(endpoint)
        if ledger is not None:
            address = ledger.endpoint.address
            kernel.post("cancels", CancelOrder(endpoint, address, key, state.cell.name))

    async def _take_fence(self, kernel: Kernel, name: str) -> None:
        taken = await self._fences.acquire(name)
        if isinstance(taken, Ok):
            kernel.post(self.name, _EndpointEvent(name, cell_events.FenceTaken(taken.ok_value)))

    async def _order_role(
        self, kernel: Kernel, name: str, address: str, command: cell_events.OrderRole
    ) -> None:
        """Sends a role order; posts no event after an unclear answer, so the order is repeated."""
        if command.recheck and not await self._fences.is_current(name, command.fence):
            kernel.post(
                self.name, _EndpointEvent(name, cell_events.RoleOrdered(command.endpoint, False))
            )
            return
        order = Order(command.role.value, command.fence, command.sequence)
        reply = await self._engines.order(address, order)
        refused = isinstance(reply, Err) and reply.err_value.status == FENCE_REFUSED
        logger.info(
            "event=role_order node=%s cell=%s endpoint=%s role=%s fence=%d accepted=%s",
            kernel.node,
            name,
            command.endpoint,
            command.role.value,
            command.fence,
            reply.is_ok(),
        )
        if reply.is_ok() or refused:
            event = cell_events.RoleOrdered(command.endpoint, accepted=reply.is_ok())
            kernel.post(self.name, _EndpointEvent(name, event))

    async def _poll(self, kernel: Kernel, name: str, scope: anyio.CancelScope) -> None:
        """Polls the engines of a cell for load, and less often for streams and cache events."""
        rounds = max(1, self._settings.streams_every_ms // self._settings.report_every_ms)
        turn = 0
        with scope:
            while name in self.states:
                async with anyio.create_task_group() as tasks:
                    for ledger in list(self.states[name].ledgers.values()):
                        endpoint = ledger.endpoint
                        report = partial(self._ask_report, kernel, name, endpoint)
                        tasks.start_soon(kernel.run_once, report)
                        if turn % rounds == 0:
                            streams = partial(self._ask_streams, kernel, name, endpoint)
                            events = partial(self._ask_events, kernel, name, ledger)
                            tasks.start_soon(kernel.run_once, streams)
                            tasks.start_soon(kernel.run_once, events)
                turn += 1
                await anyio.sleep(self._settings.report_every_ms / 1000)

    async def _ask_report(self, kernel: Kernel, name: str, endpoint: Endpoint) -> None:
        reply = await self._engines.report(endpoint.address)
        if isinstance(reply, Ok):
            event = cell_events.Reported(endpoint.name, reply.ok_value)
            kernel.post(self.name, _EndpointEvent(name, event))

    async def _ask_events(self, kernel: Kernel, name: str, ledger: EndpointLedger) -> None:
        """Polls a prefill endpoint for the prefixes that its cache evicted."""
        endpoint = ledger.endpoint
        if ledger.role is not Role.PREFILL:
            return
        reply = await self._engines.cache_events(endpoint.address, ledger.events_position)
        if isinstance(reply, Ok):
            event = cell_events.CacheReported(endpoint.name, reply.ok_value)
            kernel.post(self.name, _EndpointEvent(name, event))

    async def _ask_streams(self, kernel: Kernel, name: str, endpoint: Endpoint) -> None:
        reply = await self._engines.streams(endpoint.address)
        if isinstance(reply, Ok):
            rows = tuple(
                (RequestKey(row.request_id, row.attempt), row.holder) for row in reply.ok_value
            )
            kernel.post(
                self.name, _EndpointEvent(name, cell_events.StreamsListed(endpoint.name, rows))
            )
