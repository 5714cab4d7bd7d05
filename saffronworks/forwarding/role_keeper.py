"""Keeps the roles of engines in balance: executes the commands of `role_core`."""

import logging
from collections.abc import Callable

import anyio
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding import role_core
from saffronworks.forwarding.directory import Directory
from saffronworks.forwarding.exchange_errors import ExchangeError
from saffronworks.forwarding.ports import (
    Conflict,
    EndpointCalls,
    ObjectSource,
    SourceFailure,
    StoredObject,
)
from saffronworks.forwarding.role_core import (
    GiveOrder,
    Look,
    RoleState,
    StoreRestored,
    TakeDuty,
)
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.forwarding.store_revisions import StoreEpoch, StoreRevision
from saffronworks.forwarding.turns import Turns

__all__ = ["DUTY_KIND", "RoleKeeper"]

logger = logging.getLogger(__name__)

# The kind of the objects that tell who may give orders; one object a service.
DUTY_KIND = "saffron-duties"
LOOK_EVERY_MS = 500


class RoleKeeper:
    """Looks at the engines of every service, and orders role changes while it has the duty."""

    def __init__(
        self,
        state: Callable[[], RoleState],
        directory: Directory,
        store: ObjectSource,
        calls: EndpointCalls,
        table: Callable[[], RoutingTable | None],
        turns: Turns,
        epoch: StoreEpoch,
        now_ms: Callable[[], int],
    ):
        epoch.subscribe(self._forget_duties)
        self._new_state = state
        self._states: dict[str, RoleState] = {}
        self._directory = directory
        self._store = store
        self._calls = calls
        self._table = table
        self._turns = turns
        self._now_ms = now_ms
        self._written = 0

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await anyio.sleep(LOOK_EVERY_MS / 1000)
            table = self._table()
            for service in table.services.values() if table else ():
                if service.engine is not None:
                    await self._look(service.name)

    def _forget_duties(self) -> None:
        for state in self._states.values():
            role_core.step(state, StoreRestored(), self._now_ms())

    async def _look(self, service: str) -> None:
        state = self._states.setdefault(service, self._new_state())
        now_ms = self._now_ms()
        place = self._turns.place(f"{DUTY_KIND}/{service}")
        event: role_core.Event = Look(self._directory.usable(service, now_ms), place)
        while (command := role_core.step(state, event, self._now_ms())) is not None:
            match command:
                case TakeDuty():
                    event = await self._take_duty(service, state, command)
                case GiveOrder():
                    event = await self._order(command, state)

    async def _take_duty(
        self, service: str, state: RoleState, command: TakeDuty
    ) -> role_core.Event:
        """Confirm a duty of ours, take a free one, or learn who holds it."""
        asked_ms = self._now_ms()
        self._written += 1
        content = msgspec.json.encode({"holder": state.node, "written": self._written})
        revision = state.duty_revision if state.mine else command.free_revision
        if revision is None:
            reply = await self._store.create(DUTY_KIND, service, content)
        else:
            reply = await self._store.replace(DUTY_KIND, service, content, revision)
        event = _read_duty(reply, revision, state.mine)
        logger.info(
            "event=duty service=%s at_revision=%s result=%s took_ms=%d",
            service,
            revision,
            event,
            self._now_ms() - asked_ms,
        )
        return event

    async def _order(self, command: GiveOrder, state: RoleState) -> role_core.Event:
        confirmed_ms_ago = self._now_ms() - state.duty_seen_ms
        if confirmed_ms_ago > role_core.CONFIRMED_MS:
            logger.info("event=order_dropped confirmed_ms_ago=%d", confirmed_ms_ago)
            return role_core.Ordered(command.endpoint.instance, accepted=False)
        accepted: bool | None
        try:
            reply = await self._calls.order_role(
                command.endpoint, command.role, state.node, command.fence
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
        return role_core.Ordered(command.endpoint.instance, accepted)


def _read_duty(
    reply: Result[StoredObject, Conflict | SourceFailure],
    asked_at: StoreRevision | None,
    mine: bool,
) -> role_core.Event:
    """Only a duty confirmed within one epoch, or created for the first time, was nobody else's."""
    match reply:
        case Ok(written):
            restored = asked_at is not None and written.revision.epoch != asked_at.epoch
            took_over = restored or mine is (asked_at is None)
            return role_core.DutyTaken(written.revision, took_over)
        case Err(Conflict(found)) if found is not None:
            return role_core.DutyHeldByOther(found.revision)
    return role_core.DutyUnknown()
