"""Messages between nodes on the limits that endpoints name."""

import attrs

from saffronworks.forwarding.starts import StartId

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
    """What a node knows of an endpoint: its limit, None once it has ended; heard so long ago."""

    endpoint: StartId
    per_s: float | None
    age_ms: int


@attrs.frozen
class LimitNews:
    """Node to node: what the sender has just learnt."""

    limits: tuple[HeardLimit, ...]


@attrs.frozen
class LimitsWanted:
    """A node that has just started asks another one what it knows."""

    reply_to: str


@attrs.frozen
class SendAsk:
    """Entry to holder: may a request be sent to this endpoint within your share of its limit?

    `calls` is how many calls to the endpoint it takes.
    """

    ask_id: str
    reply_to: str
    limit: HeardLimit
    calls: int
    holders: int


@attrs.frozen
class SendAnswer:
    """Holder to entry: it was counted and may be sent, or there is room after `retry_after_ms`."""

    ask_id: str
    admitted: bool
    retry_after_ms: int = 0


@attrs.frozen
class SendGivenBack:
    """Entry to holder: a request that it admitted did not reach the endpoint."""

    ask_id: str
    endpoint: StartId
    holders: int


# What nodes tell each other, as entry nodes, as holders and as neighbours.
PEER_MESSAGES = (SendAsk, SendAnswer, SendGivenBack, LimitNews, LimitsWanted)
