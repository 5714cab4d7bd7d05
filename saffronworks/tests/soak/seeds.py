"""Seeds that once broke a promise, each with its cause; `make soak-failed` plays them again."""

__all__ = ["FAILED_SEEDS", "FAILED_WITH_ORGANISATIONS"]

FAILED_SEEDS: dict[int, str] = {
    3: "an endpoint that left got work for 3 s: a watch was lost in a short silence of the store, "
    "and a grace for entries that may have lapsed came on top",
    302: "the soak itself: a request that a kill broke across a planned stop was put down to that",
    1796249069: "a planner that took over counted runs which were over, until they lapsed, and "
    "refused callers while engines were free",
    231: "the soak itself: a planned stop waited for the process that a kill across it had started",
}

# Found with all kinds of faults.
FAILED_WITH_ORGANISATIONS: dict[int, str] = {
    91107: "nodes that stopped and started knew each other at different times, and divided a quota "
    "by one, two and three: 527,500 tokens of 456,000 ran",
    91205: "the soak itself: on a busy machine nodes that the last faults had started were not up "
    "when the calm end began, and 9 of 196 requests were served; it waits until all are ready now. "
    "Open, once in five plays beside each other: a deadly content was sent on 4 times later than "
    "its third end, as all nodes had been killed meanwhile and two ends are in no store",
}
