"""An upper bound for the policy bench: a site with exact knowledge.

One pool of slots is never idle while a request waits that can still be in time; prefills are
started so that each result meets its slot; a request that will be late is never started. It
is blind to answer length, as every policy here is, and serves in order of arrival. Of the
faults it knows the absence of decode endpoint 0 alone: its slots are away, and each stream that
ran there is prefilled again at once and decoded elsewhere to its end.
"""

import heapq

import attrs

from saffronworks.standins.standin_models import EngineProfile

__all__ = ["NEVER", "Absence", "Offer", "count_in_time"]


@attrs.frozen
class Offer:
    """One offered request: lengths in tokens, arrival in milliseconds."""

    arrived_ms: float
    prompt_tokens: int
    answer_tokens: int


@attrs.frozen
class Absence:
    """Decode endpoint 0 is away from `from_ms` until `until_ms`."""

    from_ms: float
    until_ms: float


NEVER = Absence(float("inf"), float("inf"))


@attrs.define(order=True)
class _Slot:
    """A decode slot: when it is free, where it is, and the prompt that it held last."""

    free_ms: float
    endpoint: int
    prompt_tokens: int = 0


@attrs.define
class _Site:
    profile: EngineProfile
    prefix_tokens: int
    absence: Absence
    engines: list[float]
    slots: list[_Slot]

    def prefill(self, tokens: int, from_ms: float, cached_tokens: int) -> float:
        """When a prefill at the first idle endpoint would end."""
        return max(from_ms, self.engines[0]) + self.profile.prefill_ms(tokens, cached_tokens)

    def next_start_ms(self, wanted_ms: float) -> float:
        """When a decode can start; its slot then stands first in the heap."""
        while True:
            slot = self.slots[0]
            start_ms = max(wanted_ms, slot.free_ms)
            away = self.absence.from_ms <= start_ms < self.absence.until_ms
            if slot.endpoint != 0 or not away:
                return start_ms
            heapq.heapreplace(self.slots, _Slot(self.absence.until_ms, slot.endpoint))

    def pace_ms(self, start_ms: float, decodes: int) -> float:
        """Time between tokens among those that run at `start_ms`."""
        running = sum(1 for slot in self.slots if slot.free_ms > start_ms)
        return self.profile.pace_ms(round(1 + running / decodes))

    def take(self, prefilled_ms: float, end_ms: float, prompt_tokens: int) -> None:
        """Use the first prefill endpoint until `prefilled_ms`, the first slot until `end_ms`."""
        heapq.heapreplace(self.engines, prefilled_ms)
        heapq.heapreplace(self.slots, _Slot(end_ms, self.slots[0].endpoint, prompt_tokens))

    def lose_endpoint(self) -> None:
        """Endpoint 0 dies: what runs there is prefilled again, without its prefix's cost."""
        from_ms = self.absence.from_ms
        broken = [slot for slot in self.slots if slot.endpoint == 0 and slot.free_ms > from_ms]
        lost = [(slot.free_ms - from_ms, slot.prompt_tokens) for slot in broken]
        for slot in broken:
            slot.free_ms = self.absence.until_ms
        heapq.heapify(self.slots)
        for left_ms, prompt_tokens in lost:
            prefilled_ms = self.prefill(prompt_tokens, from_ms, self.prefix_tokens)
            start_ms = self.next_start_ms(prefilled_ms)
            transfer_ms = self.profile.transfer_ms(prompt_tokens)
            self.take(prefilled_ms, start_ms + transfer_ms + left_ms, prompt_tokens)


def count_in_time(
    offers: list[Offer],
    profile: EngineProfile,
    prefills: int,
    decodes: int,
    prefix_tokens: int,
    ttft_ms: int,
    absence: Absence = NEVER,
) -> list[bool]:
    """For each offer in order, whether the ideal site serves it within its target."""
    slots = [_Slot(0.0, endpoint) for endpoint in range(decodes) for _ in range(profile.slots)]
    site = _Site(profile, prefix_tokens, absence, [0.0] * prefills, slots)
    served = []
    lost = False
    for offer in offers:
        if not lost and offer.arrived_ms >= absence.from_ms:
            lost = True
            site.lose_endpoint()
        transfer_ms = profile.transfer_ms(offer.prompt_tokens)
        prefilled_ms = site.prefill(offer.prompt_tokens, offer.arrived_ms, prefix_tokens)
        start_ms = site.next_start_ms(prefilled_ms)
        pace_ms = site.pace_ms(start_ms, decodes)
        in_time = start_ms + transfer_ms + pace_ms <= offer.arrived_ms + ttft_ms
        served.append(in_time)
        if in_time:
            end_ms = start_ms + transfer_ms + offer.answer_tokens * pace_ms
            site.take(prefilled_ms, end_ms, offer.prompt_tokens)
    return served
