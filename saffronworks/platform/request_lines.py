"""Lines of requests to servers that all calls have in common."""

from saffronworks.forwarding.connections import EndpointConnection
from saffronworks.forwarding.paths.messages import RELAY_FIELD, RelayRequest, encode

__all__ = ["EXPECT_INSTANCE", "MISDIRECTED", "add_relay", "join_request"]

# Name of the server that the request is for. Any other server answers 421 and runs nothing.
EXPECT_INSTANCE = "Expect-Instance"
MISDIRECTED = 421


def add_relay(lines: list[str], connection: EndpointConnection, relay: RelayRequest) -> list[str]:
    """Add the field for the node that relays the request, if any, before all other fields."""
    if connection.relayed_by is None:
        return lines
    return [lines[0], f"{RELAY_FIELD}: {encode(relay)}", *lines[1:]]


def join_request(lines: list[str], content: bytes = b"") -> bytes:
    """Return the bytes of a request with these lines and this body."""
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + content
