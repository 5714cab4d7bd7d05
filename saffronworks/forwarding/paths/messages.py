"""What nodes say to each other about relayed requests, in one header field.

The field precedes those of the request and of the answer, so that fields of callers and endpoints
with the same name are passed on unchanged.
"""

import enum

import attrs
import msgspec
from result import Err, Ok, Result

from saffronworks.forwarding.starts import StartId
from saffronworks.wire import DECODE_ERRORS, Whole

__all__ = [
    "RELAY_FIELD",
    "RELAY_PATH",
    "Reach",
    "RelayReply",
    "RelayRequest",
    "decode_reply",
    "decode_request",
    "encode",
]

RELAY_FIELD = "saffronworks-relay"
# Target of a request that asks a node whether it reaches an endpoint.
RELAY_PATH = "/relay"


class Reach(enum.StrEnum):
    """Whether a node reaches an endpoint directly."""

    YES = "yes"
    # It reaches others, so that its own paths are not to blame.
    NO = "no"
    UNKNOWN = "unknown"


@attrs.frozen
class RelayRequest:
    """Entry to peer: pass this request on to an endpoint, or only check that it is reached.

    `request_id` is the id that the endpoint's answer echoes, None for calls of the entry node
    itself. `reserved`: the endpoint holds memory for it. `control_call`: it is a call of the entry
    node itself. `cancels`: it releases what the endpoint holds, which no drain or pause forbids.
    `left_ms`: longest wait.
    """

    endpoint: StartId
    check: bool = False
    request_id: str | None = None
    reserved: bool = False
    control_call: bool = False
    cancels: bool = False
    left_ms: Whole = 30_000


@attrs.frozen
class RelayReply:
    """Peer to entry: the endpoint's answer follows, or (`failure`) why there is none.

    `sent`: the endpoint may have received the request. `framed`: the endpoint's answer has a length
    or chunks. `reach` answers a check; a node whose paths are cut names one that reaches the
    endpoint in `ask`, if it knows one.
    """

    failure: str = ""
    sent: bool = False
    framed: bool = True
    reach: Reach = Reach.UNKNOWN
    ask: str = ""


def encode(value: RelayRequest | RelayReply) -> str:
    """Return the text of the field."""
    return msgspec.json.encode(value).decode()


def decode_request(text: str) -> Result[RelayRequest, str]:
    """Decode the field of a request."""
    try:
        return Ok(msgspec.json.decode(text, type=RelayRequest))
    except DECODE_ERRORS as error:
        return Err(str(error))


def decode_reply(text: str) -> Result[RelayReply, str]:
    """Decode the field of an answer."""
    try:
        return Ok(msgspec.json.decode(text, type=RelayReply))
    except DECODE_ERRORS as error:
        return Err(str(error))
