"""The planned end of a node, and the refusals of requests that it doesn't run any more."""

import attrs

from saffronworks.forwarding.messages import Refuse
from saffronworks.forwarding.tuning import OTHER_NODE_RETRY_AFTER_MS

__all__ = [
    "DEADLINE_SLACK_MS",
    "DEREGISTRATION_MS",
    "FLUSH_MS",
    "NO_TIME_LEFT",
    "STOPPING",
    "PlannedEnd",
    "latest_exit_ms",
    "plan_end",
]

# The platform probes readiness once per second and sends no new callers after two failed probes.
DEREGISTRATION_MS = 2300
# Open requests are ended this long before SIGKILL; a busy event loop gets to it late.
EXIT_MARGIN_MS = 800
# Time for the last bytes of the ended requests to reach the kernel.
FLUSH_MS = 200
# A process that still runs this long before SIGKILL exits at once.
EXIT_GUARD_MS = 250
# Open requests are ended this long before SIGKILL at least, so that the node exits by itself.
END_GUARD_MS = EXIT_GUARD_MS + FLUSH_MS + 50
# Least time for the end of a node that handled its signal after its grace.
MIN_END_MS = 500
# Time that a runner has to answer after the deadline, before the forwarder ends the request.
DEADLINE_SLACK_MS = 150
# Refusal of a request that no endpoint can have run, at the end of this process.
STOPPING = Refuse(503, "stopping", not_run=True, retry_after_ms=OTHER_NODE_RETRY_AFTER_MS)
# Refusal of a request that would not end before this process.
NO_TIME_LEFT = attrs.evolve(STOPPING, reason="node-draining")


@attrs.frozen
class PlannedEnd:
    """The end of a node that drains, in ms of the steady clock.

    `stop_sent_ms` is when the signal to stop was sent, `notice_ms` when callers should no longer
    come, `ends_ms` when the open requests are ended.
    """

    stop_sent_ms: int
    notice_ms: int
    ends_ms: int

    def announced(self, now_ms: int) -> bool:
        """Return whether callers should no longer come."""
        return now_ms >= self.notice_ms

    def outlasts(self, deadline_at_ms: int) -> bool:
        """Return whether a request with this deadline ends by itself before this process."""
        return deadline_at_ms + DEADLINE_SLACK_MS <= self.ends_ms


def plan_end(sent_ms: int, recorded_ms: int, grace_ms: int) -> PlannedEnd:
    """Return the end of a node whose signal was sent at `sent_ms` and recorded at `recorded_ms`.

    SIGKILL follows `grace_ms` after the signal, so grace and notice count from when it can have
    been sent. As that is an estimate, a late record uses up the margin first.
    """
    ends_ms = min(recorded_ms + grace_ms - EXIT_MARGIN_MS, sent_ms + grace_ms - END_GUARD_MS)
    return PlannedEnd(sent_ms, sent_ms + DEREGISTRATION_MS, max(sent_ms, ends_ms))


def latest_exit_ms(sent_ms: int, grace_ms: int, now_ms: int) -> int:
    """Return when the process must exit, whatever its services or exit handlers wait for."""
    return max(now_ms + MIN_END_MS, sent_ms + grace_ms - EXIT_GUARD_MS)
