"""The faults of one soak: which, when, for how long. Drawn from a seed, nothing else."""

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
    "LinkFault",
    "NodeFault",
    "OrganisationChange",
    "Shape",
    "StoreFault",
    "StoreRestore",
    "draw_deadly",
    "draw_faults",
]

LINK_KINDS = ("delay", "reset", "cut-up", "cut-down", "silent")
LINKS = ("caller", "store", "endpoint")
NODE_KINDS = ("pause", "kill", "stop")
STORE_KINDS = ("busy", "limited", "silent", "slow", "lost", "forget")
ENDPOINT_KINDS = ("crash", "drain", "vanish", "grey", "full")
# Faults of one series begin this close to each other, so that they overlap.
SERIES_SPREAD_MS = 2500
SHORTEST_MS = 300
LONGEST_MS = 3000
# An endpoint in need names its limit for so long: nodes have three seconds to keep it.
NEED_SHORTEST_MS, NEED_LONGEST_MS = 5000, 9000
LIMITS_PER_S = (0.5, 1.0, 2.4, 6.0)
# The store knows so much later than callers that an endpoint drains: nodes have two seconds.
UNTOLD_SHORTEST_MS, UNTOLD_LONGEST_MS = 4000, 8000
# For so long an overloaded endpoint rejects all.
OVERLOAD_SHORTEST_MS, OVERLOAD_LONGEST_MS = 3000, 6000
# A copy of the store is so old when it is restored.
LOST_SHORTEST_MS, LOST_LONGEST_MS = 500, 5000
# Seconds of the pause that an overloaded endpoint asks for with each rejection.
PAUSES_S = (1.5, 3.0, 4.0)
# Nodes that lose their paths to endpoints serve their callers again after a second.
PARTITION_SHORTEST_MS, PARTITION_LONGEST_MS = 3000, 6000
CUTS = ("hang", "reset", "refuse new", "one way")
# One that starts again is back before its entry lapses.
SHORT_GONE_MS = 2000


@attrs.frozen
class Shape:
    """What the site of a soak has, and how long its faults last."""

    nodes: int = 3
    plains: int = 4
    engines: int = 5
    callers: int = 24
    faults_ms: int = 16_000
    # How often an endpoint starts again under its name.
    restarts: int = 4
    # Whether a content that ends its endpoints comes again and again.
    deadly: bool = True
    # Whether callers have keys, which change, and organisations quotas.
    organisations: bool = True
    # How often an endpoint names a limit.
    limits: int = 3
    # How often an endpoint says that it drains before the store knows, and how often one rejects
    # all and asks for a pause.
    drains: int = 2
    pauses: int = 3
    # How often the store is restored from a copy.
    restores: int = 1
    # How often some nodes, or all, lose their paths to all endpoints.
    partitions: int = 2


@attrs.frozen
class Fault:
    """Begins `at_ms` after the start of traffic and lasts `for_ms`."""

    at_ms: int
    for_ms: int
    kind: str
    # Which node, endpoint or link; taken modulo the number there is.
    target: int


class NodeFault(Fault):
    """A signal to a node's process; a node that ends is started again after `for_ms`."""


@attrs.frozen
class LinkFault(Fault):
    """A loopback proxy misbehaves on the way from callers, to the store or to an endpoint."""

    link: str = "caller"


class StoreFault(Fault):
    """The store itself misbehaves, for all nodes."""


@attrs.frozen
class StoreRestore(Fault):
    """The store is away, and comes back from a copy that lacks the last `lost_ms`."""

    lost_ms: int = 1000


class EndpointFault(Fault):
    """An endpoint ends, leaves, fails some requests or has no room."""


class EndpointRestart(Fault):
    """An endpoint starts again under its name and address, and knows nothing of before."""


@attrs.frozen
class EndpointLimit(Fault):
    """An endpoint names in its answers how many requests a second it takes."""

    per_s: float = 1.0


class EndpointDrain(Fault):
    """An endpoint says in its answers that it drains; the store takes it `for_ms` later."""


@attrs.frozen
class EndpointPause(Fault):
    """An endpoint rejects each request, and asks the node to send none for `pause_s`."""

    pause_s: float = 1.5


@attrs.frozen
class EndpointPartition(Fault):
    """`count` nodes from `target` on lose their paths to all endpoints; `kind` is a `Cut`."""

    count: int = 1


class OrganisationChange(Fault):
    """The operator takes a key away or gives it back, and changes a quota."""


class ConfigChange(Fault):
    """The operator writes a new version, which sends a route to another service."""


def draw_faults(seed: int, shape: Shape) -> list[Fault]:
    """Series of faults that overlap, in the order of their beginning."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    for _ in range(shape.faults_ms // SERIES_SPREAD_MS):
        begin_ms = rng.randrange(max(1, shape.faults_ms - SERIES_SPREAD_MS))
        for _ in range(rng.randint(1, 4)):
            faults.append(_draw(rng, begin_ms + rng.randrange(SERIES_SPREAD_MS)))
    changes = [_change(rng, shape) for _ in range(rng.randint(1, 4))]
    # Drawn by themselves, so that the other faults of a seed stay what they were.
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
    struck += _draw_partitions(seed, shape)
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
    """The last node keeps its paths in most of them, as others are only then served."""
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


def _draw_limits(seed: int, shape: Shape) -> list[Fault]:
    """All are over when the other faults are."""
    rng = random.Random(f"{seed}/limits")
    drawn: list[Fault] = []
    for _ in range(shape.limits):
        for_ms = min(rng.randint(NEED_SHORTEST_MS, NEED_LONGEST_MS), shape.faults_ms)
        at_ms, target = rng.randrange(max(1, shape.faults_ms - for_ms)), rng.randrange(1000)
        drawn.append(EndpointLimit(at_ms, for_ms, "limit", target, rng.choice(LIMITS_PER_S)))
    return drawn


def draw_deadly(seed: int, shape: Shape) -> list[Fault]:
    """From when on a deadly content comes; none, or one."""
    at_ms = random.Random(f"{seed}/deadly").randrange(shape.faults_ms // 2)
    return [Fault(at_ms, 0, "deadly", 0)] if shape.deadly else []


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
