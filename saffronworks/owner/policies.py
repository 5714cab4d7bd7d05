"""Tuning parameters of the scheduler of a cell."""

import attrs

__all__ = ["Policy"]


@attrs.frozen
class Policy:
    """Tuning parameters of admission and queue order; docs/design/admission.md has the trials.

    `wait_share`: the share of the lifetime of a KV result that it may be planned to wait for a
    decode slot, at goodput weight 0; at weight 1, `wait_share_weight` is added.
    `spare_slots`: the decode slots that must be predicted free beyond the one needed.
    `late_every_grants`: after this many grants without a late request, one may go to a late
    request.
    `slack_margin_share`: a request is late when less than this share of its target is left.
    `fair_factor`: an organisation with more than this multiple of the mean service ranks behind
    the others.
    `prefill_lead_ms`: how long before the predicted end of a prefill the next one may be granted
    at the same endpoint.
    """

    wait_share: float = 0.05
    wait_share_weight: float = 0.10
    spare_slots: float = 0.0
    late_every_grants: int = 32
    slack_margin_share: float = 0.17
    fair_factor: float = 1.8
    prefill_lead_ms: float = 20.0

    def planned_wait_ms(self, weight: float, kv_kept_ms: int) -> float:
        """Returns how long a KV result may be planned to wait for a decode slot."""
        return kv_kept_ms * (self.wait_share + self.wait_share_weight * weight)
