"""The ledger of one endpoint: the work that the owner placed there, and its load reports."""

from collections import deque

import attrs

from saffronworks.breakers import Circuit, CircuitState
from saffronworks.bundles import Endpoint, Role
from saffronworks.messages import RequestKey
from saffronworks.owner.predictors import Average, PrefixView
from saffronworks.wire import Whole

__all__ = ["CacheEvents", "EndpointLedger", "Held", "LoadReport", "Stage"]

HISTORY_MS = 5000
INITIAL_PACE_MS = 30.0


class Stage:
    """Stages of a granted attempt, as sent in `HeldKey.stage`."""

    PREFILL = "prefill"
    READY = "ready"
    DECODE = "decode"


@attrs.define
class Held:
    """A granted attempt, from its grant to its release.

    `expires_ms` is when its KV result expires; `limit_ms` is the time limit of its transfer;
    `avoid` names the endpoints that failed the request before.
    """

    key: RequestKey
    node: str
    model: str
    organisation: str
    stage: str
    prefill_endpoint: str
    granted_ms: int
    prefill_end_ms: float = 0.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_key: str = ""
    decode_endpoint: str = ""
    decode_started_ms: float = 0.0
    expires_ms: int = 0
    limit_ms: int = 0
    avoid: tuple[str, ...] = ()


@attrs.frozen
class LoadReport:
    """A report of an endpoint: the decodes that ran `age_ms` ago, and its current role, if any."""

    running: Whole
    age_ms: Whole
    role: str = ""


@attrs.frozen
class CacheEvents:
    """Prefixes that an endpoint evicted up to `position`; with `gap`, the list is incomplete."""

    position: Whole
    evicted: tuple[str, ...] = ()
    gap: bool = False


@attrs.define
class EndpointLedger:
    """The scheduling state of one endpoint, with times in milliseconds on the owner's clock.

    `links` holds the end time and size in bytes of each transfer under way. `foreign` counts
    running decodes that this owner did not place. `unacknowledged` holds cancelled attempts
    that may still occupy a slot.
    """

    endpoint: Endpoint
    circuit: Circuit = attrs.Factory(Circuit)
    prefills: dict[str, Held] = attrs.Factory(dict)
    decodes: dict[str, Held] = attrs.Factory(dict)
    links: list[tuple[float, float]] = attrs.Factory(list)
    prefixes: PrefixView = attrs.Factory(PrefixView)
    events_position: int = 0
    prefill_rate: Average = attrs.Factory(lambda: Average(0.0))
    pace_ms: Average = attrs.Factory(lambda: Average(INITIAL_PACE_MS))
    leaving: bool = False
    role: Role = attrs.field(init=False)
    role_set_ms: int = 0
    changing: bool = False
    foreign: int = 0
    last_excess: int = 0
    history: deque[tuple[int, int]] = attrs.Factory(deque)
    unacknowledged: set[RequestKey] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        self.role = self.endpoint.role
        if not self.prefill_rate.value:
            self.prefill_rate.value = self.endpoint.prefill_tokens_per_s

    def update_endpoint(self, endpoint: Endpoint) -> None:
        """Applies a newer bundle entry; an ordered role stays unless the entry changes its role."""
        if endpoint.role is not self.endpoint.role:
            self.role = endpoint.role
        self.endpoint = endpoint

    def open(self, now_ms: int) -> bool:
        """Returns True when the endpoint may get new work."""
        return not self.leaving and not self.changing and self.circuit.admits(now_ms)

    def slots(self, now_ms: int) -> float:
        """Returns the slots that this owner may use, 0 if the endpoint is not open.

        Slow start and a half-open circuit reduce them, and foreign decodes and unacknowledged
        cancels are subtracted, so the result may be negative.
        """
        if not self.open(now_ms):
            return 0.0
        own = 1.0
        if self.circuit.state is not CircuitState.HALF_OPEN:
            own = max(1.0, self.endpoint.slots * self.circuit.share(now_ms))
        return own - self.foreign - len(self.unacknowledged)

    def free_slots(self, now_ms: int) -> int:
        """Returns the number of free decode slots, rounded down."""
        return int(self.slots(now_ms)) - len(self.decodes)

    def backlog_end_ms(self, now_ms: int) -> float:
        """Returns the predicted end time of the last prefill granted here."""
        return max([now_ms, *(held.prefill_end_ms for held in self.prefills.values())])

    def prefill_work_ms(self, prompt_tokens: int, prefix_key: str) -> float:
        """Predicts the prefill time of the prompt tokens that the prefix cache does not hold."""
        fresh = max(1, prompt_tokens - self.prefixes.cached(prefix_key))
        return 1000.0 * fresh / self.prefill_rate.value

    def link_share(self, now_ms: int) -> float:
        """Returns the bytes per second that one more transfer would get on this endpoint's link."""
        self.links = [entry for entry in self.links if entry[0] > now_ms]
        return self.endpoint.link_bytes_per_s / (len(self.links) + 1)

    def record_occupancy(self, now_ms: int) -> None:
        """Records the number of decodes now, to compare with load reports that arrive later."""
        self.history.append((now_ms, len(self.decodes)))
        while len(self.history) > 1 and self.history[1][0] < now_ms - HISTORY_MS:
            self.history.popleft()

    def apply_events(self, events: CacheEvents) -> None:
        """Removes evicted prefixes; after a gap removes all, since any may have been evicted."""
        self.events_position = events.position
        if events.gap:
            self.prefixes = PrefixView()
        for prefix_key in events.evicted:
            self.prefixes.forget(prefix_key)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Counts as foreign the reported decodes beyond those in the ledger.

        Reports lag, so a report is compared with the highest count around the time it
        describes, and only an excess that two reports in a row show counts.
        """
        as_of_ms = now_ms - report.age_ms
        known = [count for at_ms, count in self.history if abs(at_ms - as_of_ms) <= 200]
        before = [count for at_ms, count in self.history if at_ms <= as_of_ms]
        known += before[-1:] or [0]
        excess = max(0, report.running - max(known) - len(self.unacknowledged))
        self.foreign = min(excess, self.last_excess)
        self.last_excess = excess
