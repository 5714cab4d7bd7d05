"""Writes the files of `deploy/days/`, which the users' test bench runs.

A day is a schedule of faults and planned events. There are four kinds, for any site of the bench:
- one for each event: the event at the peak of a burst, then again while another event overlaps;
- mixed: two faults that break answers, three times each, and other events at random times;
- organisations: two organisations send far more than their quotas while keys and quotas change
  and nodes fail or are cut off;
- simultaneous: several events at once, three times.
"""

import random
from pathlib import Path

import attrs

__all__ = ["EVENTS", "main"]

OUTPUT = Path("deploy/days")
FIRST_S = 5.0
SECOND_S = 15.0
OVERLAP_S = 16.0


@attrs.frozen
class DayEvent:
    """One entry of a day, in its list `plan` if `planned`, else `faults`; `fields` is TOML text."""

    name: str
    kind: str
    fields: str = ""
    planned: bool = False

    def entry(self, at_s: float) -> str:
        """Return the TOML line of this event, `at_s` seconds after the start of the day."""
        fields = f", {self.fields}" if self.fields else ""
        return f'  {{ at = {at_s}, kind = "{self.kind}"{fields} }},'


EVENTS = (
    DayEvent("retry-abuse", "retry_abuse", "share = 0.4, x = 4.0, for_s = 6.0"),
    DayEvent("give-up", "give_up", "share = 0.4, for_s = 6.0"),
    DayEvent("crash", "srv_crash", "share = 0.3, for_s = 4.0"),
    DayEvent("crash-dark", "srv_crash", 'share = 0.3, for_s = 4.0, how = "dark"'),
    DayEvent("crash-gone", "srv_crash", 'share = 0.2, how = "gone"'),
    DayEvent("slow", "srv_slow", "share = 0.3, x = 5.0, for_s = 6.0"),
    DayEvent("grey-errors", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "errors"'),
    DayEvent("grey-shed", "srv_grey", 'share = 0.3, x = 0.5, for_s = 6.0, how = "shed"'),
    DayEvent("grey-hang", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "hang"'),
    DayEvent("grey-reset", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "reset"'),
    DayEvent("grey-mute", "srv_grey", 'share = 0.3, x = 0.4, for_s = 6.0, how = "mute"'),
    DayEvent("release", "release", "share = 1.0, x = 1.0, gap_s = 0.8", planned=True),
    DayEvent("scale-in", "scale_in", "share = 0.2", planned=True),
    DayEvent("scale-in-spot", "scale_in", 'share = 0.2, how = "spot"', planned=True),
    DayEvent("scale-out", "scale_out", "share = 0.3", planned=True),
    DayEvent("answer-lost", "answer_lost", "share = 0.6, x = 0.2, for_s = 6.0"),
    DayEvent("answer-reset", "answer_lost", 'share = 0.6, x = 0.2, for_s = 6.0, how = "reset"'),
    DayEvent("garble", "garble", "share = 0.6, x = 0.1, for_s = 6.0"),
    DayEvent("garble-extra", "garble", 'share = 0.6, x = 0.1, for_s = 6.0, how = "extra late"'),
    DayEvent("garble-unframed", "garble", 'share = 0.6, x = 0.2, for_s = 6.0, how = "unframed"'),
    DayEvent("garble-early", "garble", 'share = 0.6, x = 0.2, for_s = 6.0, how = "early"'),
    DayEvent("node-kill", "node_kill", "share = 0.4"),
    DayEvent("node-power", "node_kill", 'share = 0.4, for_s = 3.0, how = "power"'),
    DayEvent("node-freeze", "node_freeze", "share = 0.4, for_s = 4.0"),
    DayEvent("node-slow", "node_slow", "share = 0.4, x = 5.0, for_s = 5.0"),
    DayEvent("roll-term", "roll_term", "share = 1.0, gap_s = 0.8", planned=True),
    DayEvent("roll-busy", "roll_term", 'share = 1.0, gap_s = 0.5, how = "busy"', planned=True),
    DayEvent("herd-kill", "herd_kill", "share = 1.0"),
    DayEvent("add-nodes", "add_nodes", "", planned=True),
    DayEvent("replace", "replace_core", 'x = 1.0, how = "leader"'),
    DayEvent("clock-step", "clock_step", "share = 0.5, x = 4000.0, for_s = 5.0"),
    DayEvent("clock-back", "clock_step", 'share = 0.5, x = 4000.0, for_s = 5.0, how = "back"'),
    DayEvent("hup", "hup", "share = 1.0", planned=True),
    DayEvent("core-cut", "core_cut", 'count = 3, for_s = 5.0, how = "leader race"'),
    DayEvent("core-cut-reset", "core_cut", 'count = 3, for_s = 5.0, how = "reset"'),
    DayEvent("node-cut", "node_cut", 'share = 0.4, for_s = 6.0, how = "meet drain"'),
    DayEvent("node-cut-servers", "node_cut", 'share = 0.4, for_s = 5.0, how = "servers"'),
    DayEvent("server-cut", "srv_cut", 'share = 0.3, for_s = 5.0, how = "fronts"'),
    DayEvent("reuse", "replace_with_reuse", "share = 0.3"),
    DayEvent("reuse-dark", "replace_with_reuse", 'share = 0.3, how = "dark"'),
    DayEvent("reuse-drain", "replace_with_reuse", 'share = 0.3, how = "drain"'),
    DayEvent("lossy", "lossy", "x = 0.05, for_s = 6.0"),
    DayEvent("reset-conns", "reset_conns", "share = 0.6, x = 0.5"),
    DayEvent("store-silent", "platform_down", 'for_s = 4.0, how = "silent lapse"'),
    DayEvent("store-busy", "platform_down", 'for_s = 5.0, how = "busy"'),
    DayEvent("store-nodes", "platform_down", 'share = 0.5, for_s = 5.0, how = "nodes reset drain"'),
    DayEvent("store-slow", "platform_slow", "x = 80.0, for_s = 5.0"),
    DayEvent("store-lost", "platform_lost", 'x = 0.5, for_s = 5.0, how = "late"'),
    DayEvent("store-compact", "platform_compact", 'x = 5.0, for_s = 6.0, how = "drain"'),
    DayEvent("config-route", "config_change", 'how = "route"', planned=True),
    DayEvent("config-weights", "config_change", 'how = "weights"', planned=True),
    DayEvent("config-timeout", "config_change", 'how = "timeout"', planned=True),
    DayEvent("orders-late", "applied_late", 'x = 0.6, for_s = 8.0, how = "orders"'),
    DayEvent("moves-slow", "kv_slow", "share = 0.5, for_s = 6.0"),
    DayEvent("handles-short", "handle_short", "share = 0.5, for_s = 5.0"),
)


# Faults of endpoints that break answers. A mixed day has two of them, so that an answer broken by
# one continues at an endpoint with the other.
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
# Two organisations exceed their quotas at overlapping times.
EXCESS_LOAD = (
    DayEvent("hot-first", "hot_tenant", "x = 7.5, for_s = 9.0, count = 1"),
    DayEvent("hot-second", "hot_tenant", "x = 9.0, for_s = 9.0, count = 2"),
)
# Changes by the operator, some of them while a part of the nodes can't reach the store.
ORGANISATION_CHANGES = (
    DayEvent("quota", "config_change", 'how = "quota"', planned=True),
    DayEvent("quota-down", "config_change", 'how = "quota down"', planned=True),
    DayEvent("topup", "config_change", 'how = "topup"', planned=True),
    DayEvent("revoke", "revoke", "count = 3, gap_s = 0.4", planned=True),
    DayEvent("revoke-last", "revoke", 'count = 2, gap_s = 0.5, how = "last"', planned=True),
    DayEvent(
        "store-revoke", "platform_down", 'share = 0.4, for_s = 8.0, how = "nodes busy revoke"'
    ),
    DayEvent("cut-revoke", "platform_down", 'share = 0.4, for_s = 8.0, how = "nodes revoke meet"'),
)
NODE_EVENTS = (
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
# Events that happen at once, three times a day: endpoints drain while the store is unavailable, and
# endpoints reject half of the requests in a burst.
SIMULTANEOUS_EVENTS = {
    "drain-store-away": (
        DayEvent("release-all", "release", "share = 1.0, x = 1.0, gap_s = 1.0", planned=True),
        DayEvent("scale-in-third", "scale_in", "share = 0.34", planned=True),
        DayEvent("store-away", "platform_down", 'for_s = 7.0, how = "silent"'),
    ),
    "reject-burst": (
        DayEvent("shed-most", "srv_grey", 'share = 0.6, x = 0.5, for_s = 8.0, how = "shed"'),
        DayEvent("burst", "burst", "x = 2.0, for_s = 8.0"),
    ),
    # Most machines lose their paths to all servers.
    "endpoint-partition": (
        DayEvent("lose-paths", "srv_cut", 'share = 1.0, x = 0.6, for_s = 7.0, how = "some"'),
    ),
    "endpoint-partition-faults": (
        DayEvent("lose-paths", "srv_cut", 'share = 1.0, x = 0.8, for_s = 7.0, how = "some"'),
        DayEvent("kill", "node_kill", "share = 0.2"),
        DayEvent("release-half", "release", "share = 0.5, x = 1.0, gap_s = 1.0", planned=True),
        DayEvent("store-away", "platform_down", 'for_s = 4.0, how = "silent"'),
    ),
}
ORGANISATION_DAYS = 6
MIXED_DAYS = 8
MIXED_EVENT_COUNT = 8
MIXED_FROM_S, MIXED_UNTIL_S = 3.0, 28.0


def format_day(event: DayEvent, overlapping: DayEvent, seed: int) -> str:
    """Return a day with an event, and the event again while another one overlaps."""
    entries = [(FIRST_S, event), (SECOND_S, event), (OVERLAP_S, overlapping)]
    return _format(event.name, seed, entries)


def format_mixed_day(seed: int) -> str:
    """Return a day with two answer faults, three times each, and other events at random times."""
    rng = random.Random(seed)
    by_name = {event.name: event for event in EVENTS}
    fault_pair = [by_name[name] for name in rng.sample(ANSWER_FAULTS, 2)]
    entries = [(at_s, event) for at_s in (4.0, 14.0, 24.0) for event in fault_pair]
    for event in rng.sample(EVENTS, MIXED_EVENT_COUNT):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), event))
    return _format(f"mixed-{seed}", seed, entries)


def format_organisation_day(seed: int) -> str:
    """Return a day with excess load twice, and changes and node faults at random times."""
    rng = random.Random(seed)
    by_name = {event.name: event for event in EVENTS}
    entries = [(at_s, load) for at_s in (5.0, 17.0) for load in EXCESS_LOAD]
    for event in rng.sample(ORGANISATION_CHANGES, 5):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), event))
    for name in rng.sample(NODE_EVENTS, 4):
        entries.append((round(rng.uniform(MIXED_FROM_S, MIXED_UNTIL_S), 1), by_name[name]))
    return _format(f"organisations-{seed}", seed, entries)


def format_simultaneous_day(name: str, events: tuple[DayEvent, ...], seed: int) -> str:
    """Return a day with all `events` at once, three times."""
    entries = [(at_s, event) for at_s in (5.0, 15.0, 25.0) for event in events]
    return _format(name, seed, entries)


def _format(name: str, seed: int, entries: list[tuple[float, DayEvent]]) -> str:
    lines = {
        planned: [event.entry(at_s) for at_s, event in entries if event.planned is planned]
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
    """Write all day files; the overlapping event of a day is another one of `EVENTS`."""
    OUTPUT.mkdir(parents=True, exist_ok=True)
    for index, event in enumerate(EVENTS):
        overlapping = EVENTS[(index * 7 + 11) % len(EVENTS)]
        text = format_day(event, overlapping, 1000 + index)
        (OUTPUT / f"{event.name}.toml").write_text(text, encoding="utf-8")
    for seed in range(1, MIXED_DAYS + 1):
        (OUTPUT / f"mixed-{seed}.toml").write_text(format_mixed_day(seed), encoding="utf-8")
    for seed in range(1, ORGANISATION_DAYS + 1):
        text = format_organisation_day(seed)
        (OUTPUT / f"organisations-{seed}.toml").write_text(text, encoding="utf-8")
    for seed, (name, events) in enumerate(SIMULTANEOUS_EVENTS.items(), 1):
        text = format_simultaneous_day(name, events, seed)
        (OUTPUT / f"{name}.toml").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
