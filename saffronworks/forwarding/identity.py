"""Authentication of requests: the organisation of the API key, or the reason for a refusal."""

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

# Refusal of a request whose key is revoked while it waits, during its prefill or before a retry.
KEY_REVOKED = Refuse(401, "unknown-key", not_run=False)


@attrs.define
class Authenticator:
    """Authenticates requests by the valid API keys; `organisations` is None if none are needed.

    `is_config_current` returns whether this node's configuration was up to date within the time
    allowed. If not, the keys in it are still accepted, but an unknown key can't be rejected,
    because a newer configuration may contain it: the caller is told to retry, at any node.
    """

    is_config_current: Callable[[], bool]
    organisations: Organisations | None = None

    def authenticate(self, request: CallerRequest, route: Route) -> Organisation | Refuse | None:
        """Return the organisation of a request, a refusal, or None if it needs no key."""
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
        if not self.is_config_current():
            return Refuse(503, "unknown-key-out-of-touch", True, OTHER_NODE_RETRY_AFTER_MS)
        return Refuse(401, "unknown-key", not_run=False)

    def is_still_authorized(self, request: CallerRequest, route: Route) -> bool:
        """Return whether a request in progress may still be sent, since its key is still valid."""
        if request.organisation is None or route.public or self.organisations is None:
            return True
        holder = None if isinstance(request.key, BadKey) else self._find(request.key)
        return holder is not None and holder.name == request.organisation.name

    def _find(self, key: KeyDigest | None) -> Organisation | None:
        return None if key is None else (self.organisations or {}).get(key)
