"""Seeds that once broke a promise, each with its cause; `make soak-failed` plays them again."""

__all__ = [
    "FAILED_SEEDS",
    "FAILED_WITH_DRAINS",
    "FAILED_WITH_LIMITS",
    "FAILED_WITH_ORGANISATIONS",
    "FAILED_WITH_ROLLS",
]

FAILED_SEEDS: dict[int, str] = {
    3: "an endpoint that left got work for 3 s: a watch was lost in a short silence of the store, "
    "and a grace for entries that may have lapsed came on top",
    302: "the soak itself: a request that a kill broke across a planned stop was put down to that",
    1796249069: "a planner that took over counted runs which were over, until they lapsed, and "
    "refused callers while engines were free",
    231: "the soak itself: a planned stop waited for the process that a kill across it had started",
}

# Found with all kinds of faults but limits of endpoints.
FAILED_WITH_ORGANISATIONS: dict[int, str] = {
    91107: "nodes that stopped and started knew each other at different times, and divided a quota "
    "by one, two and three: 527,500 tokens of 456,000 ran",
    91205: "the soak itself: on a busy machine nodes that the last faults had started were not up "
    "when the calm end began, and 9 of 196 requests were served; it waits until all are ready now. "
    "Open, once in five plays beside each other: a deadly content was sent on 4 times later than "
    "its third end, as all nodes had been killed meanwhile and two ends are in no store",
}

# Found with all kinds of faults but endpoints that say that they drain or ask for a pause.
FAILED_WITH_LIMITS: dict[int, str] = {
    94007: "the soak itself: its own process stood still for seconds on a busy machine, and saw no "
    "answers that the nodes had given; such spans are told and not checked now",
    94011: "as 94007",
    95010: "as 94007, at the calm end as well",
    98011: "open: a plain request was found running on at its endpoint a second after its caller "
    "had left, while its node logged the endpoint's whole answer 81 ms after it was sent",
    98017: "nodes asked no holder that had left and come back for 20 s: a third of a quota was "
    "left out, and 26 of 192 requests within their quotas were refused at the calm end",
}

# Found with all kinds of faults but restores of the store.
FAILED_WITH_DRAINS: dict[int, str] = {
    42009: "several asks that a holder of a quota left unanswered in one moment each doubled the "
    "time for which it was passed over, to 16 s: at the calm end 20 of 162 requests were refused "
    "though they were within their quota; in one of two plays",
    42020: "as 42009: 28 of 166, in one of two plays; on the code that knew no drains and pauses "
    "as well, 21 of 174",
}

# Found with all kinds of faults, as `draw_shape` draws them.
FAILED_WITH_ROLLS: dict[int, str] = {
    930023: "open: an engine restarted under its name with another version 46 ms after the node's "
    "last update of endpoints and right before an outage of the store. No exchange of the "
    "node broke, so it held its version for certain as entries were under 2 s old, and 3 s "
    "later, by a connection of that time, recorded a wrong origin of a stream. In two of "
    "three plays",
    930030: "the soak itself: a suspended endpoint counted as at work on a repeatable page that "
    "its node had sent to another one",
    930032: "the soak itself: as 930030, on answers without end. In four of four plays",
    1205024: "the soak itself: refusals and closes of a planned stop counted as those of a node "
    "without paths to endpoints",
    1205036: "a node that was suspended around its SIGTERM was killed in its end: another thread "
    "took the signal, which counted as handled in time; 1205038 alike",
    1210021: "a restore of the store had lost a node's entry: an owner that knew of the quarantine "
    "of a deadly content did not tell that node, which reported ends to it and sent it on 5 times",
    1210059: "open: a surge at one of two nodes without paths, whose only peer with paths refuses "
    "beyond 32 relays at once: partitioned_serve. In two of two plays",
}
