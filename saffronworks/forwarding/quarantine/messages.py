"""Messages between nodes on contents whose endpoints ended while running them."""

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.starts import StartId

__all__ = ["Suspicion", "SuspicionNews"]


@attrs.frozen
class Suspicion:
    """One content and the endpoint starts that ended while running it.

    `ran_well`: a run returned a complete answer, so the ends had another cause. `trials`: trials
    started since the quarantine. These three fields only grow, so views of several nodes merge in
    any order. `age_ms`: how long the sender has had this state. Receivers continue from that age;
    otherwise gossip would keep an entry alive forever.
    """

    content: ContentId
    ended: tuple[StartId, ...]
    ran_well: bool = False
    trials: int = 0
    age_ms: int = attrs.field(default=0, eq=False)


@attrs.frozen
class SuspicionNews:
    """Node to node: the sender's view of some contents."""

    sender: str
    suspicions: tuple[Suspicion, ...]
