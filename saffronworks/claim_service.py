"""Claim service: claims keys for this node's requests, and owns some of the claim shards."""

import logging

import anyio
import anyio.lowlevel
import attrs
from result import Err, Ok, Result

from saffronworks import claims, stores
from saffronworks.claims import ClaimShard
from saffronworks.clocks import wall_ms
from saffronworks.documents import Document
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.members import MemberService
from saffronworks.messages import ClaimAsk, ClaimReply, ClaimSettle
from saffronworks.stores import StoreClient

__all__ = ["ClaimService"]

logger = logging.getLogger(__name__)

RESEND_INTERVAL_S = 0.4
CLAIM_TIMEOUT_S = 4.0
TICK_S = 0.05


@attrs.frozen
class _ShardEvent:
    """The result of a store call on a shard."""

    shard: str
    event: claims.Event


class ClaimService:
    """Makes and withdraws the claims of one node, and manages the shards that the node owns."""

    name = "claims"

    def __init__(self, store: StoreClient):
        self._store = store
        self._shards: dict[str, ClaimShard] = {}
        self._replies: dict[tuple[str, str], anyio.Event] = {}
        self._results: dict[tuple[str, str], claims.Result] = {}
        self._kernel: Kernel | None = None
        self._work = anyio.Event()

    async def claim(self, key: str, request_id: str) -> claims.Result:
        """Claim the key, with resends; after `CLAIM_TIMEOUT_S` the result is `Unrecorded`.

        A claim that is cancelled is settled, as its request can't run any more.
        """
        pair = (key, request_id)
        self._replies[pair] = anyio.Event()
        try:
            with anyio.move_on_after(CLAIM_TIMEOUT_S):
                while pair not in self._results:
                    self._send(key, ClaimAsk(key, request_id, self._node()))
                    with anyio.move_on_after(RESEND_INTERVAL_S):
                        await self._replies[pair].wait()
            await anyio.lowlevel.checkpoint_if_cancelled()
        except anyio.get_cancelled_exc_class():
            self.settle_not_run(key, request_id)
            raise
        finally:
            del self._replies[pair]
            result = self._results.pop(pair, None)
        if result is None or isinstance(result, claims.Unrecorded):
            self.settle_not_run(key, request_id)
            result = claims.Unrecorded()
        logger.info(
            "event=claim node=%s request=%s key=%s result=%s",
            self._node(),
            request_id,
            key,
            type(result).__name__,
        )
        return result

    def settle_not_run(self, key: str, request_id: str) -> None:
        """Report to the shard's owner that the request did not run, which frees the key.

        If the message is lost the claim stays, and a retry gets the outcome *unknown*.
        """
        self._send(key, ClaimSettle(key, request_id))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages and send ticks to the shards with pending work until cancelled."""
        self._kernel = kernel
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick, kernel)
            await kernel.dispatch(self.name, mailbox, lambda message: self._handle(kernel, message))

    def _node(self) -> str:
        assert self._kernel is not None
        return self._kernel.node

    def _send(self, key: str, message: ClaimAsk | ClaimSettle) -> None:
        assert self._kernel is not None
        members: MemberService = self._kernel.find("members")
        shard_owner = members.owner_of(claims.shard_of(key))
        members.send(self._kernel, shard_owner or self._kernel.node, message)

    def _handle(self, kernel: Kernel, message: object) -> None:
        match message:
            case ClaimAsk():
                asked = claims.ClaimRequested(message.key, message.request_id, message.node)
                self._step(kernel, claims.shard_of(message.key), asked)
            case ClaimSettle():
                settled = claims.Settled(message.key, message.request_id)
                self._step(kernel, claims.shard_of(message.key), settled)
            case ClaimReply():
                self._handle_reply(message)
            case _ShardEvent():
                self._step(kernel, message.shard, message.event)

    def _handle_reply(self, reply: ClaimReply) -> None:
        pair = (reply.key, reply.request_id)
        if pair not in self._replies:
            return
        result: claims.Result = claims.Unrecorded()
        if reply.recorded:
            result = claims.Claimed()
            if reply.holder_request_id:
                result = claims.Denied(reply.holder_request_id, reply.holder_node)
        self._results[pair] = result
        self._replies[pair].set()

    def _step(self, kernel: Kernel, name: str, event: claims.Event) -> None:
        members: MemberService = kernel.find("members")
        state = self._shards.setdefault(name, ClaimShard())
        self._work.set()
        for command in claims.step(state, event, wall_ms()):
            match command:
                case claims.Read():
                    kernel.spawn(self._read, kernel, name)
                case claims.Write():
                    kernel.spawn(self._write, kernel, name, command)
                case claims.Answer():
                    members.send(kernel, command.node, _make_reply(command))

    async def _tick(self, kernel: Kernel) -> None:
        while True:
            if all(state.idle for state in self._shards.values()):
                self._work = anyio.Event()
                await self._work.wait()
            await anyio.sleep(TICK_S)
            for name in [name for name, state in self._shards.items() if not state.idle]:
                self._step(kernel, name, claims.Tick())

    async def _read(self, kernel: Kernel, name: str) -> None:
        event: claims.Event = claims.Unavailable()
        try:
            reply = await self._store.get(name)
            if isinstance(reply, Ok):
                event = _read_event(reply.ok_value)
        except Exception:
            # The claims of the shard wait for an event.
            logger.exception("event=claims_unreadable node=%s shard=%s", kernel.node, name)
        kernel.post(self.name, _ShardEvent(name, event))

    async def _write(self, kernel: Kernel, name: str, command: claims.Write) -> None:
        event: claims.Event = claims.WriteLost()
        try:
            content = claims.write_records(command.records)
            event = _write_event(await self._store.put(name, content, command.expected))
        except Exception:
            logger.exception("event=claims_not_written node=%s shard=%s", kernel.node, name)
        kernel.post(self.name, _ShardEvent(name, event))


def _read_event(found: Document | None) -> claims.Event:
    if found is None:
        return claims.ReadDone(0, {})
    return claims.ReadDone(found.version, claims.read_records(found.content))


def _write_event(reply: Result[int, stores.Moved | stores.StoreFailure]) -> claims.Event:
    match reply:
        case Ok(version):
            return claims.WriteDone(version)
        case Err(stores.Moved()):
            return claims.WriteConflict()
        case Err(stores.StoreFailure(applied=True)):
            return claims.WriteLost()
        case _:
            return claims.Unavailable()


def _make_reply(answer: claims.Answer) -> ClaimReply:
    match answer.result:
        case claims.Claimed():
            return ClaimReply(answer.key, answer.request_id, recorded=True)
        case claims.Denied(request_id, node):
            return ClaimReply(answer.key, answer.request_id, True, request_id, node)
        case claims.Unrecorded():
            return ClaimReply(answer.key, answer.request_id, recorded=False)
