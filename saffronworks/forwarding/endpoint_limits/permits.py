"""Leave to send one request to an endpoint, and what a request knows of who gives it."""

from collections.abc import Mapping, Set

import attrs

from saffronworks.forwarding.shares.events import Ask
from saffronworks.forwarding.starts import StartId

__all__ = ["UNCOUNTED_PERMIT", "NOT_LIMITED", "Limited", "NoPermit", "Permit"]


@attrs.frozen
class Permit:
    """One request may be sent; `holder` counted it, None where nobody does."""

    ask: Ask | None = None
    holder: str | None = None

    def covers(self, instance: StartId) -> bool:
        """Whether it is for a send to this endpoint; one that nobody counts is for any."""
        return self.ask is None or self.ask.subject == instance


# For an endpoint that names no limit.
UNCOUNTED_PERMIT = Permit()


@attrs.frozen
class NoPermit:
    """The endpoint's limit is used up; there may be room after `after_ms`."""

    after_ms: int


@attrs.frozen
class Limited:
    """Which of a service's endpoints name a limit, and which of these are left alone for now.

    `backoff_ms` has for how long, by endpoint.
    """

    limited: Set[StartId] = frozenset()
    backoff_ms: Mapping[StartId, int] = attrs.Factory(dict)


NOT_LIMITED = Limited()
