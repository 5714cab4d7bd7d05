"""What a generation has been through, and what its core chooses from."""

import enum

import attrs

from saffronworks.forwarding.directory import ServiceEndpoint
from saffronworks.forwarding.eligibility.blocks import ALL_ELIGIBLE, Block, Eligibility
from saffronworks.forwarding.messages import KvHandle, KvHold, PromptSize
from saffronworks.forwarding.planning.tuning import (
    MOST_PLANS,
    PLANNED_RESERVE,
)
from saffronworks.forwarding.starts import StartId
from saffronworks.forwarding.tuning import (
    ANSWER_RESERVATION_FACTOR,
    CALLER_TIMEOUT_MIN_MS,
    FIRST_REFUSAL_TARGET_SHARE,
    RESUME_MIN_LEFT_MS,
    RETRY_WAIT_SHARE,
)

__all__ = ["GenerationState", "Out", "Pools", "planned_tokens", "reserve_tokens"]


def planned_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Memory to reserve where the plan provides for the growth."""
    return min(prompt.prompt_tokens + int(PLANNED_RESERVE * prompt.likely_tokens), capacity_tokens)


def reserve_tokens(prompt: PromptSize, capacity_tokens: int) -> int:
    """Memory to reserve: the prompt and a likely length of the answer, the most at most."""
    answer = min(prompt.most_answer_tokens, int(ANSWER_RESERVATION_FACTOR * prompt.likely_tokens))
    return min(prompt.prompt_tokens + answer, capacity_tokens)


@attrs.frozen
class Pools:
    """The usable endpoints of both roles, best first, and which of them are blocked for now."""

    decoders: list[ServiceEndpoint]
    prefillers: list[ServiceEndpoint]
    eligibility: Eligibility = ALL_ELIGIBLE

    def blocked(self, instance: StartId) -> bool:
        """Whether an endpoint may not be sent a request for now."""
        return instance in self.eligibility.blocks

    @property
    def decoder_blocks(self) -> list[Block]:
        """Why no decode endpoint may be sent a request; empty where one may, or none is there."""
        blocks = self.eligibility.blocks
        found = [blocks[e.instance] for e in self.decoders if self.blocked(e.instance)]
        return found if len(found) == len(self.decoders) else []


class Out(enum.Enum):
    """What of an answer the caller has; it never goes back."""

    NOTHING = enum.auto()
    STREAM = enum.auto()
    FAILURE = enum.auto()


@attrs.define
class GenerationState:
    """What happened so far. `runs` counts streams that may have been executed.

    `headroom_tokens` must be free beside the reservation; callers leave when `gives_up_ms` after
    their arrival no event has come. `planned_tokens` are reserved where the planner of the
    service's memory granted a place; `plans_left` is how often it may still be asked. Endpoints in
    `failed` are not used again for this request; those in `broken` did more than refuse it, which
    the planner is to hear once.
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
    gives_up_ms: int = CALLER_TIMEOUT_MIN_MS
    returned: bool = False
    runs: int = 0
    redirects: int = 0
    reads: int = 0
    streams: int = 0
    out: Out = Out.NOTHING
    planned_tokens: int = 0
    plans_left: int = MOST_PLANS
    granted: StartId | None = None
    reader: StartId | None = None
    hold: KvHold | None = None
    handle: KvHandle | None = None
    asked: set[StartId] = attrs.Factory(set)
    failed: set[StartId] = attrs.Factory(set)
    broken: set[StartId] = attrs.Factory(set)

    def note_broken(self, instance: StartId) -> None:
        """An endpoint gave no answer, or a wrong one."""
        self.failed.add(instance)
        self.broken.add(instance)

    def take_broken(self) -> tuple[StartId, ...]:
        """What the planner has not heard yet."""
        broken = tuple(sorted(self.broken))
        self.broken.clear()
        return broken

    @property
    def begun(self) -> bool:
        """Whether the caller has the start of an answer."""
        return self.out is not Out.NOTHING

    @property
    def gives_up_at_ms(self) -> float:
        """When waiting for memory has no more use, as the caller is about to leave."""
        if self.begun:
            return self.deadline_at_ms - RESUME_MIN_LEFT_MS
        gives_up_ms = min(self.gives_up_ms, self.deadline_at_ms - self.arrived_ms)
        return self.arrived_ms + RETRY_WAIT_SHARE * gives_up_ms

    @property
    def patience_until_ms(self) -> float:
        """Until when a request that finds no memory waits for it."""
        if self.begun or self.returned:
            return self.gives_up_at_ms
        return self.arrived_ms + FIRST_REFUSAL_TARGET_SHARE * self.target_ms
