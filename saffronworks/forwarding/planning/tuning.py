"""Limits, times and weights of the planner of decode memory."""

# Assumed time per token of an engine until runs have been observed.
MS_PER_TOKEN = 0.8
# A sample of the time per token counts as at most this multiple of the expected time, since a
# stalled run says nothing about the others.
MAX_SLOWDOWN = 2.0
# Times per token outside this range come from faulty reports.
PLAUSIBLE_MS_PER_TOKEN = (0.01, 200.0)
# Half-life with which the speed factor of an endpoint without samples decays to 1, since its speed
# may have changed.
SPEED_HALF_LIFE_MS = 10_000
# The decay begins after this time without samples: two reports and their delay. With decay between
# reports as well, an endpoint with one run kept half of its difference from the average.
SPEED_FRESH_MS = 1000
# A sample that covers this time has full weight, a shorter one proportionally less.
FULL_WEIGHT_MS = 3000
# The average of the service follows samples this many times as fast as the factor of an endpoint
# does: a change of all endpoints must move the average, not the factors.
AVERAGE_WEIGHT = 4.0
# An endpoint counts as average while the logarithm of its speed factor is below this, and as fully
# different at twice as much. Equal engines stay within this limit, even with noise.
SPEED_BAND = 0.1
# Estimate of the effect of the number of runs on the time per token: the weight (in squared runs)
# of the prior that there is no effect, the decay of earlier samples, and the limit of the effect of
# each further run.
LOAD_PRIOR = 2.0
LOAD_DECAY = 0.02
MAX_LOAD_SLOPE = 0.1
# Interval at which the runs of each endpoint are counted. Counting them at each of 200 reports a
# second would take a hundredth of a core.
COUNT_RUNS_EVERY_MS = 100
# Limit of endpoints with known speeds in a service: reports may name any number.
MAX_SPEEDS = 1024
# An endpoint's speed is logged when the logarithm of its factor has changed by this much; the next
# two constants limit the logs per second and set the interval of the checks.
# Checks have an interval, since checks after each of 1000 events a second would take several
# hundredths of a core.
SPEED_LOG_STEP = 0.25
SPEED_LOGS_PER_S = 4
SPEED_LOG_EVERY_MS = 250
# Endpoints whose forecast peaks differ by this share of the planned memory or less count as equally
# full, and the fastest of them is chosen.
NEAR_PEAK_SHARE = 0.03
# Time from a grant to the first token: reservation, prefill and KV transfer.
FIRST_TOKEN_MS = 200
# Assumed prefill time per prompt token until prefillers have been observed; engines vary from 0.018
# to 0.030 ms.
PREFILL_MS_PER_TOKEN = 0.02
# Weight of PREFILL_MS_PER_TOKEN against samples, in prompt tokens: about four prompts.
PREFILL_PRIOR_TOKENS = 15_000
# Time for a grant to reach the prefiller, and for the end of the prefill to reach the planner. A
# prompt that was granted less than this before the previous one finished may have reached an idle
# prefiller.
PREFILL_CALL_MS = 30
# A prompt that is overdue by this much is dropped from its queue: the message about it was lost, or
# its run will be in the next report.
PREFILL_OVERDUE_MS = 400
# Prefillers get no further prompts while all of them have a longer backlog; decode endpoints do
# local prefill then, see LOCAL_PREFILL_MEMORY_SHARE. In bursts one prefiller took 300 to 970 ms for
# a prompt while its decode memory was idle, and all requests were late.
MAX_PREFILL_BACKLOG_MS = 250
# How much earlier a prefiller in another zone must finish to be preferred: a transfer between zones
# takes twice as long and costs more.
CROSS_ZONE_PENALTY_MS = 60
# Local prefill takes this many times as long as on a prefiller, and the runs of the endpoint almost
# stop: 5,200 tokens delay them by 190 ms, and a pause of 300 ms makes them late. So an endpoint
# prefills one prompt at a time, with a gap after it.
LOCAL_PREFILL_FACTOR = 2.0
LOCAL_PREFILL_GAP_MS = 150
# While there are prefillers, a local prefill may raise the forecast peak of its endpoint to this
# share of the planned memory at most. The other runs stand still and hold their memory for longer:
# nine runs that stop for 94 ms lose a third of a run's time. This costs nothing while no request
# waits for memory.
LOCAL_PREFILL_MEMORY_SHARE = 0.7
# Time from a grant to the first event while the prefill backlog is MAX_PREFILL_BACKLOG_MS.
FIRST_EVENT_MS = 400
# Assumed standard deviation of the logarithm of an answer's length divided by its hint, until
# answers have ended: hints are right in the median and often far off.
HINT_ERROR = 0.45
# Number of latest answers that hints are compared with, ten seconds of a busy service.
LENGTH_SAMPLES = 200
# A run longer than all sampled answers is expected to grow by this share of its present length.
OVERRUN_SHARE = 0.3
# Forecast peaks leave room for this many answers of mean length, since some grow longer than
# expected, and a preempted run loses its prompt and mostly misses its target. Room for three
# answers left half of the memory idle; with less than this, first attempts lose turns to retries in
# a lasting overload. A fixed share of 0.15 of the memory instead left room for ten short answers.
MARGIN_ANSWERS = 1.25
# Weight of a new request in the mean length; it is low, as lengths differ by several times.
LENGTH_SAMPLE_WEIGHT = 0.05
# Upper limit of the margin by MARGIN_ANSWERS, as a share of the memory.
MAX_MARGIN_SHARE = 0.4
# How often one request may ask the planner: other runs may take the granted memory before it is
# reserved.
MAX_PLAN_REQUESTS = 4
# Share of the expected answer that a planned run reserves; the plan leaves room for the rest.
PLANNED_RESERVE_SHARE = 0.25
# A first attempt whose grant would miss the target is rejected after this waiting time, a little
# before a fifth of the target.
FIRST_REJECTION_MS = 150
# Number of waiters that are examined in each step, from the front of the order.
MAX_EXAMINED = 8
# Successive grants to more urgent waiters after which a priority with an in-time waiter is due: a
# less urgent priority gets at least one grant in nine.
MAX_PASSES = 8
# Limit of the examined waiters that come first because their priority is due. The rest of
# MAX_EXAMINED is left for urgent waiters, in case none of the due ones fits.
MAX_OVERDUE_EXAMINED = MAX_EXAMINED // 2
# Priorities affect rejections only while several of them had requests within this time.
PRIORITY_LAPSE_MS = 30_000
# Requests of each priority are counted in windows of this length. The last window has this weight
# in the mean, so that rates follow a burst of a few seconds.
RATE_WINDOW_MS = 500
RATE_WEIGHT = 0.2
# With several priorities the rejection of such a first attempt comes after this share of the
# target, if that is earlier than `FIRST_REJECTION_MS`.
FIRST_REJECTION_SHARE = 1 / 8
# How much longer an overload is expected to last; overloads last 3 to 10 s. Without this limit,
# requests of a short burst are rejected although they would still be served.
OVERLOAD_LASTS_MS = 2000
# Limit of endpoints that are reserved for urgent waiters which fit on none, as a share of all.
KEPT_SHARE = 0.25
# Time for which an endpoint is ejected after it failed a request or changed its role. It doubles
# for each failure right after an ejection, up to the duration of most endpoint outages.
EJECTION_MS = 1000
MAX_EJECTION_MS = 4000
# A run without tokens for this long is on an endpoint that is gone, stuck or out of memory: events
# come every 50 ms, and one that takes 300 ms is late.
STALLED_RUN_MS = 700
# The path to the endpoint of a run that is silent for this long is checked.
SILENT_RUN_MS = 300
# An endpoint that had no room for a grant gets no further grant for this time, or until one of its
# runs ends: a run ends there every 500 ms.
FULL_ENDPOINT_MS = 200
# Share of the grants that retries are spread to take.
RETRY_SHARE = 0.6
# Interval at which entry nodes report their runs, and the time after which the runs of a node that
# no longer reports expire.
REPORT_EVERY_MS = 400
REPORT_LAPSE_MS = 1500
# A new planner has received all reports after this time.
WARM_UP_MS = 900
# An entry node without an answer for this time goes on without the planner.
PLANNER_SILENT_MS = 60
# How long requests wait for the reports that a new plan requests. Reports take some ten ms, or this
# long from a slow node. The wait is too short to make a request miss its target.
REPORTS_WAIT_MS = 120
# Nodes that have not reported by then are asked once more, because a message may have been lost.
REPORTS_RETRY_MS = 40
# An entry node sends a waiting request again after this time without any answer of the planner, and
# after the longer time in any case: a restarted planner has lost the request.
RESEND_MS = 250
MAX_RESEND_MS = 1000
# A waiter expires this long after its node last asked for it; a late node has half a second.
WAITER_LAPSE_MS = MAX_RESEND_MS + 500
# Interval of the planner's ticks.
PLAN_EVERY_MS = 20
