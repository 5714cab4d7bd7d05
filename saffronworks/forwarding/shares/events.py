"""What entry nodes and holders of a bound tell each other, whatever it bounds."""

import attrs

from saffronworks.forwarding.shares.limits import Limit

__all__ = ["Answer", "Ask", "Refund", "ChargeAgain"]


@attrs.frozen
class Ask:
    """Entry to holder: may something of this cost run within your share of the subject's limit?

    `limit` is the whole one as the entry node knows it; `holders` is how many share it.
    """

    ask_id: str
    subject: str
    cost: int
    limit: Limit
    holders: int


@attrs.frozen
class Answer:
    """Holder to entry: it was counted and may run, or there is room after `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: int = 0


@attrs.frozen
class ChargeAgain:
    """Entry to holder: what was admitted is run once more, and counts once more."""

    ask_id: str
    subject: str
    cost: int
    holders: int


@attrs.frozen
class Refund:
    """Entry to holder: what it admitted was not run."""

    ask_id: str
    subject: str
    holders: int
