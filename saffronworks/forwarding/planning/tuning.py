"""Limits, waits and weights of the planner of decode memory, with units and grounds."""

# Time for one token until runs have been seen; measured on one site at nine runs.
MS_PER_TOKEN = 0.8
# A run counts as this much slower at most: one that stood still says nothing about the others.
MAX_SLOWDOWN = 2.0
# Shorter or longer times for a token are no times of an engine, but faults of a report.
PLAUSIBLE_MS_PER_TOKEN = (0.01, 200.0)
# What is known of an endpoint's speed returns to the average with this half-life while its runs
# tell nothing: it may have changed meanwhile.
SPEED_HALF_LIFE_MS = 10_000
# It does so only after this time without samples, two reports and their delay. Aged between reports
# as well, an endpoint with one run kept half of its difference from the average.
SPEED_FRESH_MS = 1000
# A sample that took so long weighs as much as one of the service, a shorter one in proportion.
FULL_WEIGHT_MS = 3000
# How many times as fast the average follows its samples as an endpoint's factor does: a change of
# all endpoints must move the average, not the factors.
AVERAGE_WEIGHT = 4.0
# Logarithm of the difference from the average below which endpoints count as equal; twice that
# counts in full. Equal engines, noisy or not, stay within it.
SPEED_BAND = 0.1
# The effect of the number of runs on the time for a token: the weight of the assumption that there
# is none (in squared runs), the decay of earlier samples, and the most that one run adds.
LOAD_PRIOR = 2.0
LOAD_DECAY = 0.02
MAX_LOAD_SLOPE = 0.1
# How often the runs of each endpoint are counted for that: a look at all runs at each of 200
# reports a second would cost a hundredth of a core.
COUNT_RUNS_EVERY_MS = 100
# Endpoints of one service whose speeds are kept: reports could name any number.
MAX_SPEEDS = 1024
# Log lines on speeds: for a change of the factor by this logarithm, so many in a second, looked for
# so often: after each of 1000 events a second it would cost several hundredths of a core.
SPEED_LOG_STEP = 0.25
SPEED_LOGS_PER_S = 4
SPEED_LOG_EVERY_MS = 250
# Endpoints whose foreseen peaks differ by this share of the planned memory or less are taken for
# equally full, and the fastest of them is chosen.
NEAR_PEAK_SHARE = 0.03
# From a grant to the first token: the reservation, the reading, the move.
FIRST_TOKEN_MS = 200
# Time that a prompt token occupies its reader until readers have been seen busy: 0.018 and 0.030 ms
# on two kinds of engines.
PREFILL_MS_PER_TOKEN = 0.02
# That counts like so many tokens that were read: four prompts.
PREFILL_PRIOR_TOKENS = 15_000
# From a grant to the reader, and from there to the planner: a prompt granted later than this
# before another one was back may have reached the reader when that was idle.
PREFILL_CALL_MS = 30
# A prompt that is not back this long after its time is no longer counted on: word of it was lost,
# or its run shows in the next report.
PREFILL_OVERDUE_MS = 400
# No place is granted while the endpoints that read are foreseen to be busy for longer: in bursts
# one reader took 300 to 970 ms for a prompt while its memory lay idle, and all were late. Beyond
# that decode endpoints read, see LOCAL_PREFILL_MEMORY_SHARE.
MAX_PREFILL_BACKLOG_MS = 250
# How much later a reader in the decode endpoint's own zone may be free than one elsewhere: a move
# between zones takes twice as long and is priced higher.
CROSS_ZONE_PENALTY_MS = 60
# A decode endpoint that must read by itself takes twice as long, and its runs get hardly a token
# meanwhile: 5,200 tokens hold them up for 190 ms, and a pause of 300 ms makes them late. So it
# reads one prompt at a time, and rests after it.
LOCAL_PREFILL_FACTOR = 2.0
LOCAL_PREFILL_GAP_MS = 150
# While there are readers, such a prompt may bring an endpoint's foreseen peak to this share of its
# planned memory at most: nine runs stand still for the 94 ms of the reading and hold their memory
# for longer, together a third of a run's time. That costs nothing while nobody waits for memory.
# Calm days of two sites (two seeds) by share 0.7, 0.85, 1.0 and none at all: 0.839, 0.835, 0.778,
# 0.843 where memory binds, 0.842, 0.854, 0.858, 0.732 (three seeds) where reading binds as well.
LOCAL_PREFILL_MEMORY_SHARE = 0.7
# From a grant to the first event when the readers are that busy.
FIRST_EVENT_MS = 400
# Spread of answers about the hints of their lengths, as the logarithm's deviation, until answers
# have ended: hints are right in the median and often far off.
HINT_ERROR = 0.45
# The newest answers that tell how far hints are off: ten seconds of a busy service.
LENGTH_SAMPLES = 200
# A run longer than all of those is expected to grow by this share of what it made.
OVERRUN_SHARE = 0.3
# Foreseen peaks of an endpoint leave room for this many answers of the usual length: some grow
# longer than foreseen, and a run that is put back costs its prompt and mostly its target as well.
# Room for three left half of the memory idle: of the first callers of a burst 74 in 100 were served
# in time at 43,654 tokens an engine, 89 with room for 1.5, 93 for one and 97 for a half; at 63,346
# tokens 90, 97, 98 and 99 (`planner_load`). Runs put back on a calm and a heavy day, of 600 each:
# none with room for three, 5 and 3 for 1.5, 8 and 12 for 0.75. With less than this those who come
# first lose turns to those who return, in an overload that lasts. A share of the memory in its
# place (0.15) left room for ten answers where these are short, and one run of twelve less on each
# endpoint: 0.018 of worth on five days.
MARGIN_ANSWERS = 1.25
# Weight of the newest ask in the usual length: lengths differ by several times.
LENGTH_SAMPLE_WEIGHT = 0.05
# But no more than this share is left free.
MAX_MARGIN_SHARE = 0.4
# How often one request asks the planner: its place may be gone when it comes to reserve it.
MAX_PLAN_REQUESTS = 4
# Part of the likely answer that a planned run reserves; the plan provides for the rest.
PLANNED_RESERVE_SHARE = 0.25
# A caller who is to return is told so a little before a fifth of the target.
FIRST_REJECTION_MS = 150
# The foremost waiters that are looked at for each grant.
MAX_EXAMINED = 8
# Grants in succession that may go to more urgent waiters while a less urgent one waits that can be
# in time: less urgent classes get one place in nine at the least.
MAX_PASSES = 8
# Of the foremost waiters that are looked at, those of a priority that was passed over so often: the
# others are left for the urgent, in case none of these fits.
MAX_OVERDUE_EXAMINED = MAX_EXAMINED // 2
# Priorities have an effect on rejections only while more than one was heard within this time.
PRIORITY_LAPSE_MS = 30_000
# Asks of each priority are counted in windows of this length; the newest counts by this weight, so
# that a rate follows a burst of some seconds.
RATE_WINDOW_MS = 500
RATE_WEIGHT = 0.2
# While several priorities are heard, a first rejection goes out after this share of the target, if
# that is earlier than `FIRST_REJECTION_MS`.
FIRST_REJECTION_SHARE = 1 / 8
# How much longer an overload is expected to last, of those of 3 to 10 s. Without an end, callers of
# a short burst are rejected who would still be served.
OVERLOAD_LASTS_MS = 2000
# Endpoints that are kept for urgent waiters that fit nowhere yet, as a share of all.
KEPT_SHARE = 0.25
# An endpoint that failed a request, or changes its role, gets nothing for this long; one that fails
# again right after that, twice as long each time, up to what most troubles of endpoints last.
EJECTION_MS = 1000
MAX_EJECTION_MS = 4000
# A run whose answer came to a halt for so long stands on an endpoint that is gone, stuck or out of
# memory: events come every 50 ms, 300 ms is late.
STALLED_RUN_MS = 700
# An endpoint that had no room for a grant is asked for none until one of its runs ends, or for this
# long: one run ends there every 500 ms.
FULL_ENDPOINT_MS = 200
# Share of the grants that returning callers are to take.
RETRY_SHARE = 0.6
# Entry nodes report their runs this often; what is not heard of for longer is gone.
REPORT_EVERY_MS = 400
REPORT_LAPSE_MS = 1500
# A new planner hears all reports before it plans.
WARM_UP_MS = 900
# An entry node that hears nothing for so long goes on without the planner.
PLANNER_SILENT_MS = 60
# A plan that begins asks all nodes what runs there; answers take some ten ms, and this with a slow
# one. Asks wait so long for it, which costs none of them its target.
REPORTS_WAIT_MS = 120
# An entry node asks again while it waits when it has heard nothing of the planner for so long, and
# after the longer time in any case: a planner that started anew knows nothing of the ask.
RESEND_MS = 250
MAX_RESEND_MS = 1000
# How often the planner looks at those who wait.
PLAN_EVERY_MS = 20
