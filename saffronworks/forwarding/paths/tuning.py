"""Timeouts and intervals of path checks and relays."""

# A connection attempt to an endpoint without a reply for this long is repeated through another
# node, while the first one goes on. A round trip within a region takes 7 ms at most.
RELAY_AFTER_MS = 150
# Upper limit of this time at a late node, which leaves enough of `MAX_CONNECT_MS` for the relay.
MAX_RELAY_AFTER_MS = 400
# A request for which no way to its endpoint has been found by then is refused. A late node extends
# each of the waits on the way, but not their sum, as callers are to be refused within a second.
MAX_CONNECT_MS = 800
# An endpoint that has not acknowledged a request for this long is checked with a new connection.
UNACKNOWLEDGED_MS = 100
# An endpoint that has acknowledged a request, but not answered it for this long, is checked too,
# because the answer may be lost on the way.
UNANSWERED_MS = 400
# Shortest time between two such checks of one endpoint, doubled while they succeed, as many
# answers take longer.
ANSWER_CHECK_INTERVAL_MS = 1000
ANSWER_CHECK_INTERVAL_MAX_MS = 16_000
# Timeout of a connection attempt in a check.
CHECK_TIMEOUT_MS = 200
# The same for a check on behalf of another node, whose call must not time out meanwhile.
PROBE_TIMEOUT_MS = 120
# Other nodes are asked about an endpoint when a check has had no result for this long.
ASK_PEERS_AFTER_MS = 50
# Other nodes that are asked about one endpoint at the same time.
PEERS_PER_CHECK = 2
# Timeout of a call to another node.
PEER_TIMEOUT_MS = 250
# Interval between checks of a path that is cut, and the upper limit of its backoff.
CHECK_INTERVAL_MS = 400
CHECK_INTERVAL_MAX_MS = 1000
# Checks that one node starts in each interval of `CHECK_ROUND_MS`, of all endpoints together.
MAX_CHECKS_PER_ROUND = 4
CHECK_ROUND_MS = 100
# An endpoint that other nodes don't reach either is not asked for again through them for this long.
DOWN_MS = 1000
# A path that was cut again within this time needs one more successful check before it is used.
FLAP_WINDOW_MS = 10_000
MAX_CHECKS_TO_HEAL = 4
# Endpoints without any contact for this long are not counted as reached or unreached.
RECENT_MS = 5000
# A node's statement that it reaches an endpoint holds for this long.
CONFIRMED_MS = 1000
# A node that connected to an endpoint this recently has working paths, so that its statement that
# it does not reach another endpoint counts.
OPENED_ANY_MS = 1000
# Other nodes are not asked again about an endpoint that none of them reached for this long, doubled
# with each further time in a row.
UNREACHED_MS = 400
UNREACHED_MAX_MS = 1000
# Limit per second of the lookups that find no node which reaches the endpoint.
MAX_FAILED_LOOKUPS_PER_S = 10
# A node that did not answer gets no relayed requests for this long, unless no other node is left.
PEER_AVOID_MS = 1000
# Requests that a node relays for others at the same time; each may buffer 256 KB of its answer.
MAX_RELAYED_REQUESTS = 32
# Limit of the bodies of all these requests together. A larger one is relayed if there is no other.
MAX_RELAYED_BODY_BYTES = 8_388_608
# Upper limit of the times in another node's request.
MAX_RELAY_MS = 3_600_000
# Cost of a relay in another availability zone, relative to one in this zone.
OTHER_ZONE_FACTOR = 1.5
