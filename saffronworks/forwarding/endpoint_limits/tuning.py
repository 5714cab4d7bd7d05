"""Limits and intervals of the rate limits of endpoints."""

from saffronworks.forwarding.shares.limits import Tolerance

# In any 4 s an endpoint tolerates half of its limit, and 5 requests, beyond the limit.
LIMIT_TOLERANCE = Tolerance(window_ms=4000, overage=0.5, slack=5.0)
# Lower limits, including 0, are raised to this rate, since only an answer to a request can show
# that the limit has ended. One request in 4 s is within the tolerance.
MIN_PER_S = 0.25
# The end of a limit is retained for this long, so that a late update doesn't restore the limit.
ENDED_RETENTION_MS = 10_000
# After a rejected ask a node backs off until there is room, plus a random part of a span. The span
# starts at BACKOFF_FIRST_MS per node, grows with each rejection and shrinks with each permit, so
# that about half of the asks succeed whatever the number of nodes and callers.
BACKOFF_FIRST_MS = 10
BACKOFF_FACTOR = 4
MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 16_000
# A changed limit is sent GOSSIP_REPEATS times to GOSSIP_FANOUT neighbours, which forward it.
GOSSIP_INTERVAL_MS = 100
GOSSIP_FANOUT = 2
GOSSIP_REPEATS = 3
# A node that starts queries this many peers for limits. Otherwise it would send each limited
# endpoint a request without a permit before it received the limit.
PEERS_QUERIED_AT_START = 3
# At most this many limits, of 0.06 KB each, are in one message.
MAX_LIMITS_PER_MESSAGE = 64
