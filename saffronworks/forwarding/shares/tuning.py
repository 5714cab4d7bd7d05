"""Numbers of shares and intervals of limits over all nodes."""

# Holders of a limit. With one down, two thirds of the limit are left, more than usual use.
HOLDERS = 3
# With fewer nodes than HOLDERS a limit is divided by their number only after this long, when all
# nodes have counted each other, which happens every 5 to 15 s. Otherwise a node that sees only
# itself would use a whole limit while others use halves and thirds.
SETTLED_MS = 30_000
# New holders aren't asked for this long. Nodes count each other every 5 to 15 s, by answers that
# may be seconds old, so their views may differ for 20 s. Twice that lets a holder that is down for
# less than 20 s return before its replacement is asked.
NEW_HOLDER_DELAY_MS = 40_000
# A view that lasted for less than this is one of the partial counts after a start.
ESTABLISHED_VIEW_MS = 4500
# A holder answers within 1 to 5 ms, on a busy VM within about 10 ms.
HOLDER_TIMEOUT_MS = 40
# Fractions of the tolerance: for requests that come early or in a burst, for holders that have just
# started and lack the count of earlier requests, and for nodes that reach no holder. They add up to
# 1, so that the limit holds within its tolerance even if messages are late or lost.
EARLY_SHARE = 0.4
NEW_HOLDER_SHARE = 0.3
NO_HOLDER_SHARE = 0.3
# A subject that exceeded its limit has recovered when its bucket is down to this part of capacity.
RECOVERED_SHARE = 0.5
# Counted asks are kept for the longest time that callers wait.
COUNTED_RETENTION_MS = 15_000
# Counted asks per subject, of 0.2 KB each; older ones can't be refunded.
MAX_COUNTED_ASKS = 4096
BUCKET_EXPIRY_INTERVAL_MS = 5000
# Longest time for which a single request may use up a share that it exceeds. A spoiled cost would
# otherwise refuse all other requests of its subject.
MAX_DEBT_MS = 3_600_000
# Callers don't wait for longer than this, whatever the answer says.
MAX_RETRY_AFTER_MS = 30_000
