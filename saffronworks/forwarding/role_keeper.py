"""Balances the roles of engines: executes the commands of `role_core`."""

import logging
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding import role_core
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.node_order import NodeOrder
from saffronworks.forwarding.ports import (
    Conflict,
    EndpointCalls,
    ObjectStore,
    ObjectStoreFailure,
    StoredObject,
)
from saffronworks.forwarding.role_core import (
    EndpointsObserved,
    OrderRole,
    RoleState,
    StoreRestored,
    TakeDuty,
)
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision

__all__ = ["DUTY_KIND", "RoleKeeper"]

logger = logging.getLogger(__name__)

# Kind of the store objects that name the node which may order role changes, one per service.
DUTY_KIND = "saffron-duties"
CHECK_INTERVAL_MS = 500


class RoleKeeper:
    """Checks the engines of every service, and orders role changes while it holds the duty."""

    def __init__(
        self,
        state: Callable[[], RoleState],
        directory: Directory,
        store: ObjectStore,
        calls: EndpointCalls,
        table: Callable[[], RoutingTable | None],
        node_order: NodeOrder,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
        is_partitioned: Callable[[], bool] = lambda: False,
    ):
        epoch.subscribe(self._reset_duties)
        self._new_state = state
        self._states: dict[str, RoleState] = {}
        self._directory = directory
        self._store = store
        self._calls = calls
        self._table = table
        self._node_order = node_order
        self._now_ms = now_ms
        self._is_partitioned = is_partitioned
        self._written = 0

    async def run(self) -> None:
        """Check all services every `CHECK_INTERVAL_MS` until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_MS / 1000)
            # Orders are not relayed, so another node must be able to take the duty over.
            if self._is_partitioned():
                continue
            table = self._table()
            for service in table.services.values() if table else ():
                if service.engine is not None:
                    await self._check(service.name)

    def _reset_duties(self) -> None:
        for state in self._states.values():
            role_core.step(state, StoreRestored(), self._now_ms())

    async def _check(self, service: str) -> None:
        state = self._states.setdefault(service, self._new_state())
        now_ms = self._now_ms()
        position = self._node_order.position(f"{DUTY_KIND}/{service}")
        event: role_core.Event = EndpointsObserved(
            self._directory.usable(service, now_ms), position
        )
        while (command := role_core.step(state, event, self._now_ms())) is not None:
            match command:
                case TakeDuty():
                    event = await self._take_duty(service, state, command)
                case OrderRole():
                    event = await self._order(command, state)

    async def _take_duty(
        self, service: str, state: RoleState, command: TakeDuty
    ) -> role_core.Event:
        """Confirm the duty if this node holds it, else try to take it."""
        asked_ms = self._now_ms()
        self._written += 1
        content = msgspec.json.encode({"holder": state.node, "written": self._written})
        revision = state.duty_revision if state.is_holder else command.free_revision
        if revision is None:
            reply = await self._store.create(DUTY_KIND, service, content)
        else:
            reply = await self._store.replace(DUTY_KIND, service, content, revision)
        event = _read_duty(reply, revision, state.is_holder)
        logger.info(
            "event=duty service=%s at_revision=%s result=%s took_ms=%d",
            service,
            revision,
            event,
            self._now_ms() - asked_ms,
        )
        return event

    async def _order(self, command: OrderRole, state: RoleState) -> role_core.Event:
        send_until_ms = state.duty_changed_ms + role_core.CONFIRMATION_VALID_MS
        now_ms = self._now_ms()
        if now_ms > send_until_ms:
            confirmed_ms_ago = now_ms - state.duty_changed_ms
            logger.info("event=order_dropped confirmed_ms_ago=%d", confirmed_ms_ago)
            return role_core.OrderAnswered(command.endpoint.instance, accepted=False)
        accepted: bool | None
        try:
            reply = await self._calls.order_role(
                command.endpoint, command.role, state.node, command.fence, send_until_ms
            )
            accepted = isinstance(reply, Ok)
            reason = reply.err_value.reason if isinstance(reply, Err) else ""
        except ExchangeError as broken:
            accepted = None if broken.sent else False
            reason = broken.cause.value
        logger.info(
            "event=role_order endpoint=%s role=%s fence=%d accepted=%s reason=%s",
            command.endpoint.instance,
            command.role,
            command.fence,
            accepted,
            reason,
        )
        return role_core.OrderAnswered(command.endpoint.instance, accepted)


def _read_duty(
    reply: Result[StoredObject, Conflict | ObjectStoreFailure],
    asked_at: StoreRevision | None,
    is_holder: bool,
) -> role_core.Event:
    """Return the event for the store's reply to a write of the duty.

    Another node may have held the duty before, unless this node confirmed its own within one epoch
    of the store, or created the duty for the first time.
    """
    match reply:
        case Ok(written):
            restored = asked_at is not None and written.revision.epoch != asked_at.epoch
            took_over = restored or is_holder is (asked_at is None)
            return role_core.DutyTaken(written.revision, took_over)
        case Err(Conflict(found)) if found is not None:
            return role_core.DutyHeldByOther(found.revision)
    return role_core.DutyUnknown()
