"""Spans and shares of the limits that endpoints name, with their units."""

# That a limit has ended is remembered for so long, so that older news of it doesn't bring it back.
KEEP_ENDED_MS = 10_000
