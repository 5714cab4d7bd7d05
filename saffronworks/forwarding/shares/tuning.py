"""Shares and waits of bounds over the fleet, with their units."""

# Nodes among which a limit is shared out: with one gone two thirds are left, more than the usual.
HOLDERS = 3
# Fewer nodes than that share a limit among themselves only once all know that there are so few:
# they count each other every 5 to 15 s. Before, a node that knew itself alone held a whole limit
# beside others that held halves and thirds: 1.16 of what may run, in a fleet of three that stopped
# and started.
SETTLED_MS = 30_000
# Nodes count each other every 5 to 15 s, by answers that may be seconds old. For twice as long new
# holders aren't asked, so that one which is away for less than 20 s is back before that.
NEW_HOLDER_DELAY_MS = 40_000
# What was counted for a shorter time is one of the counts after a start.
ESTABLISHED_VIEW_MS = 4500
# A holder answers within 1 to 5 ms, on a busy VM within some ten; its request waits so long for it.
HOLDER_TIMEOUT_MS = 40
# How what is tolerated beyond limits is given out: to requests that come early or in a burst, to a
# holder that has just started and doesn't know what ran before, to nodes that hear no holder. They
# add up to 1, so that no message has to come in time for the bound to hold.
EARLY_SHARE = 0.4
NEW_HOLDER_SHARE = 0.3
NO_HOLDER_SHARE = 0.3
# A subject that went beyond its limit is within it again when it owes this share of it.
RECOVERED_SHARE = 0.5
# What was counted is known by its ask for so long: the longest time that callers wait.
COUNTED_RETENTION_MS = 15_000
# Asks of one subject known at most; 0.2 KB each. Of older ones nothing is given back.
MAX_COUNTED_ASKS = 4096
BUCKET_EXPIRY_INTERVAL_MS = 5000
# Callers don't wait for longer than this, whatever they are told.
MAX_RETRY_AFTER_MS = 30_000
