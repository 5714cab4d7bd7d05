"""Choices of a cell: which prefill endpoint, whether a slot will be free, which decode endpoint."""

from collections.abc import Iterable, Mapping

import attrs

from saffronworks.bundles import Pool, Role
from saffronworks.messages import Ask
from saffronworks.owner.ledgers import EndpointLedger, Held, Stage
from saffronworks.owner.predictors import LengthTable

__all__ = [
    "PrefillChoice",
    "choose_decode",
    "choose_prefill",
    "expected_free",
    "takes_prefill",
    "transfer_ms",
]

MOST_PREFILLS = 2


@attrs.frozen
class PrefillChoice:
    """A prefill endpoint with the predicted end of the prefill and of its transfer."""

    ledger: EndpointLedger
    end_ms: float
    ready_ms: float


def transfer_ms(
    pool: Pool, tokens: int, source: EndpointLedger, target: EndpointLedger | None, now_ms: int
) -> float:
    """Predicted transfer time at the slower of both ends' shares of their links."""
    rate = source.link_share(now_ms)
    if target is not None:
        rate = min(rate, target.link_share(now_ms))
    return 1000.0 * tokens * pool.kv_bytes_per_token / rate


def takes_prefill(ledger: EndpointLedger, lead_ms: float, now_ms: int) -> bool:
    """Whether a prefill may be granted there now: it is open, and nearly or wholly idle."""
    if ledger.role is not Role.PREFILL or len(ledger.prefills) >= MOST_PREFILLS:
        return False
    return ledger.open(now_ms) and ledger.backlog_end_ms(now_ms) <= now_ms + lead_ms


def choose_prefill(
    pool: Pool,
    ledgers: Iterable[EndpointLedger],
    ask: Ask,
    lead_ms: float,
    now_ms: int,
) -> PrefillChoice | None:
    """The endpoint with the earliest predicted end, among those that can take one more.

    One that is busy for longer than `lead_ms` takes none, so that the order stays the queue's.
    An endpoint that failed the request before is taken only when there is no other.
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
    lengths: Mapping[str, LengthTable],
    then_ms: float,
    now_ms: int,
) -> float:
    """Decode slots predicted free at `then_ms`, beyond those that granted prefills will want."""
    free = 0.0
    for ledger in ledgers:
        if ledger.role is Role.DECODE:
            free += max(
                0.0, ledger.slots(now_ms) - _expected_running(ledger, lengths, then_ms, now_ms)
            )
    return free - sum(1 for item in held if item.stage != Stage.DECODE)


def _expected_running(
    ledger: EndpointLedger, lengths: Mapping[str, LengthTable], then_ms: float, now_ms: int
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
    """A decode endpoint with a free slot: the shortest transfer, then the lightest load."""
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
