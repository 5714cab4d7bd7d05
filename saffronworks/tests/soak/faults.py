"""The faults of one soak, with their times and durations, drawn from a seed alone."""

import random

import attrs

__all__ = [
    "ConfigChange",
    "EndpointDrain",
    "EndpointFault",
    "EndpointLimit",
    "EndpointPartition",
    "EndpointPause",
    "EndpointRestart",
    "Fault",
    "IdleTimeoutChange",
    "LinkFault",
    "NodeFault",
    "OddAnswers",
    "OrganisationChange",
    "Shape",
    "SoftwareRelease",
    "StoreFault",
    "StoreRestore",
    "Surge",
    "draw_deadly",
    "draw_faults",
]

LINK_KINDS = ("delay", "reset", "cut-up", "cut-down", "silent")
LINKS = ("caller", "store", "endpoint")
NODE_KINDS = ("pause", "kill", "stop")
STORE_KINDS = ("busy", "limited", "silent", "slow", "lost", "forget")
# Answers without end, spoiled event ids, and a pause of a sound endpoint before it goes on.
ODD_KINDS = ("endless-head", "endless-body", "endless-interim", "spoiled-ids", "silence")
ODD_SHORTEST_MS, ODD_LONGEST_MS = 1500, 4000
# Idle timeouts of callers' connections, in ms.
IDLE_TIMEOUTS_MS = (700, 1500, 4000)
ENDPOINT_KINDS = ("crash", "drain", "vanish", "grey", "full")
# Faults of one series begin within this time, so that they overlap.
SERIES_SPREAD_MS = 2500
SHORTEST_MS = 300
LONGEST_MS = 3000
# How long an endpoint advertises a rate limit; nodes must comply after three seconds.
NEED_SHORTEST_MS, NEED_LONGEST_MS = 5000, 9000
LIMITS_PER_S = (0.5, 1.0, 2.4, 6.0)
# Delay until the store lists an endpoint as draining that advertises it in its answers; nodes must
# comply after two seconds.
UNTOLD_SHORTEST_MS, UNTOLD_LONGEST_MS = 4000, 8000
# How long an overloaded endpoint rejects all requests.
OVERLOAD_SHORTEST_MS, OVERLOAD_LONGEST_MS = 3000, 6000
# Age of the copy from which the store is restored.
LOST_SHORTEST_MS, LOST_LONGEST_MS = 500, 5000
# Retry-After of an overloaded endpoint, in seconds.
PAUSES_S = (1.5, 3.0, 4.0)
# How long nodes have no paths to endpoints; they must serve their callers after a second.
PARTITION_SHORTEST_MS, PARTITION_LONGEST_MS = 3000, 6000
# How long most new connections come to one node.
SURGE_SHORTEST_MS, SURGE_LONGEST_MS = 2000, 4000
CUTS = ("hang", "reset", "refuse new", "one way")
# How an engine gets another version of its software.
RELEASE_KINDS = ("replace", "restart")
# Longest absence of an endpoint that restarts; its entry expires later.
SHORT_GONE_MS = 2000


@attrs.frozen
class Shape:
    """The size of a soak's site, and the number and span of its faults."""

    nodes: int = 3
    plains: int = 4
    engines: int = 5
    callers: int = 24
    faults_ms: int = 16_000
    # Number of restarts of endpoints under their names.
    restarts: int = 4
    # Whether a content that crashes endpoints is requested repeatedly.
    deadly: bool = True
    # Whether different requests share a prompt part that crashes endpoints.
    parts: bool = True
    # Whether callers have API keys, which change, and organisations have quotas.
    organisations: bool = True
    # Number of times that an endpoint advertises a rate limit.
    limits: int = 3
    # Number of drains that an endpoint advertises before the store lists them, and of pauses.
    drains: int = 2
    pauses: int = 3
    # Number of restores of the store from a copy.
    restores: int = 1
    # Number of times that some or all nodes lose their paths to all endpoints.
    partitions: int = 2
    # Number of software versions of the engines, and of releases while streams run.
    versions: int = 2
    releases: int = 3
    # Number of times that most new connections come to one node.
    surges: int = 2
    # Number of times that an endpoint answers oddly, and of changes of the idle timeout.
    odd_answers: int = 5
    idle_changes: int = 3
    # Whether series of other faults than those below are drawn.
    series: bool = True
    # Number of series of silences of endpoints, and of rolls of nodes.
    silences: int = 3
    rolls: int = 2
    # Number of times that answers of endpoints come twice, and that KV handles expire at once.
    copies: int = 3
    short_handles: int = 2
    # Number of changes of the timeouts of routes.
    timeout_changes: int = 2
    # Callers with long answers, who use draining nodes as well.
    long_callers: int = 6
    # Callers of plain answers that may outlast a drain, who use draining nodes as well.
    page_callers: int = 4
    # Whether endpoints pause at the notice or the end of a drain while their handles expire.
    drain_pauses: bool = True
    # Whether turns of the event loop of nodes that stop take long.
    long_turns: bool = False


@attrs.frozen
class Fault:
    """Begins `at_ms` after the start of traffic and lasts `for_ms`."""

    at_ms: int
    for_ms: int
    kind: str
    # Index of the node, endpoint or link, modulo their number.
    target: int


class NodeFault(Fault):
    """A signal to a node's process; a node that ends is started again after `for_ms`."""


@attrs.frozen
class LinkFault(Fault):
    """A fault of the proxy between callers and a node, or in front of the store or an endpoint."""

    link: str = "caller"


class StoreFault(Fault):
    """A fault of the store, for all nodes."""


@attrs.frozen
class StoreRestore(Fault):
    """An outage of the store that ends with a restore; the last `lost_ms` of writes are lost."""

    lost_ms: int = 1000


class EndpointFault(Fault):
    """An endpoint crashes, drains, disappears, fails some requests or has no free slots."""


class EndpointRestart(Fault):
    """An endpoint restarts under its name and address without its state."""


@attrs.frozen
class EndpointLimit(Fault):
    """An endpoint advertises a rate limit of `per_s` requests per second."""

    per_s: float = 1.0


class EndpointDrain(Fault):
    """An endpoint advertises a drain, which the store lists `for_ms` later."""


@attrs.frozen
class EndpointPause(Fault):
    """An endpoint rejects each request with a Retry-After of `pause_s`."""

    pause_s: float = 1.5


@attrs.frozen
class EndpointPartition(Fault):
    """`count` nodes from `target` on lose their paths to all endpoints; `kind` is a `Cut`."""

    count: int = 1


class Surge(Fault):
    """Callers open more new connections to one node than it can serve."""


class OddAnswers(Fault):
    """Some answers of an endpoint are as one of `ODD_KINDS` says; it passes all checks."""


@attrs.frozen
class IdleTimeoutChange(Fault):
    """The operator changes how long callers' connections may rest."""

    idle_timeout_ms: int = 15_000


@attrs.frozen
class SoftwareRelease(Fault):
    """An engine is replaced by one of another version, or restarts under its name with it."""

    version: str = "v1"


class OrganisationChange(Fault):
    """The operator revokes or restores an API key, and changes a quota."""


class ConfigChange(Fault):
    """The operator writes a configuration that moves a route to another service."""


def draw_faults(seed: int, shape: Shape) -> list[Fault]:
    """Return series of overlapping faults, ordered by time."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(shape.faults_ms // SERIES_SPREAD_MS if shape.series else 0):
        begin_ms = rng.randrange(max(1, shape.faults_ms - SERIES_SPREAD_MS))
        for _ in range(rng.randint(1, 4)):
            faults.append(_draw(rng, begin_ms + rng.randrange(SERIES_SPREAD_MS)))
    changes = [_change(rng, shape) for _ in range(rng.randint(1, 4))]
    # Separate generators keep the other faults of a seed unchanged.
    again = random.Random(f"{seed}/restarts")
    restarts = [
        EndpointRestart(
            again.randrange(shape.faults_ms),
            again.randint(SHORTEST_MS, SHORT_GONE_MS),
            "restart",
            again.randrange(1000),
        )
        for _ in range(shape.restarts)
    ]
    keys = random.Random(f"{seed}/keys")
    organisations = [
        OrganisationChange(keys.randrange(shape.faults_ms), 0, "organisations", 0)
        for _ in range(keys.randint(2, 5) if shape.organisations else 0)
    ]
    struck = [*faults, *changes, *restarts, *organisations, *_draw_limits(seed, shape)]
    struck += _draw_advertised(seed, shape) + _draw_restores(seed, shape)
    struck += _draw_partitions(seed, shape) + _draw_releases(seed, shape)
    struck += _draw_surges(seed, shape) + _draw_odd_answers(seed, shape)
    struck += _draw_idle_changes(seed, shape)
    return sorted(struck, key=lambda fault: fault.at_ms)


def _draw_advertised(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/advertised")
    drawn: list[Fault] = []
    for number in range(shape.drains + shape.pauses):
        at_ms, target = rng.randrange(shape.faults_ms), rng.randrange(1000)
        if number < shape.drains:
            for_ms = rng.randint(UNTOLD_SHORTEST_MS, UNTOLD_LONGEST_MS)
            drawn.append(EndpointDrain(at_ms, for_ms, "drain-notice", target))
        else:
            for_ms = rng.randint(OVERLOAD_SHORTEST_MS, OVERLOAD_LONGEST_MS)
            drawn.append(EndpointPause(at_ms, for_ms, "pause", target, rng.choice(PAUSES_S)))
    return drawn


def _draw_restores(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/restores")
    return [
        StoreRestore(
            rng.randrange(shape.faults_ms),
            rng.randint(SHORTEST_MS, LONGEST_MS),
            "restore",
            0,
            rng.randint(LOST_SHORTEST_MS, LOST_LONGEST_MS),
        )
        for _ in range(shape.restores)
    ]


def _draw_partitions(seed: int, shape: Shape) -> list[Fault]:
    """Return the partitions; most of them spare one node, which can relay for the others."""
    rng = random.Random(f"{seed}/partitions")
    return [
        EndpointPartition(
            rng.randrange(shape.faults_ms),
            rng.randint(PARTITION_SHORTEST_MS, PARTITION_LONGEST_MS),
            rng.choice(CUTS),
            rng.randrange(1000),
            rng.choice([1, max(1, shape.nodes - 1), max(1, shape.nodes - 1), shape.nodes]),
        )
        for _ in range(shape.partitions)
    ]


def _draw_releases(seed: int, shape: Shape) -> list[Fault]:
    """Return the releases; a version may come back, and one more than at the start may appear."""
    rng = random.Random(f"{seed}/releases")
    return [
        SoftwareRelease(
            rng.randrange(shape.faults_ms),
            rng.randint(SHORTEST_MS, SHORT_GONE_MS),
            rng.choice(RELEASE_KINDS),
            rng.randrange(1000),
            f"v{rng.randint(1, shape.versions + 1)}",
        )
        for _ in range(shape.releases)
    ]


def _draw_surges(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/surges")
    return [
        Surge(
            rng.randrange(shape.faults_ms),
            rng.randint(SURGE_SHORTEST_MS, SURGE_LONGEST_MS),
            "surge",
            rng.randrange(1000),
        )
        for _ in range(shape.surges)
    ]


def _draw_odd_answers(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/odd")
    return [
        OddAnswers(
            rng.randrange(shape.faults_ms),
            rng.randint(ODD_SHORTEST_MS, ODD_LONGEST_MS),
            rng.choice(ODD_KINDS),
            rng.randrange(1000),
        )
        for _ in range(shape.odd_answers)
    ]


def _draw_idle_changes(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/idle")
    return [
        IdleTimeoutChange(
            rng.randrange(shape.faults_ms), 0, "idle", 0, rng.choice(IDLE_TIMEOUTS_MS)
        )
        for _ in range(shape.idle_changes)
    ]


def _draw_limits(seed: int, shape: Shape) -> list[Fault]:
    """Return the rate limits, which end before the last fault does."""
    rng = random.Random(f"{seed}/limits")
    drawn: list[Fault] = []
    for _ in range(shape.limits):
        for_ms = min(rng.randint(NEED_SHORTEST_MS, NEED_LONGEST_MS), shape.faults_ms)
        at_ms, target = rng.randrange(max(1, shape.faults_ms - for_ms)), rng.randrange(1000)
        drawn.append(EndpointLimit(at_ms, for_ms, "limit", target, rng.choice(LIMITS_PER_S)))
    return drawn


def draw_deadly(seed: int, shape: Shape) -> list[Fault]:
    """Return the times from which crashing contents, or ones with a crashing part, are asked."""
    kinds = [kind for kind, drawn in (("deadly", shape.deadly), ("part", shape.parts)) if drawn]
    return [
        Fault(random.Random(f"{seed}/{kind}").randrange(shape.faults_ms // 2), 0, kind, 0)
        for kind in kinds
    ]


def _draw(rng: random.Random, at_ms: int) -> Fault:
    for_ms, target = rng.randint(SHORTEST_MS, LONGEST_MS), rng.randrange(1000)
    what = rng.choice(["node", "link", "link", "store", "endpoint"])
    if what == "node":
        return NodeFault(at_ms, for_ms, rng.choice(NODE_KINDS), target)
    if what == "link":
        return LinkFault(at_ms, for_ms, rng.choice(LINK_KINDS), target, rng.choice(LINKS))
    if what == "store":
        return StoreFault(at_ms, for_ms, rng.choice(STORE_KINDS), target)
    return EndpointFault(at_ms, for_ms, rng.choice(ENDPOINT_KINDS), target)


def _change(rng: random.Random, shape: Shape) -> Fault:
    return ConfigChange(rng.randrange(shape.faults_ms), 0, "config", 0)
