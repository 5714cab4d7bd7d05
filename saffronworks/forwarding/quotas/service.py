"""The service that enforces quotas, for the node's own callers and as a holder of shares."""

import logging
from collections.abc import Callable

import attrs

from saffronworks.forwarding.messages import CallerRequest, Refuse
from saffronworks.forwarding.organisations import Quota
from saffronworks.forwarding.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaGivenBack,
    QuotaRunAgain,
)
from saffronworks.forwarding.routing import RoutingTable
from saffronworks.forwarding.shares import holder
from saffronworks.forwarding.shares.entry import Admitted, Command, Refused
from saffronworks.forwarding.shares.events import Answer, Ask, ChargeAgain, Refund
from saffronworks.forwarding.shares.holder import ShareChanged
from saffronworks.forwarding.shares.limits import Limit, Tolerance
from saffronworks.forwarding.shares.shared_limit import SharedLimit, ShareMessage
from saffronworks.forwarding.shares.tuning import HOLDER_TIMEOUT_MS
from saffronworks.forwarding.tuning import OTHER_NODE_RETRY_AFTER_MS
from saffronworks.kernel import Kernel, Mailbox
from saffronworks.peers import Outgoing, PeerReached

__all__ = ["NOT_COUNTED", "QuotaCharge", "Quotas"]

logger = logging.getLogger(__name__)


@attrs.frozen
class QuotaCharge:
    """The charge of an admitted request; `holder` is None if no holder counted it."""

    ask: Ask | None = None
    holder: str | None = None


# The charge of a request whose organisation has no quota.
NOT_COUNTED = QuotaCharge()


class Quotas:
    """Asks the holders of an organisation's quota for each request, and holds shares itself."""

    name = "quotas"

    def __init__(
        self,
        own_address: str,
        tolerance: Tolerance,
        uncounted_nodes: int,
        table: Callable[[], RoutingTable | None],
        now_ms: Callable[[], int],
    ):
        self._own_address = own_address
        self._table = table
        self._kernel: Kernel | None = None
        self.shared_limit = SharedLimit(
            own_address,
            tolerance,
            uncounted_nodes,
            now_ms,
            limit_of=self._limit_of,
            send_message=self._send,
            on_change=self._log_change,
        )

    def update_nodes(self, cores: dict[str, float]) -> None:
        """Replace the nodes: processor cores by address."""
        self.shared_limit.update_nodes(cores)

    def take_table(self, table: RoutingTable) -> None:
        """Drop allowances of organisations that the new configuration lacks."""
        self.shared_limit.entry.allowances.keep_only(set(table.organisation_names))

    async def run(self, kernel: Kernel, mailbox: Mailbox) -> None:
        """Handle messages of entry nodes and holders until cancelled."""
        self._kernel = kernel
        await kernel.dispatch(self.name, mailbox, self._handle)

    # Called for requests.

    async def admit(self, request: CallerRequest) -> QuotaCharge | Refuse:
        """Charge a request to its organisation's quota, or return why it is refused."""
        organisation = request.organisation
        if organisation is None or organisation.quota is None:
            return NOT_COUNTED
        ask = self._make_ask(request, organisation.name, organisation.quota)
        command = await self.shared_limit.acquire(
            ask, lambda node: _log_timeout(request.request_id, ask, node)
        )
        return self._charge(ask, command, request.request_id)

    def charge_again(self, charge: QuotaCharge, number: int) -> None:
        """Charge a run at a further endpoint, the `number`th send of the request."""
        if charge.ask is not None and charge.holder is not None:
            ask = charge.ask
            again = ChargeAgain(f"{ask.ask_id}#{number}", ask.subject, ask.cost, ask.holders)
            self.shared_limit.send(charge.holder, again)

    def refund(self, charge: QuotaCharge) -> None:
        """Refund a request that no endpoint ran."""
        self.shared_limit.refund(charge.ask, charge.holder)

    # Asks and their outcomes.

    def _make_ask(self, request: CallerRequest, organisation: str, quota: Quota) -> Ask:
        limit = Limit(quota.per_s, quota.burst)
        return self.shared_limit.make_ask(organisation, quota.cost(request.tokens), limit)

    def _charge(self, ask: Ask, command: Command, request_id: str) -> QuotaCharge | Refuse:
        if isinstance(command, Admitted) and command.holder is not None:
            return QuotaCharge(ask, command.holder)
        logger.info(
            "event=quota request=%s organisation=%s cost=%d do=%s holders=%d nodes=%d",
            request_id,
            ask.subject,
            ask.cost,
            command,
            ask.holders,
            self.shared_limit.nodes,
        )
        match command:
            case Admitted():
                return QuotaCharge(ask, None)
            case Refused(retry_after_ms):
                return Refuse(429, "over-quota", True, retry_after_ms)
        return Refuse(503, "quota-unknown", True, OTHER_NODE_RETRY_AFTER_MS)

    # Called as a holder.

    def _limit_of(self, event: holder.Event) -> Limit | None:
        """Return the quota in this node's configuration, else in the ask; None if there is none."""
        table = self._table()
        known = table.find_organisation(event.subject) if table else None
        if known is not None:
            return Limit(known.quota.per_s, known.quota.burst) if known.quota else None
        return event.limit if isinstance(event, Ask) else None

    def _log_change(self, change: ShareChanged) -> None:
        table = self._table()
        logger.info(
            "event=quota_share organisation=%s used_up=%s debt=%d share_per_s=%d share_burst=%d "
            "config=%s",
            change.subject,
            change.exceeded,
            change.level,
            change.share.per_s,
            change.share.burst,
            table.version if table else None,
        )

    # Messages.

    def _handle(
        self, message: QuotaAsk | QuotaAnswer | QuotaRunAgain | QuotaGivenBack | PeerReached
    ) -> None:
        match message:
            case PeerReached(address):
                self.shared_limit.record_reached(address)
            case QuotaAnswer(ask_id, admitted, retry_after_ms):
                self.shared_limit.handle_answer(Answer(ask_id, admitted, retry_after_ms))
            case QuotaAsk(ask_id, reply_to, organisation, cost, per_s, burst, holders):
                ask = Ask(ask_id, organisation, cost, Limit(per_s, burst), holders)
                self.shared_limit.answer(reply_to, ask)
            case QuotaRunAgain(ask_id, organisation, cost, holders):
                self.shared_limit.apply(ChargeAgain(ask_id, organisation, cost, holders))
            case QuotaGivenBack(ask_id, organisation, holders):
                self.shared_limit.apply(Refund(ask_id, organisation, holders))

    def _send(self, node: str, message: ShareMessage) -> None:
        if self._kernel is not None:
            self._kernel.post("peers", Outgoing(node, self._encode(message)))

    def _encode(
        self, message: ShareMessage
    ) -> QuotaAsk | QuotaAnswer | QuotaRunAgain | QuotaGivenBack:
        match message:
            case Ask(ask_id, subject, cost, Limit(per_s, burst), holders):
                return QuotaAsk(ask_id, self._own_address, subject, cost, per_s, burst, holders)
            case ChargeAgain(ask_id, subject, cost, holders):
                return QuotaRunAgain(ask_id, subject, cost, holders)
            case Refund(ask_id, subject, holders):
                return QuotaGivenBack(ask_id, subject, holders)
        return QuotaAnswer(message.ask_id, message.admitted, message.retry_after_ms)


def _log_timeout(request_id: str, ask: Ask, node: str) -> None:
    logger.info(
        "event=quota_holder_silent request=%s organisation=%s holder=%s after_ms=%d",
        request_id,
        ask.subject,
        node,
        HOLDER_TIMEOUT_MS,
    )
