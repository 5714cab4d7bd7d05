"""Limits and intervals of the quarantine."""

# Ends of endpoints, without a successful run, after which a content is quarantined. Innocent
# contents that run beside a crashing one can reach three as well, which the early trial corrects.
ENDS_TO_QUARANTINE = 3
# Ends kept per content. It is refused after three, but those that were under way may add some.
MAX_ENDED_STARTS = 12
# An endpoint counts as ended after this many refused probes. An overloaded endpoint refuses some
# connections, and one that crashed takes at least a second to return.
REFUSED_PROBES = 2
REPROBE_REFUSED_MS = 200
# Sound endpoints may be silent for a second or so. One that is silent for longer, after an answer
# without a length, is not known to run.
END_PROOF_MS = 2000
# From the end of such an answer to the probe, which must not reach the listener of a process that
# is ending. An endpoint that leaves is more likely to end.
END_DELAY_MS = 20
LEAVING_END_DELAY_MS = 200
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
# Nodes that merge the reports on one content or part: three, as two may fail at once.
SUSPICION_OWNERS = 3
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

# Separate ends of endpoints, without a sound run since, after which a prompt part is quarantined.
PART_ENDS_TO_QUARANTINE = 3
# The same for a part that was sound before: common parts are at most ends for other causes.
PROVEN_PART_ENDS = 5
# A part that another one explains in part is quarantined for this many more ends.
FURTHER_PART_ENDS = 2
# Ends within this time count as one: a rack or zone that fails ends all its endpoints at once, and
# a common part has runs at most of them.
SIMULTANEOUS_ENDS_MS = 50
# So many ends are enough at two separate times: requests that were waiting crash several endpoints
# at once.
PART_ENDS_AT_TWO_TIMES = 5
# A run shows its parts to be sound once it has been writing for this long, and for this many times
# the shortest writing time at which a run with the part broke.
SOUND_WRITING_MS = 1000
SOUND_WRITING_RATIO = 3
# Parts that one end of an endpoint may report: callers choose how many parts their prompts name.
MAX_PARTS_PER_END = 256
# Ends kept per part, and contents per end.
MAX_ENDS_PER_PART = 12
MAX_CONTENTS_PER_END = 4
# A quarantined part has at most this many trials a day, as each may crash an endpoint. The first
# comes after EARLY_TRIAL_MS, so that a common part is not refused for long by mistake.
MAX_PART_TRIALS = 2
# One that is probably innocent has more early trials: it was sound before, or several later parts
# together explain all of its ends. The wait doubles, from EARLY_TRIAL_MS.
EARLY_TRIALS = 7
# Parts whose last sound run a node remembers.
MAX_RECENT_PARTS = 4096
# Parts in the table of a node, and in one message; a part takes 0.1 KB in a message for each end.
MAX_SUSPECTED_PARTS = 1024
MAX_PARTS_PER_MESSAGE = 8
# Without recent changes, a few quarantined parts are sent to one neighbour at this interval.
IDLE_PART_GOSSIP_INTERVAL_MS = 1000
MAX_PARTS_PER_IDLE_MESSAGE = 2
# Of the parts with ends enough, this many are compared with each other; those with the most ends.
MAX_PART_CANDIDATES = 64
