"""Times and bounds of the records of streams' origins."""

# A stream can be resumed for at least this long after its first event.
MIN_RESUME_WINDOW_MS = 60_000
# Multiple of a route's timeout for which its streams can be resumed: the longest stream, and as
# much time again for its caller to return.
RESUME_WINDOW_TIMEOUTS = 2
# Longest time for which a node keeps a record, whatever the sender asks for.
MAX_RECORD_TTL_MS = 600_000
# Records per node; the oldest ones are dropped.
MAX_RECORDS = 32_768
# Nodes that may hold a record. The one that began the stream has it besides, and sends it to
# three others of them, so that three nodes can fail at once.
HOLDERS = 4
# Groups of streams that share their holders. They bound the number of nodes to which one node
# sends records, and so its connections, in a large fleet.
HOLDER_GROUPS = 64
# How long the first event of a stream waits until another node has its record.
STORE_TIMEOUT_MS = 25
# After a timeout, first events do not wait for this long: this node may be cut off from others.
STORE_BACKOFF_MS = 1000
# How long holders are given to answer a lookup, and the delay before a second lookup. The record
# of a stream that has just begun may still be on its way.
LOOKUP_TIMEOUT_MS = 60
LOOKUP_RETRY_MS = 40
LOOKUPS = 2
# How long a node waits for the store's changes before it answers for the candidates of a stream.
READ_TIMEOUT_MS = 600
# Nodes that a node which has started asks at once for what served before, after it has asked one,
# and the interval until one of them knows.
HISTORY_PEERS = 3
FIRST_HISTORY_MS = 20
HISTORY_INTERVAL_MS = 1000
MAX_HISTORY_INTERVAL_MS = 10_000
# An endpoint has written its entry this long after a start, and this long after a restore of the
# store.
ENTRY_WRITE_MS = 2000
RESTORED_ENTRIES_MS = 3000
# How often, and how many times, an uncertain origin is checked again.
SETTLE_INTERVAL_MS = 600
SETTLE_CHECKS = 10
# By this time an origin has become certain where the store answers.
SETTLED_MS = ENTRY_WRITE_MS + 2 * SETTLE_INTERVAL_MS
# Entries that were up to date within this time count as fresh; nodes apply changes faster.
ENTRIES_FRESH_MS = 2000
# Pairs of service and version, and routes, of which a node remembers when it last had them.
MAX_REMEMBERED = 1024
