"""The knobs of a cell's decisions, and what the bundle's weight makes of them."""

import attrs

__all__ = ["Policy"]


@attrs.frozen
class Policy:
    """Knobs of admission and order; docs/design/admission.md has what was measured.

    `wait_share` is the share of a KV result's life that it may be planned to wait for a slot,
    at weight 0 and, with `wait_share_weight` added, at weight 1. `spare_slots` is how many
    decode slots must be predicted free beyond the one wanted. Each `late_every_grants`th grant
    may go to a request that is late already; a request counts as late when less than
    `slack_margin_share` of its target is left. `fair_factor` times the mean service is what an
    organisation may take before others go first. `prefill_lead_ms` before the end of one
    prefill, the next is granted at the same endpoint.
    """

    wait_share: float = 0.05
    wait_share_weight: float = 0.10
    spare_slots: float = 0.0
    late_every_grants: int = 32
    slack_margin_share: float = 0.17
    fair_factor: float = 1.8
    prefill_lead_ms: float = 20.0

    def planned_wait_ms(self, weight: float, kv_kept_ms: int) -> float:
        """How long a KV result may be planned to wait for its slot."""
        return kv_kept_ms * (self.wait_share + self.wait_share_weight * weight)
