"""Messages between entry nodes and the nodes that hold shares of organisations' quotas."""

import attrs

from saffronworks.wire import Rate, Size, Wait

__all__ = ["PEER_MESSAGES", "QuotaAnswer", "QuotaAsk", "QuotaGivenBack", "QuotaRunAgain"]


@attrs.frozen
class QuotaAsk:
    """Entry node to holder: requests admission within the holder's share of a quota.

    `per_s` and `burst` are the whole quota as the entry node has it, for a holder that lacks the
    organisation's configuration; `holders` is the number of shares.
    """

    ask_id: str
    reply_to: str
    organisation: str
    cost: Size
    per_s: Rate
    burst: Rate
    holders: Size


@attrs.frozen
class QuotaAnswer:
    """Holder to entry node: admitted and counted, or room expected in `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: Wait = 0


@attrs.frozen
class QuotaRunAgain:
    """Entry node to holder: an admitted request runs once more and is charged again."""

    ask_id: str
    organisation: str
    cost: Size
    holders: Size


@attrs.frozen
class QuotaGivenBack:
    """Entry node to holder: an admitted request did not run."""

    ask_id: str
    organisation: str
    holders: Size


# Messages that a node receives as an entry node or a holder.
PEER_MESSAGES = (QuotaAsk, QuotaAnswer, QuotaRunAgain, QuotaGivenBack)
