"""Seeds that once broke a promise, each with its cause; `make soak-failed` plays them again."""

__all__ = ["FAILED_SEEDS"]

FAILED_SEEDS: dict[int, str] = {
    3: "an endpoint that left got work for 3 s: a watch was lost in a short silence of the store, "
    "and a grace for entries that may have lapsed came on top",
    302: "the soak itself: a request that a kill broke across a planned stop was put down to that",
    1796249069: "a planner that took over counted runs which were over, until they lapsed, and "
    "refused callers while engines were free",
    231: "the soak itself: a planned stop waited for the process that a kill across it had started",
}
