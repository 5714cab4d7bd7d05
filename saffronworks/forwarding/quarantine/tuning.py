"""Limits and waits of contents that end endpoints, with units and grounds."""

# So many endpoints that ended under a content, without one good run of it, put it into quarantine:
# in an incident four contents that were only beside another one met three ends as well, one of them
# in one try.
ENDS_TO_QUARANTINE = 3
# Ends that are kept of one content; more change nothing.
MAX_ENDED_STARTS = 6
# An endpoint is taken as ended when it refuses a connection so often, with this pause between: an
# overloaded one refuses some, and one that ended is back after a second at the soonest.
REFUSED_PROBES = 2
REFUSED_PROBE_INTERVAL_MS = 200
# One that says nothing may be cut off from this node alone: it is looked at until it answers, or
# the store lists it no more, which takes three heartbeats of some 1.2 s.
SILENT_PROBES = 6
SILENT_PROBE_INTERVAL_MS = 1000
# A quarantined content may be run once more after this long, by one endpoint: if the ends were
# another one's its caller is served again, if not it has ended one endpoint more for good.
TRIAL_AFTER_MS = 600_000
# A content whose ends all count against others too was perhaps only there: it has its trial so
# soon, and again each time that the longer span is over. Beside a deadly content, 5 of 100 that it
# struck were quarantined where four endpoints run 64 requests each (a quarter in one of ten plays),
# none where 16 run 8.
EARLY_TRIAL_AFTER_MS = 3000
# The quarantine ends after a day, when callers' programs have been mended or given up.
KEEP_QUARANTINED_MS = 86_400_000
# One or two ends are forgotten after this long: runs beside them have long ended well.
KEEP_SUSPECT_MS = 600_000
# How often old entries are looked for; they are kept for minutes at least.
EXPIRY_INTERVAL_MS = 5000
# An end of an endpoint leaves 64 of them at most; one takes 0.5 KB.
MAX_SUSPICIONS = 2048
# Nodes that put together what others saw of one content: three, as two may be gone at once.
CONTENT_OWNERS = 3
# At this pace two of them are told what is new: 195 nodes, with 60 more gone, know it within 1.1 s
# (ten plays), where three to five seconds are allowed.
GOSSIP_INTERVAL_MS = 250
GOSSIP_FANOUT = 2
# What changed within this time is told each time, and what is quarantined at this pace for good: a
# node that was cut off knew it within three seconds of its return in each of ten plays.
RECENT_CHANGE_MS = 5000
IDLE_GOSSIP_INTERVAL_MS = 500
# Contents in one message, 0.2 KB each; at rest half of them, so that a node tells 3 KB/s at most.
MAX_SUSPICIONS_PER_MESSAGE = 16
# A node reads the store's records of quarantined contents at its start, and once more for what was
# just being written then; both by answers that may be seconds old, which cost a tenth.
RECORD_READ_DELAYS_S = (0.2, 4.0)
# A write to the store is tried again after this pause, for half a minute: nodes know it anyway, the
# store only has to before they all end.
RECORD_RETRY_S = 1.0
RECORD_ATTEMPTS = 30
