"""Writes `deploy/days/`: days of the users' bench, for any of its sites.

For each kind of trouble a day with a burst and, at its hardest moment, the trouble, then the
trouble again beside another one. Beside these, mixed days, on which many troubles overlap: a pair
of faults of endpoints that break answers, and others around them; and days on which organisations
ask for far more than their quotas while keys and quotas change and nodes end or hear few others;
and days on which several troubles strike at once, again and again.
"""

import random
from pathlib import Path

import attrs

__all__ = ["TROUBLES", "main"]

OUTPUT = Path("deploy/days")
FIRST_S = 5.0
SECOND_S = 15.0
ACROSS_S = 16.0


@attrs.frozen
class Trouble:
    """One entry of a day; `fields` is its text without kind and time, `planned` its table."""

    name: str
    kind: str
    fields: str = ""
    planned: bool = False

    def entry(self, at_s: float) -> str:
        """The line of a day."""
        fields = f", {self.fields}" if self.fields else ""
        return f'  {{ at = {at_s}, kind = "{self.kind}"{fields} }},'


TROUBLES = (
    Trouble("retry-abuse", "retry_abuse", "share = 0.4, x = 4.0, for_s = 6.0"),
    Trouble("give-up", "give_up", "share = 0.4, for_s = 6.0"),
    Trouble("crash", "srv_crash", "share = 0.3, for_s = 4.0"),
    Trouble("crash-dark", "srv_crash", 'share = 0.3, for_s = 4.0, how = "dark"'),
    Trouble("crash-gone", "srv_crash", 'share = 0.2, how = "gone"'),
    Trouble("slow", "srv_slow", "share = 0.3, x = 5.0, for_s = 6.0"),
    Trouble("grey-errors", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "errors"'),
    Trouble("grey-shed", "srv_grey", 'share = 0.3, x = 0.5, for_s = 6.0, how = "shed"'),
    Trouble("grey-hang", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "hang"'),
    Trouble("grey-reset", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "reset"'),
    Trouble("grey-mute", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "mute"'),
    Trouble("release", "release", "share = 1.0, x = 1.0, gap_s = 0.8", planned=True),
    Trouble("scale-in", "scale_in", "share = 0.2", planned=True),
    Trouble("scale-in-spot", "scale_in", 'share = 0.2, how = "spot"', planned=True),
    Trouble("scale-out", "scale_out", "share = 0.3", planned=True),
    Trouble("answer-lost", "answer_lost", "share = 0.6, x = 0.2, for_s = 6.0"),
    Trouble("answer-reset", "answer_lost", 'share = 0.6, x = 0.2, for_s = 6.0, how = "reset"'),
    Trouble("garble", "garble", "share = 0.6, x = 0.1, for_s = 6.0"),
    Trouble("garble-extra", "garble", 'share = 0.6, x = 0.1, for_s = 6.0, how = "extra late"'),
    Trouble("garble-unframed", "garble", 'share = 0.6, x = 0.2, for_s = 6.0, how = "unframed"'),
    Trouble("garble-early", "garble", 'share = 0.6, x = 0.2, for_s = 6.0, how = "early"'),
    Trouble("node-kill", "node_kill", "share = 0.4"),
    Trouble("node-power", "node_kill", 'share = 0.4, for_s = 3.0, how = "power"'),
    Trouble("node-freeze", "node_freeze", "share = 0.4, for_s = 4.0"),
    Trouble("node-slow", "node_slow", "share = 0.4, x = 5.0, for_s = 5.0"),
    Trouble("roll-term", "roll_term", "share = 1.0, gap_s = 0.8", planned=True),
    Trouble("roll-busy", "roll_term", 'share = 1.0, gap_s = 0.5, how = "busy"', planned=True),
    Trouble("herd-kill", "herd_kill", "share = 1.0"),
    Trouble("add-nodes", "add_nodes", "", planned=True),
    Trouble("replace", "replace_core", 'x = 1.0, how = "leader"'),
    Trouble("clock-step", "clock_step", "share = 0.5, x = 4000.0, for_s = 5.0"),
    Trouble("clock-back", "clock_step", 'share = 0.5, x = 4000.0, for_s = 5.0, how = "back"'),
    Trouble("hup", "hup", "share = 1.0", planned=True),
    Trouble("core-cut", "core_cut", 'count = 3, for_s = 5.0, how = "leader race"'),
    Trouble("core-cut-reset", "core_cut", 'count = 3, for_s = 5.0, how = "reset"'),
    Trouble("node-cut", "node_cut", 'share = 0.4, for_s = 6.0, how = "meet drain"'),
    Trouble("node-cut-servers", "node_cut", 'share = 0.4, for_s = 5.0, how = "servers"'),
    Trouble("server-cut", "srv_cut", 'share = 0.3, for_s = 5.0, how = "fronts"'),
    Trouble("reuse", "replace_with_reuse", "share = 0.3"),
    Trouble("reuse-dark", "replace_with_reuse", 'share = 0.3, how = "dark"'),
    Trouble("reuse-drain", "replace_with_reuse", 'share = 0.3, how = "drain"'),
    Trouble("lossy", "lossy", "x = 0.05, for_s = 6.0"),
    Trouble("reset-conns", "reset_conns", "share = 0.6, x = 0.5"),
    Trouble("store-silent", "platform_down", 'for_s = 4.0, how = "silent lapse"'),
    Trouble("store-busy", "platform_down", 'for_s = 5.0, how = "busy"'),
    Trouble("store-nodes", "platform_down", 'share = 0.5, for_s = 5.0, how = "nodes reset drain"'),
    Trouble("store-slow", "platform_slow", "x = 80.0, for_s = 5.0"),
    Trouble("store-lost", "platform_lost", 'x = 0.5, for_s = 5.0, how = "late"'),
    Trouble("store-compact", "platform_compact", 'x = 5.0, for_s = 6.0, how = "drain"'),
    Trouble("config-route", "config_change", 'how = "route"', planned=True),
    Trouble("config-weights", "config_change", 'how = "weights"', planned=True),
    Trouble("config-timeout", "config_change", 'how = "timeout"', planned=True),
    Trouble("orders-late", "applied_late", 'x = 0.6, for_s = 8.0, how = "orders"'),
    Trouble("moves-slow", "kv_slow", "share = 0.5, for_s = 6.0"),
    Trouble("handles-short", "handle_short", "share = 0.5, for_s = 5.0"),
)


# Pairs of ways in which endpoints break answers: an answer that broke goes on at an endpoint that
# fails it in another way.
ANSWER_FAULTS = (
    "grey-errors",
    "grey-hang",
    "grey-reset",
    "grey-mute",
    "answer-lost",
    "answer-reset",
    "garble",
    "garble-extra",
    "garble-unframed",
    "crash",
)
# Two organisations run hot, one across the other.
HOT_ORGANISATIONS = (
    Trouble("hot-first", "hot_tenant", "x = 7.5, for_s = 9.0, count = 1"),
    Trouble("hot-second", "hot_tenant", "x = 9.0, for_s = 9.0, count = 2"),
)
# What the operator changes meanwhile, and what it does while some nodes hear nothing of it.
ORGANISATION_CHANGES = (
    Trouble("quota", "config_change", 'how = "quota"', planned=True),
    Trouble("quota-down", "config_change", 'how = "quota down"', planned=True),
    Trouble("topup", "config_change", 'how = "topup"', planned=True),
    Trouble("revoke", "revoke", "count = 3, gap_s = 0.4", planned=True),
    Trouble("revoke-last", "revoke", 'count = 2, gap_s = 0.5, how = "last"', planned=True),
    Trouble("store-revoke", "platform_down", 'share = 0.4, for_s = 8.0, how = "nodes busy revoke"'),
    Trouble("cut-revoke", "platform_down", 'share = 0.4, for_s = 8.0, how = "nodes revoke meet"'),
)
NODE_TROUBLES = (
    "node-kill",
    "node-power",
    "node-freeze",
    "herd-kill",
    "node-cut",
    "core-cut",
    "core-cut-reset",
    "roll-term",
    "replace",
    "store-silent",
    "reset-conns",
    "lossy",
)
# Troubles that strike together, three times over: endpoints drain while the store is away, and
# reject half of a burst.
TOGETHER = {
    "drain-store-away": (
        Trouble("release-all", "release", "share = 1.0, x = 1.0, gap_s = 1.0", planned=True),
        Trouble("scale-in-third", "scale_in", "share = 0.34", planned=True),
        Trouble("store-away", "platform_down", 'for_s = 7.0, how = "silent"'),
    ),
    "reject-burst": (
        Trouble("shed-most", "srv_grey", 'share = 0.6, x = 0.5, for_s = 8.0, how = "shed"'),
        Trouble("burst", "burst", "x = 2.0, for_s = 8.0"),
    ),
}
ORGANISATION_DAYS = 6
MIXED_DAYS = 8
MIXED_TROUBLES = 8
MIXED_FROM_S, MIXED_UNTIL_S = 3.0, 28.0


def write_day(trouble: Trouble, across: Trouble, seed: int) -> str:
    """One day: the trouble, then the trouble again with another one across it."""
    entries = [(FIRST_S, trouble), (SECOND_S, trouble), (ACROSS_S, across)]
    return _write(trouble.name, seed, entries)


def write_mixed_day(seed: int) -> str:
    """One day: two faults of answers three times over, and other troubles at any moment."""
    rng = random.Random(seed)
    by_name = {trouble.name: trouble for trouble in TROUBLES}
    pair = [by_name[name] for name in rng.sample(ANSWER_FAULTS, 2)]
    entries = [(at_s, trouble) for at_s in (4.0, 14.0, 24.0) for trouble in pair]
    for trouble in rng.sample(TROUBLES, MIXED_TROUBLES):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), trouble))
    return _write(f"mixed-{seed}", seed, entries)


def write_organisation_day(seed: int) -> str:
    """One day: two organisations run hot twice, changes and trouble of nodes at any moment."""
    rng = random.Random(seed)
    by_name = {trouble.name: trouble for trouble in TROUBLES}
    entries = [(at_s, hot) for at_s in (5.0, 17.0) for hot in HOT_ORGANISATIONS]
    for trouble in rng.sample(ORGANISATION_CHANGES, 5):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), trouble))
    for name in rng.sample(NODE_TROUBLES, 4):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), by_name[name]))
    return _write(f"organisations-{seed}", seed, entries)


def write_day_of(name: str, troubles: tuple[Trouble, ...], seed: int) -> str:
    """One day: all of these troubles at once, three times over."""
    entries = [(at_s, trouble) for at_s in (5.0, 15.0, 25.0) for trouble in troubles]
    return _write(name, seed, entries)


def _write(name: str, seed: int, entries: list[tuple[float, Trouble]]) -> str:
    lines = {
        planned: [trouble.entry(at_s) for at_s, trouble in entries if trouble.planned is planned]
        for planned in (True, False)
    }
    text = [
        f'name = "{name}"',
        'slot = "trouble"',
        f"seed = {seed}",
        "zero = 0.0",
        "one = 1.0",
        "plan = [",
        *lines[True],
        "]",
        "faults = [",
        *lines[False],
        f'  {{ at = {FIRST_S}, kind = "burst", x = 1.8, for_s = 4.0 }},',
        "]",
        "",
    ]
    return "\n".join(text)


def main() -> None:
    """Write all day files; each trouble meets the one some places further on."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    for index, trouble in enumerate(TROUBLES):
        across = TROUBLES[(index * 7 + 11) % len(TROUBLES)]
        text = write_day(trouble, across, 1000 + index)
        (OUTPUT / f"{trouble.name}.toml").write_text(text, encoding="utf-8")
    for seed in range(1, MIXED_DAYS + 1):
        (OUTPUT / f"mixed-{seed}.toml").write_text(write_mixed_day(seed), encoding="utf-8")
    for seed in range(1, ORGANISATION_DAYS + 1):
        text = write_organisation_day(seed)
        (OUTPUT / f"organisations-{seed}.toml").write_text(text, encoding="utf-8")
    for seed, (name, troubles) in enumerate(TOGETHER.items(), 1):
        text = write_day_of(name, troubles, seed)
        (OUTPUT / f"{name}.toml").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
