"""How long an answer takes, which callers, endpoints and checks derive from the request."""

import zlib

__all__ = [
    "EVENTS",
    "LONG_KINDS",
    "LONG_PROMPT",
    "LONG_SERVICE",
    "LONG_TIMEOUT_KINDS",
    "LONG_TOKENS",
    "PAGE_KINDS",
    "event_count",
    "work_s",
]

EVENTS = 12
LONG_SERVICE = "slow"
# Long answers that may run once, and ones that may be resumed.
LONG_KINDS = ("long", "lres")
# Plain answers whose deadline lies behind the end of a node that drains: repeatable, and not.
PAGE_KINDS = ("page", "opage")
# Kinds by routes whose timeout outlasts a grace period.
LONG_TIMEOUT_KINDS = (*LONG_KINDS, *PAGE_KINDS)
PLAIN_WORK_S = 0.03
# Some repeatable pages take longer than `continued_alone` tolerates at an endpoint that runs.
LONGEST_PAGE_S = dict(zip(PAGE_KINDS, (1.0, 4.0), strict=True))
TOKENS_PER_EVENT = 40
LEAST_LONG_EVENTS, MOST_LONG_EVENTS = 18, 38
LONG_TOKENS = MOST_LONG_EVENTS * TOKENS_PER_EVENT
LONG_PROMPT = {"Token-Counts": f"3000,{LONG_TOKENS}", "Length-Hint": "900", "Model": "m"}


def event_count(kind: str, request_id: str) -> int:
    """Return the number of events of a whole answer."""
    if kind not in LONG_KINDS:
        return EVENTS
    span = MOST_LONG_EVENTS - LEAST_LONG_EVENTS + 1
    return LEAST_LONG_EVENTS + zlib.crc32(request_id.encode()) % span


def work_s(kind: str, request_id: str) -> float:
    """Return how long an endpoint works on a plain request; most pages are short."""
    share = (zlib.crc32(request_id.encode()) % 1000) / 1000
    return PLAIN_WORK_S + LONGEST_PAGE_S.get(kind, 0.0) * share**3
