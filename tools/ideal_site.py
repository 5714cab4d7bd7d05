"""An upper bound for the policy bench: a site with exact knowledge and no faults.

One pool of slots is never idle while a request waits that can still be in time; prefills are
started so that each result meets its slot; a request that will be late is never started. It
is blind to answer length, as every policy here is, and serves in order of arrival.
"""

import heapq

import attrs

from saffronworks.standin_models import EngineProfile

__all__ = ["Offer", "count_in_time"]


@attrs.frozen
class Offer:
    """One offered request: lengths in tokens, arrival in milliseconds."""

    arrived_ms: float
    prompt_tokens: int
    answer_tokens: int


def count_in_time(
    offers: list[Offer],
    profile: EngineProfile,
    prefills: int,
    decodes: int,
    prefix_tokens: int,
    ttft_ms: int,
) -> list[bool]:
    """For each offer in order, whether the ideal site serves it within its target."""
    slots = [0.0] * (decodes * profile.slots)
    engines = [0.0] * prefills
    heapq.heapify(slots)
    heapq.heapify(engines)
    served = []
    for offer in offers:
        work_ms = profile.prefill_ms(offer.prompt_tokens, prefix_tokens)
        transfer_ms = profile.transfer_ms(offer.prompt_tokens)
        prefilled_ms = max(offer.arrived_ms, engines[0]) + work_ms
        start_ms = max(prefilled_ms, slots[0])
        batch = 1 + sum(1 for free_ms in slots if free_ms > start_ms) / decodes
        pace_ms = profile.pace_ms(round(batch))
        in_time = start_ms + transfer_ms + pace_ms <= offer.arrived_ms + ttft_ms
        served.append(in_time)
        if in_time:
            heapq.heapreplace(engines, prefilled_ms)
            end_ms = start_ms + transfer_ms + offer.answer_tokens * pace_ms
            heapq.heapreplace(slots, end_ms)
    return served
