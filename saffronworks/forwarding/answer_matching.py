"""Decides whether an answer on a connection belongs to the request in progress there.

Endpoints echo the id of a request in their answer, and may send one answer twice.
"""

from saffronworks.clocks import monotonic_ms
from saffronworks.forwarding.carried_requests import CarriedRequests
from saffronworks.forwarding.tuning import LATE_COPY_MS
from saffronworks.forwarding.unmatched_answers import Mismatch, UnmatchedAnswer, UnmatchedAnswers

__all__ = ["AnswerMatcher"]


class AnswerMatcher:
    """The ids of one connection's requests: the one in progress and the earlier ones."""

    def __init__(self) -> None:
        self.carried = CarriedRequests()
        self.unmatched = UnmatchedAnswers()
        # Name of the endpoint in log lines.
        self.endpoint = ""
        self.awaited_id: str | None = None
        # If true, the other side is a node: it answers once, and its own rejections have no id.
        self.to_node = False
        # When the last control call was sent or answered, and the status of its answer.
        self._control_call_ms: int | None = None
        self._control_status: int | None = None
        self._sent_before = False
        self._sent_ms = 0

    def begin(self, awaited_id: str | None, now_ms: int) -> None:
        """Record a send; `awaited_id` is None for one of the router's own control calls."""
        if awaited_id is None:
            self._control_call_ms = now_ms
        self.awaited_id = awaited_id
        self._sent_ms = now_ms
        self._sent_before = awaited_id is not None and awaited_id in self.carried
        if awaited_id is not None:
            self.carried.add(awaited_id)

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether a send on this connection can be told from all earlier ones there.

        The id alone doesn't tell two sends of one request apart: a late copy of the first answer
        would be taken for the second one.
        """
        if request_id is None:
            return True
        return not self.carried.full and request_id not in self.carried

    def accept(self, status: int, answer_id: str | None, now_ms: int) -> Mismatch | None:
        """Return None if an answer, not an interim one, is taken for the one in progress."""
        mismatch = self._find_mismatch(status, answer_id, now_ms)
        if mismatch is not None:
            self.record(mismatch, status, answer_id)
        elif self.awaited_id is None:
            self._control_call_ms, self._control_status = now_ms, status
        return None if mismatch is Mismatch.SENT_BEFORE else mismatch

    def resembles_control_answer(self, status: int) -> bool:
        """Return whether an answer without an id has the status of the last control call's."""
        return status == self._control_status

    def _find_mismatch(self, status: int, answer_id: str | None, now_ms: int) -> Mismatch | None:
        """Compare the ids; answers to control calls have none."""
        if self.awaited_id is None:
            carried = answer_id is not None and answer_id in self.carried
            return Mismatch.OTHER_ID if carried else None
        if answer_id is None:
            return Mismatch.NO_ID if self._may_be_copy(status, now_ms) else None
        if answer_id != self.awaited_id:
            return Mismatch.OTHER_ID
        return Mismatch.SENT_BEFORE if self._sent_before else None

    def _may_be_copy(self, status: int, now_ms: int) -> bool:
        """Return whether an answer without an id may be the late one to a control call.

        A suspended endpoint sends a copy only after it is resumed, so time alone proves nothing.
        """
        if self.to_node or self._control_call_ms is None:
            return False
        return (
            self.resembles_control_answer(status) or now_ms < self._control_call_ms + LATE_COPY_MS
        )

    def record(
        self, mismatch: Mismatch, status: int | None = None, answer_id: str | None = None
    ) -> None:
        """Count and log an answer, or bytes without a request, that can't be matched."""
        now_ms = monotonic_ms()
        answer = UnmatchedAnswer(
            self.endpoint, mismatch, now_ms - self._sent_ms, status, answer_id, self.awaited_id
        )
        self.unmatched.record(answer, now_ms)
