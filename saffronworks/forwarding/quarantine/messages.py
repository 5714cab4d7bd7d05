"""What nodes tell each other of contents under which endpoints ended."""

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.starts import StartId

__all__ = ["Suspicion", "SuspicionNews"]


@attrs.frozen
class Suspicion:
    """One content: the starts of endpoints that ended while they worked on it.

    `ran_well`: a run of it came to a whole answer, so the ends had another cause. `trials` counts
    those that began since it was quarantined. All three only grow, so that views of several nodes
    can be put together in any order. `age_ms` is how long the sender has known all this; who hears
    it counts on from there, or what nodes tell each other would never be forgotten.
    """

    content: ContentId
    ended: tuple[StartId, ...]
    ran_well: bool = False
    trials: int = 0
    age_ms: int = attrs.field(default=0, eq=False)


@attrs.frozen
class SuspicionNews:
    """Node to node: what the sender knows of some contents."""

    sender: str
    suspicions: tuple[Suspicion, ...]
