"""Placement in a cell: chooses prefill and decode endpoints, and predicts free decode slots."""

from collections.abc import Iterable, Mapping

import attrs

from saffronworks.bundles import Pool, Role
from saffronworks.messages import Ask
from saffronworks.owner.ledgers import EndpointLedger, Held, Stage
from saffronworks.owner.predictors import LengthHistogram

__all__ = [
    "PrefillChoice",
    "choose_decode",
    "choose_prefill",
    "expected_free",
    "takes_prefill",
    "transfer_ms",
]

MAX_PREFILLS = 2


@attrs.frozen
class PrefillChoice:
    """A prefill endpoint, with the predicted end of the prefill and of the transfer after it."""

    ledger: EndpointLedger
    end_ms: float
    ready_ms: float


def transfer_ms(
    pool: Pool, tokens: int, source: EndpointLedger, target: EndpointLedger | None, now_ms: int
) -> float:
    """Predicts the transfer time of a KV result, limited by the slower of both links.

    Without a `target`, only the link of `source` counts.
    """
    rate = source.link_share(now_ms)
    if target is not None:
        rate = min(rate, target.link_share(now_ms))
    return 1000.0 * tokens * pool.kv_bytes_per_token / rate


def takes_prefill(ledger: EndpointLedger, lead_ms: float, now_ms: int) -> bool:
    """Returns True when an open prefill endpoint is idle, or will be within `lead_ms`."""
    if ledger.role is not Role.PREFILL or len(ledger.prefills) >= MAX_PREFILLS:
        return False
    return ledger.open(now_ms) and ledger.backlog_end_ms(now_ms) <= now_ms + lead_ms


def choose_prefill(
    pool: Pool,
    ledgers: Iterable[EndpointLedger],
    ask: Ask,
    lead_ms: float,
    now_ms: int,
) -> PrefillChoice | None:
    """Returns the endpoint whose KV result is predicted to be ready first, or None.

    An endpoint that is busy for longer than `lead_ms` is not considered: an attempt granted that
    early could not be overtaken by one that the queue ranks higher. An endpoint that failed the
    request before is chosen only when there is no other.
    """
    best: tuple[tuple[bool, float], PrefillChoice] | None = None
    for ledger in ledgers:
        if not takes_prefill(ledger, lead_ms, now_ms):
            continue
        end_ms = ledger.backlog_end_ms(now_ms)
        end_ms += ledger.prefill_work_ms(ask.prompt_tokens, ask.prefix_key)
        ready_ms = end_ms + transfer_ms(pool, ask.prompt_tokens, ledger, None, now_ms)
        rank = (ledger.endpoint.name in ask.avoid, ready_ms)
        if best is None or rank < best[0]:
            best = (rank, PrefillChoice(ledger, end_ms, ready_ms))
    return best[1] if best else None


def expected_free(
    ledgers: Iterable[EndpointLedger],
    held: Iterable[Held],
    lengths: Mapping[str, LengthHistogram],
    then_ms: float,
    now_ms: int,
) -> float:
    """Predicts the free decode slots at `then_ms`, less one per attempt that has none yet."""
    free = 0.0
    for ledger in ledgers:
        if ledger.role is Role.DECODE:
            free += max(
                0.0, ledger.slots(now_ms) - _expected_running(ledger, lengths, then_ms, now_ms)
            )
    return free - sum(1 for item in held if item.stage != Stage.DECODE)


def _expected_running(
    ledger: EndpointLedger, lengths: Mapping[str, LengthHistogram], then_ms: float, now_ms: int
) -> float:
    if then_ms <= now_ms:
        return float(len(ledger.decodes))
    running = 0.0
    tokens_per_ms = 1.0 / max(0.1, ledger.pace_ms.value)
    for item in ledger.decodes.values():
        table = lengths.get(item.model)
        age_ms = now_ms - item.decode_started_ms
        if table is None or age_ms < 0:
            running += 1.0
            continue
        now_tokens = age_ms * tokens_per_ms
        then_tokens = (then_ms - item.decode_started_ms) * tokens_per_ms
        running += table.still_running(now_tokens, then_tokens, item.max_tokens)
    return running


def choose_decode(
    pool: Pool, ledgers: Mapping[str, EndpointLedger], item: Held, now_ms: int
) -> tuple[EndpointLedger, float] | None:
    """Returns a decode endpoint with a free slot, and the predicted transfer time in ms.

    Prefers the shortest transfer, to within 10 ms, then the least loaded endpoint. An endpoint
    that failed the request before is chosen only when there is no other.
    """
    source = ledgers.get(item.prefill_endpoint)
    best: tuple[tuple[bool, float, float], EndpointLedger] | None = None
    for ledger in ledgers.values():
        if ledger.role is not Role.DECODE or ledger.free_slots(now_ms) < 1:
            continue
        cost_ms = transfer_ms(pool, item.prompt_tokens, source or ledger, ledger, now_ms)
        avoided = ledger.endpoint.name in item.avoid
        load = len(ledger.decodes) / ledger.endpoint.slots
        rank = (avoided, round(cost_ms / 10), load)
        if best is None or rank < best[0]:
            best = (rank, ledger)
    if best is None:
        return None
    return best[1], transfer_ms(pool, item.prompt_tokens, source or best[1], best[1], now_ms)
