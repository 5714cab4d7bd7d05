"""Whose request it is: the organisation that holds its key, or why it is refused."""

from collections.abc import Callable

import attrs

from saffronworks.forwarding.messages import CallerRequest, Refuse
from saffronworks.forwarding.organisations import (
    BadKey,
    KeyDigest,
    Organisation,
    Organisations,
)
from saffronworks.forwarding.routing import Route
from saffronworks.forwarding.tuning import (
    OTHER_NODE_RETRY_AFTER_MS,
)

__all__ = ["KEY_REVOKED", "Authenticator"]

# A key that no longer holds while its request waits, is read, or is about to be sent again.
KEY_REVOKED = Refuse(401, "unknown-key", not_run=False)


@attrs.define
class Authenticator:
    """The keys that are in force; None where callers need none.

    `in_touch` tells whether the newest configuration is known here as soon as it has to be. A node
    that is out of touch serves the keys that it knows, as others may do for as long, but can't say
    of another key that nobody holds it: that caller is told to try again, at any node.
    """

    in_touch: Callable[[], bool]
    organisations: Organisations | None = None

    def authenticate(self, request: CallerRequest, route: Route) -> Organisation | Refuse | None:
        """The organisation of a request; None where it needs none and names none."""
        if self.organisations is None:
            return None
        key = request.key
        known = None if isinstance(key, BadKey) else self._find(key)
        if known is not None or route.public:
            return known
        if key is None:
            return Refuse(401, "no-key", not_run=False)
        if isinstance(key, BadKey):
            return Refuse(401, key.reason, not_run=False)
        if not self.in_touch():
            return Refuse(503, "unknown-key-out-of-touch", True, OTHER_NODE_RETRY_AFTER_MS)
        return Refuse(401, "unknown-key", not_run=False)

    def is_still_authorized(self, request: CallerRequest, route: Route) -> bool:
        """Whether a request under way may still be sent: its organisation has its key still."""
        if request.organisation is None or route.public or self.organisations is None:
            return True
        holder = None if isinstance(request.key, BadKey) else self._find(request.key)
        return holder is not None and holder.name == request.organisation.name

    def _find(self, key: KeyDigest | None) -> Organisation | None:
        return None if key is None else (self.organisations or {}).get(key)
