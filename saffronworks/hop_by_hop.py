"""Header fields that concern only the connection that they arrive on (RFC 9110, section 7.6.1)."""

from collections.abc import Iterable

__all__ = ["HOP_BY_HOP_FIELDS", "drop_length_of_bodiless"]

HOP_BY_HOP_FIELDS = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
_BODILESS_STATUSES = frozenset([204, 304])


def drop_length_of_bodiless(
    status: int, fields: Iterable[tuple[str, str]]
) -> list[tuple[str, str]]:
    """Remove the length from the fields of an answer whose status allows no body.

    A server that is given a length expects as many bytes.
    """
    if status not in _BODILESS_STATUSES:
        return list(fields)
    return [(key, value) for key, value in fields if key.lower() != "content-length"]
