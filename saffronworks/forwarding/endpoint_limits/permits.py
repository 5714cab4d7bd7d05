"""Permits to send one request to an endpoint, and the limits that a request has to respect."""

from collections.abc import Mapping, Set

import attrs

from saffronworks.forwarding.shares.events import Ask
from saffronworks.forwarding.starts import StartId

__all__ = ["UNCOUNTED_PERMIT", "NOT_LIMITED", "Limited", "NoPermit", "Permit"]


@attrs.frozen
class Permit:
    """Permission to send one request.

    `ask` is None if the endpoint has no limit, `holder` if no holder counted the request.
    """

    ask: Ask | None = None
    holder: str | None = None

    def covers(self, instance: StartId) -> bool:
        """Return whether the permit is valid for this endpoint; one without an ask is for any."""
        return self.ask is None or self.ask.subject == instance


# For an endpoint without a limit.
UNCOUNTED_PERMIT = Permit()


@attrs.frozen
class NoPermit:
    """The endpoint's limit is exhausted; a permit may be available after `after_ms`."""

    after_ms: int


@attrs.frozen
class Limited:
    """Endpoints of a service that have a limit.

    `backoff_ms` has the remaining backoff of those that are in backoff.
    """

    limited: Set[StartId] = frozenset()
    backoff_ms: Mapping[StartId, int] = attrs.Factory(dict)


NOT_LIMITED = Limited()
