"""Spans and shares of the limits that endpoints name, with their units."""

from saffronworks.forwarding.shares.limits import Tolerance

# What an endpoint tolerates: in any 4 s, half as much again as it takes, and 5 requests.
LIMIT_TOLERANCE = Tolerance(window_ms=4000, overage=0.5, slack=5.0)
# An endpoint that takes less, or nothing at all, still gets this much, as only an answer to a
# request can tell that its need is over. It is within what is tolerated.
MIN_PER_S = 0.25
# That a limit has ended is remembered for so long, so that older news of it doesn't bring it back.
ENDED_RETENTION_MS = 10_000
# After a rejected ask a node backs off until there is room, and for a random part of a span. The
# span begins with so much for each node of the fleet, grows with each rejection and shrinks with
# each permit, so that about half of the asks succeed, whatever the number of nodes and callers.
BACKOFF_FIRST_MS = 10
BACKOFF_FACTOR = 4
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 16_000
# What a node has learnt goes to two others at this pace, three times; they tell it on.
GOSSIP_INTERVAL_MS = 100
GOSSIP_FANOUT = 2
GOSSIP_REPEATS = 3
# A node that has just started asks so many others what they know, as it would send to each limited
# endpoint once before that names its limit.
PEERS_QUERIED_AT_START = 3
# Limits in one message, 0.06 KB each.
MAX_LIMITS_PER_MESSAGE = 64
