"""Messages between nodes on the rate limits of endpoints."""

import attrs

from saffronworks.forwarding.starts import StartId
from saffronworks.wire import Age, Independent, Rate, Size, Wait

__all__ = [
    "PEER_MESSAGES",
    "HeardLimit",
    "LimitNews",
    "LimitsWanted",
    "SendAnswer",
    "SendAsk",
    "SendGivenBack",
]


@attrs.frozen
class HeardLimit:
    """An endpoint's limit as a node observed it `age_ms` ago; `per_s` is None once it has ended."""

    endpoint: StartId
    per_s: Rate | None
    age_ms: Age


@attrs.frozen
class LimitNews:
    """Node to node: limits that changed recently, or the reply to `LimitsWanted`."""

    limits: Independent[HeardLimit]


@attrs.frozen
class LimitsWanted:
    """Request of a node that has just started for all limits that the receiver has."""

    reply_to: str


@attrs.frozen
class SendAsk:
    """Entry node to holder: requests a permit within the holder's share of an endpoint's limit.

    `calls` is the number of calls that the request makes to the endpoint.
    """

    ask_id: str
    reply_to: str
    limit: HeardLimit
    calls: Size
    holders: Size


@attrs.frozen
class SendAnswer:
    """Holder to entry node: permit granted and counted, or room expected in `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: Wait = 0


@attrs.frozen
class SendGivenBack:
    """Entry node to holder: an admitted request did not reach the endpoint."""

    ask_id: str
    endpoint: StartId
    holders: Size


# Messages that a node receives as an entry node, a holder or a neighbour.
PEER_MESSAGES = (SendAsk, SendAnswer, SendGivenBack, LimitNews, LimitsWanted)
