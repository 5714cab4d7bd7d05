"""Circuit state per endpoint, and the retry budget of a cell."""

import enum

import attrs

__all__ = ["Circuit", "CircuitState", "RetryBudget"]

FAILURES_TO_OPEN = 3
FIRST_OPEN_MS = 500
LONGEST_OPEN_MS = 15_000
SLOW_START_MS = 1000
TRIAL_MS = 5000
DEPOSIT_PER_SUCCESS = 0.2
BUDGET_FLOOR = 10.0
BUDGET_CAP = 50.0


class CircuitState(enum.StrEnum):
    """Closed takes work, open none, half-open a single trial."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@attrs.define
class Circuit:
    """Opens on a refused connection or on failures in a row; comes back by slow start.

    `unreachable` tells that it opened since nobody listened. A load report that is answered
    then closes it, where failures in a row want a whole success first.
    """

    state: CircuitState = CircuitState.CLOSED
    failures: int = 0
    open_ms: int = FIRST_OPEN_MS
    until_ms: int = 0
    closed_ms: int | None = None
    trial_until_ms: int = 0
    unreachable: bool = False

    def fail(self, failure: str, now_ms: int, may_open: bool = True) -> None:
        """Count a failure; `connect` means that nobody listens there.

        Without `may_open`, failures in a row do not open it: too few others would be left.
        """
        self.failures += 1
        if failure != "connect" and (self.failures < FAILURES_TO_OPEN or not may_open):
            return
        if self.state is CircuitState.OPEN:
            return
        if self.state is CircuitState.HALF_OPEN or self.share(now_ms) < 1.0:
            self.open_ms = min(self.open_ms * 2, LONGEST_OPEN_MS)
        self.state = CircuitState.OPEN
        self.until_ms = now_ms + self.open_ms
        self.unreachable = failure == "connect"

    def succeed(self, now_ms: int) -> None:
        """A whole success closes the circuit."""
        self._close(now_ms)
        if self.share(now_ms) >= 1.0:
            self.open_ms = FIRST_OPEN_MS

    def answer(self, now_ms: int) -> None:
        """The endpoint answered a report: one that nobody listened at is there again."""
        if self.unreachable and now_ms >= self.until_ms:
            self._close(now_ms)

    def _close(self, now_ms: int) -> None:
        self.failures = 0
        if self.state is not CircuitState.CLOSED:
            self.state = CircuitState.CLOSED
            self.closed_ms = now_ms
        self.unreachable = False
        self.trial_until_ms = 0

    def admits(self, now_ms: int) -> bool:
        """Whether new work may go there now."""
        if self.state is CircuitState.OPEN and now_ms >= self.until_ms:
            self.state = CircuitState.HALF_OPEN
            self.trial_until_ms = 0
        if self.state is CircuitState.HALF_OPEN:
            return now_ms >= self.trial_until_ms
        return self.state is CircuitState.CLOSED

    def take_trial(self, now_ms: int) -> None:
        """Note that the one trial of the half-open state is under way.

        A trial that ends with neither success nor failure makes room for another one.
        """
        if self.state is CircuitState.HALF_OPEN:
            self.trial_until_ms = now_ms + TRIAL_MS

    def share(self, now_ms: int) -> float:
        """Share of the endpoint's capacity in use: grows linearly in slow start."""
        if self.closed_ms is None:
            return 1.0
        return min(1.0, max(0.1, (now_ms - self.closed_ms) / SLOW_START_MS))


@attrs.define
class RetryBudget:
    """Retries are a share of the successes, with a floor for quiet times."""

    tokens: float = BUDGET_FLOOR

    def deposit(self) -> None:
        """A request finished."""
        self.tokens = min(BUDGET_CAP, self.tokens + DEPOSIT_PER_SUCCESS)

    def withdraw(self) -> bool:
        """Whether one more retry is allowed; it is counted when it is."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
