"""Holds a share of organisations' quotas: `step(state, event, limit, now_ms)` answers entry nodes.

The quota of an organisation lies in equal shares with three nodes, chosen by hash. Each admits by
its own share and needs no word of the others, so that nodes which don't hear each other never admit
more than the quota together. What a holder knows is soft state: one that just started takes it that
all of its share was used up but for a part of what the operator tolerates beyond the quota.
"""

import attrs

from saffronworks.forwarding.quotas.accounts import Account
from saffronworks.forwarding.quotas.bounds import Limit, QuotaBounds
from saffronworks.forwarding.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaGivenBack,
    QuotaRunAgain,
)
from saffronworks.forwarding.quotas.tuning import (
    EARLY_SHARE,
    FORGET_ACCOUNTS_EVERY_MS,
    NEW_HOLDER_SHARE,
    WITHIN_AGAIN_SHARE,
)

__all__ = ["Event", "HolderState", "QuotaChanged", "step"]


@attrs.frozen
class QuotaChanged:
    """Told once: an organisation used up its share here, or is well within it again."""

    organisation: str
    exceeded: bool
    debt: float
    share: Limit


Event = QuotaAsk | QuotaRunAgain | QuotaGivenBack


@attrs.define
class HolderState:
    """The accounts of organisations that were heard of; `began_ms`: since when all were."""

    bounds: QuotaBounds
    began_ms: int
    accounts: dict[str, Account] = attrs.Factory(dict)
    _forgot_ms: int = 0

    def take_nodes(self, now_ms: int) -> None:
        """Other nodes are there: this one may hold shares that another one held until now."""
        self.began_ms = now_ms

    def account(self, event: Event, share: Limit, now_ms: int) -> Account:
        """What is known of an organisation up to now."""
        self._forget_idle(now_ms)
        name = event.organisation
        if name not in self.accounts:
            first_debt = self._first_debt(share, event.holders, now_ms)
            self.accounts[name] = Account(first_debt, share.per_s, now_ms)
        account = self.accounts[name]
        account.pass_time(now_ms)
        account.per_s = share.per_s
        return account

    def capacity(self, share: Limit, holders: int) -> float:
        """The most that an organisation may owe here when a request of it has been admitted."""
        return share.burst + EARLY_SHARE * self.bounds.share(holders).spare(share)

    def _first_debt(self, share: Limit, holders: int, now_ms: int) -> float:
        if now_ms - self.began_ms >= self.bounds.window_ms:
            return 0.0
        spare = self.bounds.share(holders).spare(share)
        return max(0.0, self.capacity(share, holders) - NEW_HOLDER_SHARE * spare)

    def _forget_idle(self, now_ms: int) -> None:
        if now_ms - self._forgot_ms < FORGET_ACCOUNTS_EVERY_MS:
            return
        self._forgot_ms = now_ms
        for name, account in list(self.accounts.items()):
            account.pass_time(now_ms)
            if account.idle:
                del self.accounts[name]


def step(
    state: HolderState, event: Event, limit: Limit, now_ms: int
) -> list[QuotaAnswer | QuotaChanged]:
    """The answer to an ask, and what changed; `limit` is the organisation's whole quota."""
    share = limit.share(event.holders)
    account = state.account(event, share, now_ms)
    match event:
        case QuotaAsk():
            return _answer(state, account, event, share, now_ms)
        case QuotaRunAgain():
            account.count(event.ask_id, event.cost, now_ms)
        case QuotaGivenBack():
            account.give_back(event.ask_id)
    return []


def _answer(
    state: HolderState, account: Account, ask: QuotaAsk, share: Limit, now_ms: int
) -> list[QuotaAnswer | QuotaChanged]:
    capacity = state.capacity(share, ask.holders)
    admitted = account.knows(ask.ask_id) or account.has_room(ask.cost, capacity)
    after_ms = 0
    if admitted:
        account.count(ask.ask_id, ask.cost, now_ms)
    else:
        after_ms = account.next_return_ms(ask.cost, capacity, share, now_ms)
    answer = QuotaAnswer(ask.ask_id, admitted, after_ms)
    within = admitted and account.debt <= WITHIN_AGAIN_SHARE * capacity
    if account.exceeded is not (within if account.exceeded else not admitted):
        return [answer]
    account.exceeded = not account.exceeded
    return [answer, QuotaChanged(ask.organisation, account.exceeded, account.debt, share)]
