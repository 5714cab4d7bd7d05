"""Limits, timeouts and weights of forwarding, with their units and reasons."""

# --- Reservations of KV memory -----------------------------------------------------------------

# KV memory reserved for an answer, as a multiple of the caller's length hint. An engine keeps the
# whole reservation until the run ends, so memory reserved beyond the answer stays unused.
ANSWER_RESERVATION_FACTOR = 1.0
# Share of an engine's memory that must stay free beside a new reservation. Half of the answers
# exceed their hint, and a run that runs out of memory is requeued and repeats its prefill.
HEADROOM_SHARE = 0.09
# The hold on the headroom is released at once; it expires by itself if the release fails.
HEADROOM_HOLD_TTL_MS = 500
# Pause before the decode endpoints of a stream's version are tried again if all have failed it.
FAILED_RETRY_MS = 250
# Interval between polls of full decode endpoints; at 13 runs/s one of them ends every 80 ms.
HOLD_POLL_MS = 40
# Minimum interval per full endpoint, because a request without a planner polls all of them.
HOLD_POLL_PER_ENDPOINT_MS = 10
# The first refusal is sent within this share of the latency target, so that the caller has time to
# retry.
FIRST_REFUSAL_TARGET_SHARE = 0.2
# A retried request waits for this share of its time to the first event. A late answer still has a
# fifth of its value; the remaining time is for the prefill.
RETRY_WAIT_SHARE = 0.85
# Callers abandon a stream after the longest of a fixed time and multiples of its targets.
CALLER_TIMEOUT_MIN_MS = 2000
CALLER_TIMEOUT_TARGETS = 4
CALLER_TIMEOUT_GAPS = 8
# A request with less time left than this share of the route's usual timeout counts as a retry.
RETRY_TIME_LEFT_SHARE = 0.97
# Longest hold on KV memory that is requested; a prefill of 11,000 tokens takes 200 ms.
HOLD_TTL_MS = 2000
# Timeout of a call that takes a hold, drops it or reads a report; the round trip is 1 to 7 ms.
CALL_TIMEOUT_MS = 400
# Timeout of a hold at the last endpoint that is left to ask, which may be silent for a second or so
# and go on.
LAST_CALL_TIMEOUT_MS = 1500
# A hold that expires sooner is replaced before it is used, as the run may arrive too late.
HOLD_MARGIN_MS = 50
# Timeout of a prefill. Sound endpoints may be silent for a second or so, and notice only afterwards
# that the exchange was closed.
PREFILL_TIMEOUT_MS = 2000
# An endpoint whose KV handle could not be fetched receives no prefills for this long.
HANDLE_FAILURE_COOLDOWN_MS = 2000

# --- Refusals ----------------------------------------------------------------------------------

# Refused callers are told to retry at times spread over this range; a burst lasts 3 to 5 s and a
# run about 3 s.
RETRY_AFTER_MIN_MS = 2400
RETRY_AFTER_MAX_MS = 4600
# Retry-After of a request that this node can't serve but another node may; short enough for the
# retry to meet its target there.
OTHER_NODE_RETRY_AFTER_MS = 100
# Callers honour a Retry-After only up to this share of their remaining time.
RETRY_AFTER_MAX_SHARE = 0.33

# --- Plain calls -------------------------------------------------------------------------------

# A repeatable call without an answer after this share of its latency target is sent to another
# endpoint.
HEDGE_SHARE = 0.8
# The late call is given up once the other endpoint has not rejected the request for this long.
HEDGE_OVERLAP_MS = 100
# Maximum sends to other endpoints after one that reports it did not run the request.
MAX_REDIRECTS = 2
# Cost of an endpoint in another availability zone, relative to one in this zone.
CROSS_ZONE_COST_FACTOR = 3.0
# Cost of an endpoint that fails all requests, relative to one that fails none.
FAILURE_COST_FACTOR = 8.0
# Weight of the newest sample in the moving averages of latency and failures.
SAMPLE_WEIGHT = 0.2
# Half-life with which moving averages decay towards the prior, so that endpoints that were avoided
# are tried again.
AVERAGE_HALF_LIFE_MS = 4000
# Latency assumed for an endpoint without samples.
PRIOR_LATENCY_MS = 80.0

# --- Connections -------------------------------------------------------------------------------

# A host behind a network cut never answers; the round trip to a reachable one is 7 ms at most.
CONNECT_TIMEOUT_MS = 600
# A connection fails when data or probes stay unacknowledged for this long (TCP_USER_TIMEOUT).
# Endpoints may be silent for a second or so and go on; cut paths are noticed earlier, by checks.
USER_TIMEOUT_MS = 2500
# Interval of TCP keep-alive probes on a connection without traffic.
PROBE_INTERVAL_S = 1
# Longest head of an answer, with its interim answers; also the most framing between two parts of a
# body, and the longest trailer.
MAX_HEAD_BYTES = 65_536
# Most bytes of answers to other requests that are skipped before the awaited one.
MAX_DISCARDED_BYTES = 1_048_576
# Largest answer to a call of the node itself: some JSON fields.
MAX_CALL_BODY_BYTES = 65_536
# Maximum idle connections to one endpoint.
MAX_IDLE_CONNECTIONS = 8
# An endpoint may repeat an answer within this time; a copy comes up to half of it late.
LATE_COPY_MS = 1000
# After a failed control call, its connection waits so long for another answer before it is reused:
# about three round trips.
SECOND_ANSWER_MS = 20
# An idle connection is reused for this share of the keep-alive timeout that the endpoint announces.
KEEP_ALIVE_SHARE = 0.5
# Keep-alive timeout assumed if the endpoint announces none.
KEEP_ALIVE_DEFAULT_MS = 4000
# A body up to this size is read whole before the answer begins, so that a request whose connection
# breaks can still be retried; the mean page on the users' sites has 800 bytes.
MAX_PREREAD_BODY_BYTES = 65_536
# Bytes of one answer that may wait for a slow caller before reading from the endpoint is paused.
MOST_BUFFERED_BYTES = 262_144
# Longest event of a stream, which is buffered until its end.
MAX_EVENT_BYTES = MOST_BUFFERED_BYTES
# Share of the node's memory limit for all answers that wait for callers. A node uses 50 MB before
# its first request, and each answer is copied once on its way.
BUFFER_MEMORY_SHARE = 0.125
# Most bytes that the event loop reads from a connection at a time; kept free below the bound.
ENDPOINT_READ_BYTES = 262_144
# Shares of the bound at which reading from endpoints begins to pause, and at which all resume.
BUFFER_HIGH_WATERMARK = 0.75
BUFFER_LOW_WATERMARK = 0.5
# A caller that reads nothing for this long is disconnected if it blocks an endpoint or uses memory
# that other answers need. Endpoints abort an answer that stays unread for some seconds.
UNREAD_TIMEOUT_MS = 5000
# SO_SNDBUF of callers' connections on nodes with a bound; the kernel doubles it. By default the
# kernel buffers up to 3.5 MB for a caller that reads nothing (loopback). 256 KiB within a round
# trip of 7 ms allow 37 MB/s.
CALLER_SEND_BUFFER_BYTES = 131_072
# Interval between checks of callers' progress, while an endpoint is paused or an answer is unread.
BUFFER_CHECK_INTERVAL_MS = 250

# --- Retries -----------------------------------------------------------------------------------

# Share of the fleet's retry budget that nodes use; the rest is margin for windows that differ.
BUDGET_USED_SHARE = 0.6
# Share of its part of the slack that a node may use within the first window of its process. With
# the share above, of an earlier process, it stays below the whole.
YOUNG_SLACK_SHARE = 0.2
# A lower number of nodes is used after this time, in which each node lists them twice or more.
SHORTER_LIST_MS = 30_000

# --- Streams -----------------------------------------------------------------------------------

# A resumable stream that is silent for this many times its target gap between events is resumed at
# another endpoint.
STALL_TIMEOUT_GAPS = 4
# Sound endpoints may be silent for a second or so, whatever the target gap is.
STALL_TIMEOUT_MIN_MS = 2000
# A silent endpoint is checked so long before its run may be replaced: longer than a connection
# attempt of a check lasts.
PROCESS_CHECK_LEAD_MS = 300
# The result of such a check is used for this long.
PROCESS_CHECK_VALID_MS = 1000
# Pause between two rounds of hold requests for a run that may replace a silent one.
STALL_CHECK_INTERVAL_MS = 250
# Interval of the checks for such a hold while endpoints are asked.
STALL_POLL_MS = 40
# Minimum remaining time for an attempt to resume a stream.
RESUME_MIN_LEFT_MS = 500

# --- Choice of nodes ---------------------------------------------------------------------------

# A node plans only if it has this share of the cores of the strongest node. Core counts in a fleet
# differ by a factor of four, and in a burst a planner on a weak VM exceeds the timeouts of the
# other nodes.
STRONG_NODE_CORE_SHARE = 0.75
# A node that did not answer is skipped for this long.
NODE_AVOID_MS = 2000
# Limit of the backoff for a node that stays silent; dead nodes remain in the census.
NODE_AVOID_MAX_MS = 16_000
# After its own start a node skips a silent planner only briefly: if all nodes started together,
# the planner is up within a few tenths of a second.
STARTUP_MS = 1500
STARTUP_NODE_AVOID_MS = 150
# Cached node rankings, one per service and set of skipped nodes; 0.3 KB each.
MAX_CACHED_RANKINGS = 2048

# --- Following the store -----------------------------------------------------------------------

# Longest wait of a watch, if the settings allow it; a lost watch must time out within the time
# limit for a change (`known_within_ms`). Each call has a price: with waits of 2 s and a new watch
# after every change a node makes 1.5 to 2.5 calls a second.
WATCH_WAIT_MAX_MS = 5000
# Part of that time limit left for the answer (timeout 0.8 s), a new listing and a busy processor.
WATCH_MARGIN_MS = 1500
# Delay after a change, so that the changes of a start or a release are read together.
WATCH_COALESCE_MS = 250
FOLLOW_BACKOFF_MIN_MS = 40
FOLLOW_BACKOFF_MAX_MS = 600
# Longest interval between calls to a failing store, and so the delay until a node notices its
# recovery. A node that receives updates from peers waits longer, up to a third of the time limit
# for applying a change.
PROBE_INTERVAL_MS = 600
PEER_FED_PROBE_INTERVAL_MS = 1600
# Wait of a watch that probes a failing store.
PROBE_WATCH_MS = 20
# Longest time that other callers wait for a probe: a connect and one answer, at their timeouts.
PROBE_HOLD_MS = 1500
# Endpoints whose entries expired during an outage of the store write them again within this time
# after its end; the expired entries stay usable at most until then.
LAPSED_GRACE_MS = 2000
# Margin for a request that is sent to an endpoint just before its expired entry becomes unusable.
LAPSE_MARGIN_MS = 200
# A shorter outage lets no entry expire, which takes three missed heartbeats of about 1.2 s.
LAPSE_AFTER_MS = 2000
# After a restore of the store, nodes write their entries at random times within this span.
RESTORE_JITTER_MS = 2000
