"""The owner's ledger of one endpoint: what it granted there, and what the endpoint reports."""

from collections import deque

import attrs

from saffronworks.breakers import Circuit, CircuitState
from saffronworks.bundles import Endpoint, Role
from saffronworks.messages import RequestKey
from saffronworks.owner.predictors import Average, PrefixView

__all__ = ["CacheEvents", "EndpointLedger", "Held", "LoadReport", "Stage"]

HISTORY_MS = 5000
FIRST_PACE_MS = 30.0


class Stage:
    """Stages of a held attempt, as they stand in `HeldKey.stage`."""

    PREFILL = "prefill"
    READY = "ready"
    DECODE = "decode"


@attrs.define
class Held:
    """One granted attempt, from its grant to its release."""

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
    """An endpoint's own view of itself: the load of `age_ms` ago, the role of now if it has one."""

    running: int
    age_ms: int
    role: str = ""


@attrs.frozen
class CacheEvents:
    """Prefixes that an endpoint evicted, up to a position; with `gap`, some news is lost."""

    position: int
    evicted: tuple[str, ...] = ()
    gap: bool = False


@attrs.define
class EndpointLedger:
    """State of one endpoint. Times are the owner's, in milliseconds."""

    endpoint: Endpoint
    circuit: Circuit = attrs.Factory(Circuit)
    prefills: dict[str, Held] = attrs.Factory(dict)
    decodes: dict[str, Held] = attrs.Factory(dict)
    links: list[tuple[float, float]] = attrs.Factory(list)
    prefixes: PrefixView = attrs.Factory(PrefixView)
    events_position: int = 0
    prefill_rate: Average = attrs.Factory(lambda: Average(0.0))
    pace_ms: Average = attrs.Factory(lambda: Average(FIRST_PACE_MS))
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

    def take_endpoint(self, endpoint: Endpoint) -> None:
        """Follow a newer description; a role that changed at the endpoint itself stays."""
        if endpoint.role is not self.endpoint.role:
            self.role = endpoint.role
        self.endpoint = endpoint

    def open(self, now_ms: int) -> bool:
        """Whether new work may go here."""
        return not self.leaving and not self.changing and self.circuit.admits(now_ms)

    def slots(self, now_ms: int) -> float:
        """Slots that may be used now; fewer in slow start, none when closed."""
        if not self.open(now_ms):
            return 0.0
        own = 1.0
        if self.circuit.state is not CircuitState.HALF_OPEN:
            own = max(1.0, self.endpoint.slots * self.circuit.share(now_ms))
        return own - self.foreign - len(self.unacknowledged)

    def free_slots(self, now_ms: int) -> int:
        """Slots that are certainly free by the ledger."""
        return int(self.slots(now_ms)) - len(self.decodes)

    def backlog_end_ms(self, now_ms: int) -> float:
        """When the prefills granted here are predicted to have ended."""
        return max([now_ms, *(held.prefill_end_ms for held in self.prefills.values())])

    def prefill_work_ms(self, prompt_tokens: int, prefix_key: str) -> float:
        """Predicted prefill time, less what the prefix cache saves."""
        fresh = max(1, prompt_tokens - self.prefixes.cached(prefix_key))
        return 1000.0 * fresh / self.prefill_rate.value

    def link_share(self, now_ms: int) -> float:
        """Bytes per second for one more transfer on this endpoint's link."""
        self.links = [entry for entry in self.links if entry[0] > now_ms]
        return self.endpoint.link_bytes_per_s / (len(self.links) + 1)

    def note_occupancy(self, now_ms: int) -> None:
        """Remember how many decodes this owner had here, for lagged reports."""
        self.history.append((now_ms, len(self.decodes)))
        while len(self.history) > 1 and self.history[1][0] < now_ms - HISTORY_MS:
            self.history.popleft()

    def apply_events(self, events: CacheEvents) -> None:
        """Forget what was evicted; after a gap, forget all, since anything may be gone."""
        self.events_position = events.position
        if events.gap:
            self.prefixes = PrefixView()
        for prefix_key in events.evicted:
            self.prefixes.forget(prefix_key)

    def apply_report(self, report: LoadReport, now_ms: int) -> None:
        """Count as foreign what two reports in a row show beyond what was known then."""
        as_of_ms = now_ms - report.age_ms
        known = [count for at_ms, count in self.history if abs(at_ms - as_of_ms) <= 200]
        before = [count for at_ms, count in self.history if at_ms <= as_of_ms]
        known += before[-1:] or [0]
        excess = max(0, report.running - max(known) - len(self.unacknowledged))
        self.foreign = min(excess, self.last_excess)
        self.last_excess = excess
