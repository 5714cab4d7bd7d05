"""Messages between entry nodes and the nodes that hold shares of organisations' quotas."""

import attrs

__all__ = ["PEER_MESSAGES", "QuotaAnswer", "QuotaAsk", "QuotaGivenBack", "QuotaRunAgain"]


@attrs.frozen
class QuotaAsk:
    """Entry to holder: may a request of this cost run within your share of the quota?

    `per_s` and `burst` are the whole quota as the entry node knows it, for a holder that doesn't
    know the organisation yet; `holders` is how many share it.
    """

    ask_id: str
    reply_to: str
    organisation: str
    cost: int
    per_s: float
    burst: float
    holders: int


@attrs.frozen
class QuotaAnswer:
    """Holder to entry: it was counted and may run, or there is room after `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: int = 0


@attrs.frozen
class QuotaRunAgain:
    """Entry to holder: a request that was admitted is run once more, and counts once more."""

    ask_id: str
    organisation: str
    cost: int
    holders: int


@attrs.frozen
class QuotaGivenBack:
    """Entry to holder: a request that it admitted was not run."""

    ask_id: str
    organisation: str
    holders: int


# What nodes tell each other, as entry nodes and as holders.
PEER_MESSAGES = (QuotaAsk, QuotaAnswer, QuotaRunAgain, QuotaGivenBack)
