"""Limits and intervals of the quarantine."""

# Ends of endpoints, without a successful run, after which a content is quarantined. Innocent
# contents that run beside a crashing one can reach three as well, which the early trial corrects.
ENDS_TO_QUARANTINE = 3
# Ends kept per content; further ones don't change any decision.
MAX_ENDED_STARTS = 6
# An endpoint counts as ended after this many refused probes. An overloaded endpoint refuses some
# connections, and one that crashed takes at least a second to return.
REFUSED_PROBES = 2
REPROBE_REFUSED_MS = 200
# A silent endpoint may be partitioned from this node alone. It is probed until it answers or the
# store no longer lists it, which takes three heartbeats of about 1.2 s.
SILENT_PROBES = 6
REPROBE_SILENT_MS = 1000
# A quarantined content is tried once, at one endpoint, after this long. A success ends the
# quarantine; a further crash keeps the content quarantined.
TRIAL_AFTER_MS = 600_000
# A content whose ends all count against other contents too may be innocent, so its first trial
# comes early. Later trials are TRIAL_AFTER_MS after the last change of the entry.
EARLY_TRIAL_MS = 3000
# A quarantine ends after a day, when callers have fixed their programs or given up.
KEEP_QUARANTINED_MS = 86_400_000
# One or two ends expire after this long; runs beside the crash have succeeded by then.
KEEP_SUSPECT_MS = 600_000
# Interval between checks for expired entries, which are kept for minutes at least.
EXPIRY_INTERVAL_MS = 5000
# Suspicions of 0.5 KB each in the table of a node; one crash adds up to 64.
MAX_SUSPICIONS = 2048
# Nodes that merge the reports on one content: three, as two may fail at once.
CONTENT_OWNERS = 3
# Recent changes go to GOSSIP_FANOUT neighbours at this interval. With 195 nodes, and 60 more listed
# but down, all nodes have a change after 1.1 s; three to five seconds are allowed.
GOSSIP_INTERVAL_MS = 250
GOSSIP_FANOUT = 2
# Changes younger than this are recent. If there are none, quarantined contents are sent at the
# idle interval until their quarantine ends, for nodes that return after a partition.
RECENT_CHANGE_MS = 5000
IDLE_GOSSIP_INTERVAL_MS = 500
# At most this many contents, of 0.2 KB each, are in one message. Without recent changes half as
# many are: at most 3 KB/s per node.
MAX_SUSPICIONS_PER_MESSAGE = 16
# A node reads the store's records when it starts, and again for records that were being written at
# the time. Both are stale reads, which cost the store a tenth of a consistent read.
RECORD_READ_DELAYS_S = (0.2, 4.0)
# Failed writes are retried for half a minute. Nodes receive a quarantine by gossip anyway; the
# record is only needed after a restart of all nodes.
RECORD_RETRY_S = 1.0
RECORD_ATTEMPTS = 30
