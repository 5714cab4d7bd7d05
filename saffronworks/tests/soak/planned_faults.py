"""Rolls of nodes, silent endpoints, late copies and short handles, drawn from a seed alone."""

import random

import attrs

from saffronworks.tests.soak.answer_lengths import LONG_SERVICE
from saffronworks.tests.soak.faults import (
    IDLE_TIMEOUTS_MS,
    ConfigChange,
    EndpointPartition,
    Fault,
    IdleTimeoutChange,
    Shape,
    draw_faults,
)

__all__ = [
    "EXTRA_SIGNALS",
    "SCOPES",
    "TURNS_MS",
    "AnswerCopies",
    "EndpointSilences",
    "NodeRoll",
    "ShortHandles",
    "TimeoutChange",
    "draw_all_faults",
    "draw_shape",
]

# Signals beside the SIGTERM of a node: another one, a reload, or a SIGSTOP before it.
EXTRA_SIGNALS = ("none", "term", "hup", "freeze")
ROLL_GAP_SHORTEST_MS, ROLL_GAP_LONGEST_MS = 1000, 2200
EXTRA_LATEST_MS, FREEZE_SHORTEST_MS, FREEZE_LONGEST_MS = 5000, 200, 1500
# Which endpoints of a service fall silent, how long, and the time to the next silence.
SCOPES = ("one", "most", "all")
SILENCE_SHORTEST_MS, SILENCE_LONGEST_MS = 300, 2000
# Half of the series at one endpoint are of one with long answers, and their first silence outlasts
# that after which a stream may be given up.
LONG_SILENCE_SHARE = 0.5
LONG_SILENCE_SHORTEST_MS, LONG_SILENCE_LONGEST_MS = 2300, 3500
SILENCE_GAP_SHORTEST_MS, SILENCE_GAP_LONGEST_MS = 1500, 4000
MOST_SILENCES = 4
# A series of silences begins up to this long after the roll that it accompanies.
SILENCE_AFTER_ROLL_MS = 6000
# Pauses at the notice of a drain and at its end: begin after the roll, and length.
DRAIN_PAUSES_MS = ((1500, 2200, 500, 1800), (5200, 7000, 500, 1800))
# The first of them outlasts the silence after which a node gives up a stream, where no endpoint
# joins or restarts meanwhile to go on with it.
GIVE_UP_PAUSE_MS = 3200
DRAIN_MS = 8000
# Long turns of the event loop of a node: one at the begin or the end of its drain, others anywhere.
TURNS_MS, MOST_TURNS, TURN_GAP_MS = (0, 6700, 7000, 7200), 2, 1000
PROTOCOL_SHORTEST_MS, PROTOCOL_LONGEST_MS = 2000, 5000
# One endpoint, or all of a service with engines.
COPY_SERVICES = ("", "llm", "llm", LONG_SERVICE)
BESIDE_COPIES_SHARE = 0.7
# Services whose answers come twice while nodes reach their endpoints over other nodes, and the
# share of partitions beside which they do.
RELAYED_COPY_SERVICES, BESIDE_PARTITION_SHARE = ("web-a", "llm", LONG_SERVICE), 0.5
PLAIN_TIMEOUTS_MS, LONG_TIMEOUTS_MS = (2500, 3000, 4000), (10_000, 14_000)
# Shares of the seeds that play planned work alone, and a site as large as the limits allow.
PLANNED_SHARE, LARGE_SHARE = 0.4, 0.1
LARGE_NODES, LARGE_CALLERS, LARGE_LONG_CALLERS = (24, 40, 56), 72, 12
# Engines that these callers need; quotas are those of a few callers and do not apply.
LARGE_ENGINES, LARGE_PLAINS = 11, 8


@attrs.frozen
class NodeRoll(Fault):
    """SIGTERMs of `count` nodes `gap_ms` apart, each with an extra signal (name, ms after).

    `turns` are when turns of the event loop of each node take long, in ms after its SIGTERM.
    """

    count: int = 2
    gap_ms: int = 1500
    extras: tuple[tuple[str, int], ...] = ()
    turns: tuple[tuple[int, ...], ...] = ()


@attrs.frozen
class EndpointSilences(Fault):
    """Endpoints of a service are suspended in turn: (begin, length) in ms; `kind` is the scope."""

    silences: tuple[tuple[int, int], ...] = ()
    # That of the target where empty.
    service: str = ""


@attrs.frozen
class AnswerCopies(Fault):
    """Some answers of an endpoint, or of all of a service, come a second time."""

    service: str = ""


@attrs.frozen
class ShortHandles(Fault):
    """KV handles of a prefill endpoint, or of all of a service, expire at once."""

    service: str = ""


@attrs.frozen
class TimeoutChange(Fault):
    """The operator changes the timeouts of routes."""

    timeouts_ms: tuple[tuple[str, int], ...] = ()


def draw_shape(seed: int, whole: Shape) -> Shape:
    """Return the shape of a seed: all faults, planned work alone, or a large site."""
    rng = random.Random(f"{seed}/shape")
    drawn = rng.random()
    if drawn < PLANNED_SHARE:
        return attrs.evolve(
            whole,
            series=False,
            restarts=0,
            deadly=False,
            parts=False,
            limits=0,
            drains=0,
            pauses=0,
            restores=0,
            partitions=0,
            releases=0,
            surges=0,
            odd_answers=0,
            rolls=whole.rolls + 1,
            silences=whole.silences + 1,
            copies=whole.copies + 2,
            short_handles=whole.short_handles + 3,
            long_callers=2 * whole.long_callers,
        )
    if drawn < PLANNED_SHARE + LARGE_SHARE:
        return attrs.evolve(
            whole,
            nodes=rng.choice(LARGE_NODES),
            callers=LARGE_CALLERS,
            long_callers=LARGE_LONG_CALLERS,
            engines=LARGE_ENGINES,
            plains=LARGE_PLAINS,
            organisations=False,
        )
    return whole


def draw_all_faults(seed: int, shape: Shape) -> list[Fault]:
    """Return all faults of a seed, ordered by time."""
    rolls = _draw_rolls(seed, shape)
    drawn = [*draw_faults(seed, shape), *rolls]
    drawn += _draw_relayed_copies(seed, shape, drawn)
    drawn += _draw_silences(seed, shape, rolls) + _draw_protocol(seed, shape)
    drawn += _draw_timeouts(seed, shape) + _draw_drain_pauses(seed, shape, rolls)
    return sorted(drawn, key=lambda fault: fault.at_ms)


def _draw_rolls(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/rolls")
    turns_rng = random.Random(f"{seed}/turns")
    rolls: list[Fault] = []
    for _ in range(shape.rolls):
        count = rng.randint(min(2, shape.nodes), max(2, shape.nodes * 2 // 3))
        extras = tuple(_draw_extra(rng) for _ in range(count))
        gap_ms = rng.randint(ROLL_GAP_SHORTEST_MS, ROLL_GAP_LONGEST_MS)
        at_ms, target = rng.randrange(shape.faults_ms), rng.randrange(1000)
        turns = tuple(_draw_turns(turns_rng) for _ in range(count * shape.long_turns))
        rolls.append(NodeRoll(at_ms, 0, "roll", target, count, gap_ms, extras, turns))
    return rolls


def _draw_turns(rng: random.Random) -> tuple[int, ...]:
    """Return begins of long turns, some at the SIGTERM and at the end of the grace period."""
    drawn = [rng.choice(TURNS_MS)]
    for _ in range(rng.randint(0, MOST_TURNS)):
        at_ms = rng.randrange(TURNS_MS[-1])
        if all(abs(at_ms - other_ms) >= TURN_GAP_MS for other_ms in drawn):
            drawn.append(at_ms)
    return tuple(sorted(drawn))


def _draw_extra(rng: random.Random) -> tuple[str, int]:
    name = rng.choice(EXTRA_SIGNALS)
    if name == "freeze":
        return name, rng.randint(FREEZE_SHORTEST_MS, FREEZE_LONGEST_MS)
    return name, rng.randrange(EXTRA_LATEST_MS)


def _draw_silences(seed: int, shape: Shape, rolls: list[Fault]) -> list[Fault]:
    """Return series of silences, half of them while nodes drain, some beside new versions."""
    rng = random.Random(f"{seed}/silences")
    long_ones = random.Random(f"{seed}/long-silences")
    drawn: list[Fault] = []
    for _ in range(shape.silences):
        at_ms = rng.randrange(shape.faults_ms)
        if rolls and rng.random() < 0.5:
            at_ms = rng.choice(rolls).at_ms + rng.randrange(SILENCE_AFTER_ROLL_MS)
        silences, begin_ms = [], 0
        for _ in range(rng.randint(2, MOST_SILENCES)):
            silences.append((begin_ms, rng.randint(SILENCE_SHORTEST_MS, SILENCE_LONGEST_MS)))
            begin_ms += rng.randint(SILENCE_GAP_SHORTEST_MS, SILENCE_GAP_LONGEST_MS)
        scope, target = rng.choice(SCOPES), rng.randrange(1000)
        service = ""
        if scope == SCOPES[0] and long_ones.random() < LONG_SILENCE_SHARE:
            long_ms = long_ones.randint(LONG_SILENCE_SHORTEST_MS, LONG_SILENCE_LONGEST_MS)
            silences[0], service = (silences[0][0], long_ms), LONG_SERVICE
        drawn.append(EndpointSilences(at_ms, begin_ms, scope, target, tuple(silences), service))
        beside = rng.choice(["none", "idle", "config"])
        if beside == "idle" and shape.idle_changes:
            idle_ms = rng.choice(IDLE_TIMEOUTS_MS)
            drawn.append(IdleTimeoutChange(at_ms, 0, "idle", 0, idle_ms))
        elif beside == "config":
            drawn.append(ConfigChange(at_ms, 0, "config", 0))
    return drawn


def _draw_drain_pauses(seed: int, shape: Shape, rolls: list[Fault]) -> list[Fault]:
    """Return pauses of whole services at the turns of drains, while their KV handles expire."""
    rng = random.Random(f"{seed}/drain-pauses")
    drawn: list[Fault] = []
    for roll in rolls if shape.drain_pauses else ():
        pauses = [
            (rng.randint(earliest_ms, latest_ms), rng.randint(shortest_ms, longest_ms))
            for earliest_ms, latest_ms, shortest_ms, longest_ms in DRAIN_PAUSES_MS
        ]
        if not shape.series and rng.random() < 0.5:
            pauses[0] = (pauses[0][0], GIVE_UP_PAUSE_MS)
        service, target = rng.choice(("llm", LONG_SERVICE, "web-a")), rng.randrange(1000)
        drawn.append(EndpointSilences(roll.at_ms, DRAIN_MS, "all", target, tuple(pauses), service))
        drawn.append(ShortHandles(roll.at_ms, DRAIN_MS, "handles", target, service))
    return drawn


def _draw_protocol(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/protocol")
    drawn: list[Fault] = []
    for number in range(max(shape.copies, shape.short_handles)):
        at_ms, target = rng.randrange(shape.faults_ms), rng.randrange(1000)
        for_ms = rng.randint(PROTOCOL_SHORTEST_MS, PROTOCOL_LONGEST_MS)
        service = rng.choice(COPY_SERVICES)
        if number < shape.copies:
            drawn.append(AnswerCopies(at_ms, for_ms, "copies", target, service))
        # Most handles expire while answers come twice: refusals are sent for them.
        if number < shape.short_handles and rng.random() < BESIDE_COPIES_SHARE:
            drawn.append(ShortHandles(at_ms, for_ms, "handles", target, service))
        elif number < shape.short_handles:
            begin_ms = rng.randrange(shape.faults_ms)
            drawn.append(ShortHandles(begin_ms, for_ms, "handles", target))
    return drawn


def _draw_relayed_copies(seed: int, shape: Shape, faults: list[Fault]) -> list[Fault]:
    """Return copies of answers of a service for as long as nodes lose their paths to it."""
    rng = random.Random(f"{seed}/relayed-copies")
    partitions = [fault for fault in faults if isinstance(fault, EndpointPartition)]
    return [
        AnswerCopies(cut.at_ms, cut.for_ms, "relayed-copies", 0, rng.choice(RELAYED_COPY_SERVICES))
        for cut in partitions
        if shape.copies and rng.random() < BESIDE_PARTITION_SHARE
    ]


def _draw_timeouts(seed: int, shape: Shape) -> list[Fault]:
    rng = random.Random(f"{seed}/timeouts")
    return [
        TimeoutChange(
            rng.randrange(shape.faults_ms),
            0,
            "timeouts",
            0,
            (("plain", rng.choice(PLAIN_TIMEOUTS_MS)), ("long", rng.choice(LONG_TIMEOUTS_MS))),
        )
        for _ in range(shape.timeout_changes)
    ]
