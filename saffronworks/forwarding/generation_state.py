"""State of one generation, and the ranked endpoint pools that its core chooses from."""

import enum

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import ALL_ELIGIBLE, Block, Eligibility
from saffronworks.forwarding.exchange_errors import FaultSite
from saffronworks.forwarding.messages import KvHandle, KvHold, PromptSize
from saffronworks.forwarding.planning.tuning import (
    MAX_PLAN_REQUESTS,
    PLANNED_RESERVE_SHARE,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    ANSWER_RESERVATION_FACTOR,
    CALLER_TIMEOUT_MIN_MS,
    FIRST_REFUSAL_TARGET_SHARE,
    RESUME_MIN_LEFT_MS,
    RETRY_WAIT_SHARE,
)

__all__ = [
    "UNCERTAIN_VERSION",
    "Delivered",
    "GenerationState",
    "Pools",
    "planned_tokens",
    "reserve_tokens",
]

# No endpoint has this version, so a stream that began at an uncertain one does not continue.
UNCERTAIN_VERSION = "\0"


def planned_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Return the tokens to reserve for a planned run; the plan leaves room for its growth."""
    return min(
        prompt.prompt_tokens + int(PLANNED_RESERVE_SHARE * prompt.likely_tokens), capacity_tokens
    )


def reserve_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Return the tokens to reserve: the prompt's, and the likely ones of the answer."""
    answer = min(prompt.most_answer_tokens, int(ANSWER_RESERVATION_FACTOR * prompt.likely_tokens))
    return min(prompt.prompt_tokens + answer, capacity_tokens)


@attrs.frozen
class Pools:
    """The usable endpoints of both roles, best first; `eligibility` has the blocked ones.

    `other_versions` are decode endpoints left out of `decoders` for the version of their software.
    """

    decoders: list[ServiceEndpoint]
    prefillers: list[ServiceEndpoint]
    eligibility: Eligibility = ALL_ELIGIBLE
    other_versions: frozenset[StartId] = frozenset()

    def of_version(self, version: str | None) -> "Pools":
        """Return the pools without decode endpoints of other versions, unless `version` is None."""
        if version is None:
            return self
        others = {e.instance for e in self.decoders if e.version != version}
        if not others:
            return self
        left = [e for e in self.decoders if e.instance not in others]
        return attrs.evolve(self, decoders=left, other_versions=self.other_versions | others)

    def blocked(self, instance: StartId) -> bool:
        """Return True while no request may be sent to an endpoint."""
        return instance in self.eligibility.blocks

    @property
    def decoder_blocks(self) -> list[Block]:
        """The blocks of all decode endpoints; empty if any is unblocked or there is none."""
        blocks = self.eligibility.blocks
        found = [blocks[e.instance] for e in self.decoders if self.blocked(e.instance)]
        return found if len(found) == len(self.decoders) else []


class Delivered(enum.Enum):
    """The part of an answer that was sent to the caller; it never returns to `NOTHING`."""

    NOTHING = enum.auto()
    STREAM = enum.auto()
    FAILURE = enum.auto()


@attrs.define
class GenerationState:
    """State of one generation. `runs` counts streams that may have been executed.

    `headroom_tokens` must be free beside the reservation. Callers disconnect if no event arrives
    within `first_event_timeout_ms`. `planned_tokens` are reserved at an endpoint that the planner
    granted; `plans_left` limits further requests to the planner. `returned` marks a caller that was
    refused before. `reader` is the endpoint that the planner chose for the prefill. Endpoints in
    `asked` are not asked again in this round, those in `failed` not before the next `Wait`; those
    in `broken` failed otherwise than by a rejection and are reported to the planner once.
    `read_rejected`: a prefill endpoint has rejected the prompt. `run_counted`: the retry budget
    has counted the next stream already. `version` is that of the software that began the stream;
    None until an event was sent to the caller.
    `version_certain` is whether the endpoint of the last run is known to have its listed version.
    """

    service: str
    tokens: int
    may_repeat: bool
    max_attempts: int
    target_ms: int
    arrived_ms: int
    deadline_at_ms: int
    hold_most_ms: int
    headroom_tokens: int = 0
    first_event_timeout_ms: int = CALLER_TIMEOUT_MIN_MS
    returned: bool = False
    version: str | None = None
    version_certain: bool = True
    runs: int = 0
    redirects: int = 0
    reads: int = 0
    read_rejected: bool = False
    run_counted: bool = False
    streams: int = 0
    delivered: Delivered = Delivered.NOTHING
    planned_tokens: int = 0
    plans_left: int = MAX_PLAN_REQUESTS
    granted: StartId | None = None
    reader: StartId | None = None
    hold: KvHold | None = None
    handle: KvHandle | None = None
    asked: set[StartId] = attrs.Factory(set)
    failed: set[StartId] = attrs.Factory(set)
    broken: set[StartId] = attrs.Factory(set)

    def mark_broken(self, instance: StartId, site: FaultSite = FaultSite.ENDPOINT) -> None:
        """Record an endpoint that gave no answer, or an invalid one.

        It is reported to the planner only if the endpoint itself failed. If the path to it is cut,
        it may be asked again through another node.
        """
        if site is not FaultSite.PATH:
            self.failed.add(instance)
        if site is FaultSite.ENDPOINT:
            self.broken.add(instance)

    def pop_broken(self) -> tuple[StartId, ...]:
        """Return the broken endpoints that were not yet reported to the planner."""
        broken = tuple(sorted(self.broken))
        self.broken.clear()
        return broken

    @property
    def answer_started(self) -> bool:
        """True once the start of an answer was sent to the caller."""
        return self.delivered is not Delivered.NOTHING

    @property
    def max_wait_at_ms(self) -> float:
        """The end of any wait for memory: after this time the caller is about to disconnect."""
        if self.answer_started:
            return self.deadline_at_ms - RESUME_MIN_LEFT_MS
        first_event_timeout_ms = min(
            self.first_event_timeout_ms, self.deadline_at_ms - self.arrived_ms
        )
        return self.arrived_ms + RETRY_WAIT_SHARE * first_event_timeout_ms

    @property
    def waits_until_ms(self) -> float:
        """The time until which a request waits for memory; earlier for a first attempt."""
        if self.answer_started or self.returned:
            return self.max_wait_at_ms
        return self.arrived_ms + FIRST_REFUSAL_TARGET_SHARE * self.target_ms
