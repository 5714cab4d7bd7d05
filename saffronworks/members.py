"""The membership service: drives the core by heartbeats and tells others what changed."""

import logging
import random

import anyio
import msgspec

from saffronworks import membership
from saffronworks.documents import InForce, PeerDigest
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.membership import (
    Heartbeat,
    HeartbeatReply,
    Listed,
    MemberChanged,
    Membership,
    MemberUpdate,
    Send,
    Status,
    VmRecord,
)
from saffronworks.ownership import choose_owner
from saffronworks.peers import CloseTo, Outgoing
from saffronworks.settings import Settings
from saffronworks.stores import CONFIG_PREFIX
from saffronworks.wire import DECODE_ERRORS

__all__ = ["VMS_KEY", "MemberService", "read_vms"]

logger = logging.getLogger(__name__)

VMS_KEY = f"{CONFIG_PREFIX}vms"


class MemberService:
    """Owns this node's view of its region."""

    name = "members"

    def __init__(self, settings: Settings, incarnation: int):
        me = MemberUpdate(
            settings.name,
            settings.peer_address,
            settings.zone,
            settings.region,
            incarnation,
            Status.ALIVE,
        )
        self.state = Membership(
            me=me,
            heartbeat_ms=settings.heartbeat_ms,
            suspect_after_ms=settings.suspect_after_ms,
            dead_after_ms=settings.dead_after_ms,
            rng=random.Random(f"{settings.name}/{incarnation}"),
        )
        self._settings = settings
        self._owners: list[str] | None = None
        self._owner_of: dict[str, str | None] = {}

    def owners(self) -> list[str]:
        """Members that may own cells."""
        if self._owners is None:
            self._owners = membership.live_members(self.state, owners_only=True)
        return self._owners

    def owner_of(self, cell: str) -> str | None:
        """The member that owns a cell; kept until a member changes."""
        if cell not in self._owner_of:
            self._owner_of[cell] = choose_owner(self.owners(), cell)
        return self._owner_of[cell]

    def forget_owners(self) -> None:
        """A member changed: work the owners out anew."""
        self._owners = None
        self._owner_of.clear()

    def live(self) -> list[str]:
        """Members that answer."""
        return membership.live_members(self.state)

    def address_of(self, name: str) -> str | None:
        """The peer address of a member."""
        member = self.state.members.get(name)
        return member.update.address if member else None

    def send(self, kernel: Kernel, name: str, message: object) -> None:
        """Send a message to a member, or to this node's own services; not to one unknown."""
        if name == kernel.node:
            kernel.announce(message)
            return
        address = self.address_of(name)
        if address is not None:
            kernel.post("peers", Outgoing(address, message))

    def zone_of(self, name: str) -> str:
        """The availability zone of a member, empty when unknown."""
        member = self.state.members.get(name)
        return member.update.zone if member else ""

    def zones(self) -> set[str]:
        """The availability zones of the other members."""
        return {member.update.zone for member in self.state.members.values()}

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Send heartbeats and take news until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            await kernel.dispatch(self.name, mailbox, lambda message: self._take(kernel, message))

    def leave(self, kernel: Kernel, gone: bool) -> None:
        """Tell the others that this node leaves, or is gone."""
        self._perform(kernel, membership.leave(self.state, gone, kernel.now_ms()))
        self.forget_owners()

    async def _tick(self, kernel: Kernel) -> None:
        period_s = self._settings.heartbeat_ms / 1000
        while True:
            self._perform(kernel, membership.step(self.state, membership.Tick(), kernel.now_ms()))
            self._greet_seeds(kernel)
            await anyio.sleep(period_s)

    def _greet_seeds(self, kernel: Kernel) -> None:
        """Without any other live member, ask the seeds from the settings."""
        if len(self.live()) > 1:
            return
        beat = Heartbeat(self.state.me, (), self.state.digest, self.state.fresh_age_ms)
        for address in self._settings.seeds:
            if address != self._settings.peer_address:
                kernel.post("peers", Outgoing(address, beat))

    def _take(self, kernel: Kernel, message: object) -> None:
        match message:
            case InForce() if message.document.key == VMS_KEY:
                listed = Listed(read_vms(message.document.content))
                self._perform(kernel, membership.step(self.state, listed, kernel.now_ms()))
            case Heartbeat() | HeartbeatReply():
                self._perform(kernel, membership.step(self.state, message, kernel.now_ms()))
                kernel.announce(
                    PeerDigest(message.sender.name, message.digest, message.fresh_age_ms)
                )

    def _perform(self, kernel: Kernel, commands: list[membership.Command]) -> None:
        for command in commands:
            match command:
                case Send():
                    kernel.post("peers", Outgoing(command.address, command.message))
                case MemberChanged():
                    self._changed(kernel, command)

    def _changed(self, kernel: Kernel, change: MemberChanged) -> None:
        self.forget_owners()
        logger.info(
            "event=member_changed node=%s member=%s status=%s",
            kernel.node,
            change.name,
            change.status.value,
        )
        address = self.address_of(change.name)
        if change.status in (Status.DEAD, Status.LEFT) and address:
            kernel.post("peers", CloseTo(address))
        kernel.announce(change)


def read_vms(content: str) -> tuple[VmRecord, ...]:
    """The entry VMs in the platform's list; empty when the value is none."""
    try:
        rows = msgspec.json.decode(content, type=list[VmRecord])
    except DECODE_ERRORS:
        return ()
    return tuple(rows)
