"""Messages between nodes on contents and prompt parts whose endpoints ended while running them."""

import attrs

from saffronworks.forwarding.contents import ContentId
from saffronworks.forwarding.prompt_parts import PartId
from saffronworks.forwarding.starts import StartId
from saffronworks.wire import Age, Independent, Size

__all__ = ["PartEnd", "PartNews", "PartSuspicion", "Suspicion", "SuspicionNews"]


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
    trials: Size = 0
    age_ms: Age = attrs.field(default=0, eq=False)


@attrs.frozen
class SuspicionNews:
    """Node to node: the sender's view of some contents."""

    sender: str
    suspicions: Independent[Suspicion]


@attrs.frozen
class PartEnd:
    """The end of an endpoint that was running requests with a part.

    `contents`: digests of these requests, abbreviated. `writing_ms`: the shortest time for which
    one of them had been writing its answer.
    """

    instance: StartId
    contents: tuple[str, ...]
    writing_ms: Size
    age_ms: Age


@attrs.frozen
class PartSuspicion:
    """One prompt part and the endpoint starts that ended while running it.

    `depth`: the part's position in prompts. `sound_age_ms`: time since a run with the part was last
    seen to be sound; only ends after that are listed. `trials`: trials since the quarantine.
    """

    part: PartId
    depth: Size
    ends: tuple[PartEnd, ...]
    sound_age_ms: Age | None = None
    trials: Size = 0
    age_ms: Age = 0


@attrs.frozen
class PartNews:
    """Node to node: the sender's view of some prompt parts."""

    sender: str
    parts: Independent[PartSuspicion]
