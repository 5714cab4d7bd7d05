"""Events and answers between entry nodes and holders, independent of the kind of limit."""

import attrs

from saffronworks.forwarding.shares.limits import Limit

__all__ = ["Answer", "Ask", "Refund", "ChargeAgain"]


@attrs.frozen
class Ask:
    """Entry node to holder: requests admission within the holder's share of a subject's limit.

    `limit` is the whole limit as the entry node has it, `holders` the number of shares.
    """

    ask_id: str
    subject: str
    cost: int
    limit: Limit
    holders: int


@attrs.frozen
class Answer:
    """Holder to entry node: admitted and counted, or room expected in `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: int = 0


@attrs.frozen
class ChargeAgain:
    """Entry node to holder: an admitted request runs once more and is charged again."""

    ask_id: str
    subject: str
    cost: int
    holders: int


@attrs.frozen
class Refund:
    """Entry node to holder: an admitted request did not run."""

    ask_id: str
    subject: str
    holders: int
