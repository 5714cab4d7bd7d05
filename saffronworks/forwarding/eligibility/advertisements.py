"""What an endpoint advertises about itself in its answers."""

import attrs

from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit

__all__ = ["Advertisement"]


@attrs.frozen
class Advertisement:
    """What one answer says about the endpoint that made it.

    `draining`: it is about to end and wants no new requests. `pause_ms`: with a rejection, how long
    it wants no requests of this node, 0 where it names no time. `malformed` lists the fields that
    can't be read, as `name: value`.
    """

    limit: AdvertisedLimit
    draining: bool = False
    pause_ms: int = 0
    malformed: tuple[str, ...] = ()
