"""The state that an endpoint advertises in the headers of its answers."""

import attrs

from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit

__all__ = ["Advertisement"]


@attrs.frozen
class Advertisement:
    """The state advertised in one answer of an endpoint.

    `draining`: the endpoint is shutting down and takes no new requests. `pause_ms`: how long a
    rejecting endpoint takes no requests of this node; 0 if the answer has no such time.
    `malformed` lists unreadable fields as `name: value`.
    """

    limit: AdvertisedLimit
    draining: bool = False
    pause_ms: int = 0
    malformed: tuple[str, ...] = ()
