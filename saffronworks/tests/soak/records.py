"""What callers and endpoints saw during a soak, as the checks read it."""

import attrs

__all__ = [
    "ALL_NODES",
    "Asked",
    "ClosedEarly",
    "Disturbance",
    "EndlessAnswer",
    "Lag",
    "Need",
    "Partition",
    "Ran",
    "Reached",
    "Records",
    "Rejected",
    "Served",
    "Silence",
    "Starved",
    "Surged",
    "Terminated",
]

ALL_NODES = -1


@attrs.define
class Asked:
    """One request of a caller; `outcome` stays empty until something came back."""

    request_id: str
    kind: str
    node: int
    at_ms: float
    deadline_ms: int
    # "answered", "broken" (no whole answer), "left" (the caller closed), "unread" (closed without
    # any answer) or "" (nothing yet).
    outcome: str = ""
    status: int = 0
    body: bytes = b""
    signed: bool = False
    # The endpoint whose answer said that it drains.
    drains_at: str = ""
    retry_after: str = ""
    ended_ms: float = 0.0
    # When all bytes of the request had been sent; 0 if that did not happen.
    sent_ms: float = 0.0
    # Its connection had carried another request.
    kept: bool = False
    problem: str = ""
    # A stream that the caller resumes: its first request, and the last event that the caller has.
    resumes: str = ""
    after_event: int = 0
    # Whose request it is, where callers have keys.
    organisation: str = ""
    key: str = ""


@attrs.define
class Ran:
    """One request that an endpoint began to work on; `after_event` where a stream went on."""

    request_id: str
    endpoint: str
    service: str
    at_ms: float
    after_event: int = 0
    whole: bool = False
    ended_ms: float | None = None
    # When it had arrived, where the endpoint was suspended before it began.
    arrived_ms: float | None = None
    # The endpoint failed it or broke it off.
    broke: bool = False


@attrs.define
class Served:
    """An endpoint of a software version decodes streams, without limits, in this time."""

    endpoint: str
    version: str
    from_ms: float
    to_ms: float = float("inf")


@attrs.frozen
class Reached:
    """A request, or its prompt alone, reached an endpoint."""

    endpoint: str
    request_id: str
    at_ms: float


@attrs.frozen
class Rejected:
    """An endpoint rejected a request and asked its node for a pause."""

    endpoint: str
    node: int
    at_ms: float
    pause_ms: float


@attrs.frozen
class Need:
    """An endpoint names a limit in this time."""

    endpoint: str
    per_s: float
    from_ms: float
    to_ms: float


@attrs.frozen
class Disturbance:
    """Trouble of a node or of all: "node", "stopped" as planned, or one of its ways.

    "path" is a cut between nodes and endpoints, "endpoint" anything that endpoints do as well.
    """

    node: int
    what: str
    from_ms: float
    to_ms: float
    # Of a "path": the endpoint whose link is at fault; empty for all of them.
    endpoint: str = ""


@attrs.frozen
class Silence:
    """An endpoint was suspended in this time."""

    endpoint: str
    from_ms: float
    to_ms: float


@attrs.define
class Terminated:
    """The first SIGTERM to a process of a node, and when that process ended or was killed."""

    node: int
    sent_ms: float
    # The signal beside it, as `EXTRA_SIGNALS` names it.
    extra: str = "none"
    ended_ms: float = float("inf")
    # It still ran at the end of the grace period.
    outlived: bool = False
    # Its own suspension around the SIGTERM, which excuses nothing.
    freeze: Disturbance | None = None


@attrs.frozen
class Partition:
    """These nodes had no path to any endpoint."""

    nodes: frozenset[int]
    from_ms: float
    to_ms: float


@attrs.frozen
class Surged:
    """Most new connections came to this node."""

    node: int
    from_ms: float
    to_ms: float


@attrs.frozen
class ClosedEarly:
    """A node closed a connection that its caller could still use."""

    node: int
    rested_from_ms: float
    found_ms: float
    allowed_ms: float


@attrs.frozen
class Lag:
    """A process of the soak that carries the links of these nodes was late."""

    nodes: range
    due_ms: float
    woke_ms: float


@attrs.frozen
class Starved:
    """A node's main thread was ready to run and had no processor for `waited_ms` of a span."""

    node: int
    from_ms: float
    to_ms: float
    waited_ms: float


@attrs.define
class EndlessAnswer:
    """An endpoint sent an answer without end, until its connection was closed."""

    request_id: str
    endpoint: str
    closed_ms: float | None = None


@attrs.define
class Records:
    """Everything seen, plus when what was done to whom."""

    asked: dict[str, Asked] = attrs.Factory(dict)
    ran: list[Ran] = attrs.Factory(list)
    # Prompts that an endpoint began to read for another one.
    prefilled: list[Ran] = attrs.Factory(list)
    # Requests that arrived at a service, whether run or not: service, id, time.
    arrived: list[tuple[str, str, float]] = attrs.Factory(list)
    reached: list[Reached] = attrs.Factory(list)
    needs: list[Need] = attrs.Factory(list)
    rejected: list[Rejected] = attrs.Factory(list)
    # When the store took an endpoint's word that it leaves, or its entry was removed.
    left_ms: dict[str, float] = attrs.Factory(dict)
    # Later starts of an endpoint under its name: which, when.
    restarts: list[tuple[str, float]] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)
    # Versions of the configuration: when the store took it, and the service of the moved route.
    versions: list[tuple[float, str]] = attrs.Factory(list)
    # Changes of organisations: when the store took it, and the keys that are taken away since.
    taken_away: list[tuple[float, frozenset[str]]] = attrs.Factory(list)
    # Things that an endpoint must never see, in words.
    wrong: list[str] = attrs.Factory(list)
    # Planned stops of nodes: node, when, until when its process may run.
    stops: list[tuple[int, float, float]] = attrs.Factory(list)
    # When an endpoint ended under the deadly content.
    deadly_ends_ms: list[float] = attrs.Factory(list)
    # When an endpoint ended under the crashing part.
    part_ends_ms: list[float] = attrs.Factory(list)
    partitions: list[Partition] = attrs.Factory(list)
    surges: list[Surged] = attrs.Factory(list)
    # When decode endpoints served, by endpoint: the last span of each may be open.
    served: list[Served] = attrs.Factory(list)
    closed_early: list[ClosedEarly] = attrs.Factory(list)
    endless: list[EndlessAnswer] = attrs.Factory(list)
    # Requests whose endpoint paused and went on.
    paused: set[str] = attrs.Factory(set)
    # Idle timeouts of callers' connections: when the store took it, in ms.
    idle_timeouts: list[tuple[float, int]] = attrs.Factory(list)
    # Answers that came a second time.
    copies: int = 0
    silences: list[Silence] = attrs.Factory(list)
    terminated: list[Terminated] = attrs.Factory(list)
    # The lowest timeout of the routes of a kind that was ever in force, in ms.
    least_timeout_ms: dict[str, int] = attrs.Factory(dict)
    calm_from_ms: float = 0.0
    lags: list[Lag] = attrs.Factory(list)
    # For the trace of a finding; no check excuses it.
    starved: list[Starved] = attrs.Factory(list)
    # How long a process of the soak stood still, each time.
    stalls_ms: list[float] = attrs.Factory(list)
