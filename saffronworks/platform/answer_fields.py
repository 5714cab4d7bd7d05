"""Header fields of a server's answer, and what they state about the server."""

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
    "is_not_executed",
    "read_advertisement",
    "read_limit",
]

logger = logging.getLogger(__name__)

ID_FIELD = "Request-Id"
# The server's signature over its answer. A success without it did not come from the server.
SIGNATURE_FIELD = "server-stamp"
NOT_EXECUTED_FIELD = "not-executed"
# Name of the answering server.
INSTANCE_FIELD = "instance-id"
# Requests per second that an overloaded server accepts from all nodes together.
_LIMIT_FIELD = "server-limit"
# 1 while the server drains.
_DRAINING_FIELD = "server-leaving"
# How long this node must send no requests to a server that rejected one.
_RETRY_AFTER_FIELD = "retry-after"
_MISDIRECTED = 421
_REJECTION_STATUSES = (429, 503)
# Values of `not-executed` that state that the request did run.
_EXECUTED_VALUES = frozenset(["0", "false", "no"])
_DRAINING_VALUES = {"1": True, "0": False}
# Longer pauses are cut to this: a server can't withdraw a pause that it sent by mistake.
MAX_PAUSE_MS = 3_600_000
_ADVERTISED = frozenset([_LIMIT_FIELD, _DRAINING_FIELD, _RETRY_AFTER_FIELD])
_Values = dict[str, list[str]]
_HTTP_DATE = "%a, %d %b %Y %H:%M:%S GMT"

# All header fields that servers set in answers, with the module or function that reads each and
# its meaning. Other fields are logged.
ANSWER_FIELDS = {
    ID_FIELD.lower(): "connections: the request that is answered",
    SIGNATURE_FIELD: "answers: whether the answer is signed by the server",
    NOT_EXECUTED_FIELD: "answers: whether the request has run",
    INSTANCE_FIELD: "answers: the server at this address, on a 421",
    _LIMIT_FIELD: "read_limit: requests per second from all nodes",
    _DRAINING_FIELD: "read_advertisement: whether the server drains",
    _RETRY_AFTER_FIELD: "read_advertisement: a pause for this node",
    "connection": "connections: whether the connection can be reused",
    "keep-alive": "connections: how long an idle connection is kept",
    "content-length": "connections: framing",
    "transfer-encoding": "connections: framing",
    "content-encoding": "answers: an encoded body was not made by the server",
    "content-type": "passed on to the caller",
    "date": "passed on to the caller",
    "server": "passed on to the caller",
    "cache-control": "passed on to the caller",
    "weight-versions": "passed on to the caller; requests never select a version",
    "cold-ms": "set in answers to health checks only, which tell nodes nothing but the server",
}


def is_not_executed(raw: ResponseHead) -> bool:
    """Return whether the server states that it did not run the request."""
    values = {
        value.strip(" \t").lower() for key, value in raw.fields if key.lower() == NOT_EXECUTED_FIELD
    }
    return not values & _EXECUTED_VALUES and (bool(values) or raw.status == _MISDIRECTED)


def read_advertisement(
    raw: ResponseHead, sent_ms: int, wall_ms: int, is_request: bool = True
) -> Advertisement | None:
    """Return what an answer states about its server, or None if another server has the address.

    `sent_ms` is the monotonic time at which the call was sent, `wall_ms` the Unix time now.
    `is_request` is false for the node's own calls, such as the release of a reservation.
    """
    if raw.status == _MISDIRECTED:
        return None
    values = _advertised_values(raw)
    limit = _read_limit(values, raw, sent_ms, is_request)
    if values.keys() <= {_LIMIT_FIELD}:
        return Advertisement(limit)
    draining, malformed_draining = _read_draining(values)
    pause_ms, malformed_pause = _read_pause_ms(values, raw.status, wall_ms)
    return Advertisement(limit, draining, pause_ms, (*malformed_draining, *malformed_pause))


def read_limit(raw: ResponseHead, sent_ms: int) -> AdvertisedLimit:
    """Return the rate limit in an answer to a request sent at `sent_ms`, the lowest of several."""
    return _read_limit(_advertised_values(raw), raw, sent_ms)


def _read_limit(
    values: _Values, raw: ResponseHead, sent_ms: int, is_request: bool = True
) -> AdvertisedLimit:
    # An answer without the limit header ends the limit only if the request ran. A 5xx status or a
    # missing request id doesn't show this: the answer may come from another party.
    conclusive = raw.status < 500 and raw.get(ID_FIELD) is not None
    ran = is_request and conclusive and not is_not_executed(raw)
    if _LIMIT_FIELD not in values:
        return AdvertisedLimit(None, sent_ms, ran)
    read = [read_decimal(value) for value in values[_LIMIT_FIELD]]
    malformed = [value.err_value for value in read if isinstance(value, Err)]
    if malformed:
        return AdvertisedLimit(None, sent_ms, ran, malformed=", ".join(malformed))
    named = [value.ok_value for value in read if isinstance(value, Ok)]
    return AdvertisedLimit(min(named), sent_ms, ran)


def _advertised_values(raw: ResponseHead) -> _Values:
    """Return the values of the header fields in which a server describes itself, by name."""
    values: _Values = {}
    for key, value in raw.fields:
        name = key.lower()
        if name in _ADVERTISED:
            values.setdefault(name, []).append(value)
    return values


def _read_draining(fields: _Values) -> tuple[bool, list[str]]:
    """Return whether the server drains, and the values that are neither 0 nor 1."""
    values = [value.strip(" \t") for value in fields.get(_DRAINING_FIELD, ())]
    malformed = [
        f"{_DRAINING_FIELD}: {shorten(value)}" for value in values if value not in _DRAINING_VALUES
    ]
    return any(_DRAINING_VALUES.get(value, False) for value in values), malformed


def _read_pause_ms(fields: _Values, status: int, wall_ms: int) -> tuple[int, list[str]]:
    """Return the longest pause that a rejection requests, and the malformed values."""
    if status not in _REJECTION_STATUSES:
        return 0, []
    read = [_read_retry_after(value, wall_ms) for value in fields.get(_RETRY_AFTER_FIELD, ())]
    malformed = [
        f"{_RETRY_AFTER_FIELD}: {value.err_value}" for value in read if isinstance(value, Err)
    ]
    named = [value.ok_value for value in read if isinstance(value, Ok)]
    return min(max(named, default=0), MAX_PAUSE_MS), malformed


def _read_retry_after(value: str, wall_ms: int) -> Result[int, str]:
    """Parse seconds, with or without a fraction, or an HTTP date, into milliseconds from now."""
    seconds = read_decimal(value)
    if isinstance(seconds, Ok):
        return Ok(math.ceil(1000 * seconds.ok_value))
    try:
        moment = datetime.strptime(value.strip(" \t"), _HTTP_DATE).replace(tzinfo=UTC)
    except ValueError:
        return Err(shorten(value))
    return Ok(max(0, int(1000 * moment.timestamp()) - wall_ms))


class UnknownFields:
    """Logs header fields of answers that nothing reads, each name once."""

    # Bounds the memory and the log lines that a server with random field names can cause.
    MAX_NAMES = 64

    def __init__(self) -> None:
        self.names: set[str] = set()

    def check(self, raw: ResponseHead, instance: str) -> None:
        """Log the unknown fields of an answer that have not been logged yet."""
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
