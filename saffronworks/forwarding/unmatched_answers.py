"""Log lines and counts of endpoints' answers that can't be matched to one request."""

import logging
from collections import Counter
from enum import StrEnum

import attrs

__all__ = ["Mismatch", "UnmatchedAnswer", "UnmatchedAnswers"]

logger = logging.getLogger(__name__)

# Most log lines in an interval; all answers are counted.
MAX_LINES = 10
INTERVAL_MS = 1000
# Most characters of an id in a log line.
MAX_ID_CHARS = 64


class Mismatch(StrEnum):
    """Why an answer belongs to no request, or may belong to more than one."""

    # Discarded: it has the id of another request.
    OTHER_ID = "other-id"
    # Discarded: it has no id, and may be the late answer to a control call.
    NO_ID = "no-id"
    # Discarded: the answer to a call for a reservation grants none, or an earlier one.
    OTHER_CALL = "other-call"
    # Discarded: the connection had no request in progress.
    UNREQUESTED = "unrequested"
    # Accepted: the same request was sent on this connection before.
    SENT_BEFORE = "sent-before"


@attrs.frozen
class UnmatchedAnswer:
    """An answer on a connection to `endpoint`, `after_ms` after the last send on it.

    `answer_id` is the id that it carries, `awaited_id` that of the request in progress.
    """

    endpoint: str
    mismatch: Mismatch
    after_ms: int
    status: int | None = None
    answer_id: str | None = None
    awaited_id: str | None = None


class UnmatchedAnswers:
    """Records the unmatched answers of all connections of a pool."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._interval_began_ms = -INTERVAL_MS
        self._lines = 0
        self._not_logged = 0

    def record(self, answer: UnmatchedAnswer, now_ms: int) -> None:
        """Count an answer, and log it within the bound on log lines."""
        self.counts[answer.mismatch.value] += 1
        if now_ms >= self._interval_began_ms + INTERVAL_MS:
            self._interval_began_ms, self._lines = now_ms, 0
        self._lines += 1
        if self._lines > MAX_LINES:
            self._not_logged += 1
            return
        logger.warning(
            "event=unmatched_answer reason=%s endpoint=%s status=%s answer=%s awaited=%s "
            "after_ms=%d not_logged=%d",
            answer.mismatch.value,
            answer.endpoint,
            answer.status,
            _shorten(answer.answer_id),
            _shorten(answer.awaited_id),
            answer.after_ms,
            self._not_logged,
        )
        self._not_logged = 0


def _shorten(request_id: str | None) -> str | None:
    return request_id and request_id[:MAX_ID_CHARS]
