"""Fields of a server's answer: what each is read for, and what it says about the server."""

import logging
import math
from datetime import UTC, datetime

from result import Err, Ok, Result

from saffronworks.field_numbers import read_decimal, shorten
from saffronworks.forwarding.connections import ResponseHead
from saffronworks.forwarding.eligibility.advertisements import Advertisement
from saffronworks.forwarding.endpoint_limits.table import AdvertisedLimit

__all__ = [
    "ANSWER_FIELDS",
    "ID_FIELD",
    "INSTANCE_FIELD",
    "NOT_EXECUTED_FIELD",
    "SIGNATURE_FIELD",
    "UnknownFields",
    "is_refusal",
    "read_advertisement",
    "read_limit",
]

logger = logging.getLogger(__name__)

ID_FIELD = "Request-Id"
# The server's signature over its answer; without it a success is not the server's.
SIGNATURE_FIELD = "server-stamp"
NOT_EXECUTED_FIELD = "not-executed"
# The name of the server that answers.
INSTANCE_FIELD = "instance-id"
# The requests a second that a server in need takes from all nodes together.
_LIMIT = "server-limit"
# The server drains.
_LEAVING = "server-leaving"
# For how long a server that rejects a request wants none of this node.
_RETRY_AFTER = "retry-after"
_MISDIRECTED = 421
_REJECTED = (429, 503)
# Values of the field by which a server says that it did run the request.
_DENIALS = frozenset(["0", "false", "no"])
_DRAINING_VALUES = {"1": True, "0": False}
# Named pauses are cut to this, as nobody could take back a mistaken one.
MAX_PAUSE_MS = 3_600_000
_ADVERTISED = frozenset([_LIMIT, _LEAVING, _RETRY_AFTER])
_Values = dict[str, list[str]]
_HTTP_DATE = "%a, %d %b %Y %H:%M:%S GMT"

# Every field that servers set in answers, and what reads it. A field that is not here is logged.
ANSWER_FIELDS = {
    ID_FIELD.lower(): "connections: whose answer it is",
    SIGNATURE_FIELD: "calls: whether the server vouches for the answer",
    NOT_EXECUTED_FIELD: "calls: the request has not run",
    INSTANCE_FIELD: "calls: which server has the address, on a 421",
    _LIMIT: "read_limit: requests a second from all nodes",
    _LEAVING: "read_advertisement: the server drains",
    _RETRY_AFTER: "read_advertisement: a pause for this node",
    "connection": "connections: whether another request may follow",
    "keep-alive": "connections: how long an idle connection is kept",
    "content-length": "connections: framing",
    "transfer-encoding": "connections: framing",
    "content-encoding": "calls: an encoded body is not the server's own",
    "content-type": "passed on to the caller",
    "date": "passed on to the caller",
    "server": "passed on to the caller",
    "cache-control": "passed on to the caller",
    "weight-versions": "passed on to the caller; no request asks for a version",
    "cold-ms": "set in health answers only, which are not asked for",
}


def is_refusal(raw: ResponseHead) -> bool:
    """Whether the server says that it did not run the request."""
    values = {
        value.strip(" \t").lower() for key, value in raw.fields if key.lower() == NOT_EXECUTED_FIELD
    }
    return not values & _DENIALS and (bool(values) or raw.status == _MISDIRECTED)


def read_advertisement(
    raw: ResponseHead, sent_ms: int, wall_ms: int, ran: bool = True
) -> Advertisement | None:
    """What an answer to a request of `sent_ms` says about its server; `wall_ms` is Unix time now.

    `ran` is false for a call that is no request. None where another server has the address.
    """
    if raw.status == _MISDIRECTED:
        return None
    values = _advertised_values(raw)
    limit = _read_limit(values, raw, sent_ms, ran)
    if values.keys() <= {_LIMIT}:
        return Advertisement(limit)
    draining, odd_draining = _read_draining(values)
    pause_ms, odd_pause = _read_pause_ms(values, raw.status, wall_ms)
    return Advertisement(limit, draining, pause_ms, (*odd_draining, *odd_pause))


def read_limit(raw: ResponseHead, sent_ms: int) -> AdvertisedLimit:
    """What an answer to a request of `sent_ms` says of the server's limit; of several the least."""
    return _read_limit(_advertised_values(raw), raw, sent_ms)


def _read_limit(
    values: _Values, raw: ResponseHead, sent_ms: int, request: bool = True
) -> AdvertisedLimit:
    # A failure, or an answer that may not be the server's own, doesn't tell that its need is over.
    own = raw.status < 500 and raw.get(ID_FIELD) is not None
    ran = request and own and not is_refusal(raw)
    if _LIMIT not in values:
        return AdvertisedLimit(None, sent_ms, ran)
    read = [read_decimal(value) for value in values[_LIMIT]]
    malformed = [value.err_value for value in read if isinstance(value, Err)]
    if malformed:
        return AdvertisedLimit(None, sent_ms, ran, malformed=", ".join(malformed))
    named = [value.ok_value for value in read if isinstance(value, Ok)]
    return AdvertisedLimit(min(named), sent_ms, ran)


def _advertised_values(raw: ResponseHead) -> _Values:
    """The values of the fields in which a server says something about itself, by their names."""
    values: _Values = {}
    for key, value in raw.fields:
        name = key.lower()
        if name in _ADVERTISED:
            values.setdefault(name, []).append(value)
    return values


def _read_draining(fields: _Values) -> tuple[bool, list[str]]:
    """Whether the server drains, and what stands there in place of 0 or 1."""
    values = [value.strip(" \t") for value in fields.get(_LEAVING, ())]
    odd = [f"{_LEAVING}: {shorten(value)}" for value in values if value not in _DRAINING_VALUES]
    return any(_DRAINING_VALUES.get(value, False) for value in values), odd


def _read_pause_ms(fields: _Values, status: int, wall_ms: int) -> tuple[int, list[str]]:
    """The longest pause that a rejection names, and the values that name none."""
    if status not in _REJECTED:
        return 0, []
    read = [_read_retry_after(value, wall_ms) for value in fields.get(_RETRY_AFTER, ())]
    odd = [f"{_RETRY_AFTER}: {value.err_value}" for value in read if isinstance(value, Err)]
    named = [value.ok_value for value in read if isinstance(value, Ok)]
    return min(max(named, default=0), MAX_PAUSE_MS), odd


def _read_retry_after(value: str, wall_ms: int) -> Result[int, str]:
    """In seconds, with or without a fraction, or as an HTTP date; else what was found."""
    seconds = read_decimal(value)
    if isinstance(seconds, Ok):
        return Ok(math.ceil(1000 * seconds.ok_value))
    try:
        moment = datetime.strptime(value.strip(" \t"), _HTTP_DATE).replace(tzinfo=UTC)
    except ValueError:
        return Err(shorten(value))
    return Ok(max(0, int(1000 * moment.timestamp()) - wall_ms))


class UnknownFields:
    """Fields of answers that nothing reads; each is logged once."""

    # Names that are remembered; a server that makes names up costs no more than these.
    MAX_NAMES = 64

    def __init__(self) -> None:
        self.names: set[str] = set()

    def check(self, raw: ResponseHead, instance: str) -> None:
        """Log the fields of an answer that are new."""
        for key, value in raw.fields:
            name = key.lower()
            if name in ANSWER_FIELDS or name in self.names or len(self.names) >= self.MAX_NAMES:
                continue
            self.names.add(name)
            logger.warning(
                "event=answer_field_unknown field=%r value=%r endpoint=%s",
                shorten(name),
                shorten(value),
                instance,
            )
