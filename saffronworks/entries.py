"""The entry service: the live requests of this node, and its leases with the owners."""

import logging

import anyio

from saffronworks import request_events, requests
from saffronworks.documents import InForce
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.members import VMS_KEY, MemberService, read_vms
from saffronworks.membership import MemberChanged
from saffronworks.messages import (
    Assign,
    AssignRefused,
    Grant,
    HeldList,
    HeldQuery,
    LeaseRenewal,
    Refusal,
)
from saffronworks.owner.leases import hash_key
from saffronworks.owner.owners import BUNDLE_PREFIX
from saffronworks.routes import RouteTable
from saffronworks.runners import RequestRunner
from saffronworks.settings import Settings

__all__ = ["EntryService"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
IDLE_TICK_S = 0.25
MOST_TOKENS = 100_000


class EntryService:
    """Owns the requests of this node's callers; their connections are the frontend's."""

    name = "entry"

    def __init__(self, settings: Settings, incarnation: int):
        self.routes = RouteTable(settings.name)
        self.runners: dict[str, RequestRunner] = {}
        self.outstanding: dict[str, int] = {}
        self.leaving: frozenset[str] = frozenset()
        self._settings = settings
        self._incarnation = incarnation
        self._ticked_ms: int | None = None
        self._kernel: Kernel | None = None

    def add(self, runner: RequestRunner) -> None:
        """Take a request on."""
        cell = runner.job.cell.name
        self.runners[runner.request.request_id] = runner
        self.outstanding[cell] = self.outstanding.get(cell, 0) + 1

    def remove(self, runner: RequestRunner) -> None:
        """Forget a request that ended."""
        del self.runners[runner.request.request_id]
        self.outstanding[runner.job.cell.name] -= 1

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Serve messages and timers until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            tasks.start_soon(self._renew_leases, kernel)
            await kernel.dispatch(self.name, mailbox, lambda message: self._take(kernel, message))

    def send_to_owner(self, cell: str, message: object) -> None:
        """Send to the owner of a cell, which may be this node."""
        kernel = self._kernel
        if kernel is None:
            return
        members: MemberService = kernel.find("members")
        owner = members.owner_of(cell)
        if owner is not None:
            members.send(kernel, owner, message)

    def _take(self, kernel: Kernel, message: object) -> None:
        match message:
            case Grant():
                event = request_events.GrantReceived(message.key.attempt, message.endpoint)
                self._post(message.key.request_id, event)
            case Refusal():
                self._post(
                    message.key.request_id,
                    request_events.RefusalReceived(
                        message.key.attempt, message.reason, message.retry_after_ms
                    ),
                )
            case Assign():
                assigned = request_events.AssignReceived(
                    message.key.attempt, message.endpoint, message.limit_ms
                )
                self._post(message.key.request_id, assigned)
            case AssignRefused():
                withdrawn = request_events.AssignWithdrawn(message.key.attempt)
                self._post(message.key.request_id, withdrawn)
            case HeldQuery():
                self._list_held(kernel, message.cell)
            case InForce():
                self._take_document(message)
            case MemberChanged():
                self._follow_owners(kernel)

    def _take_document(self, change: InForce) -> None:
        if change.document.key.startswith(BUNDLE_PREFIX):
            self.routes.take(change.document)
        elif change.document.key == VMS_KEY:
            vms = read_vms(change.document.content)
            self.leaving = frozenset(vm.name for vm in vms if vm.endpoint and vm.leaving)

    def _follow_owners(self, kernel: Kernel) -> None:
        """Tell the runners of cells that have another owner now."""
        members: MemberService = kernel.find("members")
        for runner in self.runners.values():
            owner = members.owner_of(runner.job.cell.name)
            if owner != runner.owner:
                runner.owner = owner
                runner.post(request_events.OwnerChanged())

    def _post(self, request_id: str, event: request_events.Event) -> None:
        runner = self.runners.get(request_id)
        if runner is not None:
            runner.post(event)

    async def _tick(self, kernel: Kernel) -> None:
        while True:
            await anyio.sleep(TICK_S if self.runners else IDLE_TICK_S)
            now_ms = kernel.now_ms()
            if self._stood_still(now_ms):
                logger.warning("event=stood_still node=%s", kernel.node)
                for runner in self.runners.values():
                    runner.post(request_events.LeaseLost())
            for runner in list(self.runners.values()):
                if requests.due_ms(runner.request) <= now_ms:
                    runner.post(request_events.Tick())

    def _stood_still(self, now_ms: int) -> bool:
        """Whether this node was paused past its lease, so that others took what it held."""
        last_ms, self._ticked_ms = self._ticked_ms, now_ms
        return last_ms is not None and now_ms - last_ms > self._settings.lease_ms

    async def _renew_leases(self, kernel: Kernel) -> None:
        """One heartbeat for each cell in which this node holds, or lately held, anything."""
        active: set[str] = set()
        while True:
            await anyio.sleep(self._settings.heartbeat_ms / 1000)
            held: dict[str, list[int]] = {cell: [] for cell in active}
            for runner in self.runners.values():
                item = runner.held()
                hashes = held.setdefault(runner.job.cell.name, [])
                if item is not None:
                    hashes.append(hash_key(item.key))
            for cell, hashes in held.items():
                digest = 0
                for value in hashes:
                    digest ^= value
                self.send_to_owner(
                    cell,
                    LeaseRenewal(kernel.node, cell, self._incarnation, len(hashes), digest),
                )
            active = {runner.job.cell.name for runner in self.runners.values()}

    def _list_held(self, kernel: Kernel, cell: str) -> None:
        items = [r.held() for r in self.runners.values() if r.job.cell.name == cell]
        held = tuple(item for item in items if item is not None)
        self.send_to_owner(cell, HeldList(kernel.node, cell, held))
